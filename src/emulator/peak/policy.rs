use std::fmt;

/// How requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Engines of the region in turn.
    RoundRobin,
    /// The engine of the region whose last report was the least load.
    LeastLoad,
    /// What the product does.
    Gateway,
}

impl Policy {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::RoundRobin, Self::LeastLoad, Self::Gateway];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoad => "least load",
            Self::Gateway => "gateway",
        })
    }
}
