use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::{body::Bytes, header::CONTENT_TYPE};
use rand::{RngExt, rngs::StdRng};
use smol::{Timer, future::or};

use super::{
    Attempts, VersionBinding,
    admission::{Admission, AdmissionQuery, Decision, ObjectiveMiss, RemoteLoad},
    attempt::{AttemptOutcome, OpenResponse},
    balancer::{Balancer, Pick, TargetQuery},
    fair_shares::has_free_slots,
    handover::{HandoverOutcome, software_version},
    outcome::{Outcome, Reason, Refusal, ResponseBody, TargetResponse},
    record::part_keys,
    registry_sync::pair_hash,
    routed_request::RoutedRequest,
    server::Gateway,
    streaming_body::{BodyChunk, BodySource, HeldChunk, ResponseOrigin, StreamingBody, TargetBody},
};
use crate::{
    clock::within,
    control::lock,
    explain::{self, Verdict},
    http, id,
    registry::{Mirror, RegionLoad, Target, VmInfo, VmWeights},
    wire::{Header, ResponseHead},
};

/// A body that is not a stream is read up to this size before the caller gets any of it, so that a
/// truncated body is not taken for a complete one.
const MAX_BUFFERED_BODY_BYTES: usize = 512 * 1024;
/// The request fails after this many targets or VMs have rejected it.
const MAX_REJECTIONS: u32 = 3;
/// The request fails after this many attempts in which it could not be sent.
const MAX_UNSENT_ATTEMPTS: u32 = 6;
/// The delay before a target is chosen again when all are cold or in backoff.
const NO_TARGET_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often an attempt checks whether its target has become unresponsive.
const UNRESPONSIVE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// A request waits for a free target for at most its latency objective divided by this.
pub(super) const TARGET_WAIT_DIVISOR: u32 = 4;
/// The range of `Retry-After`; random, so that refused callers do not come back all at once.
const RETRY_AFTER_RANGE_SECS: std::ops::Range<f64> = 0.4..1.2;

/// The number of VMs in each other region that this VM hands requests to. Opening a link to another
/// region takes four one-way delays, so links must be reused, and a full mesh has too many of them.
const HANDOVER_VMS_PER_REGION: usize = 3;

/// Where to send a request next.
pub(super) enum Destination {
    Target(Box<Pick>),
    /// A VM in another region.
    Vm(VmInfo),
    /// Nowhere yet: there are targets, but none accepts the request now.
    Wait,
    /// Nowhere yet: the limits that the targets name, or the pauses that they ask for, keep the request
    /// from them for this long.
    Throttled(Duration),
    /// Nowhere: the response would miss the route's latency objective.
    WouldBeLate(ObjectiveMiss),
    /// Nowhere: there is no target.
    Nowhere,
}

/// The state by which a destination is chosen: that of the VM, or a copy of it.
pub(super) struct Policy<'a> {
    pub(super) balancer: &'a Mutex<Balancer>,
    pub(super) admission: &'a Mutex<Admission>,
    pub(super) random: &'a Mutex<StdRng>,
    /// Whether any target may have become cold without this VM having heard of it.
    pub(super) may_be_outdated: bool,
}

/// What was compared when a destination was chosen.
#[derive(Default)]
pub(super) struct Trace {
    /// The targets of this region that may serve the request.
    pub(super) verdicts: Vec<(id::Target, Verdict)>,
    pub(super) regions: Vec<explain::Region>,
}

/// The state of a request across its attempts.
#[derive(Default)]
pub(super) struct DispatchState {
    pub(super) tried_targets: Vec<id::Target>,
    pub(super) tried_vms: Vec<String>,
    pub(super) attempts: Attempts,
    /// The software version of targets that may serve the request.
    pub(super) version_binding: VersionBinding,
    pub(super) rejections: u32,
    pub(super) unsent_attempts: u32,
    /// Whether any target has received the request.
    pub(super) sent: bool,
    /// Why it is unknown whether the request ran, if an attempt left that open.
    unknown_cause: Option<String>,
    /// The explanation of the latest rejection.
    pub(super) rejection_detail: Option<String>,
    pub(super) objective_miss: Option<ObjectiveMiss>,
    /// Whether the first decision admitted the request; `None` before it, and where no shares apply.
    pub(super) is_admitted: Option<bool>,
    /// Set if limits or pauses of targets keep the request from them: the time after which its
    /// caller may return.
    pub(super) limited_return: Option<Duration>,
    /// Set if the request has been found to crash targets.
    crash_refusal: Option<Refusal>,
    /// Set if this VM stops and may end before an answer.
    stop_refusal: Option<Refusal>,
    /// Set if the request's key may have been withdrawn since it was accepted.
    key_refusal: Option<Refusal>,
    /// The latest server error of a target, which the caller gets if no other attempt succeeds.
    error_response: Option<TargetResponse>,
}

impl Gateway {
    /// Sends the request to targets or VMs until one responds or no attempt is left.
    pub(super) async fn dispatch(self: &Arc<Self>, request: Arc<RoutedRequest>) -> Outcome {
        let attempts = Attempts::new(request.route.max_targets);
        let version_binding = request.version_binding.clone();
        let mut state = DispatchState { attempts, version_binding, ..DispatchState::default() };
        let attempts = self.make_attempts(&request, &mut state);
        match self.until_grace_ends(request.handed_over, attempts).await {
            Some(Some(outcome)) => return outcome,
            Some(None) => {}
            None => state.record_grace_end(),
        }
        let was_admitted = state.is_admitted == Some(true);
        let outcome = self.final_outcome(&request, state);
        if was_admitted && matches!(outcome, Outcome::Refused(_)) {
            self.record_late_refusal(&request);
        }
        outcome
    }

    /// Makes attempts until none may follow; returns an outcome if the last one decided it.
    async fn make_attempts(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        state: &mut DispatchState,
    ) -> Option<Outcome> {
        let wait_deadline =
            self.clock.now() + request.route.latency_objective / TARGET_WAIT_DIVISOR;
        while state.may_continue() && !request.time_left(self.clock.now()).is_zero() {
            if let Some(refusal) = self.crash_refusal(request) {
                state.crash_refusal = Some(refusal);
                break;
            }
            let time_left = request.time_left(self.clock.now());
            if let Some(refusal) = self.stop_refusal(&request.route, time_left, request.handed_over)
            {
                state.stop_refusal = Some(refusal);
                break;
            }
            if let Some(refusal) = self.key_refusal(request).filter(|_| !state.sent) {
                state.key_refusal = Some(refusal);
                break;
            }
            let destination = self.choose_destination(request, state);
            let can_send = matches!(destination, Destination::Target(_) | Destination::Vm(_));
            if can_send || matches!(destination, Destination::WouldBeLate(_)) {
                self.record_admission(request, can_send, state);
            }
            if can_send && state.sent && !self.may_retry(request) {
                break;
            }
            match destination {
                Destination::Target(pick) => {
                    if let Some(outcome) = self.attempt_target(request, &pick, state).await {
                        return Some(outcome);
                    }
                }
                Destination::Vm(vm) => {
                    if let Some(outcome) = self.attempt_handover(request, &vm, state).await {
                        return Some(outcome);
                    }
                }
                Destination::Wait if self.clock.now() < wait_deadline => {
                    Timer::after(NO_TARGET_RETRY_DELAY).await;
                }
                Destination::Throttled(delay) if self.clock.now() + delay < wait_deadline => {
                    Timer::after(delay).await;
                }
                Destination::Throttled(_) => {
                    let random_return = self.random_return();
                    let limited_return = self.limited_return(&request.service);
                    state.limited_return = Some(limited_return.unwrap_or(random_return));
                    break;
                }
                Destination::WouldBeLate(objective_miss) => {
                    state.objective_miss = Some(objective_miss);
                    break;
                }
                Destination::Wait | Destination::Nowhere => break,
            }
        }
        None
    }

    /// The refusal of a request that has crashed the targets that ran it.
    pub(super) fn crash_refusal(&self, request: &RoutedRequest) -> Option<Refusal> {
        let block = self.crash_suspects().refused_for(
            || request.digest(),
            &request.shared_parts(),
            self.clock.now(),
        )?;
        let cause = match block.parts.as_slice() {
            [] => "this same request".to_owned(),
            parts => format!("requests with the same part {} in their prompts", part_keys(parts)),
        };
        let detail = format!("targets crashed while they ran {cause}; do not send it unchanged");
        Some(Refusal::new(Reason::CrashesTargets, detail, block.time_left))
    }

    /// The outcome of a request that no further attempt is made for.
    fn final_outcome(&self, request: &RoutedRequest, mut state: DispatchState) -> Outcome {
        if let Some(error_response) = state.error_response.take() {
            return Outcome::Responded(error_response);
        }
        if let Some(cause) = state.unknown_cause.take() {
            return Outcome::Unknown(cause);
        }
        let refusal = state.crash_refusal.take().or(state.stop_refusal.take());
        if let Some(refusal) = refusal.or(state.key_refusal.take()) {
            return Outcome::Refused(refusal);
        }
        let random_delay = self.random_return();
        let estimated_delay =
            state.objective_miss.map(|miss| Duration::from_secs_f64(miss.retry_after_secs));
        let retry_after = estimated_delay.or(state.limited_return).unwrap_or(random_delay);
        let (reason, detail) = self.final_reason(request, &state);
        Outcome::Refused(Refusal::new(reason, detail, retry_after))
    }

    /// Why a request is refused that no further attempt is made for.
    pub(super) fn final_reason(
        &self,
        request: &RoutedRequest,
        state: &DispatchState,
    ) -> (Reason, String) {
        match &state.rejection_detail {
            _ if state.objective_miss.is_some() => {
                let miss = state.objective_miss.map(|miss| miss.to_string()).unwrap_or_default();
                (Reason::WouldBeLate, format!("`{}` would be late: {miss}", request.service))
            }
            _ if state.limited_return.is_some() => {
                let paused = self.balancer().paused_target_count(self.clock.now());
                let detail = format!(
                    "the targets of `{}` take no more requests; {paused} targets asked for a pause",
                    request.service
                );
                (Reason::TargetsLimited, detail)
            }
            Some(detail) => (Reason::TargetsFull, detail.clone()),
            None if request.time_left(self.clock.now()).is_zero() => {
                (Reason::DeadlinePassed, "its time ran out before it was sent".to_owned())
            }
            None => (Reason::NoTarget, format!("no target of `{}` takes it", request.service)),
        }
    }

    /// A time after which a refused caller may return.
    fn random_return(&self) -> Duration {
        Duration::from_secs_f64(self.random().random_range(RETRY_AFTER_RANGE_SECS))
    }

    /// The time after which a caller may return that the limits or pauses of this region's targets keep
    /// out.
    fn limited_return(&self, service: &id::Service) -> Option<Duration> {
        let (mirror, now) = (self.mirror(), self.clock.now());
        let vm_count = self.region_peers().vm_count();
        self.balancer().next_return(service, mirror.targets(service), vm_count, now)
    }

    /// Spends retry budget; returns false if none is left or another VM must decide.
    fn may_retry(&self, request: &RoutedRequest) -> bool {
        // Only the VM that received the request from its caller decides on retries.
        let allowed = !request.handed_over
            && self.retry_budget().spend_retry(&request.service, self.clock.now());
        if !request.handed_over {
            self.record_retry_decision(request, allowed);
        }
        allowed
    }

    /// Chooses a target in this region or a VM in another one.
    fn choose_destination(&self, request: &RoutedRequest, state: &DispatchState) -> Destination {
        let policy = Policy {
            balancer: &self.balancer,
            admission: &self.admission,
            random: &self.random,
            may_be_outdated: self.check_for_suspension(),
        };
        self.choose_destination_by(&policy, request, state, None)
    }

    /// Chooses a destination by the state in `policy`, and records in `trace` what was compared.
    pub(super) fn choose_destination_by(
        &self,
        policy: &Policy<'_>,
        request: &RoutedRequest,
        state: &DispatchState,
        mut trace: Option<&mut Trace>,
    ) -> Destination {
        let now = self.clock.now();
        let mirror = self.mirror();
        let own_region = &self.settings.region;
        let region_of = |target: &Target| self.settings.region_of(&target.zone);
        let targets = mirror.targets(&request.service);
        let only_target = state.attempts.only_target();
        let local_targets: Vec<&Target> = targets
            .iter()
            .filter(|target| request.allows(own_region) && region_of(target) == Some(own_region))
            .filter(|target| only_target.is_none_or(|only_target| target.target == *only_target))
            .filter(|target| state.version_binding.allows(target.software_version.as_ref()))
            .collect();
        let service = self.route_table().and_then(|table| table.service(&request.service).cloned());
        let peers = self.region_peers();
        let target_query = TargetQuery {
            targets: &local_targets,
            prompt: &request.prompt,
            tried: &state.tried_targets,
            cold_requests_per_sec: service
                .as_ref()
                .map_or(0.0, |service| service.cold_requests_per_sec),
            cache_capacity_tokens: service.map_or(0, |service| service.cache_capacity_tokens),
            peers: &peers,
            may_be_outdated: policy.may_be_outdated,
        };
        let mut observe = |target: &Target, verdict: Verdict| {
            if let Some(trace) = &mut trace {
                trace.verdicts.push((target.target.clone(), verdict));
            }
        };
        let pick = lock(policy.balancer).choose_observed(target_query, now, &mut observe);
        let local_only = request.handed_over || only_target.is_some();
        let remote_loads = if local_only {
            Vec::new()
        } else {
            self.remote_loads(policy, request, state, &mirror)
        };
        let retry_jitter = lock(policy.random).random();
        let admission_query = AdmissionQuery {
            route: &request.route,
            service: &request.service,
            priority: request.priority(),
            is_region_restricted: request.is_region_restricted(),
            time_left: request.time_left(now),
            has_started: state.attempts.target_count() > 0 || request.last_event_id.is_some(),
            unshared_tokens: request.prompt.unshared_tokens(),
            retry_jitter,
            standing: self.standing(request),
            has_free_slots: has_free_slots(pick.as_ref()),
        };
        let first_event_secs = pick.as_ref().map(|pick| pick.first_event_secs);
        if let Some(trace) = trace {
            trace.regions = lock(policy.admission).compare_regions(
                admission_query,
                &remote_loads,
                peers.vm_count(),
                now,
            );
        }
        let decision = lock(policy.admission).decide(
            admission_query,
            first_event_secs,
            &remote_loads,
            peers.vm_count(),
            now,
        );
        match (decision, pick) {
            (Decision::Local, Some(pick)) => Destination::Target(Box::new(pick)),
            (Decision::Remote(region), _) => {
                let vms = self.handover_vms(policy, &region, state, &mirror);
                match vms.get(lock(policy.random).random_range(0..vms.len().max(1))) {
                    Some(vm) => Destination::Vm((*vm).clone()),
                    None => Destination::Nowhere,
                }
            }
            (Decision::Refuse(objective_miss), _) => Destination::WouldBeLate(objective_miss),
            _ if local_targets.is_empty() => Destination::Nowhere,
            _ => lock(policy.balancer)
                .throttle_delay(target_query, now)
                .map_or(Destination::Wait, Destination::Throttled),
        }
    }

    /// The loads of the other regions that may run the request and have targets for it and a VM to
    /// hand it to.
    fn remote_loads(
        &self,
        policy: &Policy<'_>,
        request: &RoutedRequest,
        state: &DispatchState,
        mirror: &Mirror,
    ) -> Vec<RemoteLoad> {
        let is_candidate = |region: &id::Region| {
            *region != self.settings.region
                && request.allows(region)
                && !self.handover_vms(policy, region, state, mirror).is_empty()
        };
        let may_serve = |load: &RegionLoad| match &state.version_binding {
            VersionBinding::Any => true,
            // A replica of an older process tells no versions; the VM there decides then.
            VersionBinding::Only(version) => {
                load.software_versions.is_empty()
                    || load.software_versions.iter().any(|other| other == version.as_str())
            }
            VersionBinding::Unknown => false,
        };
        let loads = mirror.loads(&request.service).filter(|(load, _)| may_serve(load));
        let remote_loads = loads.map(|(load, received_at)| RemoteLoad {
            region: id::Region::from(load.region.as_str()),
            min_backlog_secs: f64::from(load.min_backlog_ms) / 1000.0,
            requests_per_slot: f64::from(load.requests) / f64::from(load.slots.max(1)),
            target_count: load.ready_targets,
            capacity_scarce: load.capacity_scarce,
            received_at,
        });
        remote_loads.filter(|remote_load| is_candidate(&remote_load.region)).collect()
    }

    /// The few VMs of another region that this VM hands requests to, without those that the request
    /// was handed to already and those in backoff. Each VM has its own order of preference, so
    /// that load is spread.
    fn handover_vms<'a>(
        &self,
        policy: &Policy<'_>,
        region: &id::Region,
        state: &DispatchState,
        mirror: &'a Mirror,
    ) -> Vec<&'a VmInfo> {
        let own_vm = self.settings.vm();
        let is_candidate = |vm: &&VmInfo| {
            vm.ready && !vm.callers_address.is_empty() && vm.region == region.as_str()
        };
        let mut vms: Vec<&VmInfo> = mirror.vms().iter().filter(is_candidate).collect();
        let (admission, now) = (lock(policy.admission), self.clock.now());
        vms.retain(|vm| !admission.is_stopping(&vm.vm, vm.incarnation));
        let weights = VmWeights::new(vms.iter().copied());
        weights.sort_by_preference(&mut vms, |vm| pair_hash(own_vm.as_str(), &vm.vm));
        vms.truncate(HANDOVER_VMS_PER_REGION);
        vms.retain(|vm| !state.tried_vms.contains(&vm.vm) && !admission.is_in_backoff(&vm.vm, now));
        vms
    }

    /// Sends the request to a target; returns an outcome if no other attempt may follow.
    async fn attempt_target(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        pick: &Pick,
        state: &mut DispatchState,
    ) -> Option<Outcome> {
        let target = &pick.target;
        self.record_placement(request, pick);
        state.tried_targets.push(pick.target.target.clone());
        let time_left = request.time_left(self.clock.now());
        let attempt = self.send_to_target(request, pick, request.last_event_id, time_left);
        let outcome = if self.may_abandon_target(request, state) {
            or(attempt, self.wait_until_unresponsive(target)).await
        } else {
            attempt.await
        };
        self.record_attempt(request, &target.target, &outcome);
        match outcome {
            AttemptOutcome::Responded(response) => {
                state.sent = true;
                state.attempts.record_run(&target.target);
                self.start_target_response(request, *response, state).await
            }
            AttemptOutcome::Rejected(cause) => {
                state.sent = true;
                state.rejections += 1;
                state.rejection_detail = Some(format!("target `{}`: {cause}", target.target));
                None
            }
            AttemptOutcome::NotSent(_) => {
                state.unsent_attempts += 1;
                None
            }
            AttemptOutcome::Unknown(cause) => {
                state.sent = true;
                state.attempts.record_run(&target.target);
                self.record_unknown(request, format!("target `{}`: {cause}", target.target), state)
            }
        }
    }

    /// Whether the request may be moved from an unresponsive target to another one.
    fn may_abandon_target(&self, request: &RoutedRequest, state: &DispatchState) -> bool {
        request.route.delivery_mode.is_repeatable()
            && !request.handed_over
            && state.attempts.target_count() + 1 < request.route.max_targets
    }

    /// Returns when the target has become unresponsive.
    async fn wait_until_unresponsive(&self, target: &Target) -> AttemptOutcome {
        loop {
            Timer::after(UNRESPONSIVE_CHECK_INTERVAL).await;
            if self.balancer().is_unresponsive(target, self.clock.now()) {
                return AttemptOutcome::Unknown("it gives no sign of life".to_owned());
            }
        }
    }

    /// Records that the request may have run; returns an outcome if it must not run again.
    pub(super) fn record_unknown(
        &self,
        request: &RoutedRequest,
        cause: String,
        state: &mut DispatchState,
    ) -> Option<Outcome> {
        state.unknown_cause = Some(cause.clone());
        (!request.route.delivery_mode.is_repeatable()).then_some(Outcome::Unknown(cause))
    }

    /// Like [`Gateway::start_response`], for the response of a target in this region.
    async fn start_target_response(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        mut response: OpenResponse,
        state: &mut DispatchState,
    ) -> Option<Outcome> {
        let (status, headers) = (response.status, std::mem::take(&mut response.headers));
        let source = response.attempt.target.target.to_string();
        let software_version = response.attempt.target.software_version.clone();
        let target_body = Box::new(TargetBody::from(response));
        let body = ResponseBody::Complete(Bytes::new());
        let response = TargetResponse { status, headers, body, source, software_version };
        self.start_response(request, response, BodySource::Target(target_body), state).await
    }

    /// Reads as much of the body as is needed before the caller gets the head. Returns no outcome
    /// if the body breaks, or the response is a server error, and another attempt may follow.
    pub(super) async fn start_response(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        response: TargetResponse,
        mut body_source: BodySource,
        state: &mut DispatchState,
    ) -> Option<Outcome> {
        let TargetResponse { status, source, .. } = &response;
        let time_left = request.time_left(self.clock.now());
        let is_stream = request.route.delivery_mode.is_stream() && status.is_success();
        if is_stream && !state.version_binding.allows(response.software_version.as_ref()) {
            let cause = format!("target `{source}`: another software version than the stream");
            return self.record_unknown(request, cause, state);
        }
        let start = within(time_left, self.read_body_start(&mut body_source, is_stream)).await;
        let body = match start {
            Some(Ok(BodyStart::Complete(bytes))) => ResponseBody::Complete(bytes),
            Some(Ok(BodyStart::Partial(first_chunk))) => {
                let tried_targets = std::mem::take(&mut state.tried_targets);
                let head_received_at = self.clock.now();
                let origin = ResponseOrigin {
                    source: source.clone(),
                    status: status.as_u16(),
                    head_received_at,
                    software_version: response.software_version.clone(),
                };
                let attempts = std::mem::take(&mut state.attempts);
                let streaming_body = StreamingBody::new(
                    self,
                    request,
                    body_source,
                    first_chunk,
                    tried_targets,
                    attempts,
                    origin,
                );
                ResponseBody::Streaming(Box::new(streaming_body))
            }
            Some(Err(cause)) => {
                return self.record_unknown(request, format!("target `{source}`: {cause}"), state);
            }
            None => {
                let cause = format!("target `{source}`: no answer in time");
                return self.record_unknown(request, cause, state);
            }
        };
        let is_server_error = status.is_server_error();
        let response = TargetResponse { body, ..response };
        if is_server_error && request.route.delivery_mode.is_repeatable() {
            state.record_server_error(&response.source);
            state.error_response = Some(response);
            return None;
        }
        Some(Outcome::Responded(response))
    }

    /// Reads a short body whole, and the beginning of a long body or a stream.
    async fn read_body_start(
        &self,
        body_source: &mut BodySource,
        is_stream: bool,
    ) -> Result<BodyStart, String> {
        let mut buffer: Vec<u8> = Vec::new();
        let mut share = self.buffer_budget.share();
        loop {
            match body_source.next(self).await {
                BodyChunk::Data(bytes) if is_stream && buffer.is_empty() => {
                    return Ok(BodyStart::Partial(HeldChunk { bytes, share }));
                }
                BodyChunk::Data(bytes) => buffer.extend_from_slice(&bytes),
                BodyChunk::End => return Ok(BodyStart::Complete(Bytes::from(buffer))),
                BodyChunk::Broken(cause) => return Err(cause),
            }
            if buffer.len() > MAX_BUFFERED_BODY_BYTES || !share.grow_to(buffer.len()) {
                let bytes = Bytes::from(buffer);
                return Ok(BodyStart::Partial(HeldChunk { bytes, share }));
            }
        }
    }

    /// Makes one attempt to resume a stream after the event `last_event_id`, here or in another
    /// region, at a target that `version_binding` allows. Forbids further attempts if there is no
    /// destination or no retry budget. A VM that stops resumes streams to its end, as their callers have
    /// no other VM.
    pub(super) async fn resume_stream(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        last_event_id: Option<u64>,
        version_binding: &VersionBinding,
        tried_targets: &mut Vec<id::Target>,
        attempts: &mut Attempts,
    ) -> Option<BodySource> {
        let state = DispatchState {
            tried_targets: tried_targets.clone(),
            attempts: attempts.clone(),
            version_binding: version_binding.clone(),
            ..DispatchState::default()
        };
        let destination = self.choose_destination(request, &state);
        let time_left = request.time_left(self.clock.now());
        let can_send = matches!(destination, Destination::Target(_) | Destination::Vm(_))
            && self.crash_refusal(request).is_none();
        if !can_send || !self.may_retry(request) {
            attempts.exhaust();
            return None;
        }
        match destination {
            Destination::Target(pick) => {
                tried_targets.push(pick.target.target.clone());
                self.record_placement(request, &pick);
                match self.send_to_target(request, &pick, last_event_id, time_left).await {
                    AttemptOutcome::Responded(response) => {
                        attempts.record_run(&pick.target.target);
                        let continues = response.is_event_stream;
                        let target_body = Box::new(TargetBody::from(*response));
                        continues.then_some(BodySource::Target(target_body))
                    }
                    AttemptOutcome::Unknown(_) => {
                        attempts.record_run(&pick.target.target);
                        None
                    }
                    AttemptOutcome::Rejected(_) | AttemptOutcome::NotSent(_) => None,
                }
            }
            Destination::Vm(vm) => {
                let is_resumable = self.is_resumable_after(request, attempts);
                let outcome = self
                    .send_to_vm(
                        request,
                        &vm,
                        last_event_id,
                        version_binding,
                        time_left,
                        is_resumable,
                    )
                    .await;
                if matches!(outcome, HandoverOutcome::Responded(..) | HandoverOutcome::Unknown(_)) {
                    attempts.record_remote_run();
                }
                match outcome {
                    HandoverOutcome::Responded(head, exchange) if starts_event_stream(&head) => {
                        let software_version = software_version(&head);
                        version_binding
                            .allows(software_version.as_ref())
                            .then_some(BodySource::Link { exchange, software_version })
                    }
                    _ => None,
                }
            }
            Destination::Wait
            | Destination::Throttled(_)
            | Destination::WouldBeLate(_)
            | Destination::Nowhere => None,
        }
    }
}

/// Whether a response from another VM may be a series of events.
fn starts_event_stream(head: &ResponseHead) -> bool {
    let is_content_type = |header: &&Header| header.name == CONTENT_TYPE.as_str();
    let content_type = head.headers.iter().find(is_content_type);
    (200..300).contains(&head.status)
        && content_type.is_none_or(|header| http::is_event_stream(&header.value))
}

/// What was read of a body before the head is sent to the caller.
enum BodyStart {
    Complete(Bytes),
    Partial(HeldChunk),
}

impl DispatchState {
    /// Records a server error. The target becomes eligible again if this is the first one.
    fn record_server_error(&mut self, target: &str) {
        let target = id::Target::from(target);
        if self.attempts.record_failure(&target) {
            self.tried_targets.retain(|tried| *tried != target);
        }
    }

    /// Records that the grace of a stop ended before an answer.
    fn record_grace_end(&mut self) {
        let was_attempted = !self.tried_targets.is_empty() || !self.tried_vms.is_empty();
        if self.unknown_cause.is_none() && (self.sent || was_attempted) {
            let cause = "this VM stops and had no answer in time".to_owned();
            self.unknown_cause = Some(cause);
        }
    }

    fn may_continue(&self) -> bool {
        self.attempts.may_attempt()
            && self.rejections < MAX_REJECTIONS
            && self.unsent_attempts < MAX_UNSENT_ATTEMPTS
    }
}
