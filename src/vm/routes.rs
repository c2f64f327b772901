use std::sync::Arc;

use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use serde::Serialize;

use super::{Directory, Entry, Vm};
use crate::{
    event,
    http::{self, Body},
    id,
    outcome::{Reason, Refusal},
    path,
    target::Announcement,
    wire::Topic,
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
            (&Method::GET, "/v1/directory", _) => self.directory(),
            (&Method::POST, TARGETS, _) => self.announce(request).await,
            (&Method::DELETE, _, Some(target)) => self.leave(target).await,
            _ if path.starts_with(ADMIN) => self.administer(request).await,
            _ => self.observe(request).await,
        }
    }

    fn directory(&self) -> Response<Body> {
        let this = self.settings.this();
        let vms = std::iter::once(&this)
            .chain(self.others())
            .map(|peer| Entry {
                vm: peer.vm.clone(),
                region: peer.region.clone(),
                zone: peer.zone.clone(),
                address: peer.callers,
            })
            .collect();
        json(&Directory { vms, ttl: DIRECTORY_TTL_SECONDS })
    }

    async fn announce(&self, request: Request<Incoming>) -> Response<Body> {
        let id = self.request_id();
        let Ok(body) = http::collect(request.into_body(), ANNOUNCEMENT_LIMIT).await else {
            return path::refusal(&id, &malformed("the announcement was cut short or too large"));
        };
        let announcement: Announcement = match serde_json::from_slice(&body) {
            Ok(announcement) => announcement,
            Err(cause) => return path::refusal(&id, &malformed(&cause.to_string())),
        };
        event::path::TARGET.emit(&self.logger, &[("target", &announcement.target)]);
        self.learn(announcement);
        self.share(&body).await;
        no_content()
    }

    async fn leave(&self, target: id::Target) -> Response<Body> {
        self.targets().leave(&target);
        no_content()
    }

    async fn share(&self, announcement: &hyper::body::Bytes) {
        for peer in self.others() {
            let _ = self.hub.notify(peer.links, Topic::Targets, announcement.clone()).await;
        }
    }

    pub(super) fn learn(&self, announcement: Announcement) {
        self.targets().announce(announcement, super::node::LEASE, self.clock.now());
    }
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
