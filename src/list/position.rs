use std::fmt;

use serde::{Deserialize, Serialize};

/// A position in a text. Line and column start at one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// One step of a path into a JSON value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Into the field of an object.
    Field(String),
    /// Into an element of an array.
    Element(usize),
}

/// Formats steps as `entries[3].home`.
pub(super) fn format_path(steps: &[Step]) -> String {
    let mut path = String::new();
    for step in steps {
        match step {
            Step::Element(index) => path.push_str(&format!("[{index}]")),
            Step::Field(name) if path.is_empty() => path.push_str(name),
            Step::Field(name) => path.push_str(&format!(".{name}")),
        }
    }
    path
}

impl Position {
    /// Finds the value at the path `steps` in valid JSON, or the deepest existing value on that path.
    pub(super) fn find(text: &str, steps: &[Step]) -> Self {
        let mut scanner = Scanner { text: text.as_bytes(), offset: 0 };
        scanner.skip_whitespace();
        for step in steps {
            let parent_offset = scanner.offset;
            let found = match step {
                Step::Field(name) => scanner.enter_field(name),
                Step::Element(index) => scanner.enter_element(*index),
            };
            if !found {
                scanner.offset = parent_offset;
                break;
            }
        }
        let text_before = &text[..scanner.offset];
        let line = text_before.matches('\n').count() + 1;
        let line_start = text_before.rfind('\n').map_or(0, |end| end + 1);
        Self { line, column: text_before[line_start..].chars().count() + 1 }
    }
}

struct Scanner<'a> {
    text: &'a [u8],
    offset: usize,
}

impl Scanner<'_> {
    fn peek(&self) -> u8 {
        self.text.get(self.offset).copied().unwrap_or(0)
    }

    fn skip_whitespace(&mut self) {
        while self.peek().is_ascii_whitespace() {
            self.offset += 1;
        }
    }

    fn enter_field(&mut self, name: &str) -> bool {
        if self.peek() != b'{' {
            return false;
        }
        self.offset += 1;
        loop {
            self.skip_whitespace();
            if self.peek() != b'"' {
                return false;
            }
            let start = self.offset;
            self.skip_value();
            let key = serde_json::from_slice::<String>(&self.text[start..self.offset]);
            self.skip_whitespace();
            self.offset += 1;
            self.skip_whitespace();
            if key.is_ok_and(|key| key == name) {
                return true;
            }
            if !self.skip_item() {
                return false;
            }
        }
    }

    fn enter_element(&mut self, index: usize) -> bool {
        if self.peek() != b'[' {
            return false;
        }
        self.offset += 1;
        self.skip_whitespace();
        (0..index).all(|_| self.skip_item()) && self.peek() != b']'
    }

    /// Skips a value and the comma after it. Returns whether another item follows.
    fn skip_item(&mut self) -> bool {
        self.skip_value();
        self.skip_whitespace();
        let has_comma = self.peek() == b',';
        self.offset += usize::from(has_comma);
        self.skip_whitespace();
        has_comma
    }

    fn skip_value(&mut self) {
        let mut depth = 0usize;
        while self.offset < self.text.len() {
            match self.peek() {
                b'"' => self.skip_string(),
                b'{' | b'[' => {
                    depth += 1;
                    self.offset += 1;
                }
                b'}' | b']' if depth == 0 => return,
                b'}' | b']' => {
                    depth -= 1;
                    self.offset += 1;
                }
                b',' | b':' if depth == 0 => return,
                _ => {
                    self.offset += 1;
                    continue;
                }
            }
            if depth == 0 {
                return;
            }
        }
    }

    fn skip_string(&mut self) {
        self.offset += 1;
        while self.offset < self.text.len() && self.peek() != b'"' {
            self.offset += if self.peek() == b'\\' { 2 } else { 1 };
        }
        self.offset = (self.offset + 1).min(self.text.len());
    }
}
