use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};

use super::{
    balancer::Pick,
    connection_pool::{AcquireError, ConnectionLease, KeepAlive},
    routed_request::RoutedRequest,
    server::Gateway,
    target_priority::TargetPriority,
    target_tracker::{LoadReport, SentRequest},
};
use crate::{
    clock::within,
    http::{self, Delimiter, RequestError},
    registry::Target,
};

/// The result of one attempt at a target; the texts say what went wrong.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The target responded and its body can be read.
    Responded(Box<OpenResponse>),
    /// The target reported that it did not run the request.
    Rejected(String),
    /// The request was not sent.
    NotSent(String),
    /// The target may have run the request.
    Unknown(String),
}

/// A response whose head has been received and whose body has not been read.
#[derive(Debug)]
pub(super) struct OpenResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) delimiter: Delimiter,
    /// Whether the body is a series of events. A target of a streaming route may also answer with
    /// an error or a body of another type.
    pub(super) is_event_stream: bool,
    pub(super) lease: ConnectionLease,
    pub(super) keep_alive: KeepAlive,
    pub(super) attempt: ActiveAttempt,
}

/// A request that is in flight at a target, and counts as load there until this is dropped.
pub(super) struct ActiveAttempt {
    gateway: Arc<Gateway>,
    pub(super) target: Target,
    request: Arc<RoutedRequest>,
    /// Whether the target was asked for the events that are missing of an earlier stream.
    pub(super) resumes_stream: bool,
    sent: SentRequest,
    prompt_unread: bool,
    last_chunk_at: Option<Instant>,
}

impl std::fmt::Debug for ActiveAttempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Debug output keeps the former name of the type.
        f.debug_struct("Trip").field("target", &self.target.target).finish_non_exhaustive()
    }
}

impl ActiveAttempt {
    fn new(
        gateway: &Arc<Gateway>,
        pick: &Pick,
        request: &Arc<RoutedRequest>,
        resumes_stream: bool,
    ) -> Self {
        let now = gateway.clock.now();
        let target = pick.target.clone();
        let sent = gateway.balancer().record_sent(pick, &request.prompt, now);
        let (gateway, request) = (Arc::clone(gateway), Arc::clone(request));
        Self {
            gateway,
            target,
            request,
            resumes_stream,
            sent,
            prompt_unread: true,
            last_chunk_at: None,
        }
    }

    /// Records that a chunk of the body was received.
    pub(super) fn record_chunk(&mut self) {
        let now = self.gateway.clock.now();
        self.gateway.balancer().record_activity(&self.target, now);
        if let Some(previous) = self.last_chunk_at.replace(now) {
            let gap_secs = now.saturating_duration_since(previous).as_secs_f64();
            self.gateway.balancer().record_stream_gap(&self.target, gap_secs, now);
        }
        if self.prompt_unread {
            self.gateway.balancer().record_first_event(&self.target, self.sent, now);
            self.record_prompt_read();
        }
    }

    /// Records that the connection failed before the response was complete.
    pub(super) fn record_broken_exchange(&self) {
        let (now, digest) = (self.gateway.clock.now(), self.request.digest());
        self.gateway.crash_suspects().record_broken_exchange(
            &self.target.target,
            self.target.incarnation,
            digest,
            &self.request.shared_parts(),
            now,
        );
        self.gateway.check_for_crash(&self.target);
    }

    /// Records that the response is complete.
    pub(super) fn record_success(&self) {
        self.gateway.crash_suspects().record_success(
            &self.target.target,
            || self.request.digest(),
            &self.request.shared_parts(),
            self.gateway.clock.now(),
        );
    }

    /// Records once that the target has read the prompt or never will.
    fn record_prompt_read(&mut self) {
        if std::mem::take(&mut self.prompt_unread) {
            let now = self.gateway.clock.now();
            self.gateway.balancer().record_prompt_read(&self.target, self.sent, now);
        }
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        self.record_prompt_read();
        let now = self.gateway.clock.now();
        self.gateway.balancer().record_completed(&self.target, self.sent, now);
    }
}

impl Gateway {
    /// Sends the request to a target and waits at most `timeout` for the head of the response.
    pub(super) async fn send_to_target(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        pick: &Pick,
        last_event_id: Option<u64>,
        timeout: Duration,
    ) -> AttemptOutcome {
        let target = &pick.target;
        let attempt = ActiveAttempt::new(self, pick, request, last_event_id.is_some());
        let mut new_connection = false;
        loop {
            let now = self.clock.now();
            let max_connections = self.max_connections(request);
            let taken = self
                .connection_pool
                .acquire(target.address, target.incarnation, new_connection, max_connections, now)
                .await;
            let mut lease = match taken {
                Ok(lease) => lease,
                Err(AcquireError::Full) => {
                    return AttemptOutcome::NotSent(format!(
                        "all of its {max_connections} connections are in use"
                    ));
                }
                Err(AcquireError::Refused(cause)) => {
                    self.balancer().record_refused_connection(target, self.clock.now());
                    return AttemptOutcome::NotSent(cause.to_string());
                }
                Err(AcquireError::Connect(cause)) => {
                    self.balancer().record_failure(target, self.clock.now());
                    return AttemptOutcome::NotSent(cause.to_string());
                }
            };
            // The target may have asked for a pause, or have become cold, while the connection was opened.
            if let Some(cause) = self.withheld_since_pick(request, target) {
                return AttemptOutcome::NotSent(cause.to_owned());
            }
            let http_request = match self.build_http_request(request, pick, last_event_id, timeout)
            {
                Ok(http_request) => http_request,
                Err(cause) => return AttemptOutcome::NotSent(cause.to_string()),
            };
            lease.connection.head.start(request.body.len());
            let result =
                within(timeout, lease.connection.sender.try_send_request(http_request)).await;
            match result {
                Some(Ok(response)) => {
                    lease.connection.head.complete();
                    return self.check_response(request, response, lease, attempt).await;
                }
                Some(Err(mut failure)) => {
                    // A request that hyper hands back was not sent.
                    if failure.take_message().is_some() {
                        if lease.reused && !new_connection {
                            new_connection = true;
                            continue;
                        }
                        self.balancer().record_failure(target, self.clock.now());
                        let cause = "the connection ended before it was used";
                        return AttemptOutcome::NotSent(cause.to_owned());
                    }
                    let head_error = lease.connection.head.error();
                    // The end of a reused connection says little about the target's health.
                    if !lease.reused || head_error.is_some() {
                        self.balancer().record_failure(target, self.clock.now());
                    }
                    attempt.record_broken_exchange();
                    let cause = head_error
                        .map_or_else(|| failure.error().to_string(), |error| error.to_string());
                    return AttemptOutcome::Unknown(
                        RequestError::OutcomeUnknown(cause).to_string(),
                    );
                }
                None => return AttemptOutcome::Unknown("no answer in time".to_owned()),
            }
        }
    }

    /// Why a target that was chosen before must not get the request now.
    fn withheld_since_pick(
        &self,
        request: &RoutedRequest,
        target: &Target,
    ) -> Option<&'static str> {
        let now = self.clock.now();
        if self.balancer().is_paused(target, now) {
            return Some("it has asked for a pause since it was chosen");
        }
        let mirror = self.mirror();
        let known = mirror.targets(&request.service).iter().find(|it| it.target == target.target);
        let has_become_cold =
            known.is_some_and(|known| known.cold_until > now && target.cold_until <= now);
        has_become_cold.then_some("it has become cold since it was chosen")
    }

    /// This VM's share of the connections that a target accepts from all VMs together.
    fn max_connections(&self, request: &RoutedRequest) -> usize {
        let total = self
            .route_table()
            .and_then(|table| Some(table.service(&request.service)?.max_connections));
        let total = total.filter(|total| *total > 0).unwrap_or(u32::MAX);
        let vm_count = self.region_peers().vm_count();
        usize::try_from(total / vm_count).unwrap_or(usize::MAX).max(1)
    }

    /// Builds the HTTP request to send to the target.
    fn build_http_request(
        &self,
        request: &RoutedRequest,
        pick: &Pick,
        last_event_id: Option<u64>,
        timeout: Duration,
    ) -> Result<Request<http::Body>, hyper::http::Error> {
        let body =
            if request.body.is_empty() { http::empty() } else { http::full(request.body.clone()) };
        let mut http_request = Request::builder()
            .method(request.method.clone())
            .uri(request.path_and_query.as_str())
            .body(body)?;
        let header_names = &self.header_names;
        let headers = http_request.headers_mut();
        headers.clone_from(&request.headers);
        let mut set = |name: &HeaderName, value: String| {
            if let Ok(value) = HeaderValue::try_from(value) {
                headers.insert(name.clone(), value);
            }
        };
        set(&header_names.timeout_ms, timeout.as_millis().to_string());
        set(&header_names.expected_target, pick.target.target.to_string());
        if let Some(cache_source) = &pick.cache_source {
            set(&header_names.prompt_cache_source, cache_source.address.to_string());
        }
        if let Some(last_event_id) = last_event_id {
            set(&header_names.last_event_id, last_event_id.to_string());
        }
        let has_organisations =
            self.route_table().is_some_and(|table| table.organisations.is_some());
        if has_organisations {
            let priority = TargetPriority::new(request.priority(), request.route.priority);
            headers.insert(header_names.priority.clone(), priority.into());
        }
        Ok(http_request)
    }

    /// Checks that the response belongs to this request and that the target ran it.
    async fn check_response(
        &self,
        request: &RoutedRequest,
        response: Response<Incoming>,
        lease: ConnectionLease,
        attempt: ActiveAttempt,
    ) -> AttemptOutcome {
        let now = self.clock.now();
        let (head, mut body) = response.into_parts();
        let text = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
        let target = &attempt.target;
        if text(&self.header_names.request_id) != Some(request.id.as_str()) {
            return AttemptOutcome::Unknown("the target answered another request".to_owned());
        }
        if !http::is_final_status(head.status.as_u16().into()) {
            self.balancer().record_failure(target, now);
            return AttemptOutcome::Unknown(http::undefined_status(head.status.as_u16().into()));
        }
        if let Some(report) = text(&self.header_names.load).and_then(LoadReport::parse) {
            self.balancer().record_load_report(target, report, now);
        }
        let keep_alive = KeepAlive::from_headers(&head.headers);
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if !misdirected {
            let limit = head.headers.get(&self.header_names.limit);
            self.record_limit(target, limit, head.status, attempt.sent.sent_at);
            let pause = head.headers.get(&self.header_names.pause);
            if let Some(pause) = pause.filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE) {
                self.record_pause(target, pause);
            }
        }
        if misdirected || head.headers.contains_key(&self.header_names.not_executed) {
            let detail = format!("it answered {} and did not run the request", head.status);
            if misdirected {
                self.balancer().record_failure(target, now);
            }
            // The connection can be reused only after the body has been read.
            if http::collect(&mut body, MAX_REJECTION_BODY_BYTES).await.is_ok() {
                lease.release(&keep_alive, now);
            }
            return AttemptOutcome::Rejected(detail);
        }
        if head.status.is_success() && text(&self.header_names.signature).is_none() {
            return AttemptOutcome::Unknown("the answer bears no proof of the target".to_owned());
        }
        if head.headers.contains_key("content-encoding") {
            return AttemptOutcome::Unknown(
                "the answer's body is encoded, which nobody asked for".to_owned(),
            );
        }
        self.balancer().record_response(target, head.status.is_server_error(), now);
        self.balancer().record_activity(target, now);
        let delimiter = Delimiter::of(&head.headers, &body);
        let content_type = head.headers.get(CONTENT_TYPE);
        let is_event_stream = request.route.delivery_mode.is_stream()
            && head.status.is_success()
            && content_type.is_none_or(|it| http::is_event_stream(it.as_bytes()));
        AttemptOutcome::Responded(Box::new(OpenResponse {
            status: head.status,
            headers: self.header_names.filter_response_headers(head.headers),
            body,
            delimiter,
            is_event_stream,
            lease,
            keep_alive,
            attempt,
        }))
    }
}

/// The longest body of a rejection that is read in order to reuse the connection.
const MAX_REJECTION_BODY_BYTES: usize = 64 * 1024;
