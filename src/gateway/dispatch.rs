use std::{sync::Arc, time::Duration};

use hyper::body::Bytes;
use rand::RngExt;
use smol::{Timer, future::or};

use super::{
    Attempts,
    admission::{AdmissionQuery, Decision, ObjectiveMiss, RemoteLoad},
    attempt::{Opened, Tried},
    balancer::{Pick, TargetQuery},
    handover::Passed,
    outcome::{Answer, AnswerBody, Outcome, Reason, Refusal},
    registry_sync::mix,
    routed_request::Call,
    server::Gateway,
    streaming_body::{Flow, FromTarget, Piece, Source, Told},
};
use crate::{
    clock::within,
    id,
    registry::{Mirror, Target, VmInfo},
};

/// The bytes of an answer that is no stream which are read before its caller sees any of it, so
/// that an answer cut short is told from a whole one.
const MOST_WHOLE: usize = 512 * 1024;
/// How often a target's word that it did not run a request leads to another target.
const MOST_REJECTIONS: u32 = 3;
/// How often a target that could not be reached leads to another one.
const MOST_UNREACHED: u32 = 6;
/// The pause before a target is looked for again where all are cold or resting.
const PAUSE: Duration = Duration::from_millis(50);
/// How often it is looked whether a target still gives signs of life.
const DARK_PACE: Duration = Duration::from_millis(300);
/// The part of the objective for which a request waits for a target to take it.
const PATIENCE: u32 = 4;
/// When callers are told to come back: spread out, so that they do not come together.
const COME_BACK: std::ops::Range<f64> = 0.4..1.2;

/// VMs of another region to which a VM hands requests: opening a link there takes four times the
/// way, so that links are to be used again, and all to all are too many.
const PARTNERS: usize = 3;

/// Where a request goes next.
enum Place {
    Target(Box<Pick>),
    Vm(VmInfo),
    /// There are targets, but none takes it at this moment.
    Wait,
    /// Its answer would be late.
    Late(ObjectiveMiss),
    Nowhere,
}

/// What was learned of one request so far.
#[derive(Default)]
pub(super) struct Course {
    pub(super) tried: Vec<id::Target>,
    pub(super) vms: Vec<String>,
    pub(super) attempts: Attempts,
    pub(super) rejections: u32,
    pub(super) unreached: u32,
    pub(super) sent: bool,
    unknown: Option<String>,
    pub(super) refused: Option<String>,
    late: Option<ObjectiveMiss>,
    /// A failure that a target answered with, for want of anything better.
    failure: Option<Answer>,
}

impl Gateway {
    /// Carries a request to a target's answer, or finds out that there is none.
    pub(super) async fn run(self: &Arc<Self>, call: Arc<Call>) -> Outcome {
        let attempts = Attempts::new(call.rule.max_attempts);
        let mut course = Course { attempts, ..Course::default() };
        if let Some(refusal) = self.crashes(&call) {
            return Outcome::Refused(refusal);
        }
        let patience = self.clock.now() + call.rule.latency_objective / PATIENCE;
        while course.may_go_on() && !call.left(self.clock.now()).is_zero() {
            let place = self.place(&call, &course);
            let goes = matches!(place, Place::Target(_) | Place::Vm(_));
            if goes && course.sent && !self.may_repeat(&call) {
                break;
            }
            match place {
                Place::Target(pick) => {
                    if let Some(outcome) = self.visit(&call, &pick, &mut course).await {
                        return outcome;
                    }
                }
                Place::Vm(vm) => {
                    if let Some(outcome) = self.pass(&call, &vm, &mut course).await {
                        return outcome;
                    }
                }
                Place::Wait if self.clock.now() < patience => {
                    Timer::after(PAUSE).await;
                }
                Place::Late(late) => {
                    course.late = Some(late);
                    break;
                }
                Place::Wait | Place::Nowhere => break,
            }
        }
        self.conclude(&call, course)
    }

    /// Refuses a request that crashed the targets that ran it.
    fn crashes(&self, call: &Call) -> Option<Refusal> {
        let left = self.crash_suspects().refused_for(|| call.digest(), self.clock.now())?;
        let detail = "targets crashed while they ran this same request; do not send it unchanged";
        Some(Refusal::new(Reason::Crashing, detail, left))
    }

    fn conclude(&self, call: &Call, course: Course) -> Outcome {
        if let Some(failure) = course.failure {
            return Outcome::Answered(failure);
        }
        if let Some(cause) = course.unknown {
            return Outcome::Unknown(cause);
        }
        let draw = Duration::from_secs_f64(self.random().random_range(COME_BACK));
        let told = course.late.map(|late| Duration::from_secs_f64(late.retry_after_secs));
        let retry_after = told.unwrap_or(draw);
        let (reason, detail) = match course.refused {
            _ if course.late.is_some() => {
                let late = course.late.map(|late| late.to_string()).unwrap_or_default();
                (Reason::Busy, format!("`{}` would be late: {late}", call.service))
            }
            Some(detail) => (Reason::Full, detail),
            None if call.left(self.clock.now()).is_zero() => {
                (Reason::Late, "its time ran out before it was sent".to_owned())
            }
            None => (Reason::NoTarget, format!("no target of `{}` takes it", call.service)),
        };
        Outcome::Refused(Refusal::new(reason, detail, retry_after))
    }

    fn may_repeat(&self, call: &Call) -> bool {
        // The VM that took the request from its caller decides.
        let may =
            !call.handed_over && self.retry_budget().spend_retry(&call.service, self.clock.now());
        if !call.handed_over {
            self.record_repeat(call, may);
        }
        may
    }

    /// Chooses a target of this region, or a VM of another one.
    fn place(&self, call: &Call, course: &Course) -> Place {
        let now = self.clock.now();
        let mirror = self.mirror();
        let here = &self.settings.region;
        let region_of = |target: &Target| self.settings.region_of(&target.zone);
        let targets = mirror.targets(&call.service);
        let only = course.attempts.only_target();
        let near: Vec<&Target> = targets
            .iter()
            .filter(|target| call.rule.allows(here) && region_of(target) == Some(here))
            .filter(|target| only.is_none_or(|only| target.target == *only))
            .collect();
        let service = self.route_table().and_then(|table| table.service(&call.service).cloned());
        let vms = self.region_peers(&mirror);
        let query = TargetQuery {
            targets: &near,
            prompt: &call.prompt,
            tried: &course.tried,
            cold_requests_per_sec: service.map_or(0.0, |service| service.cold_requests_per_sec),
            peers: &vms,
        };
        let pick = self.balancer().choose(query, now);
        let stays = call.handed_over || only.is_some();
        let there = if stays { Vec::new() } else { self.there(call, course, &mirror) };
        let retry_jitter = self.random().random();
        let applicant = AdmissionQuery {
            route: &call.rule,
            service: &call.service,
            time_left: call.left(now),
            has_started: course.attempts.target_count() > 0 || call.last_event.is_some(),
            unshared_tokens: call.prompt.unshared_tokens(),
            retry_jitter,
        };
        let delay = pick.as_ref().map(|pick| pick.first_event_secs);
        let decision = self.admission().decide(applicant, delay, &there, vms.vm_count(), now);
        match (decision, pick) {
            (Decision::Local, Some(pick)) => Place::Target(Box::new(pick)),
            (Decision::Remote(region), _) => {
                let partners = self.partners(&region, course, &mirror);
                match partners.get(self.random().random_range(0..partners.len().max(1))) {
                    Some(vm) => Place::Vm((*vm).clone()),
                    None => Place::Nowhere,
                }
            }
            (Decision::Refuse(late), _) => Place::Late(late),
            _ if near.is_empty() => Place::Nowhere,
            _ => Place::Wait,
        }
    }

    /// The other regions that may get the request and have targets for it and VMs in reach.
    fn there(&self, call: &Call, course: &Course, mirror: &Mirror) -> Vec<RemoteLoad> {
        let fits = |region: &id::Region| {
            *region != self.settings.region
                && call.rule.allows(region)
                && !self.partners(region, course, mirror).is_empty()
        };
        let there = mirror.loads(&call.service).map(|(load, received_at)| RemoteLoad {
            region: id::Region::from(load.region.as_str()),
            min_backlog_secs: f64::from(load.min_backlog_ms) / 1000.0,
            requests_per_slot: f64::from(load.requests) / f64::from(load.slots.max(1)),
            target_count: load.ready_targets,
            capacity_scarce: load.capacity_scarce,
            received_at,
        });
        there.filter(|there| fits(&there.region)).collect()
    }

    /// The few VMs of another region that this one hands requests to, others for each VM; without
    /// those that were tried or could not be reached.
    fn partners<'a>(
        &self,
        region: &id::Region,
        course: &Course,
        mirror: &'a Mirror,
    ) -> Vec<&'a VmInfo> {
        let own = self.settings.vm();
        let fits = |vm: &&VmInfo| {
            vm.ready && !vm.callers_address.is_empty() && vm.region == region.as_str()
        };
        let mut vms: Vec<&VmInfo> = mirror.vms().iter().filter(fits).collect();
        vms.sort_by_cached_key(|vm| mix(own.as_str(), &vm.vm));
        vms.truncate(PARTNERS);
        let (admission, now) = (self.admission(), self.clock.now());
        vms.retain(|vm| !course.vms.contains(&vm.vm) && !admission.is_in_backoff(&vm.vm, now));
        vms
    }

    /// Tries a target; gives an outcome where the request goes no further.
    async fn visit(
        self: &Arc<Self>,
        call: &Arc<Call>,
        pick: &Pick,
        course: &mut Course,
    ) -> Option<Outcome> {
        let target = &pick.target;
        self.record_placed(call, pick);
        course.tried.push(pick.target.target.clone());
        let left = call.left(self.clock.now());
        let trying = self.try_target(call, pick, call.last_event, left);
        let tried = if self.may_leave(call, course) {
            or(trying, self.goes_dark(target)).await
        } else {
            trying.await
        };
        self.record_try(call, &target.target, &tried);
        match tried {
            Tried::Head(opened) => {
                course.sent = true;
                course.attempts.record_run(&target.target);
                self.settle(call, *opened, course).await
            }
            Tried::Rejected(cause) => {
                course.sent = true;
                course.rejections += 1;
                course.refused = Some(format!("target `{}`: {cause}", target.target));
                None
            }
            Tried::NotSent(_) => {
                course.unreached += 1;
                None
            }
            Tried::Unknown(cause) => {
                course.sent = true;
                course.attempts.record_run(&target.target);
                self.doubt(call, format!("target `{}`: {cause}", target.target), course)
            }
        }
    }

    /// Whether a request may be taken from a target that gives no answer, and sent to another one.
    fn may_leave(&self, call: &Call, course: &Course) -> bool {
        call.rule.delivery_mode.is_repeatable()
            && !call.handed_over
            && course.attempts.target_count() + 1 < call.rule.max_attempts
    }

    /// Ends when the target gives no sign of life for the work that it has.
    async fn goes_dark(&self, target: &Target) -> Tried {
        loop {
            Timer::after(DARK_PACE).await;
            if self.balancer().is_unresponsive(target, self.clock.now()) {
                return Tried::Unknown("it gives no sign of life".to_owned());
            }
        }
    }

    /// Notes that the request may have run; ends it where it must not run again.
    pub(super) fn doubt(&self, call: &Call, cause: String, course: &mut Course) -> Option<Outcome> {
        course.unknown = Some(cause.clone());
        (!call.rule.delivery_mode.is_repeatable()).then_some(Outcome::Unknown(cause))
    }

    /// Reads what is needed of an answer before its head goes to the caller.
    async fn settle(
        self: &Arc<Self>,
        call: &Arc<Call>,
        opened: Opened,
        course: &mut Course,
    ) -> Option<Outcome> {
        let Opened { status, headers, body, lease, keep, trip } = opened;
        let target = trip.target.target.to_string();
        let from = Box::new(FromTarget { body, lease: Some(lease), keep, trip });
        let answer = Answer { status, headers, body: AnswerBody::Whole(Bytes::new()), target };
        self.settle_from(call, answer, Source::Target(from), course).await
    }

    /// The same for an answer from wherever.
    pub(super) async fn settle_from(
        self: &Arc<Self>,
        call: &Arc<Call>,
        answer: Answer,
        mut source: Source,
        course: &mut Course,
    ) -> Option<Outcome> {
        let Answer { status, target, .. } = &answer;
        let left = call.left(self.clock.now());
        let stream = call.rule.delivery_mode.is_stream() && status.is_success();
        let read = within(left, self.read_start(&mut source, stream)).await;
        let body = match read {
            Some(Ok(Start::Whole(bytes))) => AnswerBody::Whole(bytes),
            Some(Ok(Start::Begins(bytes))) => {
                let tried = std::mem::take(&mut course.tried);
                let began = self.clock.now();
                let told = Told { from: target.clone(), status: status.as_u16(), began };
                let attempts = std::mem::take(&mut course.attempts);
                let flow = Flow::new(self, call, source, bytes, tried, attempts, told);
                AnswerBody::Flow(Box::new(flow))
            }
            Some(Err(cause)) => {
                return self.doubt(call, format!("target `{target}`: {cause}"), course);
            }
            None => {
                let cause = format!("target `{target}`: no answer in time");
                return self.doubt(call, cause, course);
            }
        };
        let failed = status.is_server_error();
        let answer = Answer { body, ..answer };
        if failed && call.rule.delivery_mode.is_repeatable() {
            course.failed(&answer.target);
            course.failure = Some(answer);
            return None;
        }
        Some(Outcome::Answered(answer))
    }

    /// Reads a small answer whole, and of a large one or a stream the beginning.
    async fn read_start(&self, source: &mut Source, stream: bool) -> Result<Start, String> {
        let mut read: Vec<u8> = Vec::new();
        loop {
            match source.next(self).await {
                Piece::Bytes(bytes) if stream && read.is_empty() => {
                    return Ok(Start::Begins(bytes));
                }
                Piece::Bytes(bytes) => read.extend_from_slice(&bytes),
                Piece::End => return Ok(Start::Whole(Bytes::from(read))),
                Piece::Broken(cause) => return Err(cause),
            }
            if read.len() > MOST_WHOLE {
                return Ok(Start::Begins(Bytes::from(read)));
            }
        }
    }

    /// Finds a target that goes on with a stream after the event `last`, here or elsewhere.
    pub(super) async fn resume(
        self: &Arc<Self>,
        call: &Arc<Call>,
        last: Option<u64>,
        tried: &mut Vec<id::Target>,
        attempts: &mut Attempts,
    ) -> Option<Source> {
        let course =
            Course { tried: tried.clone(), attempts: attempts.clone(), ..Course::default() };
        let place = self.place(call, &course);
        let goes = matches!(place, Place::Target(_) | Place::Vm(_));
        if !goes || !self.may_repeat(call) {
            attempts.exhaust();
            return None;
        }
        let left = call.left(self.clock.now());
        match place {
            Place::Target(pick) => {
                tried.push(pick.target.target.clone());
                self.record_placed(call, &pick);
                match self.try_target(call, &pick, last, left).await {
                    Tried::Head(opened) => {
                        attempts.record_run(&pick.target.target);
                        let Opened { status, body, lease, keep, trip, .. } = *opened;
                        let from = FromTarget { body, lease: Some(lease), keep, trip };
                        status.is_success().then(|| Source::Target(Box::new(from)))
                    }
                    Tried::Unknown(_) => {
                        attempts.record_run(&pick.target.target);
                        None
                    }
                    Tried::Rejected(_) | Tried::NotSent(_) => None,
                }
            }
            Place::Vm(vm) => {
                attempts.record_remote_run();
                match self.ask_vm(call, &vm, last, left).await {
                    Passed::Head(head, exchange) if (200..300).contains(&head.status) => {
                        Some(Source::Link(exchange))
                    }
                    _ => None,
                }
            }
            Place::Wait | Place::Late(_) | Place::Nowhere => None,
        }
    }
}

/// What was read of an answer.
enum Start {
    /// All of it.
    Whole(Bytes),
    /// The beginning.
    Begins(Bytes),
}

impl Course {
    /// A target answered with a failure, and may be asked again if it is the first one that did.
    fn failed(&mut self, target: &str) {
        let target = id::Target::from(target);
        if self.attempts.record_failure(&target) {
            self.tried.retain(|tried| *tried != target);
        }
    }

    fn may_go_on(&self) -> bool {
        self.attempts.may_attempt()
            && self.rejections < MOST_REJECTIONS
            && self.unreached < MOST_UNREACHED
    }
}
