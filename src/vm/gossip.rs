//! What VMs tell each other of members and targets.

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

const STEP: Duration = Duration::from_millis(200);
/// Steps between two heartbeats and between two batches of renewals.
const HEARTBEAT_STEPS: u64 = 5;
/// The time between two summaries for other regions, for each region there is: so the cost of
/// summaries does not grow with the regions.
const SUMMARY_PACE: Duration = Duration::from_millis(400);
/// How long a VM that starts waits for the first of its peers to tell it what there is.
const JOIN_LIMIT: Duration = Duration::from_secs(3);
const COPY_LIMIT: Duration = Duration::from_secs(1);

impl Vm {
    /// Gets members and targets from the VMs of the region, or else from any.
    pub(super) async fn join(self: &Arc<Self>) {
        let now = self.clock.now();
        for peer in &self.settings.peers {
            self.hub.expect_vm(peer.links, peer.vm.clone());
        }
        let mut peers = self.members().region_peers(now);
        if peers.is_empty() {
            peers = self.peers();
            peers.retain(|peer| peer.vm != self.settings.vm);
        }
        let limit = async {
            Timer::after(JOIN_LIMIT).await;
        };
        or(self.fetch(peers), limit).await;
    }

    /// Asks `peers` for all that they know, until one has answered.
    async fn fetch(self: &Arc<Self>, peers: Vec<Peer>) {
        let report = {
            let now = self.clock.now();
            encode(&self.members().report(now))
        };
        let mut answers: FuturesUnordered<_> =
            peers.iter().map(|peer| self.fetch_from(peer, report.clone())).collect();
        while let Some(answered) = answers.next().await {
            if answered {
                return;
            }
        }
    }

    async fn fetch_from(&self, peer: &Peer, report: Bytes) -> bool {
        let members = self.hub.call(peer.links, Topic::Membership, report, JOIN_LIMIT).await;
        let empty = encode(&Gossip::default());
        let targets = self.hub.call(peer.links, Topic::Targets, empty, JOIN_LIMIT).await;
        let (Ok(members), Ok(targets)) = (members, targets) else { return false };
        self.hear_of_members(members);
        self.hear_of_targets(targets);
        true
    }

    /// Tells others of members and targets, for as long as the VM runs.
    pub(super) async fn gossip(self: Arc<Self>) {
        let mut states = BTreeMap::new();
        let mut before = self.clock.now();
        let mut telling = Telling::new(before);
        for step in 0_u64.. {
            let beat = step % HEARTBEAT_STEPS == 0;
            if beat {
                self.tell_of_members();
                self.tell_of_targets();
                self.log_states(&mut states);
            }
            let changed = self.targets().take_changed();
            let regions = u32::try_from(self.members().region_count()).unwrap_or(u32::MAX);
            let now = self.clock.now();
            if telling.is_due(now, changed, SUMMARY_PACE * regions) {
                self.tell_of_regions();
            }
            for target in self.targets().expire(before, now) {
                event::links::TARGET_EXPIRED.emit(&self.logger, &[("target", &target)]);
            }
            before = now;
            Timer::after(STEP).await;
        }
    }

    /// What this VM has sent on its links.
    pub fn traffic(&self) -> &Traffic {
        self.hub.traffic()
    }

    /// Tells the others at once that this VM stops; its state stays so until the process ends.
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
        let tell =
            |peer: &Peer| self.hub.call(peer.links, Topic::Membership, report.clone(), COPY_LIMIT);
        let mut tells: FuturesUnordered<_> = peers.iter().map(tell).collect();
        while tells.next().await.is_some() {}
    }

    /// Takes an announcement; what is new is copied to another VM before this returns.
    pub(super) async fn take_announcement(
        &self,
        announcement: Announcement,
    ) -> Result<(), Nonsense> {
        let now = self.clock.now();
        let target = announcement.target.clone();
        let news = self.targets().announce(announcement, now).inspect_err(|nonsense| {
            let fields: [event::Field<'_>; 2] = [("target", &target), ("cause", nonsense)];
            event::links::NONSENSE.emit(&self.logger, &fields);
        })?;
        if news {
            event::path::TARGET.emit(&self.logger, &[("target", &target)]);
            self.copy(self.one(&target), &target).await;
        }
        Ok(())
    }

    /// Takes a target's leave; it is copied to another VM before this returns.
    pub(super) async fn take_leave(&self, target: &id::Target) {
        let known = self.targets().leave(target);
        event::links::TARGET_LEFT.emit(&self.logger, &[("target", target)]);
        let gossip = if known {
            self.one(target)
        } else {
            Gossip { leaving: vec![target.to_string()], ..Gossip::default() }
        };
        self.copy(gossip, target).await;
    }

    fn one(&self, target: &id::Target) -> Gossip {
        let now = self.clock.now();
        let reports = self.targets().sent(target, now).into_iter().collect();
        Gossip { reports, ..Gossip::default() }
    }

    /// Copies to the other VMs of the region; returns once one has it, or none can be reached.
    async fn copy(&self, gossip: Gossip, target: &id::Target) {
        let bytes = encode(&gossip);
        if self.copy_once(&bytes).await {
            return;
        }
        Timer::after(STEP).await;
        if !self.copy_once(&bytes).await {
            event::links::UNCOPIED.emit(&self.logger, &[("target", target)]);
        }
    }

    /// Whether another VM took the copy, or there is none; the rest get theirs later.
    async fn copy_once(&self, bytes: &Bytes) -> bool {
        let neighbours = {
            let now = self.clock.now();
            self.members().region_peers(now)
        };
        let (sender, taken) = smol::channel::unbounded();
        for peer in &neighbours {
            let (hub, links) = (Arc::clone(&self.hub), peer.links);
            let (sender, bytes) = (sender.clone(), bytes.clone());
            let call = async move {
                let reply = hub.call(links, Topic::Targets, bytes, COPY_LIMIT).await;
                let _ = sender.try_send(reply.is_ok());
            };
            smol::spawn(call).detach();
        }
        drop(sender);
        while let Ok(copied) = taken.recv().await {
            if copied {
                return true;
            }
        }
        neighbours.is_empty()
    }

    /// Merges what another VM knows of members; gives what this VM knows.
    pub(super) fn hear_of_members(&self, payload: Bytes) -> Bytes {
        let now = self.clock.now();
        let Ok(report) = MembershipReport::decode(payload) else { return Bytes::new() };
        let mut members = self.members();
        let joined = members.merge(&report, now);
        let known = encode(&members.report(now));
        drop(members);
        for vm in joined {
            event::links::JOINED.emit(&self.logger, &[("member", &vm)]);
            self.expect(&vm);
        }
        known
    }

    /// Merges what another VM knows of targets; answers an empty message with all there is.
    pub(super) fn hear_of_targets(&self, payload: Bytes) -> Bytes {
        let now = self.clock.now();
        if payload.is_empty() {
            return encode(&self.targets().all(now));
        }
        let Ok(gossip) = Gossip::decode(payload) else { return Bytes::new() };
        let left = self.targets().merge(&gossip, now);
        self.pass_on(gossip.root);
        for target in left {
            event::links::TARGET_LEFT.emit(&self.logger, &[("target", &target)]);
        }
        Bytes::new()
    }

    fn expect(&self, vm: &id::Vm) {
        let now = self.clock.now();
        let found = self
            .members()
            .members(now)
            .find(|(entry, _)| entry.peer.vm == *vm)
            .map(|(entry, _)| entry.peer.links);
        if let Some(links) = found {
            self.hub.expect_vm(links, vm.clone());
        }
    }

    fn tell_of_members(&self) {
        let now = self.clock.now();
        let load = self.in_flight.load(Ordering::Relaxed);
        let sends = self.members().tick(load, now);
        for (peer, report) in sends {
            self.notify(&peer, Topic::Membership, encode(&report));
        }
    }

    /// Sends the region the renewals taken here since the last time.
    fn tell_of_targets(&self) {
        let now = self.clock.now();
        let (gossip, wanted) = {
            let mut targets = self.targets();
            (targets.unsent(now), targets.take_wanted())
        };
        if gossip != Gossip::default() {
            self.tell_region(&gossip);
        }
        for (vm, asks) in wanted {
            if let Some(peer) = self.peer(&vm) {
                self.notify(&peer, Topic::Targets, encode(&asks));
            }
        }
    }

    /// As the first relay, tells other regions what this one can serve.
    fn tell_of_regions(&self) {
        let now = self.clock.now();
        let far = {
            let mut members = self.members();
            if !members.is_first_relay(now) {
                return;
            }
            members.relays_of_other_regions(now)
        };
        let stops = self.stops();
        let own = self.targets().summary(now, |target| {
            !stops.covers_target(&target.target, &target.zone, &target.region)
        });
        let own = encode(&Gossip { summaries: vec![own], ..Gossip::default() });
        for peer in far {
            self.notify(&peer, Topic::Targets, own.clone());
        }
    }

    /// Passes summaries that were new here on to the next VMs of the region.
    fn pass_on(&self, root: String) {
        let now = self.clock.now();
        let summaries = self.targets().take_passing(now);
        if summaries.is_empty() {
            return;
        }
        let root = if root.is_empty() { self.settings.vm.to_string() } else { root };
        let next = self.members().broadcast_children(&id::Vm::from(root.as_str()), now);
        let bytes = encode(&Gossip { summaries, root, ..Gossip::default() });
        for peer in next {
            self.notify(&peer, Topic::Targets, bytes.clone());
        }
    }

    fn tell_region(&self, gossip: &Gossip) {
        let now = self.clock.now();
        let bytes = encode(gossip);
        let neighbours = self.members().region_peers(now);
        for peer in neighbours {
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

    fn log_states(&self, states: &mut BTreeMap<id::Vm, State>) {
        let now = self.clock.now();
        let current: BTreeMap<id::Vm, State> = self
            .members()
            .members(now)
            .map(|(entry, state)| (entry.peer.vm.clone(), state))
            .collect();
        for (vm, state) in &current {
            if states.get(vm).is_some_and(|before| before != state) {
                let word = format!("{state:?}").to_lowercase();
                event::links::STATE.emit(&self.logger, &[("member", vm), ("state", &word)]);
            }
        }
        *states = current;
    }
}

fn encode(message: &impl Message) -> Bytes {
    Bytes::from(message.encode_to_vec())
}
