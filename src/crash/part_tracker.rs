use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use super::{
    BlockedParts, FinishedPart, PartDeath, PartRecordSet, part_settings::PartSettings,
    suspect::DeathId,
};
use crate::id;

/// The longest time that a record takes to another VM or replica.
const MAX_TIME_ON_WAY: Duration = Duration::from_millis(500);

/// Finds the part of prompts that crashes targets, whatever else the requests hold, among the parts
/// of all requests that were in flight at the deaths.
///
/// The part that crashes targets is in flight at each death, and no request with it ever finishes.
/// A sound part is in flight there by chance, as its requests share targets or other parts with
/// the cause, and its requests finish elsewhere. So a request that finishes clears its parts of
/// all deaths before, and the part with most of the remaining deaths explains them: they no longer
/// count against any other.
///
/// ```
/// use std::time::Instant;
/// use pomelogate::crash::{PartSettings, PartTracker};
///
/// let (system, subject, bad, start) = (1, 2, 3, Instant::now());
/// let mut tracker = PartTracker::new(PartSettings::default());
/// for target in ["one", "two", "three"] {
///     tracker.record_target_death(start, &target.into(), 1, [system, subject, bad]);
/// }
/// let now = start + PartSettings::default().report_timeout;
/// tracker.record_finished(now, [system, subject]);
/// assert_eq!(tracker.blocked_parts(now)[0].parts, [bad]);
/// ```
#[derive(Clone, Debug)]
pub struct PartTracker {
    settings: PartSettings,
    deaths: BTreeMap<DeathId, Death>,
    /// When a request with a part last finished.
    finished_at: HashMap<u64, Instant>,
}

#[derive(Clone, Debug)]
struct Death {
    died_at: Instant,
    /// When this VM or replica learned of it.
    recorded_at: Instant,
    parts: BTreeSet<u64>,
}

/// A part and the indices of the deaths that count against it.
type Suspect = (u64, BTreeSet<usize>);

impl PartTracker {
    /// Creates a tracker without records.
    pub fn new(settings: PartSettings) -> Self {
        Self { settings, deaths: BTreeMap::new(), finished_at: HashMap::new() }
    }

    /// Records that a target died with prompts in flight that hold the shared `parts`. Several
    /// records of one death are joined.
    pub fn record_target_death(
        &mut self,
        now: Instant,
        target: &id::Target,
        incarnation: u64,
        parts: impl IntoIterator<Item = u64>,
    ) {
        let id = DeathId { target: target.clone(), incarnation };
        self.add_death(now, id, now, parts);
        self.enforce_limits();
    }

    /// Records that a request with these parts finished, which clears them of all deaths so far.
    pub fn record_finished(&mut self, now: Instant, parts: impl IntoIterator<Item = u64>) {
        for part in parts {
            let finished_at = self.finished_at.entry(part).or_insert(now);
            *finished_at = now.max(*finished_at);
        }
        if self.finished_at.len() > 2 * self.settings.max_finished {
            self.enforce_limits();
        }
    }

    /// The parts that requests are refused for, each with the time left. Parts that share all their
    /// deaths are refused only together, as any of them may be the cause.
    pub fn blocked_parts(&self, now: Instant) -> Vec<BlockedParts> {
        let deaths: Vec<&Death> = self.live_deaths(now).map(|(_, death)| death).collect();
        let mut suspects = self.suspects(&deaths);
        let mut blocked = Vec::new();
        // Parts that never finished come first: others have been proved sound at some time, and may
        // finish again.
        let settings = &self.settings;
        for (finished, max_deaths, min_age) in [
            (false, settings.max_deaths, settings.report_timeout),
            (true, settings.max_deaths_after_finish, settings.finish_timeout),
        ] {
            loop {
                let is_candidate = |(part, counted): &&Suspect| {
                    let first_record = counted.iter().map(|index| deaths[*index].recorded_at).min();
                    self.finished_at.contains_key(part) == finished
                        && counted.len() >= max_deaths
                        && first_record.is_some_and(|at| at + min_age <= now)
                };
                let worst = suspects.iter().filter(is_candidate).max_by_key(|(_, it)| it.len());
                let Some(explained) = worst.map(|(_, counted)| counted.clone()) else { break };
                let is_cause = |suspect: &&Suspect| is_candidate(suspect) && suspect.1 == explained;
                let parts = suspects.iter().filter(is_cause).map(|(part, _)| *part).collect();
                let last = explained.iter().map(|index| deaths[*index].died_at).max();
                let until = last.unwrap_or(now) + self.settings.death_retention;
                blocked.push(BlockedParts { parts, remaining_ms: millis(until - now) });
                for (_, counted) in &mut suspects {
                    counted.retain(|index| !explained.contains(index));
                }
            }
        }
        blocked
    }

    /// The parts in flight at two deaths or more that no request has cleared since. Whoever knows of
    /// a finished request with one of them should tell.
    pub fn suspect_parts(&self, now: Instant) -> Vec<u64> {
        let deaths: Vec<&Death> = self.live_deaths(now).map(|(_, death)| death).collect();
        let suspects = self.suspects(&deaths).into_iter();
        suspects.filter(|(_, counted)| counted.len() > 1).map(|(part, _)| part).collect()
    }

    /// The records to send, with the parts that finished among those in flight at deaths and those
    /// in `asked`.
    pub fn export(&self, now: Instant, asked: &[u64]) -> PartRecordSet {
        let age_ms = |at: Instant| millis(now.saturating_duration_since(at));
        let deaths = self.live_deaths(now).map(|(id, death)| PartDeath {
            target: id.target.to_string(),
            incarnation: id.incarnation,
            age_ms: age_ms(death.died_at),
            parts: death.parts.iter().copied().collect(),
        });
        let in_flight = self.live_deaths(now).flat_map(|(_, death)| &death.parts);
        let parts: BTreeSet<u64> = in_flight.chain(asked).copied().collect();
        let finished = parts.into_iter().filter_map(|part| {
            Some(FinishedPart { part, age_ms: age_ms(*self.finished_at.get(&part)?) })
        });
        PartRecordSet { deaths: deaths.collect(), finished: finished.collect() }
    }

    /// Merges the records of another VM or replica. Merging is commutative and idempotent.
    pub fn merge(&mut self, now: Instant, record_set: &PartRecordSet) {
        let at = |age_ms| now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
        for death in &record_set.deaths {
            let target = id::Target::from(death.target.as_str());
            let id = DeathId { target, incarnation: death.incarnation };
            self.add_death(now, id, at(death.age_ms), death.parts.iter().copied());
        }
        for FinishedPart { part, age_ms } in &record_set.finished {
            let finished_at = at(*age_ms);
            // The age lacks the time on the way, which must not add up between replicas.
            let is_newer = |known: &Instant| finished_at > *known + MAX_TIME_ON_WAY;
            if self.finished_at.get(part).is_none_or(is_newer) {
                self.finished_at.insert(*part, finished_at);
            }
        }
        self.remove_expired(now);
        self.enforce_limits();
    }

    /// Whether there are no deaths.
    pub fn is_empty(&self) -> bool {
        self.deaths.is_empty()
    }

    /// When a request with the part last finished, if that is known.
    pub fn finished_at(&self, part: u64) -> Option<Instant> {
        self.finished_at.get(&part).copied()
    }

    /// Removes deaths that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        let retention = self.settings.death_retention;
        self.deaths.retain(|_, death| now.saturating_duration_since(death.died_at) < retention);
    }

    fn live_deaths(&self, now: Instant) -> impl Iterator<Item = (&DeathId, &Death)> {
        let retention = self.settings.death_retention;
        self.deaths
            .iter()
            .filter(move |(_, death)| now.saturating_duration_since(death.died_at) < retention)
    }

    /// Each part in flight at a death, with the deaths since a request with it last finished.
    fn suspects(&self, deaths: &[&Death]) -> Vec<Suspect> {
        let mut suspects: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
        for (index, death) in deaths.iter().enumerate() {
            for part in &death.parts {
                let is_cleared = self.finished_at.get(part).is_some_and(|at| *at > death.died_at);
                if !is_cleared {
                    suspects.entry(*part).or_default().insert(index);
                }
            }
        }
        suspects.into_iter().collect()
    }

    fn add_death(
        &mut self,
        now: Instant,
        id: DeathId,
        died_at: Instant,
        parts: impl IntoIterator<Item = u64>,
    ) {
        let new = Death { died_at, recorded_at: now, parts: BTreeSet::new() };
        let death = self.deaths.entry(id).or_insert(new);
        death.died_at = death.died_at.min(died_at);
        death.parts.extend(parts);
        while death.parts.len() > self.settings.max_parts {
            death.parts.pop_last();
        }
    }

    /// Drops the oldest deaths and finished requests beyond the limits.
    fn enforce_limits(&mut self) {
        while self.deaths.len() > self.settings.max_deaths_kept {
            let oldest = self.deaths.iter().min_by_key(|(_, death)| death.died_at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { break };
            self.deaths.remove(&id);
        }
        if self.finished_at.len() > 2 * self.settings.max_finished {
            let mut times: Vec<Instant> = self.finished_at.values().copied().collect();
            times.sort_unstable();
            let oldest_kept = times[times.len() - self.settings.max_finished];
            self.finished_at.retain(|_, at| *at >= oldest_kept);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
