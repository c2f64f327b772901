use prost::{Message, bytes::Bytes};

use super::{Entry, Machine, Row, Seen};

/// A VM asks a replica for what changed.
#[derive(Clone, PartialEq, Message)]
pub struct Ask {
    /// The index up to which the asker knows the registry; zero where it knows nothing.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// What the asker says of itself.
    #[prost(message, required, tag = "2")]
    pub entry: Entry,
    /// A digest of the VMs and replicas that the asker knows, so that they are told only anew.
    #[prost(uint64, tag = "3")]
    pub known: u64,
    /// The most milliseconds that the replica may wait for something new.
    #[prost(uint64, tag = "4")]
    pub wait_ms: u64,
}

/// What changed since an index.
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
    /// The targets that changed.
    #[prost(message, repeated, tag = "5")]
    pub targets: Vec<Row>,
    /// Whether the replica heard the leader lately, so that nothing older than that is missing.
    #[prost(bool, tag = "6")]
    pub fresh: bool,
    /// The VMs that take callers and the replicas, where the asker does not know them.
    #[prost(message, repeated, tag = "7")]
    pub vms: Vec<Seen>,
    /// The digest of those VMs; zero where no replica answered.
    #[prost(uint64, tag = "8")]
    pub known: u64,
    /// Targets that were not heard for longer than they should.
    #[prost(string, repeated, tag = "9")]
    pub silent: Vec<String>,
    /// How busy the targets of each region are.
    #[prost(message, repeated, tag = "10")]
    pub loads: Vec<RegionLoad>,
    /// The targets that are cold now; all others are not.
    #[prost(message, repeated, tag = "11")]
    pub cold: Vec<Cold>,
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
    /// What `machine` holds beyond `since`.
    pub fn since(machine: &Machine, since: u64) -> Self {
        let whole = since == 0 || since < machine.floor();
        let told = |row: &&Row| whole || row.changed > since;
        let routes = (machine.version() > 0 || !machine.routes().is_empty())
            && (whole || machine.routes_changed() > since);
        Self {
            index: machine.index(),
            whole,
            routes: routes
                .then(|| RoutesText { version: machine.version(), text: machine.routes().clone() }),
            drained: machine.drained().map(ToOwned::to_owned).collect(),
            targets: machine.targets().filter(told).cloned().collect(),
            ..Self::default()
        }
    }
}
