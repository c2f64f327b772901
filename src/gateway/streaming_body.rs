use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};
use smol::future::or;

use super::{
    Attempts, EventSplitter, VersionBinding,
    attempt::{ActiveAttempt, OpenResponse},
    connection_pool::{ConnectionLease, KeepAlive},
    record::{StreamEnd, software_text},
    routed_request::RoutedRequest,
    server::Gateway,
};
use crate::{
    clock::within,
    event,
    http::{self, Body, BufferShare, Delimiter, EventProgress, IncompleteBody, StallDetector},
    id,
    link::Exchange,
    route::Route,
    wire,
};

/// The shortest time without a complete event after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A stream counts as stalled after this many times the route's latency objective.
const STALL_LATENCY_OBJECTIVES: u32 = 4;
/// A stream counts as stalled after this many times the route's objective for a pause.
const STALL_GAP_OBJECTIVES: u32 = 8;

/// How often a break is followed by a try to resume the stream, where others refuse to.
const MAX_RESUMPTIONS: u32 = 3;

/// Where the body of a response comes from.
#[derive(Debug)]
pub(super) enum BodySource {
    /// A target in this region.
    Target(Box<TargetBody>),
    /// A VM in another region.
    Link {
        exchange: Exchange,
        /// The software version of the target there, if that VM knows it.
        software_version: Option<id::SoftwareVersion>,
    },
}

/// The body of a response on a connection to a target.
#[derive(Debug)]
pub(super) struct TargetBody {
    body: Incoming,
    /// Whether the status is one of success. An error may precede the run that crashes a target.
    is_success: bool,
    delimiter: Delimiter,
    /// Set if the body is an event stream.
    events: Option<EventProgress>,
    /// Whether any event of the stream came.
    has_events: bool,
    /// The connection, until the body ends.
    lease: Option<ConnectionLease>,
    keep_alive: KeepAlive,
    attempt: ActiveAttempt,
}

/// The beginning of a body, with its share of the memory for such.
#[derive(Debug)]
pub(super) struct HeldChunk {
    pub(super) bytes: Bytes,
    pub(super) share: BufferShare,
}

/// What a [`BodySource`] yields next.
#[derive(Debug)]
pub(super) enum BodyChunk {
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body ended early; the text says why.
    Broken(String),
}

/// A response body that is forwarded while it is received.
///
/// On a resumable route, a stream that breaks is continued by another target after the last event
/// that was received whole.
pub(super) struct StreamingBody {
    gateway: Arc<Gateway>,
    request: Arc<RoutedRequest>,
    source: Option<BodySource>,
    /// Set if the stream can be resumed.
    event_splitter: Option<EventSplitter>,
    /// Set if the response is a stream.
    stall_detector: Option<StallDetector>,
    /// The chunk that was received before the head was sent to the caller.
    first_chunk: Option<Bytes>,
    /// Given back when the caller has taken the first chunk.
    share: Option<BufferShare>,
    tried_targets: Vec<id::Target>,
    attempts: Attempts,
    deadline: Instant,
    /// Whether the body has ended, complete or not.
    ended: bool,
    /// What marks the end of the body at its source; none if that is a VM.
    delimiter: Option<Delimiter>,
    origin: ResponseOrigin,
    chunks_sent: u32,
    /// Why the body ended early.
    break_cause: Option<String>,
}

/// The origin of a streamed response, for the log entry at its end.
#[derive(Clone, Debug)]
pub(super) struct ResponseOrigin {
    /// The target, or the VM that the request was handed to.
    pub(super) source: String,
    pub(super) status: u16,
    pub(super) head_received_at: Instant,
    /// The software version of the target that responds, if it is known.
    pub(super) software_version: Option<id::SoftwareVersion>,
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        if self.request.handed_over {
            return;
        }
        let end = StreamEnd {
            source: &self.origin.source,
            status: self.origin.status,
            head_received_at: self.origin.head_received_at,
            chunks_sent: self.chunks_sent,
            target_count: self.attempts.target_count(),
            ended: self.ended,
            delimiter: self.delimiter,
            is_inside_event: self
                .stall_detector
                .as_ref()
                .is_some_and(StallDetector::is_inside_event),
            break_cause: self.break_cause.as_deref(),
        };
        self.gateway.record_stream_end(&self.request, &end);
    }
}

impl std::fmt::Debug for StreamingBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Debug output keeps the former name of the type.
        f.debug_struct("Flow").field("call", &self.request.id).finish_non_exhaustive()
    }
}

impl BodySource {
    fn delimiter(&self) -> Option<Delimiter> {
        match self {
            Self::Target(target_body) => Some(target_body.delimiter),
            Self::Link { .. } => None,
        }
    }

    /// The software version of the target that responds, if it is known.
    pub(super) fn software_version(&self) -> Option<&id::SoftwareVersion> {
        match self {
            Self::Target(target_body) => target_body.attempt.target.software_version.as_ref(),
            Self::Link { software_version, .. } => software_version.as_ref(),
        }
    }

    /// Waits for the next chunk.
    pub(super) async fn next(&mut self, gateway: &Gateway) -> BodyChunk {
        match self {
            Self::Target(target_body) => target_body.next(gateway).await,
            Self::Link { exchange, .. } => match exchange.receive().await {
                Ok(wire::Body::Chunk(chunk)) => BodyChunk::Data(chunk.bytes),
                Ok(wire::Body::End(_)) => BodyChunk::End,
                Ok(wire::Body::Abort(abort)) => {
                    BodyChunk::Broken(format!("the VM that serves it: {}", abort.detail))
                }
                Ok(_) => BodyChunk::Broken("the other VM sent an unexpected frame".to_owned()),
                Err(cause) => {
                    BodyChunk::Broken(format!("the link to the VM that serves it: {cause}"))
                }
            },
        }
    }
}

impl BodySource {
    /// Records that the stream stalled. Another VM records it for its own targets.
    fn record_stall(self, gateway: &Gateway) {
        if let Self::Target(target_body) = self {
            gateway.balancer().record_failure(&target_body.attempt.target, gateway.clock.now());
        }
    }
}

impl From<OpenResponse> for TargetBody {
    fn from(response: OpenResponse) -> Self {
        let events = response.is_event_stream.then(EventProgress::default);
        let is_success = response.status.is_success();
        let OpenResponse { body, delimiter, lease, keep_alive, attempt, .. } = response;
        let lease = Some(lease);
        Self { body, is_success, delimiter, events, has_events: false, lease, keep_alive, attempt }
    }
}

impl TargetBody {
    async fn next(&mut self, gateway: &Gateway) -> BodyChunk {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.attempt.record_chunk();
                    if let Some(events) = &mut self.events {
                        self.has_events |= events.push(&bytes);
                    }
                    return BodyChunk::Data(bytes);
                }
                Some(Err(cause)) => return self.record_break(gateway, http::read_failure(&cause)),
                None => {
                    if let Some(cause) = self.early_end() {
                        return self.record_break(gateway, cause.to_owned());
                    }
                    if self.is_success {
                        self.attempt.record_success();
                    }
                    if let Some(lease) = self.lease.take() {
                        lease.release(&self.keep_alive, gateway.clock.now());
                    }
                    return BodyChunk::End;
                }
            }
        }
    }

    /// Why a body that ends now was broken off, if it was. The end of a connection tells nothing if the
    /// target had not received the whole request. Only a stream that resumes another may have no
    /// events.
    fn early_end(&self) -> Option<&'static str> {
        if self.delimiter == Delimiter::Connection && !self.is_request_written() {
            return Some("the target's connection ended before the request was written");
        }
        let may_be_empty = self.has_events
            || self.attempt.resumes_stream
            || self.delimiter != Delimiter::Connection;
        if self.events.as_ref()?.is_inside_event() {
            Some("the target's stream ended inside an event")
        } else if may_be_empty {
            None
        } else {
            Some("the target's connection ended before the first event")
        }
    }

    fn is_request_written(&self) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.connection.head.is_request_written())
    }

    fn record_break(&mut self, gateway: &Gateway, cause: String) -> BodyChunk {
        self.lease = None;
        self.attempt.record_broken_exchange();
        gateway.balancer().record_failure(&self.attempt.target, gateway.clock.now());
        BodyChunk::Broken(cause)
    }
}

impl StreamingBody {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        request: &Arc<RoutedRequest>,
        source: BodySource,
        first_chunk: HeldChunk,
        tried_targets: Vec<id::Target>,
        attempts: Attempts,
        origin: ResponseOrigin,
    ) -> Self {
        let HeldChunk { bytes: first_chunk, share } = first_chunk;
        let mut event_splitter = (request.route.delivery_mode
            == crate::route::DeliveryMode::Resumable)
            .then(EventSplitter::default);
        let mut stall_detector = stall_detector(&request.route);
        if let Some(stall_detector) = &mut stall_detector {
            stall_detector.push(&first_chunk);
        }
        let first_chunk = match &mut event_splitter {
            Some(event_splitter) => event_splitter.push(&first_chunk),
            None => first_chunk,
        };
        Self {
            gateway: Arc::clone(gateway),
            request: Arc::clone(request),
            delimiter: source.delimiter(),
            source: Some(source),
            event_splitter,
            stall_detector,
            first_chunk: (!first_chunk.is_empty()).then_some(first_chunk),
            share: Some(share),
            tried_targets,
            attempts,
            deadline: request.body_deadline(),
            ended: false,
            origin,
            chunks_sent: 0,
            break_cause: None,
        }
    }

    /// Waits for the next chunk to send; `None` after the end of a complete body.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, IncompleteBody>> {
        let chunk = self.next_chunk().await;
        if matches!(chunk, Some(Ok(_))) {
            if self.chunks_sent == 0 {
                let version = self.origin.software_version.as_ref();
                self.gateway.record_stream_start(&self.request, version);
            }
            self.chunks_sent += 1;
        }
        chunk
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, IncompleteBody>> {
        if let Some(first_chunk) = self.first_chunk.take() {
            return Some(Ok(first_chunk));
        }
        self.share = None;
        while !self.ended {
            let time_left = self.deadline.saturating_duration_since(self.gateway.clock.now());
            let stall_time_left =
                self.stall_detector.as_ref().map_or(Duration::MAX, StallDetector::time_left);
            let Some(source) = &mut self.source else { break };
            let waits_since = self.gateway.clock.now();
            let next = within(time_left.min(stall_time_left), source.next(&self.gateway));
            let next = self.gateway.until_grace_ends(self.request.handed_over, next);
            let given_back = async {
                match &self.request.gives_back_to {
                    Some(vm) => self.gateway.wait_until_given_back(vm, self.deadline).await,
                    None => std::future::pending().await,
                }
                None
            };
            let Some(chunk) = or(next, given_back).await else {
                return self.fail("this VM stops");
            };
            if let Some(stall_detector) = &mut self.stall_detector {
                let now = self.gateway.clock.now();
                stall_detector.record_wait(now.saturating_duration_since(waits_since));
                if let Some(BodyChunk::Data(bytes)) = &chunk {
                    stall_detector.push(bytes);
                }
            }
            match chunk {
                Some(BodyChunk::Data(bytes)) => {
                    let bytes = match &mut self.event_splitter {
                        Some(event_splitter) => event_splitter.push(&bytes),
                        None => bytes,
                    };
                    if !bytes.is_empty() {
                        return Some(Ok(bytes));
                    }
                }
                Some(BodyChunk::End) => {
                    self.ended = true;
                    self.source = None;
                    let remainder = self
                        .event_splitter
                        .as_mut()
                        .map(EventSplitter::take_remainder)
                        .unwrap_or_default();
                    return (!remainder.is_empty()).then_some(Ok(remainder));
                }
                Some(BodyChunk::Broken(cause)) => {
                    self.source = None;
                    if !self.resume(&cause).await {
                        return self.fail(&cause);
                    }
                }
                None if self.stall_detector.as_ref().is_some_and(StallDetector::has_stalled) => {
                    let cause = "its target sends no events";
                    if let Some(source) = self.source.take() {
                        source.record_stall(&self.gateway);
                    }
                    if !self.resume(cause).await {
                        return self.fail(cause);
                    }
                }
                None if self.gateway.clock.now() >= self.deadline => {
                    return self.fail("its time ran out");
                }
                None => {}
            }
        }
        None
    }

    /// Why the body ended early, if it did.
    pub(super) fn break_cause(&self) -> Option<&str> {
        self.break_cause.as_deref()
    }

    /// Ends the body early, so that the caller sees that it is not complete.
    fn fail(&mut self, cause: &str) -> Option<Result<Bytes, IncompleteBody>> {
        self.ended = true;
        self.source = None;
        self.break_cause = Some(cause.to_owned());
        let fields: [event::Field<'_>; 2] = [("request", &self.request.id), ("cause", &cause)];
        event::path::BROKEN_OFF.emit(&self.gateway.logger, &fields);
        Some(Err(IncompleteBody))
    }

    /// Continues a broken stream at another target; returns false if no target can.
    async fn resume(&mut self, cause: &str) -> bool {
        let Some(event_splitter) = &mut self.event_splitter else { return false };
        if event_splitter.is_inside_event() {
            return false;
        }
        event_splitter.discard_partial();
        let version_binding = match &self.request.version_binding {
            VersionBinding::Any if self.chunks_sent > 0 => {
                VersionBinding::of(self.origin.software_version.as_ref())
            }
            binding => binding.clone(),
        };
        let last_event_id = event_splitter.last_id().or(self.request.last_event_id);
        for _ in 0..MAX_RESUMPTIONS {
            if !self.attempts.may_use_new_target() {
                break;
            }
            let resumed = self
                .gateway
                .resume_stream(
                    &self.request,
                    last_event_id,
                    &version_binding,
                    &mut self.tried_targets,
                    &mut self.attempts,
                )
                .await;
            let software_version = resumed.as_ref().and_then(BodySource::software_version).cloned();
            event::path::RESUMED.emit(
                &self.gateway.logger,
                &[
                    ("request", &self.request.id),
                    ("cause", &cause),
                    ("after", &last_event_id.unwrap_or_default()),
                    ("began_at", &software_text(self.origin.software_version.as_ref())),
                    ("software", &software_text(software_version.as_ref())),
                    ("resumed", &resumed.is_some()),
                ],
            );
            if let Some(source) = resumed {
                self.delimiter = source.delimiter();
                self.source = Some(source);
                self.origin.software_version = software_version;
                self.stall_detector = stall_detector(&self.request.route);
                return true;
            }
            if self.request.time_left(self.gateway.clock.now()).is_zero() {
                break;
            }
        }
        false
    }

    /// The body of the response to the caller.
    pub(super) fn into_body(self) -> Body {
        let chunks = stream::unfold(self, |mut streaming_body| async move {
            let chunk = streaming_body.next().await?;
            Some((chunk, streaming_body))
        });
        BodyExt::boxed_unsync(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
    }
}

/// Detects that a response on a route stalls, if it is a stream. A caller is assumed to wait for
/// several times the objectives of the route.
fn stall_detector(route: &Route) -> Option<StallDetector> {
    let timeout = MIN_STALL_TIMEOUT
        .max(route.latency_objective * STALL_LATENCY_OBJECTIVES)
        .max(route.event_gap_objective * STALL_GAP_OBJECTIVES);
    route.delivery_mode.is_stream().then(|| StallDetector::new(timeout))
}
