use std::time::Duration;

/// The part of the withdrawal time that is left for clocks that differ and for the way to a target.
const MARGIN: Duration = Duration::from_millis(250);
/// An unknown key is refused for good only while the list of keys is known to be this recent. It may have
/// been added since, and callers do not send the request again after that answer.
const MAX_AGE_TO_REJECT: Duration = Duration::from_secs(3);

/// A VM's right to accept the keys that it knows.
///
/// A key that was withdrawn must stop on every VM within a bound. So the keys that a VM knows are good
/// only for that long after a moment at which a majority of the replicas confirmed them. Times are those
/// of [`crate::clock::Clock::since_boot`], which counts suspensions.
///
/// ```
/// use std::time::Duration;
/// use pomelogate::organisation::KeyLease;
///
/// let seconds = Duration::from_secs;
/// let mut lease = KeyLease::new(seconds(5));
/// assert!(!lease.is_valid(seconds(100)));
/// lease.record_confirmation(seconds(100));
/// assert!(lease.is_valid(seconds(104)) && !lease.is_valid(seconds(105)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct KeyLease {
    /// The time after which a withdrawn key must have stopped; zero if there is no bound.
    withdrawal: Duration,
    /// The keys that the VM has were all valid then.
    confirmed_at: Option<Duration>,
}

impl KeyLease {
    /// A lease that has not been confirmed. With a `withdrawal` of zero it always holds.
    pub fn new(withdrawal: Duration) -> Self {
        Self { withdrawal, confirmed_at: None }
    }

    /// Whether the lease ever ends.
    pub fn is_bounded(&self) -> bool {
        !self.withdrawal.is_zero()
    }

    /// Records that a majority has confirmed, at `confirmed_at` or later, that the keys that this VM has
    /// are the newest.
    pub fn record_confirmation(&mut self, confirmed_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Whether the keys that the VM knows are good now.
    pub fn is_valid(&self, now: Duration) -> bool {
        !self.is_bounded()
            || self.age(now).is_some_and(|age| age < self.withdrawal.saturating_sub(MARGIN))
    }

    /// Whether a key that the VM does not know can be refused for good.
    pub fn may_reject(&self, now: Duration) -> bool {
        !self.is_bounded() || self.age(now).is_some_and(|age| age < MAX_AGE_TO_REJECT)
    }

    /// The time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }
}
