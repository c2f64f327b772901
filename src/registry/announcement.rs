use std::{net::SocketAddr, time::Duration};

use super::{State, TargetRecord};
use crate::id;

/// What a target reports about itself at regular intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Identifier of the target.
    pub target: id::Target,
    /// Start time of the target in Unix milliseconds, by its own clock. A restart gives the same
    /// target a higher incarnation.
    pub incarnation: u64,
    /// Number of the announcement; increases within an incarnation.
    pub sequence: u64,
    /// Service that the target runs.
    pub service: id::Service,
    /// Address at which the target accepts connections.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: id::Zone,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target accepts no new requests and finishes those that it has.
    pub leaving: bool,
    /// Remaining time during which the target is slow after its start.
    pub cold_remaining: Duration,
    /// Version of the software that the target runs; it does not change within an incarnation.
    pub software_version: id::SoftwareVersion,
}

impl Announcement {
    /// The announcement as a record. `changed_index` is 0 until the state machine stores it.
    pub fn record(&self) -> TargetRecord {
        let state = if self.leaving { State::Leaving } else { State::Ready };
        TargetRecord {
            target: self.target.to_string(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            service: self.service.to_string(),
            address: self.address.to_string(),
            zone: self.zone.to_string(),
            slots: self.slots,
            state: state.into(),
            cold_remaining_ms: u64::try_from(self.cold_remaining.as_millis()).unwrap_or(u64::MAX),
            changed_index: 0,
            software_version: self.software_version.to_string(),
        }
    }
}
