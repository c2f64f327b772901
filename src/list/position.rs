use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a text; both numbers start at one.
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

/// One step into a JSON value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Into the field of an object.
    Field(String),
    /// Into an element of an array.
    Element(usize),
}

/// Shows steps as `entries[3].home`.
pub(super) fn path(steps: &[Step]) -> String {
    let mut path = String::new();
    for step in steps {
        match step {
            Step::Element(place) => path.push_str(&format!("[{place}]")),
            Step::Field(name) if path.is_empty() => path.push_str(name),
            Step::Field(name) => path.push_str(&format!(".{name}")),
        }
    }
    path
}

impl Position {
    /// Finds the value to which `steps` lead in valid JSON, or the last one on the way that exists.
    pub(super) fn find(text: &str, steps: &[Step]) -> Self {
        let mut scanner = Scanner { text: text.as_bytes(), at: 0 };
        scanner.space();
        for step in steps {
            let here = scanner.at;
            let found = match step {
                Step::Field(name) => scanner.enter_field(name),
                Step::Element(place) => scanner.enter_element(*place),
            };
            if !found {
                scanner.at = here;
                break;
            }
        }
        let before = &text[..scanner.at];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        Self { line, column: before[start..].chars().count() + 1 }
    }
}

struct Scanner<'a> {
    text: &'a [u8],
    at: usize,
}

impl Scanner<'_> {
    fn peek(&self) -> u8 {
        self.text.get(self.at).copied().unwrap_or(0)
    }

    fn space(&mut self) {
        while self.peek().is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn enter_field(&mut self, name: &str) -> bool {
        if self.peek() != b'{' {
            return false;
        }
        self.at += 1;
        loop {
            self.space();
            if self.peek() != b'"' {
                return false;
            }
            let start = self.at;
            self.skip();
            let key = serde_json::from_slice::<String>(&self.text[start..self.at]);
            self.space();
            self.at += 1;
            self.space();
            if key.is_ok_and(|key| key == name) {
                return true;
            }
            if !self.next() {
                return false;
            }
        }
    }

    fn enter_element(&mut self, place: usize) -> bool {
        if self.peek() != b'[' {
            return false;
        }
        self.at += 1;
        self.space();
        (0..place).all(|_| self.next()) && self.peek() != b']'
    }

    /// Skips a value and the comma after it; whether another item follows.
    fn next(&mut self) -> bool {
        self.skip();
        self.space();
        let more = self.peek() == b',';
        self.at += usize::from(more);
        self.space();
        more
    }

    fn skip(&mut self) {
        let mut depth = 0usize;
        while self.at < self.text.len() {
            match self.peek() {
                b'"' => self.skip_string(),
                b'{' | b'[' => {
                    depth += 1;
                    self.at += 1;
                }
                b'}' | b']' if depth == 0 => return,
                b'}' | b']' => {
                    depth -= 1;
                    self.at += 1;
                }
                b',' | b':' if depth == 0 => return,
                _ => {
                    self.at += 1;
                    continue;
                }
            }
            if depth == 0 {
                return;
            }
        }
    }

    fn skip_string(&mut self) {
        self.at += 1;
        while self.at < self.text.len() && self.peek() != b'"' {
            self.at += if self.peek() == b'\\' { 2 } else { 1 };
        }
        self.at = (self.at + 1).min(self.text.len());
    }
}
