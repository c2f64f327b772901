use hyper::HeaderMap;

use crate::wire::Header;

/// Names the naming scheme of the request's names.
pub const SCHEME: &str = "pomelogate-scheme";
/// Names the class of the request: `interactive` or `batch`.
pub const CLASS: &str = "pomelogate-class";
/// Names the adapter that the request needs.
pub const ADAPTER: &str = "pomelogate-adapter";
/// Names the version of the model that the request needs.
pub const VERSION: &str = "pomelogate-version";
/// Names the request, on its answer and towards targets.
pub const REQUEST: &str = "pomelogate-request";
/// Names the VMs and the target that the answer came through.
pub const WAY: &str = "pomelogate-way";
/// Says what became of the request: `answered`, `refused` or `unknown`.
pub const OUTCOME: &str = "pomelogate-outcome";
/// On a target's answer: the path under which the rest of a broken stream can be had, by `GET`
/// with a `Range` in bytes, and by `DELETE` be given up.
pub const RESUME: &str = "pomelogate-resume";
/// The milliseconds after which the caller no longer wants the answer.
pub const TIMEOUT_MS: &str = "pomelogate-timeout-ms";
/// Names a call that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The headers of a caller that reach a target.
pub const FORWARDED_HEADERS: [&str; 5] =
    ["accept", "accept-language", "content-type", IDEMPOTENCY_KEY, CLASS];

/// The headers of `headers` that reach a target.
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
