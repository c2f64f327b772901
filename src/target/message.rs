use std::time::{Duration, Instant};

use prost::Message;

use super::{Announcement, Capacity, Load, Need, Offer, Renewals, Report};
use crate::{
    throttle::{Notice, PauseNotice},
    wire,
};

/// What VMs tell each other of targets.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// Targets of the sender's region, for VMs of the same region.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<Sent>,
    /// Targets that leave, where the sender knows but their names.
    #[prost(string, repeated, tag = "2")]
    pub leaving: Vec<String>,
    /// Summaries of regions.
    #[prost(message, repeated, tag = "3")]
    pub summaries: Vec<Summary>,
    /// The VM of this region that began to pass the summaries on; empty between regions.
    #[prost(string, tag = "4")]
    pub root: String,
    /// Renewals of targets of the sender's region.
    #[prost(message, optional, tag = "5")]
    pub renewals: Option<Renewals>,
    /// Digests in the receiver's renewals of which the sender does not know the targets.
    #[prost(fixed32, repeated, tag = "6")]
    pub wanted: Vec<u32>,
    /// The limits that targets of the sender's region named to the sender.
    #[prost(message, repeated, tag = "7")]
    pub limits: Vec<Notice>,
    /// The pauses that targets of the sender's region asked the sender for.
    #[prost(message, repeated, tag = "8")]
    pub pauses: Vec<PauseNotice>,
}

/// A [`Report`] on its way.
#[derive(Clone, PartialEq, Message)]
pub struct Sent {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The incarnation of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Where it takes requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its region.
    #[prost(string, tag = "4")]
    pub region: String,
    /// Its availability zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// What it serves.
    #[prost(message, repeated, tag = "6")]
    pub offers: Vec<Served>,
    /// Whether it refuses orders that carry an old fencing number.
    #[prost(bool, tag = "7")]
    pub fenced: bool,
    /// Requests in its batch.
    #[prost(uint32, tag = "8")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "9")]
    pub waiting: u32,
    /// Requests that its batch holds.
    #[prost(uint32, tag = "10")]
    pub slots: u32,
    /// Prompt tokens that wait to be read.
    #[prost(uint32, tag = "11")]
    pub waiting_tokens: u32,
    /// The VM that took the announcement.
    #[prost(string, tag = "12")]
    pub by: String,
    /// Milliseconds since that VM took it.
    #[prost(uint64, tag = "13")]
    pub age_ms: u64,
    /// Whether the target leaves.
    #[prost(bool, tag = "14")]
    pub leaving: bool,
    /// How many models it can hold at once.
    #[prost(uint32, tag = "15")]
    pub models: u32,
}

/// An [`Offer`] on its way.
#[derive(Clone, PartialEq, Message)]
pub struct Served {
    /// The model; empty for a plain service.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version of the model.
    #[prost(string, tag = "2")]
    pub version: String,
    /// The adapters of the model.
    #[prost(string, repeated, tag = "3")]
    pub adapters: Vec<String>,
    /// The plain service; empty for a model.
    #[prost(string, tag = "4")]
    pub service: String,
}

/// What a region can serve.
#[derive(Clone, PartialEq, Message)]
pub struct Summary {
    /// The region.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Milliseconds since a VM of the region wrote it.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Its capacity, need by need.
    #[prost(message, repeated, tag = "3")]
    pub lines: Vec<Line>,
}

/// A region's capacity for one need.
#[derive(Clone, PartialEq, Message)]
pub struct Line {
    /// The need.
    #[prost(message, optional, tag = "1")]
    pub need: Option<wire::Need>,
    /// The targets that meet it.
    #[prost(uint32, tag = "2")]
    pub targets: u32,
    /// Places left in their batches.
    #[prost(uint32, tag = "3")]
    pub free: u32,
    /// Requests that wait for a place.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

impl Sent {
    /// Writes a report down at `now`.
    pub fn encode(report: &Report, now: Instant) -> Self {
        let said = &report.announcement;
        Self {
            target: said.target.to_string(),
            incarnation: said.incarnation,
            address: said.address.to_string(),
            region: said.region.to_string(),
            zone: said.zone.to_string(),
            offers: said.offers.iter().map(Served::encode).collect(),
            fenced: said.fenced,
            running: said.load.running,
            waiting: said.load.waiting,
            slots: said.load.slots,
            waiting_tokens: said.load.waiting_tokens,
            by: report.by.to_string(),
            age_ms: millis(report.age(now)),
            leaving: report.leaving,
            models: said.models,
        }
    }

    /// Reads a report that came at `now`; nothing where it cannot be read.
    pub(super) fn decode(&self, now: Instant) -> Option<Report> {
        let load = Load {
            running: self.running,
            waiting: self.waiting,
            slots: self.slots,
            waiting_tokens: self.waiting_tokens,
        };
        let taken = now.checked_sub(Duration::from_millis(self.age_ms))?;
        let announcement = Announcement { load, ..self.said()? };
        let by = self.by.as_str().into();
        Some(Report { announcement, by, taken, leaving: self.leaving })
    }

    fn said(&self) -> Option<Announcement> {
        Some(Announcement {
            target: self.target.as_str().into(),
            incarnation: self.incarnation,
            address: self.address.parse().ok()?,
            region: self.region.as_str().into(),
            zone: self.zone.as_str().into(),
            offers: self.offers.iter().map(Served::decode).collect(),
            fenced: self.fenced,
            models: self.models,
            load: Load::default(),
        })
    }
}

impl Served {
    fn encode(offer: &Offer) -> Self {
        match offer {
            Offer::Model { model, version, adapters } => Self {
                model: model.to_string(),
                version: version.to_string(),
                adapters: adapters.iter().map(ToString::to_string).collect(),
                service: String::new(),
            },
            Offer::Service { service } => Self { service: service.to_string(), ..Self::default() },
        }
    }

    fn decode(&self) -> Offer {
        if !self.service.is_empty() {
            return Offer::Service { service: self.service.as_str().into() };
        }
        Offer::Model {
            model: self.model.as_str().into(),
            version: self.version.as_str().into(),
            adapters: self.adapters.iter().map(|adapter| adapter.as_str().into()).collect(),
        }
    }
}

impl Line {
    /// Writes the capacity for a need down.
    pub fn encode(need: &Need, capacity: Capacity) -> Self {
        let text = |text: Option<&str>| text.unwrap_or_default().to_owned();
        let need = match need {
            Need::Service { service } => {
                wire::Need { service: service.to_string(), ..wire::Need::default() }
            }
            Need::Model { model, version, adapter } => wire::Need {
                model: model.to_string(),
                version: text(version.as_ref().map(crate::id::Version::as_str)),
                adapter: text(adapter.as_ref().map(crate::id::Adapter::as_str)),
                service: String::new(),
            },
        };
        let Capacity { targets, free, waiting } = capacity;
        Self { need: Some(need), targets, free, waiting }
    }

    /// Reads the capacity for a need.
    pub fn decode(&self) -> Option<(Need, Capacity)> {
        let need = self.need.as_ref()?;
        let some = |text: &str| (!text.is_empty()).then(|| text.to_owned());
        let need = match some(&need.service) {
            Some(service) => Need::Service { service: service.into() },
            None => Need::Model {
                model: some(&need.model)?.into(),
                version: some(&need.version).map(Into::into),
                adapter: some(&need.adapter).map(Into::into),
            },
        };
        let Self { targets, free, waiting, .. } = *self;
        Some((need, Capacity { targets, free, waiting }))
    }
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
