use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};

use crate::{
    http::{self, Body},
    path::LIMIT,
};

/// When requests reached a stand-in target, the limit that it names in its answers, and the pauses that
/// it asks for.
#[derive(Debug, Default)]
pub(super) struct Intake {
    arrivals: Mutex<Vec<Instant>>,
    limit: Mutex<Option<HeaderValue>>,
    /// Until when requests are refused, with the pause that is asked for.
    pauses: Mutex<Option<(Instant, HeaderValue)>>,
}

impl Intake {
    pub(super) fn record_arrival(&self) {
        lock(&self.arrivals).push(Instant::now());
    }

    pub(super) fn arrivals(&self) -> Vec<Instant> {
        lock(&self.arrivals).clone()
    }

    pub(super) fn name_limit(&self, limit: Option<HeaderValue>) {
        *lock(&self.limit) = limit;
    }

    pub(super) fn ask_pauses(&self, until: Instant, pause: HeaderValue) {
        *lock(&self.pauses) = Some((until, pause));
    }

    /// The refusal of a request while the target asks for pauses.
    pub(super) fn refusal(&self) -> Option<Response<Body>> {
        let pauses = lock(&self.pauses).clone();
        let (_, pause) = pauses.filter(|(until, _)| *until > Instant::now())?;
        let mut refusal = Response::new(http::empty());
        *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        refusal.headers_mut().insert(RETRY_AFTER, pause);
        Some(refusal)
    }

    /// The answer with the limit that the target names now.
    pub(super) fn complete(&self, mut answer: Response<Body>) -> Response<Body> {
        if let Some(limit) = lock(&self.limit).clone() {
            answer.headers_mut().insert(LIMIT, limit);
        }
        answer
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
