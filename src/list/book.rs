use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::{Allowance, Plan};
use crate::id;

/// One version of one list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List<T> {
    /// The version; zero if no list has been accepted yet.
    pub version: u64,
    /// The entries.
    pub entries: Vec<T>,
}

impl<T> Default for List<T> {
    fn default() -> Self {
        Self { version: 0, entries: Vec::new() }
    }
}

/// A version of each of the two lists. A request is decided under the same book from start to end.
#[derive(Clone, Debug, Default)]
pub struct Book {
    plans: List<Plan>,
    allowances: List<Allowance>,
    /// Indices into the entries of `plans`, by key digest.
    plan_index_by_key: HashMap<String, usize>,
}

impl Book {
    /// Creates a book from the two lists.
    pub fn new(plans: List<Plan>, allowances: List<Allowance>) -> Self {
        let plan_index_by_key = plans
            .entries
            .iter()
            .enumerate()
            .flat_map(|(index, plan)| plan.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Self { plans, allowances, plan_index_by_key }
    }

    /// The list of plans.
    pub fn plans(&self) -> &List<Plan> {
        &self.plans
    }

    /// The list of allowances.
    pub fn allowances(&self) -> &List<Allowance> {
        &self.allowances
    }

    /// The plan of the customer to whom `key` belongs.
    ///
    /// ```
    /// use pomelogate::list::{Book, List, Plan, hash_key};
    ///
    /// let plan = Plan {
    ///     customer: "crew".into(),
    ///     plan: "gold".into(),
    ///     home: "jakarta".into(),
    ///     scheme: None,
    ///     keys: vec![hash_key("secret")],
    /// };
    /// let book = Book::new(List { version: 1, entries: vec![plan] }, List::default());
    /// assert!(book.plan_for_key("secret").is_some());
    /// assert!(book.plan_for_key("guess").is_none());
    /// ```
    pub fn plan_for_key(&self, key: &str) -> Option<&Plan> {
        let digest = hash_key(key);
        let (known_digest, index) = self.plan_index_by_key.get_key_value(&digest)?;
        let is_same = known_digest.as_bytes().ct_eq(digest.as_bytes());
        bool::from(is_same).then(|| &self.plans.entries[*index])
    }

    /// The plan of `customer`.
    pub fn plan(&self, customer: &id::Customer) -> Option<&Plan> {
        self.plans.entries.iter().find(|plan| plan.customer == *customer)
    }

    /// The allowance of `plan`.
    pub fn allowance(&self, plan: &id::Plan) -> Option<&Allowance> {
        self.allowances.entries.iter().find(|allowance| allowance.plan == *plan)
    }
}

/// The SHA-256 digest of a key, in hexadecimal. The lists and settings have only this digest.
///
/// ```
/// assert!(pomelogate::list::hash_key("secret").starts_with("2bb80d537b1da3e3"));
/// ```
pub fn hash_key(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
