/// The module that handles a call or notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// Consensus messages between the replicas of a group: [`crate::consensus`].
    Consensus,
    /// Reports of the membership: [`crate::member`].
    Membership,
    /// Announcements of targets, gossiped within and between regions: [`crate::target`].
    Targets,
    /// Deltas and snapshots of the lists: [`crate::list`].
    Lists,
    /// Proposals to a group whose leader is another VM: [`crate::replica`].
    Proposals,
    /// Claims of calls that run at most once: [`crate::claim`].
    Claims,
    /// Records of requests that crashed targets: [`crate::crash`].
    Crashes,
    /// The right to give orders to targets: [`crate::order`].
    Orders,
    /// Updates of the registry: [`crate::registry`].
    Registry,
    /// A VM's requests in flight at the targets of its region: [`crate::gateway`].
    Loads,
    /// The software versions at which streams began: [`crate::continuation`]. Only VMs that
    /// [`crate::registry::VmInfo::records_streams`] names get it, as older processes close a link
    /// on which an unknown topic arrives.
    Streams,
    /// Grants from the quotas of organisations: [`crate::quota`]. Sent only where the configuration has
    /// quotas, as older processes close a link on which an unknown topic arrives.
    Quotas,
}

impl Topic {
    /// All topics in the order of their numbers.
    pub const ALL: [Self; 12] = [
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
        Self::Streams,
        Self::Quotas,
    ];

    /// The number of the topic in a frame.
    ///
    /// ```
    /// use pomelogate::wire::Topic;
    ///
    /// assert_eq!(Topic::from_number(Topic::Lists.number()), Some(Topic::Lists));
    /// ```
    pub fn number(self) -> u32 {
        self as u32
    }

    /// The topic with `number`; `None` if there is none.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.get(usize::try_from(number).ok()?).copied()
    }
}
