//! Requests and replies for leases. The serialised names are those of the protocol between brokers.

use std::sync::Arc;

use dunepond_quota::{Allocation, DemandReport};
use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, ReplicatedState, RolloutStep, SettlementUpdate, VoterInfo, codec};

/// A broker's request for a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Counts the requests of a run.
    pub id: u64,
    /// Name of the broker.
    pub broker: String,
    /// On the broker's clock. Echoed, but not trusted when it comes back.
    #[serde(rename = "sent")]
    pub sent_at: f64,
    /// Number and digest of the versions whose documents it has.
    #[serde(rename = "knows")]
    pub known_versions: Vec<(u64, String)>,
    /// It acts on the joint step towards this version.
    #[serde(rename = "joint")]
    pub joint_version: Option<u64>,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    /// How many settlement entries it has.
    #[serde(rename = "debts")]
    pub known_settlements: u64,
    /// Its demand for fleet-wide quotas; `None` where its file shares none.
    #[serde(rename = "limits")]
    pub demand: Option<DemandReport>,
    /// A follower has forwarded it to the leader; that happens once.
    #[serde(rename = "passed")]
    pub forwarded: bool,
    /// Its nodes are overloaded: rebalancing pauses where many brokers say so.
    #[serde(rename = "pressed")]
    pub overloaded: bool,
}

/// The reply to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Of the request.
    pub id: u64,
    /// Of the request.
    pub incarnation: u64,
    /// Of the request.
    #[serde(rename = "sent")]
    pub sent_at: f64,
    /// What became of the request.
    pub answer: LeaseAnswer,
}

/// What became of a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// A lease on the state that was committed when the request came.
    Granted(Box<LeaseGrant>),
    /// The receiver does not vote any more; whom to ask instead, as far as it knows.
    #[serde(rename = "NoVoter")]
    NotAVoter(Vec<VoterInfo>),
    /// The receiver knows no leader, or stopped leading while the request was pending.
    NoLeader,
}

/// The replicated state, as a quorum confirmed it after the request came.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Duration, from when the request was sent, on the broker's clock.
    #[serde(rename = "lease")]
    pub lease_seconds: f64,
    /// Parts of this reply that format 1 did not have and without which it must not be acted on.
    #[serde(default)]
    #[serde(rename = "must")]
    pub required_parts: Vec<String>,
    /// Drawn as the fleet was founded; 0: by a build that drew none.
    #[serde(default)]
    #[serde(rename = "fleet")]
    pub fleet_id: u64,
    /// How often the fleet was recovered without a majority.
    #[serde(default)]
    pub epoch: u64,
    /// Index in the log.
    pub index: u64,
    /// Number and digest of the active version.
    #[serde(rename = "in_force")]
    pub active: Option<(u64, String)>,
    /// The proposed version.
    #[serde(rename = "open")]
    pub proposed: Option<ProposedVersion>,
    /// Highest number ever proposed.
    #[serde(rename = "highest")]
    pub highest_number: u64,
    /// Versions may have a map.
    #[serde(rename = "maps")]
    pub maps_enabled: bool,
    /// The voters in force.
    pub voters: Vec<VoterInfo>,
    /// Number of their list.
    #[serde(rename = "voting")]
    pub voters_number: u64,
    /// Documents that the request does not list.
    pub documents: Vec<Arc<ConfigVersion>>,
    /// Fills that count for the active map: segment and node.
    #[serde(rename = "done")]
    pub completed_fills: Vec<(u64, String)>,
    /// Settlement entries that the broker lacks, some at a time.
    #[serde(rename = "debts")]
    pub settlements: SettlementUpdate,
    /// Its shares of fleet-wide quotas.
    #[serde(rename = "limits")]
    pub quota: Option<Allocation>,
    /// Name of the leader.
    pub leader: String,
    /// Drawn at each start of the leader.
    #[serde(rename = "run")]
    pub leader_run: u64,
    /// When the request came, on the leader's clock.
    #[serde(rename = "heard")]
    pub received_at: f64,
}

/// The version that is proposed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposedVersion {
    /// Its number.
    pub number: u64,
    /// Its digest.
    pub digest: String,
    /// How far its rollout is.
    pub step: RolloutStep,
}

impl LeaseRequest {
    /// Encodes it for another broker.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        codec::decode(bytes)
    }

    fn knows(&self, version: &ConfigVersion, digest: &str) -> bool {
        self.known_versions.iter().any(|(number, known)| *number == version.number && known == digest)
    }
}

impl LeaseReply {
    pub(crate) fn to(request: &LeaseRequest, answer: LeaseAnswer) -> Self {
        Self { id: request.id, incarnation: request.incarnation, sent_at: request.sent_at, answer }
    }

    /// Encodes it for another broker.
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        codec::decode(bytes)
    }
}

/// Who grants a lease, and when its request came.
pub(crate) struct Grantor {
    pub leader: String,
    pub leader_run: u64,
    pub received_at: f64,
}

impl LeaseGrant {
    pub(crate) fn new(state: &ReplicatedState, request: &LeaseRequest, grantor: Grantor) -> Self {
        let active = state.active.iter().map(|(version, digest)| (version, digest));
        let open = state.open.iter().map(|open| (&open.version, &open.digest));
        let unknown = active.chain(open).filter(|(version, digest)| !request.knows(version, digest));
        Self {
            lease_seconds: state.config.lease_seconds,
            required_parts: Vec::new(),
            fleet_id: state.fleet_id,
            epoch: state.epoch,
            index: state.index,
            active: state.active.as_ref().map(|(version, digest)| (version.number, digest.clone())),
            proposed: state.open.as_ref().map(|open| ProposedVersion {
                number: open.version.number,
                digest: open.digest.clone(),
                step: open.step,
            }),
            highest_number: state.highest_number,
            maps_enabled: state.config.maps_enabled,
            voters: state.voters.voters.clone(),
            voters_number: state.voters.number,
            documents: unknown.map(|(version, _)| version.clone()).collect(),
            completed_fills: state.completed_fills.iter().cloned().collect(),
            settlements: state.settlements.updates_after(request.known_settlements),
            quota: state.quota.allocation_for(&request.broker),
            leader: grantor.leader,
            leader_run: grantor.leader_run,
            received_at: grantor.received_at,
        }
    }
}
