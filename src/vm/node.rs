use std::{
    fmt, fs, io,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU32},
};

use rand::{
    RngExt, SeedableRng,
    rngs::{StdRng, SysRng},
};
use serde::de::DeserializeOwned;
use slog::Logger;
use smol::{Task, channel::Receiver, net::TcpListener};

use crate::{
    clock::Clock,
    event,
    http::{self, Limits},
    id,
    link::{self, Hub, Inbound},
    list::{Book, List},
    member,
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
    pub(super) members: Mutex<member::Core>,
    pub(super) in_flight: AtomicU32,
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
        let mut random = StdRng::try_from_rng(&mut SysRng).map_err(Error::Random)?;
        let (sender, inbound) = smol::channel::bounded(INBOUND_QUEUE);
        let incarnation = incarnation(&*clock);
        let hello = hello(&settings, incarnation);
        let hub = Hub::with_logger(hello, link::Settings::default(), sender, logger.clone());
        let members = member::Core::new(
            member::Settings::default(),
            settings.this(),
            incarnation,
            settings.peers.iter().cloned(),
            random.random(),
            clock.now(),
        );
        let (name, region) = (settings.vm.clone(), settings.region.clone());
        let vm = Arc::new(Self {
            settings,
            clock,
            logger,
            hub,
            targets: Mutex::new(View::new(target::Settings::default(), name, region)),
            members: Mutex::new(members),
            in_flight: AtomicU32::new(0),
            book: Mutex::new(Arc::new(book)),
            random: Mutex::new(random),
        });
        let mut tasks = vm.link_tasks(links, inbound);
        vm.join().await;
        event::path::STARTED.emit(&vm.logger, &[("callers", &vm.settings.callers)]);
        tasks.extend(vm.tasks(callers));
        Ok(Running { vm, tasks })
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

    fn tasks(self: &Arc<Self>, callers: TcpListener) -> Vec<Task<()>> {
        let vm = Arc::clone(self);
        let serve = async move {
            let handler = move |request| Arc::clone(&vm).route(request);
            let _ = http::serve(callers, Limits::default(), handler).await;
        };
        vec![smol::spawn(serve), smol::spawn(Arc::clone(self).gossip())]
    }

    /// The lists in force at this moment.
    pub(super) fn book(&self) -> Arc<Book> {
        Arc::clone(&lock(&self.book))
    }

    /// The targets that this VM knows.
    pub(super) fn targets(&self) -> MutexGuard<'_, View> {
        lock(&self.targets)
    }

    /// A new identifier for a request.
    pub(super) fn request_id(&self) -> id::Request {
        let number: u64 = lock(&self.random).random();
        id::Request::from(format!("{number:016x}"))
    }

    /// The members that this VM knows.
    pub(super) fn members(&self) -> MutexGuard<'_, member::Core> {
        lock(&self.members)
    }

    /// The other VMs of `regions` to hand a request to or to name to a caller, best first.
    pub(super) fn peers_in(&self, regions: &[id::Region]) -> Vec<Peer> {
        let now = self.clock.now();
        let mut peers = self.members().directory(regions, now);
        peers.retain(|peer| peer.vm != self.settings.vm);
        peers
    }
}

impl Running {
    /// The VM.
    pub fn vm(&self) -> &Arc<Vm> {
        &self.vm
    }

    /// Stops the VM's tasks.
    pub async fn stop(self) {
        self.vm.hub.close();
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

fn first_book(settings: &Settings) -> Result<Book, Error> {
    let plans = settings.plans.as_deref().map(read).transpose()?;
    let allowances = settings.allowances.as_deref().map(read).transpose()?;
    Ok(Book::new(plans.unwrap_or_else(List::default), allowances.unwrap_or_else(List::default)))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    serde_json::from_str(&text).map_err(|cause| Error::Parse(path.to_owned(), cause.to_string()))
}
