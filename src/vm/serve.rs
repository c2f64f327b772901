use std::sync::Arc;

use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    header::{HeaderValue, LOCATION},
};

use super::Vm;
use crate::{
    event,
    http::{self, Body, Incomplete},
    id,
    outcome::{Outcome, Reason, Refusal},
    path::{self, Admitted, Answer, Authenticated, Class, Dispatch, Received},
    target::Announcement,
};

impl Vm {
    /// Serves a caller's request.
    pub(super) async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let id = self.request_id();
        let outcome = self.take(id.clone(), request).await;
        event::path::REQUEST.emit(&self.logger, &[("request", &id), ("outcome", &Word(&outcome))]);
        match outcome {
            Outcome::Answered(answer) => path::relay(&id, answer),
            Outcome::Refused(refusal) => path::refusal(&id, &refusal),
            Outcome::Unknown(cause) => path::unknown(&id, &cause),
        }
    }

    async fn take(&self, id: id::Request, request: Request<Incoming>) -> Outcome<Answer> {
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
        let received = path::Request {
            id,
            book: self.book(),
            method: head.method,
            path,
            class: Class::default(),
            deadline: self.clock.now() + self.settings.deadline(),
            way: vec![self.settings.vm.clone()],
            between_regions: 0,
            within_region: 0,
            stage: Received { headers: head.headers },
        };
        let request = received.authenticate()?;
        request.permit_region(&self.settings.region)?;
        let body = self.read(body).await?;
        self.admit(request, body)
    }

    async fn read(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit = self.settings.body_limit;
        http::collect(body, limit).await.map_err(|incomplete| match incomplete {
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

    fn admit(
        &self,
        request: path::Request<Authenticated>,
        body: Bytes,
    ) -> Result<path::Request<Admitted>, Refusal> {
        request.resolve(body)?.allow()?.admit()
    }

    /// Finds a target here or in another region, and gives its answer.
    pub(super) async fn place(&self, request: path::Request<Admitted>) -> Outcome<Answer> {
        let mut last = None;
        for target in self.candidates(&request) {
            match path::dispatch(&request, &target, Dispatch::default()).await {
                Outcome::Refused(refusal) => last = Some(refusal),
                outcome => return outcome,
            }
        }
        match self.hand_over(&request).await {
            Some(outcome) => outcome,
            None => Outcome::Refused(last.unwrap_or_else(|| no_target(&request))),
        }
    }

    fn candidates(&self, request: &path::Request<Admitted>) -> Vec<Announcement> {
        let now = self.clock.now();
        self.targets()
            .capable(&request.stage.resolved.need, now)
            .filter(|announcement| announcement.region == self.settings.region)
            .cloned()
            .collect()
    }
}

fn no_target(request: &path::Request<Admitted>) -> Refusal {
    Refusal::new(
        Reason::NoTarget,
        format!("no target in the permitted regions serves {}", request.stage.resolved.need),
        "try again later",
    )
}

struct Word<'a>(&'a Outcome<Answer>);

impl std::fmt::Display for Word<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self.0 {
            Outcome::Answered(_) => "answered",
            Outcome::Refused(_) => "refused",
            Outcome::Unknown(_) => "unknown",
        })
    }
}

/// Names `address` as the place to send the same request to.
#[allow(dead_code)]
fn redirect(response: &mut Response<Body>, address: std::net::SocketAddr, path: &str) {
    if let Ok(value) = HeaderValue::from_str(&format!("http://{address}{path}")) {
        response.headers_mut().insert(LOCATION, value);
    }
}
