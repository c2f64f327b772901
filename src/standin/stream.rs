use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::body::Bytes;
use smol::{
    Timer,
    channel::{Receiver, Sender},
};

use crate::http::IncompleteBody;

/// How long an engine keeps a stream that nobody reads.
const GRACE: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(1);

/// The events of one streamed answer as the engine makes them.
#[derive(Clone, Debug, Default)]
pub(super) struct Stream(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    events: Vec<Bytes>,
    done: bool,
    cancelled: bool,
    readers: u32,
}

impl Stream {
    /// Adds an event; says whether the stream is still wanted.
    pub(super) fn push(&self, event: Bytes) -> bool {
        let mut state = self.state();
        state.events.push(event);
        !state.cancelled
    }

    pub(super) fn finish(&self) {
        self.state().done = true;
    }

    pub(super) fn cancel(&self) {
        self.state().cancelled = true;
    }

    /// Gives the bytes from `offset` on, at most `limit` events of them, then breaks off.
    ///
    /// Cancels the stream when its reader is gone: at once, or after a while where it can be
    /// resumed.
    pub(super) fn read(
        &self,
        offset: usize,
        limit: Option<usize>,
        resumable: bool,
    ) -> Receiver<Result<Bytes, IncompleteBody>> {
        let (sender, pieces) = smol::channel::bounded(1);
        self.state().readers += 1;
        smol::spawn(self.clone().serve(offset, limit, resumable, sender)).detach();
        pieces
    }

    async fn serve(
        self,
        offset: usize,
        limit: Option<usize>,
        resumable: bool,
        pieces: Sender<Result<Bytes, IncompleteBody>>,
    ) {
        let whole = self.copy(offset, limit, &pieces).await;
        if !whole && limit.is_some() {
            let _ = pieces.send(Err(IncompleteBody)).await;
        }
        let readers = {
            let mut state = self.state();
            state.readers -= 1;
            state.readers
        };
        if whole || readers > 0 {
            return;
        }
        if resumable {
            Timer::after(GRACE).await;
        }
        if self.state().readers == 0 {
            self.cancel();
        }
    }

    async fn copy(
        &self,
        offset: usize,
        limit: Option<usize>,
        pieces: &Sender<Result<Bytes, IncompleteBody>>,
    ) -> bool {
        let mut skip = offset;
        let mut next = 0;
        loop {
            if limit.is_some_and(|limit| next >= limit) || pieces.is_closed() {
                return false;
            }
            let (event, done) = self.event(next);
            let Some(event) = event else {
                if done {
                    return true;
                }
                Timer::after(POLL).await;
                continue;
            };
            next += 1;
            let skipped = skip.min(event.len());
            skip -= skipped;
            let rest = event.slice(skipped..);
            if !rest.is_empty() && pieces.send(Ok(rest)).await.is_err() {
                return false;
            }
        }
    }

    fn event(&self, place: usize) -> (Option<Bytes>, bool) {
        let state = self.state();
        (state.events.get(place).cloned(), state.done)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
