use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use prost::{Message, bytes::Bytes};
use smol::{Timer, future::or};

use super::shell::Gateway;
use crate::{
    event, id,
    registry::{Ask, Entry, Lifetime, Load, News},
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
            let polled = self.poll_replica(vm, LONG_POLL_WAIT).await;
            let is_fresh = matches!(polled, Some(true));
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
                index =
                    if index % replicas.len() == 0 || self.nearest_is_tried() { index } else { 0 };
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
        while self.table().is_none() && !self.is_stopping() {
            let replicas = self.replicas();
            let mut polls: FuturesUnordered<_> =
                replicas.iter().map(|vm| self.poll_replica(vm, Duration::ZERO)).collect();
            while self.table().is_none() && polls.next().await.is_some() {}
            drop(polls);
            if self.table().is_none() {
                Timer::after(RETRY_DELAY).await;
            }
        }
    }

    /// Asks a replica for updates and applies them. Returns whether the replica is up to date
    /// itself, or `None` if it did not reply.
    async fn poll_replica(&self, vm: &id::Vm, wait: Duration) -> Option<bool> {
        let address = self.settings.links_of(vm)?;
        let was_stopping = self.is_stopping();
        let ask = self.update_request(wait);
        let sends_crashes = ask.crashes.is_some();
        let payload = Bytes::from(ask.encode_to_vec());
        let call = self.hub.call(address, Topic::Registry, payload, wait + REPLY_ALLOWANCE);
        // A VM that begins to stop reports it at once, not after the end of this poll.
        let stop_begins = async {
            if was_stopping {
                std::future::pending::<()>().await;
            }
            self.stops().await;
            Err(crate::link::Error::Closed)
        };
        let reply = or(call, stop_begins).await;
        if sends_crashes && reply.is_err() {
            self.suspects().not_told();
        }
        if !was_stopping && self.is_stopping() {
            return Some(true);
        }
        let news = News::decode(reply.ok()?).ok()?;
        let is_fresh = news.fresh;
        self.apply_update(news);
        Some(is_fresh)
    }

    /// A request for what changed since the local copy, with the state of this VM.
    fn update_request(&self, wait: Duration) -> Ask {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let (entry, now) = (self.own_info(), self.clock.now());
        let (crashes, convicts) = {
            let mut suspects = self.suspects();
            (suspects.notice(now), suspects.known())
        };
        let mirror = self.mirror();
        let loads_age = mirror.loads_at().map(|at| now.saturating_duration_since(at));
        Ask {
            since: mirror.index(),
            entry,
            known: mirror.known(),
            wait_ms: millis(wait),
            loads_age_ms: loads_age.map(millis),
            cold: mirror.cold_digest(),
            silent: mirror.silent_digest(),
            crashes,
            convicts,
        }
    }

    /// Applies an update to the local copy and to everything that depends on it.
    fn apply_update(&self, news: News) {
        let now = self.clock.now();
        let routes = news.routes.clone();
        if let Some(convicts) = &news.convicts {
            self.suspects().take(convicts.digest, &convicts.requests, now);
            event::placement::CRASHING
                .emit(&self.logger, &[("requests", &convicts.requests.len())]);
        }
        let applied = self.mirror().take(news, now);
        for Lifetime { target, born } in self.mirror().take_ended() {
            let suspect_count = self.suspects().ended(&target, born, now);
            if suspect_count > 0 {
                event::placement::SUSPECT
                    .emit(&self.logger, &[("target", &target), ("requests", &suspect_count)]);
            }
        }
        if let Some(routes) = routes.filter(|_| applied) {
            self.take_routes(routes.version, &routes.text);
        }
        self.record_dropped_lines();
        let mirror = self.mirror();
        let vm_count = mirror.vms().iter().filter(|vm| vm.ready && !vm.callers.is_empty()).count();
        self.allowance().set_vms(u32::try_from(vm_count).unwrap_or(u32::MAX));
        let target_addresses: Vec<_> = mirror
            .services()
            .flat_map(|(_, targets)| targets.iter().map(|target| target.address))
            .collect();
        drop(mirror);
        self.pool.sweep(|address| target_addresses.contains(address), now);
    }

    /// The replicas to poll, in this order: known replicas in this region, other known replicas,
    /// seeds.
    fn replicas(&self) -> Vec<id::Vm> {
        let mirror = self.mirror();
        let mut known: Vec<&Entry> =
            mirror.vms().iter().filter(|vm| vm.callers.is_empty()).collect();
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
    fn own_info(&self) -> Entry {
        let settings = &self.settings;
        let callers = settings.callers.map(|callers| callers.to_string()).unwrap_or_default();
        Entry {
            vm: settings.vm().to_string(),
            region: settings.region.to_string(),
            zone: settings.zone.to_string(),
            callers,
            links: settings.links().to_string(),
            ready: self.is_ready(),
            incarnation: self.incarnation,
            loads: self.service_loads(),
        }
    }

    /// The load of each service that has targets in this region.
    fn service_loads(&self) -> Vec<Load> {
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
            let local_load = self.board().busy(&local_targets, now);
            loads.push(Load {
                service: service.to_string(),
                slots: local_load.slots,
                requests: local_load.requests,
                delay_ms: (local_load.delay * 1000.0).min(60_000.0) as u32,
                scarce: self.admission().is_scarce(service, now),
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
