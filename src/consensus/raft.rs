use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use prost::bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Body, HardState, Membership, Message, Outgoing, Output, Peer, Record, Settings, Snapshot,
    bootstrap::Announcement, departure::Departure, leader::LeaderState, memory_log::MemoryLog,
};
use crate::id;

/// The parameters of a [`Raft`] replica.
#[derive(Clone, Debug)]
pub struct StartParameters {
    /// Timeouts and limits.
    pub settings: Settings,
    /// The identity of this replica.
    pub me: Peer,
    /// The VMs that may form the group as its first voters.
    pub initial_voters: Vec<id::Vm>,
    /// The state read from disk; empty at the first start and after the disk was lost.
    pub durable_state: Record,
    /// The seed of the random election jitter.
    pub seed: u64,
}

/// The role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Not a member: it has to be admitted before its votes and acknowledgements count.
    Outsider,
    /// Follows a leader or waits for one.
    Follower,
    /// Requests votes.
    Candidate,
    /// Leads the group.
    Leader,
}

/// What a replica knows about itself and its group.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The role of this replica.
    pub role: Role,
    /// The current term.
    pub term: u64,
    /// The ID of the group; zero while this replica belongs to none. A group that lost its state
    /// and was formed again has a new ID.
    pub group_id: u64,
    /// The leader of that term, if it is known.
    pub leader: Option<id::Vm>,
    /// The index of the last entry in the log.
    pub last_index: u64,
    /// The highest index known to be committed.
    pub commit_index: u64,
    /// The index of the last entry that the snapshot covers.
    pub snapshot_index: u64,
    /// The latest membership in the log.
    pub membership: Membership,
    /// Replicas that announced themselves and wait to be admitted.
    pub announced: Vec<Peer>,
    /// On the leader, the members that recently requested to be removed.
    pub leaving: Vec<Peer>,
    /// Whether this replica requested to be removed and is no member any more.
    pub has_left: bool,
    /// On the leader, the last contact with each other member; empty on other replicas.
    pub last_contacts: Vec<LastContact>,
    /// The time since the leader was last heard; zero on the leader, none if no leader is known.
    pub since_leader_contact: Option<Duration>,
}

/// When a leader last heard a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastContact {
    /// The member.
    pub peer: Peer,
    /// The time since its last reply, or since the leader began to track it if there was none.
    pub elapsed: Duration,
}

#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    Candidate { pre_vote: bool, votes: BTreeSet<Peer> },
    Leader(LeaderState),
}

/// A Raft replica of one group.
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
/// let mut raft = Raft::new(start, now);
/// raft.tick(now + Duration::from_millis(1));
/// let output = raft.take_output();
/// assert!(!output.record.is_empty());
/// raft.mark_synced(now + Duration::from_millis(2));
/// assert_eq!(raft.status().role, Role::Leader);
/// ```
#[derive(Debug)]
pub struct Raft {
    pub(super) settings: Settings,
    pub(super) me: Peer,
    pub(super) initial_voters: Vec<id::Vm>,
    rng: StdRng,
    pub(super) now: Instant,
    pub(super) hard_state: HardState,
    pub(super) log: MemoryLog,
    pub(super) commit_index: u64,
    pub(super) last_applied: u64,
    /// The last index up to which the log is durable on this replica.
    pub(super) durable_index: u64,
    pub(super) membership: Membership,
    /// The index of the entry or snapshot that `membership` comes from.
    pub(super) membership_index: u64,
    pub(super) role_state: RoleState,
    pub(super) leader: Option<Peer>,
    pub(super) leader_heard_at: Option<Instant>,
    pub(super) election_due_at: Instant,
    pub(super) announce_due_at: Instant,
    /// The last announcement of each replica that announced itself.
    pub(super) announcements: BTreeMap<id::Vm, Announcement>,
    /// Disk IDs of the replicas that replied that they belong to no group either.
    pub(super) empty_peer_disk_ids: BTreeMap<id::Vm, u64>,
    /// VMs that replies to announcements named as members.
    pub(super) reported_members: BTreeSet<id::Vm>,
    pub(super) departure: Departure,
    pub(super) output: Output,
}

impl Raft {
    /// Creates a replica from the state read from disk.
    pub fn new(start: StartParameters, now: Instant) -> Self {
        let durable_state = start.durable_state;
        let log = MemoryLog::new(durable_state.snapshot.unwrap_or_default(), durable_state.entries);
        let (membership_index, membership) = log.membership_at(u64::MAX);
        let snapshot_index = log.snapshot.index;
        let hard_state = durable_state.hard_state.unwrap_or_default();
        let is_empty = hard_state.group_id == 0;
        let mut raft = Self {
            settings: start.settings,
            me: start.me,
            initial_voters: start.initial_voters,
            rng: StdRng::seed_from_u64(start.seed),
            now,
            hard_state,
            commit_index: snapshot_index,
            last_applied: snapshot_index,
            durable_index: log.last_index_and_term().0,
            log,
            membership,
            membership_index,
            role_state: RoleState::Follower,
            leader: None,
            leader_heard_at: (!is_empty).then_some(now),
            election_due_at: now,
            announce_due_at: now,
            announcements: BTreeMap::new(),
            empty_peer_disk_ids: BTreeMap::new(),
            reported_members: BTreeSet::new(),
            departure: Departure::default(),
            output: Output::default(),
        };
        raft.initial_voters.sort();
        if snapshot_index > 0 {
            raft.output.restore = Some(raft.log.snapshot.clone());
        }
        raft.reset_election_timer();
        raft
    }

    /// Advances the clock to `now` and starts whatever is due.
    pub fn tick(&mut self, now: Instant) {
        self.now = self.now.max(now);
        if self.is_empty_replica() {
            self.form_group_if_ready();
            self.announce_if_due();
            return;
        }
        self.request_removal_if_due();
        if !self.heard_leader_recently() && !matches!(self.role_state, RoleState::Leader(_)) {
            self.announce_if_due();
        }
        match &self.role_state {
            RoleState::Leader(_) => self.leader_tick(),
            _ if self.is_sole_voter_not_leading() || self.now >= self.election_due_at => {
                self.start_pre_vote()
            }
            _ => {}
        }
    }

    /// Handles a message from the replica of the VM `from`.
    pub fn receive(&mut self, now: Instant, from: &id::Vm, message: Message) {
        self.now = self.now.max(now);
        let from = Peer { vm: from.clone(), disk_id: message.from_disk_id };
        let Some(body) = message.body else { return };
        if let Body::Announce(announce) = body {
            self.on_announce(from, message.group_id, announce);
            return;
        }
        if message.to_disk_id != self.me.disk_id || !self.join_or_match_group(message.group_id) {
            return;
        }
        let term = message.term;
        match body {
            Body::Announce(_) => {}
            Body::RequestVote(request) => self.on_request_vote(from, term, request),
            Body::RequestVoteReply(reply) => self.on_request_vote_reply(from, term, reply),
            Body::AppendEntries(append) => self.on_append_entries(from, term, append),
            Body::InstallSnapshot(install) => self.on_install_snapshot(from, term, install),
            Body::AppendEntriesReply(reply) => self.on_append_entries_reply(from, term, reply),
            Body::ReadIndexRequest(request) => self.on_read_index_request(from, request),
            Body::ReadIndexReply(reply) => {
                self.output.confirmed_reads.push((reply.token, reply.index))
            }
            Body::Leave(leave) => self.on_leave(from, leave),
        }
    }

    /// Takes everything that has to be done since the last call.
    pub fn take_output(&mut self) -> Output {
        self.queue_due_messages();
        std::mem::take(&mut self.output)
    }

    /// Records that [`Output::record`] of the last [`Self::take_output`] is durable.
    pub fn mark_synced(&mut self, now: Instant) {
        self.now = self.now.max(now);
        self.durable_index = self.log.last_index_and_term().0;
        self.advance_commit_index();
        if self.is_sole_voter_not_leading() {
            self.tick(now);
        }
    }

    /// Replaces the log up to `index` by a snapshot that holds `state`, the encoded state of the
    /// state machine. Does nothing if `index` has not been applied or a snapshot covers it already.
    pub fn compact(&mut self, index: u64, state: Bytes) {
        let Some(term) = self.log.term_at(index).filter(|_| index <= self.last_applied) else {
            return;
        };
        if index <= self.log.snapshot.index {
            return;
        }
        let membership = self.log.membership_at(index).1;
        let snapshot = Snapshot { index, term, membership, state };
        let trailing_entries = self.settings.trailing_entries;
        self.log.compact(snapshot.clone(), trailing_entries);
        self.output.record.merge_later(Record { snapshot: Some(snapshot), ..Record::default() });
        let kept_entries = self.log.entries_from(index + 1, usize::MAX, usize::MAX);
        self.output.record.merge_later(Record { entries: kept_entries, ..Record::default() });
    }

    /// The current status.
    pub fn status(&self) -> Status {
        let role = match &self.role_state {
            _ if !self.membership.contains(&self.me) => Role::Outsider,
            RoleState::Follower => Role::Follower,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        };
        Status {
            role,
            term: self.hard_state.term,
            group_id: self.hard_state.group_id,
            leader: self.leader.as_ref().map(|leader| leader.vm.clone()),
            last_index: self.log.last_index_and_term().0,
            commit_index: self.commit_index,
            snapshot_index: self.log.snapshot.index,
            membership: self.membership.clone(),
            announced: self.announced_outsiders(),
            leaving: self.leaving_members(),
            has_left: self.has_left(),
            last_contacts: match &self.role_state {
                RoleState::Leader(leader_state) => leader_state.last_contacts(self.now),
                _ => Vec::new(),
            },
            since_leader_contact: match &self.role_state {
                RoleState::Leader(_) => Some(Duration::ZERO),
                _ if self.leader.is_none() => None,
                _ => self
                    .leader_heard_at
                    .map(|heard_at| self.now.saturating_duration_since(heard_at)),
            },
        }
    }

    /// The identity of this replica.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// The interval at which [`Self::tick`] has to be called.
    pub fn tick_interval(&self) -> Duration {
        self.settings.heartbeat_interval / 3
    }

    pub(super) fn is_sole_voter_not_leading(&self) -> bool {
        self.membership.voters().eq([self.me.clone()])
            && !matches!(self.role_state, RoleState::Leader(_))
    }

    pub(super) fn reset_election_timer(&mut self) {
        let election_timeout = self.settings.election_timeout;
        let jitter = self.rng.random_range(0.0..1.0);
        self.election_due_at = self.now + election_timeout + election_timeout.mul_f64(jitter);
    }

    pub(super) fn record_hard_state(&mut self) {
        self.output.record.hard_state = Some(self.hard_state.clone());
    }

    /// Follows `leader` in `term`, which must not be lower than the current term.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<Peer>) {
        if term > self.hard_state.term {
            self.hard_state =
                HardState { term, group_id: self.hard_state.group_id, ..HardState::default() };
            self.record_hard_state();
            self.leader = None;
        }
        if let RoleState::Leader(leader_state) =
            std::mem::replace(&mut self.role_state, RoleState::Follower)
        {
            self.output.failed_reads.extend(leader_state.local_read_tokens());
            self.leader = None;
            // The lease that this replica held as leader may still be in use. It is valid only if
            // no voter of its quorum, this replica included, grants a vote within the election
            // timeout.
            self.leader_heard_at = Some(self.now);
            self.reset_election_timer();
        }
        if leader.is_some() {
            self.leader = leader;
        }
    }

    pub(super) fn build_message(&self, to: &Peer, term: u64, body: Body) -> Outgoing {
        let message = Message {
            group_id: self.hard_state.group_id,
            from_disk_id: self.me.disk_id,
            to_disk_id: to.disk_id,
            term,
            body: Some(body),
        };
        Outgoing { to: to.vm.clone(), message }
    }

    pub(super) fn send_after_sync(&mut self, to: &Peer, body: Body) {
        let message = self.build_message(to, self.hard_state.term, body);
        self.output.send_after_sync.push(message);
    }

    /// Adds the entries that are committed but not yet applied to the output.
    pub(super) fn apply_committed(&mut self) {
        while self.last_applied < self.commit_index {
            let Some(entry) = self.log.entry_at(self.last_applied + 1) else { return };
            self.output.apply.push(entry.clone());
            self.last_applied += 1;
        }
    }

    pub(super) fn reload_membership(&mut self) {
        (self.membership_index, self.membership) = self.log.membership_at(u64::MAX);
    }
}
