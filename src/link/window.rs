/// What each chunk costs beside its bytes, so that many small chunks are bounded too.
pub const CHUNK_COST: u64 = 256;

/// The credit of one direction of an exchange, in bytes: what its sender may still send.
///
/// The two ends hold one each. The sender spends; the receiver spends as chunks come in, and
/// grants credit back as its consumer takes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    size: u64,
    credit: u64,
    taken: u64,
}

impl Window {
    /// A window of `size` bytes.
    pub fn new(size: u64) -> Self {
        Self { size, credit: size, taken: 0 }
    }

    /// Spends the cost of a chunk of `bytes`; false where the credit does not suffice.
    ///
    /// ```
    /// use pomelogate::link::{CHUNK_COST, Window};
    ///
    /// let mut window = Window::new(2 * CHUNK_COST);
    /// assert!(window.spend(CHUNK_COST as usize));
    /// assert!(!window.spend(0));
    /// window.grant(CHUNK_COST);
    /// assert!(window.spend(0));
    /// ```
    pub fn spend(&mut self, bytes: usize) -> bool {
        let left = self.credit.checked_sub(cost(bytes));
        self.credit = left.unwrap_or(self.credit);
        left.is_some()
    }

    /// Takes credit that the receiver granted; never grows beyond the window's size.
    pub fn grant(&mut self, credit: u64) {
        self.credit = self.credit.saturating_add(credit).min(self.size);
    }

    /// Notes that the consumer took a chunk; gives the credit to grant once it is worth a frame.
    pub fn take(&mut self, bytes: usize) -> Option<u64> {
        self.taken += cost(bytes);
        if self.taken < self.size / 2 {
            return None;
        }
        let granted = std::mem::take(&mut self.taken);
        self.grant(granted);
        Some(granted)
    }
}

fn cost(bytes: usize) -> u64 {
    bytes as u64 + CHUNK_COST
}
