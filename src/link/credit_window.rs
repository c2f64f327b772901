/// The credit that a chunk costs in addition to its bytes, which bounds the number of small chunks.
pub const CHUNK_OVERHEAD_BYTES: u64 = 256;

/// Flow control of one direction of an exchange: the bytes that its sender may still send.
///
/// Each end holds one. The sender spends credit when it sends a chunk and the receiver when it
/// receives one. The receiver grants credit back as its consumer takes the chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditWindow {
    size: u64,
    credit: u64,
    consumed: u64,
}

impl CreditWindow {
    /// Creates a window of `size` bytes.
    pub fn new(size: u64) -> Self {
        Self { size, credit: size, consumed: 0 }
    }

    /// Spends the cost of a chunk of `bytes`; returns false if the credit is insufficient.
    ///
    /// ```
    /// use pomelogate::link::{CHUNK_OVERHEAD_BYTES, CreditWindow};
    ///
    /// let mut window = CreditWindow::new(2 * CHUNK_OVERHEAD_BYTES);
    /// assert!(window.try_spend(CHUNK_OVERHEAD_BYTES as usize));
    /// assert!(!window.try_spend(0));
    /// window.grant(CHUNK_OVERHEAD_BYTES);
    /// assert!(window.try_spend(0));
    /// ```
    pub fn try_spend(&mut self, bytes: usize) -> bool {
        let left = self.credit.checked_sub(cost(bytes));
        self.credit = left.unwrap_or(self.credit);
        left.is_some()
    }

    /// Adds credit that the receiver granted, up to the size of the window.
    pub fn grant(&mut self, credit: u64) {
        self.credit = self.credit.saturating_add(credit).min(self.size);
    }

    /// Records that the consumer took a chunk. Returns the credit to grant to the sender once half
    /// of the window was consumed, so that not every chunk causes a credit frame.
    pub fn record_consumed(&mut self, bytes: usize) -> Option<u64> {
        self.consumed += cost(bytes);
        if self.consumed < self.size / 2 {
            return None;
        }
        let granted = std::mem::take(&mut self.consumed);
        self.grant(granted);
        Some(granted)
    }
}

fn cost(bytes: usize) -> u64 {
    bytes as u64 + CHUNK_OVERHEAD_BYTES
}
