use std::fmt;

use serde::{Deserialize, Serialize};

/// A target of the request's service, and why it is or is not chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Candidate {
    /// The target.
    pub target: String,
    /// Its zone.
    pub zone: String,
    /// The requests that it processes at once.
    pub slots: u32,
    /// Whether its announcements are overdue. Such a target is chosen if the others are slower.
    pub silent: bool,
    /// The milliseconds for which its cache counts as cold.
    pub cold_ms: u64,
    /// Why it is or is not chosen.
    pub verdict: Verdict,
}

/// Why a target is or is not chosen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Verdict {
    /// It could take the request; the one with the lowest cost is chosen.
    Compared {
        /// The expected milliseconds until the first event.
        first_event_ms: u64,
        /// The cost by which targets are compared, in milliseconds.
        cost_ms: u64,
        /// The requests that it is believed to have in flight.
        in_flight: u32,
    },
    /// A route or an organisation does not allow its region, or it is in another region, whose VMs choose.
    OtherRegion,
    /// It asked for a pause that has not ended.
    Paused {
        /// The milliseconds until this VM may send to it again.
        left_ms: u64,
    },
    /// The limit that it named is used up.
    Limited {
        /// The milliseconds until this VM may send to it again.
        left_ms: u64,
    },
    /// It asked another VM for a pause, and others can take the request.
    PausedElsewhere,
    /// The request was tried there.
    Tried,
    /// It was left out at random, so that VMs with the same view do not all choose the same target.
    NotDrawn,
    /// It is cold and gets no more requests within this second.
    ColdLimit,
    /// It failed a short time ago.
    Backoff,
    /// It has requests and sends nothing.
    Unresponsive,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compared { first_event_ms, cost_ms, in_flight } => write!(
                f,
                "can take it: first event in {first_event_ms} ms, cost {cost_ms} ms, \
                 {in_flight} in flight"
            ),
            Self::OtherRegion => f.write_str("not chosen here: another region"),
            Self::Paused { left_ms } => write!(f, "paused for {left_ms} ms more"),
            Self::Limited { left_ms } => write!(f, "its limit is used up for {left_ms} ms more"),
            Self::PausedElsewhere => f.write_str("paused for other VMs, used as a last resort"),
            Self::Tried => f.write_str("tried"),
            Self::NotDrawn => f.write_str("not in the random sample"),
            Self::ColdLimit => f.write_str("cold, and has its requests for this second"),
            Self::Backoff => f.write_str("in backoff after a failure"),
            Self::Unresponsive => f.write_str("unresponsive: it has requests and sends nothing"),
        }
    }
}
