use std::time::{Duration, Instant};

use super::{Candidate, Prompt, Settings, target_state::TargetState};

/// The slots that a target is assumed to have if its load report names none.
const DEFAULT_SLOTS: u32 = 16;

/// The expected cost of sending a request to one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct CostEstimate {
    /// The seconds until the first token, plus the weighted engine time and the penalties for
    /// crowding and slow start.
    pub(super) cost_secs: f64,
    /// The leading blocks of the prompt that the target probably has in its cache.
    pub(super) cached_blocks: usize,
}

impl CostEstimate {
    pub(super) fn new(
        settings: &Settings,
        service_time: Duration,
        prompt: &Prompt,
        candidate: &Candidate<'_>,
        state: &TargetState,
        now: Instant,
    ) -> Self {
        let reported_at = now.checked_sub(candidate.report_age).unwrap_or(now);
        let slots = f64::from(slots(candidate));
        let reported = f64::from(candidate.load.running) + f64::from(candidate.load.waiting);
        // The other VMs of the region see the same report and are assumed to have sent as many
        // requests since it was written as this VM did.
        let vms = f64::from(settings.vm_count.max(1));
        let queued =
            (reported + vms * state.net_sent_since(reported_at)).max(f64::from(state.in_flight));
        let read_tokens = candidate.report_age.as_secs_f64() * settings.prefill_tokens_per_sec;
        let reported_tokens = (f64::from(candidate.load.waiting_tokens) - read_tokens).max(0.0);
        let sent_tokens = vms * state.tokens_sent_since(reported_at);
        let backlog_tokens = reported_tokens + (sent_tokens - read_tokens / 2.0).max(0.0);
        let cached_blocks = state.cache.matched_prefix_len(prompt.blocks());
        let prefill_secs = prompt.uncached_tokens(cached_blocks) / settings.prefill_tokens_per_sec;
        let wait_secs = backlog_tokens / settings.prefill_tokens_per_sec
            + queue_wait_secs(queued, slots, service_time);
        let slow_start_secs = slow_start_secs(settings, service_time, state, slots, now);
        let crowding_secs = settings.crowding_secs * (queued / slots).min(1.0);
        let round_trip_secs = 2.0 * candidate.one_way_delay.as_secs_f64();
        let cost_secs = round_trip_secs
            + wait_secs
            + prefill_secs
            + slow_start_secs
            + crowding_secs
            + settings.engine_time_weight * prefill_secs;
        Self { cost_secs, cached_blocks }
    }
}

/// The requests that a target runs at once.
pub(super) fn slots(candidate: &Candidate<'_>) -> u32 {
    if candidate.load.slots == 0 { DEFAULT_SLOTS } else { candidate.load.slots }
}

/// The expected wait for one of `slots` slots behind `queued` running and waiting requests.
pub(super) fn queue_wait_secs(queued: f64, slots: f64, service_time: Duration) -> f64 {
    let ahead = (queued + 1.0 - slots).max(0.0);
    ahead * service_time.as_secs_f64() / slots.max(1.0)
}

/// The penalty for a target in slow start. This VM's share of the target's slots grows over the
/// slow start; requests beyond that share cost as much as a wait for a slot.
fn slow_start_secs(
    settings: &Settings,
    service_time: Duration,
    state: &TargetState,
    slots: f64,
    now: Instant,
) -> f64 {
    let age = now.saturating_duration_since(state.slow_start_at);
    if age >= settings.slow_start {
        return 0.0;
    }
    let progress = age.as_secs_f64() / settings.slow_start.as_secs_f64();
    let share = 1.0 + progress * slots / f64::from(settings.vm_count.max(1));
    let excess = (f64::from(state.in_flight) + 1.0 - share).max(0.0);
    excess * service_time.as_secs_f64() / slots.max(1.0)
}
