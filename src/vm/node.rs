use std::{
    convert::Infallible,
    fmt, fs, io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime},
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

use super::agreement::Agreement;
use crate::{
    clock::{Clock, within},
    event,
    http::{self, Limits, Stop, Stopped},
    id,
    limit::{self, Admission},
    link::{self, Hub, Inbound},
    list::{Book, List},
    name::{self, Catalogue},
    replica,
    settings::{Peer, Settings},
    state::{self, Follower},
    target::View,
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
    pub(super) agreement: Agreement,
    pub(super) follower: Mutex<Follower>,
    /// The lists of the files, where no replicas are named.
    pub(super) fixed: Option<Arc<Book>>,
    pub(super) incarnation: u64,
    random: Mutex<StdRng>,
    stopped: Stopped,
    busy: Mutex<Option<Sender<Infallible>>>,
}

/// A VM whose tasks run; dropping it stops them.
#[derive(Debug)]
pub struct Running {
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
    ) -> Result<Running, Error> {
        let fixed = fixed_book(&settings)?;
        let names = names(&settings)?;
        let (admission, expire) = Admission::new(limit::Settings::default(), Arc::clone(&clock));
        let callers = listen(settings.callers).await?;
        let links = listen(settings.links).await?;
        let mut random = StdRng::try_from_rng(&mut SysRng).map_err(Error::Random)?;
        let (sender, inbound) = smol::channel::bounded(INBOUND_QUEUE);
        let incarnation = incarnation(clock.wall());
        let hub = Hub::new(hello(&settings, incarnation), link::Settings::default(), sender);
        let (agreement, outgoing) =
            Agreement::start(&settings, &clock, &logger).await.map_err(Error::Agreement)?;
        let follower = follower(&settings, &mut random, clock.now())?;
        let (stop, stopped) = Stop::new();
        let (busy, idle) = smol::channel::bounded(1);
        let vm = Arc::new(Self {
            settings,
            clock,
            logger,
            hub,
            targets: Mutex::default(),
            names,
            admission,
            agreement,
            follower: Mutex::new(follower),
            fixed,
            incarnation,
            random: Mutex::new(random),
            stopped: stopped.clone(),
            busy: Mutex::new(Some(busy)),
        });
        event::path::STARTED.emit(&vm.logger, &[("callers", &vm.settings.callers)]);
        let server = smol::spawn(Arc::clone(&vm).listen(callers, stopped));
        let mut tasks = vm.tasks(links, inbound);
        tasks.push(smol::spawn(expire));
        tasks.push(smol::spawn(Arc::clone(&vm).send_agreement(outgoing)));
        tasks.push(smol::spawn(Arc::clone(&vm).follow()));
        tasks.push(smol::spawn(Arc::clone(&vm).seed()));
        tasks.push(smol::spawn(Arc::clone(&vm).tend_claims()));
        Ok(Running { vm, tasks, server, stop, idle })
    }

    async fn listen(self: Arc<Self>, callers: TcpListener, stopped: Stopped) {
        let handler = move |request| Arc::clone(&self).route(request);
        let _ = http::serve(callers, Limits::default(), stopped, handler).await;
    }

    fn tasks(self: &Arc<Self>, links: TcpListener, inbound: Receiver<Inbound>) -> Vec<Task<()>> {
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

    /// Whether the VM was told to stop, or an operator planned its stop.
    pub(super) fn is_stopping(&self) -> bool {
        let Settings { vm, zone, region, .. } = &self.settings;
        self.stopped.is_stopped() || self.stops().vm(vm, zone, region)
    }

    /// Counts as work in flight until dropped; nothing where the VM no longer waits for work.
    pub(super) fn busy(&self) -> Option<Sender<Infallible>> {
        lock(&self.busy).clone()
    }

    /// A new identifier for a request.
    pub(super) fn request_id(&self) -> id::Request {
        let number: u64 = lock(&self.random).random();
        id::Request::from(format!("{number:016x}"))
    }

    /// The VMs that this VM knows, itself among them.
    pub(super) fn peers(&self) -> Vec<Peer> {
        let others = self.others().cloned();
        std::iter::once(self.settings.this()).chain(others).collect()
    }

    /// How to reach `vm`.
    pub(super) fn peer(&self, vm: &id::Vm) -> Option<Peer> {
        self.peers().into_iter().find(|peer| peer.vm == *vm)
    }

    /// The other VMs that this VM knows.
    pub(super) fn others(&self) -> impl Iterator<Item = &Peer> {
        self.settings.peers.iter().filter(|peer| peer.vm != self.settings.vm)
    }
}

impl Running {
    /// The VM.
    pub fn vm(&self) -> &Arc<Vm> {
        &self.vm
    }

    /// Stops at once, as a failure would.
    pub async fn stop(self) {
        self.server.cancel().await;
        for task in self.tasks {
            task.cancel().await;
        }
    }

    /// Stops gracefully: takes no new request, lets those in flight end, at most for the time
    /// that a request may take.
    pub async fn drain(self) {
        event::path::STOPPING.emit(&self.vm.logger, &[]);
        self.stop.stop();
        let limit = self.vm.settings.deadline();
        let _ = within(limit, self.server).await;
        drop(lock(&self.vm.busy).take());
        let _ = within(limit, self.idle.recv()).await;
        for task in self.tasks {
            task.cancel().await;
        }
        event::path::STOPPED.emit(&self.vm.logger, &[]);
    }

    /// Runs until `signal` says to stop, then stops gracefully.
    pub async fn until(self, signal: impl Future<Output = ()>) {
        signal.await;
        self.drain().await;
    }
}

/// How long a target's announcement holds.
pub(super) const LEASE: Duration = Duration::from_secs(5);

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Grows with each start of the process.
fn incarnation(wall: SystemTime) -> u64 {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn follower(settings: &Settings, random: &mut StdRng, now: Instant) -> Result<Follower, Error> {
    let image = match &settings.data {
        Some(folder) => {
            fs::create_dir_all(folder).map_err(|cause| Error::Read(folder.clone(), cause))?;
            state::load(folder).map_err(|cause| Error::Lists(cause.to_string()))?
        }
        None => None,
    };
    let follow = state::Settings {
        vm: settings.vm.clone(),
        region: settings.region.clone(),
        disk: settings.data.is_some(),
        ..state::Settings::default()
    };
    let seed = StdRng::seed_from_u64(random.random());
    Follower::new(follow, image.as_deref(), seed, now).map_err(Error::Lists)
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
