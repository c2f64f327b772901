use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Load, Offer};
use crate::id;

/// What a target says of itself, at first and at each renewal.
///
/// ```
/// use pomelogate::target::{Announcement, Offer};
///
/// let announcement = Announcement {
///     target: "jobs-1".into(),
///     region: "jakarta".into(),
///     offers: vec![Offer::Service { service: "jobs".into() }],
///     ..Announcement::default()
/// };
/// assert_eq!(announcement.incarnation, 1);
/// ```
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

impl Default for Announcement {
    /// The first announcement of a target without a name, place, address or offer.
    fn default() -> Self {
        Self {
            target: id::Target::from(""),
            incarnation: 1,
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            region: id::Region::from(""),
            zone: id::Zone::from(""),
            offers: Vec::new(),
            fenced: false,
            models: 0,
            load: Load::default(),
        }
    }
}

impl Announcement {
    /// Whether `later` says nothing new but load, the size of the batch apart.
    pub(super) fn is_renewed_by(&self, later: &Self) -> bool {
        let load = Load { slots: later.load.slots, ..self.load };
        let slots = self.load.slots == later.load.slots;
        slots && *self == Self { load, ..later.clone() }
    }
}
