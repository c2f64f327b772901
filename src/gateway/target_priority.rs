use std::fmt;

use hyper::header::HeaderValue;

/// The least urgent priority that targets know.
const LEAST_URGENT: u32 = 9;

/// The number of steps of a route's priority within one step of an organisation's.
const ROUTE_STEPS: u32 = 3;

/// The priority of a request as targets read it: 0 to 9, where 0 is served first.
///
/// The organisation's priority goes first, and the route's tells the kinds of its requests apart. Targets
/// preempt streams of any less urgent priority, whatever the difference.
///
/// ```
/// use pomelogate::gateway::TargetPriority;
///
/// assert_eq!(TargetPriority::new(1, 2).to_string(), "5");
/// assert!(TargetPriority::new(0, 2) < TargetPriority::new(1, 0));
/// assert_eq!(TargetPriority::new(40, 7).to_string(), "9");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetPriority(u32);

impl TargetPriority {
    /// The priority of a request of an organisation on a route.
    pub fn new(organisation: u32, route: u32) -> Self {
        let steps = organisation.saturating_mul(ROUTE_STEPS);
        Self(steps.saturating_add(route.min(ROUTE_STEPS - 1)).min(LEAST_URGENT))
    }
}

impl From<TargetPriority> for HeaderValue {
    fn from(priority: TargetPriority) -> Self {
        Self::from(priority.0)
    }
}

impl fmt::Display for TargetPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
