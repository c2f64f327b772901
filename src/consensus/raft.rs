use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use prost::bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Body, HardState, Membership, Message, Outgoing, Output, Peer, Record, Settings, Snapshot,
    leader::Lead, tail::Tail,
};
use crate::id;

/// What a replica needs in order to start.
#[derive(Clone, Debug)]
pub struct StartParameters {
    /// The timings and bounds.
    pub settings: Settings,
    /// The replica itself.
    pub me: Peer,
    /// The VMs that the settings name as the first voters.
    pub initial_voters: Vec<id::Vm>,
    /// What was durable; empty at the first start and after the disk was lost.
    pub durable_state: Record,
    /// The seed of the election jitter.
    pub seed: u64,
}

/// What a replica does in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// It belongs to no group: it neither votes nor accepts until it is admitted.
    Outsider,
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

/// What a replica knows of itself and its group.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The number of the group's formation; zero before it belongs to a group. A group that was
    /// formed anew, its state being lost, has another one.
    pub group_id: u64,
    /// The leader of that term, where it is known.
    pub leader: Option<id::Vm>,
    /// The last index of its log.
    pub last_index: u64,
    /// The last index that it knows as committed.
    pub commit_index: u64,
    /// The index of its snapshot.
    pub snapshot_index: u64,
    /// The members that it knows.
    pub membership: Membership,
    /// Empty replicas that wait to be admitted.
    pub announced: Vec<Peer>,
    /// Where this replica leads: the time since each other member was last heard.
    pub last_contacts: Vec<LastContact>,
    /// The time since a leader was last heard; zero where this replica leads.
    pub since_leader_contact: Option<Duration>,
}

/// How long a leader has not heard a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastContact {
    /// The member.
    pub peer: Peer,
    /// The time since its last message to this leader, or since this replica began to lead.
    pub elapsed: Duration,
}

#[derive(Debug)]
pub(super) enum State {
    Follower,
    Candidate { pre_vote: bool, votes: BTreeSet<Peer> },
    Leader(Lead),
}

/// One replica of one group.
///
/// ```
/// use std::time::{Duration, Instant};
/// use pomelogate::consensus::{Raft, Peer, Record, Role, Settings, StartParameters};
///
/// let start = StartParameters {
///     settings: Settings::default(),
///     me: Peer { vm: "jakarta-1".into(), disk_id: 7 },
///     initial_voters: vec!["jakarta-1".into()],
///     durable_state: Record::default(),
///     seed: 1,
/// };
/// let now = Instant::now();
/// let mut core = Raft::new(start, now);
/// core.tick(now + Duration::from_millis(1));
/// let output = core.take_output();
/// assert!(!output.record.is_empty());
/// core.mark_synced(now + Duration::from_millis(2));
/// assert_eq!(core.status().role, Role::Leader);
/// ```
#[derive(Debug)]
pub struct Raft {
    pub(super) settings: Settings,
    pub(super) me: Peer,
    pub(super) first: Vec<id::Vm>,
    rng: StdRng,
    pub(super) now: Instant,
    pub(super) hard: HardState,
    pub(super) tail: Tail,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) durable: u64,
    pub(super) membership: Membership,
    pub(super) membership_index: u64,
    pub(super) state: State,
    pub(super) leader: Option<Peer>,
    pub(super) heard: Option<Instant>,
    pub(super) election_at: Instant,
    pub(super) announce_at: Instant,
    pub(super) announced: BTreeMap<id::Vm, u64>,
    pub(super) blank: BTreeMap<id::Vm, u64>,
    /// VMs that others named as members while this replica belonged to no group.
    pub(super) contacts: BTreeSet<id::Vm>,
    pub(super) out: Output,
}

impl Raft {
    /// Starts a replica from what was durable.
    pub fn new(start: StartParameters, now: Instant) -> Self {
        let durable = start.durable_state;
        let tail = Tail::new(durable.snapshot.unwrap_or_default(), durable.entries);
        let (membership_index, membership) = tail.membership(u64::MAX);
        let index = tail.snapshot.index;
        let hard = durable.hard_state.unwrap_or_default();
        let blank = hard.group_id == 0;
        let mut core = Self {
            settings: start.settings,
            me: start.me,
            first: start.initial_voters,
            rng: StdRng::seed_from_u64(start.seed),
            now,
            hard,
            commit: index,
            applied: index,
            durable: tail.last().0,
            tail,
            membership,
            membership_index,
            state: State::Follower,
            leader: None,
            heard: (!blank).then_some(now),
            election_at: now,
            announce_at: now,
            announced: BTreeMap::new(),
            blank: BTreeMap::new(),
            contacts: BTreeSet::new(),
            out: Output::default(),
        };
        core.first.sort();
        if index > 0 {
            core.out.restore = Some(core.tail.snapshot.clone());
        }
        core.put_off_election();
        core
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        self.now = self.now.max(now);
        if self.is_blank() {
            self.form();
            self.announce();
            return;
        }
        if !self.hears_leader() && !matches!(self.state, State::Leader(_)) {
            self.announce();
        }
        match &self.state {
            State::Leader(_) => self.lead(),
            _ if self.alone() || self.now >= self.election_at => self.campaign(),
            _ => {}
        }
    }

    /// Takes a message of the replica of `from`.
    pub fn receive(&mut self, now: Instant, from: &id::Vm, message: Message) {
        self.now = self.now.max(now);
        let from = Peer { vm: from.clone(), disk_id: message.from_disk_id };
        let Some(body) = message.body else { return };
        if let Body::Announce(announce) = body {
            self.on_announce(from, message.group_id, announce);
            return;
        }
        if message.to_disk_id != self.me.disk_id || !self.joins(message.group_id) {
            return;
        }
        let term = message.term;
        match body {
            Body::Announce(_) => {}
            Body::RequestVote(ask) => self.on_vote_ask(from, term, ask),
            Body::RequestVoteReply(reply) => self.on_vote_reply(from, term, reply),
            Body::AppendEntries(append) => self.on_append(from, term, append),
            Body::InstallSnapshot(install) => self.on_install(from, term, install),
            Body::AppendEntriesReply(appended) => self.on_appended(from, term, appended),
            Body::ReadIndexRequest(ask) => self.on_read_ask(from, ask),
            Body::ReadIndexReply(reply) => {
                self.out.confirmed_reads.push((reply.token, reply.index))
            }
        }
    }

    /// What has to be done since the last call.
    pub fn take_output(&mut self) -> Output {
        self.flush();
        std::mem::take(&mut self.out)
    }

    /// Hears that the record of the last [`Self::take_output`] is durable.
    pub fn mark_synced(&mut self, now: Instant) {
        self.now = self.now.max(now);
        self.durable = self.tail.last().0;
        self.advance();
        if self.alone() {
            self.tick(now);
        }
    }

    /// Replaces the log up to `index`, which must have been applied, by a snapshot.
    pub fn compact(&mut self, index: u64, state: Bytes) {
        let Some(term) = self.tail.term(index).filter(|_| index <= self.applied) else { return };
        if index <= self.tail.snapshot.index {
            return;
        }
        let membership = self.tail.membership(index).1;
        let snapshot = Snapshot { index, term, membership, state };
        let trailing = self.settings.trailing_entries;
        self.tail.compact(snapshot.clone(), trailing);
        self.out.record.merge_later(Record { snapshot: Some(snapshot), ..Record::default() });
        let kept = self.tail.range(index + 1, usize::MAX, usize::MAX);
        self.out.record.merge_later(Record { entries: kept, ..Record::default() });
    }

    /// What the replica knows.
    pub fn status(&self) -> Status {
        let role = match &self.state {
            _ if !self.membership.has(&self.me) => Role::Outsider,
            State::Follower => Role::Follower,
            State::Candidate { .. } => Role::Candidate,
            State::Leader(_) => Role::Leader,
        };
        let announced =
            self.announced.iter().map(|(vm, &disk_id)| Peer { vm: vm.clone(), disk_id });
        Status {
            role,
            term: self.hard.term,
            group_id: self.hard.group_id,
            leader: self.leader.as_ref().map(|leader| leader.vm.clone()),
            last_index: self.tail.last().0,
            commit_index: self.commit,
            snapshot_index: self.tail.snapshot.index,
            membership: self.membership.clone(),
            announced: announced.filter(|peer| !self.membership.has(peer)).collect(),
            last_contacts: match &self.state {
                State::Leader(lead) => lead.last_contacts(self.now),
                _ => Vec::new(),
            },
            since_leader_contact: match &self.state {
                State::Leader(_) => Some(Duration::ZERO),
                _ if self.leader.is_none() => None,
                _ => self.heard.map(|heard| self.now.saturating_duration_since(heard)),
            },
        }
    }

    /// The replica itself.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// How often [`Self::tick`] is to be called.
    pub fn tick_interval(&self) -> Duration {
        self.settings.heartbeat_interval / 3
    }

    pub(super) fn alone(&self) -> bool {
        self.membership.voters().eq([self.me.clone()]) && !matches!(self.state, State::Leader(_))
    }

    pub(super) fn put_off_election(&mut self) {
        let election = self.settings.election_timeout;
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_at = self.now + election + election.mul_f64(jitter);
    }

    pub(super) fn save_hard(&mut self) {
        self.out.record.hard_state = Some(self.hard.clone());
    }

    /// Follows `leader` in `term`, which is not lower than the own one.
    pub(super) fn follow(&mut self, term: u64, leader: Option<Peer>) {
        if term > self.hard.term {
            self.hard = HardState { term, group_id: self.hard.group_id, ..HardState::default() };
            self.save_hard();
            self.leader = None;
        }
        if let State::Leader(lead) = std::mem::replace(&mut self.state, State::Follower) {
            self.out.failed_reads.extend(lead.local_reads());
            self.leader = None;
            // The lease that it may have handed out rests on its own refusal to vote, too.
            self.heard = Some(self.now);
            self.put_off_election();
        }
        if leader.is_some() {
            self.leader = leader;
        }
    }

    pub(super) fn message(&self, to: &Peer, term: u64, body: Body) -> Outgoing {
        let message = Message {
            group_id: self.hard.group_id,
            from_disk_id: self.me.disk_id,
            to_disk_id: to.disk_id,
            term,
            body: Some(body),
        };
        Outgoing { to: to.vm.clone(), message }
    }

    pub(super) fn send_late(&mut self, to: &Peer, body: Body) {
        let message = self.message(to, self.hard.term, body);
        self.out.send_after_sync.push(message);
    }

    /// Gives what is committed to the machine.
    pub(super) fn apply(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.tail.get(self.applied + 1) else { return };
            self.out.apply.push(entry.clone());
            self.applied += 1;
        }
    }

    pub(super) fn reload_membership(&mut self) {
        (self.membership_index, self.membership) = self.tail.membership(u64::MAX);
    }
}
