use std::time::{Duration, Instant};

use super::{Candidate, Prompt, Settings, track::Track};

const SLOTS_UNTOLD: u32 = 16;

/// What sending a request to one target is expected to cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// The weighted sum, in seconds.
    pub(super) cost: f64,
    /// The blocks of the prompt that the target is believed to hold.
    pub(super) cached: usize,
}

impl Estimate {
    pub(super) fn new(
        settings: &Settings,
        hold: Duration,
        prompt: &Prompt,
        candidate: &Candidate<'_>,
        track: &Track,
        now: Instant,
    ) -> Self {
        let stamp = now.checked_sub(candidate.report_age).unwrap_or(now);
        let slots = f64::from(slots(candidate));
        let reported = f64::from(candidate.load.running) + f64::from(candidate.load.waiting);
        // The other VMs of the region see the same report, and sent about as much since.
        let alike = f64::from(settings.vms.max(1));
        let queued = (reported + alike * track.net_since(stamp)).max(f64::from(track.outstanding));
        let drained = candidate.report_age.as_secs_f64() * settings.prefill_tokens_per_sec;
        let reported_tokens = (f64::from(candidate.load.waiting_tokens) - drained).max(0.0);
        let sent = alike * track.tokens_since(stamp);
        let backlog = reported_tokens + (sent - drained / 2.0).max(0.0);
        let cached = track.cache.matched_prefix_len(prompt.blocks());
        let prefill = prompt.uncached(cached) / settings.prefill_tokens_per_sec;
        let wait = backlog / settings.prefill_tokens_per_sec + turn(queued, slots, hold);
        let slow = slow_start(settings, hold, track, slots, now);
        let crowd = settings.crowding_secs * (queued / slots).min(1.0);
        let way = 2.0 * candidate.one_way_delay.as_secs_f64();
        let cost = way + wait + prefill + slow + crowd + settings.engine_time_weight * prefill;
        Self { cost, cached }
    }
}

/// The slots of a target, or a usual number where it does not say.
pub(super) fn slots(candidate: &Candidate<'_>) -> u32 {
    if candidate.load.slots == 0 { SLOTS_UNTOLD } else { candidate.load.slots }
}

/// How long a request waits for a place in a batch of `slots` with `queued` before it.
pub(super) fn turn(queued: f64, slots: f64, hold: Duration) -> f64 {
    let ahead = (queued + 1.0 - slots).max(0.0);
    ahead * hold.as_secs_f64() / slots.max(1.0)
}

/// A new target gets a share that grows: what goes beyond it is charged like a full batch.
fn slow_start(settings: &Settings, hold: Duration, track: &Track, slots: f64, now: Instant) -> f64 {
    let age = now.saturating_duration_since(track.since);
    if age >= settings.slow_start {
        return 0.0;
    }
    let grown = age.as_secs_f64() / settings.slow_start.as_secs_f64();
    let share = 1.0 + grown * slots / f64::from(settings.vms.max(1));
    let beyond = (f64::from(track.outstanding) + 1.0 - share).max(0.0);
    beyond * hold.as_secs_f64() / slots.max(1.0)
}
