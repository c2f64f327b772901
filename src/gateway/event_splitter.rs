use hyper::body::Bytes;

/// Splits a stream of server-sent events at event boundaries, so that a broken stream can be
/// resumed after its last complete event.
///
/// ```
/// use pomelogate::gateway::EventSplitter;
///
/// let mut events = EventSplitter::default();
/// assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
/// assert_eq!(events.last_id(), Some(1));
/// assert_eq!(events.push(b"ta: b\n\n"), "id: 2\ndata: b\n\n");
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    /// Whether the beginning of an event was passed on whose end was not.
    is_inside_event: bool,
}

/// An incomplete event that is longer is passed on as it arrives.
const MAX_PARTIAL_BYTES: usize = 64 * 1024;

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let event_end = end_of_last_event(&self.partial);
        let is_too_large = self.partial.len() - event_end > MAX_PARTIAL_BYTES;
        let end = if is_too_large { self.partial.len() } else { event_end };
        if end > 0 {
            self.is_inside_event = is_too_large;
        }
        let partial = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, partial);
        self.last_id = last_id_in(&complete).or(self.last_id);
        Bytes::from(complete)
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the beginning of an event was passed on whose end was not. Another stream would
    /// continue that event.
    pub fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }

    /// Returns the bytes after the last complete event, at the end of the stream.
    pub fn take_remainder(&mut self) -> Bytes {
        Bytes::from(std::mem::take(&mut self.partial))
    }

    /// Discards the incomplete event when another stream resumes after the last complete one.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// The index after the last complete event.
fn end_of_last_event(bytes: &[u8]) -> usize {
    let after_lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
    let after_crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    after_lf.max(after_crlf)
}

fn last_id_in(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
