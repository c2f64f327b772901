use prost::Message;

use crate::settings::Peer;

/// What one VM tells another of the members it knows.
#[derive(Clone, PartialEq, Message)]
pub struct MembershipReport {
    /// The members; the sender is the first.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

/// One member in a [`MembershipReport`].
#[derive(Clone, PartialEq, Message)]
pub struct Member {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Where it takes callers.
    #[prost(string, tag = "4")]
    pub callers: String,
    /// Where it takes links.
    #[prost(string, tag = "5")]
    pub links: String,
    /// The incarnation of its process.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// The number of its latest heartbeat.
    #[prost(uint64, tag = "7")]
    pub beat: u64,
    /// Requests in flight at it.
    #[prost(uint32, tag = "8")]
    pub load: u32,
    /// Whether it has announced that it stops.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
}

impl Member {
    /// Leaves out what a receiver that knows the VM needs no more.
    pub(super) fn shorten(&mut self) {
        self.region.clear();
        self.zone.clear();
        self.callers.clear();
        self.links.clear();
    }

    /// Whether only a receiver that knows the VM can use it.
    pub(super) fn is_short(&self) -> bool {
        self.links.is_empty()
    }

    /// The VM as others reach it; nothing where an address cannot be read or connected to.
    pub fn peer(&self) -> Option<Peer> {
        let address = |text: &str| {
            let address: std::net::SocketAddr = text.parse().ok()?;
            (!address.ip().is_unspecified() && address.port() != 0).then_some(address)
        };
        Some(Peer {
            vm: self.vm.as_str().into(),
            region: self.region.as_str().into(),
            zone: self.zone.as_str().into(),
            callers: address(&self.callers)?,
            links: address(&self.links)?,
        })
    }
}
