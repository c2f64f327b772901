use std::time::Duration;

use futures_util::StreamExt;
use http_body_util::BodyStream;
use hyper::{
    HeaderMap, Response,
    body::{Body as _, Bytes, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, TRANSFER_ENCODING},
};
use smol::{Task, channel::Sender};

use super::{Admitted, Answer, Part, Request, header};
use crate::{
    http::{self, Failure},
    outcome::{Outcome, Reason, Refusal},
    target::Announcement,
    wire::{Head, Pair},
};

const STREAM: &str = "text/event-stream";
const STREAM_END: &[u8] = b"data: [DONE]";
const HOP_BY_HOP: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer"];

/// Limits on an exchange with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// How long opening a connection may take.
    pub connect: Duration,
    /// How long the first byte of the answer may take.
    pub first_byte: Duration,
    /// The pieces of an answer that may wait for a slow caller.
    pub window: usize,
}

impl Default for Dispatch {
    fn default() -> Self {
        Self { connect: Duration::from_secs(1), first_byte: Duration::from_secs(60), window: 32 }
    }
}

/// Sends an admitted request to `target` and gives its answer as it comes.
pub async fn dispatch(
    request: &Request<Admitted>,
    target: &Announcement,
    limits: Dispatch,
) -> Outcome<Answer> {
    let message = match message(request, target) {
        Ok(message) => message,
        Err(cause) => return Outcome::Refused(malformed(&cause.to_string())),
    };
    match http::open(target.address, message, limits.connect, limits.first_byte).await {
        Ok((response, driver)) => {
            Outcome::Answered(answer(request, target, response, driver, limits))
        }
        Err(Failure::NotSent(cause)) => Outcome::Refused(unreachable_target(target, &cause)),
        Err(Failure::Unknown(cause)) => {
            Outcome::Unknown(format!("target `{}`: {cause}", target.target))
        }
    }
}

fn message(
    request: &Request<Admitted>,
    target: &Announcement,
) -> Result<hyper::Request<http::Body>, hyper::http::Error> {
    let resolved = &request.stage.resolved;
    let mut message = hyper::Request::builder()
        .method(request.method.clone())
        .uri(&resolved.target_path)
        .header(HOST, target.address.to_string())
        .header(header::REQUEST, request.id.as_str());
    for Pair { name, value } in &resolved.headers {
        message = message.header(name, value.as_slice());
    }
    message.body(http::full(resolved.body.clone()))
}

fn answer(
    request: &Request<Admitted>,
    target: &Announcement,
    response: Response<Incoming>,
    driver: Task<()>,
    limits: Dispatch,
) -> Answer {
    let (head, body) = response.into_parts();
    let (sender, parts) = smol::channel::bounded(limits.window);
    let framing = Framing::of(&head.headers, &body);
    smol::spawn(forward(body, framing, driver, sender)).detach();
    let mut way: Vec<String> = request.way.iter().map(ToString::to_string).collect();
    way.push(target.target.to_string());
    let head = Head { status: u32::from(head.status.as_u16()), headers: pairs(&head.headers) };
    Answer { head, body: parts, way }
}

/// How the end of a whole body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// By HTTP: a length, or the last chunk.
    Http,
    /// By the last event of a stream.
    Stream,
    /// Not at all: the body ends where the connection does.
    Close,
}

impl Framing {
    fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        let stream = headers
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(STREAM.as_bytes()));
        let framed = headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || body.is_end_stream();
        match (stream, framed) {
            (true, _) => Self::Stream,
            (false, true) => Self::Http,
            (false, false) => Self::Close,
        }
    }
}

/// Reads the body of an answer into `parts`; ends early when nobody takes them any more, and
/// then closes the connection, which tells the target to stop.
async fn forward(body: Incoming, framing: Framing, driver: Task<()>, parts: Sender<Part>) {
    let mut frames = BodyStream::new(body);
    let mut tail = Tail::default();
    while let Some(frame) = frames.next().await {
        let Ok(frame) = frame else {
            let _ = parts.send(Part::Abort("the target cut its answer short".to_owned())).await;
            return;
        };
        let Ok(bytes) = frame.into_data() else { continue };
        tail.push(&bytes);
        if parts.send(Part::Chunk(bytes)).await.is_err() {
            return;
        }
    }
    let whole = match framing {
        Framing::Http => true,
        Framing::Stream => tail.ended(),
        Framing::Close => false,
    };
    let last =
        if whole { Part::End } else { Part::Abort("the target's answer has no end".to_owned()) };
    let _ = parts.send(last).await;
    drop(driver);
}

/// The last bytes of a stream, enough to tell whether its last event is the end.
#[derive(Debug, Default)]
struct Tail(Vec<u8>);

impl Tail {
    const LENGTH: usize = STREAM_END.len() + 4;

    fn push(&mut self, bytes: &Bytes) {
        self.0.extend_from_slice(&bytes[bytes.len().saturating_sub(Self::LENGTH)..]);
        let surplus = self.0.len().saturating_sub(Self::LENGTH);
        self.0.drain(..surplus);
    }

    fn ended(&self) -> bool {
        self.0.trim_ascii_end().ends_with(STREAM_END)
    }
}

fn pairs(headers: &HeaderMap) -> Vec<Pair> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .map(|(name, value)| Pair {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
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
