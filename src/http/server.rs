use std::{convert::Infallible, io, pin::pin, time::Duration};

use futures_util::future::{Either, select};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use smol::{
    channel::{Receiver, Sender},
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::Body;

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

/// Tells a server to shut down gracefully: it accepts no new connections, closes idle ones, and
/// closes the others after their current response.
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
}

/// Serves connections from `listener` and passes each request to `handler`. `limits` is called once
/// for each new connection.
///
/// Returns after `stopped` is signalled and the last connection has ended. Dropping the future
/// closes all connections.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: impl Fn() -> Limits,
    stopped: Stopped,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let (_server_alive, server_dropped) = smol::channel::bounded::<Infallible>(1);
    let (connection_guard, all_ended) = smol::channel::bounded::<Infallible>(1);
    loop {
        let accepted = match select(pin!(listener.accept()), pin!(stopped.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        let (stream, _) = accepted?;
        let work = serve_connection(stream, limits(), stopped.clone(), handler.clone());
        smol::spawn(run_connection(work, server_dropped.clone(), connection_guard.clone()))
            .detach();
    }
    drop(listener);
    drop(connection_guard);
    let _ = all_ended.recv().await;
    Ok(())
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
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_buffer_bytes)
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    if let Either::Right(_) = select(connection.as_mut(), pin!(stopped.wait())).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
