use std::{
    fmt,
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    client::conn::http1,
};
use smol::{
    Task,
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};

use super::{
    Body, HeadGuard,
    head_guard::MAX_HEAD_BYTES,
    write_tracker::{WriteFlag, WriteTracker},
};
use crate::clock::within;

/// The connection is considered lost if sent bytes or keepalive probes stay unacknowledged for this
/// long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// A program that ended refuses a connection within a round trip.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The error of an HTTP request that received no response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// No byte was written, so the other side cannot have run the request.
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

/// Sends `request` on a new connection and waits for the head of the response.
///
/// Dropping the returned task closes the connection, which cancels the request at the other side.
///
/// # Errors
///
/// If the connection cannot be opened within `connect_timeout` or no response head is received within
/// `first_byte_timeout`.
pub async fn send_request(
    address: SocketAddr,
    request: Request<Body>,
    connect_timeout: Duration,
    first_byte_timeout: Duration,
) -> Result<(Response<Incoming>, Task<()>), RequestError> {
    send_request_if(address, request, connect_timeout, first_byte_timeout, || true).await
}

/// Like [`send_request`], but sends nothing if `may_send` forbids it once the connection is open.
///
/// # Errors
///
/// Those of [`send_request`].
pub(crate) async fn send_request_if(
    address: SocketAddr,
    request: Request<Body>,
    connect_timeout: Duration,
    first_byte_timeout: Duration,
    may_send: impl FnOnce() -> bool,
) -> Result<(Response<Incoming>, Task<()>), RequestError> {
    let stream = connect(address, connect_timeout).await?;
    if !may_send() {
        return Err(RequestError::NotSent(format!("{address}: it takes no requests now")));
    }
    let (stream, written) = WriteTracker::new(stream);
    let (stream, head) = HeadGuard::new(stream);
    let (mut sender, connection) =
        handshake(stream).await.map_err(|cause| request_error(&written, &cause.to_string()))?;
    let driver = smol::spawn(async move {
        let _ = connection.await;
    });
    let body_bytes = request.body().size_hint().exact().unwrap_or_default();
    head.start(usize::try_from(body_bytes).unwrap_or(usize::MAX));
    match within(first_byte_timeout, sender.send_request(request)).await {
        Some(Ok(response)) => {
            head.complete();
            Ok((response, driver))
        }
        Some(Err(cause)) => {
            let cause = head.error().map_or_else(|| cause.to_string(), |error| error.to_string());
            Err(request_error(&written, &cause))
        }
        None => Err(request_error(&written, "no first byte in time")),
    }
}

/// Starts HTTP/1 on a connection to a target, with a buffer that holds a head and not much more. A
/// target fills the buffer of each of its connections if its answer has no end.
pub(crate) async fn handshake<S>(
    stream: S,
) -> hyper::Result<(http1::SendRequest<Body>, http1::Connection<FuturesIo<S>, Body>)>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(FuturesIo::new(stream)).await
}

/// Whether `address` refuses connections, as the address of a program that ended does.
pub(crate) async fn refuses_connections(address: SocketAddr) -> bool {
    let connected = within(REFUSAL_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Some(Err(cause)) if cause.kind() == ErrorKind::ConnectionRefused)
}

/// Why no connection could be opened.
#[derive(Debug)]
pub(crate) enum ConnectError {
    /// No process listens at the address.
    Refused(String),
    /// Something else went wrong.
    Failed(String),
}

impl From<ConnectError> for RequestError {
    fn from(error: ConnectError) -> Self {
        let (ConnectError::Refused(cause) | ConnectError::Failed(cause)) = error;
        Self::NotSent(cause)
    }
}

/// Opens a connection that the operating system closes when the other side stops acknowledging.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    match within(timeout, TcpStream::connect(address)).await {
        Some(Ok(stream)) => {
            let _ = detect_silence(&stream);
            Ok(stream)
        }
        Some(Err(cause)) if cause.kind() == ErrorKind::ConnectionRefused => {
            Err(ConnectError::Refused(format!("{address}: {cause}")))
        }
        Some(Err(cause)) => Err(ConnectError::Failed(format!("{address}: {cause}"))),
        None => Err(ConnectError::Failed(format!("{address}: no connection in time"))),
    }
}

fn detect_silence(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Whether a connection to the address can succeed.
pub(crate) fn is_connectable(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

fn request_error(written: &WriteFlag, cause: &str) -> RequestError {
    if written.is_set() {
        RequestError::OutcomeUnknown(cause.to_owned())
    } else {
        RequestError::NotSent(cause.to_owned())
    }
}
