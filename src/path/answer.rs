use hyper::body::Bytes;
use smol::channel::Receiver;

use crate::wire::Head;

/// The answer to a request: its head, and its body piece by piece.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: Head,
    /// The pieces of the body; the last is [`Part::End`] where the body is whole.
    pub body: Receiver<Part>,
    /// The VMs and the target that the answer comes through.
    pub way: Vec<String>,
}

/// A piece of the body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes.
    Chunk(Bytes),
    /// The end of a whole body.
    End,
    /// The body will not become whole; says why.
    Abort(String),
}
