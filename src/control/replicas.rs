use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use prost::{Message, bytes::Bytes};
use smol::{
    Timer,
    channel::{Receiver, Sender},
    future::or,
};

use super::{Control, shell::lock};
use crate::{
    consensus::{self, Role},
    crash, event, id,
    registry::{Action, Command, Digest, Entry, Establish, Machine, Operation, Steward},
    replica::{self, Group, Outgoing},
    wire::Topic,
};

/// The name of the group.
pub(super) const GROUP: &str = "registry";
/// How often the leader looks after the members.
const STEWARD_PACE: Duration = Duration::from_millis(250);
/// How long to wait before a folder that failed is opened again: a full or failing disk may mend.
const REOPEN: Duration = Duration::from_secs(1);
/// How long one step on the membership may take.
const STEP: Duration = Duration::from_secs(2);
/// How often replicas tell each other what they heard, unless a VM comes, goes or changes.
const TELL: Duration = Duration::from_millis(900);
/// What comes within this time is told together.
const TOGETHER: Duration = Duration::from_millis(80);
/// Requests that were in flight at crashes which replicas tell each other of at once, the newest.
const MOST_CRASHES: usize = 1024;
const QUEUE: usize = 1024;
const PEER_QUEUE: usize = 256;

impl Control {
    /// Keeps the replica running; where its folder fails, it steps down and opens it again.
    pub(super) async fn keep_replica(self: Arc<Self>) {
        let mut first = true;
        loop {
            let (outgoing, messages) = smol::channel::bounded(QUEUE);
            match self.open(outgoing, first).await {
                Ok(group) => {
                    first = false;
                    *lock(&self.group) = Some(Arc::clone(&group));
                    let carry = smol::spawn(Arc::clone(&self).carry(Topic::Consensus, messages));
                    self.look_after(&group).await;
                    *lock(&self.group) = None;
                    drop(carry);
                }
                Err(cause) => {
                    event::registry::NO_REPLICA.emit(&self.logger, &[("cause", &cause)]);
                }
            }
            Timer::after(REOPEN).await;
        }
    }

    async fn open(
        &self,
        outgoing: Sender<Outgoing>,
        first: bool,
    ) -> Result<Arc<Group<Machine>>, replica::Error> {
        let settings = &self.settings;
        let consensus = consensus::Settings {
            // Regions are 55 ms apart, and a lost packet is sent again after 200 to 400 ms.
            heartbeat: Duration::from_millis(200),
            election: Duration::from_millis(900),
            bootstrap: settings.first_start && first,
            ..consensus::Settings::default()
        };
        let settings = replica::Settings {
            group: GROUP.to_owned(),
            vm: settings.vm(),
            voters: settings.seed_vms(),
            folder: settings.data.clone().unwrap_or_default().join(GROUP),
            consensus,
            // A list of routes may take megabytes, and the disk holds 128 MB.
            snapshot_every: 64,
        };
        let clock = Arc::clone(&self.clock);
        Group::start(settings, clock, self.logger.clone(), Machine::default(), outgoing).await
    }

    /// Does what the steward decides until the replica stops.
    async fn look_after(&self, group: &Group<Machine>) {
        let mut steward = Steward::new(self.clock.now());
        let mut former = (Role::Outsider, None, 0);
        while !group.is_stopped() {
            let status = group.status().consensus;
            let members = status.membership.members.len();
            let now = (status.role, status.leader.clone(), members);
            if now != former {
                let leader = status.leader.as_ref().map_or("none", id::Vm::as_str);
                event::registry::REPLICA.emit(
                    &self.logger,
                    &[
                        ("role", &format_args!("{:?}", status.role)),
                        ("leader", &leader),
                        ("members", &members),
                        ("term", &status.term),
                    ],
                );
                former = now;
            }
            let established = group.read(Machine::established);
            if let Some(action) = steward.decide(self.clock.now(), &status, established) {
                self.carry_out(group, action).await;
            }
            Timer::after(STEWARD_PACE).await;
        }
    }

    async fn carry_out(&self, group: &Group<Machine>, action: Action) {
        let done = match &action {
            Action::Admit(vm) => group.admit(vm.clone(), STEP).await,
            Action::Remove(vm) => group.remove(vm.clone(), STEP).await,
            Action::Establish(voters) => {
                let establish = Operation::Establish(Establish { voters: *voters });
                let command = Bytes::from(Command::from(establish).encode_to_vec());
                group.propose(command, STEP).await.map(|_| ())
            }
        };
        let outcome = match &done {
            Ok(()) => "done".to_owned(),
            Err(cause) => cause.to_string(),
        };
        let action = format!("{action:?}");
        event::registry::MEMBERS.emit(&self.logger, &[("action", &action), ("outcome", &outcome)]);
    }

    /// Carries messages to the other replicas, each at its own pace; what a slow one has no room
    /// for is dropped.
    async fn carry(self: Arc<Self>, topic: Topic, messages: Receiver<Outgoing>) {
        let mut queues: HashMap<id::Vm, Sender<Bytes>> = HashMap::new();
        while let Ok(Outgoing { to, payload }) = messages.recv().await {
            let queue = queues.entry(to.clone()).or_insert_with(|| {
                let (sender, queue) = smol::channel::bounded(PEER_QUEUE);
                smol::spawn(Arc::clone(&self).carry_to(to, topic, queue)).detach();
                sender
            });
            let _ = queue.try_send(payload);
        }
    }

    async fn carry_to(self: Arc<Self>, vm: id::Vm, topic: Topic, queue: Receiver<Bytes>) {
        let Some(address) = self.settings.links_of(&vm) else { return };
        while let Ok(payload) = queue.recv().await {
            let _ = self.hub.notify(address, topic, payload).await;
        }
    }

    /// Tells the other replicas which VMs and targets this one heard.
    pub(super) async fn tell_others(self: Arc<Self>) {
        let (sender, receiver) = smol::channel::bounded::<Outgoing>(QUEUE);
        smol::spawn(Arc::clone(&self).carry(Topic::Membership, receiver)).detach();
        loop {
            let timer = async {
                Timer::after(TELL).await;
            };
            or(timer, self.vms_changed.listen()).await;
            // Several VMs often come or go together.
            Timer::after(TOGETHER).await;
            let Some(group) = self.group() else { continue };
            let now = self.clock.now();
            let followers = lock(&self.followers).clone();
            let own = self.own_entry();
            let digest = {
                let mut roster = self.roster();
                let known = roster.census().digest();
                roster.sweep(now);
                roster.hear(own.clone(), now);
                if roster.census().digest() != known {
                    self.vms_changed.notify();
                }
                roster.digest(|entry| followers.contains(&entry.vm) || *entry == own, now)
            };
            let digest = Digest { crashes: self.crashes_to_tell(), ..digest };
            let payload = Bytes::from(digest.encode_to_vec());
            for peer in group.status().consensus.membership.peers() {
                if peer.vm != self.settings.vm() {
                    let _ = sender.try_send(Outgoing { to: peer.vm, payload: payload.clone() });
                }
            }
        }
    }

    fn crashes_to_tell(&self) -> Option<crash::RecordSet> {
        let told = self.crashes_told.swap(false, Ordering::Relaxed);
        told.then(|| lock(&self.crashes).export_newest(self.clock.now(), MOST_CRASHES))
    }

    /// What this VM says of itself: it takes no callers.
    fn own_entry(&self) -> Entry {
        Entry {
            vm: self.settings.vm().to_string(),
            region: self.settings.region.to_string(),
            zone: self.settings.zone.to_string(),
            links: self.settings.links().to_string(),
            incarnation: self.incarnation,
            ..Entry::default()
        }
    }

    /// Takes what another replica heard.
    pub(super) fn merge(&self, payload: &Bytes) {
        match Digest::decode(payload.clone()) {
            Ok(digest) => {
                let now = self.clock.now();
                if let Some(crashes) = &digest.crashes {
                    lock(&self.crashes).merge(now, crashes);
                }
                let mut roster = self.roster();
                let known = roster.census().digest();
                roster.merge(digest, now);
                let changed = roster.census().digest() != known;
                drop(roster);
                if changed {
                    self.vms_changed.notify();
                }
            }
            Err(cause) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]);
            }
        }
    }
}
