use std::collections::BTreeMap;

use crate::{
    id,
    outcome::{Reason, Refusal},
};

/// The retries that each customer may cause, as a part of its first attempts.
///
/// A first attempt earns a part of a retry; a retry spends a whole one. When many targets fail at
/// once, retries thus add a bounded load to what is left.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    earned: f64,
    saved: f64,
    left: BTreeMap<id::Customer, f64>,
}

impl RetryBudget {
    /// Creates a budget: each first attempt earns `earned` retries, at most `saved` are saved up.
    pub fn new(earned: f64, saved: f64) -> Self {
        Self { earned, saved, left: BTreeMap::new() }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, customer: &id::Customer) {
        let Some(left) = self.left.get_mut(customer) else { return };
        *left += self.earned;
        if *left >= self.saved {
            self.left.remove(customer);
        }
    }

    /// Spends a retry.
    ///
    /// # Errors
    ///
    /// Where the customer's retries are spent.
    ///
    /// ```
    /// let mut budget = pomelogate::limit::RetryBudget::new(0.1, 1.0);
    /// let customer = "crew-leads".into();
    /// assert!(budget.spend_retry(&customer).is_ok());
    /// assert!(budget.spend_retry(&customer).is_err());
    /// ```
    pub fn spend_retry(&mut self, customer: &id::Customer) -> Result<(), Refusal> {
        let left = self.left.get(customer).copied().unwrap_or(self.saved);
        if left < 1.0 {
            return Err(Refusal::new(
                Reason::Overloaded,
                "the customer's retries are spent; too many of its requests fail",
                "slow down, and try again later",
            ));
        }
        self.left.insert(customer.clone(), left - 1.0);
        Ok(())
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.1, 10.0)
    }
}
