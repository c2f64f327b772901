use std::{fmt, net::SocketAddr, time::Duration};

use hyper::{Request, Response, body::Incoming, client::conn::http1};
use smol::{Task, net::TcpStream};
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};

use super::{
    Body,
    tap::{Tap, Written},
};
use crate::clock::within;

/// How long sent bytes may stay unacknowledged, and how long a silent peer may leave probes
/// unanswered, before the connection counts as lost.
const SILENCE: Duration = Duration::from_secs(3);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a request over HTTP got no head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No byte was written, so the other side cannot have run anything.
    NotSent(String),
    /// Bytes were written; the other side may have run the request.
    OutcomeUnknown(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "nothing was sent: {cause}; send it again"),
            Self::OutcomeUnknown(cause) => write!(f, "no whole answer: {cause}; it may have run"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Sends `request` on a fresh connection and waits for the head of the answer.
///
/// The connection lives as long as the returned task; dropping the task closes it, which tells
/// the other side to stop.
///
/// # Errors
///
/// Where the connection cannot be opened within `connect_timeout`, or no head comes within `first_byte_timeout`.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Body>,
    connect_timeout: Duration,
    first_byte_timeout: Duration,
) -> Result<(Response<Incoming>, Task<()>), RequestError> {
    let stream = connect(address, connect_timeout).await?;
    let (tap, written) = Tap::new(stream);
    let (mut sender, connection) = http1::handshake(FuturesIo::new(tap))
        .await
        .map_err(|cause| failure(&written, &cause.to_string()))?;
    let driver = smol::spawn(async move {
        let _ = connection.await;
    });
    match within(first_byte_timeout, sender.send_request(request)).await {
        Some(Ok(response)) => Ok((response, driver)),
        Some(Err(cause)) => Err(failure(&written, &cause.to_string())),
        None => Err(failure(&written, "no first byte in time")),
    }
}

/// Opens a connection that the operating system ends when the other side falls silent.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, RequestError> {
    match within(timeout, TcpStream::connect(address)).await {
        Some(Ok(stream)) => {
            let _ = watch(&stream);
            Ok(stream)
        }
        Some(Err(cause)) => Err(RequestError::NotSent(format!("{address}: {cause}"))),
        None => Err(RequestError::NotSent(format!("{address}: no connection in time"))),
    }
}

/// Has the operating system end the connection when the other side falls silent.
fn watch(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE))
}

fn failure(written: &Written, cause: &str) -> RequestError {
    if written.get() {
        RequestError::OutcomeUnknown(cause.to_owned())
    } else {
        RequestError::NotSent(cause.to_owned())
    }
}
