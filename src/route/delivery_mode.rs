/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryMode {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another target may go on with after the last whole event.
    Resumable,
}

impl DeliveryMode {
    /// Whether a request that may have run can be sent to another target.
    ///
    /// ```
    /// use pomelogate::route::DeliveryMode;
    ///
    /// assert!(DeliveryMode::Safe.is_repeatable() && !DeliveryMode::Stream.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}
