use std::sync::{Arc, atomic::Ordering};

use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use serde::Serialize;

use super::{Directory, DirectoryEntry, Vm};
use crate::{
    http::{self, Body},
    id,
    outcome::{Reason, Refusal},
    path,
    target::Announcement,
};

const ANNOUNCEMENT_LIMIT: usize = 256 * 1024;
const DIRECTORY_TTL_SECONDS: u64 = 5;
const ADMIN: &str = "/admin/";
const TARGETS: &str = "/v1/targets";

impl Vm {
    /// Takes one HTTP request.
    pub(super) async fn route(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let target = path.strip_prefix("/v1/targets/").map(id::Target::from);
        match (request.method(), path.as_str(), target) {
            (&Method::GET, "/v1/directory", _) => self.directory(request.uri().query()),
            (&Method::POST, TARGETS, _) => self.announce(request).await,
            (&Method::DELETE, _, Some(target)) => self.leave(target).await,
            _ if path.starts_with(ADMIN) => self.serve_admin_request(request).await,
            _ => self.count(request).await,
        }
    }

    fn directory(&self, query: Option<&str>) -> Response<Body> {
        let vms = self.usable(&regions(query)).into_iter().map(|peer| DirectoryEntry {
            vm: peer.vm,
            region: peer.region,
            zone: peer.zone,
            address: peer.callers,
        });
        json(&Directory { vms: vms.collect(), ttl: DIRECTORY_TTL_SECONDS })
    }

    async fn count(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let vm = Arc::clone(&self);
        let _counted = InFlight::new(&vm);
        self.observe(request).await
    }

    async fn announce(&self, request: Request<Incoming>) -> Response<Body> {
        let id = self.new_request_id();
        let Ok(body) = http::collect(request.into_body(), ANNOUNCEMENT_LIMIT).await else {
            return path::refusal_response(
                &id,
                &malformed("the announcement was cut short or too large"),
            );
        };
        let announcement: Announcement = match serde_json::from_slice(&body) {
            Ok(announcement) => announcement,
            Err(cause) => return path::refusal_response(&id, &malformed(&cause.to_string())),
        };
        match self.accept_announcement(announcement).await {
            Ok(()) => no_content(),
            Err(nonsense) => path::refusal_response(&id, &malformed(&nonsense.to_string())),
        }
    }

    async fn leave(&self, target: id::Target) -> Response<Body> {
        self.record_target_leave(&target).await;
        no_content()
    }
}

/// Counts a request as in flight until dropped.
struct InFlight<'a>(&'a Vm);

impl<'a> InFlight<'a> {
    fn new(vm: &'a Vm) -> Self {
        vm.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(vm)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The regions that the query names, as in `regions=jakarta,surabaya`.
fn regions(query: Option<&str>) -> Vec<id::Region> {
    let pairs = query.unwrap_or_default().split('&');
    let named = pairs.filter_map(|pair| pair.strip_prefix("regions="));
    named
        .flat_map(|value| value.split(','))
        .filter(|name| !name.is_empty())
        .map(Into::into)
        .collect()
}

fn malformed(detail: &str) -> Refusal {
    Refusal::new(Reason::Malformed, detail, "send an announcement as docs/API.md describes it")
}

fn no_content() -> Response<Body> {
    let mut response = Response::new(http::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let mut response = Response::new(http::full(serde_json::to_vec(value).unwrap_or_default()));
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
