//! Bandwidth debts between partners and the fills that settle them. Pure: no socket, file, clock or thread; `now` in
//! seconds on a steady clock is handed in, amounts are bytes, rates bytes a second, chance comes from a seed.
//!
//! [`Counts`] is what brokers saw, merged in any order; [`Tally`] one broker's hand on it, over restarts, [`Telling`]
//! what of it a peer is told. [`Ledger`] is the
//! agreed part: shares and settlements, in the order of the agreed log. [`Book`] puts both together as net debts.
//! [`Planner`] says from which source a holder is filled, [`Filling`] follows one fill, [`Shares`] is what this broker
//! may promise while it is cut off.

mod begun;
mod book;
mod counts;
mod error;
mod fair;
mod fill;
mod ledger;
mod needs;
mod plan;
mod round;
mod shares;
mod telling;

use serde::{Deserialize, Serialize};

pub use begun::Begun;
pub use book::{Book, Debt, Dispute, Terms};
pub use counts::{Counts, Sides, Tally};
pub use error::DebtError;
pub use fair::{jain, max_min, rates};
pub use fill::{Event, Fill, Filling, Order, Patience, State};
pub use ledger::{Agreed, Allot, Applied, Ledger, Release, Share};
pub use needs::{Cold, Held, Links, Need, Plan, Room, Rule, bound};
pub use plan::{Planner, plan};
pub use shares::{Shares, split};
pub use telling::{Telling, Word};

/// What one settlement takes off: an agreed entry, applied exactly once by the fill that paid it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Settlement {
    /// `FILL@BROKER`: the fill's id, and the broker from whose share it is taken; see [`Settlement::new`].
    pub id: String,
    /// Whose debt shrinks, towards whom, by how many bytes.
    pub debtor: String,
    pub creditor: String,
    pub bytes: u64,
    /// The fill that paid it: segment, holder filled, source taken.
    pub segment: u64,
    pub holder: String,
    pub source: String,
}

impl Settlement {
    /// For a fill that `by` carried out; `bytes` of it are taken off. The same fill has the same id at whichever
    /// broker and after whichever crash, so that it cannot settle twice.
    pub fn new(
        fill: &Fill,
        by: &str,
        debtor: &str,
        creditor: &str,
        bytes: u64,
    ) -> Result<Settlement, DebtError> {
        if by.is_empty() || by.contains('@') {
            return Err(DebtError::Name { name: by.to_string() });
        }
        Ok(Settlement {
            id: format!("{}@{by}", fill.id),
            debtor: debtor.to_string(),
            creditor: creditor.to_string(),
            bytes,
            segment: fill.segment,
            holder: fill.holder.clone(),
            source: fill.source.clone(),
        })
    }

    /// The fill that paid.
    pub fn fill(&self) -> &str {
        self.id.rsplit_once('@').map_or(&self.id, |(fill, _)| fill)
    }

    /// From whose share it is taken; empty where the id names nobody.
    pub fn by(&self) -> &str {
        self.id.rsplit_once('@').map_or("", |(_, by)| by)
    }

    /// The version for whose map the fill was done.
    pub fn version(&self) -> Option<u64> {
        self.id.split_once('/')?.0.parse().ok()
    }
}
