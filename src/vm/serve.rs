use std::{
    fmt,
    ops::ControlFlow,
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    HeaderMap, Request, Response,
    body::{Bytes, Incoming},
    header::{CONNECTION, HeaderValue},
};
use smol::Timer;

use super::{Vm, choose::Choice, routing::Route, trip::Trip};
use crate::{
    clock::within,
    event,
    http::{self, Body, CollectError},
    id,
    outcome::{Outcome, Reason, Refusal},
    path::{self, Admitted, Attempts, Class, Received, TargetResponse},
};

/// Attempts at one request on one VM.
const ATTEMPTS: u32 = 3;
/// How long a request that may wait does so before it looks for a target again.
const BATCH_PAUSE: Duration = Duration::from_millis(250);
/// How long a request that has to run apart waits before it looks for a target again.
const APART_PAUSE: Duration = Duration::from_millis(50);

/// How long a request waited for its place in its customer's limits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waited(pub(super) Duration);

impl Vm {
    /// Serves a caller's request.
    pub(super) async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = self.new_request_id();
        let (outcome, waited) = self.take(id.clone(), request).await;
        event::path::REQUEST.emit(&self.logger, &[("request", &id), ("outcome", &Word(&outcome))]);
        let mut response = match outcome {
            Outcome::Answered(answer) => path::relay(&id, answer),
            Outcome::Refused(refusal) => path::refusal_response(&id, &refusal),
            Outcome::Unknown(cause) => path::unknown_outcome_response(&id, &cause),
        };
        response.extensions_mut().insert(Waited(waited));
        if self.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn take(
        self: &Arc<Self>,
        id: id::Request,
        request: Request<Incoming>,
    ) -> (Outcome<TargetResponse>, Duration) {
        match self.prepare(id, request).await {
            Ok(request) => {
                let waited = request.stage.queue_time;
                (self.serve_admitted(request).await, waited)
            }
            Err(refusal) => (Outcome::Refused(refusal), Duration::ZERO),
        }
    }

    async fn prepare(
        &self,
        id: id::Request,
        request: Request<Incoming>,
    ) -> Result<path::Request<Admitted>, Refusal> {
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        if self.is_stopping() {
            return Err(self.redirect(stopping_refusal(), &[], &path));
        }
        let received = path::Request {
            id,
            book: self.wait_for_book().await?,
            method: head.method,
            path_and_query: path,
            class: Class::default(),
            deadline: self.deadline(&head.headers)?,
            hops: vec![self.settings.vm.clone()],
            between_regions: 0,
            within_region: 0,
            stage: Received { headers: head.headers },
        };
        let request = received.authenticate()?;
        request.check_region(&self.settings.region).map_err(|refusal| {
            let regions = &request.stage.allowance.regions;
            self.redirect(refusal, regions, &request.path_and_query)
        })?;
        let body = self.read(body, request.time_left(self.clock.now())).await?;
        let allowed = request.resolve(&self.names, body)?.check_allowance()?;
        let start = self.clock.now();
        let mut admitted = allowed.admit(&self.admission).await?;
        admitted.stage.queue_time = self.clock.now().saturating_duration_since(start);
        Ok(admitted)
    }

    fn deadline(&self, headers: &HeaderMap) -> Result<Instant, Refusal> {
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

    /// Names another VM of `regions`, or of any where there are none, if one is known.
    fn redirect(&self, refusal: Refusal, regions: &[id::Region], path: &str) -> Refusal {
        match self.peers_in(regions).first() {
            Some(peer) => refusal.location(format!("http://{}{path}", peer.callers)),
            None => refusal,
        }
    }

    async fn read(&self, body: Incoming, left: Duration) -> Result<Bytes, Refusal> {
        let limit = self.settings.body_limit;
        let read = within(left, http::collect(body, limit)).await.ok_or_else(late)?;
        read.map_err(|incomplete| match incomplete {
            CollectError::TooLarge => Refusal::new(
                Reason::TooLarge,
                format!("the body is larger than {limit} bytes"),
                "send a smaller body",
            ),
            CollectError::Incomplete => {
                Refusal::new(Reason::Malformed, "the body was cut short", "send it whole")
            }
        })
    }

    /// Gives the request's answer. A request of the class that may wait does so while no target
    /// takes it.
    pub(super) async fn serve_admitted(
        self: &Arc<Self>,
        request: path::Request<Admitted>,
    ) -> Outcome<TargetResponse> {
        let route = Arc::new(Route::new(&request));
        self.routing().budget.record_first_attempt(&request.stage.resolved.plan.customer);
        let request = Arc::new(request);
        loop {
            let outcome = self.attempt(&request, &route).await;
            let waits = request.class == Class::Batch
                && matches!(&outcome, Outcome::Refused(refusal) if may_pass(refusal.reason))
                && request.time_left(self.clock.now()) > BATCH_PAUSE
                && !self.is_stopping();
            if !waits {
                return match (outcome, Arc::into_inner(request)) {
                    (Outcome::Answered(answer), Some(request)) => {
                        Outcome::Answered(answer.with_permit(request.stage.permit))
                    }
                    (outcome, _) => outcome,
                };
            }
            Timer::after(BATCH_PAUSE).await;
        }
    }

    /// Finds a target here or in another region; what failed is tried elsewhere as long as that
    /// can do no harm and the customer has retries left.
    async fn attempt(
        self: &Arc<Self>,
        request: &Arc<path::Request<Admitted>>,
        route: &Arc<Route>,
    ) -> Outcome<TargetResponse> {
        let mut attempts = Attempts::new(request.stage.resolved.idempotent, ATTEMPTS);
        while attempts.may_attempt() {
            let left = request.time_left(self.clock.now());
            if left.is_zero() {
                return attempts.final_outcome(late());
            }
            let choice = self.choose(request, route, &attempts);
            let goes = matches!(choice, Choice::Target(_) | Choice::Vm(_));
            if goes && !attempts.is_first() && !self.may_retry(request) {
                break;
            }
            let outcome = match choice {
                Choice::Target(trip) => {
                    attempts.record_target(&trip.target.target);
                    self.send(request, trip, left).await
                }
                Choice::Vm(peer) => {
                    attempts.record_vm(&peer.vm);
                    let outcome = self.hand_over(request, &peer, left).await;
                    if is_overloaded(&outcome) {
                        attempts.record_full_region(&peer.region);
                    }
                    outcome
                }
                Choice::Wait => {
                    Timer::after(APART_PAUSE.min(left)).await;
                    continue;
                }
                Choice::Refuse(refusal) => return attempts.final_outcome(refusal),
                Choice::None => break,
            };
            if let ControlFlow::Break(outcome) = attempts.record_outcome(outcome) {
                return outcome;
            }
        }
        attempts.final_outcome(no_target(request))
    }

    fn may_retry(&self, request: &path::Request<Admitted>) -> bool {
        let customer = &request.stage.resolved.plan.customer;
        let left = self.routing().budget.spend_retry(customer).is_ok();
        if !left {
            let fields: [event::Field<'_>; 2] = [("request", &request.id), ("customer", customer)];
            event::placement::RETRIES_SPENT.emit(&self.logger, &fields);
        }
        left
    }

    /// Sends the request to a target, and learns from what becomes of it.
    async fn send(
        self: &Arc<Self>,
        request: &Arc<path::Request<Admitted>>,
        trip: Trip,
        left: Duration,
    ) -> Outcome<TargetResponse> {
        let target = trip.target.clone();
        let outcome = if request.stage.resolved.idempotent {
            path::dispatch(request, &target, self.settings.dispatch(), left).await
        } else {
            self.run_once(request, &target, left).await
        };
        let now = self.clock.now();
        match outcome {
            Outcome::Answered(answer) => Outcome::Answered(watched(answer, trip)),
            Outcome::Unknown(doubt) => {
                if !request.time_left(now).is_zero() {
                    self.routing().failed(now, &target.target, target.incarnation);
                    self.inspect(trip).await;
                }
                Outcome::Unknown(doubt)
            }
            Outcome::Refused(refusal) => {
                if refusal.reason == Reason::NoTarget {
                    self.routing().failed(now, &target.target, target.incarnation);
                }
                Outcome::Refused(refusal)
            }
        }
    }
}

/// The answer, whose end tells placement and the ledger what became of the request.
fn watched(answer: TargetResponse, trip: Trip) -> TargetResponse {
    answer.on_end(move |whole| {
        if whole {
            trip.finish();
        } else {
            let vm = Arc::clone(&trip.vm);
            smol::spawn(async move { vm.inspect(trip).await }).detach();
        }
    })
}

fn is_overloaded(outcome: &Outcome<TargetResponse>) -> bool {
    matches!(outcome, Outcome::Refused(refusal) if refusal.reason == Reason::Overloaded)
}

/// Whether waiting may mend what a request was refused for.
fn may_pass(reason: Reason) -> bool {
    matches!(reason, Reason::NoTarget | Reason::Overloaded)
}

fn no_target(request: &path::Request<Admitted>) -> Refusal {
    Refusal::new(
        Reason::NoTarget,
        format!("no target in the permitted regions serves {}", request.stage.resolved.need),
        "try again later",
    )
    .retry_after(Duration::from_secs(1))
}

fn late() -> Refusal {
    Refusal::new(
        Reason::DeadlinePassed,
        "the deadline passed before the request was sent to a target",
        "allow more time",
    )
}

/// The refusal of a VM that is stopping.
pub(super) fn stopping_refusal() -> Refusal {
    Refusal::new(Reason::Stopping, "this VM is stopping", "use another VM that the directory names")
        .retry_after(Duration::from_secs(1))
}

struct Word<'a>(&'a Outcome<TargetResponse>);

impl fmt::Display for Word<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Outcome::Answered(_) => "answered",
            Outcome::Refused(_) => "refused",
            Outcome::Unknown(_) => "unknown",
        })
    }
}
