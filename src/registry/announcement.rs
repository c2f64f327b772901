use std::{net::SocketAddr, time::Duration};

use super::{Row, State};
use crate::id;

/// What a target says of itself to a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Its identifier.
    pub target: id::Target,
    /// When its lifetime began, in Unix milliseconds.
    pub born: u64,
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
    pub cold: Duration,
}

impl Announcement {
    /// The row that says the same.
    pub fn row(&self) -> Row {
        let state = if self.leaving { State::Leaving } else { State::Ready };
        Row {
            target: self.target.to_string(),
            born: self.born,
            sequence: self.sequence,
            service: self.service.to_string(),
            address: self.address.to_string(),
            zone: self.zone.to_string(),
            slots: self.slots,
            state: state.into(),
            cold_ms: u64::try_from(self.cold.as_millis()).unwrap_or(u64::MAX),
            changed: 0,
        }
    }
}
