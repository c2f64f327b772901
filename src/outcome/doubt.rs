use std::fmt;

/// Why it is not known whether a request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// What was found, for people.
    pub detail: String,
    /// Whether an earlier request with the same idempotency key is still running the call.
    pub still_running: bool,
}

impl Doubt {
    /// The doubt about a request whose call an earlier request is still running.
    ///
    /// ```
    /// use pomelogate::outcome::Doubt;
    ///
    /// assert!(Doubt::still_running("request 7 is running it").still_running);
    /// assert!(!Doubt::from("the link closed").still_running);
    /// ```
    pub fn still_running(detail: impl Into<String>) -> Self {
        Self { detail: detail.into(), still_running: true }
    }
}

impl From<String> for Doubt {
    fn from(detail: String) -> Self {
        Self { detail, still_running: false }
    }
}

impl From<&str> for Doubt {
    fn from(detail: &str) -> Self {
        Self::from(detail.to_owned())
    }
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}
