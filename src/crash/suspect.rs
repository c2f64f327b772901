use std::{collections::BTreeMap, time::Instant};

use crate::id;

/// Identifies a death: the target and the incarnation of its process that died.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeathId {
    pub(super) target: id::Target,
    pub(super) incarnation: u64,
}

/// Whether a death counts against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DeathState {
    pub(super) expires_at: Instant,
    /// Whether the request has finished since, and so did not cause the death.
    pub(super) cleared: bool,
}

/// A request that was in flight when targets died.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    deaths: BTreeMap<DeathId, DeathState>,
}

impl Suspect {
    /// Adds a death, or merges it with the known state: the later expiry, and cleared if either is.
    pub(super) fn add(&mut self, id: DeathId, state: DeathState) {
        let known = self.deaths.entry(id).or_insert(state);
        known.expires_at = known.expires_at.max(state.expires_at);
        known.cleared |= state.cleared;
    }

    /// The number of deaths that count against the request.
    pub(super) fn death_count(&self, now: Instant) -> usize {
        self.deaths.values().filter(|death| !death.cleared && death.expires_at > now).count()
    }

    /// When the last death that isn't cleared expires.
    pub(super) fn expires_at(&self) -> Option<Instant> {
        self.deaths.values().filter(|death| !death.cleared).map(|death| death.expires_at).max()
    }

    /// Clears all deaths, since the request finished.
    pub(super) fn clear(&mut self) {
        self.deaths.values_mut().for_each(|death| death.cleared = true);
    }

    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.deaths.retain(|_, death| death.expires_at > now);
    }

    pub(super) fn deaths(&self) -> impl Iterator<Item = (&DeathId, &DeathState)> {
        self.deaths.iter()
    }
}
