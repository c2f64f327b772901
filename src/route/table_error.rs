use std::fmt;

use crate::{id, organisation::SetError};

/// Why a route table is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The configuration cannot be parsed, or a value is out of range.
    Unreadable(String),
    /// The named route refers to a service that the table does not define.
    UnknownService(String, id::Service),
    /// The two named routes have the same host and path prefix.
    DuplicatePrefix(String, String),
    /// The weights of the named route's services add up to 0.
    ZeroWeight(String),
    /// The timeout of the named route is 0.
    ZeroTimeout(String),
    /// The organisations cannot be used.
    Organisations(SetError),
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
            Self::Organisations(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for TableError {}

impl From<SetError> for TableError {
    fn from(error: SetError) -> Self {
        Self::Organisations(error)
    }
}
