use std::{collections::BTreeSet, fs, path::Path};

use super::{Document, Error, Fault, Kind, ModelEntry, Scheme, name_table::NameTable};
use crate::{
    id,
    outcome::{Reason, Refusal},
};

/// The canonical names and their aliases in every scheme, after validation.
#[derive(Clone, Debug)]
pub struct Catalogue {
    schemes: BTreeSet<Scheme>,
    models: Vec<ModelEntry>,
    regions: NameTable,
    model_names: NameTable,
    services: NameTable,
}

impl Catalogue {
    /// Reads a catalogue from a JSON file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or every fault found in it.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|cause| Error::read(path, &cause))?;
        Self::parse(&text)
    }

    /// Reads a catalogue from JSON.
    ///
    /// # Errors
    ///
    /// Every fault found.
    ///
    /// ```
    /// use pomelogate::name::Catalogue;
    ///
    /// let names = Catalogue::parse(
    ///     r#"{"regions": ["jakarta"], "models": [], "services": [], "schemes": [
    ///         {"scheme": "code", "regions": [{"alias": "JKT", "name": "jakarta"}]}]}"#,
    /// )?;
    /// assert_eq!(names.region(None, "JKT").unwrap().as_str(), "jakarta");
    /// # Ok::<(), pomelogate::name::Error>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let document =
            serde_path_to_error::deserialize(&mut reader).map_err(|cause| Error::parse(&cause))?;
        Self::new(document)
    }

    /// Checks a document and builds a catalogue from it.
    ///
    /// # Errors
    ///
    /// Every fault found.
    pub fn new(document: Document) -> Result<Self, Error> {
        let mut faults = Vec::new();
        let schemes = unique_schemes(&document, &mut faults);
        let regions = NameTable::build(Kind::Region, &document, &mut faults);
        let model_names = NameTable::build(Kind::Model, &document, &mut faults);
        let services = NameTable::build(Kind::Service, &document, &mut faults);
        if !faults.is_empty() {
            return Err(Error { faults });
        }
        Ok(Self { schemes, models: document.models, regions, model_names, services })
    }

    /// The scheme called `name`.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn scheme(&self, name: &str) -> Result<Scheme, Refusal> {
        let known = self.schemes.iter().find(|scheme| scheme.as_str() == name);
        known.cloned().ok_or_else(|| {
            let names: Vec<&str> = self.schemes.iter().map(Scheme::as_str).collect();
            Refusal::new(
                Reason::UnknownName,
                format!("no naming scheme is called `{name}`"),
                format!("use one of `{}`", names.join("`, `")),
            )
        })
    }

    /// The region that `name` means in `scheme`, or in all schemes if `scheme` is `None`.
    ///
    /// # Errors
    ///
    /// If the name is unknown or means several regions.
    pub fn region(&self, scheme: Option<&Scheme>, name: &str) -> Result<id::Region, Refusal> {
        self.regions.resolve(scheme, name).map(id::Region::from)
    }

    /// The model that `name` means in `scheme`, or in all schemes if `scheme` is `None`.
    ///
    /// # Errors
    ///
    /// If the name is unknown or means several models.
    pub fn model(&self, scheme: Option<&Scheme>, name: &str) -> Result<id::Model, Refusal> {
        self.model_names.resolve(scheme, name).map(id::Model::from)
    }

    /// The plain service that `name` means in `scheme`, or in all schemes if `scheme` is `None`.
    ///
    /// # Errors
    ///
    /// If the name is unknown or means several services.
    pub fn service(&self, scheme: Option<&Scheme>, name: &str) -> Result<id::Service, Refusal> {
        self.services.resolve(scheme, name).map(id::Service::from)
    }

    /// The version of `model` called `name`.
    ///
    /// # Errors
    ///
    /// If the model has no such version.
    pub fn version(&self, model: &id::Model, name: &str) -> Result<id::Version, Refusal> {
        let known =
            self.model_entry(model).map(|entry| entry.versions.as_slice()).unwrap_or_default();
        let names: Vec<&str> = known.iter().map(id::Version::as_str).collect();
        find_name(&names, name)
            .map(id::Version::from)
            .ok_or_else(|| unknown_feature("version", model, name, &names))
    }

    /// The adapter of `model` called `name`.
    ///
    /// # Errors
    ///
    /// If the model has no such adapter.
    pub fn adapter(&self, model: &id::Model, name: &str) -> Result<id::Adapter, Refusal> {
        let known =
            self.model_entry(model).map(|entry| entry.adapters.as_slice()).unwrap_or_default();
        let names: Vec<&str> = known.iter().map(id::Adapter::as_str).collect();
        find_name(&names, name)
            .map(id::Adapter::from)
            .ok_or_else(|| unknown_feature("adapter", model, name, &names))
    }

    /// The canonical names of a kind, sorted.
    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.table(kind).canonical_names()
    }

    /// Whether `name` is a canonical name of a kind.
    pub fn contains(&self, kind: Kind, name: &str) -> bool {
        self.table(kind).contains(name)
    }

    /// The models, each with its versions and adapters.
    pub fn models(&self) -> &[ModelEntry] {
        &self.models
    }

    /// The naming schemes, sorted.
    pub fn schemes(&self) -> impl Iterator<Item = &Scheme> {
        self.schemes.iter()
    }

    fn model_entry(&self, model: &id::Model) -> Option<&ModelEntry> {
        self.models.iter().find(|entry| entry.model == *model)
    }

    fn table(&self, kind: Kind) -> &NameTable {
        match kind {
            Kind::Region => &self.regions,
            Kind::Model => &self.model_names,
            Kind::Service => &self.services,
        }
    }
}

fn unique_schemes(document: &Document, faults: &mut Vec<Fault>) -> BTreeSet<Scheme> {
    let mut schemes = BTreeSet::new();
    for (index, aliases) in document.schemes.iter().enumerate() {
        if !schemes.insert(aliases.scheme.clone()) {
            faults.push(Fault {
                location: format!("schemes[{index}].scheme"),
                detail: format!("the scheme `{}` is listed twice", aliases.scheme),
                remedy: "merge the two entries",
            });
        }
    }
    schemes
}

fn find_name<'a>(names: &[&'a str], name: &str) -> Option<&'a str> {
    names.iter().find(|known| **known == name).copied()
}

fn unknown_feature(kind: &str, model: &id::Model, name: &str, names: &[&str]) -> Refusal {
    let remedy = if names.is_empty() {
        format!("leave the {kind} out; the model has none")
    } else {
        format!("use one of `{}`", names.join("`, `"))
    };
    Refusal::new(Reason::UnknownName, format!("model `{model}` has no {kind} `{name}`"), remedy)
}
