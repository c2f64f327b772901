//! The catalogue of events agrees with the code.

use std::{collections::BTreeMap, fs, path::Path};

use pomelogate::event::{self, Event, Severity};

/// The events of each part, with its heading in the catalogue and its first number.
const PARTS: [(&str, u16, &[Event]); 7] = [
    ("Agreement", 100, event::agreement::ALL),
    ("Lists", 200, event::lists::ALL),
    ("Placement", 300, event::placement::ALL),
    ("Links", 400, event::links::ALL),
    ("Path", 500, event::path::ALL),
    ("Product", 600, event::product::ALL),
    ("Registry", 700, event::registry::ALL),
];

/// The rows under each heading, without what they mean.
fn catalogue() -> BTreeMap<String, Vec<(u16, String, String)>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/EVENTS.md");
    let page = fs::read_to_string(path).expect("the catalogue");
    let mut parts: BTreeMap<String, Vec<_>> = BTreeMap::new();
    let mut heading = String::new();
    for line in page.lines() {
        if let Some(text) = line.strip_prefix("## ") {
            heading = text.to_owned();
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        if let [_, number, severity, text, meaning, _] = cells.as_slice()
            && let Ok(number) = number.parse()
        {
            assert!(!meaning.is_empty(), "event {number} is not explained");
            let row = (number, (*severity).to_owned(), (*text).to_owned());
            parts.entry(heading.clone()).or_default().push(row);
        }
    }
    parts
}

fn row(event: &Event) -> (u16, String, String) {
    let severity = match event.severity {
        Severity::Info => "info",
        Severity::Warning => "warning",
        Severity::Error => "error",
    };
    (event.number, severity.to_owned(), event.text.to_owned())
}

#[test]
fn every_event_stands_in_the_catalogue_and_nothing_else() {
    let catalogue = catalogue();
    for (heading, _, events) in PARTS {
        let coded: Vec<_> = events.iter().map(row).collect();
        let documented = catalogue.get(heading).cloned().unwrap_or_default();
        assert_eq!(documented, coded, "section {heading}");
    }
    let headings = PARTS.map(|(heading, ..)| heading);
    assert!(catalogue.keys().all(|heading| headings.contains(&heading.as_str())));
}

#[test]
fn numbers_are_unique_and_within_their_hundred() {
    for (heading, first, events) in PARTS {
        let numbers: Vec<u16> = events.iter().map(|event| event.number).collect();
        assert!(numbers.is_sorted_by(|one, next| one < next), "{heading}: {numbers:?}");
        assert!(numbers.iter().all(|number| (first..first + 100).contains(number)), "{heading}");
    }
    assert!(PARTS.iter().map(|(.., events)| *events).eq(event::ALL));
}
