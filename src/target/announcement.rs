use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Load, Offer};
use crate::id;

/// What a target says of itself, at first and at each renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The target.
    pub target: id::Target,
    /// Grows at each start of the target's process, so that a restart is told from a renewal.
    pub incarnation: u64,
    /// Where the target takes requests.
    pub address: SocketAddr,
    /// The target's region.
    pub region: id::Region,
    /// The target's availability zone.
    pub zone: id::Zone,
    /// What the target serves.
    pub offers: Vec<Offer>,
    /// Whether the target refuses orders that carry an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// How many models the target can hold at once; zero where it takes no orders.
    #[serde(default)]
    pub models: u32,
    /// The target's load when it wrote the announcement.
    #[serde(default)]
    pub load: Load,
}
