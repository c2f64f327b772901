use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use prost::Message;

use super::{Announcement, VmSet};
use crate::crash;

/// What a VM says of itself to a replica.
#[derive(Clone, PartialEq, Message)]
pub struct VmInfo {
    /// The VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Its region.
    #[prost(string, tag = "2")]
    pub region: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Where it takes callers; empty for a replica.
    #[prost(string, tag = "4")]
    pub callers_address: String,
    /// Where it takes links.
    #[prost(string, tag = "5")]
    pub links_address: String,
    /// Whether it takes new work.
    #[prost(bool, tag = "6")]
    pub ready: bool,
    /// The incarnation of its process, so that what a former one said is told apart.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// How busy the targets of its region are, as it sees them.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<ServiceLoad>,
}

/// How busy the targets of one service in one region are, as one VM sees them.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoad {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Places at its targets.
    #[prost(uint32, tag = "2")]
    pub slots: u32,
    /// Requests there.
    #[prost(uint32, tag = "3")]
    pub requests: u32,
    /// Milliseconds until what was sent has been read, at the least busy target.
    #[prost(uint32, tag = "4")]
    pub min_backlog_ms: u32,
    /// Whether requests that must not leave their homes were refused there lately.
    #[prost(bool, tag = "5")]
    pub capacity_scarce: bool,
}

/// A VM and when it was last heard.
#[derive(Clone, PartialEq, Message)]
pub struct VmHeartbeat {
    /// What it said.
    #[prost(message, required, tag = "1")]
    pub info: VmInfo,
    /// Milliseconds since then.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A target and when it last announced itself.
#[derive(Clone, PartialEq, Message)]
pub struct TargetHeartbeat {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Milliseconds since then.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Milliseconds for which it is still cold, as it said then.
    #[prost(uint64, tag = "3")]
    pub cold_remaining_ms: u64,
    /// When its lifetime began.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// The number of the announcement.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
}

/// What a replica heard itself since it last told the others.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatReport {
    /// The VMs.
    #[prost(message, repeated, tag = "1")]
    pub vms: Vec<VmHeartbeat>,
    /// The targets.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetHeartbeat>,
    /// What its VMs told of requests that crash targets, where that is new.
    #[prost(message, optional, tag = "3")]
    pub crashes: Option<crash::Notice>,
}

/// Which VMs and targets were heard when, by any replica.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::registry::{VmInfo, HeartbeatTable};
///
/// let mut table = HeartbeatTable::new(Duration::from_secs(3));
/// let now = Instant::now();
/// table.record_vm(VmInfo { vm: "one".to_owned(), ..VmInfo::default() }, now);
/// assert_eq!(table.live_vms(now).count(), 1);
/// assert_eq!(table.live_vms(now + Duration::from_secs(4)).count(), 0);
/// ```
#[derive(Debug)]
pub struct HeartbeatTable {
    limit: Duration,
    vms: BTreeMap<String, (VmInfo, Instant)>,
    vm_set: VmSet,
    targets: BTreeMap<String, LastAnnouncement>,
    unsent: BTreeSet<String>,
}

/// What a target said last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastAnnouncement {
    /// When it was heard.
    pub received_at: Instant,
    /// Until when it is cold.
    pub cold_until: Instant,
    /// Its lifetime and the number of its announcement, by which late ones are told.
    pub version: (u64, u64),
}

impl HeartbeatTable {
    /// An empty table, where a VM that was not heard for `limit` counts as down.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            vms: BTreeMap::new(),
            vm_set: VmSet::default(),
            targets: BTreeMap::new(),
            unsent: BTreeSet::new(),
        }
    }

    /// Takes what a VM says of itself at `at`; what is older than known is passed over.
    pub fn record_vm(&mut self, entry: VmInfo, at: Instant) {
        let known = self.vms.get(&entry.vm);
        let older = known
            .is_some_and(|(known, heard)| (known.incarnation, *heard) > (entry.incarnation, at));
        if !older {
            self.vm_set.insert(&entry);
            self.vms.insert(entry.vm.clone(), (entry, at));
        }
    }

    /// The VMs as others are told of them, as of the last [`sweep`](Self::sweep).
    pub fn vm_set(&self) -> &VmSet {
        &self.vm_set
    }

    /// What a VM said last.
    pub fn vm(&self, vm: &str) -> Option<&VmInfo> {
        self.vms.get(vm).map(|(entry, _)| entry)
    }

    /// Notes that a target announced itself at `at`; a late announcement is a sign of life, but says
    /// nothing that a later one did not say better.
    pub fn record_announcement(&mut self, announcement: &Announcement, at: Instant) {
        let version = (announcement.incarnation, announcement.sequence);
        let word = LastAnnouncement {
            received_at: at,
            cold_until: at + announcement.cold_remaining,
            version,
        };
        self.learn(announcement.target.as_str(), word);
        self.unsent.insert(announcement.target.to_string());
    }

    fn learn(&mut self, target: &str, word: LastAnnouncement) {
        match self.targets.get_mut(target) {
            Some(known) if known.version > word.version => {
                known.received_at = known.received_at.max(word.received_at)
            }
            Some(known) => {
                *known = LastAnnouncement {
                    received_at: known.received_at.max(word.received_at),
                    ..word
                }
            }
            None => drop(self.targets.insert(target.to_owned(), word)),
        }
    }

    /// What this replica heard itself, for the others. `own` tells the VMs that ask this replica.
    pub fn report(&mut self, own: impl Fn(&VmInfo) -> bool, now: Instant) -> HeartbeatReport {
        let vms = self.live_vms(now).filter(|(entry, _)| own(entry));
        let vms = vms
            .map(|(entry, at)| VmHeartbeat { info: entry.clone(), age_ms: age(at, now) })
            .collect();
        let targets = std::mem::take(&mut self.unsent).into_iter();
        let heard = |target: String| {
            let word = self.targets.get(&target)?;
            let (age_ms, cold_remaining_ms) =
                (age(word.received_at, now), age(now, word.cold_until));
            let (incarnation, sequence) = word.version;
            Some(TargetHeartbeat { target, age_ms, cold_remaining_ms, incarnation, sequence })
        };
        let targets = targets.filter_map(heard).collect();
        HeartbeatReport { vms, targets, crashes: None }
    }

    /// Takes what another replica heard.
    pub fn merge(&mut self, digest: HeartbeatReport, now: Instant) {
        for seen in digest.vms {
            if let Some(at) = now.checked_sub(Duration::from_millis(seen.age_ms)) {
                self.record_vm(seen.info, at);
            }
        }
        for heard in digest.targets {
            let at = now.checked_sub(Duration::from_millis(heard.age_ms)).unwrap_or(now);
            let cold_until = now + Duration::from_millis(heard.cold_remaining_ms);
            let word = LastAnnouncement {
                received_at: at,
                cold_until,
                version: (heard.incarnation, heard.sequence),
            };
            self.learn(&heard.target, word);
        }
    }

    /// The VMs that were heard lately, each with the time.
    pub fn live_vms(&self, now: Instant) -> impl Iterator<Item = (&VmInfo, Instant)> {
        let limit = self.limit;
        let live = move |at: Instant| now.saturating_duration_since(at) < limit;
        self.vms.values().filter(move |(_, at)| live(*at)).map(|(entry, at)| (entry, *at))
    }

    /// What a target said last, as far as this replica was told.
    pub fn last_announcement(&self, target: &str) -> Option<LastAnnouncement> {
        self.targets.get(target).copied()
    }

    /// How busy the targets of each service in each region are: what the VM there said that was
    /// heard last.
    pub fn loads(&self, now: Instant) -> BTreeMap<(&str, &str), &ServiceLoad> {
        let mut newest: BTreeMap<(&str, &str), (Instant, &ServiceLoad)> = BTreeMap::new();
        for (entry, at) in self.live_vms(now) {
            for load in &entry.loads {
                let known = newest.entry((&entry.region, &load.service)).or_insert((at, load));
                if known.0 < at {
                    *known = (at, load);
                }
            }
        }
        newest.into_iter().map(|(key, (_, load))| (key, load)).collect()
    }

    /// Takes VMs that were not heard lately out of the vm_set, and forgets VMs and targets that were
    /// not heard for long. A replica sweeps several times in the time after which a VM is down.
    pub fn sweep(&mut self, now: Instant) {
        let silent = |at: &Instant| now.saturating_duration_since(*at) >= self.limit;
        for (vm, _) in self.vms.iter().filter(|(_, (_, at))| silent(at)) {
            self.vm_set.remove(vm);
        }
        let limit = self.limit * 10;
        self.vms.retain(|_, (_, at)| now.saturating_duration_since(*at) < limit);
        self.targets.retain(|_, word| now.saturating_duration_since(word.received_at) < limit);
    }
}

impl VmInfo {
    /// Where the VM takes callers.
    pub fn callers_address(&self) -> Option<SocketAddr> {
        self.callers_address.parse().ok()
    }

    /// Where the VM takes links.
    pub fn links_address(&self) -> Option<SocketAddr> {
        self.links_address.parse().ok()
    }
}

fn age(at: Instant, now: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
}
