//! The administration API's messages, under [`BASE`]; `docs/API.md` describes them.

mod change;
mod operator;
mod problem;
mod replica;
mod risk;
mod status;
mod stop;
mod trail;

pub use self::{
    change::{Applied, Change},
    operator::permits,
    problem::Problem,
    replica::{Replica, Replicas},
    risk::Risk,
    status::{Elsewhere, Member, Status, Target, Versions},
    stop::{Stop, Stops},
    trail::{Trail, Way},
};

/// What every path of this version begins with.
pub const BASE: &str = "/admin/v1";
