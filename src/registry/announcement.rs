use std::{net::SocketAddr, time::Duration};

use super::{State, TargetRecord};
use crate::id;

/// What a target says of itself to a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Its identifier.
    pub target: id::Target,
    /// When its lifetime began, in Unix milliseconds.
    pub incarnation: u64,
    /// Grows with each announcement of a lifetime.
    pub sequence: u64,
    /// Its service.
    pub service: id::Service,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no more work.
    pub leaving: bool,
    /// How much longer it is cold.
    pub cold_remaining: Duration,
}

impl Announcement {
    /// The row that says the same.
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
        }
    }
}
