use std::{collections::VecDeque, time::Duration};

use super::{Job, Pace, Prefix};
use crate::{path::Class, placement::CacheEvent, target::Load};

/// After this long, a waiting batch request goes before interactive ones.
const BATCH_PATIENCE: Duration = Duration::from_secs(10);

/// An engine that batches continuously.
#[derive(Debug)]
pub struct Engine {
    pace: Pace,
    running: Vec<Active>,
    interactive: VecDeque<Waiter>,
    batch: VecDeque<Waiter>,
    cache: Prefix,
    stored: Vec<u64>,
    evicted: Vec<u64>,
    sequence: u64,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Whether it runs.
    pub alive: bool,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// The time spent in steps.
    pub busy: Duration,
    /// Prompt tokens read because the cache lacked them.
    pub missed: u64,
}

#[derive(Debug)]
struct Waiter {
    job: usize,
    since: Duration,
    tokens: u32,
}

#[derive(Debug)]
struct Active {
    job: usize,
    /// Prompt tokens left to read.
    unread: u32,
    /// Prompt tokens read in the step in progress.
    reading: u32,
    /// Answer tokens left to write.
    unwritten: u32,
}

/// What a step brought to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Output {
    /// The request.
    pub job: usize,
    /// Whether this is its last token.
    pub last: bool,
}

impl Engine {
    /// An idle engine with an empty cache.
    pub fn new(pace: Pace) -> Self {
        Self {
            pace,
            running: Vec::new(),
            interactive: VecDeque::new(),
            batch: VecDeque::new(),
            cache: Prefix::new(pace.blocks),
            stored: Vec::new(),
            evicted: Vec::new(),
            sequence: 0,
            incarnation: 1,
            alive: true,
            stepping: false,
            busy: Duration::ZERO,
            missed: 0,
        }
    }

    /// Takes a request.
    pub fn push(&mut self, now: Duration, number: usize, job: &Job) {
        let waiter = Waiter { job: number, since: now, tokens: job.prompt.tokens() };
        match job.class {
            Class::Interactive => self.interactive.push_back(waiter),
            Class::Batch => self.batch.push_back(waiter),
        }
    }

    /// Begins a step and gives its length; none where there is nothing to do.
    pub fn begin(&mut self, now: Duration, jobs: &[Job]) -> Option<Duration> {
        self.fill(now, jobs);
        if self.running.is_empty() {
            return None;
        }
        let mut left = self.pace.chunk;
        for active in &mut self.running {
            active.reading = active.unread.min(left);
            left -= active.reading;
        }
        let read = f64::from(self.pace.chunk - left) / self.pace.prefill;
        let writing = self.running.iter().filter(|active| active.unread == 0).count();
        let decode = self.pace.decode * u32::try_from(writing).unwrap_or(u32::MAX);
        let length = self.pace.step + Duration::from_secs_f64(read) + decode;
        self.busy += length;
        self.stepping = true;
        Some(length)
    }

    /// Ends a step and gives the tokens that it wrote.
    pub fn end(&mut self, jobs: &[Job]) -> Vec<Output> {
        self.stepping = false;
        let mut outputs = Vec::new();
        for active in &mut self.running {
            let reads = active.unread > 0;
            active.unread -= active.reading;
            if active.unread > 0 {
                continue;
            }
            if reads {
                let (stored, evicted) = self.cache.store(jobs[active.job].prompt.blocks());
                self.stored.extend(stored);
                self.evicted.extend(evicted);
            }
            active.unwritten = active.unwritten.saturating_sub(1);
            outputs.push(Output { job: active.job, last: active.unwritten == 0 });
        }
        self.running.retain(|active| active.unwritten > 0);
        outputs
    }

    /// Stops at once and gives the requests that it had.
    pub fn fail(&mut self) -> Vec<usize> {
        self.alive = false;
        self.cache.clear();
        let waiting = self.interactive.drain(..).chain(self.batch.drain(..)).map(|it| it.job);
        self.running.drain(..).map(|active| active.job).chain(waiting).collect()
    }

    /// Starts anew with an empty cache; what it runs goes on.
    pub fn chill(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.cache.clear();
        self.stored.clear();
        self.evicted.clear();
    }

    /// The load that it would report now.
    pub fn load(&self) -> Load {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let waiting = self.interactive.iter().chain(&self.batch);
        let unread: u32 = self.running.iter().map(|active| active.unread).sum();
        Load {
            running: count(self.running.len()),
            waiting: count(self.interactive.len() + self.batch.len()),
            slots: count(self.pace.slots),
            waiting_tokens: unread + waiting.map(|waiter| waiter.tokens).sum::<u32>(),
        }
    }

    /// The cache event for what changed since the last.
    pub fn event(&mut self) -> Option<CacheEvent> {
        if self.stored.is_empty() && self.evicted.is_empty() {
            return None;
        }
        self.sequence += 1;
        let stored = std::mem::take(&mut self.stored);
        let evicted = std::mem::take(&mut self.evicted);
        Some(CacheEvent { incarnation: self.incarnation, sequence: self.sequence, stored, evicted })
    }

    fn fill(&mut self, now: Duration, jobs: &[Job]) {
        while self.running.len() < self.pace.slots {
            let aged = self.batch.front().is_some_and(|first| now > first.since + BATCH_PATIENCE);
            let waiter = if aged { None } else { self.interactive.pop_front() };
            let Some(waiter) = waiter.or_else(|| self.batch.pop_front()) else { break };
            let job = &jobs[waiter.job];
            let total = job.prompt.blocks().len().max(1);
            let cached = self.cache.matched(job.prompt.blocks());
            let share = (total - cached) as f64 / total as f64;
            let unread = ((f64::from(job.prompt.tokens()) * share) as u32).max(1);
            self.missed += u64::from(unread);
            let active = Active { job: waiter.job, unread, reading: 0, unwritten: job.answer };
            self.running.push(active);
        }
    }
}
