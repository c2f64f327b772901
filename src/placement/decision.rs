use std::fmt;

use crate::id;

/// The destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A target of this region.
    Target(id::Target),
    /// A VM of another region, which chooses one of its own targets.
    Region(id::Region),
    /// No destination: no target or region that the plan permits can take the request.
    None,
}

/// Why a policy chose a destination, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A baseline algorithm chose the target.
    Baseline,
    /// The target costs least, and probably has the start of the prompt in its cache.
    Affinity,
    /// The target costs least of the compared targets.
    Cost,
    /// Every target of this region costs more than a hand-over to another region, which includes
    /// the network delay and reading the whole prompt.
    Spill,
    /// No target of this region can take the request, but another region can.
    NoLocalTarget,
    /// Neither this region nor another permitted region can take the request.
    NoTarget,
}

/// A destination and the reason for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The destination.
    pub choice: Choice,
    /// The reason for the choice.
    pub cause: Cause,
}

impl Cause {
    /// The cause as it appears in logs.
    ///
    /// ```
    /// assert_eq!(pomelogate::placement::Cause::Spill.as_str(), "spill");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Baseline => "baseline",
            Self::Affinity => "affinity",
            Self::Cost => "cost",
            Self::Spill => "spill",
            Self::NoLocalTarget => "absent",
            Self::NoTarget => "nowhere",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
