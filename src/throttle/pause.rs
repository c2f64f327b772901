use std::{fmt, str::FromStr, time::Duration};

use hyper::header::HeaderValue;

/// The longest pause that a target gets. It is asked again after that.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// The time for which a target asks a VM to send it nothing.
///
/// ```
/// use std::time::Duration;
/// use pomelogate::throttle::Pause;
///
/// assert_eq!("2.5".parse::<Pause>().unwrap().duration(), Duration::from_millis(2500));
/// assert_eq!("1000000000000".parse::<Pause>().unwrap().duration(), Duration::from_secs(600));
/// assert!("-5".parse::<Pause>().is_err() && "soon".parse::<Pause>().is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pause(Duration);

/// A pause that is no number of seconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PauseError(String);

impl Pause {
    /// The pause of a target that asks for one without a readable length: it is in need of some.
    pub const UNREADABLE: Self = Self(Duration::from_secs(1));

    /// A pause of so many milliseconds, or the longest one.
    pub(super) fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis).min(MAX_PAUSE))
    }

    /// The length of the pause.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl FromStr for Pause {
    type Err = PauseError;

    fn from_str(text: &str) -> Result<Self, PauseError> {
        let secs: Option<f64> = text.trim().parse().ok();
        let secs = secs.filter(|secs| *secs >= 0.0).ok_or_else(|| PauseError(text.to_owned()))?;
        Ok(Self(Duration::from_secs_f64(secs.min(MAX_PAUSE.as_secs_f64()))))
    }
}

impl TryFrom<&HeaderValue> for Pause {
    type Error = PauseError;

    fn try_from(value: &HeaderValue) -> Result<Self, PauseError> {
        String::from_utf8_lossy(value.as_bytes()).parse()
    }
}

impl fmt::Display for PauseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no pause; name the seconds as a decimal number", self.0)
    }
}

impl std::error::Error for PauseError {}
