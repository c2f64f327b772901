use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Allowance, Plan};

/// Which of the two lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The customers' plans.
    Plans,
    /// What each plan may use.
    Allowances,
}

impl Kind {
    /// Splits a JSON array of entries into canonical entries by name.
    ///
    /// # Errors
    ///
    /// Where the text is no array of such entries, or two entries bear one name.
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
            Self::Plans => split(content, |plan: &Plan| plan.customer.as_str()),
            Self::Allowances => split(content, |allowance: &Allowance| allowance.plan.as_str()),
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

fn split<T: DeserializeOwned + Serialize>(
    content: &[u8],
    name: impl Fn(&T) -> &str,
) -> Result<BTreeMap<String, Vec<u8>>, String> {
    let entries: Vec<T> = serde_json::from_slice(content).map_err(|error| error.to_string())?;
    let mut split = BTreeMap::new();
    for entry in &entries {
        let encoded = serde_json::to_vec(entry).map_err(|error| error.to_string())?;
        if split.insert(name(entry).to_owned(), encoded).is_some() {
            return Err(format!("`{}` is listed twice", name(entry)));
        }
    }
    Ok(split)
}
