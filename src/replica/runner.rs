use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use prost::{Message, bytes::Bytes};
use slog::Logger;
use smol::{channel, future::FutureExt};

use super::{
    Envelope, Error, Outgoing, RequestError, Settings, StateMachine, Status,
    change_notifier::ChangeNotifier,
};
use crate::{
    clock::Clock,
    consensus::{
        self, Entry, EntryKind, LeaderLease, MembershipChange, Output, ProposeError, Raft, Record,
        Role, Snapshot,
    },
    disk::Log,
    event::agreement,
    id,
};

/// How many queued inputs may share one sync to disk.
const MAX_INPUTS_PER_SYNC: usize = 1024;

pub(super) type RequestResult = Result<Bytes, RequestError>;

pub(super) enum Input {
    Message(id::Vm, consensus::Message),
    Propose(Bytes, channel::Sender<RequestResult>),
    MembershipChange(MembershipChange, channel::Sender<RequestResult>),
    ReadBarrier(u64, channel::Sender<RequestResult>),
    Leave,
}

/// The state that a [`Group`](super::Group) shares with the task of its replica.
pub(super) struct Shared<M> {
    pub machine: Mutex<M>,
    pub status: Mutex<Status>,
    pub leader_lease: Mutex<Option<LeaderLease>>,
    pub changed: ChangeNotifier,
}

/// A proposal that waits for its entry to be applied.
pub(super) struct PendingProposal {
    term: u64,
    result_sender: channel::Sender<RequestResult>,
}

/// The task that runs a replica.
pub(super) struct Runner<M> {
    pub settings: Settings,
    pub clock: Arc<dyn Clock>,
    pub logger: Logger,
    pub raft: Raft,
    pub log: Option<Log>,
    pub shared: Arc<Shared<M>>,
    pub queued_inputs: channel::Receiver<Input>,
    pub outgoing: channel::Sender<Outgoing>,
    /// By the index of the entry.
    pub pending_proposals: BTreeMap<u64, PendingProposal>,
    /// By read token.
    pub pending_reads: BTreeMap<u64, channel::Sender<RequestResult>>,
    pub was_leader: bool,
}

impl<M: StateMachine + 'static> Runner<M> {
    /// Runs until the group is dropped or an error stops the replica.
    pub async fn run(mut self) {
        while let Some(inputs) = self.next_inputs().await {
            inputs.into_iter().for_each(|input| self.handle_input(input));
            self.raft.tick(self.clock.now());
            if let Err(error) = self.process_outputs().await {
                self.stop(&error);
                return;
            }
        }
    }

    /// Waits for queued inputs. Returns an empty vector when a tick is due, and none once the group
    /// is dropped.
    async fn next_inputs(&self) -> Option<Vec<Input>> {
        let tick_interval = self.raft.tick_interval();
        let tick = async {
            smol::Timer::after(tick_interval).await;
            Some(None)
        };
        let next_input = async { self.queued_inputs.recv().await.ok().map(Some) };
        let mut inputs = Vec::from_iter(next_input.or(tick).await?);
        while inputs.len() < MAX_INPUTS_PER_SYNC {
            let Ok(input) = self.queued_inputs.try_recv() else { break };
            inputs.push(input);
        }
        Some(inputs)
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Message(from, message) => self.raft.receive(now, &from, message),
            Input::Propose(command, result_sender) => {
                let index_and_term = self.raft.propose(now, command);
                self.register_proposal(index_and_term, result_sender);
            }
            Input::MembershipChange(change, result_sender) => {
                let index_and_term = self.raft.propose_change(now, change);
                self.register_proposal(index_and_term, result_sender);
            }
            Input::ReadBarrier(token, result_sender) => {
                self.pending_reads.retain(|_, sender| !sender.is_closed());
                self.pending_reads.insert(token, result_sender);
                self.raft.request_read_index(now, token);
            }
            Input::Leave => self.raft.leave(now),
        }
    }

    fn register_proposal(
        &mut self,
        index_and_term: Result<(u64, u64), ProposeError>,
        result_sender: channel::Sender<RequestResult>,
    ) {
        match index_and_term {
            Ok((index, term)) => {
                let replaced =
                    self.pending_proposals.insert(index, PendingProposal { term, result_sender });
                send_result(
                    replaced.map(|proposal| proposal.result_sender),
                    Err(RequestError::OutcomeUnknown),
                );
            }
            Err(error) => send_result(Some(result_sender), Err(error.into())),
        }
    }

    /// Executes the outputs of the consensus until there are none, then publishes the status.
    pub async fn process_outputs(&mut self) -> Result<(), Error> {
        loop {
            let output = self.raft.take_output();
            if output.is_empty() {
                break;
            }
            self.execute(output).await?;
        }
        self.publish_status();
        Ok(())
    }

    async fn execute(&mut self, output: Output) -> Result<(), Error> {
        self.send(output.send_before_sync);
        self.write_record(output.record).await?;
        self.raft.mark_synced(self.clock.now());
        self.send(output.send_after_sync);
        if let Some(snapshot) = output.restore {
            self.restore(&snapshot)?;
        }
        for entry in output.apply {
            self.apply(&entry);
        }
        for (token, index) in output.confirmed_reads {
            self.complete_read(token, index);
        }
        for token in output.failed_reads {
            send_result(self.pending_reads.remove(&token), Err(RequestError::NotLeader(None)));
        }
        self.compact_if_due();
        Ok(())
    }

    fn send(&self, messages: Vec<consensus::Outgoing>) {
        for consensus::Outgoing { to, message } in messages {
            let envelope = Envelope { group: self.settings.group.clone(), message };
            let payload = Bytes::from(envelope.encode_to_vec());
            let _ = self.outgoing.try_send(Outgoing { to, payload });
        }
    }

    async fn write_record(&mut self, record: Record) -> Result<(), Error> {
        let Some(mut log) = self.log.take() else { return Ok(()) };
        if record.is_empty() {
            self.log = Some(log);
            return Ok(());
        }
        let (log, written) = smol::unblock(move || {
            let written = log.write(&record);
            (log, written)
        })
        .await;
        self.log = Some(log);
        Ok(written?)
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        if snapshot.index > consensus::FIRST_INDEX_AND_TERM {
            let mut machine = self.shared.machine.lock().unwrap_or_else(PoisonError::into_inner);
            machine.restore(&snapshot.state).map_err(Error::Snapshot)?;
        }
        self.set_applied_index(snapshot.index);
        let later_proposals = self.pending_proposals.split_off(&(snapshot.index + 1));
        for (_, proposal) in std::mem::replace(&mut self.pending_proposals, later_proposals) {
            send_result(Some(proposal.result_sender), Err(RequestError::OutcomeUnknown));
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) {
        let reply = if entry.kind() == EntryKind::Command {
            let mut machine = self.shared.machine.lock().unwrap_or_else(PoisonError::into_inner);
            machine.apply(entry.index, &entry.payload)
        } else {
            Bytes::new()
        };
        self.set_applied_index(entry.index);
        let Some(proposal) = self.pending_proposals.remove(&entry.index) else { return };
        // With another term, another leader's entry has replaced the proposed one, which can
        // therefore never be committed.
        let result = if proposal.term == entry.term {
            Ok(reply)
        } else {
            Err(RequestError::NotLeader(self.raft.status().leader))
        };
        send_result(Some(proposal.result_sender), result);
    }

    fn complete_read(&mut self, token: u64, index: u64) {
        let Some(result_sender) = self.pending_reads.remove(&token) else { return };
        if self.applied_index() >= index {
            send_result(Some(result_sender), Ok(Bytes::new()));
            return;
        }
        let shared = self.shared.clone();
        smol::spawn(async move {
            while !result_sender.is_closed() {
                let changed = shared.changed.listen();
                if shared.applied_index() >= index {
                    return send_result(Some(result_sender), Ok(Bytes::new()));
                }
                changed.await;
            }
        })
        .detach();
    }

    fn compact_if_due(&mut self) {
        let applied_index = self.applied_index();
        let due_index = self.raft.status().snapshot_index + self.settings.snapshot_every_entries;
        if applied_index > due_index {
            let machine = self.shared.machine.lock().unwrap_or_else(PoisonError::into_inner);
            let state = machine.snapshot();
            drop(machine);
            self.raft.compact(applied_index, state);
        }
    }

    fn applied_index(&self) -> u64 {
        self.shared.applied_index()
    }

    fn set_applied_index(&self, index: u64) {
        let mut status = self.shared.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.applied_index = index;
    }

    fn publish_status(&mut self) {
        let consensus = self.raft.status();
        let is_leader = consensus.role == Role::Leader;
        if is_leader != self.was_leader {
            self.was_leader = is_leader;
            let event = if is_leader { agreement::LEADS } else { agreement::FOLLOWS };
            let fields: [(_, &dyn std::fmt::Display); 2] =
                [("group", &self.settings.group), ("term", &consensus.term)];
            event.emit(&self.logger, &fields);
        }
        let lease = self.raft.leader_lease(self.clock.now());
        *self.shared.leader_lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
        let mut status = self.shared.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.consensus = consensus;
        status.sync_count = self.log.as_ref().map_or(0, Log::sync_count);
        drop(status);
        self.shared.changed.notify();
    }

    fn stop(&self, error: &Error) {
        let event = match error {
            Error::Snapshot(_) => agreement::SNAPSHOT,
            Error::Disk(_) | Error::Random(_) => agreement::DISK,
        };
        event.emit(&self.logger, &[("group", &self.settings.group), ("error", error)]);
        *self.shared.leader_lease.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.queued_inputs.close();
        self.shared.changed.notify();
    }
}

impl<M> Shared<M> {
    pub fn applied_index(&self) -> u64 {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).applied_index
    }
}

fn send_result(sender: Option<channel::Sender<RequestResult>>, result: RequestResult) {
    if let Some(sender) = sender {
        let _ = sender.try_send(result);
    }
}
