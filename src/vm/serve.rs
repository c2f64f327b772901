use std::{
    fmt,
    ops::ControlFlow,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Bytes, Incoming},
    header::{CONNECTION, HeaderValue},
    http::request::Parts,
};
use smol::Timer;

use super::{
    Vm, routing_decision::RoutingDecision, routing_state::PlacementInput,
    target_attempt::TargetAttempt, target_limit::TargetLimit,
};
use crate::{
    clock::within,
    event,
    http::{self, Body, CollectError},
    id,
    outcome::{Outcome, Reason, Refusal},
    path::{self, Admitted, Attempts, Class, Received, TargetResponse},
};

const MAX_ATTEMPTS_PER_VM: u32 = 3;
/// How long the rest of the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a batch request waits before it looks for a target again.
const BATCH_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a crash suspect waits before it looks again for a target that runs no other suspect.
const ISOLATION_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How long a request waited for admission by its customer's limits. The HTTP response carries it
/// as an extension.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionWait(pub(super) Duration);

impl Vm {
    /// Serves a request of a caller and logs its outcome.
    pub(super) async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = self.new_request_id();
        let (outcome, admission_wait) = self.admit_and_serve(id.clone(), request).await;
        event::path::REQUEST
            .emit(&self.logger, &[("request", &id), ("outcome", &OutcomeName(&outcome))]);
        let mut response = match outcome {
            Outcome::Answered(answer) => path::relay(&id, self.log_abort(&id, answer)),
            Outcome::Refused(refusal) => path::refusal_response(&id, &refusal),
            Outcome::Unknown(cause) => path::unknown_outcome_response(&id, &cause),
        };
        response.extensions_mut().insert(AdmissionWait(admission_wait));
        if self.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Logs why the body of `answer` was cut short, if it is.
    fn log_abort(&self, id: &id::Request, answer: TargetResponse) -> TargetResponse {
        let (logger, id) = (self.logger.clone(), id.clone());
        answer.on_abort(move |cause| {
            event::path::BROKEN_OFF.emit(&logger, &[("request", &id), ("cause", &cause)]);
        })
    }

    async fn admit_and_serve(
        self: &Arc<Self>,
        id: id::Request,
        request: Request<Incoming>,
    ) -> (Outcome<TargetResponse>, Duration) {
        let (head, mut body) = request.into_parts();
        let admitted = self.until_grace_ends(self.admit_request(id, head, &mut body)).await;
        match admitted.unwrap_or_else(|| Err(stopping_refusal())) {
            Ok(request) => {
                let admission_wait = request.stage.queue_time;
                let outcome = self.outcome_within_grace(self.serve_admitted(request)).await;
                (outcome, admission_wait)
            }
            Err(refusal) => {
                discard_rest(body);
                (Outcome::Refused(refusal), Duration::ZERO)
            }
        }
    }

    async fn admit_request(
        &self,
        id: id::Request,
        head: Parts,
        body: &mut Incoming,
    ) -> Result<path::Request<Admitted>, Refusal> {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        if self.is_stopping() {
            return Err(self.add_redirect(stopping_refusal(), &[], &path));
        }
        let received = path::Request {
            id,
            book: self.wait_for_book().await?,
            method: head.method,
            path_and_query: path,
            class: Class::default(),
            deadline: self.request_deadline(&head.headers)?,
            hops: vec![self.settings.vm.clone()],
            handovers_between_regions: 0,
            handovers_within_region: 0,
            stage: Received { headers: head.headers },
        };
        let request = received.authenticate()?;
        request.check_region(&self.settings.region).map_err(|refusal| {
            let regions = &request.stage.allowance.regions;
            self.add_redirect(refusal, regions, &request.path_and_query)
        })?;
        let body = self.read_body(body, request.time_left(self.clock.now())).await?;
        let allowed = request.resolve(&self.names, body)?.check_allowance()?;
        let started_at = self.clock.now();
        let mut admitted = allowed.admit(&self.admission).await?;
        admitted.stage.queue_time = self.clock.now().saturating_duration_since(started_at);
        Ok(admitted)
    }

    fn request_deadline(&self, headers: &HeaderMap) -> Result<Instant, Refusal> {
        let Some(value) = headers.get(path::TIMEOUT_MS) else {
            return Ok(self.clock.now() + self.settings.deadline());
        };
        let timeout = value.to_str().ok().and_then(|text| text.parse().ok()).ok_or_else(|| {
            Refusal::new(
                Reason::Malformed,
                format!("the header `{}` is no number", path::TIMEOUT_MS),
                "give milliseconds, or leave it out",
            )
        })?;
        Ok(self.clock.now() + Duration::from_millis(timeout).min(self.settings.deadline()))
    }

    /// Adds the location of another VM in `regions`, or in any region if `regions` is empty, if
    /// such a VM is known.
    fn add_redirect(&self, refusal: Refusal, regions: &[id::Region], path: &str) -> Refusal {
        match self.other_available_vms(regions).first() {
            Some(peer) => refusal.location(format!("http://{}{path}", peer.callers)),
            None => refusal,
        }
    }

    async fn read_body(&self, body: &mut Incoming, time_left: Duration) -> Result<Bytes, Refusal> {
        let limit = self.settings.body_limit;
        let read =
            within(time_left, http::collect(body, limit)).await.ok_or_else(deadline_refusal)?;
        read.map_err(|incomplete| match incomplete {
            CollectError::TooLarge => Refusal::new(
                Reason::TooLarge,
                format!("the body is larger than {limit} bytes"),
                "send a smaller body",
            ),
            CollectError::Incomplete => {
                Refusal::new(Reason::Malformed, "the body was cut short", "send it whole")
            }
            CollectError::NoMemory => Refusal::new(
                Reason::Overloaded,
                "this VM has no memory for the body",
                "send it again later",
            ),
        })
    }

    /// Serves an admitted request. A batch request is tried again until its deadline while no
    /// target takes it.
    pub(super) async fn serve_admitted(
        self: &Arc<Self>,
        request: path::Request<Admitted>,
    ) -> Outcome<TargetResponse> {
        let placement_input = Arc::new(PlacementInput::new(&request));
        self.routing().retry_budget.record_first_attempt(&request.stage.resolved.plan.customer);
        let request = Arc::new(request);
        loop {
            let outcome = self.try_targets(&request, &placement_input).await;
            let retry_later = request.class == Class::Batch
                && matches!(&outcome, Outcome::Refused(refusal) if is_transient(refusal.reason))
                && request.time_left(self.clock.now()) > BATCH_RETRY_INTERVAL
                && !self.is_stopping();
            if !retry_later {
                return match (outcome, Arc::into_inner(request)) {
                    (Outcome::Answered(answer), Some(request)) => {
                        Outcome::Answered(answer.with_permit(request.stage.permit))
                    }
                    (outcome, _) => outcome,
                };
            }
            Timer::after(BATCH_RETRY_INTERVAL).await;
        }
    }

    /// Tries targets of this region and VMs of other regions in turn. A failed attempt is repeated
    /// elsewhere only if that is safe and the retry budget of the customer allows it.
    async fn try_targets(
        self: &Arc<Self>,
        request: &Arc<path::Request<Admitted>>,
        placement_input: &Arc<PlacementInput>,
    ) -> Outcome<TargetResponse> {
        let mut attempts = Attempts::new(request.stage.resolved.idempotent, MAX_ATTEMPTS_PER_VM);
        while attempts.may_attempt() {
            let time_left = request.time_left(self.clock.now());
            if time_left.is_zero() {
                return attempts.final_outcome(deadline_refusal());
            }
            let decision = self.decide_routing(request, placement_input, &attempts);
            let is_attempt =
                matches!(decision, RoutingDecision::Target(_) | RoutingDecision::Vm(_));
            if is_attempt && !attempts.is_first() && !self.spend_retry(request) {
                break;
            }
            let outcome = match decision {
                RoutingDecision::Target(attempt) => {
                    attempts.record_target(&attempt.target.target);
                    self.send_to_target(request, attempt, time_left).await
                }
                RoutingDecision::Vm(peer) => {
                    attempts.record_vm(&peer.vm);
                    let outcome = self.hand_over(request, &peer, time_left).await;
                    if is_overloaded(&outcome) {
                        attempts.record_overloaded_region(&peer.region);
                    }
                    outcome
                }
                RoutingDecision::Wait => {
                    Timer::after(ISOLATION_RETRY_INTERVAL.min(time_left)).await;
                    continue;
                }
                RoutingDecision::Refuse(refusal) => return attempts.final_outcome(refusal),
                RoutingDecision::NoTarget => break,
            };
            if let ControlFlow::Break(outcome) = attempts.record_outcome(outcome) {
                return outcome;
            }
        }
        attempts.final_outcome(no_target_refusal(request))
    }

    fn spend_retry(&self, request: &path::Request<Admitted>) -> bool {
        let customer = &request.stage.resolved.plan.customer;
        let allowed = self.routing().retry_budget.spend_retry(customer).is_ok();
        if !allowed {
            let fields: [event::Field<'_>; 2] = [("request", &request.id), ("customer", customer)];
            event::placement::RETRIES_SPENT.emit(&self.logger, &fields);
        }
        allowed
    }

    /// Sends the request to a target. If the attempt fails, the target is avoided for a while. If the
    /// outcome is unknown, this VM also checks whether the target died.
    ///
    /// An outcome that is unknown after the deadline of the request does not count against the
    /// target.
    async fn send_to_target(
        self: &Arc<Self>,
        request: &Arc<path::Request<Admitted>>,
        attempt: TargetAttempt,
        time_left: Duration,
    ) -> Outcome<TargetResponse> {
        let target = attempt.target.clone();
        let outcome = if request.stage.resolved.idempotent {
            let (limits, watch) = (self.settings.dispatch(), TargetLimit::watch(self, &target));
            let share = self.buffer_budget.share();
            path::dispatch(request, &target, limits, time_left, &self.clock, watch, share).await
        } else {
            self.run_at_most_once(request, &target, time_left).await
        };
        let now = self.clock.now();
        match outcome {
            Outcome::Answered(answer) => Outcome::Answered(watch_completion(answer, attempt)),
            Outcome::Unknown(cause) => {
                if !request.time_left(now).is_zero() {
                    self.routing().record_failure(now, &target.target, target.incarnation);
                    self.check_for_target_death(attempt).await;
                }
                Outcome::Unknown(cause)
            }
            Outcome::Refused(refusal) => {
                if refusal.reason == Reason::NoTarget {
                    self.routing().record_failure(now, &target.target, target.incarnation);
                }
                Outcome::Refused(refusal)
            }
        }
    }
}

/// Reads what still comes of the body of a refused request, so that its caller gets the refusal.
fn discard_rest(body: Incoming) {
    if !body.is_end_stream() {
        smol::spawn(within(DISCARD_TIMEOUT, http::discard(body))).detach();
    }
}

/// Returns `answer` with a callback at its end, which completes the attempt, or checks whether the
/// target died if the answer broke off.
fn watch_completion(answer: TargetResponse, attempt: TargetAttempt) -> TargetResponse {
    let is_success = (200..300).contains(&answer.head.status);
    answer.on_end(move |complete| {
        if complete {
            attempt.complete(is_success);
        } else {
            let vm = Arc::clone(&attempt.vm);
            smol::spawn(async move { vm.check_for_target_death(attempt).await }).detach();
        }
    })
}

fn is_overloaded(outcome: &Outcome<TargetResponse>) -> bool {
    matches!(outcome, Outcome::Refused(refusal) if refusal.reason == Reason::Overloaded)
}

/// Whether a later attempt may succeed.
fn is_transient(reason: Reason) -> bool {
    matches!(reason, Reason::NoTarget | Reason::Overloaded)
}

fn no_target_refusal(request: &path::Request<Admitted>) -> Refusal {
    Refusal::new(
        Reason::NoTarget,
        format!("no target in the permitted regions serves {}", request.stage.resolved.need),
        "try again later",
    )
    .retry_after(Duration::from_secs(1))
}

fn deadline_refusal() -> Refusal {
    Refusal::new(
        Reason::DeadlinePassed,
        "the deadline passed before the request was sent to a target",
        "allow more time",
    )
}

pub(super) fn stopping_refusal() -> Refusal {
    Refusal::new(Reason::Stopping, "this VM is stopping", "use another VM that the directory names")
        .retry_after(Duration::from_secs(1))
}

struct OutcomeName<'a>(&'a Outcome<TargetResponse>);

impl fmt::Display for OutcomeName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Outcome::Answered(_) => "answered",
            Outcome::Refused(_) => "refused",
            Outcome::Unknown(_) => "unknown",
        })
    }
}
