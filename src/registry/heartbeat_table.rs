use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use prost::Message;

use super::{
    Announcement, ColdTarget, LastAnnouncement, LastAnnouncements, MAX_LATENESS, TargetRecord,
    VmSet, last_announcements::elapsed_ms,
};
use crate::crash;

/// What a VM reports about itself.
#[derive(Clone, PartialEq, Message)]
pub struct VmInfo {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Region of the VM.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Availability zone of the VM.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address at which the VM accepts callers; empty for a replica.
    #[prost(string, tag = "4")]
    pub callers_address: String,
    /// Address at which the VM accepts links from other VMs.
    #[prost(string, tag = "5")]
    pub links_address: String,
    /// Whether the VM accepts new requests.
    #[prost(bool, tag = "6")]
    pub ready: bool,
    /// Start time of the VM's process. Orders the reports of different processes of one VM.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Loads of the targets in the VM's region, as the VM sees them.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<ServiceLoad>,
    /// Whether the VM is a replica that keeps the software versions at which streams began.
    #[prost(bool, tag = "9")]
    pub records_streams: bool,
    /// Weight of the VM by the resources of its machine; zero if they are not known. It is the same
    /// for the whole life of a process.
    #[prost(uint32, tag = "10")]
    pub weight: u32,
}

/// The load of one service in one region, as one VM sees it.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoad {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of requests that the targets can process concurrently.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Number of requests in flight at the targets.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
    /// Milliseconds that the target with the shortest backlog needs to read its unread prompts.
    #[prost(uint32, tag = "4")]
    pub min_backlog_ms: u32,
    /// Whether the region recently refused requests that must not leave their home regions.
    #[prost(bool, tag = "5")]
    pub capacity_scarce: bool,
}

/// A VM and the time since it was last heard.
#[derive(Clone, PartialEq, Message)]
pub struct VmHeartbeat {
    /// What the VM last reported.
    #[prost(message, required, tag = "1")]
    pub info: VmInfo,
    /// Milliseconds since the VM was last heard.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A target and the time since its last announcement.
#[derive(Clone, PartialEq, Message)]
pub struct TargetHeartbeat {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Milliseconds since the last announcement.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Milliseconds for which the target remains cold.
    #[prost(uint64, tag = "3")]
    pub cold_remaining_ms: u64,
    /// Incarnation of the target.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Number of the last announcement.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Milliseconds since the announcement with this sequence number; `None` from a replica that
    /// does not tell it from `age_ms`.
    #[prost(uint64, optional, tag = "6")]
    pub version_age_ms: Option<u64>,
}

/// A message between replicas: the heartbeats that the sender received directly from VMs and
/// targets.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatReport {
    /// The VMs that are live.
    #[prost(message, repeated, tag = "1")]
    pub vms: Vec<VmHeartbeat>,
    /// The targets that announced themselves since the last report.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetHeartbeat>,
    /// Records of requests that crash targets, if VMs reported new ones.
    #[prost(message, optional, tag = "3")]
    pub crashes: Option<crash::RecordSet>,
    /// Wall clock of the sender in Unix milliseconds; `None` from a replica that does not report it.
    #[prost(uint64, optional, tag = "4")]
    pub unix_ms: Option<u64>,
}

/// When each VM and each target was last heard by any replica.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::registry::{HeartbeatTable, VmInfo};
///
/// let mut table = HeartbeatTable::new(Duration::from_secs(3));
/// let now = Instant::now();
/// table.record_vm(VmInfo { vm: "one".to_owned(), ..VmInfo::default() }, now);
/// assert_eq!(table.live_vms(now).count(), 1);
/// assert_eq!(table.live_vms(now + Duration::from_secs(4)).count(), 0);
/// ```
#[derive(Debug)]
pub struct HeartbeatTable {
    vm_timeout: Duration,
    vms: BTreeMap<String, (VmInfo, Instant)>,
    vm_set: VmSet,
    targets: LastAnnouncements,
    /// Targets that announced themselves to this replica since its last report.
    unreported: BTreeSet<String>,
}

impl HeartbeatTable {
    /// Creates an empty table. A VM that has not been heard for `vm_timeout` counts as down.
    pub fn new(vm_timeout: Duration) -> Self {
        Self {
            vm_timeout,
            vms: BTreeMap::new(),
            vm_set: VmSet::default(),
            targets: LastAnnouncements::default(),
            unreported: BTreeSet::new(),
        }
    }

    /// Records a heartbeat of a VM. Ignores it if a newer one is known.
    pub fn record_vm(&mut self, info: VmInfo, received_at: Instant) {
        let known = self.vms.get(&info.vm);
        let older = known.is_some_and(|(known, known_at)| {
            (known.incarnation, *known_at) > (info.incarnation, received_at)
        });
        if !older {
            self.vm_set.insert(&info);
            self.vms.insert(info.vm.clone(), (info, received_at));
        }
    }

    /// The live VMs as of the last [`sweep`](Self::sweep), with their digest.
    pub fn vm_set(&self) -> &VmSet {
        &self.vm_set
    }

    /// What a VM last reported.
    pub fn vm(&self, vm: &str) -> Option<&VmInfo> {
        self.vms.get(vm).map(|(info, _)| info)
    }

    /// The time since a VM was last heard; `None` if it is not known.
    pub fn since_vm(&self, vm: &str, now: Instant) -> Option<Duration> {
        self.vms.get(vm).map(|(_, at)| now.saturating_duration_since(*at))
    }

    /// Records an announcement that this replica received. Returns whether the target is cold for
    /// longer or shorter than was known.
    pub fn record_announcement(
        &mut self,
        announcement: &Announcement,
        received_at: Instant,
    ) -> bool {
        let version = (announcement.incarnation, announcement.sequence);
        let received = LastAnnouncement::new(version, announcement.cold_remaining, received_at);
        self.unreported.insert(announcement.target.to_string());
        self.targets.record(announcement.target.as_str(), received)
    }

    /// Returns what this replica heard itself, for the other replicas, and clears the list of
    /// targets to report. `is_own` selects the VMs that send their heartbeats to this replica.
    pub fn report(&mut self, is_own: impl Fn(&VmInfo) -> bool, now: Instant) -> HeartbeatReport {
        let vms = self.live_vms(now).filter(|(info, _)| is_own(info));
        let vms = vms
            .map(|(info, at)| VmHeartbeat { info: info.clone(), age_ms: elapsed_ms(at, now) })
            .collect();
        let targets = std::mem::take(&mut self.unreported).into_iter();
        let targets = targets.filter_map(|target| self.target_heartbeat(&target, now)).collect();
        HeartbeatReport { vms, targets, ..HeartbeatReport::default() }
    }

    /// The newest announcement of a target, for the other replicas.
    pub fn target_heartbeat(&self, target: &str, now: Instant) -> Option<TargetHeartbeat> {
        let known = self.targets.get(target)?;
        let (incarnation, sequence) = known.version;
        Some(TargetHeartbeat {
            target: target.to_owned(),
            age_ms: elapsed_ms(known.received_at, now),
            cold_remaining_ms: elapsed_ms(now, known.cold_until),
            incarnation,
            sequence,
            version_age_ms: Some(elapsed_ms(known.version_received_at, now)),
        })
    }

    /// Merges the report of another replica, received at `now`. Returns whether a target is cold for
    /// longer or shorter than was known.
    pub fn merge(&mut self, report: HeartbeatReport, now: Instant) -> bool {
        for heartbeat in report.vms {
            if let Some(received_at) = now.checked_sub(Duration::from_millis(heartbeat.age_ms)) {
                self.record_vm(heartbeat.info, received_at);
            }
        }
        let changes = report.targets.iter().filter(|it| self.targets.merge_heartbeat(it, now));
        changes.count() > 0
    }

    /// The VMs that were heard within the timeout, each with the time of its last heartbeat.
    pub fn live_vms(&self, now: Instant) -> impl Iterator<Item = (&VmInfo, Instant)> {
        let vm_timeout = self.vm_timeout;
        let is_live = move |at: Instant| now.saturating_duration_since(at) < vm_timeout;
        self.vms.values().filter(move |(_, at)| is_live(*at)).map(|(info, at)| (info, *at))
    }

    /// The newest announcement of a target that any replica has reported.
    pub fn last_announcement(&self, target: &str) -> Option<LastAnnouncement> {
        self.targets.get(target).copied()
    }

    /// What VMs must know of the cold period of a target; nothing if it has never said that it would
    /// be cold now.
    pub fn cold_target(&self, target: &str, now: Instant) -> Option<ColdTarget> {
        self.targets.cold_target(target, now)
    }

    /// Whether no announcement as new as a record has been received for longer than announcements
    /// are delayed.
    pub fn is_silent(&self, record: &TargetRecord, now: Instant) -> bool {
        let version = (record.incarnation, record.sequence);
        let last = self.targets.get(&record.target).filter(|last| last.version >= version);
        last.is_none_or(|last| {
            now.saturating_duration_since(last.version_received_at) >= MAX_LATENESS
        })
    }

    /// The load of each service in each region, keyed by region and service. Each comes from the VM
    /// of the region that was heard last.
    pub fn loads(&self, now: Instant) -> BTreeMap<(&str, &str), &ServiceLoad> {
        let mut newest: BTreeMap<(&str, &str), (Instant, &ServiceLoad)> = BTreeMap::new();
        for (info, at) in self.live_vms(now) {
            for load in &info.loads {
                let known = newest.entry((&info.region, &load.service)).or_insert((at, load));
                if known.0 < at {
                    *known = (at, load);
                }
            }
        }
        newest.into_iter().map(|(key, (_, load))| (key, load)).collect()
    }

    /// Removes VMs that timed out from the set of live VMs, and forgets VMs and targets that have
    /// been silent for ten timeouts. A replica calls this several times per timeout.
    pub fn sweep(&mut self, now: Instant) {
        let timed_out = |at: &Instant| now.saturating_duration_since(*at) >= self.vm_timeout;
        for (vm, _) in self.vms.iter().filter(|(_, (_, at))| timed_out(at)) {
            self.vm_set.remove(vm);
        }
        let retention = self.vm_timeout * 10;
        self.vms.retain(|_, (_, at)| now.saturating_duration_since(*at) < retention);
        self.targets.sweep(retention, now);
    }
}

impl VmInfo {
    /// Address at which the VM accepts callers; `None` for a replica.
    pub fn callers_address(&self) -> Option<SocketAddr> {
        self.callers_address.parse().ok()
    }

    /// Address at which the VM accepts links from other VMs.
    pub fn links_address(&self) -> Option<SocketAddr> {
        self.links_address.parse().ok()
    }
}
