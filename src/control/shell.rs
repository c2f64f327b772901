use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::{Duration, Instant},
};

use slog::Logger;
use smol::channel::Receiver;

use super::follow::Counts;
use crate::{
    clock::Clock,
    crash::{self, CrashTracker},
    event,
    link::{Hub, Inbound},
    node::{Error, Links, Settings},
    registry::{Machine, Roster},
    replica::{Group, changed::Changed},
    route::{Table, TableError},
    wire::Topic,
};

/// A VM that takes callers asks a replica about once a second, and replicas tell each other once a
/// second; a VM that missed this many of them is not named to callers any more.
const VM_SILENCE: Duration = Duration::from_millis(3500);

/// Reads and checks the text of a list of routes.
pub type ReadRoutes = fn(&[u8]) -> Result<Table, TableError>;

/// A VM with a disk.
pub struct Control {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) logger: Logger,
    pub(super) hub: Arc<Hub>,
    pub(super) group: Mutex<Option<Arc<Group<Machine>>>>,
    pub(super) roster: Mutex<Roster>,
    /// When each target's row was applied here, to tell what is left of its cold time.
    pub(super) applied: Mutex<HashMap<(String, u64), Instant>>,
    pub(super) counts: Mutex<Counts>,
    /// Requests that were in flight where targets crashed, as all VMs told.
    pub(super) crashes: Mutex<CrashTracker>,
    /// Whether a VM told something of them that the other replicas were not told.
    pub(super) crashes_told: AtomicBool,
    pub(super) read_routes: ReadRoutes,
    pub(super) started: Instant,
    pub(super) incarnation: u64,
    pub(super) tables: Mutex<Option<Arc<Table>>>,
    /// Wakes whoever waits for another VM to come, go or change.
    pub(super) vms_changed: Changed,
    /// The VMs that ask this replica for news.
    pub(super) followers: Mutex<BTreeSet<String>>,
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Control").field("vm", &self.settings.vm()).finish_non_exhaustive()
    }
}

impl Control {
    /// Starts the replica and the links; the callers' and operators' sides are served by whoever
    /// holds the control.
    ///
    /// # Errors
    ///
    /// Where the port for links cannot be taken.
    pub async fn start(
        settings: Settings,
        clock: Arc<dyn Clock>,
        logger: Logger,
        read_routes: ReadRoutes,
    ) -> Result<Arc<Self>, Error> {
        let Links { hub, inbound, incarnation } = Links::open(&settings, &*clock, &logger).await?;
        let links = settings.links();
        let control = Arc::new(Self {
            started: clock.now(),
            settings,
            clock,
            logger,
            hub,
            group: Mutex::default(),
            roster: Mutex::new(Roster::new(VM_SILENCE)),
            applied: Mutex::default(),
            counts: Mutex::default(),
            crashes: Mutex::new(CrashTracker::new(crash::Settings::for_routes())),
            crashes_told: AtomicBool::new(false),
            read_routes,
            incarnation,
            tables: Mutex::default(),
            followers: Mutex::default(),
            vms_changed: Changed::default(),
        });
        smol::spawn(Arc::clone(&control).receive(inbound)).detach();
        smol::spawn(Arc::clone(&control).keep_replica()).detach();
        smol::spawn(Arc::clone(&control).tell_others()).detach();
        event::path::STARTED.emit(&control.logger, &[("links", &links)]);
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

    /// The replica; nothing while its folder cannot be used.
    pub(super) fn group(&self) -> Option<Arc<Group<Machine>>> {
        lock(&self.group).clone()
    }

    pub(super) fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    async fn receive(self: Arc<Self>, inbound: Receiver<Inbound>) {
        while let Ok(message) = inbound.recv().await {
            match message {
                Inbound::Notice { from, topic: Topic::Consensus, payload } => {
                    if let Some(group) = self.group() {
                        group.receive(&from, payload);
                    }
                }
                Inbound::Notice { topic: Topic::Membership, payload, .. } => self.merge(&payload),
                Inbound::Call { topic: Topic::Registry, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).follow(payload, reply)).detach();
                }
                Inbound::Call { topic: Topic::Proposals, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).forwarded(payload, reply)).detach();
                }
                _ => {}
            }
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
