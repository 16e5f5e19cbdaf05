//! Finds the route of a request and the client account of a key.

use crate::{AccountSpec, Document, RouteSpec, ServiceSpec, Target};
use lycheehub_types::{AccountName, ServiceName};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// A document with its indices.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    document: Document,
    /// The routes of each host, the longest prefix first.
    by_host: BTreeMap<SmolStr, Vec<usize>>,
    by_key: BTreeMap<SmolStr, usize>,
    services: BTreeMap<ServiceName, usize>,
}

impl RouteTable {
    /// Indexes a document.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_routes::{Document, RouteTable};
    ///
    /// let table = RouteTable::new(Document::default());
    /// assert!(table.route("salto.example", "/print/1").is_none());
    /// ```
    pub fn new(document: Document) -> Self {
        let mut by_host: BTreeMap<SmolStr, Vec<usize>> = BTreeMap::new();
        for (place, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase().into()).or_default().push(place);
        }
        for places in by_host.values_mut() {
            places
                .sort_by_key(|place| std::cmp::Reverse(document.routes[*place].path_prefix.len()));
        }
        let keys =
            document.accounts.iter().enumerate().flat_map(|(place, account)| {
                account.keys.iter().map(move |key| (key.clone(), place))
            });
        let services = document.services.iter().enumerate();
        Self {
            by_host,
            by_key: keys.collect(),
            services: services.map(|(place, service)| (service.name.clone(), place)).collect(),
            document,
        }
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the route of the host with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let places = self
            .by_host
            .get(host.to_ascii_lowercase().as_str())
            .or_else(|| self.by_host.get(name.to_ascii_lowercase().as_str()))?;
        let mut routes = places.iter().map(|place| &self.document.routes[*place]);
        routes.find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the client account that holds `key`.
    pub fn account_of(&self, key: &str) -> Option<&AccountSpec> {
        self.by_key.get(key).map(|place| &self.document.accounts[*place])
    }

    /// Returns the client account of this name.
    pub fn account(&self, name: &AccountName) -> Option<&AccountSpec> {
        self.document.accounts.iter().find(|account| account.name == *name)
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name).map(|place| &self.document.services[*place])
    }
}

/// Draws one of a route's services by weight; the same `seed` always draws the same one.
///
/// # Examples
/// ```
/// use lycheehub_routes::{Target, table::draw_target};
///
/// let targets = [Target { service: "labels".into(), weight: 1 }];
/// assert_eq!(draw_target(&targets, "request-7").unwrap().as_str(), "labels");
/// ```
pub fn draw_target<'a>(targets: &'a [Target], seed: &str) -> Option<&'a ServiceName> {
    let sum: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut drawn = xxhash_rust::xxh3::xxh3_64(seed.as_bytes()).checked_rem(sum)?;
    for target in targets {
        let weight = u64::from(target.weight);
        if drawn < weight {
            return Some(&target.service);
        }
        drawn -= weight;
    }
    None
}
