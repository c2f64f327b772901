use prost::{Message, bytes::Bytes};
use xxhash_rust::xxh3::xxh3_64;

use super::{StateMachine, TargetRecord, VmInfo};
use crate::crash;

/// A VM's request to a replica for everything that the VM does not know yet.
#[derive(Clone, PartialEq, Message)]
pub struct UpdateRequest {
    /// Log index up to which the VM knows the registry; 0 if it knows nothing.
    #[prost(uint64, tag = "1")]
    pub since_index: u64,
    /// The VM that sends the request. The request doubles as its heartbeat.
    #[prost(message, required, tag = "2")]
    pub sender: VmInfo,
    /// Digest of the set of VMs that the sender knows; 0 if it knows none.
    #[prost(uint64, tag = "3")]
    pub vms_digest: u64,
    /// Longest time in milliseconds for which the replica may wait for a change.
    #[prost(uint64, tag = "4")]
    pub max_wait_ms: u64,
    /// Milliseconds since the sender last received region loads; `None` if it never did.
    #[prost(uint64, optional, tag = "5")]
    pub loads_age_ms: Option<u64>,
    /// Digest of the cold targets that the sender knows.
    #[prost(uint64, tag = "6")]
    pub cold_digest: u64,
    /// Digest of the silent targets that the sender knows.
    #[prost(uint64, tag = "7")]
    pub silent_digest: u64,
    /// Records of requests that crash targets, if the sender has any that it has not reported.
    #[prost(message, optional, tag = "8")]
    pub crashes: Option<crash::RecordSet>,
    /// Digest of the blocked requests that the sender knows.
    #[prost(uint64, tag = "9")]
    pub blocked_digest: u64,
    /// Whether a majority of the replicas must confirm that the answer is the newest.
    #[prost(bool, tag = "10")]
    pub needs_confirmation: bool,
}

/// A replica's answer to an [`UpdateRequest`]. Parts that change rarely are left out if the digest
/// in the request shows that the sender has them.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// Log index up to which the update covers the registry.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Whether `targets` holds every target of the region, so that the receiver drops all others.
    #[prost(bool, tag = "2")]
    pub full: bool,
    /// The list of routes, if it changed.
    #[prost(message, optional, tag = "3")]
    pub routes: Option<RoutesText>,
    /// All zones that are drained.
    #[prost(string, repeated, tag = "4")]
    pub drained_zones: Vec<String>,
    /// The targets in the receiver's region that changed.
    #[prost(message, repeated, tag = "5")]
    pub targets: Vec<TargetRecord>,
    /// Whether the replica heard from the leader recently, so that it can have missed only the
    /// latest changes.
    #[prost(bool, tag = "6")]
    pub fresh: bool,
    /// The VMs that accept callers and the replicas, or the changes to them.
    #[prost(message, optional, tag = "7")]
    pub vm_changes: Option<VmChanges>,
    /// The silent targets in the receiver's region.
    #[prost(message, optional, tag = "9")]
    pub silent_targets: Option<SilentTargets>,
    /// The loads of all regions.
    #[prost(message, optional, tag = "10")]
    pub loads: Option<RegionLoads>,
    /// The cold targets in the receiver's region.
    #[prost(message, optional, tag = "11")]
    pub cold_targets: Option<ColdTargets>,
    /// The requests that all VMs refuse because they crash targets.
    #[prost(message, optional, tag = "12")]
    pub blocked_requests: Option<BlockedRequests>,
    /// Milliseconds from the receipt of the request to a moment at which a majority of the replicas
    /// confirmed that the update holds all changes that were acknowledged before; negative if that was
    /// earlier. `None` if no majority did, or if the request did not ask for it.
    #[prost(sint64, optional, tag = "13")]
    pub confirmed_after_ms: Option<i64>,
}

/// All requests that VMs refuse because they crash targets.
#[derive(Clone, PartialEq, Message)]
pub struct BlockedRequests {
    /// Digest of the list.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// The requests.
    #[prost(message, repeated, tag = "2")]
    pub requests: Vec<crash::BlockedRequest>,
    /// The parts of prompts for which requests are refused.
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<crash::BlockedParts>,
    /// Parts in flight at several deaths. VMs report when requests with them finish.
    #[prost(fixed64, repeated, tag = "4")]
    pub suspect_parts: Vec<u64>,
}

/// The VMs that accept callers and the replicas, or the changes to them.
#[derive(Clone, PartialEq, Message)]
pub struct VmChanges {
    /// Digest of the whole set after the changes.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// Whether `present` holds every VM, so that the receiver drops all others.
    #[prost(bool, tag = "2")]
    pub full: bool,
    /// The VMs that were added or changed.
    #[prost(message, repeated, tag = "3")]
    pub present: Vec<VmInfo>,
    /// The names of the VMs that were removed.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
}

/// All ready targets whose last announcement is overdue.
#[derive(Clone, PartialEq, Message)]
pub struct SilentTargets {
    /// Digest of the list.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// The targets.
    #[prost(string, repeated, tag = "2")]
    pub targets: Vec<String>,
}

/// The loads of all regions.
#[derive(Clone, PartialEq, Message)]
pub struct RegionLoads {
    /// One entry per region and service that has ready targets.
    #[prost(message, repeated, tag = "1")]
    pub regions: Vec<RegionLoad>,
}

/// Targets that are cold, or would be by an earlier announcement of theirs.
///
/// A list in an [`Update`] is complete. Processes that do not read the versions of the announcements
/// take targets that are not listed for warm.
#[derive(Clone, PartialEq, Message)]
pub struct ColdTargets {
    /// Digest of the list.
    #[prost(uint64, tag = "1")]
    pub digest: u64,
    /// The targets.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<ColdTarget>,
}

impl ColdTargets {
    /// A complete list. `changes` is the incarnation of the process that sends it and how often it has
    /// heard of a change of a cold period; both tell lists of the same targets apart.
    ///
    /// ```
    /// use pomelogate::registry::{ColdTarget, ColdTargets};
    ///
    /// // A target is listed once its record is known, which may be after its announcement was heard.
    /// let listed = ColdTarget { target: "engine".to_owned(), ..ColdTarget::default() };
    /// let (before, after) =
    ///     (ColdTargets::new(vec![], (1, 7)), ColdTargets::new(vec![listed], (1, 7)));
    /// assert_ne!(before.digest, after.digest);
    /// ```
    pub fn new(targets: Vec<ColdTarget>, changes: (u64, u64)) -> Self {
        let names = targets.iter().map(|cold| format!("{} {}", cold.target, cold.incarnation));
        let text = [format!("{changes:?}")].into_iter().chain(names).collect::<Vec<_>>().join("\n");
        Self { digest: xxh3_64(text.as_bytes()).max(1), targets }
    }
}

/// A target that is cold, or said that it would be.
#[derive(Clone, PartialEq, Message)]
pub struct ColdTarget {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Milliseconds for which it remains cold.
    #[prost(uint64, tag = "2")]
    pub remaining_ms: u64,
    /// Incarnation of the target in the announcement that said so.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Sequence number of that announcement.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Milliseconds since that announcement was received; `None` if the sender knows the target only
    /// from its record, or is a process that tells no versions.
    #[prost(uint64, optional, tag = "5")]
    pub age_ms: Option<u64>,
}

/// The load of one service in one region, as the VMs of the region report it.
#[derive(Clone, PartialEq, Message)]
pub struct RegionLoad {
    /// The region.
    #[prost(string, tag = "1")]
    pub region: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Number of requests that the targets can process concurrently.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Number of requests in flight at the targets.
    #[prost(uint32, tag = "4")]
    pub requests: u32,
    /// Shortest backlog of any target: the prefill time of its prompts that are not yet processed,
    /// in milliseconds.
    #[prost(uint32, tag = "5")]
    pub min_backlog_ms: u32,
    /// Whether the region recently refused requests that must not leave their home regions.
    #[prost(bool, tag = "6")]
    pub capacity_scarce: bool,
    /// Number of ready targets.
    #[prost(uint32, tag = "7")]
    pub ready_targets: u32,
    /// Software versions of the ready targets; empty if the replica does not tell.
    #[prost(string, repeated, tag = "8")]
    pub software_versions: Vec<String>,
}

/// A list of routes as the operator sent it.
#[derive(Clone, PartialEq, Message)]
pub struct RoutesText {
    /// Version of the list.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The unparsed list.
    #[prost(bytes = "bytes", tag = "2")]
    pub text: Bytes,
}

impl Update {
    /// What changed in `registry` after log index `since`, with the targets that `is_relevant`
    /// selects.
    pub fn since(
        registry: &StateMachine,
        since: u64,
        is_relevant: impl Fn(&TargetRecord) -> bool,
    ) -> Self {
        let full = since == 0 || since < registry.compacted_index();
        let after = if full { 0 } else { since };
        let routes = (registry.routes_version() > 0 || !registry.routes().is_empty())
            && (full || registry.routes_changed_index() > since);
        Self {
            index: registry.index(),
            full,
            routes: routes.then(|| RoutesText {
                version: registry.routes_version(),
                text: registry.routes().clone(),
            }),
            drained_zones: registry.drained_zones().map(ToOwned::to_owned).collect(),
            targets: registry
                .targets_changed_since(after)
                .filter(|record| is_relevant(record))
                .cloned()
                .collect(),
            ..Self::default()
        }
    }

    /// Whether `registry` has changes after log index `since` that must be sent at once: routes,
    /// zones, or targets that `is_relevant` selects.
    pub fn has_changes(
        registry: &StateMachine,
        since: u64,
        is_relevant: impl Fn(&TargetRecord) -> bool,
    ) -> bool {
        since < registry.compacted_index()
            || registry.routes_changed_index() > since
            || registry.zones_changed_index() > since
            || registry.targets_changed_since(since).any(is_relevant)
    }
}
