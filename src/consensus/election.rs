use std::collections::BTreeSet;

use super::{Body, HardState, Peer, Raft, RequestVote, RequestVoteReply, raft::RoleState};

impl Raft {
    /// Starts a pre-vote: asks whether votes would be granted, without a new term.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_timer();
        if !self.membership.is_voter(&self.me) || self.departure.is_requested() {
            return;
        }
        self.leader = None;
        self.request_votes(true);
    }

    fn request_votes(&mut self, pre_vote: bool) {
        self.role_state =
            RoleState::Candidate { pre_vote, votes: BTreeSet::from([self.me.clone()]) };
        if !pre_vote {
            self.hard_state = HardState {
                term: self.hard_state.term + 1,
                voted_for: self.me.vm.to_string(),
                voted_for_disk_id: self.me.disk_id,
                group_id: self.hard_state.group_id,
            };
            self.record_hard_state();
        }
        let (last_log_index, last_log_term) = self.log.last_index_and_term();
        let request = Body::RequestVote(RequestVote { pre_vote, last_log_index, last_log_term });
        let term = self.hard_state.term + u64::from(pre_vote);
        for peer in self.membership.voters().filter(|peer| *peer != self.me) {
            let message = self.build_message(&peer, term, request.clone());
            self.output.send_after_sync.push(message);
        }
        self.count_votes();
    }

    pub(super) fn on_request_vote(&mut self, from: Peer, term: u64, request: RequestVote) {
        if self.heard_leader_recently() || matches!(self.role_state, RoleState::Leader(_)) {
            return;
        }
        if request.pre_vote {
            let granted = term > self.hard_state.term && self.is_candidate_log_up_to_date(&request);
            self.reply_to_request_vote(
                &from,
                if granted { term } else { self.hard_state.term },
                true,
                granted,
            );
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let vote_is_free = self.hard_state.voted_for.is_empty() || self.has_voted_for(&from);
        let granted = term == self.hard_state.term
            && vote_is_free
            && self.is_candidate_log_up_to_date(&request);
        if granted {
            self.hard_state.voted_for = from.vm.to_string();
            self.hard_state.voted_for_disk_id = from.disk_id;
            self.record_hard_state();
            self.reset_election_timer();
        }
        self.reply_to_request_vote(&from, self.hard_state.term, false, granted);
    }

    fn reply_to_request_vote(&mut self, to: &Peer, term: u64, pre_vote: bool, granted: bool) {
        let message = self.build_message(
            to,
            term,
            Body::RequestVoteReply(RequestVoteReply { pre_vote, granted }),
        );
        self.output.send_after_sync.push(message);
    }

    fn has_voted_for(&self, peer: &Peer) -> bool {
        self.hard_state.voted_for == peer.vm.as_str()
            && self.hard_state.voted_for_disk_id == peer.disk_id
    }

    fn is_candidate_log_up_to_date(&self, request: &RequestVote) -> bool {
        let (index, term) = self.log.last_index_and_term();
        (request.last_log_term, request.last_log_index) >= (term, index)
    }

    pub(super) fn on_request_vote_reply(&mut self, from: Peer, term: u64, reply: RequestVoteReply) {
        if !reply.granted {
            if term > self.hard_state.term {
                self.become_follower(term, None);
            }
            return;
        }
        let RoleState::Candidate { pre_vote, votes } = &mut self.role_state else { return };
        if *pre_vote == reply.pre_vote && term == self.hard_state.term + u64::from(reply.pre_vote) {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts the votes of voters whose disk ID is the one in the membership, and starts the
    /// election or becomes leader if they are a quorum.
    fn count_votes(&mut self) {
        let RoleState::Candidate { pre_vote, votes } = &self.role_state else { return };
        let pre_vote = *pre_vote;
        let granted_count = self.membership.voters().filter(|voter| votes.contains(voter)).count();
        if granted_count < self.membership.quorum() {
            return;
        }
        if pre_vote {
            self.request_votes(false);
        } else {
            self.become_leader();
        }
    }
}
