use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The bytes that every response may hold whatever the others hold. Most answers are smaller.
const UNSHARED_BYTES: usize = 32 * 1024;

/// The memory that the responses of a process may take together before their callers get them.
///
/// A response is held back so that another target can answer if it breaks off. One target may send
/// large responses to many callers at once, so a limit on each of them does not bound their sum.
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
    available_bytes: AtomicUsize,
}

/// What one response takes of a [`BufferBudget`], until this is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: Arc<BufferBudget>,
    reserved_bytes: usize,
}

impl BufferBudget {
    /// Creates a budget of `bytes`, beyond the bytes that each response may hold anyway.
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self { available_bytes: AtomicUsize::new(bytes) })
    }

    /// The share of a response that holds nothing yet.
    pub fn share(self: &Arc<Self>) -> BufferShare {
        BufferShare { budget: Arc::clone(self), reserved_bytes: 0 }
    }
}

impl BufferShare {
    /// Whether the response may hold `bytes` in all. If not, it keeps what it had.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(UNSHARED_BYTES).saturating_sub(self.reserved_bytes);
        let available = &self.budget.available_bytes;
        let taken = available.try_update(Ordering::Relaxed, Ordering::Relaxed, |available| {
            available.checked_sub(missing)
        });
        if taken.is_ok() {
            self.reserved_bytes += missing;
        }
        taken.is_ok()
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.available_bytes.fetch_add(self.reserved_bytes, Ordering::Relaxed);
    }
}
