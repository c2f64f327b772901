use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

use hyper::http::Extensions;

use super::{BufferBudget, BufferShare, Connections, connections::Connection};
use crate::{control::lock, figure::Page, node::Machine};

/// The budget of a process whose settings name no memory. It exceeds what requests within the limits
/// of a configuration hold on a VM.
const DEFAULT_BUDGET_BYTES: usize = 1 << 30;
/// The part of the memory that goes to what is held for callers and other VMs. The rest is for the
/// process itself and for what the allocator loses between blocks of different sizes.
const BUDGET_DIVISOR: usize = 2;
/// The least number of connections of any server.
const MIN_CONNECTIONS: usize = 16;
/// The bytes of a connection without a request: its state and the first read and write buffers.
pub(super) const CONNECTION_BYTES: usize = 16 * 1024;
/// The bytes of a header field beside its value: the entry in the map, which doubles when it is full,
/// and the block of the name.
const FIELD_BYTES: usize = 256;

/// What a process holds for callers, targets and other VMs, and what it refused for that reason.
///
/// ```
/// use pomelogate::{http::Account, node::Machine};
///
/// let machine = Machine { memory_mb: Some(160.0), max_fds: Some(4100.0), ..Machine::default() };
/// let account = Account::new(Some(&machine));
/// let mut share = account.budget().share();
/// assert!(share.grow_to(64 << 20) && !share.grow_to(100 << 20));
/// assert_eq!(account.max_connections(2), 2050);
/// ```
#[derive(Debug)]
pub struct Account {
    budget: Arc<BufferBudget>,
    max_fds: Option<usize>,
    open: AtomicUsize,
    refused: [AtomicU64; Cause::ALL.len()],
}

/// Why something was refused or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// There was no memory for the head of a request.
    Head,
    /// There was no memory for the body of a request.
    Body,
    /// A body came slowly while memory was scarce.
    SlowBody,
    /// There was no room for a connection.
    Connection,
    /// A connection on which no request ran made room for another one.
    Evicted,
    /// A response was not read.
    Unread,
}

impl Cause {
    const ALL: [Self; 6] =
        [Self::Head, Self::Body, Self::SlowBody, Self::Connection, Self::Evicted, Self::Unread];

    fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::SlowBody => "slow_body",
            Self::Connection => "connection",
            Self::Evicted => "evicted",
            Self::Unread => "unread",
        }
    }
}

impl Account {
    /// Creates the account of a process on a machine.
    pub fn new(machine: Option<&Machine>) -> Arc<Self> {
        let memory = machine.and_then(|machine| machine.memory_mb);
        // The conversion saturates.
        let bytes = memory
            .map_or(DEFAULT_BUDGET_BYTES, |megabytes| (megabytes * 1e6) as usize / BUDGET_DIVISOR);
        let max_fds = machine.and_then(|machine| machine.max_fds);
        Arc::new(Self {
            budget: BufferBudget::strict(bytes),
            max_fds: max_fds.map(|count| count as usize),
            open: AtomicUsize::new(0),
            refused: Default::default(),
        })
    }

    /// The memory for what is held.
    pub fn budget(&self) -> &Arc<BufferBudget> {
        &self.budget
    }

    /// The connections of a server that may have one of `divisor` parts of the descriptors.
    pub fn max_connections(&self, divisor: usize) -> usize {
        self.max_fds.map_or(usize::MAX, |max_fds| (max_fds / divisor).max(MIN_CONNECTIONS))
    }

    /// Counts what was refused.
    pub fn record(&self, cause: Cause) {
        self.refused[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Writes the metrics to a page.
    pub fn write_to(&self, page: &mut Page) {
        page.gauge("held_bytes", &[], self.budget.held_bytes() as f64);
        page.gauge("connections", &[], self.open.load(Ordering::Relaxed) as f64);
        for cause in Cause::ALL {
            let count = self.refused[cause as usize].load(Ordering::Relaxed);
            page.counter("held_back_total", &[("cause", &cause.as_str())], count);
        }
    }
}

/// The account of a process and the connections of one of its servers.
#[derive(Clone, Debug)]
pub struct ServerAccount {
    pub(super) account: Arc<Account>,
    connections: Arc<Connections>,
}

impl ServerAccount {
    /// A server that may have one of `divisor` parts of the descriptors.
    pub fn new(account: &Arc<Account>, divisor: usize) -> Self {
        let connections = Connections::new(account.max_connections(divisor));
        Self { account: Arc::clone(account), connections }
    }

    /// Counts a new connection; `None` if it has to be closed.
    pub(super) fn admit(&self) -> Option<RequestAccount> {
        let mut share = self.account.budget.share();
        let connection =
            if share.grow_to(CONNECTION_BYTES) { self.connections.admit() } else { None };
        let Some(connection) = connection else {
            self.account.record(Cause::Connection);
            return None;
        };
        self.account.open.fetch_add(1, Ordering::Relaxed);
        let account = Arc::clone(&self.account);
        let held = Held { account, connection, _share: share, unwritten: Mutex::default() };
        Some(RequestAccount { held: Arc::new(held) })
    }
}

#[derive(Debug)]
struct Held {
    account: Arc<Account>,
    connection: Connection,
    _share: BufferShare,
    /// What complete responses hold in the write buffer of the connection.
    unwritten: Mutex<Vec<BufferShare>>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.account.open.fetch_sub(1, Ordering::Relaxed);
        if self.connection.is_evicted() {
            self.account.record(Cause::Evicted);
        }
    }
}

/// What a handler of requests needs to count the bodies that it reads. Servers add it to the
/// extensions of each request.
#[derive(Clone, Debug)]
pub struct RequestAccount {
    held: Arc<Held>,
}

impl RequestAccount {
    /// The one that the server added to a request; one without bounds if it added none.
    pub fn of(extensions: &Extensions) -> Self {
        extensions.get::<Self>().cloned().unwrap_or_else(Self::unbounded)
    }

    fn unbounded() -> Self {
        let account = Account::new(None);
        let connection = Connections::new(usize::MAX).admit();
        let connection = connection.unwrap_or_else(|| unreachable!("the table has no bound"));
        account.open.fetch_add(1, Ordering::Relaxed);
        let share = account.budget.share();
        Self {
            held: Arc::new(Held {
                account,
                connection,
                _share: share,
                unwritten: Mutex::default(),
            }),
        }
    }

    /// The account of the process.
    pub fn account(&self) -> &Arc<Account> {
        &self.held.account
    }

    pub(super) fn connection(&self) -> &Connection {
        &self.held.connection
    }

    /// The response that `share` belongs to is complete, and waits in the write buffer.
    pub(super) fn record_complete(&self, share: BufferShare) {
        lock(&self.held.unwritten).push(share);
        self.held.connection.set_sending();
    }

    /// The write buffer is empty.
    pub(super) fn record_written(&self) {
        lock(&self.held.unwritten).clear();
        self.held.connection.set_written();
    }

    /// Takes memory for the head of a request; `None` if there is none left.
    pub(super) fn head_share(&self, headers: &hyper::HeaderMap) -> Option<BufferShare> {
        let mut share = self.held.account.budget.share();
        let values: usize = headers.values().map(|value| value.len()).sum();
        let is_held = share.grow_to(headers.len() * FIELD_BYTES + values);
        if !is_held {
            self.held.account.record(Cause::Head);
        }
        is_held.then_some(share)
    }
}
