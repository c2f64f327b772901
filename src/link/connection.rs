use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use smol::channel::{Receiver, Sender};

use super::{CHUNK, CHUNK_COST, Error, Exchange, Liveness, Settings, WINDOW, Window};
use crate::wire::{Body, Frame, Heartbeat};

/// The frames that an exchange may hold beside its chunks.
const OTHER_FRAMES: usize = 16;

/// One connection and the exchanges open on it.
///
/// Small frames have a queue of their own, which is written first, so that none waits behind
/// bodies. Chunks and what must follow them share the other queue.
#[derive(Debug)]
pub(super) struct Connection {
    small: Sender<Frame>,
    bulk: Sender<Frame>,
    exchanges: Mutex<HashMap<u64, Arc<Route>>>,
    next: AtomicU64,
    liveness: Mutex<Liveness>,
    /// Until when something is at stake without an exchange.
    vital: Mutex<Instant>,
    /// When a frame other than a heartbeat last came or was queued.
    used: Mutex<Instant>,
    /// Signals to who watches the connection that something else may be due.
    wake: Sender<()>,
    pub(super) woken: Receiver<()>,
    /// Signals that a frame came.
    came: Sender<()>,
    comes: Receiver<()>,
}

/// The receiving ends of the two queues of a connection.
pub(super) struct Queues {
    pub(super) small: Receiver<Frame>,
    pub(super) bulk: Receiver<Frame>,
}

/// One exchange as its connection sees it.
#[derive(Debug)]
pub(super) struct Route {
    incoming: Sender<Body>,
    granted: Sender<()>,
    windows: Mutex<Windows>,
}

/// The credit of both directions of an exchange.
#[derive(Debug)]
pub(super) struct Windows {
    pub(super) out: Window,
    pub(super) inward: Window,
}

impl Connection {
    pub(super) fn new(settings: Settings, now: Instant) -> (Arc<Self>, Queues) {
        let (small, small_frames) = smol::channel::bounded(settings.max_queued_frames);
        let (bulk, bulk_frames) = smol::channel::bounded(settings.max_queued_frames);
        let next = AtomicU64::new(1);
        let (wake, woken) = smol::channel::bounded(1);
        let (came, comes) = smol::channel::bounded(1);
        let connection = Self {
            small,
            bulk,
            exchanges: Mutex::default(),
            next,
            liveness: Mutex::new(Liveness::new(settings, now)),
            vital: Mutex::new(now),
            used: Mutex::new(now),
            wake,
            woken,
            came,
            comes,
        };
        (Arc::new(connection), Queues { small: small_frames, bulk: bulk_frames })
    }

    /// Opens a new exchange; nothing where the connection has ended.
    pub(super) fn open(self: &Arc<Self>) -> Option<Exchange> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let exchange = self.register(number);
        if self.exchanges().contains_key(&number) {
            return Some(exchange);
        }
        exchange.finish();
        None
    }

    /// Whether the connection can still carry frames.
    pub(super) fn is_open(&self) -> bool {
        !self.small.is_closed()
    }

    /// Decides on heartbeats and silence.
    pub(super) fn liveness(&self) -> MutexGuard<'_, Liveness> {
        lock(&self.liveness)
    }

    /// Whether something is at stake at `now`.
    pub(super) fn is_busy(&self, now: Instant) -> bool {
        !self.exchanges().is_empty() || now < *lock(&self.vital)
    }

    /// Something is at stake for `time` from `now` on, as if an exchange were open.
    pub(super) fn set_vital(&self, time: Duration, now: Instant) {
        let before = std::mem::replace(&mut *lock(&self.vital), now + time);
        if before <= now {
            self.wake();
        }
    }

    /// Lets who watches the connection look again at what is due.
    pub(super) fn wake(&self) {
        let _ = self.wake.try_send(());
    }

    /// A frame came at `now`.
    pub(super) fn heard(&self, now: Instant) {
        self.liveness().heard(now);
        let _ = self.came.try_send(());
    }

    /// Something other than a heartbeat came or was queued at `now`.
    pub(super) fn used(&self, now: Instant) {
        *lock(&self.used) = now;
    }

    /// Asks the other end for a sign of life and waits for it; fails where the connection ends
    /// before.
    pub(super) async fn answered(self: &Arc<Self>) -> Result<(), Error> {
        let _ = self.comes.try_recv();
        let asking = self.open().ok_or(Error::Closed)?;
        self.write_now(Frame::new(0, Body::Heartbeat(Heartbeat { urgent: true })));
        let now = Instant::now();
        self.liveness().stake(true, now);
        self.liveness().beat(now);
        let answered = self.comes.recv().await.map_err(|_| Error::Closed);
        asking.finish();
        answered
    }

    /// Closes the connection if it has carried but heartbeats for `limit` before `now`.
    pub(super) fn close_if_idle(&self, limit: Duration, now: Instant) -> bool {
        let exchanges = self.exchanges();
        let queued = !self.small.is_empty() || !self.bulk.is_empty();
        let idle = now.saturating_duration_since(*lock(&self.used)) >= limit;
        if !idle || queued || !exchanges.is_empty() {
            return false;
        }
        self.small.close();
        self.bulk.close();
        true
    }

    pub(super) async fn write(&self, frame: Frame) -> Result<(), Error> {
        self.used(Instant::now());
        self.queue(&frame).send(frame).await.map_err(|_| Error::Closed)
    }

    /// Writes a frame if there is room, else drops it.
    pub(super) fn write_now(&self, frame: Frame) {
        let _ = self.queue(&frame).try_send(frame);
    }

    pub(super) fn forget(&self, number: u64) {
        self.exchanges().remove(&number);
    }

    pub(super) fn register(self: &Arc<Self>, number: u64) -> Exchange {
        // Not bounded by its channel, which would take its room at once; see `Route::take`.
        let (sender, incoming) = smol::channel::unbounded();
        let (granted, grants) = smol::channel::bounded(1);
        let windows = Windows { out: Window::new(WINDOW), inward: Window::new(WINDOW) };
        let route = Arc::new(Route { incoming: sender, granted, windows: Mutex::new(windows) });
        let mut exchanges = self.exchanges();
        let first = exchanges.is_empty();
        if self.is_open() {
            exchanges.insert(number, Arc::clone(&route));
        } else {
            route.close();
        }
        drop(exchanges);
        if first {
            self.wake();
        }
        Exchange::new(number, Arc::clone(self), route, incoming, grants)
    }

    /// Delivers a frame of an open exchange; a frame of any other is dropped.
    pub(super) fn deliver(&self, number: u64, body: Body) -> Result<(), Error> {
        let route = self.exchanges().get(&number).cloned();
        route.map_or(Ok(()), |route| route.take(body))
    }

    /// Ends the connection and fails its exchanges.
    pub(super) fn close(&self) {
        self.small.close();
        self.bulk.close();
        self.came.close();
        for (_, route) in self.exchanges().drain() {
            route.close();
        }
    }

    fn queue(&self, frame: &Frame) -> &Sender<Frame> {
        let large = match &frame.body {
            Some(Body::Chunk(_) | Body::End(_) | Body::Abort(_)) => true,
            Some(Body::Notice(notice)) => notice.payload.len() > CHUNK,
            Some(Body::Call(call)) => call.payload.len() > CHUNK,
            Some(Body::Reply(reply)) => reply.payload.len() > CHUNK,
            _ => false,
        };
        if large { &self.bulk } else { &self.small }
    }

    fn exchanges(&self) -> MutexGuard<'_, HashMap<u64, Arc<Route>>> {
        lock(&self.exchanges)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Route {
    pub(super) fn windows(&self) -> MutexGuard<'_, Windows> {
        lock(&self.windows)
    }

    fn take(&self, body: Body) -> Result<(), Error> {
        match &body {
            Body::Credit(credit) => {
                self.windows().out.grant(credit.bytes);
                let _ = self.granted.try_send(());
                return Ok(());
            }
            Body::Chunk(chunk) if !self.windows().inward.spend(chunk.bytes.len()) => {
                return Err(Error::Protocol("a chunk beyond the window"));
            }
            _ => {}
        }
        let frames = usize::try_from(WINDOW / CHUNK_COST).unwrap_or(usize::MAX) + OTHER_FRAMES;
        if self.incoming.len() >= frames {
            return Err(Error::Protocol("more frames than an exchange holds"));
        }
        let _ = self.incoming.try_send(body);
        Ok(())
    }

    fn close(&self) {
        self.incoming.close();
        self.granted.close();
    }
}
