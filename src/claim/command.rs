use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prost::{Message, Oneof, bytes::Bytes};
use sha2::{Digest, Sha256};

use super::StoredResponse;

/// The words by which an operator accepts that calls may run twice.
pub const RISK_ACCEPTED: &str = "calls made before may run a second time";

/// A command to the machine, as the group's log holds it.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The proposer's wall time, in milliseconds since 1970; the machine makes it monotonic.
    #[prost(uint64, tag = "1")]
    pub now_ms: u64,
    /// What is to be done.
    #[prost(oneof = "Operation", tags = "2, 3, 4, 5, 6, 7")]
    pub operation: Option<Operation>,
}

/// What a command asks for.
#[derive(Clone, PartialEq, Oneof)]
pub enum Operation {
    /// Asks whether a call may run.
    #[prost(message, tag = "2")]
    Claim(Claim),
    /// Stores the answer of a call that ran.
    #[prost(message, tag = "3")]
    RecordOutcome(RecordOutcome),
    /// Gives back the claim of a call that was not dispatched.
    #[prost(message, tag = "4")]
    Release(Release),
    /// Says that a runner is gone, or that its call's outcome can't be learnt.
    #[prost(message, tag = "5")]
    MarkOutcomesUnknown(MarkOutcomesUnknown),
    /// An operator accepts the risk of a lost disk.
    #[prost(message, tag = "6")]
    AcceptRisk(AcceptRisk),
    /// The records were rebuilt from another replica, or the home is new.
    #[prost(message, tag = "7")]
    MarkComplete(MarkComplete),
}

/// Asks whether a call may run.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// The digest of method, path and body: [`request_digest`].
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: Bytes,
    /// The request that is to run the call, the same when the claim itself is sent again.
    #[prost(string, tag = "4")]
    pub request: String,
    /// The VM that is to run the call.
    #[prost(string, tag = "5")]
    pub vm: String,
    /// The incarnation of its process.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// When the call was first made, by the caller's word; zero where the caller didn't say.
    #[prost(uint64, tag = "7")]
    pub created_ms: u64,
    /// When the call's outcome is given up, in milliseconds since 1970.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
}

/// Stores the answer of a call that ran.
#[derive(Clone, PartialEq, Message)]
pub struct RecordOutcome {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// The request that ran the call.
    #[prost(string, tag = "3")]
    pub request: String,
    /// The answer; none where the outcome is unknown.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<StoredResponse>,
}

/// Gives back the claim of a call of which no byte was written to a target.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// The request that held the claim and will not run the call any more.
    #[prost(string, tag = "3")]
    pub request: String,
}

/// Makes the running calls of a VM's former processes unknown, and those past their deadline.
#[derive(Clone, PartialEq, Message)]
pub struct MarkOutcomesUnknown {
    /// The VM; empty to look at deadlines alone.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its processes below this incarnation are gone.
    #[prost(uint64, tag = "2")]
    pub below_incarnation: u64,
}

/// An operator accepts that calls made before now may run a second time.
#[derive(Clone, PartialEq, Message)]
pub struct AcceptRisk {
    /// [`RISK_ACCEPTED`], word for word.
    #[prost(string, tag = "1")]
    pub confirmation: String,
    /// The operator, for the record.
    #[prost(string, tag = "2")]
    pub operator: String,
}

/// Marks the records complete.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct MarkComplete {
    /// Every claim since then is in the records, in milliseconds since 1970.
    #[prost(uint64, tag = "1")]
    pub complete_since_ms: u64,
}

impl Command {
    /// A command stamped with the proposer's wall time.
    ///
    /// ```
    /// use std::time::{Duration, UNIX_EPOCH};
    ///
    /// use pomelogate::claim::{Command, Operation, MarkComplete};
    ///
    /// let rebuilt = Operation::MarkComplete(MarkComplete { complete_since_ms: 0 });
    /// let command = Command::new(UNIX_EPOCH + Duration::from_secs(1), rebuilt);
    /// assert_eq!(command.now_ms, 1_000);
    /// ```
    pub fn new(now: SystemTime, operation: Operation) -> Self {
        let since = now.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let now_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        Self { now_ms, operation: Some(operation) }
    }
}

/// The digest by which a retry is told from another call under the same key.
///
/// ```
/// use pomelogate::claim::request_digest;
///
/// assert_ne!(request_digest("POST", "/a", b"bc"), request_digest("POST", "/ab", b"c"));
/// ```
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> Bytes {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Bytes::from(hasher.finalize().to_vec())
}

/// When a key was made, in milliseconds since 1970, where the key is a UUID of version 7.
///
/// ```
/// use pomelogate::claim::key_created_ms;
///
/// assert_eq!(key_created_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), Some(1_645_557_742_000));
/// assert_eq!(key_created_ms("booking-7"), None);
/// ```
pub fn key_created_ms(key: &str) -> Option<u64> {
    let hyphens = key.match_indices('-').map(|(at, _)| at).eq([8, 13, 18, 23]);
    let digits: String = key.chars().filter(char::is_ascii_hexdigit).collect();
    let whole = hyphens && key.len() == 36 && digits.len() == 32 && digits.as_bytes()[12] == b'7';
    whole.then(|| u64::from_str_radix(&digits[..12], 16).ok()).flatten()
}
