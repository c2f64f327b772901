use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use smol::channel::{Receiver, Sender};

use super::{CHUNK, CHUNK_COST, Error, Exchange, Settings, WINDOW, Window};
use crate::wire::{Body, Frame};

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
    pub(super) fn new(settings: Settings) -> (Arc<Self>, Queues) {
        let (small, small_frames) = smol::channel::bounded(settings.queue);
        let (bulk, bulk_frames) = smol::channel::bounded(settings.queue);
        let next = AtomicU64::new(1);
        let connection = Self { small, bulk, exchanges: Mutex::default(), next };
        (Arc::new(connection), Queues { small: small_frames, bulk: bulk_frames })
    }

    /// Opens a new exchange.
    pub(super) fn open(self: &Arc<Self>) -> Exchange {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.register(number)
    }

    /// Whether the connection can still carry frames.
    pub(super) fn is_open(&self) -> bool {
        !self.small.is_closed()
    }

    pub(super) async fn write(&self, frame: Frame) -> Result<(), Error> {
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
        let frames = usize::try_from(WINDOW / CHUNK_COST).unwrap_or(usize::MAX) + OTHER_FRAMES;
        let (sender, incoming) = smol::channel::bounded(frames);
        let (granted, grants) = smol::channel::bounded(1);
        let windows = Windows { out: Window::new(WINDOW), inward: Window::new(WINDOW) };
        let route = Arc::new(Route { incoming: sender, granted, windows: Mutex::new(windows) });
        let mut exchanges = self.exchanges();
        if self.is_open() {
            exchanges.insert(number, Arc::clone(&route));
        } else {
            route.close();
        }
        drop(exchanges);
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
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Route {
    pub(super) fn windows(&self) -> MutexGuard<'_, Windows> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
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
        match self.incoming.try_send(body) {
            Err(smol::channel::TrySendError::Full(_)) => {
                Err(Error::Protocol("more frames than an exchange holds"))
            }
            _ => Ok(()),
        }
    }

    fn close(&self) {
        self.incoming.close();
        self.granted.close();
    }
}
