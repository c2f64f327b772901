use hyper::{
    HeaderMap,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};

const STREAM: &[u8] = b"text/event-stream";
const STREAM_END: &[u8] = b"data: [DONE]";

/// How the end of a whole body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By HTTP: a length, or the last chunk.
    Http,
    /// By the last event of a stream.
    Stream,
    /// Not at all: the body ends where the connection does.
    Close,
}

impl Framing {
    pub(super) fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        let kind = headers.get(CONTENT_TYPE);
        let framed = headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || body.is_end_stream();
        match (kind.is_some_and(|kind| kind.as_bytes().starts_with(STREAM)), framed) {
            (true, _) => Self::Stream,
            (false, true) => Self::Http,
            (false, false) => Self::Close,
        }
    }
}

/// The last bytes of a stream, enough to tell whether its last event is the end.
#[derive(Clone, Debug, Default)]
pub(super) struct Tail(Vec<u8>);

impl Tail {
    const LENGTH: usize = STREAM_END.len() + 4;

    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(&bytes[bytes.len().saturating_sub(Self::LENGTH)..]);
        let surplus = self.0.len().saturating_sub(Self::LENGTH);
        self.0.drain(..surplus);
    }

    pub(super) fn ended(&self) -> bool {
        self.0.trim_ascii_end().ends_with(STREAM_END)
    }
}
