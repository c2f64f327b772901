use std::collections::BTreeMap;

use prost::Message;

/// Number of versions of one service whose ends are kept.
const MAX_VERSIONS: usize = 16;

/// Number of services for which ends are kept.
const MAX_SERVICES: usize = 256;

/// Per service and software version, the log index at which a target of it last ended.
///
/// Ends that are not known were at or below the floor.
#[derive(Clone, PartialEq, Message)]
pub(super) struct VersionEnds {
    #[prost(btree_map = "string, message", tag = "1")]
    services: BTreeMap<String, ServiceEnds>,
    /// Floor of the services that are not listed, and of all others at least.
    #[prost(uint64, tag = "2")]
    floor: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ServiceEnds {
    #[prost(btree_map = "string, uint64", tag = "1")]
    versions: BTreeMap<String, u64>,
    #[prost(uint64, tag = "2")]
    floor: u64,
}

impl VersionEnds {
    /// The ends in a registry of which nothing is known up to `index`.
    pub(super) fn unknown_up_to(index: u64) -> Self {
        Self { services: BTreeMap::new(), floor: index }
    }

    /// Records that a target of `version` ended at `index`.
    pub(super) fn record(&mut self, service: &str, version: &str, index: u64) {
        let ends = self.services.entry(service.to_owned()).or_default();
        ends.versions.insert(version.to_owned(), index);
        if ends.versions.len() > MAX_VERSIONS
            && let Some((version, index)) = lowest(ends.versions.iter().map(|(k, v)| (k, *v)))
        {
            ends.versions.remove(&version);
            ends.floor = ends.floor.max(index);
        }
        if self.services.len() > MAX_SERVICES
            && let Some((service, index)) =
                lowest(self.services.iter().map(|(service, ends)| (service, ends.last())))
        {
            self.services.remove(&service);
            self.floor = self.floor.max(index);
        }
    }

    /// Whether every target of `service` that ended, other than those of `version`, ended at or
    /// before `index`.
    pub(super) fn ended_by(&self, service: &str, version: &str, index: u64) -> bool {
        let others_ended = |ends: &ServiceEnds| {
            ends.floor <= index
                && ends.versions.iter().all(|(other, end)| other == version || *end <= index)
        };
        self.floor <= index && self.services.get(service).is_none_or(others_ended)
    }
}

impl ServiceEnds {
    fn last(&self) -> u64 {
        self.versions.values().copied().max().unwrap_or_default().max(self.floor)
    }
}

fn lowest<'a>(ends: impl Iterator<Item = (&'a String, u64)>) -> Option<(String, u64)> {
    ends.min_by_key(|(_, index)| *index).map(|(name, index)| (name.clone(), index))
}
