use hyper::{HeaderMap, header::HeaderName};

/// The names of the headers that callers, targets and VMs use between each other, apart from those
/// of HTTP itself.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The identifier of a request, which targets echo.
    pub request: HeaderName,
    /// Milliseconds until the caller gives up.
    pub time_left: HeaderName,
    /// Names the target that is meant; any other one does not run the request.
    pub expect_target: HeaderName,
    /// A target's load: running, waiting, slots.
    pub load: HeaderName,
    /// Says that a target did not run the request.
    pub not_run: HeaderName,
    /// A target's proof that an answer is its own.
    pub proof: HeaderName,
    /// The parts of a prompt.
    pub parts: HeaderName,
    /// The tokens of a prompt and the most tokens of its answer.
    pub tokens: HeaderName,
    /// The number of the last whole event that was received.
    pub last_event: HeaderName,
    /// The urgency of a request at a target, from 0, the most urgent.
    pub urgency: HeaderName,
    /// Names the target from which another one is to copy the parts of a prompt that it keeps.
    pub fetch: HeaderName,
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

impl Dialect {
    /// The headers that are passed on to a target.
    pub fn to_target(&self, mut headers: HeaderMap) -> HeaderMap {
        strip(&mut headers);
        for name in &self.reserved {
            headers.remove(name);
        }
        headers.remove(&self.expect_target);
        headers.remove(&self.urgency);
        headers.remove(&self.fetch);
        headers
    }

    /// The headers that are passed back to a caller.
    pub fn to_caller(&self, mut headers: HeaderMap) -> HeaderMap {
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
