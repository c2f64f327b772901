use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::link;

/// Links to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Link {
    /// Milliseconds that opening a connection may take.
    pub connect_ms: u64,
    /// The frames that may wait to be written on one connection.
    pub queue: usize,
}

impl Link {
    /// The settings of the links' module.
    ///
    /// ```
    /// let link = pomelogate::settings::Link { connect_ms: 500, ..Default::default() };
    /// assert_eq!(link.settings().connect_timeout.as_millis(), 500);
    /// ```
    pub fn settings(&self) -> link::Settings {
        link::Settings {
            connect_timeout: Duration::from_millis(self.connect_ms),
            max_queued_frames: self.queue,
            ..link::Settings::default()
        }
    }
}

impl Default for Link {
    fn default() -> Self {
        Self { connect_ms: 2_000, queue: 256 }
    }
}
