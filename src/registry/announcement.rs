use std::{net::SocketAddr, time::Duration};

use super::{AnnouncementError, State, TargetRecord};
use crate::{http::is_connectable, id};

/// Maximum length of each name in an announcement.
const MAX_NAME_BYTES: usize = 256;
/// Well above the batch of any engine.
const MAX_SLOTS: u32 = 1 << 16;
/// The last millisecond of the year 9999. The wall clocks of VMs jump, so that a start is not
/// compared with them.
const MAX_INCARNATION: u64 = 253_402_300_799_999;
/// The largest number that every JSON library writes exactly.
const MAX_SEQUENCE: u64 = 1 << 53;
/// Well above the time that any target needs after its start.
const MAX_COLD_TIME: Duration = Duration::from_secs(24 * 60 * 60);

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
    /// Checks that the announcement names a target that VMs can use.
    ///
    /// # Errors
    ///
    /// Names the first field with a value that no target has.
    pub fn check(&self) -> Result<(), AnnouncementError> {
        let names = [
            ("target", self.target.as_str()),
            ("service", self.service.as_str()),
            ("zone", self.zone.as_str()),
            ("software version", self.software_version.as_str()),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(char::is_control) {
                return Err(AnnouncementError::Name(field, MAX_NAME_BYTES));
            }
        }
        if !is_connectable(self.address) {
            return Err(AnnouncementError::Address(self.address));
        }
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(AnnouncementError::Slots(self.slots, MAX_SLOTS));
        }
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let numbers = [
            ("start time", self.incarnation, MAX_INCARNATION),
            ("sequence number", self.sequence, MAX_SEQUENCE),
            ("cold time in milliseconds", millis(self.cold_remaining), millis(MAX_COLD_TIME)),
        ];
        match numbers.into_iter().find(|(_, number, limit)| number > limit) {
            Some((field, number, limit)) => Err(AnnouncementError::TooLarge(field, number, limit)),
            None => Ok(()),
        }
    }

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
            replaced_by: String::new(),
            withdrawn_by_ms: 0,
        }
    }
}
