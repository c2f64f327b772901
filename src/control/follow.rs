use std::{collections::HashMap, sync::Arc, time::Duration};

use prost::{Message, bytes::Bytes};
use smol::{Timer, channel::Sender, future::or};

use super::{Control, shell::lock};
use crate::{
    event,
    registry::{Ask, Cold, Entry, Machine, News, Row, Seen, State},
    replica::Group,
};

/// A replica that heard no leader for longer may miss changes: two heartbeats and the way.
const FRESH: Duration = Duration::from_millis(1000);
/// A target that missed two announcements, with what replicas tell each other once a second.
const MISSED: u32 = 3;
/// The most that a replica waits for something new.
const MOST_WAIT: Duration = Duration::from_secs(2);

impl Control {
    /// Answers a VM that asks what changed, as soon as something did.
    pub(super) async fn follow(self: Arc<Self>, payload: Bytes, reply: Sender<Bytes>) {
        let ask = match Ask::decode(payload) {
            Ok(ask) => ask,
            Err(cause) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]);
                return;
            }
        };
        lock(&self.followers).insert(ask.entry.vm.clone());
        self.hear_entry(&ask.entry);
        let wait = Duration::from_millis(ask.wait_ms).min(MOST_WAIT);
        let news = match self.group() {
            Some(group) => {
                self.wait_for_news(&group, &ask, wait).await;
                self.news(&group, &ask)
            }
            None => News::default(),
        };
        let _ = reply.send(Bytes::from(news.encode_to_vec())).await;
    }

    async fn wait_for_news(&self, group: &Group<Machine>, ask: &Ask, wait: Duration) {
        let known = |this: &Self| this.roster().fingerprint(this.clock.now()) == ask.known;
        let change = group.read(|machine| (machine.index() <= ask.since).then(|| machine.listen()));
        let Some(change) = change.filter(|_| known(self)) else { return };
        let other = self.vms_changed.listen();
        or(or(change, other), async {
            Timer::after(wait).await;
        })
        .await;
    }

    /// Takes what a VM says of itself; others are told at once where it is new or changed.
    fn hear_entry(&self, entry: &Entry) {
        let now = self.clock.now();
        let mut roster = self.roster();
        let known = roster.fingerprint(now);
        roster.hear(entry.clone(), now);
        let changed = roster.fingerprint(now) != known;
        drop(roster);
        if changed {
            self.vms_changed.notify();
        }
    }

    fn news(&self, group: &Group<Machine>, ask: &Ask) -> News {
        let now = self.clock.now();
        let mut news = group.read(|machine| News::since(machine, ask.since));
        let rows: Vec<Row> = group.read(|machine| {
            let cold = machine.targets().filter(|row| row.cold_ms > 0);
            cold.filter(|row| row.state() == State::Ready).cloned().collect()
        });
        let cold = rows.into_iter().map(|row| {
            let left_ms = self.cold_left(&row);
            Cold { target: row.target, left_ms }
        });
        news.cold = cold.filter(|cold| cold.left_ms > 0).collect();
        let status = group.status().consensus;
        news.fresh = status.leaderless.is_some_and(|lasts| lasts < FRESH);
        let limit = self.settings.announce * MISSED;
        let roster = self.roster();
        let grown = now.saturating_duration_since(self.started) > limit;
        let silent = |row: &&Row| {
            let heard = roster.heard(&row.target);
            heard.map_or(grown, |word| now.saturating_duration_since(word.at) > limit)
        };
        news.silent = group.read(|machine| {
            let ready = machine.targets().filter(|row| row.state() == State::Ready);
            ready.filter(silent).map(|row| row.target.clone()).collect()
        });
        news.loads = roster.loads(now);
        news.known = roster.fingerprint(now);
        if news.known != ask.known {
            news.vms = roster
                .live(now)
                .map(|(entry, _)| Seen { entry: entry.clone(), age_ms: 0 })
                .collect();
        }
        news
    }

    /// Milliseconds that are left of a row's cold time.
    pub(super) fn cold_left(&self, row: &Row) -> u64 {
        let now = self.clock.now();
        let mut applied = lock(&self.applied);
        if applied.len() > 4096 {
            *applied = HashMap::new();
        }
        let at = *applied.entry((row.target.clone(), row.changed)).or_insert(now);
        drop(applied);
        // A replica that has just started does not know how old the row is; the target does.
        if let Some(word) = self.roster().heard(&row.target).filter(|word| word.at > at) {
            let left = word.cold_until.saturating_duration_since(now);
            return u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        }
        let passed = u64::try_from(now.saturating_duration_since(at).as_millis());
        row.cold_ms.saturating_sub(passed.unwrap_or(u64::MAX))
    }
}
