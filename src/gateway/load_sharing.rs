use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use prost::{Message, bytes::Bytes};
use smol::Timer;

use super::{PromptPart, SentPrompt, WorkTime, server::Gateway, target_tracker};
use crate::{
    id,
    registry::{ColdTarget, Target},
    throttle::{Notice, PauseNotice},
    wire::Topic,
};

/// How often the VMs of a region send each other their load. It is short because a target
/// prefills a prompt in tens to hundreds of milliseconds.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// The most messages that a VM receives in each `SHARE_INTERVAL`. In regions with more VMs, each VM
/// sends less often.
const MAX_MESSAGES_PER_INTERVAL: u32 = 8;

/// VMs tell each other what they heard of cold targets for this long, which is about two messages
/// in the largest regions.
const COLD_NEWS_AGE: Duration = Duration::from_millis(1000);

/// The interval at which a VM sends its load to the `other_vms` other VMs of its region.
pub(crate) fn share_interval(other_vms: u32) -> Duration {
    SHARE_INTERVAL * (other_vms / MAX_MESSAGES_PER_INTERVAL + 1)
}

/// The requests that the sender has in flight at targets.
#[derive(Clone, PartialEq, Message)]
struct LoadMessage {
    #[prost(message, repeated, tag = "1")]
    targets: Vec<TargetLoad>,
    /// The limits that targets have named to the sender.
    #[prost(message, repeated, tag = "2")]
    limits: Vec<Notice>,
    /// What was heard of cold targets lately.
    #[prost(message, repeated, tag = "3")]
    cold_targets: Vec<ColdTarget>,
    /// The pauses that targets have asked the sender for.
    #[prost(message, repeated, tag = "4")]
    pauses: Vec<PauseNotice>,
}

impl LoadMessage {
    fn is_empty(&self) -> bool {
        let Self { targets, limits, cold_targets, pauses } = self;
        targets.is_empty() && limits.is_empty() && cold_targets.is_empty() && pauses.is_empty()
    }
}

#[derive(Clone, PartialEq, Message)]
struct TargetLoad {
    #[prost(string, tag = "1")]
    target: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint32, tag = "3")]
    unread_tokens: u32,
    #[prost(uint32, tag = "4")]
    stream_gap_ms: u32,
    /// The prompts that were sent to the target since the last message.
    #[prost(message, repeated, tag = "5")]
    prompts: Vec<PromptParts>,
    /// The work time that the target reported to the sender since the last message, in percent of
    /// the usual one; zero for none.
    #[prost(uint32, tag = "6")]
    work_time_percent: u32,
    /// The age of that report.
    #[prost(uint32, tag = "7")]
    work_time_age_ms: u32,
    /// Prompt and output tokens of the requests.
    #[prost(uint32, tag = "8")]
    held_tokens: u32,
}

/// The parts of a prompt in order.
#[derive(Clone, PartialEq, Message)]
struct PromptParts {
    #[prost(fixed64, repeated, tag = "1")]
    keys: Vec<u64>,
    #[prost(uint32, repeated, tag = "2")]
    tokens: Vec<u32>,
}

impl Gateway {
    /// Sends this VM's load to the other VMs of the region. An empty load is sent only once.
    pub(super) async fn share_load(self: Arc<Self>) {
        let mut last_message = LoadMessage::default();
        loop {
            let addresses = self.peer_addresses();
            let other_vms = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
            Timer::after(share_interval(other_vms)).await;
            self.check_for_suspension();
            let message = self.load_message();
            if message == last_message && message.is_empty() {
                continue;
            }
            self.send_load(&message, addresses);
            last_message = message;
        }
    }

    /// Tells the other VMs of the region at once of a pause that has begun, before they send requests
    /// that the target would refuse.
    pub(super) fn send_pauses(&self) {
        self.send_load(&self.load_message(), self.peer_addresses());
    }

    fn send_load(&self, message: &LoadMessage, addresses: Vec<SocketAddr>) {
        let payload = Bytes::from(message.encode_to_vec());
        for address in addresses {
            self.hub.notify_detached(address, Topic::Loads, payload.clone());
        }
    }

    fn load_message(&self) -> LoadMessage {
        let (peers, now) = (self.region_peers(), self.clock.now());
        let cold_since = now.checked_sub(COLD_NEWS_AGE).unwrap_or(now);
        let cold_targets = self.mirror().cold_targets_since(cold_since, now);
        let mut balancer = self.balancer();
        let limits = balancer.limit_notices(&peers, self.clock.now());
        let pauses = balancer.pause_notices(now);
        let mut loads: HashMap<id::Target, TargetLoad> = HashMap::new();
        for SentPrompt { target, parts } in balancer.take_unreported_prompts() {
            let load = loads.entry(target).or_default();
            load.prompts.push(PromptParts {
                keys: parts.iter().map(|part| part.key).collect(),
                tokens: parts.iter().map(|part| part.tokens).collect(),
            });
        }
        for (target, WorkTime { percent, reported_at }) in balancer.take_unshared_work_times(now) {
            let age = now.saturating_duration_since(reported_at);
            let load = loads.entry(target).or_default();
            load.work_time_percent = percent;
            load.work_time_age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        }
        for (target, in_flight) in balancer.own_in_flight(self.clock.now()) {
            let load = loads.entry(target.clone()).or_default();
            load.requests = in_flight.requests;
            load.unread_tokens = in_flight.unread_tokens as u32;
            load.held_tokens = in_flight.held_tokens as u32;
            load.stream_gap_ms = (in_flight.stream_gap_secs * 1000.0) as u32;
        }
        let targets = loads
            .into_iter()
            .map(|(target, load)| TargetLoad { target: target.to_string(), ..load });
        LoadMessage { targets: targets.collect(), limits, cold_targets, pauses }
    }

    fn peer_addresses(&self) -> Vec<SocketAddr> {
        let own = self.settings.vm();
        let region = self.settings.region.as_str();
        let mirror = self.mirror();
        let peers = mirror.vms().iter().filter(|vm| {
            !vm.callers_address.is_empty() && vm.region == region && vm.vm != own.as_str()
        });
        peers.filter_map(|vm| vm.links_address()).collect()
    }

    /// Records the load that another VM of the region sent. Targets that it leaves out have none of
    /// its requests.
    pub(super) fn receive_load(&self, from: &id::Vm, payload: &Bytes) {
        let Ok(message) = LoadMessage::decode(payload.clone()) else { return };
        let now = self.clock.now();
        for notice in &message.limits {
            let change = self.balancer().record_limit_notice(notice, now);
            self.record_limit_change(&id::Target::from(notice.target.as_str()), change, from);
        }
        if !message.cold_targets.is_empty() {
            self.record_cold_targets(message.cold_targets.clone(), from);
        }
        for notice in &message.pauses {
            self.balancer().record_pause_notice(notice, now);
        }
        let loads: HashMap<&str, &TargetLoad> =
            message.targets.iter().map(|load| (load.target.as_str(), load)).collect();
        let mirror = self.mirror();
        let mut balancer = self.balancer();
        let is_local =
            |target: &&Target| self.settings.region_of(&target.zone) == Some(&self.settings.region);
        for target in mirror.services().flat_map(|(_, targets)| targets).filter(is_local) {
            let in_flight = loads.get(target.target.as_str()).map_or(
                target_tracker::InFlight::default(),
                |load| target_tracker::InFlight {
                    requests: load.requests,
                    unread_tokens: f64::from(load.unread_tokens),
                    stream_gap_secs: f64::from(load.stream_gap_ms) / 1000.0,
                    held_tokens: f64::from(load.held_tokens),
                },
            );
            balancer.record_peer_in_flight(from.as_str(), target, in_flight, now);
            if let Some(load) =
                loads.get(target.target.as_str()).filter(|it| it.work_time_percent > 0)
            {
                let age = Duration::from_millis(load.work_time_age_ms.into());
                if let Some(reported_at) = now.checked_sub(age) {
                    let work_time = WorkTime { percent: load.work_time_percent, reported_at };
                    balancer.record_peer_work_time(target, work_time, now);
                }
            }
            for prompt in
                loads.get(target.target.as_str()).into_iter().flat_map(|load| &load.prompts)
            {
                let parts = prompt.keys.iter().zip(&prompt.tokens);
                let parts: Vec<PromptPart> =
                    parts.map(|(&key, &tokens)| PromptPart { key, tokens }).collect();
                balancer.record_peer_prompt(target, &parts, now);
            }
        }
    }
}
