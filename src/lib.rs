//! Pomelogate: a multi-region inference gateway.
//!
//! Decisions are state machines without I/O: input and time in, actions out. Shells carry them
//! over sockets and disk.
//!
//! - The request path: [`path`], [`name`], [`limit`], [`placement`], [`throttle`], [`crash`],
//!   [`organisation`], [`quota`], [`fairness`], [`outcome`].
//! - What VMs know of each other and of targets: [`member`], [`target`], [`link`], [`wire`].
//! - What replicas agree on: [`consensus`], [`disk`], [`replica`], [`list_state`], [`list`],
//!   [`stop`], [`claim`], [`order`].
//! - Resumption of streams: [`continuation`].
//! - The daemon, [`vm`], and what surrounds it: [`settings`], [`event`], [`figure`], [`admin`],
//!   [`tool`], [`http`].
//! - For tests and experiments: [`standin`], [`emulator`].

pub mod admin;
pub mod claim;
pub mod clock;
pub mod consensus;
pub mod continuation;
pub mod control;
pub mod crash;
pub mod disk;
pub mod emulator;
pub mod event;
pub mod explain;
pub mod fairness;
pub mod figure;
pub mod gateway;
pub mod http;
pub mod id;
pub mod limit;
pub mod link;
pub mod list;
pub mod list_state;
pub mod member;
pub mod name;
pub mod node;
pub mod order;
pub mod organisation;
pub mod outcome;
pub mod path;
pub mod placement;
pub mod quota;
pub mod registry;
pub mod replica;
pub mod route;
pub mod settings;
pub mod standin;
pub mod stop;
pub mod target;
pub mod throttle;
pub mod tool;
pub mod trace;
pub mod vm;
pub mod wire;

pub use self::{
    list::{Allowance, Book, Plan},
    outcome::{Outcome, Reason, Refusal, UnknownOutcome},
    settings::Settings,
    vm::{RunningVm, Vm},
};
