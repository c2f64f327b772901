use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use prost::{Message, bytes::Bytes};
use smol::{Timer, future::or};

use super::server::Gateway;
use crate::{
    event, id,
    registry::{ServiceLoad, TargetIncarnation, Update, UpdateRequest, VmInfo},
    wire::Topic,
};

/// How long a replica may wait for something new before it answers.
const WAIT: Duration = Duration::from_millis(1000);
/// How long the answer may take beyond that: another region is 55 ms away.
const BEYOND: Duration = Duration::from_millis(500);
/// The pause after a replica failed to answer.
const PAUSE: Duration = Duration::from_millis(100);

impl Gateway {
    /// Asks replicas for what changed, one after the other, for as long as the VM runs.
    pub(super) async fn sync_registry(self: Arc<Self>) {
        self.ask_all().await;
        let mut turn = 0;
        let mut former = None;
        loop {
            let replicas = self.replicas();
            let vm = &replicas[turn % replicas.len()];
            let asked = self.ask(vm, WAIT).await;
            let fresh = matches!(asked, Some(true));
            let state = (vm.clone(), asked);
            if former.as_ref() != Some(&state) {
                let word = match asked {
                    Some(true) => "follows",
                    Some(false) => "is behind",
                    None => "does not answer",
                };
                event::registry::FOLLOWED
                    .emit(&self.logger, &[("replica", vm), ("outcome", &word)]);
                former = Some(state);
            }
            if fresh {
                // Nearer ones are tried again now and then.
                turn = if turn % replicas.len() == 0 || self.keeps_current_replica() {
                    turn
                } else {
                    0
                };
            } else {
                turn += 1;
                if turn % replicas.len() == 0 {
                    self.reload_seeds();
                }
                Timer::after(PAUSE).await;
            }
        }
    }

    /// Asks all replicas that are known at once, until one has told the routes: at the start any of
    /// them may be down.
    async fn ask_all(&self) {
        while self.route_table().is_none() && !self.is_stopping() {
            let replicas = self.replicas();
            let mut asked: FuturesUnordered<_> =
                replicas.iter().map(|vm| self.ask(vm, Duration::ZERO)).collect();
            while self.route_table().is_none() && asked.next().await.is_some() {}
            drop(asked);
            if self.route_table().is_none() {
                Timer::after(PAUSE).await;
            }
        }
    }

    /// Asks one replica; whether it answered, and whether it misses nothing.
    async fn ask(&self, vm: &id::Vm, wait: Duration) -> Option<bool> {
        let address = self.settings.links_address_of(vm)?;
        let stopping = self.is_stopping();
        let ask = self.question(wait);
        let told = ask.crashes.is_some();
        let payload = Bytes::from(ask.encode_to_vec());
        let call = self.hub.call(address, Topic::Registry, payload, wait + BEYOND);
        // A VM that begins to stop says so at once, not with its next question.
        let stops = async {
            if stopping {
                std::future::pending::<()>().await;
            }
            self.stop_requested().await;
            Err(crate::link::Error::Closed)
        };
        let reply = or(call, stops).await;
        if told && reply.is_err() {
            self.crash_suspects().mark_records_unsent();
        }
        if !stopping && self.is_stopping() {
            return Some(true);
        }
        let news = Update::decode(reply.ok()?).ok()?;
        let fresh = news.fresh;
        self.take(news);
        Some(fresh)
    }

    fn question(&self, wait: Duration) -> UpdateRequest {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let (sender, now) = (self.own_entry(), self.clock.now());
        let (crashes, blocked_digest) = {
            let mut suspects = self.crash_suspects();
            (suspects.take_unsent_records(now), suspects.blocked_digest())
        };
        let mirror = self.mirror();
        let loads_age = mirror.loads_received_at().map(|at| now.saturating_duration_since(at));
        UpdateRequest {
            since_index: mirror.index(),
            sender,
            vms_digest: mirror.vms_digest(),
            max_wait_ms: millis(wait),
            loads_age_ms: loads_age.map(millis),
            cold_digest: mirror.cold_digest(),
            silent_digest: mirror.silent_digest(),
            crashes,
            blocked_digest,
        }
    }

    fn take(&self, news: Update) {
        let now = self.clock.now();
        let routes = news.routes.clone();
        if let Some(convicts) = &news.blocked_requests {
            self.crash_suspects().set_blocked_requests(convicts.digest, &convicts.requests, now);
            event::placement::CRASHING
                .emit(&self.logger, &[("requests", &convicts.requests.len())]);
        }
        let newer = self.mirror().apply(news, now);
        for TargetIncarnation { target, incarnation } in self.mirror().take_ended_incarnations() {
            let suspected = self.crash_suspects().record_incarnation_end(&target, incarnation, now);
            if suspected > 0 {
                event::placement::SUSPECT
                    .emit(&self.logger, &[("target", &target), ("requests", &suspected)]);
            }
        }
        if let Some(routes) = routes.filter(|_| newer) {
            self.apply_routes(routes.version, &routes.text);
        }
        self.record_left_out();
        let mirror = self.mirror();
        let vms =
            mirror.vms().iter().filter(|vm| vm.ready && !vm.callers_address.is_empty()).count();
        self.retry_budget().set_vm_count(u32::try_from(vms).unwrap_or(u32::MAX));
        let addresses: Vec<_> = mirror
            .services()
            .flat_map(|(_, targets)| targets.iter().map(|target| target.address))
            .collect();
        drop(mirror);
        self.connection_pool.sweep(|address| addresses.contains(address), now);
    }

    /// The replicas to ask: those of this region first, then others that were learned of, then the
    /// seeds.
    fn replicas(&self) -> Vec<id::Vm> {
        let mirror = self.mirror();
        let mut known: Vec<&VmInfo> =
            mirror.vms().iter().filter(|vm| vm.callers_address.is_empty()).collect();
        let here = self.settings.region.as_str();
        let own = self.settings.vm();
        known.sort_by_key(|vm| (vm.region != here, mix(own.as_str(), &vm.vm)));
        let mut replicas: Vec<id::Vm> =
            known.into_iter().map(|vm| id::Vm::from(vm.vm.as_str())).collect();
        let mut seeds = self.seeds();
        seeds.sort_by_key(|seed| mix(own.as_str(), seed.as_str()));
        for seed in seeds {
            if !replicas.contains(&seed) {
                replicas.push(seed);
            }
        }
        replicas
    }

    /// What this VM says of itself.
    fn own_entry(&self) -> VmInfo {
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
            loads: self.loads(),
        }
    }

    /// How busy the targets of this region are.
    fn loads(&self) -> Vec<ServiceLoad> {
        let now = self.clock.now();
        let mirror = self.mirror();
        let here = Some(&self.settings.region);
        let mut loads = Vec::new();
        for (service, targets) in mirror.services() {
            let near: Vec<_> = targets
                .iter()
                .filter(|target| self.settings.region_of(&target.zone) == here)
                .collect();
            if near.is_empty() {
                continue;
            }
            let busy = self.balancer().local_load(&near, now);
            loads.push(ServiceLoad {
                service: service.to_string(),
                slots: busy.slots,
                requests: busy.requests,
                min_backlog_ms: (busy.min_backlog_secs * 1000.0).min(60_000.0) as u32,
                capacity_scarce: self.admission().is_capacity_scarce(service, now),
            });
        }
        loads
    }
}

/// A number by which each VM puts other VMs in an order of its own, so that all are spread.
pub(super) fn mix(one: &str, other: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{one} {other}").as_bytes())
}
