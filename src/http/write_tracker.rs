use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};

/// A stream that tracks whether any byte was written to it.
#[derive(Debug)]
pub(super) struct WriteTracker {
    stream: TcpStream,
    written: WriteFlag,
}

/// Whether any byte was written to the stream of a [`WriteTracker`].
#[derive(Clone, Debug, Default)]
pub(super) struct WriteFlag(Arc<AtomicBool>);

impl WriteFlag {
    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

impl WriteTracker {
    pub(super) fn new(stream: TcpStream) -> (Self, WriteFlag) {
        let written = WriteFlag::default();
        (Self { stream, written: written.clone() }, written)
    }
}

impl AsyncRead for WriteTracker {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteTracker {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Set before the attempt, because a failed write may still have sent bytes.
        self.written.set();
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
