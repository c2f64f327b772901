//! Orders to targets, with fencing numbers and leases.
//!
//! [`Controller`] decides which target loads or unloads which model; see
//! `docs/design/orders.md` for what fencing and leases can and cannot exclude.

mod action;
mod controller;
mod demand;
mod engine;
mod fence;
mod instruction;
mod settings;

pub use self::{
    action::{Action, Weights},
    controller::Controller,
    demand::Demand,
    engine::Engine,
    fence::Fence,
    instruction::Instruction,
    settings::Settings,
};
