use std::fmt;

/// What a name stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// A region.
    Region,
    /// A model.
    Model,
    /// A plain service.
    Service,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Region, Self::Model, Self::Service];

    /// The field of the JSON file that has the names of this kind.
    ///
    /// ```
    /// assert_eq!(pomelogate::name::Kind::Model.field(), "models");
    /// ```
    pub fn field(self) -> &'static str {
        match self {
            Self::Region => "regions",
            Self::Model => "models",
            Self::Service => "services",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Region => "region",
            Self::Model => "model",
            Self::Service => "service",
        })
    }
}
