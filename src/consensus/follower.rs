use super::{AppendEntries, AppendEntriesReply, Body, Entry, InstallSnapshot, Peer, Raft, Record};

impl Raft {
    pub(super) fn on_append(&mut self, from: Peer, term: u64, append: AppendEntries) {
        if !self.hears(&from, term) {
            return;
        }
        let AppendEntries { previous_index, previous_term, entries, commit, round } = append;
        let end = previous_index + entries.len() as u64;
        let fits =
            previous_index <= self.commit || self.tail.term(previous_index) == Some(previous_term);
        if !fits {
            let index = self.last_before_conflict(previous_index);
            self.send_late(
                &from,
                Body::AppendEntriesReply(AppendEntriesReply { agrees: false, index, round }),
            );
            return;
        }
        for entry in entries {
            self.accept(entry);
        }
        let agreed = end.max(self.commit.min(self.tail.last().0));
        self.commit = self.commit.max(commit.min(agreed));
        self.apply();
        self.send_late(
            &from,
            Body::AppendEntriesReply(AppendEntriesReply { agrees: true, index: agreed, round }),
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
            self.out.record.absorb(Record { snapshot: Some(snapshot), ..Record::default() });
        } else {
            self.commit = self.commit.max(index);
            self.apply();
        }
        let index = index.max(self.commit);
        self.send_late(
            &from,
            Body::AppendEntriesReply(AppendEntriesReply { agrees: true, index, round }),
        );
    }

    /// Whether the message comes from the leader of the latest term.
    fn hears(&mut self, from: &Peer, term: u64) -> bool {
        if term < self.hard.term {
            let stale = AppendEntriesReply { agrees: false, index: 0, round: 0 };
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
        self.out.record.absorb(Record { entries: vec![entry], ..Record::default() });
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
