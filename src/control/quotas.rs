use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use prost::{Message, bytes::Bytes};
use smol::channel::Sender;

use super::{Control, server::lock};
use crate::{
    event,
    figure::Page,
    id,
    quota::{GrantReply, GrantRequest, Ledger, Settings},
};

/// The monotonic clock and the clock that counts suspensions differ by more than this only after a
/// suspension.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(20);

/// The ledger of the term in which this replica leads.
#[derive(Debug, Default)]
pub(super) struct GrantLedger {
    term: u64,
    ledger: Option<Ledger>,
    /// Both clocks when they were last compared.
    clocks: Option<(Instant, Duration)>,
    /// A leadership that was confirmed before counts for nothing, as another replica may lead since.
    resumed_at: Option<Instant>,
}

impl GrantLedger {
    /// Compares the clocks, which differ after a suspension of the machine.
    fn observe(&mut self, now: Instant, since_boot: Duration) {
        if let Some((last_now, last_since_boot)) = self.clocks.replace((now, since_boot)) {
            let elapsed = now.saturating_duration_since(last_now);
            let elapsed_since_boot = since_boot.saturating_sub(last_since_boot);
            if elapsed_since_boot.saturating_sub(elapsed) > MAX_CLOCK_DIFFERENCE {
                self.resumed_at = Some(now);
            }
        }
    }
}

impl Control {
    /// Writes the state of the ledger to a page of metrics, without a row for each organisation, as there
    /// may be very many.
    pub(super) fn write_quota_metrics(&self, page: &mut Page) {
        let grants = lock(&self.grants);
        let levels = || grants.ledger.iter().flat_map(Ledger::levels);
        let used_up = levels().filter(|(_, level)| *level <= 0.0).count();
        page.gauge("quotas", &[("state", &"in use")], levels().count() as f64);
        page.gauge("quotas", &[("state", &"used up")], used_up as f64);
    }

    /// Answers a VM that asks for grants.
    pub(super) async fn serve_grants(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let request = match GrantRequest::decode(payload) {
            Ok(request) => request,
            Err(cause) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]);
                return;
            }
        };
        let grant_reply = self.grant(&request);
        let _ = reply.send(Bytes::from(grant_reply.encode_to_vec())).await;
    }

    fn grant(&self, request: &GrantRequest) -> GrantReply {
        let Some(group) = self.group() else { return GrantReply::default() };
        let table = self.route_table();
        let vm_count = self.heartbeats().vm_set().vms().count();
        let vm_count = u32::try_from(vm_count).unwrap_or(u32::MAX);
        let (now, since_boot) = (self.clock.now(), self.clock.since_boot());
        let mut grants = lock(&self.grants);
        grants.observe(now, since_boot);
        let resumed_at = grants.resumed_at;
        let lease = group.leader_lease();
        let lease = lease.filter(|lease| resumed_at.is_none_or(|at| lease.confirmed_at >= at));
        let Some(lease) = lease else {
            let leader = group.status().consensus.leader.map(|leader| leader.to_string());
            return GrantReply { leader: leader.unwrap_or_default(), ..GrantReply::default() };
        };
        // A list that this replica cannot parse is not in force; no quota can be told from it.
        let organisations = table.as_ref().and_then(|table| table.organisations.as_ref());
        let Some(organisations) = organisations else { return GrantReply::default() };
        if grants.term != lease.term || grants.ledger.is_none() {
            let bounds = self.settings.bounds;
            let settings = Settings {
                window: bounds.quota_window,
                excess_ratio: bounds.quota_excess_ratio,
                slack: bounds.quota_slack,
            };
            (grants.term, grants.ledger) = (lease.term, Some(Ledger::new(settings, since_boot)));
            event::registry::GRANTS.emit(&self.logger, &[("term", &lease.term)]);
        }
        let Some(ledger) = &mut grants.ledger else { return GrantReply::default() };
        let grant = |need: &crate::quota::Need| {
            let name = id::Organisation::from(need.organisation.as_str());
            let quota = organisations.find(&name).and_then(|organisation| organisation.quota);
            ledger.grant(need, quota, vm_count, since_boot)
        };
        let granted = request.needs.iter().map(grant).collect();
        GrantReply { leads: true, leader: self.settings.vm().to_string(), grants: granted }
    }
}
