use std::{
    future::Future,
    io::{self, ErrorKind},
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use smol::{
    Timer,
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

use super::{Cause, RequestAccount};

/// How often a connection is looked at that takes no bytes.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// How long a connection may take no bytes while there is memory. A reader of 10 KB/s empties a third
/// of a send buffer of 4 MB, after which the kernel takes bytes again, in 140 s.
const MAX_STALL: Duration = Duration::from_secs(180);

/// A connection whose writes fail when its other end reads nothing: after [`MAX_STALL`], and after
/// [`CHECK_INTERVAL`] while memory is scarce.
pub(super) struct WriteStall {
    stream: TcpStream,
    request_account: RequestAccount,
    stalled: Option<(Instant, Timer)>,
}

impl WriteStall {
    pub(super) fn new(stream: TcpStream, request_account: RequestAccount) -> Self {
        Self { stream, request_account, stalled: None }
    }

    fn check(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let (since, timer) =
            self.stalled.get_or_insert_with(|| (Instant::now(), Timer::after(CHECK_INTERVAL)));
        while Pin::new(&mut *timer).poll(cx).is_ready() {
            let account = self.request_account.account();
            if account.budget().is_scarce() || since.elapsed() >= MAX_STALL {
                account.record(Cause::Unread);
                return Poll::Ready(Err(ErrorKind::TimedOut.into()));
            }
            timer.set_after(CHECK_INTERVAL);
        }
        Poll::Pending
    }
}

impl AsyncRead for WriteStall {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for WriteStall {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, bytes) {
            Poll::Ready(written) => {
                self.stalled = None;
                Poll::Ready(written)
            }
            Poll::Pending => self.check(cx),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP server flushes when its write buffer is empty.
        self.request_account.record_written();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
