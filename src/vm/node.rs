use std::{
    convert::Infallible,
    fmt, fs, io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU32},
    time::Instant,
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

use super::{replica_groups::ReplicaGroups, routing::Routing};
use crate::{
    admin::Trail,
    clock::{Clock, within},
    event,
    figure::{Board, Statsd},
    http::{self, Limits, Stop, Stopped},
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

const INBOUND_QUEUE: usize = 4096;

/// One VM: its settings, its state and its links.
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
    /// The lists of the files, where no replicas are named.
    pub(super) static_book: Option<Arc<Book>>,
    pub(super) incarnation: u64,
    pub(super) members: Mutex<member::Membership>,
    pub(super) in_flight: AtomicU32,
    pub(super) metrics: Board,
    routing: Mutex<Routing>,
    /// Who may give orders in each region, where this VM leads the group of the lists.
    pub(super) leases: Mutex<order::Leases>,
    trail: Mutex<Trail>,
    random: Mutex<StdRng>,
    stopped: Stopped,
    busy: Mutex<Option<Sender<Infallible>>>,
}

/// A VM whose tasks run; dropping it stops them.
#[derive(Debug)]
pub struct RunningVm {
    vm: Arc<Vm>,
    tasks: Vec<Task<()>>,
    server: Task<()>,
    stop: Stop,
    idle: Receiver<Infallible>,
}

/// Why a VM cannot start.
#[derive(Debug)]
pub enum Error {
    /// A listening address cannot be taken.
    Listen(std::net::SocketAddr, io::Error),
    /// The operating system gives no random numbers.
    Random(rand::rngs::SysError),
    /// A replica cannot start.
    Agreement(replica::Error),
    /// The saved lists cannot be used.
    Lists(String),
    /// The socket for figures cannot be opened.
    Statsd(io::Error),
    /// A file cannot be read.
    Read(std::path::PathBuf, io::Error),
    /// The catalogue of names cannot be used.
    Names(name::Error),
    /// A file does not hold what it should.
    Parse(std::path::PathBuf, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, cause) => {
                write!(f, "cannot listen on {address}: {cause}; set a free address of this VM")
            }
            Self::Names(cause) => cause.fmt(f),
            Self::Agreement(cause) => cause.fmt(f),
            Self::Lists(cause) => write!(f, "the saved lists cannot be used: {cause}"),
            Self::Random(cause) => {
                write!(f, "no random numbers: {cause}; check the operating system")
            }
            Self::Statsd(cause) => {
                write!(f, "no socket for figures: {cause}; leave out `figures.statsd`")
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
    /// Where an address cannot be taken or a file is missing or invalid.
    pub async fn start(
        settings: Settings,
        clock: Arc<dyn Clock>,
        logger: Logger,
    ) -> Result<RunningVm, Error> {
        let static_book = fixed_book(&settings)?;
        let names = names(&settings)?;
        let (admission, expire) = Admission::new(settings.limits, Arc::clone(&clock));
        let callers = listen(settings.callers).await?;
        let links = listen(settings.links).await?;
        let statsd = Statsd::open(&settings.figures).map_err(Error::Statsd)?;
        let mut random = StdRng::try_from_rng(&mut SysRng).map_err(Error::Random)?;
        let (sender, inbound) = smol::channel::bounded(INBOUND_QUEUE);
        let incarnation = incarnation(&*clock);
        let hello = hello(&settings, incarnation);
        let hub = Hub::with_logger(hello, settings.link.settings(), sender, logger.clone());
        let members = member::Membership::new(
            member::Settings::default(),
            settings.this(),
            incarnation,
            settings.peers.iter().cloned(),
            random.random(),
            clock.now(),
        );
        let (replica_groups, outgoing) =
            ReplicaGroups::start(&settings, &clock, &logger).await.map_err(Error::Agreement)?;
        let list_sync = list_sync(&settings, &mut random, clock.now())?;
        let (stop, stopped) = Stop::new();
        let (busy, idle) = smol::channel::bounded(1);
        let (name, region) = (settings.vm.clone(), settings.region.clone());
        let routing = Routing::new(&settings, random.random());
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
            random: Mutex::new(random),
            stopped: stopped.clone(),
            busy: Mutex::new(Some(busy)),
        });
        let mut tasks = vm.link_tasks(links, inbound);
        vm.join().await;
        event::path::STARTED.emit(&vm.logger, &[("callers", &vm.settings.callers)]);
        let server = smol::spawn(Arc::clone(&vm).listen(callers, stopped));
        tasks.extend([
            smol::spawn(expire),
            smol::spawn(Arc::clone(&vm).gossip()),
            smol::spawn(Arc::clone(&vm).send_replica_messages(outgoing)),
            smol::spawn(Arc::clone(&vm).sync_lists()),
            smol::spawn(Arc::clone(&vm).seed_lists()),
            smol::spawn(Arc::clone(&vm).tend_claims()),
            smol::spawn(Arc::clone(&vm).tend_routing()),
            smol::spawn(Arc::clone(&vm).run_order_controller()),
        ]);
        Ok(RunningVm { vm, tasks, server, stop, idle })
    }

    async fn listen(self: Arc<Self>, callers: TcpListener, stopped: Stopped) {
        let handler = move |request| Arc::clone(&self).route(request);
        let _ = http::serve(callers, Limits::default, stopped, handler).await;
    }

    fn link_tasks(
        self: &Arc<Self>,
        links: TcpListener,
        inbound: Receiver<Inbound>,
    ) -> Vec<Task<()>> {
        let hub = Arc::clone(&self.hub);
        let accept = async move {
            let _ = hub.accept(links).await;
        };
        let receive = Arc::clone(self).receive(inbound);
        vec![smol::spawn(accept), smol::spawn(receive)]
    }

    /// The targets that this VM knows.
    pub(super) fn targets(&self) -> MutexGuard<'_, View> {
        lock(&self.targets)
    }

    /// What this VM decides with where requests go.
    pub(super) fn routing(&self) -> MutexGuard<'_, Routing> {
        lock(&self.routing)
    }

    /// Whether the VM was told to stop, or an operator planned its stop.
    pub(super) fn is_stopping(&self) -> bool {
        let Settings { vm, zone, region, .. } = &self.settings;
        self.stopped.is_stopped() || self.planned_stops().covers_vm(vm, zone, region)
    }

    /// Counts as work in flight until dropped; nothing where the VM no longer waits for work.
    pub(super) fn in_flight_guard(&self) -> Option<Sender<Infallible>> {
        lock(&self.busy).clone()
    }

    /// The ways of the latest requests.
    pub(super) fn trail(&self) -> MutexGuard<'_, Trail> {
        lock(&self.trail)
    }

    /// A new identifier for a request.
    pub(super) fn new_request_id(&self) -> id::Request {
        let number: u64 = lock(&self.random).random();
        id::Request::from(format!("{number:016x}"))
    }

    /// The members that this VM knows.
    pub(super) fn members(&self) -> MutexGuard<'_, member::Membership> {
        lock(&self.members)
    }

    /// The VMs of `regions`, or of all where there are none, that are under no planned stop, best
    /// first.
    pub(super) fn usable(&self, regions: &[id::Region]) -> Vec<Peer> {
        let now = self.clock.now();
        let stops = self.planned_stops();
        self.members().directory_where(now, |peer| {
            let wanted = regions.is_empty() || regions.contains(&peer.region);
            wanted && !stops.covers_vm(&peer.vm, &peer.zone, &peer.region)
        })
    }

    /// The other VMs of `regions` to hand a request to or to name to a caller, best first.
    pub(super) fn peers_in(&self, regions: &[id::Region]) -> Vec<Peer> {
        let mut peers = self.usable(regions);
        peers.retain(|peer| peer.vm != self.settings.vm);
        peers
    }

    /// Every VM that this VM knows and does not take for gone, itself among them.
    pub(super) fn known_vms(&self) -> Vec<Peer> {
        let now = self.clock.now();
        let members = self.members();
        let alive = members.members(now).filter(|(_, state)| *state != member::State::Gone);
        alive.map(|(entry, _)| members.peer_of(entry)).collect()
    }

    /// How to reach `vm`, alive or not.
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

    /// Stops at once, as a failure would.
    pub async fn stop(self) {
        self.vm.hub.close();
        self.server.cancel().await;
        for task in self.tasks {
            task.cancel().await;
        }
    }

    /// Stops gracefully: takes no new request, lets those in flight end, at most for the time
    /// that a request may take.
    pub async fn drain(self) {
        event::path::STOPPING.emit(&self.vm.logger, &[]);
        self.vm.announce_leaving().await;
        self.stop.stop();
        let limit = self.vm.settings.deadline();
        let _ = within(limit, self.server).await;
        drop(lock(&self.vm.busy).take());
        let _ = within(limit, self.idle.recv()).await;
        self.vm.hub.close();
        for task in self.tasks {
            task.cancel().await;
        }
        event::path::STOPPED.emit(&self.vm.logger, &[]);
    }

    /// Runs until `signal` says to stop, then stops gracefully.
    pub async fn run_until(self, signal: impl Future<Output = ()>) {
        signal.await;
        self.drain().await;
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Grows from one start of a VM's process to the next.
fn incarnation(clock: &dyn Clock) -> u64 {
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

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).await.map_err(|cause| Error::Listen(address, cause))
}

fn names(settings: &Settings) -> Result<Catalogue, Error> {
    match &settings.names {
        Some(path) => Catalogue::read(path).map_err(Error::Names),
        None => Catalogue::new(name::Document::default()).map_err(Error::Names),
    }
}

fn list_sync(settings: &Settings, random: &mut StdRng, now: Instant) -> Result<ListSync, Error> {
    let image = match &settings.data {
        Some(folder) => {
            fs::create_dir_all(folder).map_err(|cause| Error::Read(folder.clone(), cause))?;
            list_state::load_cache(folder).map_err(|cause| Error::Lists(cause.to_string()))?
        }
        None => None,
    };
    let follow = list_state::Settings {
        vm: settings.vm.clone(),
        region: settings.region.clone(),
        has_disk: settings.data.is_some(),
        ..list_state::Settings::default()
    };
    let seed = StdRng::seed_from_u64(random.random());
    ListSync::new(follow, image.as_deref(), seed, now).map_err(Error::Lists)
}

/// The lists of the files, where they are not to come from replicas.
fn fixed_book(settings: &Settings) -> Result<Option<Arc<Book>>, Error> {
    if !settings.replicas.is_empty() {
        return Ok(None);
    }
    let plans = settings.plans.as_deref().map(read).transpose()?;
    let allowances = settings.allowances.as_deref().map(read).transpose()?;
    let book =
        Book::new(plans.unwrap_or_else(List::default), allowances.unwrap_or_else(List::default));
    Ok(Some(Arc::new(book)))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    serde_json::from_str(&text).map_err(|cause| Error::Parse(path.to_owned(), cause.to_string()))
}
