use super::{AppendEntries, AppendEntriesReply, Body, Entry, InstallSnapshot, Peer, Raft, Record};

impl Raft {
    pub(super) fn on_append_entries(&mut self, from: Peer, term: u64, append: AppendEntries) {
        if !self.accept_leader(&from, term) {
            return;
        }
        let AppendEntries {
            prev_log_index,
            prev_log_term,
            entries,
            leader_commit,
            heartbeat_round,
        } = append;
        let last_new_index = prev_log_index + entries.len() as u64;
        let prev_entry_matches = prev_log_index <= self.commit_index
            || self.log.term_at(prev_log_index) == Some(prev_log_term);
        if !prev_entry_matches {
            let match_index = self.last_possible_match(prev_log_index);
            self.send_after_sync(
                &from,
                Body::AppendEntriesReply(AppendEntriesReply {
                    success: false,
                    match_index,
                    heartbeat_round,
                }),
            );
            return;
        }
        for entry in entries {
            self.append_unless_present(entry);
        }
        let last_matching_index =
            last_new_index.max(self.commit_index.min(self.log.last_index_and_term().0));
        self.commit_index = self.commit_index.max(leader_commit.min(last_matching_index));
        self.apply_committed();
        self.send_after_sync(
            &from,
            Body::AppendEntriesReply(AppendEntriesReply {
                success: true,
                match_index: last_matching_index,
                heartbeat_round,
            }),
        );
    }

    pub(super) fn on_install_snapshot(&mut self, from: Peer, term: u64, install: InstallSnapshot) {
        if !self.accept_leader(&from, term) {
            return;
        }
        let InstallSnapshot { snapshot, heartbeat_round } = install;
        let index = snapshot.index;
        if index > self.commit_index && self.log.term_at(index) != Some(snapshot.term) {
            self.log.install_snapshot(snapshot.clone());
            self.commit_index = index;
            self.last_applied = index;
            self.reload_membership();
            self.output.apply.clear();
            self.output.restore = Some(snapshot.clone());
            self.output
                .record
                .merge_later(Record { snapshot: Some(snapshot), ..Record::default() });
        } else {
            self.commit_index = self.commit_index.max(index);
            self.apply_committed();
        }
        let match_index = index.max(self.commit_index);
        self.send_after_sync(
            &from,
            Body::AppendEntriesReply(AppendEntriesReply {
                success: true,
                match_index,
                heartbeat_round,
            }),
        );
    }

    /// Follows `from` as the leader of `term`. If the term is stale, rejects it and returns false.
    fn accept_leader(&mut self, from: &Peer, term: u64) -> bool {
        if term < self.hard_state.term {
            let rejection =
                AppendEntriesReply { success: false, match_index: 0, heartbeat_round: 0 };
            self.send_after_sync(from, Body::AppendEntriesReply(rejection));
            return false;
        }
        self.become_follower(term, Some(from.clone()));
        self.leader_heard_at = Some(self.now);
        self.reset_election_timer();
        true
    }

    fn append_unless_present(&mut self, entry: Entry) {
        if entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        self.append_to_log(entry);
    }

    /// Writes `entry` to the log in memory and to the record that becomes durable next, in place
    /// of any entry at its index and all later ones.
    pub(super) fn append_to_log(&mut self, entry: Entry) {
        self.log.truncate_and_push(entry.clone());
        self.durable_index = self.durable_index.min(entry.index - 1);
        self.output.record.merge_later(Record { entries: vec![entry], ..Record::default() });
        self.reload_membership();
    }

    /// The last index below `prev_log_index` at which this log may match the leader's: it skips
    /// the whole term of the conflicting entry.
    fn last_possible_match(&self, prev_log_index: u64) -> u64 {
        let mut index = prev_log_index.saturating_sub(1).min(self.log.last_index_and_term().0);
        let conflict_term = self.log.term_at(prev_log_index);
        while index > self.commit_index
            && conflict_term.is_some()
            && self.log.term_at(index) == conflict_term
        {
            index -= 1;
        }
        index
    }
}
