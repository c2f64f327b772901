use std::collections::{BTreeMap, BTreeSet};

use super::{Document, Fault, Kind, Scheme};
use crate::outcome::{Reason, Refusal};

const NEAR_EDITS: usize = 2;
const NEAR_NAMES: usize = 3;

/// The names of one kind.
#[derive(Clone, Debug)]
pub(super) struct Table {
    kind: Kind,
    canonical: BTreeSet<String>,
    aliases: BTreeMap<String, Vec<Meaning>>,
}

/// What an alias means in one scheme.
#[derive(Clone, Debug)]
struct Meaning {
    scheme: Scheme,
    name: String,
}

impl Table {
    pub(super) fn build(kind: Kind, document: &Document, faults: &mut Vec<Fault>) -> Self {
        let mut table = Self { kind, canonical: BTreeSet::new(), aliases: BTreeMap::new() };
        for (place, name) in document.names(kind).into_iter().enumerate() {
            table.add_canonical(name, &format!("{}[{place}]", kind.field()), faults);
        }
        for (place, section) in document.schemes.iter().enumerate() {
            for (number, alias) in section.aliases(kind).iter().enumerate() {
                let at = format!("schemes[{place}].{}[{number}]", kind.field());
                let meaning = Meaning { scheme: section.scheme.clone(), name: alias.name.clone() };
                table.add_alias(&alias.alias, meaning, &at, faults);
            }
        }
        table
    }

    fn add_canonical(&mut self, name: &str, place: &str, faults: &mut Vec<Fault>) {
        check_text(name, place, faults);
        if !self.canonical.insert(name.to_owned()) {
            let detail = format!("the {} `{name}` stands twice", self.kind);
            faults.push(Fault {
                location: place.to_owned(),
                detail,
                remedy: "remove one of the two",
            });
        }
    }

    fn add_alias(&mut self, alias: &str, meaning: Meaning, place: &str, faults: &mut Vec<Fault>) {
        check_text(alias, &format!("{place}.alias"), faults);
        if !self.canonical.contains(&meaning.name) {
            faults.push(Fault {
                location: format!("{place}.name"),
                detail: format!("no {} is called `{}`", self.kind, meaning.name),
                remedy: "use a canonical name, or add it to the catalogue",
            });
        }
        let meanings = self.aliases.entry(alias.to_owned()).or_default();
        if meanings.iter().any(|known| known.scheme == meaning.scheme) {
            faults.push(Fault {
                location: format!("{place}.alias"),
                detail: format!("the scheme `{}` holds `{alias}` twice", meaning.scheme),
                remedy: "remove one of the two",
            });
        }
        meanings.push(meaning);
    }

    pub(super) fn canonical(&self) -> impl Iterator<Item = &str> {
        self.canonical.iter().map(String::as_str)
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.canonical.contains(name)
    }

    pub(super) fn resolve(&self, scheme: Option<&Scheme>, name: &str) -> Result<&str, Refusal> {
        let meanings = self.aliases.get(name).map(Vec::as_slice).unwrap_or_default();
        if let Some(scheme) = scheme {
            return self.resolve_in(scheme, meanings, name);
        }
        let canonical = self.canonical.get(name).map(String::as_str);
        let mut candidates = canonical.into_iter().chain(meanings.iter().map(|m| m.name.as_str()));
        let first = candidates.next().ok_or_else(|| self.unknown(name, meanings))?;
        if candidates.all(|other| other == first) {
            return Ok(first);
        }
        Err(self.ambiguous(name, meanings))
    }

    fn resolve_in(
        &self,
        scheme: &Scheme,
        meanings: &[Meaning],
        name: &str,
    ) -> Result<&str, Refusal> {
        let meaning = meanings.iter().find(|meaning| meaning.scheme == *scheme);
        let alias = meaning.and_then(|meaning| self.canonical.get(&meaning.name));
        alias
            .or_else(|| self.canonical.get(name))
            .map(String::as_str)
            .ok_or_else(|| self.unknown(name, meanings))
    }

    fn ambiguous(&self, name: &str, meanings: &[Meaning]) -> Refusal {
        let mut candidates: Vec<String> = meanings
            .iter()
            .map(|meaning| format!("`{}` in scheme `{}`", meaning.name, meaning.scheme))
            .collect();
        if self.canonical.contains(name) {
            candidates.insert(0, format!("`{name}` as a canonical name"));
        }
        Refusal::new(
            Reason::AmbiguousName,
            format!("the {} name `{name}` may mean {}", self.kind, candidates.join(" or ")),
            "name the scheme in the header `Pomelogate-Scheme` or in the plan",
        )
    }

    fn unknown(&self, name: &str, meanings: &[Meaning]) -> Refusal {
        let detail = format!("no {} is called `{name}`", self.kind);
        let elsewhere: Vec<&str> = meanings.iter().map(|meaning| meaning.scheme.as_str()).collect();
        if !elsewhere.is_empty() {
            let schemes = elsewhere.join("`, `");
            let detail = format!("{detail} in the scheme of this request, but in `{schemes}`");
            let remedy = "name that scheme in the header `Pomelogate-Scheme`";
            return Refusal::new(Reason::UnknownName, detail, remedy);
        }
        let near = self.near(name);
        let remedy = if near.is_empty() {
            "ask the operator for the names in use".to_owned()
        } else {
            format!("did you mean `{}`?", near.join("`, `"))
        };
        Refusal::new(Reason::UnknownName, detail, remedy)
    }

    fn near(&self, name: &str) -> Vec<&str> {
        let names = self.canonical.iter().chain(self.aliases.keys());
        let mut near: Vec<(usize, &str)> = names
            .map(|known| (edits(&known.to_lowercase(), &name.to_lowercase()), known.as_str()))
            .filter(|(edits, known)| *edits <= NEAR_EDITS && *edits < known.chars().count())
            .collect();
        near.sort_unstable();
        near.dedup();
        near.into_iter().take(NEAR_NAMES).map(|(_, known)| known).collect()
    }
}

fn check_text(text: &str, place: &str, faults: &mut Vec<Fault>) {
    let visible = text.chars().all(|letter| !letter.is_control() && !letter.is_whitespace());
    if text.is_empty() || !visible {
        faults.push(Fault {
            location: place.to_owned(),
            detail: format!("{text:?} is empty or holds spaces"),
            remedy: "use visible characters only",
        });
    }
}

/// The Levenshtein distance of two texts, capped where the texts differ much in length.
fn edits(left: &str, right: &str) -> usize {
    let left: Vec<char> = left.chars().collect();
    let right: Vec<char> = right.chars().collect();
    let gap = left.len().abs_diff(right.len());
    if gap > NEAR_EDITS {
        return gap;
    }
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
