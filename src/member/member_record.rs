use std::time::Instant;

use super::{Member, Settings, State};
use crate::settings::Peer;

/// What a VM knows of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The VM as others reach it.
    pub peer: Peer,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The number of its latest heartbeat.
    pub beat: u64,
    /// Requests in flight at it.
    pub load: u32,
    /// Whether it has announced that it stops.
    pub leaving: bool,
    /// When a newer heartbeat last became known.
    pub heard: Instant,
}

impl MemberRecord {
    /// A member known from settings, of which nothing was heard yet.
    pub(super) fn new(peer: Peer, now: Instant) -> Self {
        Self { peer, incarnation: 0, beat: 0, load: 0, leaving: false, heard: now }
    }

    /// The state of the member at `now`, as a VM sees it that is in the same region or not.
    pub(super) fn state(&self, settings: &Settings, near: bool, now: Instant) -> State {
        let factor = if near { 1 } else { settings.elsewhere_factor };
        let age = now.saturating_duration_since(self.heard);
        if age >= settings.eviction * factor {
            State::Gone
        } else if self.leaving {
            State::Leaving
        } else if age >= settings.suspicion * factor {
            State::Suspect
        } else {
            State::Alive
        }
    }

    pub(super) fn encode(&self) -> Member {
        Member {
            vm: self.peer.vm.to_string(),
            region: self.peer.region.to_string(),
            zone: self.peer.zone.to_string(),
            callers: self.peer.callers.to_string(),
            links: self.peer.links.to_string(),
            incarnation: self.incarnation,
            beat: self.beat,
            load: self.load,
            leaving: self.leaving,
        }
    }
}
