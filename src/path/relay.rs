use std::time::Duration;

use hyper::{
    Response, StatusCode,
    body::Bytes,
    header::{CONTENT_LENGTH, CONTENT_TYPE, LOCATION, RETRY_AFTER},
};
use serde::Serialize;
use smol::{Timer, channel::Sender};

use super::{BodyPart, TargetResponse, header};
use crate::{
    http::{self, Body, IncompleteBody},
    id,
    outcome::{Reason, Refusal, UnknownOutcome},
};

const WINDOW: usize = 4;
const FLUSH: Duration = Duration::from_millis(50);

/// Turns an answer into a response to the caller.
///
/// A body that does not become whole ends in a cut connection, and before that in an error event
/// where it is a stream of events.
pub fn relay(request: &id::Request, answer: TargetResponse) -> Response<Body> {
    let (sender, pieces) = smol::channel::bounded(WINDOW);
    let stream = is_stream(&answer);
    let mut response = Response::new(http::channel(pieces));
    *response.status_mut() = status(answer.head.status);
    for pair in &answer.head.headers {
        append(&mut response, &pair.name, &pair.value);
    }
    append(&mut response, header::REQUEST, request.as_str().as_bytes());
    append(&mut response, header::WAY, answer.hops.join(" > ").as_bytes());
    append(&mut response, header::OUTCOME, b"answered");
    if stream {
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    smol::spawn(copy(answer, stream, sender)).detach();
    response
}

async fn copy(
    mut answer: TargetResponse,
    stream: bool,
    pieces: Sender<Result<Bytes, IncompleteBody>>,
) {
    loop {
        match answer.next().await {
            BodyPart::Chunk(bytes) => {
                if pieces.send(Ok(bytes)).await.is_err() {
                    return;
                }
            }
            BodyPart::End => return,
            BodyPart::Abort(cause) => return abort(stream, &cause, &pieces).await,
        }
    }
}

async fn abort(stream: bool, cause: &str, pieces: &Sender<Result<Bytes, IncompleteBody>>) {
    if stream {
        let problem = Problem::new("unknown", cause, "the answer is not whole; ask again");
        let event = format!("event: error\ndata: {}\n\n", problem.json());
        let _ = pieces.send(Ok(Bytes::from(event))).await;
        // A connection is cut without flushing what it buffers, so the event goes out first.
        Timer::after(FLUSH).await;
    }
    let _ = pieces.send(Err(IncompleteBody)).await;
}

/// The response to a caller whose request did not run.
///
/// ```
/// use pomelogate::{outcome::{Reason, Refusal}, path};
///
/// let refusal = Refusal::new(Reason::Overloaded, "the queue is full", "try again later");
/// let response = path::refusal_response(&"r-1".into(), &refusal);
/// assert_eq!(response.status(), 429);
/// ```
pub fn refusal_response(request: &id::Request, refusal: &Refusal) -> Response<Body> {
    let kind = serde_json::to_value(refusal.reason).unwrap_or_default();
    let problem = Problem::new(kind.as_str().unwrap_or_default(), &refusal.detail, &refusal.remedy);
    let mut response = problem.response(refusal_status(refusal.reason), request, "refused");
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_secs().max(1).to_string();
        append(&mut response, RETRY_AFTER.as_str(), seconds.as_bytes());
    }
    if let Some(location) = &refusal.location {
        append(&mut response, LOCATION.as_str(), location.as_bytes());
    }
    response
}

/// The response to a caller whose request may have run.
pub fn unknown_outcome_response(request: &id::Request, doubt: &UnknownOutcome) -> Response<Body> {
    let (kind, status, remedy) = if doubt.still_running {
        ("still_running", StatusCode::CONFLICT, "ask again later with the same key and body")
    } else {
        let remedy = "find out what became of it before sending it again under another key";
        ("unknown", StatusCode::BAD_GATEWAY, remedy)
    };
    Problem::new(kind, &doubt.detail, remedy).response(status, request, "unknown")
}

/// The body of a response that is not an answer.
#[derive(Debug, Serialize)]
struct Problem {
    error: Error,
}

#[derive(Debug, Serialize)]
struct Error {
    #[serde(rename = "type")]
    kind: String,
    message: String,
    remedy: String,
}

impl Problem {
    fn new(kind: &str, message: &str, remedy: &str) -> Self {
        let error =
            Error { kind: kind.to_owned(), message: message.to_owned(), remedy: remedy.to_owned() };
        Self { error }
    }

    fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    fn response(&self, status: StatusCode, request: &id::Request, outcome: &str) -> Response<Body> {
        let mut response = Response::new(http::full(self.json()));
        *response.status_mut() = status;
        append(&mut response, CONTENT_TYPE.as_str(), b"application/json");
        append(&mut response, header::REQUEST, request.as_str().as_bytes());
        append(&mut response, header::OUTCOME, outcome.as_bytes());
        response
    }
}

fn is_stream(answer: &TargetResponse) -> bool {
    answer.head.headers.iter().any(|pair| {
        pair.name == CONTENT_TYPE.as_str() && pair.value.starts_with(b"text/event-stream")
    })
}

fn status(number: u32) -> StatusCode {
    u16::try_from(number)
        .ok()
        .and_then(|number| StatusCode::from_u16(number).ok())
        .unwrap_or(StatusCode::BAD_GATEWAY)
}

fn append(response: &mut Response<Body>, name: &str, value: &[u8]) {
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
    let value = hyper::header::HeaderValue::from_bytes(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        response.headers_mut().append(name, value);
    }
}

fn refusal_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
        Reason::Malformed | Reason::AmbiguousName | Reason::KeyRequired => StatusCode::BAD_REQUEST,
        Reason::UnknownName => StatusCode::NOT_FOUND,
        Reason::NotAllowed => StatusCode::FORBIDDEN,
        Reason::WrongRegion => StatusCode::TEMPORARY_REDIRECT,
        Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Reason::NoTarget | Reason::HomeUnreachable | Reason::Stopping | Reason::NotReady => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::TooManyHops => StatusCode::LOOP_DETECTED,
        Reason::CrashesTargets | Reason::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
    }
}
