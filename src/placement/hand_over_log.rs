use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use super::{Prompt, RegionSummary, Settings, cost_estimate};
use crate::id;

const HAND_OVER_RETENTION: Duration = Duration::from_secs(30);

/// The recent times at which this VM handed requests over, for each other region.
#[derive(Clone, Debug, Default)]
pub(super) struct HandOverLog {
    sent_at: HashMap<id::Region, VecDeque<Instant>>,
}

impl HandOverLog {
    /// The expected cost of a hand-over to a region, in seconds; `None` if it would use the slots
    /// that are reserved for the region's own callers.
    pub(super) fn cost_secs(
        &self,
        settings: &Settings,
        service_time: Duration,
        prompt: &Prompt,
        summary: &RegionSummary<'_>,
        now: Instant,
    ) -> Option<f64> {
        let written_at = now.checked_sub(summary.age).unwrap_or(now);
        // The other VMs of this region see the same summary and are assumed to hand over as many
        // requests as this VM does.
        let own_hand_overs = self.count_since(summary.region, written_at) + 1;
        let used_slots = f64::from(own_hand_overs) * f64::from(settings.vm_count.max(1));
        let reserved_slots = settings.reserve_ratio * f64::from(summary.slots);
        if f64::from(summary.free_slots) - used_slots < reserved_slots {
            return None;
        }
        let round_trip_secs = 2.0 * summary.one_way_delay.as_secs_f64();
        let prefill_secs = f64::from(prompt.tokens()) / settings.prefill_tokens_per_sec;
        let slots = f64::from(summary.slots);
        let busy_slots = slots - f64::from(summary.free_slots);
        let wait_secs =
            cost_estimate::queue_wait_secs(f64::from(summary.waiting), slots, service_time);
        let crowding_secs = settings.crowding_secs * busy_slots / slots.max(1.0);
        Some(
            round_trip_secs
                + wait_secs
                + crowding_secs
                + prefill_secs
                + settings.engine_time_weight * prefill_secs,
        )
    }

    pub(super) fn record(&mut self, region: &id::Region, now: Instant) {
        let sent_at = self.sent_at.entry(region.clone()).or_default();
        sent_at.push_back(now);
        while sent_at.front().is_some_and(|at| now.duration_since(*at) > HAND_OVER_RETENTION) {
            sent_at.pop_front();
        }
    }

    fn count_since(&self, region: &id::Region, start: Instant) -> u32 {
        let Some(sent_at) = self.sent_at.get(region) else { return 0 };
        let count = sent_at.iter().rev().take_while(|at| **at > start).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
