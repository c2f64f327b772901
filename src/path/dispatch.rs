use std::time::Duration;

use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Bytes, Incoming},
    header::HOST,
};
use smol::{Task, channel::Sender};

use super::{Admitted, Answer, Part, Request, header, source::Source};
use crate::{
    clock::within,
    http::{self, RequestError},
    outcome::{Doubt, Outcome, Reason, Refusal},
    target::Announcement,
    wire::{Header, ResponseHead},
};

const HOP_BY_HOP: [&str; 7] =
    ["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer", header::RESUME];

/// Limits on an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// How long opening a connection may take.
    pub connect: Duration,
    /// How long the first byte of the answer may take.
    pub first_byte: Duration,
    /// How long the answer may pause.
    pub idle: Duration,
    /// How often a stream may be resumed.
    pub resumptions: u32,
    /// The bytes of an answer that is no stream which are read before the caller sees any of it,
    /// so that an answer cut short can still be had from another target.
    pub buffer: usize,
    /// The pieces of an answer that may wait for a slow caller.
    pub window: usize,
}

impl Default for Dispatch {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            first_byte: Duration::from_secs(60),
            idle: Duration::from_secs(10),
            resumptions: 3,
            buffer: 1024 * 1024,
            window: 32,
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
    limits: Dispatch,
    left: Duration,
) -> Outcome<Answer> {
    let message = match message(request, target, left) {
        Ok(message) => message,
        Err(cause) => return Outcome::Refused(malformed(&cause.to_string())),
    };
    let first_byte = limits.first_byte.min(left);
    match http::send_request(target.address, message, limits.connect, first_byte).await {
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
    for Header { name, value } in resolved.headers.iter().filter(told) {
        message = message.header(name, value.as_slice());
    }
    message.body(http::full(resolved.body.clone()))
}

async fn settle(
    request: &Request<Admitted>,
    target: &Announcement,
    response: Response<Incoming>,
    driver: Task<()>,
    limits: Dispatch,
) -> Outcome<Answer> {
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
            Part::Chunk(bytes) => {
                size += bytes.len();
                pieces.push(bytes);
                if source.is_stream() || size > limits.buffer {
                    break false;
                }
            }
            Part::End => break true,
            Part::Abort(cause) => return Outcome::Unknown(doubt(target, &cause)),
        }
    };
    let (sender, body) = smol::channel::bounded(limits.window);
    smol::spawn(forward(pieces, whole, source, sender)).detach();
    let mut way: Vec<String> = request.way.iter().map(ToString::to_string).collect();
    way.push(target.target.to_string());
    Outcome::Answered(Answer::new(head, way, body))
}

/// Passes the body on; ends early when nobody takes it any more.
async fn forward(pieces: Vec<Bytes>, whole: bool, mut source: Source, parts: Sender<Part>) {
    for bytes in pieces {
        if parts.send(Part::Chunk(bytes)).await.is_err() {
            return;
        }
    }
    if whole {
        let _ = parts.send(Part::End).await;
        return;
    }
    loop {
        let part = source.next().await;
        let last = !matches!(part, Part::Chunk(_));
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

fn doubt(target: &Announcement, cause: &str) -> Doubt {
    format!("target `{}`: {cause}", target.target).into()
}

fn late(target: &Announcement) -> Doubt {
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
