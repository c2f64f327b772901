//! The replica groups on this VM: carries their messages, and has commands committed.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use prost::{Message, bytes::Bytes};
use slog::Logger;
use smol::{
    Timer,
    channel::{Receiver, Sender},
};

use super::Vm;
use crate::{
    claim,
    clock::Clock,
    id, list_state,
    replica::{
        self, Envelope, ForwardOutcome, ForwardReply, ForwardRequest, Group, Outgoing,
        RequestError, StateMachine,
    },
    settings::{Peer, Settings},
    wire::Topic,
};

/// The name of the group that replicates the lists.
pub(super) const LISTS_GROUP: &str = "lists";

/// The most messages of this VM's replicas that wait to be put into the queues of their peers.
const OUTGOING_QUEUE_MESSAGES: usize = 1024;
/// The most messages that wait to be sent to one peer; further ones are dropped.
const PEER_QUEUE_MESSAGES: usize = 256;
/// Pause between two attempts to find a leader, and between two checks of an awaited condition.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long one VM may take to answer a forwarded command.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The name of the group that decides on claims in `region`.
pub(super) fn claims_group_name(region: &id::Region) -> String {
    format!("claims/{region}")
}

/// The groups of which this VM holds a replica.
#[derive(Debug, Default)]
pub(super) struct ReplicaGroups {
    pub(super) lists: Option<Arc<Group<list_state::StateMachine>>>,
    pub(super) claims: Option<Arc<Group<claim::StateMachine>>>,
}

impl ReplicaGroups {
    /// Starts the replicas that the settings assign to this VM, if any. Also returns the messages
    /// that the replicas send.
    pub(super) async fn start(
        settings: &Settings,
        clock: &Arc<dyn Clock>,
        logger: &Logger,
    ) -> Result<(Self, Receiver<Outgoing>), replica::Error> {
        let (outgoing, messages) = smol::channel::bounded(OUTGOING_QUEUE_MESSAGES);
        let Some(data) = settings.data.as_ref().filter(|_| settings.is_replica(&settings.vm))
        else {
            return Ok((Self::default(), messages));
        };
        let region_replicas =
            settings.replicas.iter().filter(|vm| settings.region_of(vm) == Some(&settings.region));
        let lists = replica::Settings {
            group: LISTS_GROUP.to_owned(),
            vm: settings.vm.clone(),
            initial_voters: settings.replicas.clone(),
            folder: data.join(LISTS_GROUP),
            ..replica::Settings::default()
        };
        let claims = replica::Settings {
            group: claims_group_name(&settings.region),
            initial_voters: region_replicas.cloned().collect(),
            folder: data.join("claims"),
            ..lists.clone()
        };
        let groups = Self {
            lists: Some(start_group(lists, clock, logger, &outgoing).await?),
            claims: Some(start_group(claims, clock, logger, &outgoing).await?),
        };
        Ok((groups, messages))
    }

    /// Receives a message of another VM's replica.
    pub(super) fn receive(&self, from: &id::Vm, payload: &Bytes) {
        match (Envelope::decode_group_name(payload), &self.lists, &self.claims) {
            (Some(group), Some(lists), _) if group == LISTS_GROUP => {
                lists.receive(from, payload.clone())
            }
            (Some(_), _, Some(claims)) => claims.receive(from, payload.clone()),
            _ => {}
        }
    }

    /// Proposes a command to the replica on this VM; `None` if it has no replica of the group.
    async fn propose(
        &self,
        group: &str,
        command: Bytes,
        timeout: Duration,
    ) -> Option<Result<Bytes, RequestError>> {
        if let Some(lists) = self.lists.as_ref().filter(|lists| lists.name() == group) {
            return Some(lists.propose(command, timeout).await);
        }
        let claims = self.claims.as_ref().filter(|claims| claims.name() == group)?;
        Some(claims.propose(command, timeout).await)
    }
}

async fn start_group<M: StateMachine + Default + 'static>(
    settings: replica::Settings,
    clock: &Arc<dyn Clock>,
    logger: &Logger,
    outgoing: &Sender<Outgoing>,
) -> Result<Arc<Group<M>>, replica::Error> {
    Group::start(settings, Arc::clone(clock), logger.clone(), M::default(), outgoing.clone()).await
}

/// Why a proposal got no reply from the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ProposalError {
    /// The command was not committed.
    NotCommitted(String),
    /// The command may have been committed, or may still be.
    OutcomeUnknown(String),
}

impl Vm {
    /// Sends messages of this VM's replicas to their peers, through one queue for each peer.
    /// Messages to a peer whose queue is full are dropped; the replicas expect lost messages.
    pub(super) async fn send_replica_messages(self: Arc<Self>, messages: Receiver<Outgoing>) {
        let mut queues: HashMap<id::Vm, Sender<Bytes>> = HashMap::new();
        while let Ok(message) = messages.recv().await {
            let queue = queues.entry(message.to.clone()).or_insert_with(|| {
                let (sender, queue) = smol::channel::bounded(PEER_QUEUE_MESSAGES);
                smol::spawn(Arc::clone(&self).send_queue_to(message.to.clone(), queue)).detach();
                sender
            });
            let _ = queue.try_send(message.payload);
        }
    }

    async fn send_queue_to(self: Arc<Self>, vm: id::Vm, queue: Receiver<Bytes>) {
        while let Ok(payload) = queue.recv().await {
            if let Some(peer) = self.peer(&vm) {
                let _ = self.hub.notify(peer.links, Topic::Consensus, payload).await;
            }
        }
    }

    /// Has the leader among `replicas` commit a command, and returns the state machine's reply. The
    /// command may be proposed more than once, so it must be safe to repeat.
    pub(super) async fn propose(
        &self,
        group: &str,
        replicas: &[Peer],
        command: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, ProposalError> {
        let deadline = self.clock.now() + timeout;
        let mut error = ProposalError::NotCommitted(format!("no VM holds a replica of `{group}`"));
        let mut leader = None;
        for attempt in 0.. {
            let time_left = deadline.saturating_duration_since(self.clock.now());
            let Some(peer) =
                choose_replica(replicas, leader.as_ref(), attempt).filter(|_| !time_left.is_zero())
            else {
                break;
            };
            let (outcome, may_be_committed) =
                self.propose_at(peer, group, &command, time_left.min(FORWARD_TIMEOUT)).await;
            let cause = match outcome {
                ForwardOutcome::Reply(reply) => return Ok(reply),
                ForwardOutcome::NotLeader(vm) => {
                    leader = Some(id::Vm::from(vm)).filter(|vm| !vm.as_str().is_empty());
                    "it has no leader at present".to_owned()
                }
                ForwardOutcome::Refused(cause) | ForwardOutcome::Unknown(cause) => {
                    leader = None;
                    cause
                }
            };
            error = match error {
                ProposalError::NotCommitted(_) if !may_be_committed => {
                    ProposalError::NotCommitted(format!("`{group}`: {cause}"))
                }
                _ => ProposalError::OutcomeUnknown(format!("`{group}`: {cause}")),
            };
            if leader.is_none() {
                Timer::after(RETRY_INTERVAL.min(time_left)).await;
            }
        }
        Err(error)
    }

    /// Proposes a command at one VM. Also returns whether the command may have been committed.
    async fn propose_at(
        &self,
        peer: &Peer,
        group: &str,
        command: &Bytes,
        timeout: Duration,
    ) -> (ForwardOutcome, bool) {
        // `Err(None)` means that this VM holds no replica of the group.
        let forwarded = if peer.vm == self.settings.vm {
            let proposed = self.replica_groups.propose(group, command.clone(), timeout).await;
            proposed.map(ForwardReply::from).ok_or(None)
        } else {
            let forward = ForwardRequest { group: group.to_owned(), command: command.clone() };
            let payload = Bytes::from(forward.encode_to_vec());
            let reply = self.hub.call(peer.links, Topic::Proposals, payload, timeout).await;
            match reply {
                Ok(reply) => ForwardReply::decode(reply).map_err(|cause| Some(cause.to_string())),
                Err(cause @ crate::link::Error::Unreachable(..)) => {
                    return (ForwardOutcome::Refused(cause.to_string()), false);
                }
                Err(cause) => Err(Some(cause.to_string())),
            }
        };
        match forwarded {
            Ok(ForwardReply { outcome: Some(outcome) }) => {
                let may_be_committed = matches!(outcome, ForwardOutcome::Unknown(_));
                (outcome, may_be_committed)
            }
            Ok(ForwardReply { outcome: None }) => {
                (ForwardOutcome::Unknown("the other VM runs another version".to_owned()), true)
            }
            Err(Some(cause)) => (ForwardOutcome::Unknown(cause), true),
            Err(None) => {
                (ForwardOutcome::Refused("this VM holds no replica of it".to_owned()), false)
            }
        }
    }

    /// Proposes a command that another VM forwarded, and answers with the outcome.
    pub(super) async fn answer_forwarded_command(
        self: Arc<Self>,
        payload: Bytes,
        reply: Sender<Bytes>,
    ) {
        let Ok(ForwardRequest { group, command }) = ForwardRequest::decode(payload) else { return };
        let proposed = self.replica_groups.propose(&group, command, FORWARD_TIMEOUT).await;
        let no_replica = || ForwardOutcome::Refused("this VM holds no replica of it".to_owned());
        let answer = proposed
            .map_or_else(|| ForwardReply { outcome: Some(no_replica()) }, ForwardReply::from);
        let _ = reply.send(Bytes::from(answer.encode_to_vec())).await;
    }

    /// The VMs that hold a replica of the lists, this VM first, then those of its region.
    pub(super) fn replica_peers(&self) -> Vec<Peer> {
        let mut replicas: Vec<_> =
            self.settings.replicas.iter().filter_map(|vm| self.peer(vm)).collect();
        replicas
            .sort_by_key(|peer| (peer.vm != self.settings.vm, peer.region != self.settings.region));
        replicas
    }

    /// The VMs that hold a replica of the claims of `region`.
    pub(super) fn claim_replica_peers(&self, region: &id::Region) -> Vec<Peer> {
        self.replica_peers().into_iter().filter(|peer| peer.region == *region).collect()
    }

    /// Waits until `condition` holds, at most until `deadline`; returns whether it held.
    pub(super) async fn wait_until(&self, deadline: Instant, condition: impl Fn() -> bool) -> bool {
        while !condition() {
            if self.clock.now() >= deadline {
                return false;
            }
            Timer::after(RETRY_INTERVAL).await;
        }
        true
    }
}

fn choose_replica<'a>(
    replicas: &'a [Peer],
    leader: Option<&id::Vm>,
    attempt: usize,
) -> Option<&'a Peer> {
    let known_leader = leader.and_then(|leader| replicas.iter().find(|peer| peer.vm == *leader));
    known_leader.or_else(|| replicas.get(attempt.checked_rem(replicas.len())?))
}
