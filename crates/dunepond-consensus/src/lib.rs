//! Consensus on the versioned configuration of a fleet: which versions there are, and which broker may act on which
//! version until when. The crate does no I/O and reads no clock; its callers pass in messages, stored records and clock
//! readings.
//!
//! A [`Voter`] replicates log entries with the other voters through the `raft` library and grants leases. Every broker
//! runs a [`LeaseClient`], which requests leases and turns the replies into an [`ActiveConfig`]. The broker consults
//! the [`ActiveConfig`] before each action. Without leases two brokers could act on different versions at the same
//! time, and a non-idempotent request could be executed by two owners of the same segment.
//!
//! Times are seconds on each broker's own monotonic clock, which counts suspended time, unless stated otherwise. The
//! guarantees and their proofs are in `docs/notes/consensus.md`.
#![warn(missing_docs)]

mod active_config;
mod codec;
mod command;
mod config_version;
mod consensus_config;
mod decode;
mod effects;
mod error;
mod format1;
mod lease_client;
mod lease_messages;
mod log_entry;
mod log_storage;
mod persistence;
mod recovery_order;
mod rejection;
mod replicated_state;
mod routing_rules;
mod voter;
mod voter_change;

pub use active_config::{ActiveConfig, ConfigPhase, QuotaView, SegmentOwner};
pub use command::Command;
pub use config_version::{ConfigVersion, ExcludedNodes, Extension};
pub use consensus_config::{ConsensusConfig, ConsensusConfigError, MAX_ACTION_DELAY_SECONDS};
pub use effects::{Effects, EntryOutcome};
pub use error::ConsensusError;
pub use lease_client::{LeaseClient, PersistedRevision};
pub use lease_messages::{LeaseAnswer, LeaseGrant, LeaseReply, LeaseRequest, ProposedVersion};
pub use persistence::{PersistedState, StoredVoter, WriteBatch};
pub use recovery_order::{RECOVERY_CONFIRMATION, RecoveryError, RecoveryOrder};
pub use rejection::Rejection;
pub use replicated_state::{
    ChangeEnd, PastChange, ProposedChange, ReplicatedState, RolloutStep, SettlementLog, SettlementRecord,
    SettlementUpdate, StateChange, VoterList,
};
pub use routing_rules::{RoutingRules, strictest_rules};
pub use voter::Voter;
pub use voter_change::{FolderStart, VoterChange, VoterInfo};
