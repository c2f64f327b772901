use std::fmt;

use serde::{Deserialize, Serialize};

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// It would be sent to a target of the VM's region.
    Target {
        /// The target.
        target: String,
        /// The expected milliseconds until the first event.
        first_event_ms: u64,
    },
    /// It would be handed over to a VM of another region.
    Region {
        /// The region.
        region: String,
        /// The VM; a later request may go to another one of the region.
        vm: String,
    },
    /// It would wait for a target, and be refused if none takes it in time.
    Wait {
        /// The milliseconds until it is refused.
        at_most_ms: u64,
        /// The milliseconds until a target takes it again, where targets said so.
        expected_ms: Option<u64>,
        /// The status of the refusal.
        status: u16,
    },
    /// It would be refused at once.
    Refused {
        /// The status of the refusal.
        status: u16,
        /// The kind of the refusal, as in the response and the log.
        reason: String,
        /// The explanation for the caller.
        detail: String,
    },
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target { target, first_event_ms } => {
                write!(f, "sent to target `{target}`, first event expected in {first_event_ms} ms")
            }
            Self::Region { region, vm } => {
                write!(f, "handed over to VM `{vm}` of region `{region}`")
            }
            Self::Wait { at_most_ms, expected_ms, status } => {
                write!(f, "waits for a target for at most {at_most_ms} ms, then {status}")?;
                match expected_ms {
                    Some(ms) => write!(f, "; the first target takes it in {ms} ms"),
                    None => Ok(()),
                }
            }
            Self::Refused { status, reason, detail } => {
                write!(f, "refused with {status} `{reason}`: {detail}")
            }
        }
    }
}
