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
    http::{self, Body, EventProgress, IncompleteBody},
    id,
    outcome::{Reason, Refusal, UnknownOutcome},
};

const MAX_QUEUED_CHUNKS: usize = 4;
const ERROR_EVENT_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Passes a target's response on to the caller.
///
/// If the body is cut short, the connection to the caller is closed before the end of the body. An
/// event stream gets an error event before that, unless it was cut inside an event of the target,
/// which the error event would continue.
pub fn relay(request: &id::Request, target_response: TargetResponse) -> Response<Body> {
    let (sender, chunks) = smol::channel::bounded(MAX_QUEUED_CHUNKS);
    let is_event_stream = is_event_stream(&target_response);
    let mut response = Response::new(http::channel(chunks));
    *response.status_mut() = status_code(target_response.head.status);
    for pair in &target_response.head.headers {
        append_header(&mut response, &pair.name, &pair.value);
    }
    append_header(&mut response, header::REQUEST, request.as_str().as_bytes());
    append_header(&mut response, header::WAY, target_response.hops.join(" > ").as_bytes());
    append_header(&mut response, header::OUTCOME, b"answered");
    if is_event_stream {
        response.headers_mut().remove(CONTENT_LENGTH);
    }
    smol::spawn(copy_body(target_response, is_event_stream, sender)).detach();
    response
}

async fn copy_body(
    mut target_response: TargetResponse,
    is_event_stream: bool,
    chunks: Sender<Result<Bytes, IncompleteBody>>,
) {
    let mut events = EventProgress::default();
    loop {
        match target_response.next().await {
            BodyPart::Chunk(bytes) => {
                events.push(&bytes);
                if chunks.send(Ok(bytes)).await.is_err() {
                    return;
                }
            }
            BodyPart::End => return,
            BodyPart::Abort(cause) => {
                let takes_event = is_event_stream && !events.is_inside_event();
                return abort_body(takes_event, &cause, &chunks).await;
            }
        }
    }
}

async fn abort_body(
    takes_event: bool,
    cause: &str,
    chunks: &Sender<Result<Bytes, IncompleteBody>>,
) {
    if takes_event {
        let problem = Problem::new("unknown", cause, "the answer is not whole; ask again");
        let event = format!("event: error\ndata: {}\n\n", problem.to_json());
        let _ = chunks.send(Ok(Bytes::from(event))).await;
        // Aborting the connection discards buffered bytes, so the event needs time to be sent.
        Timer::after(ERROR_EVENT_FLUSH_TIME).await;
    }
    let _ = chunks.send(Err(IncompleteBody)).await;
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
    let error_type = serde_json::to_value(refusal.reason).unwrap_or_default();
    let problem =
        Problem::new(error_type.as_str().unwrap_or_default(), &refusal.detail, &refusal.remedy);
    let mut response = problem.response(refusal_status(refusal.reason), request, "refused");
    if let Some(retry_after) = refusal.retry_after {
        let seconds = (retry_after.as_secs_f64().ceil() as u64).max(1).to_string();
        append_header(&mut response, RETRY_AFTER.as_str(), seconds.as_bytes());
    }
    if let Some(location) = &refusal.location {
        append_header(&mut response, LOCATION.as_str(), location.as_bytes());
    }
    response
}

/// The response to a caller whose request may have run.
pub fn unknown_outcome_response(request: &id::Request, unknown: &UnknownOutcome) -> Response<Body> {
    let (error_type, status, remedy) = if unknown.still_running {
        ("still_running", StatusCode::CONFLICT, "ask again later with the same key and body")
    } else {
        let remedy = "find out what became of it before sending it again under another key";
        ("unknown", StatusCode::BAD_GATEWAY, remedy)
    };
    Problem::new(error_type, &unknown.detail, remedy).response(status, request, "unknown")
}

/// The JSON body of a response to a request that was not answered.
#[derive(Debug, Serialize)]
struct Problem {
    error: ErrorDetails,
}

#[derive(Debug, Serialize)]
struct ErrorDetails {
    #[serde(rename = "type")]
    error_type: String,
    message: String,
    remedy: String,
}

impl Problem {
    fn new(error_type: &str, message: &str, remedy: &str) -> Self {
        let error = ErrorDetails {
            error_type: error_type.to_owned(),
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        };
        Self { error }
    }

    fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    fn response(&self, status: StatusCode, request: &id::Request, outcome: &str) -> Response<Body> {
        let mut response = Response::new(http::full(self.to_json()));
        *response.status_mut() = status;
        append_header(&mut response, CONTENT_TYPE.as_str(), b"application/json");
        append_header(&mut response, header::REQUEST, request.as_str().as_bytes());
        append_header(&mut response, header::OUTCOME, outcome.as_bytes());
        response
    }
}

fn is_event_stream(target_response: &TargetResponse) -> bool {
    target_response
        .head
        .headers
        .iter()
        .any(|pair| pair.name == CONTENT_TYPE.as_str() && http::is_event_stream(&pair.value))
}

fn status_code(number: u32) -> StatusCode {
    // A response that an older process recorded for a call may have any status.
    http::final_status(number).unwrap_or(StatusCode::BAD_GATEWAY)
}

fn append_header(response: &mut Response<Body>, name: &str, value: &[u8]) {
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
