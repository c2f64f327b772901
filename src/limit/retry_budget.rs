use std::collections::BTreeMap;

use crate::{
    id,
    outcome::{Reason, Refusal},
};

/// Limits the retries of each customer to a share of its first attempts.
///
/// Each first attempt earns a fraction of a retry, up to a maximum. The load that retries add is
/// therefore bounded, also when many targets fail at once.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries_per_attempt: f64,
    max_retries: f64,
    /// The available retries of each customer that has fewer than `max_retries`.
    available: BTreeMap<id::Customer, f64>,
}

impl RetryBudget {
    /// Creates a budget in which each first attempt earns `retries_per_attempt` retries and each
    /// customer starts with, and has at most, `max_retries`.
    pub fn new(retries_per_attempt: f64, max_retries: f64) -> Self {
        Self { retries_per_attempt, max_retries, available: BTreeMap::new() }
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn record_first_attempt(&mut self, customer: &id::Customer) {
        let Some(available) = self.available.get_mut(customer) else { return };
        *available += self.retries_per_attempt;
        if *available >= self.max_retries {
            self.available.remove(customer);
        }
    }

    /// Spends one retry.
    ///
    /// # Errors
    ///
    /// If the customer has less than one retry available.
    ///
    /// ```
    /// let mut budget = pomelogate::limit::RetryBudget::new(0.1, 1.0);
    /// let customer = "crew-leads".into();
    /// assert!(budget.spend_retry(&customer).is_ok());
    /// assert!(budget.spend_retry(&customer).is_err());
    /// ```
    pub fn spend_retry(&mut self, customer: &id::Customer) -> Result<(), Refusal> {
        let available = self.available.get(customer).copied().unwrap_or(self.max_retries);
        if available < 1.0 {
            return Err(Refusal::new(
                Reason::Overloaded,
                "the customer's retries are spent; too many of its requests fail",
                "slow down, and try again later",
            ));
        }
        self.available.insert(customer.clone(), available - 1.0);
        Ok(())
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 10.0)
    }
}
