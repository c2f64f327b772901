use std::sync::Arc;

use smol::channel::Receiver;

use super::{Connection, Error};
use crate::wire::{Body, End, Frame};

/// One exchange on a connection: frames in, frames out, in order.
///
/// Dropping an exchange that has not ended tells the other VM to stop its work.
#[derive(Debug)]
pub struct Exchange {
    number: u64,
    connection: Arc<Connection>,
    incoming: Receiver<Body>,
    ended: bool,
}

impl Exchange {
    pub(super) fn new(number: u64, connection: Arc<Connection>, incoming: Receiver<Body>) -> Self {
        Self { number, connection, incoming, ended: false }
    }

    /// Sends the next frame.
    ///
    /// # Errors
    ///
    /// Where the connection has ended.
    pub async fn send(&mut self, body: Body) -> Result<(), Error> {
        self.ended |= matches!(body, Body::Abort(_) | Body::Cancel(_));
        self.connection.write(Frame::new(self.number, body)).await
    }

    /// Waits for the next frame.
    ///
    /// # Errors
    ///
    /// Where the connection ended before the exchange did.
    pub async fn receive(&mut self) -> Result<Body, Error> {
        let body = self.incoming.recv().await.map_err(|_| Error::Closed)?;
        self.ended |= matches!(body, Body::Abort(_) | Body::Cancel(_) | Body::Reply(_));
        Ok(body)
    }

    /// Declares the exchange ended, so that dropping it sends nothing.
    pub fn finish(mut self) {
        self.ended = true;
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
