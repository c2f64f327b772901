//! The end of the grace of a stop: every request that is still in flight gets an answer.

use std::pin::pin;

use futures_util::future::{Either, select};

use super::{Vm, node::lock};
use crate::{outcome::Outcome, path::TargetResponse};

/// What is said of a request that was in flight at the end of the grace.
const GRACE_ENDED: &str = "the VM stopped before the answer was whole";

impl Vm {
    /// Ends the requests that are still in flight, each with an answer.
    pub(super) fn end_grace(&self) {
        drop(lock(&self.grace_sender).take());
    }

    /// Waits for `work` on a request; `None` if the grace of a stop ends first.
    pub(super) async fn until_grace_ends<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        match select(pin!(self.grace_receiver.recv()), pin!(work)).await {
            Either::Left(_) => None,
            Either::Right((done, _)) => Some(done),
        }
    }

    /// Waits for the outcome of a request that may run meanwhile. At the end of the grace of a stop,
    /// the outcome is unknown, or the body of the answer is aborted.
    pub(super) async fn outcome_within_grace(
        &self,
        work: impl Future<Output = Outcome<TargetResponse>>,
    ) -> Outcome<TargetResponse> {
        match self.until_grace_ends(work).await {
            Some(Outcome::Answered(answer)) => {
                Outcome::Answered(answer.abort_when(self.grace_receiver.clone(), GRACE_ENDED))
            }
            Some(outcome) => outcome,
            None => Outcome::Unknown(GRACE_ENDED.into()),
        }
    }
}
