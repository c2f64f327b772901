use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use prost::{Message, bytes::Bytes};

use super::{
    AppendEntries, AppendEntriesReply, Body, Entry, EntryKind, InstallSnapshot, LastContact,
    Membership, MembershipChange, Peer, ProposeError, Raft, ReadIndexReply, ReadIndexRequest,
    raft::State,
};
use crate::id;

/// Batches on the way to one follower.
const WINDOW: u64 = 8;

/// A number that grows with each leader, and how long no other leader can exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderLease {
    /// The number: the leader's term.
    pub term: u64,
    /// The end of the lease that a quorum proved.
    pub expires_at: Instant,
}

#[derive(Debug)]
pub(super) struct Lead {
    progress: BTreeMap<Peer, Progress>,
    round: u64,
    sent: VecDeque<(u64, Instant)>,
    beat_at: Instant,
    beat_wanted: bool,
    reads: Vec<Read>,
}

#[derive(Debug)]
struct Progress {
    matched: u64,
    next: u64,
    round: u64,
    heard: Instant,
    moved: Instant,
}

#[derive(Debug)]
struct Read {
    round: u64,
    token: u64,
    asker: Option<Peer>,
}

impl Lead {
    pub fn local_reads(&self) -> impl Iterator<Item = u64> {
        self.reads.iter().filter(|read| read.asker.is_none()).map(|read| read.token)
    }

    /// How long each other member has not been heard at `now`.
    pub fn last_contacts(&self, now: Instant) -> Vec<LastContact> {
        let silence = |(peer, progress): (&Peer, &Progress)| LastContact {
            peer: peer.clone(),
            elapsed: now.saturating_duration_since(progress.heard),
        };
        self.progress.iter().map(silence).collect()
    }

    fn acknowledged(&self, me: &Peer, membership: &Membership) -> u64 {
        highest(membership, |peer| {
            if peer == me { self.round } else { self.progress.get(peer).map_or(0, |p| p.round) }
        })
    }
}

/// The highest value that a quorum of the voters has reached.
fn highest(membership: &Membership, value: impl Fn(&Peer) -> u64) -> u64 {
    let mut values: Vec<_> = membership.voters().map(|peer| value(&peer)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(membership.quorum() - 1).copied().unwrap_or(0)
}

impl Raft {
    pub(super) fn take_lead(&mut self) {
        self.state = State::Leader(Lead {
            progress: BTreeMap::new(),
            round: 0,
            sent: VecDeque::new(),
            beat_at: self.now,
            beat_wanted: true,
            reads: Vec::new(),
        });
        self.leader = Some(self.me.clone());
        self.track_members();
        self.append(EntryKind::Empty, Bytes::new());
    }

    /// Proposes a command; it takes place once an entry of this index and term is applied.
    ///
    /// # Errors
    ///
    /// Where this replica does not lead; the command did not take place.
    pub fn propose(&mut self, now: Instant, command: Bytes) -> Result<(u64, u64), ProposeError> {
        self.now = self.now.max(now);
        self.must_lead()?;
        Ok(self.append(EntryKind::Command, command))
    }

    /// Proposes a change of the membership.
    ///
    /// # Errors
    ///
    /// Where the change was not taken; it did not take place.
    pub fn propose_change(
        &mut self,
        now: Instant,
        change: MembershipChange,
    ) -> Result<(u64, u64), ProposeError> {
        self.now = self.now.max(now);
        self.must_lead()?;
        if !self.may_change() {
            return Err(ProposeError::Busy);
        }
        let next = match change {
            MembershipChange::Admit(vm) => self.admitted(vm)?,
            MembershipChange::Remove(vm) => self.removed(vm)?,
        };
        if next.voters().next().is_none() {
            return Err(ProposeError::LastVoter);
        }
        Ok(self.append_membership(&next))
    }

    fn admitted(&self, vm: id::Vm) -> Result<Membership, ProposeError> {
        let disk_id = self.announced.get(&vm).copied();
        let peer = match (disk_id, self.membership.of_vm(&vm)) {
            (Some(disk_id), _) => Peer { vm, disk_id },
            (None, Some(_)) => return Err(ProposeError::Member(vm)),
            (None, None) => return Err(ProposeError::Unannounced(vm)),
        };
        if self.membership.has(&peer) {
            return Err(ProposeError::Member(peer.vm));
        }
        Ok(self.membership.with(&peer, false))
    }

    fn removed(&self, vm: id::Vm) -> Result<Membership, ProposeError> {
        if self.membership.of_vm(&vm).is_none() {
            return Err(ProposeError::NoMember(vm));
        }
        Ok(self.membership.without(&vm))
    }

    /// Asks for a read point; the answer comes in [`Output`](super::Output) under `token`.
    pub fn request_read_index(&mut self, now: Instant, token: u64) {
        self.now = self.now.max(now);
        if matches!(self.state, State::Leader(_)) {
            self.register_read(token, None);
        } else if let Some(leader) = self.leader.clone() {
            self.send_late(&leader, Body::ReadIndexRequest(ReadIndexRequest { token }));
        } else {
            self.out.failed_reads.push(token);
        }
    }

    pub(super) fn on_read_ask(&mut self, from: Peer, ask: ReadIndexRequest) {
        self.register_read(ask.token, Some(from));
    }

    fn register_read(&mut self, token: u64, asker: Option<Peer>) {
        let State::Leader(lead) = &mut self.state else { return };
        lead.reads.push(Read { round: lead.round + 1, token, asker });
        lead.beat_wanted = true;
    }

    /// The fencing number and the lease, where a quorum has proved one.
    pub fn leader_lease(&mut self, now: Instant) -> Option<LeaderLease> {
        self.now = self.now.max(now);
        let State::Leader(lead) = &self.state else { return None };
        let round = lead.acknowledged(&self.me, &self.membership);
        let (_, sent) = lead.sent.iter().find(|(sent, _)| *sent == round)?;
        let expires_at =
            *sent + self.settings.election_timeout.saturating_sub(self.settings.clock_drift_margin);
        (self.leads_for_sure() && expires_at > self.now)
            .then_some(LeaderLease { term: self.hard.term, expires_at })
    }

    fn must_lead(&self) -> Result<(), ProposeError> {
        match &self.state {
            State::Leader(_) => Ok(()),
            _ => Err(ProposeError::NotLeader(self.leader.as_ref().map(|leader| leader.vm.clone()))),
        }
    }

    /// Whether the leader has committed an entry of its own term.
    fn leads_for_sure(&self) -> bool {
        self.tail.term(self.commit) == Some(self.hard.term)
    }

    fn may_change(&self) -> bool {
        self.leads_for_sure() && self.membership_index <= self.commit
    }

    fn append(&mut self, kind: EntryKind, payload: Bytes) -> (u64, u64) {
        let (index, term) = (self.tail.last().0 + 1, self.hard.term);
        self.push(Entry { index, term, kind: kind.into(), payload });
        (index, term)
    }

    fn append_membership(&mut self, next: &Membership) -> (u64, u64) {
        let place = self.append(EntryKind::Membership, Bytes::from(next.encode_to_vec()));
        self.track_members();
        for peer in next.peers() {
            self.announced.remove(&peer.vm);
        }
        place
    }

    fn track_members(&mut self) {
        let State::Leader(lead) = &mut self.state else { return };
        let fresh = Progress {
            matched: 0,
            next: self.tail.last().0 + 1,
            round: 0,
            heard: self.now,
            moved: self.now,
        };
        let mut former = std::mem::take(&mut lead.progress);
        for peer in self.membership.peers().filter(|peer| *peer != self.me) {
            let progress = former.remove(&peer).unwrap_or(Progress { ..fresh });
            lead.progress.insert(peer, progress);
        }
    }

    /// What a leader does as time passes.
    pub(super) fn lead(&mut self) {
        let (now, election) = (self.now, self.settings.election_timeout);
        let State::Leader(lead) = &mut self.state else { return };
        let hears = |peer: &Peer| lead.progress.get(peer).is_some_and(|p| now < p.heard + election);
        let heard = self.membership.voters().filter(|peer| *peer == self.me || hears(peer)).count();
        if heard < self.membership.quorum() {
            self.follow(self.hard.term, None);
            return;
        }
        if now >= lead.beat_at {
            lead.beat_wanted = true;
        }
        for progress in lead.progress.values_mut() {
            if now >= progress.moved + election {
                progress.next = progress.matched + 1;
                progress.moved = now;
            }
        }
        self.promote();
    }

    /// Promotes a learner that has caught up.
    fn promote(&mut self) {
        let State::Leader(lead) = &self.state else { return };
        if !self.may_change() {
            return;
        }
        let learner = lead.progress.iter().find(|(peer, progress)| {
            !self.membership.votes(peer) && progress.matched >= self.commit
        });
        if let Some((peer, _)) = learner {
            let next = self.membership.with(peer, true);
            self.append_membership(&next);
        }
    }

    /// Sends what proposals, reads and time made due.
    pub(super) fn flush(&mut self) {
        let State::Leader(lead) = &mut self.state else { return };
        let beat = std::mem::take(&mut lead.beat_wanted);
        if beat {
            lead.round += 1;
            lead.sent.push_back((lead.round, self.now));
            lead.beat_at = self.now + self.settings.heartbeat_interval;
        }
        let peers: Vec<_> = lead.progress.keys().cloned().collect();
        for peer in peers {
            let sent = self.send_entries(&peer);
            if beat && !sent {
                self.send_batch(&peer, 0);
            }
        }
        self.confirm();
    }

    fn send_entries(&mut self, peer: &Peer) -> bool {
        let mut sent = false;
        while self.has_room(peer) {
            self.send_batch(peer, self.settings.max_batch_entries);
            sent = true;
        }
        sent
    }

    fn has_room(&self, peer: &Peer) -> bool {
        let State::Leader(lead) = &self.state else { return false };
        let window = WINDOW * self.settings.max_batch_entries as u64;
        lead.progress.get(peer).is_some_and(|progress| {
            progress.next <= self.tail.last().0 && progress.next - progress.matched <= window
        })
    }

    fn send_batch(&mut self, peer: &Peer, most: usize) {
        let State::Leader(lead) = &mut self.state else { return };
        let Some(progress) = lead.progress.get_mut(peer) else { return };
        let round = lead.round;
        let body = if progress.next > self.tail.base() {
            let entries = self.tail.range(progress.next, most, self.settings.max_batch_bytes);
            let prev_log_index = progress.next - 1;
            progress.next += entries.len() as u64;
            let prev_log_term = self.tail.term(prev_log_index).unwrap_or(0);
            let leader_commit = self.commit;
            Body::AppendEntries(AppendEntries {
                prev_log_index,
                prev_log_term,
                entries,
                leader_commit,
                round,
            })
        } else {
            let snapshot = self.tail.snapshot.clone();
            progress.next = snapshot.index + 1;
            Body::InstallSnapshot(InstallSnapshot { snapshot, round })
        };
        let message = self.message(peer, self.hard.term, body);
        let unsaved = self.out.record.hard_state.is_some();
        let queue =
            if unsaved { &mut self.out.send_after_sync } else { &mut self.out.send_before_sync };
        queue.push(message);
    }

    pub(super) fn on_appended(&mut self, from: Peer, term: u64, appended: AppendEntriesReply) {
        let State::Leader(lead) = &mut self.state else { return };
        let Some(progress) = lead.progress.get_mut(&from) else { return };
        if term > self.hard.term {
            self.follow(term, None);
            return;
        }
        if term < self.hard.term {
            return;
        }
        progress.heard = self.now;
        progress.round = progress.round.max(appended.round);
        if appended.success && appended.match_index > progress.matched {
            progress.matched = appended.match_index;
            progress.moved = self.now;
        }
        if appended.success {
            progress.next = progress.next.max(progress.matched + 1);
        } else {
            progress.next = progress.next.min(appended.match_index + 1).max(progress.matched + 1);
        }
        self.advance();
        self.confirm();
    }

    /// Commits what a quorum holds durably.
    pub(super) fn advance(&mut self) {
        let State::Leader(lead) = &self.state else { return };
        let held = highest(&self.membership, |peer| {
            if *peer == self.me {
                self.durable
            } else {
                lead.progress.get(peer).map_or(0, |progress| progress.matched)
            }
        });
        if held <= self.commit || self.tail.term(held) != Some(self.hard.term) {
            return;
        }
        self.commit = held;
        self.apply();
        if !self.membership.has(&self.me) && self.membership_index <= self.commit {
            self.follow(self.hard.term, None);
        }
    }

    /// Answers reads that a quorum confirmed.
    fn confirm(&mut self) {
        let sure = self.leads_for_sure();
        let State::Leader(lead) = &mut self.state else { return };
        let round = lead.acknowledged(&self.me, &self.membership);
        while lead.sent.len() > 1 && lead.sent.front().is_some_and(|(sent, _)| *sent < round) {
            lead.sent.pop_front();
        }
        if !sure {
            return;
        }
        let reads = std::mem::take(&mut lead.reads);
        let (ready, waiting) = reads.into_iter().partition(|read| read.round <= round);
        lead.reads = waiting;
        let ready: Vec<Read> = ready;
        let index = self.commit;
        for Read { token, asker, .. } in ready {
            match asker {
                None => self.out.confirmed_reads.push((token, index)),
                Some(peer) => {
                    self.send_late(&peer, Body::ReadIndexReply(ReadIndexReply { token, index }))
                }
            }
        }
    }
}
