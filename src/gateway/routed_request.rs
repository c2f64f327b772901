use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Method, body::Bytes};

use super::{
    Prompt, VersionBinding,
    handover::{TRANSFER_ALLOWANCE, host_without_port},
};
use crate::{
    continuation, control::lock, crash::Digest, http::BufferShare, id, organisation::Organisation,
    route::Route, stop::InFlight,
};

/// A caller's request and the route that it matched.
#[derive(Debug)]
pub(super) struct RoutedRequest {
    /// The request ID that the caller sent.
    pub(super) id: String,
    pub(super) method: Method,
    pub(super) path_and_query: String,
    /// The headers to forward to targets.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) route: Arc<Route>,
    /// The version of the list of routes that `route` is from.
    pub(super) routes_version: u64,
    /// The organisation whose key the request carried; `None` on public routes and where requests need
    /// no key.
    pub(super) organisation: Option<Arc<Organisation>>,
    /// The service that the route's traffic split selected.
    pub(super) service: id::Service,
    pub(super) prompt: Prompt,
    /// The prompt and output tokens that the caller declared, if it did.
    pub(super) declared_tokens: Option<u64>,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    pub(super) received_at: Instant,
    /// The ID of the last event that the caller has, if it resumes a stream.
    pub(super) last_event_id: Option<u64>,
    /// Names the stream that the request begins or continues; set on routes with streams that may
    /// be resumed.
    pub(super) stream_key: Option<continuation::Key>,
    /// When the caller stops taking the stream up again.
    pub(super) stream_deadline: Instant,
    /// The software version of targets that may serve the request.
    pub(super) version_binding: VersionBinding,
    /// Whether another VM handed the request over.
    pub(super) handed_over: bool,
    /// The VM that handed the request over, if it can have the rest of a stream elsewhere when this VM
    /// stops.
    pub(super) gives_back_to: Option<id::Vm>,
    /// Counts the memory of the body; a handed-over request is counted by its task.
    pub(super) _body_share: Option<BufferShare>,
    /// Counts the request as in flight.
    pub(super) _flight: Flight,
}

/// Counts a request among those in flight on its route until this is dropped.
#[derive(Debug)]
pub(super) struct Flight {
    in_flight: Arc<Mutex<InFlight>>,
    route: Arc<Route>,
    began_at: Instant,
}

impl Flight {
    /// Begins to count a request.
    pub(super) fn begin(
        in_flight: &Arc<Mutex<InFlight>>,
        route: &Arc<Route>,
        began_at: Instant,
    ) -> Self {
        lock(in_flight).begin(&route.name, began_at);
        Self { in_flight: Arc::clone(in_flight), route: Arc::clone(route), began_at }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        lock(&self.in_flight).end(&self.route.name, self.began_at);
    }
}

impl RoutedRequest {
    /// A digest that is the same for every repetition of the request, on any VM.
    pub(super) fn digest(&self) -> Digest {
        let host = host_without_port(&self.headers).unwrap_or_default();
        let method = self.method.as_str().as_bytes();
        Digest::of(&[method, host.as_bytes(), self.path_and_query.as_bytes(), &self.body])
    }

    /// The keys of the parts of the prompt that other requests may share.
    pub(super) fn shared_parts(&self) -> Vec<u64> {
        self.prompt.shared_keys().collect()
    }

    /// Whether a target or a VM of `region` may receive the request's body.
    pub(super) fn allows(&self, region: &id::Region) -> bool {
        self.route.allows(region)
            && self.organisation.as_ref().is_none_or(|organisation| organisation.allows(region))
    }

    /// Whether the route or the organisation keeps the request in some regions.
    pub(super) fn is_region_restricted(&self) -> bool {
        let is_restricted =
            |organisation: &Arc<Organisation>| !organisation.allowed_regions.is_empty();
        !self.route.allowed_regions.is_empty()
            || self.organisation.as_ref().is_some_and(is_restricted)
    }

    /// The priority; 0 is the most urgent.
    pub(super) fn priority(&self) -> u32 {
        let priority = self.organisation.as_ref().and_then(|organisation| organisation.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// When the body of the response must have ended.
    pub(super) fn body_deadline(&self) -> Instant {
        let is_stream = self.route.delivery_mode.is_stream();
        self.deadline
            + if self.handed_over && is_stream { TRANSFER_ALLOWANCE } else { Duration::ZERO }
    }

    /// The time until the deadline.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
