use std::collections::BTreeMap;

use prost::{Message, bytes::Bytes};
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

use super::{
    Accepted, Announce, Change, Command, Conflict, Fence, Forgotten, Gap, Incarnation, Invalid,
    Issued, Operation, Reply, Store, Subject, Verdict, Withdraw,
    reply_cache::{CachedReply, ReplyCache},
    store::Image as StoreImage,
    version_history::VersionStatus,
};
use crate::{
    list::{Allowance, Kind, List, Plan, find_inconsistencies, join_entries},
    replica,
    stop::Scope,
};

/// The replicated state machine of the group `lists`.
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
/// let first_reply = machine.apply(1, &command);
/// assert!(matches!(Reply::decode(first_reply.clone())?.verdict, Some(Verdict::Accepted(_))));
/// assert_eq!(machine.apply(2, &command), first_reply);
/// # Ok::<(), prost::DecodeError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    store: Store,
    newest_fence: u64,
    incarnations: BTreeMap<String, u64>,
    reply_cache: ReplyCache,
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
    cached_replies: Vec<CachedReply>,
}

impl StateMachine {
    /// The lists and planned stops.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The newest fencing number issued.
    pub fn fence(&self) -> u64 {
        self.newest_fence
    }

    fn decide(&mut self, command: &[u8]) -> Verdict {
        let operation = match Command::decode(command) {
            Ok(Command { operation: Some(operation) }) => operation,
            _ => return Verdict::invalid("the command cannot be read; upgrade the replicas first"),
        };
        match operation {
            Operation::Change(change) => self.decide_change(&change),
            Operation::Announce(Announce { operation, scope }) => {
                self.apply_once(&operation, command, |machine| machine.announce_stop(&scope))
            }
            Operation::Withdraw(Withdraw { operation, scope }) => {
                self.apply_once(&operation, command, |machine| machine.withdraw_stop(&scope))
            }
            Operation::Fence(Fence { operation, .. }) => {
                self.apply_once(&operation, command, Self::issue_fence)
            }
            Operation::Incarnation(Incarnation { operation, vm }) => {
                self.apply_once(&operation, command, |machine| machine.issue_incarnation(vm))
            }
        }
    }

    fn apply_once(
        &mut self,
        operation: &str,
        command: &[u8],
        decide: impl FnOnce(&mut Self) -> Verdict,
    ) -> Verdict {
        if operation.is_empty() {
            return Verdict::invalid("the operation has no identifier; give it one");
        }
        if let Some(reply) = self.reply_cache.find(operation, command) {
            return reply;
        }
        let verdict = decide(self);
        self.reply_cache.insert_reply(operation, command, &verdict);
        verdict
    }

    fn decide_change(&mut self, change: &Change) -> Verdict {
        let (subject, kind) = match Subject::try_from(change.subject) {
            Ok(Subject::Plans) => (Subject::Plans, Kind::Plans),
            Ok(Subject::Allowances) => (Subject::Allowances, Kind::Allowances),
            _ => return Verdict::invalid("the change names neither list"),
        };
        if !change.partial && Sha256::digest(&change.content)[..] != change.digest {
            return Verdict::invalid("the digest is not that of the content; send it again");
        }
        let version = change.version;
        let history = self.store.history(subject);
        match history.status(version, &change.digest) {
            VersionStatus::Same => Verdict::Accepted(Accepted { version }),
            VersionStatus::Gap => Verdict::Gap(Gap { next: history.version() + 1 }),
            VersionStatus::Forgotten => Verdict::Forgotten(Forgotten { oldest: history.oldest() }),
            VersionStatus::Conflict(digest) => Verdict::Conflict(Conflict {
                version,
                digest,
                newest: history.version(),
                content: Bytes::from(history.content()),
            }),
            VersionStatus::Next => self.decide_next_version(subject, kind, change),
        }
    }

    fn decide_next_version(&mut self, subject: Subject, kind: Kind, change: &Change) -> Verdict {
        let content = if change.partial {
            let history = self.store.history(subject);
            join_entries(history.entries_with(&change.changed, &change.removed).values())
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
        match self.list_inconsistencies(kind, &content) {
            Err(problem) => Verdict::invalid(problem),
            Ok(faults) if !faults.is_empty() => Verdict::Invalid(Invalid { faults }),
            Ok(_) => {
                self.store.history_mut(subject).push(entries);
                Verdict::Accepted(Accepted { version: change.version })
            }
        }
    }

    /// The inconsistencies between the new content of one list and the other list.
    fn list_inconsistencies(&self, kind: Kind, content: &[u8]) -> Result<Vec<String>, String> {
        let faults = match kind {
            Kind::Plans => {
                let allowances: List<Allowance> = self.store.history(Subject::Allowances).list()?;
                find_inconsistencies(&parse_entries(content)?, &allowances.entries)
            }
            Kind::Allowances => {
                let plans: List<Plan> = self.store.history(Subject::Plans).list()?;
                find_inconsistencies(&plans.entries, &parse_entries(content)?)
            }
        };
        Ok(faults.iter().map(ToString::to_string).collect())
    }

    fn announce_stop(&mut self, scope: &str) -> Verdict {
        let Ok(scope) = serde_json::from_str::<Scope>(scope) else {
            return Verdict::invalid("the scope of the stop cannot be read");
        };
        let name = scope.to_string();
        let history = self.store.history_mut(Subject::Stops);
        if !history.contains(&name) {
            history.push_edit(&name, serde_json::to_vec(&scope).ok());
        }
        Verdict::Accepted(Accepted { version: history.version() })
    }

    fn withdraw_stop(&mut self, scope: &str) -> Verdict {
        let Ok(scope) = serde_json::from_str::<Scope>(scope) else {
            return Verdict::invalid("the scope of the stop cannot be read");
        };
        let name = scope.to_string();
        let history = self.store.history_mut(Subject::Stops);
        if history.contains(&name) {
            history.push_edit(&name, None);
        }
        Verdict::Accepted(Accepted { version: history.version() })
    }

    fn issue_fence(&mut self) -> Verdict {
        self.newest_fence += 1;
        Verdict::Issued(Issued { number: self.newest_fence })
    }

    fn issue_incarnation(&mut self, vm: String) -> Verdict {
        let number = self.incarnations.entry(vm).or_default();
        *number += 1;
        Verdict::Issued(Issued { number: *number })
    }
}

fn parse_entries<T: DeserializeOwned>(content: &[u8]) -> Result<Vec<T>, String> {
    serde_json::from_slice(content).map_err(|error| error.to_string())
}

impl replica::StateMachine for StateMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Bytes {
        Bytes::from(Reply::from(self.decide(command)).encode_to_vec())
    }

    fn snapshot(&self) -> Bytes {
        let image = Image {
            store: self.store.image(),
            fence: self.newest_fence,
            incarnations: self.incarnations.clone(),
            cached_replies: self.reply_cache.image(),
        };
        Bytes::from(image.encode_to_vec())
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let image = Image::decode(snapshot).map_err(|error| {
            format!("the snapshot of the lists cannot be read ({error}); take it from a replica")
        })?;
        *self = Self {
            store: Store::from_image(image.store),
            newest_fence: image.fence,
            incarnations: image.incarnations,
            reply_cache: ReplyCache::from_image(image.cached_replies),
        };
        Ok(())
    }
}
