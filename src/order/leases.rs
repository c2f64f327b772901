use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::id;

/// Who may give orders in each region, as the leader of the group of the lists grants it.
///
/// A region has one holder at a time. Another takes over only when the holder's last lease has
/// ended, and with a number of its own; a new leader waits for all leases of the old one.
#[derive(Debug, Default)]
pub struct Leases {
    term: u64,
    ready: Option<Instant>,
    held: HashMap<id::Region, Held>,
}

/// A VM's process that is to give orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The VM.
    pub vm: id::Vm,
    /// The incarnation of its process.
    pub incarnation: u64,
}

/// What a quorum has proved to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// The leader's term.
    pub term: u64,
    /// The end of its lease.
    pub until: Instant,
}

/// What comes of a holder's question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Another VM may still give orders.
    Denied,
    /// The group is to issue a number for the holder; then it may ask again.
    Issue,
    /// The holder may give orders.
    Granted {
        /// Its fencing number.
        number: u64,
        /// Until when.
        until: Instant,
    },
}

#[derive(Debug)]
struct Held {
    holder: Holder,
    number: Option<u64>,
    until: Instant,
}

impl Leases {
    /// Decides whether `holder` may give orders in `region` under `proof`; no lease that any
    /// leader ever grants is longer than `longest`.
    pub fn ask(
        &mut self,
        region: &id::Region,
        holder: &Holder,
        proof: Proof,
        longest: Duration,
        now: Instant,
    ) -> Decision {
        self.follow(proof.term, longest, now);
        if proof.until <= now || self.ready.is_none_or(|ready| now < ready) {
            return Decision::Denied;
        }
        match self.held.get_mut(region) {
            Some(held) if held.holder == *holder => match held.number {
                Some(number) => {
                    held.until = held.until.max(proof.until);
                    Decision::Granted { number, until: proof.until }
                }
                None => Decision::Issue,
            },
            Some(held) if now < held.until => Decision::Denied,
            _ => {
                let held = Held { holder: holder.clone(), number: None, until: proof.until };
                self.held.insert(region.clone(), held);
                Decision::Issue
            }
        }
    }

    /// Takes the number that the group issued for `holder` in `term`.
    pub fn issued(&mut self, region: &id::Region, holder: &Holder, term: u64, number: u64) {
        let held = self.held.get_mut(region).filter(|held| held.holder == *holder);
        if let Some(held) = held.filter(|_| self.term == term) {
            held.number = held.number.max(Some(number));
        }
    }

    /// Forgets what another term granted, and waits until all of that has ended.
    fn follow(&mut self, term: u64, longest: Duration, now: Instant) {
        if self.term != term {
            self.term = term;
            self.ready = Some(now + longest);
            self.held.clear();
        }
    }
}
