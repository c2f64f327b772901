//! The two lists that operators maintain: customers' plans, and what each plan may use.

mod allowance;
mod book;
mod grant;
mod limits;
mod plan;

pub use self::{
    allowance::Allowance,
    book::{Book, List, digest},
    grant::Grant,
    limits::Limits,
    plan::Plan,
};
