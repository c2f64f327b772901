//! The operators' HTTP API: checks the key, routes a request to its handler, and answers it.

use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};

use super::Vm;
use crate::{
    admin::{BASE, Elsewhere, Member, Problem, Status, Target, Versions, permits},
    event,
    http::{self, Body},
    id,
    list::Kind,
    target::{Announcement, Capacity, Need, Offer},
};

/// The largest body of an operator's request.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

impl Vm {
    /// Serves an operator's request.
    pub(super) async fn serve_admin_request(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if !self.is_operator(&request) {
            event::product::KEY.emit(&self.logger, &[("path", &path)]);
            return problem_response(StatusCode::UNAUTHORIZED, &unauthenticated());
        }
        event::product::OPERATOR
            .emit(&self.logger, &[("method", request.method()), ("path", &path)]);
        let (head, mut body) = request.into_parts();
        let Ok(body) = http::collect(&mut body, MAX_BODY_BYTES).await else {
            return problem_response(
                StatusCode::BAD_REQUEST,
                &malformed_body("cut short or too large"),
            );
        };
        let api_path = path.strip_prefix(BASE).unwrap_or_default();
        let segments: Vec<&str> = api_path.split('/').skip(1).collect();
        self.route_admin(&head.method, &segments, &body).await
    }

    async fn route_admin(&self, method: &Method, segments: &[&str], body: &[u8]) -> Response<Body> {
        match (method, segments) {
            (&Method::GET, ["status"]) => json_response(&self.status()),
            (&Method::GET, ["figures"]) => json_response(&self.metrics.snapshot()),
            (&Method::GET, ["plans"]) => json_response(self.newest_book().plans()),
            (&Method::GET, ["allowances"]) => json_response(self.newest_book().allowances()),
            (&Method::GET, ["requests", request]) => self.request_record(request),
            (&Method::PUT, ["plans"]) => respond(self.put_list(Kind::Plans, body).await),
            (&Method::PUT, ["allowances"]) => respond(self.put_list(Kind::Allowances, body).await),
            (&Method::GET, ["stops"]) => json_response(&self.stop_list()),
            (&Method::POST, ["stops"]) => respond(self.change_stop(body, true).await),
            (&Method::DELETE, ["stops"]) => respond(self.change_stop(body, false).await),
            (&Method::GET, ["replicas"]) => respond(self.replica_states()),
            (&Method::POST, ["replicas", vm, "readmit"]) => respond(self.readmit(vm).await),
            (&Method::DELETE, ["replicas", vm]) => respond(self.remove_replica(vm).await),
            (&Method::POST, ["claims", "accept-risk"]) => {
                respond(self.accept_claim_risk(body).await)
            }
            _ => problem_response(StatusCode::NOT_FOUND, &no_such_path(&segments.join("/"))),
        }
    }

    /// Whether the request carries the key of an operator in the settings.
    fn is_operator(&self, request: &Request<Incoming>) -> bool {
        let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let key = header.and_then(|header| header.strip_prefix("Bearer "));
        key.is_some_and(|key| permits(&self.settings.operators, key))
    }

    fn status(&self) -> Status {
        let book = self.newest_book();
        let this_vm = self.settings.this();
        let members = self.known_vms().into_iter().map(|peer| Member {
            vm: peer.vm,
            region: peer.region,
            address: peer.callers,
        });
        let now = self.clock.now();
        let targets = self.targets();
        Status {
            vm: this_vm.vm.clone(),
            region: this_vm.region.clone(),
            zone: this_vm.zone.clone(),
            versions: Versions {
                plans: book.plans().version,
                allowances: book.allowances().version,
            },
            members: members.collect(),
            replicas: self.settings.replicas.clone(),
            targets: targets.usable(now).map(target_status).collect(),
            elsewhere: targets.capacities(now).map(remote_capacity).collect(),
        }
    }

    /// The record of a recent request: its outcome, and the VMs and the target that it went through.
    fn request_record(&self, request: &str) -> Response<Body> {
        match self.trail().find(request) {
            Some(record) => json_response(record),
            None => problem_response(StatusCode::NOT_FOUND, &unknown_request(request)),
        }
    }
}

fn remote_capacity((region, need, capacity): (&id::Region, &Need, Capacity)) -> Elsewhere {
    Elsewhere {
        region: region.clone(),
        need: need.clone(),
        targets: capacity.targets,
        free: capacity.free,
        waiting: capacity.waiting,
    }
}

fn target_status(announcement: &Announcement) -> Target {
    let offer_name = |offer: &Offer| match offer {
        Offer::Model { model, version, .. } => format!("{model}@{version}"),
        Offer::Service { service } => service.to_string(),
    };
    Target {
        target: announcement.target.clone(),
        region: announcement.region.clone(),
        address: announcement.address,
        serves: announcement.offers.iter().map(offer_name).collect(),
        load: announcement.load,
    }
}

fn unauthenticated() -> Problem {
    let remedy = "send `Authorization: Bearer <key>` with a key whose digest stands in `operators`";
    Problem::new("unauthenticated", "the operator's key is missing or unknown", remedy)
}

fn respond<T: Serialize>(result: Result<T, (StatusCode, Problem)>) -> Response<Body> {
    match result {
        Ok(value) => json_response(&value),
        Err((status, cause)) => problem_response(status, &cause),
    }
}

pub(super) fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut reader)
        .map_err(|cause| malformed_body(&cause.to_string()))
}

pub(super) fn malformed_body(detail: &str) -> Problem {
    let remedy = "send the message that docs/API.md describes";
    Problem::new("malformed", format!("the message is not valid: {detail}"), remedy)
}

fn no_such_path(path: &str) -> Problem {
    let remedy = "see docs/API.md for the paths and methods";
    Problem::new(
        "no_such_path",
        format!("there is nothing at {BASE}/{path} for this method"),
        remedy,
    )
}

fn unknown_request(request: &str) -> Problem {
    let remedy = "ask the VM that the caller used; old requests are forgotten";
    Problem::new("unknown_request", format!("request `{request}` is not known here"), remedy)
}

fn problem_response(status: StatusCode, problem: &Problem) -> Response<Body> {
    let mut response = json_response(problem);
    *response.status_mut() = status;
    response
}

fn json_response<T: Serialize>(value: &T) -> Response<Body> {
    let mut response = Response::new(http::full(serde_json::to_vec(value).unwrap_or_default()));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
