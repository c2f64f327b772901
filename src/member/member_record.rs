use std::time::Instant;

use super::{Member, Settings, State};
use crate::settings::Peer;

/// What a VM knows about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The VM, its region and zone, and its addresses.
    pub peer: Peer,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The number of its heartbeats.
    pub heartbeat_count: u64,
    /// The requests in flight at the VM.
    pub in_flight: u32,
    /// Whether it announced that it stops.
    pub leaving: bool,
    /// When a new heartbeat was last received, from it or through another VM.
    pub last_heartbeat_at: Instant,
}

impl MemberRecord {
    /// Creates the record of a member from the settings, before any heartbeat.
    pub(super) fn new(peer: Peer, now: Instant) -> Self {
        Self {
            peer,
            incarnation: 0,
            heartbeat_count: 0,
            in_flight: 0,
            leaving: false,
            last_heartbeat_at: now,
        }
    }

    /// The state of the member at `now`, as observed from the same or another region.
    pub(super) fn state(&self, settings: &Settings, same_region: bool, now: Instant) -> State {
        let factor = if same_region { 1 } else { settings.other_region_timeout_factor };
        let age = now.saturating_duration_since(self.last_heartbeat_at);
        if age >= settings.gone_timeout * factor {
            State::Gone
        } else if self.leaving {
            State::Leaving
        } else if age >= settings.suspect_timeout * factor {
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
            callers_address: self.peer.callers.to_string(),
            links_address: self.peer.links.to_string(),
            incarnation: self.incarnation,
            heartbeat_count: self.heartbeat_count,
            in_flight: self.in_flight,
            leaving: self.leaving,
        }
    }
}
