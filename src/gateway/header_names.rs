use hyper::{HeaderMap, header::HeaderName};

/// The names of the headers that callers, targets and VMs use between each other, apart from those
/// of HTTP itself.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The identifier of a request, which targets echo.
    pub request_id: HeaderName,
    /// Milliseconds until the caller gives up.
    pub timeout_ms: HeaderName,
    /// Names the target that is meant; any other one does not run the request.
    pub expected_target: HeaderName,
    /// A target's load: running, waiting, slots.
    pub load: HeaderName,
    /// Says that a target did not run the request.
    pub not_executed: HeaderName,
    /// A target's proof that an answer is its own.
    pub signature: HeaderName,
    /// The parts of a prompt.
    pub prompt_parts: HeaderName,
    /// The tokens of a prompt and the most tokens of its answer.
    pub token_counts: HeaderName,
    /// The number of the last whole event that was received.
    pub last_event_id: HeaderName,
    /// The urgency of a request at a target, from 0, the most urgent.
    pub priority: HeaderName,
    /// Names the target from which another one is to copy the parts of a prompt that it keeps.
    pub prompt_cache_source: HeaderName,
    /// Headers that only VMs may set; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

/// Headers that concern one connection alone.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "te",
    "trailer",
    "expect",
];

impl HeaderNames {
    /// The headers that are passed on to a target.
    pub fn filter_request_headers(&self, mut headers: HeaderMap) -> HeaderMap {
        strip(&mut headers);
        for name in &self.reserved {
            headers.remove(name);
        }
        headers.remove(&self.expected_target);
        headers.remove(&self.priority);
        headers.remove(&self.prompt_cache_source);
        headers
    }

    /// The headers that are passed back to a caller.
    pub fn filter_response_headers(&self, mut headers: HeaderMap) -> HeaderMap {
        strip(&mut headers);
        headers
    }
}

fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
