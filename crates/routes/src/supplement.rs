//! The parts of a document that its first stored encoding has no place for.
//!
//! Stored encodings do not change, as builds run side by side. These parts are therefore stored after
//! the document, where earlier builds do not read.

use crate::{ColdStart, Document};
use lycheehub_types::{AccountName, Region, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The later parts of a document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Supplement {
    /// What the endpoints of services bear after their start.
    pub cold_starts: BTreeMap<ServiceName, ColdStart>,
    /// The regions of routes, by the place of the route in the document.
    pub route_regions: BTreeMap<u32, Vec<Region>>,
    /// The regions of client accounts.
    pub account_regions: BTreeMap<AccountName, Vec<Region>>,
}

impl Supplement {
    /// Returns whether there is nothing to store.
    ///
    /// # Examples
    /// ```
    /// assert!(lycheehub_routes::Supplement::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Document {
    /// Returns the parts that are stored after the document.
    pub fn supplement(&self) -> Supplement {
        let cold_starts = self.services.iter();
        let routes = (0..).zip(&self.routes).filter(|(_, route)| !route.regions.is_empty());
        let accounts = self.accounts.iter().filter(|account| !account.regions.is_empty());
        Supplement {
            cold_starts: cold_starts
                .filter_map(|service| Some((service.name.clone(), service.cold_start?)))
                .collect(),
            route_regions: routes.map(|(place, route)| (place, route.regions.clone())).collect(),
            account_regions: accounts
                .map(|account| (account.name.clone(), account.regions.clone()))
                .collect(),
        }
    }

    /// Adds the parts that were stored after the document.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_routes::Document;
    ///
    /// let mut document = Document::default();
    /// document.add_supplement(document.supplement());
    /// assert_eq!(document, Document::default());
    /// ```
    pub fn add_supplement(&mut self, supplement: Supplement) {
        let Supplement { cold_starts, mut route_regions, mut account_regions } = supplement;
        for service in &mut self.services {
            service.cold_start = cold_starts.get(&service.name).copied();
        }
        for (place, route) in (0..).zip(&mut self.routes) {
            route.regions = route_regions.remove(&place).unwrap_or_default();
        }
        for account in &mut self.accounts {
            account.regions = account_regions.remove(&account.name).unwrap_or_default();
        }
    }
}
