use crate::id;

/// The targets that have run one request, and the maximum number that may.
///
/// The first target that responds with a server error may be tried once more, because the error is
/// more likely to be chance than a fault of the target. However often a target runs the request,
/// it counts once.
///
/// ```
/// use pomelogate::gateway::Attempts;
///
/// let mut attempts = Attempts::new(2);
/// attempts.record_run(&"one".into());
/// assert!(attempts.record_failure(&"one".into()), "it may be tried again");
/// attempts.record_remote_run();
/// assert_eq!(attempts.only_target(), Some(&"one".into()));
/// attempts.record_run(&"one".into());
/// assert!(!attempts.may_attempt());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    max_targets: u32,
    local_targets: Vec<id::Target>,
    remote_runs: u32,
    /// The target that responded with a server error and may be tried again.
    retry_target: Option<id::Target>,
    retry_used: bool,
}

impl Attempts {
    /// A request that may run on at most `max_targets` targets; 0 counts as 1.
    pub fn new(max_targets: u32) -> Self {
        Self { max_targets: max_targets.max(1), ..Self::default() }
    }

    /// The number of targets that have run the request.
    pub fn target_count(&self) -> u32 {
        u32::try_from(self.local_targets.len()).unwrap_or(u32::MAX).saturating_add(self.remote_runs)
    }

    /// Whether the request may run on another target.
    pub fn may_use_new_target(&self) -> bool {
        self.target_count() < self.max_targets
    }

    /// Whether the request may be sent to any target, be it one that has run it already.
    pub fn may_attempt(&self) -> bool {
        self.may_use_new_target() || self.retry_target.is_some()
    }

    /// The only target that the request may still be sent to, if no new one is allowed.
    pub fn only_target(&self) -> Option<&id::Target> {
        if self.may_use_new_target() { None } else { self.retry_target.as_ref() }
    }

    /// Records that `target` ran the request or may have run it.
    pub fn record_run(&mut self, target: &id::Target) {
        self.retry_target = None;
        if !self.local_targets.contains(target) {
            self.local_targets.push(target.clone());
        }
    }

    /// Records that a target chosen by another VM ran the request or may have run it.
    pub fn record_remote_run(&mut self) {
        self.remote_runs += 1;
    }

    /// Records a server error of `target` and returns whether that target may be tried again.
    pub fn record_failure(&mut self, target: &id::Target) -> bool {
        let may_retry = !self.retry_used && self.local_targets.contains(target);
        if may_retry {
            self.retry_used = true;
            self.retry_target = Some(target.clone());
        }
        may_retry
    }

    /// Forbids any further attempt.
    pub fn exhaust(&mut self) {
        self.max_targets = 0;
        self.retry_target = None;
    }
}
