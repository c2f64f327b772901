//! Claims of calls that run at most once, decided in the plan's home region alone.
//!
//! A [`Machine`] replicated by the group `claims/<region>` decides whether a call may run; see
//! `docs/design/claims.md`. It reads no clock: time comes with each command.

mod answer;
mod command;
mod image;
mod machine;
mod outcome;
mod record;
mod reply;

pub use self::{
    answer::{Answer, Header},
    command::{
        Abandon, AcceptRisk, Claim, Command, Operation, RISK_ACCEPTED, Rebuilt, Release, Settle,
        body_digest, made_ms,
    },
    machine::{ANSWER_BYTES, COUNT, Machine, RETENTION, SKEW, TOTAL_BYTES},
    reply::{
        Conflict, Full, Reply, Run, StillRunning, TooOld, Unable, Unknown, Unvouched, Verdict,
    },
};
