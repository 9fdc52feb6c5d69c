//! What was spent of the retry budget and of slow-start capacity before a restart.
//!
//! The journal gets a record when a broker starts, and one with everything spent at its graceful shutdown. After a crash
//! the second is missing, and a record written some moments before would not tell of the last ones. So everything that
//! could have been spent counts as spent, until it has left every window.

use dunepond_routing::{AdmissionRecord, NodeId, SlowStartRecord, SpentBudgets};
use serde::{Deserialize, Serialize};

use crate::learned_state::NodeIdentity;
use crate::{DecodeError, Timestamp, decode, encode, is_duration};

/// A record of the budget journal. Ages are seconds before `at`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BudgetRecord {
    /// A broker has started.
    BrokerStarted {
        /// When.
        at: Timestamp,
    },
    /// It has shut down gracefully.
    BrokerStopped {
        /// When.
        at: Timestamp,
        /// Ages of retries and hedged requests.
        retries: Vec<f64>,
        /// Age of each batch of admitted requests, and their number.
        admissions: Vec<AdmissionRecord>,
        /// Node's name, its start in Unix seconds, and the ages of what it was sent while warming up.
        slow_start_sends: Vec<(String, f64, Vec<f64>)>,
    },
}

/// What a starting broker is charged with.
#[derive(Clone, Debug, PartialEq)]
pub enum OutstandingCharges {
    /// Not known: everything that could be spent counts as spent just now.
    Unknown,
    /// Exactly this; nothing where no broker was here before.
    Known(SpentBudgets),
}

impl BudgetRecord {
    /// The record of a graceful shutdown. Nodes that are not in `listed` are left out.
    pub fn stopped(at: Timestamp, listed: &[NodeIdentity], spent: &SpentBudgets) -> Self {
        let identity_of = |node: NodeId| listed.iter().find(|identity| identity.node == node);
        let slow_start_sends = spent.slow_start_sends.iter().filter_map(|record| {
            let identity = identity_of(record.node)?;
            Some((identity.name.clone(), identity.started_at, record.sent_ago.clone()))
        });
        Self::BrokerStopped {
            at,
            retries: spent.retries.clone(),
            admissions: spent.admissions.clone(),
            slow_start_sends: slow_start_sends.collect(),
        }
    }

    /// Encodes a journal record.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a journal record. Ages that are negative or not finite are refused.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let record: Self = decode(bytes)?;
        if record.is_valid() { Ok(record) } else { Err(DecodeError("a time out of bounds".to_string())) }
    }

    fn is_valid(&self) -> bool {
        let all_durations = |ages: &[f64]| ages.iter().all(|age| is_duration(*age));
        match self {
            Self::BrokerStarted { at } => at.is_valid(),
            Self::BrokerStopped { at, retries, admissions, slow_start_sends } => {
                at.is_valid()
                    && all_durations(retries)
                    && admissions.iter().all(|record| is_duration(record.ago) && is_duration(record.count))
                    && slow_start_sends
                        .iter()
                        .all(|(_, started_at, ages)| is_duration(*started_at) && all_durations(ages))
            }
        }
    }
}

/// What a starting broker is charged with, by the records of its predecessors. `complete`: whether every record could be
/// read; if not, the last one may be missing.
pub fn outstanding_charges(
    records: &[BudgetRecord],
    complete: bool,
    now: &Timestamp,
    listed: &[NodeIdentity],
) -> OutstandingCharges {
    if !complete {
        return OutstandingCharges::Unknown;
    }
    let (at, retries, admissions, slow_start_sends) = match records.last() {
        // No broker has used this directory before; one that ran without a directory kept no budget across restarts.
        None => return OutstandingCharges::Known(SpentBudgets::default()),
        Some(BudgetRecord::BrokerStarted { .. }) => return OutstandingCharges::Unknown,
        Some(BudgetRecord::BrokerStopped { at, retries, admissions, slow_start_sends }) => {
            (at, retries, admissions, slow_start_sends)
        }
    };
    let Some(elapsed) = now.seconds_since(at) else { return OutstandingCharges::Unknown };
    let aged = |ages: &[f64]| ages.iter().map(|age| age + elapsed).collect::<Vec<_>>();
    let slow_start_sends = slow_start_sends.iter().filter_map(|(name, started_at, ages)| {
        // A node that was restarted since is another process, with its whole capacity.
        let is_same_process =
            |identity: &&NodeIdentity| identity.name == *name && identity.started_at <= *started_at;
        let node = listed.iter().find(is_same_process)?.node;
        Some(SlowStartRecord { node, sent_ago: aged(ages) })
    });
    OutstandingCharges::Known(SpentBudgets {
        retries: aged(retries),
        admissions: admissions
            .iter()
            .map(|record| AdmissionRecord { ago: record.ago + elapsed, ..*record })
            .collect(),
        slow_start_sends: slow_start_sends.collect(),
    })
}
