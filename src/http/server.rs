use std::{convert::Infallible, net::Shutdown, pin::pin, time::Duration};

use futures_util::{
    FutureExt,
    future::{Either, select},
};
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    server::conn::http1,
    service::service_fn,
};
use slog::Logger;
use smol::{
    Timer,
    channel::{Receiver, Sender},
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::{
    Account, Body, RequestAccount, ServerAccount, counted_body::CountedBody, full,
    write_stall::WriteStall,
};
use crate::{clock::within, event};

/// How long a stopping server still accepts connections and keeps idle ones open. A request that
/// crosses the stop is answered, and its response closes the connection.
pub(crate) const STOP_LINGER: Duration = Duration::from_millis(500);
/// How long a connection with unread bytes is given to read them before it is looked at again.
const UNREAD_BYTES_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long a connection that this end has closed is read on. Unread bytes reset it, and its caller
/// may not see the last response then.
const CLOSE_LINGER: Duration = Duration::from_secs(1);

/// The delay after a connection could not be accepted, in which others may end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The time within which a connection must receive the complete head of a request.
    pub header_timeout: Duration,
    /// The number of headers that a request may have. The HTTP parser takes 64 bytes for each of them
    /// while it reads a head.
    pub max_headers: usize,
    /// The size of the buffer of a connection, which also limits the head of a request.
    pub max_buffer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_headers: max_headers_of(16 * 1024),
            max_buffer_bytes: 64 * 1024,
        }
    }
}

/// The most headers that fit into a head of `bytes`: a name of one byte, a colon and a line feed each.
pub(crate) fn max_headers_of(bytes: usize) -> usize {
    bytes / 3
}

/// Tells a server to shut down gracefully: it closes connections after their next response. Half a
/// second later it accepts no new connections and closes idle ones.
#[derive(Debug)]
pub struct Stop(Sender<Infallible>);

/// The receiving end of a [`Stop`].
#[derive(Clone, Debug)]
pub struct Stopped(Receiver<Infallible>);

impl Stop {
    /// Creates both ends.
    pub fn new() -> (Self, Stopped) {
        let (sender, receiver) = smol::channel::bounded(1);
        (Self(sender), Stopped(receiver))
    }

    /// Tells the server to stop. Dropping does the same.
    pub fn stop(&self) {
        self.0.close();
    }
}

impl Stopped {
    /// Whether the server was told to stop.
    pub fn is_stopped(&self) -> bool {
        self.0.is_closed()
    }

    async fn wait(&self) {
        let _ = self.0.recv().await;
    }

    /// Waits until idle connections may be closed.
    async fn wait_and_linger(&self) {
        self.wait().await;
        Timer::after(STOP_LINGER).await;
    }
}

/// Serves connections from `listener` and passes each request to `handler`. `limits` is called once
/// for each new connection.
///
/// Returns after `stopped` is signalled and the last connection has ended. Dropping the future
/// closes all connections. A connection that cannot be accepted, as the process may open no more
/// files, is tried again; `logger` gets one line when that begins.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> Limits,
    stopped: Stopped,
    logger: &Logger,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let server = ServerAccount::new(&Account::new(None), 1);
    serve_counted(listener, limits, stopped, logger, server, handler).await;
}

/// Serves connections like [`serve`], within the bounds of the account of a process.
///
/// What exceeds them is refused with 503, or its connection is closed. Handlers count the bodies that
/// they read with [`super::collect_counted`].
pub async fn serve_counted<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> Limits,
    stopped: Stopped,
    logger: &Logger,
    server: ServerAccount,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (_server_alive, server_dropped) = smol::channel::bounded::<Infallible>(1);
    let (connection_guard, all_ended) = smol::channel::bounded::<Infallible>(1);
    let mut lingered = pin!(stopped.wait_and_linger());
    let (mut is_closing, mut is_failing) = (false, false);
    loop {
        let accept = listener.accept();
        let accepted = if is_closing {
            // Connections that the operating system has accepted may carry a request already.
            match accept.now_or_never() {
                Some(accepted) => accepted,
                None => break,
            }
        } else {
            match select(pin!(accept), lingered.as_mut()).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => {
                    is_closing = true;
                    continue;
                }
            }
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(_) if is_closing => break,
            Err(cause) => {
                if !std::mem::replace(&mut is_failing, true) {
                    event::path::NOT_ACCEPTED.emit(logger, &[("cause", &cause)]);
                }
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        is_failing = false;
        let Some(request_account) = server.admit() else { continue };
        let socket = stream.clone();
        let connection = serve_connection(
            stream,
            limits(),
            stopped.clone(),
            request_account.clone(),
            handler.clone(),
        );
        let work = async move {
            let evicted = request_account.connection().wait_for_eviction();
            if let Either::Right(_) = select(pin!(connection), pin!(evicted)).await {
                return;
            }
            let _ = within(CLOSE_LINGER, read_to_close(socket)).await;
        };
        smol::spawn(run_connection(work, server_dropped.clone(), connection_guard.clone()))
            .detach();
    }
    drop(listener);
    drop(connection_guard);
    let _ = all_ended.recv().await;
}

/// Runs `work` until it ends or the server is dropped, and holds `connection_guard` meanwhile.
async fn run_connection(
    work: impl Future<Output = ()>,
    server_dropped: Receiver<Infallible>,
    connection_guard: Sender<Infallible>,
) {
    select(pin!(work), pin!(server_dropped.recv())).await;
    drop(connection_guard);
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: Limits,
    stopped: Stopped,
    request_account: RequestAccount,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let socket = stream.clone();
    let stop_flag = stopped.clone();
    let written = request_account.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let request_account = request_account.clone();
        let head_share = request_account.head_share(request.headers());
        if request.body().is_end_stream() {
            request_account.connection().set_running();
        } else {
            request_account.connection().set_receiving();
        }
        request.extensions_mut().insert(request_account.clone());
        let response = head_share.map(|share| (handler(request), share));
        let stop_flag = stop_flag.clone();
        async move {
            let (response, mut share) = match response {
                Some((response, share)) => (response.await, share),
                None => (no_memory_response(), request_account.account().budget().share()),
            };
            let length = response.body().size_hint().exact().unwrap_or(0);
            share.add_held(usize::try_from(length).unwrap_or(usize::MAX));
            let mut response =
                response.map(|body| CountedBody::new(body, request_account, share).boxed_unsync());
            if stop_flag.is_stopped() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_buffer_bytes)
        .serve_connection(FuturesIo::new(WriteStall::new(stream, written)), service);
    let mut connection = pin!(connection);
    let mut lingered = pin!(stopped.wait_and_linger());
    if let Either::Left(_) = select(connection.as_mut(), lingered.as_mut()).await {
        return;
    }
    // A shutdown discards bytes that were received and not read, so they are read first.
    while has_unread_bytes(&socket) {
        let read = Timer::after(UNREAD_BYTES_POLL_INTERVAL);
        if let Either::Left(_) = select(connection.as_mut(), read).await {
            return;
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Refuses a request that did not run, as there is no memory for its head.
fn no_memory_response() -> Response<Body> {
    let mut response = Response::new(full("{\"error\":\"memory\"}"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(RETRY_AFTER, HeaderValue::from_static("0.40"));
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Closes this end of a connection, and reads until the other end is closed as well.
async fn read_to_close(mut socket: TcpStream) {
    let _ = socket.shutdown(Shutdown::Write);
    let mut discarded = [0; 4096];
    while matches!(socket.read(&mut discarded).await, Ok(1..)) {}
}

/// Whether bytes have been received and not read.
fn has_unread_bytes(socket: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(socket.peek(&mut byte).now_or_never(), Some(Ok(length)) if length > 0)
}
