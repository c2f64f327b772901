use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Method};

use super::Class;
use crate::{id, list::Book};

/// A request at stage `S`.
#[derive(Debug)]
pub struct Request<S> {
    /// The request's identifier, the same on every VM that it crosses.
    pub id: id::Request,
    /// The versions of the plans and allowances that apply to the request throughout.
    pub book: Arc<Book>,
    /// The HTTP method.
    pub method: Method,
    /// The HTTP path and query.
    pub path_and_query: String,
    /// The scheduling class.
    pub class: Class,
    /// When the caller no longer waits for the response.
    pub deadline: Instant,
    /// The VMs that the request has crossed, with this VM last.
    pub hops: Vec<id::Vm>,
    /// How often the request has been handed over between regions so far.
    pub handovers_between_regions: u32,
    /// How often the request has been handed over within this region so far.
    pub handovers_within_region: u32,
    /// The data that this stage adds.
    pub stage: S,
}

/// The first stage: only the head of the request is known.
#[derive(Debug)]
pub struct Received {
    /// The headers of the caller's request.
    pub headers: HeaderMap,
}

impl<S> Request<S> {
    /// Replaces the stage.
    pub(super) fn with_stage<T>(self, stage: T) -> Request<T> {
        self.replace_stage(stage).0
    }

    /// Replaces the stage, and also returns the old one.
    pub(super) fn replace_stage<T>(self, stage: T) -> (Request<T>, S) {
        let next = Request {
            id: self.id,
            book: self.book,
            method: self.method,
            path_and_query: self.path_and_query,
            class: self.class,
            deadline: self.deadline,
            hops: self.hops,
            handovers_between_regions: self.handovers_between_regions,
            handovers_within_region: self.handovers_within_region,
            stage,
        };
        (next, self.stage)
    }

    /// Splits the request from its stage.
    pub(super) fn split(self) -> (Request<()>, S) {
        self.replace_stage(())
    }

    /// The time from `now` until the deadline.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
