use std::{fmt, net::SocketAddr};

/// Why an announcement names no target that VMs can use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnouncementError {
    /// The named field is empty, longer than this many bytes, or holds control characters.
    Name(&'static str, usize),
    /// No request can be sent to the address.
    Address(SocketAddr),
    /// The number of slots is 0 or above the limit, in this order: number, limit.
    Slots(u32, u32),
    /// The named number is above the limit, in this order: name, number, limit.
    TooLarge(&'static str, u64, u64),
}

impl fmt::Display for AnnouncementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(field, limit) => {
                write!(f, "the {field} is no name; use 1 to {limit} bytes of printable text")
            }
            Self::Address(address) => {
                write!(f, "no request can be sent to {address}; give the target's own IP and port")
            }
            Self::Slots(slots, limit) => {
                write!(f, "{slots} slots; a target has 1 to {limit}")
            }
            Self::TooLarge(field, number, limit) => {
                write!(f, "the {field} {number} is above {limit}")
            }
        }
    }
}

impl std::error::Error for AnnouncementError {}
