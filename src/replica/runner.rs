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

/// Inputs that are taken before the next sync, which they share.
const BATCH: usize = 1024;

pub(super) type Answer = Result<Bytes, RequestError>;

pub(super) enum Input {
    Message(id::Vm, consensus::Message),
    Propose(Bytes, channel::Sender<Answer>),
    MembershipChange(MembershipChange, channel::Sender<Answer>),
    Read(u64, channel::Sender<Answer>),
}

/// What the owner of a group sees of the task that runs it.
pub(super) struct Shared<M> {
    pub machine: Mutex<M>,
    pub status: Mutex<Status>,
    pub fence: Mutex<Option<LeaderLease>>,
    pub changed: ChangeNotifier,
}

/// Someone who waits for an entry.
pub(super) struct Waiting {
    term: u64,
    answer: channel::Sender<Answer>,
}

pub(super) struct Runner<M> {
    pub settings: Settings,
    pub clock: Arc<dyn Clock>,
    pub logger: Logger,
    pub core: Raft,
    pub log: Option<Log>,
    pub shared: Arc<Shared<M>>,
    pub queue: channel::Receiver<Input>,
    pub outgoing: channel::Sender<Outgoing>,
    pub proposals: BTreeMap<u64, Waiting>,
    pub reads: BTreeMap<u64, channel::Sender<Answer>>,
    pub led: bool,
}

impl<M: StateMachine + 'static> Runner<M> {
    /// Runs until the group is dropped or its folder fails.
    pub async fn run(mut self) {
        while let Some(inputs) = self.inputs().await {
            inputs.into_iter().for_each(|input| self.take(input));
            self.core.tick(self.clock.now());
            if let Err(error) = self.settle().await {
                self.stop(&error);
                return;
            }
        }
    }

    /// The inputs that wait; none when it is time for a tick, nothing once the group is gone.
    async fn inputs(&self) -> Option<Vec<Input>> {
        let pace = self.core.tick_interval();
        let tick = async {
            smol::Timer::after(pace).await;
            Some(None)
        };
        let next = async { self.queue.recv().await.ok().map(Some) };
        let mut inputs = Vec::from_iter(next.or(tick).await?);
        while inputs.len() < BATCH {
            let Ok(input) = self.queue.try_recv() else { break };
            inputs.push(input);
        }
        Some(inputs)
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Message(from, message) => self.core.receive(now, &from, message),
            Input::Propose(command, answer) => {
                let proposed = self.core.propose(now, command);
                self.wait(proposed, answer);
            }
            Input::MembershipChange(change, answer) => {
                let proposed = self.core.propose_change(now, change);
                self.wait(proposed, answer);
            }
            Input::Read(token, answer) => {
                self.reads.retain(|_, waiting| !waiting.is_closed());
                self.reads.insert(token, answer);
                self.core.request_read_index(now, token);
            }
        }
    }

    fn wait(
        &mut self,
        proposed: Result<(u64, u64), ProposeError>,
        answer: channel::Sender<Answer>,
    ) {
        match proposed {
            Ok((index, term)) => {
                let former = self.proposals.insert(index, Waiting { term, answer });
                give(former.map(|waiting| waiting.answer), Err(RequestError::OutcomeUnknown));
            }
            Err(denied) => give(Some(answer), Err(denied.into())),
        }
    }

    /// Does what the core wants until it wants nothing more.
    pub async fn settle(&mut self) -> Result<(), Error> {
        loop {
            let output = self.core.take_output();
            if output.is_empty() {
                break;
            }
            self.carry_out(output).await?;
        }
        self.publish();
        Ok(())
    }

    async fn carry_out(&mut self, output: Output) -> Result<(), Error> {
        self.send(output.send_before_sync);
        self.write(output.record).await?;
        self.core.mark_synced(self.clock.now());
        self.send(output.send_after_sync);
        if let Some(snapshot) = output.restore {
            self.restore(&snapshot)?;
        }
        for entry in output.apply {
            self.apply(&entry);
        }
        for (token, index) in output.confirmed_reads {
            self.confirm(token, index);
        }
        for token in output.failed_reads {
            give(self.reads.remove(&token), Err(RequestError::NotLeader(None)));
        }
        self.compact();
        Ok(())
    }

    fn send(&self, messages: Vec<consensus::Outgoing>) {
        for consensus::Outgoing { to, message } in messages {
            let envelope = Envelope { group: self.settings.group.clone(), message };
            let payload = Bytes::from(envelope.encode_to_vec());
            let _ = self.outgoing.try_send(Outgoing { to, payload });
        }
    }

    async fn write(&mut self, record: Record) -> Result<(), Error> {
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
        self.set_applied(snapshot.index);
        let later = self.proposals.split_off(&(snapshot.index + 1));
        for (_, waiting) in std::mem::replace(&mut self.proposals, later) {
            give(Some(waiting.answer), Err(RequestError::OutcomeUnknown));
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
        self.set_applied(entry.index);
        let Some(waiting) = self.proposals.remove(&entry.index) else { return };
        // Another leader's entry stands in its place, so that it never will.
        let answer = if waiting.term == entry.term {
            Ok(reply)
        } else {
            Err(RequestError::NotLeader(self.core.status().leader))
        };
        give(Some(waiting.answer), answer);
    }

    fn confirm(&mut self, token: u64, index: u64) {
        let Some(answer) = self.reads.remove(&token) else { return };
        if self.applied() >= index {
            give(Some(answer), Ok(Bytes::new()));
            return;
        }
        let shared = self.shared.clone();
        smol::spawn(async move {
            while !answer.is_closed() {
                let change = shared.changed.listen();
                if shared.applied() >= index {
                    return give(Some(answer), Ok(Bytes::new()));
                }
                change.await;
            }
        })
        .detach();
    }

    fn compact(&mut self) {
        let applied = self.applied();
        let due = self.core.status().snapshot_index + self.settings.snapshot_every_entries;
        if applied > due {
            let machine = self.shared.machine.lock().unwrap_or_else(PoisonError::into_inner);
            let state = machine.snapshot();
            drop(machine);
            self.core.compact(applied, state);
        }
    }

    fn applied(&self) -> u64 {
        self.shared.applied()
    }

    fn set_applied(&self, index: u64) {
        let mut status = self.shared.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.applied_index = index;
    }

    fn publish(&mut self) {
        let consensus = self.core.status();
        let leads = consensus.role == Role::Leader;
        if leads != self.led {
            self.led = leads;
            let event = if leads { agreement::LEADS } else { agreement::FOLLOWS };
            let fields: [(_, &dyn std::fmt::Display); 2] =
                [("group", &self.settings.group), ("term", &consensus.term)];
            event.emit(&self.logger, &fields);
        }
        let fence = self.core.leader_lease(self.clock.now());
        *self.shared.fence.lock().unwrap_or_else(PoisonError::into_inner) = fence;
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
        *self.shared.fence.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.queue.close();
        self.shared.changed.notify();
    }
}

impl<M> Shared<M> {
    pub fn applied(&self) -> u64 {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).applied_index
    }
}

fn give(waiting: Option<channel::Sender<Answer>>, answer: Answer) {
    if let Some(waiting) = waiting {
        let _ = waiting.try_send(answer);
    }
}
