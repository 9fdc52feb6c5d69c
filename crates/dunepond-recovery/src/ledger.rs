//! What was spent of the budget of further dispatches and of cold nodes' room, over a restart.
//!
//! A record says that a broker begins; one more, at its orderly end, what it had spent and when. After a crash there is
//! no such record, and what was spent is not known: a record a moment before the crash would not tell of that moment,
//! and what was spent then was measured against scans that nobody remembers. So all that could have been spent counts
//! as spent, until nothing of it stands in any window. A ledger that lags behind would have to say the same.

use dunepond_routing::{Ledger, NodeId};
use serde::{Deserialize, Serialize};

use crate::beliefs::Identity;
use crate::{Stamp, Unread, decode, encode};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A broker has begun.
    Begun { at: Stamp },
    /// It has ended in order, having spent this, in seconds before.
    Ended {
        at: Stamp,
        further: Vec<f64>,
        taken: Vec<(f64, f64)>,
        /// By name and start of the node.
        cold: Vec<(String, f64, Vec<f64>)>,
    },
}

/// What a broker that begins starts with.
#[derive(Clone, Debug, PartialEq)]
pub enum Owed {
    /// Whatever could be spent was spent just now.
    All,
    /// Exactly this; nothing where nobody was here before.
    Exactly(Ledger),
}

impl Entry {
    pub fn ended(at: Stamp, known: &[Identity], ledger: &Ledger) -> Self {
        let name = |node: NodeId| known.iter().find(|identity| identity.node == node);
        let cold = ledger.cold.iter().filter_map(|(node, times)| {
            let identity = name(*node)?;
            Some((identity.name.clone(), identity.started, times.clone()))
        });
        let (further, taken) = (ledger.further.clone(), ledger.taken.clone());
        Self::Ended { at, further, taken, cold: cold.collect() }
    }

    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, Unread> {
        let entry: Self = decode(bytes)?;
        let time = |t: f64| t.is_finite() && t >= 0.0;
        let good = match &entry {
            Self::Begun { at } => at.is_time(),
            Self::Ended { at, further, taken, cold } => {
                at.is_time()
                    && further.iter().all(|t| time(*t))
                    && taken.iter().all(|(t, count)| time(*t) && time(*count))
                    && cold.iter().all(|(_, started, times)| time(*started) && times.iter().all(|t| time(*t)))
            }
        };
        if good { Ok(entry) } else { Err(Unread("a time out of bounds".to_string())) }
    }
}

/// What is owed after these records, whole or not. `whole` says that nothing behind them had to be left away.
pub fn owed(records: &[Entry], whole: bool, now: &Stamp, present: &[Identity]) -> Owed {
    let (at, further, taken, cold) = match records.last() {
        // A new folder says nothing of who ran here without one; but then nobody promised anything either.
        None if whole => return Owed::Exactly(Ledger::default()),
        Some(Entry::Ended { at, further, taken, cold }) if whole => (at, further, taken, cold),
        _ => return Owed::All,
    };
    let Some(elapsed) = now.since(at) else { return Owed::All };
    let aged = |times: &[f64]| times.iter().map(|ago| ago + elapsed).collect::<Vec<_>>();
    let cold = cold.iter().filter_map(|(name, started, times)| {
        // Started again it is another process, with all of its room.
        let same = |identity: &&Identity| identity.name == *name && identity.started <= *started;
        Some((present.iter().find(same)?.node, aged(times)))
    });
    Owed::Exactly(Ledger {
        further: aged(further),
        taken: taken.iter().map(|(ago, count)| (ago + elapsed, *count)).collect(),
        cold: cold.collect(),
    })
}
