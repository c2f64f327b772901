use std::{fmt, net::SocketAddr, time::Duration};

use futures_util::future::{Either, select};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use smol::{Task, Timer, net::TcpStream};
use smol_hyper::rt::FuturesIo;

use super::{
    Body,
    tap::{Tap, Written},
};

/// Why a request over HTTP got no head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte was written, so the other side cannot have run anything.
    NotSent(String),
    /// Bytes were written; the other side may have run the request.
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "nothing was sent: {cause}; send it again"),
            Self::Unknown(cause) => write!(f, "no whole answer: {cause}; it may have run"),
        }
    }
}

impl std::error::Error for Failure {}

/// Sends `request` on a fresh connection and waits for the head of the answer.
///
/// The connection lives as long as the returned task; dropping the task closes it, which tells
/// the other side to stop.
///
/// # Errors
///
/// Where the connection cannot be opened within `connect`, or no head comes within `first_byte`.
pub async fn open(
    address: SocketAddr,
    request: Request<Body>,
    connect: Duration,
    first_byte: Duration,
) -> Result<(Response<Incoming>, Task<()>), Failure> {
    let stream = dial(address, connect).await?;
    let (tap, written) = Tap::new(stream);
    let (mut sender, connection) = http1::handshake(FuturesIo::new(tap))
        .await
        .map_err(|cause| failure(&written, &cause.to_string()))?;
    let driver = smol::spawn(async move {
        let _ = connection.await;
    });
    match select(std::pin::pin!(sender.send_request(request)), Timer::after(first_byte)).await {
        Either::Left((Ok(response), _)) => Ok((response, driver)),
        Either::Left((Err(cause), _)) => Err(failure(&written, &cause.to_string())),
        Either::Right(_) => Err(failure(&written, "no first byte in time")),
    }
}

async fn dial(address: SocketAddr, limit: Duration) -> Result<TcpStream, Failure> {
    match select(std::pin::pin!(TcpStream::connect(address)), Timer::after(limit)).await {
        Either::Left((Ok(stream), _)) => {
            let _ = stream.set_nodelay(true);
            Ok(stream)
        }
        Either::Left((Err(cause), _)) => Err(Failure::NotSent(format!("{address}: {cause}"))),
        Either::Right(_) => Err(Failure::NotSent(format!("{address}: no connection in time"))),
    }
}

fn failure(written: &Written, cause: &str) -> Failure {
    if written.get() {
        Failure::Unknown(cause.to_owned())
    } else {
        Failure::NotSent(cause.to_owned())
    }
}
