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

/// How long a key is kept after its claim.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Keys kept at most.
pub const MAX_KEYS: usize = 200_000;
/// Bytes of all records at most; room for an answer is set aside with each claim. A snapshot holds
/// them a second time, so that both fit beside a VM's other state in 64 MB.
pub const MAX_TOTAL_BYTES: usize = 12 << 20;
/// Bytes of one answer kept at most; a larger one is kept without its body.
pub const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// How far a caller's clock may run ahead of the VMs'; keys are kept this much longer.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5 * 60);

const RETENTION_MS: u64 = RETENTION.as_millis() as u64;
const MAX_CLOCK_SKEW_MS: u64 = MAX_CLOCK_SKEW.as_millis() as u64;
const DIGEST_BYTES: usize = 32;
const MAX_KEY_BYTES: usize = 256;

/// The replicated machine of the group `claims/<region>`.
///
/// A new machine vouches for nothing until [`MarkComplete`](super::MarkComplete) or
/// [`AcceptRisk`] says since when its records are complete, so that a home that lost its disk
/// cannot take an old key for a new one.
///
/// ```
/// use pomelogate::{
///     claim::{Claim, Command, StateMachine, Operation, MarkComplete, Reply, Run, Verdict, request_digest},
///     replica::StateMachine as _,
/// };
/// use prost::Message;
///
/// let mut machine = StateMachine::default();
/// let rebuilt = Operation::MarkComplete(MarkComplete { complete_since_ms: 0 });
/// machine.apply(1, &Command { now_ms: 1, operation: Some(rebuilt) }.encode_to_vec());
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
    ages: BTreeSet<(u64, Key)>,
    bytes: usize,
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
    /// How many keys are kept.
    pub fn key_count(&self) -> usize {
        self.records.len()
    }

    /// The bytes set aside for the keys kept.
    pub fn reserved_bytes(&self) -> usize {
        self.bytes
    }

    /// Since when the records are complete, in milliseconds since 1970; none after a lost disk.
    pub fn complete_since_ms(&self) -> Option<u64> {
        self.complete_since_ms
    }

    /// The VMs that run calls, each with an incarnation: to be checked against membership.
    pub fn running_incarnations(&self) -> BTreeSet<(&str, u64)> {
        let running = self.records.values().filter(|record| record.running());
        running.map(|record| (record.vm.as_str(), record.incarnation)).collect()
    }

    fn decide(&mut self, command: &[u8]) -> Verdict {
        let Ok(Command { now_ms, operation: Some(operation) }) = Command::decode(command) else {
            return Verdict::rejected("the command cannot be read; upgrade the replicas first");
        };
        self.now_ms = self.now_ms.max(now_ms);
        self.expire();
        match operation {
            Operation::Claim(claim) => self.claim(claim),
            Operation::RecordOutcome(settle) => self.settle(settle),
            Operation::Release(release) => self.release(&release),
            Operation::MarkOutcomesUnknown(abandon) => self.abandon(&abandon),
            Operation::AcceptRisk(risk) => self.accept_risk(&risk),
            Operation::MarkComplete(rebuilt) => {
                self.complete_since_ms.get_or_insert(rebuilt.complete_since_ms);
                Verdict::done()
            }
        }
    }

    fn claim(&mut self, claim: Claim) -> Verdict {
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
            return standing(record, &claim);
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
        if self.records.len() >= MAX_KEYS || self.bytes + reserved(&record) > MAX_TOTAL_BYTES {
            return Verdict::Full(Full { retry_after_ms: self.until_oldest_ends() });
        }
        self.insert(key, record);
        Verdict::Run(Run {})
    }

    /// Why a key without a record may not run, if so.
    fn refusal(&self, claim: &Claim) -> Option<Verdict> {
        if claim.deadline_ms != 0 && claim.deadline_ms <= self.now_ms {
            return Some(Verdict::rejected("the deadline has passed; send the call again"));
        }
        let oldest = self.now_ms.saturating_sub(RETENTION_MS);
        if claim.created_ms != 0 && claim.created_ms < oldest {
            return Some(Verdict::TooOld(TooOld { retention_ms: RETENTION_MS }));
        }
        let vouched = self.complete_since_ms.is_some_and(|since| {
            since <= oldest || (claim.created_ms != 0 && claim.created_ms >= since)
        });
        let until = self.complete_since_ms.map_or(RETENTION_MS, |since| {
            since.saturating_add(RETENTION_MS).saturating_sub(self.now_ms)
        });
        (!vouched)
            .then_some(Verdict::RecordsIncomplete(RecordsIncomplete { retry_after_ms: until }))
    }

    fn settle(&mut self, settle: RecordOutcome) -> Verdict {
        let key = Key::new(&settle.customer, &settle.key);
        let Some(record) = self.records.get_mut(&key) else {
            return Verdict::rejected("no such claim is kept");
        };
        if record.request != settle.request {
            return Verdict::rejected("another request holds the claim");
        }
        let answer = settle.answer.map(bounded);
        match (&record.state, answer) {
            (Some(State::Running(_)), Some(answer)) => {
                let before = reserved(record);
                record.state = Some(State::Answered(answer));
                self.bytes = self.bytes - before + reserved(record);
                Verdict::done()
            }
            (Some(State::Running(_)), None) => {
                let before = reserved(record);
                record.state = Some(State::Unknown(Run {}));
                self.bytes = self.bytes - before + reserved(record);
                Verdict::done()
            }
            (Some(State::Answered(kept)), Some(answer)) if *kept == answer => Verdict::done(),
            (Some(State::Unknown(_)), None) => Verdict::done(),
            (Some(State::Unknown(_)), Some(_)) => {
                Verdict::Unknown(Unknown { request: settle.request })
            }
            _ => Verdict::rejected("the claim is settled otherwise"),
        }
    }

    fn release(&mut self, release: &Release) -> Verdict {
        let key = Key::new(&release.customer, &release.key);
        match self.records.get(&key) {
            None => Verdict::done(),
            Some(record) if record.request != release.request => Verdict::done(),
            Some(record) if record.running() => {
                self.remove(&key);
                Verdict::done()
            }
            Some(_) => Verdict::rejected("the call may have run; its claim stays"),
        }
    }

    fn abandon(&mut self, abandon: &MarkOutcomesUnknown) -> Verdict {
        let now = self.now_ms;
        let mut freed = 0;
        for record in self.records.values_mut().filter(|record| record.running()) {
            let gone = record.vm == abandon.vm && record.incarnation < abandon.below_incarnation;
            if gone || (record.deadline_ms != 0 && record.deadline_ms <= now) {
                let before = reserved(record);
                record.state = Some(State::Unknown(Run {}));
                freed += before - reserved(record);
            }
        }
        self.bytes -= freed;
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

    /// Forgets what is older than retention, but never a call that still runs.
    fn expire(&mut self) {
        let oldest = self.now_ms.saturating_sub(RETENTION_MS + MAX_CLOCK_SKEW_MS);
        let old = self.ages.iter().take_while(|(claimed, _)| *claimed < oldest);
        let ended = old.filter(|(_, key)| !self.records.get(key).is_some_and(Record::running));
        let ended: Vec<Key> = ended.map(|(_, key)| key.clone()).collect();
        for key in &ended {
            self.remove(key);
        }
    }

    fn until_oldest_ends(&self) -> u64 {
        let oldest = self.ages.first().map_or(self.now_ms, |(claimed, _)| *claimed);
        oldest.saturating_add(RETENTION_MS).saturating_sub(self.now_ms)
    }

    fn insert(&mut self, key: Key, record: Record) {
        self.bytes += reserved(&record);
        self.ages.insert((record.claimed_ms, key.clone()));
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &Key) {
        if let Some(record) = self.records.remove(key) {
            self.bytes -= reserved(&record);
            self.ages.remove(&(record.claimed_ms, key.clone()));
        }
    }
}

/// What a kept record says to a claim of its key.
fn standing(record: &Record, claim: &Claim) -> Verdict {
    if record.digest != claim.digest {
        return Verdict::Conflict(Conflict {});
    }
    let request = record.request.clone();
    match &record.state {
        Some(State::Running(_)) if request == claim.request && same_runner(record, claim) => {
            Verdict::Run(Run {})
        }
        Some(State::Running(_)) => Verdict::StillRunning(StillRunning { request }),
        Some(State::Answered(answer)) => Verdict::Answered(answer.clone()),
        Some(State::Unknown(_)) | None => Verdict::Unknown(Unknown { request }),
    }
}

fn same_runner(record: &Record, claim: &Claim) -> bool {
    record.vm == claim.vm && record.incarnation == claim.incarnation
}

/// The bytes set aside for a record: a running call's answer has its place already.
fn reserved(record: &Record) -> usize {
    record.size() + if record.running() { MAX_RESPONSE_BYTES } else { 0 }
}

fn bounded(answer: StoredResponse) -> StoredResponse {
    if answer.size() <= MAX_RESPONSE_BYTES {
        return answer;
    }
    StoredResponse { status: answer.status, body_dropped: true, ..StoredResponse::default() }
}

impl replica::StateMachine for StateMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        Bytes::from(Reply::from(self.decide(command)).encode_to_vec())
    }

    fn snapshot(&self) -> Bytes {
        let ordered = self.ages.iter().filter_map(|(_, key)| self.records.get(key).cloned());
        let image = Image {
            records: ordered.collect(),
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
