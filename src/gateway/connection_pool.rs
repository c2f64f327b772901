use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, Weak},
    time::{Duration, Instant},
};

use hyper::{HeaderMap, client::conn::http1::SendRequest};
use smol::Task;

use crate::{
    control::lock,
    http::{self, Body, ConnectError, HeadGuard, HeadState, RequestError},
};

/// The timeout for connecting to a target of the region. The network there takes a millisecond, and
/// a caller is waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// An idle connection is not reused in this last part of its keep-alive time.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// The keep-alive time of connections to targets that state none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(20);

/// Connections to targets.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, VecDeque<Connection>>>,
    /// One token for each target, cloned for each open connection to count them.
    open_tokens: Mutex<HashMap<SocketAddr, Weak<()>>>,
}

/// Why no connection could be acquired.
#[derive(Debug)]
pub(super) enum AcquireError {
    /// This VM has opened its share of the connections that the target accepts.
    Full,
    /// No process listens at the target's address.
    Refused(RequestError),
    /// No connection could be opened.
    Connect(RequestError),
}

impl From<ConnectError> for AcquireError {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Refused(_) => Self::Refused(error.into()),
            ConnectError::Failed(_) => Self::Connect(error.into()),
        }
    }
}

/// A connection to a target, which is closed when this is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Body>,
    /// Bounds the head of each response.
    pub(super) head: HeadState,
    _driver: Task<()>,
    /// Counts the connection as open while it is held.
    _open_token: Arc<()>,
    incarnation: u64,
    idle_since: Instant,
    keep_alive: Duration,
}

/// A connection in use. It is closed unless it is released to the pool, and a target stops working
/// on a request when the connection closes.
#[derive(Debug)]
pub(super) struct ConnectionLease {
    pub(super) connection: Connection,
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
    /// Whether the connection has carried a request before.
    pub(super) reused: bool,
}

impl ConnectionPool {
    /// Returns an idle connection to the target, or opens one if fewer than `max_open` are open.
    /// With `force_new` no idle connection is used.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        address: SocketAddr,
        incarnation: u64,
        force_new: bool,
        max_open: usize,
        now: Instant,
    ) -> Result<ConnectionLease, AcquireError> {
        if !force_new && let Some(connection) = self.take_idle(address, incarnation, now) {
            return Ok(self.lease(connection, address, true));
        }
        let open_token = self.open_token(address, max_open).ok_or(AcquireError::Full)?;
        let stream = http::connect(address, CONNECT_TIMEOUT).await?;
        let (stream, head) = HeadGuard::new(stream);
        let (sender, connection) = http::handshake(stream)
            .await
            .map_err(|cause| AcquireError::Connect(RequestError::NotSent(cause.to_string())))?;
        let driver = smol::spawn(async move {
            let _ = connection.await;
        });
        let connection = Connection {
            sender,
            head,
            _driver: driver,
            _open_token: open_token,
            incarnation,
            idle_since: now,
            keep_alive: DEFAULT_KEEP_ALIVE,
        };
        Ok(self.lease(connection, address, false))
    }

    /// Counts one more open connection to a target, unless `max_open` are open.
    fn open_token(&self, address: SocketAddr, max_open: usize) -> Option<Arc<()>> {
        let mut open_tokens = lock(&self.open_tokens);
        let token = open_tokens.get(&address).and_then(Weak::upgrade);
        // The strong count includes the token that was just upgraded.
        if let Some(token) = token {
            return (Arc::strong_count(&token) <= max_open).then_some(token);
        }
        open_tokens.retain(|_, token| token.strong_count() > 0);
        let token = Arc::new(());
        open_tokens.insert(address, Arc::downgrade(&token));
        (max_open > 0).then_some(token)
    }

    fn lease(
        self: &Arc<Self>,
        connection: Connection,
        address: SocketAddr,
        reused: bool,
    ) -> ConnectionLease {
        ConnectionLease { connection, address, pool: Arc::clone(self), reused }
    }

    /// Takes the connection that has been idle longest. Bytes that a target sends without a request
    /// have most likely arrived by then; they close the connection instead of being read as the
    /// response to the next request.
    fn take_idle(&self, address: SocketAddr, incarnation: u64, now: Instant) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&address)?;
        let mut not_ready = VecDeque::new();
        let mut found = None;
        while let Some(connection) = connections.pop_front() {
            let idle_for = now.saturating_duration_since(connection.idle_since);
            let max_idle = connection.keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
            if connection.sender.is_closed()
                || connection.incarnation != incarnation
                || idle_for >= max_idle
            {
                continue;
            }
            if connection.sender.is_ready() {
                found = Some(connection);
                break;
            }
            not_ready.push_back(connection);
        }
        connections.extend(not_ready);
        found
    }

    /// Closes idle connections whose keep-alive time is over, and those to targets for which
    /// `is_known` is false.
    pub(super) fn sweep(&self, is_known: impl Fn(&SocketAddr) -> bool, now: Instant) {
        lock(&self.idle).retain(|address, connections| {
            connections.retain(|connection| {
                let idle_for = now.saturating_duration_since(connection.idle_since);
                !connection.sender.is_closed()
                    && idle_for < connection.keep_alive.saturating_sub(KEEP_ALIVE_MARGIN)
            });
            is_known(address) && !connections.is_empty()
        });
    }
}

impl ConnectionLease {
    /// Returns the connection to the pool after a complete response, unless the target closes it. A
    /// connection that still writes its request is closed: it would hold the request's body in memory for
    /// as long as the target does not read it.
    pub(super) fn release(mut self, keep_alive: &KeepAlive, now: Instant) {
        let is_request_written = self.connection.head.is_request_written();
        if keep_alive.close || !is_request_written || self.connection.sender.is_closed() {
            return;
        }
        if let Some(timeout) = keep_alive.timeout {
            self.connection.keep_alive = timeout;
        }
        self.connection.idle_since = now;
        let mut idle = lock(&self.pool.idle);
        idle.entry(self.address).or_default().push_back(self.connection);
    }
}

/// What the headers of a response say about its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KeepAlive {
    close: bool,
    timeout: Option<Duration>,
}

impl KeepAlive {
    /// Parses `Connection` and `Keep-Alive`.
    pub(super) fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let close = text("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let timeout = text("keep-alive").and_then(|value| {
            let seconds = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
            seconds.parse().ok().map(Duration::from_secs)
        });
        Self { close, timeout }
    }
}
