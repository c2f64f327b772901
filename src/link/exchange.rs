use std::sync::Arc;

use prost::bytes::Bytes;
use smol::channel::Receiver;

use super::{CHUNK, Connection, Error, connection::Route};
use crate::wire::{Body, Chunk, Credit, End, Frame};

/// One exchange on a connection: frames in, frames out, in order.
///
/// Dropping an exchange that has not ended tells the other VM to stop its work.
#[derive(Debug)]
pub struct Exchange {
    number: u64,
    connection: Arc<Connection>,
    route: Arc<Route>,
    incoming: Receiver<Body>,
    grants: Receiver<()>,
    ended: bool,
}

impl Exchange {
    pub(super) fn new(
        number: u64,
        connection: Arc<Connection>,
        route: Arc<Route>,
        incoming: Receiver<Body>,
        grants: Receiver<()>,
    ) -> Self {
        Self { number, connection, route, incoming, grants, ended: false }
    }

    /// Sends the next frame; a chunk waits until the receiver has room for it.
    ///
    /// # Errors
    ///
    /// Where the connection has ended.
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
    /// Where the connection ended before the exchange did.
    pub async fn receive(&mut self) -> Result<Body, Error> {
        let body = self.incoming.recv().await.map_err(|_| Error::Closed)?;
        self.ended |= matches!(body, Body::Abort(_) | Body::Cancel(_) | Body::Reply(_));
        if let Body::Chunk(chunk) = &body {
            self.grant(chunk.bytes.len()).await;
        }
        Ok(body)
    }

    /// Reads a whole body of at most `limit` bytes; nothing where it is larger or not whole.
    pub async fn collect(&mut self, limit: usize) -> Option<Bytes> {
        let mut body = Vec::new();
        loop {
            match self.receive().await.ok()? {
                Body::Chunk(chunk) if body.len() + chunk.bytes.len() <= limit => {
                    body.extend_from_slice(&chunk.bytes);
                }
                Body::End(_) => return Some(Bytes::from(body)),
                _ => return None,
            }
        }
    }

    /// Declares the exchange ended, so that dropping it sends nothing.
    pub fn finish(mut self) {
        self.ended = true;
    }

    async fn send_chunk(&self, chunk: Chunk) -> Result<(), Error> {
        for start in (0..chunk.bytes.len()).step_by(CHUNK) {
            let end = (start + CHUNK).min(chunk.bytes.len());
            self.wait_for_credit(end - start).await?;
            let piece = Chunk { bytes: chunk.bytes.slice(start..end) };
            self.write(Body::Chunk(piece)).await?;
        }
        Ok(())
    }

    async fn wait_for_credit(&self, bytes: usize) -> Result<(), Error> {
        while !self.route.windows().out.spend(bytes) {
            self.grants.recv().await.map_err(|_| Error::Closed)?;
        }
        Ok(())
    }

    async fn grant(&self, bytes: usize) {
        let granted = self.route.windows().inward.take(bytes);
        if let Some(bytes) = granted {
            let _ = self.write(Body::Credit(Credit { bytes })).await;
        }
    }

    async fn write(&self, body: Body) -> Result<(), Error> {
        self.connection.write(Frame::new(self.number, body)).await
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.connection.forget(self.number);
        if !self.ended {
            self.connection.write_now(Frame::new(self.number, Body::Cancel(End {})));
        }
    }
}
