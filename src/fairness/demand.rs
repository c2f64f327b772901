use crate::id;

/// Prompt tokens that take an engine as long to read as one output token takes to write. With 32 running
/// requests it is about 16, with 64 about 4.
const OUTPUT_TOKEN_WEIGHT: f64 = 8.0;

/// What a request asks for, as far as shares are concerned.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The organisation, if the request has one.
    pub organisation: Option<&'a id::Organisation>,
    /// The weight of the organisation's share, such as the rate of its quota; `None` for the mean weight.
    pub weight: Option<f64>,
    /// The name of the route.
    pub route: &'a str,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The key of the last shared part of the prompt, which stands for a session.
    pub session: Option<u64>,
    /// Prompt tokens that a target has to read.
    pub unread_tokens: u32,
    /// The most tokens that it may write.
    pub max_output_tokens: u32,
    /// The expected seconds until the first event up to which the route and the priority alone admit it.
    pub limit_secs: f64,
}

impl Demand<'_> {
    /// The estimated work, in prompt tokens.
    pub fn work(&self) -> f64 {
        let tokens =
            f64::from(self.unread_tokens) + OUTPUT_TOKEN_WEIGHT * f64::from(self.max_output_tokens);
        tokens.max(1.0)
    }
}
