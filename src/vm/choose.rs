use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Vm,
    routing::{Route, Routing},
    trip::Trip,
};
use crate::{
    event, id,
    outcome::{Reason, Refusal},
    path::{self, Admitted, Attempts},
    placement::{self, Candidate, Decision, Query, RegionSummary},
    settings::Peer,
    stop,
    target::{Announcement, Report, View},
};

/// Places that a target's batch is taken to have where a summary does not tell.
const SLOTS_UNTOLD: u32 = 16;
/// When a caller of another region may find a place again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where to send a request next.
#[derive(Debug)]
pub(super) enum Choice {
    /// To a target of this region; it is counted as sent there.
    Target(Trip),
    /// To a VM of another region.
    Vm(Peer),
    /// Nowhere yet: it was in flight where a target died, and other such requests run on every
    /// target that is left.
    Wait,
    /// Nowhere, for a reason of its own.
    Refuse(Refusal),
    /// Nowhere: no permitted place is known.
    None,
}

impl Vm {
    /// Chooses by the policy where the request goes, and counts it there.
    pub(super) fn choose(
        self: &Arc<Self>,
        request: &path::Request<Admitted>,
        route: &Arc<Route>,
        attempts: &Attempts,
    ) -> Choice {
        let now = self.clock.now();
        let stops = self.planned_stops();
        let peers = self.far_peers(request, attempts);
        let targets = self.targets();
        let mut routing = self.routing();
        if let Some(refusal) = routing.refused(now, route.digest) {
            return Choice::Refuse(refusal);
        }
        let tried: Vec<id::Target> = attempts.tried_targets().iter().cloned().collect();
        let reports: Vec<&Report> = targets
            .reports(&route.need, now)
            .filter(|report| !is_stopped(&stops, &report.announcement))
            .filter(|report| !tried.contains(&report.announcement.target))
            .collect();
        let mut open: Vec<_> = reports.iter().map(|report| self.candidate(report, now)).collect();
        routing.pass_over(now, &mut open);
        let known = !open.is_empty();
        if routing.is_suspect(now, route.digest) {
            routing.keep_apart(now, &mut open);
            if known && open.is_empty() {
                return Choice::Wait;
            }
        } else if self.keeps_reserve(request, &open) {
            return Choice::Refuse(reserved());
        }
        let stays = known && !request.stage.resolved.idempotent;
        let regions = if stays { Vec::new() } else { self.regions(&targets, route, &peers, now) };
        let query = Query {
            prompt: &route.prompt,
            allowed_regions: &request.stage.resolved.allowance.regions,
            candidates: &open,
            region_summaries: &regions,
            tried_targets: &tried,
        };
        let decision = routing.decide(now, &route.need, query);
        self.tell(request, &decision);
        let target = |target: &id::Target| {
            let found = reports.iter().find(|report| report.announcement.target == *target);
            found.map(|report| report.announcement.clone())
        };
        self.go(now, &decision, target, &mut routing, route, peers)
    }

    /// Counts the request where the decision sends it.
    fn go(
        self: &Arc<Self>,
        now: Instant,
        decision: &Decision,
        announcement: impl Fn(&id::Target) -> Option<Announcement>,
        routing: &mut Routing,
        route: &Arc<Route>,
        peers: Vec<Peer>,
    ) -> Choice {
        match &decision.choice {
            placement::Choice::Target(target) => {
                let Some(announcement) = announcement(target) else { return Choice::None };
                routing.started(now, target, route);
                Choice::Target(Trip::new(self, announcement, route, now))
            }
            placement::Choice::Region(region) => {
                let Some(peer) = peers.into_iter().find(|peer| peer.region == *region) else {
                    return Choice::None;
                };
                routing.handed_over(now, region, &route.need);
                Choice::Vm(peer)
            }
            placement::Choice::None => Choice::None,
        }
    }

    fn candidate<'a>(&self, report: &'a Report, now: Instant) -> Candidate<'a> {
        let Announcement { target, region, zone, incarnation, load, .. } = &report.announcement;
        let one_way_delay = self.settings.placement.zone_distance(*zone == self.settings.zone);
        let report_age = report.age(now);
        Candidate {
            target,
            region,
            incarnation: *incarnation,
            load: *load,
            report_age,
            one_way_delay,
        }
    }

    /// The VMs of other permitted regions that the request may be handed to, best first.
    fn far_peers(&self, request: &path::Request<Admitted>, attempts: &Attempts) -> Vec<Peer> {
        if !self.may_hand_over(request) {
            return Vec::new();
        }
        let allowed = request.stage.resolved.allowance.regions.iter();
        let far = allowed
            .filter(|region| **region != self.settings.region)
            .filter(|region| !attempts.full_regions().contains(*region));
        let far: Vec<id::Region> = far.cloned().collect();
        if far.is_empty() {
            return Vec::new();
        }
        let mut peers = self.peers_in(&far);
        peers.retain(|peer| far.contains(&peer.region) && !attempts.tried_vms().contains(&peer.vm));
        peers
    }

    /// What is known of the other regions that `peers` stand in.
    fn regions<'a>(
        &self,
        targets: &'a View,
        route: &'a Route,
        peers: &[Peer],
        now: Instant,
    ) -> Vec<RegionSummary<'a>> {
        let reachable = |region: &id::Region| peers.iter().any(|peer| peer.region == *region);
        let summary =
            |(region, capacity): (&'a id::Region, crate::target::Capacity)| RegionSummary {
                region,
                slots: capacity.free.max(capacity.targets.saturating_mul(SLOTS_UNTOLD)),
                free: capacity.free,
                waiting: capacity.waiting,
                age: targets.summary_age(region, now).unwrap_or_default(),
                one_way_delay: self.settings.placement.region_distance(),
            };
        let elsewhere = targets.elsewhere(&route.need, now);
        elsewhere.filter(|(region, _)| reachable(region)).map(summary).collect()
    }

    /// Whether a request of another region's caller would take what this region's own callers
    /// need: places that targets report free, less the reserve.
    fn keeps_reserve(&self, request: &path::Request<Admitted>, open: &[Candidate<'_>]) -> bool {
        let told = || open.iter().map(|candidate| candidate.load).filter(|load| load.slots > 0);
        let slots: u32 = told().map(|load| load.slots).sum();
        let taken: u32 = told().map(|load| load.running.saturating_add(load.waiting)).sum();
        let free = f64::from(slots) - f64::from(taken);
        let kept = self.settings.placement.reserve * f64::from(slots);
        request.between_regions > 0 && slots > 0 && free - 1.0 < kept
    }

    fn tell(&self, request: &path::Request<Admitted>, decision: &Decision) {
        let event = match &decision.choice {
            placement::Choice::Target(target) => {
                return self.tell_of(&event::placement::PLACED, request, decision, target);
            }
            placement::Choice::Region(region) => {
                return self.tell_of(&event::placement::SPILLED, request, decision, region);
            }
            placement::Choice::None => &event::placement::NOWHERE,
        };
        let need = &request.stage.resolved.need;
        self.tell_of(event, request, decision, need);
    }

    fn tell_of(
        &self,
        event: &event::Event,
        request: &path::Request<Admitted>,
        decision: &Decision,
        place: &dyn std::fmt::Display,
    ) {
        let fields: [event::Field<'_>; 3] =
            [("request", &request.id), ("place", place), ("cause", &decision.cause)];
        event.emit(&self.logger, &fields);
    }
}

fn is_stopped(stops: &stop::PlannedStops, target: &Announcement) -> bool {
    stops.covers_target(&target.target, &target.zone, &target.region)
}

fn reserved() -> Refusal {
    Refusal::new(
        Reason::Overloaded,
        "the free places of this region are kept for its own callers",
        "use targets of the caller's own region, or try again later",
    )
    .retry_after(RETRY_AFTER)
}
