use super::{AppendEntries, AppendEntriesReply, Body, Entry, InstallSnapshot, Peer, Raft, Record};

impl Raft {
    pub(super) fn on_append(&mut self, from: Peer, term: u64, append: AppendEntries) {
        if !self.hears(&from, term) {
            return;
        }
        let AppendEntries { prev_log_index, prev_log_term, entries, leader_commit, round } = append;
        let end = prev_log_index + entries.len() as u64;
        let fits =
            prev_log_index <= self.commit || self.tail.term(prev_log_index) == Some(prev_log_term);
        if !fits {
            let match_index = self.last_before_conflict(prev_log_index);
            self.send_late(
                &from,
                Body::AppendEntriesReply(AppendEntriesReply { success: false, match_index, round }),
            );
            return;
        }
        for entry in entries {
            self.accept(entry);
        }
        let agreed = end.max(self.commit.min(self.tail.last().0));
        self.commit = self.commit.max(leader_commit.min(agreed));
        self.apply();
        self.send_late(
            &from,
            Body::AppendEntriesReply(AppendEntriesReply {
                success: true,
                match_index: agreed,
                round,
            }),
        );
    }

    pub(super) fn on_install(&mut self, from: Peer, term: u64, install: InstallSnapshot) {
        if !self.hears(&from, term) {
            return;
        }
        let InstallSnapshot { snapshot, round } = install;
        let index = snapshot.index;
        if index > self.commit && self.tail.term(index) != Some(snapshot.term) {
            self.tail.install(snapshot.clone());
            self.commit = index;
            self.applied = index;
            self.reload_membership();
            self.out.apply.clear();
            self.out.restore = Some(snapshot.clone());
            self.out.record.merge_later(Record { snapshot: Some(snapshot), ..Record::default() });
        } else {
            self.commit = self.commit.max(index);
            self.apply();
        }
        let match_index = index.max(self.commit);
        self.send_late(
            &from,
            Body::AppendEntriesReply(AppendEntriesReply { success: true, match_index, round }),
        );
    }

    /// Whether the message comes from the leader of the latest term.
    fn hears(&mut self, from: &Peer, term: u64) -> bool {
        if term < self.hard.term {
            let stale = AppendEntriesReply { success: false, match_index: 0, round: 0 };
            self.send_late(from, Body::AppendEntriesReply(stale));
            return false;
        }
        self.follow(term, Some(from.clone()));
        self.heard = Some(self.now);
        self.put_off_election();
        true
    }

    fn accept(&mut self, entry: Entry) {
        if entry.index <= self.commit || self.tail.term(entry.index) == Some(entry.term) {
            return;
        }
        self.push(entry);
    }

    /// Puts an entry at its place, in memory and into the record.
    pub(super) fn push(&mut self, entry: Entry) {
        self.tail.push(entry.clone());
        self.durable = self.durable.min(entry.index - 1);
        self.out.record.merge_later(Record { entries: vec![entry], ..Record::default() });
        self.reload_membership();
    }

    fn last_before_conflict(&self, previous: u64) -> u64 {
        let mut index = previous.saturating_sub(1).min(self.tail.last().0);
        let conflict = self.tail.term(previous);
        while index > self.commit && conflict.is_some() && self.tail.term(index) == conflict {
            index -= 1;
        }
        index
    }
}
