use prost::Message;

use crate::settings::Peer;

/// The members that one VM reports to another.
#[derive(Clone, PartialEq, Message)]
pub struct MembershipReport {
    /// The members; the first is the sender.
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
    /// The address for callers.
    #[prost(string, tag = "4")]
    pub callers_address: String,
    /// The address for links.
    #[prost(string, tag = "5")]
    pub links_address: String,
    /// The incarnation of its process.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// The number of its heartbeats.
    #[prost(uint64, tag = "7")]
    pub heartbeat_count: u64,
    /// The requests in flight at the VM.
    #[prost(uint32, tag = "8")]
    pub in_flight: u32,
    /// Whether it announced that it stops.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
}

impl Member {
    /// Clears the region, the zone and the addresses, which a receiver that knows the VM does not need.
    pub(super) fn omit_peer(&mut self) {
        self.region.clear();
        self.zone.clear();
        self.callers_address.clear();
        self.links_address.clear();
    }

    /// Whether [`Self::omit_peer`] was applied.
    pub(super) fn omits_peer(&self) -> bool {
        self.links_address.is_empty()
    }

    /// The VM with its addresses; `None` if an address is malformed or cannot be connected to.
    pub fn peer(&self) -> Option<Peer> {
        let address = |text: &str| {
            let address: std::net::SocketAddr = text.parse().ok()?;
            (!address.ip().is_unspecified() && address.port() != 0).then_some(address)
        };
        Some(Peer {
            vm: self.vm.as_str().into(),
            region: self.region.as_str().into(),
            zone: self.zone.as_str().into(),
            callers: address(&self.callers_address)?,
            links: address(&self.links_address)?,
        })
    }
}
