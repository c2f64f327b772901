use std::time::Instant;

use hyper::StatusCode;

use super::Limit;

/// The answer of a target to a request, as far as it tells of the target's limit.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The limit that it names.
    pub limit: Option<Limit>,
    /// Its status.
    pub status: StatusCode,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl Answer {
    /// Whether the target has no limit any more. What refuses a request, or fails, may not know of
    /// the limit.
    ///
    /// ```
    /// use std::time::Instant;
    /// use hyper::StatusCode;
    /// use pomelogate::throttle::Answer;
    ///
    /// let answer = |status| Answer { limit: None, status, sent_at: Instant::now() };
    /// assert!(answer(StatusCode::OK).ends_limit());
    /// assert!(!answer(StatusCode::SERVICE_UNAVAILABLE).ends_limit());
    /// ```
    pub fn ends_limit(&self) -> bool {
        let is_refusal = matches!(
            self.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
        );
        self.limit.is_none() && !is_refusal && !self.status.is_server_error()
    }
}
