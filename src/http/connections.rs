use std::{
    collections::BTreeMap,
    convert::Infallible,
    sync::{Arc, Mutex},
};

use smol::channel::{Receiver, Sender};

use crate::control::lock;

/// The open connections of a server, of which there may be `max_open`.
///
/// A connection beyond that closes another one on which no request runs: one that waits for a request
/// before one that receives a body, and that before one whose response is complete and not yet read; of
/// those the one that has done so for longest.
///
/// ```
/// use pomelogate::http::Connections;
///
/// let connections = Connections::new(2);
/// let first = connections.admit().unwrap();
/// let second = connections.admit().unwrap();
/// second.set_running();
/// let third = connections.admit().unwrap();
/// assert!(first.is_evicted() && !second.is_evicted());
/// third.set_running();
/// drop(first);
/// assert!(connections.admit().is_none());
/// ```
#[derive(Debug)]
pub struct Connections {
    max_open: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Connections that are open and were not told to close.
    open: usize,
    next_number: u64,
    /// Connections that may be closed, the first one first.
    evictable: BTreeMap<Place, Sender<Infallible>>,
}

/// The order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    activity: Activity,
    number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Activity {
    Idle,
    Receiving,
    Sending,
}

/// One connection, counted until this is dropped.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    place: Mutex<Option<Place>>,
    sender: Sender<Infallible>,
    evicted: Receiver<Infallible>,
}

impl Connections {
    /// Creates the table of a server that has no connections yet.
    pub fn new(max_open: usize) -> Arc<Self> {
        Arc::new(Self { max_open, state: Mutex::default() })
    }

    /// Counts a new connection that waits for a request; `None` if there is no room for it.
    pub fn admit(self: &Arc<Self>) -> Option<Connection> {
        {
            let mut state = lock(&self.state);
            if state.open >= self.max_open {
                let (_, sender) = state.evictable.pop_first()?;
                sender.close();
                state.open -= 1;
            }
            state.open += 1;
        }
        let (sender, evicted) = smol::channel::bounded(1);
        let connections = Arc::clone(self);
        let connection = Connection { connections, place: Mutex::default(), sender, evicted };
        connection.set_idle();
        Some(connection)
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        lock(&self.state).open
    }
}

impl Connection {
    /// The connection waits for a request.
    pub fn set_idle(&self) {
        self.set(Some(Activity::Idle));
    }

    /// The connection receives the body of a request that does not run yet.
    pub fn set_receiving(&self) {
        self.set(Some(Activity::Receiving));
    }

    /// The response to a request of the connection is complete and waits to be written.
    pub fn set_sending(&self) {
        self.set(Some(Activity::Sending));
    }

    /// All that was to be written is written.
    pub fn set_written(&self) {
        let is_sending =
            lock(&self.place).as_ref().is_some_and(|place| place.activity == Activity::Sending);
        if is_sending {
            self.set_idle();
        }
    }

    /// A request of the connection runs.
    pub fn set_running(&self) {
        self.set(None);
    }

    fn set(&self, activity: Option<Activity>) {
        let mut place = lock(&self.place);
        let mut state = lock(&self.connections.state);
        if self.is_evicted() {
            return;
        }
        if let Some(place) = place.take() {
            state.evictable.remove(&place);
        }
        if let Some(activity) = activity {
            let new_place = Place { activity, number: state.next_number };
            state.next_number += 1;
            state.evictable.insert(new_place, self.sender.clone());
            *place = Some(new_place);
        }
    }

    /// Whether the connection has to close for another one.
    pub fn is_evicted(&self) -> bool {
        self.evicted.is_closed()
    }

    /// Waits until the connection has to close for another one.
    pub async fn wait_for_eviction(&self) {
        let _ = self.evicted.recv().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.set_running();
        let mut state = lock(&self.connections.state);
        if !self.is_evicted() {
            state.open -= 1;
        }
    }
}
