//! Limits and queues of customers and classes.
//!
//! A [`Limiter`] decides on one VM which requests run, wait or are refused. Interactive requests go
//! first, batch requests still finish, and no customer waits for another's backlog. A [`RetryBudget`]
//! bounds the retries of each customer.

mod account;
mod admission;
mod bucket;
mod decision;
mod limiter;
mod permit;
mod queue;
mod request;
mod retry_budget;
mod settings;
mod ticket;

pub use self::{
    admission::{Admission, Load},
    decision::{Decision, Progress},
    limiter::Limiter,
    permit::Permit,
    request::Request,
    retry_budget::RetryBudget,
    settings::Settings,
    ticket::Ticket,
};
