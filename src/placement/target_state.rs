use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::CacheIndex;

/// How long sent and finished requests are remembered. Load reports are younger than this, and
/// only requests newer than the report are counted.
const REQUEST_RETENTION: Duration = Duration::from_secs(30);
const MAX_REQUESTS: usize = 512;

/// What a policy remembers of one target.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) incarnation: u64,
    pub(super) slow_start_at: Instant,
    pub(super) last_seen_at: Instant,
    /// The requests of this VM that have not ended.
    pub(super) in_flight: u32,
    pub(super) cache: CacheIndex,
    sent: VecDeque<SentRequest>,
    finished_at: VecDeque<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: Instant,
    /// The prompt tokens that the target had to read for it.
    tokens: f64,
}

impl TargetState {
    pub(super) fn new(incarnation: u64, now: Instant) -> Self {
        Self {
            incarnation,
            slow_start_at: now,
            last_seen_at: now,
            in_flight: 0,
            cache: CacheIndex::default(),
            sent: VecDeque::new(),
            finished_at: VecDeque::new(),
        }
    }

    pub(super) fn record_sent(&mut self, now: Instant, tokens: f64) {
        self.in_flight += 1;
        self.sent.push_back(SentRequest { at: now, tokens });
        while self.sent.len() > MAX_REQUESTS
            || self.sent.front().is_some_and(|sent| now.duration_since(sent.at) > REQUEST_RETENTION)
        {
            self.sent.pop_front();
        }
    }

    pub(super) fn record_finished(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.finished_at.push_back(now);
        while self.finished_at.len() > MAX_REQUESTS
            || self
                .finished_at
                .front()
                .is_some_and(|at| now.duration_since(*at) > REQUEST_RETENTION)
        {
            self.finished_at.pop_front();
        }
    }

    /// The number of requests sent after `reported_at` minus those finished after it.
    pub(super) fn net_sent_since(&self, reported_at: Instant) -> f64 {
        let sent = self.sent.iter().rev().take_while(|sent| sent.at > reported_at).count();
        let finished = self.finished_at.iter().rev().take_while(|at| **at > reported_at).count();
        sent as f64 - finished as f64
    }

    /// The uncached prompt tokens of the requests sent after `reported_at`.
    pub(super) fn tokens_sent_since(&self, reported_at: Instant) -> f64 {
        let sent = self.sent.iter().rev().take_while(|sent| sent.at > reported_at);
        sent.map(|sent| sent.tokens).sum()
    }
}
