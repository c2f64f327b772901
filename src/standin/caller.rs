use std::{net::SocketAddr, time::Duration};

use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request, body::Bytes};

use crate::{
    http::{self, RequestError},
    path::{OUTCOME, WAY},
};

const CONNECT: Duration = Duration::from_secs(1);
const ANSWER: Duration = Duration::from_secs(30);

/// A caller of one customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The customer's key.
    pub key: String,
    /// Headers that go with every request.
    pub headers: Vec<(String, String)>,
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, as far as it came.
    pub body: Bytes,
    /// Whether the body is whole.
    pub whole: bool,
}

impl Reply {
    /// The way that the answer took.
    pub fn way(&self) -> &str {
        self.text(WAY)
    }

    /// What became of the request: `answered`, `refused` or `unknown`.
    pub fn outcome(&self) -> &str {
        self.text(OUTCOME)
    }

    /// The body as text.
    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    fn text(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

impl Caller {
    /// A caller with `key`.
    pub fn new(key: &str) -> Self {
        Self { key: key.to_owned(), headers: Vec::new() }
    }

    /// The same caller with one more header.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends a chat completion with one message to `vm`.
    ///
    /// # Errors
    ///
    /// Where no head of an answer came.
    pub async fn chat(
        &self,
        vm: SocketAddr,
        model: &str,
        text: &str,
        stream: bool,
    ) -> Result<Reply, RequestError> {
        let message = serde_json::json!({ "role": "user", "content": text });
        let body = serde_json::json!({ "model": model, "stream": stream, "messages": [message] });
        self.send(vm, Method::POST, "/v1/chat/completions", body.to_string()).await
    }

    /// Sends any request to `vm`.
    ///
    /// # Errors
    ///
    /// Where no head of an answer came.
    pub async fn send(
        &self,
        vm: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Reply, RequestError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", vm.to_string())
            .header("content-type", "application/json");
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(http::full(body))
            .map_err(|cause| RequestError::NotSent(cause.to_string()))?;
        let (response, _driver) = http::send_request(vm, request, CONNECT, ANSWER).await?;
        let (head, mut incoming) = response.into_parts();
        let mut body = Vec::new();
        let mut whole = true;
        while let Some(frame) = incoming.frame().await {
            match frame {
                Ok(frame) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        let status = head.status.as_u16();
        Ok(Reply { status, headers: head.headers, body: Bytes::from(body), whole })
    }
}
