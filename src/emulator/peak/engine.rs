use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// How an engine works.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pace {
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds more for each request in the batch.
    pub slot_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// The most prompt tokens read in one step.
    pub chunk: u32,
    /// Tokens that its memory holds, of running requests and of kept parts.
    pub memory: u32,
    /// Seconds after which its word of its load is known.
    pub report_lag: f64,
}

/// A request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Its number.
    pub number: usize,
    /// The key of the part that it shares with others.
    pub subject: u64,
    /// Tokens of that part.
    pub shared: u32,
    /// Tokens of its own.
    pub own: u32,
    /// Tokens to write.
    pub output: u32,
}

/// What a step brought to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Its first token.
    First(usize),
    /// Its last token.
    Last(usize),
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    unread: u32,
    unwritten: u32,
}

/// An engine that works on a batch in steps, reads prompts in chunks between the tokens of its
/// streams, and keeps shared parts until memory is needed, least recently used first.
#[derive(Debug)]
pub struct Engine {
    pace: Pace,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    /// Kept parts: their tokens and when they were last used.
    kept: BTreeMap<u64, (u32, u64)>,
    uses: u64,
    /// Shared tokens that were read, whether or not read before.
    pub read: u64,
}

impl Engine {
    /// An idle engine that keeps nothing.
    pub fn new(pace: Pace) -> Self {
        let (running, waiting, kept) = (Vec::new(), VecDeque::new(), BTreeMap::new());
        Self { pace, running, waiting, kept, uses: 0, read: 0 }
    }

    /// Takes a request; false where its queue is full.
    pub fn take(&mut self, job: Job) -> bool {
        let room = self.waiting.len() < self.pace.queue;
        if room {
            self.waiting.push_back(job);
        }
        room
    }

    /// Copies a kept part from another engine.
    pub fn copy(&mut self, subject: u64, tokens: u32) {
        self.keep(subject, tokens);
    }

    /// Whether it keeps a part.
    pub fn keeps(&self, subject: u64) -> bool {
        self.kept.contains_key(&subject)
    }

    /// Requests that it works on, and requests that wait.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Gives a request up.
    pub fn cancel(&mut self, number: usize) {
        self.waiting.retain(|job| job.number != number);
        self.running.retain(|running| running.job.number != number);
    }

    /// One step: how many milliseconds it takes, and what it brings at its end; nothing where
    /// there is no work.
    pub fn step(&mut self) -> Option<(f64, Vec<Progress>)> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let pace = self.pace;
        let mut took = pace.step_ms + pace.slot_ms * self.running.len() as f64;
        let mut progress = Vec::new();
        let mut room = pace.chunk;
        for running in &mut self.running {
            if running.unread > 0 {
                let part = running.unread.min(room);
                room -= part;
                running.unread -= part;
                took += f64::from(part) / pace.read_per_ms;
                if running.unread > 0 {
                    continue;
                }
                progress.push(Progress::First(running.job.number));
            }
            running.unwritten = running.unwritten.saturating_sub(1);
            if running.unwritten == 0 {
                progress.push(Progress::Last(running.job.number));
            }
        }
        let done: Vec<Running> =
            self.running.iter().filter(|running| running.unwritten == 0).copied().collect();
        self.running.retain(|running| running.unwritten > 0);
        done.iter().for_each(|done| self.keep(done.job.subject, done.job.shared));
        Some((took, progress))
    }

    fn admit(&mut self) {
        while self.running.len() < self.pace.slots {
            let Some(job) = self.waiting.front().copied() else { return };
            let need = job.shared + job.own + job.output;
            if !self.make_room(need, job.subject) && !self.running.is_empty() {
                return;
            }
            self.waiting.pop_front();
            let kept = self.kept.contains_key(&job.subject);
            if !kept {
                self.read += u64::from(job.shared);
            }
            self.keep(job.subject, job.shared);
            let unread = job.own + if kept { 0 } else { job.shared };
            self.running.push(Running { job, unread: unread.max(1), unwritten: job.output.max(1) });
        }
    }

    fn keep(&mut self, subject: u64, tokens: u32) {
        self.uses += 1;
        self.kept.insert(subject, (tokens, self.uses));
    }

    /// Forgets kept parts until `need` more tokens fit.
    fn make_room(&mut self, need: u32, subject: u64) -> bool {
        let used = |engine: &Self| -> u32 {
            let running = engine.running.iter().map(|running| running.job.own + running.job.output);
            running.sum::<u32>() + engine.kept.values().map(|(tokens, _)| tokens).sum::<u32>()
        };
        while used(self) + need > self.pace.memory {
            let others = self.kept.iter().filter(|(key, _)| **key != subject);
            let oldest = others.min_by_key(|(_, (_, used))| *used).map(|(key, _)| *key);
            let Some(oldest) = oldest else { return false };
            self.kept.remove(&oldest);
        }
        true
    }
}
