use std::fmt;

use crate::id;

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To a target of this region.
    Target(id::Target),
    /// To a VM of another region, which chooses its own target.
    Region(id::Region),
    /// NoTarget: no permitted place is known that can take it.
    None,
}

/// Why a request goes there, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A baseline rule chose.
    Baseline,
    /// The target is likely to hold the start of the prompt in its cache.
    Affinity,
    /// The target costs least of those compared.
    Cost,
    /// Waiting here costs more than the way to another region and a cold cache.
    Spill,
    /// No target of this region can take the request.
    NoLocalTarget,
    /// No permitted region has a target that can take the request.
    NoTarget,
}

/// A choice with its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Where the request goes.
    pub choice: Choice,
    /// Why.
    pub cause: Cause,
}

impl Cause {
    /// The cause as text.
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
