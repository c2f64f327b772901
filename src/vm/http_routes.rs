//! Routes the HTTP requests of callers, targets and operators to their handlers.

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

const MAX_ANNOUNCEMENT_BYTES: usize = 256 * 1024;
const DIRECTORY_TTL_SECS: u64 = 5;
const ADMIN_PATH_PREFIX: &str = "/admin/";
const TARGETS_PATH: &str = "/v1/targets";

impl Vm {
    /// Handles one HTTP request of a caller, a target or an operator.
    pub(super) async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let target = path.strip_prefix("/v1/targets/").map(id::Target::from);
        match (request.method(), path.as_str(), target) {
            (&Method::GET, "/v1/directory", _) => self.directory(request.uri().query()),
            (&Method::POST, TARGETS_PATH, _) => self.handle_announcement(request).await,
            (&Method::DELETE, _, Some(target)) => self.handle_leave(target).await,
            _ if path.starts_with(ADMIN_PATH_PREFIX) => self.serve_admin_request(request).await,
            _ => self.serve_counted(request).await,
        }
    }

    fn directory(&self, query: Option<&str>) -> Response<Body> {
        let vms =
            self.available_vms(&query_regions(query)).into_iter().map(|peer| DirectoryEntry {
                vm: peer.vm,
                region: peer.region,
                zone: peer.zone,
                address: peer.callers,
            });
        json_response(&Directory { vms: vms.collect(), ttl: DIRECTORY_TTL_SECS })
    }

    async fn serve_counted(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let vm = Arc::clone(&self);
        let _load = LoadGuard::new(&vm);
        self.serve_and_record(request).await
    }

    async fn handle_announcement(&self, request: Request<Incoming>) -> Response<Body> {
        let id = self.new_request_id();
        let Ok(body) = http::collect(&mut request.into_body(), MAX_ANNOUNCEMENT_BYTES).await else {
            return path::refusal_response(
                &id,
                &announcement_refusal("the announcement was cut short or too large"),
            );
        };
        let announcement: Announcement = match serde_json::from_slice(&body) {
            Ok(announcement) => announcement,
            Err(cause) => {
                return path::refusal_response(&id, &announcement_refusal(&cause.to_string()));
            }
        };
        match self.accept_announcement(announcement).await {
            Ok(()) => no_content_response(),
            Err(cause) => path::refusal_response(&id, &announcement_refusal(&cause.to_string())),
        }
    }

    async fn handle_leave(&self, target: id::Target) -> Response<Body> {
        self.record_target_leave(&target).await;
        no_content_response()
    }
}

/// Counts a request in `Vm::in_flight`, the load that this VM gossips, until dropped.
struct LoadGuard<'a>(&'a Vm);

impl<'a> LoadGuard<'a> {
    fn new(vm: &'a Vm) -> Self {
        vm.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(vm)
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The regions that the query names, as in `regions=jakarta,surabaya`.
fn query_regions(query: Option<&str>) -> Vec<id::Region> {
    let pairs = query.unwrap_or_default().split('&');
    let named = pairs.filter_map(|pair| pair.strip_prefix("regions="));
    named
        .flat_map(|value| value.split(','))
        .filter(|name| !name.is_empty())
        .map(Into::into)
        .collect()
}

fn announcement_refusal(detail: &str) -> Refusal {
    Refusal::new(Reason::Malformed, detail, "send an announcement as docs/API.md describes it")
}

fn no_content_response() -> Response<Body> {
    let mut response = Response::new(http::empty());
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    let mut response = Response::new(http::full(serde_json::to_vec(value).unwrap_or_default()));
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
