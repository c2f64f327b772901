use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use prost::{Message, bytes::Bytes};

use super::{Command, Drain, Operation, Publish, Reply, State, TargetRecord, Withdraw};
use crate::replica::{self, changed::Changed};

/// Targets that are gone and still told from late announcements; the longest gone are forgotten
/// first. Well above the targets of one large deployment that may go within seconds.
const MOST_GONE: usize = 4096;

/// The replicated registry.
#[derive(Debug, Default)]
pub struct StateMachine {
    image: Image,
    targets: BTreeMap<String, TargetRecord>,
    /// The targets in the order of their last changes.
    recent: BTreeSet<(u64, String)>,
    zones: BTreeMap<String, Zone>,
    /// The index below which rows of targets may have been forgotten.
    floor: u64,
    index: u64,
    changed: Arc<Changed>,
}

/// The registry as a snapshot holds it.
#[derive(Clone, PartialEq, Message)]
struct Image {
    #[prost(uint32, tag = "1")]
    established: u32,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(bytes = "bytes", tag = "3")]
    routes: Bytes,
    #[prost(uint64, tag = "4")]
    routes_changed: u64,
    #[prost(message, repeated, tag = "5")]
    targets: Vec<TargetRecord>,
    #[prost(message, repeated, tag = "6")]
    zones: Vec<Zone>,
    #[prost(uint64, tag = "7")]
    floor: u64,
    #[prost(uint64, tag = "8")]
    index: u64,
}

/// Whether a zone gets work, and since which index of the log.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Zone {
    #[prost(string, tag = "1")]
    pub(super) zone: String,
    #[prost(bool, tag = "2")]
    pub(super) drained: bool,
    #[prost(uint64, tag = "3")]
    pub(super) changed: u64,
}

impl StateMachine {
    /// How many replicas the group began with; zero before it is complete.
    pub fn established_voters(&self) -> u32 {
        self.image.established
    }

    /// The index of the last change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The version of the routes in force; zero where there are none.
    pub fn routes_version(&self) -> u64 {
        self.image.version
    }

    /// The routes in force as the operator sent them.
    pub fn routes(&self) -> &Bytes {
        &self.image.routes
    }

    /// The index at which the routes last changed.
    pub(super) fn routes_changed(&self) -> u64 {
        self.image.routes_changed
    }

    /// The index below which rows may have been forgotten, so that only the whole tells them.
    pub(super) fn floor(&self) -> u64 {
        self.floor
    }

    /// Every target that is not forgotten.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// The targets that changed after the index `since`.
    pub fn targets_changed_since(&self, since: u64) -> impl Iterator<Item = &TargetRecord> {
        let recent = self.recent.range((since.saturating_add(1), String::new())..);
        recent.filter_map(|(_, target)| self.targets.get(target))
    }

    /// One target.
    pub fn target(&self, target: &str) -> Option<&TargetRecord> {
        self.targets.get(target)
    }

    /// The zones that get no work.
    pub fn drained_zones(&self) -> impl Iterator<Item = &str> {
        self.zones.values().filter(|zone| zone.drained).map(|zone| zone.zone.as_str())
    }

    /// The index at which a zone last got no work, or got work again.
    pub(super) fn zones_changed(&self) -> u64 {
        self.zones.values().map(|zone| zone.changed).max().unwrap_or_default()
    }

    /// Whether `zone` gets no work, and the index at which that last changed.
    pub fn zone_drain(&self, zone: &str) -> Drain {
        let known = self.zones.get(zone);
        Drain {
            zone: zone.to_owned(),
            drained: known.is_some_and(|zone| zone.drained),
            last_change_index: known.map_or(0, |zone| zone.changed),
        }
    }

    /// Ends at the next change after this call.
    pub fn listen(&self) -> impl Future<Output = ()> + use<> {
        self.changed.listen()
    }

    fn carry_out(&mut self, index: u64, operation: Operation) -> Reply {
        match operation {
            Operation::Establish(establish) => {
                if self.image.established > 0 {
                    return Reply::Stands;
                }
                self.image.established = establish.voters;
                Reply::Changed
            }
            Operation::Publish(publish) => self.publish(index, publish),
            Operation::Drain(drain) => self.set_drain(index, drain),
            Operation::Announce(record) => self.announce(index, record),
            Operation::Withdraw(withdraw) => self.withdraw(index, &withdraw),
        }
    }

    fn publish(&mut self, index: u64, publish: Publish) -> Reply {
        if publish.version <= self.image.version && !self.image.routes.is_empty() {
            return Reply::Stands;
        }
        self.image.version = publish.version;
        self.image.routes = publish.text;
        self.image.routes_changed = index;
        Reply::Changed
    }

    fn set_drain(&mut self, index: u64, drain: Drain) -> Reply {
        let known = self.zone_drain(&drain.zone);
        if known.drained == drain.drained {
            return Reply::Stands;
        }
        if known.last_change_index != drain.last_change_index {
            return Reply::Overtaken;
        }
        let zone = Zone { zone: drain.zone.clone(), drained: drain.drained, changed: index };
        self.zones.insert(drain.zone, zone);
        Reply::Changed
    }

    fn announce(&mut self, index: u64, record: TargetRecord) -> Reply {
        if self.is_outdated(&record) {
            return Reply::Stands;
        }
        let leaving = self.targets.get(&record.target).is_some_and(|known| {
            known.incarnation == record.incarnation && known.state() == State::Leaving
        });
        // Whoever held the address before is gone: two processes cannot listen on it.
        let former: Vec<String> = self
            .targets
            .values()
            .filter(|known| known.address == record.address && known.target != record.target)
            .filter(|known| known.state() != State::Gone)
            .map(|known| known.target.clone())
            .collect();
        for target in former {
            self.end(index, &target);
        }
        let state = if leaving { State::Leaving } else { record.state() };
        self.store(TargetRecord { state: state.into(), changed_index: index, ..record });
        Reply::Changed
    }

    /// Whether something newer is known of the target, or of the address that it names.
    fn is_outdated(&self, record: &TargetRecord) -> bool {
        if let Some(known) = self.targets.get(&record.target) {
            let late = known.incarnation == record.incarnation
                && (known.state() == State::Gone || record.sequence <= known.sequence);
            if known.incarnation > record.incarnation || late {
                return true;
            }
        }
        let mut others = self.targets.values().filter(|known| known.target != record.target);
        others
            .any(|known| known.address == record.address && known.incarnation > record.incarnation)
    }

    fn withdraw(&mut self, index: u64, withdraw: &Withdraw) -> Reply {
        match self.targets.get(&withdraw.target) {
            Some(known)
                if known.incarnation == withdraw.incarnation && known.state() != State::Gone =>
            {
                self.end(index, &withdraw.target);
                Reply::Changed
            }
            _ => Reply::Stands,
        }
    }

    fn store(&mut self, record: TargetRecord) {
        if let Some(former) = self.targets.remove(&record.target) {
            self.recent.remove(&(former.changed_index, former.target));
        }
        self.recent.insert((record.changed_index, record.target.clone()));
        self.targets.insert(record.target.clone(), record);
    }

    fn end(&mut self, index: u64, target: &str) {
        if let Some(record) = self.targets.get(target) {
            self.store(TargetRecord {
                state: State::Gone.into(),
                changed_index: index,
                ..record.clone()
            });
        }
        let gone = || self.targets.values().filter(|record| record.state() == State::Gone);
        if gone().count() > MOST_GONE {
            let oldest = gone()
                .min_by_key(|record| record.changed_index)
                .map(|record| record.target.clone());
            if let Some(record) = oldest.and_then(|target| self.targets.remove(&target)) {
                self.floor = self.floor.max(record.changed_index);
                self.recent.remove(&(record.changed_index, record.target));
            }
        }
    }
}

impl replica::Machine for StateMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes {
        let operation = Command::decode(command).ok().and_then(|command| command.operation);
        let reply =
            operation.map_or(Reply::Unreadable, |operation| self.carry_out(index, operation));
        if reply == Reply::Changed {
            self.index = index;
            self.changed.notify();
        }
        reply.encode()
    }

    fn snapshot(&self) -> Bytes {
        let image = Image {
            targets: self.targets.values().cloned().collect(),
            zones: self.zones.values().cloned().collect(),
            floor: self.floor,
            index: self.index,
            ..self.image.clone()
        };
        Bytes::from(image.encode_to_vec())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let mut image = Image::decode(snapshot)
            .map_err(|cause| format!("{cause}; run the version that wrote it"))?;
        let targets = std::mem::take(&mut image.targets).into_iter();
        (self.targets, self.recent) = (BTreeMap::new(), BTreeSet::new());
        targets.for_each(|record| self.store(record));
        let zones = std::mem::take(&mut image.zones).into_iter();
        self.zones = zones.map(|zone| (zone.zone.clone(), zone)).collect();
        (self.floor, self.index) = (image.floor, image.index);
        self.image = image;
        self.changed.notify();
        Ok(())
    }
}
