//! The audit log's records. Auditors read their JSON names, in files of earlier builds too.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// One line of the audit log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Seconds on the monotonic clock.
    pub at: f64,
    /// Name of the broker.
    #[serde(rename = "brk")]
    pub broker: String,
    /// Which of the broker's runs wrote it.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// What was done.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// What a broker did, as far as an auditor judges it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "lowercase")]
pub enum AuditEvent {
    /// What the broker may act on from now on; recorded again with each lease.
    Phase {
        /// The phase.
        phase: AuditPhase,
        /// Lowest number of the versions that apply, 0 if none does.
        #[serde(rename = "from")]
        first_version: u64,
        /// Highest number of the versions that apply, 0 if none does.
        #[serde(rename = "to")]
        last_version: u64,
        /// In seconds on the monotonic clock.
        #[serde(rename = "until")]
        lease_expires_at: f64,
    },
    /// A part's frame was handed to its connection.
    #[serde(rename = "dispatch")]
    AttemptSent {
        /// Id of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// Segment of the part.
        #[serde(rename = "seg")]
        segment_id: u64,
        /// Node that it was sent to.
        node: String,
        /// Number of the attempt within its part.
        #[serde(rename = "shot")]
        attempt: u64,
        /// The part must not run twice.
        #[serde(rename = "once")]
        non_idempotent: bool,
        /// Phase in which it was allowed.
        phase: AuditPhase,
        /// Versions that applied.
        #[serde(rename = "numbers")]
        versions: Vec<u64>,
    },
    /// A query was answered.
    Answer {
        /// Id of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// HTTP status.
        status: u16,
        /// The answer was marked complete.
        #[serde(rename = "whole")]
        complete: bool,
        /// Segments whose parts are in it.
        #[serde(rename = "segs")]
        segments: Vec<u64>,
        /// Epoch of the one map under which they cover all keys asked for.
        #[serde(rename = "epoch")]
        map_epoch: Option<u64>,
    },
    /// A query was rejected, or a part withheld, because of the agreed configuration.
    #[serde(rename = "refused")]
    Rejected {
        /// Id of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// Reason, for people.
        why: String,
    },
    /// A settlement was applied.
    #[serde(rename = "settle")]
    Settled {
        /// `FILL@BROKER`.
        id: String,
        /// Partner whose debt shrank.
        debtor: String,
        /// Partner to whom it owes less.
        creditor: String,
        /// Amount that was paid off.
        bytes: u64,
        /// Number of the version that the fill was for.
        number: u64,
    },
    /// A fill changed its state.
    Fill {
        /// `VERSION/SEGMENT/NODE`, with `+INCARNATION` of the node for fills of a broker's own.
        id: String,
        /// Segment to be filled.
        segment: u64,
        /// Node to be filled.
        #[serde(rename = "holder")]
        node: String,
        /// Node that it is filled from.
        source: String,
        /// Bytes to be copied.
        bytes: u64,
        /// `begun`, `done` or `failed`.
        state: String,
    },
    /// A version was proposed.
    Proposed {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: String,
    },
    /// A version is in force.
    Confirmed {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: String,
    },
    /// A proposed version was given up.
    Withdrawn {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: String,
    },
    /// What the broker may use of shared quotas, in units (millionths of the whole): from this record on the floor and, until
    /// the lease ends, the leased parts. Nothing before `usable_from`, when what an earlier run used has left every window,
    /// nor where it is not `admitted`. Recorded again with each lease.
    #[serde(rename = "share")]
    QuotaShare {
        /// Generation of the agreed allocation.
        generation: u64,
        /// The allocation counts this broker.
        #[serde(rename = "counted")]
        admitted: bool,
        /// Units that need no lease.
        #[serde(rename = "floor")]
        floor_units: u32,
        /// Leased units by quota.
        #[serde(rename = "parts")]
        leased_units: BTreeMap<String, u32>,
        /// When use may begin, in seconds on the monotonic clock.
        #[serde(rename = "from")]
        usable_from: f64,
        /// In seconds on the monotonic clock.
        #[serde(rename = "until")]
        lease_expires_at: f64,
        /// Seconds over which use is counted.
        #[serde(rename = "window")]
        window_seconds: f64,
    },
    /// Records were dropped, as the queue to the disk was full.
    #[serde(rename = "lost")]
    RecordsLost {
        /// Records dropped since the last such event.
        count: u64,
    },
}

/// A phase of the agreed configuration, as the audit log names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AuditPhase {
    /// Neither a lease nor a version is known.
    #[serde(rename = "none")]
    Unconfigured,
    /// The lease is valid, and one version applies.
    #[serde(rename = "alone")]
    Active,
    /// The lease is valid, and two versions apply: the stricter of both rules.
    #[serde(rename = "joint")]
    Joint,
    /// The lease has expired: the strictest of all rules that are known applies.
    #[serde(rename = "cut")]
    LeaseExpired,
}

/// The name in the program's log and counters, which operators and tests search for.
impl fmt::Display for AuditPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unconfigured => "None",
            Self::Active => "Alone",
            Self::Joint => "Joint",
            Self::LeaseExpired => "Cut",
        })
    }
}
