use hyper::body::Bytes;

/// Cuts a stream of events into whole events, so that a stream that breaks midway can be gone on
/// with after its last whole event.
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
    last: Option<u64>,
}

/// The most bytes of an event that is not whole yet; a longer one is passed on as it comes.
const MOST_PARTIAL: usize = 256 * 1024;

impl EventSplitter {
    /// Takes bytes and gives the events that are whole.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let end = end_of_events(&self.partial);
        let end = if self.partial.len() > MOST_PARTIAL { self.partial.len() } else { end };
        let rest = self.partial.split_off(end);
        let whole = std::mem::replace(&mut self.partial, rest);
        self.last = last_id_in(&whole).or(self.last);
        Bytes::from(whole)
    }

    /// The number of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// What came after the last whole event, at the end of the stream.
    pub fn take_remainder(&mut self) -> Bytes {
        Bytes::from(std::mem::take(&mut self.partial))
    }

    /// Forgets what is not whole, as another stream goes on from the last whole event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Where the last whole event ends.
fn end_of_events(bytes: &[u8]) -> usize {
    let blank = bytes.windows(2).rposition(|pair| pair == b"\n\n").map_or(0, |at| at + 2);
    let blank_crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map_or(0, |at| at + 4);
    blank.max(blank_crlf)
}

fn last_id_in(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text.lines().rev().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
