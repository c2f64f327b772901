use hyper::{HeaderMap, body::Bytes};
use serde_json::Value;

use super::{Authenticated, Request, header};
use crate::{
    list::{Allowance, Plan},
    name::{Catalogue, Scheme},
    outcome::{Reason, Refusal},
    target::Need,
    wire::Header,
};

/// The HTTP path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
const SERVICES_PREFIX: &str = "/v1/services/";

/// The third stage: the names in the request are resolved to canonical names.
#[derive(Debug)]
pub struct Resolved {
    /// The customer's plan.
    pub plan: Plan,
    /// What the plan permits.
    pub allowance: Allowance,
    /// The model or service that the request needs.
    pub need: Need,
    /// The HTTP path and query at the target.
    pub target_path: String,
    /// The caller's headers that are forwarded to the target.
    pub target_headers: Vec<Header>,
    /// The whole body, with canonical names.
    pub body: Bytes,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// `max_tokens` of the request.
    pub max_output_tokens: Option<u32>,
}

impl Request<Authenticated> {
    /// Resolves the names in the request. Later steps use the canonical names only.
    ///
    /// # Errors
    ///
    /// If the request is malformed, or a name is unknown or ambiguous.
    pub fn resolve(self, names: &Catalogue, body: Bytes) -> Result<Request<Resolved>, Refusal> {
        let scheme = match header_text(&self.stage.headers, header::SCHEME)? {
            Some(name) => Some(names.scheme(name)?),
            None => self.stage.plan.scheme.clone(),
        };
        if self.path_and_query == CHAT_PATH {
            self.resolve_chat(names, scheme.as_ref(), &body)
        } else if self.path_and_query.starts_with(SERVICES_PREFIX) {
            self.resolve_service(names, scheme.as_ref(), body)
        } else {
            Err(Refusal::new(
                Reason::UnknownName,
                format!("there is nothing at `{}`", self.path_and_query),
                "use a path that docs/API.md describes",
            ))
        }
    }

    fn resolve_chat(
        self,
        names: &Catalogue,
        scheme: Option<&Scheme>,
        body: &[u8],
    ) -> Result<Request<Resolved>, Refusal> {
        let mut json: Value = serde_json::from_slice(body).map_err(|cause| {
            malformed(&format!("the body is not JSON: {cause}"), "send a JSON object")
        })?;
        let name = json.get("model").and_then(Value::as_str).ok_or_else(|| {
            malformed("the body names no model", "set `model` to the name of a model")
        })?;
        let model = names.model(scheme, name)?;
        let headers = &self.stage.headers;
        let version = header_text(headers, header::VERSION)?;
        let version = version.map(|name| names.version(&model, name)).transpose()?;
        let adapter = header_text(headers, header::ADAPTER)?;
        let adapter = adapter.map(|name| names.adapter(&model, name)).transpose()?;
        json["model"] = Value::from(model.as_str());
        let max_output_tokens =
            json["max_tokens"].as_u64().and_then(|tokens| tokens.try_into().ok());
        let need = Need::Model { model, version, adapter };
        let body = Bytes::from(json.to_string());
        let resolved = self.resolved_stage(need, self.path_and_query.clone(), body);
        let stage = Resolved { max_output_tokens, ..resolved };
        Ok(self.with_stage(stage))
    }

    fn resolve_service(
        self,
        names: &Catalogue,
        scheme: Option<&Scheme>,
        body: Bytes,
    ) -> Result<Request<Resolved>, Refusal> {
        let name_and_path = self.path_and_query.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
        let name_len = name_and_path.find(['/', '?']).unwrap_or(name_and_path.len());
        let (name, path) = name_and_path.split_at(name_len);
        if name.is_empty() {
            return Err(malformed("the path names no service", "use `/v1/services/<name>/<path>`"));
        }
        let service = names.service(scheme, name)?;
        let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
        let stage = self.resolved_stage(Need::Service { service }, path, body);
        Ok(self.with_stage(stage))
    }

    fn resolved_stage(&self, need: Need, target_path: String, body: Bytes) -> Resolved {
        let idempotency_key =
            header_text(&self.stage.headers, header::IDEMPOTENCY_KEY).ok().flatten();
        Resolved {
            plan: self.stage.plan.clone(),
            allowance: self.stage.allowance.clone(),
            idempotent: self.method.is_safe() || matches!(need, Need::Model { .. }),
            need,
            target_path,
            target_headers: header::forwarded_headers(&self.stage.headers),
            body,
            idempotency_key: idempotency_key.map(str::to_owned),
            max_output_tokens: None,
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| {
        malformed(&format!("the header `{name}` is not text"), "use printable ASCII characters")
    })?;
    Ok(Some(text))
}

fn malformed(detail: &str, remedy: &str) -> Refusal {
    Refusal::new(Reason::Malformed, detail, remedy)
}
