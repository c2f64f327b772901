use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RANGE},
};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use smol::{Task, Timer, channel::Sender};

use super::{Fault, Loader, intake::Intake, listener::listen, stream::Stream};
use crate::{
    http::{self, Body, IncompleteBody, Limits, Stop},
    id,
    order::Answer,
    path::RESUME,
    target::Load,
};

const BODY_LIMIT: usize = 16 * 1024 * 1024;
const STREAMS: &str = "/v1/streams/";
const ORDERS: &str = "/orders";
const SLOTS: u32 = 16;

/// How fast a stand-in engine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The time until the first token.
    pub first: Duration,
    /// The time between tokens.
    pub between: Duration,
    /// The tokens of an answer that is no stream.
    pub tokens: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self { first: Duration::from_millis(5), between: Duration::from_millis(2), tokens: 8 }
    }
}

/// A stand-in of a model engine: answers chat completions, plain and streamed.
///
/// Each answer repeats the last message of its request word for word, so that a caller can tell
/// whether the answer is its own and whole.
#[derive(Debug)]
pub struct Engine {
    address: SocketAddr,
    state: Arc<State>,
    _task: Task<()>,
}

#[derive(Debug)]
struct State {
    name: id::Target,
    pace: Pace,
    fault: Fault,
    loader: Option<Arc<Loader>>,
    intake: Intake,
    crash: Sender<()>,
    running: AtomicU32,
    started: AtomicU64,
    served: AtomicU64,
    cancelled: AtomicU64,
    streams: Mutex<HashMap<String, Stream>>,
}

impl Engine {
    /// Starts an engine on a free port.
    ///
    /// # Errors
    ///
    /// Where no port can be taken.
    pub async fn start(name: id::Target, pace: Pace) -> io::Result<Self> {
        Self::faulty(name, pace, Fault::None).await
    }

    /// Starts an engine that takes orders.
    ///
    /// # Errors
    ///
    /// Where no port can be taken.
    pub async fn ordered(name: id::Target, pace: Pace, loader: Arc<Loader>) -> io::Result<Self> {
        Self::build(name, pace, Fault::None, Some(loader)).await
    }

    /// Starts an engine that misbehaves as `fault` says.
    ///
    /// # Errors
    ///
    /// Where no port can be taken.
    pub async fn faulty(name: id::Target, pace: Pace, fault: Fault) -> io::Result<Self> {
        Self::build(name, pace, fault, None).await
    }

    async fn build(
        name: id::Target,
        pace: Pace,
        fault: Fault,
        loader: Option<Arc<Loader>>,
    ) -> io::Result<Self> {
        let listener = listen()?;
        let address = listener.local_addr()?;
        let (crash, crashed) = smol::channel::bounded(1);
        let state = Arc::new(State {
            name,
            pace,
            fault,
            loader,
            intake: Intake::default(),
            crash,
            running: AtomicU32::new(0),
            started: AtomicU64::new(0),
            served: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        let task = smol::spawn(async move {
            let (_stop, stopped) = Stop::new();
            let handler = move |request| Arc::clone(&shared).take(request);
            let logger = Logger::root(Discard, o!());
            let serve = http::serve(listener, Limits::default, stopped, &logger, handler);
            futures_util::future::select(std::pin::pin!(serve), std::pin::pin!(crashed.recv()))
                .await;
        });
        Ok(Self { address, state, _task: task })
    }

    /// Where the engine takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// A way to read the engine's load at any time.
    pub fn load(&self) -> impl Fn() -> Load + Send + use<> {
        let state = Arc::clone(&self.state);
        move || {
            let running = state.running.load(Ordering::Relaxed);
            Load { running, slots: SLOTS, ..Load::default() }
        }
    }

    /// Names a limit in all further answers, or none: the requests a second that the engine takes
    /// from all VMs together.
    pub fn name_limit(&self, limit: Option<HeaderValue>) {
        self.state.intake.name_limit(limit);
    }

    /// Refuses requests until `until`, and asks for `pause` each time.
    pub fn ask_pauses(&self, until: Instant, pause: HeaderValue) {
        self.state.intake.ask_pauses(until, pause);
    }

    /// When requests reached the engine, in order; those that resume or discard a stream count.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.intake.arrivals()
    }

    /// The requests whose bodies the engine has read whole.
    pub fn started(&self) -> u64 {
        self.state.started.load(Ordering::Relaxed)
    }

    /// The requests answered whole.
    pub fn served(&self) -> u64 {
        self.state.served.load(Ordering::Relaxed)
    }

    /// The requests whose caller went away before the end.
    pub fn cancelled(&self) -> u64 {
        self.state.cancelled.load(Ordering::Relaxed)
    }
}

impl State {
    async fn take(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.intake.record_arrival();
        if let Some(refusal) = self.intake.refusal() {
            return refusal;
        }
        let answer = Arc::clone(&self).answer(request).await;
        self.intake.complete(answer)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if let Some(number) = request.uri().path().strip_prefix(STREAMS) {
            return self.resume(request.method(), number, request.headers());
        }
        let is_order = request.uri().path() == ORDERS;
        let Ok(body) = http::collect(&mut request.into_body(), BODY_LIMIT).await else {
            return problem(StatusCode::BAD_REQUEST, "the body is not whole");
        };
        if is_order {
            return self.take_order(&body);
        }
        let Ok(json) = serde_json::from_slice::<Value>(&body) else {
            return problem(StatusCode::BAD_REQUEST, "the body is not JSON");
        };
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let text = last_message(&json);
        match &self.fault {
            Fault::Silent => std::future::pending().await,
            Fault::Overloaded => {
                return problem(StatusCode::SERVICE_UNAVAILABLE, "the batch is full");
            }
            Fault::CrashOn(marker) if json["messages"].to_string().contains(marker) => {
                self.crash.close();
                std::future::pending().await
            }
            _ => {}
        }
        let model = json["model"].as_str().unwrap_or_default().to_owned();
        if json["stream"].as_bool().unwrap_or_default() {
            self.stream(number, model, &text)
        } else {
            self.plain(&model, &text).await
        }
    }

    fn take_order(&self, body: &[u8]) -> Response<Body> {
        let Some(loader) = &self.loader else {
            return problem(StatusCode::NOT_FOUND, "this engine takes no orders");
        };
        let Ok(order) = serde_json::from_slice(body) else {
            return problem(StatusCode::BAD_REQUEST, "the body is no order");
        };
        let answer = loader.take(order);
        let status = match answer {
            Answer::Accepted => StatusCode::ACCEPTED,
            Answer::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Answer::StaleFence { .. } => StatusCode::CONFLICT,
        };
        let answer = serde_json::to_vec(&answer).unwrap_or_default();
        let mut response = respond("application/json", http::full(answer));
        *response.status_mut() = status;
        response
    }

    async fn plain(self: Arc<Self>, model: &str, text: &str) -> Response<Body> {
        let guard = Guard::new(&self);
        Timer::after(self.pace.first + self.pace.between * self.pace.tokens).await;
        guard.finish();
        let message = json!({ "role": "assistant", "content": text });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        let answer = json!({
            "object": "chat.completion",
            "model": model,
            "system_fingerprint": self.name.as_str(),
            "choices": [choice],
        });
        let answer = answer.to_string();
        if self.fault == Fault::Truncate {
            return truncated(&answer);
        }
        respond("application/json", http::full(answer))
    }

    fn stream(self: Arc<Self>, number: u64, model: String, text: &str) -> Response<Body> {
        let words = text.split_inclusive(' ').map(ToOwned::to_owned).collect();
        let stream = Stream::default();
        let (limit, resumable) = match self.fault {
            Fault::CutStream { after } => (Some(after), true),
            Fault::LoseStream { after } => (Some(after), false),
            _ => (None, true),
        };
        let pieces = stream.read(0, limit, resumable);
        let mut response = respond("text/event-stream", http::channel(pieces));
        if resumable {
            let path = HeaderValue::from_str(&format!("{STREAMS}{number}"));
            response.headers_mut().extend(path.map(|path| (RESUME_NAME, path)));
            self.streams().insert(number.to_string(), stream.clone());
        }
        smol::spawn(self.write(number, model, words, stream)).detach();
        response
    }

    async fn write(self: Arc<Self>, number: u64, model: String, words: Vec<String>, to: Stream) {
        let guard = Guard::new(&self);
        Timer::after(self.pace.first).await;
        for word in words {
            let choice = json!({ "index": 0, "delta": { "content": word } });
            let event = json!({
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [choice],
            });
            if !to.push(Bytes::from(format!("data: {event}\n\n"))) {
                self.streams().remove(&number.to_string());
                return;
            }
            Timer::after(self.pace.between).await;
        }
        to.push(Bytes::from_static(b"data: [DONE]\n\n"));
        to.finish();
        guard.finish();
    }

    fn resume(&self, method: &Method, number: &str, headers: &HeaderMap) -> Response<Body> {
        let stream = self.streams().get(number).cloned();
        let Some(stream) = stream else {
            return problem(StatusCode::NOT_FOUND, "no such stream");
        };
        if method == Method::DELETE {
            stream.cancel();
            self.streams().remove(number);
            return problem(StatusCode::NO_CONTENT, "");
        }
        let Some(offset) = headers.get(RANGE).and_then(offset) else {
            return problem(StatusCode::RANGE_NOT_SATISFIABLE, "name a range `bytes=N-`");
        };
        let body = http::channel(stream.read(offset, None, true));
        let mut response = respond("text/event-stream", body);
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
        response
    }

    fn streams(&self) -> MutexGuard<'_, HashMap<String, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const RESUME_NAME: hyper::header::HeaderName = hyper::header::HeaderName::from_static(RESUME);

/// Counts a request as running until it ends, whole or not.
struct Guard {
    state: Arc<State>,
    whole: bool,
}

impl Guard {
    fn new(state: &Arc<State>) -> Self {
        state.running.fetch_add(1, Ordering::Relaxed);
        Self { state: Arc::clone(state), whole: false }
    }

    fn finish(mut self) {
        self.whole = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        let count = if self.whole { &self.state.served } else { &self.state.cancelled };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

fn last_message(json: &Value) -> String {
    let messages = json["messages"].as_array();
    let last = messages.and_then(|messages| messages.last());
    last.and_then(|message| message["content"].as_str()).unwrap_or_default().to_owned()
}

fn offset(range: &HeaderValue) -> Option<usize> {
    range.to_str().ok()?.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok()
}

fn truncated(answer: &str) -> Response<Body> {
    let (sender, pieces) = smol::channel::bounded(2);
    let half = Bytes::copy_from_slice(&answer.as_bytes()[..answer.len() / 2]);
    let _ = sender.try_send(Ok(half));
    let _ = sender.try_send(Err(IncompleteBody));
    let mut response = respond("application/json", http::channel(pieces));
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(answer.len()));
    response
}

fn respond(kind: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn problem(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(http::full(text));
    *response.status_mut() = status;
    response
}
