//! Fair shares of insufficient capacity, decided on each VM by what the VM itself lately admitted.

mod account;
mod demand;
mod ledger;
mod standing;

pub use self::{demand::Demand, ledger::Ledger, standing::Standing};
