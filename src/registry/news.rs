use prost::{Message, bytes::Bytes};

use super::{Entry, Machine, Row};
use crate::crash;

/// A VM asks a replica for what changed.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// The index up to which the asker knows the registry; zero where it knows nothing.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// What the asker says of itself.
    #[prost(message, required, tag = "2")]
    pub entry: Entry,
    /// The digest of the VMs that the asker knows.
    #[prost(uint64, tag = "3")]
    pub known: u64,
    /// The most milliseconds that the replica may wait for something new.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
    /// Milliseconds since the asker was told how busy other regions are; nothing where it was not.
    #[prost(uint64, optional, tag = "5")]
    pub loads_age_ms: Option<u64>,
    /// The digest of the cold targets that the asker knows.
    #[prost(uint64, tag = "6")]
    pub cold: u64,
    /// The digest of the silent targets that the asker knows.
    #[prost(uint64, tag = "7")]
    pub silent: u64,
    /// What the asker learned of requests that crash targets, where it was not told yet.
    #[prost(message, optional, tag = "8")]
    pub crashes: Option<crash::RecordSet>,
    /// The digest of the requests that the asker knows are to be refused.
    #[prost(uint64, tag = "9")]
    pub convicts: u64,
}

/// What changed since an index. What rarely changes is told only where the asker's digest of it is
/// another one.
#[derive(Clone, PartialEq, Message)]
pub struct News {
    /// The index up to which the news tell the registry.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Whether they hold every target, so that others are to be forgotten.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// The routes, where they changed.
    #[prost(message, optional, tag = "3")]
    pub routes: Option<RoutesText>,
    /// The zones that get no work.
    #[prost(string, repeated, tag = "4")]
    pub drained: Vec<String>,
    /// The targets of the asker's region that changed.
    #[prost(message, repeated, tag = "5")]
    pub targets: Vec<Row>,
    /// Whether the replica heard the leader lately, so that nothing older than that is missing.
    #[prost(bool, tag = "6")]
    pub fresh: bool,
    /// The VMs that take callers and the replicas.
    #[prost(message, optional, tag = "7")]
    pub vms: Option<Vms>,
    /// Targets of the asker's region that were not heard for longer than they should.
    #[prost(message, optional, tag = "9")]
    pub silent: Option<Silent>,
    /// How busy the targets of each region are.
    #[prost(message, optional, tag = "10")]
    pub loads: Option<Loads>,
    /// The targets of the asker's region that are cold; all others are not.
    #[prost(message, optional, tag = "11")]
    pub cold: Option<Colds>,
    /// The requests that are to be refused on all VMs, as they crash targets.
    #[prost(message, optional, tag = "12")]
    pub convicts: Option<Convicts>,
}

/// The requests that are to be refused.
#[derive(Clone, PartialEq, Message)]
pub struct Convicts {
    /// The digest of them.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// The requests.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<crash::BlockedRequest>,
}

/// The VMs that take callers and the replicas, or what changed of them.
#[derive(Clone, PartialEq, Message)]
pub struct Vms {
    /// The digest of all of them.
    #[prost(uint64, tag = "1")]
    pub known: u64,
    /// Whether all are told, so that others are to be forgotten.
    #[prost(bool, tag = "2")]
    pub whole: bool,
    /// Those that are new or changed.
    #[prost(message, repeated, tag = "3")]
    pub there: Vec<Entry>,
    /// Those that are no longer there.
    #[prost(string, repeated, tag = "4")]
    pub gone: Vec<String>,
}

/// Targets that were not heard for longer than they should.
#[derive(Clone, PartialEq, Message)]
pub struct Silent {
    /// The digest of them.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// The targets.
    #[prost(string, repeated, tag = "2")]
    pub targets: Vec<String>,
}

/// How busy regions are.
#[derive(Clone, PartialEq, Message)]
pub struct Loads {
    /// Each region and service that has targets.
    #[prost(message, repeated, tag = "1")]
    pub regions: Vec<RegionLoad>,
}

/// The targets that are cold.
#[derive(Clone, PartialEq, Message)]
pub struct Colds {
    /// The digest of them.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// The targets.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Cold>,
}

/// A target that is cold.
#[derive(Clone, PartialEq, Message)]
pub struct Cold {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Milliseconds for which it still is.
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
}

/// How busy the targets of one service in one region are, as the VMs there see them.
#[derive(Clone, PartialEq, Message)]
pub struct RegionLoad {
    /// The region.
    #[prost(string, tag = "1")]
    pub region: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Places at its targets.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Requests there.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
    /// Milliseconds until what was sent has been read, at the least busy target.
    #[prost(uint32, tag = "5")]
    pub delay_ms: u32,
    /// Whether requests that must not leave their homes were refused there lately.
    #[prost(bool, tag = "6")]
    pub scarce: bool,
    /// Its targets that take work.
    #[prost(uint32, tag = "7")]
    pub targets: u32,
}

/// A list of routes as the operator sent it.
#[derive(Clone, PartialEq, Message)]
pub struct RoutesText {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The text.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: Bytes,
}

impl News {
    /// What `machine` holds beyond `since` for a VM to which the targets that fit `near` matter.
    pub fn since(machine: &Machine, since: u64, near: impl Fn(&Row) -> bool) -> Self {
        let whole = since == 0 || since < machine.floor();
        let after = if whole { 0 } else { since };
        let routes = (machine.version() > 0 || !machine.routes().is_empty())
            && (whole || machine.routes_changed() > since);
        Self {
            index: machine.index(),
            whole,
            routes: routes
                .then(|| RoutesText { version: machine.version(), text: machine.routes().clone() }),
            drained: machine.drained().map(ToOwned::to_owned).collect(),
            targets: machine.changed_targets(after).filter(|row| near(row)).cloned().collect(),
            ..Self::default()
        }
    }

    /// Whether there is anything beyond `since` that such a VM is to know at once.
    pub fn matter(machine: &Machine, since: u64, near: impl Fn(&Row) -> bool) -> bool {
        since < machine.floor()
            || machine.routes_changed() > since
            || machine.zones_changed() > since
            || machine.changed_targets(since).any(near)
    }
}
