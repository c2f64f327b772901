use serde::{Deserialize, Serialize};

use super::Pace;

/// A deployment: its engines, VMs, callers and what they ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The engines.
    pub pace: Pace,
    /// The regions; a class's homes are their places.
    pub regions: Vec<Region>,
    /// What is asked.
    pub classes: Vec<Class>,
    /// Seconds of traffic.
    pub lasts: f64,
    /// Seconds from one region's peak to the same again; regions peak one after the other.
    pub turn: f64,
    /// How many times the mean a region's callers ask at its peak.
    pub peak: f64,
    /// The part of the turn for which a peak lasts.
    pub peak_part: f64,
    /// Seconds from one region to another, one way.
    pub way: f64,
}

/// A region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Its engines.
    pub engines: usize,
    /// Its VMs.
    pub vms: usize,
    /// Its part of all callers.
    pub callers: f64,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Requests a second in all regions, on average.
    pub rate: f64,
    /// Its rank, 0 first.
    pub rank: u32,
    /// Seconds within which the first token is in time.
    pub objective: f64,
    /// Seconds that a caller waits for the whole.
    pub deadline: f64,
    /// What an answer in time is worth.
    pub worth: f64,
    /// What a late one is worth.
    pub late: f64,
    /// The subjects that share parts of a prompt.
    pub subjects: u32,
    /// Tokens of the part that all requests with a subject share.
    pub shared: u32,
    /// Tokens of its own, on average.
    pub own: u32,
    /// Tokens to write, on average.
    pub output: u32,
    /// The places of the regions that may serve it; all where there are none.
    #[serde(default)]
    pub homes: Vec<usize>,
}

impl Site {
    /// Requests a second of `class` by the callers of `region` at the time `at`.
    pub fn rate(&self, class: &Class, region: usize, at: f64) -> f64 {
        let regions = self.regions.len() as f64;
        let phase = (at / self.turn - region as f64 / regions).rem_euclid(1.0);
        let low = (1.0 - self.peak * self.peak_part) / (1.0 - self.peak_part);
        let factor = if phase < self.peak_part { self.peak } else { low.max(0.0) };
        class.rate * self.regions[region].callers * factor
    }

    /// Whether `region` may serve `class`.
    pub fn allows(&self, class: &Class, region: usize) -> bool {
        class.homes.is_empty() || class.homes.contains(&region)
    }
}
