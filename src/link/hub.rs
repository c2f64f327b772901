use std::{
    collections::HashMap,
    convert::Infallible,
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
    driver::{Driver, Role},
};
use crate::{
    event, id,
    wire::{Body, Call, Frame, Handover, Hello, Notice, Topic},
};

/// How often opening an exchange is attempted if the connection ends meanwhile.
const MAX_OPEN_ATTEMPTS: usize = 3;
/// How long connections may take to write what is queued once the hub closes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The delay after a connection could not be accepted, in which others may end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How many accepted connections may wait for the hello of the other end. Further ones are closed, and a
/// VM that dials again soon gets a place, as a hello has to come within the time for connecting.
const MAX_OPENING: usize = 256;

/// All connections of one VM to other VMs.
#[derive(Debug)]
pub struct Hub {
    hello: Hello,
    settings: Settings,
    inbound: Sender<Inbound>,
    logger: Logger,
    next_connection_id: AtomicU64,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
    expected_vms: Mutex<HashMap<SocketAddr, id::Vm>>,
    close_sender: Sender<()>,
    closing: Receiver<()>,
    /// Cloned for each connection; `None` once the hub closes.
    connection_guard: Mutex<Option<Sender<Infallible>>>,
    /// Closes when no connection holds a guard any more.
    connections_ended: Receiver<Infallible>,
    traffic: Arc<Traffic>,
}

/// The connection to one address. The task that holds the lock dials; others wait for the result.
#[derive(Debug)]
struct Slot {
    connection: smol::lock::Mutex<Option<Arc<Connection>>>,
    backoff: Mutex<Backoff>,
    /// Held by the task that probes the connection.
    probe_lock: smol::lock::Mutex<()>,
}

impl Hub {
    /// Creates the hub of the VM that `hello` names; messages from other VMs go to `inbound`.
    pub fn new(hello: Hello, settings: Settings, inbound: Sender<Inbound>) -> Arc<Self> {
        Self::with_logger(hello, settings, inbound, Logger::root(slog::Discard, slog::o!()))
    }

    /// Like [`Self::new`], but logs the events of links to `logger`.
    pub fn with_logger(
        hello: Hello,
        settings: Settings,
        inbound: Sender<Inbound>,
        logger: Logger,
    ) -> Arc<Self> {
        let (close_sender, closing) = smol::channel::bounded(1);
        let (connection_guard, connections_ended) = smol::channel::bounded(1);
        Arc::new(Self {
            hello,
            settings,
            inbound,
            logger,
            next_connection_id: AtomicU64::new(1),
            slots: Mutex::default(),
            expected_vms: Mutex::default(),
            close_sender,
            closing,
            connection_guard: Mutex::new(Some(connection_guard)),
            connections_ended,
            traffic: Arc::default(),
        })
    }

    /// Accepts connections from other VMs until this is dropped. A connection that cannot be accepted,
    /// as the process may open no more files, is tried again.
    pub async fn accept(self: &Arc<Self>, listener: TcpListener) -> Infallible {
        let opening = Arc::new(());
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if Arc::strong_count(&opening) > MAX_OPENING {
                continue;
            }
            let (hub, opening) = (Arc::clone(self), Arc::clone(&opening));
            let open = async move {
                let opened = hub.open(stream, Role::Acceptor).await;
                drop(opening);
                if let Ok((_, driver)) = opened {
                    hub.reset_backoff_of(&driver.peer_hello.vm);
                    hub.run(driver);
                }
            };
            smol::spawn(open).detach();
        }
    }

    /// Sets which VM is expected at `address`; a hello from any other VM is rejected there.
    pub fn expect_vm(&self, address: SocketAddr, vm: id::Vm) {
        lock(&self.expected_vms).insert(address, vm);
    }

    /// Counters of the frames and bytes sent.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Closes all connections, and returns once they have ended: each writes what is queued, and waits
    /// until the other end has read it, for a short time at most. No connection is opened any more.
    pub async fn close(&self) {
        drop(lock(&self.connection_guard).take());
        self.close_sender.close();
        let _ = within(CLOSE_TIMEOUT, self.connections_ended.recv()).await;
    }

    /// Sends a message without a reply, and dials `to` first if no connection is open.
    ///
    /// A receiver whose queue is full drops the message, so that it can go on reading its links.
    /// A message of [`Topic::Consensus`] keeps the connection active as an open exchange does, so
    /// that a silent link is replaced soon.
    ///
    /// # Errors
    ///
    /// If the VM cannot be reached.
    pub async fn notify(&self, to: SocketAddr, topic: Topic, payload: Bytes) -> Result<(), Error> {
        let body = Body::Notice(Notice { topic: topic.number(), payload });
        let frame = Frame::new(0, body);
        let mut connection = self.connection(to).await?;
        if connection.write(frame.clone()).await.is_err() {
            connection = self.connection(to).await?;
            connection.write(frame).await?;
        }
        if topic == Topic::Consensus {
            connection.keep_active_for(self.settings.silence_timeout, Instant::now());
        }
        Ok(())
    }

    /// Sends a message without a reply in the background; it is dropped if the VM cannot be reached.
    pub fn notify_detached(self: &Arc<Self>, to: SocketAddr, topic: Topic, payload: Bytes) {
        let hub = Arc::clone(self);
        smol::spawn(async move {
            let _ = hub.notify(to, topic, payload).await;
        })
        .detach();
    }

    /// Sends a message and waits for its reply.
    ///
    /// # Errors
    ///
    /// If the VM cannot be reached or does not reply within `timeout`. Only
    /// [`Error::Unreachable`] guarantees that nothing was sent.
    pub async fn call(
        &self,
        to: SocketAddr,
        topic: Topic,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let mut exchange = self.open_exchange(to).await?;
        exchange.send(Body::Call(Call { topic: topic.number(), payload })).await?;
        let reply = within(timeout, exchange.receive()).await??;
        match reply {
            Body::Reply(reply) => Ok(reply.payload),
            _ => Err(Error::Protocol("a reply was due")),
        }
    }

    /// Hands a caller's request over to the VM at `to`.
    ///
    /// # Errors
    ///
    /// If the VM cannot be reached.
    pub async fn hand_over(&self, to: SocketAddr, handover: Handover) -> Result<Exchange, Error> {
        let mut exchange = self.open_exchange(to).await?;
        exchange.send(Body::Handover(Box::new(handover))).await?;
        Ok(exchange)
    }

    /// Opens an exchange on a connection that recently received a frame.
    async fn open_exchange(&self, to: SocketAddr) -> Result<Exchange, Error> {
        for _ in 0..MAX_OPEN_ATTEMPTS {
            if let Some(exchange) = self.live_connection(to).await?.open() {
                return Ok(exchange);
            }
        }
        let cause = io::Error::other("its connections end as soon as they are open");
        Err(Error::Unreachable(to, cause))
    }

    /// Returns a connection to `to`. Probes a stale connection first and replaces it if it does not
    /// answer.
    async fn live_connection(&self, to: SocketAddr) -> Result<Arc<Connection>, Error> {
        let slot = self.slot(to);
        let _probe_guard = slot.probe_lock.lock().await;
        let connection = self.connection(to).await?;
        if !connection.liveness().is_stale(Instant::now()) {
            return Ok(connection);
        }
        if let Ok(Ok(())) = within(self.settings.probe_timeout, connection.probe()).await {
            return Ok(connection);
        }
        slot.connection.lock().await.take_if(|current| Arc::ptr_eq(current, &connection));
        self.connection(to).await
    }

    async fn connection(&self, to: SocketAddr) -> Result<Arc<Connection>, Error> {
        if self.close_sender.is_closed() {
            return Err(Error::Unreachable(to, io::Error::other("this VM closes its links")));
        }
        let slot = self.slot(to);
        let mut current = slot.connection.lock().await;
        if let Some(connection) = current.as_ref().filter(|connection| connection.is_open()) {
            return Ok(Arc::clone(connection));
        }
        if !lock(&slot.backoff).permits_attempt(Instant::now()) {
            let cause = io::Error::other("it could not be reached a moment ago");
            return Err(Error::Unreachable(to, cause));
        }
        match self.dial(to).await {
            Ok(connection) => {
                lock(&slot.backoff).reset();
                *current = Some(Arc::clone(&connection));
                Ok(connection)
            }
            Err(cause) => {
                lock(&slot.backoff).record_failure(Instant::now());
                Err(Error::Unreachable(to, cause))
            }
        }
    }

    async fn dial(&self, to: SocketAddr) -> io::Result<Arc<Connection>> {
        let stream = within(self.settings.connect_timeout, TcpStream::connect(to))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let (connection, driver) = self.open(stream, Role::Dialer).await?;
        self.check_peer(to, &driver.peer_hello)?;
        self.run(driver);
        Ok(connection)
    }

    /// Rejects a hello from a VM other than the one expected at `to`.
    fn check_peer(&self, to: SocketAddr, other: &Hello) -> io::Result<()> {
        let expected = lock(&self.expected_vms).get(&to).cloned();
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

    async fn open(&self, stream: TcpStream, role: Role) -> io::Result<(Arc<Connection>, Driver)> {
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(self.settings.silence_timeout));
        let connection = self.next_connection_id.fetch_add(1, Ordering::Relaxed);
        let hello = Hello { connection, ..self.hello.clone() };
        Driver::open(stream, hello, self.settings, role).await
    }

    fn run(&self, driver: Driver) {
        let Some(guard) = lock(&self.connection_guard).clone() else { return };
        let logger = self.logger.clone();
        let other = driver.peer_hello.vm.clone();
        let run = driver.run(self.inbound.clone(), self.closing.clone(), Arc::clone(&self.traffic));
        let run = async move {
            let _guard = guard;
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

    /// Permits dialling `vm` at once, because it has just dialled this VM.
    fn reset_backoff_of(&self, vm: &str) {
        let addresses: Vec<SocketAddr> = lock(&self.expected_vms)
            .iter()
            .filter(|(_, expected)| expected.as_str() == vm)
            .map(|(address, _)| *address)
            .collect();
        for address in addresses {
            lock(&self.slot(address).backoff).reset();
        }
    }

    fn slot(&self, to: SocketAddr) -> Arc<Slot> {
        let Settings { initial_backoff, max_backoff, .. } = self.settings;
        let slot = || {
            let backoff = Mutex::new(Backoff::new(initial_backoff, max_backoff));
            let (connection, probe_lock) = Default::default();
            Arc::new(Slot { connection, backoff, probe_lock })
        };
        Arc::clone(lock(&self.slots).entry(to).or_insert_with(slot))
    }
}

pub(super) async fn within<T>(
    timeout: Duration,
    work: impl Future<Output = T>,
) -> Result<T, Error> {
    match select(std::pin::pin!(work), Timer::after(timeout)).await {
        Either::Left((done, _)) => Ok(done),
        Either::Right(_) => Err(Error::Timeout),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
