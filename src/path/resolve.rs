use hyper::{HeaderMap, body::Bytes};
use serde_json::Value;

use super::{Authenticated, Request, header};
use crate::{
    id,
    list::{Allowance, Plan},
    outcome::{Reason, Refusal},
    target::Need,
    wire::Pair,
};

/// The path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";
const SERVICES: &str = "/v1/services/";

/// The third stage: what the request needs is known in canonical names.
#[derive(Debug)]
pub struct Resolved {
    /// The customer's plan.
    pub plan: Plan,
    /// What the plan may use.
    pub allowance: Allowance,
    /// What the request needs.
    pub need: Need,
    /// The path at the target.
    pub target_path: String,
    /// The headers that reach the target.
    pub headers: Vec<Pair>,
    /// The whole body, with names in it canonical.
    pub body: Bytes,
    /// The idempotency key.
    pub key: Option<String>,
    /// Whether running the request more than once does no harm.
    pub idempotent: bool,
}

impl Request<Authenticated> {
    /// Resolves the names in the request.
    ///
    /// # Errors
    ///
    /// Where the request is malformed or a name is unknown or ambiguous.
    pub fn resolve(self, body: Bytes) -> Result<Request<Resolved>, Refusal> {
        if self.path == CHAT {
            self.resolve_chat(&body)
        } else if self.path.starts_with(SERVICES) {
            self.resolve_service(body)
        } else {
            Err(Refusal::new(
                Reason::UnknownName,
                format!("there is nothing at `{}`", self.path),
                "use a path that docs/API.md describes",
            ))
        }
    }

    fn resolve_chat(self, body: &[u8]) -> Result<Request<Resolved>, Refusal> {
        let mut json: Value = serde_json::from_slice(body).map_err(|cause| {
            malformed(&format!("the body is not JSON: {cause}"), "send a JSON object")
        })?;
        let name = json.get("model").and_then(Value::as_str).ok_or_else(|| {
            malformed("the body names no model", "set `model` to the name of a model")
        })?;
        let headers = &self.stage.headers;
        let need = Need::Model {
            model: id::Model::from(name),
            version: text(headers, header::VERSION)?.map(id::Version::from),
            adapter: text(headers, header::ADAPTER)?.map(id::Adapter::from),
        };
        if let Need::Model { model, .. } = &need {
            json["model"] = Value::from(model.as_str());
        }
        let target_path = self.path.clone();
        Ok(self.resolved(need, target_path, Bytes::from(json.to_string()), true))
    }

    fn resolve_service(self, body: Bytes) -> Result<Request<Resolved>, Refusal> {
        let rest = self.path.strip_prefix(SERVICES).unwrap_or_default();
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, path) = rest.split_at(end);
        if name.is_empty() {
            return Err(malformed("the path names no service", "use `/v1/services/<name>/<path>`"));
        }
        let need = Need::Service { service: id::Service::from(name) };
        let target_path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
        let idempotent = self.method.is_safe();
        Ok(self.resolved(need, target_path, body, idempotent))
    }

    fn resolved(
        self,
        need: Need,
        target_path: String,
        body: Bytes,
        idempotent: bool,
    ) -> Request<Resolved> {
        let headers = header::forwarded(&self.stage.headers);
        let key = text(&self.stage.headers, header::IDEMPOTENCY_KEY).ok().flatten();
        let key = key.map(str::to_owned);
        let plan = self.stage.plan.clone();
        let allowance = self.stage.allowance.clone();
        self.at(Resolved { plan, allowance, need, target_path, headers, body, key, idempotent })
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| {
        malformed(&format!("the header `{name}` is not text"), "use printable ASCII characters")
    })?;
    Ok(Some(text))
}

fn malformed(detail: &str, remedy: &str) -> Refusal {
    Refusal::new(Reason::Malformed, detail, remedy)
}
