use std::{convert::Infallible, fmt, pin::pin};

use futures_util::future::{Either, select};
use hyper::body::Bytes;
use smol::channel::Receiver;

use super::admit::estimate_tokens;
use crate::{limit::Permit, wire::ResponseHead};

/// A target's response to a request: the head, and the body as a stream of parts.
#[derive(Debug)]
pub struct TargetResponse {
    /// The status and the headers.
    pub head: ResponseHead,
    /// The VMs that the request crossed, and the target that answered.
    pub hops: Vec<String>,
    body: Receiver<BodyPart>,
    body_bytes: usize,
    permit: Option<Permit>,
    on_end: Option<EndCallback>,
    abort: Option<AbortSignal>,
    on_abort: Option<AbortCallback>,
}

/// A part of the body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Some bytes of the body.
    Chunk(Bytes),
    /// The body ended and is complete.
    End,
    /// The body was cut short, for the reason given.
    Abort(String),
}

/// Called when the body is cut short, with the cause.
struct AbortCallback(Box<dyn FnOnce(&str) + Send>);

/// Cuts the body short when its channel closes.
#[derive(Debug)]
struct AbortSignal {
    closes: Receiver<Infallible>,
    cause: &'static str,
}

/// Called when the body ends, with whether it is complete.
struct EndCallback(Box<dyn FnOnce(bool) + Send>);

impl fmt::Debug for AbortCallback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AbortCallback")
    }
}

impl fmt::Debug for EndCallback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Watch")
    }
}

impl TargetResponse {
    /// Creates a response whose body comes through the channel `body`. The last part of a complete
    /// body is [`BodyPart::End`].
    pub fn new(head: ResponseHead, hops: Vec<String>, body: Receiver<BodyPart>) -> Self {
        Self {
            head,
            hops,
            body,
            body_bytes: 0,
            permit: None,
            on_end: None,
            abort: None,
            on_abort: None,
        }
    }

    /// Adds the permit of the request. When the body ends, the permit is given back with an estimate
    /// of the output tokens.
    #[must_use]
    pub fn with_permit(self, permit: Permit) -> Self {
        Self { permit: Some(permit), ..self }
    }

    /// Calls `callback` at the last part of the body with whether the body is complete. If the
    /// response is dropped before that, `callback` is dropped without a call.
    #[must_use]
    pub fn on_end(self, callback: impl FnOnce(bool) + Send + 'static) -> Self {
        Self { on_end: Some(EndCallback(Box::new(callback))), ..self }
    }

    /// Calls `callback` with the cause if the body is cut short.
    #[must_use]
    pub fn on_abort(self, callback: impl FnOnce(&str) + Send + 'static) -> Self {
        Self { on_abort: Some(AbortCallback(Box::new(callback))), ..self }
    }

    /// Cuts the body short with `cause` when `signal` closes before its end. Callbacks are then
    /// dropped without a call, as the target did not fail.
    #[must_use]
    pub fn abort_when(self, signal: Receiver<Infallible>, cause: &'static str) -> Self {
        Self { abort: Some(AbortSignal { closes: signal, cause }), ..self }
    }

    /// Waits for the next part of the body.
    pub async fn next(&mut self) -> BodyPart {
        let received = match &self.abort {
            None => Ok(self.body.recv().await),
            Some(abort) => match select(pin!(self.body.recv()), pin!(abort.closes.recv())).await {
                Either::Left((received, _)) => Ok(received),
                Either::Right(_) => Err(abort.cause),
            },
        };
        let channel_closed = |_| BodyPart::Abort("the answer was lost on its way".to_owned());
        let part = match received {
            Ok(received) => received.unwrap_or_else(channel_closed),
            Err(cause) => {
                self.on_end = None;
                BodyPart::Abort(cause.to_owned())
            }
        };
        match &part {
            BodyPart::Chunk(bytes) => self.body_bytes += bytes.len(),
            BodyPart::End | BodyPart::Abort(_) => {
                self.release_permit();
                if let Some(EndCallback(callback)) = self.on_end.take() {
                    callback(part == BodyPart::End);
                }
                if let (BodyPart::Abort(cause), Some(AbortCallback(callback))) =
                    (&part, self.on_abort.take())
                {
                    callback(cause);
                }
            }
        }
        part
    }

    fn release_permit(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.finish(estimate_tokens(self.body_bytes));
        }
    }
}
