//! Merges sections and checks them against each other.

use crate::{MergedSections, Section};
use lycheehub_types::SectionName;
use quick_error::quick_error;
use smol_str::SmolStr;
use std::collections::BTreeMap;

quick_error! {
    /// Why sections cannot be merged.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// Two sections define the same service, account or move.
        Duplicate(kind: &'static str, name: SmolStr, section: SectionName) {
            display("{} {:?} of section {:?} stands in another section already", kind, name, section.as_str())
        }
        /// Two accounts have the same key.
        SharedKey(account: SmolStr, other: SmolStr) {
            display("accounts {:?} and {:?} have the same key_sha256", account, other)
        }
        /// A move refers to a service that no section defines.
        UnknownService(id: SmolStr, service: SmolStr) {
            display("move {:?} names service {:?}, which no section defines", id, service)
        }
    }
}

/// Merges `sections`.
///
/// # Errors
/// Returns an error if two sections define the same name, two accounts have the same key, or a move
/// refers to a service that no section defines.
///
/// # Examples
/// ```
/// use lycheehub_estate::{merge, parse};
/// use lycheehub_types::SectionName;
/// use std::collections::BTreeMap;
///
/// let text = "owner = \"labels\"\n[service.writer]\nkind = \"engine\"\nversion = \"v1\"\n";
/// let sections = BTreeMap::from([(SectionName::from("labels"), parse(text).unwrap())]);
/// assert!(merge(&sections).unwrap().services.contains_key(&"writer".into()));
/// ```
pub fn merge(sections: &BTreeMap<SectionName, Section>) -> Result<MergedSections, Error> {
    let mut merged = MergedSections::default();
    for (name, section) in sections {
        for (service, spec) in &section.services {
            if merged.services.insert(service.clone(), spec.clone()).is_some() {
                return Err(duplicate("service", service.as_str(), name));
            }
        }
        for (account, spec) in &section.accounts {
            if merged.accounts.insert(account.clone(), spec.clone()).is_some() {
                return Err(duplicate("account", account.as_str(), name));
            }
        }
        for (id, spec) in &section.moves {
            if merged.moves.insert(id.clone(), (name.clone(), spec.clone())).is_some() {
                return Err(duplicate("move", id, name));
            }
        }
    }
    check_keys(&merged)?;
    check_moves(&merged)?;
    Ok(merged)
}

fn duplicate(kind: &'static str, name: &str, section: &SectionName) -> Error {
    Error::Duplicate(kind, name.into(), section.clone())
}

fn check_keys(merged: &MergedSections) -> Result<(), Error> {
    let mut names_by_key = BTreeMap::new();
    for (name, account) in &merged.accounts {
        if let Some(other) = names_by_key.insert(&account.key_sha256, name) {
            return Err(Error::SharedKey(name.as_str().into(), other.as_str().into()));
        }
    }
    Ok(())
}

fn check_moves(merged: &MergedSections) -> Result<(), Error> {
    for (id, (_, spec)) in &merged.moves {
        if !merged.services.contains_key(&spec.service) {
            return Err(Error::UnknownService(id.clone(), spec.service.as_str().into()));
        }
    }
    Ok(())
}
