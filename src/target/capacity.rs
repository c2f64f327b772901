/// What a region can serve of one need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// The targets.
    pub targets: u32,
    /// Places left in their batches.
    pub free: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
}

impl Capacity {
    /// The capacity of both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            targets: self.targets.saturating_add(other.targets),
            free: self.free.saturating_add(other.free),
            waiting: self.waiting.saturating_add(other.waiting),
        }
    }
}
