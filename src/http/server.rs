use std::{convert::Infallible, io, time::Duration};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::Body;

/// Limits on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long the headers of a request may take.
    pub header_time: Duration,
    /// How many headers a request may have.
    pub headers: usize,
    /// The bytes that a connection buffers, and so the largest head of a request.
    pub buffer: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_time: Duration::from_secs(10), headers: 100, buffer: 64 * 1024 }
    }
}

/// Serves connections from `listener` until it fails; each request goes to `handler`.
///
/// # Errors
///
/// Where the listener fails.
pub async fn serve<H, F>(listener: TcpListener, limits: Limits, handler: H) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        smol::spawn(connection(stream, limits, handler.clone())).detach();
    }
}

async fn connection<H, F>(stream: TcpStream, limits: Limits, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let _ = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(limits.header_time)
        .max_headers(limits.headers)
        .max_buf_size(limits.buffer)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}
