use std::{fs, path::Path};

use super::{Error, Output, command::read};
use crate::{
    list::{self, Allowance, Book, Kind, KnownNames, List, Plan},
    name::Catalogue,
};

/// Checks the form of both lists, and with a catalogue all that a VM would check.
pub(super) fn check(
    plans: &Path,
    allowances: &Path,
    names: Option<&Path>,
) -> Result<Output, Error> {
    let plan_list: List<Plan> = read(plans)?;
    let allowance_list: List<Allowance> = read(allowances)?;
    let counts =
        format!("{} plans, {} allowances", plan_list.entries.len(), allowance_list.entries.len());
    let Some(names) = names else {
        return Ok(format!("the form is valid: {counts}\n").into());
    };
    let catalogue = Catalogue::read(names).map_err(|cause| Error::file(names, &cause))?;
    let known = KnownNames::from(&catalogue);
    // Alone, as plans that a later change is to add may still lack here.
    one(Kind::Allowances, allowances, &known, &Book::default())?;
    one(Kind::Plans, plans, &known, &Book::new(List::default(), allowance_list))?;
    Ok(format!("the lists are valid: {counts}\n").into())
}

fn one(kind: Kind, path: &Path, known: &KnownNames, book: &Book) -> Result<(), Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::file(path, &cause))?;
    list::check(kind, &text, known, book).map_err(|faults| Error::faults(path, &faults))?;
    Ok(())
}
