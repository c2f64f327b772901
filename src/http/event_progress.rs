/// The bytes of a line that are kept to tell what it is.
const MAX_LINE_BYTES: usize = 64;

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
/// assert!(progress.push(b"lo\n\n"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventProgress {
    /// The beginning of the current line.
    line: Vec<u8>,
    /// Whether the current event has a line with content.
    has_content: bool,
}

impl EventProgress {
    /// Adds bytes and returns whether they complete an event with content.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let mut progressed = false;
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.extend_line(&rest[..end]);
            progressed |= self.end_line();
            rest = &rest[end + 1..];
        }
        self.extend_line(rest);
        progressed
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        let room = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Returns whether the line ends an event with content.
    fn end_line(&mut self) -> bool {
        let line = self.line.trim_ascii();
        let value = line.strip_prefix(b"data:").or_else(|| line.strip_prefix(b"id:"));
        let ends_event = line.is_empty();
        self.has_content |= value.is_some_and(|value| !value.is_empty());
        self.line.clear();
        ends_event && std::mem::take(&mut self.has_content)
    }
}
