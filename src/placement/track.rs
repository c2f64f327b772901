use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::CacheIndex;

/// Records of sent and finished work are kept for this long; reports are younger.
const MEMORY: Duration = Duration::from_secs(30);
const MOST_RECORDS: usize = 512;

/// What a policy remembers of one target.
#[derive(Clone, Debug)]
pub(super) struct Track {
    pub(super) incarnation: u64,
    pub(super) since: Instant,
    pub(super) seen: Instant,
    pub(super) outstanding: u32,
    pub(super) cache: CacheIndex,
    sent: VecDeque<Sent>,
    finished: VecDeque<Instant>,
}

/// One request sent to a target.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    tokens: f64,
}

impl Track {
    pub(super) fn new(incarnation: u64, now: Instant) -> Self {
        Self {
            incarnation,
            since: now,
            seen: now,
            outstanding: 0,
            cache: CacheIndex::default(),
            sent: VecDeque::new(),
            finished: VecDeque::new(),
        }
    }

    pub(super) fn send(&mut self, now: Instant, tokens: f64) {
        self.outstanding += 1;
        self.sent.push_back(Sent { at: now, tokens });
        while self.sent.len() > MOST_RECORDS
            || self.sent.front().is_some_and(|sent| now.duration_since(sent.at) > MEMORY)
        {
            self.sent.pop_front();
        }
    }

    pub(super) fn finish(&mut self, now: Instant) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.finished.push_back(now);
        while self.finished.len() > MOST_RECORDS
            || self.finished.front().is_some_and(|at| now.duration_since(*at) > MEMORY)
        {
            self.finished.pop_front();
        }
    }

    /// Requests sent after a report was written at `stamp`, less those finished since.
    pub(super) fn net_since(&self, stamp: Instant) -> f64 {
        let sent = self.sent.iter().rev().take_while(|sent| sent.at > stamp).count();
        let finished = self.finished.iter().rev().take_while(|at| **at > stamp).count();
        sent as f64 - finished as f64
    }

    /// Prompt tokens sent after a report was written at `stamp`.
    pub(super) fn tokens_since(&self, stamp: Instant) -> f64 {
        let since = self.sent.iter().rev().take_while(|sent| sent.at > stamp);
        since.map(|sent| sent.tokens).sum()
    }
}
