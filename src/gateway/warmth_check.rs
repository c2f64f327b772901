use std::{sync::Arc, time::Duration};

use hyper::{HeaderMap, Request, StatusCode, header::HOST};

use super::{connection_pool::KeepAlive, load_sharing::share_interval, server::Gateway};
use crate::{clock::within, http, registry::Target};

/// A VM without news asks a target once in as many intervals of load messages. In regions with more
/// VMs each asks less often, as it sends less.
const SHARES_PER_CHECK: u32 = 4;
/// What an answer says holds for this long beyond the interval, in which the next one is on its way.
const EVIDENCE_ALLOWANCE: Duration = Duration::from_millis(200);
/// A target that is full lets a check wait as any request.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// The most bytes that are read of an answer.
const MAX_BODY_BYTES: usize = 1 << 16;

impl Gateway {
    /// Asks the targets of this region how long they are cold, if no replica has told for a while. A
    /// VM that is cut off from all others still reaches them.
    pub(super) fn check_targets_without_news(self: &Arc<Self>) {
        let now = self.clock.now();
        if !self.mirror().is_without_news(now) {
            return;
        }
        let Some(table) = self.route_table() else { return };
        let peers = self.region_peers();
        let vm_count = peers.vm_count();
        let interval = share_interval(vm_count - 1) * SHARES_PER_CHECK;
        let mut checks = Vec::new();
        for (service, targets) in self.mirror().services() {
            let limited = |it: &&crate::route::Service| it.cold_requests_per_sec > 0.0;
            let Some(service) = table.service(service).filter(limited) else { continue };
            let Some(path) = service.health_path.clone() else { continue };
            let max_open = match service.max_connections {
                0 => usize::MAX,
                total => usize::try_from(total / vm_count).unwrap_or(usize::MAX).max(1),
            };
            let is_local = |target: &&Target| {
                self.settings.region_of(&target.zone) == Some(&self.settings.region)
            };
            let warm = targets.iter().filter(is_local).filter(|target| target.cold_until <= now);
            checks.extend(warm.map(|target| (target.clone(), path.clone(), max_open)));
        }
        let mut balancer = self.balancer();
        checks.retain(|(target, ..)| balancer.takes_warmth_check(target, &peers, interval, now));
        drop(balancer);
        for (target, path, max_open) in checks {
            let gateway = Arc::clone(self);
            smol::spawn(async move {
                let cold_for = gateway.ask_for_cold_time(&target, &path, max_open).await;
                let now = gateway.clock.now();
                if let Some(cold_for) = cold_for {
                    let valid_for = interval + EVIDENCE_ALLOWANCE;
                    gateway.balancer().record_warmth(&target, cold_for, valid_for, now);
                }
            })
            .detach();
        }
    }

    /// How long a target says that it is cold; `None` if it does not answer as the target that is
    /// meant.
    async fn ask_for_cold_time(
        &self,
        target: &Target,
        path: &str,
        max_open: usize,
    ) -> Option<Duration> {
        let request =
            Request::get(path).header(HOST, target.address.to_string()).body(http::empty()).ok()?;
        let now = self.clock.now();
        let exchange = async {
            let pool = &self.connection_pool;
            let (address, incarnation) = (target.address, target.incarnation);
            let lease = pool.acquire(address, incarnation, false, max_open, now).await;
            let mut lease = lease.ok()?;
            lease.connection.head.start();
            let response = lease.connection.sender.try_send_request(request).await.ok()?;
            lease.connection.head.complete();
            let (head, mut body) = response.into_parts();
            http::collect(&mut body, MAX_BODY_BYTES).await.ok()?;
            let keep_alive = KeepAlive::from_headers(&head.headers);
            lease.release(&keep_alive, self.clock.now());
            (head.status == StatusCode::OK).then_some(head.headers)
        };
        let headers = within(CHECK_TIMEOUT, exchange).await??;
        self.cold_time(target, &headers)
    }

    fn cold_time(&self, target: &Target, headers: &HeaderMap) -> Option<Duration> {
        let names = &self.header_names;
        let text = |name| headers.get(name).map(|value| value.to_str().unwrap_or_default());
        if text(&names.target) != Some(target.target.as_str()) {
            return None;
        }
        // A warm target may leave it out.
        let millis = text(&names.cold_ms).map_or(Some(0.0), |value| value.trim().parse().ok())?;
        Duration::try_from_secs_f64(f64::max(millis, 0.0) / 1000.0).ok()
    }
}
