//! Settings files: the samples load, and each bad file gives the errors that it expects.

use std::{collections::BTreeSet, fs, path::Path};

use datatest_stable::Result;
use pomelogate::settings::{Loaded, Settings};
use serde_json::Value;

fn sample_loads(path: &Path) -> Result<()> {
    let Loaded { settings, warnings } = Settings::load(path).map_err(|error| error.report())?;
    assert!(warnings.problems().is_empty(), "{}", warnings.report());
    assert_eq!(path.file_stem().unwrap().to_str(), Some(settings.vm.as_str()));
    assert!(settings.peers.contains(&settings.this()));
    assert_eq!(settings.peers.len(), 7);
    Ok(())
}

fn bad_file_is_explained(path: &Path) -> Result<()> {
    let error = Settings::load(path).err().ok_or("the file was taken")?;
    let report = error.report().replace(path.to_str().unwrap(), "settings.json");
    let expected = fs::read_to_string(path.with_extension("txt"))?;
    assert_eq!(report.trim_end(), expected.trim_end(), "\n{report}");
    Ok(())
}

fn every_field_is_documented(path: &Path) -> Result<()> {
    let page = fs::read_to_string(path)?;
    let documented: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`').map(|(name, _)| name))
        .collect();
    let defaults = serde_json::to_value(Settings::default())?;
    let mut fields = BTreeSet::new();
    for (name, value) in defaults.as_object().ok_or("not an object")? {
        match value {
            Value::Object(section) => {
                fields.extend(section.keys().map(|field| format!("{name}.{field}")));
            }
            _ => {
                fields.insert(name.clone());
            }
        }
    }
    assert_eq!(documented, fields.iter().map(String::as_str).collect());
    Ok(())
}

datatest_stable::harness! {
    { test = sample_loads, root = "samples", pattern = r"vms/[^/]+\.json$" },
    { test = bad_file_is_explained, root = "tests/settings", pattern = r"\.json$" },
    { test = every_field_is_documented, root = "docs", pattern = r"SETTINGS\.md$" },
}
