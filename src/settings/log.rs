use serde::{Deserialize, Serialize};

/// How the VM writes its log to standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The form of the lines.
    pub format: Format,
    /// The least severe events that are written.
    pub level: Level,
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// One JSON object a line, for machines.
    #[default]
    Json,
    /// Lines for people.
    Terminal,
}

/// The least severe events that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Every event.
    #[default]
    Info,
    /// Warnings and errors.
    Warning,
    /// Errors alone.
    Error,
}

impl Level {
    /// The level of the logging library.
    pub fn filter(self) -> slog::Level {
        match self {
            Self::Info => slog::Level::Info,
            Self::Warning => slog::Level::Warning,
            Self::Error => slog::Level::Error,
        }
    }
}
