use std::fmt;

use crate::id;

/// Why a list of routes is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// It cannot be read in full.
    Unreadable(String),
    /// A route names a service that the list does not hold.
    UnknownService(String, id::Service),
    /// Two routes share a host and a prefix.
    DuplicatePrefix(String, String),
    /// The weights of a route add up to nothing.
    ZeroWeight(String),
    /// The longest wait of a route is zero.
    ZeroTimeout(String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(cause) => {
                write!(f, "the routes cannot be read: {cause}; send them whole")
            }
            Self::UnknownService(route, service) => {
                write!(f, "route `{route}` names the unknown service `{service}`; add the service")
            }
            Self::DuplicatePrefix(one, other) => write!(
                f,
                "routes `{one}` and `{other}` share a host and a prefix; drop one of them"
            ),
            Self::ZeroWeight(route) => {
                write!(f, "the weights of route `{route}` add up to 0; give one of them a weight")
            }
            Self::ZeroTimeout(route) => {
                write!(f, "the longest wait of route `{route}` is 0; allow some milliseconds")
            }
        }
    }
}

impl std::error::Error for TableError {}
