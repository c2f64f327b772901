use std::{fmt, io, path::Path};

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme, NamedSource};

use super::{Problem, Severity, place::Place};

/// The problems of a settings file.
#[derive(Clone, Debug, Default)]
pub struct Error {
    problems: Vec<Problem>,
}

impl Error {
    pub(super) fn new(name: &Path, text: &str, problems: Vec<Problem>) -> Self {
        let place = Place::new(text);
        let source = NamedSource::new(name.display().to_string(), text.to_owned());
        let located = |problem: Problem| {
            let span =
                if problem.field.is_empty() { problem.span } else { place.of(&problem.field) };
            Problem { span, source: Some(source.clone()), ..problem }
        };
        Self { problems: problems.into_iter().map(located).collect() }
    }

    pub(super) fn read(path: &Path, cause: &io::Error) -> Self {
        let detail = format!("cannot read {}: {cause}", path.display());
        Self { problems: vec![Problem::error("", detail, "name a settings file")] }
    }

    /// The problems, in the order of the checks.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Whether any of the problems keeps the VM from starting.
    pub fn is_fatal(&self) -> bool {
        self.problems.iter().any(|problem| problem.severity == Severity::Error)
    }

    /// The problems for a terminal, each with its place in the file.
    pub fn report(&self) -> String {
        let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
        let mut text = String::new();
        for problem in &self.problems {
            let _ = handler.render_report(&mut text, problem as &dyn Diagnostic);
        }
        text
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, problem) in self.problems.iter().enumerate() {
            let separator = if place == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}; {}", problem.remedy)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
