use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::id;

/// Time for which a reading of another replica's clock is used. Replicas report about once a second.
const MAX_READING_AGE: Duration = Duration::from_secs(5);

/// The wall clocks of the replicas. Single ones may jump; their median does not.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::registry::WallClocks;
///
/// let mut clocks = WallClocks::default();
/// let now = Instant::now();
/// clocks.record(&"10.0.0.1".into(), 5_000, now);
/// clocks.record(&"10.0.0.2".into(), 5_010, now);
/// // The own clock has jumped by two seconds.
/// assert_eq!(clocks.median_unix_ms(8_000, now + Duration::from_secs(1)), 6_010);
/// ```
#[derive(Debug, Default)]
pub struct WallClocks {
    /// Unix milliseconds, and when they were received, by VM.
    readings: BTreeMap<id::Vm, (u64, Instant)>,
}

impl WallClocks {
    /// Records that the clock of `vm` showed `unix_ms` at about `received_at`.
    pub fn record(&mut self, vm: &id::Vm, unix_ms: u64, received_at: Instant) {
        self.readings.insert(vm.clone(), (unix_ms, received_at));
    }

    /// The median of the clocks in Unix milliseconds at `now`, when the own clock shows
    /// `own_unix_ms`. Of two in the middle, the later one.
    pub fn median_unix_ms(&self, own_unix_ms: u64, now: Instant) -> u64 {
        let elapsed = |at: &Instant| now.saturating_duration_since(*at);
        let fresh = self.readings.values().filter(|(_, at)| elapsed(at) < MAX_READING_AGE);
        let others = fresh.map(|(unix_ms, at)| {
            unix_ms.saturating_add(u64::try_from(elapsed(at).as_millis()).unwrap_or(u64::MAX))
        });
        let mut clocks: Vec<u64> = others.chain([own_unix_ms]).collect();
        clocks.sort_unstable();
        clocks[clocks.len() / 2]
    }
}
