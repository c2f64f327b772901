//! Checks drafts of lists. Each file in `tests/list_check` has a draft and the faults expected for it.

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
    let other_entries = serde_json::Value::Array(case.other.clone());
    match case.kind {
        Kind::Plans => {
            let entries = serde_json::from_value(other_entries).expect("allowances");
            Book::new(List::default(), List { version: 1, entries })
        }
        Kind::Allowances => {
            let entries = serde_json::from_value(other_entries).expect("plans");
            Book::new(List { version: 1, entries }, List::default())
        }
    }
}

fn check_draft(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&fs::read_to_string(path)?)?;
    let faults = match check(case.kind, &case.text.join("\n"), &known(), &book(&case)) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    };
    assert_eq!(faults, case.faults);
    Ok(())
}

datatest_stable::harness! {
    { test = check_draft, root = "tests/list_check", pattern = r"\.json$" },
}
