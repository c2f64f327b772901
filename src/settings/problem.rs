use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};

/// How much a problem matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The VM starts all the same.
    Warning,
    /// The VM cannot start.
    Error,
}

/// One problem in a settings file.
#[derive(Clone, Debug)]
pub struct Problem {
    /// How much it matters.
    pub severity: Severity,
    /// The path of the field, such as `peers[2].links`.
    pub field: String,
    /// What was found.
    pub detail: String,
    /// What to do about it.
    pub remedy: String,
    pub(super) span: SourceSpan,
    pub(super) source: Option<NamedSource<String>>,
}

impl Problem {
    pub(super) fn error(field: &str, detail: impl Into<String>, remedy: &str) -> Self {
        Self {
            severity: Severity::Error,
            field: field.to_owned(),
            detail: detail.into(),
            remedy: remedy.to_owned(),
            span: SourceSpan::from(0..0),
            source: None,
        }
    }

    pub(super) fn warning(field: &str, detail: impl Into<String>, remedy: &str) -> Self {
        Self { severity: Severity::Warning, ..Self::error(field, detail, remedy) }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            return f.write_str(&self.detail);
        }
        write!(f, "{}: {}", self.field, self.detail)
    }
}

impl std::error::Error for Problem {}

impl Diagnostic for Problem {
    fn severity(&self) -> Option<miette::Severity> {
        Some(match self.severity {
            Severity::Warning => miette::Severity::Warning,
            Severity::Error => miette::Severity::Error,
        })
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.remedy))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source.as_ref().map(|source| source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        self.source.as_ref()?;
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), self.span);
        Some(Box::new(std::iter::once(label)))
    }
}
