//! The kinds of request, with their numbers in messages, their HTTP paths, and the protocol versions that introduced
//! them.

use serde::{Deserialize, Serialize};

/// The kinds of request between brokers. The order is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestKind {
    /// Messages of the replicated log.
    Raft,
    /// A request for a lease, or for its renewal.
    Lease,
    /// A new version of the configuration that is proposed to the leader.
    Propose,
    /// An exchange of transfer counts.
    TransferCounts,
    /// A report of or a request for a replica fill.
    Fill,
    /// A push of committed configuration.
    State,
    /// A liveness check, which this crate answers itself: a suspected member is asked, over a connection, to refute the
    /// suspicion.
    LivenessCheck,
    /// A rebalance plan that is offered to the leader.
    RebalancePlan,
}

impl RequestKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [RequestKind; 8] = [
        RequestKind::Raft,
        RequestKind::Lease,
        RequestKind::Propose,
        RequestKind::TransferCounts,
        RequestKind::Fill,
        RequestKind::State,
        RequestKind::LivenessCheck,
        RequestKind::RebalancePlan,
    ];

    /// The path of the kind's HTTP request.
    pub fn path(self) -> &'static str {
        match self {
            RequestKind::Raft => "/raft",
            RequestKind::Lease => "/lease",
            RequestKind::Propose => "/propose",
            RequestKind::TransferCounts => "/counts",
            RequestKind::Fill => "/fill",
            RequestKind::State => "/state",
            RequestKind::RebalancePlan => "/moves",
            RequestKind::LivenessCheck => "/sign",
        }
    }

    /// The first protocol version that has the kind.
    pub fn min_version(self) -> u8 {
        match self {
            RequestKind::Raft
            | RequestKind::Lease
            | RequestKind::Propose
            | RequestKind::TransferCounts
            | RequestKind::Fill
            | RequestKind::State => 1,
            RequestKind::LivenessCheck | RequestKind::RebalancePlan => 2,
        }
    }

    /// The kind with this HTTP path.
    pub fn from_path(path: &str) -> Option<RequestKind> {
        RequestKind::ALL.into_iter().find(|kind| kind.path() == path)
    }
}

/// The number of a kind in a message, which may be one that this program does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindCode(pub u32);

impl From<RequestKind> for KindCode {
    fn from(kind: RequestKind) -> KindCode {
        let known = RequestKind::ALL;
        KindCode(known.iter().position(|one| *one == kind).unwrap_or(known.len()) as u32)
    }
}

impl KindCode {
    /// The kind, if this program knows it.
    pub fn kind(self) -> Option<RequestKind> {
        RequestKind::ALL.get(self.0 as usize).copied()
    }
}
