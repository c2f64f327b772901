use std::collections::{HashMap, HashSet};

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::{
    Allowance, Book, Fault, Kind, KnownNames, Plan, Position,
    position::{Step, format_path},
};
use crate::id;

const HEX_DIGEST_LEN: usize = 64;

/// A parsed draft of a list, ready to be proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// The list.
    pub kind: Kind,
    /// The new version.
    pub version: u64,
    /// The entries as a canonical JSON array, sorted by name.
    pub content: Vec<u8>,
}

/// Checks the text of a new version of a list, against the known names and the other list.
///
/// # Errors
///
/// All faults found, each with its position in the text and a remedy.
///
/// ```
/// use pomelogate::list::{Book, Kind, KnownNames, check};
///
/// let known = KnownNames { regions: ["jakarta".into()].into(), ..KnownNames::default() };
/// let text = r#"{ "version": 1, "entries": [{ "plan": "crew", "regions": ["jakart"] }] }"#;
/// let faults = check(Kind::Allowances, text, &known, &Book::default()).unwrap_err();
/// assert_eq!(faults[0].path, "entries[0].regions[0]");
/// assert_eq!(faults[0].position.unwrap().column, 59);
/// ```
pub fn check(kind: Kind, text: &str, known: &KnownNames, book: &Book) -> Result<Draft, Vec<Fault>> {
    let document: Value = serde_json::from_str(text).map_err(|error| vec![syntax_fault(&error)])?;
    let mut checker = Checker { text, faults: Vec::new() };
    let version = checker.parse_version(&document);
    match kind {
        Kind::Plans => {
            let plans = checker.parse_entries::<Plan>(&document);
            checker.check_plans(&plans, known);
            checker.add_inconsistencies(
                find_inconsistencies(&entries_of(&plans), &book.allowances().entries),
                Kind::Plans,
                &plans,
            );
        }
        Kind::Allowances => {
            let allowances = checker.parse_entries::<Allowance>(&document);
            checker.check_allowances(&allowances, known);
            if checker.faults.is_empty() {
                let faults = find_inconsistencies(&book.plans().entries, &entries_of(&allowances));
                checker.add_inconsistencies(faults, Kind::Allowances, &allowances);
            }
        }
    }
    if !checker.faults.is_empty() {
        checker.faults.sort_by_key(|fault| fault.position);
        return Err(checker.faults);
    }
    canonical_draft(kind, version, &document)
}

/// Parses the text of a version of a list without checking it against names and the other list,
/// which may have changed since the version was accepted.
///
/// # Errors
///
/// If the text is not a list.
///
/// ```
/// use pomelogate::list::{Kind, parse_draft};
///
/// let draft = parse_draft(Kind::Plans, r#"{ "version": 7, "entries": [] }"#).unwrap();
/// assert_eq!((draft.version, &draft.content[..]), (7, &b"[]"[..]));
/// ```
pub fn parse_draft(kind: Kind, text: &str) -> Result<Draft, Vec<Fault>> {
    let document: Value = serde_json::from_str(text).map_err(|error| vec![syntax_fault(&error)])?;
    let mut checker = Checker { text, faults: Vec::new() };
    let version = checker.parse_version(&document);
    if !checker.faults.is_empty() {
        return Err(checker.faults);
    }
    canonical_draft(kind, version, &document)
}

fn canonical_draft(kind: Kind, version: u64, document: &Value) -> Result<Draft, Vec<Fault>> {
    let entries = serde_json::to_vec(&document["entries"]).unwrap_or_default();
    let content =
        kind.canonical_entries(&entries).map_err(|problem| vec![entries_fault(problem)])?;
    Ok(Draft { kind, version, content: join_entries(content.values()) })
}

/// The entries of the two lists that contradict each other.
///
/// In the path of a fault, `plans[2].home` is the home region of the third plan. A path without an
/// index stands for a whole list.
///
/// ```
/// use pomelogate::list::{Plan, find_inconsistencies};
///
/// let plan = Plan {
///     customer: "crew".into(),
///     plan: "gold".into(),
///     home: "jakarta".into(),
///     scheme: None,
///     keys: Vec::new(),
/// };
/// assert_eq!(find_inconsistencies(&[plan], &[]).len(), 1);
/// ```
pub fn find_inconsistencies(plans: &[Plan], allowances: &[Allowance]) -> Vec<Fault> {
    let allowance_by_plan: HashMap<&id::Plan, &Allowance> =
        allowances.iter().map(|allowance| (&allowance.plan, allowance)).collect();
    let mut faults = Vec::new();
    for (index, plan) in plans.iter().enumerate() {
        match allowance_by_plan.get(&plan.plan) {
            None => faults.push(Fault {
                position: None,
                path: format!("plans[{index}].plan"),
                problem: format!(
                    "customer `{}` is on plan `{}`, which has no allowance",
                    plan.customer, plan.plan
                ),
                remedy: "add the allowance first, or move the customer to another plan".to_owned(),
            }),
            Some(allowance) if !allowance.regions.contains(&plan.home) => faults.push(Fault {
                position: None,
                path: format!("plans[{index}].home"),
                problem: format!(
                    "home `{}` of customer `{}` is outside the regions of plan `{}`",
                    plan.home, plan.customer, plan.plan
                ),
                remedy: "choose a home among the plan's regions".to_owned(),
            }),
            Some(_) => {}
        }
    }
    faults
}

/// Joins canonical entries into a canonical array.
pub(crate) fn join_entries<'a>(entries: impl Iterator<Item = &'a Vec<u8>>) -> Vec<u8> {
    let mut content = vec![b'['];
    for entry in entries {
        if content.len() > 1 {
            content.push(b',');
        }
        content.extend_from_slice(entry);
    }
    content.push(b']');
    content
}

/// The valid entries, each with its index in the array.
type IndexedEntries<T> = Vec<(usize, T)>;

fn entries_of<T: Clone>(entries: &IndexedEntries<T>) -> Vec<T> {
    entries.iter().map(|(_, entry)| entry.clone()).collect()
}

fn syntax_fault(error: &serde_json::Error) -> Fault {
    Fault {
        position: Some(Position { line: error.line(), column: error.column() }),
        path: "text".to_owned(),
        problem: error.to_string(),
        remedy: "mend the JSON".to_owned(),
    }
}

fn entries_fault(problem: String) -> Fault {
    Fault {
        position: None,
        path: "entries".to_owned(),
        problem,
        remedy: "mend the entry".to_owned(),
    }
}

fn entry_steps(index: usize) -> Vec<Step> {
    vec![Step::Field("entries".to_owned()), Step::Element(index)]
}

fn field_steps(index: usize, name: &str) -> Vec<Step> {
    let mut steps = entry_steps(index);
    steps.push(Step::Field(name.to_owned()));
    steps
}

fn element_steps(index: usize, name: &str, item: usize) -> Vec<Step> {
    let mut steps = field_steps(index, name);
    steps.push(Step::Element(item));
    steps
}

struct Checker<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn add(&mut self, steps: &[Step], problem: String, remedy: &str) {
        self.faults.push(Fault {
            position: Some(Position::find(self.text, steps)),
            path: format_path(steps),
            problem,
            remedy: remedy.to_owned(),
        });
    }

    fn parse_version(&mut self, document: &Value) -> u64 {
        let steps = [Step::Field("version".to_owned())];
        let version = document["version"].as_u64().filter(|version| *version > 0);
        if version.is_none() {
            let problem = "the version that the change makes is missing or no whole number above 0";
            self.add(&steps, problem.to_owned(), "name the version in force plus one");
        }
        for name in document.as_object().into_iter().flat_map(|object| object.keys()) {
            if name != "version" && name != "entries" {
                let problem = format!("unknown field `{name}`");
                self.add(&[Step::Field(name.clone())], problem, "remove it");
            }
        }
        version.unwrap_or_default()
    }

    fn parse_entries<T: DeserializeOwned>(&mut self, document: &Value) -> IndexedEntries<T> {
        let Some(values) = document["entries"].as_array() else {
            let steps = [Step::Field("entries".to_owned())];
            self.add(&steps, "there is no array of entries".to_owned(), "add `\"entries\": []`");
            return Vec::new();
        };
        let mut entries = Vec::new();
        for (index, value) in values.iter().enumerate() {
            match serde_path_to_error::deserialize(value) {
                Ok(read) => entries.push((index, read)),
                Err(error) => {
                    let mut steps = entry_steps(index);
                    steps.extend(error.path().iter().filter_map(step_of));
                    self.add(&steps, error.inner().to_string(), "mend the field");
                }
            }
        }
        entries
    }

    fn add_inconsistencies<T>(
        &mut self,
        faults: Vec<Fault>,
        kind: Kind,
        entries: &IndexedEntries<T>,
    ) {
        for fault in faults {
            let index = fault.path.strip_prefix("plans[").and_then(|rest| rest.split_once("]."));
            let steps = match (kind, index) {
                (Kind::Plans, Some((index, name))) => {
                    let index = index.parse().ok().and_then(|index: usize| entries.get(index));
                    index.map(|(index, _)| field_steps(*index, name)).unwrap_or_default()
                }
                _ => vec![Step::Field("entries".to_owned())],
            };
            self.add(&steps, fault.problem, &fault.remedy);
        }
    }

    fn check_plans(&mut self, plans: &IndexedEntries<Plan>, known: &KnownNames) {
        let mut customers = HashSet::new();
        let mut holders: HashMap<&str, &id::Customer> = HashMap::new();
        for (index, plan) in plans {
            if !customers.insert(&plan.customer) {
                let problem = format!("customer `{}` is listed twice", plan.customer);
                self.add(&field_steps(*index, "customer"), problem, "keep one entry");
            }
            self.check_region(&field_steps(*index, "home"), &plan.home, known);
            if let Some(scheme) = &plan.scheme
                && !known.schemes.contains(scheme.as_str())
            {
                let problem = format!("unknown naming scheme `{scheme}`");
                self.add(&field_steps(*index, "scheme"), problem, "use a scheme of the catalogue");
            }
            for (item, key) in plan.keys.iter().enumerate() {
                let steps = element_steps(*index, "keys", item);
                self.check_key(&steps, key);
                if let Some(holder) = holders.insert(key, &plan.customer) {
                    let problem = format!("the key is held by customer `{holder}` already");
                    self.add(&steps, problem, "give each customer keys of its own");
                }
            }
        }
    }

    fn check_allowances(&mut self, allowances: &IndexedEntries<Allowance>, known: &KnownNames) {
        let mut plans = HashSet::new();
        for (index, allowance) in allowances {
            if !plans.insert(&allowance.plan) {
                let problem = format!("plan `{}` is listed twice", allowance.plan);
                self.add(&field_steps(*index, "plan"), problem, "keep one entry");
            }
            if allowance.regions.is_empty() {
                let problem = "a plan needs at least one region".to_owned();
                self.add(&field_steps(*index, "regions"), problem, "name the permitted regions");
            }
            for (item, region) in allowance.regions.iter().enumerate() {
                self.check_region(&element_steps(*index, "regions", item), region, known);
            }
            self.check_unique(*index, "regions", &allowance.regions);
            let models: Vec<_> = allowance.models.iter().map(|grant| grant.model.clone()).collect();
            self.check_unique(*index, "models", &models);
            for (item, model) in models.iter().enumerate() {
                if !known.models.contains(model) {
                    let mut steps = element_steps(*index, "models", item);
                    steps.push(Step::Field("model".to_owned()));
                    let problem = format!("unknown model `{model}`");
                    self.add(&steps, problem, "use a canonical name of the catalogue");
                }
            }
            self.check_unique(*index, "services", &allowance.services);
            for (item, service) in allowance.services.iter().enumerate() {
                if !known.services.contains(service) {
                    let problem = format!("unknown service `{service}`");
                    let steps = element_steps(*index, "services", item);
                    self.add(&steps, problem, "use a canonical name of the catalogue");
                }
            }
            self.check_limits(*index, allowance);
        }
    }

    fn check_limits(&mut self, index: usize, allowance: &Allowance) {
        let limits = &allowance.limits;
        let values =
            [("concurrency", limits.concurrency), ("tokens_per_minute", limits.tokens_per_minute)];
        for (name, value) in values {
            if value == 0 {
                let mut steps = field_steps(index, "limits");
                steps.push(Step::Field(name.to_owned()));
                self.add(&steps, format!("`{name}` is zero"), "use at least 1");
            }
        }
    }

    fn check_region(&mut self, steps: &[Step], region: &id::Region, known: &KnownNames) {
        if !known.regions.contains(region) {
            let problem = format!("region `{region}` does not exist");
            self.add(steps, problem, "use a canonical name of the catalogue");
        }
    }

    fn check_key(&mut self, steps: &[Step], key: &str) {
        let digits = key.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if key.len() != HEX_DIGEST_LEN || !digits {
            let problem = "no SHA-256 digest in lower-case hexadecimal".to_owned();
            self.add(steps, problem, "store the digest of the key, never the key");
        }
    }

    fn check_unique<T: std::hash::Hash + Eq + std::fmt::Display>(
        &mut self,
        index: usize,
        name: &str,
        values: &[T],
    ) {
        let mut seen = HashSet::new();
        for (item, value) in values.iter().enumerate() {
            if !seen.insert(value) {
                let problem = format!("`{value}` is listed twice");
                self.add(&element_steps(index, name, item), problem, "keep one");
            }
        }
    }
}

fn step_of(segment: &Segment) -> Option<Step> {
    match segment {
        Segment::Seq { index } => Some(Step::Element(*index)),
        Segment::Map { key } => Some(Step::Field(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}
