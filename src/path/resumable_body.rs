use std::{net::SocketAddr, sync::Arc};

use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HOST, RANGE},
};
use smol::{Task, Timer};

use super::{
    BodyPart, DispatchLimits, TargetWatch,
    framing::{Framing, StreamTail},
    header,
};
use crate::{
    clock::{Clock, within},
    http::{self, StallDetector},
    throttle::Permission,
};

/// Reads the body of a target's response. A stream that breaks off is resumed at its byte offset
/// if the target offers that.
#[derive(Debug)]
pub(super) struct ResumableBody {
    target: SocketAddr,
    limits: DispatchLimits,
    framing: Framing,
    resume_path: Option<String>,
    resumptions: u32,
    received_bytes: u64,
    tail: StreamTail,
    /// Set if the response is an event stream.
    stall_detector: Option<StallDetector>,
    clock: Arc<dyn Clock>,
    watch: Arc<dyn TargetWatch>,
    ended: bool,
    body: Incoming,
    connection_task: Task<()>,
}

impl ResumableBody {
    pub(super) fn new(
        target: SocketAddr,
        response: Response<Incoming>,
        connection_task: Task<()>,
        limits: DispatchLimits,
        clock: Arc<dyn Clock>,
        watch: Arc<dyn TargetWatch>,
    ) -> Self {
        let (head, body) = response.into_parts();
        let framing = Framing::of(&head.headers, &body);
        let resume_path = head.headers.get(header::RESUME).and_then(|value| value.to_str().ok());
        Self {
            target,
            limits,
            framing,
            resume_path: resume_path.filter(|path| path.starts_with('/')).map(ToOwned::to_owned),
            resumptions: 0,
            received_bytes: 0,
            tail: StreamTail::default(),
            stall_detector: (framing == Framing::EventStream)
                .then(|| StallDetector::new(limits.idle_timeout)),
            clock,
            watch,
            ended: false,
            body,
            connection_task,
        }
    }

    pub(super) fn is_event_stream(&self) -> bool {
        self.framing == Framing::EventStream
    }

    /// Waits for the next part of the body. Gives the reason why a body broke off only if it cannot
    /// be resumed.
    pub(super) async fn next(&mut self) -> BodyPart {
        loop {
            let cause = match self.read().await {
                Ok(part) => return part,
                Err(cause) => cause,
            };
            if !self.resume().await {
                self.ended = true;
                return BodyPart::Abort(cause);
            }
        }
    }

    async fn read(&mut self) -> Result<BodyPart, String> {
        loop {
            let time_left = self
                .stall_detector
                .as_ref()
                .map_or(self.limits.idle_timeout, StallDetector::time_left);
            let waits_since = self.clock.now();
            let frame = within(time_left, self.body.frame()).await;
            if let Some(stall_detector) = &mut self.stall_detector {
                let waited = self.clock.now().saturating_duration_since(waits_since);
                stall_detector.record_wait(waited);
            }
            let Some(frame) = frame else {
                match &self.stall_detector {
                    Some(stall_detector) if stall_detector.has_stalled() => {
                        return Err("the target sends no events".to_owned());
                    }
                    Some(_) => continue,
                    None => return Err("the target fell silent in its answer".to_owned()),
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(self.record_chunk(bytes));
                    }
                }
                Some(Err(error)) => return Err(http::read_failure(&error)),
                None if self.is_complete() => {
                    self.ended = true;
                    return Ok(BodyPart::End);
                }
                None => return Err("the target's answer has no end".to_owned()),
            }
        }
    }

    fn record_chunk(&mut self, bytes: Bytes) -> BodyPart {
        self.received_bytes += bytes.len() as u64;
        self.tail.push(&bytes);
        if let Some(stall_detector) = &mut self.stall_detector {
            stall_detector.push(&bytes);
        }
        BodyPart::Chunk(bytes)
    }

    fn is_complete(&self) -> bool {
        match self.framing {
            Framing::Http => true,
            Framing::EventStream => self.tail.has_last_event(),
            Framing::ConnectionClose => false,
        }
    }

    /// Asks the target for the rest of a broken stream. Returns whether the target sends it.
    async fn resume(&mut self) -> bool {
        let Some(path) = self.resume_path.clone() else { return false };
        let is_spent = self.resumptions >= self.limits.max_resumptions;
        if is_spent || !wait_for_permission(&*self.watch, &*self.clock, self.limits).await {
            return false;
        }
        self.resumptions += 1;
        let range = format!("bytes={}-", self.received_bytes);
        let request = Request::get(&path).header(RANGE, range).header(HOST, self.host_header());
        let Ok(request) = request.body(http::empty()) else { return false };
        let limits = self.limits;
        self.watch.record_sent();
        let sent_at = self.clock.now();
        let sent =
            http::send_request(self.target, request, limits.connect_timeout, limits.idle_timeout);
        let Ok((response, connection_task)) = sent.await else { return false };
        self.watch.record_response(response.status(), response.headers(), sent_at);
        if response.status() != StatusCode::PARTIAL_CONTENT || !self.continues(response.headers()) {
            return false;
        }
        self.body = response.into_body();
        if let Some(stall_detector) = &mut self.stall_detector {
            *stall_detector = StallDetector::new(limits.idle_timeout);
        }
        self.connection_task = connection_task;
        true
    }

    /// Whether a body of this type may follow what was received.
    fn continues(&self, headers: &HeaderMap) -> bool {
        let content_type = headers.get(CONTENT_TYPE);
        let has_events = content_type.is_some_and(|it| http::is_event_stream(it.as_bytes()));
        has_events || !self.is_event_stream()
    }

    fn host_header(&self) -> String {
        self.target.to_string()
    }
}

/// Waits until the target takes another request. Returns false if that would take longer than a
/// silent target may.
async fn wait_for_permission(
    watch: &dyn TargetWatch,
    clock: &dyn Clock,
    limits: DispatchLimits,
) -> bool {
    let deadline = clock.now() + limits.idle_timeout;
    loop {
        match watch.permission() {
            Permission::Granted => return true,
            Permission::After(delay) if clock.now() + delay < deadline => {
                Timer::after(delay).await;
            }
            Permission::After(_) => return false,
        }
    }
}

impl Drop for ResumableBody {
    /// Tells the target to discard a stream that it keeps for resumption, as soon as it takes another
    /// request.
    fn drop(&mut self) {
        let Some(path) = self.resume_path.take().filter(|_| !self.ended) else { return };
        let request =
            Request::builder().method(Method::DELETE).uri(path).header(HOST, self.host_header());
        let Ok(request) = request.body(http::empty()) else { return };
        let (target, limits) = (self.target, self.limits);
        let (watch, clock) = (Arc::clone(&self.watch), Arc::clone(&self.clock));
        smol::spawn(async move {
            if !wait_for_permission(&*watch, &*clock, limits).await {
                return;
            }
            watch.record_sent();
            let _ =
                http::send_request(target, request, limits.connect_timeout, limits.connect_timeout)
                    .await;
        })
        .detach();
    }
}
