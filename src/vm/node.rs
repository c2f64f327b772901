use std::{
    convert::Infallible,
    fmt, fs, io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
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

use crate::{
    clock::{Clock, within},
    event,
    http::{self, Limits, Stop, Stopped},
    id,
    limit::{self, Admission},
    link::{self, Hub, Inbound},
    list::{Book, List},
    name::{self, Catalogue},
    settings::{Peer, Settings},
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
    book: Mutex<Arc<Book>>,
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
        let book = first_book(&settings)?;
        let names = names(&settings)?;
        let (admission, expire) = Admission::new(limit::Settings::default(), Arc::clone(&clock));
        let callers = listen(settings.callers).await?;
        let links = listen(settings.links).await?;
        let mut random = StdRng::try_from_rng(&mut SysRng).map_err(Error::Random)?;
        let (sender, inbound) = smol::channel::bounded(INBOUND_QUEUE);
        let hub = Hub::new(hello(&settings, random.random()), link::Settings::default(), sender);
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
            book: Mutex::new(Arc::new(book)),
            random: Mutex::new(random),
            stopped: stopped.clone(),
            busy: Mutex::new(Some(busy)),
        });
        event::path::STARTED.emit(&vm.logger, &[("callers", &vm.settings.callers)]);
        let server = smol::spawn(Arc::clone(&vm).listen(callers, stopped));
        let mut tasks = vm.tasks(links, inbound);
        tasks.push(smol::spawn(expire));
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

    /// The lists in force at this moment.
    pub(super) fn book(&self) -> Arc<Book> {
        Arc::clone(&lock(&self.book))
    }

    /// The targets that this VM knows.
    pub(super) fn targets(&self) -> MutexGuard<'_, View> {
        lock(&self.targets)
    }

    /// Whether the VM was told to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopped.is_stopped()
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
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

fn first_book(settings: &Settings) -> Result<Book, Error> {
    let plans = settings.plans.as_deref().map(read).transpose()?;
    let allowances = settings.allowances.as_deref().map(read).transpose()?;
    Ok(Book::new(plans.unwrap_or_else(List::default), allowances.unwrap_or_else(List::default)))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    serde_json::from_str(&text).map_err(|cause| Error::Parse(path.to_owned(), cause.to_string()))
}
