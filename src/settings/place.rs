use std::collections::BTreeMap;

use miette::SourceSpan;
use serde_json::value::RawValue;

/// Finds the places of fields in the text of a JSON file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place<'a> {
    text: &'a str,
}

impl<'a> Place<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self { text }
    }

    /// The span of the value at `field`, or of its nearest parent that the file holds.
    pub(super) fn of(&self, field: &str) -> SourceSpan {
        let mut value = self.text.trim();
        let steps = field.split(['.', '[']).map(|step| step.trim_end_matches(']'));
        for step in steps.filter(|step| !step.is_empty()) {
            match inner(value, step) {
                Some(found) => value = found,
                None => break,
            }
        }
        if value.len() == self.text.trim().len() {
            return SourceSpan::from(0..0);
        }
        let start = value.as_ptr().addr() - self.text.as_ptr().addr();
        SourceSpan::from(start..start + value.len())
    }
}

fn inner<'a>(value: &'a str, step: &str) -> Option<&'a str> {
    if let Ok(place) = step.parse::<usize>() {
        return elements(value)?.get(place).map(|raw| raw.get());
    }
    members(value)?.get(step).map(|raw| raw.get())
}

/// The members of a JSON object, as text.
pub(super) fn members(value: &str) -> Option<BTreeMap<String, &RawValue>> {
    serde_json::from_str(value).ok()
}

/// The elements of a JSON array, as text.
pub(super) fn elements(value: &str) -> Option<Vec<&RawValue>> {
    serde_json::from_str(value).ok()
}

/// The span of the character at `line` and `column`, both counted from one.
pub(super) fn character(text: &str, line: usize, column: usize) -> SourceSpan {
    let before: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    let start = (before + column.saturating_sub(1)).min(text.len().saturating_sub(1));
    SourceSpan::from(start..start)
}
