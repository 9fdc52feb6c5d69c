//! The kinds of request between brokers, with their numbers in messages, their HTTP paths, and the protocol versions
//! that introduced them.

use serde::{Deserialize, Serialize};

/// The kind of a request between brokers. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RequestKind {
    /// Messages of the replicated log.
    Raft,
    /// A request for a lease, or for the renewal of a lease.
    Lease,
    /// A proposal to the leader of a new configuration version.
    Propose,
    /// An exchange of the counts of the bytes that partners have transferred for each other.
    TransferCounts,
    /// Entries for the settlement ledger that the leader is asked to propose, such as the record of a fill that has
    /// started.
    SettlementEntries,
    /// A reply to a lease request. A voter sends it as a separate request if the lease request went to another voter or
    /// is no longer pending.
    LeaseReply,
    /// A liveness check, in which a suspected member is asked over a connection to refute the suspicion. This crate
    /// answers it without the caller.
    LivenessCheck,
    /// An offer of a rebalance plan to the leader.
    RebalancePlan,
}

impl RequestKind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [RequestKind; 8] = [
        RequestKind::Raft,
        RequestKind::Lease,
        RequestKind::Propose,
        RequestKind::TransferCounts,
        RequestKind::SettlementEntries,
        RequestKind::LeaseReply,
        RequestKind::LivenessCheck,
        RequestKind::RebalancePlan,
    ];

    /// Returns the HTTP path of requests of this kind, which is part of the wire format.
    pub fn path(self) -> &'static str {
        match self {
            RequestKind::Raft => "/raft",
            RequestKind::Lease => "/lease",
            RequestKind::Propose => "/propose",
            RequestKind::TransferCounts => "/counts",
            RequestKind::SettlementEntries => "/fill",
            RequestKind::LeaseReply => "/state",
            RequestKind::RebalancePlan => "/moves",
            RequestKind::LivenessCheck => "/sign",
        }
    }

    /// Returns the first protocol version that has this kind of request.
    pub fn min_version(self) -> u8 {
        match self {
            RequestKind::Raft
            | RequestKind::Lease
            | RequestKind::Propose
            | RequestKind::TransferCounts
            | RequestKind::SettlementEntries
            | RequestKind::LeaseReply => 1,
            RequestKind::LivenessCheck | RequestKind::RebalancePlan => 2,
        }
    }

    /// Returns the kind with the HTTP path `path`, if there is one.
    pub fn from_path(path: &str) -> Option<RequestKind> {
        RequestKind::ALL.into_iter().find(|kind| kind.path() == path)
    }
}

/// The number of a request kind in a message. The kind may be one that this broker does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindCode(pub u32);

impl From<RequestKind> for KindCode {
    fn from(kind: RequestKind) -> KindCode {
        let known = RequestKind::ALL;
        KindCode(known.iter().position(|one| *one == kind).unwrap_or(known.len()) as u32)
    }
}

impl KindCode {
    /// Returns the request kind with this number, if this broker knows it.
    pub fn kind(self) -> Option<RequestKind> {
        RequestKind::ALL.get(self.0 as usize).copied()
    }
}
