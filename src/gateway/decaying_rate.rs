use std::time::Instant;

/// Requests a second, lately: older ones count less, by the e-th part each second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    count: f64,
    at: Option<Instant>,
}

impl DecayingRate {
    /// The rate at `now`.
    pub(super) fn at(&self, now: Instant) -> f64 {
        let passed = self.at.map(|at| now.saturating_duration_since(at).as_secs_f64());
        self.count * (-passed.unwrap_or(0.0)).exp()
    }

    /// Counts a request.
    pub(super) fn count(&mut self, now: Instant) {
        *self = Self { count: self.at(now) + 1.0, at: Some(now) };
    }
}
