//! Each broker's part of bounds that hold for the whole fleet: what all brokers together may send a cold node, spend on
//! further dispatches, take within a customer's quota. Pure: no clock, no socket, no chance.
//!
//! A bound is a whole of [`WHOLE`] units. Each broker that may exist has a floor of it that is its own for good, lease or
//! not; the rest is spare, and leased: a [`Ledger`], which is part of the agreed log, says who has how much of it. A part
//! that goes down counts at its old size until its broker has surely stopped acting on that ([`settled_from`]); only then may
//! another's go up. So the sum stays within the whole at each moment, over any window that a bound is counted by, whatever
//! is lost, cut off, stopped or started again. What holds and why is proved in `docs/notes/quota.md`.

mod error;
mod ledger;
mod need;
mod own;
mod plan;
mod waits;

pub use error::LimitError;
pub use ledger::{Held, Ledger, Seat};
pub use need::Need;
pub use own::Own;
pub use plan::{Heard, Planning, Rule, plan, targets};
pub use waits::{Run, Waits, settled_from};

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Units in the whole of each bound; sums of whole numbers are exact.
pub const WHOLE: u32 = 1_000_000;
/// Bounds of a fleet, and brokers that may share them.
pub const MOST_BOUNDS: usize = 256;
pub const MOST_BROKERS: u32 = 10_000;
/// Milliseconds.
pub const LONGEST_WINDOW: u64 = 3_600_000;

/// What is shared, and among how many; the same in each broker's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// Names, each once.
    pub names: Vec<String>,
    /// Brokers that may exist at once.
    #[serde(rename = "brokers")]
    pub brokers: u32,
    /// Units that each of them has without any lease.
    #[serde(rename = "floor")]
    pub floor: u32,
    /// Milliseconds: the longest span over which one of these bounds is counted.
    #[serde(rename = "window")]
    pub window: u64,
}

impl Bounds {
    /// `share`: of the whole, split evenly as floors.
    pub fn new(names: Vec<String>, brokers: u32, share: f64, window: u64) -> Result<Self, LimitError> {
        if !(share > 0.0 && share <= 1.0) {
            return Err(LimitError::Share(share));
        }
        let floor = (f64::from(WHOLE) * share) as u32 / brokers.max(1);
        let bounds = Self { names, brokers, floor, window };
        bounds.check()?;
        Ok(bounds)
    }

    pub fn check(&self) -> Result<(), LimitError> {
        if !(1..=MOST_BROKERS).contains(&self.brokers) {
            return Err(LimitError::Brokers { given: self.brokers, most: MOST_BROKERS });
        }
        if self.names.is_empty() || self.names.len() > MOST_BOUNDS {
            return Err(LimitError::Count { given: self.names.len(), most: MOST_BOUNDS });
        }
        if let Some(name) = self.names.iter().enumerate().find(|(at, name)| self.names[..*at].contains(name))
        {
            return Err(LimitError::Doubled(name.1.clone()));
        }
        if u64::from(self.floor) * u64::from(self.brokers) > u64::from(WHOLE) {
            return Err(LimitError::Floors { floor: self.floor, brokers: self.brokers });
        }
        if !(1..=LONGEST_WINDOW).contains(&self.window) {
            return Err(LimitError::Window { given: self.window, most: LONGEST_WINDOW });
        }
        Ok(())
    }

    /// Units that are no floor.
    pub fn spare(&self) -> u32 {
        WHOLE - self.floor * self.brokers
    }
}

/// What of limits stands in the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Agreed {
    /// What is shared from now on; only while nothing is leased, nor counted as if it were.
    #[serde(rename = "Bounds")]
    Bounds(Bounds),
    /// A broker is one of those that may have a part.
    #[serde(rename = "Seat")]
    Seat { broker: String },
    /// It is so no more; only while nothing is leased to it.
    #[serde(rename = "Free")]
    Free { broker: String },
    /// Units beyond the floor that brokers have from now on; what is not named stays.
    #[serde(rename = "Parts")]
    Parts { parts: Vec<Part> },
    /// The leader's word, by its clock: the broker has stopped acting on what it had before this generation.
    #[serde(rename = "Settled")]
    Settled { broker: String, generation: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    pub broker: String,
    #[serde(rename = "bound")]
    pub bound: String,
    pub units: u32,
}

/// What a broker hears with its lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    /// Of the ledger; it only grows.
    pub generation: u64,
    /// The agreed floor, units.
    #[serde(rename = "floor")]
    pub floor: u32,
    /// It is one of the brokers that may have a part, or one more may still come; if not, it has nothing, floor included.
    #[serde(rename = "counted")]
    pub counted: bool,
    /// Generation of the last entry by which a part of its own went down.
    #[serde(rename = "shrunk")]
    pub shrunk: u64,
    /// Units beyond the floor.
    #[serde(rename = "parts")]
    pub parts: BTreeMap<String, u32>,
}

/// What a broker says with each question for a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// [`Told::shrunk`] of what it acts on; 0 if it has heard of nothing in this run.
    #[serde(rename = "shrunk")]
    pub shrunk: u64,
    /// What its own file shares.
    #[serde(rename = "bounds")]
    pub bounds: Bounds,
    /// Units of each bound that it would use, floor included.
    #[serde(rename = "needs")]
    pub needs: BTreeMap<String, u32>,
}
