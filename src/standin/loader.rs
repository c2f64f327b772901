use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use smol::Timer;

use super::Store;
use crate::{
    order::{Action, Answer, Message, Weights},
    target::Offer,
};

/// The part of a stand-in engine that takes orders.
#[derive(Debug)]
pub struct Loader {
    manner: Manner,
    models: usize,
    store: Arc<Store>,
    state: Mutex<State>,
}

/// How a stand-in engine takes orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Refuses orders with an old fencing number.
    Fenced,
    /// Ignores fencing numbers.
    Unfenced,
    /// Refuses every order.
    Refusing,
}

/// An order that came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// When it came.
    pub at: Instant,
    /// The order.
    pub order: Message,
    /// What was answered.
    pub answer: Answer,
}

#[derive(Debug, Default)]
struct State {
    newest: u64,
    loading: bool,
    held: Vec<Weights>,
    received: Vec<Received>,
}

impl Loader {
    /// An engine that holds `models` models at most and gets them from `store`.
    pub fn new(manner: Manner, models: usize, store: Arc<Store>) -> Arc<Self> {
        Arc::new(Self { manner, models, store, state: Mutex::default() })
    }

    /// Whether the engine refuses old fencing numbers.
    pub fn is_fenced(&self) -> bool {
        self.manner == Manner::Fenced
    }

    /// How many models it can hold.
    pub fn models(&self) -> u32 {
        u32::try_from(self.models).unwrap_or(u32::MAX)
    }

    /// What it serves at present.
    pub fn offers(&self) -> Vec<Offer> {
        let offer = |weights: &Weights| Offer::Model {
            model: weights.model.clone(),
            version: weights.version.clone(),
            adapters: weights.adapter.iter().cloned().collect(),
        };
        self.state().held.iter().map(offer).collect()
    }

    /// The orders that came, first to last.
    pub fn received(&self) -> Vec<Received> {
        self.state().received.clone()
    }

    /// Takes an order.
    pub fn take(self: &Arc<Self>, order: Message) -> Answer {
        let now = Instant::now();
        let mut state = self.state();
        let answer = self.answer(&mut state, &order, now);
        state.received.push(Received { at: now, order, answer: answer.clone() });
        answer
    }

    fn answer(self: &Arc<Self>, state: &mut State, order: &Message, now: Instant) -> Answer {
        let newest = state.newest.max(order.fence);
        match self.manner {
            Manner::Refusing => return refused("this engine takes no orders at present"),
            Manner::Fenced if order.fence < newest => return Answer::StaleFence { newest },
            Manner::Fenced | Manner::Unfenced => state.newest = newest,
        }
        if state.loading {
            return refused("a load is under way");
        }
        match &order.action {
            Action::Unload(weights) => {
                state.held.retain(|held| held != weights);
                Answer::Accepted
            }
            Action::Load(weights) if state.held.contains(weights) => Answer::Accepted,
            Action::Load(_) if state.held.len() >= self.models => refused("no room is left"),
            Action::Load(weights) => match self.store.begin(now) {
                None => refused("the weight store is busy"),
                Some(time) => {
                    state.loading = true;
                    smol::spawn(Arc::clone(self).load(weights.clone(), time)).detach();
                    Answer::Accepted
                }
            },
        }
    }

    async fn load(self: Arc<Self>, weights: Weights, time: std::time::Duration) {
        Timer::after(time).await;
        let mut state = self.state();
        state.loading = false;
        state.held.push(weights);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refused(reason: &str) -> Answer {
    Answer::Refused { reason: reason.to_owned() }
}
