//! Exchange of membership and target state between VMs.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use hyper::body::Bytes;
use prost::Message;
use smol::{Timer, future::or};

use super::Vm;
use crate::{
    event, id,
    link::Traffic,
    member::{MembershipReport, State},
    settings::Peer,
    target::{Announcement, Gossip, Nonsense, Telling},
    wire::Topic,
};

/// Interval between two rounds of the gossip loop, and before a failed copy is sent again.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Gossip rounds between two heartbeats, and between two batches of target renewals.
const HEARTBEAT_ROUNDS: u64 = 5;
/// Interval between two summaries to the other regions, for each region. The interval grows with
/// the number of regions, so that the cost of summaries does not.
const SUMMARY_INTERVAL_PER_REGION: Duration = Duration::from_millis(400);
/// How long a starting VM waits for the first peer to send its members and targets.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a peer may take to confirm a target's announcement or leave, or that this VM leaves.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

impl Vm {
    /// Fetches members and targets from the VMs of the region; where it has no other VM, from any
    /// known VM.
    pub(super) async fn join(self: &Arc<Self>) {
        let now = self.clock.now();
        for peer in &self.settings.peers {
            self.hub.expect_vm(peer.links, peer.vm.clone());
        }
        let mut peers = self.members().region_peers(now);
        if peers.is_empty() {
            peers = self.known_vms();
            peers.retain(|peer| peer.vm != self.settings.vm);
        }
        let timeout = async {
            Timer::after(JOIN_TIMEOUT).await;
        };
        or(self.fetch_from_any(peers), timeout).await;
    }

    /// Asks all `peers` for their members and targets; returns when the first has answered.
    async fn fetch_from_any(self: &Arc<Self>, peers: Vec<Peer>) {
        let report = {
            let now = self.clock.now();
            encode(&self.members().report(now))
        };
        let mut results: FuturesUnordered<_> =
            peers.iter().map(|peer| self.fetch_from_peer(peer, report.clone())).collect();
        while let Some(answered) = results.next().await {
            if answered {
                return;
            }
        }
    }

    async fn fetch_from_peer(&self, peer: &Peer, report: Bytes) -> bool {
        let members = self.hub.call(peer.links, Topic::Membership, report, JOIN_TIMEOUT).await;
        let empty = encode(&Gossip::default());
        let targets = self.hub.call(peer.links, Topic::Targets, empty, JOIN_TIMEOUT).await;
        let (Ok(members), Ok(targets)) = (members, targets) else { return false };
        self.receive_members(members);
        self.receive_targets(&peer.vm, targets);
        true
    }

    /// Sends members, targets and summaries to other VMs for as long as the VM runs.
    pub(super) async fn gossip(self: Arc<Self>) {
        let mut last_states = BTreeMap::new();
        let mut last_expiry = self.clock.now();
        let mut summary_schedule = Telling::new(last_expiry);
        for round in 0_u64.. {
            let heartbeat_due = round % HEARTBEAT_ROUNDS == 0;
            if heartbeat_due {
                self.send_heartbeats();
                self.send_target_renewals();
                self.log_state_changes(&mut last_states);
            }
            let changed = self.targets().take_changed();
            let region_count = u32::try_from(self.members().region_count()).unwrap_or(u32::MAX);
            let now = self.clock.now();
            if summary_schedule.is_due(now, changed, SUMMARY_INTERVAL_PER_REGION * region_count) {
                self.send_region_summary();
            }
            for target in self.targets().expire(last_expiry, now) {
                event::links::TARGET_EXPIRED.emit(&self.logger, &[("target", &target)]);
            }
            last_expiry = now;
            Timer::after(GOSSIP_INTERVAL).await;
        }
    }

    /// Counts of what this VM has sent on its links to other VMs.
    pub fn traffic(&self) -> &Traffic {
        self.hub.traffic()
    }

    /// Tells other VMs at once that this VM leaves. It stays in the leaving state until the process
    /// ends.
    pub async fn announce_leaving(&self) {
        event::links::LEAVING.emit(&self.logger, &[]);
        let now = self.clock.now();
        let (report, peers) = {
            let mut members = self.members();
            members.mark_leaving();
            let mut peers = members.region_peers(now);
            peers.extend(members.relays_of_other_regions(now));
            (encode(&members.report(now)), peers)
        };
        let announce = |peer: &Peer| {
            self.hub.call(peer.links, Topic::Membership, report.clone(), COPY_TIMEOUT)
        };
        let mut calls: FuturesUnordered<_> = peers.iter().map(announce).collect();
        while calls.next().await.is_some() {}
    }

    /// Records a target's announcement. A new one is copied to another VM before this returns.
    pub(super) async fn accept_announcement(
        &self,
        announcement: Announcement,
    ) -> Result<(), Nonsense> {
        let now = self.clock.now();
        let target = announcement.target.clone();
        let is_new = self.targets().announce(announcement, now).inspect_err(|cause| {
            let fields: [event::Field<'_>; 2] = [("target", &target), ("cause", cause)];
            event::links::NONSENSE.emit(&self.logger, &fields);
        })?;
        if is_new {
            event::path::TARGET.emit(&self.logger, &[("target", &target)]);
            self.copy_to_region(self.gossip_about(&target), &target).await;
        }
        Ok(())
    }

    /// Records that a target leaves, and copies that to another VM before this returns.
    pub(super) async fn record_target_leave(&self, target: &id::Target) {
        let is_known = self.targets().leave(target);
        event::links::TARGET_LEFT.emit(&self.logger, &[("target", target)]);
        let gossip = if is_known {
            self.gossip_about(target)
        } else {
            Gossip { leaving: vec![target.to_string()], ..Gossip::default() }
        };
        self.copy_to_region(gossip, target).await;
    }

    fn gossip_about(&self, target: &id::Target) -> Gossip {
        let now = self.clock.now();
        let reports = self.targets().sent(target, now).into_iter().collect();
        Gossip { reports, ..Gossip::default() }
    }

    /// Copies target state to the other VMs of the region. Returns once one of them has it, or after
    /// two attempts that none of them confirmed.
    async fn copy_to_region(&self, gossip: Gossip, target: &id::Target) {
        let bytes = encode(&gossip);
        if self.try_copy(&bytes).await {
            return;
        }
        Timer::after(GOSSIP_INTERVAL).await;
        if !self.try_copy(&bytes).await {
            event::links::UNCOPIED.emit(&self.logger, &[("target", target)]);
        }
    }

    /// Sends a copy to every other VM of the region. Returns whether one of them confirmed it or
    /// there is no other VM; the calls to the rest go on in the background.
    async fn try_copy(&self, bytes: &Bytes) -> bool {
        let region_peers = {
            let now = self.clock.now();
            self.members().region_peers(now)
        };
        let (sender, confirmations) = smol::channel::unbounded();
        for peer in &region_peers {
            let (hub, links) = (Arc::clone(&self.hub), peer.links);
            let (sender, bytes) = (sender.clone(), bytes.clone());
            let call = async move {
                let reply = hub.call(links, Topic::Targets, bytes, COPY_TIMEOUT).await;
                let _ = sender.try_send(reply.is_ok());
            };
            smol::spawn(call).detach();
        }
        drop(sender);
        while let Ok(confirmed) = confirmations.recv().await {
            if confirmed {
                return true;
            }
        }
        region_peers.is_empty()
    }

    /// Merges the members that another VM sent; returns the members that this VM knows.
    pub(super) fn receive_members(&self, payload: Bytes) -> Bytes {
        let now = self.clock.now();
        let Ok(report) = MembershipReport::decode(payload) else { return Bytes::new() };
        let mut members = self.members();
        let joined = members.merge(&report, now);
        let own_report = encode(&members.report(now));
        drop(members);
        for vm in joined {
            event::links::JOINED.emit(&self.logger, &[("member", &vm)]);
            self.expect_at_links(&vm);
        }
        own_report
    }

    /// Merges the target state that another VM sent. An empty payload asks for all target state,
    /// which is returned.
    pub(super) fn receive_targets(&self, from: &id::Vm, payload: Bytes) -> Bytes {
        let now = self.clock.now();
        if payload.is_empty() {
            let (limits, pauses) = (self.limit_notices(), self.pause_notices());
            return encode(&Gossip { limits, pauses, ..self.targets().all(now) });
        }
        let Ok(gossip) = Gossip::decode(payload) else { return Bytes::new() };
        self.receive_limits(from, &gossip.limits);
        self.receive_pauses(&gossip.pauses);
        let leaving = self.targets().merge(&gossip, now);
        self.forward_summaries(gossip.root);
        for target in leaving {
            event::links::TARGET_LEFT.emit(&self.logger, &[("target", &target)]);
        }
        Bytes::new()
    }

    /// Makes the links refuse any other VM that answers at the links address of `vm`.
    fn expect_at_links(&self, vm: &id::Vm) {
        let now = self.clock.now();
        let links = self
            .members()
            .members(now)
            .find(|(entry, _)| entry.peer.vm == *vm)
            .map(|(entry, _)| entry.peer.links);
        if let Some(links) = links {
            self.hub.expect_vm(links, vm.clone());
        }
    }

    fn send_heartbeats(&self) {
        let now = self.clock.now();
        let load = self.in_flight.load(Ordering::Relaxed);
        let reports = self.members().tick(load, now);
        for (peer, report) in reports {
            self.notify(&peer, Topic::Membership, encode(&report));
        }
    }

    /// Sends the region the renewals that this VM received since the last batch and the limits that
    /// it heard of, and asks other VMs for announcements that are missing here.
    fn send_target_renewals(&self) {
        let now = self.clock.now();
        let (limits, pauses) = (self.limit_notices(), self.pause_notices());
        let (gossip, requests) = {
            let mut targets = self.targets();
            (Gossip { limits, pauses, ..targets.unsent(now) }, targets.take_wanted())
        };
        if gossip != Gossip::default() {
            self.send_to_region(&gossip);
        }
        for (vm, request) in requests {
            if let Some(peer) = self.peer(&vm) {
                self.notify(&peer, Topic::Targets, encode(&request));
            }
        }
    }

    /// Sends the summary of this region's capacity to the other regions, where this VM is the first
    /// relay of its region.
    fn send_region_summary(&self) {
        let now = self.clock.now();
        let remote_relays = {
            let mut members = self.members();
            if !members.is_first_relay(now) {
                return;
            }
            members.relays_of_other_regions(now)
        };
        let stops = self.planned_stops();
        let (limited, paused) = {
            let routing = self.routing();
            (routing.throttle.limited_targets(), routing.throttle.paused_targets(now))
        };
        let is_permitted = |target: &Announcement| {
            !stops.covers_target(&target.target, &target.zone, &target.region)
        };
        let has_room = |target: &Announcement| {
            let key = (target.target.clone(), target.incarnation);
            !limited.contains(&key) && !paused.contains(&key)
        };
        let summary = self.targets().summary_with_room(now, is_permitted, has_room);
        let payload = encode(&Gossip { summaries: vec![summary], ..Gossip::default() });
        for peer in remote_relays {
            self.notify(&peer, Topic::Targets, payload.clone());
        }
    }

    /// Forwards new summaries of other regions to this VM's children in the tree over its region
    /// whose root is `root`; an empty `root` makes this VM the root.
    fn forward_summaries(&self, root: String) {
        let now = self.clock.now();
        let summaries = self.targets().take_passing(now);
        if summaries.is_empty() {
            return;
        }
        let root = if root.is_empty() { self.settings.vm.to_string() } else { root };
        let children = self.members().broadcast_children(&id::Vm::from(root.as_str()), now);
        let bytes = encode(&Gossip { summaries, root, ..Gossip::default() });
        for peer in children {
            self.notify(&peer, Topic::Targets, bytes.clone());
        }
    }

    pub(super) fn send_to_region(&self, gossip: &Gossip) {
        let now = self.clock.now();
        let bytes = encode(gossip);
        let region_peers = self.members().region_peers(now);
        for peer in region_peers {
            self.notify(&peer, Topic::Targets, bytes.clone());
        }
    }

    fn notify(&self, peer: &Peer, topic: Topic, payload: Bytes) {
        let (hub, links) = (Arc::clone(&self.hub), peer.links);
        let notify = async move {
            let _ = hub.notify(links, topic, payload).await;
        };
        smol::spawn(notify).detach();
    }

    fn log_state_changes(&self, last_states: &mut BTreeMap<id::Vm, State>) {
        let now = self.clock.now();
        let current: BTreeMap<id::Vm, State> = self
            .members()
            .members(now)
            .map(|(entry, state)| (entry.peer.vm.clone(), state))
            .collect();
        for (vm, state) in &current {
            if last_states.get(vm).is_some_and(|last| last != state) {
                let name = format!("{state:?}").to_lowercase();
                event::links::STATE.emit(&self.logger, &[("member", vm), ("state", &name)]);
            }
        }
        *last_states = current;
    }
}

fn encode(message: &impl Message) -> Bytes {
    Bytes::from(message.encode_to_vec())
}
