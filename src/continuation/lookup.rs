use super::{Cause, Reply, Resolution};
use crate::id;

/// Combines the replies of replicas to one [`Query`](super::Query).
///
/// A proof that there is only one version resolves the lookup at once. Records do so once every
/// replica has answered or failed, since another replica may hold a record that conflicts.
#[derive(Clone, Debug)]
pub struct Lookup {
    pending: usize,
    answered: bool,
    version: Option<id::SoftwareVersion>,
    conflicting: bool,
}

impl Lookup {
    /// Creates a lookup of which `replicas` were asked.
    pub fn new(replicas: usize) -> Self {
        Self { pending: replicas, answered: false, version: None, conflicting: false }
    }

    /// Records the reply of one replica; `None` if it failed or timed out. Returns the resolution
    /// once no further reply can change it.
    ///
    /// ```
    /// use pomelogate::{continuation::{Lookup, Reply, Resolution}, id};
    ///
    /// let mut lookup = Lookup::new(2);
    /// let recorded = Reply { versions: vec!["v1".to_owned()], ..Reply::default() };
    /// assert_eq!(lookup.record_reply(Some(&recorded)), None);
    /// let resolution = lookup.record_reply(None);
    /// assert_eq!(resolution, Some(Resolution::Version(id::SoftwareVersion::from("v1"))));
    /// ```
    pub fn record_reply(&mut self, reply: Option<&Reply>) -> Option<Resolution> {
        self.pending = self.pending.saturating_sub(1);
        let mut proven = false;
        if let Some(reply) = reply {
            self.answered = true;
            reply.versions.iter().for_each(|version| self.add(version));
            if !reply.sole_version.is_empty() {
                proven = true;
                self.add(&reply.sole_version);
            }
        }
        (proven || self.conflicting || self.pending == 0).then(|| self.resolution())
    }

    /// Resolves the lookup with the replies received so far.
    pub fn finish(self) -> Resolution {
        self.resolution()
    }

    fn add(&mut self, version: &str) {
        match &self.version {
            Some(known) if known.as_str() == version => {}
            None if !version.is_empty() => self.version = Some(id::SoftwareVersion::from(version)),
            _ => self.conflicting = true,
        }
    }

    fn resolution(&self) -> Resolution {
        match &self.version {
            _ if self.conflicting => Resolution::Unknown(Cause::Conflicting),
            Some(version) => Resolution::Version(version.clone()),
            None if self.answered => Resolution::Unknown(Cause::NoRecord),
            None => Resolution::Unknown(Cause::Unconfirmed),
        }
    }
}
