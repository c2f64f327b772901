/// How often a route's requests may run, and whether their responses are event streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryMode {
    /// A request that may run more than once.
    Safe,
    /// A request that must run at most once.
    Once,
    /// An event stream; its request must run at most once.
    Stream,
    /// An event stream that another target can continue after the last complete event.
    Resumable,
}

impl DeliveryMode {
    /// Whether a request that may already have run can be sent to another target.
    ///
    /// ```
    /// use pomelogate::route::DeliveryMode;
    ///
    /// assert!(DeliveryMode::Safe.is_repeatable() && !DeliveryMode::Stream.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}
