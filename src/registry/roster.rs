use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use prost::Message;

use super::{Announcement, Census};
use crate::crash;

/// What a VM says of itself to a replica.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
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
    pub callers: String,
    /// Where it takes links.
    #[prost(string, tag = "5")]
    pub links: String,
    /// Whether it takes new work.
    #[prost(bool, tag = "6")]
    pub ready: bool,
    /// The incarnation of its process, so that what a former one said is told apart.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// How busy the targets of its region are, as it sees them.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<Load>,
}

/// How busy the targets of one service in one region are, as one VM sees them.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
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
    pub delay_ms: u32,
    /// Whether requests that must not leave their homes were refused there lately.
    #[prost(bool, tag = "5")]
    pub scarce: bool,
}

/// A VM and when it was last heard.
#[derive(Clone, PartialEq, Message)]
pub struct Seen {
    /// What it said.
    #[prost(message, required, tag = "1")]
    pub entry: Entry,
    /// Milliseconds since then.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A target and when it last announced itself.
#[derive(Clone, PartialEq, Message)]
pub struct Heard {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Milliseconds since then.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Milliseconds for which it is still cold, as it said then.
    #[prost(uint64, tag = "3")]
    pub cold_ms: u64,
    /// When its lifetime began.
    #[prost(uint64, tag = "4")]
    pub born: u64,
    /// The number of the announcement.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
}

/// What a replica heard itself since it last told the others.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// The VMs.
    #[prost(message, repeated, tag = "1")]
    pub vms: Vec<Seen>,
    /// The targets.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Heard>,
    /// What its VMs told of requests that crash targets, where that is new.
    #[prost(message, optional, tag = "3")]
    pub crashes: Option<crash::RecordSet>,
}

/// Which VMs and targets were heard when, by any replica.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::registry::{Entry, Roster};
///
/// let mut roster = Roster::new(Duration::from_secs(3));
/// let now = Instant::now();
/// roster.hear(Entry { vm: "one".to_owned(), ..Entry::default() }, now);
/// assert_eq!(roster.live(now).count(), 1);
/// assert_eq!(roster.live(now + Duration::from_secs(4)).count(), 0);
/// ```
#[derive(Debug)]
pub struct Roster {
    limit: Duration,
    vms: BTreeMap<String, (Entry, Instant)>,
    census: Census,
    targets: BTreeMap<String, Word>,
    unsent: BTreeSet<String>,
}

/// What a target said last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// When it was heard.
    pub at: Instant,
    /// Until when it is cold.
    pub cold_until: Instant,
    /// Its lifetime and the number of its announcement, by which late ones are told.
    pub number: (u64, u64),
}

impl Roster {
    /// An empty roster, where a VM that was not heard for `limit` counts as down.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            vms: BTreeMap::new(),
            census: Census::default(),
            targets: BTreeMap::new(),
            unsent: BTreeSet::new(),
        }
    }

    /// Takes what a VM says of itself at `at`; what is older than known is passed over.
    pub fn hear(&mut self, entry: Entry, at: Instant) {
        let known = self.vms.get(&entry.vm);
        let older = known
            .is_some_and(|(known, heard)| (known.incarnation, *heard) > (entry.incarnation, at));
        if !older {
            self.census.set(&entry);
            self.vms.insert(entry.vm.clone(), (entry, at));
        }
    }

    /// The VMs as others are told of them, as of the last [`sweep`](Self::sweep).
    pub fn census(&self) -> &Census {
        &self.census
    }

    /// What a VM said last.
    pub fn entry(&self, vm: &str) -> Option<&Entry> {
        self.vms.get(vm).map(|(entry, _)| entry)
    }

    /// Notes that a target announced itself at `at`; a late announcement is a sign of life, but says
    /// nothing that a later one did not say better.
    pub fn announced(&mut self, announcement: &Announcement, at: Instant) {
        let number = (announcement.born, announcement.sequence);
        let word = Word { at, cold_until: at + announcement.cold, number };
        self.learn(announcement.target.as_str(), word);
        self.unsent.insert(announcement.target.to_string());
    }

    fn learn(&mut self, target: &str, word: Word) {
        match self.targets.get_mut(target) {
            Some(known) if known.number > word.number => known.at = known.at.max(word.at),
            Some(known) => *known = Word { at: known.at.max(word.at), ..word },
            None => drop(self.targets.insert(target.to_owned(), word)),
        }
    }

    /// What this replica heard itself, for the others. `own` tells the VMs that ask this replica.
    pub fn digest(&mut self, own: impl Fn(&Entry) -> bool, now: Instant) -> Digest {
        let vms = self.live(now).filter(|(entry, _)| own(entry));
        let vms =
            vms.map(|(entry, at)| Seen { entry: entry.clone(), age_ms: age(at, now) }).collect();
        let targets = std::mem::take(&mut self.unsent).into_iter();
        let heard = |target: String| {
            let word = self.targets.get(&target)?;
            let (age_ms, cold_ms) = (age(word.at, now), age(now, word.cold_until));
            let (born, sequence) = word.number;
            Some(Heard { target, age_ms, cold_ms, born, sequence })
        };
        let targets = targets.filter_map(heard).collect();
        Digest { vms, targets, crashes: None }
    }

    /// Takes what another replica heard.
    pub fn merge(&mut self, digest: Digest, now: Instant) {
        for seen in digest.vms {
            if let Some(at) = now.checked_sub(Duration::from_millis(seen.age_ms)) {
                self.hear(seen.entry, at);
            }
        }
        for heard in digest.targets {
            let at = now.checked_sub(Duration::from_millis(heard.age_ms)).unwrap_or(now);
            let cold_until = now + Duration::from_millis(heard.cold_ms);
            let word = Word { at, cold_until, number: (heard.born, heard.sequence) };
            self.learn(&heard.target, word);
        }
    }

    /// The VMs that were heard lately, each with the time.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&Entry, Instant)> {
        let limit = self.limit;
        let live = move |at: Instant| now.saturating_duration_since(at) < limit;
        self.vms.values().filter(move |(_, at)| live(*at)).map(|(entry, at)| (entry, *at))
    }

    /// What a target said last, as far as this replica was told.
    pub fn heard(&self, target: &str) -> Option<Word> {
        self.targets.get(target).copied()
    }

    /// How busy the targets of each service in each region are: what the VM there said that was
    /// heard last.
    pub fn loads(&self, now: Instant) -> BTreeMap<(&str, &str), &Load> {
        let mut newest: BTreeMap<(&str, &str), (Instant, &Load)> = BTreeMap::new();
        for (entry, at) in self.live(now) {
            for load in &entry.loads {
                let known = newest.entry((&entry.region, &load.service)).or_insert((at, load));
                if known.0 < at {
                    *known = (at, load);
                }
            }
        }
        newest.into_iter().map(|(key, (_, load))| (key, load)).collect()
    }

    /// Takes VMs that were not heard lately out of the census, and forgets VMs and targets that were
    /// not heard for long. A replica sweeps several times in the time after which a VM is down.
    pub fn sweep(&mut self, now: Instant) {
        let silent = |at: &Instant| now.saturating_duration_since(*at) >= self.limit;
        for (vm, _) in self.vms.iter().filter(|(_, (_, at))| silent(at)) {
            self.census.remove(vm);
        }
        let limit = self.limit * 10;
        self.vms.retain(|_, (_, at)| now.saturating_duration_since(*at) < limit);
        self.targets.retain(|_, word| now.saturating_duration_since(word.at) < limit);
    }
}

impl Entry {
    /// Where the VM takes callers.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.callers.parse().ok()
    }

    /// Where the VM takes links.
    pub fn links(&self) -> Option<SocketAddr> {
        self.links.parse().ok()
    }
}

fn age(at: Instant, now: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
}
