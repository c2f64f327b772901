use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Pause, PauseNotice, Peers};
use crate::id;

/// VMs whose pauses end together come back over this time, or half of the pause if that is shorter.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// The pauses that targets have asked this VM for.
///
/// A pause belongs to one incarnation of a target. A shorter one does not end it.
#[derive(Clone, Debug, Default)]
pub(super) struct Pauses {
    targets: HashMap<id::Target, AskedPause>,
    /// The pauses that targets asked other VMs for.
    asked_of_others: HashMap<id::Target, AskedPause>,
}

#[derive(Clone, Copy, Debug)]
struct AskedPause {
    incarnation: u64,
    until: Instant,
    spread: Duration,
}

/// What is left of a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PauseRest {
    /// The time to its end.
    pub(super) left: Duration,
    /// The time over which VMs and callers come back after that.
    pub(super) spread: Duration,
}

impl AskedPause {
    fn new(incarnation: u64, left: Duration, now: Instant) -> Self {
        Self { incarnation, until: now + left, spread: MAX_SPREAD.min(left / 2) }
    }

    /// The time until it is the turn of a VM to come back.
    fn delay(&self, target: &id::Target, peers: &Peers, now: Instant) -> Duration {
        if now >= self.until + self.spread {
            return Duration::ZERO;
        }
        let turn = f64::from(peers.rank(target)) / f64::from(peers.vm_count());
        (self.until + self.spread.mul_f64(turn)).saturating_duration_since(now)
    }
}

impl Pauses {
    /// Records a pause that a target asked for. Returns whether it had not asked for one before, or
    /// that one has ended.
    pub(super) fn record(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        pause: Pause,
        now: Instant,
    ) -> bool {
        self.targets.retain(|_, asked| asked.until + asked.spread > now);
        let known = self.targets.get(target).copied();
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return false;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        let until = now + pause.duration();
        if pause.duration().is_zero() || known.is_some_and(|known| known.until >= until) {
            return false;
        }
        let asked = AskedPause::new(incarnation, pause.duration(), now);
        self.targets.insert(target.clone(), asked);
        known.is_none_or(|known| known.until <= now)
    }

    /// What is left of the pause of a target; `None` if VMs have begun to come back.
    pub(super) fn rest(
        &self,
        target: &id::Target,
        incarnation: u64,
        now: Instant,
    ) -> Option<PauseRest> {
        let asked = self.asked(target, incarnation)?;
        let left = asked.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(PauseRest { left, spread: asked.spread })
    }

    /// The time until this VM comes back to a target, in its turn; zero if it may send now.
    pub(super) fn delay(
        &self,
        target: &id::Target,
        incarnation: u64,
        peers: &Peers,
        now: Instant,
    ) -> Duration {
        let asked = self.asked(target, incarnation);
        asked.map_or(Duration::ZERO, |asked| asked.delay(target, peers, now))
    }

    /// Records that a target asked another VM for a pause.
    pub(super) fn record_notice(&mut self, notice: &PauseNotice, now: Instant) {
        self.asked_of_others.retain(|_, asked| asked.until + asked.spread > now);
        let left = Pause::from_millis(notice.left_ms).duration();
        let told = AskedPause::new(notice.incarnation, left, now);
        let target = id::Target::from(notice.target.as_str());
        let known = self.asked_of_others.entry(target).or_insert(told);
        if (told.incarnation, told.until) > (known.incarnation, known.until) {
            *known = told;
        }
    }

    /// Whether a target has asked another VM for a pause, after which it is not this VM's turn yet.
    pub(super) fn is_asked_of_others(
        &self,
        target: &id::Target,
        incarnation: u64,
        peers: &Peers,
        now: Instant,
    ) -> bool {
        let asked = self.asked_of_others.get(target);
        let asked = asked.filter(|asked| asked.incarnation == incarnation);
        asked.is_some_and(|asked| asked.delay(target, peers, now) > Duration::ZERO)
    }

    /// The pauses that targets have asked this VM for, for the other VMs of the region.
    pub(super) fn notices(&self, now: Instant) -> Vec<PauseNotice> {
        let notice = |(target, incarnation): (&id::Target, u64)| {
            let left = self.rest(target, incarnation, now)?.left;
            let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            Some(PauseNotice { target: target.to_string(), incarnation, left_ms })
        };
        self.targets(now).filter_map(notice).collect()
    }

    /// The targets in a pause, with their incarnations.
    pub(super) fn targets(&self, now: Instant) -> impl Iterator<Item = (&id::Target, u64)> {
        let paused = self.targets.iter().filter(move |(_, asked)| asked.until > now);
        paused.map(|(target, asked)| (target, asked.incarnation))
    }

    fn asked(&self, target: &id::Target, incarnation: u64) -> Option<&AskedPause> {
        self.targets.get(target).filter(|asked| asked.incarnation == incarnation)
    }
}
