//! Numbered log events; `docs/EVENTS.md` is the catalogue for people.
//!
//! Each part of the system has a file of its own and a hundred numbers.

pub mod agreement;
pub mod links;
pub mod lists;
pub mod path;
pub mod placement;
pub mod product;
pub mod registry;
mod sampler;

use std::fmt;

pub use self::sampler::Sampler;
use slog::{Drain, KV, Key, Logger, Record, Serializer, o};

use crate::{
    id,
    settings::{Format, Log},
};

/// A kind of log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number, unique and never used again.
    pub number: u16,
    /// The severity.
    pub severity: Severity,
    /// What happened, in a few words.
    pub text: &'static str,
}

/// The severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Worth a look only when searching.
    Info,
    /// Something that the system mends by itself.
    Warning,
    /// Something that an operator has to mend.
    Error,
}

/// Every part's events.
pub const ALL: [&[Event]; 7] = [
    agreement::ALL,
    lists::ALL,
    placement::ALL,
    links::ALL,
    path::ALL,
    product::ALL,
    registry::ALL,
];

/// A logger that writes to standard error, each line with the name of the VM.
pub fn logger(vm: &id::Vm, settings: Log) -> Logger {
    let level = settings.level.filter();
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match settings.format {
        Format::Json => Box::new(slog_json::Json::default(std::io::stderr()).ignore_res()),
        Format::Terminal => {
            let lines = slog_term::PlainSyncDecorator::new(std::io::stderr());
            Box::new(slog_term::FullFormat::new(lines).build().ignore_res())
        }
    };
    let drain = slog_async::Async::new(drain).build().filter_level(level).ignore_res();
    Logger::root(drain, o!("vm" => vm.to_string()))
}

/// Lines that may wait to be written; more are dropped and counted, so that logging never holds up
/// a request.
const MOST_WAITING: usize = 4096;

/// A logger that writes JSON lines to standard output, each with the name of the VM. Dropping the guard
/// waits until the lines so far are written.
pub fn stdout_logger(vm: &str) -> (Logger, slog_async::AsyncGuard) {
    // A line that cannot be written is lost, as there is nowhere to say so; the next one is tried.
    let drain = slog_json::Json::default(std::io::stdout()).ignore_res();
    let (drain, guard) = slog_async::Async::new(drain).chan_size(MOST_WAITING).build_with_guard();
    (Logger::root(drain.ignore_res(), o!("vm" => vm.to_owned())), guard)
}

/// One field of an event: its name and its value.
pub type Field<'a> = (&'static str, &'a dyn fmt::Display);

impl Event {
    /// Writes the event with its fields to `logger`.
    ///
    /// ```
    /// use pomelogate::event::{Event, Severity};
    ///
    /// const STARTED: Event = Event { number: 1, severity: Severity::Info, text: "started" };
    /// let logger = slog::Logger::root(slog::Discard, slog::o!());
    /// STARTED.emit(&logger, &[("vm", &"jakarta-1")]);
    /// ```
    pub fn emit(&self, logger: &Logger, fields: &[Field<'_>]) {
        let fields = Fields(fields);
        match self.severity {
            Severity::Info => slog::info!(logger, "{}", self.text; "event" => self.number, fields),
            Severity::Warning => {
                slog::warn!(logger, "{}", self.text; "event" => self.number, fields);
            }
            Severity::Error => {
                slog::error!(logger, "{}", self.text; "event" => self.number, fields);
            }
        }
    }
}

struct Fields<'a>(&'a [Field<'a>]);

impl KV for Fields<'_> {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        for (name, value) in self.0 {
            serializer.emit_arguments(Key::from(*name), &format_args!("{value}"))?;
        }
        Ok(())
    }
}
