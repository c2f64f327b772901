use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Allowance, Plan};

/// One of the two lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The customers' plans.
    Plans,
    /// The allowances of the plans.
    Allowances,
}

impl Kind {
    /// Parses a JSON array into the canonical JSON of its entries, by name.
    ///
    /// # Errors
    ///
    /// If the text is not an array of such entries, or two entries have the same name.
    ///
    /// ```
    /// use pomelogate::list::Kind;
    ///
    /// let entries = Kind::Allowances.canonical_entries(br#"[{ "plan": "crew", "regions": ["jakarta"] }]"#)?;
    /// assert!(entries.contains_key("crew"));
    /// # Ok::<(), String>(())
    /// ```
    pub fn canonical_entries(self, content: &[u8]) -> Result<BTreeMap<String, Vec<u8>>, String> {
        match self {
            Self::Plans => canonical_entries(content, |plan: &Plan| plan.customer.as_str()),
            Self::Allowances => {
                canonical_entries(content, |allowance: &Allowance| allowance.plan.as_str())
            }
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Plans => "plans",
            Self::Allowances => "allowances",
        })
    }
}

fn canonical_entries<T: DeserializeOwned + Serialize>(
    content: &[u8],
    name: impl Fn(&T) -> &str,
) -> Result<BTreeMap<String, Vec<u8>>, String> {
    let entries: Vec<T> = serde_json::from_slice(content).map_err(|error| error.to_string())?;
    let mut canonical = BTreeMap::new();
    for entry in &entries {
        let encoded = serde_json::to_vec(entry).map_err(|error| error.to_string())?;
        if canonical.insert(name(entry).to_owned(), encoded).is_some() {
            return Err(format!("`{}` is listed twice", name(entry)));
        }
    }
    Ok(canonical)
}
