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

use super::{Control, server::lock};
use crate::{
    consensus::{self, Role},
    crash, event, id,
    registry::{
        Command, Establish, HeartbeatReport, MembershipAction, MembershipController, Operation,
        StateMachine, VmInfo,
    },
    replica::{self, Group, Outgoing},
    wire::Topic,
};

/// Name of the consensus group and of its folder.
pub(super) const GROUP: &str = "registry";
/// Interval at which the leader checks the members of the group.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a replica that is about to stop checks whether it has been removed.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a data folder that failed is opened again; a full or failing disk may recover.
const REOPEN_DELAY: Duration = Duration::from_secs(1);
/// Delay between two changes of the membership; a rejected one may be possible then.
const MEMBERSHIP_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of one change of the membership.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between heartbeat reports, unless a VM appears, disappears or changes earlier.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Delay before a report is sent, so that it holds several changes that occur together.
const REPORT_DELAY: Duration = Duration::from_millis(80);
/// Delay before crashes are reported, which bounds the reports while many VMs tell of many crashes.
const CRASH_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of crash records in one report; the newest are sent.
const MAX_CRASH_RECORDS: usize = 1024;
const OUTGOING_QUEUE_MESSAGES: usize = 1024;
const PEER_QUEUE_MESSAGES: usize = 256;

impl Control {
    /// Keeps the replica running. If its data folder fails, the replica stops and is opened again.
    pub(super) async fn run_replica(self: Arc<Self>) {
        let mut first = true;
        loop {
            let (outgoing, messages) = smol::channel::bounded(OUTGOING_QUEUE_MESSAGES);
            match self.open_replica(outgoing, first).await {
                Ok(group) => {
                    first = false;
                    *lock(&self.group) = Some(Arc::clone(&group));
                    let sending =
                        smol::spawn(Arc::clone(&self).send_messages(Topic::Consensus, messages));
                    self.manage_membership(&group).await;
                    *lock(&self.group) = None;
                    drop(sending);
                }
                Err(cause) => {
                    event::registry::NO_REPLICA.emit(&self.logger, &[("cause", &cause)]);
                }
            }
            Timer::after(REOPEN_DELAY).await;
        }
    }

    async fn open_replica(
        &self,
        outgoing: Sender<Outgoing>,
        first: bool,
    ) -> Result<Arc<Group<StateMachine>>, replica::Error> {
        let settings = &self.settings;
        let consensus = consensus::Settings {
            // The one-way delay between regions is 55 ms, and a lost packet is retransmitted after
            // 200 to 400 ms.
            heartbeat_interval: Duration::from_millis(200),
            election_timeout: Duration::from_millis(900),
            bootstrap: settings.first_start && first,
            ..consensus::Settings::default()
        };
        let settings = replica::Settings {
            group: GROUP.to_owned(),
            vm: settings.vm(),
            initial_voters: settings.seed_vms(),
            folder: settings.data.clone().unwrap_or_default().join(GROUP),
            consensus,
            // A list of routes can take megabytes, and the disk holds 128 MB.
            snapshot_every_entries: 64,
        };
        let clock = Arc::clone(&self.clock);
        Group::start(settings, clock, self.logger.clone(), StateMachine::default(), outgoing).await
    }

    /// Logs changes of the replica's role and, on the leader, changes the membership, until the
    /// replica stops.
    async fn manage_membership(&self, group: &Group<StateMachine>) {
        let mut controller = MembershipController::new(self.clock.now());
        let mut logged = (Role::Outsider, None, 0);
        while !group.is_stopped() {
            let status = group.status().consensus;
            let members = status.membership.members.len();
            let current = (status.role, status.leader.clone(), members);
            if current != logged {
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
                logged = current;
            }
            let established_voters = group.read(StateMachine::established_voters);
            let now = self.clock.now();
            let action = controller.decide(now, &status, established_voters, &self.heartbeats());
            if let Some(action) = action {
                self.change_membership(group, action).await;
                // Another change may be due already.
                Timer::after(MEMBERSHIP_RETRY_DELAY).await;
                continue;
            }
            Timer::after(MEMBERSHIP_CHECK_INTERVAL).await;
        }
    }

    /// Has the group remove this replica if another one can take its place, and waits for that for
    /// at most `timeout`. Called before the process ends. If the process only restarts, the replica
    /// announces itself and is admitted again.
    pub async fn leave_group(&self, timeout: Duration) {
        let Some(group) = self.group() else { return };
        let established_voters = group.read(StateMachine::established_voters);
        let has_successor = |status: &consensus::Status| {
            MembershipController::has_successor(status, established_voters)
        };
        if !has_successor(&group.status().consensus) || group.leave().await.is_err() {
            return;
        }
        let deadline = self.clock.now() + timeout;
        let outcome = loop {
            let status = group.status().consensus;
            if status.has_left {
                break "removed";
            } else if !has_successor(&status) {
                break "no successor";
            } else if self.clock.now() >= deadline {
                break "not confirmed in time";
            }
            Timer::after(LEAVE_CHECK_INTERVAL).await;
        };
        event::registry::LEFT.emit(&self.logger, &[("outcome", &outcome)]);
    }

    async fn change_membership(&self, group: &Group<StateMachine>, action: MembershipAction) {
        let result = match &action {
            MembershipAction::Admit(vm) => group.admit(vm.clone(), MEMBERSHIP_CHANGE_TIMEOUT).await,
            MembershipAction::Remove(vm) => {
                group.remove(vm.clone(), MEMBERSHIP_CHANGE_TIMEOUT).await
            }
            MembershipAction::Establish(voters) => {
                let establish = Operation::Establish(Establish { voters: *voters });
                let command = Bytes::from(Command::from(establish).encode_to_vec());
                group.propose(command, MEMBERSHIP_CHANGE_TIMEOUT).await.map(|_| ())
            }
        };
        let outcome = match &result {
            Ok(()) => "done".to_owned(),
            Err(cause) => cause.to_string(),
        };
        let action = format!("{action:?}");
        event::registry::MEMBERS.emit(&self.logger, &[("action", &action), ("outcome", &outcome)]);
    }

    /// Sends messages to the other replicas through one queue per replica, so that a slow one does
    /// not delay the rest. Drops messages that do not fit into a queue.
    async fn send_messages(self: Arc<Self>, topic: Topic, messages: Receiver<Outgoing>) {
        let mut queues: HashMap<id::Vm, Sender<Bytes>> = HashMap::new();
        while let Ok(Outgoing { to, payload }) = messages.recv().await {
            let queue = queues.entry(to.clone()).or_insert_with(|| {
                let (sender, queue) = smol::channel::bounded(PEER_QUEUE_MESSAGES);
                smol::spawn(Arc::clone(&self).send_to_peer(to, topic, queue)).detach();
                sender
            });
            let _ = queue.try_send(payload);
        }
    }

    async fn send_to_peer(self: Arc<Self>, vm: id::Vm, topic: Topic, queue: Receiver<Bytes>) {
        let Some(address) = self.settings.links_address_of(&vm) else { return };
        while let Ok(payload) = queue.recv().await {
            let _ = self.hub.notify(address, topic, payload).await;
        }
    }

    /// Sends the heartbeats that this replica received to the other replicas, for as long as the
    /// process runs.
    pub(super) async fn send_heartbeat_reports(self: Arc<Self>) {
        let (sender, receiver) = smol::channel::bounded::<Outgoing>(OUTGOING_QUEUE_MESSAGES);
        smol::spawn(Arc::clone(&self).send_messages(Topic::Membership, receiver)).detach();
        loop {
            let timer = async {
                Timer::after(REPORT_INTERVAL).await;
            };
            let crashes = async {
                self.crashes_reported.listen().await;
                Timer::after(CRASH_REPORT_DELAY).await;
            };
            or(timer, or(self.vms_changed.listen(), crashes)).await;
            Timer::after(REPORT_DELAY).await;
            if lock(&self.blocked_requests).digest != 0 {
                self.update_blocked_requests();
            }
            let Some(group) = self.group() else { continue };
            let now = self.clock.now();
            lock(&self.progress).record(group.status().applied_index, now);
            let polling_vms = lock(&self.polling_vms).clone();
            let own = self.own_info();
            let report = {
                let mut heartbeats = self.heartbeats();
                let known = heartbeats.vm_set().digest();
                heartbeats.sweep(now);
                heartbeats.record_vm(own.clone(), now);
                if heartbeats.vm_set().digest() != known {
                    self.vms_changed.notify();
                }
                heartbeats.report(|info| polling_vms.contains(&info.vm) || *info == own, now)
            };
            let report = HeartbeatReport {
                crashes: self.take_unsent_crashes(),
                unix_ms: Some(self.unix_ms()),
                ..report
            };
            let payload = Bytes::from(report.encode_to_vec());
            for peer in group.status().consensus.membership.peers() {
                if peer.vm != self.settings.vm() {
                    let _ = sender.try_send(Outgoing { to: peer.vm, payload: payload.clone() });
                }
            }
        }
    }

    fn take_unsent_crashes(&self) -> Option<crash::RecordSet> {
        let unsent = self.has_unsent_crashes.swap(false, Ordering::Relaxed);
        if !unsent {
            return None;
        }
        let now = self.clock.now();
        let parts = Some(lock(&self.crash_parts).export(now, &[]));
        let records = lock(&self.crashes).export_newest(now, MAX_CRASH_RECORDS);
        Some(crash::RecordSet { parts, ..records })
    }

    /// The info of this VM, which accepts no callers.
    fn own_info(&self) -> VmInfo {
        VmInfo {
            vm: self.settings.vm().to_string(),
            region: self.settings.region.to_string(),
            zone: self.settings.zone.to_string(),
            links_address: self.settings.links_address().to_string(),
            incarnation: self.incarnation,
            records_streams: true,
            ..VmInfo::default()
        }
    }

    /// Merges the heartbeats that another replica received.
    pub(super) fn merge_heartbeat_report(&self, from: &id::Vm, payload: &Bytes) {
        match HeartbeatReport::decode(payload.clone()) {
            Ok(report) => {
                let now = self.clock.now();
                if let Some(unix_ms) = report.unix_ms {
                    lock(&self.wall_clocks).record(from, unix_ms, now);
                }
                if let Some(crashes) = &report.crashes {
                    self.merge_crashes(crashes);
                }
                let mut heartbeats = self.heartbeats();
                let known = heartbeats.vm_set().digest();
                let has_cold_change = heartbeats.merge(report, now);
                let changed = heartbeats.vm_set().digest() != known;
                drop(heartbeats);
                if has_cold_change {
                    self.record_cold_change();
                }
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
