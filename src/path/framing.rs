use hyper::{HeaderMap, body::Incoming, header::CONTENT_TYPE};

use crate::http::{self, Delimiter};

/// The line of the last event.
const LAST_LINE: &[u8] = b"data: [DONE]";

/// How a complete body is told from one that was cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By HTTP: the content length or the last chunk.
    Http,
    /// By the last event of an event stream, `data: [DONE]`.
    EventStream,
    /// Not at all: the body ends when the connection closes.
    ConnectionClose,
}

impl Framing {
    pub(super) fn of(headers: &HeaderMap, body: &Incoming) -> Self {
        let content_type = headers.get(CONTENT_TYPE);
        if content_type.is_some_and(|it| http::is_event_stream(it.as_bytes())) {
            return Self::EventStream;
        }
        match Delimiter::of(headers, body) {
            Delimiter::Length | Delimiter::Chunks => Self::Http,
            Delimiter::Connection => Self::ConnectionClose,
        }
    }
}

/// The last bytes of an event stream, enough to recognise its last event.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamTail(Vec<u8>);

impl StreamTail {
    /// The end of the line before, the last line, its end and a blank line.
    const MAX_BYTES: usize = 1 + LAST_LINE.len() + 4;

    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(&bytes[bytes.len().saturating_sub(Self::MAX_BYTES)..]);
        let excess_bytes = self.0.len().saturating_sub(Self::MAX_BYTES);
        self.0.drain(..excess_bytes);
    }

    pub(super) fn has_last_event(&self) -> bool {
        let text = self.0.trim_ascii_end();
        let count =
            |line_end: u8| self.0[text.len()..].iter().filter(|it| **it == line_end).count();
        let has_blank_line = count(b'\n').max(count(b'\r')) >= 2;
        // The text of an event may quote the last line.
        let is_line = |before: &[u8]| matches!(before.last(), None | Some(b'\n' | b'\r'));
        has_blank_line && text.strip_suffix(LAST_LINE).is_some_and(is_line)
    }
}
