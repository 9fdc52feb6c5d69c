//! Records of the audit log. The names of their JSON fields must not change, as auditors also read files that earlier
//! builds wrote.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// One line of the audit log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// When the event occurred, in seconds on the monotonic clock.
    pub at: f64,
    /// Name of the broker that wrote the record.
    #[serde(rename = "brk")]
    pub broker: String,
    /// Incarnation of the broker that wrote the record.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// The event that is recorded.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// An action of a broker that auditors check.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "lowercase")]
pub enum AuditEvent {
    /// From this record on, this phase of the configuration and these configuration versions apply. Recorded whenever
    /// the phase or the versions change, and with each lease.
    Phase {
        /// Phase of the configuration.
        phase: AuditPhase,
        /// Number of the oldest configuration version that applies; 0 if none applies.
        #[serde(rename = "from")]
        first_version: u64,
        /// Number of the newest configuration version that applies; 0 if none applies.
        #[serde(rename = "to")]
        last_version: u64,
        /// When the broker's lease expires, in seconds on the monotonic clock.
        #[serde(rename = "until")]
        lease_expires_at: f64,
    },
    /// An attempt at a part of a query was sent: its frame was passed to the connection to a node.
    #[serde(rename = "dispatch")]
    AttemptSent {
        /// Id of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// Id of the segment that the part of the query is for.
        #[serde(rename = "seg")]
        segment_id: u64,
        /// Name of the node that the attempt was sent to.
        node: String,
        /// Index of this attempt among the attempts at the part, counted from 0.
        #[serde(rename = "shot")]
        attempt: u64,
        /// Whether the part is non-idempotent, so that it must not run twice.
        #[serde(rename = "once")]
        non_idempotent: bool,
        /// Phase of the configuration: the stricter of the phase at the query's start and the phase when the attempt
        /// was allowed.
        phase: AuditPhase,
        /// Numbers of the configuration versions that applied at the query's start or when the attempt was allowed.
        #[serde(rename = "numbers")]
        versions: Vec<u64>,
    },
    /// A query was answered.
    Answer {
        /// Id of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// HTTP status of the answer.
        status: u16,
        /// Whether the answer was marked complete.
        #[serde(rename = "whole")]
        complete: bool,
        /// Ids of the segments whose parts are in the answer.
        #[serde(rename = "segs")]
        segments: Vec<u64>,
        /// Epoch of the shard map in which the answer's segments cover all keys of the query; `None` if the answer is
        /// not complete or there is no such map.
        #[serde(rename = "epoch")]
        map_epoch: Option<u64>,
    },
    /// A query was rejected, or a part of a query was withheld, because the active configuration forbids it.
    #[serde(rename = "refused")]
    Rejected {
        /// Id of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// Human-readable reason.
        why: String,
    },
    /// A settlement from the log was applied.
    #[serde(rename = "settle")]
    Settled {
        /// Id of the settlement, in the form `FILL@BROKER`.
        id: String,
        /// Name of the partner whose debt was reduced.
        debtor: String,
        /// Name of the partner to whom the debt was owed.
        creditor: String,
        /// Number of bytes by which the debt was reduced.
        bytes: u64,
        /// Number of the configuration version that the settled fill belongs to; 0 if the id names none.
        number: u64,
    },
    /// The state of a fill changed.
    Fill {
        /// Id of the fill, in the form `VERSION/SEGMENT/NODE`. Fills that a broker plans itself for a recently started
        /// node have the suffix `+INCARNATION`: the incarnation of the node.
        id: String,
        /// Id of the segment to be copied.
        segment: u64,
        /// Name of the node to be filled.
        #[serde(rename = "holder")]
        node: String,
        /// Name of the node to copy from.
        source: String,
        /// Number of bytes to be copied.
        bytes: u64,
        /// State of the current attempt at the fill: `begun`, `done` or `failed`.
        state: String,
    },
    /// A configuration version was proposed.
    Proposed {
        /// Number of the proposed configuration version.
        number: u64,
        /// Digest of the proposed configuration version.
        digest: String,
    },
    /// A configuration version became active.
    Confirmed {
        /// Number of the active configuration version.
        number: u64,
        /// Digest of the active configuration version.
        digest: String,
    },
    /// A proposed configuration version was withdrawn.
    Withdrawn {
        /// Number of the withdrawn configuration version.
        number: u64,
        /// Digest of the withdrawn configuration version.
        digest: String,
    },
    /// The units (millionths of a quota) of the shared quotas that the broker may use from this record on:
    /// `floor_units` of each quota and, until the lease expires, `leased_units` in addition. It may use nothing if it
    /// is not `admitted`, and nothing before `usable_from`: until then the window over which use is counted may still
    /// include units that earlier incarnations of the broker used. Recorded again with each lease.
    #[serde(rename = "share")]
    QuotaShare {
        /// Generation of the quota allocation in the replicated log; 0 if the log has no allocation.
        generation: u64,
        /// Whether the quota allocation includes this broker.
        #[serde(rename = "counted")]
        admitted: bool,
        /// Units of each quota that the broker may use without a lease.
        #[serde(rename = "floor")]
        floor_units: u32,
        /// Units that the broker may use until its lease expires, by quota.
        #[serde(rename = "parts")]
        leased_units: BTreeMap<String, u32>,
        /// When the broker may start to use the quotas, in seconds on the monotonic clock.
        #[serde(rename = "from")]
        usable_from: f64,
        /// When the broker's lease expires, in seconds on the monotonic clock.
        #[serde(rename = "until")]
        lease_expires_at: f64,
        /// Length of the window over which use is counted, in seconds.
        #[serde(rename = "window")]
        window_seconds: f64,
    },
    /// Records were lost because the writer's queue was full or writing to the file failed.
    #[serde(rename = "lost")]
    RecordsLost {
        /// Number of records lost since the previous `RecordsLost` event.
        count: u64,
    },
}

/// The phase of a broker's configuration, as recorded in the audit log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AuditPhase {
    /// The broker has no valid lease and knows no configuration version.
    #[serde(rename = "none")]
    Unconfigured,
    /// The lease is valid. One configuration version applies to the broker, or none if the fleet has none yet.
    #[serde(rename = "alone")]
    Active,
    /// The lease is valid, and a configuration version is being replaced by a new one: of each rule, the stricter value
    /// of the two versions applies.
    #[serde(rename = "joint")]
    Joint,
    /// The lease has expired: the strictest rules of all known configuration versions apply.
    #[serde(rename = "cut")]
    LeaseExpired,
}

/// Writes the phase's name in log lines and counters. Operators and tests search for these names.
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
