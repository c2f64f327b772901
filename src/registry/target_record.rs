use prost::{Enumeration, Message};

/// What a target does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum State {
    /// It takes work.
    Ready = 0,
    /// It ends the work that it has and takes no more.
    Leaving = 1,
    /// It is gone, or another lifetime took its place.
    Gone = 2,
}

/// One target as the replicas agreed on it.
#[derive(Clone, PartialEq, Message)]
pub struct TargetRecord {
    /// Its identifier, which may outlive a lifetime.
    #[prost(string, tag = "1")]
    pub target: String,
    /// When this lifetime began, in Unix milliseconds by the target's clock.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the announcement that last changed the row.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The service.
    #[prost(string, tag = "4")]
    pub service: String,
    /// Where it takes connections: an IP number and a port.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "6")]
    pub zone: String,
    /// The requests that it works on at once.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// What it does.
    #[prost(enumeration = "State", tag = "8")]
    pub state: i32,
    /// Milliseconds for which it was still cold when it announced so.
    #[prost(uint64, tag = "9")]
    pub cold_remaining_ms: u64,
    /// The index of the log at which the row last changed.
    #[prost(uint64, tag = "10")]
    pub changed_index: u64,
}
