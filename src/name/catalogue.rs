use std::{collections::BTreeSet, fs, path::Path};

use super::{Document, Error, Fault, Kind, ModelEntry, Scheme, table::Table};
use crate::{
    id,
    outcome::{Reason, Refusal},
};

/// The canonical names and the aliases of every scheme, checked.
#[derive(Clone, Debug)]
pub struct Catalogue {
    schemes: BTreeSet<Scheme>,
    models: Vec<ModelEntry>,
    regions: Table,
    model_names: Table,
    services: Table,
}

impl Catalogue {
    /// Reads a catalogue from a JSON file.
    ///
    /// # Errors
    ///
    /// Where the file cannot be read, or with every fault found in it.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).map_err(|cause| Error::read(path, &cause))?;
        Self::parse(&text)
    }

    /// Reads a catalogue from JSON.
    ///
    /// # Errors
    ///
    /// With every fault found.
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

    /// Checks a document and makes a catalogue of it.
    ///
    /// # Errors
    ///
    /// With every fault found.
    pub fn new(document: Document) -> Result<Self, Error> {
        let mut faults = Vec::new();
        let schemes = schemes(&document, &mut faults);
        let regions = Table::build(Kind::Region, &document, &mut faults);
        let model_names = Table::build(Kind::Model, &document, &mut faults);
        let services = Table::build(Kind::Service, &document, &mut faults);
        if !faults.is_empty() {
            return Err(Error { faults });
        }
        Ok(Self { schemes, models: document.models, regions, model_names, services })
    }

    /// The scheme called `text`.
    ///
    /// # Errors
    ///
    /// Where there is none.
    pub fn scheme(&self, text: &str) -> Result<Scheme, Refusal> {
        let known = self.schemes.iter().find(|scheme| scheme.as_str() == text);
        known.cloned().ok_or_else(|| {
            let names: Vec<&str> = self.schemes.iter().map(Scheme::as_str).collect();
            Refusal::new(
                Reason::UnknownName,
                format!("no naming scheme is called `{text}`"),
                format!("use one of `{}`", names.join("`, `")),
            )
        })
    }

    /// The region that `name` means in `scheme`, or in every scheme where none is given.
    ///
    /// # Errors
    ///
    /// Where the name is unknown or means several regions.
    pub fn region(&self, scheme: Option<&Scheme>, name: &str) -> Result<id::Region, Refusal> {
        self.regions.resolve(scheme, name).map(id::Region::from)
    }

    /// The model that `name` means in `scheme`, or in every scheme where none is given.
    ///
    /// # Errors
    ///
    /// Where the name is unknown or means several models.
    pub fn model(&self, scheme: Option<&Scheme>, name: &str) -> Result<id::Model, Refusal> {
        self.model_names.resolve(scheme, name).map(id::Model::from)
    }

    /// The plain service that `name` means in `scheme`, or in every scheme where none is given.
    ///
    /// # Errors
    ///
    /// Where the name is unknown or means several services.
    pub fn service(&self, scheme: Option<&Scheme>, name: &str) -> Result<id::Service, Refusal> {
        self.services.resolve(scheme, name).map(id::Service::from)
    }

    /// The version of `model` called `name`.
    ///
    /// # Errors
    ///
    /// Where the model has no such version.
    pub fn version(&self, model: &id::Model, name: &str) -> Result<id::Version, Refusal> {
        let known = self.entry(model).map(|entry| entry.versions.as_slice()).unwrap_or_default();
        let names: Vec<&str> = known.iter().map(id::Version::as_str).collect();
        pick(&names, name)
            .map(id::Version::from)
            .ok_or_else(|| missing("version", model, name, &names))
    }

    /// The adapter of `model` called `name`.
    ///
    /// # Errors
    ///
    /// Where the model has no such adapter.
    pub fn adapter(&self, model: &id::Model, name: &str) -> Result<id::Adapter, Refusal> {
        let known = self.entry(model).map(|entry| entry.adapters.as_slice()).unwrap_or_default();
        let names: Vec<&str> = known.iter().map(id::Adapter::as_str).collect();
        pick(&names, name)
            .map(id::Adapter::from)
            .ok_or_else(|| missing("adapter", model, name, &names))
    }

    /// The canonical names of a kind, in order.
    pub fn names(&self, kind: Kind) -> impl Iterator<Item = &str> {
        self.table(kind).canonical()
    }

    /// Whether `name` is the canonical name of something of a kind.
    pub fn contains(&self, kind: Kind, name: &str) -> bool {
        self.table(kind).contains(name)
    }

    /// The models, each with its versions and adapters.
    pub fn models(&self) -> &[ModelEntry] {
        &self.models
    }

    /// The naming schemes, in order.
    pub fn schemes(&self) -> impl Iterator<Item = &Scheme> {
        self.schemes.iter()
    }

    fn entry(&self, model: &id::Model) -> Option<&ModelEntry> {
        self.models.iter().find(|entry| entry.model == *model)
    }

    fn table(&self, kind: Kind) -> &Table {
        match kind {
            Kind::Region => &self.regions,
            Kind::Model => &self.model_names,
            Kind::Service => &self.services,
        }
    }
}

fn schemes(document: &Document, faults: &mut Vec<Fault>) -> BTreeSet<Scheme> {
    let mut schemes = BTreeSet::new();
    for (place, section) in document.schemes.iter().enumerate() {
        if !schemes.insert(section.scheme.clone()) {
            faults.push(Fault {
                location: format!("schemes[{place}].scheme"),
                detail: format!("the scheme `{}` stands twice", section.scheme),
                remedy: "join the two into one",
            });
        }
    }
    schemes
}

fn pick<'a>(names: &[&'a str], name: &str) -> Option<&'a str> {
    names.iter().find(|known| **known == name).copied()
}

fn missing(what: &str, model: &id::Model, name: &str, names: &[&str]) -> Refusal {
    let remedy = if names.is_empty() {
        format!("leave the {what} out; the model has none")
    } else {
        format!("use one of `{}`", names.join("`, `"))
    };
    Refusal::new(Reason::UnknownName, format!("model `{model}` has no {what} `{name}`"), remedy)
}
