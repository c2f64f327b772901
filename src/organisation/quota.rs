/// What an organisation may send over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What a request counts as.
    pub unit: Unit,
    /// Units a second.
    pub per_sec: f64,
    /// Units that may be sent at once on top.
    pub burst: f64,
}

/// What the requests of an organisation are counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens and the most output tokens that it allows.
    Tokens {
        /// The tokens of a request that does not tell them.
        plain: u64,
    },
}

impl Quota {
    /// The units of a request with `tokens` prompt and output tokens, if it tells them.
    ///
    /// ```
    /// use pomelogate::organisation::{Quota, Unit};
    ///
    /// let quota = Quota { unit: Unit::Tokens { plain: 200 }, per_sec: 1e6, burst: 1e6 };
    /// assert_eq!((quota.units(Some(900)), quota.units(None)), (900, 200));
    /// assert_eq!(Quota { unit: Unit::Requests, ..quota }.units(Some(900)), 1);
    /// ```
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}
