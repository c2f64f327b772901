use std::sync::atomic::{AtomicU64, Ordering};

use prost::Message;

use crate::wire::{Body, Frame, Topic};

/// The bytes before each frame that say its length.
const LENGTH_BYTES: u64 = 4;

/// What a VM has sent on its links, by what it is for.
#[derive(Debug, Default)]
pub struct Traffic {
    topics: [Sent; Topic::ALL.len()],
    replies: Sent,
    heartbeats: Sent,
    requests: Sent,
}

/// Frames and bytes sent, the four bytes before each frame included, headers of TCP not.
#[derive(Debug, Default)]
pub struct Sent {
    frames: AtomicU64,
    bytes: AtomicU64,
}

impl Traffic {
    /// Notices and calls of `topic`.
    ///
    /// ```
    /// use pomelogate::{link::Traffic, wire::Topic};
    ///
    /// assert_eq!(Traffic::default().topic(Topic::Lists).bytes(), 0);
    /// ```
    pub fn topic(&self, topic: Topic) -> &Sent {
        &self.topics[topic as usize]
    }

    /// Replies to calls of all topics.
    pub fn replies(&self) -> &Sent {
        &self.replies
    }

    /// Heartbeats of links.
    pub fn heartbeats(&self) -> &Sent {
        &self.heartbeats
    }

    /// Requests handed over and their answers, and the hellos of connections.
    pub fn requests(&self) -> &Sent {
        &self.requests
    }

    /// Counts a frame that was written.
    pub(super) fn count(&self, frame: &Frame) {
        let topic =
            |number| Topic::from_number(number).map_or(&self.requests, |topic| self.topic(topic));
        let sent = match &frame.body {
            Some(Body::Notice(notice)) => topic(notice.topic),
            Some(Body::Call(call)) => topic(call.topic),
            Some(Body::Reply(_)) => &self.replies,
            Some(Body::Heartbeat(_)) => &self.heartbeats,
            _ => &self.requests,
        };
        sent.frames.fetch_add(1, Ordering::Relaxed);
        sent.bytes.fetch_add(frame.encoded_len() as u64 + LENGTH_BYTES, Ordering::Relaxed);
    }
}

impl Sent {
    /// The frames.
    pub fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// The bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
