//! Orders to targets, with fencing numbers and leases.
//!
//! [`Controller`] decides which target loads or unloads which model; see
//! `docs/design/orders.md` for what fencing and leases can and cannot exclude.

mod action;
mod answer;
mod ask;
mod controller;
mod demand;
mod engine;
mod fence;
mod instruction;
mod leases;
mod message;
mod settings;

pub use self::{
    action::{Action, Weights},
    answer::Answer,
    ask::{Ask, Grant},
    controller::Controller,
    demand::Demand,
    engine::Engine,
    fence::Fence,
    instruction::Instruction,
    leases::{Decision, Holder, Leases, Proof},
    message::Message,
    settings::Settings,
};
