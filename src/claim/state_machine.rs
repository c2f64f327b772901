use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use prost::{Message, bytes::Bytes};

use super::{
    AcceptRisk, Claim, Command, Conflict, Full, MarkOutcomesUnknown, Operation, RISK_ACCEPTED,
    RecordOutcome, RecordsIncomplete, Release, Reply, Run, StillRunning, StoredResponse, TooOld,
    Unknown, Verdict,
    image::Image,
    record::{Record, State},
};
use crate::replica;

/// How long a key is kept after its claim, besides [`MAX_CLOCK_SKEW`].
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum number of keys kept.
pub const MAX_KEYS: usize = 200_000;
/// Maximum size of all records, with room for a response reserved for each running call. A snapshot
/// has a second copy; both must fit into 64 MB beside a VM's other state.
pub const MAX_TOTAL_BYTES: usize = 12 << 20;
/// Maximum size of a stored response; of a larger one only the status is kept.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// How far a caller's clock may be ahead of the VMs' clocks. Keys are kept this much longer than
/// [`RETENTION`].
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5 * 60);

const RETENTION_MS: u64 = RETENTION.as_millis() as u64;
const MAX_CLOCK_SKEW_MS: u64 = MAX_CLOCK_SKEW.as_millis() as u64;
const DIGEST_BYTES: usize = 32;
const MAX_KEY_BYTES: usize = 256;

/// The replicated state machine of the group `claims/<region>`.
///
/// A new state machine refuses all keys until [`MarkComplete`](super::MarkComplete) or
/// [`AcceptRisk`] sets since when its records are complete. Otherwise a home region that lost its
/// disk would treat a used key as new and run the call again.
///
/// ```
/// use pomelogate::{
///     claim::{Claim, Command, StateMachine, Operation, MarkComplete, Reply, Run, Verdict, request_digest},
///     replica::StateMachine as _,
/// };
/// use prost::Message;
///
/// let mut machine = StateMachine::default();
/// let mark_complete = Operation::MarkComplete(MarkComplete { complete_since_ms: 0 });
/// machine.apply(1, &Command { now_ms: 1, operation: Some(mark_complete) }.encode_to_vec());
/// let claim = Claim {
///     customer: "crew".to_owned(),
///     key: "booking-7".to_owned(),
///     digest: request_digest("POST", "/bookings", b"{}"),
///     request: "r-1".to_owned(),
///     ..Claim::default()
/// };
/// let command = Command { now_ms: 2, operation: Some(Operation::Claim(claim)) };
/// let reply = Reply::decode(machine.apply(2, &command.encode_to_vec()))?;
/// assert_eq!(reply.verdict, Some(Verdict::Run(Run {})));
/// # Ok::<(), prost::DecodeError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    records: HashMap<Key, Record>,
    /// The keys with the time of their claim in milliseconds since 1970, oldest first.
    keys_by_age: BTreeSet<(u64, Key)>,
    reserved_bytes: usize,
    now_ms: u64,
    complete_since_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Key {
    customer: String,
    key: String,
}

impl Key {
    fn new(customer: &str, key: &str) -> Self {
        Self { customer: customer.to_owned(), key: key.to_owned() }
    }
}

impl StateMachine {
    /// The number of keys kept.
    pub fn key_count(&self) -> usize {
        self.records.len()
    }

    /// The size of all records, with the room reserved for responses.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Since when the records are complete, in milliseconds since 1970; `None` after a lost disk.
    pub fn complete_since_ms(&self) -> Option<u64> {
        self.complete_since_ms
    }

    /// The VMs with running calls, each with the incarnation of its process, to be checked against
    /// membership.
    pub fn running_incarnations(&self) -> BTreeSet<(&str, u64)> {
        let running = self.records.values().filter(|record| record.is_running());
        running.map(|record| (record.vm.as_str(), record.incarnation)).collect()
    }

    fn decide(&mut self, command: &[u8]) -> Verdict {
        let Ok(Command { now_ms, operation: Some(operation) }) = Command::decode(command) else {
            return Verdict::rejected("the command cannot be read; upgrade the replicas first");
        };
        self.now_ms = self.now_ms.max(now_ms);
        self.remove_expired();
        match operation {
            Operation::Claim(claim) => self.decide_claim(claim),
            Operation::RecordOutcome(outcome) => self.record_outcome(outcome),
            Operation::Release(release) => self.release(&release),
            Operation::MarkOutcomesUnknown(command) => self.mark_outcomes_unknown(&command),
            Operation::AcceptRisk(risk) => self.accept_risk(&risk),
            Operation::MarkComplete(complete) => {
                self.complete_since_ms.get_or_insert(complete.complete_since_ms);
                Verdict::done()
            }
        }
    }

    fn decide_claim(&mut self, claim: Claim) -> Verdict {
        if claim.digest.len() != DIGEST_BYTES || claim.key.is_empty() || claim.request.is_empty() {
            return Verdict::rejected("the claim lacks its key, digest or request");
        }
        if claim.key.len() > MAX_KEY_BYTES {
            return Verdict::rejected(
                "the idempotency key is longer than 256 bytes; use a shorter",
            );
        }
        if claim.created_ms > self.now_ms + MAX_CLOCK_SKEW_MS {
            return Verdict::rejected("the key was made in the future; set the caller's clock");
        }
        let key = Key::new(&claim.customer, &claim.key);
        if let Some(record) = self.records.get(&key) {
            return decide_known_key(record, &claim);
        }
        if let Some(refusal) = self.refusal(&claim) {
            return refusal;
        }
        let record = Record {
            customer: claim.customer,
            key: claim.key,
            digest: claim.digest,
            request: claim.request,
            vm: claim.vm,
            incarnation: claim.incarnation,
            claimed_ms: self.now_ms,
            deadline_ms: claim.deadline_ms,
            state: Some(State::Running(Run {})),
        };
        if self.records.len() >= MAX_KEYS
            || self.reserved_bytes + reserved_bytes(&record) > MAX_TOTAL_BYTES
        {
            return Verdict::Full(Full { retry_after_ms: self.ms_until_oldest_expires() });
        }
        self.insert(key, record);
        Verdict::Run(Run {})
    }

    /// The reason to refuse a claim of a key without a record, if any.
    fn refusal(&self, claim: &Claim) -> Option<Verdict> {
        if claim.deadline_ms != 0 && claim.deadline_ms <= self.now_ms {
            return Some(Verdict::rejected("the deadline has passed; send the call again"));
        }
        let oldest_kept_ms = self.now_ms.saturating_sub(RETENTION_MS);
        if claim.created_ms != 0 && claim.created_ms < oldest_kept_ms {
            return Some(Verdict::TooOld(TooOld { retention_ms: RETENTION_MS }));
        }
        let is_covered = self.complete_since_ms.is_some_and(|since| {
            since <= oldest_kept_ms || (claim.created_ms != 0 && claim.created_ms >= since)
        });
        let retry_after_ms = self.complete_since_ms.map_or(RETENTION_MS, |since| {
            since.saturating_add(RETENTION_MS).saturating_sub(self.now_ms)
        });
        (!is_covered).then_some(Verdict::RecordsIncomplete(RecordsIncomplete { retry_after_ms }))
    }

    fn record_outcome(&mut self, outcome: RecordOutcome) -> Verdict {
        let key = Key::new(&outcome.customer, &outcome.key);
        let Some(record) = self.records.get_mut(&key) else {
            return Verdict::rejected("no such claim is kept");
        };
        if record.request != outcome.request {
            return Verdict::rejected("another request holds the claim");
        }
        let response = outcome.response.map(limit_size);
        match (&record.state, response) {
            (Some(State::Running(_)), Some(response)) => {
                let bytes_before = reserved_bytes(record);
                record.state = Some(State::Answered(response));
                self.reserved_bytes = self.reserved_bytes - bytes_before + reserved_bytes(record);
                Verdict::done()
            }
            (Some(State::Running(_)), None) => {
                let bytes_before = reserved_bytes(record);
                record.state = Some(State::Unknown(Run {}));
                self.reserved_bytes = self.reserved_bytes - bytes_before + reserved_bytes(record);
                Verdict::done()
            }
            (Some(State::Answered(kept)), Some(response)) if *kept == response => Verdict::done(),
            (Some(State::Unknown(_)), None) => Verdict::done(),
            (Some(State::Unknown(_)), Some(_)) => {
                Verdict::Unknown(Unknown { request: outcome.request })
            }
            _ => Verdict::rejected("the claim is settled otherwise"),
        }
    }

    fn release(&mut self, release: &Release) -> Verdict {
        let key = Key::new(&release.customer, &release.key);
        match self.records.get(&key) {
            None => Verdict::done(),
            Some(record) if record.request != release.request => Verdict::done(),
            Some(record) if record.is_running() => {
                self.remove(&key);
                Verdict::done()
            }
            Some(_) => Verdict::rejected("the call may have run; its claim stays"),
        }
    }

    fn mark_outcomes_unknown(&mut self, command: &MarkOutcomesUnknown) -> Verdict {
        let now = self.now_ms;
        let mut freed_bytes = 0;
        for record in self.records.values_mut().filter(|record| record.is_running()) {
            let process_ended =
                record.vm == command.vm && record.incarnation < command.below_incarnation;
            if process_ended || (record.deadline_ms != 0 && record.deadline_ms <= now) {
                let bytes_before = reserved_bytes(record);
                record.state = Some(State::Unknown(Run {}));
                freed_bytes += bytes_before - reserved_bytes(record);
            }
        }
        self.reserved_bytes -= freed_bytes;
        Verdict::done()
    }

    fn accept_risk(&mut self, risk: &AcceptRisk) -> Verdict {
        if risk.confirmation != RISK_ACCEPTED {
            let fault = format!("to accept the risk, say: {RISK_ACCEPTED}");
            return Verdict::rejected(&fault);
        }
        self.complete_since_ms = Some(0);
        Verdict::done()
    }

    /// Removes the records older than the retention time, except those of running calls.
    fn remove_expired(&mut self) {
        let oldest_kept_ms = self.now_ms.saturating_sub(RETENTION_MS + MAX_CLOCK_SKEW_MS);
        let old_keys =
            self.keys_by_age.iter().take_while(|(claimed_ms, _)| *claimed_ms < oldest_kept_ms);
        let expired =
            old_keys.filter(|(_, key)| !self.records.get(key).is_some_and(Record::is_running));
        let expired: Vec<Key> = expired.map(|(_, key)| key.clone()).collect();
        for key in &expired {
            self.remove(key);
        }
    }

    fn ms_until_oldest_expires(&self) -> u64 {
        let oldest_ms = self.keys_by_age.first().map_or(self.now_ms, |(claimed_ms, _)| *claimed_ms);
        oldest_ms.saturating_add(RETENTION_MS).saturating_sub(self.now_ms)
    }

    fn insert(&mut self, key: Key, record: Record) {
        self.reserved_bytes += reserved_bytes(&record);
        self.keys_by_age.insert((record.claimed_ms, key.clone()));
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &Key) {
        if let Some(record) = self.records.remove(key) {
            self.reserved_bytes -= reserved_bytes(&record);
            self.keys_by_age.remove(&(record.claimed_ms, key.clone()));
        }
    }
}

/// The decision on a claim whose key has a record.
fn decide_known_key(record: &Record, claim: &Claim) -> Verdict {
    if record.digest != claim.digest {
        return Verdict::Conflict(Conflict {});
    }
    let request = record.request.clone();
    match &record.state {
        Some(State::Running(_)) if request == claim.request && is_same_process(record, claim) => {
            Verdict::Run(Run {})
        }
        Some(State::Running(_)) => Verdict::StillRunning(StillRunning { request }),
        Some(State::Answered(response)) => Verdict::Answered(response.clone()),
        Some(State::Unknown(_)) | None => Verdict::Unknown(Unknown { request }),
    }
}

fn is_same_process(record: &Record, claim: &Claim) -> bool {
    record.vm == claim.vm && record.incarnation == claim.incarnation
}

/// The size of a record. For a running call, it includes the room reserved for the response.
fn reserved_bytes(record: &Record) -> usize {
    record.size_bytes() + if record.is_running() { MAX_RESPONSE_BYTES } else { 0 }
}

fn limit_size(response: StoredResponse) -> StoredResponse {
    if response.size_bytes() <= MAX_RESPONSE_BYTES {
        return response;
    }
    StoredResponse { status: response.status, body_dropped: true, ..StoredResponse::default() }
}

impl replica::StateMachine for StateMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        Bytes::from(Reply::from(self.decide(command)).encode_to_vec())
    }

    fn snapshot(&self) -> Bytes {
        let oldest_first =
            self.keys_by_age.iter().filter_map(|(_, key)| self.records.get(key).cloned());
        let image = Image {
            records: oldest_first.collect(),
            now_ms: self.now_ms,
            complete_since_ms: self.complete_since_ms,
        };
        Bytes::from(image.encode_to_vec())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let image = Image::decode(snapshot).map_err(|error| {
            format!("the snapshot of the claims cannot be read ({error}); take it from a replica")
        })?;
        *self = Self {
            now_ms: image.now_ms,
            complete_since_ms: image.complete_since_ms,
            ..Self::default()
        };
        for record in image.records {
            self.insert(Key::new(&record.customer, &record.key), record);
        }
        Ok(())
    }
}
