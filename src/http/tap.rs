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

/// A stream that notes whether any byte was written to it.
#[derive(Debug)]
pub(super) struct Tap {
    stream: TcpStream,
    written: Written,
}

/// Whether any byte was written to a stream.
#[derive(Clone, Debug, Default)]
pub(super) struct Written(Arc<AtomicBool>);

impl Written {
    pub(super) fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

impl Tap {
    pub(super) fn new(stream: TcpStream) -> (Self, Written) {
        let written = Written::default();
        (Self { stream, written: written.clone() }, written)
    }
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Tap {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Noted before the attempt: a write that fails may still have sent bytes.
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
