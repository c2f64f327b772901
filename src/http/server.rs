use std::{convert::Infallible, io, pin::pin, time::Duration};

use futures_util::future::{Either, select};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use smol::{
    channel::{Receiver, Sender},
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::Body;

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a connection may go without the whole head of a request.
    pub header_timeout: Duration,
    /// How many headers a request may have.
    pub max_headers: usize,
    /// The bytes that a connection buffers, and so the largest head of a request.
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

/// Tells a server to stop gracefully: it takes no new connection, ends idle ones, and ends the
/// others after the answer they are at.
#[derive(Debug)]
pub struct Stop(Sender<Infallible>);

/// The server's end of a [`Stop`].
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

/// Serves connections from `listener`, each within the `limits` of the moment at which it came;
/// each request goes to `handler`.
///
/// Returns when told to stop and the last connection has ended. Dropping the future cuts all
/// connections.
///
/// # Errors
///
/// Where the listener fails.
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
    let (_alive, cut) = smol::channel::bounded::<Infallible>(1);
    let (busy, idle) = smol::channel::bounded::<Infallible>(1);
    loop {
        let accepted = match select(pin!(listener.accept()), pin!(stopped.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        let (stream, _) = accepted?;
        let work = connection(stream, limits(), stopped.clone(), handler.clone());
        smol::spawn(hold(work, cut.clone(), busy.clone())).detach();
    }
    drop(listener);
    drop(busy);
    let _ = idle.recv().await;
    Ok(())
}

/// Runs `work` until it ends or the server is cut; counts as busy meanwhile.
async fn hold(work: impl Future<Output = ()>, cut: Receiver<Infallible>, busy: Sender<Infallible>) {
    select(pin!(work), pin!(cut.recv())).await;
    drop(busy);
}

async fn connection<H, F>(stream: TcpStream, limits: Limits, stopped: Stopped, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
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
