use std::{
    collections::{HashMap, HashSet},
    convert::Infallible,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::{Request, Response, StatusCode, body::Incoming};
use prost::bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use slog::Logger;
use smol::{
    Timer,
    channel::{Receiver, Sender},
    net::TcpListener,
};

use super::{
    Admission, Balancer, CrashSuspects, HeaderNames, RetryBudget, SuspensionDetector,
    connection_pool::ConnectionPool, load_sharing::share_interval, metrics::Metrics,
    quotas::Quotas, record::ROUTINE_LINES_PER_SEC, stream_records::RecordKeeper,
};
use crate::{
    clock::{Clock, within},
    continuation,
    control::{ParseRoutes, lock},
    event::{self, Sampler},
    http::{self, Account, Body, BufferBudget, Limits, ServerAccount, Stop},
    id,
    link::{Hub, Inbound},
    node::{Error, Links, Settings},
    organisation::KeyLease,
    registry::{Mirror, VmInfo},
    replica::change_notifier::ChangeNotifier,
    route::{self, Table},
    stop::{AnswerTimes, Grace, InFlight},
    throttle::{PeerMemory, Peers},
    wire::Topic,
};

/// How long a stopping VM still accepts requests, while others learn that it stops: the directory,
/// whose answers callers cache, and the platform, which checks the VM's health once a second.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(3500);
/// The part of the shutdown grace that is reserved for the exit of the process, after the last answer
/// of a target.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
/// The part of the exit reserve for the answers to requests that did not end in time.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// Like [`EXIT_RESERVE`], for the requests of other VMs. The callers of those don't depend on the
/// connections of this VM, so that less has to be closed.
const HANDOVER_EXIT_RESERVE: Duration = Duration::from_millis(300);
/// The part of that reserve for telling other VMs that their requests did not end in time.
const HANDOVER_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Streams of other VMs that may outlast this VM are given back after this part of the grace: short ones
/// have ended by then, and there is time for the rest of the others elsewhere.
const GIVE_BACK_DIVISOR: u32 = 2;
/// Added to the buffer of a connection beyond the largest allowed head, so that a head of exactly
/// that size fits and the buffer is never smaller than the HTTP server requires.
const HEAD_BUFFER_MARGIN_BYTES: usize = 8 * 1024;
/// The memory for the beginnings of responses that are held back until they can go to their callers.
const BUFFER_BUDGET_BYTES: usize = 8 * 1024 * 1024;
/// The part of the descriptors for callers' connections. A request in flight needs a connection to a
/// target as well.
const CALLERS_DIVISOR: usize = 2;
/// The part of the descriptors for connections of the health check.
const HEALTH_DIVISOR: usize = 16;
/// A process that runs sends its load at regular intervals, late by no more than this.
const SUSPENSION_ALLOWANCE: Duration = Duration::from_millis(500);

/// A VM that accepts callers: the state shared by all of its tasks.
pub struct Gateway {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) logger: Logger,
    pub(super) header_names: HeaderNames,
    pub(super) hub: Arc<Hub>,
    pub(super) connection_pool: Arc<ConnectionPool>,
    /// The memory for the beginnings of responses that are held back.
    pub(super) buffer_budget: Arc<BufferBudget>,
    /// What the process holds for callers and other VMs.
    pub(super) account: Arc<Account>,
    pub(super) incarnation: u64,
    parse_routes: ParseRoutes,
    route_table: Mutex<Option<Arc<Table>>>,
    mirror: Mutex<Mirror>,
    /// The VMs of this region that accept callers.
    peer_memory: Mutex<PeerMemory>,
    pub(super) balancer: Mutex<Balancer>,
    pub(super) admission: Mutex<Admission>,
    retry_budget: Mutex<RetryBudget>,
    crash_suspects: Mutex<CrashSuspects>,
    key_lease: Mutex<KeyLease>,
    pub(super) quotas: Mutex<Quotas>,
    /// The software versions at which streams of this VM began.
    stream_ledger: Mutex<continuation::Ledger>,
    /// Notifies the sender of records of streams.
    pub(super) stream_records_changed: ChangeNotifier,
    record_keeper: Mutex<Option<RecordKeeper>>,
    /// The incarnations of targets that are being checked for a crash.
    pub(super) crash_checks: Mutex<HashSet<(id::Target, u64)>>,
    /// Notifies the synchronization when there are records for the replicas.
    pub(super) crash_records_changed: ChangeNotifier,
    pub(super) suspension: Mutex<SuspensionDetector>,
    /// Notifies the synchronization when the process goes on after a suspension.
    pub(super) resumed: ChangeNotifier,
    pub(super) random: Mutex<StdRng>,
    metrics: Mutex<Metrics>,
    sampler: Mutex<Sampler>,
    seeds: Mutex<Vec<id::Vm>>,
    settings_file: Option<PathBuf>,
    pub(super) is_stopping: AtomicBool,
    /// Set once the VM stops.
    pub(super) grace: Mutex<Option<Grace>>,
    /// How long complete answers took lately, by the name of their route.
    pub(super) answer_times: Mutex<HashMap<String, AnswerTimes>>,
    /// When the requests in flight began, by the name of their route.
    pub(super) in_flight_ages: Arc<Mutex<InFlight>>,
    /// Dropped at the end of the grace, which closes `grace_receiver`.
    pub(super) grace_sender: Mutex<Option<Sender<Infallible>>>,
    pub(super) grace_receiver: Receiver<Infallible>,
    /// Set once the VM stops: when the requests of other VMs must have ended.
    pub(super) handovers_end_at: Mutex<Option<Instant>>,
    /// Dropped in the middle of the grace, which closes `give_back_receiver`.
    pub(super) give_back_sender: Mutex<Option<Sender<Infallible>>>,
    pub(super) give_back_receiver: Receiver<Infallible>,
    /// Dropped at `handovers_end_at`, which closes `handover_grace_receiver`.
    pub(super) handover_grace_sender: Mutex<Option<Sender<Infallible>>>,
    pub(super) handover_grace_receiver: Receiver<Infallible>,
    /// Dropped when the VM begins to stop, which closes `stop_receiver`.
    pub(super) stop_sender: Mutex<Option<Sender<Infallible>>>,
    stop_receiver: Receiver<Infallible>,
    /// Cloned for each request in flight.
    in_flight_sender: Mutex<Option<Sender<Infallible>>>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").field("vm", &self.settings.vm()).finish_non_exhaustive()
    }
}

/// A gateway that accepts callers until it is drained.
#[derive(Debug)]
pub struct RunningGateway {
    gateway: Arc<Gateway>,
    callers_server: smol::Task<()>,
    stop_callers_server: Stop,
    /// Closes when `in_flight_sender` and all of its clones are dropped.
    in_flight_receiver: Receiver<Infallible>,
}

impl Gateway {
    /// Starts to accept callers. `settings_file` is the file that `settings` were loaded from, for
    /// reloads.
    ///
    /// # Errors
    ///
    /// Fails if the VM cannot listen on one of its addresses.
    pub async fn start(
        settings: Settings,
        settings_file: Option<PathBuf>,
        header_names: HeaderNames,
        parse_routes: ParseRoutes,
        clock: Arc<dyn Clock>,
        logger: Logger,
    ) -> Result<RunningGateway, Error> {
        let Links { hub, inbound, incarnation } = Links::open(&settings, &*clock, &logger).await?;
        let callers_listener = match settings.callers {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let health_listener = match settings.health {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let bounds = settings.bounds;
        let learns_capacity = settings.learn_target_capacity;
        let started_at = clock.now();
        let seed = incarnation ^ u64::from(settings.links_port) ^ hash(&settings.name);
        let (stop_sender, stop_receiver) = smol::channel::bounded(1);
        let (grace_sender, grace_receiver) = smol::channel::bounded(1);
        let (give_back_sender, give_back_receiver) = smol::channel::bounded(1);
        let (handover_grace_sender, handover_grace_receiver) = smol::channel::bounded(1);
        let (in_flight_sender, in_flight_receiver) = smol::channel::bounded(1);
        let gateway = Arc::new(Self {
            seeds: Mutex::new(settings.seed_vms()),
            account: Account::new(Some(&settings.machine)),
            settings,
            clock,
            logger,
            header_names,
            hub,
            connection_pool: Arc::default(),
            buffer_budget: BufferBudget::new(BUFFER_BUDGET_BYTES),
            incarnation,
            parse_routes,
            route_table: Mutex::default(),
            mirror: Mutex::default(),
            peer_memory: Mutex::default(),
            balancer: Mutex::new(Balancer::new(seed).with_capacity_learning(learns_capacity)),
            admission: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
            )),
            crash_suspects: Mutex::default(),
            key_lease: Mutex::new(KeyLease::new(bounds.key_withdrawal)),
            quotas: Mutex::default(),
            stream_ledger: Mutex::default(),
            stream_records_changed: ChangeNotifier::default(),
            record_keeper: Mutex::default(),
            crash_checks: Mutex::default(),
            crash_records_changed: ChangeNotifier::default(),
            suspension: Mutex::new(SuspensionDetector::new(started_at)),
            resumed: ChangeNotifier::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            metrics: Mutex::default(),
            sampler: Mutex::new(Sampler::new(ROUTINE_LINES_PER_SEC, started_at)),
            settings_file,
            is_stopping: AtomicBool::new(false),
            grace: Mutex::default(),
            answer_times: Mutex::default(),
            in_flight_ages: Arc::default(),
            grace_sender: Mutex::new(Some(grace_sender)),
            grace_receiver,
            handovers_end_at: Mutex::default(),
            give_back_sender: Mutex::new(Some(give_back_sender)),
            give_back_receiver,
            handover_grace_sender: Mutex::new(Some(handover_grace_sender)),
            handover_grace_receiver,
            stop_sender: Mutex::new(Some(stop_sender)),
            stop_receiver,
            in_flight_sender: Mutex::new(Some(in_flight_sender)),
        });
        smol::spawn(Arc::clone(&gateway).receive_from_links(inbound)).detach();
        smol::spawn(Arc::clone(&gateway).sync_registry()).detach();
        smol::spawn(Arc::clone(&gateway).share_load()).detach();
        smol::spawn(Arc::clone(&gateway).send_stream_records()).detach();
        if let Some(listener) = health_listener {
            smol::spawn(Arc::clone(&gateway).serve_health_checks(listener)).detach();
        }
        event::path::STARTED.emit(&gateway.logger, &[("name", &gateway.settings.name)]);
        let (stop_callers_server, callers_server_stopped) = Stop::new();
        let serving_gateway = Arc::clone(&gateway);
        let callers_server = smol::spawn(async move {
            let Some(listener) = callers_listener else { return };
            let (limits_gateway, logged_gateway) =
                (Arc::clone(&serving_gateway), Arc::clone(&serving_gateway));
            let limits = move || limits_gateway.connection_limits();
            let handler = move |request| Arc::clone(&serving_gateway).serve(request);
            let logger = logged_gateway.logger.clone();
            let server = ServerAccount::new(&logged_gateway.account, CALLERS_DIVISOR);
            let stopped = callers_server_stopped;
            http::serve_counted(listener, limits, stopped, &logger, server, handler).await;
        });
        Ok(RunningGateway { gateway, callers_server, stop_callers_server, in_flight_receiver })
    }

    async fn receive_from_links(self: Arc<Self>, inbound: Receiver<Inbound>) {
        while let Ok(message) = inbound.recv().await {
            match message {
                Inbound::Handover { from, handover, exchange, .. } => {
                    smol::spawn(Arc::clone(&self).serve_handover(from, *handover, exchange))
                        .detach();
                }
                Inbound::Notice { from, topic: Topic::Loads, payload } => {
                    self.receive_load(&from, &payload);
                }
                Inbound::Notice { from, topic: Topic::Registry, payload } => {
                    self.receive_cold_targets(&from, &payload);
                }
                _ => {}
            }
        }
    }

    async fn serve_health_checks(self: Arc<Self>, listener: TcpListener) {
        let (_stop, stopped) = Stop::new();
        let logger = self.logger.clone();
        let server = ServerAccount::new(&self.account, HEALTH_DIVISOR);
        let handler = move |_request: Request<Incoming>| {
            let is_ready = self.is_ready();
            async move {
                let mut response = Response::new(http::empty());
                if !is_ready {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                response as Response<Body>
            }
        };
        http::serve_counted(listener, Limits::default, stopped, &logger, server, handler).await;
    }

    /// What the process holds for callers and other VMs.
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Whether the VM accepts new requests.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.route_table().is_some()
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// The limits for callers' connections, from the route table.
    fn connection_limits(&self) -> Limits {
        let limits = self.route_table().map_or_else(route::Limits::default, |table| table.limits);
        Limits {
            // The time for a head starts at the end of the previous request, so it includes idle
            // time.
            header_timeout: limits.idle_timeout + limits.head_timeout,
            max_headers: http::max_headers_of(limits.head_bytes),
            max_buffer_bytes: limits.head_bytes + HEAD_BUFFER_MARGIN_BYTES,
        }
    }

    pub(super) async fn wait_until_stopping(&self) {
        let _ = self.stop_receiver.recv().await;
    }

    /// A guard that counts a request as in flight until it is dropped.
    pub(super) fn in_flight_guard(&self) -> Option<Sender<Infallible>> {
        lock(&self.in_flight_sender).clone()
    }

    pub(super) fn route_table(&self) -> Option<Arc<Table>> {
        lock(&self.route_table).clone()
    }

    pub(super) fn mirror(&self) -> MutexGuard<'_, Mirror> {
        lock(&self.mirror)
    }

    pub(super) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    pub(super) fn admission(&self) -> MutexGuard<'_, Admission> {
        lock(&self.admission)
    }

    pub(super) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    pub(super) fn crash_suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        lock(&self.crash_suspects)
    }

    pub(super) fn key_lease(&self) -> MutexGuard<'_, KeyLease> {
        lock(&self.key_lease)
    }

    pub(super) fn stream_ledger(&self) -> MutexGuard<'_, continuation::Ledger> {
        lock(&self.stream_ledger)
    }

    /// The replica that gets this VM's records of streams.
    pub(super) fn record_keeper(&self) -> MutexGuard<'_, Option<RecordKeeper>> {
        lock(&self.record_keeper)
    }

    pub(super) fn random(&self) -> MutexGuard<'_, StdRng> {
        lock(&self.random)
    }

    pub(super) fn metrics(&self) -> MutexGuard<'_, Metrics> {
        lock(&self.metrics)
    }

    pub(super) fn sampler(&self) -> MutexGuard<'_, Sampler> {
        lock(&self.sampler)
    }

    pub(super) fn seeds(&self) -> Vec<id::Vm> {
        lock(&self.seeds).clone()
    }

    /// Records that this process runs. Returns whether it was suspended and has not heard since which
    /// targets are cold.
    pub(super) fn check_for_suspension(&self) -> bool {
        let now = self.clock.now();
        let other_vms = self.region_peers().vm_count() - 1;
        let max_gap = share_interval(other_vms) + SUSPENSION_ALLOWANCE;
        let mut suspension = lock(&self.suspension);
        if let Some(gap) = suspension.observe(now, max_gap) {
            event::registry::RESUMED.emit(&self.logger, &[("suspended_ms", &gap.as_millis())]);
            self.resumed.notify();
        }
        suspension.is_in_doubt(now)
    }

    /// Records an update that was asked for at `asked_at`.
    pub(super) fn record_news(&self, asked_at: Instant) {
        lock(&self.suspension).record_news(asked_at);
    }

    /// The VMs of this region that accept callers or did so lately, including this one.
    pub(super) fn region_peers(&self) -> Peers {
        lock(&self.peer_memory).peers(self.settings.vm().as_str())
    }

    /// Records the VMs of this region that accept callers now.
    pub(super) fn update_region_peers(&self) {
        let (region, mirror) = (self.settings.region.as_str(), self.mirror());
        let is_peer =
            |vm: &&VmInfo| vm.ready && !vm.callers_address.is_empty() && vm.region == region;
        let peers = mirror.vms().iter().filter(is_peer).map(|vm| vm.vm.as_str());
        lock(&self.peer_memory).update(peers, self.clock.now());
    }

    /// Decides at random whether a VM that follows a replica other than the nearest one stays with
    /// it; one time in ten it tries the nearest one again.
    pub(super) fn draw_keep_current_replica(&self) -> bool {
        self.random().random_range(0..10) > 0
    }

    /// Replaces the route table with the one that `text` defines, if `version` is newer. Keeps the
    /// current table if `text` is invalid.
    pub(super) fn apply_routes(&self, version: u64, text: &Bytes) {
        let current = self.route_table();
        if current.as_ref().is_some_and(|table| table.version >= version) {
            return;
        }
        match (self.parse_routes)(text) {
            Ok(table) => {
                event::registry::IN_FORCE
                    .emit(&self.logger, &[("version", &version), ("routes", &table.len())]);
                *lock(&self.route_table) = Some(Arc::new(table));
            }
            Err(cause) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &cause)]);
            }
        }
    }

    /// Reloads the seeds from the settings file, which operators edit when VMs are replaced.
    pub fn reload_seeds(&self) {
        let Some(file) = &self.settings_file else { return };
        match Settings::load(file) {
            Ok(settings) => {
                let seeds = settings.seed_vms();
                let changed = *lock(&self.seeds) != seeds;
                if changed {
                    event::registry::SEEDS.emit(&self.logger, &[("seeds", &seeds.len())]);
                    *lock(&self.seeds) = seeds;
                }
            }
            Err(cause) => {
                event::registry::NOT_RELOADED.emit(&self.logger, &[("cause", &cause)]);
            }
        }
    }
}

impl RunningGateway {
    /// The gateway.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Stops within the shutdown grace: fails health checks at once, tells callers to close their
    /// connections, refuses what it may not finish, and lets requests in flight end. Those that have
    /// not ended get an answer that promises nothing; requests of other VMs have a little longer.
    pub async fn drain(self) {
        let Self { gateway, mut callers_server, stop_callers_server, in_flight_receiver } = self;
        let stopped_at = gateway.clock.now();
        let in_flight = || lock(&gateway.in_flight_ages).count();
        event::path::STOPPING.emit(&gateway.logger, &[("in_flight", &in_flight())]);
        let shutdown_grace = gateway.settings.bounds.shutdown_grace;
        let length = shutdown_grace.saturating_sub(EXIT_RESERVE);
        let handovers_end_at = stopped_at + shutdown_grace.saturating_sub(HANDOVER_EXIT_RESERVE);
        let grace = gateway.begin_grace(length, handovers_end_at);
        let time_until = |end: Instant| end.saturating_duration_since(gateway.clock.now());
        // At least half of the grace is left for requests in flight. The server accepts requests
        // for some time after it is stopped.
        let accept_period = DRAIN_ACCEPT_PERIOD.min(length / 2);
        let giving_back = Arc::clone(&gateway);
        smol::spawn(async move {
            Timer::after(length / GIVE_BACK_DIVISOR).await;
            giving_back.give_back_streams();
        })
        .detach();
        Timer::after(accept_period.saturating_sub(http::STOP_LINGER)).await;
        stop_callers_server.stop();
        let server_ended = within(time_until(grace.ends_at()), &mut callers_server).await.is_some();
        drop(lock(&gateway.in_flight_sender).take());
        let _ = within(time_until(grace.ends_at()), in_flight_receiver.recv()).await;
        let left = in_flight();
        gateway.end_grace();
        if !server_ended {
            let _ = within(FLUSH_TIMEOUT, callers_server).await;
        }
        let _ = within(time_until(handovers_end_at), in_flight_receiver.recv()).await;
        let left_handovers = in_flight();
        gateway.end_handover_grace();
        let _ = within(HANDOVER_FLUSH_TIMEOUT, in_flight_receiver.recv()).await;
        gateway.hub.close().await;
        let took = gateway.clock.now().saturating_duration_since(stopped_at);
        event::path::STOPPED.emit(
            &gateway.logger,
            &[("left", &left), ("left_handovers", &left_handovers), ("took_ms", &took.as_millis())],
        );
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|cause| Error::Listen(address, cause))
}

fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
