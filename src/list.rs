//! The two lists that operators maintain: the customers' plans and the allowances of each plan.

mod allowance;
mod book;
mod check;
mod fault;
mod grant;
mod kind;
mod known_names;
mod limits;
mod plan;
mod position;

pub(crate) use self::check::join_entries;
pub use self::{
    allowance::Allowance,
    book::{Book, List, hash_key},
    check::{Draft, check, find_inconsistencies, parse_draft},
    fault::Fault,
    grant::Grant,
    kind::Kind,
    known_names::KnownNames,
    limits::Limits,
    plan::Plan,
    position::Position,
};
