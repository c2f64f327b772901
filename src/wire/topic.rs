/// The part of the system that a call or a notice is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// Messages between the replicas of a group: [`crate::consensus`].
    Consensus,
    /// Heartbeats and summaries of membership: [`crate::member`].
    Membership,
    /// Announcements of targets, shared within and between regions: [`crate::target`].
    Targets,
    /// Deltas and snapshots of the lists: [`crate::list`].
    Lists,
    /// Changes proposed to a group that another VM leads: [`crate::replica`].
    Proposals,
    /// Claims of calls that run at most once: [`crate::claim`].
    Claims,
    /// Requests that crashed targets: [`crate::crash`].
    Crashes,
    /// The right to give orders to targets: [`crate::order`].
    Orders,
    /// What changed of the registry: [`crate::registry`].
    Registry,
    /// The work that a VM has at targets of its region: [`crate::gateway`].
    Loads,
}

impl Topic {
    /// All topics, by their numbers.
    pub const ALL: [Self; 10] = [
        Self::Consensus,
        Self::Membership,
        Self::Targets,
        Self::Lists,
        Self::Proposals,
        Self::Claims,
        Self::Crashes,
        Self::Orders,
        Self::Registry,
        Self::Loads,
    ];

    /// The number that stands for the topic in a frame.
    ///
    /// ```
    /// use pomelogate::wire::Topic;
    ///
    /// assert_eq!(Topic::from_number(Topic::Lists.number()), Some(Topic::Lists));
    /// ```
    pub fn number(self) -> u32 {
        self as u32
    }

    /// The topic that `number` stands for.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.get(usize::try_from(number).ok()?).copied()
    }
}
