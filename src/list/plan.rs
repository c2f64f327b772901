use serde::{Deserialize, Serialize};

use crate::{id, name::Scheme};

/// One customer's plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The customer.
    pub customer: id::Customer,
    /// The name of the plan and of its [`Allowance`](super::Allowance).
    pub plan: id::Plan,
    /// The region that holds the claims of the customer's calls that run at most once.
    pub home: id::Region,
    /// The naming scheme of the customer's requests, unless a header names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scheme: Option<Scheme>,
    /// SHA-256 digests of the customer's keys, in hexadecimal.
    pub keys: Vec<String>,
}
