use prost::Message;

use super::Subject;

/// The version of each subject at one moment.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Message)]
pub struct Versions {
    /// The version of the plans.
    #[prost(uint64, tag = "1")]
    pub plans: u64,
    /// The version of the allowances.
    #[prost(uint64, tag = "2")]
    pub allowances: u64,
    /// The version of the planned stops.
    #[prost(uint64, tag = "3")]
    pub stops: u64,
}

impl Versions {
    /// The version of `subject`.
    pub fn of(&self, subject: Subject) -> u64 {
        match subject {
            Subject::Plans => self.plans,
            Subject::Allowances => self.allowances,
            Subject::Stops => self.stops,
        }
    }

    /// Whether each version is at least that of `other`.
    ///
    /// ```
    /// use pomelogate::list_state::Versions;
    ///
    /// let old = Versions { plans: 1, allowances: 1, stops: 0 };
    /// assert!(Versions { plans: 2, ..old }.covers(&old));
    /// assert!(!Versions { plans: 2, allowances: 0, ..old }.covers(&old));
    /// ```
    pub fn covers(&self, other: &Self) -> bool {
        Subject::ALL.iter().all(|subject| self.of(*subject) >= other.of(*subject))
    }
}
