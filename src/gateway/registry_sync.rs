use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use prost::{Message, bytes::Bytes};
use smol::{Timer, future::or};

use super::server::Gateway;
use crate::{
    event, id,
    registry::{
        ColdTarget, ColdTargets, ServiceLoad, TargetIncarnation, Update, UpdateRequest, VmInfo,
    },
    wire::Topic,
};

/// How long a replica holds a request for updates while there are none.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);
/// How long the reply may take beyond that; the one-way delay to another region is 55 ms.
const REPLY_ALLOWANCE: Duration = Duration::from_millis(500);
/// The delay after a replica failed to reply.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Gateway {
    /// Keeps the local copy of the registry up to date with one replica, and moves on to the next
    /// one when that fails or lags; runs as long as the VM.
    pub(super) async fn sync_registry(self: Arc<Self>) {
        self.fetch_first_routes().await;
        let mut index = 0;
        let mut logged_state = None;
        loop {
            let replicas = self.replicas();
            let vm = &replicas[index % replicas.len()];
            // A replica waits for changes, and there may be none since a suspension.
            let wait = if self.check_for_suspension() { Duration::ZERO } else { LONG_POLL_WAIT };
            let polled = self.poll_replica(vm, wait).await;
            let is_fresh = matches!(polled, Some(true));
            if is_fresh {
                self.follow_replica(vm);
            }
            let state = (vm.clone(), polled);
            if logged_state.as_ref() != Some(&state) {
                let outcome = match polled {
                    Some(true) => "follows",
                    Some(false) => "is behind",
                    None => "does not answer",
                };
                event::registry::FOLLOWED
                    .emit(&self.logger, &[("replica", vm), ("outcome", &outcome)]);
                logged_state = Some(state);
            }
            if is_fresh {
                // Goes back to the nearest replica from time to time.
                index = if index % replicas.len() == 0 || self.draw_keep_current_replica() {
                    index
                } else {
                    0
                };
            } else {
                index += 1;
                if index % replicas.len() == 0 {
                    self.reload_seeds();
                }
                Timer::after(RETRY_DELAY).await;
            }
        }
    }

    /// Polls all known replicas at once until one has sent the routes, because any of them may be
    /// down when this VM starts.
    async fn fetch_first_routes(&self) {
        while self.route_table().is_none() && !self.is_stopping() {
            let replicas = self.replicas();
            let mut polls: FuturesUnordered<_> =
                replicas.iter().map(|vm| self.poll_replica(vm, Duration::ZERO)).collect();
            while self.route_table().is_none() && polls.next().await.is_some() {}
            drop(polls);
            if self.route_table().is_none() {
                Timer::after(RETRY_DELAY).await;
            }
        }
    }

    /// Asks a replica for updates and applies them. Returns whether the replica is up to date
    /// itself, or `None` if it did not reply.
    async fn poll_replica(&self, vm: &id::Vm, wait: Duration) -> Option<bool> {
        let address = self.settings.links_address_of(vm)?;
        let was_stopping = self.is_stopping();
        let asked_at = self.clock.now();
        let asked_since_boot = self.clock.since_boot();
        let records_change = self.crash_records_changed.listen();
        let resumed = self.resumed.listen();
        let update_request = self.update_request(wait);
        let sends_crash_records = update_request.crashes.is_some();
        let payload = Bytes::from(update_request.encode_to_vec());
        let call = self.hub.call(address, Topic::Registry, payload, wait + REPLY_ALLOWANCE);
        // A VM that begins to stop, or that learns of a crash, reports it at once, not after the end
        // of this poll. One that was suspended asks again.
        let stop_begins = async {
            if was_stopping {
                std::future::pending::<()>().await;
            }
            self.wait_until_stopping().await;
        };
        let interruption = async {
            or(stop_begins, or(records_change, resumed)).await;
            None
        };
        let reply = or(async { Some(call.await) }, interruption).await;
        if sends_crash_records && !matches!(reply, Some(Ok(_))) {
            self.crash_suspects().mark_records_unsent();
        }
        let Some(reply) = reply else { return Some(true) };
        let update = Update::decode(reply.ok()?).ok()?;
        let is_fresh = update.fresh;
        let confirmed_after_ms = update.confirmed_after_ms;
        let routes_version = update.routes.as_ref().map(|routes| routes.version);
        self.apply_update(update, vm);
        if let Some(confirmed_after_ms) = confirmed_after_ms {
            self.record_key_confirmation(asked_since_boot, confirmed_after_ms, routes_version);
        }
        self.record_news(asked_at);
        Some(is_fresh && !self.is_key_confirmation_overdue())
    }

    /// Extends the lease on the keys, if this VM has the list of routes that the answer was made with.
    fn record_key_confirmation(
        &self,
        asked_at: Duration,
        confirmed_after_ms: i64,
        routes_version: Option<u64>,
    ) {
        let known_version = self.route_table().map(|table| table.version);
        let has_routes = known_version.is_some() && known_version >= routes_version;
        let offset = Duration::from_millis(confirmed_after_ms.unsigned_abs());
        let confirmed_at = if confirmed_after_ms < 0 {
            asked_at.saturating_sub(offset)
        } else {
            asked_at + offset
        };
        if has_routes {
            self.key_lease().record_confirmation(confirmed_at);
        }
    }

    /// A request for what changed since the local copy, with the state of this VM.
    fn update_request(&self, wait: Duration) -> UpdateRequest {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let (sender, now) = (self.own_info(), self.clock.now());
        let (crashes, blocked_digest) = {
            let mut suspects = self.crash_suspects();
            (suspects.take_unsent_records(now), suspects.blocked_digest())
        };
        let may_be_outdated = self.check_for_suspension();
        let mirror = self.mirror();
        let loads_age = mirror.loads_received_at().map(|at| now.saturating_duration_since(at));
        UpdateRequest {
            since_index: mirror.index(),
            sender,
            vms_digest: mirror.vms_digest(),
            max_wait_ms: millis(wait),
            loads_age_ms: loads_age.map(millis),
            // What was on its way during a suspension names ends that are too late.
            cold_digest: if may_be_outdated { 0 } else { mirror.cold_digest() },
            silent_digest: mirror.silent_digest(),
            crashes,
            blocked_digest,
            needs_confirmation: self.needs_key_confirmation(),
        }
    }

    /// Applies an update to the local copy and to everything that depends on it.
    fn apply_update(&self, update: Update, replica: &id::Vm) {
        let now = self.clock.now();
        let routes = update.routes.clone();
        if let Some(blocked) = &update.blocked_requests {
            let mut suspects = self.crash_suspects();
            let requests_changed =
                suspects.set_blocked_requests(blocked.digest, &blocked.requests, now);
            let parts_changed =
                suspects.set_blocked_parts(&blocked.parts, &blocked.suspect_parts, now);
            drop(suspects);
            if requests_changed || parts_changed {
                self.record_blocks(blocked);
            }
        }
        let applied = self.mirror().apply(update, now);
        self.log_cold_changes(replica);
        self.update_region_peers();
        for TargetIncarnation { target, incarnation } in self.mirror().take_ended_incarnations() {
            self.record_crash(&target, incarnation);
        }
        let unusable_targets = self.mirror().take_unusable_targets();
        for (target, address) in unusable_targets {
            event::registry::UNUSABLE
                .emit(&self.logger, &[("target", &target), ("address", &address)]);
        }
        if let Some(routes) = routes.filter(|_| applied) {
            self.apply_routes(routes.version, &routes.text);
        }
        self.record_dropped_lines();
        let mirror = self.mirror();
        let ready_vms = mirror.vms().iter().filter(|vm| vm.ready && !vm.callers_address.is_empty());
        self.retry_budget().update_vms(ready_vms.map(|vm| vm.vm.as_str()), now);
        let target_addresses: Vec<_> = mirror
            .services()
            .flat_map(|(_, targets)| targets.iter().map(|target| target.address))
            .collect();
        drop(mirror);
        self.connection_pool.sweep(|address| target_addresses.contains(address), now);
    }

    /// Records what a replica tells of the cold periods of targets as soon as it hears of them.
    pub(super) fn receive_cold_targets(&self, from: &id::Vm, payload: &Bytes) {
        match ColdTargets::decode(payload.clone()) {
            Ok(cold) => self.record_cold_targets(cold.targets, from),
            Err(cause) => event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]),
        }
    }

    /// Records what the VM `from` heard of cold targets.
    pub(super) fn record_cold_targets(&self, cold: Vec<ColdTarget>, from: &id::Vm) {
        let now = self.clock.now();
        if self.mirror().record_cold_targets(cold, now) {
            self.log_cold_changes(from);
        }
    }

    /// Logs the cold periods that this VM did not know before `heard_from` told it.
    fn log_cold_changes(&self, heard_from: &id::Vm) {
        let changes = self.mirror().take_cold_changes();
        for cold in changes {
            event::registry::COLD.emit(
                &self.logger,
                &[
                    ("target", &cold.target),
                    ("born", &cold.incarnation),
                    ("sequence", &cold.sequence),
                    ("cold_ms", &cold.remaining_ms),
                    ("age_ms", &cold.age_ms.unwrap_or_default()),
                    ("heard_from", heard_from),
                ],
            );
        }
    }

    /// The replicas to poll, in this order: known replicas in this region, other known replicas,
    /// seeds.
    pub(super) fn replicas(&self) -> Vec<id::Vm> {
        let mirror = self.mirror();
        let mut known: Vec<&VmInfo> =
            mirror.vms().iter().filter(|vm| vm.callers_address.is_empty()).collect();
        let own_region = self.settings.region.as_str();
        let own_vm = self.settings.vm();
        known.sort_by_key(|vm| (vm.region != own_region, pair_hash(own_vm.as_str(), &vm.vm)));
        let mut replicas: Vec<id::Vm> =
            known.into_iter().map(|vm| id::Vm::from(vm.vm.as_str())).collect();
        let mut seeds = self.seeds();
        seeds.sort_by_key(|seed| pair_hash(own_vm.as_str(), seed.as_str()));
        for seed in seeds {
            if !replicas.contains(&seed) {
                replicas.push(seed);
            }
        }
        replicas
    }

    /// The state of this VM as it reports it to replicas.
    fn own_info(&self) -> VmInfo {
        let settings = &self.settings;
        let callers_address =
            settings.callers.map(|callers| callers.to_string()).unwrap_or_default();
        VmInfo {
            vm: settings.vm().to_string(),
            region: settings.region.to_string(),
            zone: settings.zone.to_string(),
            callers_address,
            links_address: settings.links_address().to_string(),
            ready: self.is_ready(),
            incarnation: self.incarnation,
            loads: self.service_loads(),
            records_streams: false,
            weight: settings.machine.weight(),
        }
    }

    /// The load of each service that has targets in this region.
    fn service_loads(&self) -> Vec<ServiceLoad> {
        let now = self.clock.now();
        let mirror = self.mirror();
        let own_region = Some(&self.settings.region);
        let mut loads = Vec::new();
        for (service, targets) in mirror.services() {
            let local_targets: Vec<_> = targets
                .iter()
                .filter(|target| self.settings.region_of(&target.zone) == own_region)
                .collect();
            if local_targets.is_empty() {
                continue;
            }
            let local_load = self.balancer().local_load(&local_targets, now);
            loads.push(ServiceLoad {
                service: service.to_string(),
                slots: local_load.slots,
                requests: local_load.requests,
                min_backlog_ms: (local_load.min_backlog_secs * 1000.0).min(60_000.0) as u32,
                capacity_scarce: self.admission().is_capacity_scarce(service, now),
            });
        }
        loads
    }
}

/// A hash by which each VM sorts other VMs in an order of its own, so that VMs prefer different
/// ones.
pub(super) fn pair_hash(vm: &str, other_vm: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{vm} {other_vm}").as_bytes())
}
