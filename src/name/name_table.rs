use std::collections::{BTreeMap, BTreeSet};

use super::{Document, Fault, Kind, Scheme};
use crate::outcome::{Reason, Refusal};

/// The largest edit distance at which a known name is suggested for an unknown one.
const MAX_SUGGESTION_EDITS: usize = 2;
const MAX_SUGGESTIONS: usize = 3;

/// The canonical names and the aliases of one kind.
#[derive(Clone, Debug)]
pub(super) struct NameTable {
    kind: Kind,
    canonical_names: BTreeSet<String>,
    aliases: BTreeMap<String, Vec<Meaning>>,
}

/// The canonical name that an alias has in one scheme.
#[derive(Clone, Debug)]
struct Meaning {
    scheme: Scheme,
    canonical_name: String,
}

impl NameTable {
    pub(super) fn build(kind: Kind, document: &Document, faults: &mut Vec<Fault>) -> Self {
        let mut table = Self { kind, canonical_names: BTreeSet::new(), aliases: BTreeMap::new() };
        for (index, name) in document.canonical_names(kind).into_iter().enumerate() {
            table.add_canonical_name(name, &format!("{}[{index}]", kind.field()), faults);
        }
        for (scheme_index, scheme_aliases) in document.schemes.iter().enumerate() {
            for (index, alias) in scheme_aliases.aliases(kind).iter().enumerate() {
                let location = format!("schemes[{scheme_index}].{}[{index}]", kind.field());
                let meaning = Meaning {
                    scheme: scheme_aliases.scheme.clone(),
                    canonical_name: alias.name.clone(),
                };
                table.add_alias(&alias.alias, meaning, &location, faults);
            }
        }
        table
    }

    fn add_canonical_name(&mut self, name: &str, location: &str, faults: &mut Vec<Fault>) {
        check_name(name, location, faults);
        if !self.canonical_names.insert(name.to_owned()) {
            let detail = format!("the {} `{name}` is listed twice", self.kind);
            faults.push(Fault {
                location: location.to_owned(),
                detail,
                remedy: "remove one of the two",
            });
        }
    }

    fn add_alias(
        &mut self,
        alias: &str,
        meaning: Meaning,
        location: &str,
        faults: &mut Vec<Fault>,
    ) {
        check_name(alias, &format!("{location}.alias"), faults);
        if !self.canonical_names.contains(&meaning.canonical_name) {
            faults.push(Fault {
                location: format!("{location}.name"),
                detail: format!("no {} is called `{}`", self.kind, meaning.canonical_name),
                remedy: "use a canonical name, or add it to the catalogue",
            });
        }
        let meanings = self.aliases.entry(alias.to_owned()).or_default();
        if meanings.iter().any(|known| known.scheme == meaning.scheme) {
            faults.push(Fault {
                location: format!("{location}.alias"),
                detail: format!("the scheme `{}` lists the alias `{alias}` twice", meaning.scheme),
                remedy: "remove one of the two",
            });
        }
        meanings.push(meaning);
    }

    pub(super) fn canonical_names(&self) -> impl Iterator<Item = &str> {
        self.canonical_names.iter().map(String::as_str)
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.canonical_names.contains(name)
    }

    pub(super) fn resolve(&self, scheme: Option<&Scheme>, name: &str) -> Result<&str, Refusal> {
        let meanings = self.aliases.get(name).map(Vec::as_slice).unwrap_or_default();
        if let Some(scheme) = scheme {
            return self.resolve_in_scheme(scheme, meanings, name);
        }
        let canonical = self.canonical_names.get(name).map(String::as_str);
        let mut candidates =
            canonical.into_iter().chain(meanings.iter().map(|m| m.canonical_name.as_str()));
        let first = candidates.next().ok_or_else(|| self.unknown_name(name, meanings))?;
        if candidates.all(|other| other == first) {
            return Ok(first);
        }
        Err(self.ambiguous_name(name, meanings))
    }

    fn resolve_in_scheme(
        &self,
        scheme: &Scheme,
        meanings: &[Meaning],
        name: &str,
    ) -> Result<&str, Refusal> {
        let meaning = meanings.iter().find(|meaning| meaning.scheme == *scheme);
        let alias = meaning.and_then(|meaning| self.canonical_names.get(&meaning.canonical_name));
        alias
            .or_else(|| self.canonical_names.get(name))
            .map(String::as_str)
            .ok_or_else(|| self.unknown_name(name, meanings))
    }

    fn ambiguous_name(&self, name: &str, meanings: &[Meaning]) -> Refusal {
        let mut candidates: Vec<String> = meanings
            .iter()
            .map(|meaning| format!("`{}` in scheme `{}`", meaning.canonical_name, meaning.scheme))
            .collect();
        if self.canonical_names.contains(name) {
            candidates.insert(0, format!("`{name}` as a canonical name"));
        }
        Refusal::new(
            Reason::AmbiguousName,
            format!("the {} name `{name}` may mean {}", self.kind, candidates.join(" or ")),
            "name the scheme in the header `Pomelogate-Scheme` or in the plan",
        )
    }

    fn unknown_name(&self, name: &str, meanings: &[Meaning]) -> Refusal {
        let detail = format!("no {} is called `{name}`", self.kind);
        let other_schemes: Vec<&str> =
            meanings.iter().map(|meaning| meaning.scheme.as_str()).collect();
        if !other_schemes.is_empty() {
            let schemes = other_schemes.join("`, `");
            let detail = format!("{detail} in the scheme of this request, but in `{schemes}`");
            let remedy = "name that scheme in the header `Pomelogate-Scheme`";
            return Refusal::new(Reason::UnknownName, detail, remedy);
        }
        let suggestions = self.suggestions(name);
        let remedy = if suggestions.is_empty() {
            "ask the operator for the names in use".to_owned()
        } else {
            format!("did you mean `{}`?", suggestions.join("`, `"))
        };
        Refusal::new(Reason::UnknownName, detail, remedy)
    }

    /// The known names that are most similar to `name`.
    fn suggestions(&self, name: &str) -> Vec<&str> {
        let names = self.canonical_names.iter().chain(self.aliases.keys());
        let mut similar: Vec<(usize, &str)> = names
            .map(|known| {
                (edit_distance(&known.to_lowercase(), &name.to_lowercase()), known.as_str())
            })
            .filter(|(edits, known)| {
                *edits <= MAX_SUGGESTION_EDITS && *edits < known.chars().count()
            })
            .collect();
        similar.sort_unstable();
        similar.dedup();
        similar.into_iter().take(MAX_SUGGESTIONS).map(|(_, known)| known).collect()
    }
}

fn check_name(name: &str, location: &str, faults: &mut Vec<Fault>) {
    let is_visible = name.chars().all(|c| !c.is_control() && !c.is_whitespace());
    if name.is_empty() || !is_visible {
        faults.push(Fault {
            location: location.to_owned(),
            detail: format!("the name {name:?} is empty, or has spaces or control characters"),
            remedy: "use visible characters only",
        });
    }
}

/// The Levenshtein distance. If the lengths differ by more than [`MAX_SUGGESTION_EDITS`], returns
/// that difference, which is a lower bound, without computing the distance.
fn edit_distance(left: &str, right: &str) -> usize {
    let left: Vec<char> = left.chars().collect();
    let right: Vec<char> = right.chars().collect();
    let length_difference = left.len().abs_diff(right.len());
    if length_difference > MAX_SUGGESTION_EDITS {
        return length_difference;
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
