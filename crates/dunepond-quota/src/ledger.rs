//! Who has how much of the spare units, as the agreed log has it. Each voter applies the same entries and judges each for
//! itself; no clock is read here, so that all come to the same.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Allocation, QuotaEntry, QuotaError, QuotaShare, SharedQuotas};

/// A broker's units of one bound, beyond its floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UnitGrant {
    /// What it is told.
    #[serde(rename = "now")]
    pub granted: u32,
    /// What it may still act on: at least `now`.
    #[serde(rename = "counted")]
    pub reserved: u32,
}

/// A broker that may have a part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BrokerShares {
    #[serde(rename = "held")]
    pub grants: BTreeMap<String, UnitGrant>,
    /// Generation of the last entry by which one of its parts went down.
    #[serde(rename = "shrunk")]
    pub shrunk_generation: u64,
}

impl BrokerShares {
    /// What it had before still counts.
    pub fn awaits_release(&self) -> bool {
        self.grants.values().any(|held| held.reserved > held.granted)
    }

    pub fn granted_units(&self, bound: &str) -> u32 {
        self.grants.get(bound).map_or(0, |held| held.granted)
    }

    pub fn reserved_units(&self, bound: &str) -> u32 {
        self.grants.get(bound).map_or(0, |held| held.reserved)
    }

    fn largest(&self) -> Option<(&String, u32)> {
        let counted = self.grants.iter().map(|(bound, held)| (bound, held.reserved));
        counted.max_by_key(|(_, counted)| *counted).filter(|(_, counted)| *counted > 0)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuotaLedger {
    #[serde(rename = "bounds")]
    pub shared: Option<SharedQuotas>,
    /// One more with each entry that changed something.
    pub generation: u64,
    #[serde(rename = "seats")]
    pub brokers: BTreeMap<String, BrokerShares>,
}

impl QuotaLedger {
    /// Units of a bound that count as leased.
    pub fn reserved_units(&self, bound: &str) -> u64 {
        self.brokers.values().map(|seat| u64::from(seat.reserved_units(bound))).sum()
    }

    /// Units of a bound that may be given to somebody now.
    pub fn free_units(&self, bound: &str) -> u32 {
        let spare = self.shared.as_ref().map_or(0, SharedQuotas::spare_units);
        u64::from(spare).saturating_sub(self.reserved_units(bound)) as u32
    }

    /// Whether it would change anything, as things stand.
    pub fn check(&self, entry: &QuotaEntry) -> Result<(), QuotaError> {
        match entry {
            QuotaEntry::Configure(bounds) => {
                bounds.check()?;
                if self.shared.as_ref() == Some(bounds) {
                    return Err(QuotaError::AlreadyConfigured);
                }
                match self.brokers.values().find_map(BrokerShares::largest) {
                    Some((bound, units)) => Err(QuotaError::StillLeased { bound: bound.clone(), units }),
                    None => Ok(()),
                }
            }
            QuotaEntry::AddBroker { broker } => {
                let brokers = self.shared.as_ref().ok_or(QuotaError::NotConfigured)?.max_brokers;
                if self.brokers.contains_key(broker) {
                    return Err(QuotaError::BrokerExists(broker.clone()));
                }
                if self.brokers.len() >= brokers as usize {
                    return Err(QuotaError::TooManyBrokers { broker: broker.clone(), brokers });
                }
                Ok(())
            }
            QuotaEntry::RemoveBroker { broker } => match self.seat(broker)?.largest() {
                Some((bound, units)) => {
                    Err(QuotaError::BrokerHoldsUnits { broker: broker.clone(), bound: bound.clone(), units })
                }
                None => Ok(()),
            },
            QuotaEntry::SetShares { parts } => self.check_parts(parts),
            QuotaEntry::Release { broker, generation } => {
                let seat = self.seat(broker)?;
                if !seat.awaits_release() || seat.shrunk_generation != *generation {
                    return Err(QuotaError::NotAwaited { broker: broker.clone(), generation: *generation });
                }
                Ok(())
            }
        }
    }

    fn seat(&self, broker: &str) -> Result<&BrokerShares, QuotaError> {
        self.brokers.get(broker).ok_or_else(|| QuotaError::UnknownBroker(broker.to_string()))
    }

    /// Whatever is asked for: each part counts at the greatest that its broker may act on, and all of them have to fit.
    fn check_parts(&self, parts: &[QuotaShare]) -> Result<(), QuotaError> {
        let bounds = self.shared.as_ref().ok_or(QuotaError::NotConfigured)?;
        let mut changes = false;
        let mut after: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for QuotaShare { broker, quota: bound, units } in parts {
            let seat = self.seat(broker)?;
            if !bounds.names.contains(bound) {
                return Err(QuotaError::UnknownQuota(bound.clone()));
            }
            changes |= seat.granted_units(bound) != *units;
            let counted = after.entry((bound, broker)).or_insert(seat.reserved_units(bound));
            *counted = (*counted).max(*units);
        }
        if !changes {
            return Err(QuotaError::NoChange);
        }
        for bound in &bounds.names {
            let named = after.range((bound.as_str(), "")..).take_while(|((name, _), _)| *name == bound);
            let more = named
                .map(|((_, broker), units)| u64::from(units - self.brokers[*broker].reserved_units(bound)));
            let (units, spare) = (self.reserved_units(bound) + more.sum::<u64>(), bounds.spare_units());
            if units > u64::from(spare) {
                return Err(QuotaError::ExceedsTotal { bound: bound.clone(), units, spare });
            }
        }
        Ok(())
    }

    pub fn apply(&mut self, entry: &QuotaEntry) -> Result<(), QuotaError> {
        self.check(entry)?;
        self.generation += 1;
        match entry {
            QuotaEntry::Configure(bounds) => {
                self.shared = Some(bounds.clone());
                // Nothing is leased. Who is there takes a seat again, of which there may be fewer now.
                self.brokers.clear();
            }
            QuotaEntry::AddBroker { broker } => {
                drop(self.brokers.insert(broker.clone(), BrokerShares::default()))
            }
            QuotaEntry::RemoveBroker { broker } => drop(self.brokers.remove(broker)),
            QuotaEntry::SetShares { parts } => {
                for QuotaShare { broker, quota: bound, units } in parts {
                    let Some(seat) = self.brokers.get_mut(broker) else { continue };
                    let held = seat.grants.entry(bound.clone()).or_default();
                    if *units < held.granted {
                        seat.shrunk_generation = self.generation;
                    }
                    (held.granted, held.reserved) = (*units, held.reserved.max(*units));
                }
            }
            QuotaEntry::Release { broker, .. } => {
                let held = self.brokers.get_mut(broker).into_iter().flat_map(|seat| seat.grants.values_mut());
                held.for_each(|held| held.reserved = held.granted);
            }
        }
        Ok(())
    }

    /// What a broker hears; nothing while nothing is shared.
    pub fn allocation_for(&self, broker: &str) -> Option<Allocation> {
        let bounds = self.shared.as_ref()?;
        let seat = self.brokers.get(broker);
        let parts = seat.into_iter().flat_map(|seat| &seat.grants);
        Some(Allocation {
            generation: self.generation,
            floor_units: bounds.floor_units,
            admitted: seat.is_some() || self.brokers.len() < bounds.max_brokers as usize,
            shrunk_generation: seat.map_or(0, |seat| seat.shrunk_generation),
            leased_units: parts
                .filter(|(_, held)| held.granted > 0)
                .map(|(name, held)| (name.clone(), held.granted))
                .collect(),
        })
    }
}
