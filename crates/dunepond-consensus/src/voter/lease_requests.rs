//! Handling of lease requests. A lease is only granted after a quorum has confirmed, since the request arrived, that
//! this voter leads. The grant then contains everything that was committed when the request was sent. Requests that
//! arrive while a confirmation is in progress wait for the next confirmation, which covers all of them.

use std::collections::BTreeMap;

use dunepond_quota::DemandReport;
use raft::{ReadState, StateRole};

use super::Voter;
use super::envelope::Body;
use crate::lease_messages::GrantOrigin;
use crate::{Effects, LeaseAnswer, LeaseGrant, LeaseReply, LeaseRequest};

/// Largest number of waiting requests; further ones are answered with [`LeaseAnswer::NoLeader`].
const MAX_WAITING_COUNT: usize = 4096;

/// The pending lease requests, and the leases that this leader has granted.
#[derive(Default)]
pub(super) struct LeaseRequests {
    /// Requests that wait for the next confirmation of this voter's leadership by a quorum.
    waiting: Vec<PendingRequest>,
    /// Requests that wait for the confirmation of this voter's leadership that is in progress.
    confirming: Vec<PendingRequest>,
    /// Identifier of the last confirmation of leadership that was started.
    read_id: u64,
    /// Log index up to which the log has to be applied before the requests in `confirming` are granted; `None` until
    /// the quorum has confirmed this voter's leadership.
    confirmed_index: Option<u64>,
    /// When the confirmation of leadership in progress was started, on this voter's clock.
    confirming_since: f64,
    /// The last lease of each broker process, by the broker's name and the random run id that the process drew
    /// when it started.
    pub granted: BTreeMap<(String, u64), GrantedLease>,
    /// The last demand report of each broker, by its name.
    pub reports: BTreeMap<String, TimedReport>,
}

/// A lease request that is not answered yet.
struct PendingRequest {
    request: LeaseRequest,
    /// Name of the voter that forwarded the request, if one did.
    via: Option<String>,
    /// When the request arrived, on this voter's clock.
    received_at: f64,
}

/// A demand report, and when it was received on this voter's clock.
pub(super) struct TimedReport {
    pub report: DemandReport,
    pub received_at: f64,
}

/// A broker's report that it has adopted a proposed version or a shrink of its quota shares. `number` is the number of
/// the version or the generation of the shrink; `at` is when this voter first received the report, on its own clock.
#[derive(Clone, Copy)]
pub(super) struct Acknowledged {
    pub number: u64,
    pub at: f64,
}

/// The last lease that was granted to a broker process. Times are on this voter's clock.
pub(super) struct GrantedLease {
    /// Latest time at which the lease can end, which is when the broker's clock is as slow as the configured drift
    /// allows.
    pub over_at: f64,
    /// The proposed version that the broker reported to have adopted, if any. The broker then no longer acts only on
    /// the active version.
    pub joint: Option<Acknowledged>,
    /// Generation of the last shrink of the broker's quota shares that it reported to have adopted.
    pub shrink: Acknowledged,
    /// Whether the broker reported that its nodes are overloaded.
    overloaded: bool,
}

impl LeaseRequests {
    /// Answers [`LeaseAnswer::NoLeader`] to all pending requests that no other voter forwarded, and forgets all
    /// requests and leases.
    pub fn reject_all(&mut self, effects: &mut Effects) {
        for pending in self.take_all().into_iter().filter(|pending| pending.via.is_none()) {
            let reply = LeaseReply::to(&pending.request, LeaseAnswer::NoLeader);
            effects.replies.push((pending.request.broker, reply));
        }
    }

    fn take_all(&mut self) -> Vec<PendingRequest> {
        self.confirmed_index = None;
        self.granted.clear();
        self.reports.clear();
        self.waiting.drain(..).chain(self.confirming.drain(..)).collect()
    }

    /// Names of the brokers with a recent lease, each with whether it reported that its nodes are overloaded.
    pub fn overloads(&self) -> impl Iterator<Item = (&str, bool)> {
        self.granted.iter().map(|((broker, _), lease)| (broker.as_str(), lease.overloaded))
    }

    /// Records a lease that is granted at `now` and ends at `over_at` at the latest. `proposed_number` is the
    /// number of the proposed version, if there is one.
    fn record_lease(&mut self, now: f64, request: &LeaseRequest, over_at: f64, proposed_number: Option<u64>) {
        let first = GrantedLease {
            over_at,
            joint: None,
            shrink: Acknowledged { number: 0, at: now },
            overloaded: false,
        };
        let lease = self.granted.entry((request.broker.clone(), request.run_id)).or_insert(first);
        lease.overloaded = request.overloaded;
        lease.over_at = lease.over_at.max(over_at);
        let joint = request.joint_version.filter(|joint| Some(*joint) == proposed_number);
        if joint != lease.joint.map(|acknowledged| acknowledged.number) {
            lease.joint = joint.map(|number| Acknowledged { number, at: now });
        }
        if let Some(report) = &request.demand {
            if report.shrunk_generation > lease.shrink.number {
                lease.shrink = Acknowledged { number: report.shrunk_generation, at: now };
            }
            let timed = TimedReport { report: report.clone(), received_at: now };
            self.reports.insert(request.broker.clone(), timed);
        }
    }
}

impl Voter {
    /// Queues a lease request until a quorum has confirmed this voter's leadership, forwards it to the leader or
    /// rejects it. `via` is the name of the voter that forwarded it to this one, if one did.
    pub(super) fn accept_lease_request(&mut self, now: f64, mut request: LeaseRequest, via: Option<String>) {
        if self.is_removed() {
            let others = match self.reported_voters.is_empty() {
                true => self.state.voters.voters.clone(),
                false => self.reported_voters.clone(),
            };
            return self.reply(via, &request, LeaseAnswer::NotAVoter(others));
        }
        let has_leader_role = self.node.raft.state == StateRole::Leader;
        if self.state.leases_suspended && has_leader_role {
            return self.reply(via, &request, LeaseAnswer::NoLeader);
        }
        let has_capacity = self.lease_requests.waiting.len() < MAX_WAITING_COUNT;
        if self.is_active() && has_leader_role && has_capacity {
            request.forwarded = via.is_some();
            self.lease_requests.waiting.push(PendingRequest { request, via, received_at: now });
            return;
        }
        let leader = self.leader().filter(|name| *name != self.config.name);
        match leader {
            Some(leader) if self.is_active() && via.is_none() => {
                let folder_id = self.node.raft.leader_id;
                request.forwarded = true;
                self.send(&leader, folder_id, Body::LeaseRequest(request));
            }
            _ => self.reply(via, &request, LeaseAnswer::NoLeader),
        }
    }

    /// Replies to a request, through the voter `via` if it forwarded the request.
    fn reply(&mut self, via: Option<String>, request: &LeaseRequest, answer: LeaseAnswer) {
        let (broker, reply) = (request.broker.clone(), LeaseReply::to(request, answer));
        match via {
            None => self.effects.replies.push((broker, reply)),
            Some(voter) => self.send(&voter, 0, Body::LeaseReply { broker, reply }),
        }
    }

    /// Grants the lease requests for which a quorum has confirmed this voter's leadership, and starts a confirmation
    /// for the waiting ones. `reads` are the completed confirmations that the raft library has reported.
    pub(super) fn reply_to_lease_requests(&mut self, now: f64, reads: Vec<ReadState>) {
        if self.node.raft.state != StateRole::Leader || self.is_removed() {
            let all = self.lease_requests.take_all();
            return self.reply_no_leader(all);
        }
        let requests = &mut self.lease_requests;
        let own_id = requests.read_id.to_be_bytes();
        if let Some(read) = reads.iter().rfind(|read| read.request_ctx == own_id) {
            requests.confirmed_index = Some(read.index);
        }
        if requests.confirmed_index.is_some_and(|index| self.state.index >= index) {
            requests.confirmed_index = None;
            for pending in std::mem::take(&mut requests.confirming) {
                self.grant_lease(now, pending);
            }
        }
        self.expire_confirmation(now);
        self.start_confirmation(now);
    }

    fn reply_no_leader(&mut self, requests: Vec<PendingRequest>) {
        for pending in requests {
            self.reply(pending.via, &pending.request, LeaseAnswer::NoLeader);
        }
    }

    /// Abandons a confirmation of leadership that takes longer than the duration of a lease, since leases granted after
    /// it would already have ended.
    fn expire_confirmation(&mut self, now: f64) {
        let requests = &mut self.lease_requests;
        if requests.confirming.is_empty() || now - requests.confirming_since <= self.config.lease_seconds {
            return;
        }
        requests.confirmed_index = None;
        let expired = std::mem::take(&mut requests.confirming);
        self.reply_no_leader(expired);
    }

    /// Starts a confirmation of this voter's leadership for the waiting requests, if none is in progress.
    fn start_confirmation(&mut self, now: f64) {
        let has_work = self.lease_requests.confirming.is_empty() && !self.lease_requests.waiting.is_empty();
        if !has_work || !self.is_leader() {
            return;
        }
        let requests = &mut self.lease_requests;
        requests.confirming = std::mem::take(&mut requests.waiting);
        requests.read_id += 1;
        requests.confirming_since = now;
        let read_id = requests.read_id.to_be_bytes().to_vec();
        self.node.read_index(read_id);
        self.process_ready(now);
    }

    /// Grants and records a lease.
    fn grant_lease(&mut self, now: f64, pending: PendingRequest) {
        let PendingRequest { request, via, received_at } = pending;
        let leader = self.config.name.clone();
        let origin = GrantOrigin { leader, leader_run_id: self.folder.run_id, received_at };
        let grant = LeaseGrant::new(&self.state, &request, origin);
        let longest = grant.lease_seconds.max(self.state.longest_lease_seconds);
        let over_at = received_at + self.config.with_drift(longest);
        let proposed_number = self.state.proposed.as_ref().map(|proposed| proposed.version.number);
        self.lease_requests.record_lease(now, &request, over_at, proposed_number);
        self.reply(via, &request, LeaseAnswer::Granted(Box::new(grant)));
    }
}
