use std::{
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
use smol::{Task, channel::Receiver, net::TcpListener};

use crate::{
    admin::Trail,
    clock::Clock,
    event,
    figure::{Board, Statsd},
    http::{self, Limits},
    id,
    link::{Hub, Inbound},
    list::{Book, List},
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
    pub(super) board: Board,
    trail: Mutex<Trail>,
    book: Mutex<Arc<Book>>,
    random: Mutex<StdRng>,
}

/// A VM whose tasks run; dropping it stops them.
#[derive(Debug)]
pub struct Running {
    vm: Arc<Vm>,
    tasks: Vec<Task<()>>,
}

/// Why a VM cannot start.
#[derive(Debug)]
pub enum Error {
    /// A listening address cannot be taken.
    Listen(std::net::SocketAddr, io::Error),
    /// The operating system gives no random numbers.
    Random(rand::rngs::SysError),
    /// The socket for figures cannot be opened.
    Statsd(io::Error),
    /// A file cannot be read.
    Read(std::path::PathBuf, io::Error),
    /// A file does not hold what it should.
    Parse(std::path::PathBuf, String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, cause) => {
                write!(f, "cannot listen on {address}: {cause}; set a free address of this VM")
            }
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
    ) -> Result<Running, Error> {
        let book = first_book(&settings)?;
        let callers = listen(settings.callers).await?;
        let links = listen(settings.links).await?;
        let statsd = Statsd::open(&settings.figures).map_err(Error::Statsd)?;
        let mut random = StdRng::try_from_rng(&mut SysRng).map_err(Error::Random)?;
        let (sender, inbound) = smol::channel::bounded(INBOUND_QUEUE);
        let hub = Hub::new(hello(&settings, random.random()), settings.link.settings(), sender);
        let vm = Arc::new(Self {
            settings,
            clock,
            logger,
            hub,
            targets: Mutex::default(),
            board: Board::with(statsd),
            trail: Mutex::default(),
            book: Mutex::new(Arc::new(book)),
            random: Mutex::new(random),
        });
        event::path::STARTED.emit(&vm.logger, &[("callers", &vm.settings.callers)]);
        let tasks = vm.tasks(callers, links, inbound);
        Ok(Running { vm, tasks })
    }

    fn tasks(
        self: &Arc<Self>,
        callers: TcpListener,
        links: TcpListener,
        inbound: Receiver<Inbound>,
    ) -> Vec<Task<()>> {
        let hub = Arc::clone(&self.hub);
        let accept = async move {
            let _ = hub.accept(links).await;
        };
        let vm = Arc::clone(self);
        let serve = async move {
            let handler = move |request| Arc::clone(&vm).route(request);
            let _ = http::serve(callers, Limits::default(), handler).await;
        };
        let receive = Arc::clone(self).receive(inbound);
        vec![smol::spawn(accept), smol::spawn(serve), smol::spawn(receive)]
    }

    /// The lists in force at this moment.
    pub(super) fn book(&self) -> Arc<Book> {
        Arc::clone(&lock(&self.book))
    }

    /// The targets that this VM knows.
    pub(super) fn targets(&self) -> MutexGuard<'_, View> {
        lock(&self.targets)
    }

    /// The ways of the latest requests.
    pub(super) fn trail(&self) -> MutexGuard<'_, Trail> {
        lock(&self.trail)
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

    /// Stops the VM's tasks.
    pub async fn stop(self) {
        for task in self.tasks {
            task.cancel().await;
        }
    }

    /// Runs until `signal` says to stop, then stops.
    pub async fn until(self, signal: impl Future<Output = ()>) {
        signal.await;
        event::path::STOPPED.emit(&self.vm.logger, &[("vm", &self.vm.settings.vm)]);
        self.stop().await;
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

fn first_book(settings: &Settings) -> Result<Book, Error> {
    let plans = settings.plans.as_deref().map(read).transpose()?;
    let allowances = settings.allowances.as_deref().map(read).transpose()?;
    Ok(Book::new(plans.unwrap_or_else(List::default), allowances.unwrap_or_else(List::default)))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    serde_json::from_str(&text).map_err(|cause| Error::Parse(path.to_owned(), cause.to_string()))
}
