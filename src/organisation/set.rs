use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
};

use hyper::header::HeaderValue;

use super::{Organisation, SetError};
use crate::{id, list::hash_key};

/// All organisations of one version of the configuration, and their keys as digests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Set {
    organisations: HashMap<id::Organisation, Arc<Organisation>>,
    by_key: HashMap<String, Arc<Organisation>>,
}

impl Set {
    /// Checks organisations, each with its keys.
    ///
    /// # Errors
    ///
    /// The first error found; none of the organisations may be used then.
    ///
    /// ```
    /// use pomelogate::organisation::{Organisation, Set, SetError};
    ///
    /// let named = |name: &str| Organisation {
    ///     name: name.into(),
    ///     priority: None,
    ///     allowed_regions: Vec::new(),
    ///     quota: None,
    /// };
    /// let key = || vec!["secret".to_owned()];
    /// let set = Set::new([(named("lifts"), key())]).unwrap();
    /// assert_eq!(set.find_by_key("secret").unwrap().name.as_str(), "lifts");
    /// let shared = Set::new([(named("lifts"), key()), (named("cranes"), key())]);
    /// assert_eq!(shared, Err(SetError::SharedKey("lifts".into(), "cranes".into())));
    /// ```
    pub fn new(
        organisations: impl IntoIterator<Item = (Organisation, Vec<String>)>,
    ) -> Result<Self, SetError> {
        let mut set = Self::default();
        for (organisation, keys) in organisations {
            let name = organisation.name.as_str();
            // Space around the value of a header is not part of it.
            if name.is_empty() || name.trim() != name || HeaderValue::from_str(name).is_err() {
                return Err(SetError::Name(organisation.name));
            }
            let is_usable = |number: f64| number.is_finite() && number >= 0.0;
            let quota = organisation.quota;
            if !quota.is_none_or(|quota| is_usable(quota.per_sec) && is_usable(quota.burst)) {
                return Err(SetError::Quota(organisation.name));
            }
            let organisation = Arc::new(organisation);
            for key in keys {
                match set.by_key.entry(hash_key(&key)) {
                    Entry::Occupied(other) => {
                        let (other, name) = (other.get().name.clone(), organisation.name.clone());
                        return Err(SetError::SharedKey(other, name));
                    }
                    Entry::Vacant(entry) => entry.insert(Arc::clone(&organisation)),
                };
            }
            let name = organisation.name.clone();
            if set.organisations.insert(name.clone(), organisation).is_some() {
                return Err(SetError::DuplicateName(name));
            }
        }
        Ok(set)
    }

    /// The organisation that has the key.
    pub fn find_by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.by_key.get(&hash_key(key))
    }

    /// The organisation with this name.
    pub fn find(&self, name: &id::Organisation) -> Option<&Arc<Organisation>> {
        self.organisations.get(name)
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.values()
    }
}
