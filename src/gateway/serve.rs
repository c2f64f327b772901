use std::{sync::Arc, time::Duration};

use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Incoming},
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    http::request::Parts,
};
use rand::RngExt;

use super::{
    Prompt, VersionBinding,
    handover::host_without_port,
    outcome::{Outcome, Reason, Refusal, ResponseBody, TargetResponse},
    routed_request::{Flight, RoutedRequest},
    server::Gateway,
};
use crate::{
    clock::within,
    http::{self, Body, CollectError, RequestAccount},
    route::DeliveryMode,
};

/// The `Retry-After` of refusals whose cause is likely to pass soon.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(400);
/// How long the refusal of a request for a stop waits for the request's body, as most callers read no
/// response before they have sent all of it.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the rest of the body of a refused request is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of a request that names none; the route's timeout applies if it is shorter.
pub(super) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest time for which a caller is expected to take a stream up again, whatever it says.
const MAX_STREAM_TIMEOUT: Duration = Duration::from_secs(600);

impl Gateway {
    /// Serves a caller's request.
    pub(super) async fn serve(self: Arc<Self>, http_request: Request<Incoming>) -> Response<Body> {
        let _in_flight = self.in_flight_guard();
        let received_at = self.clock.now();
        let id = self
            .header_text(http_request.headers(), &self.header_names.request_id)
            .unwrap_or_default();
        let (head, mut body) = http_request.into_parts();
        let routed = match self.route_request(id.clone(), head, &mut body).await {
            Ok(request) => self.bind_to_stream(request).await,
            Err(refusal) => {
                self.discard_rest(body);
                Err(refusal)
            }
        };
        let outcome = match routed {
            Ok(request) => {
                let request = Arc::new(request);
                self.retry_budget().record_request(&request.service, received_at);
                let disconnect_guard =
                    DisconnectGuard { gateway: &self, request: &request, armed: true };
                let outcome = match self.acquire_quota(&request).await {
                    Ok(spent) => {
                        let outcome = self.dispatch(Arc::clone(&request)).await;
                        if matches!(outcome, Outcome::Refused(_)) {
                            self.give_back_quota(&request, spent);
                        }
                        outcome
                    }
                    Err(refusal) => Outcome::Refused(refusal),
                };
                disconnect_guard.disarm();
                if let Outcome::Responded(TargetResponse {
                    status,
                    body: ResponseBody::Complete(_),
                    software_version,
                    ..
                }) = &outcome
                    && status.is_success()
                {
                    self.record_stream_start(&request, software_version.as_ref());
                }
                self.record_end(&request, &outcome);
                outcome
            }
            Err(refusal) => {
                self.record_early_refusal(&id, &refusal);
                Outcome::Refused(refusal)
            }
        };
        let mut response = match outcome {
            Outcome::Responded(response) => caller_response(response),
            Outcome::Refused(refusal) => self.refusal_response(&id, &refusal),
            Outcome::Unknown(cause) => self.unknown_response(&id, &cause),
        };
        if self.is_stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Finds the route of a request and reads its body.
    async fn route_request(
        &self,
        id: String,
        head: Parts,
        body: &mut Incoming,
    ) -> Result<RoutedRequest, Refusal> {
        let received_at = self.clock.now();
        let request_account = RequestAccount::of(&head.extensions);
        let table = self.route_table().ok_or_else(|| {
            Refusal::new(Reason::RoutesUnknown, "no routes are known yet", SHORT_RETRY_AFTER)
        })?;
        let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        let host = host_without_port(&head.headers).unwrap_or_default();
        let route = table.find(&host, &path_and_query).cloned().ok_or_else(|| {
            Refusal::new(
                Reason::NoRoute,
                format!("no route for {host}{path_and_query}"),
                Duration::ZERO,
            )
        })?;
        let organisation = self.authenticate(&table, &route, &head.headers)?;
        let headers = head.headers;
        if id.is_empty() {
            let detail = format!("the header `{}` is missing", self.header_names.request_id);
            return Err(Refusal::new(Reason::MissingRequestId, detail, Duration::ZERO));
        }
        let requested_timeout = self.header_text(&headers, &self.header_names.timeout_ms);
        let requested_timeout =
            requested_timeout.and_then(|text| text.trim().parse().ok()).map(Duration::from_millis);
        let caller_timeout = requested_timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = route.timeout.min(caller_timeout);
        let is_refused = self.stop_refusal(&route, timeout, false).is_some();
        let read_timeout = if is_refused { timeout.min(REFUSED_BODY_TIMEOUT) } else { timeout };
        let body = within(
            read_timeout,
            http::collect_counted(body, table.limits.body_bytes, &request_account),
        );
        let body = self.until_grace_ends(false, body).await.flatten();
        let time_left = (received_at + timeout).saturating_duration_since(self.clock.now());
        if let Some(refusal) = self.stop_refusal(&route, time_left, false) {
            return Err(refusal);
        }
        let (body, body_share) = body.unwrap_or(Err(CollectError::Incomplete)).map_err(
            |incomplete| match incomplete {
                CollectError::TooLarge => {
                    let max_bytes = table.limits.body_bytes;
                    let detail = format!("the body is larger than {max_bytes} bytes");
                    Refusal::new(Reason::BodyTooLarge, detail, Duration::ZERO)
                }
                CollectError::NoMemory => Refusal::new(
                    Reason::NoMemory,
                    "this VM has no memory for the body",
                    SHORT_RETRY_AFTER,
                ),
                CollectError::Incomplete => Refusal::new(
                    Reason::BodyIncomplete,
                    "the body did not come whole",
                    SHORT_RETRY_AFTER,
                ),
            },
        )?;
        let split_draw: u64 = self.random().random();
        let service = route.split.pick(split_draw).cloned().ok_or_else(|| {
            Refusal::new(
                Reason::NoTarget,
                "the route has no service with a weight",
                SHORT_RETRY_AFTER,
            )
        })?;
        let stream_key = (route.delivery_mode == DeliveryMode::Resumable)
            .then(|| self.stream_key(&host, &path_and_query, &headers));
        let (prompt, last_event_id) =
            (self.parse_prompt(&headers), self.parse_last_event_id(&headers));
        let declared_tokens = self
            .header_text(&headers, &self.header_names.token_counts)
            .and_then(|text| Prompt::parse_token_sum(&text));
        let mut headers = self.header_names.filter_request_headers(headers);
        // After the filter, which removes the headers that the caller's `Connection` lists.
        if table.organisations.is_some() {
            self.header_names.set_organisation(&mut headers, organisation.as_deref());
        }
        let flight = Flight::begin(&self.in_flight_ages, &route, self.clock.now());
        Ok(RoutedRequest {
            id,
            method: head.method,
            path_and_query,
            prompt,
            declared_tokens,
            last_event_id,
            headers,
            body,
            route,
            routes_version: table.version,
            organisation,
            service,
            deadline: received_at + timeout,
            received_at,
            stream_key,
            stream_deadline: received_at
                + caller_timeout.clamp(timeout, MAX_STREAM_TIMEOUT.max(timeout)),
            version_binding: VersionBinding::Any,
            handed_over: false,
            gives_back_to: None,
            _body_share: Some(body_share),
            _flight: flight,
        })
    }

    /// Reads what still comes of the body of a refused request, so that its caller gets the refusal.
    fn discard_rest(self: &Arc<Self>, body: Incoming) {
        if body.is_end_stream() {
            return;
        }
        let gateway = Arc::clone(self);
        smol::spawn(async move {
            let discarded = within(DISCARD_TIMEOUT, http::discard(body));
            gateway.until_grace_ends(false, discarded).await;
        })
        .detach();
    }

    pub(super) fn parse_prompt(&self, headers: &HeaderMap) -> Prompt {
        let parts = self.header_text(headers, &self.header_names.prompt_parts);
        let token_counts = self.header_text(headers, &self.header_names.token_counts);
        Prompt::parse(parts.as_deref(), token_counts.as_deref())
    }

    pub(super) fn parse_last_event_id(&self, headers: &HeaderMap) -> Option<u64> {
        self.header_text(headers, &self.header_names.last_event_id)?.trim().parse().ok()
    }

    fn header_text(&self, headers: &HeaderMap, name: &hyper::header::HeaderName) -> Option<String> {
        Some(headers.get(name)?.to_str().ok()?.to_owned())
    }

    fn refusal_response(&self, id: &str, refusal: &Refusal) -> Response<Body> {
        let reason = refusal.reason.as_str();
        let mut response = self.error_response(id, reason, &refusal.detail);
        *response.status_mut() = refusal.reason.status();
        if refusal.reason == Reason::NoMemory {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if !refusal.retry_after.is_zero() {
            let seconds = format!("{:.2}", refusal.retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    fn unknown_response(&self, id: &str, cause: &str) -> Response<Body> {
        let mut response = self.error_response(id, "unknown", cause);
        *response.status_mut() = hyper::StatusCode::BAD_GATEWAY;
        response
    }

    fn error_response(&self, id: &str, error: &str, detail: &str) -> Response<Body> {
        let body = serde_json::json!({ "error": error, "detail": detail });
        let mut response = Response::new(http::full(body.to_string()));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(value) = HeaderValue::from_str(id) {
            headers.insert(self.header_names.request_id.clone(), value);
        }
        response
    }
}

/// Records the end of the request if the caller disconnects before it gets a response.
///
/// The server then drops the future of the request, and this guard with it.
struct DisconnectGuard<'a> {
    gateway: &'a Gateway,
    request: &'a RoutedRequest,
    armed: bool,
}

impl DisconnectGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let outcome = Outcome::Unknown("caller left before an answer".to_owned());
            self.gateway.record_end(self.request, &outcome);
        }
    }
}

/// The response to the caller that forwards a target's response.
fn caller_response(target_response: TargetResponse) -> Response<Body> {
    let body = match target_response.body {
        ResponseBody::Complete(bytes) => http::full(bytes),
        ResponseBody::Streaming(streaming_body) => streaming_body.into_body(),
    };
    let mut response = Response::new(body);
    *response.status_mut() = target_response.status;
    *response.headers_mut() = target_response.headers;
    response
}
