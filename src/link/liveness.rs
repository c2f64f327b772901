use std::time::{Duration, Instant};

use super::Settings;

/// Decides when a connection must send a heartbeat and when the other end was silent for too long.
///
/// An end is active while it has open exchanges or recently sent consensus messages. Heartbeats are frequent while either end is active
/// and rare on an idle connection. The heartbeats of an active end are urgent: the other end must
/// answer them, even if it has no open exchanges itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    settings: Settings,
    last_received: Instant,
    last_sent: Instant,
    active: bool,
    /// Since when this end, while active, has waited to receive a frame.
    waiting_since: Option<Instant>,
    /// When this end last sent an urgent heartbeat; `None` once a frame was received after it.
    last_urgent_sent: Option<Instant>,
    /// When this end last received an urgent heartbeat.
    last_urgent_received: Option<Instant>,
    /// Whether this end still has to answer an urgent heartbeat.
    answer_due: bool,
}

/// The next action of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Do nothing for this long.
    Wait(Duration),
    /// Send a heartbeat.
    SendHeartbeat {
        /// Whether the other end must answer it at once.
        urgent: bool,
    },
    /// Close the connection, because the other end was silent for too long.
    Close,
}

impl Liveness {
    /// Creates the state of an idle connection that opened at `now`.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pomelogate::link::{LivenessAction, Liveness, Settings};
    ///
    /// let (settings, start) = (Settings::default(), Instant::now());
    /// let mut liveness = Liveness::new(settings, start);
    /// assert_eq!(
    ///     liveness.next_action(start),
    ///     LivenessAction::Wait(settings.idle_heartbeat_interval),
    /// );
    /// liveness.set_active(true, start);
    /// assert_eq!(liveness.next_action(start), LivenessAction::Wait(settings.heartbeat_interval));
    /// assert_eq!(
    ///     liveness.next_action(start + settings.heartbeat_interval),
    ///     LivenessAction::SendHeartbeat { urgent: true },
    /// );
    /// assert_eq!(liveness.next_action(start + settings.silence_timeout), LivenessAction::Close);
    /// ```
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            last_received: now,
            last_sent: now,
            active: false,
            waiting_since: None,
            last_urgent_sent: None,
            last_urgent_received: None,
            answer_due: false,
        }
    }

    /// Sets whether this end is active from `now` on.
    pub fn set_active(&mut self, active: bool, now: Instant) {
        self.active = active;
        if active {
            self.waiting_since.get_or_insert(now);
        } else if self.last_urgent_sent.is_none() {
            self.waiting_since = None;
        }
    }

    /// Records that a frame was received at `now`.
    pub fn record_received(&mut self, now: Instant) {
        self.last_received = self.last_received.max(now);
        self.waiting_since = self.active.then_some(self.last_received);
        self.last_urgent_sent = None;
    }

    /// Records an urgent heartbeat received at `now`; returns whether the next action changed.
    pub fn record_urgent_heartbeat(&mut self, now: Instant) -> bool {
        let first = !self.peer_is_active(now);
        self.last_urgent_received = Some(now);
        self.answer_due |= first;
        first
    }

    /// Records that a frame was sent at `now`.
    pub fn record_sent(&mut self, now: Instant) {
        self.last_sent = self.last_sent.max(now);
        self.answer_due = false;
    }

    /// Records that a heartbeat was sent at `now`.
    pub fn record_heartbeat_sent(&mut self, now: Instant) {
        if self.active {
            self.last_urgent_sent = Some(now);
        }
        self.record_sent(now);
    }

    /// Whether nothing was received for so long that the connection must be probed before use.
    pub fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_received) >= self.settings.silence_timeout
    }

    /// Returns the action to take at `now`.
    pub fn next_action(&self, now: Instant) -> LivenessAction {
        let Settings {
            heartbeat_interval,
            silence_timeout,
            idle_heartbeat_interval,
            idle_silence_timeout,
            ..
        } = self.settings;
        let close_at = match self.waiting_since {
            Some(since) => since + silence_timeout,
            None => self.last_received + idle_silence_timeout,
        };
        let until_close = close_at.saturating_duration_since(now);
        let interval = if self.active || self.peer_is_active(now) {
            heartbeat_interval
        } else {
            idle_heartbeat_interval
        };
        let mut until_heartbeat = (self.last_sent + interval).saturating_duration_since(now);
        if let Some(since) = self.waiting_since.filter(|_| self.active) {
            // Other frames do not request an answer, so urgent heartbeats are sent even if other
            // frames are sent often.
            let last_urgent_sent = self.last_urgent_sent.map_or(since, |last| last.max(since));
            until_heartbeat =
                until_heartbeat.min((last_urgent_sent + interval).saturating_duration_since(now));
        }
        if until_close.is_zero() {
            LivenessAction::Close
        } else if until_heartbeat.is_zero() || self.answer_due {
            LivenessAction::SendHeartbeat { urgent: self.active }
        } else {
            LivenessAction::Wait(until_close.min(until_heartbeat))
        }
    }

    fn peer_is_active(&self, now: Instant) -> bool {
        self.last_urgent_received
            .is_some_and(|last| now.saturating_duration_since(last) < self.settings.silence_timeout)
    }
}
