use std::{collections::BTreeMap, time::Instant};

use super::{Body, Leave, Peer, Raft, raft::RoleState};

/// The requests of members to be removed, and the state of this replica's own request.
#[derive(Debug, Default)]
pub(super) struct Departure {
    /// When this replica repeats its request; none if it stays.
    request_due_at: Option<Instant>,
    /// Whether a leader confirmed that this replica has been removed.
    is_confirmed: bool,
    /// When each member last requested to be removed.
    requested_at: BTreeMap<Peer, Instant>,
}

impl Departure {
    /// Whether this replica requests to be removed.
    pub fn is_requested(&self) -> bool {
        self.request_due_at.is_some()
    }
}

impl Raft {
    /// Requests that the group remove this replica, until it is removed. From now on the replica
    /// does not announce itself and does not stand for election.
    ///
    /// [`Status::has_left`](super::Status::has_left) tells when it is removed, and
    /// [`Status::leaving`](super::Status::leaving) of the leader names the members that ask.
    pub fn leave(&mut self, now: Instant) {
        self.now = self.now.max(now);
        self.departure.request_due_at.get_or_insert(self.now);
        self.request_removal_if_due();
    }

    pub(super) fn request_removal_if_due(&mut self) {
        let due = self.departure.request_due_at.is_some_and(|due_at| self.now >= due_at);
        if !due || self.has_left() {
            return;
        }
        self.departure.request_due_at = Some(self.now + self.settings.heartbeat_interval);
        if matches!(self.role_state, RoleState::Leader(_)) {
            self.departure.requested_at.insert(self.me.clone(), self.now);
            return;
        }
        // A removed replica is told of no new leader.
        let recipients: Vec<Peer> = match &self.leader {
            Some(leader) => vec![leader.clone()],
            None => self.membership.peers().filter(|peer| *peer != self.me).collect(),
        };
        for peer in recipients {
            self.send_after_sync(&peer, Body::Leave(Leave { removed: false }));
        }
    }

    pub(super) fn on_leave(&mut self, from: Peer, leave: Leave) {
        if leave.removed {
            self.departure.is_confirmed |= self.departure.is_requested();
            return;
        }
        if !matches!(self.role_state, RoleState::Leader(_)) {
            return;
        }
        if self.membership.contains(&from) {
            self.departure.requested_at.insert(from, self.now);
        } else if self.membership_index <= self.commit_index {
            self.send_after_sync(&from, Body::Leave(Leave { removed: true }));
        }
    }

    /// Whether this replica requested to be removed and is no member any more.
    pub(super) fn has_left(&self) -> bool {
        let is_removed =
            !self.membership.contains(&self.me) && self.membership_index <= self.commit_index;
        self.departure.is_requested()
            && (self.departure.is_confirmed || is_removed || self.is_empty_replica())
    }

    /// The members that requested to be removed within the last election timeout. They repeat the
    /// request at each heartbeat interval.
    pub(super) fn leaving_members(&self) -> Vec<Peer> {
        let max_age = self.settings.election_timeout;
        let is_fresh = |at: &Instant| self.now.saturating_duration_since(*at) < max_age;
        let requests = self.departure.requested_at.iter().filter(|(_, at)| is_fresh(at));
        requests
            .map(|(peer, _)| peer.clone())
            .filter(|peer| self.membership.contains(peer))
            .collect()
    }
}
