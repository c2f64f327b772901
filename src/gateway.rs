//! A VM that takes callers by routes: finds the rule of a request, sends it to a target of its
//! region or hands it to a VM of another one, and gives back the target's whole answer or a break
//! that nobody takes for one.
//!
//! The decisions are [`Board`] (which target), [`Admission`] (here, elsewhere or not at all),
//! [`Allowance`] (may it be sent again), [`Suspects`] (does it crash targets), [`Events`] (what of a
//! stream is whole); the rest carries requests and answers.

mod admission;
mod allowance;
mod attempt;
mod attempts;
mod board;
mod dispatch;
mod events;
mod figures;
mod handover;
mod header_names;
mod outcome;
mod peers;
mod pool;
mod prompt;
mod rate;
mod record;
mod registry_sync;
mod routed_request;
mod serve;
mod share;
mod shell;
mod streaming_body;
mod suspects;
mod track;

pub use self::{
    admission::{Admission, Applicant, Decision, Late, There},
    allowance::Allowance,
    attempts::Attempts,
    board::{Board, Busy, Pick, Query},
    events::Events,
    header_names::HeaderNames,
    peers::Peers,
    prompt::{Part, Prompt},
    shell::{Gateway, Running},
    suspects::Suspects,
    track::{Report, Work},
};
pub(crate) use self::{share::period, track::Sent};
