use prost::Message;

/// A VM's question to the leader of the replicas for units that it may spend.
#[derive(Clone, PartialEq, Message)]
pub struct GrantRequest {
    /// What the VM needs, by organisation.
    #[prost(message, repeated, tag = "1")]
    pub needs: Vec<Need>,
}

/// What a VM needs for the requests of one organisation.
#[derive(Clone, PartialEq, Message)]
pub struct Need {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The units of each request that waits.
    #[prost(uint64, repeated, tag = "2")]
    pub waiting: Vec<u64>,
    /// The units that the VM expects to need soon.
    #[prost(uint64, tag = "3")]
    pub ahead: u64,
    /// Units of earlier grants that the VM gives back and will not spend.
    #[prost(uint64, tag = "4")]
    pub returned: u64,
    /// Units of earlier grants that have not ended, which the VM has spent.
    #[prost(uint64, tag = "5")]
    pub spent: u64,
}

/// A replica's answer to a [`GrantRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct GrantReply {
    /// Whether the replica leads, so that `grants` holds.
    #[prost(bool, tag = "1")]
    pub leads: bool,
    /// The VM that leads as far as the replica knows; empty if it knows none.
    #[prost(string, tag = "2")]
    pub leader: String,
    /// One entry for each need, in the same order.
    #[prost(message, repeated, tag = "3")]
    pub grants: Vec<Grant>,
}

/// What a VM may spend for one organisation.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Grant {
    /// The units. They cover the waiting requests from the first one on, and then what is asked ahead.
    #[prost(uint64, tag = "1")]
    pub units: u64,
    /// Whether the organisation has no quota.
    #[prost(bool, tag = "2")]
    pub is_unlimited: bool,
    /// Milliseconds until the first request that the units do not cover can be granted.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
}
