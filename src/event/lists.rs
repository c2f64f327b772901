//! Events 300 to 399: lists, claims and orders.

use super::{Event, Severity};

/// New versions of the lists are in force on this VM.
pub const IN_FORCE: Event =
    Event { number: 200, severity: Severity::Info, text: "lists are in force" };
/// An update of a peer was not taken.
pub const UPDATE_REFUSED: Event =
    Event { number: 201, severity: Severity::Warning, text: "update of the lists not taken" };
/// The cache of the lists cannot be read or written.
pub const CACHE_FAILED: Event =
    Event { number: 202, severity: Severity::Error, text: "cache of the lists failed" };
/// The VM has no lists yet and serves nobody.
pub const NO_LISTS: Event =
    Event { number: 203, severity: Severity::Warning, text: "no lists known yet" };
/// A change of a list was decided.
pub const CHANGE: Event =
    Event { number: 204, severity: Severity::Info, text: "change of a list decided" };
/// A planned stop was announced or withdrawn.
pub const STOP: Event =
    Event { number: 205, severity: Severity::Info, text: "planned stop changed" };
/// A call that runs at most once has an unknown outcome.
pub const CLAIM_UNKNOWN: Event =
    Event { number: 220, severity: Severity::Warning, text: "outcome of a claimed call unknown" };
/// The records of claims are full.
pub const CLAIMS_FULL: Event =
    Event { number: 221, severity: Severity::Error, text: "records of claims are full" };
/// The home cannot vouch for keys.
pub const CLAIMS_INCOMPLETE: Event =
    Event { number: 222, severity: Severity::Error, text: "records of claims are incomplete" };
/// An operator accepted that calls may run twice.
pub const RISK_ACCEPTED: Event = Event {
    number: 223,
    severity: Severity::Warning,
    text: "operator accepted the risk of reruns",
};
/// An order was given to a target.
pub const ORDER: Event =
    Event { number: 240, severity: Severity::Info, text: "order given to a target" };
/// A target refused an order or did not answer.
pub const ORDER_REFUSED: Event =
    Event { number: 241, severity: Severity::Warning, text: "order refused or not answered" };
/// This VM may give orders in its region.
pub const ORDERS_HELD: Event =
    Event { number: 242, severity: Severity::Info, text: "VM may give orders in its region" };

/// Every event of this part.
pub const ALL: &[Event] = &[
    IN_FORCE,
    UPDATE_REFUSED,
    CACHE_FAILED,
    NO_LISTS,
    CHANGE,
    STOP,
    CLAIM_UNKNOWN,
    CLAIMS_FULL,
    CLAIMS_INCOMPLETE,
    RISK_ACCEPTED,
    ORDER,
    ORDER_REFUSED,
    ORDERS_HELD,
];
