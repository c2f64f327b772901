/// The admitted share above which an organisation gets the lowest limit.
const MAX_EXCESS: f64 = 1.5;
/// The part of the usual limit that remains at that share.
const MIN_FACTOR: f64 = 0.4;

/// How a request stands among those that compete for insufficient capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// What its organisation was lately admitted, as a multiple of its fair share; 0 while nothing is refused.
    pub excess: f64,
    /// The seconds until that has come down to the fair share if nothing more is admitted.
    pub excess_secs: f64,
    /// Whether its organisation, kind, size or session is served far less often than all.
    pub is_starved: bool,
    /// Whether it was refused before.
    pub is_return: bool,
    /// Whether a more urgent request was refused lately.
    pub is_urgent_refused: bool,
    /// The lowest limit of more urgent requests, if there are any.
    pub urgent_limit_secs: Option<f64>,
    /// The lowest limit of all requests for the service, if there are any.
    pub least_limit_secs: Option<f64>,
    /// The lowest limit of the most urgent requests for the service, if there are any.
    pub top_limit_secs: Option<f64>,
    /// Whether a VM of another region handed it over.
    pub is_handed_over: bool,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            excess: 0.0,
            excess_secs: 0.0,
            is_starved: false,
            is_return: false,
            is_urgent_refused: false,
            urgent_limit_secs: None,
            least_limit_secs: None,
            top_limit_secs: None,
            is_handed_over: false,
        }
    }
}

impl Standing {
    /// The standing at a VM that takes the request over: shares were applied by the VM that handed it over.
    pub fn of_handover(&self) -> Self {
        Self {
            urgent_limit_secs: self.urgent_limit_secs,
            least_limit_secs: self.least_limit_secs,
            top_limit_secs: self.top_limit_secs,
            is_handed_over: true,
            ..Self::default()
        }
    }

    /// The standing as metrics name it.
    pub fn label(&self) -> &'static str {
        match self {
            Self { is_starved: true, .. } => "starved",
            Self { is_return: true, .. } => "returned",
            Self { excess, .. } if *excess > 1.0 => "above_share",
            _ => "within_share",
        }
    }

    /// The factor on the limit of requests of an organisation above its share.
    ///
    /// ```
    /// use pomelogate::fairness::Standing;
    ///
    /// let factor = |excess| Standing { excess, ..Standing::default() }.factor();
    /// assert_eq!((factor(0.3), factor(1.0)), (1.0, 1.0));
    /// assert!(factor(1.2) < 1.0 && factor(9.0) > 0.0);
    /// ```
    pub fn factor(&self) -> f64 {
        let part = ((self.excess - 1.0) / (MAX_EXCESS - 1.0)).clamp(0.0, 1.0);
        1.0 - part * (1.0 - MIN_FACTOR)
    }
}
