//! Checks drafts of lists: each file holds a draft and the faults that it must be refused for.

use std::{fs, path::Path};

use pomelogate::list::{Book, Kind, KnownNames, List, check};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    kind: Kind,
    #[serde(default)]
    other: Vec<serde_json::Value>,
    text: Vec<String>,
    faults: Vec<String>,
}

fn known() -> KnownNames {
    KnownNames {
        regions: ["jakarta".into(), "surabaya".into(), "bandung".into()].into(),
        models: ["assistant".into(), "planner".into()].into(),
        services: ["jobs".into()].into(),
        schemes: ["short".to_owned()].into(),
    }
}

fn book(case: &Case) -> Book {
    let other = serde_json::Value::Array(case.other.clone());
    match case.kind {
        Kind::Plans => {
            let entries = serde_json::from_value(other).expect("allowances");
            Book::new(List::default(), List { version: 1, entries })
        }
        Kind::Allowances => {
            let entries = serde_json::from_value(other).expect("plans");
            Book::new(List { version: 1, entries }, List::default())
        }
    }
}

fn draft(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&fs::read_to_string(path)?)?;
    let found = match check(case.kind, &case.text.join("\n"), &known(), &book(&case)) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    };
    assert_eq!(found, case.faults);
    Ok(())
}

datatest_stable::harness! {
    { test = draft, root = "tests/list_check", pattern = r"\.json$" },
}
