//! Resolution of names and validation of catalogues. Each file in `tests/name` is a test case.

use std::{error::Error, fs, path::Path};

use pomelogate::{
    name::{Catalogue, Kind, Scheme},
    outcome::Reason,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NameCase {
    sample: Option<String>,
    catalogue: Option<serde_json::Value>,
    kind: String,
    scheme: Option<String>,
    name: String,
    expected_name: Option<String>,
    expected_reason: Option<Reason>,
    #[serde(default)]
    message_contains: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultyCatalogueCase {
    catalogue: serde_json::Value,
    fault_locations: Vec<String>,
}

datatest_stable::harness! {
    { test = name_resolves_or_is_refused, root = "tests/name/resolve", pattern = r"\.json$" },
    { test = faulty_catalogue_reports_every_fault, root = "tests/name/faulty_catalogue", pattern = r"\.json$" },
    { test = sample_catalogue_loads, root = "samples", pattern = r"names\.json$" },
}

fn name_resolves_or_is_refused(path: &Path) -> datatest_stable::Result<()> {
    let case: NameCase = serde_json::from_str(&fs::read_to_string(path)?)?;
    let names = match (&case.sample, &case.catalogue) {
        (Some(sample), _) => {
            let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("samples");
            Catalogue::read(&samples.join(sample).join("names.json"))?
        }
        (None, Some(catalogue)) => Catalogue::parse(&catalogue.to_string())?,
        (None, None) => return Err("the case has neither `sample` nor `catalogue`".into()),
    };
    let scheme = case.scheme.as_deref().map(Scheme::from);
    let resolved = match case.kind.as_str() {
        "region" => names.region(scheme.as_ref(), &case.name).map(|id| id.to_string()),
        "model" => names.model(scheme.as_ref(), &case.name).map(|id| id.to_string()),
        "service" => names.service(scheme.as_ref(), &case.name).map(|id| id.to_string()),
        "scheme" => names.scheme(&case.name).map(|scheme| scheme.to_string()),
        "version" => names.version(&"assistant".into(), &case.name).map(|id| id.to_string()),
        other => return Err(format!("unknown kind `{other}`").into()),
    };
    match resolved {
        Ok(name) => assert_eq!(Some(name), case.expected_name),
        Err(refusal) => {
            assert_eq!(Some(refusal.reason), case.expected_reason, "{refusal}");
            let message = refusal.to_string();
            for part in &case.message_contains {
                assert!(message.contains(part), "`{message}` does not contain `{part}`");
            }
        }
    }
    Ok(())
}

fn faulty_catalogue_reports_every_fault(path: &Path) -> datatest_stable::Result<()> {
    let case: FaultyCatalogueCase = serde_json::from_str(&fs::read_to_string(path)?)?;
    let Err(error) = Catalogue::parse(&case.catalogue.to_string()) else {
        return Err(Box::<dyn Error>::from("the faulty catalogue was accepted"));
    };
    let locations: Vec<&str> = error.faults.iter().map(|fault| fault.location.as_str()).collect();
    assert_eq!(locations, case.fault_locations, "{error}");
    Ok(())
}

fn sample_catalogue_loads(path: &Path) -> datatest_stable::Result<()> {
    let names = Catalogue::read(path)?;
    assert_eq!(names.schemes().count(), 3);
    assert!(Kind::ALL.iter().all(|kind| names.names(*kind).count() > 0));
    Ok(())
}
