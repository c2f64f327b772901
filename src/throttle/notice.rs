use prost::Message;

/// What one VM of a region tells the others of a target's limit.
#[derive(Clone, PartialEq, Message)]
pub struct Notice {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The requests a second that it takes from all VMs together; none if it has no limit any more.
    #[prost(double, optional, tag = "3")]
    pub limit_per_sec: Option<f64>,
    /// Milliseconds since it said so.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// The hash of the name of the VM whose turn it was when the target said so; 0 for the first.
    #[prost(fixed64, tag = "5")]
    pub turn_holder: u64,
}

/// What one VM of a region tells the others of the pause that a target asked it for. The others, which
/// were not asked, use other targets where there are some.
#[derive(Clone, PartialEq, Message)]
pub struct PauseNotice {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Milliseconds to the end of the pause.
    #[prost(uint64, tag = "3")]
    pub left_ms: u64,
}
