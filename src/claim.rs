//! Claims of calls that run at most once, decided only in the home region of the customer's plan.
//!
//! A [`StateMachine`] replicated by the group `claims/<region>` decides whether a call may run. It
//! reads no clock: each command carries the time. `docs/design/claims.md` has the reasons.

mod command;
mod image;
mod outcome;
mod record;
mod reply;
mod state_machine;
mod stored_response;

pub use self::{
    command::{
        AcceptRisk, Claim, Command, MarkComplete, MarkOutcomesUnknown, Operation, RISK_ACCEPTED,
        RecordOutcome, Release, key_created_ms, request_digest,
    },
    reply::{
        Conflict, Full, RecordsIncomplete, Rejected, Reply, Run, StillRunning, TooOld, Unknown,
        Verdict,
    },
    state_machine::{
        MAX_CLOCK_SKEW, MAX_KEYS, MAX_RESPONSE_BYTES, MAX_TOTAL_BYTES, RETENTION, StateMachine,
    },
    stored_response::{Header, StoredResponse},
};
