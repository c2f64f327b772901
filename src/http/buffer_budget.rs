use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The bytes that every response may hold whatever the others hold. Most answers are smaller.
const UNSHARED_BYTES: usize = 32 * 1024;

/// The memory that a kind of data of a process may take together.
///
/// A limit on each request or response does not bound their sum: one target may send large responses
/// to many callers at once, and many callers may send large bodies at once.
///
/// ```
/// use pomelogate::http::BufferBudget;
///
/// let budget = BufferBudget::new(130_000);
/// let mut first = budget.share();
/// assert!(first.grow_to(150_000));
/// let mut second = budget.share();
/// assert!(second.grow_to(40_000) && !second.grow_to(100_000));
/// drop(first);
/// assert!(second.grow_to(100_000));
/// ```
#[derive(Debug)]
pub struct BufferBudget {
    total_bytes: usize,
    /// What each share may hold without taking it from the budget.
    unshared_bytes: usize,
    available_bytes: AtomicUsize,
}

/// What one request or response takes of a [`BufferBudget`], until this is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: Arc<BufferBudget>,
    reserved_bytes: usize,
}

impl BufferBudget {
    /// Creates a budget of `bytes`, beyond the bytes that each response may hold anyway.
    pub fn new(bytes: usize) -> Arc<Self> {
        Self::with_unshared(bytes, UNSHARED_BYTES)
    }

    /// Creates a budget of `bytes` in which every byte is counted.
    ///
    /// ```
    /// use pomelogate::http::BufferBudget;
    ///
    /// let budget = BufferBudget::strict(1000);
    /// let mut share = budget.share();
    /// assert!(share.grow_to(800) && !share.grow_to(1001));
    /// assert!(budget.held_bytes() == 800 && budget.is_scarce());
    /// drop(share);
    /// assert!(budget.held_bytes() == 0 && !budget.is_scarce());
    /// ```
    pub fn strict(bytes: usize) -> Arc<Self> {
        Self::with_unshared(bytes, 0)
    }

    fn with_unshared(bytes: usize, unshared_bytes: usize) -> Arc<Self> {
        let available_bytes = AtomicUsize::new(bytes);
        Arc::new(Self { total_bytes: bytes, unshared_bytes, available_bytes })
    }

    /// The share of a request or response that holds nothing yet.
    pub fn share(self: &Arc<Self>) -> BufferShare {
        BufferShare { budget: Arc::clone(self), reserved_bytes: 0 }
    }

    /// The bytes that all shares hold together.
    pub fn held_bytes(&self) -> usize {
        self.total_bytes - self.available_bytes.load(Ordering::Relaxed)
    }

    /// Whether less than a quarter of the budget is left.
    pub fn is_scarce(&self) -> bool {
        self.available_bytes.load(Ordering::Relaxed) < self.total_bytes / 4
    }
}

impl BufferShare {
    /// Whether the share may hold `bytes` in all. If not, it keeps what it had.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing =
            bytes.saturating_sub(self.budget.unshared_bytes).saturating_sub(self.reserved_bytes);
        let available = &self.budget.available_bytes;
        let taken = available.try_update(Ordering::Relaxed, Ordering::Relaxed, |available| {
            available.checked_sub(missing)
        });
        if taken.is_ok() {
            self.reserved_bytes += missing;
        }
        taken.is_ok()
    }

    /// Counts `bytes` more that are held in any case, as far as the budget reaches.
    pub fn add_held(&mut self, bytes: usize) {
        let mut taken = 0;
        self.budget.available_bytes.update(Ordering::Relaxed, Ordering::Relaxed, |available| {
            taken = bytes.min(available);
            available - taken
        });
        self.reserved_bytes += taken;
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.available_bytes.fetch_add(self.reserved_bytes, Ordering::Relaxed);
    }
}
