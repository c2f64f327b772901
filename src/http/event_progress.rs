const MEDIA_TYPE: &[u8] = b"text/event-stream";
/// The bytes of a line that are kept to tell what it is.
const MAX_LINE_BYTES: usize = 64;

/// Whether the value of a `Content-Type` header is that of server-sent events.
///
/// ```
/// assert!(pomelogate::http::is_event_stream(b"Text/Event-Stream; charset=utf-8"));
/// assert!(!pomelogate::http::is_event_stream(b"application/json"));
/// ```
pub fn is_event_stream(content_type: &[u8]) -> bool {
    content_type
        .get(..MEDIA_TYPE.len())
        .is_some_and(|media_type| media_type.eq_ignore_ascii_case(MEDIA_TYPE))
}

/// Tells progress in a stream of server-sent events from bytes that carry none.
///
/// A target that is stuck may go on to send comments, events without content, or an event that
/// never ends. Only a complete event with data or an identifier counts as progress.
///
/// ```
/// use pomelogate::http::EventProgress;
///
/// let mut progress = EventProgress::default();
/// assert!(!progress.push(b": still here\n\ndata:\n\ndata: hel"));
/// assert!(progress.is_inside_event());
/// assert!(progress.push(b"lo\n\n"));
/// assert!(!progress.is_inside_event());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventProgress {
    /// The beginning of the current line.
    line: Vec<u8>,
    /// Whether the last line ended with a carriage return, to which a line feed may belong.
    ended_by_return: bool,
    /// Whether the current event has a line.
    has_lines: bool,
    /// Whether the current event has a line with content.
    has_content: bool,
}

impl EventProgress {
    /// Adds bytes and returns whether they complete an event with content.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let mut progressed = false;
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r')) {
            self.extend_line(&rest[..end]);
            let is_second_half = end == 0 && rest[0] == b'\n' && self.ended_by_return;
            if !is_second_half {
                progressed |= self.end_line();
            }
            self.ended_by_return = rest[end] == b'\r';
            rest = &rest[end + 1..];
        }
        self.extend_line(rest);
        progressed
    }

    /// Whether bytes have come since the last complete event that are not complete comments. A
    /// stream that ends then has been broken off.
    pub fn is_inside_event(&self) -> bool {
        self.has_lines || !self.line.is_empty()
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        self.ended_by_return &= bytes.is_empty();
        let room = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Returns whether the line ends an event with content.
    fn end_line(&mut self) -> bool {
        let line = self.line.trim_ascii();
        let value = line.strip_prefix(b"data:").or_else(|| line.strip_prefix(b"id:"));
        let ends_event = line.is_empty();
        self.has_content |= value.is_some_and(|value| !value.is_empty());
        self.has_lines = !ends_event && (self.has_lines || !line.starts_with(b":"));
        self.line.clear();
        ends_event && std::mem::take(&mut self.has_content)
    }
}
