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

/// The group that holds the lists.
pub(super) const LISTS: &str = "lists";

const QUEUE: usize = 1024;
const PEER_QUEUE: usize = 256;
/// How long to wait before asking again for a leader.
const PAUSE: Duration = Duration::from_millis(50);
/// How long one VM may take over a forwarded command.
const FORWARD: Duration = Duration::from_secs(2);

/// The group that decides on claims in `region`.
pub(super) fn claims(region: &id::Region) -> String {
    format!("claims/{region}")
}

/// The groups of which this VM holds a replica.
#[derive(Debug, Default)]
pub(super) struct Agreement {
    pub(super) lists: Option<Arc<Group<list_state::StateMachine>>>,
    pub(super) claims: Option<Arc<Group<claim::StateMachine>>>,
}

impl Agreement {
    /// Starts the replicas that the settings give this VM; none where it is no replica.
    pub(super) async fn start(
        settings: &Settings,
        clock: &Arc<dyn Clock>,
        logger: &Logger,
    ) -> Result<(Self, Receiver<Outgoing>), replica::Error> {
        let (outgoing, messages) = smol::channel::bounded(QUEUE);
        let Some(data) = settings.data.as_ref().filter(|_| settings.is_replica(&settings.vm))
        else {
            return Ok((Self::default(), messages));
        };
        let near =
            settings.replicas.iter().filter(|vm| settings.region_of(vm) == Some(&settings.region));
        let lists = replica::Settings {
            group: LISTS.to_owned(),
            vm: settings.vm.clone(),
            initial_voters: settings.replicas.clone(),
            folder: data.join(LISTS),
            ..replica::Settings::default()
        };
        let claims = replica::Settings {
            group: claims(&settings.region),
            initial_voters: near.cloned().collect(),
            folder: data.join("claims"),
            ..lists.clone()
        };
        let agreement = Self {
            lists: Some(group(lists, clock, logger, &outgoing).await?),
            claims: Some(group(claims, clock, logger, &outgoing).await?),
        };
        Ok((agreement, messages))
    }

    /// Takes a message of another replica.
    pub(super) fn receive(&self, from: &id::Vm, payload: &Bytes) {
        match (Envelope::decode_group_name(payload), &self.lists, &self.claims) {
            (Some(group), Some(lists), _) if group == LISTS => lists.receive(from, payload.clone()),
            (Some(_), _, Some(claims)) => claims.receive(from, payload.clone()),
            _ => {}
        }
    }

    /// Proposes to a replica on this VM; nothing where it has none of the group.
    async fn propose(
        &self,
        group: &str,
        command: Bytes,
        limit: Duration,
    ) -> Option<Result<Bytes, RequestError>> {
        if let Some(lists) = self.lists.as_ref().filter(|lists| lists.name() == group) {
            return Some(lists.propose(command, limit).await);
        }
        let claims = self.claims.as_ref().filter(|claims| claims.name() == group)?;
        Some(claims.propose(command, limit).await)
    }
}

async fn group<M: StateMachine + Default + 'static>(
    settings: replica::Settings,
    clock: &Arc<dyn Clock>,
    logger: &Logger,
    outgoing: &Sender<Outgoing>,
) -> Result<Arc<Group<M>>, replica::Error> {
    Group::start(settings, Arc::clone(clock), logger.clone(), M::default(), outgoing.clone()).await
}

/// Why a command was not decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Undecided {
    /// It was not committed.
    No(String),
    /// It may have been committed, or may still be.
    Unknown(String),
}

impl Vm {
    /// Carries messages of this VM's replicas to the others, each peer at its own pace; what a
    /// slow peer has no room for is dropped, as the replicas expect of a network.
    pub(super) async fn send_agreement(self: Arc<Self>, messages: Receiver<Outgoing>) {
        let mut queues: HashMap<id::Vm, Sender<Bytes>> = HashMap::new();
        while let Ok(message) = messages.recv().await {
            let queue = queues.entry(message.to.clone()).or_insert_with(|| {
                let (sender, queue) = smol::channel::bounded(PEER_QUEUE);
                smol::spawn(Arc::clone(&self).send_to(message.to.clone(), queue)).detach();
                sender
            });
            let _ = queue.try_send(message.payload);
        }
    }

    async fn send_to(self: Arc<Self>, vm: id::Vm, queue: Receiver<Bytes>) {
        while let Ok(payload) = queue.recv().await {
            if let Some(peer) = self.peer(&vm) {
                let _ = self.hub.notify(peer.links, Topic::Consensus, payload).await;
            }
        }
    }

    /// Has the group commit a command that may safely be proposed twice, asking whichever of
    /// `replicas` leads, and gives the machine's reply.
    pub(super) async fn propose(
        &self,
        group: &str,
        replicas: &[Peer],
        command: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Undecided> {
        let end = self.clock.now() + limit;
        let mut undecided = Undecided::No(format!("no VM holds a replica of `{group}`"));
        let mut leader = None;
        for turn in 0.. {
            let left = end.saturating_duration_since(self.clock.now());
            let Some(peer) = pick(replicas, leader.as_ref(), turn).filter(|_| !left.is_zero())
            else {
                break;
            };
            let (fate, sent) = self.ask(peer, group, &command, left.min(FORWARD)).await;
            let cause = match fate {
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
            undecided = match undecided {
                Undecided::No(_) if !sent => Undecided::No(format!("`{group}`: {cause}")),
                _ => Undecided::Unknown(format!("`{group}`: {cause}")),
            };
            if leader.is_none() {
                Timer::after(PAUSE.min(left)).await;
            }
        }
        Err(undecided)
    }

    /// Asks one replica; also says whether the command may have been committed.
    async fn ask(
        &self,
        peer: &Peer,
        group: &str,
        command: &Bytes,
        limit: Duration,
    ) -> (ForwardOutcome, bool) {
        let forwarded = if peer.vm == self.settings.vm {
            let proposed = self.agreement.propose(group, command.clone(), limit).await;
            proposed.map(ForwardReply::from).ok_or(None)
        } else {
            let forward = ForwardRequest { group: group.to_owned(), command: command.clone() };
            let payload = Bytes::from(forward.encode_to_vec());
            let reply = self.hub.call(peer.links, Topic::Proposals, payload, limit).await;
            match reply {
                Ok(reply) => ForwardReply::decode(reply).map_err(|cause| Some(cause.to_string())),
                Err(cause @ crate::link::Error::Unreachable(..)) => {
                    return (ForwardOutcome::Refused(cause.to_string()), false);
                }
                Err(cause) => Err(Some(cause.to_string())),
            }
        };
        match forwarded {
            Ok(ForwardReply { outcome: Some(fate) }) => {
                let sent = matches!(fate, ForwardOutcome::Unknown(_));
                (fate, sent)
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

    /// Answers a command that another VM forwarded.
    pub(super) async fn forwarded(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let Ok(ForwardRequest { group, command }) = ForwardRequest::decode(payload) else { return };
        let proposed = self.agreement.propose(&group, command, FORWARD).await;
        let fate = || ForwardOutcome::Refused("this VM holds no replica of it".to_owned());
        let forwarded =
            proposed.map_or_else(|| ForwardReply { outcome: Some(fate()) }, ForwardReply::from);
        let _ = reply.send(Bytes::from(forwarded.encode_to_vec())).await;
    }

    /// The VMs that hold a replica of the group of the lists.
    pub(super) fn replicas(&self) -> Vec<Peer> {
        let mut replicas: Vec<_> =
            self.settings.replicas.iter().filter_map(|vm| self.peer(vm)).collect();
        replicas
            .sort_by_key(|peer| (peer.vm != self.settings.vm, peer.region != self.settings.region));
        replicas
    }

    /// The VMs that decide on claims in `region`.
    pub(super) fn claim_replicas(&self, region: &id::Region) -> Vec<Peer> {
        self.replicas().into_iter().filter(|peer| peer.region == *region).collect()
    }

    /// Waits at most until `end` for `condition`.
    pub(super) async fn wait(&self, end: Instant, condition: impl Fn() -> bool) -> bool {
        while !condition() {
            if self.clock.now() >= end {
                return false;
            }
            Timer::after(PAUSE).await;
        }
        true
    }
}

fn pick<'a>(replicas: &'a [Peer], leader: Option<&id::Vm>, turn: usize) -> Option<&'a Peer> {
    let known = leader.and_then(|leader| replicas.iter().find(|peer| peer.vm == *leader));
    known.or_else(|| replicas.get(turn.checked_rem(replicas.len())?))
}
