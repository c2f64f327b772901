use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderName, HeaderValue},
};

use crate::organisation::Organisation;

/// The names of the headers that callers, targets and VMs use besides those of HTTP itself.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The request ID, which targets repeat in their responses.
    pub request_id: HeaderName,
    /// The milliseconds left until the caller's deadline.
    pub timeout_ms: HeaderName,
    /// The target that the request is meant for; any other target must not run it.
    pub expected_target: HeaderName,
    /// The load of a target: running requests, waiting requests, slots.
    pub load: HeaderName,
    /// The requests a second that a target takes from all VMs together.
    pub limit: HeaderName,
    /// In a response with status 503: the seconds for which a target asks the VM to send it nothing.
    pub pause: HeaderName,
    /// Marks the response to a request that the target did not run.
    pub not_executed: HeaderName,
    /// A target's proof that it wrote the response.
    pub signature: HeaderName,
    /// The parts of the prompt.
    pub prompt_parts: HeaderName,
    /// The number of prompt tokens and the maximum number of output tokens.
    pub token_counts: HeaderName,
    /// The ID of the last event that was received whole.
    pub last_event_id: HeaderName,
    /// The request ID under which a stream began, in a request that takes it up again.
    pub resumed_request: HeaderName,
    /// The organisation whose key a request carried, in requests to targets and between VMs.
    pub organisation: HeaderName,
    /// The priority of a request at a target; 0 is the highest.
    pub priority: HeaderName,
    /// The address of another target, from which the receiving target copies cached parts of the
    /// prompt.
    pub prompt_cache_source: HeaderName,
    /// Headers that only VMs may set; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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
    /// The headers of a caller's request that may be forwarded to a target.
    pub fn filter_request_headers(&self, mut headers: HeaderMap) -> HeaderMap {
        remove_hop_by_hop(&mut headers);
        for name in &self.reserved {
            headers.remove(name);
        }
        headers.remove(&self.expected_target);
        headers.remove(&self.priority);
        headers.remove(&self.prompt_cache_source);
        headers
    }

    /// Names the organisation whose key a request carried, whatever the caller said, and removes the key.
    pub fn set_organisation(&self, headers: &mut HeaderMap, organisation: Option<&Organisation>) {
        headers.remove(AUTHORIZATION);
        headers.remove(&self.organisation);
        let name = organisation.map(|organisation| organisation.name.as_str());
        if let Some(name) = name.and_then(|name| HeaderValue::from_str(name).ok()) {
            headers.insert(self.organisation.clone(), name);
        }
    }

    /// The headers of a target's response that may be forwarded to the caller.
    pub fn filter_response_headers(&self, mut headers: HeaderMap) -> HeaderMap {
        remove_hop_by_hop(&mut headers);
        headers
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` lists.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let connection_options: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
