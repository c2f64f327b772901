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

const CHANGE_LIMIT: usize = 32 * 1024 * 1024;

impl Vm {
    /// Takes an operator's request.
    pub(super) async fn administer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if !self.is_operator(&request) {
            event::product::KEY.emit(&self.logger, &[("path", &path)]);
            return problem(StatusCode::UNAUTHORIZED, &unauthenticated());
        }
        event::product::OPERATOR
            .emit(&self.logger, &[("method", request.method()), ("path", &path)]);
        let (head, body) = request.into_parts();
        let Ok(body) = http::collect(body, CHANGE_LIMIT).await else {
            return problem(StatusCode::BAD_REQUEST, &malformed("cut short or too large"));
        };
        let rest = path.strip_prefix(BASE).unwrap_or_default();
        let steps: Vec<&str> = rest.split('/').skip(1).collect();
        self.act(&head.method, &steps, &body).await
    }

    async fn act(&self, method: &Method, steps: &[&str], body: &[u8]) -> Response<Body> {
        match (method, steps) {
            (&Method::GET, ["status"]) => json(&self.status()),
            (&Method::GET, ["figures"]) => json(&self.metrics.snapshot()),
            (&Method::GET, ["plans"]) => json(self.newest_book().plans()),
            (&Method::GET, ["allowances"]) => json(self.newest_book().allowances()),
            (&Method::GET, ["requests", request]) => self.way(request),
            (&Method::PUT, ["plans"]) => answer(self.put(Kind::Plans, body).await),
            (&Method::PUT, ["allowances"]) => answer(self.put(Kind::Allowances, body).await),
            (&Method::GET, ["stops"]) => json(&self.planned()),
            (&Method::POST, ["stops"]) => answer(self.stop(body, true).await),
            (&Method::DELETE, ["stops"]) => answer(self.stop(body, false).await),
            (&Method::GET, ["replicas"]) => answer(self.replica_states()),
            (&Method::POST, ["replicas", vm, "readmit"]) => answer(self.readmit(vm).await),
            (&Method::DELETE, ["replicas", vm]) => answer(self.remove_replica(vm).await),
            (&Method::POST, ["claims", "accept-risk"]) => answer(self.accept(body).await),
            _ => problem(StatusCode::NOT_FOUND, &no_such_path(&steps.join("/"))),
        }
    }

    fn is_operator(&self, request: &Request<Incoming>) -> bool {
        let value = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let key = value.and_then(|value| value.strip_prefix("Bearer "));
        key.is_some_and(|key| permits(&self.settings.operators, key))
    }

    fn status(&self) -> Status {
        let book = self.newest_book();
        let this = self.settings.this();
        let members = self.known_vms().into_iter().map(|peer| Member {
            vm: peer.vm,
            region: peer.region,
            address: peer.callers,
        });
        let now = self.clock.now();
        let targets = self.targets();
        Status {
            vm: this.vm.clone(),
            region: this.region.clone(),
            zone: this.zone.clone(),
            versions: Versions {
                plans: book.plans().version,
                allowances: book.allowances().version,
            },
            members: members.collect(),
            replicas: self.settings.replicas.clone(),
            targets: targets.usable(now).map(target).collect(),
            elsewhere: targets.capacities(now).map(elsewhere).collect(),
        }
    }

    fn way(&self, request: &str) -> Response<Body> {
        match self.trail().find(request) {
            Some(way) => json(way),
            None => problem(StatusCode::NOT_FOUND, &unknown_request(request)),
        }
    }
}

fn elsewhere((region, need, capacity): (&id::Region, &Need, Capacity)) -> Elsewhere {
    Elsewhere {
        region: region.clone(),
        need: need.clone(),
        targets: capacity.targets,
        free: capacity.free,
        waiting: capacity.waiting,
    }
}

fn target(announcement: &Announcement) -> Target {
    let serves = |offer: &Offer| match offer {
        Offer::Model { model, version, .. } => format!("{model}@{version}"),
        Offer::Service { service } => service.to_string(),
    };
    Target {
        target: announcement.target.clone(),
        region: announcement.region.clone(),
        address: announcement.address,
        serves: announcement.offers.iter().map(serves).collect(),
        load: announcement.load,
    }
}

fn unauthenticated() -> Problem {
    let remedy = "send `Authorization: Bearer <key>` with a key whose digest stands in `operators`";
    Problem::new("unauthenticated", "the operator's key is missing or unknown", remedy)
}

fn answer<T: Serialize>(result: Result<T, (StatusCode, Problem)>) -> Response<Body> {
    match result {
        Ok(value) => json(&value),
        Err((status, cause)) => problem(status, &cause),
    }
}

pub(super) fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut reader).map_err(|cause| malformed(&cause.to_string()))
}

pub(super) fn malformed(detail: &str) -> Problem {
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

fn problem(status: StatusCode, problem: &Problem) -> Response<Body> {
    let mut response = json(problem);
    *response.status_mut() = status;
    response
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    let mut response = Response::new(http::full(serde_json::to_vec(value).unwrap_or_default()));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
