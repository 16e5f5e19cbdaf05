//! Endpoints as replicas propagate them, and which of two listings of an endpoint holds.
//!
//! A listing carries the numbers that the endpoint itself states, and the later one holds. Two facts are kept
//! beside them, which replicas unite: which incarnation has left, and which listing was overridden by one with
//! earlier numbers. Replicas that have received the same listings therefore agree, in whichever order these
//! came, and a replica that restarts learns from the others all that it knew.

use lycheehub_types::{
    EndpointKind, EndpointLoad, EndpointName, EndpointRecord, FailureDomain, ServiceName, Version,
};
use smol_str::SmolStr;

/// The sequence of a listing after a farewell: later than all that an endpoint can state.
const FAREWELL_SEQUENCE: u64 = u64::MAX;

/// An endpoint as propagated between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The endpoint's last announcement.
    pub record: EndpointRecord,
    /// Whether the lease has expired or the endpoint was withdrawn.
    pub gone: bool,
    /// Whether the endpoint said farewell. Its record then has the latest incarnation that may have said it.
    pub withdrawn: bool,
    /// The last incarnation that is known to have left.
    pub left: Option<u64>,
    /// The listing that was overridden last.
    pub overridden: Option<Overridden>,
}

/// The numbers of a listing that was replaced by one with earlier numbers.
///
/// Another writer may state numbers that the endpoint itself never reaches, and an endpoint may start again
/// with its clock behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Overridden {
    /// How often a listing of the endpoint was overridden; the highest count holds.
    pub count: u32,
    /// The incarnation of the overridden listing.
    pub incarnation: u64,
    /// The sequence of the overridden listing.
    pub sequence: u64,
}

/// What the numbers of an announcement say beside those of the endpoint's listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It is newer, or says of the listed incarnation that it leaves.
    Current,
    /// Its incarnation has left.
    Left,
    /// It has earlier numbers than the listing, or overridden ones.
    Outdated,
}

impl Listing {
    /// Returns the listing of an endpoint that has announced itself.
    ///
    /// # Examples
    /// ```
    /// # use lycheehub_types::{EndpointKind, EndpointRecord};
    /// # let record = EndpointRecord {
    /// #     endpoint: "e".into(), address: "10.0.0.1:80".into(), service: "writer".into(),
    /// #     version: "v1".into(), kind: EndpointKind::Plain, hardware: "".into(),
    /// #     failure_domain: "salto".into(), slots: 1, fencing: false, takes_orders: false,
    /// #     incarnation: 1, sequence: 1, leaving: false, load: Default::default(), cold_ms: 0,
    /// # };
    /// use lycheehub_control::directory::Listing;
    ///
    /// assert!(!Listing::announced(record).gone);
    /// ```
    pub fn announced(record: EndpointRecord) -> Self {
        Self { record, gone: false, withdrawn: false, left: None, overridden: None }
    }

    /// Returns the listing of an endpoint of which only the farewell is known: it was started at `incarnation`
    /// or earlier.
    pub(super) fn of_farewell(endpoint: EndpointName, incarnation: u64) -> Self {
        let record = EndpointRecord {
            endpoint,
            address: SmolStr::default(),
            service: ServiceName::from(""),
            version: Version::from(""),
            kind: EndpointKind::Plain,
            hardware: SmolStr::default(),
            failure_domain: FailureDomain::from(""),
            slots: 0,
            fencing: false,
            takes_orders: false,
            incarnation,
            sequence: FAREWELL_SEQUENCE,
            leaving: true,
            load: EndpointLoad::default(),
            cold_ms: 0,
        };
        Self { gone: true, withdrawn: true, ..Self::announced(record) }
    }

    /// Returns the listing after a farewell of the listed incarnation, or of another one up to `incarnation`.
    pub(super) fn withdrawn_until(&self, incarnation: u64) -> Self {
        let left = if self.withdrawn { self.left } else { Some(self.record.incarnation) };
        let record = EndpointRecord {
            incarnation: self.record.incarnation.max(incarnation),
            sequence: FAREWELL_SEQUENCE,
            leaving: true,
            ..self.record.clone()
        };
        Self { record, gone: true, withdrawn: true, left, overridden: self.overridden }
    }

    /// Returns the listing that replaces this one by an announcement that is [outdated](Standing::Outdated)
    /// or of an incarnation that has left.
    pub(super) fn overridden_by(&self, record: EndpointRecord) -> Self {
        let overridden = Overridden {
            count: self.overridden.map_or(0, |overridden| overridden.count).saturating_add(1),
            incarnation: self.record.incarnation,
            sequence: self.record.sequence,
        };
        let left = self.departed().filter(|left| *left != record.incarnation);
        let mut listing = Self { left, overridden: Some(overridden), ..Self::announced(record) };
        let is_draining = self.record.leaving && !self.withdrawn;
        listing.record.leaving |= self.is_same_incarnation(&listing) && is_draining;
        listing
    }

    /// Compares the numbers of an announcement with this listing.
    pub(super) fn standing(&self, record: &EndpointRecord) -> Standing {
        let is_listed = record.incarnation == self.record.incarnation;
        if self.left == Some(record.incarnation) {
            Standing::Left
        } else if is_listed && record.leaving && !self.withdrawn {
            Standing::Current
        } else if self.overrides(record) || record.freshness() <= self.record.freshness() {
            Standing::Outdated
        } else {
            Standing::Current
        }
    }

    /// Unites two listings of an endpoint: the one that holds, with what either knows of incarnations that
    /// left.
    ///
    /// # Examples
    /// ```
    /// # use lycheehub_types::{EndpointKind, EndpointRecord};
    /// # let record = EndpointRecord {
    /// #     endpoint: "e".into(), address: "10.0.0.1:80".into(), service: "writer".into(),
    /// #     version: "v1".into(), kind: EndpointKind::Plain, hardware: "".into(),
    /// #     failure_domain: "salto".into(), slots: 1, fencing: false, takes_orders: false,
    /// #     incarnation: 1, sequence: 1, leaving: false, load: Default::default(), cold_ms: 0,
    /// # };
    /// use lycheehub_control::directory::Listing;
    ///
    /// let leaving = Listing::announced(EndpointRecord { leaving: true, ..record.clone() });
    /// let later = Listing::announced(EndpointRecord { sequence: 2, ..record });
    /// let merged = leaving.merge(later);
    /// assert_eq!((merged.record.sequence, merged.record.leaving), (2, true));
    /// ```
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let is_same = self.is_same_incarnation(&other);
        let (mut newer, older) =
            if other.supersedes(&self) { (other, self) } else { (self, other) };
        if is_same && !newer.overrides(&older.record) {
            newer.record.leaving |= older.record.leaving;
            newer.withdrawn |= older.withdrawn;
        }
        newer.gone |= newer.withdrawn;
        let departed = if is_same { older.left } else { older.departed() };
        let is_over = |left: &u64| newer.withdrawn || *left != newer.record.incarnation;
        newer.left = newer.left.max(departed.filter(is_over));
        if newer.overridden < older.overridden {
            newer.overridden = older.overridden;
        }
        newer
    }

    /// Returns whether this listing holds, rather than another one of the same endpoint.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        let (overrides, is_overridden) =
            (self.overrides(&other.record), other.overrides(&self.record));
        if overrides != is_overridden {
            return overrides;
        }
        if overrides && self.overridden != other.overridden {
            return self.overridden > other.overridden;
        }
        let (has_left, other_has_left) = (other.tells_of_end(self), self.tells_of_end(other));
        if has_left != other_has_left {
            return other_has_left;
        }
        let order = |listing: &Self| (listing.record.freshness(), listing.gone);
        order(self) > order(other)
    }

    /// Returns whether two listings agree in all that decides which one holds.
    pub(super) fn is_equivalent(&self, other: &Self) -> bool {
        let state = |listing: &Self| {
            (
                (listing.record.freshness(), listing.record.leaving),
                (listing.gone, listing.withdrawn),
                (listing.left, listing.overridden),
            )
        };
        state(self) == state(other)
    }

    /// Returns whether two listings are of the same announcement and both gone or both not.
    pub(super) fn is_same_announcement(&self, other: &Self) -> bool {
        self.record.freshness() == other.record.freshness() && self.gone == other.gone
    }

    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.record.incarnation == other.record.incarnation
    }

    /// Returns the last incarnation that has left, be it the listed one.
    fn departed(&self) -> Option<u64> {
        let is_leaving = self.record.leaving && !self.withdrawn;
        self.left.max(is_leaving.then_some(self.record.incarnation))
    }

    /// Returns whether this listing knows that the incarnation of another one has left.
    fn tells_of_end(&self, other: &Self) -> bool {
        !other.withdrawn && self.left == Some(other.record.incarnation)
    }

    /// Returns whether these numbers are among the overridden ones. Of another writer's incarnation all are;
    /// of the endpoint's own one those from the overridden sequence on.
    fn overrides(&self, record: &EndpointRecord) -> bool {
        self.overridden.is_some_and(|overridden| {
            let is_own = overridden.incarnation == self.record.incarnation;
            record.incarnation == overridden.incarnation
                && (!is_own || record.sequence >= overridden.sequence)
        })
    }
}
