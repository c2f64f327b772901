//! What integration tests share: the real daemon as processes, and stand-ins of targets.
#![allow(dead_code, reason = "each test binary uses a part")]

pub mod cluster;
pub mod fake_target;
pub mod fleet;
pub mod grid;
pub mod history;
pub mod ordered;
pub mod process_memory;
pub mod proxy;
pub mod routed;
pub mod targets;
pub mod window;
