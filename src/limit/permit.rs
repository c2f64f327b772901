use std::sync::Arc;

use super::{Admission, Ticket};

/// The permission to run one request; dropping it releases the request's share of the limits.
#[derive(Debug)]
pub struct Permit {
    ticket: Option<Ticket>,
    admission: Arc<Admission>,
}

impl Permit {
    pub(super) fn new(ticket: Ticket, admission: Arc<Admission>) -> Self {
        Self { ticket: Some(ticket), admission }
    }

    /// Ends the request and replaces its estimated tokens with the ones that it used.
    pub fn finish(mut self, used_tokens: u32) {
        if let Some(ticket) = self.ticket.take() {
            self.admission.finish(ticket, used_tokens);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.admission.cancel(ticket);
        }
    }
}
