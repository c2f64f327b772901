use std::time::{Duration, Instant};

/// Decides when a connection owes a heartbeat and when the other end has been silent too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    heartbeat: Duration,
    silence: Duration,
    heard: Instant,
    wrote: Instant,
}

/// What a connection is to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing before this time has passed.
    Wait(Duration),
    /// Write a heartbeat.
    Heartbeat,
    /// Drop the connection: the other end has gone silent.
    Silent,
}

impl Liveness {
    /// A connection that opened at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::link::{Due, Liveness};
    ///
    /// let (second, start) = (Duration::from_secs(1), Instant::now());
    /// let liveness = Liveness::new(second, 3 * second, start);
    /// assert_eq!(liveness.due(start), Due::Wait(second));
    /// assert_eq!(liveness.due(start + second), Due::Heartbeat);
    /// assert_eq!(liveness.due(start + 3 * second), Due::Silent);
    /// ```
    pub fn new(heartbeat: Duration, silence: Duration, now: Instant) -> Self {
        Self { heartbeat, silence, heard: now, wrote: now }
    }

    /// A frame came at `now`.
    pub fn heard(&mut self, now: Instant) {
        self.heard = self.heard.max(now);
    }

    /// A frame was written at `now`.
    pub fn wrote(&mut self, now: Instant) {
        self.wrote = self.wrote.max(now);
    }

    /// What is due at `now`.
    pub fn due(&self, now: Instant) -> Due {
        let silent = (self.heard + self.silence).saturating_duration_since(now);
        let quiet = (self.wrote + self.heartbeat).saturating_duration_since(now);
        if silent.is_zero() {
            Due::Silent
        } else if quiet.is_zero() {
            Due::Heartbeat
        } else {
            Due::Wait(silent.min(quiet))
        }
    }
}
