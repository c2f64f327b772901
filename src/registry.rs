//! The registry: the configuration and the targets that every VM of a deployment acts on.
//!
//! It holds the list of routes, the drained zones and the targets. The replicas agree on it through
//! consensus ([`StateMachine`], [`Command`]). Every other VM keeps a [`Mirror`] and brings it up to
//! date with a long poll to a replica: an [`UpdateRequest`] names the log index that the VM already
//! has, and the [`Update`] holds what changed after it.
//!
//! Consensus covers only what VMs must agree on: that a target exists, leaves or is gone. Repeated
//! announcements of a target do not go through the log, nor does the state of the VMs that accept
//! callers. For both, replicas exchange the time since each was last heard ([`HeartbeatTable`]).
//!
//! That a target is cold is its own word, which needs no agreement: whoever heard it tells others at
//! once, and the newest announcement counts ([`LastAnnouncements`]). The log holds it for replicas
//! that start.
//!
//! The [`MembershipController`] adds replicas to the group and removes them.

mod announcement;
mod announcement_error;
mod command;
mod contest_tracker;
mod heartbeat_table;
mod last_announcements;
mod membership_controller;
mod mirror;
mod state_machine;
mod take_over;
mod target_record;
mod update;
mod version_ends;
mod vm_set;
mod vm_weights;
mod wall_clocks;
mod withdrawal;

use std::time::Duration;

pub use self::{
    announcement::Announcement,
    announcement_error::AnnouncementError,
    command::{
        Command, Drain, Establish, Operation, Publish, RecordVersion, Reply, TakeOver, Withdraw,
    },
    contest_tracker::ContestTracker,
    heartbeat_table::{
        HeartbeatReport, HeartbeatTable, ServiceLoad, TargetHeartbeat, VmHeartbeat, VmInfo,
    },
    last_announcements::{LastAnnouncement, LastAnnouncements},
    membership_controller::{MembershipAction, MembershipController},
    mirror::{Mirror, Target, TargetIncarnation},
    state_machine::StateMachine,
    target_record::{State, TargetRecord},
    update::{
        BlockedRequests, ColdTarget, ColdTargets, RegionLoad, RegionLoads, RoutesText,
        SilentTargets, Update, UpdateRequest, VmChanges,
    },
    vm_set::VmSet,
    vm_weights::VmWeights,
    wall_clocks::WallClocks,
};

/// Longest time for which an announcement is delayed on its way. Targets announce themselves several
/// times in it.
const MAX_LATENESS: Duration = Duration::from_secs(10);
