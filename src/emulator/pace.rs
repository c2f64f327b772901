use std::time::Duration;

/// How fast an engine works and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Requests in a batch.
    pub slots: usize,
    /// Prompt tokens read in a second.
    pub prefill: f64,
    /// Prompt tokens read in one step.
    pub chunk: u32,
    /// The time of a step, whatever it does.
    pub step: Duration,
    /// The time that each request of the batch adds to a step.
    pub decode: Duration,
    /// Blocks that the prefix cache holds.
    pub blocks: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slots: 16,
            prefill: 8000.0,
            chunk: 1024,
            step: Duration::from_millis(15),
            decode: Duration::from_micros(600),
            blocks: 1200,
        }
    }
}
