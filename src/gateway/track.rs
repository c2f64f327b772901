use std::time::{Duration, Instant};

use super::Prompt;
use crate::place::Cache;

/// A report of load older than this tells nothing any more.
const REPORT_AGE: Duration = Duration::from_secs(3);
/// The first time that a target which failed is left alone; doubled with each failure in a row.
const FIRST_REST: Duration = Duration::from_millis(300);
const LONGEST_REST: Duration = Duration::from_secs(5);
/// A target that was just out of reach may have started anew, cold, before it says so.
const AFTER_FAILURE: Duration = Duration::from_millis(1500);
/// The weight of one answer in the part of answers that are failures.
const FAILURE_GAIN: f64 = 0.15;
/// Part keys remembered for each target: a few for each of the sessions that its memory holds.
const MOST_PARTS: usize = 2048;
/// Without reports of the target, its prompts are taken to be read at this pace, in tokens a
/// second: half of what a current engine reads, as others send too.
const PREFILL: f64 = 40_000.0;

/// What one target reported of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// What a VM remembers of one lifetime of a target.
#[derive(Debug)]
pub(super) struct Track {
    pub(super) born: u64,
    outstanding: u32,
    report: Option<(Report, u32, Instant)>,
    /// Tokens sent to be read and not known to have been read.
    unread: f64,
    drained_at: Instant,
    cache: Cache,
    failures: u32,
    rests_until: Option<Instant>,
    /// Until when the target counts as cold because it was out of reach.
    suspect_until: Option<Instant>,
    /// The part of its latest answers that were failures.
    failing: f64,
    cold: Cold,
}

/// This VM's share of what a cold target bears.
#[derive(Debug)]
struct Cold {
    sent: Vec<Instant>,
}

impl Track {
    pub(super) fn new(born: u64, now: Instant) -> Self {
        Self {
            born,
            outstanding: 0,
            report: None,
            unread: 0.0,
            drained_at: now,
            cache: Cache::default(),
            failures: 0,
            rests_until: None,
            suspect_until: None,
            failing: 0.0,
            cold: Cold { sent: Vec::new() },
        }
    }

    pub(super) fn sent(&mut self, prompt: &Prompt, now: Instant) -> f64 {
        self.drain(now);
        let keys = prompt.keys();
        let tokens = f64::from(prompt.unread(self.cache.matched(&keys)));
        self.outstanding += 1;
        self.unread += tokens;
        self.cache.store(&keys, MOST_PARTS);
        self.cold.sent.push(now);
        let second = Duration::from_millis(1100);
        self.cold.sent.retain(|at| now.saturating_duration_since(*at) < second);
        tokens
    }

    /// The request's prompt has been read.
    pub(super) fn read(&mut self, tokens: f64) {
        self.unread = (self.unread - tokens).max(0.0);
    }

    pub(super) fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    pub(super) fn reported(&mut self, report: Report, now: Instant) {
        self.report = Some((report, self.outstanding, now));
    }

    pub(super) fn answered(&mut self, failed: bool) {
        self.failures = 0;
        self.rests_until = None;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing += FAILURE_GAIN * (sample - self.failing);
    }

    /// The target was out of reach, or broke off.
    pub(super) fn failed(&mut self, now: Instant) {
        if self.rests_until.is_none_or(|until| until <= now) {
            let rest = FIRST_REST * 2u32.saturating_pow(self.failures.min(8));
            self.rests_until = Some(now + rest.min(LONGEST_REST));
            self.failures += 1;
        }
        self.suspect_until = Some(now + LONGEST_REST + AFTER_FAILURE);
        self.cache.forget();
    }

    pub(super) fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| until > now)
    }

    /// Whether it may have started anew since it was last in reach.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.failures > 0 && self.suspect_until.is_some_and(|until| until > now)
    }

    pub(super) fn failing(&self) -> f64 {
        self.failing
    }

    pub(super) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Requests sent within the last second.
    pub(super) fn sent_lately(&self, now: Instant) -> usize {
        let second = Duration::from_millis(1100);
        self.cold.sent.iter().filter(|at| now.saturating_duration_since(**at) < second).count()
    }

    /// How many requests it is expected to hold, when `alike` VMs send as this one does.
    pub(super) fn load(&self, alike: f64, now: Instant) -> f64 {
        let own = f64::from(self.outstanding);
        match self.report {
            Some((report, outstanding, at)) if now.saturating_duration_since(at) < REPORT_AGE => {
                let since = own - f64::from(outstanding);
                (f64::from(report.running + report.waiting) + alike * since).max(own)
            }
            _ => own * alike,
        }
    }

    /// Requests that wait there, as it said last.
    pub(super) fn waiting(&self, now: Instant) -> u32 {
        let young = |at: Instant| now.saturating_duration_since(at) < REPORT_AGE;
        self.report.filter(|(_, _, at)| young(*at)).map_or(0, |(report, ..)| report.waiting)
    }

    /// Seconds until what was sent there has been read.
    pub(super) fn backlog(&mut self, alike: f64, now: Instant) -> f64 {
        self.drain(now);
        self.unread * alike / PREFILL
    }

    /// Seconds to read what it is not believed to keep of `prompt`, and whether it is believed to
    /// keep the shared parts.
    pub(super) fn reading(&self, prompt: &Prompt, keeps_shared: bool) -> f64 {
        let keys = prompt.keys();
        let known = self.cache.matched(&keys);
        let shared = if keeps_shared { keys.len().saturating_sub(1) } else { 0 };
        f64::from(prompt.unread(known.max(shared))) / PREFILL
    }

    fn drain(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.drained_at).as_secs_f64();
        self.drained_at = now;
        self.unread = (self.unread - passed * PREFILL * 0.25).max(0.0);
    }
}
