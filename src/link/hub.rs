use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use prost::bytes::Bytes;
use slog::Logger;
use smol::{
    Timer,
    channel::{Receiver, Sender},
    net::{TcpListener, TcpStream},
};
use socket2::SockRef;

use super::{
    Backoff, Connection, Error, Exchange, Inbound, Settings, Traffic,
    driver::{Driver, End},
};
use crate::{
    event, id,
    wire::{Body, Call, Frame, Handover, Hello, Notice, Topic},
};

/// How often an exchange is tried to be opened where connections end under it.
const OPENINGS: usize = 3;

/// All links of one VM.
#[derive(Debug)]
pub struct Hub {
    hello: Hello,
    settings: Settings,
    inbound: Sender<Inbound>,
    logger: Logger,
    next: AtomicU64,
    dialled: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
    expected: Mutex<HashMap<SocketAddr, id::Vm>>,
    running: Sender<()>,
    closing: Receiver<()>,
    traffic: Arc<Traffic>,
}

/// The connection to one address; whoever holds the lock dials, the others wait for the result.
#[derive(Debug)]
struct Slot {
    connection: smol::lock::Mutex<Option<Arc<Connection>>>,
    backoff: Mutex<Backoff>,
    /// Held by who tries the connection.
    trial: smol::lock::Mutex<()>,
}

impl Hub {
    /// Creates the links of the VM that `hello` names; what others send goes to `inbound`.
    pub fn new(hello: Hello, settings: Settings, inbound: Sender<Inbound>) -> Arc<Self> {
        Self::with_logger(hello, settings, inbound, Logger::root(slog::Discard, slog::o!()))
    }

    /// The same, with the events of links written to `logger`.
    pub fn with_logger(
        hello: Hello,
        settings: Settings,
        inbound: Sender<Inbound>,
        logger: Logger,
    ) -> Arc<Self> {
        let (running, closing) = smol::channel::bounded(1);
        Arc::new(Self {
            hello,
            settings,
            inbound,
            logger,
            next: AtomicU64::new(1),
            dialled: Mutex::default(),
            expected: Mutex::default(),
            running,
            closing,
            traffic: Arc::default(),
        })
    }

    /// Takes connections from other VMs until the listener fails.
    ///
    /// # Errors
    ///
    /// Where the listener fails.
    pub async fn accept(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            let hub = Arc::clone(self);
            let open = async move {
                if let Ok((_, driver)) = hub.open(stream, End::Acceptor).await {
                    hub.heard_from(&driver.other.vm);
                    hub.run(driver);
                }
            };
            smol::spawn(open).detach();
        }
    }

    /// Notes which VM answers at `address`; a hello of any other is refused there from now on.
    pub fn expect_vm(&self, address: SocketAddr, vm: id::Vm) {
        lock(&self.expected).insert(address, vm);
    }

    /// What was sent so far.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Ends every connection.
    pub fn close(&self) {
        self.running.close();
    }

    /// Sends a message that wants no reply, if a connection to `to` is open or can be opened.
    ///
    /// A receiver whose queue is full drops it, so that its links are read on. Messages of
    /// [`Topic::Consensus`] are at stake as exchanges are, so that a silent link is soon replaced.
    ///
    /// # Errors
    ///
    /// Where the VM cannot be reached.
    pub async fn notify(&self, to: SocketAddr, topic: Topic, payload: Bytes) -> Result<(), Error> {
        let body = Body::Notice(Notice { topic: topic.number(), payload });
        let frame = Frame::new(0, body);
        let mut connection = self.connection(to).await?;
        if connection.write(frame.clone()).await.is_err() {
            connection = self.connection(to).await?;
            connection.write(frame).await?;
        }
        if topic == Topic::Consensus {
            connection.set_vital(self.settings.silence_timeout, Instant::now());
        }
        Ok(())
    }

    /// Sends a message and waits for its reply.
    ///
    /// # Errors
    ///
    /// Where the VM cannot be reached or no reply comes within `limit`; only
    /// [`Error::Unreachable`] says that nothing was sent.
    pub async fn call(
        &self,
        to: SocketAddr,
        topic: Topic,
        payload: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let mut exchange = self.open_exchange(to).await?;
        exchange.send(Body::Call(Call { topic: topic.number(), payload })).await?;
        let reply = within(limit, exchange.receive()).await??;
        match reply {
            Body::Reply(reply) => Ok(reply.payload),
            _ => Err(Error::Protocol("a reply was due")),
        }
    }

    /// Hands a caller's request over to the VM at `to`.
    ///
    /// # Errors
    ///
    /// Where the VM cannot be reached.
    pub async fn hand_over(&self, to: SocketAddr, handover: Handover) -> Result<Exchange, Error> {
        let mut exchange = self.open_exchange(to).await?;
        exchange.send(Body::Handover(Box::new(handover))).await?;
        Ok(exchange)
    }

    /// Opens an exchange on a connection that has been heard of lately.
    async fn open_exchange(&self, to: SocketAddr) -> Result<Exchange, Error> {
        for _ in 0..OPENINGS {
            if let Some(exchange) = self.lively(to).await?.open() {
                return Ok(exchange);
            }
        }
        let cause = io::Error::other("its connections end as soon as they are open");
        Err(Error::Unreachable(to, cause))
    }

    /// A connection to `to`; one that has been quiet is tried first, and replaced if it does not
    /// answer.
    async fn lively(&self, to: SocketAddr) -> Result<Arc<Connection>, Error> {
        let slot = self.slot(to);
        let _trial = slot.trial.lock().await;
        let connection = self.connection(to).await?;
        if !connection.liveness().is_stale(Instant::now()) {
            return Ok(connection);
        }
        if let Ok(Ok(())) = within(self.settings.probe_timeout, connection.answered()).await {
            return Ok(connection);
        }
        slot.connection.lock().await.take_if(|found| Arc::ptr_eq(found, &connection));
        self.connection(to).await
    }

    async fn connection(&self, to: SocketAddr) -> Result<Arc<Connection>, Error> {
        let slot = self.slot(to);
        let mut dialled = slot.connection.lock().await;
        if let Some(connection) = dialled.as_ref().filter(|found| found.is_open()) {
            return Ok(Arc::clone(connection));
        }
        if !lock(&slot.backoff).permits(Instant::now()) {
            let cause = io::Error::other("it could not be reached a moment ago");
            return Err(Error::Unreachable(to, cause));
        }
        match self.dial(to).await {
            Ok(connection) => {
                lock(&slot.backoff).succeeded();
                *dialled = Some(Arc::clone(&connection));
                Ok(connection)
            }
            Err(cause) => {
                lock(&slot.backoff).failed(Instant::now());
                Err(Error::Unreachable(to, cause))
            }
        }
    }

    async fn dial(&self, to: SocketAddr) -> io::Result<Arc<Connection>> {
        let stream = within(self.settings.connect_timeout, TcpStream::connect(to))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let (connection, driver) = self.open(stream, End::Dialler).await?;
        self.check(to, &driver.other)?;
        self.run(driver);
        Ok(connection)
    }

    /// Refuses a hello of another VM than the one expected at `to`.
    fn check(&self, to: SocketAddr, other: &Hello) -> io::Result<()> {
        let expected = lock(&self.expected).get(&to).cloned();
        match expected.filter(|vm| vm.as_str() != other.vm) {
            None => Ok(()),
            Some(vm) => {
                let fields: [event::Field<'_>; 3] =
                    [("address", &to), ("expected", &vm), ("found", &other.vm)];
                event::links::STRANGER.emit(&self.logger, &fields);
                Err(io::Error::other(format!("VM `{}` answers there, not `{vm}`", other.vm)))
            }
        }
    }

    async fn open(&self, stream: TcpStream, end: End) -> io::Result<(Arc<Connection>, Driver)> {
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(self.settings.silence_timeout));
        let connection = self.next.fetch_add(1, Ordering::Relaxed);
        let hello = Hello { connection, ..self.hello.clone() };
        Driver::open(stream, hello, self.settings, end).await
    }

    fn run(&self, driver: Driver) {
        let logger = self.logger.clone();
        let other = driver.other.vm.clone();
        let run = driver.run(self.inbound.clone(), self.closing.clone(), Arc::clone(&self.traffic));
        let run = async move {
            let event = match run.await {
                Err(Error::Silent) => event::links::SILENT,
                Err(Error::Protocol(what)) => {
                    event::links::MALFORMED.emit(&logger, &[("other", &other), ("what", &what)]);
                    return;
                }
                _ => event::links::CLOSED,
            };
            event.emit(&logger, &[("other", &other)]);
        };
        smol::spawn(run).detach();
    }

    /// Lets a VM that has just dialled this one be dialled at once, whatever failed before.
    fn heard_from(&self, vm: &str) {
        let addresses: Vec<SocketAddr> = lock(&self.expected)
            .iter()
            .filter(|(_, expected)| expected.as_str() == vm)
            .map(|(address, _)| *address)
            .collect();
        for address in addresses {
            lock(&self.slot(address).backoff).succeeded();
        }
    }

    fn slot(&self, to: SocketAddr) -> Arc<Slot> {
        let Settings { initial_backoff, max_backoff, .. } = self.settings;
        let slot = || {
            let backoff = Mutex::new(Backoff::new(initial_backoff, max_backoff));
            let (connection, trial) = Default::default();
            Arc::new(Slot { connection, backoff, trial })
        };
        Arc::clone(lock(&self.dialled).entry(to).or_insert_with(slot))
    }
}

pub(super) async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Result<T, Error> {
    match select(std::pin::pin!(work), Timer::after(limit)).await {
        Either::Left((done, _)) => Ok(done),
        Either::Right(_) => Err(Error::Timeout),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
