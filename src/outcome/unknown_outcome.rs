use std::fmt;

/// The reason why it is unknown whether a request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownOutcome {
    /// What happened, as text for the caller.
    pub detail: String,
    /// Whether an earlier request with the same idempotency key is still running the call.
    pub still_running: bool,
}

impl UnknownOutcome {
    /// The outcome of a request whose call is still being run by an earlier request with the same key.
    ///
    /// ```
    /// use pomelogate::outcome::UnknownOutcome;
    ///
    /// assert!(UnknownOutcome::still_running("request 7 is running it").still_running);
    /// assert!(!UnknownOutcome::from("the link closed").still_running);
    /// ```
    pub fn still_running(detail: impl Into<String>) -> Self {
        Self { detail: detail.into(), still_running: true }
    }
}

impl From<String> for UnknownOutcome {
    fn from(detail: String) -> Self {
        Self { detail, still_running: false }
    }
}

impl From<&str> for UnknownOutcome {
    fn from(detail: &str) -> Self {
        Self::from(detail.to_owned())
    }
}

impl fmt::Display for UnknownOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}
