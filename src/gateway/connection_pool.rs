use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, Weak},
    time::{Duration, Instant},
};

use hyper::{HeaderMap, client::conn::http1::SendRequest};
use smol::Task;
use smol_hyper::rt::FuturesIo;

use crate::{
    control::lock,
    http::{self, Body, Failure},
};

/// How long opening a connection to a target of the region may take: its network takes a
/// millisecond, and callers wait.
const CONNECT: Duration = Duration::from_millis(600);
/// A connection that a target keeps for a stated time is not used in the last part of it.
const MARGIN: Duration = Duration::from_millis(500);
/// How long an idle connection is kept where the target states no time.
const IDLE_UNTOLD: Duration = Duration::from_secs(20);

/// Connections to targets.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, VecDeque<Connection>>>,
    open: Mutex<HashMap<SocketAddr, Weak<()>>>,
}

/// Why there is no connection.
#[derive(Debug)]
pub(super) enum AcquireError {
    /// This VM has its share of the connections that the target takes.
    Full,
    /// It could not be opened.
    Connect(Failure),
}

/// One connection to a target; dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body>,
    _driver: Task<()>,
    /// Counts as open while it is held.
    _seat: Arc<()>,
    born: u64,
    idle_since: Instant,
    lasts: Duration,
}

/// A connection in use; unless it is given back, it is closed, which tells the target to stop.
#[derive(Debug)]
pub(super) struct ConnectionLease {
    pub(super) connection: Connection,
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
    /// Whether it has carried a request before.
    pub(super) reused: bool,
}

impl ConnectionPool {
    /// An idle connection to the target, or a new one where fewer than `most` are open.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        address: SocketAddr,
        born: u64,
        fresh: bool,
        most: usize,
        now: Instant,
    ) -> Result<ConnectionLease, AcquireError> {
        if !fresh && let Some(connection) = self.idle(address, born, now) {
            return Ok(self.lease(connection, address, true));
        }
        let seat = self.seat(address, most).ok_or(AcquireError::Full)?;
        let stream = http::dial(address, CONNECT).await.map_err(AcquireError::Connect)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|cause| AcquireError::Connect(Failure::NotSent(cause.to_string())))?;
        let driver = smol::spawn(async move {
            let _ = connection.await;
        });
        let connection = Connection {
            sender,
            _driver: driver,
            _seat: seat,
            born,
            idle_since: now,
            lasts: IDLE_UNTOLD,
        };
        Ok(self.lease(connection, address, false))
    }

    /// Counts one more open connection; nothing where there are `most`.
    fn seat(&self, address: SocketAddr, most: usize) -> Option<Arc<()>> {
        let mut open = lock(&self.open);
        let seats = open.get(&address).and_then(Weak::upgrade);
        // The seat that was just made from the weak one counts as well.
        if let Some(seat) = seats {
            return (Arc::strong_count(&seat) <= most).then_some(seat);
        }
        open.retain(|_, seats| seats.strong_count() > 0);
        let seat = Arc::new(());
        open.insert(address, Arc::downgrade(&seat));
        (most > 0).then_some(seat)
    }

    fn lease(
        self: &Arc<Self>,
        connection: Connection,
        address: SocketAddr,
        reused: bool,
    ) -> ConnectionLease {
        ConnectionLease { connection, address, pool: Arc::clone(self), reused }
    }

    /// The connection that has rested longest: what a target sends unasked has most likely come by
    /// then, and ends the connection instead of being taken for an answer.
    fn idle(&self, address: SocketAddr, born: u64, now: Instant) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        let mut busy = VecDeque::new();
        let mut found = None;
        while let Some(connection) = connections.pop_front() {
            let rested = now.saturating_duration_since(connection.idle_since);
            let lasts = connection.lasts.saturating_sub(MARGIN);
            if connection.sender.is_closed() || connection.born != born || rested >= lasts {
                continue;
            }
            if connection.sender.is_ready() {
                found = Some(connection);
                break;
            }
            busy.push_back(connection);
        }
        connections.extend(busy);
        found
    }

    /// Closes connections whose time is over, and those to targets that `keep` does not name.
    pub(super) fn sweep(&self, keep: impl Fn(&SocketAddr) -> bool, now: Instant) {
        lock(&self.idle).retain(|address, connections| {
            connections.retain(|connection| {
                let rested = now.saturating_duration_since(connection.idle_since);
                !connection.sender.is_closed() && rested < connection.lasts.saturating_sub(MARGIN)
            });
            keep(address) && !connections.is_empty()
        });
    }
}

impl ConnectionLease {
    /// Gives the connection back after a whole answer with these headers, unless the target closes
    /// it.
    pub(super) fn release(mut self, headers: &KeepAlive, now: Instant) {
        if headers.close || self.connection.sender.is_closed() {
            return;
        }
        if let Some(lasts) = headers.lasts {
            self.connection.lasts = lasts;
        }
        self.connection.idle_since = now;
        let mut idle = lock(&self.pool.idle);
        idle.entry(self.address).or_default().push_back(self.connection);
    }
}

/// What an answer says of its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KeepAlive {
    close: bool,
    lasts: Option<Duration>,
}

impl KeepAlive {
    /// Reads `Connection` and `Keep-Alive`.
    pub(super) fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let close = text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let lasts = text("keep-alive").and_then(|value| {
            let timeout = value.split(',').find_map(|word| word.trim().strip_prefix("timeout="))?;
            timeout.parse().ok().map(Duration::from_secs)
        });
        Self { close, lasts }
    }
}
