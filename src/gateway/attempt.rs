use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};

use super::{
    balancer::Pick,
    connection_pool::{AcquireError, ConnectionLease, KeepAlive},
    routed_request::Call,
    server::Gateway,
    target_tracker::{LoadReport, SentRequest},
};
use crate::{
    clock::within,
    http::{self, Failure},
    registry::Target,
};

/// What one try at one target came to.
#[derive(Debug)]
pub(super) enum Tried {
    /// The head of an answer came.
    Head(Box<Opened>),
    /// The target says that it did not run the request.
    Rejected(String),
    /// Nothing was sent.
    NotSent(String),
    /// The target may have run it.
    Unknown(String),
}

/// An answer whose head has come.
#[derive(Debug)]
pub(super) struct Opened {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) lease: ConnectionLease,
    pub(super) keep: KeepAlive,
    pub(super) trip: Trip,
}

/// A request at a target, for as long as it is there.
pub(super) struct Trip {
    gateway: Arc<Gateway>,
    pub(super) target: Target,
    call: Arc<Call>,
    sent: SentRequest,
    unread: bool,
    /// When the last piece of a stream came.
    last: Option<Instant>,
}

impl std::fmt::Debug for Trip {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Trip").field("target", &self.target.target).finish_non_exhaustive()
    }
}

impl Trip {
    fn new(gateway: &Arc<Gateway>, pick: &Pick, call: &Arc<Call>) -> Self {
        let now = gateway.clock.now();
        let target = pick.target.clone();
        let sent = gateway.balancer().record_sent(pick, &call.prompt, now);
        let (gateway, call) = (Arc::clone(gateway), Arc::clone(call));
        Self { gateway, target, call, sent, unread: true, last: None }
    }

    /// A piece of the answer came.
    pub(super) fn piece(&mut self) {
        let now = self.gateway.clock.now();
        self.gateway.balancer().record_activity(&self.target, now);
        if let Some(last) = self.last.replace(now) {
            let pause = now.saturating_duration_since(last).as_secs_f64();
            self.gateway.balancer().record_stream_gap(&self.target, pause, now);
        }
        if self.unread {
            self.gateway.balancer().record_first_event(&self.target, self.sent, now);
            self.read();
        }
    }

    /// The target broke off before the answer was whole.
    pub(super) fn broke(&self) {
        let (now, digest) = (self.gateway.clock.now(), self.call.digest());
        self.gateway.crash_suspects().record_broken_exchange(
            &self.target.target,
            self.target.incarnation,
            digest,
            now,
        );
    }

    /// The answer is whole.
    pub(super) fn finished(&self) {
        self.gateway.crash_suspects().record_success(&self.target.target, || self.call.digest());
    }

    fn read(&mut self) {
        if std::mem::take(&mut self.unread) {
            let now = self.gateway.clock.now();
            self.gateway.balancer().record_prompt_read(&self.target, self.sent, now);
        }
    }
}

impl Drop for Trip {
    fn drop(&mut self) {
        self.read();
        let now = self.gateway.clock.now();
        self.gateway.balancer().record_end(&self.target, now);
    }
}

impl Gateway {
    /// Sends the request to a target and waits at most `left` for the head of its answer.
    pub(super) async fn try_target(
        self: &Arc<Self>,
        call: &Arc<Call>,
        pick: &Pick,
        last_event: Option<u64>,
        left: Duration,
    ) -> Tried {
        let target = &pick.target;
        let trip = Trip::new(self, pick, call);
        let mut fresh = false;
        loop {
            let now = self.clock.now();
            let most = self.connections(call);
            let taken = self
                .connection_pool
                .acquire(target.address, target.incarnation, fresh, most, now)
                .await;
            let mut lease = match taken {
                Ok(lease) => lease,
                Err(AcquireError::Full) => {
                    return Tried::NotSent(format!("all of its {most} connections are in use"));
                }
                Err(AcquireError::Connect(cause)) => {
                    self.balancer().record_failure(target, self.clock.now());
                    return Tried::NotSent(cause.to_string());
                }
            };
            let request = match self.message(call, pick, last_event, left) {
                Ok(request) => request,
                Err(cause) => return Tried::NotSent(cause.to_string()),
            };
            let sent = within(left, lease.connection.sender.try_send_request(request)).await;
            match sent {
                Some(Ok(response)) => return self.judge(call, response, lease, trip).await,
                Some(Err(mut failure)) => {
                    // A request that the connection hands back was not sent.
                    if failure.take_message().is_some() {
                        if lease.reused && !fresh {
                            fresh = true;
                            continue;
                        }
                        self.balancer().record_failure(target, self.clock.now());
                        let cause = "the connection ended before it was used";
                        return Tried::NotSent(cause.to_owned());
                    }
                    // A kept connection that ends tells little of the target.
                    if !lease.reused {
                        self.balancer().record_failure(target, self.clock.now());
                    }
                    trip.broke();
                    let cause = Failure::Unknown(failure.error().to_string());
                    return Tried::Unknown(cause.to_string());
                }
                None => return Tried::Unknown("no answer in time".to_owned()),
            }
        }
    }

    /// This VM's share of the connections that a target takes from all VMs together.
    fn connections(&self, call: &Call) -> usize {
        let bound = self
            .route_table()
            .and_then(|table| Some(table.service(&call.service)?.max_connections));
        let bound = bound.filter(|bound| *bound > 0).unwrap_or(u32::MAX);
        let vms = self.region_peers(&self.mirror()).vm_count();
        usize::try_from(bound / vms).unwrap_or(usize::MAX).max(1)
    }

    fn message(
        &self,
        call: &Call,
        pick: &Pick,
        last_event: Option<u64>,
        left: Duration,
    ) -> Result<Request<http::Body>, hyper::http::Error> {
        let body = if call.body.is_empty() { http::empty() } else { http::full(call.body.clone()) };
        let mut request =
            Request::builder().method(call.method.clone()).uri(call.path.as_str()).body(body)?;
        let header_names = &self.header_names;
        let headers = request.headers_mut();
        headers.clone_from(&call.headers);
        let mut set = |name: &HeaderName, value: String| {
            if let Ok(value) = HeaderValue::try_from(value) {
                headers.insert(name.clone(), value);
            }
        };
        set(&header_names.timeout_ms, left.as_millis().to_string());
        set(&header_names.expected_target, pick.target.target.to_string());
        if let Some(keeper) = &pick.cache_source {
            set(&header_names.prompt_cache_source, keeper.address.to_string());
        }
        if let Some(event) = last_event {
            set(&header_names.last_event_id, event.to_string());
        }
        Ok(request)
    }

    /// Whether the answer is one to this request, and says that it ran.
    async fn judge(
        &self,
        call: &Call,
        response: Response<Incoming>,
        lease: ConnectionLease,
        trip: Trip,
    ) -> Tried {
        let now = self.clock.now();
        let (head, body) = response.into_parts();
        let text = |name: &HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
        let target = &trip.target;
        if text(&self.header_names.request_id) != Some(call.id.as_str()) {
            return Tried::Unknown("the target answered another request".to_owned());
        }
        if let Some(report) = text(&self.header_names.load).and_then(parse_load) {
            self.balancer().record_load_report(target, report, now);
        }
        let keep = KeepAlive::from_headers(&head.headers);
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || head.headers.contains_key(&self.header_names.not_executed) {
            let detail = format!("it answered {} and did not run the request", head.status);
            if misdirected {
                self.balancer().record_failure(target, now);
            }
            // Read to its end, so that the connection can be used again.
            if http::collect(body, MOST_REJECTION).await.is_ok() {
                lease.release(&keep, now);
            }
            return Tried::Rejected(detail);
        }
        if head.status.is_success() && text(&self.header_names.signature).is_none() {
            return Tried::Unknown("the answer bears no proof of the target".to_owned());
        }
        if head.headers.contains_key("content-encoding") {
            return Tried::Unknown(
                "the answer's body is encoded, which nobody asked for".to_owned(),
            );
        }
        self.balancer().record_response(target, head.status.is_server_error(), now);
        self.balancer().record_activity(target, now);
        let headers = self.header_names.filter_response_headers(head.headers);
        let opened = Opened { status: head.status, headers, body, lease, keep, trip };
        Tried::Head(Box::new(opened))
    }
}

/// The largest body of a rejection that is read.
const MOST_REJECTION: usize = 64 * 1024;

fn parse_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(LoadReport { running: next()?, waiting: next()?, slots: next()? })
}
