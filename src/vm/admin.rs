use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};

use super::Vm;
use crate::{
    admin::{BASE, Change, Member, Problem, Status, Stop, Target, Versions, permits},
    event,
    http::{self, Body},
    list::{Allowance, Plan},
    target::{Announcement, Offer},
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
        self.act(&head.method, &steps, &body)
    }

    fn act(&self, method: &Method, steps: &[&str], body: &[u8]) -> Response<Body> {
        match (method, steps) {
            (&Method::GET, ["status"]) => json(&self.status()),
            (&Method::GET, ["figures"]) => json(&self.board.snapshot()),
            (&Method::GET, ["plans"]) => json(self.book().plans()),
            (&Method::GET, ["allowances"]) => json(self.book().allowances()),
            (&Method::GET, ["requests", request]) => self.way(request),
            (&Method::PUT, ["plans"]) => not_built(read::<Change<Plan>>(body)),
            (&Method::PUT, ["allowances"]) => not_built(read::<Change<Allowance>>(body)),
            (&Method::POST | &Method::DELETE, ["stops"]) => not_built(read::<Stop>(body)),
            (&Method::GET, ["stops"] | ["replicas"])
            | (&Method::POST, ["replicas", _, "readmit"]) => not_built(Ok(())),
            _ => problem(StatusCode::NOT_FOUND, &no_such_path(&steps.join("/"))),
        }
    }

    fn is_operator(&self, request: &Request<Incoming>) -> bool {
        let value = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let key = value.and_then(|value| value.strip_prefix("Bearer "));
        key.is_some_and(|key| permits(&self.settings.operators, key))
    }

    fn status(&self) -> Status {
        let book = self.book();
        let this = self.settings.this();
        let members = std::iter::once(&this)
            .chain(self.others())
            .map(|peer| Member {
                vm: peer.vm.clone(),
                region: peer.region.clone(),
                address: peer.callers,
            })
            .collect();
        let now = self.clock.now();
        Status {
            vm: this.vm.clone(),
            region: this.region.clone(),
            zone: this.zone.clone(),
            versions: Versions {
                plans: book.plans().version,
                allowances: book.allowances().version,
            },
            members,
            targets: self.targets().usable(now).map(target).collect(),
        }
    }

    fn way(&self, request: &str) -> Response<Body> {
        match self.trail().find(request) {
            Some(way) => json(way),
            None => problem(StatusCode::NOT_FOUND, &unknown_request(request)),
        }
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

/// The answer where the message is in order, but nothing acts on it yet.
fn not_built<T>(message: Result<T, Problem>) -> Response<Body> {
    if let Err(malformed) = message {
        return problem(StatusCode::BAD_REQUEST, &malformed);
    }
    let remedy = "docs/API.md says what works; until then change the files that the settings name";
    let cause = Problem::new("not_built", "this VM cannot do that yet", remedy);
    problem(StatusCode::NOT_IMPLEMENTED, &cause)
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut reader).map_err(|cause| malformed(&cause.to_string()))
}

fn malformed(detail: &str) -> Problem {
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
