use std::collections::BTreeSet;

/// How far below the highest ID an exchange may still be opened.
const MAX_ID_DISTANCE: u64 = 4096;

/// The IDs of the exchanges that the other VM has opened on a connection. Prevents opening an
/// exchange twice, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct OpenedExchanges {
    recent: BTreeSet<u64>,
    floor: u64,
}

impl OpenedExchanges {
    /// Records an ID; returns whether the exchange may be opened, which is only once.
    ///
    /// ```
    /// use pomelogate::link::OpenedExchanges;
    ///
    /// let mut opened = OpenedExchanges::default();
    /// assert!(opened.insert(2) && opened.insert(1));
    /// assert!(!opened.insert(2) && !opened.insert(0));
    /// ```
    pub fn insert(&mut self, exchange_id: u64) -> bool {
        if exchange_id <= self.floor || !self.recent.insert(exchange_id) {
            return false;
        }
        self.floor = self.floor.max(exchange_id.saturating_sub(MAX_ID_DISTANCE));
        self.recent = self.recent.split_off(&(self.floor + 1));
        true
    }
}
