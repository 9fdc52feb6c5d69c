//! What was spent of the budget of further dispatches and of cold nodes' room, over a restart.
//!
//! A record says that a broker begins; one more, at its orderly end, what it had spent and when. After a crash there is
//! no such record, and what was spent is not known: a record a moment before the crash would not tell of that moment,
//! and what was spent then was measured against scans that nobody remembers. So all that could have been spent counts
//! as spent, until nothing of it stands in any window. A ledger that lags behind would have to say the same.

use dunepond_routing::{NodeId, SpentBudgets};
use serde::{Deserialize, Serialize};

use crate::learned_state::NodeIdentity;
use crate::{DecodeError, Timestamp, decode, encode};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BudgetRecord {
    /// A broker has begun.
    BrokerStarted { at: Timestamp },
    /// It has ended in order, having spent this, in seconds before.
    BrokerStopped {
        at: Timestamp,
        further: Vec<f64>,
        taken: Vec<(f64, f64)>,
        /// By name and start of the node.
        cold: Vec<(String, f64, Vec<f64>)>,
    },
}

/// What a broker that begins starts with.
#[derive(Clone, Debug, PartialEq)]
pub enum OutstandingCharges {
    /// Whatever could be spent was spent just now.
    Unknown,
    /// Exactly this; nothing where nobody was here before.
    Known(SpentBudgets),
}

impl BudgetRecord {
    pub fn stopped(at: Timestamp, known: &[NodeIdentity], ledger: &SpentBudgets) -> Self {
        let name = |node: NodeId| known.iter().find(|identity| identity.node == node);
        let cold = ledger.slow_start_sends.iter().filter_map(|(node, times)| {
            let identity = name(*node)?;
            Some((identity.name.clone(), identity.started_at, times.clone()))
        });
        let (further, taken) = (ledger.retries.clone(), ledger.admissions.clone());
        Self::BrokerStopped { at, further, taken, cold: cold.collect() }
    }

    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let entry: Self = decode(bytes)?;
        let time = |t: f64| t.is_finite() && t >= 0.0;
        let good = match &entry {
            Self::BrokerStarted { at } => at.is_time(),
            Self::BrokerStopped { at, further, taken, cold } => {
                at.is_time()
                    && further.iter().all(|t| time(*t))
                    && taken.iter().all(|(t, count)| time(*t) && time(*count))
                    && cold.iter().all(|(_, started, times)| time(*started) && times.iter().all(|t| time(*t)))
            }
        };
        if good { Ok(entry) } else { Err(DecodeError("a time out of bounds".to_string())) }
    }
}

/// What is owed after these records, whole or not. `whole` says that nothing behind them had to be left away.
pub fn outstanding_charges(
    records: &[BudgetRecord],
    whole: bool,
    now: &Timestamp,
    present: &[NodeIdentity],
) -> OutstandingCharges {
    let (at, further, taken, cold) = match records.last() {
        // A new folder says nothing of who ran here without one; but then nobody promised anything either.
        None if whole => return OutstandingCharges::Known(SpentBudgets::default()),
        Some(BudgetRecord::BrokerStopped { at, further, taken, cold }) if whole => (at, further, taken, cold),
        _ => return OutstandingCharges::Unknown,
    };
    let Some(elapsed) = now.seconds_since(at) else { return OutstandingCharges::Unknown };
    let aged = |times: &[f64]| times.iter().map(|ago| ago + elapsed).collect::<Vec<_>>();
    let cold = cold.iter().filter_map(|(name, started, times)| {
        // Started again it is another process, with all of its room.
        let same = |identity: &&NodeIdentity| identity.name == *name && identity.started_at <= *started;
        Some((present.iter().find(same)?.node, aged(times)))
    });
    OutstandingCharges::Known(SpentBudgets {
        retries: aged(further),
        admissions: taken.iter().map(|(ago, count)| (ago + elapsed, *count)).collect(),
        slow_start_sends: cold.collect(),
    })
}
