use std::{sync::Arc, time::Duration};

use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Bytes, Incoming},
    header::HOST,
};
use smol::channel::Sender;

use super::{
    Admitted, BodyPart, Request, TargetResponse, TargetWatch, header, resumable_body::ResumableBody,
};
use crate::{
    clock::{Clock, within},
    http::{self, BufferShare, RequestError},
    outcome::{Outcome, Reason, Refusal, UnknownOutcome},
    target::Announcement,
    wire::{Header, ResponseHead},
};

/// The headers of a target's response that are not passed on to the caller.
const HOP_BY_HOP_HEADERS: [&str; 7] =
    ["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer", header::RESUME];

/// The timeouts and buffer sizes for a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchLimits {
    /// The longest time to open a connection.
    pub connect_timeout: Duration,
    /// The longest wait for the first byte of the response.
    pub first_byte_timeout: Duration,
    /// The longest gap between two parts of the response, and between two complete events of an
    /// event stream.
    pub idle_timeout: Duration,
    /// How many times a broken stream may be resumed.
    pub max_resumptions: u32,
    /// How much of a response that is not an event stream is read before any of it goes to the
    /// caller. If it breaks off before that, another target can still answer the request.
    pub buffer_bytes: usize,
    /// How many parts of a response may wait for a slow caller.
    pub max_queued_parts: usize,
}

impl Default for DispatchLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            first_byte_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(10),
            max_resumptions: 3,
            buffer_bytes: 1024 * 1024,
            max_queued_parts: 4,
        }
    }
}

/// Sends an admitted request to `target`. Returns the response as soon as the first part of an
/// event stream, the whole of another response, or more than `buffer_bytes` of it has arrived.
/// `time_left` limits the wait for the first byte, and then the wait for what follows. `watch` is
/// told what the target responds. `share` is what the response may hold back of the memory for that.
///
/// Returns [`Outcome::Refused`] only if no byte of the request was written.
pub async fn dispatch(
    request: &Request<Admitted>,
    target: &Announcement,
    limits: DispatchLimits,
    time_left: Duration,
    clock: &Arc<dyn Clock>,
    watch: Arc<dyn TargetWatch>,
    share: BufferShare,
) -> Outcome<TargetResponse> {
    let target_request = match target_request(request, target, time_left) {
        Ok(target_request) => target_request,
        Err(cause) => return Outcome::Refused(malformed(&cause.to_string())),
    };
    let first_byte_timeout = limits.first_byte_timeout.min(time_left);
    let sent_at = clock.now();
    let sent = http::send_request_if(
        target.address,
        target_request,
        limits.connect_timeout,
        first_byte_timeout,
        || !watch.is_paused(),
    );
    match sent.await {
        Ok((response, _)) if !http::is_final_status(response.status().as_u16().into()) => {
            let cause = http::undefined_status(response.status().as_u16().into());
            Outcome::Unknown(unknown_outcome(target, &cause))
        }
        Ok((response, connection_task)) => {
            watch.record_response(response.status(), response.headers(), sent_at);
            let new_body = |response| {
                let clock = Arc::clone(clock);
                ResumableBody::new(target.address, response, connection_task, limits, clock, watch)
            };
            let response = receive_response(request, target, response, new_body, limits, share);
            within(time_left, response)
                .await
                .unwrap_or_else(|| Outcome::Unknown(deadline_passed(target)))
        }
        Err(RequestError::NotSent(cause)) => Outcome::Refused(unreachable_target(target, &cause)),
        Err(RequestError::OutcomeUnknown(cause)) => {
            Outcome::Unknown(unknown_outcome(target, &cause))
        }
    }
}

fn target_request(
    request: &Request<Admitted>,
    target: &Announcement,
    time_left: Duration,
) -> Result<hyper::Request<http::Body>, hyper::http::Error> {
    let resolved = &request.stage.resolved;
    let mut target_request = hyper::Request::builder()
        .method(request.method.clone())
        .uri(&resolved.target_path)
        .header(HOST, target.address.to_string())
        .header(header::REQUEST, request.id.as_str())
        .header(header::CLASS, request.class.as_str())
        .header(header::TIMEOUT_MS, time_left.as_millis().to_string());
    // The class is set above.
    let is_not_class = |pair: &&Header| pair.name != header::CLASS;
    for Header { name, value } in resolved.target_headers.iter().filter(is_not_class) {
        target_request = target_request.header(name, value.as_slice());
    }
    target_request.body(http::full(resolved.body.clone()))
}

/// Reads the response until it can go to the caller, and passes on the rest in a task of its own.
async fn receive_response(
    request: &Request<Admitted>,
    target: &Announcement,
    response: Response<Incoming>,
    new_body: impl FnOnce(Response<Incoming>) -> ResumableBody,
    limits: DispatchLimits,
    mut share: BufferShare,
) -> Outcome<TargetResponse> {
    let status = response.status();
    // An unknown outcome lets another target answer an idempotent request.
    if request.stage.resolved.idempotent && is_overload(status) {
        return Outcome::Unknown(unknown_outcome(target, &format!("it answered {status}")));
    }
    let head = ResponseHead {
        status: u32::from(status.as_u16()),
        headers: end_to_end_headers(response.headers()),
        ..ResponseHead::default()
    };
    let mut response_body = new_body(response);
    let mut chunks = Vec::new();
    let mut received_bytes = 0;
    let is_complete = loop {
        match response_body.next().await {
            BodyPart::Chunk(bytes) => {
                received_bytes += bytes.len();
                chunks.push(bytes);
                let is_full =
                    received_bytes > limits.buffer_bytes || !share.grow_to(received_bytes);
                if response_body.is_event_stream() || is_full {
                    break false;
                }
            }
            BodyPart::End => break true,
            BodyPart::Abort(cause) => return Outcome::Unknown(unknown_outcome(target, &cause)),
        }
    };
    let (sender, body) = smol::channel::bounded(limits.max_queued_parts);
    smol::spawn(forward_body(chunks, share, is_complete, response_body, sender)).detach();
    let mut hops: Vec<String> = request.hops.iter().map(ToString::to_string).collect();
    hops.push(target.target.to_string());
    Outcome::Answered(TargetResponse::new(head, hops, body))
}

/// Sends `chunks` and then the rest of the body to `parts`, until the receiver is dropped.
async fn forward_body(
    chunks: Vec<Bytes>,
    share: BufferShare,
    is_complete: bool,
    mut response_body: ResumableBody,
    parts: Sender<BodyPart>,
) {
    for bytes in chunks {
        if parts.send(BodyPart::Chunk(bytes)).await.is_err() {
            return;
        }
    }
    drop(share);
    if is_complete {
        let _ = parts.send(BodyPart::End).await;
        return;
    }
    loop {
        let part = response_body.next().await;
        let is_last = !matches!(part, BodyPart::Chunk(_));
        if parts.send(part).await.is_err() || is_last {
            return;
        }
    }
}

fn is_overload(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn unknown_outcome(target: &Announcement, cause: &str) -> UnknownOutcome {
    format!("target `{}`: {cause}", target.target).into()
}

fn deadline_passed(target: &Announcement) -> UnknownOutcome {
    unknown_outcome(target, "no answer before the deadline")
}

fn malformed(cause: &str) -> Refusal {
    Refusal::new(
        Reason::Malformed,
        format!("the request cannot be sent on: {cause}"),
        "use a valid path and valid header values",
    )
}

fn unreachable_target(target: &Announcement, cause: &str) -> Refusal {
    Refusal::new(
        Reason::NoTarget,
        format!("target `{}` cannot be reached: {cause}", target.target),
        "try again; check that the target runs where it announced itself",
    )
    .retry_after(Duration::from_secs(1))
}
