use std::{
    convert::Infallible,
    fmt, fs, io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU32},
    time::{Duration, Instant},
};

use rand::{
    RngExt, SeedableRng,
    rngs::{StdRng, SysRng},
};
use serde::de::DeserializeOwned;
use slog::Logger;
use smol::{
    Task,
    channel::{Receiver, Sender},
    net::TcpListener,
};

use super::{replica_groups::ReplicaGroups, routing_state::RoutingState};
use crate::{
    admin::Trail,
    clock::{Clock, within},
    event,
    figure::{Board, Statsd},
    http::{self, BufferBudget, Limits, Stop, Stopped},
    id,
    limit::Admission,
    link::{Hub, Inbound},
    list::{Book, List},
    list_state::{self, ListSync},
    member,
    name::{self, Catalogue},
    order, replica,
    settings::{Peer, Settings},
    target::{self, View},
    wire::Hello,
};

const INBOUND_QUEUE_MESSAGES: usize = 4096;
/// The memory for responses that are held back until they can go to their callers.
const BUFFER_BUDGET_BYTES: usize = 8 * 1024 * 1024;
/// The part of the grace of a stop that is reserved for the exit of the process, after the last
/// answer of a target.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// The part of that reserve for the answers to requests that did not end in time.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// One VM: its settings, its state and its links to other VMs.
#[derive(Debug)]
pub struct Vm {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) logger: Logger,
    pub(super) hub: Arc<Hub>,
    pub(super) targets: Mutex<View>,
    pub(super) names: Catalogue,
    pub(super) admission: Arc<Admission>,
    pub(super) replica_groups: ReplicaGroups,
    pub(super) list_sync: Mutex<ListSync>,
    /// The lists from the files in the settings, if the settings name no replicas.
    pub(super) static_book: Option<Arc<Book>>,
    pub(super) incarnation: u64,
    pub(super) members: Mutex<member::Membership>,
    pub(super) in_flight: AtomicU32,
    pub(super) metrics: Board,
    routing: Mutex<RoutingState>,
    /// The leases to give orders in each region, which this VM grants while it leads the lists
    /// group.
    pub(super) leases: Mutex<order::Leases>,
    trail: Mutex<Trail>,
    /// The memory for responses that are held back.
    pub(super) buffer_budget: Arc<BufferBudget>,
    rng: Mutex<StdRng>,
    stopped: Stopped,
    /// Cloned for each request in flight, which [`RunningVm::drain`] waits for; `None` once it waits
    /// for no further ones.
    in_flight_guard: Mutex<Option<Sender<Infallible>>>,
    /// Dropped at the end of the grace of a stop, which closes `grace_receiver`.
    pub(super) grace_sender: Mutex<Option<Sender<Infallible>>>,
    pub(super) grace_receiver: Receiver<Infallible>,
}

/// A VM with its running tasks; dropping it stops them.
#[derive(Debug)]
pub struct RunningVm {
    vm: Arc<Vm>,
    tasks: Vec<Task<()>>,
    server: Task<()>,
    stop: Stop,
    /// Closes when no request holds an in-flight guard any more.
    requests_ended: Receiver<Infallible>,
}

/// Why a VM cannot start.
#[derive(Debug)]
pub enum Error {
    /// The VM cannot listen on an address.
    Listen(std::net::SocketAddr, io::Error),
    /// The operating system did not provide random numbers.
    Random(rand::rngs::SysError),
    /// A replica cannot start.
    Replica(replica::Error),
    /// The saved lists cannot be used.
    Lists(String),
    /// The socket for statsd cannot be opened.
    Statsd(io::Error),
    /// A file cannot be read.
    Read(std::path::PathBuf, io::Error),
    /// The catalogue of names cannot be used.
    Names(name::Error),
    /// A file cannot be parsed.
    Parse(std::path::PathBuf, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, cause) => {
                write!(f, "cannot listen on {address}: {cause}; set a free address of this VM")
            }
            Self::Names(cause) => cause.fmt(f),
            Self::Replica(cause) => cause.fmt(f),
            Self::Lists(cause) => {
                write!(f, "the lists saved in the data folder cannot be used: {cause}")
            }
            Self::Random(cause) => {
                write!(f, "cannot read random numbers: {cause}; check the operating system")
            }
            Self::Statsd(cause) => {
                write!(
                    f,
                    "cannot open a socket for statsd: {cause}; remove the setting `figures.statsd`"
                )
            }
            Self::Read(path, cause) => {
                write!(
                    f,
                    "cannot read {}: {cause}; correct the path in the settings",
                    path.display()
                )
            }
            Self::Parse(path, cause) => {
                write!(f, "{} is not valid: {cause}; correct the file", path.display())
            }
        }
    }
}

impl std::error::Error for Error {}

impl Vm {
    /// Starts a VM.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use, a file is missing or invalid, or a replica cannot start.
    pub async fn start(
        settings: Settings,
        clock: Arc<dyn Clock>,
        logger: Logger,
    ) -> Result<RunningVm, Error> {
        let static_book = read_static_book(&settings)?;
        let names = read_names(&settings)?;
        let (admission, expiry_task) = Admission::new(settings.limits, Arc::clone(&clock));
        let callers = bind(settings.callers).await?;
        let links = bind(settings.links).await?;
        let statsd = Statsd::open(&settings.figures).map_err(Error::Statsd)?;
        let mut rng = StdRng::try_from_rng(&mut SysRng).map_err(Error::Random)?;
        let (sender, inbound) = smol::channel::bounded(INBOUND_QUEUE_MESSAGES);
        let incarnation = new_incarnation(&*clock);
        let hello = hello(&settings, incarnation);
        let hub = Hub::with_logger(hello, settings.link.settings(), sender, logger.clone());
        let members = member::Membership::new(
            member::Settings::default(),
            settings.this(),
            incarnation,
            settings.peers.iter().cloned(),
            rng.random(),
            clock.now(),
        );
        let (replica_groups, outgoing) =
            ReplicaGroups::start(&settings, &clock, &logger).await.map_err(Error::Replica)?;
        let list_sync = load_list_sync(&settings, &mut rng, clock.now())?;
        let (stop, stopped) = Stop::new();
        let (in_flight_guard, requests_ended) = smol::channel::bounded(1);
        let (grace_sender, grace_receiver) = smol::channel::bounded(1);
        let (name, region) = (settings.vm.clone(), settings.region.clone());
        let routing = RoutingState::new(&settings, rng.random());
        let vm = Arc::new(Self {
            settings,
            clock,
            logger,
            hub,
            targets: Mutex::new(View::new(target::Settings::default(), name, region)),
            members: Mutex::new(members),
            in_flight: AtomicU32::new(0),
            names,
            admission,
            replica_groups,
            list_sync: Mutex::new(list_sync),
            static_book,
            incarnation,
            metrics: Board::with(statsd),
            routing: Mutex::new(routing),
            leases: Mutex::default(),
            trail: Mutex::default(),
            buffer_budget: BufferBudget::new(BUFFER_BUDGET_BYTES),
            rng: Mutex::new(rng),
            stopped: stopped.clone(),
            in_flight_guard: Mutex::new(Some(in_flight_guard)),
            grace_sender: Mutex::new(Some(grace_sender)),
            grace_receiver,
        });
        let mut tasks = vm.spawn_link_tasks(links, inbound);
        vm.join().await;
        event::path::STARTED.emit(&vm.logger, &[("callers", &vm.settings.callers)]);
        let server = smol::spawn(Arc::clone(&vm).serve_callers(callers, stopped));
        tasks.extend([
            smol::spawn(expiry_task),
            smol::spawn(Arc::clone(&vm).gossip()),
            smol::spawn(Arc::clone(&vm).send_replica_messages(outgoing)),
            smol::spawn(Arc::clone(&vm).sync_lists()),
            smol::spawn(Arc::clone(&vm).seed_lists()),
            smol::spawn(Arc::clone(&vm).maintain_claims()),
            smol::spawn(Arc::clone(&vm).maintain_routing()),
            smol::spawn(Arc::clone(&vm).run_order_controller()),
        ]);
        Ok(RunningVm { vm, tasks, server, stop, requests_ended })
    }

    async fn serve_callers(self: Arc<Self>, callers: TcpListener, stopped: Stopped) {
        let logger = self.logger.clone();
        let handler = move |request| Arc::clone(&self).handle_request(request);
        http::serve(callers, Limits::default, stopped, &logger, handler).await;
    }

    fn spawn_link_tasks(
        self: &Arc<Self>,
        links: TcpListener,
        inbound: Receiver<Inbound>,
    ) -> Vec<Task<()>> {
        let hub = Arc::clone(&self.hub);
        let accept = async move {
            let _ = hub.accept(links).await;
        };
        let receive = Arc::clone(self).handle_inbound(inbound);
        vec![smol::spawn(accept), smol::spawn(receive)]
    }

    pub(super) fn targets(&self) -> MutexGuard<'_, View> {
        lock(&self.targets)
    }

    pub(super) fn routing(&self) -> MutexGuard<'_, RoutingState> {
        lock(&self.routing)
    }

    /// Whether the VM was told to stop, or a planned stop covers it.
    pub(super) fn is_stopping(&self) -> bool {
        let Settings { vm, zone, region, .. } = &self.settings;
        self.stopped.is_stopped() || self.planned_stops().covers_vm(vm, zone, region)
    }

    /// A guard that makes [`RunningVm::drain`] wait until it is dropped; `None` if the VM no longer
    /// waits.
    pub(super) fn in_flight_guard(&self) -> Option<Sender<Infallible>> {
        lock(&self.in_flight_guard).clone()
    }

    /// The latest requests and the VMs and targets that each has crossed.
    pub(super) fn trail(&self) -> MutexGuard<'_, Trail> {
        lock(&self.trail)
    }

    pub(super) fn new_request_id(&self) -> id::Request {
        let number: u64 = lock(&self.rng).random();
        id::Request::from(format!("{number:016x}"))
    }

    pub(super) fn members(&self) -> MutexGuard<'_, member::Membership> {
        lock(&self.members)
    }

    /// The VMs in `regions`, or in all regions if `regions` is empty, that no planned stop covers,
    /// best first. This VM is included.
    pub(super) fn available_vms(&self, regions: &[id::Region]) -> Vec<Peer> {
        let now = self.clock.now();
        let stops = self.planned_stops();
        self.members().directory_where(now, |peer| {
            let wanted = regions.is_empty() || regions.contains(&peer.region);
            wanted && !stops.covers_vm(&peer.vm, &peer.zone, &peer.region)
        })
    }

    /// Like [`Vm::available_vms`], without this VM.
    pub(super) fn other_available_vms(&self, regions: &[id::Region]) -> Vec<Peer> {
        let mut peers = self.available_vms(regions);
        peers.retain(|peer| peer.vm != self.settings.vm);
        peers
    }

    /// All VMs that are not known to be gone, this one included.
    pub(super) fn known_vms(&self) -> Vec<Peer> {
        let now = self.clock.now();
        let members = self.members();
        let not_gone = members.members(now).filter(|(_, state)| *state != member::State::Gone);
        not_gone.map(|(entry, _)| members.peer_of(entry)).collect()
    }

    /// The addresses of `vm`, whether it is alive or not.
    pub(super) fn peer(&self, vm: &id::Vm) -> Option<Peer> {
        let now = self.clock.now();
        let members = self.members();
        let found = members.members(now).find(|(entry, _)| entry.peer.vm == *vm);
        let known = found.map(|(entry, _)| members.peer_of(entry));
        known.or_else(|| self.settings.peers.iter().find(|peer| peer.vm == *vm).cloned())
    }
}

impl RunningVm {
    /// The VM.
    pub fn vm(&self) -> &Arc<Vm> {
        &self.vm
    }

    /// Stops at once, like a crash: requests in flight are cut off.
    pub async fn stop(self) {
        self.vm.hub.close().await;
        self.server.cancel().await;
        for task in self.tasks {
            task.cancel().await;
        }
    }

    /// Stops gracefully: accepts no new requests and waits for those in flight, at most until the
    /// end of the grace. Those that have not ended by then get an answer that promises nothing.
    pub async fn drain(self) {
        let Self { vm, tasks, mut server, stop, requests_ended } = self;
        event::path::STOPPING.emit(&vm.logger, &[]);
        let stopped_at = vm.clock.now();
        let grace_ends_at = stopped_at + vm.settings.stop_grace().saturating_sub(EXIT_RESERVE);
        let time_left = || grace_ends_at.saturating_duration_since(vm.clock.now());
        let _ = within(time_left(), vm.announce_leaving()).await;
        stop.stop();
        let server_ended = within(time_left(), &mut server).await.is_some();
        drop(lock(&vm.in_flight_guard).take());
        let _ = within(time_left(), requests_ended.recv()).await;
        vm.end_grace();
        let flush_ends_at = vm.clock.now() + FLUSH_TIMEOUT;
        if !server_ended {
            let _ = within(FLUSH_TIMEOUT, server).await;
        }
        let time_left = flush_ends_at.saturating_duration_since(vm.clock.now());
        let _ = within(time_left, requests_ended.recv()).await;
        vm.hub.close().await;
        for task in tasks {
            task.cancel().await;
        }
        let took = vm.clock.now().saturating_duration_since(stopped_at);
        event::path::STOPPED.emit(&vm.logger, &[("took_ms", &took.as_millis())]);
    }

    /// Runs until `signal` completes, then stops gracefully.
    pub async fn run_until(self, signal: impl Future<Output = ()>) {
        signal.await;
        self.drain().await;
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A number that grows with each start of the process: the wall-clock time in microseconds.
fn new_incarnation(clock: &dyn Clock) -> u64 {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

fn hello(settings: &Settings, incarnation: u64) -> Hello {
    Hello {
        vm: settings.vm.to_string(),
        region: settings.region.to_string(),
        incarnation,
        connection: 0,
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|cause| Error::Listen(address, cause))
}

fn read_names(settings: &Settings) -> Result<Catalogue, Error> {
    match &settings.names {
        Some(path) => Catalogue::read(path).map_err(Error::Names),
        None => Catalogue::new(name::Document::default()).map_err(Error::Names),
    }
}

fn load_list_sync(settings: &Settings, rng: &mut StdRng, now: Instant) -> Result<ListSync, Error> {
    let cached_lists = match &settings.data {
        Some(folder) => {
            fs::create_dir_all(folder).map_err(|cause| Error::Read(folder.clone(), cause))?;
            list_state::load_cache(folder).map_err(|cause| Error::Lists(cause.to_string()))?
        }
        None => None,
    };
    let sync_settings = list_state::Settings {
        vm: settings.vm.clone(),
        region: settings.region.clone(),
        has_disk: settings.data.is_some(),
        ..list_state::Settings::default()
    };
    let sync_rng = StdRng::seed_from_u64(rng.random());
    ListSync::new(sync_settings, cached_lists.as_deref(), sync_rng, now).map_err(Error::Lists)
}

/// Reads the lists from files, unless the settings name replicas that provide them.
fn read_static_book(settings: &Settings) -> Result<Option<Arc<Book>>, Error> {
    if !settings.replicas.is_empty() {
        return Ok(None);
    }
    let plans = settings.plans.as_deref().map(read_json).transpose()?;
    let allowances = settings.allowances.as_deref().map(read_json).transpose()?;
    let book =
        Book::new(plans.unwrap_or_else(List::default), allowances.unwrap_or_else(List::default));
    Ok(Some(Arc::new(book)))
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    serde_json::from_str(&text).map_err(|cause| Error::Parse(path.to_owned(), cause.to_string()))
}
