use std::{
    collections::{BTreeSet, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64},
    },
    time::{Duration, Instant},
};

use slog::Logger;
use smol::channel::Receiver;

use super::{quotas::GrantLedger, updates::ReadyTargetCounts};
use crate::{
    clock::Clock,
    continuation,
    crash::{self, CrashTracker, PartSettings, PartTracker},
    event::{self, Sampler},
    link::{Hub, Inbound},
    node::{Error, Links, Settings},
    registry::{BlockedRequests, ContestTracker, HeartbeatTable, StateMachine, WallClocks},
    replica::{Group, change_notifier::ChangeNotifier},
    route::{Table, TableError},
    wire::Topic,
};

/// Time since the last heartbeat of a VM after which it counts as down and the directory no longer
/// lists it for callers. A VM that accepts callers polls a replica about once a second, and replicas
/// exchange heartbeats once a second.
const VM_TIMEOUT: Duration = Duration::from_millis(3500);

/// Lines of the log per second on announcements that are refused.
const REFUSAL_LINES_PER_SEC: u32 = 10;

/// Parses and validates the text of a list of routes.
pub type ParseRoutes = fn(&[u8]) -> Result<Table, TableError>;

/// A VM with a disk, which runs a replica of the registry.
pub struct Control {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) logger: Logger,
    pub(super) hub: Arc<Hub>,
    pub(super) group: Mutex<Option<Arc<Group<StateMachine>>>>,
    pub(super) heartbeats: Mutex<HeartbeatTable>,
    /// The targets that newer records keep out of the registry.
    pub(super) contests: Mutex<ContestTracker>,
    /// The wall clocks of the replicas.
    pub(super) wall_clocks: Mutex<WallClocks>,
    /// Bounds the lines on announcements that are refused.
    pub(super) refusal_sampler: Mutex<Sampler>,
    /// How often the cold period of a target changed since the start.
    pub(super) cold_changes: AtomicU64,
    /// Notifies tasks when the cold period of a target changes.
    pub(super) cold_targets_changed: ChangeNotifier,
    /// Time at which this replica first saw each target record, by target and `changed_index`. The
    /// remaining cold time is counted from it.
    pub(super) records_seen_at: Mutex<HashMap<(String, u64), Instant>>,
    pub(super) ready_target_counts: Mutex<ReadyTargetCounts>,
    /// Requests that were in flight at targets that crashed, as all VMs reported.
    pub(super) crashes: Mutex<CrashTracker>,
    /// The parts of prompts that were in flight at targets that crashed, as all VMs reported.
    pub(super) crash_parts: Mutex<PartTracker>,
    /// What VMs refuse because it crashes targets.
    pub(super) blocked_requests: Mutex<BlockedRequests>,
    /// Notifies tasks when `blocked_requests` changes.
    pub(super) blocks_changed: ChangeNotifier,
    /// Notifies the sender of reports when a VM reported a crash.
    pub(super) crashes_reported: ChangeNotifier,
    /// Whether `crashes` holds reports of VMs that were not sent to the other replicas.
    pub(super) has_unsent_crashes: AtomicBool,
    pub(super) parse_routes: ParseRoutes,
    pub(super) started_at: Instant,
    pub(super) incarnation: u64,
    pub(super) route_table: Mutex<Option<Arc<Table>>>,
    /// Notifies tasks when a VM appears, disappears or changes.
    pub(super) vms_changed: ChangeNotifier,
    /// The VMs that have requested updates from this replica.
    pub(super) polling_vms: Mutex<BTreeSet<String>>,
    /// The software versions at which streams began, as VMs told this replica.
    pub(super) streams: Mutex<continuation::Ledger>,
    /// When the last read that a majority confirmed began, by [`Clock::since_boot`].
    pub(super) read_confirmed_at: Mutex<Option<Duration>>,
    /// Set while such a read is under way.
    pub(super) is_confirming_read: AtomicBool,
    /// What this replica has granted since it leads.
    pub(super) grants: Mutex<GrantLedger>,
    /// Which index of the log this replica had applied when.
    pub(super) progress: Mutex<continuation::Progress>,
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Control").field("vm", &self.settings.vm()).finish_non_exhaustive()
    }
}

impl Control {
    /// Starts the replica and the links to other VMs. The caller of this function serves the HTTP
    /// interfaces for targets, operators and callers.
    ///
    /// # Errors
    ///
    /// If the port for links cannot be bound.
    pub async fn start(
        settings: Settings,
        clock: Arc<dyn Clock>,
        logger: Logger,
        parse_routes: ParseRoutes,
    ) -> Result<Arc<Self>, Error> {
        let Links { hub, inbound, incarnation } = Links::open(&settings, &*clock, &logger).await?;
        let links_address = settings.links_address();
        let started_at = clock.now();
        let control = Arc::new(Self {
            started_at,
            settings,
            clock,
            logger,
            hub,
            group: Mutex::default(),
            heartbeats: Mutex::new(HeartbeatTable::new(VM_TIMEOUT)),
            contests: Mutex::default(),
            wall_clocks: Mutex::default(),
            refusal_sampler: Mutex::new(Sampler::new(REFUSAL_LINES_PER_SEC, started_at)),
            cold_changes: AtomicU64::new(0),
            cold_targets_changed: ChangeNotifier::default(),
            records_seen_at: Mutex::default(),
            ready_target_counts: Mutex::default(),
            crashes: Mutex::new(CrashTracker::new(crash::Settings::for_routes())),
            crash_parts: Mutex::new(PartTracker::new(PartSettings::default())),
            blocked_requests: Mutex::default(),
            blocks_changed: ChangeNotifier::default(),
            crashes_reported: ChangeNotifier::default(),
            has_unsent_crashes: AtomicBool::new(false),
            parse_routes,
            incarnation,
            route_table: Mutex::default(),
            polling_vms: Mutex::default(),
            streams: Mutex::default(),
            progress: Mutex::new(continuation::Progress::new()),
            vms_changed: ChangeNotifier::default(),
            read_confirmed_at: Mutex::default(),
            is_confirming_read: AtomicBool::new(false),
            grants: Mutex::default(),
        });
        smol::spawn(Arc::clone(&control).receive_messages(inbound)).detach();
        smol::spawn(Arc::clone(&control).run_replica()).detach();
        smol::spawn(Arc::clone(&control).send_heartbeat_reports()).detach();
        event::path::STARTED.emit(&control.logger, &[("links", &links_address)]);
        Ok(control)
    }

    /// The settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The logger.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// The running replica; `None` while its data folder cannot be used.
    pub(super) fn group(&self) -> Option<Arc<Group<StateMachine>>> {
        lock(&self.group).clone()
    }

    pub(super) fn heartbeats(&self) -> MutexGuard<'_, HeartbeatTable> {
        lock(&self.heartbeats)
    }

    async fn receive_messages(self: Arc<Self>, inbound: Receiver<Inbound>) {
        while let Ok(message) = inbound.recv().await {
            match message {
                Inbound::Notice { from, topic: Topic::Consensus, payload } => {
                    if let Some(group) = self.group() {
                        group.receive(&from, payload);
                    }
                }
                Inbound::Notice { from, topic: Topic::Membership, payload } => {
                    self.merge_heartbeat_report(&from, &payload)
                }
                Inbound::Notice { topic: Topic::Streams, payload, .. } => {
                    self.merge_stream_records(&payload);
                }
                Inbound::Call { topic: Topic::Streams, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).serve_stream_query(payload, reply)).detach();
                }
                Inbound::Call { topic: Topic::Registry, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).serve_update(payload, reply)).detach();
                }
                Inbound::Call { topic: Topic::Quotas, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).serve_grants(payload, reply)).detach();
                }
                Inbound::Call { topic: Topic::Proposals, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).serve_proposal(payload, reply)).detach();
                }
                _ => {}
            }
        }
    }
}

/// Locks a mutex, also if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
