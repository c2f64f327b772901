use std::time::Instant;

/// The rate of recent events. The weight of an event decays by a factor of e each second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingRate {
    per_sec: f64,
    updated_at: Option<Instant>,
}

impl DecayingRate {
    /// The rate at `now`.
    pub(super) fn per_sec(&self, now: Instant) -> f64 {
        let elapsed_secs =
            self.updated_at.map(|at| now.saturating_duration_since(at).as_secs_f64());
        self.per_sec * (-elapsed_secs.unwrap_or(0.0)).exp()
    }

    /// Records an event.
    pub(super) fn record(&mut self, now: Instant) {
        *self = Self { per_sec: self.per_sec(now) + 1.0, updated_at: Some(now) };
    }
}
