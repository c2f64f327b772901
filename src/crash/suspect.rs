use std::{collections::BTreeMap, time::Instant};

use crate::id;

/// One death: the target and the incarnation that died.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Site {
    pub(super) target: id::Target,
    pub(super) incarnation: u64,
}

/// How long a death counts, and whether the request was found innocent of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Mark {
    pub(super) until: Instant,
    pub(super) cleared: bool,
}

/// The deaths at which one request was in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    deaths: BTreeMap<Site, Mark>,
}

impl Suspect {
    /// Adds a death, or joins what is known of it: the later end, and cleared where either is.
    pub(super) fn add(&mut self, site: Site, mark: Mark) {
        let known = self.deaths.entry(site).or_insert(mark);
        known.until = known.until.max(mark.until);
        known.cleared |= mark.cleared;
    }

    /// Deaths that still count against the request.
    pub(super) fn count(&self, now: Instant) -> usize {
        self.deaths.values().filter(|mark| !mark.cleared && mark.until > now).count()
    }

    /// The end of the time for which the request stands under suspicion.
    pub(super) fn until(&self) -> Option<Instant> {
        self.deaths.values().filter(|mark| !mark.cleared).map(|mark| mark.until).max()
    }

    /// The request finished: it caused none of the deaths so far.
    pub(super) fn clear(&mut self) {
        self.deaths.values_mut().for_each(|mark| mark.cleared = true);
    }

    /// Forgets deaths whose time has passed.
    pub(super) fn sweep(&mut self, now: Instant) {
        self.deaths.retain(|_, mark| mark.until > now);
    }

    pub(super) fn deaths(&self) -> impl Iterator<Item = (&Site, &Mark)> {
        self.deaths.iter()
    }
}
