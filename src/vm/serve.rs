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

use super::Vm;
use crate::{
    clock::within,
    event,
    http::{self, Body, Incomplete},
    id,
    outcome::{Outcome, Reason, Refusal},
    path::{self, Admitted, Answer, Attempts, Class, Received},
    settings::Peer,
    target::Announcement,
};

/// Attempts at one request on one VM.
const ATTEMPTS: u32 = 3;
/// How long a request that may wait does so before it looks for a target again.
const BATCH_PAUSE: Duration = Duration::from_millis(250);

/// Where to send a request next.
enum Choice {
    /// To a target of this region.
    Target(Announcement),
    /// To a VM of another region.
    Vm(Peer),
}

impl Vm {
    /// Serves a caller's request.
    pub(super) async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = self.request_id();
        let outcome = self.take(id.clone(), request).await;
        event::path::REQUEST.emit(&self.logger, &[("request", &id), ("outcome", &Word(&outcome))]);
        let mut response = match outcome {
            Outcome::Answered(answer) => path::relay(&id, answer),
            Outcome::Refused(refusal) => path::refusal(&id, &refusal),
            Outcome::Unknown(cause) => path::unknown(&id, &cause),
        };
        if self.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn take(
        self: &Arc<Self>,
        id: id::Request,
        request: Request<Incoming>,
    ) -> Outcome<Answer> {
        match self.prepare(id, request).await {
            Ok(request) => self.place(request).await,
            Err(refusal) => Outcome::Refused(refusal),
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
            return Err(self.redirect(stopping(), &[], &path));
        }
        let received = path::Request {
            id,
            book: self.current_book().await?,
            method: head.method,
            path,
            class: Class::default(),
            deadline: self.deadline(&head.headers)?,
            way: vec![self.settings.vm.clone()],
            between_regions: 0,
            within_region: 0,
            stage: Received { headers: head.headers },
        };
        let request = received.authenticate()?;
        request.permit_region(&self.settings.region).map_err(|refusal| {
            let regions = &request.stage.allowance.regions;
            self.redirect(refusal, regions, &request.path)
        })?;
        let body = self.read(body, request.left(self.clock.now())).await?;
        request.resolve(&self.names, body)?.allow()?.admit(&self.admission).await
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
            Incomplete::TooLarge => Refusal::new(
                Reason::TooLarge,
                format!("the body is larger than {limit} bytes"),
                "send a smaller body",
            ),
            Incomplete::Broken => {
                Refusal::new(Reason::Malformed, "the body was cut short", "send it whole")
            }
        })
    }

    /// Gives the request's answer. A request of the class that may wait does so while no target
    /// takes it.
    pub(super) async fn place(
        self: &Arc<Self>,
        request: path::Request<Admitted>,
    ) -> Outcome<Answer> {
        let request = Arc::new(request);
        loop {
            let outcome = self.attempt(&request).await;
            let waits = request.class == Class::Batch
                && matches!(&outcome, Outcome::Refused(refusal) if may_pass(refusal.reason))
                && request.left(self.clock.now()) > BATCH_PAUSE
                && !self.is_stopping();
            if !waits {
                return match (outcome, Arc::into_inner(request)) {
                    (Outcome::Answered(answer), Some(request)) => {
                        Outcome::Answered(answer.holding(request.stage.permit))
                    }
                    (outcome, _) => outcome,
                };
            }
            Timer::after(BATCH_PAUSE).await;
        }
    }

    /// Finds a target here or in another region; what failed is tried elsewhere as long as that
    /// can do no harm.
    async fn attempt(self: &Arc<Self>, request: &Arc<path::Request<Admitted>>) -> Outcome<Answer> {
        let mut attempts = Attempts::new(request.stage.resolved.idempotent, ATTEMPTS);
        while attempts.may_try() {
            let left = request.left(self.clock.now());
            if left.is_zero() {
                return attempts.end(late());
            }
            let Some(choice) = self.choose(request, &attempts) else { break };
            let outcome = match choice {
                Choice::Target(target) => {
                    attempts.target(&target.target);
                    if request.stage.resolved.idempotent {
                        path::dispatch(request, &target, self.settings.dispatch(), left).await
                    } else {
                        self.run_once(request, &target, left).await
                    }
                }
                Choice::Vm(peer) => {
                    attempts.vm(&peer.vm);
                    self.hand_over(request, &peer, left).await
                }
            };
            if let ControlFlow::Break(outcome) = attempts.note(outcome) {
                return outcome;
            }
        }
        attempts.end(no_target(request))
    }

    fn choose(&self, request: &path::Request<Admitted>, attempts: &Attempts) -> Option<Choice> {
        let resolved = &request.stage.resolved;
        let now = self.clock.now();
        let stops = self.stops();
        let targets = self.targets();
        let fresh = targets
            .capable(&resolved.need, now)
            .filter(|target| !stops.target(&target.target, &target.zone, &target.region))
            .filter(|target| !attempts.targets().contains(&target.target));
        if let Some(target) = fresh.min_by_key(|target| target.load.running) {
            return Some(Choice::Target(target.clone()));
        }
        if !self.may_hand_over(request) {
            return None;
        }
        let regions: Vec<_> = targets
            .elsewhere(&resolved.need, now)
            .map(|(region, _)| region.clone())
            .filter(|region| resolved.allowance.regions.contains(region))
            .collect();
        drop(targets);
        if regions.is_empty() {
            return None;
        }
        let peers = self.peers_in(&regions);
        peers.into_iter().find(|peer| !attempts.vms().contains(&peer.vm)).map(Choice::Vm)
    }
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
pub(super) fn stopping() -> Refusal {
    Refusal::new(Reason::Stopping, "this VM is stopping", "use another VM that the directory names")
        .retry_after(Duration::from_secs(1))
}

struct Word<'a>(&'a Outcome<Answer>);

impl fmt::Display for Word<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Outcome::Answered(_) => "answered",
            Outcome::Refused(_) => "refused",
            Outcome::Unknown(_) => "unknown",
        })
    }
}
