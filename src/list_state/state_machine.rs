use std::collections::BTreeMap;

use prost::{Message, bytes::Bytes};
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

use super::{
    Accepted, Announce, Change, Command, Conflict, Fence, Forgotten, Gap, Incarnation, Invalid,
    Issued, Operation, Reply, Store, Subject, Verdict, Withdraw,
    reply_cache::{CachedReply, ReplyCache},
    store::Image as StoreImage,
    version_history::Standing,
};
use crate::{
    list::{Allowance, Kind, List, Plan, find_inconsistencies, join_entries},
    replica,
    stop::Scope,
};

/// The replicated machine of the group `lists`.
///
/// ```
/// use pomelogate::{
///     list::{Draft, Kind},
///     replica::StateMachine as _,
///     list_state::{Command, StateMachine, Reply, Verdict},
/// };
/// use prost::Message;
///
/// let draft = Draft { kind: Kind::Plans, version: 1, content: b"[]".to_vec() };
/// let command = Command::change(draft).encode_to_vec();
/// let mut machine = StateMachine::default();
/// let first = machine.apply(1, &command);
/// assert!(matches!(Reply::decode(first.clone())?.verdict, Some(Verdict::Accepted(_))));
/// assert_eq!(machine.apply(2, &command), first);
/// # Ok::<(), prost::DecodeError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    store: Store,
    fence: u64,
    incarnations: BTreeMap<String, u64>,
    receipts: ReplyCache,
}

#[derive(Clone, PartialEq, Message)]
struct Image {
    #[prost(message, required, tag = "1")]
    store: StoreImage,
    #[prost(uint64, tag = "2")]
    fence: u64,
    #[prost(btree_map = "string, uint64", tag = "3")]
    incarnations: BTreeMap<String, u64>,
    #[prost(message, repeated, tag = "4")]
    receipts: Vec<CachedReply>,
}

impl StateMachine {
    /// The lists and stops, to serve followers from.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The newest fencing number given out.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    fn decide(&mut self, command: &[u8]) -> Verdict {
        let operation = match Command::decode(command) {
            Ok(Command { operation: Some(operation) }) => operation,
            _ => return Verdict::invalid("the command cannot be read; upgrade the replicas first"),
        };
        match operation {
            Operation::Change(change) => self.change(&change),
            Operation::Announce(Announce { operation, scope }) => {
                self.once(&operation, command, |machine| machine.announce(&scope))
            }
            Operation::Withdraw(Withdraw { operation, scope }) => {
                self.once(&operation, command, |machine| machine.withdraw(&scope))
            }
            Operation::Fence(Fence { operation, .. }) => {
                self.once(&operation, command, Self::next_fence)
            }
            Operation::Incarnation(Incarnation { operation, vm }) => {
                self.once(&operation, command, |machine| machine.incarnation(vm))
            }
        }
    }

    fn once(
        &mut self,
        operation: &str,
        command: &[u8],
        decide: impl FnOnce(&mut Self) -> Verdict,
    ) -> Verdict {
        if operation.is_empty() {
            return Verdict::invalid("the operation has no identifier; give it one");
        }
        if let Some(first) = self.receipts.find(operation, command) {
            return first;
        }
        let verdict = decide(self);
        self.receipts.keep(operation, command, &verdict);
        verdict
    }

    fn change(&mut self, change: &Change) -> Verdict {
        let (subject, kind) = match Subject::try_from(change.subject) {
            Ok(Subject::Plans) => (Subject::Plans, Kind::Plans),
            Ok(Subject::Allowances) => (Subject::Allowances, Kind::Allowances),
            _ => return Verdict::invalid("the change names neither list"),
        };
        if !change.partial && Sha256::digest(&change.content)[..] != change.digest {
            return Verdict::invalid("the digest is not that of the content; send it again");
        }
        let version = change.version;
        let series = self.store.history(subject);
        match series.standing(version, &change.digest) {
            Standing::Same => Verdict::Accepted(Accepted { version }),
            Standing::Gap => Verdict::Gap(Gap { next: series.version() + 1 }),
            Standing::Forgotten => Verdict::Forgotten(Forgotten { oldest: series.oldest() }),
            Standing::Other(digest) => Verdict::Conflict(Conflict {
                version,
                digest,
                newest: series.version(),
                content: Bytes::from(series.content()),
            }),
            Standing::Next => self.next(subject, kind, change),
        }
    }

    fn next(&mut self, subject: Subject, kind: Kind, change: &Change) -> Verdict {
        let content = if change.partial {
            let series = self.store.history(subject);
            join_entries(series.edited(&change.changed, &change.removed).values())
        } else {
            change.content.to_vec()
        };
        if Sha256::digest(&content)[..] != change.digest {
            return Verdict::invalid("the digest is not that of the content; send it again");
        }
        let entries = match kind.canonical_entries(&content) {
            Ok(entries) => entries,
            Err(problem) => return Verdict::invalid(problem),
        };
        if join_entries(entries.values()) != content {
            return Verdict::invalid(
                "the content is not in canonical form; propose a checked draft",
            );
        }
        match self.faults(kind, &content) {
            Err(problem) => Verdict::invalid(problem),
            Ok(faults) if !faults.is_empty() => Verdict::Invalid(Invalid { faults }),
            Ok(_) => {
                self.store.history_mut(subject).push(entries);
                Verdict::Accepted(Accepted { version: change.version })
            }
        }
    }

    /// What keeps the new content of one list from standing beside the other list.
    fn faults(&self, kind: Kind, content: &[u8]) -> Result<Vec<String>, String> {
        let faults = match kind {
            Kind::Plans => {
                let allowances: List<Allowance> = self.store.history(Subject::Allowances).list()?;
                find_inconsistencies(&read(content)?, &allowances.entries)
            }
            Kind::Allowances => {
                let plans: List<Plan> = self.store.history(Subject::Plans).list()?;
                find_inconsistencies(&plans.entries, &read(content)?)
            }
        };
        Ok(faults.iter().map(ToString::to_string).collect())
    }

    fn announce(&mut self, scope: &str) -> Verdict {
        let Ok(scope) = serde_json::from_str::<Scope>(scope) else {
            return Verdict::invalid("the scope of the stop cannot be read");
        };
        let name = scope.to_string();
        let series = self.store.history_mut(Subject::Stops);
        if !series.contains(&name) {
            series.edit(&name, serde_json::to_vec(&scope).ok());
        }
        Verdict::Accepted(Accepted { version: series.version() })
    }

    fn withdraw(&mut self, scope: &str) -> Verdict {
        let Ok(scope) = serde_json::from_str::<Scope>(scope) else {
            return Verdict::invalid("the scope of the stop cannot be read");
        };
        let name = scope.to_string();
        let series = self.store.history_mut(Subject::Stops);
        if series.contains(&name) {
            series.edit(&name, None);
        }
        Verdict::Accepted(Accepted { version: series.version() })
    }

    fn next_fence(&mut self) -> Verdict {
        self.fence += 1;
        Verdict::Issued(Issued { number: self.fence })
    }

    fn incarnation(&mut self, vm: String) -> Verdict {
        let number = self.incarnations.entry(vm).or_default();
        *number += 1;
        Verdict::Issued(Issued { number: *number })
    }
}

fn read<T: DeserializeOwned>(content: &[u8]) -> Result<Vec<T>, String> {
    serde_json::from_slice(content).map_err(|error| error.to_string())
}

impl replica::StateMachine for StateMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        Bytes::from(Reply::from(self.decide(command)).encode_to_vec())
    }

    fn snapshot(&self) -> Bytes {
        let image = Image {
            store: self.store.image(),
            fence: self.fence,
            incarnations: self.incarnations.clone(),
            receipts: self.receipts.image(),
        };
        Bytes::from(image.encode_to_vec())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let image = Image::decode(snapshot).map_err(|error| {
            format!("the snapshot of the lists cannot be read ({error}); take it from a replica")
        })?;
        *self = Self {
            store: Store::from_image(image.store),
            fence: image.fence,
            incarnations: image.incarnations,
            receipts: ReplyCache::from_image(image.receipts),
        };
        Ok(())
    }
}
