use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use smol::{
    channel::{Receiver, Sender, TrySendError},
    future::or,
};

use super::{
    CHUNK_OVERHEAD_BYTES, CreditWindow, Error, Exchange, Liveness, MAX_CHUNK_BYTES, Settings,
    WINDOW_BYTES,
};
use crate::wire::{Body, Frame, Heartbeat};

/// The received frames that an exchange may queue in addition to chunks.
const MAX_OTHER_FRAMES: usize = 16;

/// One connection and the exchanges open on it.
///
/// Small frames have their own queue, which is written first, so that they do not wait behind
/// bodies. Chunks, and the frames that must stay in order after them, share the bulk queue.
#[derive(Debug)]
pub(super) struct Connection {
    small_sender: Sender<Frame>,
    bulk_sender: Sender<Frame>,
    exchanges: Mutex<HashMap<u64, Arc<ExchangeState>>>,
    next_exchange_id: AtomicU64,
    liveness: Mutex<Liveness>,
    /// Until when the connection is active even without open exchanges.
    active_until: Mutex<Instant>,
    /// When a frame other than a heartbeat was last received or queued.
    last_used: Mutex<Instant>,
    /// Wakes the task that monitors liveness, because its next action may have changed.
    wake_sender: Sender<()>,
    pub(super) wakeups: Receiver<()>,
    /// Signals that a frame was received.
    received_sender: Sender<()>,
    received: Receiver<()>,
}

/// The receiving ends of the two send queues of a connection.
pub(super) struct Queues {
    pub(super) small_frames: Receiver<Frame>,
    pub(super) bulk_frames: Receiver<Frame>,
}

impl Queues {
    /// Waits for the next frame; `None` once both queues are closed and empty.
    pub(super) async fn next(&self) -> Option<Frame> {
        let first = or(self.small_frames.recv(), self.bulk_frames.recv()).await;
        match first.or_else(|_| self.small_frames.try_recv()) {
            Ok(frame) => Some(frame),
            Err(_) => self.bulk_frames.recv().await.ok(),
        }
    }
}

/// A connection's part of the state of an exchange.
#[derive(Debug)]
pub(super) struct ExchangeState {
    frames: Sender<Body>,
    credit_granted: Sender<()>,
    windows: Mutex<CreditWindows>,
}

/// The flow control credit of both directions of an exchange.
#[derive(Debug)]
pub(super) struct CreditWindows {
    pub(super) outgoing: CreditWindow,
    pub(super) incoming: CreditWindow,
}

impl Connection {
    pub(super) fn new(settings: Settings, now: Instant) -> (Arc<Self>, Queues) {
        let (small_sender, small_frames) = smol::channel::bounded(settings.max_queued_frames);
        let (bulk_sender, bulk_frames) = smol::channel::bounded(settings.max_queued_frames);
        let next_exchange_id = AtomicU64::new(1);
        let (wake_sender, wakeups) = smol::channel::bounded(1);
        let (received_sender, received) = smol::channel::bounded(1);
        let connection = Self {
            small_sender,
            bulk_sender,
            exchanges: Mutex::default(),
            next_exchange_id,
            liveness: Mutex::new(Liveness::new(settings, now)),
            active_until: Mutex::new(now),
            last_used: Mutex::new(now),
            wake_sender,
            wakeups,
            received_sender,
            received,
        };
        (Arc::new(connection), Queues { small_frames, bulk_frames })
    }

    /// Opens a new exchange; `None` if the connection has ended.
    pub(super) fn open(self: &Arc<Self>) -> Option<Exchange> {
        let exchange_id = self.next_exchange_id.fetch_add(1, Ordering::Relaxed);
        let exchange = self.add_exchange(exchange_id);
        if self.exchanges().contains_key(&exchange_id) {
            return Some(exchange);
        }
        exchange.finish();
        None
    }

    /// Whether the connection can still carry frames.
    pub(super) fn is_open(&self) -> bool {
        !self.small_sender.is_closed()
    }

    /// Decides when to send heartbeats and when to drop the connection.
    pub(super) fn liveness(&self) -> MutexGuard<'_, Liveness> {
        lock(&self.liveness)
    }

    /// Whether an exchange is open or [`Self::keep_active_for`] applies at `now`.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        !self.exchanges().is_empty() || now < *lock(&self.active_until)
    }

    /// Treats the connection as active for `duration` from `now`, as if an exchange were open.
    pub(super) fn keep_active_for(&self, duration: Duration, now: Instant) {
        let previous = std::mem::replace(&mut *lock(&self.active_until), now + duration);
        if previous <= now {
            self.wake();
        }
    }

    /// Wakes the task that monitors liveness.
    pub(super) fn wake(&self) {
        let _ = self.wake_sender.try_send(());
    }

    /// Records that a frame was received at `now`.
    pub(super) fn record_received(&self, now: Instant) {
        self.liveness().record_received(now);
        let _ = self.received_sender.try_send(());
    }

    /// Records that a frame other than a heartbeat was received or queued at `now`.
    pub(super) fn record_use(&self, now: Instant) {
        *lock(&self.last_used) = now;
    }

    /// Sends an urgent heartbeat and waits for any frame; fails if the connection ends before one
    /// is received.
    pub(super) async fn probe(self: &Arc<Self>) -> Result<(), Error> {
        let _ = self.received.try_recv();
        let exchange = self.open().ok_or(Error::Closed)?;
        self.try_write(Frame::new(0, Body::Heartbeat(Heartbeat { urgent: true })));
        let now = Instant::now();
        self.liveness().set_active(true, now);
        self.liveness().record_heartbeat_sent(now);
        let answered = self.received.recv().await.map_err(|_| Error::Closed);
        exchange.finish();
        answered
    }

    /// Closes the connection if it carried only heartbeats during `timeout` before `now`.
    pub(super) fn close_if_idle(&self, timeout: Duration, now: Instant) -> bool {
        let exchanges = self.exchanges();
        let queued = !self.small_sender.is_empty() || !self.bulk_sender.is_empty();
        let idle = now.saturating_duration_since(*lock(&self.last_used)) >= timeout;
        if !idle || queued || !exchanges.is_empty() {
            return false;
        }
        self.small_sender.close();
        self.bulk_sender.close();
        true
    }

    pub(super) async fn write(&self, frame: Frame) -> Result<(), Error> {
        self.record_use(Instant::now());
        self.queue_for(&frame).send(frame).await.map_err(|_| Error::Closed)
    }

    /// Queues a frame; drops it if the queue is full.
    pub(super) fn try_write(&self, frame: Frame) {
        let _ = self.queue_for(&frame).try_send(frame);
    }

    /// Queues a frame that must not be lost, after this returns if the queue is full.
    pub(super) fn write_detached(self: &Arc<Self>, frame: Frame) {
        if let Err(TrySendError::Full(frame)) = self.queue_for(&frame).try_send(frame) {
            let connection = Arc::clone(self);
            smol::spawn(async move {
                let _ = connection.write(frame).await;
            })
            .detach();
        }
    }

    pub(super) fn remove_exchange(&self, exchange_id: u64) {
        self.exchanges().remove(&exchange_id);
    }

    pub(super) fn add_exchange(self: &Arc<Self>, exchange_id: u64) -> Exchange {
        // A bounded channel would allocate its whole capacity at once; `ExchangeState::receive`
        // enforces the bound instead.
        let (sender, frames) = smol::channel::unbounded();
        let (credit_granted, credit_grants) = smol::channel::bounded(1);
        let windows = CreditWindows {
            outgoing: CreditWindow::new(WINDOW_BYTES),
            incoming: CreditWindow::new(WINDOW_BYTES),
        };
        let state = Arc::new(ExchangeState {
            frames: sender,
            credit_granted,
            windows: Mutex::new(windows),
        });
        let mut exchanges = self.exchanges();
        let was_empty = exchanges.is_empty();
        if self.is_open() {
            exchanges.insert(exchange_id, Arc::clone(&state));
        } else {
            state.close();
        }
        drop(exchanges);
        if was_empty {
            self.wake();
        }
        Exchange::new(exchange_id, Arc::clone(self), state, frames, credit_grants)
    }

    /// Delivers a frame to its exchange; drops it if the exchange is not open.
    pub(super) fn deliver(&self, exchange_id: u64, body: Body) -> Result<(), Error> {
        let state = self.exchanges().get(&exchange_id).cloned();
        state.map_or(Ok(()), |state| state.receive(body))
    }

    /// Closes the connection and fails its exchanges.
    pub(super) fn close(&self) {
        self.small_sender.close();
        self.bulk_sender.close();
        self.received_sender.close();
        for (_, state) in self.exchanges().drain() {
            state.close();
        }
    }

    fn queue_for(&self, frame: &Frame) -> &Sender<Frame> {
        let large = match &frame.body {
            Some(Body::Chunk(_) | Body::End(_) | Body::Abort(_)) => true,
            Some(Body::Notice(notice)) => notice.payload.len() > MAX_CHUNK_BYTES,
            Some(Body::Call(call)) => call.payload.len() > MAX_CHUNK_BYTES,
            Some(Body::Reply(reply)) => reply.payload.len() > MAX_CHUNK_BYTES,
            _ => false,
        };
        if large { &self.bulk_sender } else { &self.small_sender }
    }

    fn exchanges(&self) -> MutexGuard<'_, HashMap<u64, Arc<ExchangeState>>> {
        lock(&self.exchanges)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ExchangeState {
    pub(super) fn windows(&self) -> MutexGuard<'_, CreditWindows> {
        lock(&self.windows)
    }

    fn receive(&self, body: Body) -> Result<(), Error> {
        match &body {
            Body::Credit(credit) => {
                self.windows().outgoing.grant(credit.bytes);
                let _ = self.credit_granted.try_send(());
                return Ok(());
            }
            // The other VM grants no more credit, so a sender must not wait for it.
            Body::Cancel(_) | Body::Abort(_) => {
                self.credit_granted.close();
            }
            Body::Chunk(chunk) if !self.windows().incoming.try_spend(chunk.bytes.len()) => {
                return Err(Error::Protocol("a chunk beyond the window"));
            }
            _ => {}
        }
        let max_frames = usize::try_from(WINDOW_BYTES / CHUNK_OVERHEAD_BYTES).unwrap_or(usize::MAX)
            + MAX_OTHER_FRAMES;
        if self.frames.len() >= max_frames {
            return Err(Error::Protocol("more frames than an exchange holds"));
        }
        let _ = self.frames.try_send(body);
        Ok(())
    }

    fn close(&self) {
        self.frames.close();
        self.credit_granted.close();
    }
}
