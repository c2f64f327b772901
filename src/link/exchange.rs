use std::sync::Arc;

use prost::bytes::Bytes;
use smol::channel::Receiver;

use super::{Connection, Error, MAX_CHUNK_BYTES, connection::ExchangeState};
use crate::wire::{Body, Chunk, Credit, End, Frame};

/// One exchange on a connection: an ordered stream of frames in each direction.
///
/// Dropping an exchange that has not ended tells the other VM to cancel its work.
#[derive(Debug)]
pub struct Exchange {
    id: u64,
    connection: Arc<Connection>,
    state: Arc<ExchangeState>,
    frames: Receiver<Body>,
    credit_grants: Receiver<()>,
    ended: bool,
}

impl Exchange {
    pub(super) fn new(
        id: u64,
        connection: Arc<Connection>,
        state: Arc<ExchangeState>,
        frames: Receiver<Body>,
        credit_grants: Receiver<()>,
    ) -> Self {
        Self { id, connection, state, frames, credit_grants, ended: false }
    }

    /// Sends the next frame; a chunk waits until the receiver has granted credit for it.
    ///
    /// # Errors
    ///
    /// If the connection has ended, or the receiver cancelled the exchange while a chunk waits.
    pub async fn send(&mut self, body: Body) -> Result<(), Error> {
        self.ended |= matches!(body, Body::Abort(_) | Body::Cancel(_));
        match body {
            Body::Chunk(chunk) => self.send_chunk(chunk).await,
            body => self.write(body).await,
        }
    }

    /// Waits for the next frame.
    ///
    /// # Errors
    ///
    /// If the connection ended before the exchange did.
    pub async fn receive(&mut self) -> Result<Body, Error> {
        let body = self.frames.recv().await.map_err(|_| Error::Closed)?;
        // An abort is confirmed by a cancellation, so that its sender need not keep the link open longer.
        self.ended |= matches!(body, Body::Cancel(_) | Body::Reply(_));
        if let Body::Chunk(chunk) = &body {
            self.return_credit(chunk.bytes.len()).await;
        }
        Ok(body)
    }

    /// Receives a complete body; `None` if it is larger than `max_bytes`, is incomplete, or
    /// `may_hold` denies the memory for it.
    pub async fn collect(
        &mut self,
        max_bytes: usize,
        mut may_hold: impl FnMut(usize) -> bool,
    ) -> Option<Bytes> {
        let mut body = Vec::new();
        loop {
            match self.receive().await.ok()? {
                Body::Chunk(chunk) if body.len() + chunk.bytes.len() <= max_bytes => {
                    // A vector that is full doubles.
                    if body.len() + chunk.bytes.len() > body.capacity()
                        && !may_hold((body.capacity() * 2).max(body.len() + chunk.bytes.len()))
                    {
                        return None;
                    }
                    body.extend_from_slice(&chunk.bytes);
                }
                Body::End(_) => return Some(Bytes::from(body)),
                _ => return None,
            }
        }
    }

    /// Marks the exchange as ended, so that dropping it sends no cancellation.
    pub fn finish(mut self) {
        self.ended = true;
    }

    async fn send_chunk(&self, chunk: Chunk) -> Result<(), Error> {
        for start in (0..chunk.bytes.len()).step_by(MAX_CHUNK_BYTES) {
            let end = (start + MAX_CHUNK_BYTES).min(chunk.bytes.len());
            self.wait_for_credit(end - start).await?;
            let piece = Chunk { bytes: chunk.bytes.slice(start..end) };
            self.write(Body::Chunk(piece)).await?;
        }
        Ok(())
    }

    async fn wait_for_credit(&self, bytes: usize) -> Result<(), Error> {
        while !self.state.windows().outgoing.try_spend(bytes) {
            let granted = self.credit_grants.recv().await;
            granted
                .map_err(|_| if self.is_connected() { Error::Cancelled } else { Error::Closed })?;
        }
        Ok(())
    }

    fn is_connected(&self) -> bool {
        !self.frames.is_closed()
    }

    async fn return_credit(&self, bytes: usize) {
        let granted = self.state.windows().incoming.record_consumed(bytes);
        if let Some(bytes) = granted {
            let _ = self.write(Body::Credit(Credit { bytes })).await;
        }
    }

    async fn write(&self, body: Body) -> Result<(), Error> {
        self.connection.write(Frame::new(self.id, body)).await
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.connection.remove_exchange(self.id);
        if !self.ended {
            self.connection.write_detached(Frame::new(self.id, Body::Cancel(End {})));
        }
    }
}
