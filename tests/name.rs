//! Resolution of names: each file of `tests/name` names a request and what it must come to.

use std::{error::Error, fs, path::Path};

use pomelogate::{
    name::{Catalogue, Kind, Scheme},
    outcome::Reason,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    sample: Option<String>,
    catalogue: Option<serde_json::Value>,
    kind: String,
    scheme: Option<String>,
    name: String,
    means: Option<String>,
    refused: Option<Reason>,
    #[serde(default)]
    says: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Broken {
    catalogue: serde_json::Value,
    faults: Vec<String>,
}

datatest_stable::harness! {
    { test = resolves, root = "tests/name/resolve", pattern = r"\.json$" },
    { test = reports_every_fault, root = "tests/name/broken", pattern = r"\.json$" },
    { test = loads, root = "samples", pattern = r"names\.json$" },
}

fn resolves(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = serde_json::from_str(&fs::read_to_string(path)?)?;
    let names = match (&case.sample, &case.catalogue) {
        (Some(sample), _) => {
            let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples");
            Catalogue::read(&samples.join(sample).join("names.json"))?
        }
        (None, Some(catalogue)) => Catalogue::parse(&catalogue.to_string())?,
        (None, None) => return Err("the case names no catalogue".into()),
    };
    let scheme = case.scheme.as_deref().map(Scheme::from);
    let found = match case.kind.as_str() {
        "region" => names.region(scheme.as_ref(), &case.name).map(|id| id.to_string()),
        "model" => names.model(scheme.as_ref(), &case.name).map(|id| id.to_string()),
        "service" => names.service(scheme.as_ref(), &case.name).map(|id| id.to_string()),
        "scheme" => names.scheme(&case.name).map(|scheme| scheme.to_string()),
        "version" => names.version(&"assistant".into(), &case.name).map(|id| id.to_string()),
        other => return Err(format!("the kind `{other}` is not known").into()),
    };
    match found {
        Ok(name) => assert_eq!(Some(name), case.means),
        Err(refusal) => {
            assert_eq!(Some(refusal.reason), case.refused, "{refusal}");
            let text = refusal.to_string();
            for part in &case.says {
                assert!(text.contains(part), "`{text}` does not say `{part}`");
            }
        }
    }
    Ok(())
}

fn reports_every_fault(path: &Path) -> datatest_stable::Result<()> {
    let case: Broken = serde_json::from_str(&fs::read_to_string(path)?)?;
    let Err(error) = Catalogue::parse(&case.catalogue.to_string()) else {
        return Err(Box::<dyn Error>::from("the catalogue was taken"));
    };
    let places: Vec<&str> = error.faults.iter().map(|fault| fault.location.as_str()).collect();
    assert_eq!(places, case.faults, "{error}");
    Ok(())
}

fn loads(path: &Path) -> datatest_stable::Result<()> {
    let names = Catalogue::read(path)?;
    assert_eq!(names.schemes().count(), 3);
    assert!(Kind::ALL.iter().all(|kind| names.names(*kind).count() > 0));
    Ok(())
}
