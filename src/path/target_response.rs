use std::fmt;

use hyper::body::Bytes;
use smol::channel::Receiver;

use super::admit::estimate;
use crate::{limit::Permit, wire::ResponseHead};

/// The answer to a request: its head, and its body piece by piece.
#[derive(Debug)]
pub struct TargetResponse {
    /// The head.
    pub head: ResponseHead,
    /// The VMs and the target that the answer comes through.
    pub hops: Vec<String>,
    body: Receiver<BodyPart>,
    bytes: usize,
    permit: Option<Permit>,
    watch: Option<Watch>,
}

/// A piece of the body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes.
    Chunk(Bytes),
    /// The end of a whole body.
    End,
    /// The body will not become whole; says why.
    Abort(String),
}

/// What is told of the end of an answer.
struct Watch(Box<dyn FnOnce(bool) + Send>);

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Watch")
    }
}

impl TargetResponse {
    /// Creates an answer whose pieces come through `body`; the last is [`BodyPart::End`] where the
    /// body is whole.
    pub fn new(head: ResponseHead, hops: Vec<String>, body: Receiver<BodyPart>) -> Self {
        Self { head, hops, body, bytes: 0, permit: None, watch: None }
    }

    /// The same answer with the request's place in its customer's limits, which is given back
    /// when the answer has passed.
    #[must_use]
    pub fn with_permit(self, permit: Permit) -> Self {
        Self { permit: Some(permit), ..self }
    }

    /// The same answer; `watch` is told at its last piece whether it was whole, and dropped where
    /// nobody takes it to its end.
    #[must_use]
    pub fn on_end(self, watch: impl FnOnce(bool) + Send + 'static) -> Self {
        Self { watch: Some(Watch(Box::new(watch))), ..self }
    }

    /// Waits for the next piece of the body.
    pub async fn next(&mut self) -> BodyPart {
        let lost = |_| BodyPart::Abort("the answer was lost on its hops".to_owned());
        let part = self.body.recv().await.unwrap_or_else(lost);
        match &part {
            BodyPart::Chunk(bytes) => self.bytes += bytes.len(),
            BodyPart::End | BodyPart::Abort(_) => {
                self.release();
                if let Some(Watch(watch)) = self.watch.take() {
                    watch(part == BodyPart::End);
                }
            }
        }
        part
    }

    fn release(&mut self) {
        if let Some(permit) = self.permit.take() {
            permit.finish(estimate(self.bytes));
        }
    }
}
