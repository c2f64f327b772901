use std::{fmt, io, net::SocketAddr};

/// The error that failed an exchange.
#[derive(Debug)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    Unreachable(SocketAddr, io::Error),
    /// The connection ended while the exchange was open.
    Closed,
    /// The other VM cancelled the exchange and reads no more of it.
    Cancelled,
    /// Nothing was received on the connection during the silence timeout.
    Silent,
    /// No reply was received in time.
    Timeout,
    /// The other VM sent a frame that the protocol does not allow.
    Protocol(&'static str),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(address, cause) => {
                write!(f, "cannot reach {address}: {cause}; check that pomelogated runs there")
            }
            Self::Closed => f.write_str("the link closed; ask the other VM what became of it"),
            Self::Cancelled => f.write_str("the other VM cancelled the exchange; ask it why"),
            Self::Silent => f.write_str("the link went silent; check the network between the VMs"),
            Self::Timeout => f.write_str("no reply in time; check the load of the other VM"),
            Self::Protocol(what) => {
                write!(f, "unexpected frame ({what}); run the same version on both VMs")
            }
        }
    }
}

impl std::error::Error for Error {}
