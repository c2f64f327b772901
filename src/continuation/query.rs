use prost::Message;

use super::Finding;
use crate::id;

/// A VM's question to a replica about a stream that it has no record of.
#[derive(Clone, PartialEq, Message)]
pub struct Query {
    /// The [`Key`](super::Key) of the stream.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// The service of the stream's route.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Longest time from the start of a stream to the last time that it can be taken up.
    #[prost(uint64, tag = "3")]
    pub horizon_ms: u64,
}

/// A replica's answer to a [`Query`].
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// The versions that records name. An empty one stands for versions that conflict.
    #[prost(string, repeated, tag = "1")]
    pub versions: Vec<String>,
    /// The only version that has run the service within the horizon, by a state that a quorum
    /// confirmed after the query arrived; empty if that is not proven.
    #[prost(string, tag = "2")]
    pub sole_version: String,
}

impl Reply {
    /// Creates the reply of a replica whose ledger holds `finding`.
    ///
    /// ```
    /// use pomelogate::{continuation::{Finding, Reply}, id};
    ///
    /// let reply = Reply::new(Some(&Finding::Version(id::SoftwareVersion::from("v1"))), None);
    /// assert_eq!(reply.versions, ["v1"]);
    /// assert_eq!(Reply::new(None, None), Reply::default());
    /// ```
    pub fn new(finding: Option<&Finding>, sole_version: Option<&id::SoftwareVersion>) -> Self {
        let versions = match finding {
            Some(Finding::Version(version)) => vec![version.as_str().to_owned()],
            Some(Finding::Conflicting) => vec![String::new()],
            None => Vec::new(),
        };
        let sole_version = sole_version.map_or("", id::SoftwareVersion::as_str).to_owned();
        Self { versions, sole_version }
    }
}
