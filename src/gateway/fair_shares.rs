use xxhash_rust::xxh3::xxh3_64;

use super::{
    admission::priority_limit_secs, balancer::Pick, dispatch::DispatchState,
    routed_request::RoutedRequest, server::Gateway,
};
use crate::{
    event,
    fairness::{Demand, Standing},
    organisation::Unit,
};

impl Gateway {
    /// How a request stands among those that compete for capacity; `None` without organisations. The VM
    /// that received it from its caller applies the shares.
    pub(super) fn standing(&self, request: &RoutedRequest) -> Option<Standing> {
        if !self.has_organisations() {
            return None;
        }
        let (demand, now) = (request.demand(), self.clock.now());
        let standing = self.admission().standing(&request.service, &demand, request.number(), now);
        if request.handed_over {
            return Some(standing.of_handover());
        }
        Some(standing)
    }

    /// Records the first decision about a request.
    pub(super) fn record_admission(
        &self,
        request: &RoutedRequest,
        is_admitted: bool,
        state: &mut DispatchState,
    ) {
        if state.is_admitted.is_some() || request.handed_over || !self.has_organisations() {
            return;
        }
        state.is_admitted = Some(is_admitted);
        let (demand, number, now) = (request.demand(), request.number(), self.clock.now());
        let standing = self.admission().standing(&request.service, &demand, number, now);
        self.admission().record_admission(&request.service, &demand, number, is_admitted, now);
        self.metrics().record_admission(standing.label(), is_admitted);
        if !is_admitted && standing.excess > 1.0 && self.sampler().passes(now) {
            let excess = format!("{:.2}", standing.excess);
            let organisation = request.organisation.as_ref().map_or("", |it| it.name.as_str());
            let fields: [event::Field<'_>; 3] =
                [("request", &request.id), ("organisation", &organisation), ("excess", &excess)];
            event::placement::ABOVE_SHARE.emit(&self.logger, &fields);
        }
    }

    /// Records that a request was refused after it had been admitted, for example by another region.
    pub(super) fn record_late_refusal(&self, request: &RoutedRequest) {
        let (demand, number, now) = (request.demand(), request.number(), self.clock.now());
        self.admission().record_late_refusal(&request.service, &demand, number, now);
    }

    fn has_organisations(&self) -> bool {
        self.route_table().is_some_and(|table| table.organisations.is_some())
    }
}

/// Whether less than half of the slots of the chosen target are used.
pub(super) fn has_free_slots(pick: Option<&Pick>) -> bool {
    pick.is_some_and(|pick| pick.in_flight.saturating_mul(2) < pick.target.slots)
}

impl RoutedRequest {
    /// What the request asks for, as far as shares are concerned.
    fn demand(&self) -> Demand<'_> {
        let organisation = self.organisation.as_ref();
        let quota = organisation.and_then(|organisation| organisation.quota);
        let quota = quota.filter(|quota| matches!(quota.unit, Unit::Tokens { .. }));
        // Kinds of requests compete by their routes; the priority of the organisation applies to all of its
        // kinds alike.
        let priority = self.route.priority;
        Demand {
            organisation: organisation.map(|organisation| &organisation.name),
            weight: quota.map(|quota| quota.per_sec),
            route: &self.route.name,
            priority,
            session: self.prompt.shared_prefix_key(),
            unread_tokens: self.prompt.unshared_tokens(),
            max_output_tokens: self.prompt.max_output_tokens,
            limit_secs: priority_limit_secs(self.route.latency_objective, priority),
        }
    }

    /// Identifies the request if its caller repeats the request ID.
    fn number(&self) -> u64 {
        xxh3_64(self.id.as_bytes())
    }
}
