use std::{sync::Arc, time::Duration};

use hyper::{
    HeaderMap, Request, Response,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use rand::RngExt;

use super::{
    Prompt,
    handover::host_of,
    outcome::{Answer, AnswerBody, Outcome, Reason, Refusal},
    routed_request::Call,
    server::Gateway,
};
use crate::{
    clock::within,
    http::{self, Body, Incomplete},
};

/// When to come back to a VM that does not know its routes yet.
const SOON: Duration = Duration::from_millis(400);
/// How long a request may take where its caller names no time and no route was found.
const LONGEST: Duration = Duration::from_secs(30);

impl Gateway {
    /// Serves a caller's request.
    pub(super) async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let _busy = self.in_flight_guard();
        let came = self.clock.now();
        let id = self.text(request.headers(), &self.header_names.request_id).unwrap_or_default();
        let outcome = match self.prepare(id.clone(), request).await {
            Ok(call) => {
                let call = Arc::new(call);
                self.retry_budget().record_request(&call.service, came);
                let departure = Departure { gateway: &self, call: &call, waits: true };
                let outcome = self.run(Arc::clone(&call)).await;
                departure.passes();
                self.record_end(&call, &outcome);
                outcome
            }
            Err(refusal) => {
                self.record_turned_away(&id, &refusal);
                Outcome::Refused(refusal)
            }
        };
        let mut response = match outcome {
            Outcome::Answered(answer) => respond(answer),
            Outcome::Refused(refusal) => self.refuse(&id, &refusal),
            Outcome::Unknown(cause) => self.unknown(&id, &cause),
        };
        if self.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Finds the rule of a request and reads its body.
    async fn prepare(&self, id: String, request: Request<Incoming>) -> Result<Call, Refusal> {
        let came = self.clock.now();
        let table = self
            .route_table()
            .ok_or_else(|| Refusal::new(Reason::NoRoutes, "no routes are known yet", SOON))?;
        let (head, body) = request.into_parts();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let host = host_of(&head.headers).unwrap_or_default();
        let rule = table.find(&host, &path).cloned().ok_or_else(|| {
            Refusal::new(Reason::NoRoute, format!("no route for {host}{path}"), Duration::ZERO)
        })?;
        if id.is_empty() {
            let detail = format!("the header `{}` is missing", self.header_names.request_id);
            return Err(Refusal::new(Reason::NoIdentifier, detail, Duration::ZERO));
        }
        let told = self.text(&head.headers, &self.header_names.timeout_ms);
        let told = told.and_then(|text| text.trim().parse().ok()).map(Duration::from_millis);
        let time = rule.timeout.min(told.unwrap_or(LONGEST));
        let body = within(time, http::collect(body, table.limits.body_bytes))
            .await
            .unwrap_or(Err(Incomplete::Broken))
            .map_err(|incomplete| match incomplete {
                Incomplete::TooLarge => {
                    let limit = table.limits.body_bytes;
                    let detail = format!("the body is larger than {limit} bytes");
                    Refusal::new(Reason::TooLarge, detail, Duration::ZERO)
                }
                Incomplete::Broken => {
                    Refusal::new(Reason::Incomplete, "the body did not come whole", SOON)
                }
            })?;
        let drawn: u64 = self.random().random();
        let service = rule.split.pick(drawn).cloned().ok_or_else(|| {
            Refusal::new(Reason::NoTarget, "the route has no service with a weight", SOON)
        })?;
        Ok(Call {
            id,
            method: head.method,
            path,
            prompt: self.prompt(&head.headers),
            last_event: self.last_event(&head.headers),
            headers: self.header_names.filter_request_headers(head.headers),
            body,
            rule,
            version: table.version,
            service,
            deadline: came + time,
            came,
            handed_over: false,
        })
    }

    pub(super) fn prompt(&self, headers: &HeaderMap) -> Prompt {
        let parts = self.text(headers, &self.header_names.prompt_parts);
        let tokens = self.text(headers, &self.header_names.token_counts);
        Prompt::parse(parts.as_deref(), tokens.as_deref())
    }

    pub(super) fn last_event(&self, headers: &HeaderMap) -> Option<u64> {
        self.text(headers, &self.header_names.last_event_id)?.trim().parse().ok()
    }

    fn text(&self, headers: &HeaderMap, name: &hyper::header::HeaderName) -> Option<String> {
        Some(headers.get(name)?.to_str().ok()?.to_owned())
    }

    fn refuse(&self, id: &str, refusal: &Refusal) -> Response<Body> {
        let word = refusal.reason.word();
        let mut response = self.problem(id, word, &refusal.detail);
        *response.status_mut() = refusal.reason.status();
        if !refusal.retry_after.is_zero() {
            let seconds = format!("{:.2}", refusal.retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    fn unknown(&self, id: &str, cause: &str) -> Response<Body> {
        let mut response = self.problem(id, "unknown", cause);
        *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;
        response
    }

    fn problem(&self, id: &str, word: &str, detail: &str) -> Response<Body> {
        let body = serde_json::json!({ "error": word, "detail": detail });
        let mut response = Response::new(http::full(body.to_string()));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(value) = HeaderValue::from_str(id) {
            headers.insert(self.header_names.request_id.clone(), value);
        }
        response
    }
}

/// Logs that a caller left before the head of its answer.
struct Departure<'a> {
    gateway: &'a Gateway,
    call: &'a Call,
    waits: bool,
}

impl Departure<'_> {
    /// The caller has waited for its answer.
    fn passes(mut self) {
        self.waits = false;
    }
}

impl Drop for Departure<'_> {
    fn drop(&mut self) {
        if self.waits {
            let left = Outcome::Unknown("caller left before an answer".to_owned());
            self.gateway.record_end(self.call, &left);
        }
    }
}

/// Turns a target's answer into a response to the caller.
fn respond(answer: Answer) -> Response<Body> {
    let body = match answer.body {
        AnswerBody::Whole(bytes) => http::full(bytes),
        AnswerBody::Flow(flow) => flow.into_body(),
    };
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
