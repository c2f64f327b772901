//! The two lists that operators maintain: customers' plans, and what each plan may use.

mod allowance;
mod grant;
mod limits;
mod plan;

pub use self::{allowance::Allowance, grant::Grant, limits::Limits, plan::Plan};
