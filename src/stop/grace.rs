use std::time::{Duration, Instant};

use super::{AnswerTimes, InFlight};

/// How long callers may count on being served by a VM that stops: until then they may not know of it.
const NOTICE_PERIOD: Duration = Duration::from_millis(2800);
/// In shorter graces, this part of them is used.
const NOTICE_DIVISOR: u32 = 2;
/// The share of recent answers that would have come in time, for a request to be sent within the
/// notice period.
const USUAL_SHARE: f64 = 0.9;

/// The time within which a VM that stops must finish its requests.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::stop::{AnswerTimes, Grace, InFlight};
///
/// let start = Instant::now();
/// let grace = Grace::new(start, Duration::from_secs(8));
/// let after = |secs| start + Duration::from_secs(secs);
/// let timeout = Duration::from_secs(60);
/// let mut times = AnswerTimes::default();
/// let mut in_flight = InFlight::default();
/// assert!(!grace.admits(Some(&times), &in_flight, "chat", timeout, start), "its answer may take up to 60 s");
/// for _ in 0..20 {
///     times.record(Duration::from_secs(1), start);
/// }
/// times.record(Duration::from_secs(4), start);
/// assert!(grace.admits(Some(&times), &in_flight, "chat", timeout, after(2)));
/// assert!(!grace.admits(Some(&times), &in_flight, "chat", timeout, after(3)), "it may take up to 60 s");
/// assert!(grace.admits(None, &in_flight, "chat", Duration::from_secs(1), after(6)));
/// in_flight.begin("chat", start);
/// let later = Grace::new(after(5), Duration::from_secs(8));
/// assert!(!later.admits(Some(&times), &in_flight, "chat", timeout, after(7)), "one has taken 7 s");
/// assert!(later.admits(Some(&times), &InFlight::default(), "chat", timeout, after(7)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    ends_at: Instant,
    notice_ends_at: Instant,
}

impl Grace {
    /// The grace of a stop that begins at `now` and leaves requests this time.
    pub fn new(now: Instant, length: Duration) -> Self {
        let notice = NOTICE_PERIOD.min(length / NOTICE_DIVISOR);
        Self { ends_at: now + length, notice_ends_at: now + notice }
    }

    /// When the last answer must have come.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Whether the answer to a request that is sent at `now` can be expected before the end of the
    /// grace, given how long such answers took lately, how long those in flight on `route` have
    /// taken so far, and how long it may take at most. After the notice period, that time decides.
    pub fn admits(
        &self,
        recent: Option<&AnswerTimes>,
        in_flight: &InFlight,
        route: &str,
        longest: Duration,
        now: Instant,
    ) -> bool {
        // Callers know of the stop by then and can go elsewhere, so that nothing is left to what is usual.
        if now >= self.notice_ends_at {
            return now + longest <= self.ends_at;
        }
        let age = in_flight.median_age(route, now);
        let recent = recent.and_then(|times| times.quantile(USUAL_SHARE, now));
        let expected = recent.map_or(longest, |recent| recent.max(age.unwrap_or_default()));
        now + expected.min(longest) <= self.ends_at
    }
}
