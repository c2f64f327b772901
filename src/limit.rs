//! Limits and queues of customers and classes.
//!
//! A [`Gate`] decides on one VM which requests run, wait or are refused. Interactive requests go
//! first, batch requests still finish, and no customer waits for another's backlog. A [`Budget`]
//! bounds the retries of each customer.

mod account;
mod admission;
mod bucket;
mod budget;
mod decision;
mod gate;
mod permit;
mod queue;
mod request;
mod settings;
mod ticket;

pub use self::{
    admission::{Admission, Load},
    budget::Budget,
    decision::{Change, Decision},
    gate::Gate,
    permit::Permit,
    request::Request,
    settings::Settings,
    ticket::Ticket,
};
