use std::{fmt, time::Duration};

use super::Reason;

/// Why a request was refused. It did not run, so sending it again is safe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, as a code.
    pub reason: Reason,
    /// What happened, as text for the caller.
    pub detail: String,
    /// What the caller can do about it.
    pub remedy: String,
    /// How long to wait before sending the request again; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
    /// The URL of another VM that the caller should send the request to.
    pub location: Option<String>,
}

impl Refusal {
    /// Creates a refusal with no `retry_after` and no `location`.
    ///
    /// ```
    /// use pomelogate::outcome::{Reason, Refusal};
    ///
    /// let refusal = Refusal::new(Reason::NoTarget, "no engine serves `plum`", "try again later");
    /// assert_eq!(refusal.to_string(), "no engine serves `plum`; try again later");
    /// ```
    pub fn new(reason: Reason, detail: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            remedy: remedy.into(),
            retry_after: None,
            location: None,
        }
    }

    /// Sets the URL to send the request to.
    #[must_use]
    pub fn location(self, location: String) -> Self {
        Self { location: Some(location), ..self }
    }

    /// Sets how long to wait before sending the request again.
    #[must_use]
    pub fn retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {}", self.detail, self.remedy)
    }
}

impl std::error::Error for Refusal {}
