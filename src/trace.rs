//! The way of a request, read from the logs of VMs alone.
//!
//! ```
//! use pomelogate::trace::Trace;
//!
//! let log = r#"{"msg":"request ended","ts":"2026-01-01T00:00:01Z","vm":"edge-1","event":502,
//!     "request":"7f","rule":"chat","outcome":"refused busy","detail":"would be late"}"#
//!     .replace('\n', "");
//! let mut trace = Trace::new("7f");
//! trace.read(&log);
//! assert!(trace.cause().contains("refused"));
//! ```

mod line;

pub use self::line::Line;
use crate::event::path;

/// The lines that name one request, in the order of their times.
#[derive(Clone, Debug)]
pub struct Trace {
    request: String,
    lines: Vec<Line>,
}

impl Trace {
    /// An empty trace of a request.
    pub fn new(request: &str) -> Self {
        Self { request: request.to_owned(), lines: Vec::new() }
    }

    /// Takes the lines of a log that name the request; others, and what is no line of a log, are
    /// passed over.
    pub fn read(&mut self, log: &str) {
        let lines = log.lines().filter(|line| line.contains(&self.request));
        let lines = lines.filter_map(Line::parse);
        self.lines.extend(lines.filter(|line| line.field("request") == Some(&self.request)));
        self.lines.sort_by(|one, other| one.time.cmp(&other.time));
    }

    /// The lines.
    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    /// What became of the request, and why.
    pub fn cause(&self) -> String {
        let of = |event: crate::event::Event| {
            self.lines.iter().filter(move |line| line.event == event.number)
        };
        if let Some(line) = of(path::TURNED_AWAY).next_back() {
            return format!("turned away: {} ({})", line.text("detail"), line.text("reason"));
        }
        let Some(end) = of(path::REQUEST).next_back() else {
            return "no VM logged its end: it is still running, its VM died, or the log is not whole"
                .to_owned();
        };
        let outcome = end.text("outcome");
        let tries: Vec<String> = of(path::NOT_ANSWERED)
            .map(|line| format!("{}: {}", line.text("target"), line.text("outcome")))
            .collect();
        let tries = if tries.is_empty() {
            String::new()
        } else {
            format!("; before that {}", tries.join("; "))
        };
        match outcome {
            word if word.starts_with("refused") => {
                format!("{word}, it did not run: {}{tries}", end.text("detail"))
            }
            "unknown" => format!("outcome unknown, it may have run: {}{tries}", end.text("detail")),
            word if word.starts_with("broken off") => format!(
                "{word}, after {} pieces from {} in {} ms{tries}",
                end.text("pieces"),
                end.text("from"),
                end.text("took_ms")
            ),
            "caller left" => format!(
                "its caller left after {} ms and {} pieces{tries}",
                end.text("took_ms"),
                end.text("pieces")
            ),
            status => format!("answered {status} in {} ms{tries}", end.text("took_ms")),
        }
    }

    /// The trace as text: each line with the milliseconds since the first, and the cause.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let start = self.lines.first().map_or(0, Line::millis);
        for line in &self.lines {
            let after = line.millis().saturating_sub(start);
            text.push_str(&format!("{after:>7} ms  {}\n", line.summary()));
        }
        text.push_str(&format!("{}\n", self.cause()));
        text
    }
}
