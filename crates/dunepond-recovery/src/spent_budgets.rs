//! What a broker spent of its retry budget and of slow-start capacity before a restart.
//!
//! A broker appends one record to the budget journal when it starts, and one with everything spent when it shuts down
//! gracefully. After a crash, the second record is missing. Writing records periodically would not help, since the last
//! one would lack the spending just before the crash. After a crash, the restarted broker therefore assumes that
//! everything that could have been spent was spent, until such spending would have left every budget window.

use dunepond_routing::{ArrivalRecord, NodeId, SlowStartRecord, SpentBudgets};
use serde::{Deserialize, Serialize};

use crate::learned_state::NodeIdentity;
use crate::{DecodeError, Timestamp, decode, encode, is_duration};

/// A record of the budget journal. All ages are in seconds before the record's `at`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BudgetRecord {
    /// Written when a broker starts.
    BrokerStarted {
        /// When the broker started.
        at: Timestamp,
    },
    /// Written when a broker has shut down gracefully.
    BrokerStopped {
        /// When the broker shut down.
        at: Timestamp,
        /// Ages of the retries and hedged requests that were charged to the retry budget.
        retries: Vec<f64>,
        /// Age and size of each batch of queries and parts that arrived.
        #[serde(rename = "admissions")]
        arrivals: Vec<ArrivalRecord>,
        /// For each node in slow start: its name, the time in Unix seconds at which its process started, and the ages
        /// of the requests sent to it.
        slow_start_sends: Vec<(String, f64, Vec<f64>)>,
    },
}

/// What a starting broker counts as already spent by its predecessor.
#[derive(Clone, Debug, PartialEq)]
pub enum OutstandingCharges {
    /// The spending is not known: everything that could have been spent counts as spent just now.
    Unknown,
    /// The spending is known exactly. It is empty if the budget journal has no records, that is, if no broker has used the
    /// journal's directory before.
    Known(SpentBudgets),
}

impl BudgetRecord {
    /// Creates the record of a graceful shutdown. Requests to nodes that are not in the endpoint list `listed` are left
    /// out.
    pub fn stopped(at: Timestamp, listed: &[NodeIdentity], spent: &SpentBudgets) -> Self {
        let identity_of = |node: NodeId| listed.iter().find(|identity| identity.node == node);
        let slow_start_sends = spent.slow_start_sends.iter().filter_map(|record| {
            let identity = identity_of(record.node)?;
            Some((identity.name.clone(), identity.started_at, record.sent_ago.clone()))
        });
        Self::BrokerStopped {
            at,
            retries: spent.retries.clone(),
            arrivals: spent.arrivals.clone(),
            slow_start_sends: slow_start_sends.collect(),
        }
    }

    /// Encodes this budget record as bytes, which the budget journal stores as the payload of one of its records.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a budget record from the payload of a record in the budget journal. Rejects times and counts that are
    /// negative or not finite.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let record: Self = decode(bytes)?;
        if record.is_valid() {
            Ok(record)
        } else {
            Err(DecodeError("a time or count is negative or not finite".to_string()))
        }
    }

    fn is_valid(&self) -> bool {
        let all_durations = |ages: &[f64]| ages.iter().all(|age| is_duration(*age));
        match self {
            Self::BrokerStarted { at } => at.is_valid(),
            Self::BrokerStopped { at, retries, arrivals, slow_start_sends } => {
                at.is_valid()
                    && all_durations(retries)
                    && arrivals.iter().all(|record| is_duration(record.ago) && is_duration(record.count))
                    && slow_start_sends
                        .iter()
                        .all(|(_, started_at, ages)| is_duration(*started_at) && all_durations(ages))
            }
        }
    }
}

/// Returns what a starting broker counts as already spent, according to the `records` of its predecessors. `complete`
/// states whether every record could be read; if not, the last record may be missing, so the spending is unknown.
pub fn outstanding_charges(
    records: &[BudgetRecord],
    complete: bool,
    now: &Timestamp,
    listed: &[NodeIdentity],
) -> OutstandingCharges {
    if !complete {
        return OutstandingCharges::Unknown;
    }
    let (at, retries, arrivals, slow_start_sends) = match records.last() {
        // No broker has used the budget journal's directory before, so nothing is charged. A broker that ran without a
        // directory did not keep its spent budgets across restarts either.
        None => return OutstandingCharges::Known(SpentBudgets::default()),
        Some(BudgetRecord::BrokerStarted { .. }) => return OutstandingCharges::Unknown,
        Some(BudgetRecord::BrokerStopped { at, retries, arrivals, slow_start_sends }) => {
            (at, retries, arrivals, slow_start_sends)
        }
    };
    let Some(elapsed) = now.seconds_since(at) else { return OutstandingCharges::Unknown };
    let aged = |ages: &[f64]| ages.iter().map(|age| age + elapsed).collect::<Vec<_>>();
    let slow_start_sends = slow_start_sends.iter().filter_map(|(name, started_at, ages)| {
        // A node that was restarted after the record was written is another process, whose slow-start capacity is
        // unspent.
        let is_same_process =
            |identity: &&NodeIdentity| identity.name == *name && identity.started_at <= *started_at;
        let node = listed.iter().find(is_same_process)?.node;
        Some(SlowStartRecord { node, sent_ago: aged(ages) })
    });
    OutstandingCharges::Known(SpentBudgets {
        retries: aged(retries),
        arrivals: arrivals
            .iter()
            .map(|record| ArrivalRecord { ago: record.ago + elapsed, ..*record })
            .collect(),
        slow_start_sends: slow_start_sends.collect(),
    })
}
