use hyper::HeaderMap;

use crate::wire::Header;

/// Request header: the naming scheme of the names in the request.
pub const SCHEME: &str = "pomelogate-scheme";
/// Request header: the [`Class`](super::Class), `interactive` or `batch`.
pub const CLASS: &str = "pomelogate-class";
/// Request header: the adapter of the model.
pub const ADAPTER: &str = "pomelogate-adapter";
/// Request header: the version of the model.
pub const VERSION: &str = "pomelogate-version";
/// The request's identifier, in requests to targets and in responses to callers.
pub const REQUEST: &str = "pomelogate-request";
/// Response header: the VMs that the request crossed and the target, joined by ` > `.
pub const WAY: &str = "pomelogate-way";
/// Response header: the outcome of the request, `answered`, `refused` or `unknown`.
pub const OUTCOME: &str = "pomelogate-outcome";
/// Header of a target's response: the path that resumes a broken stream. `GET` with a `Range` in
/// bytes fetches the rest; `DELETE` discards it.
pub const RESUME: &str = "pomelogate-resume";
/// Header of a target's response: the requests a second, as a decimal number, that the target takes
/// from all VMs together for as long as its responses say so.
pub const LIMIT: &str = "server-limit";
/// Request header: the caller's timeout, in milliseconds.
pub const TIMEOUT_MS: &str = "pomelogate-timeout-ms";
/// Request header: the key that identifies a call which must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The headers of a caller's request that are forwarded to the target.
pub const FORWARDED_HEADERS: [&str; 5] =
    ["accept", "accept-language", "content-type", IDEMPOTENCY_KEY, CLASS];

/// Copies those of `headers` that are forwarded to the target.
///
/// ```
/// use hyper::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("authorization", "Bearer secret".parse().unwrap());
/// headers.insert("accept", "text/event-stream".parse().unwrap());
/// let forwarded = pomelogate::path::forwarded_headers(&headers);
/// assert_eq!(forwarded.len(), 1);
/// ```
pub fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    FORWARDED_HEADERS
        .iter()
        .filter_map(|name| {
            let value = headers.get(*name)?;
            Some(Header { name: (*name).to_owned(), value: value.as_bytes().to_vec() })
        })
        .collect()
}
