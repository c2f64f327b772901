use std::{fmt, time::Duration};

use super::Reason;

/// A refusal: the request did not run, and sending it again is safe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of refusal.
    pub reason: Reason,
    /// What was found, for people.
    pub detail: String,
    /// What the caller can do about it.
    pub remedy: String,
    /// How long to wait before trying again, where that may help.
    pub retry_after: Option<Duration>,
    /// Where the caller should send the same request, where another VM has to take it.
    pub location: Option<String>,
}

impl Refusal {
    /// Creates a refusal without advice on when to try again.
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

    /// The same refusal with the place to send the request to.
    #[must_use]
    pub fn location(self, location: String) -> Self {
        Self { location: Some(location), ..self }
    }

    /// The same refusal with advice to wait for `delay`.
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
