//! Admission of requests within the limits of customers and classes.
//!
//! A [`Limiter`] decides on one VM which requests run, wait or are refused. It prefers interactive
//! requests without starving batch requests, and a customer's backlog doesn't delay other
//! customers. [`Admission`] is its asynchronous interface. A [`RetryBudget`] bounds the retries of
//! each customer.

mod admission;
mod customer_state;
mod decision;
mod limiter;
mod permit;
mod queue;
mod request;
mod retry_budget;
mod settings;
mod ticket;
mod token_bucket;

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
