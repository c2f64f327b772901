//! Quotas of organisations over all VMs together.
//!
//! The leader of the replicas keeps a [`Ledger`] of what it has granted, in memory. A VM keeps a
//! [`Wallet`] of grants, which it may spend for a short time, and asks for more. A VM that is cut off
//! has nothing to spend soon, and a new leader begins with nothing to grant, so that the sum holds
//! whatever fails. [docs/design/quotas.md](../../docs/design/quotas.md) has what was weighed.

mod ledger;
mod message;
mod settings;
mod wallet;

pub use self::{
    ledger::Ledger,
    message::{Grant, GrantReply, GrantRequest, Need},
    settings::Settings,
    wallet::{RequestNumber, Resolution, Spent, Ticket, Wallet},
};
