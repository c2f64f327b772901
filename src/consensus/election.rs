use std::collections::BTreeSet;

use super::{Body, HardState, Peer, Raft, RequestVote, RequestVoteReply, raft::State};

impl Raft {
    /// Asks whether votes would be granted, without a new term.
    pub(super) fn campaign(&mut self) {
        self.put_off_election();
        if !self.membership.votes(&self.me) {
            return;
        }
        self.leader = None;
        self.ask_votes(true);
    }

    fn ask_votes(&mut self, pre_vote: bool) {
        self.state = State::Candidate { pre_vote, votes: BTreeSet::from([self.me.clone()]) };
        if !pre_vote {
            self.hard = HardState {
                term: self.hard.term + 1,
                voted_for: self.me.vm.to_string(),
                voted_for_disk_id: self.me.disk_id,
                group_id: self.hard.group_id,
            };
            self.save_hard();
        }
        let (last_log_index, last_log_term) = self.tail.last();
        let ask = Body::RequestVote(RequestVote { pre_vote, last_log_index, last_log_term });
        let term = self.hard.term + u64::from(pre_vote);
        for peer in self.membership.voters().filter(|peer| *peer != self.me) {
            let message = self.message(&peer, term, ask.clone());
            self.out.send_after_sync.push(message);
        }
        self.count_votes();
    }

    pub(super) fn on_vote_ask(&mut self, from: Peer, term: u64, ask: RequestVote) {
        if self.hears_leader() || matches!(self.state, State::Leader(_)) {
            return;
        }
        if ask.pre_vote {
            let granted = term > self.hard.term && self.is_current(&ask);
            self.reply_vote(&from, if granted { term } else { self.hard.term }, true, granted);
            return;
        }
        if term > self.hard.term {
            self.follow(term, None);
        }
        let free = self.hard.voted_for.is_empty() || self.voted_for(&from);
        let granted = term == self.hard.term && free && self.is_current(&ask);
        if granted {
            self.hard.voted_for = from.vm.to_string();
            self.hard.voted_for_disk_id = from.disk_id;
            self.save_hard();
            self.put_off_election();
        }
        self.reply_vote(&from, self.hard.term, false, granted);
    }

    fn reply_vote(&mut self, to: &Peer, term: u64, pre_vote: bool, granted: bool) {
        let message =
            self.message(to, term, Body::RequestVoteReply(RequestVoteReply { pre_vote, granted }));
        self.out.send_after_sync.push(message);
    }

    fn voted_for(&self, peer: &Peer) -> bool {
        self.hard.voted_for == peer.vm.as_str() && self.hard.voted_for_disk_id == peer.disk_id
    }

    fn is_current(&self, ask: &RequestVote) -> bool {
        let (index, term) = self.tail.last();
        (ask.last_log_term, ask.last_log_index) >= (term, index)
    }

    pub(super) fn on_vote_reply(&mut self, from: Peer, term: u64, reply: RequestVoteReply) {
        if !reply.granted {
            if term > self.hard.term {
                self.follow(term, None);
            }
            return;
        }
        let State::Candidate { pre_vote, votes } = &mut self.state else { return };
        if *pre_vote == reply.pre_vote && term == self.hard.term + u64::from(reply.pre_vote) {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts the votes of voters with the disk that the membership names.
    fn count_votes(&mut self) {
        let State::Candidate { pre_vote, votes } = &self.state else { return };
        let pre_vote = *pre_vote;
        let counted = self.membership.voters().filter(|voter| votes.contains(voter)).count();
        if counted < self.membership.quorum() {
            return;
        }
        if pre_vote {
            self.ask_votes(false);
        } else {
            self.take_lead();
        }
    }
}
