use std::fmt::{Display, Write};

use hdrhistogram::Histogram;

/// Figures as text in the format that scrapers read: one line a value, with its labels.
///
/// ```
/// use pomelogate::figure::Page;
///
/// let mut page = Page::default();
/// page.counter("requests_total", &[("outcome", &"answered")], 3);
/// assert_eq!(page.text(), "pomelogate_requests_total{outcome=\"answered\"} 3\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Page {
    text: String,
}

/// A label of a figure: its name and its value.
pub type Label<'a> = (&'a str, &'a dyn Display);

/// The parts of a distribution that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

impl Page {
    /// Adds a number that only grows.
    pub fn counter(&mut self, name: &str, labels: &[Label<'_>], value: u64) {
        self.line(name, labels, &value);
    }

    /// Adds a number that may fall.
    pub fn gauge(&mut self, name: &str, labels: &[Label<'_>], value: f64) {
        self.line(name, labels, &value);
    }

    /// Adds a distribution of milliseconds: some quantiles and the count.
    pub fn histogram(&mut self, name: &str, labels: &[Label<'_>], histogram: &Histogram<u64>) {
        for quantile in QUANTILES {
            let mut all = labels.to_vec();
            all.push(("quantile", &quantile));
            self.line(name, &all, &histogram.value_at_quantile(quantile));
        }
        self.line(&format!("{name}_count"), labels, &histogram.len());
    }

    /// The text.
    pub fn text(self) -> String {
        self.text
    }

    fn line(&mut self, name: &str, labels: &[Label<'_>], value: &dyn Display) {
        let _ = write!(self.text, "pomelogate_{name}");
        for (place, (label, value)) in labels.iter().enumerate() {
            let open = if place == 0 { "{" } else { "," };
            let value = value.to_string().replace(['"', '\\', '\n'], "_");
            let _ = write!(self.text, "{open}{label}=\"{value}\"");
        }
        let close = if labels.is_empty() { "" } else { "}" };
        let _ = writeln!(self.text, "{close} {value}");
    }
}
