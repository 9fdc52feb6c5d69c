//! Lease requests and their replies. The serialized names are part of the protocol between brokers.

use std::sync::Arc;

use dunepond_quota::{Allocation, DemandReport};
use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, ReplicatedState, RolloutStep, SettlementUpdate, VoterInfo, codec};

/// A broker's request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Sequence number of the request since the broker's process started.
    pub id: u64,
    /// Name of the broker.
    pub broker: String,
    /// When the request was sent, in seconds on the broker's clock. The reply repeats this time, but the broker relies
    /// on its own record of it instead.
    #[serde(rename = "sent")]
    pub sent_at: f64,
    /// Number and digest of each configuration version that the broker has, so that the reply can omit its document.
    #[serde(rename = "knows")]
    pub known_versions: Vec<(u64, String)>,
    /// Number of the proposed version, if the broker has adopted it and therefore no longer acts only on the active
    /// version.
    #[serde(rename = "joint")]
    pub joint_version: Option<u64>,
    /// Random number that the broker drew when its process started.
    #[serde(rename = "incarnation")]
    pub run_id: u64,
    /// Number of entries of the [`crate::SettlementLog`] that the broker already has.
    #[serde(rename = "debts")]
    pub known_settlements: u64,
    /// The broker's demand for fleet-wide quotas; `None` if its configuration file declares no shared quota.
    #[serde(rename = "limits")]
    pub demand: Option<DemandReport>,
    /// Whether a follower has already forwarded the request to the leader; a request is forwarded only once.
    #[serde(rename = "passed")]
    pub forwarded: bool,
    /// Whether the broker's nodes are overloaded; rebalancing pauses if many brokers report an overload.
    #[serde(rename = "pressed")]
    pub overloaded: bool,
}

/// The reply to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Id of the request.
    pub id: u64,
    /// The `run_id` of the request.
    #[serde(rename = "incarnation")]
    pub run_id: u64,
    /// The `sent_at` of the request.
    #[serde(rename = "sent")]
    pub sent_at: f64,
    /// The outcome of the request.
    pub answer: LeaseAnswer,
}

/// The outcome of a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// A lease is granted. The state in the grant contains every entry that was committed when the request arrived.
    Granted(Box<LeaseGrant>),
    /// The receiver is no longer a voter. The value lists the voters that may be asked instead, according to the
    /// receiver's last known state.
    #[serde(rename = "NoVoter")]
    NotAVoter(Vec<VoterInfo>),
    /// The receiver knows no leader, stopped leading while the request was pending, or cannot grant leases at present.
    NoLeader,
}

/// A granted lease, with the replicated state of a leader whose leadership a quorum confirmed after the request
/// arrived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Duration of the lease in seconds, counted on the broker's clock from when the request was sent.
    #[serde(rename = "lease")]
    pub lease_seconds: f64,
    /// Names of parts of this reply that format 1 did not have and that a broker has to know before it may act on the
    /// reply; none exist yet.
    #[serde(default)]
    #[serde(rename = "must")]
    pub required_parts: Vec<String>,
    /// Random id drawn when the fleet was founded; 0 if the fleet was founded by a build that drew none.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    /// Epoch of the fleet: 1 at its founding, increased by each recovery without a majority; 0 if it was founded by a
    /// build without epochs.
    #[serde(default)]
    pub epoch: u64,
    /// Index in the log up to which the state in this grant was applied.
    pub index: u64,
    /// Number and digest of the active version, if there is one.
    #[serde(rename = "in_force")]
    pub active: Option<(u64, String)>,
    /// The proposed version, if there is one.
    #[serde(rename = "open")]
    pub proposed: Option<ProposedVersion>,
    /// Highest configuration version number ever proposed.
    #[serde(rename = "highest")]
    pub highest_number: u64,
    /// Whether configuration versions may have a shard map.
    #[serde(rename = "maps")]
    pub maps_enabled: bool,
    /// The voters of the list in force.
    pub voters: Vec<VoterInfo>,
    /// Number of the list of voters in force.
    #[serde(rename = "voting")]
    pub voters_number: u64,
    /// Documents of the active and the proposed version, except those that the request lists as known.
    pub documents: Vec<Arc<ConfigVersion>>,
    /// Replicas of the active shard map whose fills are complete, as segment id and node name.
    #[serde(rename = "done")]
    pub completed_fills: Vec<(u64, String)>,
    /// Entries of the [`crate::SettlementLog`] that the broker lacks, or a part of them, since each reply contains a
    /// limited number.
    #[serde(rename = "debts")]
    pub settlements: SettlementUpdate,
    /// The broker's shares of fleet-wide quotas, if it has any.
    #[serde(rename = "limits")]
    pub quota: Option<Allocation>,
    /// Name of the leader that granted the lease.
    pub leader: String,
    /// Random number that the leader drew when its process started.
    #[serde(rename = "run")]
    pub leader_run_id: u64,
    /// When the request arrived, in seconds on the leader's clock.
    #[serde(rename = "heard")]
    pub received_at: f64,
}

/// The proposed version, as a lease grant describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposedVersion {
    /// Number of the version.
    pub number: u64,
    /// Digest of the version.
    pub digest: String,
    /// Progress of the version's rollout.
    pub step: RolloutStep,
}

impl LeaseRequest {
    /// Encodes the request for the transport to another broker.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a request; `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        codec::decode(bytes)
    }

    fn knows(&self, version: &ConfigVersion, digest: &str) -> bool {
        self.known_versions.iter().any(|(number, known)| *number == version.number && known == digest)
    }
}

impl LeaseReply {
    pub(crate) fn to(request: &LeaseRequest, answer: LeaseAnswer) -> Self {
        Self { id: request.id, run_id: request.run_id, sent_at: request.sent_at, answer }
    }

    /// Encodes the reply for the transport to another broker.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes a reply; `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        codec::decode(bytes)
    }
}

/// The leader that grants a lease, and when it received the request, in seconds on its clock.
pub(crate) struct GrantOrigin {
    pub leader: String,
    pub leader_run_id: u64,
    pub received_at: f64,
}

impl LeaseGrant {
    pub(crate) fn new(state: &ReplicatedState, request: &LeaseRequest, origin: GrantOrigin) -> Self {
        let active = state.active.iter().map(|(version, digest)| (version, digest));
        let proposed = state.proposed.iter().map(|proposed| (&proposed.version, &proposed.digest));
        let unknown = active.chain(proposed).filter(|(version, digest)| !request.knows(version, digest));
        Self {
            lease_seconds: state.config.lease_seconds,
            required_parts: Vec::new(),
            fleet_id: state.fleet_id,
            epoch: state.epoch,
            index: state.index,
            active: state.active.as_ref().map(|(version, digest)| (version.number, digest.clone())),
            proposed: state.proposed.as_ref().map(|proposed| ProposedVersion {
                number: proposed.version.number,
                digest: proposed.digest.clone(),
                step: proposed.step,
            }),
            highest_number: state.highest_number,
            maps_enabled: state.config.maps_enabled,
            voters: state.voters.voters.clone(),
            voters_number: state.voters.number,
            documents: unknown.map(|(version, _)| version.clone()).collect(),
            completed_fills: state.completed_fills.iter().cloned().collect(),
            settlements: state.settlements.updates_after(request.known_settlements),
            quota: state.quota.allocation_for(&request.broker),
            leader: origin.leader,
            leader_run_id: origin.leader_run_id,
            received_at: origin.received_at,
        }
    }
}
