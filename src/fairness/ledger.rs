use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use super::{Demand, Standing, account::Account};
use crate::id;

/// A group that is admitted less often than all by this factor is starved. The requirement is a quarter;
/// what is admitted here can still fail at a target.
const STARVED_RATIO: f64 = 0.4;
/// The number of recent requests from which a group can count as starved.
const MIN_REQUESTS: f64 = 1.5;
/// The part of recent requests that were refused from which capacity counts as insufficient.
const MIN_REFUSED_RATIO: f64 = 0.02;
/// The number of groups above which the least active half is forgotten.
const MAX_GROUPS: usize = 4096;
/// The number of recent requests that sizes are compared with.
const MAX_SIZES: usize = 200;
/// How long a refused request is remembered. Callers return within a third of their time.
const RETURN_PERIOD: Duration = Duration::from_secs(6);
/// The number of refused requests that are remembered.
const MAX_REFUSED: usize = 2048;
/// How long the limit of a more urgent kind applies after its last request.
const URGENT_PERIOD: Duration = Duration::from_secs(10);
/// How long the refusal of a more urgent request shortens the queues of less urgent ones. One VM refuses
/// only a few requests a second.
const SCARCITY_PERIOD: Duration = Duration::from_secs(3);

/// What requests for one service were lately admitted on one VM, by organisation, kind, size and session.
///
/// ```
/// use std::time::Instant;
/// use pomelogate::fairness::{Demand, Ledger};
///
/// let (now, hot, calm) = (Instant::now(), "hot".into(), "calm".into());
/// let demand = |organisation| Demand {
///     organisation: Some(organisation),
///     weight: None,
///     route: "ask",
///     priority: 0,
///     session: None,
///     unread_tokens: 800,
///     max_output_tokens: 50,
///     limit_secs: 0.4,
/// };
/// let mut ledger = Ledger::default();
/// for request in 0..60 {
///     ledger.record(&demand(&hot), request, request % 2 == 0, now);
/// }
/// ledger.record(&demand(&calm), 60, true, now);
/// assert!(ledger.standing(&demand(&hot), 61, now).excess >= 1.0);
/// assert!(ledger.standing(&demand(&calm), 62, now).excess < 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    all: Option<Account>,
    groups: HashMap<Group, Account>,
    organisations: HashMap<id::Organisation, Account>,
    sizes: VecDeque<f64>,
    /// The digests of the IDs of refused requests, in the order of refusal.
    refused: VecDeque<(u64, Instant)>,
    /// The lowest limit of each priority, and when it last applied.
    limits: BTreeMap<u32, (f64, Instant)>,
    /// When a request of each priority was last refused.
    refused_at: BTreeMap<u32, Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Group {
    Route(u64),
    Size(SizeClass),
    Session(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum SizeClass {
    LargestTenth,
    NextFifth,
    Other,
}

impl Ledger {
    /// How a request with this ID stands.
    pub fn standing(&self, demand: &Demand<'_>, request: u64, now: Instant) -> Standing {
        let recent = |at: Instant, period| now.saturating_duration_since(at) < period;
        let limits = self.limits.iter().filter(|(_, (_, at))| recent(*at, URGENT_PERIOD));
        let urgent = limits.clone().filter(|(priority, _)| **priority < demand.priority);
        let urgent_limit_secs = urgent.map(|(_, (secs, _))| *secs).min_by(f64::total_cmp);
        let top_limit_secs = limits.clone().next().map(|(_, (secs, _))| *secs);
        let least_limit_secs = limits.map(|(_, (secs, _))| *secs).min_by(f64::total_cmp);
        let is_return =
            self.refused.iter().any(|(id, at)| *id == request && recent(*at, RETURN_PERIOD));
        let mut refused = self.refused_at.range(..demand.priority);
        let is_urgent_refused = refused.any(|(_, at)| recent(*at, SCARCITY_PERIOD));
        let mut standing = Standing {
            is_urgent_refused,
            urgent_limit_secs,
            least_limit_secs,
            top_limit_secs,
            is_return,
            ..Standing::default()
        };
        let Some(all) = self.all.map(|all| all.at(now)) else { return standing };
        let ratio = all.admitted_ratio();
        if ratio > 1.0 - MIN_REFUSED_RATIO {
            return standing;
        }
        let account = demand.organisation.and_then(|name| self.organisations.get(name));
        let groups = self.groups_of(demand).into_iter().filter_map(|group| self.groups.get(&group));
        standing.is_starved = groups.chain(account).map(|account| account.at(now)).any(|account| {
            account.offered_requests >= MIN_REQUESTS
                && account.admitted_ratio() < STARVED_RATIO * ratio
        });
        if let Some(account) = account {
            let mean = self.mean_weight();
            let fair_work = self.fair_level(mean, now) * account.weight_or(mean);
            standing.excess = account.at(now).admitted_work / fair_work.max(f64::MIN_POSITIVE);
            standing.excess_secs = Account::decay_secs(standing.excess);
        }
        standing
    }

    /// Records a decision about a request with this ID.
    pub fn record(&mut self, demand: &Demand<'_>, request: u64, is_admitted: bool, now: Instant) {
        let work = demand.work();
        self.make_room(now);
        for group in self.groups_of(demand) {
            let account = self.groups.entry(group).or_insert_with(|| Account::new(now));
            account.record(work, is_admitted, now);
        }
        if let Some(name) = demand.organisation {
            let account = self.organisations.entry(name.clone());
            let account = account.or_insert_with(|| Account::new(now));
            account.weight = demand.weight;
            account.record(work, is_admitted, now);
        }
        self.all.get_or_insert_with(|| Account::new(now)).record(work, is_admitted, now);
        self.sizes.push_back(work);
        if self.sizes.len() > MAX_SIZES {
            self.sizes.pop_front();
        }
        if !is_admitted {
            self.refused.push_back((request, now));
            self.refused_at.insert(demand.priority, now);
        }
        let is_old = |(_, at): &(u64, Instant)| now.saturating_duration_since(*at) > RETURN_PERIOD;
        while self.refused.len() > MAX_REFUSED || self.refused.front().is_some_and(is_old) {
            self.refused.pop_front();
        }
        let limit = self.limits.entry(demand.priority).or_insert((demand.limit_secs, now));
        let is_recent = now.saturating_duration_since(limit.1) < URGENT_PERIOD;
        let least = if is_recent { limit.0.min(demand.limit_secs) } else { demand.limit_secs };
        *limit = (least, now);
    }

    /// Records that a request that was admitted did not run.
    pub fn record_late_refusal(&mut self, demand: &Demand<'_>, request: u64, now: Instant) {
        let work = demand.work();
        for group in self.groups_of(demand) {
            if let Some(account) = self.groups.get_mut(&group) {
                account.withdraw(work, now);
            }
        }
        let organisation = demand.organisation.and_then(|name| self.organisations.get_mut(name));
        for account in organisation.into_iter().chain(self.all.as_mut()) {
            account.withdraw(work, now);
        }
        self.refused.push_back((request, now));
        self.refused_at.insert(demand.priority, now);
    }

    /// The work for each unit of weight up to which organisations get what they ask for, so that all
    /// together get what is admitted (max-min fairness).
    fn fair_level(&self, mean_weight: f64, now: Instant) -> f64 {
        let accounts = self.organisations.values().map(|account| account.at(now));
        let mut accounts: Vec<Account> = accounts.filter(|it| it.offered_work > 0.0).collect();
        let need = |account: &Account| account.offered_work / account.weight_or(mean_weight);
        accounts.sort_by(|one, other| need(one).total_cmp(&need(other)));
        let mut work: f64 = accounts.iter().map(|account| account.admitted_work).sum();
        let mut weight: f64 = accounts.iter().map(|account| account.weight_or(mean_weight)).sum();
        for account in &accounts {
            let level = work / weight;
            if need(account) > level {
                return level;
            }
            work -= account.offered_work;
            weight -= account.weight_or(mean_weight);
        }
        f64::MAX
    }

    /// The mean of the known weights of organisations.
    fn mean_weight(&self) -> f64 {
        let weights = self.organisations.values().filter_map(|account| account.weight);
        let (sum, count) = weights.fold((0.0, 0.0), |(sum, count), it| (sum + it, count + 1.0));
        if sum > 0.0 { sum / count } else { 1.0 }
    }

    fn groups_of(&self, demand: &Demand<'_>) -> Vec<Group> {
        let mut groups = vec![
            Group::Route(xxh3_64(demand.route.as_bytes())),
            Group::Size(self.size_class(demand.work())),
        ];
        groups.extend(demand.session.map(Group::Session));
        groups
    }

    fn size_class(&self, work: f64) -> SizeClass {
        let larger = self.sizes.iter().filter(|size| **size > work).count();
        let equal = self.sizes.iter().filter(|size| **size == work).count();
        let rank = larger as f64 + equal as f64 / 2.0;
        match rank / self.sizes.len().max(1) as f64 {
            rank if rank < 0.1 => SizeClass::LargestTenth,
            rank if rank < 0.3 => SizeClass::NextFifth,
            _ => SizeClass::Other,
        }
    }

    /// Bounds the memory, as organisations and sessions come and go.
    fn make_room(&mut self, now: Instant) {
        forget_least_active(&mut self.groups, now);
        forget_least_active(&mut self.organisations, now);
    }
}

fn forget_least_active<K: std::hash::Hash + Eq>(accounts: &mut HashMap<K, Account>, now: Instant) {
    if accounts.len() < MAX_GROUPS {
        return;
    }
    let mut active: Vec<f64> = accounts.values().map(|it| it.at(now).offered_requests).collect();
    active.sort_by(f64::total_cmp);
    let median = active[active.len() / 2];
    accounts.retain(|_, account| account.at(now).offered_requests > median);
}
