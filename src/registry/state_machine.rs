use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use prost::{Message, bytes::Bytes};

use super::{
    Command, Drain, Operation, Publish, Reply, State, TakeOver, TargetRecord, Withdraw,
    version_ends::VersionEnds,
};
use crate::{
    id,
    replica::{self, change_notifier::ChangeNotifier},
};

/// Number of records of gone targets that are kept to reject late announcements; the oldest are
/// dropped first. The limit is well above the number of targets of a large deployment that can go
/// within seconds.
const MAX_GONE_TARGETS: usize = 4096;

/// The replicated state of the registry.
#[derive(Debug, Default)]
pub struct StateMachine {
    /// The parts of the state that are kept as the snapshot stores them. Its other fields are empty
    /// here.
    stored: Snapshot,
    targets: BTreeMap<String, TargetRecord>,
    /// The targets by the log index of their last change.
    targets_by_change: BTreeSet<(u64, String)>,
    zones: BTreeMap<String, Zone>,
    /// Records that changed at or below this index may have been dropped.
    compacted_index: u64,
    version_ends: VersionEnds,
    index: u64,
    changed: Arc<ChangeNotifier>,
}

#[derive(Clone, PartialEq, Message)]
struct Snapshot {
    #[prost(uint32, tag = "1")]
    established_voters: u32,
    #[prost(uint64, tag = "2")]
    routes_version: u64,
    #[prost(bytes = "bytes", tag = "3")]
    routes: Bytes,
    #[prost(uint64, tag = "4")]
    routes_changed_index: u64,
    #[prost(message, repeated, tag = "5")]
    targets: Vec<TargetRecord>,
    #[prost(message, repeated, tag = "6")]
    zones: Vec<Zone>,
    #[prost(uint64, tag = "7")]
    compacted_index: u64,
    #[prost(uint64, tag = "8")]
    index: u64,
    /// Missing if a process wrote the snapshot that did not record ends.
    #[prost(message, optional, tag = "9")]
    version_ends: Option<VersionEnds>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct Zone {
    #[prost(string, tag = "1")]
    pub(super) zone: String,
    #[prost(bool, tag = "2")]
    pub(super) drained: bool,
    #[prost(uint64, tag = "3")]
    pub(super) changed_index: u64,
}

impl StateMachine {
    /// Number of voters in the first complete group; 0 while that group is not complete.
    pub fn established_voters(&self) -> u32 {
        self.stored.established_voters
    }

    /// Log index of the last change.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Version of the list of routes; 0 if there is no list.
    pub fn routes_version(&self) -> u64 {
        self.stored.routes_version
    }

    /// The list of routes as the operator sent it; empty if there is none.
    pub fn routes(&self) -> &Bytes {
        &self.stored.routes
    }

    /// Log index at which the list of routes last changed.
    pub(super) fn routes_changed_index(&self) -> u64 {
        self.stored.routes_changed_index
    }

    /// Log index at or below which records may have been dropped. A VM that knows only an index
    /// below it needs a full update.
    pub(super) fn compacted_index(&self) -> u64 {
        self.compacted_index
    }

    /// The records of all targets, including those of gone targets that are still kept.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// The targets that changed after log index `since`, in the order of their changes.
    pub fn targets_changed_since(&self, since: u64) -> impl Iterator<Item = &TargetRecord> {
        let changed = self.targets_by_change.range((since.saturating_add(1), String::new())..);
        changed.filter_map(|(_, target)| self.targets.get(target))
    }

    /// The record of one target.
    pub fn target(&self, target: &str) -> Option<&TargetRecord> {
        self.targets.get(target)
    }

    /// The records that keep an announcement from changing anything: a newer one of the target, and
    /// those of targets that started later at the same address.
    pub fn blocking(&self, record: &TargetRecord) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values().filter(|known| {
            if known.target == record.target {
                return record.is_outdated_by(known);
            }
            known.address == record.address && known.incarnation > record.incarnation
        })
    }

    /// The zones whose targets receive no requests.
    pub fn drained_zones(&self) -> impl Iterator<Item = &str> {
        self.zones.values().filter(|zone| zone.drained).map(|zone| zone.zone.as_str())
    }

    /// Log index at which the drain of any zone last began or ended.
    pub(super) fn zones_changed_index(&self) -> u64 {
        self.zones.values().map(|zone| zone.changed_index).max().unwrap_or_default()
    }

    /// Whether `zone` is drained, and the log index at which that last changed.
    pub fn zone_drain(&self, zone: &str) -> Drain {
        let known = self.zones.get(zone);
        Drain {
            zone: zone.to_owned(),
            drained: known.is_some_and(|zone| zone.drained),
            last_change_index: known.map_or(0, |zone| zone.changed_index),
        }
    }

    /// The software version of all targets of `service`, if every target of another or unknown
    /// version ended at or before log index `ended_by_index`. Leaving targets count; gone ones have
    /// ended.
    pub fn sole_version(&self, service: &str, ended_by_index: u64) -> Option<id::SoftwareVersion> {
        let mut versions = self
            .targets
            .values()
            .filter(|record| record.service == service && record.state() != State::Gone)
            .map(|record| record.software_version.as_str());
        let version = versions.next().filter(|version| !version.is_empty())?;
        let is_sole = versions.all(|other| other == version)
            && self.version_ends.ended_by(service, version, ended_by_index);
        is_sole.then(|| id::SoftwareVersion::from(version))
    }

    /// Returns a future that completes at the next change after this call.
    pub fn listen(&self) -> impl Future<Output = ()> + use<> {
        self.changed.listen()
    }

    fn execute(&mut self, index: u64, operation: Operation) -> Reply {
        match operation {
            Operation::Establish(establish) => {
                if self.stored.established_voters > 0 {
                    return Reply::Stands;
                }
                self.stored.established_voters = establish.voters;
                Reply::Changed
            }
            Operation::Publish(publish) => self.publish(index, publish),
            Operation::Drain(drain) => self.set_drain(index, drain),
            Operation::Announce(record) => self.announce(index, record),
            Operation::Withdraw(withdraw) => self.withdraw(index, &withdraw),
            Operation::TakeOver(take_over) => self.take_over(index, take_over),
        }
    }

    fn publish(&mut self, index: u64, publish: Publish) -> Reply {
        if publish.version <= self.stored.routes_version && !self.stored.routes.is_empty() {
            return Reply::Stands;
        }
        self.stored.routes_version = publish.version;
        self.stored.routes = publish.text;
        self.stored.routes_changed_index = index;
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
        let zone = Zone { zone: drain.zone.clone(), drained: drain.drained, changed_index: index };
        self.zones.insert(drain.zone, zone);
        Reply::Changed
    }

    fn announce(&mut self, index: u64, record: TargetRecord) -> Reply {
        if self.blocking(&record).next().is_some() {
            return Reply::Stands;
        }
        let leaving = self.targets.get(&record.target).is_some_and(|known| {
            known.incarnation == record.incarnation && known.state() == State::Leaving
        });
        let state = if leaving { State::Leaving } else { record.state() };
        self.store(index, record, state);
        Reply::Changed
    }

    fn take_over(&mut self, index: u64, TakeOver { record, displaced }: TakeOver) -> Reply {
        let blocking: Vec<TargetRecord> = self.blocking(&record).cloned().collect();
        let may_take_over = |known: &TargetRecord| {
            let withdrawn = known.target == record.target && known.is_withdrawn(record.incarnation);
            !withdrawn && displaced.contains(&known.version())
        };
        if !blocking.iter().all(may_take_over) {
            return Reply::Stands;
        }
        for known in blocking.into_iter().filter(|known| known.target != record.target) {
            // The start of the record may be absurd and must not block the target again.
            self.put(TargetRecord {
                incarnation: 0,
                sequence: 0,
                state: State::Gone.into(),
                replaced_by: record.target.clone(),
                changed_index: index,
                ..known
            });
        }
        let state = record.state();
        self.store(index, record, state);
        Reply::Changed
    }

    /// Stores the record of a target that holds its address from now on.
    fn store(&mut self, index: u64, record: TargetRecord, state: State) {
        // Two processes cannot listen on one address, so any other target that held it is gone.
        let replaced: Vec<String> = self
            .targets
            .values()
            .filter(|known| known.address == record.address && known.target != record.target)
            .filter(|known| known.state() != State::Gone)
            .map(|known| known.target.clone())
            .collect();
        for target in replaced {
            self.mark_gone(index, &target, &record.target);
        }
        self.put(TargetRecord { state: state.into(), changed_index: index, ..record });
    }

    fn withdraw(&mut self, index: u64, withdraw: &Withdraw) -> Reply {
        let Withdraw { target, incarnation, started_by_ms } = withdraw;
        let unknown = TargetRecord { target: target.clone(), ..TargetRecord::default() };
        let known = self.targets.get(target).unwrap_or(&unknown);
        let is_named = known.incarnation == *incarnation && !known.is_withdrawn(*incarnation);
        let started_before = known.incarnation <= *started_by_ms;
        let withdrawn_by_ms = known.withdrawn_by_ms.max(*started_by_ms);
        let covers_more = withdrawn_by_ms > known.withdrawn_by_ms;
        // A target that is not known yet has no incarnation to name.
        let names_known = is_named && self.targets.contains_key(target);
        if names_known || (started_before && covers_more) {
            let gone = TargetRecord { withdrawn_by_ms, ..known.clone() };
            self.put_gone(index, gone, "");
            return Reply::Changed;
        }
        Reply::Stands
    }

    fn put(&mut self, record: TargetRecord) {
        if let Some(previous) = self.targets.remove(&record.target) {
            self.targets_by_change.remove(&(previous.changed_index, previous.target.clone()));
            self.record_end(&previous, &record);
        }
        self.targets_by_change.insert((record.changed_index, record.target.clone()));
        self.targets.insert(record.target.clone(), record);
    }

    /// Records the end of a target's previous process if the new record shows it.
    fn record_end(&mut self, previous: &TargetRecord, record: &TargetRecord) {
        let continues = record.state() != State::Gone
            && previous.incarnation == record.incarnation
            && previous.service == record.service
            && previous.software_version == record.software_version;
        if previous.state() != State::Gone && !continues {
            let (service, version) = (&previous.service, &previous.software_version);
            self.version_ends.record(service, version, record.changed_index);
        }
    }

    /// Marks a target as gone, replaced by another one.
    fn mark_gone(&mut self, index: u64, target: &str, replaced_by: &str) {
        if let Some(record) = self.targets.get(target).cloned() {
            self.put_gone(index, record, replaced_by);
        }
    }

    /// Stores the record of a target that is gone, replaced by another one unless that is empty, and
    /// drops the oldest such record if there are too many.
    fn put_gone(&mut self, index: u64, record: TargetRecord, replaced_by: &str) {
        self.put(TargetRecord {
            state: State::Gone.into(),
            changed_index: index,
            replaced_by: replaced_by.to_owned(),
            ..record
        });
        let gone = || self.targets.values().filter(|record| record.state() == State::Gone);
        if gone().count() > MAX_GONE_TARGETS {
            let oldest = gone()
                .min_by_key(|record| record.changed_index)
                .map(|record| record.target.clone());
            if let Some(record) = oldest.and_then(|target| self.targets.remove(&target)) {
                self.compacted_index = self.compacted_index.max(record.changed_index);
                self.targets_by_change.remove(&(record.changed_index, record.target));
            }
        }
    }
}

impl replica::StateMachine for StateMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Bytes {
        let operation = Command::decode(command).ok().and_then(|command| command.operation);
        let reply = operation.map_or(Reply::Unreadable, |operation| self.execute(index, operation));
        if reply == Reply::Changed {
            self.index = index;
            self.changed.notify();
        }
        reply.encode()
    }

    fn snapshot(&self) -> Bytes {
        let snapshot = Snapshot {
            targets: self.targets.values().cloned().collect(),
            zones: self.zones.values().cloned().collect(),
            compacted_index: self.compacted_index,
            index: self.index,
            version_ends: Some(self.version_ends.clone()),
            ..self.stored.clone()
        };
        Bytes::from(snapshot.encode_to_vec())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let mut stored = Snapshot::decode(snapshot)
            .map_err(|cause| format!("{cause}; run the version that wrote it"))?;
        let targets = std::mem::take(&mut stored.targets).into_iter();
        (self.targets, self.targets_by_change) = (BTreeMap::new(), BTreeSet::new());
        targets.for_each(|record| self.put(record));
        let version_ends = stored.version_ends.take();
        self.version_ends =
            version_ends.unwrap_or_else(|| VersionEnds::unknown_up_to(stored.index));
        let zones = std::mem::take(&mut stored.zones).into_iter();
        self.zones = zones.map(|zone| (zone.zone.clone(), zone)).collect();
        (self.compacted_index, self.index) = (stored.compacted_index, stored.index);
        self.stored = stored;
        self.changed.notify();
        Ok(())
    }
}
