use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Method, body::Bytes};

use super::{Prompt, handover::host_of};
use crate::{crash::Digest, id, route::Route};

/// A caller's request that a rule was found for.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Its identifier, as the caller sent it.
    pub(super) id: String,
    /// The method.
    pub(super) method: Method,
    /// The path with the query.
    pub(super) path: String,
    /// The headers that targets get.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
    /// The rule.
    pub(super) rule: Arc<Route>,
    /// The version of the routes that hold the rule.
    pub(super) version: u64,
    /// The service that the rule's split gave it.
    pub(super) service: id::Service,
    /// What it asks a model engine to read and write.
    pub(super) prompt: Prompt,
    /// When the caller gives up.
    pub(super) deadline: Instant,
    /// When it came.
    pub(super) came: Instant,
    /// The number of the last event that the caller has, where it goes on with a stream.
    pub(super) last_event: Option<u64>,
    /// Whether another VM handed it over.
    pub(super) handed_over: bool,
}

impl Call {
    /// What tells the request when it comes again, through any VM.
    pub(super) fn digest(&self) -> Digest {
        let host = host_of(&self.headers).unwrap_or_default();
        let method = self.method.as_str().as_bytes();
        Digest::of(&[method, host.as_bytes(), self.path.as_bytes(), &self.body])
    }

    /// The time until the caller gives up.
    pub(super) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
