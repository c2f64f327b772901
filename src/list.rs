//! The two lists that operators maintain: customers' plans, and what each plan may use.

mod allowance;
mod book;
mod check;
mod fault;
mod grant;
mod kind;
mod known;
mod limits;
mod plan;
mod position;

pub(crate) use self::check::join;
pub use self::{
    allowance::Allowance,
    book::{Book, List, digest},
    check::{Draft, agree, check, draft},
    fault::Fault,
    grant::Grant,
    kind::Kind,
    known::Known,
    limits::Limits,
    plan::Plan,
    position::Position,
};
