use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender, future::or};
use xxhash_rust::xxh3::xxh3_64;

use super::{Control, server::lock};
use crate::{
    crash, event, id,
    registry::{
        BlockedRequests, RegionLoad, RegionLoads, SilentTargets, State, StateMachine, TargetRecord,
        Update, UpdateRequest, VmChanges, VmInfo,
    },
    replica::Group,
};

/// Time since the last contact with the leader up to which a replica counts as up to date. Covers
/// two heartbeats of the leader and the network delay.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Number of announcement intervals after which a target counts as silent. Covers two missed
/// announcements and the second between the heartbeat reports of replicas.
const SILENT_AFTER_INTERVALS: u32 = 3;
/// Delay before an update is sent, so that it holds several changes that occur together. The time
/// limits for spreading a change are seconds.
const UPDATE_DELAY: Duration = Duration::from_millis(60);
/// Age at which a VM's region loads are sent again.
const LOADS_MAX_AGE_MS: u64 = 500;
/// The most parts of prompts that VMs are asked about.
const MAX_SUSPECT_PARTS: usize = 256;
/// How often a majority is asked to confirm what a replica knows, while VMs need that.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(300);
/// Two round trips between regions and a sync of a slow disk.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a replica waits for a change before it answers.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Number of ready targets per region and service, as of a log index of the registry.
#[derive(Debug, Default)]
pub(super) struct ReadyTargetCounts {
    index: u64,
    targets: BTreeMap<(String, String), ReadyTargets>,
}

/// The ready targets of one service in one region.
#[derive(Clone, Debug, Default)]
struct ReadyTargets {
    count: u32,
    software_versions: BTreeSet<String>,
}

impl Control {
    /// Answers an update request as soon as there is a change, or after the requested wait.
    pub(super) async fn serve_update(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let request = match UpdateRequest::decode(payload) {
            Ok(request) => request,
            Err(cause) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]);
                return;
            }
        };
        lock(&self.polling_vms).insert(request.sender.vm.clone());
        self.record_vm(&request.sender);
        if let Some(crashes) = &request.crashes {
            self.merge_crashes(crashes);
            self.has_unsent_crashes.store(true, Ordering::Relaxed);
            self.crashes_reported.notify();
        }
        let received_at = self.clock.since_boot();
        let wait = Duration::from_millis(request.max_wait_ms).min(MAX_WAIT);
        if request.needs_confirmation {
            self.open_ledger();
            let confirming = smol::spawn(Arc::clone(&self).confirm_reads(received_at));
            if wait.is_zero() {
                confirming.await;
            } else {
                confirming.detach();
            }
        }
        let update = match self.group() {
            Some(group) => {
                self.wait_for_change(&group, &request, wait).await;
                // Read before the update is made, which then holds all that was confirmed.
                let confirmed_at = *lock(&self.read_confirmed_at);
                let confirmed_at = confirmed_at.filter(|_| request.needs_confirmation);
                let confirmed_after_ms = confirmed_at.map(|at| signed_ms_between(received_at, at));
                Update { confirmed_after_ms, ..self.update(&group, &request) }
            }
            None => Update::default(),
        };
        let _ = reply.send(Bytes::from(update.encode_to_vec())).await;
    }

    /// Has a majority confirm that what this replica knows is the newest, unless that was done lately.
    async fn confirm_reads(self: Arc<Self>, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < CONFIRMATION_INTERVAL;
        if lock(&self.read_confirmed_at).is_some_and(is_recent) {
            return;
        }
        if self.is_confirming_read.swap(true, Ordering::Relaxed) {
            return;
        }
        let began_at = self.clock.since_boot();
        if let Some(group) = self.group()
            && group.read_barrier(CONFIRMATION_TIMEOUT).await.is_ok()
        {
            *lock(&self.read_confirmed_at) = Some(began_at);
        }
        self.is_confirming_read.store(false, Ordering::Relaxed);
    }

    async fn wait_for_change(
        &self,
        group: &Group<StateMachine>,
        request: &UpdateRequest,
        wait: Duration,
    ) {
        let is_relevant = |record: &TargetRecord| self.is_relevant(record, &request.sender.region);
        let timer = async {
            Timer::after(wait).await;
        };
        let cold_change = self.cold_targets_changed.listen();
        let ready = self.ready_targets(group, &request.sender.region);
        let cold_differs =
            self.cold_targets(&ready, self.clock.now()).digest != request.cold_digest;
        let change = async {
            if cold_differs {
                return;
            }
            loop {
                let registry_change = group.read(StateMachine::listen);
                let vm_change = self.vms_changed.listen();
                let blocks_change = self.blocks_changed.listen();
                let vms_differ = self.heartbeats().vm_set().digest() != request.vms_digest;
                let blocks_differ = lock(&self.blocked_requests).digest != request.blocked_digest;
                if vms_differ
                    || blocks_differ
                    || group.read(|registry| {
                        Update::has_changes(registry, request.since_index, is_relevant)
                    })
                {
                    return;
                }
                or(registry_change, or(vm_change, blocks_change)).await;
            }
        };
        or(or(change, cold_change), timer).await;
        if !wait.is_zero() {
            Timer::after(UPDATE_DELAY).await;
        }
    }

    /// Whether a VM in `region` needs to know a target. VMs send requests only to targets of their
    /// own region. A target in a zone that the settings do not list is sent to every region.
    fn is_relevant(&self, record: &TargetRecord, region: &str) -> bool {
        let zone = id::Zone::from(record.zone.as_str());
        self.settings.region_of(&zone).is_none_or(|known| known.as_str() == region)
    }

    /// Records the heartbeat of a VM and notifies waiting tasks if the VM is new or has changed.
    fn record_vm(&self, info: &VmInfo) {
        let now = self.clock.now();
        let mut heartbeats = self.heartbeats();
        let known = heartbeats.vm_set().digest();
        heartbeats.record_vm(info.clone(), now);
        let changed = heartbeats.vm_set().digest() != known;
        drop(heartbeats);
        if changed {
            self.vms_changed.notify();
        }
    }

    /// The ready targets that VMs in `region` need to know.
    fn ready_targets(&self, group: &Group<StateMachine>, region: &str) -> Vec<TargetRecord> {
        let is_ready = |record: &&TargetRecord| {
            record.state() == State::Ready && self.is_relevant(record, region)
        };
        group.read(|registry| registry.targets().filter(is_ready).cloned().collect())
    }

    fn update(&self, group: &Group<StateMachine>, request: &UpdateRequest) -> Update {
        let now = self.clock.now();
        let is_relevant = |record: &TargetRecord| self.is_relevant(record, &request.sender.region);
        let mut update =
            group.read(|registry| Update::since(registry, request.since_index, is_relevant));
        let ready = self.ready_targets(group, &request.sender.region);
        let status = group.status().consensus;
        update.fresh =
            status.since_leader_contact.is_some_and(|elapsed| elapsed < LEADER_CONTACT_TIMEOUT);
        update.cold_targets =
            Some(self.cold_targets(&ready, now)).filter(|cold| cold.digest != request.cold_digest);
        update.silent_targets = Some(self.silent_targets(&ready, now))
            .filter(|silent| silent.digest != request.silent_digest);
        update.vm_changes = self.vm_changes(request.vms_digest);
        update.blocked_requests = Some(lock(&self.blocked_requests).clone())
            .filter(|blocked| blocked.digest != request.blocked_digest);
        if request.loads_age_ms.is_none_or(|age| age >= LOADS_MAX_AGE_MS) {
            update.loads = Some(self.region_loads(group, now));
        }
        update
    }

    /// Merges what a VM or another replica knows of crashes.
    pub(super) fn merge_crashes(&self, record_set: &crash::RecordSet) {
        let now = self.clock.now();
        lock(&self.crashes).merge(now, record_set);
        if let Some(parts) = &record_set.parts {
            lock(&self.crash_parts).merge(now, parts);
        }
        self.update_blocked_requests();
    }

    /// Determines anew what VMs refuse, and notifies waiting tasks of a change.
    pub(super) fn update_blocked_requests(&self) {
        let now = self.clock.now();
        let (mut crashes, mut crash_parts) = (lock(&self.crashes), lock(&self.crash_parts));
        crashes.remove_expired(now);
        crash_parts.remove_expired(now);
        let requests = crashes.blocked_requests(now);
        let parts = crash_parts.blocked_parts(now);
        let mut suspect_parts = crash_parts.suspect_parts(now);
        drop((crashes, crash_parts));
        suspect_parts.truncate(MAX_SUSPECT_PARTS);
        let names = requests.iter().map(|request| format!("{:?}", request.digest));
        let names = names.chain(parts.iter().map(|blocked| format!("{:?}", blocked.parts)));
        let names = names.chain(suspect_parts.iter().map(|part| format!("suspect {part}")));
        let is_empty = requests.is_empty() && parts.is_empty() && suspect_parts.is_empty();
        let digest = if is_empty { 0 } else { digest(names) };
        let blocked = BlockedRequests { digest, requests, parts, suspect_parts };
        let known = std::mem::replace(&mut *lock(&self.blocked_requests), blocked);
        if known.digest != digest {
            self.blocks_changed.notify();
        }
    }

    fn silent_targets(&self, ready: &[TargetRecord], now: Instant) -> SilentTargets {
        let limit = self.settings.announce_interval * SILENT_AFTER_INTERVALS;
        let heartbeats = self.heartbeats();
        // A replica that has just started has not yet heard from targets that are alive.
        let silent_if_unheard = now.saturating_duration_since(self.started_at) > limit;
        let is_silent = |record: &&TargetRecord| {
            let last = heartbeats.last_announcement(&record.target);
            last.map_or(silent_if_unheard, |last| {
                now.saturating_duration_since(last.received_at) > limit
            })
        };
        let targets: Vec<String> =
            ready.iter().filter(is_silent).map(|record| record.target.clone()).collect();
        SilentTargets { digest: digest(targets.iter().cloned()), targets }
    }

    /// The changes to the set of VMs since it had the digest `known`, or the full set if the
    /// changes are no longer kept; `None` if nothing changed.
    fn vm_changes(&self, known: u64) -> Option<VmChanges> {
        let heartbeats = self.heartbeats();
        let vm_set = heartbeats.vm_set();
        if vm_set.digest() == known {
            return None;
        }
        let changed = vm_set.changed_since(known);
        let (full, names) = match changed {
            Some(changed) => (false, changed),
            None => (true, vm_set.vms().collect()),
        };
        let (present, removed): (Vec<&str>, Vec<&str>) =
            names.into_iter().partition(|vm| vm_set.contains(vm));
        let present = present.into_iter().filter_map(|vm| heartbeats.vm(vm));
        // Other VMs get these loads as `Update::loads`.
        let present = present.map(|info| VmInfo { loads: Vec::new(), ..info.clone() });
        let removed = removed.into_iter().map(ToOwned::to_owned);
        Some(VmChanges {
            digest: vm_set.digest(),
            full,
            present: present.collect(),
            removed: removed.collect(),
        })
    }

    /// The load of each service in each region where it has ready targets.
    fn region_loads(&self, group: &Group<StateMachine>, now: Instant) -> RegionLoads {
        let mut counts = lock(&self.ready_target_counts);
        let index = group.read(StateMachine::index);
        if counts.index != index || counts.targets.is_empty() {
            *counts = ReadyTargetCounts { index, targets: self.count_ready_targets(group) };
        }
        let heartbeats = self.heartbeats();
        let loads = heartbeats.loads(now);
        let region_load = |((region, service), ready): (&(String, String), &ReadyTargets)| {
            let load = loads.get(&(region.as_str(), service.as_str()));
            let load = load.map(|load| (*load).clone()).unwrap_or_default();
            RegionLoad {
                region: region.clone(),
                service: service.clone(),
                slots: load.slots,
                requests: load.requests,
                min_backlog_ms: load.min_backlog_ms,
                capacity_scarce: load.capacity_scarce,
                ready_targets: ready.count,
                software_versions: ready.software_versions.iter().cloned().collect(),
            }
        };
        RegionLoads { regions: counts.targets.iter().map(region_load).collect() }
    }

    /// The ready targets outside of drained zones, by region and service.
    fn count_ready_targets(
        &self,
        group: &Group<StateMachine>,
    ) -> BTreeMap<(String, String), ReadyTargets> {
        let mut counts: BTreeMap<(String, String), ReadyTargets> = BTreeMap::new();
        group.read(|registry| {
            let drained: Vec<&str> = registry.drained_zones().collect();
            for record in registry.targets().filter(|record| record.state() == State::Ready) {
                let zone = id::Zone::from(record.zone.as_str());
                let region = self.settings.region_of(&zone);
                if let Some(region) = region.filter(|_| !drained.contains(&record.zone.as_str())) {
                    let key = (region.to_string(), record.service.clone());
                    let ready = counts.entry(key).or_default();
                    ready.count += 1;
                    if !record.software_version.is_empty() {
                        ready.software_versions.insert(record.software_version.clone());
                    }
                }
            }
        });
        counts
    }
}

/// Digest of a list of names. It is never 0, which an update request sends for "nothing known".
fn digest(names: impl Iterator<Item = String>) -> u64 {
    xxh3_64(names.collect::<Vec<_>>().join("\n").as_bytes()).max(1)
}

/// Milliseconds from `start` to `end`; negative if `end` is earlier.
fn signed_ms_between(start: Duration, end: Duration) -> i64 {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    millis(end).saturating_sub(millis(start))
}
