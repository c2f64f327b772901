use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{Grant, GrantReply, GrantRequest, Need, settings::GRANT_LIFETIME};
use crate::id;

/// Requests that wait while this many questions are under way wait for the next one.
const MAX_QUESTIONS: usize = 4;
/// What is asked ahead covers this time at the recent rate.
const AHEAD: Duration = Duration::from_millis(300);
/// Nothing is asked ahead if fewer requests are expected in that time.
const MIN_REQUESTS_AHEAD: f64 = 1.0;
/// The time constant of the recent rate.
const RATE_PERIOD: Duration = Duration::from_secs(2);
/// Grants that end within this time are given back with the next question.
const RETURN_BEFORE: Duration = Duration::from_millis(300);
/// Units count as spent after this time. Until then a request that does not run gives them back.
const REPORT_AFTER: Duration = Duration::from_millis(100);
/// The least time between questions that only tell what was spent.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Organisations without requests for this long are forgotten.
const RETENTION: Duration = Duration::from_secs(30);

/// What one VM may spend of the quotas of organisations.
///
/// The shell sends what [`Wallet::next_question`] returns to the leader of the replicas, and passes on
/// its answers. Times are those of [`crate::clock::Clock::since_boot`], so that nothing is left to
/// spend after a suspension.
///
/// ```
/// use std::time::Duration;
/// use pomelogate::quota::{Grant, GrantReply, Resolution, Wallet};
///
/// let (mut wallet, now) = (Wallet::default(), Duration::from_secs(100));
/// assert_eq!(wallet.spend(&"lifts".into(), 900, now), None);
/// let ticket = wallet.wait(&"lifts".into(), 900, now);
/// let (number, question) = wallet.next_question(now).unwrap();
/// assert_eq!(question.needs[0].waiting, [900]);
/// let grant = Grant { units: 1000, ..Grant::default() };
/// let reply = GrantReply { leads: true, grants: vec![grant], ..GrantReply::default() };
/// let resolved = wallet.record_reply(number, &reply, now);
/// assert!(matches!(resolved[..], [(same, Resolution::Spent(_))] if same == ticket));
/// assert!(wallet.spend(&"lifts".into(), 100, now).is_some());
/// ```
#[derive(Debug, Default)]
pub struct Wallet {
    accounts: BTreeMap<id::Organisation, Account>,
    questions: BTreeMap<u64, Question>,
    next_number: u64,
}

/// Names a request that waits for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Names a question to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestNumber(u64);

/// Units that were taken for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spent {
    units: u64,
    spent_at: Duration,
    /// When the grant ends that they are from. Units that are given back end then as well.
    ends_at: Duration,
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Its units are spent.
    Spent(Spent),
    /// The organisation has no quota.
    Unlimited,
    /// The quota is used up; the request may be sent again after this time.
    Exceeded(Duration),
}

/// Units that the leader has granted.
#[derive(Clone, Copy, Debug)]
struct Stock {
    units: u64,
    ends_at: Duration,
}

#[derive(Debug, Default)]
struct Account {
    grants: VecDeque<Stock>,
    /// What was spent and is not told to the leader yet.
    unreported: VecDeque<Spent>,
    reported_at: Duration,
    /// Requests that wait and that no question names yet.
    unasked: VecDeque<(Ticket, u64)>,
    /// Units a second that were asked for lately.
    rate: f64,
    /// Requests a second lately.
    request_rate: f64,
    rate_at: Duration,
}

#[derive(Debug)]
struct Question {
    asked_at: Duration,
    /// The organisations in the order of the needs, with the requests that wait.
    needs: Vec<(id::Organisation, Vec<(Ticket, u64)>)>,
}

impl Wallet {
    /// Takes units for a request, if the grants cover them.
    pub fn spend(
        &mut self,
        organisation: &id::Organisation,
        units: u64,
        now: Duration,
    ) -> Option<Spent> {
        let account = self.accounts.entry(organisation.clone()).or_default();
        account.record_demand(units, now);
        account.take(units, now)
    }

    /// Has a request wait for a grant, after [`Wallet::spend`] found none.
    pub fn wait(&mut self, organisation: &id::Organisation, units: u64, now: Duration) -> Ticket {
        let ticket = Ticket(self.next_number());
        let account = self.accounts.entry(organisation.clone()).or_default();
        account.rate_at = account.rate_at.max(now);
        account.unasked.push_back((ticket, units));
        ticket
    }

    /// Removes a request that no longer waits. What it is granted later is left for others.
    pub fn cancel(&mut self, ticket: Ticket) {
        let is_other = |(other, _): &(Ticket, u64)| *other != ticket;
        for account in self.accounts.values_mut() {
            account.unasked.retain(is_other);
        }
        for question in self.questions.values_mut() {
            question.needs.iter_mut().for_each(|(_, waiting)| waiting.retain(is_other));
        }
    }

    /// Gives back the units of a request that did not run. They are lost if the leader was told that they
    /// are spent, as it may have granted others in their place.
    pub fn give_back(&mut self, organisation: &id::Organisation, spent: Spent, now: Duration) {
        let Some(account) = self.accounts.get_mut(organisation) else { return };
        let unreported = account.unreported.iter().position(|other| *other == spent);
        if let Some(index) = unreported.filter(|_| spent.ends_at > now) {
            account.unreported.remove(index);
            account.grants.push_back(Stock { units: spent.units, ends_at: spent.ends_at });
        }
    }

    /// The next question to the leader, if there is anything to ask for and not too many are under way.
    pub fn next_question(&mut self, now: Duration) -> Option<(RequestNumber, GrantRequest)> {
        if self.questions.len() >= MAX_QUESTIONS {
            return None;
        }
        self.accounts.retain(|_, account| {
            !account.unasked.is_empty() || now.saturating_sub(account.rate_at) < RETENTION
        });
        let is_ahead_asked = !self.questions.is_empty();
        let (mut needs, mut waiting_requests) = (Vec::new(), Vec::new());
        for (organisation, account) in &mut self.accounts {
            let ahead = if is_ahead_asked { 0 } else { account.missing_ahead(now) };
            if account.unasked.is_empty() && ahead == 0 && !account.is_report_due(now) {
                continue;
            }
            let (returned, spent) = (account.return_ending(now), account.report_spent(now));
            let waiting: Vec<(Ticket, u64)> = account.unasked.drain(..).collect();
            needs.push(Need {
                organisation: organisation.to_string(),
                waiting: waiting.iter().map(|(_, units)| *units).collect(),
                ahead,
                returned,
                spent,
            });
            waiting_requests.push((organisation.clone(), waiting));
        }
        if needs.is_empty() {
            return None;
        }
        let number = self.next_number();
        self.questions.insert(number, Question { asked_at: now, needs: waiting_requests });
        Some((RequestNumber(number), GrantRequest { needs }))
    }

    /// Records the answer of the leader. Returns the requests that no longer wait.
    pub fn record_reply(
        &mut self,
        number: RequestNumber,
        reply: &GrantReply,
        now: Duration,
    ) -> Vec<(Ticket, Resolution)> {
        let has_ended = |question: &Question| now >= question.asked_at + GRANT_LIFETIME;
        // The answer says nothing about now if this VM was frozen meanwhile.
        if !reply.leads || self.questions.get(&number.0).is_some_and(has_ended) {
            self.record_failure(number);
            return Vec::new();
        }
        let Some(question) = self.questions.remove(&number.0) else { return Vec::new() };
        let mut resolved = Vec::new();
        let missing = Grant::default();
        let grants = reply.grants.iter().chain(std::iter::repeat(&missing));
        for ((organisation, waiting), grant) in question.needs.into_iter().zip(grants) {
            let account = self.accounts.entry(organisation).or_default();
            let granted = Stock { units: grant.units, ends_at: question.asked_at + GRANT_LIFETIME };
            account.grants.push_back(granted);
            for (ticket, units) in waiting {
                let resolution = if grant.is_unlimited {
                    Resolution::Unlimited
                } else if let Some(spent) = account.take(units, now) {
                    Resolution::Spent(spent)
                } else {
                    Resolution::Exceeded(Duration::from_millis(grant.retry_after_ms))
                };
                resolved.push((ticket, resolution));
            }
        }
        resolved
    }

    /// Records that a question got no answer, so that its requests are asked for again.
    pub fn record_failure(&mut self, number: RequestNumber) {
        let Some(question) = self.questions.remove(&number.0) else { return };
        for (organisation, waiting) in question.needs {
            let account = self.accounts.entry(organisation).or_default();
            for request in waiting.into_iter().rev() {
                account.unasked.push_front(request);
            }
        }
    }

    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}

impl Account {
    fn held(&self, now: Duration) -> u64 {
        let lasting = self.grants.iter().filter(|grant| grant.ends_at > now);
        lasting.map(|grant| grant.units).sum()
    }

    /// Takes units, from the grants that end first.
    fn take(&mut self, units: u64, now: Duration) -> Option<Spent> {
        self.grants.retain(|grant| grant.ends_at > now && grant.units > 0);
        if self.held(now) < units {
            return None;
        }
        self.grants.make_contiguous().sort_by_key(|grant| grant.ends_at);
        let mut missing = units;
        let mut ends_at = now;
        while missing > 0 {
            let grant = self.grants.front_mut()?;
            let taken = grant.units.min(missing);
            if ends_at == now {
                ends_at = grant.ends_at;
            }
            grant.units -= taken;
            missing -= taken;
            if grant.units == 0 {
                self.grants.pop_front();
            }
        }
        let spent = Spent { units, spent_at: now, ends_at };
        self.unreported.push_back(spent);
        Some(spent)
    }

    fn record_demand(&mut self, units: u64, now: Duration) {
        self.decay(now);
        self.rate += units as f64 / RATE_PERIOD.as_secs_f64();
        self.request_rate += 1.0 / RATE_PERIOD.as_secs_f64();
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.rate_at).as_secs_f64();
        let remaining = (-elapsed / RATE_PERIOD.as_secs_f64()).exp();
        self.rate *= remaining;
        self.request_rate *= remaining;
        self.rate_at = self.rate_at.max(now);
    }

    /// The units to ask for ahead of requests; zero while more than half of them are held.
    fn missing_ahead(&mut self, now: Duration) -> u64 {
        self.decay(now);
        // What a VM with few requests holds is missing elsewhere and mostly ends unused.
        if self.request_rate * AHEAD.as_secs_f64() < MIN_REQUESTS_AHEAD {
            return 0;
        }
        let wanted = self.rate * AHEAD.as_secs_f64();
        let held = self.held(now + AHEAD) as f64;
        if held * 2.0 > wanted { 0 } else { (wanted - held) as u64 }
    }

    /// Whether the leader should learn of what was spent, which makes room for other grants.
    fn is_report_due(&self, now: Duration) -> bool {
        let is_reportable = |spent: &Spent| spent.spent_at + REPORT_AFTER <= now;
        now.saturating_sub(self.reported_at) >= REPORT_INTERVAL
            && self.unreported.front().is_some_and(is_reportable)
    }

    /// The units of grants that have not ended which were spent since the last report.
    fn report_spent(&mut self, now: Duration) -> u64 {
        self.reported_at = now;
        let mut units = 0;
        while let Some(spent) =
            self.unreported.pop_front_if(|spent| spent.spent_at + REPORT_AFTER <= now)
        {
            units += if spent.ends_at > now { spent.units } else { 0 };
        }
        units
    }

    /// Removes the grants that end soon, and returns their units.
    fn return_ending(&mut self, now: Duration) -> u64 {
        let (mut returned, returned_by) = (0, now + RETURN_BEFORE);
        self.grants.retain(|grant| {
            let is_ending = grant.ends_at > now && grant.ends_at <= returned_by;
            returned += if is_ending { grant.units } else { 0 };
            grant.ends_at > returned_by
        });
        returned
    }
}
