use std::{
    collections::{HashMap, HashSet},
    fmt,
    time::{Duration, Instant},
};

use super::{
    Answer, Limit, Notice, Pause, PauseNotice, Peers, Share, Turn,
    pauses::{PauseRest, Pauses},
};
use crate::id;

/// How long the end of a limit is told to other VMs.
const END_RETENTION: Duration = Duration::from_secs(10);
/// A limit without news for this long is dropped, as its target is gone or nobody asks for it.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);

/// What targets have said to one VM that they take, and the requests that it may send accordingly.
///
/// A limit belongs to one incarnation of a target. It holds until an answer ends it. A pause ends by
/// itself.
///
/// ```
/// use std::time::{Duration, Instant};
/// use hyper::StatusCode;
/// use pomelogate::throttle::{Answer, Peers, Permission, Tracker};
///
/// let (mut tracker, alone, now) = (Tracker::default(), Peers::default(), Instant::now());
/// let engine = "engine".into();
/// let limit = "2".parse().ok();
/// tracker.record_answer(&engine, 1, Answer { limit, status: StatusCode::OK, sent_at: now }, now);
/// let later = now + Duration::from_millis(500);
/// assert_eq!(tracker.permission(&engine, 1, &alone, later), Permission::Granted);
/// tracker.record_sent(&engine, 1);
/// assert_ne!(tracker.permission(&engine, 1, &alone, later), Permission::Granted);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    targets: HashMap<id::Target, NamedLimit>,
    pauses: Pauses,
}

/// Whether a request may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may be sent now.
    Granted,
    /// It may be sent after this time, if no other request is sent before.
    After(Duration),
}

/// What a target or another VM said that was not known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The target has another limit than before.
    Named(Limit),
    /// The target has no limit any more.
    Ended,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Named(limit) => limit.fmt(f),
            Self::Ended => f.write_str("none"),
        }
    }
}

/// What is known of the limit of one target.
#[derive(Clone, Debug)]
struct NamedLimit {
    incarnation: u64,
    /// None if the target had a limit and has none any more.
    limit: Option<Limit>,
    /// When the target said so.
    said_at: Instant,
    /// Whether it said so to this VM, which tells the others.
    heard_here: bool,
    /// When this VM learned that the target has a limit.
    known_since: Instant,
    turn_holder: TurnHolder,
    /// The requests that this VM may send now.
    available: f64,
    refilled_at: Instant,
}

/// The VM that sent the last request that the target is known to have answered under the limit.
#[derive(Clone, Copy, Debug, Default)]
enum TurnHolder {
    #[default]
    Unknown,
    Own,
    Other(u64),
}

/// What was said of a limit, and when.
struct News {
    incarnation: u64,
    limit: Option<Limit>,
    said_at: Instant,
    heard_here: bool,
    turn_holder: TurnHolder,
}

impl Tracker {
    /// Records the answer of a target. Returns what changed.
    pub fn record_answer(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        answer: Answer,
        now: Instant,
    ) -> Option<Change> {
        let Answer { limit, sent_at, .. } = answer;
        let known = self.targets.get(target).filter(|known| known.limit.is_some());
        // An answer to a request that was sent before the target named its limit does not end it.
        let may_end = known.is_some_and(|known| known.said_at <= sent_at) && answer.ends_limit();
        if limit.is_none() && !may_end {
            return None;
        }
        let turn_holder = match known {
            Some(known) if known.known_since <= sent_at => TurnHolder::Own,
            Some(known) => known.turn_holder,
            None => TurnHolder::Unknown,
        };
        let news = News { incarnation, limit, said_at: now, heard_here: true, turn_holder };
        self.record(target, news, now)
    }

    /// Records what another VM of the region says. Returns what changed.
    pub fn record_notice(&mut self, notice: &Notice, now: Instant) -> Option<Change> {
        let limit = match notice.limit_per_sec {
            Some(per_sec) => Some(Limit::new(per_sec)?),
            None => None,
        };
        let news = News {
            incarnation: notice.incarnation,
            limit,
            said_at: now.checked_sub(Duration::from_millis(notice.age_ms))?,
            heard_here: false,
            turn_holder: match notice.turn_holder {
                0 => TurnHolder::Unknown,
                holder => TurnHolder::Other(holder),
            },
        };
        self.record(&id::Target::from(notice.target.as_str()), news, now)
    }

    fn record(&mut self, target: &id::Target, news: News, now: Instant) -> Option<Change> {
        self.remove_expired(now);
        let known =
            self.targets.get_mut(target).filter(|known| known.incarnation >= news.incarnation);
        let Some(known) = known else {
            self.targets.insert(target.clone(), NamedLimit::new(&news, now));
            return news.limit.map(Change::Named);
        };
        if known.incarnation > news.incarnation || known.said_at > news.said_at {
            return None;
        }
        let has_changed = known.limit != news.limit;
        let was_limited = known.limit.is_some() && news.limit.is_some();
        let fresh = NamedLimit::new(&news, now);
        *known = if was_limited {
            NamedLimit {
                available: known.available,
                refilled_at: known.refilled_at,
                known_since: known.known_since,
                ..fresh
            }
        } else {
            fresh
        };
        has_changed.then(|| news.limit.map_or(Change::Ended, Change::Named))
    }

    /// Records that a target asked this VM for a pause. Returns whether the pause has begun with that.
    pub fn record_pause(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        pause: Pause,
        now: Instant,
    ) -> bool {
        self.pauses.record(target, incarnation, pause, now)
    }

    /// Records that a target asked another VM for a pause.
    pub fn record_pause_notice(&mut self, notice: &PauseNotice, now: Instant) {
        self.pauses.record_notice(notice, now);
    }

    /// The pauses that targets have asked this VM for, for the other VMs of the region.
    pub fn pause_notices(&self, now: Instant) -> Vec<PauseNotice> {
        self.pauses.notices(now)
    }

    /// Whether the target has asked another VM for a pause, so that it should get a request only if no
    /// other target can.
    pub fn is_last_resort(
        &self,
        target: &id::Target,
        incarnation: u64,
        peers: &Peers,
        now: Instant,
    ) -> bool {
        self.pauses.is_asked_of_others(target, incarnation, peers, now)
    }

    /// Whether the target has asked this VM for a pause that has not ended.
    pub fn is_paused(&self, target: &id::Target, incarnation: u64, now: Instant) -> bool {
        self.pauses.rest(target, incarnation, now).is_some()
    }

    /// What is left of the pause of a target.
    pub(super) fn pause_rest(
        &self,
        target: &id::Target,
        incarnation: u64,
        now: Instant,
    ) -> Option<PauseRest> {
        self.pauses.rest(target, incarnation, now)
    }

    /// Whether this VM may send a request to the target now.
    pub fn permission(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        peers: &Peers,
        now: Instant,
    ) -> Permission {
        let pause_left = self.pauses.delay(target, incarnation, peers, now);
        match self.limit_permission(target, incarnation, peers, now) {
            Permission::After(delay) => Permission::After(delay.max(pause_left)),
            Permission::Granted if pause_left.is_zero() => Permission::Granted,
            Permission::Granted => Permission::After(pause_left),
        }
    }

    fn limit_permission(
        &mut self,
        target: &id::Target,
        incarnation: u64,
        peers: &Peers,
        now: Instant,
    ) -> Permission {
        let Some((known, limit)) = self.limited(target, incarnation) else {
            return Permission::Granted;
        };
        let last_turn = known.last_turn(peers, now);
        let share = Share::new(limit, target, peers, last_turn);
        let elapsed_secs = now.saturating_duration_since(known.refilled_at).as_secs_f64();
        known.available = (known.available + share.per_sec * elapsed_secs).min(share.burst);
        known.refilled_at = known.refilled_at.max(now);
        if known.available >= 1.0 {
            return Permission::Granted;
        }
        if share.per_sec == 0.0 {
            return Permission::After(share.turn_in);
        }
        let missing = 1.0 - known.available;
        Permission::After(Duration::from_secs_f64(missing / share.per_sec))
    }

    /// Records a request that is sent to a target, permitted or not.
    pub fn record_sent(&mut self, target: &id::Target, incarnation: u64) {
        if let Some((known, _)) = self.limited(target, incarnation) {
            known.available -= 1.0;
        }
    }

    /// The limit of a target, if it has one.
    pub fn limit(&self, target: &id::Target, incarnation: u64) -> Option<Limit> {
        self.targets.get(target).filter(|known| known.incarnation == incarnation)?.limit
    }

    /// What this VM heard of limits from targets, for the other VMs of the region.
    pub fn notices(&self, peers: &Peers, now: Instant) -> Vec<Notice> {
        let heard = self.targets.iter().filter(|(_, known)| known.heard_here);
        heard.map(|(target, known)| known.notice(target, peers, now)).collect()
    }

    /// The targets with a limit, and their incarnations.
    pub fn limited_targets(&self) -> HashSet<(id::Target, u64)> {
        let limited = self.targets.iter().filter(|(_, known)| known.limit.is_some());
        limited.map(|(target, known)| (target.clone(), known.incarnation)).collect()
    }

    /// The targets that have asked this VM for a pause, and their incarnations.
    pub fn paused_targets(&self, now: Instant) -> HashSet<(id::Target, u64)> {
        let paused = self.pauses.targets(now);
        paused.map(|(target, incarnation)| (target.clone(), incarnation)).collect()
    }

    fn limited(
        &mut self,
        target: &id::Target,
        incarnation: u64,
    ) -> Option<(&mut NamedLimit, Limit)> {
        let known = self.targets.get_mut(target)?;
        let limit = known.limit.filter(|_| known.incarnation == incarnation)?;
        Some((known, limit))
    }

    fn remove_expired(&mut self, now: Instant) {
        self.targets.retain(|_, known| {
            let retention = if known.limit.is_some() { LIMIT_RETENTION } else { END_RETENTION };
            now.saturating_duration_since(known.said_at) < retention
        });
    }
}

impl NamedLimit {
    fn new(news: &News, now: Instant) -> Self {
        Self {
            incarnation: news.incarnation,
            limit: news.limit,
            said_at: news.said_at,
            heard_here: news.heard_here,
            known_since: now,
            turn_holder: news.turn_holder,
            available: 0.0,
            refilled_at: now,
        }
    }

    fn last_turn(&self, peers: &Peers, now: Instant) -> Turn {
        let holder = match self.turn_holder {
            TurnHolder::Unknown => None,
            TurnHolder::Own => Some(peers.own_hash()),
            TurnHolder::Other(holder) => Some(holder),
        };
        Turn { holder, silence: now.saturating_duration_since(self.said_at) }
    }

    fn notice(&self, target: &id::Target, peers: &Peers, now: Instant) -> Notice {
        let age = now.saturating_duration_since(self.said_at);
        Notice {
            target: target.to_string(),
            incarnation: self.incarnation,
            limit_per_sec: self.limit.map(Limit::per_sec),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            turn_holder: self.last_turn(peers, now).holder.unwrap_or(0),
        }
    }
}
