use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use hyper::{Request, Response, body::Incoming, header::HeaderValue};
use slog::{Discard, Logger, o};
use smol::{Task, Timer};

use super::{intake::Intake, listener::listen};
use crate::{
    http::{self, Body, Limits, Stop},
    path::REQUEST,
};

const BODY_LIMIT: usize = 1024 * 1024;

/// A stand-in of a plain service: notes each call that it runs, and echoes its body.
#[derive(Debug)]
pub struct Service {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<Call>>>,
    intake: Arc<Intake>,
    _task: Task<()>,
}

/// A call that a stand-in service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The HTTP path and query.
    pub path: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The request, as the VM that sent it names it.
    pub request: Option<String>,
    /// The body.
    pub body: String,
}

impl Service {
    /// Starts a service on a free port; each call takes `delay`.
    ///
    /// # Errors
    ///
    /// Where no port can be taken.
    pub async fn start(delay: Duration) -> io::Result<Self> {
        let listener = listen()?;
        let address = listener.local_addr()?;
        let calls = Arc::<Mutex<Vec<Call>>>::default();
        let noted = Arc::clone(&calls);
        let intake = Arc::<Intake>::default();
        let shared = Arc::clone(&intake);
        let task = smol::spawn(async move {
            let (_stop, stopped) = Stop::new();
            let handler = move |request| {
                let (noted, intake) = (Arc::clone(&noted), Arc::clone(&shared));
                async move {
                    intake.record_arrival();
                    if let Some(refusal) = intake.refusal() {
                        return refusal;
                    }
                    intake.complete(run(request, noted, delay).await)
                }
            };
            let logger = Logger::root(Discard, o!());
            http::serve(listener, Limits::default, stopped, &logger, handler).await;
        });
        Ok(Self { address, calls, intake, _task: task })
    }

    /// Where the service takes calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Names a limit in all further answers, or none: the requests a second that the service takes
    /// from all VMs together.
    pub fn name_limit(&self, limit: Option<HeaderValue>) {
        self.intake.name_limit(limit);
    }

    /// Refuses requests until `until`, and asks for `pause` each time.
    pub fn ask_pauses(&self, until: Instant, pause: HeaderValue) {
        self.intake.ask_pauses(until, pause);
    }

    /// When requests reached the service, in order.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.intake.arrivals()
    }

    /// The calls that ran, in order.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn run(
    request: Request<Incoming>,
    calls: Arc<Mutex<Vec<Call>>>,
    delay: Duration,
) -> Response<Body> {
    let (head, mut body) = request.into_parts();
    let body = http::collect(&mut body, BODY_LIMIT).await.unwrap_or_default();
    let header = |name: &str| {
        head.headers.get(name).and_then(|value| value.to_str().ok()).map(ToOwned::to_owned)
    };
    let call = Call {
        method: head.method.to_string(),
        path: head.uri.to_string(),
        key: header("idempotency-key"),
        request: header(REQUEST),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let answer = format!("{} {} {}", call.method, call.path, call.body);
    calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    Timer::after(delay).await;
    Response::new(http::full(answer))
}
