use std::fmt;

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

/// Called when the body ends, with whether it is complete.
struct EndCallback(Box<dyn FnOnce(bool) + Send>);

impl fmt::Debug for EndCallback {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Watch")
    }
}

impl TargetResponse {
    /// Creates a response whose body comes through the channel `body`. The last part of a complete
    /// body is [`BodyPart::End`].
    pub fn new(head: ResponseHead, hops: Vec<String>, body: Receiver<BodyPart>) -> Self {
        Self { head, hops, body, body_bytes: 0, permit: None, on_end: None }
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

    /// Waits for the next part of the body.
    pub async fn next(&mut self) -> BodyPart {
        let channel_closed = |_| BodyPart::Abort("the answer was lost on its way".to_owned());
        let part = self.body.recv().await.unwrap_or_else(channel_closed);
        match &part {
            BodyPart::Chunk(bytes) => self.body_bytes += bytes.len(),
            BodyPart::End | BodyPart::Abort(_) => {
                self.release_permit();
                if let Some(EndCallback(callback)) = self.on_end.take() {
                    callback(part == BodyPart::End);
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
