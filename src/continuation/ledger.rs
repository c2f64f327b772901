use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use super::{Batch, Finding, Key};
use crate::id;

/// Number of records that a [`Ledger`] holds; those that expire first are dropped first.
pub const MAX_RECORDS: usize = 1 << 16;

/// Longest time for which a record counts.
pub const MAX_TIME_LEFT: Duration = Duration::from_secs(3600);

/// Number of records in one [`Batch`].
const MAX_BATCH_RECORDS: usize = 8192;

/// Longest software version that is taken from a [`Batch`], in bytes.
const MAX_VERSION_BYTES: usize = 256;

/// The software versions of streams that may still be taken up.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: BTreeMap<Key, Record>,
    by_expiry: BTreeSet<(Instant, Key)>,
    /// Keys of records to send. Those whose record is gone are skipped.
    unsent: VecDeque<Key>,
}

#[derive(Clone, Debug)]
struct Record {
    finding: Finding,
    expires_at: Instant,
    unsent: bool,
}

impl Ledger {
    /// Records that a stream began or went on at `version` and that its caller may take it up for
    /// `time_left`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pomelogate::{continuation::{Finding, Key, Ledger}, id};
    ///
    /// let (now, key) = (Instant::now(), Key::of("chat.example", "/", b"7f3a"));
    /// let (v1, v2) = (id::SoftwareVersion::from("v1"), id::SoftwareVersion::from("v2"));
    /// let mut ledger = Ledger::default();
    /// ledger.record(key, &v1, Duration::from_secs(9), now);
    /// assert_eq!(ledger.find(key, now), Some(Finding::Version(v1)));
    /// ledger.record(key, &v2, Duration::from_secs(9), now);
    /// assert_eq!(ledger.find(key, now), Some(Finding::Conflicting));
    /// assert_eq!(ledger.find(key, now + Duration::from_secs(9)), None);
    /// ```
    pub fn record(
        &mut self,
        key: Key,
        version: &id::SoftwareVersion,
        time_left: Duration,
        now: Instant,
    ) {
        self.put(key, Finding::Version(version.clone()), time_left, now);
        self.queue(key);
    }

    /// The version of a stream, if a record of it has not expired.
    pub fn find(&self, key: Key, now: Instant) -> Option<Finding> {
        let record = self.records.get(&key)?;
        (record.expires_at > now).then(|| record.finding.clone())
    }

    /// Returns records that were not returned before, at most as many as fit into one message;
    /// `None` if there are none.
    pub fn take_unsent(&mut self, now: Instant) -> Option<Batch> {
        let mut batch = Batch::default();
        let mut indexes: BTreeMap<String, u32> = BTreeMap::new();
        while batch.keys.len() < MAX_BATCH_RECORDS
            && let Some(key) = self.unsent.pop_front()
        {
            let Some(record) = self.records.get_mut(&key) else { continue };
            if !std::mem::take(&mut record.unsent) || record.expires_at <= now {
                continue;
            }
            let version = match &record.finding {
                Finding::Version(version) => version.as_str(),
                Finding::Conflicting => "",
            };
            let index = match indexes.get(version) {
                Some(index) => *index,
                None => {
                    let index = u32::try_from(batch.versions.len()).unwrap_or(u32::MAX);
                    indexes.insert(version.to_owned(), index);
                    batch.versions.push(version.to_owned());
                    index
                }
            };
            let time_left_ms = record.expires_at.duration_since(now).as_millis();
            batch.keys.push(key.get());
            batch.version_indexes.push(index);
            batch.time_left_ms.push(u32::try_from(time_left_ms).unwrap_or(u32::MAX));
        }
        (!batch.keys.is_empty()).then_some(batch)
    }

    /// Makes the records of a batch that was not delivered unsent again.
    pub fn mark_unsent(&mut self, batch: Batch, now: Instant) {
        for key in batch.keys.into_iter().map(Key::from) {
            if self.find(key, now).is_some() {
                self.queue(key);
            }
        }
    }

    /// Makes all records unsent, for a replica that has none of them.
    pub fn mark_all_unsent(&mut self) {
        self.unsent = self.records.keys().copied().collect();
        self.records.values_mut().for_each(|record| record.unsent = true);
    }

    /// Adds the records of a batch from another VM. They do not become unsent here.
    pub fn merge(&mut self, batch: &Batch, now: Instant) {
        for (key, version, time_left_ms) in batch.records() {
            if version.len() > MAX_VERSION_BYTES || time_left_ms == 0 {
                continue;
            }
            let finding = match version {
                "" => Finding::Conflicting,
                version => Finding::Version(id::SoftwareVersion::from(version)),
            };
            let time_left = Duration::from_millis(time_left_ms.into());
            self.put(Key::from(key), finding, time_left, now);
        }
    }

    /// Number of records, with those that expired but were not removed yet.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn put(&mut self, key: Key, finding: Finding, time_left: Duration, now: Instant) {
        self.remove_expired(now);
        let expires_at = now + time_left.min(MAX_TIME_LEFT);
        let record = match self.records.remove(&key) {
            Some(known) => {
                self.by_expiry.remove(&(known.expires_at, key));
                let same = known.finding == finding;
                Record {
                    finding: if same { finding } else { Finding::Conflicting },
                    expires_at: known.expires_at.max(expires_at),
                    unsent: known.unsent,
                }
            }
            None => Record { finding, expires_at, unsent: false },
        };
        self.by_expiry.insert((record.expires_at, key));
        self.records.insert(key, record);
        if self.records.len() > MAX_RECORDS
            && let Some((_, key)) = self.by_expiry.pop_first()
        {
            self.records.remove(&key);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((expires_at, key)) = self.by_expiry.first().copied()
            && expires_at <= now
        {
            self.by_expiry.remove(&(expires_at, key));
            self.records.remove(&key);
        }
    }

    fn queue(&mut self, key: Key) {
        if let Some(record) = self.records.get_mut(&key)
            && !std::mem::replace(&mut record.unsent, true)
        {
            self.unsent.push_back(key);
        }
        // Keys whose records expired unsent remain in the queue.
        if self.unsent.len() > 2 * MAX_RECORDS {
            self.unsent.retain(|key| self.records.get(key).is_some_and(|record| record.unsent));
        }
    }
}
