use std::{
    fmt, io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use smol::{
    Timer,
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// The bytes that may precede the body of a response, interim responses included.
pub(super) const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The interim responses (status 100 to 199) that may precede a response.
const MAX_INTERIM_HEADS: u32 = 32;
/// The time that one head may take from its first byte to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const HEAD_END: [u8; 4] = *b"\r\n\r\n";

/// Why a target's response was given up before its head was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadError {
    /// It has too many bytes.
    Oversized,
    /// Too many interim responses precede it.
    InterimFlood,
    /// It was not complete in time.
    Stalled,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversized => write!(f, "{MAX_HEAD_BYTES} bytes and no end of its head"),
            Self::InterimFlood => write!(f, "{MAX_INTERIM_HEADS} interim responses and no other"),
            Self::Stalled => {
                write!(f, "its head had no end {} s after its first byte", HEAD_TIMEOUT.as_secs())
            }
        }
    }
}

/// A connection to a target that fails when the head of a response has no end.
///
/// `hyper` skips interim responses without a limit and waits for the rest of a head for as long as
/// the connection lasts, so both are bounded below it.
#[derive(Debug)]
pub(crate) struct HeadGuard<S = TcpStream> {
    stream: S,
    state: HeadState,
    timer: Option<Timer>,
}

/// The client's handle to a [`HeadGuard`].
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadState(Arc<Mutex<Progress>>);

#[derive(Debug, Default)]
struct Progress {
    /// Whether a request has been sent and the head of its response is not complete.
    awaits_head: bool,
    bytes: usize,
    interim_heads: u32,
    /// The number of bytes of `HEAD_END` that the last bytes match.
    matched_end: usize,
    /// Whether a head has begun and not ended.
    in_head: bool,
    error: Option<HeadError>,
    upload: Upload,
}

/// The bytes of the request that have not been written.
#[derive(Debug, Default)]
struct Upload {
    /// The number of bytes of `HEAD_END` that the last bytes match.
    matched_end: usize,
    head_written: bool,
    body_bytes_left: usize,
}

impl HeadState {
    /// Starts to guard the head of the response to a request that is about to be sent, with a body of
    /// `body_bytes`.
    pub(crate) fn start(&self, body_bytes: usize) {
        let upload = Upload { body_bytes_left: body_bytes, ..Upload::default() };
        *self.progress() = Progress { awaits_head: true, upload, ..Progress::default() };
    }

    /// Whether the whole request has been written to the connection.
    pub(crate) fn is_request_written(&self) -> bool {
        let progress = self.progress();
        progress.upload.head_written && progress.upload.body_bytes_left == 0
    }

    /// Ends the guard, as the head was received.
    pub(crate) fn complete(&self) {
        self.progress().awaits_head = false;
    }

    /// Why the connection was given up, if it was.
    pub(crate) fn error(&self) -> Option<HeadError> {
        self.progress().error
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Upload {
    fn record(&mut self, mut bytes: &[u8]) {
        while !self.head_written
            && let Some((byte, rest)) = bytes.split_first()
        {
            bytes = rest;
            self.matched_end = next_match(*byte, self.matched_end);
            self.head_written = self.matched_end == HEAD_END.len();
        }
        self.body_bytes_left = self.body_bytes_left.saturating_sub(bytes.len());
    }
}

/// The number of bytes of `HEAD_END` that match once `byte` follows `matched` bytes of it.
fn next_match(byte: u8, matched: usize) -> usize {
    match byte {
        byte if byte == HEAD_END[matched] => matched + 1,
        b'\r' => 1,
        _ => 0,
    }
}

impl Progress {
    /// The limit that the bytes so far exceed. It is checked before more bytes are read, because the
    /// bytes that were read last may contain the body.
    fn exceeded_limit(&self) -> Option<HeadError> {
        if self.bytes >= MAX_HEAD_BYTES {
            Some(HeadError::Oversized)
        } else if self.interim_heads >= MAX_INTERIM_HEADS {
            Some(HeadError::InterimFlood)
        } else {
            None
        }
    }

    fn record(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len();
        for byte in bytes {
            self.in_head = true;
            self.matched_end = next_match(*byte, self.matched_end);
            if self.matched_end == HEAD_END.len() {
                (self.matched_end, self.in_head) = (0, false);
                self.interim_heads += 1;
            }
        }
    }
}

impl<S> HeadGuard<S> {
    pub(crate) fn new(stream: S) -> (Self, HeadState) {
        let state = HeadState::default();
        (Self { stream, state: state.clone(), timer: None }, state)
    }

    fn fail(&mut self, error: HeadError) -> io::Error {
        self.state.progress().error = Some(error);
        io::Error::other(error.to_string())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let awaits_head = self.state.progress().awaits_head;
        if !awaits_head {
            self.timer = None;
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let exceeded = self.state.progress().exceeded_limit();
        if let Some(error) = exceeded {
            return Poll::Ready(Err(self.fail(error)));
        }
        if let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(context, buffer) {
            let length = read?;
            let mut progress = self.state.progress();
            progress.record(&buffer[..length]);
            let in_head = progress.in_head;
            drop(progress);
            if !in_head {
                self.timer = None;
            } else if self.timer.is_none() {
                self.timer = Some(Timer::after(HEAD_TIMEOUT));
            }
            return Poll::Ready(Ok(length));
        }
        let Some(timer) = &mut self.timer else { return Poll::Pending };
        ready!(Pin::new(timer).poll(context));
        Poll::Ready(Err(self.fail(HeadError::Stalled)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let length = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.state.progress().upload.record(&buffer[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
