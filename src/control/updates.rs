use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender, future::or};
use xxhash_rust::xxh3::xxh3_64;

use super::{Control, server::lock};
use crate::{
    event, id,
    registry::{
        BlockedRequests, ColdTarget, ColdTargets, RegionLoad, RegionLoads, SilentTargets, State,
        StateMachine, TargetRecord, Update, UpdateRequest, VmChanges, VmInfo,
    },
    replica::Group,
};

/// A replica that heard no leader for longer may miss changes: two heartbeats and the way.
const FRESH: Duration = Duration::from_millis(1000);
/// A target that missed two announcements, with what replicas tell each other once a second.
const MISSED: u32 = 3;
/// Changes within this time are told together; every bound on a change is in seconds.
const TOGETHER: Duration = Duration::from_millis(60);
/// How busy regions are is told again after so many milliseconds.
const LOADS_AGE: u64 = 500;
/// The most that a replica waits for something new.
const MOST_WAIT: Duration = Duration::from_secs(2);

/// The targets that take work, by region and service, as of an index of the registry.
#[derive(Debug, Default)]
pub(super) struct Counts {
    index: u64,
    targets: BTreeMap<(String, String), u32>,
}

impl Control {
    /// Answers a VM that asks what changed, as soon as something did.
    pub(super) async fn follow(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let ask = match UpdateRequest::decode(payload) {
            Ok(ask) => ask,
            Err(cause) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]);
                return;
            }
        };
        lock(&self.followers).insert(ask.sender.vm.clone());
        self.hear_entry(&ask.sender);
        if let Some(crashes) = &ask.crashes {
            lock(&self.crashes).merge(self.clock.now(), crashes);
            self.crashes_told.store(true, Ordering::Relaxed);
        }
        let wait = Duration::from_millis(ask.max_wait_ms).min(MOST_WAIT);
        let news = match self.group() {
            Some(group) => {
                self.wait_for_news(&group, &ask, wait).await;
                self.news(&group, &ask)
            }
            None => Update::default(),
        };
        let _ = reply.send(Bytes::from(news.encode_to_vec())).await;
    }

    async fn wait_for_news(
        &self,
        group: &Group<StateMachine>,
        ask: &UpdateRequest,
        wait: Duration,
    ) {
        let near = |record: &TargetRecord| self.is_near(record, &ask.sender.region);
        let timer = async {
            Timer::after(wait).await;
        };
        let news = async {
            loop {
                let change = group.read(StateMachine::listen);
                let other = self.vms_changed.listen();
                let unknown = self.roster().vm_set().digest() != ask.vms_digest;
                if unknown
                    || group.read(|machine| Update::has_changes(machine, ask.since_index, near))
                {
                    return;
                }
                or(change, other).await;
            }
        };
        or(news, timer).await;
        if !wait.is_zero() {
            Timer::after(TOGETHER).await;
        }
    }

    /// Whether a target matters to a VM of `region`: VMs send requests to targets of their own
    /// region alone.
    fn is_near(&self, record: &TargetRecord, region: &str) -> bool {
        let zone = id::Zone::from(record.zone.as_str());
        self.settings.region_of(&zone).is_none_or(|known| known.as_str() == region)
    }

    /// Takes what a VM says of itself; others are told at once where it is new or changed.
    fn hear_entry(&self, entry: &VmInfo) {
        let now = self.clock.now();
        let mut roster = self.roster();
        let known = roster.vm_set().digest();
        roster.record_vm(entry.clone(), now);
        let changed = roster.vm_set().digest() != known;
        drop(roster);
        if changed {
            self.vms_changed.notify();
        }
    }

    fn news(&self, group: &Group<StateMachine>, ask: &UpdateRequest) -> Update {
        let now = self.clock.now();
        let near = |record: &TargetRecord| self.is_near(record, &ask.sender.region);
        let mut news = group.read(|machine| Update::since(machine, ask.since_index, near));
        let ready = |record: &&TargetRecord| record.state() == State::Ready && near(record);
        let ready: Vec<TargetRecord> =
            group.read(|machine| machine.targets().filter(ready).cloned().collect());
        let status = group.status().consensus;
        news.fresh = status.leaderless.is_some_and(|lasts| lasts < FRESH);
        news.cold_targets =
            Some(self.colds(&ready)).filter(|colds| colds.digest != ask.cold_digest);
        news.silent_targets =
            Some(self.silent(&ready, now)).filter(|silent| silent.digest != ask.silent_digest);
        news.vm_changes = self.vms(ask.vms_digest);
        news.blocked_requests =
            Some(self.convicts(now)).filter(|told| told.digest != ask.blocked_digest);
        if ask.loads_age_ms.is_none_or(|age| age >= LOADS_AGE) {
            news.loads = Some(self.loads(group, now));
        }
        news
    }

    fn colds(&self, ready: &[TargetRecord]) -> ColdTargets {
        let cold = ready.iter().filter(|record| record.cold_remaining_ms > 0);
        let cold = cold
            .map(|record| (record, self.cold_left(record)))
            .filter(|(_, remaining_ms)| *remaining_ms > 0);
        let cold: Vec<(&TargetRecord, u64)> = cold.collect();
        let names =
            cold.iter().map(|(record, _)| format!("{} {}", record.target, record.changed_index));
        let digest = digest(names);
        let cold = cold.into_iter();
        let targets = cold
            .map(|(record, remaining_ms)| ColdTarget {
                target: record.target.clone(),
                remaining_ms,
            })
            .collect();
        ColdTargets { digest, targets }
    }

    fn convicts(&self, now: Instant) -> BlockedRequests {
        let mut crashes = lock(&self.crashes);
        if crashes.is_empty() {
            return BlockedRequests::default();
        }
        crashes.tick(now);
        let requests = crashes.convicts(now);
        let names = requests.iter().map(|convict| format!("{:?}", convict.digest));
        let digest = if requests.is_empty() { 0 } else { digest(names) };
        BlockedRequests { digest, requests }
    }

    fn silent(&self, ready: &[TargetRecord], now: Instant) -> SilentTargets {
        let limit = self.settings.announce_interval * MISSED;
        let roster = self.roster();
        let grown = now.saturating_duration_since(self.started) > limit;
        let silent = |record: &&TargetRecord| {
            let heard = roster.last_announcement(&record.target);
            heard.map_or(grown, |word| now.saturating_duration_since(word.received_at) > limit)
        };
        let targets: Vec<String> =
            ready.iter().filter(silent).map(|record| record.target.clone()).collect();
        SilentTargets { digest: digest(targets.iter().cloned()), targets }
    }

    /// The VMs, or what changed of them since their digest was `known`.
    fn vms(&self, known: u64) -> Option<VmChanges> {
        let roster = self.roster();
        let vm_set = roster.vm_set();
        if vm_set.digest() == known {
            return None;
        }
        let since = vm_set.changed_since(known);
        let (full, names) = match since {
            Some(changed) => (false, changed),
            None => (true, vm_set.vms().collect()),
        };
        let (there, gone): (Vec<&str>, Vec<&str>) =
            names.into_iter().partition(|vm| vm_set.contains(vm));
        let there = there.into_iter().filter_map(|vm| roster.vm(vm));
        // What a VM says of its region goes to others as the load of the region.
        let there = there.map(|entry| VmInfo { loads: Vec::new(), ..entry.clone() });
        let gone = gone.into_iter().map(ToOwned::to_owned);
        Some(VmChanges {
            digest: vm_set.digest(),
            full,
            present: there.collect(),
            removed: gone.collect(),
        })
    }

    /// How busy the targets of each service are in each region that has any.
    fn loads(&self, group: &Group<StateMachine>, now: Instant) -> RegionLoads {
        let mut counts = lock(&self.counts);
        let index = group.read(StateMachine::index);
        if counts.index != index || counts.targets.is_empty() {
            *counts = Counts { index, targets: self.count(group) };
        }
        let roster = self.roster();
        let loads = roster.loads(now);
        let load = |((region, service), targets): (&(String, String), &u32)| {
            let load = loads.get(&(region.as_str(), service.as_str()));
            let load = load.map(|load| (*load).clone()).unwrap_or_default();
            RegionLoad {
                region: region.clone(),
                service: service.clone(),
                slots: load.slots,
                requests: load.requests,
                min_backlog_ms: load.min_backlog_ms,
                capacity_scarce: load.capacity_scarce,
                ready_targets: *targets,
            }
        };
        RegionLoads { regions: counts.targets.iter().map(load).collect() }
    }

    /// The targets that take work, for each region and service.
    fn count(&self, group: &Group<StateMachine>) -> BTreeMap<(String, String), u32> {
        let mut targets = BTreeMap::new();
        group.read(|machine| {
            let drained: Vec<&str> = machine.drained_zones().collect();
            for record in machine.targets().filter(|record| record.state() == State::Ready) {
                let zone = id::Zone::from(record.zone.as_str());
                let region = self.settings.region_of(&zone);
                if let Some(region) = region.filter(|_| !drained.contains(&record.zone.as_str())) {
                    *targets.entry((region.to_string(), record.service.clone())).or_default() += 1;
                }
            }
        });
        targets
    }

    /// Milliseconds that are left of a record's cold time.
    pub(super) fn cold_left(&self, record: &TargetRecord) -> u64 {
        let now = self.clock.now();
        let mut applied = lock(&self.applied);
        if applied.len() > 4096 {
            *applied = HashMap::new();
        }
        let at = *applied.entry((record.target.clone(), record.changed_index)).or_insert(now);
        drop(applied);
        // A replica that has just started does not know how old the record is; the target does.
        if let Some(word) =
            self.roster().last_announcement(&record.target).filter(|word| word.received_at > at)
        {
            let left = word.cold_until.saturating_duration_since(now);
            return u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        }
        let passed = u64::try_from(now.saturating_duration_since(at).as_millis());
        record.cold_remaining_ms.saturating_sub(passed.unwrap_or(u64::MAX))
    }
}

/// A digest of names; never zero, which stands for nothing known.
fn digest(names: impl Iterator<Item = String>) -> u64 {
    xxh3_64(names.collect::<Vec<_>>().join("\n").as_bytes()).max(1)
}
