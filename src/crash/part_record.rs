use prost::Message;

/// What a VM or a replica knows of the parts of prompts and the deaths of targets.
#[derive(Clone, PartialEq, Message)]
pub struct PartRecordSet {
    /// The deaths, one for each incarnation of a target.
    #[prost(message, repeated, tag = "1")]
    pub deaths: Vec<PartDeath>,
    /// The parts among them that requests have finished with.
    #[prost(message, repeated, tag = "2")]
    pub finished: Vec<FinishedPart>,
}

/// The death of one incarnation of a target, with the shared parts of the prompts in flight there.
#[derive(Clone, PartialEq, Message)]
pub struct PartDeath {
    /// The target's ID.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation that died.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Milliseconds since the death.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The keys of the parts.
    #[prost(fixed64, repeated, tag = "4")]
    pub parts: Vec<u64>,
}

/// When a request with a part last finished.
#[derive(Clone, PartialEq, Message)]
pub struct FinishedPart {
    /// The key of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Milliseconds since then.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Parts that crash targets. A request whose prompt has all of them is refused.
#[derive(Clone, PartialEq, Message)]
pub struct BlockedParts {
    /// The keys: one, or several if all deaths so far are of all of them.
    #[prost(fixed64, repeated, tag = "1")]
    pub parts: Vec<u64>,
    /// How much longer such requests are refused, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub remaining_ms: u64,
}
