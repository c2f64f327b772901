use std::time::Duration;

use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Bytes, Incoming},
    header::HOST,
};
use smol::{Task, channel::Sender};

use super::{Admitted, BodyPart, Request, TargetResponse, header, source::Source};
use crate::{
    clock::within,
    http::{self, RequestError},
    outcome::{Outcome, Reason, Refusal, UnknownOutcome},
    target::Announcement,
    wire::{Header, ResponseHead},
};

const HOP_BY_HOP: [&str; 7] =
    ["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer", header::RESUME];

/// Limits on an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchLimits {
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How long the first byte of the answer may take.
    pub first_byte_timeout: Duration,
    /// How long the answer may pause.
    pub idle_timeout: Duration,
    /// How often a stream may be resumed.
    pub max_resumptions: u32,
    /// The bytes of an answer that is no stream which are read before the caller sees any of it,
    /// so that an answer cut short can still be had from another target.
    pub buffer_bytes: usize,
    /// The pieces of an answer that may wait for a slow caller.
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
            max_queued_parts: 32,
        }
    }
}

/// Sends an admitted request to `target` within `left`, and gives its answer once the first piece
/// of a stream, or the whole of a small answer, has come.
///
/// Only a request of which no byte was written is given as refused.
pub async fn dispatch(
    request: &Request<Admitted>,
    target: &Announcement,
    limits: DispatchLimits,
    left: Duration,
) -> Outcome<TargetResponse> {
    let message = match message(request, target, left) {
        Ok(message) => message,
        Err(cause) => return Outcome::Refused(malformed(&cause.to_string())),
    };
    let first_byte = limits.first_byte_timeout.min(left);
    match http::send_request(target.address, message, limits.connect_timeout, first_byte).await {
        Ok((response, driver)) => {
            let answer = settle(request, target, response, driver, limits);
            within(left, answer).await.unwrap_or_else(|| Outcome::Unknown(late(target)))
        }
        Err(RequestError::NotSent(cause)) => Outcome::Refused(unreachable_target(target, &cause)),
        Err(RequestError::OutcomeUnknown(cause)) => Outcome::Unknown(doubt(target, &cause)),
    }
}

fn message(
    request: &Request<Admitted>,
    target: &Announcement,
    left: Duration,
) -> Result<hyper::Request<http::Body>, hyper::http::Error> {
    let resolved = &request.stage.resolved;
    let mut message = hyper::Request::builder()
        .method(request.method.clone())
        .uri(&resolved.target_path)
        .header(HOST, target.address.to_string())
        .header(header::REQUEST, request.id.as_str())
        .header(header::CLASS, request.class.as_str())
        .header(header::TIMEOUT_MS, left.as_millis().to_string());
    let told = |pair: &&Header| pair.name != header::CLASS;
    for Header { name, value } in resolved.target_headers.iter().filter(told) {
        message = message.header(name, value.as_slice());
    }
    message.body(http::full(resolved.body.clone()))
}

async fn settle(
    request: &Request<Admitted>,
    target: &Announcement,
    response: Response<Incoming>,
    driver: Task<()>,
    limits: DispatchLimits,
) -> Outcome<TargetResponse> {
    let status = response.status();
    if request.stage.resolved.idempotent && is_overload(status) {
        return Outcome::Unknown(doubt(target, &format!("it answered {status}")));
    }
    let head =
        ResponseHead { status: u32::from(status.as_u16()), headers: pairs(response.headers()) };
    let mut source = Source::new(target.address, response, driver, limits);
    let mut pieces = Vec::new();
    let mut size = 0;
    let whole = loop {
        match source.next().await {
            BodyPart::Chunk(bytes) => {
                size += bytes.len();
                pieces.push(bytes);
                if source.is_stream() || size > limits.buffer_bytes {
                    break false;
                }
            }
            BodyPart::End => break true,
            BodyPart::Abort(cause) => return Outcome::Unknown(doubt(target, &cause)),
        }
    };
    let (sender, body) = smol::channel::bounded(limits.max_queued_parts);
    smol::spawn(forward(pieces, whole, source, sender)).detach();
    let mut way: Vec<String> = request.hops.iter().map(ToString::to_string).collect();
    way.push(target.target.to_string());
    Outcome::Answered(TargetResponse::new(head, way, body))
}

/// Passes the body on; ends early when nobody takes it any more.
async fn forward(pieces: Vec<Bytes>, whole: bool, mut source: Source, parts: Sender<BodyPart>) {
    for bytes in pieces {
        if parts.send(BodyPart::Chunk(bytes)).await.is_err() {
            return;
        }
    }
    if whole {
        let _ = parts.send(BodyPart::End).await;
        return;
    }
    loop {
        let part = source.next().await;
        let last = !matches!(part, BodyPart::Chunk(_));
        if parts.send(part).await.is_err() || last {
            return;
        }
    }
}

fn is_overload(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

fn pairs(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn doubt(target: &Announcement, cause: &str) -> UnknownOutcome {
    format!("target `{}`: {cause}", target.target).into()
}

fn late(target: &Announcement) -> UnknownOutcome {
    doubt(target, "no answer before the deadline")
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
