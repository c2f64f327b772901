//! The replicated state of the replica group `lists`: the two lists, planned stops, fencing numbers
//! and VM incarnations. Also how VMs without a replica synchronize it.
//!
//! [`StateMachine`] runs on the replicas and [`ListSync`] on every VM. [`RolloutProgress`] tracks in
//! which regions a version is in force. `docs/design/lists.md` has the reasons.

mod cache;
mod change_answer;
mod command;
mod list_sync;
mod message;
mod peer;
mod peer_request;
mod reply;
mod reply_cache;
mod rollout_progress;
mod state_machine;
mod store;
mod subject;
mod version_history;
mod versions;

pub use self::{
    cache::{load_cache, save_cache},
    change_answer::ChangeAnswer,
    command::{Announce, Change, Command, Fence, Incarnation, Operation, Withdraw},
    list_sync::{Action, ListSync, Settings},
    message::{Entry, Fetch, SubjectUpdate, Update, VmVersions},
    peer::Peer,
    peer_request::{PeerRequest, PeerRequestKind, VersionsReply, VersionsRequest},
    reply::{Accepted, Conflict, Forgotten, Gap, Invalid, Issued, Reply, Verdict},
    reply_cache::MAX_CACHED_REPLIES,
    rollout_progress::RolloutProgress,
    state_machine::StateMachine,
    store::{Store, UpdateError},
    subject::Subject,
    version_history::{MAX_CHANGE_SETS, MAX_DIGESTS, VersionHistory},
    versions::Versions,
};
