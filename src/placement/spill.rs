use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use super::{Prompt, RegionSummary, Settings, estimate};
use crate::id;

const MEMORY: Duration = Duration::from_secs(30);

/// What a policy remembers of requests handed to other regions.
#[derive(Clone, Debug, Default)]
pub(super) struct Spill {
    sent: HashMap<id::Region, VecDeque<Instant>>,
}

impl Spill {
    /// The cost of a hand-over to a region, unless that would take what is its own callers'.
    pub(super) fn cost(
        &self,
        settings: &Settings,
        hold: Duration,
        prompt: &Prompt,
        summary: &RegionSummary<'_>,
        now: Instant,
    ) -> Option<f64> {
        let stamp = now.checked_sub(summary.age).unwrap_or(now);
        let own = self.since(summary.region, stamp) + 1;
        let taken = f64::from(own) * f64::from(settings.vms.max(1));
        let kept = settings.reserve_ratio * f64::from(summary.slots);
        if f64::from(summary.free) - taken < kept {
            return None;
        }
        let way = 2.0 * summary.one_way_delay.as_secs_f64();
        let prefill = f64::from(prompt.tokens()) / settings.prefill_tokens_per_sec;
        let slots = f64::from(summary.slots);
        let busy = slots - f64::from(summary.free);
        let wait = estimate::turn(f64::from(summary.waiting), slots, hold);
        let crowd = settings.crowding_secs * busy / slots.max(1.0);
        Some(way + wait + crowd + prefill + settings.engine_time_weight * prefill)
    }

    pub(super) fn send(&mut self, region: &id::Region, now: Instant) {
        let sent = self.sent.entry(region.clone()).or_default();
        sent.push_back(now);
        while sent.front().is_some_and(|at| now.duration_since(*at) > MEMORY) {
            sent.pop_front();
        }
    }

    fn since(&self, region: &id::Region, stamp: Instant) -> u32 {
        let Some(sent) = self.sent.get(region) else { return 0 };
        let count = sent.iter().rev().take_while(|at| **at > stamp).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
