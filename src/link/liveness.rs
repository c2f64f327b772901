use std::time::{Duration, Instant};

use super::Settings;

/// Decides when a connection owes a heartbeat and when the other end has been silent too long.
///
/// While something is at stake, which is while exchanges are open here or the other end says that
/// they are there, heartbeats are frequent; on an idle connection they are rare. So an end with
/// something at stake asks: its heartbeats are urgent, and must be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    settings: Settings,
    heard: Instant,
    wrote: Instant,
    at_stake: bool,
    /// Since when this end waits to hear something, with something at stake.
    waiting: Option<Instant>,
    /// When an urgent heartbeat was last written since the other end was last heard.
    asked: Option<Instant>,
    /// When the other end last sent an urgent heartbeat.
    urged: Option<Instant>,
    /// Whether an urgent heartbeat awaits its answer here.
    owed: bool,
}

/// What a connection is to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing before this time has passed.
    Wait(Duration),
    /// Write a heartbeat.
    Heartbeat {
        /// Whether the other end must answer it at once.
        urgent: bool,
    },
    /// Drop the connection: the other end has gone silent.
    Silent,
}

impl Liveness {
    /// An idle connection that opened at `now`.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pomelogate::link::{Due, Liveness, Settings};
    ///
    /// let (settings, start) = (Settings::default(), Instant::now());
    /// let mut liveness = Liveness::new(settings, start);
    /// assert_eq!(liveness.due(start), Due::Wait(settings.idle_heartbeat_interval));
    /// liveness.stake(true, start);
    /// assert_eq!(liveness.due(start), Due::Wait(settings.heartbeat_interval));
    /// assert_eq!(liveness.due(start + settings.heartbeat_interval), Due::Heartbeat { urgent: true });
    /// assert_eq!(liveness.due(start + settings.silence_timeout), Due::Silent);
    /// ```
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            heard: now,
            wrote: now,
            at_stake: false,
            waiting: None,
            asked: None,
            urged: None,
            owed: false,
        }
    }

    /// Whether something is at stake here from `now` on.
    pub fn stake(&mut self, at_stake: bool, now: Instant) {
        self.at_stake = at_stake;
        if at_stake {
            self.waiting.get_or_insert(now);
        } else if self.asked.is_none() {
            self.waiting = None;
        }
    }

    /// A frame came at `now`.
    pub fn heard(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
        self.waiting = self.at_stake.then_some(self.heard);
        self.asked = None;
    }

    /// An urgent heartbeat came at `now`; true where it changes what is due.
    pub fn urged(&mut self, now: Instant) -> bool {
        let first = !self.is_urged(now);
        self.urged = Some(now);
        self.owed |= first;
        first
    }

    /// A frame was written at `now`.
    pub fn wrote(&mut self, now: Instant) {
        self.wrote = self.wrote.max(now);
        self.owed = false;
    }

    /// The heartbeat that was due was written at `now`.
    pub fn beat(&mut self, now: Instant) {
        if self.at_stake {
            self.asked = Some(now);
        }
        self.wrote(now);
    }

    /// Whether nothing was heard for so long that the connection should be tried before use.
    pub fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= self.settings.silence_timeout
    }

    /// What is due at `now`.
    pub fn due(&self, now: Instant) -> Due {
        let Settings {
            heartbeat_interval,
            silence_timeout,
            idle_heartbeat_interval,
            idle_silence_timeout,
            ..
        } = self.settings;
        let limit = match self.waiting {
            Some(since) => since + silence_timeout,
            None => self.heard + idle_silence_timeout,
        };
        let silent = limit.saturating_duration_since(now);
        let pace = if self.at_stake || self.is_urged(now) {
            heartbeat_interval
        } else {
            idle_heartbeat_interval
        };
        let mut quiet = (self.wrote + pace).saturating_duration_since(now);
        if let Some(since) = self.waiting.filter(|_| self.at_stake) {
            // What is written besides asks for nothing: an end that writes often asks none the less.
            let asked = self.asked.map_or(since, |asked| asked.max(since));
            quiet = quiet.min((asked + pace).saturating_duration_since(now));
        }
        if silent.is_zero() {
            Due::Silent
        } else if quiet.is_zero() || self.owed {
            Due::Heartbeat { urgent: self.at_stake }
        } else {
            Due::Wait(silent.min(quiet))
        }
    }

    fn is_urged(&self, now: Instant) -> bool {
        self.urged.is_some_and(|urged| {
            now.saturating_duration_since(urged) < self.settings.silence_timeout
        })
    }
}
