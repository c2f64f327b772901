use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{Grant, Need, Settings, settings::GRANT_LIFETIME};
use crate::{id, organisation::Quota};

/// What is asked ahead gets at most this part of the level, divided by the VMs that ask.
const AHEAD_RATIO: f64 = 0.5;
/// Grants that are made within this time are counted together, which bounds the memory of an account.
const OUTSTANDING_STEP: Duration = Duration::from_millis(20);
/// The longest time after which callers are told to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// What the leader of the replicas has granted to VMs.
///
/// It begins with nothing to grant, as its predecessor may have granted everything. Times are those of
/// [`crate::clock::Clock::since_boot`].
///
/// ```
/// use std::time::Duration;
/// use pomelogate::{organisation::{Quota, Unit}, quota::{Ledger, Need, Settings}};
///
/// let quota = Quota { unit: Unit::Requests, per_sec: 10.0, burst: 20.0 };
/// let mut ledger = Ledger::new(Settings::default(), Duration::ZERO);
/// let need = Need { organisation: "lifts".to_owned(), waiting: vec![1], ..Need::default() };
/// assert_eq!(ledger.grant(&need, Some(quota), 1, Duration::ZERO).units, 0);
/// assert_eq!(ledger.grant(&need, Some(quota), 1, Duration::from_secs(2)).units, 1);
/// ```
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    began_at: Duration,
    accounts: HashMap<id::Organisation, Account>,
}

/// A bucket of units; the level falls below zero by no more than the overdraft.
///
/// What was granted and may still be spent takes room in the bucket. Otherwise the bucket would fill
/// again while VMs still spend, and both would count within one window.
#[derive(Clone, Debug)]
struct Account {
    quota: Quota,
    level: f64,
    refilled_at: Duration,
    outstanding: VecDeque<Outstanding>,
}

/// Units that were granted and may still be spent.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    first_granted_at: Duration,
    ends_at: Duration,
    units: f64,
}

impl Ledger {
    /// The ledger of a leader that begins at `now`.
    pub fn new(settings: Settings, now: Duration) -> Self {
        Self { settings, began_at: now, accounts: HashMap::new() }
    }

    /// Grants what a VM needs, as far as the quota permits. `vm_count` VMs ask.
    pub fn grant(
        &mut self,
        need: &Need,
        quota: Option<Quota>,
        vm_count: u32,
        now: Duration,
    ) -> Grant {
        let organisation = id::Organisation::from(need.organisation.as_str());
        let Some(quota) = quota else {
            self.accounts.remove(&organisation);
            return Grant { is_unlimited: true, ..Grant::default() };
        };
        let (settings, began_at) = (self.settings, self.began_at);
        let overdraft = settings.overdraft(quota);
        let account = self.accounts.entry(organisation).or_insert(Account {
            quota,
            // The predecessor may have granted its stock to the end.
            level: -overdraft,
            refilled_at: began_at,
            outstanding: VecDeque::new(),
        });
        account.refill(settings, now);
        account.set_quota(settings, quota);
        account.settle(need.spent as f64);
        account.level += account.settle(need.returned as f64);
        let mut units = 0;
        for waiting in &need.waiting {
            let missing = account.missing(*waiting as f64, overdraft);
            if missing > 0.0 {
                let delay = Duration::try_from_secs_f64(missing / quota.per_sec);
                let delay = delay.unwrap_or(MAX_RETRY_AFTER).min(MAX_RETRY_AFTER);
                let retry_after_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX) + 1;
                return Grant { units, retry_after_ms, is_unlimited: false };
            }
            account.give(*waiting as f64, now);
            units += waiting;
        }
        let available = account.level.max(0.0) * AHEAD_RATIO / f64::from(vm_count.max(1));
        let ahead = (need.ahead as f64).min(available);
        account.give(ahead.floor(), now);
        Grant { units: units + ahead as u64, ..Grant::default() }
    }

    /// The part of each quota's stock that is left, for metrics.
    pub fn levels(&self) -> impl Iterator<Item = (&id::Organisation, f64)> {
        self.accounts.iter().map(|(organisation, account)| (organisation, account.level))
    }
}

impl Account {
    fn refill(&mut self, settings: Settings, now: Duration) {
        // The room in the bucket grows when grants end, not before.
        while let Some(first) = self.outstanding.front().copied().filter(|it| it.ends_at <= now) {
            self.refill_until(settings, first.ends_at);
            self.outstanding.pop_front();
        }
        self.refill_until(settings, now);
    }

    fn refill_until(&mut self, settings: Settings, time: Duration) {
        let elapsed_secs = time.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(time);
        self.level += self.quota.per_sec * elapsed_secs;
        self.limit_level(settings);
    }

    fn set_quota(&mut self, settings: Settings, quota: Quota) {
        self.quota = quota;
        self.limit_level(settings);
    }

    fn limit_level(&mut self, settings: Settings) {
        let overdraft = settings.overdraft(self.quota);
        let outstanding: f64 = self.outstanding.iter().map(|it| it.units).sum();
        let room = settings.stock(self.quota) - overdraft - outstanding;
        // A lower quota leaves more outstanding than there is room for.
        self.level = self.level.min(room.max(-overdraft));
    }

    /// Grants units.
    fn give(&mut self, units: f64, now: Duration) {
        self.level -= units;
        let ends_at = now + GRANT_LIFETIME;
        match self.outstanding.back_mut() {
            Some(last) if now.saturating_sub(last.first_granted_at) < OUTSTANDING_STEP => {
                last.units += units;
                last.ends_at = ends_at;
            }
            _ => self.outstanding.push_back(Outstanding { first_granted_at: now, ends_at, units }),
        }
    }

    /// Removes units that a VM has spent or will not spend from what is outstanding, the oldest first.
    /// Returns how many there were: what has ended has made room already and is not counted twice.
    fn settle(&mut self, units: f64) -> f64 {
        let mut missing = units;
        for outstanding in &mut self.outstanding {
            let taken = outstanding.units.min(missing);
            outstanding.units -= taken;
            missing -= taken;
        }
        units - missing
    }

    /// The units that are missing for a request; zero if it can be granted.
    fn missing(&self, units: f64, overdraft: f64) -> f64 {
        // Units that fit into the overdraft need any level above zero, others what lies beyond it too.
        let required = (units - overdraft).max(0.0);
        if self.level > 0.0 && self.level >= required {
            return 0.0;
        }
        (required - self.level).max(1.0)
    }
}
