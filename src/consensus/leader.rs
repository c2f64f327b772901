use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use prost::{Message, bytes::Bytes};

use super::{
    AppendEntries, AppendEntriesReply, Body, Entry, EntryKind, InstallSnapshot, LastContact,
    Membership, MembershipChange, Peer, ProposeError, Raft, ReadIndexReply, ReadIndexRequest,
    raft::RoleState,
};
use crate::id;

/// The limit of batches in flight to one follower.
const MAX_IN_FLIGHT_BATCHES: u64 = 8;

/// A lease during which no other replica can be leader, with a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    /// The leader's term. It grows with each leader, so it serves as a fencing token.
    pub term: u64,
    /// When the heartbeat round was sent that a quorum acknowledged.
    pub confirmed_at: Instant,
    /// The end of the lease, from a heartbeat round that a quorum acknowledged.
    pub expires_at: Instant,
}

#[derive(Debug)]
pub(super) struct LeaderState {
    progress: BTreeMap<Peer, Progress>,
    heartbeat_round: u64,
    /// Heartbeat rounds and when each was sent.
    round_sent_at: VecDeque<(u64, Instant)>,
    next_heartbeat_at: Instant,
    heartbeat_requested: bool,
    pending_reads: Vec<PendingRead>,
}

#[derive(Debug)]
struct Progress {
    match_index: u64,
    next_index: u64,
    acked_round: u64,
    last_heard_at: Instant,
    /// When `match_index` last grew, or `next_index` was last reset to it.
    last_progress_at: Instant,
}

#[derive(Debug)]
struct PendingRead {
    /// The read is confirmed once a quorum acknowledges this heartbeat round.
    round: u64,
    token: u64,
    /// The follower that forwarded the read; none for a read of the leader itself.
    requester: Option<Peer>,
}

impl LeaderState {
    pub fn local_read_tokens(&self) -> impl Iterator<Item = u64> {
        self.pending_reads.iter().filter(|read| read.requester.is_none()).map(|read| read.token)
    }

    /// The last contact with each other member.
    pub fn last_contacts(&self, now: Instant) -> Vec<LastContact> {
        let last_contact = |(peer, progress): (&Peer, &Progress)| LastContact {
            peer: peer.clone(),
            elapsed: now.saturating_duration_since(progress.last_heard_at),
        };
        self.progress.iter().map(last_contact).collect()
    }

    /// The latest heartbeat round that a quorum acknowledged.
    fn quorum_acked_round(&self, me: &Peer, membership: &Membership) -> u64 {
        highest_reached_by_quorum(membership, |peer| {
            if peer == me {
                self.heartbeat_round
            } else {
                self.progress.get(peer).map_or(0, |p| p.acked_round)
            }
        })
    }
}

/// The highest value that a quorum of the voters has reached.
fn highest_reached_by_quorum(membership: &Membership, value: impl Fn(&Peer) -> u64) -> u64 {
    let mut values: Vec<_> = membership.voters().map(|peer| value(&peer)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(membership.quorum() - 1).copied().unwrap_or(0)
}

impl Raft {
    pub(super) fn become_leader(&mut self) {
        self.role_state = RoleState::Leader(LeaderState {
            progress: BTreeMap::new(),
            heartbeat_round: 0,
            round_sent_at: VecDeque::new(),
            next_heartbeat_at: self.now,
            heartbeat_requested: true,
            pending_reads: Vec::new(),
        });
        self.leader = Some(self.me.clone());
        self.update_tracked_members();
        self.append_entry(EntryKind::Empty, Bytes::new());
    }

    /// Appends a command to the log and returns the index and term of its entry. The command is
    /// committed once an entry with this index and term is applied.
    ///
    /// # Errors
    ///
    /// If this replica is not the leader; the command has no effect.
    pub fn propose(&mut self, now: Instant, command: Bytes) -> Result<(u64, u64), ProposeError> {
        self.now = self.now.max(now);
        self.require_leader()?;
        Ok(self.append_entry(EntryKind::Command, command))
    }

    /// Appends a membership change to the log and returns the index and term of its entry.
    ///
    /// # Errors
    ///
    /// If the change is rejected; it has no effect.
    pub fn propose_change(
        &mut self,
        now: Instant,
        change: MembershipChange,
    ) -> Result<(u64, u64), ProposeError> {
        self.now = self.now.max(now);
        self.require_leader()?;
        if !self.may_change_membership() {
            return Err(ProposeError::ChangeInProgress);
        }
        let next = match change {
            MembershipChange::Admit(vm) => self.membership_admitting(vm)?,
            MembershipChange::Remove(vm) => self.membership_removing(vm)?,
        };
        if next.voters().next().is_none() {
            return Err(ProposeError::LastVoter);
        }
        Ok(self.append_membership(&next))
    }

    fn membership_admitting(&self, vm: id::Vm) -> Result<Membership, ProposeError> {
        let disk_id = self.announced_disk_id(&vm);
        let peer = match (disk_id, self.membership.find_by_vm(&vm)) {
            (Some(disk_id), _) => Peer { vm, disk_id },
            (None, Some(_)) => return Err(ProposeError::AlreadyMember(vm)),
            (None, None) => return Err(ProposeError::NotAnnounced(vm)),
        };
        if self.membership.contains(&peer) {
            return Err(ProposeError::AlreadyMember(peer.vm));
        }
        Ok(self.membership.with_member(&peer, false))
    }

    fn membership_removing(&mut self, vm: id::Vm) -> Result<Membership, ProposeError> {
        if self.membership.find_by_vm(&vm).is_none() {
            return Err(ProposeError::NotMember(vm));
        }
        // It announced itself before it became a member, or while no leader was known.
        self.announcements.remove(&vm);
        Ok(self.membership.without_vm(&vm))
    }

    /// Requests a read index. The result comes in [`Output`](super::Output) under `token`.
    pub fn request_read_index(&mut self, now: Instant, token: u64) {
        self.now = self.now.max(now);
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.enqueue_read(token, None);
        } else if let Some(leader) = self.leader.clone() {
            self.send_after_sync(&leader, Body::ReadIndexRequest(ReadIndexRequest { token }));
        } else {
            self.output.failed_reads.push(token);
        }
    }

    pub(super) fn on_read_index_request(&mut self, from: Peer, request: ReadIndexRequest) {
        self.enqueue_read(request.token, Some(from));
    }

    fn enqueue_read(&mut self, token: u64, requester: Option<Peer>) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        leader.pending_reads.push(PendingRead {
            round: leader.heartbeat_round + 1,
            token,
            requester,
        });
        leader.heartbeat_requested = true;
    }

    /// The leader's lease, if this replica leads and a quorum acknowledged it recently enough.
    pub fn leader_lease(&mut self, now: Instant) -> Option<LeaderLease> {
        self.now = self.now.max(now);
        let RoleState::Leader(leader) = &self.role_state else { return None };
        let acked_round = leader.quorum_acked_round(&self.me, &self.membership);
        let (_, sent_at) = leader.round_sent_at.iter().find(|(round, _)| *round == acked_round)?;
        let expires_at = *sent_at
            + self.settings.election_timeout.saturating_sub(self.settings.clock_drift_margin);
        (self.has_committed_in_current_term() && expires_at > self.now).then_some(LeaderLease {
            term: self.hard_state.term,
            confirmed_at: *sent_at,
            expires_at,
        })
    }

    fn require_leader(&self) -> Result<(), ProposeError> {
        match &self.role_state {
            RoleState::Leader(_) => Ok(()),
            _ => Err(ProposeError::NotLeader(self.leader.as_ref().map(|leader| leader.vm.clone()))),
        }
    }

    /// Whether an entry of the current term is committed. Before that, the leader may not know the
    /// latest commit index.
    fn has_committed_in_current_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }

    fn may_change_membership(&self) -> bool {
        self.has_committed_in_current_term() && self.membership_index <= self.commit_index
    }

    fn append_entry(&mut self, kind: EntryKind, payload: Bytes) -> (u64, u64) {
        let (index, term) = (self.log.last_index_and_term().0 + 1, self.hard_state.term);
        self.append_to_log(Entry { index, term, kind: kind.into(), payload });
        (index, term)
    }

    fn append_membership(&mut self, next: &Membership) -> (u64, u64) {
        let index_and_term =
            self.append_entry(EntryKind::Membership, Bytes::from(next.encode_to_vec()));
        self.update_tracked_members();
        for peer in next.peers() {
            self.announcements.remove(&peer.vm);
        }
        index_and_term
    }

    /// Starts to track the progress of new members and stops to track former ones.
    fn update_tracked_members(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let initial_progress = Progress {
            match_index: 0,
            next_index: self.log.last_index_and_term().0 + 1,
            acked_round: 0,
            last_heard_at: self.now,
            last_progress_at: self.now,
        };
        let mut previous_progress = std::mem::take(&mut leader.progress);
        for peer in self.membership.peers().filter(|peer| *peer != self.me) {
            let progress =
                previous_progress.remove(&peer).unwrap_or(Progress { ..initial_progress });
            leader.progress.insert(peer, progress);
        }
    }

    /// Steps down without a quorum, requests a heartbeat if one is due, sends entries again to
    /// followers without progress, and promotes a learner.
    pub(super) fn leader_tick(&mut self) {
        let (now, election_timeout) = (self.now, self.settings.election_timeout);
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let heard_recently = |peer: &Peer| {
            leader.progress.get(peer).is_some_and(|p| now < p.last_heard_at + election_timeout)
        };
        let heard_count = self
            .membership
            .voters()
            .filter(|peer| *peer == self.me || heard_recently(peer))
            .count();
        if heard_count < self.membership.quorum() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if now >= leader.next_heartbeat_at {
            leader.heartbeat_requested = true;
        }
        for progress in leader.progress.values_mut() {
            if now >= progress.last_progress_at + election_timeout {
                progress.next_index = progress.match_index + 1;
                progress.last_progress_at = now;
            }
        }
        self.promote_caught_up_learner();
    }

    /// Makes a learner that has caught up a voter.
    fn promote_caught_up_learner(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        if !self.may_change_membership() {
            return;
        }
        let learner = leader.progress.iter().find(|(peer, progress)| {
            !self.membership.is_voter(peer) && progress.match_index >= self.commit_index
        });
        if let Some((peer, _)) = learner {
            let next = self.membership.with_member(peer, true);
            self.append_membership(&next);
        }
    }

    /// Adds heartbeats and pending entries to the output.
    pub(super) fn queue_due_messages(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let send_heartbeat = std::mem::take(&mut leader.heartbeat_requested);
        if send_heartbeat {
            leader.heartbeat_round += 1;
            leader.round_sent_at.push_back((leader.heartbeat_round, self.now));
            leader.next_heartbeat_at = self.now + self.settings.heartbeat_interval;
        }
        let peers: Vec<_> = leader.progress.keys().cloned().collect();
        for peer in peers {
            let sent_entries = self.send_pending_entries(&peer);
            if send_heartbeat && !sent_entries {
                self.send_batch(&peer, 0);
            }
        }
        self.confirm_reads();
    }

    /// Sends entries within the limit of entries in flight; returns whether it sent any.
    fn send_pending_entries(&mut self, peer: &Peer) -> bool {
        let mut sent = false;
        while self.has_entries_to_send(peer) {
            self.send_batch(peer, self.settings.max_batch_entries);
            sent = true;
        }
        sent
    }

    fn has_entries_to_send(&self, peer: &Peer) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        let max_in_flight_entries = MAX_IN_FLIGHT_BATCHES * self.settings.max_batch_entries as u64;
        leader.progress.get(peer).is_some_and(|progress| {
            progress.next_index <= self.log.last_index_and_term().0
                && progress.next_index - progress.match_index <= max_in_flight_entries
        })
    }

    /// Sends the next entries, or the snapshot if those entries are no longer in memory.
    fn send_batch(&mut self, peer: &Peer, max_entries: usize) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.progress.get_mut(peer) else { return };
        let heartbeat_round = leader.heartbeat_round;
        let body = if progress.next_index > self.log.base_index() {
            let entries = self.log.entries_from(
                progress.next_index,
                max_entries,
                self.settings.max_batch_bytes,
            );
            let prev_log_index = progress.next_index - 1;
            progress.next_index += entries.len() as u64;
            let prev_log_term = self.log.term_at(prev_log_index).unwrap_or(0);
            let leader_commit = self.commit_index;
            Body::AppendEntries(AppendEntries {
                prev_log_index,
                prev_log_term,
                entries,
                leader_commit,
                heartbeat_round,
            })
        } else {
            let snapshot = self.log.snapshot.clone();
            progress.next_index = snapshot.index + 1;
            Body::InstallSnapshot(InstallSnapshot { snapshot, heartbeat_round })
        };
        let message = self.build_message(peer, self.hard_state.term, body);
        let hard_state_unsaved = self.output.record.hard_state.is_some();
        let queue = if hard_state_unsaved {
            &mut self.output.send_after_sync
        } else {
            &mut self.output.send_before_sync
        };
        queue.push(message);
    }

    pub(super) fn on_append_entries_reply(
        &mut self,
        from: Peer,
        term: u64,
        reply: AppendEntriesReply,
    ) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        if term < self.hard_state.term {
            return;
        }
        progress.last_heard_at = self.now;
        progress.acked_round = progress.acked_round.max(reply.heartbeat_round);
        if reply.success && reply.match_index > progress.match_index {
            progress.match_index = reply.match_index;
            progress.last_progress_at = self.now;
        }
        if reply.success {
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else {
            progress.next_index =
                progress.next_index.min(reply.match_index + 1).max(progress.match_index + 1);
        }
        self.advance_commit_index();
        self.confirm_reads();
    }

    /// Commits the entries that are durable on a quorum.
    pub(super) fn advance_commit_index(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let quorum_index = highest_reached_by_quorum(&self.membership, |peer| {
            if *peer == self.me {
                self.durable_index
            } else {
                leader.progress.get(peer).map_or(0, |progress| progress.match_index)
            }
        });
        if quorum_index <= self.commit_index
            || self.log.term_at(quorum_index) != Some(self.hard_state.term)
        {
            return;
        }
        self.commit_index = quorum_index;
        self.apply_committed();
        if !self.membership.contains(&self.me) && self.membership_index <= self.commit_index {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Completes the reads that a quorum has confirmed.
    fn confirm_reads(&mut self) {
        let may_serve_reads = self.has_committed_in_current_term();
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let acked_round = leader.quorum_acked_round(&self.me, &self.membership);
        while leader.round_sent_at.len() > 1
            && leader.round_sent_at.front().is_some_and(|(round, _)| *round < acked_round)
        {
            leader.round_sent_at.pop_front();
        }
        if !may_serve_reads {
            return;
        }
        let reads = std::mem::take(&mut leader.pending_reads);
        let (ready, waiting) = reads.into_iter().partition(|read| read.round <= acked_round);
        leader.pending_reads = waiting;
        let ready: Vec<PendingRead> = ready;
        let index = self.commit_index;
        for PendingRead { token, requester, .. } in ready {
            match requester {
                None => self.output.confirmed_reads.push((token, index)),
                Some(peer) => self
                    .send_after_sync(&peer, Body::ReadIndexReply(ReadIndexReply { token, index })),
            }
        }
    }
}
