use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Method};

use super::Class;
use crate::{id, list::Book};

/// A request at one stage of the path.
#[derive(Debug)]
pub struct Request<S> {
    /// The request's identifier, the same on every VM it crosses.
    pub id: id::Request,
    /// The lists under which everything about the request is decided.
    pub book: Arc<Book>,
    /// The HTTP method.
    pub method: Method,
    /// The HTTP path and query.
    pub path_and_query: String,
    /// How urgent the request is.
    pub class: Class,
    /// When the request is no longer of use.
    pub deadline: Instant,
    /// The VMs that the request has crossed, this one last.
    pub hops: Vec<id::Vm>,
    /// Hand-overs between regions so far.
    pub between_regions: u32,
    /// Hand-overs within this region so far.
    pub within_region: u32,
    /// What the stage adds.
    pub stage: S,
}

/// The first stage: nothing is known but the head.
#[derive(Debug)]
pub struct Received {
    /// The headers.
    pub headers: HeaderMap,
}

impl<S> Request<S> {
    /// The same request at the next stage.
    pub(super) fn at<T>(self, stage: T) -> Request<T> {
        self.step(stage).0
    }

    /// The same request at the next stage, and what this stage held.
    pub(super) fn step<T>(self, stage: T) -> (Request<T>, S) {
        let next = Request {
            id: self.id,
            book: self.book,
            method: self.method,
            path_and_query: self.path_and_query,
            class: self.class,
            deadline: self.deadline,
            hops: self.hops,
            between_regions: self.between_regions,
            within_region: self.within_region,
            stage,
        };
        (next, self.stage)
    }

    /// The same request without its stage, and the stage.
    pub(super) fn split(self) -> (Request<()>, S) {
        self.step(())
    }

    /// The time left at `now`.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
