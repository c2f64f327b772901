use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use serde_json::{Value, json};
use smol::{Task, Timer, channel::Sender, net::TcpListener};

use crate::{
    http::{self, Body, Broken, Limits},
    id,
    target::Load,
};

const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// How fast a stand-in engine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The time until the first token.
    pub first: Duration,
    /// The time between tokens.
    pub between: Duration,
    /// The tokens of an answer.
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
    running: AtomicU32,
    served: AtomicU64,
    cancelled: AtomicU64,
}

impl Engine {
    /// Starts an engine on a free port.
    ///
    /// # Errors
    ///
    /// Where no port can be taken.
    pub async fn start(name: id::Target, pace: Pace) -> io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            name,
            pace,
            running: AtomicU32::new(0),
            served: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        let task = smol::spawn(async move {
            let handler = move |request| Arc::clone(&shared).answer(request);
            let _ = http::serve(listener, Limits::default(), handler).await;
        });
        Ok(Self { address, state, _task: task })
    }

    /// Where the engine takes requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The engine's load at this moment, and a way to read it later.
    pub fn load(&self) -> impl Fn() -> Load + Send + use<> {
        let state = Arc::clone(&self.state);
        move || Load {
            running: state.running.load(Ordering::Relaxed),
            slots: 16,
            ..Load::default()
        }
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
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = http::collect(request.into_body(), BODY_LIMIT).await else {
            return problem(StatusCode::BAD_REQUEST, "the body is not whole");
        };
        let Ok(json) = serde_json::from_slice::<Value>(&body) else {
            return problem(StatusCode::BAD_REQUEST, "the body is not JSON");
        };
        let text = last_message(&json);
        let model = json["model"].as_str().unwrap_or_default().to_owned();
        if json["stream"].as_bool().unwrap_or_default() {
            return self.stream(model, &text);
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let guard = Guard { state: Arc::clone(&self), whole: false };
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
        respond("application/json", http::full(answer.to_string()))
    }

    fn stream(self: Arc<Self>, model: String, text: &str) -> Response<Body> {
        let (sender, pieces) = smol::channel::bounded(1);
        let words: Vec<String> = text.split_inclusive(' ').map(ToOwned::to_owned).collect();
        smol::spawn(self.write(model, words, sender)).detach();
        respond("text/event-stream", http::channel(pieces))
    }

    async fn write(
        self: Arc<Self>,
        model: String,
        words: Vec<String>,
        pieces: Sender<Result<Bytes, Broken>>,
    ) {
        self.running.fetch_add(1, Ordering::Relaxed);
        let guard = Guard { state: Arc::clone(&self), whole: false };
        Timer::after(self.pace.first).await;
        for word in words {
            let choice = json!({ "index": 0, "delta": { "content": word } });
            let event = json!({
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [choice],
            });
            if pieces.send(Ok(Bytes::from(format!("data: {event}\n\n")))).await.is_err() {
                return;
            }
            Timer::after(self.pace.between).await;
        }
        if pieces.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await.is_ok() {
            guard.finish();
        }
    }
}

/// Counts a request as running until it ends, whole or not.
struct Guard {
    state: Arc<State>,
    whole: bool,
}

impl Guard {
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
