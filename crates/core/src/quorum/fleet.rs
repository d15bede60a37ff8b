//! The instances that the platform lists, ranked so that all processes agree on the order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::{DomainId, InstanceId};
use crate::quorum::QuorumUnit;

/// How many instances represent their failure domain in a count; a majority of them is two.
pub const REPRESENTATIVES_PER_DOMAIN: usize = 3;

/// A process of the system as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The process's identifier.
    pub id: InstanceId,
    /// The failure domain that it runs in.
    pub domain: DomainId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RankHash(u64);

impl RankHash {
    fn of(instance: &InstanceId) -> Self {
        let bytes: [u8; 32] = Sha256::digest(instance.as_str().as_bytes()).into();
        let first = bytes.iter().take(8);
        Self(first.fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

/// The instances of each failure domain, ranked by the hashes of their identifiers.
///
/// No instance can choose its rank, and the order of two instances stays when others join or leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetList {
    domains: BTreeMap<DomainId, Vec<InstanceId>>,
    domain_by_instance: BTreeMap<InstanceId, DomainId>,
}

impl FleetList {
    /// Creates the list from the platform's, in any order.
    pub fn new(instances: &[ListedInstance]) -> Self {
        let mut fleet = Self::default();
        for instance in instances {
            fleet
                .domain_by_instance
                .insert(instance.id.clone(), instance.domain.clone());
        }
        for (id, domain) in &fleet.domain_by_instance {
            fleet
                .domains
                .entry(domain.clone())
                .or_default()
                .push(id.clone());
        }
        for row in fleet.domains.values_mut() {
            row.sort_by_cached_key(RankHash::of);
        }
        fleet
    }

    /// Returns how many instances are listed.
    pub fn len(&self) -> usize {
        self.domain_by_instance.len()
    }

    /// Returns whether no instance is listed.
    pub fn is_empty(&self) -> bool {
        self.domain_by_instance.is_empty()
    }

    /// Returns whether `instance` is listed.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.domain_by_instance.contains_key(instance)
    }

    /// Returns the listed instances.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.domain_by_instance.keys()
    }

    /// Returns the instances of `domain`, in the order of their ranks.
    pub fn ranked(&self, domain: &DomainId) -> &[InstanceId] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the instances that represent `domain`. Whether they are alive plays no part, so
    /// processes that see different peers alive still agree on the representatives.
    pub fn representatives(&self, domain: &DomainId) -> &[InstanceId] {
        let row = self.ranked(domain);
        &row[..row.len().min(REPRESENTATIVES_PER_DOMAIN)]
    }

    /// Returns whether `instance` represents its failure domain.
    pub fn is_representative(&self, instance: &InstanceId) -> bool {
        let domain = self.domain_by_instance.get(instance);
        domain.is_some_and(|domain| self.representatives(domain).contains(instance))
    }

    /// Returns the failure domains of the listed instances.
    pub fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.domains.keys()
    }

    /// Returns the instances whose replies are counted.
    pub fn voters(&self, unit: QuorumUnit) -> Vec<&InstanceId> {
        match unit {
            QuorumUnit::Instance => self.domain_by_instance.keys().collect(),
            QuorumUnit::Domain => self
                .domains
                .keys()
                .flat_map(|id| self.representatives(id))
                .collect(),
        }
    }
}
