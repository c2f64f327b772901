use std::{convert::Infallible, net::Shutdown, pin::pin, time::Duration};

use futures_util::{
    FutureExt,
    future::{Either, select},
};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
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

use super::Body;
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
    /// The number of headers that a request may have.
    pub max_headers: usize,
    /// The size of the buffer of a connection, which also limits the head of a request.
    pub max_buffer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_headers: 100,
            max_buffer_bytes: 64 * 1024,
        }
    }
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
        let socket = stream.clone();
        let connection = serve_connection(stream, limits(), stopped.clone(), handler.clone());
        let work = async move {
            connection.await;
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

async fn serve_connection<H, F>(stream: TcpStream, limits: Limits, stopped: Stopped, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let socket = stream.clone();
    let stop_flag = stopped.clone();
    let service = service_fn(move |request| {
        let response = handler(request);
        let stop_flag = stop_flag.clone();
        async move {
            let mut response = response.await;
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
        .serve_connection(FuturesIo::new(stream), service);
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
