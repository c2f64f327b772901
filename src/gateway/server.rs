use std::{
    convert::Infallible,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
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
    Admission, Balancer, CrashSuspects, HeaderNames, Peers, RetryBudget,
    connection_pool::ConnectionPool, metrics::Metrics, record::ROUTINE_LINES_PER_SEC,
};
use crate::{
    clock::{Clock, within},
    control::{ReadRoutes, lock},
    event::{self, Sampler},
    http::{self, Body, Limits, Stop},
    id,
    link::{Hub, Inbound},
    node::{Error, Links, Settings},
    registry::Mirror,
    route::{self, Table},
    wire::Topic,
};

/// How long a VM that stops goes on taking requests: its callers and the directory learn of it,
/// the platform's checks run once a second, and callers keep answers of the directory.
const LINGER: Duration = Duration::from_millis(3500);
/// The part of the grace that is left for the end of the process.
const RESERVE: Duration = Duration::from_millis(700);
/// Bytes that a connection buffers beyond the largest head: a head is taken up to its very limit,
/// and the buffer is never smaller than the server needs.
const HEAD_ROOM: usize = 8 * 1024;
/// Headers that a request may have.
const MOST_HEADERS: usize = 100;

/// A VM that takes callers.
pub struct Gateway {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) logger: Logger,
    pub(super) header_names: HeaderNames,
    pub(super) hub: Arc<Hub>,
    pub(super) connection_pool: Arc<ConnectionPool>,
    pub(super) incarnation: u64,
    read_routes: ReadRoutes,
    table: Mutex<Option<Arc<Table>>>,
    mirror: Mutex<Mirror>,
    balancer: Mutex<Balancer>,
    admission: Mutex<Admission>,
    retry_budget: Mutex<RetryBudget>,
    crash_suspects: Mutex<CrashSuspects>,
    random: Mutex<StdRng>,
    metrics: Mutex<Metrics>,
    sampler: Mutex<Sampler>,
    seeds: Mutex<Vec<id::Vm>>,
    file: Option<PathBuf>,
    stopping: AtomicBool,
    stop: Mutex<Option<Sender<Infallible>>>,
    stopped: Receiver<Infallible>,
    busy: Mutex<Option<Sender<Infallible>>>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").field("vm", &self.settings.vm()).finish_non_exhaustive()
    }
}

/// A gateway that takes callers.
#[derive(Debug)]
pub struct RunningGateway {
    gateway: Arc<Gateway>,
    server: smol::Task<()>,
    stop: Stop,
    idle: Receiver<Infallible>,
}

impl Gateway {
    /// Starts to take callers; `file` is where the settings came from, to read them again.
    ///
    /// # Errors
    ///
    /// Where an address cannot be taken.
    pub async fn start(
        settings: Settings,
        file: Option<PathBuf>,
        header_names: HeaderNames,
        read_routes: ReadRoutes,
        clock: Arc<dyn Clock>,
        logger: Logger,
    ) -> Result<RunningGateway, Error> {
        let Links { hub, inbound, incarnation } = Links::open(&settings, &*clock, &logger).await?;
        let callers = match settings.callers {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let health = match settings.health {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let bounds = settings.bounds;
        let started = clock.now();
        let seed = incarnation ^ u64::from(settings.links_port) ^ hash(&settings.name);
        let (stop_sender, stopped) = smol::channel::bounded(1);
        let (busy, idle) = smol::channel::bounded(1);
        let gateway = Arc::new(Self {
            seeds: Mutex::new(settings.seed_vms()),
            settings,
            clock,
            logger,
            header_names,
            hub,
            connection_pool: Arc::default(),
            incarnation,
            read_routes,
            table: Mutex::default(),
            mirror: Mutex::default(),
            balancer: Mutex::new(Balancer::new(seed)),
            admission: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
            )),
            crash_suspects: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            metrics: Mutex::default(),
            sampler: Mutex::new(Sampler::new(ROUTINE_LINES_PER_SEC, started)),
            file,
            stopping: AtomicBool::new(false),
            stop: Mutex::new(Some(stop_sender)),
            stopped,
            busy: Mutex::new(Some(busy)),
        });
        smol::spawn(Arc::clone(&gateway).receive(inbound)).detach();
        smol::spawn(Arc::clone(&gateway).sync_registry()).detach();
        smol::spawn(Arc::clone(&gateway).share_load()).detach();
        if let Some(listener) = health {
            smol::spawn(Arc::clone(&gateway).answer_health(listener)).detach();
        }
        event::path::STARTED.emit(&gateway.logger, &[("name", &gateway.settings.name)]);
        let (stop, stop_server) = Stop::new();
        let serving = Arc::clone(&gateway);
        let server = smol::spawn(async move {
            let Some(listener) = callers else { return };
            let known = Arc::clone(&serving);
            let limits = move || known.limits();
            let handler = move |request| Arc::clone(&serving).serve(request);
            let _ = http::serve(listener, limits, stop_server, handler).await;
        });
        Ok(RunningGateway { gateway, server, stop, idle })
    }

    async fn receive(self: Arc<Self>, inbound: Receiver<Inbound>) {
        while let Ok(message) = inbound.recv().await {
            match message {
                Inbound::Handover { from, handover, exchange, .. } => {
                    smol::spawn(Arc::clone(&self).serve_handover(from, *handover, exchange))
                        .detach();
                }
                Inbound::Notice { from, topic: Topic::Work, payload } => {
                    self.receive_load(&from, &payload);
                }
                _ => {}
            }
        }
    }

    async fn answer_health(self: Arc<Self>, listener: TcpListener) {
        let (_stop, stopped) = Stop::new();
        let handler = move |_request: Request<Incoming>| {
            let ready = self.is_ready();
            async move {
                let mut response = Response::new(http::empty());
                if !ready {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                response as Response<Body>
            }
        };
        let _ = http::serve(listener, Limits::default, stopped, handler).await;
    }

    /// Whether the VM takes new work.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.route_table().is_some()
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// The limits that the routes set for callers' connections.
    fn limits(&self) -> Limits {
        let limits = self.route_table().map_or_else(route::Limits::default, |table| table.limits);
        Limits {
            // The time for a head counts from the end of the last request.
            header_time: limits.idle_timeout + limits.head_timeout,
            headers: MOST_HEADERS,
            buffer: limits.head_bytes + HEAD_ROOM,
        }
    }

    /// Ends when the VM begins to stop.
    pub(super) async fn stop_requested(&self) {
        let _ = self.stopped.recv().await;
    }

    /// Counts as work in flight until dropped.
    pub(super) fn in_flight_guard(&self) -> Option<Sender<Infallible>> {
        lock(&self.busy).clone()
    }

    pub(super) fn route_table(&self) -> Option<Arc<Table>> {
        lock(&self.table).clone()
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

    /// The VMs of this region that take callers, this one included.
    pub(super) fn region_peers(&self, mirror: &Mirror) -> Peers {
        let here = self.settings.region.as_str();
        let near = mirror
            .vms()
            .iter()
            .filter(|vm| vm.ready && !vm.callers_address.is_empty() && vm.region == here);
        Peers::new(self.settings.vm().as_str(), near.map(|vm| vm.vm.as_str()))
    }

    /// Whether the nearest replica was tried lately, while another one is followed.
    pub(super) fn keeps_current_replica(&self) -> bool {
        self.random().random_range(0..10) > 0
    }

    /// Takes a list of routes, unless it is not newer than the one in force.
    pub(super) fn apply_routes(&self, version: u64, text: &Bytes) {
        let known = self.route_table();
        if known.as_ref().is_some_and(|table| table.version >= version) {
            return;
        }
        match (self.read_routes)(text) {
            Ok(table) => {
                event::registry::IN_FORCE
                    .emit(&self.logger, &[("version", &version), ("routes", &table.len())]);
                *lock(&self.table) = Some(Arc::new(table));
            }
            Err(fault) => {
                event::registry::UNREADABLE.emit(&self.logger, &[("cause", &fault)]);
            }
        }
    }

    /// Reads the seeds again, which operators change as VMs are replaced.
    pub fn reload_seeds(&self) {
        let Some(file) = &self.file else { return };
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

    /// Stops gracefully within the grace: is not ready at once, tells callers to close, lets
    /// requests in flight end.
    pub async fn drain(self) {
        let Self { gateway, server, stop, idle } = self;
        let grace = gateway.settings.bounds.shutdown_grace.saturating_sub(RESERVE);
        let end = gateway.clock.now() + grace;
        event::path::STOPPING.emit(&gateway.logger, &[]);
        gateway.stopping.store(true, Ordering::Relaxed);
        drop(lock(&gateway.stop).take());
        // The other half of a short grace is for the requests that are in flight then.
        Timer::after(LINGER.min(grace / 2)).await;
        stop.stop();
        let left = || end.saturating_duration_since(gateway.clock.now());
        let _ = within(left(), server).await;
        drop(lock(&gateway.busy).take());
        let _ = within(left(), idle.recv()).await;
        gateway.hub.close();
        event::path::STOPPED.emit(&gateway.logger, &[]);
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|cause| Error::Listen(address, cause))
}

fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
