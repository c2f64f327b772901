use crate::id;

/// The targets on which one request has run, against the most that it may run on.
///
/// A target that answered with a failure may be asked once more, as the failure tells more of the
/// request's luck than of the target; it counts as one target however often it runs the request.
///
/// ```
/// use pomelogate::gateway::Attempts;
///
/// let mut attempts = Attempts::new(2);
/// attempts.record_run(&"one".into());
/// assert!(attempts.record_failure(&"one".into()), "it may be asked again");
/// attempts.record_remote_run();
/// assert_eq!(attempts.only_target(), Some(&"one".into()));
/// attempts.record_run(&"one".into());
/// assert!(!attempts.may_attempt());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    most: u32,
    targets: Vec<id::Target>,
    elsewhere: u32,
    again: Option<id::Target>,
    spent: bool,
}

impl Attempts {
    /// A request that may run on `most` targets, at least on one.
    pub fn new(most: u32) -> Self {
        Self { most: most.max(1), ..Self::default() }
    }

    /// On how many targets it has run.
    pub fn target_count(&self) -> u32 {
        u32::try_from(self.targets.len()).unwrap_or(u32::MAX).saturating_add(self.elsewhere)
    }

    /// Whether it may run on another target.
    pub fn may_use_new_target(&self) -> bool {
        self.target_count() < self.most
    }

    /// Whether it may be sent to any target.
    pub fn may_attempt(&self) -> bool {
        self.may_use_new_target() || self.again.is_some()
    }

    /// The one target to which it may still be sent, where it may run on no other.
    pub fn only_target(&self) -> Option<&id::Target> {
        if self.may_use_new_target() { None } else { self.again.as_ref() }
    }

    /// It ran on a target, or may have.
    pub fn record_run(&mut self, target: &id::Target) {
        self.again = None;
        if !self.targets.contains(target) {
            self.targets.push(target.clone());
        }
    }

    /// It ran on a target that another VM chose, or may have.
    pub fn record_remote_run(&mut self) {
        self.elsewhere += 1;
    }

    /// A target answered with a failure; whether it may be asked again.
    pub fn record_failure(&mut self, target: &id::Target) -> bool {
        let may = !self.spent && self.targets.contains(target);
        if may {
            self.spent = true;
            self.again = Some(target.clone());
        }
        may
    }

    /// It is not to be sent anywhere any more.
    pub fn exhaust(&mut self) {
        self.most = 0;
        self.again = None;
    }
}
