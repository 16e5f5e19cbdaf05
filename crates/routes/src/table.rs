//! Looks up the route of a request and the client account of a key.

use crate::{AccountSpec, Document, RouteSpec, ServiceSpec, Target};
use lycheehub_types::{AccountName, ServiceName};
use smol_str::SmolStr;
use std::collections::BTreeMap;

/// A route document, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    document: Document,
    /// Indices of the routes of each host, the longest path prefix first.
    by_host: BTreeMap<SmolStr, Vec<usize>>,
    /// The index of the client account of each key.
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
        for (index, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase().into()).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices
                .sort_by_key(|index| std::cmp::Reverse(document.routes[*index].path_prefix.len()));
        }
        let keys =
            document.accounts.iter().enumerate().flat_map(|(index, account)| {
                account.keys.iter().map(move |key| (key.clone(), index))
            });
        let services = document.services.iter().enumerate();
        Self {
            by_host,
            by_key: keys.collect(),
            services: services.map(|(index, service)| (service.name.clone(), index)).collect(),
            document,
        }
    }

    /// Returns the document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`.
    ///
    /// A port in `host` is ignored unless a route names it.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteSpec> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indices = self
            .by_host
            .get(host.to_ascii_lowercase().as_str())
            .or_else(|| self.by_host.get(name.to_ascii_lowercase().as_str()))?;
        let mut routes = indices.iter().map(|index| &self.document.routes[*index]);
        routes.find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the client account that `key` belongs to.
    pub fn account_of(&self, key: &str) -> Option<&AccountSpec> {
        self.by_key.get(key).map(|index| &self.document.accounts[*index])
    }

    /// Returns the client account with this name.
    pub fn account(&self, name: &AccountName) -> Option<&AccountSpec> {
        self.document.accounts.iter().find(|account| account.name == *name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name).map(|index| &self.document.services[*index])
    }
}

/// Chooses one of a route's services at random in proportion to their weights.
///
/// The same `seed` always chooses the same service. Returns `None` if the weights add up to 0.
///
/// # Examples
/// ```
/// use lycheehub_routes::{Target, table::choose_target};
///
/// let targets = [Target { service: "labels".into(), weight: 1 }];
/// assert_eq!(choose_target(&targets, "request-7").unwrap().as_str(), "labels");
/// ```
pub fn choose_target<'a>(targets: &'a [Target], seed: &str) -> Option<&'a ServiceName> {
    let sum: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut remainder = xxhash_rust::xxh3::xxh3_64(seed.as_bytes()).checked_rem(sum)?;
    for target in targets {
        let weight = u64::from(target.weight);
        if remainder < weight {
            return Some(&target.service);
        }
        remainder -= weight;
    }
    None
}
