use std::collections::BTreeSet;

/// How far below the highest number an exchange may still be opened.
const SPAN: u64 = 4096;

/// The exchanges that the other VM has opened on a connection, so that none is opened twice.
#[derive(Clone, Debug, Default)]
pub struct Opened {
    recent: BTreeSet<u64>,
    floor: u64,
}

impl Opened {
    /// Whether `exchange` is opened for the first time.
    ///
    /// ```
    /// use pomelogate::link::Opened;
    ///
    /// let mut opened = Opened::default();
    /// assert!(opened.first(2) && opened.first(1));
    /// assert!(!opened.first(2) && !opened.first(0));
    /// ```
    pub fn first(&mut self, exchange: u64) -> bool {
        if exchange <= self.floor || !self.recent.insert(exchange) {
            return false;
        }
        self.floor = self.floor.max(exchange.saturating_sub(SPAN));
        self.recent = self.recent.split_off(&(self.floor + 1));
        true
    }
}
