use crate::list::Kind;

/// A versioned list in the state of the replica group `lists`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Subject {
    /// The customers' plans.
    Plans = 0,
    /// What each plan may use.
    Allowances = 1,
    /// The planned stops.
    Stops = 2,
}

impl Subject {
    /// Every subject.
    pub const ALL: [Self; 3] = [Self::Plans, Self::Allowances, Self::Stops];
}

impl From<Kind> for Subject {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Plans => Self::Plans,
            Kind::Allowances => Self::Allowances,
        }
    }
}
