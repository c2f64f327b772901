use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{figure, id, outcome::Reason};

const LENGTH: usize = 4_096;

/// What became of one request, without its body or key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Way {
    /// The VM that noted it.
    pub vm: id::Vm,
    /// The request.
    pub request: id::Request,
    /// The customer; nothing where the key is unknown.
    pub customer: Option<id::Customer>,
    /// The HTTP status that the caller got.
    pub status: u16,
    /// What became of the request.
    pub outcome: figure::Outcome,
    /// Why it was refused.
    pub reason: Option<Reason>,
    /// The VMs and the target that it crossed, such as `jakarta-1 > engine-3`.
    pub way: String,
    /// The milliseconds until its end.
    pub total_ms: u64,
}

/// The ways of the latest requests; older ones are forgotten.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    ways: VecDeque<Way>,
}

impl Trail {
    /// Keeps a way, and forgets the oldest where there are too many.
    pub fn push(&mut self, way: Way) {
        if self.ways.len() == LENGTH {
            self.ways.pop_front();
        }
        self.ways.push_back(way);
    }

    /// The way of `request`, where it is still known.
    pub fn find(&self, request: &str) -> Option<&Way> {
        self.ways.iter().rev().find(|way| way.request.as_str() == request)
    }
}
