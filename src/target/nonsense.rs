use std::fmt;

use crate::id;

/// Why an announcement is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Nonsense {
    /// It offers nothing.
    NoOffers,
    /// It makes more offers, or names more adapters in one, than this many.
    TooMany(usize),
    /// A name is empty or longer than this many bytes.
    Name(usize),
    /// No request can be sent to its address.
    Address(std::net::SocketAddr),
    /// It was sent to a VM of this region, which is not the target's.
    Region(id::Region),
}

impl fmt::Display for Nonsense {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoOffers => f.write_str("the target offers nothing; name what it serves"),
            Self::TooMany(limit) => {
                write!(f, "more than {limit} offers or adapters; announce several targets")
            }
            Self::Name(limit) => {
                write!(f, "a name is empty or long; use names of 1 to {limit} bytes")
            }
            Self::Address(address) => {
                write!(f, "no request can be sent to {address}; give the target's own IP and port")
            }
            Self::Region(region) => {
                write!(
                    f,
                    "this VM is in region `{region}`; announce to a VM of the target's region"
                )
            }
        }
    }
}

impl std::error::Error for Nonsense {}
