//! Who has how much of the spare units, as the agreed log has it. Each voter applies the same entries and judges each for
//! itself; no clock is read here, so that all come to the same.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Agreed, Bounds, LimitError, Part, Told};

/// A broker's units of one bound, beyond its floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// What it is told.
    #[serde(rename = "now")]
    pub now: u32,
    /// What it may still act on: at least `now`.
    #[serde(rename = "counted")]
    pub counted: u32,
}

/// A broker that may have a part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seat {
    #[serde(rename = "held")]
    pub held: BTreeMap<String, Held>,
    /// Generation of the last entry by which one of its parts went down.
    #[serde(rename = "shrunk")]
    pub shrunk: u64,
}

impl Seat {
    /// What it had before still counts.
    pub fn waits(&self) -> bool {
        self.held.values().any(|held| held.counted > held.now)
    }

    pub fn now(&self, bound: &str) -> u32 {
        self.held.get(bound).map_or(0, |held| held.now)
    }

    pub fn counted(&self, bound: &str) -> u32 {
        self.held.get(bound).map_or(0, |held| held.counted)
    }

    fn largest(&self) -> Option<(&String, u32)> {
        let counted = self.held.iter().map(|(bound, held)| (bound, held.counted));
        counted.max_by_key(|(_, counted)| *counted).filter(|(_, counted)| *counted > 0)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    #[serde(rename = "bounds")]
    pub bounds: Option<Bounds>,
    /// One more with each entry that changed something.
    pub generation: u64,
    #[serde(rename = "seats")]
    pub seats: BTreeMap<String, Seat>,
}

impl Ledger {
    /// Units of a bound that count as leased.
    pub fn counted(&self, bound: &str) -> u64 {
        self.seats.values().map(|seat| u64::from(seat.counted(bound))).sum()
    }

    /// Units of a bound that may be given to somebody now.
    pub fn free(&self, bound: &str) -> u32 {
        let spare = self.bounds.as_ref().map_or(0, Bounds::spare);
        u64::from(spare).saturating_sub(self.counted(bound)) as u32
    }

    /// Whether it would change anything, as things stand.
    pub fn check(&self, entry: &Agreed) -> Result<(), LimitError> {
        match entry {
            Agreed::Bounds(bounds) => {
                bounds.check()?;
                if self.bounds.as_ref() == Some(bounds) {
                    return Err(LimitError::Same);
                }
                match self.seats.values().find_map(Seat::largest) {
                    Some((bound, units)) => Err(LimitError::Leased { bound: bound.clone(), units }),
                    None => Ok(()),
                }
            }
            Agreed::Seat { broker } => {
                let brokers = self.bounds.as_ref().ok_or(LimitError::NoBounds)?.brokers;
                if self.seats.contains_key(broker) {
                    return Err(LimitError::Seated(broker.clone()));
                }
                if self.seats.len() >= brokers as usize {
                    return Err(LimitError::Full { broker: broker.clone(), brokers });
                }
                Ok(())
            }
            Agreed::Free { broker } => match self.seat(broker)?.largest() {
                Some((bound, units)) => {
                    Err(LimitError::Holds { broker: broker.clone(), bound: bound.clone(), units })
                }
                None => Ok(()),
            },
            Agreed::Parts { parts } => self.check_parts(parts),
            Agreed::Settled { broker, generation } => {
                let seat = self.seat(broker)?;
                if !seat.waits() || seat.shrunk != *generation {
                    return Err(LimitError::NotWaited { broker: broker.clone(), generation: *generation });
                }
                Ok(())
            }
        }
    }

    fn seat(&self, broker: &str) -> Result<&Seat, LimitError> {
        self.seats.get(broker).ok_or_else(|| LimitError::NoSeat(broker.to_string()))
    }

    /// Whatever is asked for: each part counts at the greatest that its broker may act on, and all of them have to fit.
    fn check_parts(&self, parts: &[Part]) -> Result<(), LimitError> {
        let bounds = self.bounds.as_ref().ok_or(LimitError::NoBounds)?;
        let mut changes = false;
        let mut after: BTreeMap<(&str, &str), u32> = BTreeMap::new();
        for Part { broker, bound, units } in parts {
            let seat = self.seat(broker)?;
            if !bounds.names.contains(bound) {
                return Err(LimitError::NoBound(bound.clone()));
            }
            changes |= seat.now(bound) != *units;
            let counted = after.entry((bound, broker)).or_insert(seat.counted(bound));
            *counted = (*counted).max(*units);
        }
        if !changes {
            return Err(LimitError::Nothing);
        }
        for bound in &bounds.names {
            let named = after.range((bound.as_str(), "")..).take_while(|((name, _), _)| *name == bound);
            let more =
                named.map(|((_, broker), units)| u64::from(units - self.seats[*broker].counted(bound)));
            let (units, spare) = (self.counted(bound) + more.sum::<u64>(), bounds.spare());
            if units > u64::from(spare) {
                return Err(LimitError::PastWhole { bound: bound.clone(), units, spare });
            }
        }
        Ok(())
    }

    pub fn apply(&mut self, entry: &Agreed) -> Result<(), LimitError> {
        self.check(entry)?;
        self.generation += 1;
        match entry {
            Agreed::Bounds(bounds) => {
                self.bounds = Some(bounds.clone());
                // Nothing is leased. Who is there takes a seat again, of which there may be fewer now.
                self.seats.clear();
            }
            Agreed::Seat { broker } => drop(self.seats.insert(broker.clone(), Seat::default())),
            Agreed::Free { broker } => drop(self.seats.remove(broker)),
            Agreed::Parts { parts } => {
                for Part { broker, bound, units } in parts {
                    let Some(seat) = self.seats.get_mut(broker) else { continue };
                    let held = seat.held.entry(bound.clone()).or_default();
                    if *units < held.now {
                        seat.shrunk = self.generation;
                    }
                    (held.now, held.counted) = (*units, held.counted.max(*units));
                }
            }
            Agreed::Settled { broker, .. } => {
                let held = self.seats.get_mut(broker).into_iter().flat_map(|seat| seat.held.values_mut());
                held.for_each(|held| held.counted = held.now);
            }
        }
        Ok(())
    }

    /// What a broker hears; nothing while nothing is shared.
    pub fn told(&self, broker: &str) -> Option<Told> {
        let bounds = self.bounds.as_ref()?;
        let seat = self.seats.get(broker);
        let parts = seat.into_iter().flat_map(|seat| &seat.held);
        Some(Told {
            generation: self.generation,
            floor: bounds.floor,
            counted: seat.is_some() || self.seats.len() < bounds.brokers as usize,
            shrunk: seat.map_or(0, |seat| seat.shrunk),
            parts: parts
                .filter(|(_, held)| held.now > 0)
                .map(|(name, held)| (name.clone(), held.now))
                .collect(),
        })
    }
}
