use std::sync::Arc;

use super::{Admission, Ticket};

/// A request's place in its customer's limits, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    ticket: Option<Ticket>,
    admission: Arc<Admission>,
}

impl Permit {
    pub(super) fn new(ticket: Ticket, admission: Arc<Admission>) -> Self {
        Self { ticket: Some(ticket), admission }
    }

    /// Gives the place back after the request took `used` tokens.
    pub fn finish(mut self, used: u32) {
        if let Some(ticket) = self.ticket.take() {
            self.admission.finish(ticket, used);
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
