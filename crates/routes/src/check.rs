//! Validates a route document.

use crate::{Document, RouteSpec};
use lycheehub_types::AccountName;
use quick_error::quick_error;
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};

quick_error! {
    /// The first rule that a document violates.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// A route refers to a service that the document does not define.
        UnknownService(route: SmolStr, service: SmolStr) {
            display("route {}: no service is named {}", route, service)
        }
        /// Two routes have the same host and path prefix.
        DuplicateRoute(first: SmolStr, second: SmolStr) {
            display("routes {} and {} have the same host and path prefix", first, second)
        }
        /// The weights of the route's services add up to 0.
        NoWeight(route: SmolStr) {
            display("route {}: the weights of its services add up to 0", route)
        }
        /// The route's timeout is 0.
        NoTimeout(route: SmolStr) {
            display("route {}: its timeout is 0 ms", route)
        }
        /// Two client accounts have the same key.
        SharedKey(first: AccountName, second: AccountName) {
            display("client accounts {} and {} share a key", first, second)
        }
    }
}

/// Checks a whole document.
///
/// # Errors
/// Returns the first rule that the document violates.
///
/// # Examples
/// ```
/// use lycheehub_routes::{Document, check::check};
/// assert!(check(&Document::default()).is_ok());
/// ```
pub fn check(document: &Document) -> Result<(), Error> {
    let services: BTreeSet<&str> =
        document.services.iter().map(|service| service.name.as_str()).collect();
    let mut routes_by_match: BTreeMap<(SmolStr, &str), &SmolStr> = BTreeMap::new();
    for route in &document.routes {
        check_route(route, &services)?;
        let host_and_prefix =
            (SmolStr::from(route.host.to_ascii_lowercase()), route.path_prefix.as_str());
        if let Some(other) = routes_by_match.insert(host_and_prefix, &route.name) {
            return Err(Error::DuplicateRoute(other.clone(), route.name.clone()));
        }
    }
    check_keys(document)
}

fn check_route(route: &RouteSpec, services: &BTreeSet<&str>) -> Result<(), Error> {
    let unknown = route.targets.iter().find(|target| !services.contains(target.service.as_str()));
    if let Some(target) = unknown {
        let service = SmolStr::from(target.service.as_str());
        return Err(Error::UnknownService(route.name.clone(), service));
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(Error::NoWeight(route.name.clone()));
    }
    if route.timeout_ms == 0 {
        return Err(Error::NoTimeout(route.name.clone()));
    }
    Ok(())
}

fn check_keys(document: &Document) -> Result<(), Error> {
    let mut accounts_by_key: BTreeMap<&str, &AccountName> = BTreeMap::new();
    for account in &document.accounts {
        for key in &account.keys {
            let other = accounts_by_key.insert(key, &account.name);
            if let Some(other) = other.filter(|other| **other != account.name) {
                return Err(Error::SharedKey(other.clone(), account.name.clone()));
            }
        }
    }
    Ok(())
}
