use std::{fmt, str::FromStr};

use hyper::header::HeaderValue;

/// The lowest rate that VMs send at. A target that names less, or zero, still gets a request now and
/// then, because only its answers tell that the limit has risen.
const MIN_PER_SEC: f64 = 0.1;

/// The requests a second that a target takes from all VMs together.
///
/// ```
/// use pomelogate::throttle::Limit;
///
/// assert_eq!("0.5".parse::<Limit>().unwrap().per_sec(), 0.5);
/// assert!("-1".parse::<Limit>().is_err() && "fast".parse::<Limit>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Limit(f64);

/// A limit that is no number of requests a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitError(String);

impl Limit {
    /// Requests a second.
    pub fn per_sec(self) -> f64 {
        self.0
    }

    /// A limit of `per_sec` requests a second, if that is a number of at least zero.
    pub(super) fn new(per_sec: f64) -> Option<Self> {
        (per_sec.is_finite() && per_sec >= 0.0).then(|| Self(per_sec.max(MIN_PER_SEC)))
    }
}

impl FromStr for Limit {
    type Err = LimitError;

    fn from_str(text: &str) -> Result<Self, LimitError> {
        let per_sec = text.trim().parse().ok();
        per_sec.and_then(Self::new).ok_or_else(|| LimitError(text.to_owned()))
    }
}

impl TryFrom<&HeaderValue> for Limit {
    type Error = LimitError;

    fn try_from(value: &HeaderValue) -> Result<Self, LimitError> {
        String::from_utf8_lossy(value.as_bytes()).parse()
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for LimitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no limit; name the requests a second as a decimal number", self.0)
    }
}

impl std::error::Error for LimitError {}
