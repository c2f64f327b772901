use std::{collections::HashMap, time::Instant};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Prompt,
    track::{Report, Track},
};
use crate::{id, registry::Target};

/// Targets that are remembered beyond those of the registry.
const MOST_TRACKS: usize = 4096;
/// Seconds that a full batch adds to the time until the first event.
const CROWD: f64 = 0.25;
/// Seconds charged for each request that waits beyond the places of a target.
const QUEUED: f64 = 0.02;
/// Seconds charged for a target that fails all requests, in proportion.
const FAILING: f64 = 1.0;
/// Seconds charged for a target that failed to announce itself.
const SILENT: f64 = 0.5;
/// Seconds drawn at random, so that VMs that know the same do not all choose the same target.
const JITTER: f64 = 0.002;
/// The places of a target that does not tell.
const SLOTS_UNTOLD: f64 = 8.0;

/// A request that looks for a target.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The targets of the service in this region that take work.
    pub targets: &'a [&'a Target],
    /// What it asks to read and write.
    pub prompt: &'a Prompt,
    /// Targets that it must not be sent to again.
    pub tried: &'a [id::Target],
    /// Requests a second that a cold target bears over all VMs; zero where there is no bound.
    pub cold_rate: f64,
    /// The VMs of this region that take callers, this one included.
    pub vms: u32,
}

/// The target chosen, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The target.
    pub target: Target,
    /// Seconds until its first event, as expected.
    pub delay: f64,
    /// How many requests it is believed to hold.
    pub load: f64,
}

/// What one VM knows of targets by the requests that it sent there, and its choice among them.
#[derive(Debug)]
pub struct Board {
    tracks: HashMap<id::Target, Track>,
    random: StdRng,
}

impl Board {
    /// A board that knows nothing yet.
    pub fn new(seed: u64) -> Self {
        Self { tracks: HashMap::new(), random: StdRng::seed_from_u64(seed) }
    }

    /// Chooses a target; nothing where none may get the request now.
    pub fn choose(&mut self, query: Query<'_>, now: Instant) -> Option<Pick> {
        let open: Vec<&Target> = query
            .targets
            .iter()
            .copied()
            .filter(|target| !query.tried.contains(&target.target))
            .collect();
        let home = query.prompt.subject().and_then(|subject| home_of(subject, &open));
        let resting = open.iter().all(|target| self.track(target, now).rests(now));
        let mut best: Option<(f64, Pick)> = None;
        for target in open {
            let keeps = home == Some(&target.target);
            let cold = self.is_cold(target, now);
            if cold && !self.may_warm(target, query, now) {
                continue;
            }
            if !resting && self.track(target, now).rests(now) {
                continue;
            }
            let (delay, load) = self.delay(target, query, keeps, now);
            let cost = delay + self.random.random_range(0.0..JITTER);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, Pick { target: target.clone(), delay, load }));
            }
        }
        best.map(|(_, pick)| pick)
    }

    /// Counts a request that is sent; gives the tokens that the target has to read.
    pub fn sent(&mut self, target: &Target, prompt: &Prompt, now: Instant) -> f64 {
        self.track(target, now).sent(prompt, now)
    }

    /// The first event of a request came.
    pub fn read(&mut self, target: &Target, tokens: f64, now: Instant) {
        self.track(target, now).read(tokens);
    }

    /// A request ended, however.
    pub fn ended(&mut self, target: &Target, now: Instant) {
        self.track(target, now).ended();
    }

    /// A target told its load.
    pub fn reported(&mut self, target: &Target, report: Report, now: Instant) {
        self.track(target, now).reported(report, now);
    }

    /// A target answered, with a failure or not.
    pub fn answered(&mut self, target: &Target, failed: bool, now: Instant) {
        self.track(target, now).answered(failed);
    }

    /// A target was out of reach or broke off.
    pub fn failed(&mut self, target: &Target, now: Instant) {
        self.track(target, now).failed(now);
    }

    /// How busy targets are: places, places taken, waiting requests, and the least delay.
    pub fn load(&mut self, targets: &[&Target], vms: u32, now: Instant) -> (u32, u32, u32, f64) {
        let mut sum = (0, 0, 0, f64::MAX);
        for target in targets {
            let track = self.track(target, now);
            if track.rests(now) {
                continue;
            }
            let load = track.load(f64::from(vms), now);
            sum.0 += target.slots;
            sum.1 += load as u32;
            sum.2 += track.waiting(now);
            sum.3 = sum.3.min(track.backlog(f64::from(vms), now));
        }
        sum
    }

    fn is_cold(&mut self, target: &Target, now: Instant) -> bool {
        target.cold_until > now || self.track(target, now).is_suspect(now)
    }

    /// Whether this VM's share of what a cold target bears allows one more request.
    fn may_warm(&mut self, target: &Target, query: Query<'_>, now: Instant) -> bool {
        if query.cold_rate <= 0.0 {
            return true;
        }
        let share = (query.cold_rate / f64::from(query.vms.max(1))).floor().max(1.0);
        (self.track(target, now).sent_lately(now) as f64) < share
    }

    /// Seconds until the first event, and the requests that the target is believed to hold.
    fn delay(
        &mut self,
        target: &Target,
        query: Query<'_>,
        keeps_shared: bool,
        now: Instant,
    ) -> (f64, f64) {
        let alike = f64::from(query.vms.max(1));
        let track = self.track(target, now);
        let load = track.load(alike, now);
        let slots = if target.slots == 0 { SLOTS_UNTOLD } else { f64::from(target.slots) };
        let mut delay = track.backlog(alike, now) + track.reading(query.prompt, keeps_shared);
        delay += CROWD * (load / slots).min(1.0);
        delay += QUEUED * (load + 1.0 - slots).max(0.0);
        delay += FAILING * track.failing();
        if target.silent {
            delay += SILENT;
        }
        (delay, load)
    }

    fn track(&mut self, target: &Target, now: Instant) -> &mut Track {
        if self.tracks.len() > MOST_TRACKS {
            self.tracks.retain(|_, track| track.outstanding() > 0);
        }
        let track = self
            .tracks
            .entry(target.target.clone())
            .or_insert_with(|| Track::new(target.born, now));
        if track.born < target.born {
            *track = Track::new(target.born, now);
        }
        track
    }
}

/// The target that requests with these shared parts go to first, the same on every VM.
fn home_of<'a>(subject: u64, targets: &[&'a Target]) -> Option<&'a id::Target> {
    let rank = |target: &&&Target| {
        let mut bytes = subject.to_le_bytes().to_vec();
        bytes.extend_from_slice(target.target.as_str().as_bytes());
        xxh3_64(&bytes)
    };
    targets.iter().max_by_key(rank).map(|target| &target.target)
}
