/// What clients saw in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Streams that clients tried to begin at VMs in touch.
    pub tried: u32,
    /// Those of them that began.
    pub begun: u32,
    /// Streams that were taken up at VMs in touch while two targets of their version served.
    pub taken_up: u32,
    /// Those of them that went on.
    pub gone_on: u32,
    /// All take-ups that went on, also at VMs out of touch.
    pub all_gone_on: u32,
    /// Streams with events of two versions.
    pub mixed: u32,
}

impl Outcome {
    /// Whether streams that were taken up went on at least half as often as new ones began.
    pub fn goes_on_as_often(&self) -> bool {
        let (on, begun) = (u64::from(self.gone_on), u64::from(self.begun));
        2 * on * u64::from(self.tried) >= begun * u64::from(self.taken_up)
    }
}
