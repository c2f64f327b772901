use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Vm,
    routing_state::{PlacementInput, RoutingState},
    target_attempt::TargetAttempt,
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

/// Slots that each target of another region is assumed to have, as summaries report only free
/// slots.
const ASSUMED_SLOTS_PER_TARGET: u32 = 16;
/// The `retry-after` of the refusal of a request that would use the reserved slots of this region.
const RESERVE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What to do next with a request.
#[derive(Debug)]
pub(super) enum RoutingDecision {
    /// Send it to a target of this region. Placement already counts it as sent there.
    Target(TargetAttempt),
    /// Hand it over to a VM of another region.
    Vm(Peer),
    /// Decide again later: the request is a crash suspect, and every remaining target already
    /// runs another one.
    Wait,
    /// Refuse it.
    Refuse(Refusal),
    /// Give up: no target or region that the plan permits can take it.
    NoTarget,
}

impl Vm {
    /// Decides where the request goes next, and counts it there.
    pub(super) fn decide_routing(
        self: &Arc<Self>,
        request: &path::Request<Admitted>,
        placement_input: &Arc<PlacementInput>,
        attempts: &Attempts,
    ) -> RoutingDecision {
        let now = self.clock.now();
        let stops = self.planned_stops();
        let peers = self.remote_peers(request, attempts);
        let targets = self.targets();
        let mut routing = self.routing();
        if let Some(refusal) = routing.crash_refusal(now, placement_input) {
            return RoutingDecision::Refuse(refusal);
        }
        let tried_targets: Vec<id::Target> = attempts.tried_targets().iter().cloned().collect();
        let reports: Vec<&Report> = targets
            .reports(&placement_input.need, now)
            .filter(|report| !has_planned_stop(&stops, &report.announcement))
            .filter(|report| !tried_targets.contains(&report.announcement.target))
            .collect();
        let mut candidates: Vec<_> =
            reports.iter().map(|report| self.candidate(report, now)).collect();
        routing.exclude_throttled_targets(now, &mut candidates);
        let all_throttled = candidates.is_empty() && !reports.is_empty();
        routing.exclude_avoided_targets(now, &mut candidates);
        let has_candidates = !candidates.is_empty();
        if routing.is_crash_suspect(now, placement_input.digest) {
            routing.exclude_targets_running_suspects(now, &mut candidates);
            if has_candidates && candidates.is_empty() {
                return RoutingDecision::Wait;
            }
        } else if self.would_use_reserve(request, &candidates) {
            return RoutingDecision::Refuse(reserve_refusal());
        }
        let keep_local = has_candidates && !request.stage.resolved.idempotent;
        let region_summaries = if keep_local {
            Vec::new()
        } else {
            self.region_summaries(&targets, placement_input, &peers, now)
        };
        let query = Query {
            prompt: &placement_input.prompt,
            allowed_regions: &request.stage.resolved.allowance.regions,
            candidates: &candidates,
            region_summaries: &region_summaries,
            tried_targets: &tried_targets,
        };
        let decision = routing.decide(now, &placement_input.need, query);
        self.log_decision(request, &decision);
        if all_throttled && decision.choice == placement::Choice::None {
            let targets = reports.iter().map(|report| &report.announcement);
            let refusal = routing.throttle_refusal(now, &placement_input.need, targets);
            return RoutingDecision::Refuse(refusal);
        }
        let find_announcement = |target: &id::Target| {
            let found = reports.iter().find(|report| report.announcement.target == *target);
            found.map(|report| report.announcement.clone())
        };
        self.apply_decision(now, &decision, find_announcement, &mut routing, placement_input, peers)
    }

    /// Counts the request at the target or region that the placement policy chose.
    fn apply_decision(
        self: &Arc<Self>,
        now: Instant,
        decision: &Decision,
        find_announcement: impl Fn(&id::Target) -> Option<Announcement>,
        routing: &mut RoutingState,
        placement_input: &Arc<PlacementInput>,
        peers: Vec<Peer>,
    ) -> RoutingDecision {
        match &decision.choice {
            placement::Choice::Target(target) => {
                let Some(announcement) = find_announcement(target) else {
                    return RoutingDecision::NoTarget;
                };
                routing.record_sent(now, target, placement_input);
                routing.throttle.record_sent(target, announcement.incarnation);
                RoutingDecision::Target(TargetAttempt::new(
                    self,
                    announcement,
                    placement_input,
                    now,
                ))
            }
            placement::Choice::Region(region) => {
                let Some(peer) = peers.into_iter().find(|peer| peer.region == *region) else {
                    return RoutingDecision::NoTarget;
                };
                routing.record_handover(now, region, &placement_input.need);
                RoutingDecision::Vm(peer)
            }
            placement::Choice::None => RoutingDecision::NoTarget,
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

    /// The VMs in other regions to which the request may still be handed over, best first.
    fn remote_peers(&self, request: &path::Request<Admitted>, attempts: &Attempts) -> Vec<Peer> {
        if !self.may_hand_over(request) {
            return Vec::new();
        }
        let allowed = request.stage.resolved.allowance.regions.iter();
        let remote_regions = allowed
            .filter(|region| **region != self.settings.region)
            .filter(|region| !attempts.overloaded_regions().contains(*region));
        let remote_regions: Vec<id::Region> = remote_regions.cloned().collect();
        if remote_regions.is_empty() {
            return Vec::new();
        }
        let mut peers = self.other_available_vms(&remote_regions);
        peers.retain(|peer| {
            remote_regions.contains(&peer.region) && !attempts.tried_vms().contains(&peer.vm)
        });
        peers
    }

    /// The summaries of the other regions in which `peers` has a VM.
    fn region_summaries<'a>(
        &self,
        targets: &'a View,
        placement_input: &'a PlacementInput,
        peers: &[Peer],
        now: Instant,
    ) -> Vec<RegionSummary<'a>> {
        let reachable = |region: &id::Region| peers.iter().any(|peer| peer.region == *region);
        let summary =
            |(region, capacity): (&'a id::Region, crate::target::Capacity)| RegionSummary {
                region,
                slots: capacity.free.max(capacity.targets.saturating_mul(ASSUMED_SLOTS_PER_TARGET)),
                free_slots: capacity.free,
                waiting: capacity.waiting,
                age: targets.summary_age(region, now).unwrap_or_default(),
                one_way_delay: self.settings.placement.region_distance(),
            };
        let remote_capacities = targets.elsewhere(&placement_input.need, now);
        remote_capacities.filter(|(region, _)| reachable(region)).map(summary).collect()
    }

    /// Whether a request handed over from another region would use slots that are reserved for the
    /// callers of this region. Targets that report no slots do not count.
    fn would_use_reserve(
        &self,
        request: &path::Request<Admitted>,
        candidates: &[Candidate<'_>],
    ) -> bool {
        let loads =
            || candidates.iter().map(|candidate| candidate.load).filter(|load| load.slots > 0);
        let slots: f64 = loads().map(|load| f64::from(load.slots)).sum();
        let used_slots: f64 =
            loads().map(|load| f64::from(load.running) + f64::from(load.waiting)).sum();
        let free_slots = slots - used_slots;
        let reserved_slots = self.settings.placement.reserve * slots;
        request.handovers_between_regions > 0 && slots > 0.0 && free_slots - 1.0 < reserved_slots
    }

    fn log_decision(&self, request: &path::Request<Admitted>, decision: &Decision) {
        let event = match &decision.choice {
            placement::Choice::Target(target) => {
                return self.log_decision_event(
                    &event::placement::PLACED,
                    request,
                    decision,
                    target,
                );
            }
            placement::Choice::Region(region) => {
                return self.log_decision_event(
                    &event::placement::SPILLED,
                    request,
                    decision,
                    region,
                );
            }
            placement::Choice::None => &event::placement::NOWHERE,
        };
        let need = &request.stage.resolved.need;
        self.log_decision_event(event, request, decision, need);
    }

    fn log_decision_event(
        &self,
        event: &event::Event,
        request: &path::Request<Admitted>,
        decision: &Decision,
        destination: &dyn std::fmt::Display,
    ) {
        let fields: [event::Field<'_>; 3] =
            [("request", &request.id), ("place", destination), ("cause", &decision.cause)];
        event.emit(&self.logger, &fields);
    }
}

fn has_planned_stop(stops: &stop::PlannedStops, target: &Announcement) -> bool {
    stops.covers_target(&target.target, &target.zone, &target.region)
}

fn reserve_refusal() -> Refusal {
    Refusal::new(
        Reason::Overloaded,
        "the free places of this region are kept for its own callers",
        "use targets of the caller's own region, or try again later",
    )
    .retry_after(RESERVE_RETRY_AFTER)
}
