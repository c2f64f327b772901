use std::time::Instant;

/// The time constant of the decay. Peaks and bursts last 5 to 12 s, and shares must follow well within
/// that time.
const DECAY_SECS: f64 = 4.0;

/// What a group of requests lately asked for and got. Older amounts decay.
#[derive(Clone, Copy, Debug)]
pub(super) struct Account {
    pub(super) offered_requests: f64,
    pub(super) admitted_requests: f64,
    pub(super) offered_work: f64,
    pub(super) admitted_work: f64,
    pub(super) weight: Option<f64>,
    updated_at: Instant,
}

impl Account {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            offered_requests: 0.0,
            admitted_requests: 0.0,
            offered_work: 0.0,
            admitted_work: 0.0,
            weight: None,
            updated_at: now,
        }
    }

    /// The account as it stands at `now`.
    pub(super) fn at(&self, now: Instant) -> Self {
        let elapsed_secs = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let factor = (-elapsed_secs / DECAY_SECS).exp();
        Self {
            offered_requests: self.offered_requests * factor,
            admitted_requests: self.admitted_requests * factor,
            offered_work: self.offered_work * factor,
            admitted_work: self.admitted_work * factor,
            weight: self.weight,
            updated_at: self.updated_at.max(now),
        }
    }

    pub(super) fn record(&mut self, work: f64, is_admitted: bool, now: Instant) {
        *self = self.at(now);
        self.offered_requests += 1.0;
        self.offered_work += work;
        if is_admitted {
            self.admitted_requests += 1.0;
            self.admitted_work += work;
        }
    }

    /// Records that a request that was admitted did not run.
    pub(super) fn withdraw(&mut self, work: f64, now: Instant) {
        *self = self.at(now);
        self.admitted_requests = (self.admitted_requests - 1.0).max(0.0);
        self.admitted_work = (self.admitted_work - work).max(0.0);
    }

    /// The weight, or else the `mean` one.
    pub(super) fn weight_or(&self, mean: f64) -> f64 {
        self.weight.filter(|weight| *weight > 0.0).unwrap_or(mean)
    }

    pub(super) fn admitted_ratio(&self) -> f64 {
        if self.offered_requests > 0.0 {
            self.admitted_requests / self.offered_requests
        } else {
            1.0
        }
    }

    /// The seconds until the admitted work has decayed by `factor`.
    pub(super) fn decay_secs(factor: f64) -> f64 {
        DECAY_SECS * factor.max(1.0).ln()
    }
}
