use std::sync::atomic::{AtomicU64, Ordering};

use prost::Message;

use crate::wire::{Body, Frame, Topic};

/// Size of the length prefix of each frame.
const LENGTH_PREFIX_BYTES: u64 = 4;

/// Counters of the frames that a VM sent on its links, by purpose.
#[derive(Debug, Default)]
pub struct Traffic {
    topics: [SentCounter; Topic::ALL.len()],
    replies: SentCounter,
    heartbeats: SentCounter,
    requests: SentCounter,
}

/// Counts frames and bytes sent, including the length prefixes but not the TCP headers.
#[derive(Debug, Default)]
pub struct SentCounter {
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
    pub fn topic(&self, topic: Topic) -> &SentCounter {
        &self.topics[topic as usize]
    }

    /// Replies to calls of all topics.
    pub fn replies(&self) -> &SentCounter {
        &self.replies
    }

    /// Heartbeats of links.
    pub fn heartbeats(&self) -> &SentCounter {
        &self.heartbeats
    }

    /// Requests handed over and their responses, and the hellos of connections.
    pub fn requests(&self) -> &SentCounter {
        &self.requests
    }

    /// Counts a frame that was sent.
    pub(super) fn count(&self, frame: &Frame) {
        let topic_counter =
            |number| Topic::from_number(number).map_or(&self.requests, |topic| self.topic(topic));
        let counter = match &frame.body {
            Some(Body::Notice(notice)) => topic_counter(notice.topic),
            Some(Body::Call(call)) => topic_counter(call.topic),
            Some(Body::Reply(_)) => &self.replies,
            Some(Body::Heartbeat(_)) => &self.heartbeats,
            _ => &self.requests,
        };
        counter.frames.fetch_add(1, Ordering::Relaxed);
        counter
            .bytes
            .fetch_add(frame.encoded_len() as u64 + LENGTH_PREFIX_BYTES, Ordering::Relaxed);
    }
}

impl SentCounter {
    /// The number of frames sent.
    pub fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// The number of bytes sent.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}
