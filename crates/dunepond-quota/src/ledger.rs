//! The replicated ledger of spare units, those that belong to no broker's floor. It records how many of them each
//! broker holds. Each voter checks and applies the same entries of the consensus log by itself. The ledger reads no
//! clock, so all voters get the same result.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Allocation, QuotaEntry, QuotaError, QuotaShare, SharedQuotas};

/// One broker's units of one quota, beyond the broker's floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UnitGrant {
    /// Units that the ledger currently grants the broker.
    #[serde(rename = "now")]
    pub granted: u32,
    /// Units that cannot be granted to other brokers, because this broker may still be using them; at least `granted`.
    #[serde(rename = "counted")]
    pub reserved: u32,
}

/// The shares of all quotas that one broker in the ledger holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BrokerShares {
    /// Units beyond the floor, by quota name.
    #[serde(rename = "held")]
    pub grants: BTreeMap<String, UnitGrant>,
    /// Ledger generation of the last entry that shrank one of the broker's shares; 0 if none did.
    #[serde(rename = "shrunk")]
    pub shrunk_generation: u64,
}

impl BrokerShares {
    /// Whether one of the broker's shares shrank and its old size is still reserved.
    pub fn awaits_release(&self) -> bool {
        self.grants.values().any(|grant| grant.reserved > grant.granted)
    }

    /// Returns the units of `quota` that the broker is granted beyond its floor.
    pub fn granted_units(&self, quota: &str) -> u32 {
        self.grants.get(quota).map_or(0, |grant| grant.granted)
    }

    /// Returns the units of `quota` that the broker may still be using beyond its floor.
    pub fn reserved_units(&self, quota: &str) -> u32 {
        self.grants.get(quota).map_or(0, |grant| grant.reserved)
    }

    /// Returns the quota with the most reserved units and their number, if any units are reserved.
    fn largest_reservation(&self) -> Option<(&String, u32)> {
        let reserved = self.grants.iter().map(|(quota, grant)| (quota, grant.reserved));
        reserved.max_by_key(|(_, units)| *units).filter(|(_, units)| *units > 0)
    }
}

/// The replicated state of all quotas: their configuration, and how many units each broker holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaLedger {
    /// The shared quotas; `None` before the first configuration.
    #[serde(rename = "bounds")]
    pub shared: Option<SharedQuotas>,
    /// Number of entries that have been applied; increases with each change.
    pub generation: u64,
    /// Brokers that can be given shares, with their shares, by broker name.
    #[serde(rename = "seats")]
    pub brokers: BTreeMap<String, BrokerShares>,
}

impl QuotaLedger {
    /// Returns the units of `quota` that are reserved for all brokers beyond the floors.
    pub fn reserved_units(&self, quota: &str) -> u64 {
        self.brokers.values().map(|shares| u64::from(shares.reserved_units(quota))).sum()
    }

    /// Returns the number of spare units of `quota` that are reserved for no broker and may be granted.
    pub fn free_units(&self, quota: &str) -> u32 {
        let spare = self.shared.as_ref().map_or(0, SharedQuotas::spare_units);
        u64::from(spare).saturating_sub(self.reserved_units(quota)) as u32
    }

    /// Checks whether `entry` may be applied, without applying it.
    ///
    /// # Errors
    /// The reason why [`QuotaLedger::apply`] would reject the entry.
    pub fn check(&self, entry: &QuotaEntry) -> Result<(), QuotaError> {
        match entry {
            QuotaEntry::Configure(shared) => self.check_configure(shared),
            QuotaEntry::AddBroker { broker } => self.check_add(broker),
            QuotaEntry::RemoveBroker { broker } => self.check_remove(broker),
            QuotaEntry::SetShares { shares } => self.check_shares(shares),
            QuotaEntry::Release { broker, generation } => self.check_release(broker, *generation),
        }
    }

    fn check_configure(&self, shared: &SharedQuotas) -> Result<(), QuotaError> {
        shared.check()?;
        if self.shared.as_ref() == Some(shared) {
            return Err(QuotaError::AlreadyConfigured);
        }
        match self.brokers.values().find_map(BrokerShares::largest_reservation) {
            Some((quota, units)) => Err(QuotaError::StillLeased { quota: quota.clone(), units }),
            None => Ok(()),
        }
    }

    fn check_add(&self, broker: &str) -> Result<(), QuotaError> {
        let brokers = self.shared.as_ref().ok_or(QuotaError::NotConfigured)?.max_brokers;
        if self.brokers.contains_key(broker) {
            return Err(QuotaError::BrokerExists(broker.to_string()));
        }
        if self.brokers.len() >= brokers as usize {
            return Err(QuotaError::TooManyBrokers { broker: broker.to_string(), brokers });
        }
        Ok(())
    }

    fn check_remove(&self, broker: &str) -> Result<(), QuotaError> {
        match self.shares_of(broker)?.largest_reservation() {
            Some((quota, units)) => {
                Err(QuotaError::BrokerHoldsUnits { broker: broker.to_string(), quota: quota.clone(), units })
            }
            None => Ok(()),
        }
    }

    fn check_release(&self, broker: &str, generation: u64) -> Result<(), QuotaError> {
        let shares = self.shares_of(broker)?;
        if !shares.awaits_release() || shares.shrunk_generation != generation {
            return Err(QuotaError::NotAwaited { broker: broker.to_string(), generation });
        }
        Ok(())
    }

    fn shares_of(&self, broker: &str) -> Result<&BrokerShares, QuotaError> {
        self.brokers.get(broker).ok_or_else(|| QuotaError::UnknownBroker(broker.to_string()))
    }

    /// Checks that all shares together stay within the spare units. Each share counts at its reserved or its new size,
    /// whichever is larger, so units that one share gave up by shrinking cannot be granted to another before they are
    /// released.
    fn check_shares(&self, shares: &[QuotaShare]) -> Result<(), QuotaError> {
        let shared = self.shared.as_ref().ok_or(QuotaError::NotConfigured)?;
        let mut changes = false;
        let mut reserved_after: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for QuotaShare { broker, quota, units } in shares {
            let held = self.shares_of(broker)?;
            if !shared.names.contains(quota) {
                return Err(QuotaError::UnknownQuota(quota.clone()));
            }
            changes |= held.granted_units(quota) != *units;
            let reserved = reserved_after.entry((quota, broker)).or_insert(held.reserved_units(quota));
            *reserved = (*reserved).max(*units);
        }
        if !changes {
            return Err(QuotaError::NoChange);
        }
        let spare = shared.spare_units();
        for quota in &shared.names {
            let named =
                reserved_after.range((quota.as_str(), "")..).take_while(|((name, _), _)| *name == quota);
            let growth = named
                .map(|((_, broker), units)| u64::from(units - self.brokers[*broker].reserved_units(quota)));
            let units = self.reserved_units(quota) + growth.sum::<u64>();
            if units > u64::from(spare) {
                return Err(QuotaError::ExceedsTotal { quota: quota.clone(), units, spare });
            }
        }
        Ok(())
    }

    /// Checks and applies an entry of the consensus log.
    ///
    /// # Errors
    /// The same errors as [`QuotaLedger::check`]. After an error, the ledger is unchanged.
    pub fn apply(&mut self, entry: &QuotaEntry) -> Result<(), QuotaError> {
        self.check(entry)?;
        self.generation += 1;
        match entry {
            QuotaEntry::Configure(shared) => {
                self.shared = Some(shared.clone());
                // Brokers have to be added again, because the new configuration may allow fewer of them.
                self.brokers.clear();
            }
            QuotaEntry::AddBroker { broker } => {
                self.brokers.insert(broker.clone(), BrokerShares::default());
            }
            QuotaEntry::RemoveBroker { broker } => {
                self.brokers.remove(broker);
            }
            QuotaEntry::SetShares { shares } => shares.iter().for_each(|share| self.set_share(share)),
            QuotaEntry::Release { broker, .. } => self.release(broker),
        }
        Ok(())
    }

    fn set_share(&mut self, share: &QuotaShare) {
        let Some(shares) = self.brokers.get_mut(&share.broker) else { return };
        let grant = shares.grants.entry(share.quota.clone()).or_default();
        if share.units < grant.granted {
            shares.shrunk_generation = self.generation;
        }
        grant.granted = share.units;
        grant.reserved = grant.reserved.max(share.units);
    }

    fn release(&mut self, broker: &str) {
        let grants = self.brokers.get_mut(broker).into_iter().flat_map(|shares| shares.grants.values_mut());
        grants.for_each(|grant| grant.reserved = grant.granted);
    }

    /// Returns the allocation that `broker` receives with its lease; `None` while no quotas are configured.
    pub fn allocation_for(&self, broker: &str) -> Option<Allocation> {
        let shared = self.shared.as_ref()?;
        let shares = self.brokers.get(broker);
        let grants = shares.into_iter().flat_map(|shares| &shares.grants);
        let leased = grants.filter(|(_, grant)| grant.granted > 0);
        Some(Allocation {
            generation: self.generation,
            floor_units: shared.floor_units,
            admitted: shares.is_some() || self.brokers.len() < shared.max_brokers as usize,
            shrunk_generation: shares.map_or(0, |shares| shares.shrunk_generation),
            leased_units: leased.map(|(quota, grant)| (quota.clone(), grant.granted)).collect(),
        })
    }
}
