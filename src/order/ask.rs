/// A VM's question whether it may give orders in its region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// The region.
    #[prost(string, tag = "1")]
    pub region: String,
    /// The incarnation of the VM's process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// The answer to an [`Ask`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// The fencing number; zero where the VM may give no orders.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Milliseconds for which it may, counted from before it asked.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
    /// The VM to ask, where the one that answers does not lead.
    #[prost(string, tag = "3")]
    pub leader: String,
}
