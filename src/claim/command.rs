use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prost::{Message, Oneof, bytes::Bytes};
use sha2::{Digest, Sha256};

use super::StoredResponse;

/// The text by which an operator confirms that calls may run twice.
pub const RISK_ACCEPTED: &str = "calls made before may run a second time";

/// A command to the state machine, as stored in the group's log.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The proposer's wall time, in milliseconds since 1970. The state machine makes it monotonic.
    #[prost(uint64, tag = "1")]
    pub now_ms: u64,
    /// The operation to perform.
    #[prost(oneof = "Operation", tags = "2, 3, 4, 5, 6, 7")]
    pub operation: Option<Operation>,
}

/// The operations of the state machine.
#[derive(Clone, PartialEq, Oneof)]
pub enum Operation {
    /// Claims the right to run a call.
    #[prost(message, tag = "2")]
    Claim(Claim),
    /// Records the response of a call, or that its outcome is unknown.
    #[prost(message, tag = "3")]
    RecordOutcome(RecordOutcome),
    /// Releases the claim of a call that was not dispatched.
    #[prost(message, tag = "4")]
    Release(Release),
    /// Marks running calls as unknown, because their process ended or their deadline passed.
    #[prost(message, tag = "5")]
    MarkOutcomesUnknown(MarkOutcomesUnknown),
    /// Accepts, by an operator's decision, that calls may run twice after a lost disk.
    #[prost(message, tag = "6")]
    AcceptRisk(AcceptRisk),
    /// Marks the records complete, because the home region is new or its records were restored.
    #[prost(message, tag = "7")]
    MarkComplete(MarkComplete),
}

/// Claims the right to run a call.
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
    /// The request that will run the call; a resend of the claim carries the same one.
    #[prost(string, tag = "4")]
    pub request: String,
    /// The VM that will run the call.
    #[prost(string, tag = "5")]
    pub vm: String,
    /// The incarnation of its process.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// When the caller created the idempotency key, in milliseconds since 1970; zero if unknown.
    #[prost(uint64, tag = "7")]
    pub created_ms: u64,
    /// When a call that still runs is marked as unknown, in milliseconds since 1970; zero for never.
    #[prost(uint64, tag = "8")]
    pub deadline_ms: u64,
}

/// Records the response of a call, or that its outcome is unknown.
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
    /// The response; `None` if the outcome is unknown.
    #[prost(message, optional, tag = "4")]
    pub response: Option<StoredResponse>,
}

/// Releases the claim of a call of which no byte was written to a target.
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

/// Marks the running calls of a VM's ended processes as unknown, and all those past their deadline.
#[derive(Clone, PartialEq, Message)]
pub struct MarkOutcomesUnknown {
    /// The VM; empty to check deadlines only.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its processes with a lower incarnation have ended.
    #[prost(uint64, tag = "2")]
    pub below_incarnation: u64,
}

/// Accepts that calls made before now may run a second time.
#[derive(Clone, PartialEq, Message)]
pub struct AcceptRisk {
    /// The confirmation: [`RISK_ACCEPTED`], word for word.
    #[prost(string, tag = "1")]
    pub confirmation: String,
    /// The name of the operator, kept in the group's log.
    #[prost(string, tag = "2")]
    pub operator: String,
}

/// Marks the records complete.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct MarkComplete {
    /// Time since which every claim is in the records, in milliseconds since 1970.
    #[prost(uint64, tag = "1")]
    pub complete_since_ms: u64,
}

impl Command {
    /// Creates a command with the proposer's wall time.
    ///
    /// ```
    /// use std::time::{Duration, UNIX_EPOCH};
    ///
    /// use pomelogate::claim::{Command, Operation, MarkComplete};
    ///
    /// let mark_complete = Operation::MarkComplete(MarkComplete { complete_since_ms: 0 });
    /// let command = Command::new(UNIX_EPOCH + Duration::from_secs(1), mark_complete);
    /// assert_eq!(command.now_ms, 1_000);
    /// ```
    pub fn new(now: SystemTime, operation: Operation) -> Self {
        let since = now.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let now_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        Self { now_ms, operation: Some(operation) }
    }
}

/// The digest that distinguishes a retry from another call under the same key.
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

/// When a key was created, in milliseconds since 1970; `None` unless the key is a UUID of
/// version 7.
///
/// ```
/// use pomelogate::claim::key_created_ms;
///
/// assert_eq!(key_created_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), Some(1_645_557_742_000));
/// assert_eq!(key_created_ms("booking-7"), None);
/// ```
pub fn key_created_ms(key: &str) -> Option<u64> {
    let has_hyphens = key.match_indices('-').map(|(at, _)| at).eq([8, 13, 18, 23]);
    let digits: String = key.chars().filter(char::is_ascii_hexdigit).collect();
    let is_uuid_v7 =
        has_hyphens && key.len() == 36 && digits.len() == 32 && digits.as_bytes()[12] == b'7';
    is_uuid_v7.then(|| u64::from_str_radix(&digits[..12], 16).ok()).flatten()
}
