//! Questions for leases. None is answered before a quorum has confirmed, after it came, that this voter leads: what the
//! answer says is then at least as new as what was agreed when the question was sent. Questions that come while one
//! confirmation is under way share the next one.

use std::collections::BTreeMap;

use raft::ReadState;

use super::{Body, Voter};
use crate::{Effects, LeaseAnswer, LeaseGrant, LeaseReply, LeaseRequest};

/// Questions that wait at once; more are answered that there is no leader.
const MOST: usize = 4096;

#[derive(Default)]
pub(super) struct Asks {
    /// Not yet under confirmation, and under it (its mark, and the place in the log once it is confirmed).
    waiting: Vec<Waiting>,
    confirming: Vec<Waiting>,
    mark: u64,
    confirmed: Option<u64>,
    since: f64,
    /// By asker and run: what it was allowed last.
    pub granted: BTreeMap<(String, u64), Granted>,
    /// What brokers last said of bounds that the fleet shares, and when.
    pub reports: BTreeMap<String, (dunepond_quota::DemandReport, f64)>,
}

struct Waiting {
    ask: LeaseRequest,
    /// The voter that passed it on.
    via: Option<String>,
    came: f64,
}

/// On this voter's clock.
pub(super) struct Granted {
    /// Its last lease is over by then, whatever its clock does within the drift.
    pub over: f64,
    /// It asked while it acted on the joint step to this version; when that was heard first.
    pub joint: Option<(u64, f64)>,
    /// The last shrink of its parts that it was heard to act on, and when that was heard first.
    pub shrunk: (u64, f64),
    pub pressed: bool,
}

impl Asks {
    pub(super) fn drop_all(&mut self, orders: &mut Effects) {
        let all: Vec<Waiting> = self.waiting.drain(..).chain(self.confirming.drain(..)).collect();
        self.confirmed = None;
        for one in all.into_iter().filter(|one| one.via.is_none()) {
            orders.replies.push((one.ask.broker.clone(), told(&one.ask, LeaseAnswer::NoLeader)));
        }
        self.granted.clear();
        self.reports.clear();
    }
}

fn told(ask: &LeaseRequest, answer: LeaseAnswer) -> LeaseReply {
    LeaseReply { id: ask.id, incarnation: ask.incarnation, sent_at: ask.sent_at, answer }
}

impl Voter {
    pub(super) fn ask(&mut self, now: f64, mut ask: LeaseRequest, via: Option<String>) {
        if self.is_out() {
            let others = match self.successors.is_empty() {
                true => self.state.voters.voters.clone(),
                false => self.successors.clone(),
            };
            return self.reply(via, &ask, LeaseAnswer::NotAVoter(others));
        }
        if self.state.leases_suspended && self.raw.raft.state == raft::StateRole::Leader {
            return self.reply(via, &ask, LeaseAnswer::NoLeader);
        }
        let leads = self.cleared && self.raw.raft.state == raft::StateRole::Leader;
        if leads && self.asks.waiting.len() < MOST {
            ask.forwarded = via.is_some();
            self.asks.waiting.push(Waiting { ask, via, came: now });
            return;
        }
        let leader = self.leader().filter(|name| *name != self.terms.name);
        match leader {
            Some(leader) if self.cleared && via.is_none() => {
                let to = self.raw.raft.leader_id;
                ask.forwarded = true;
                self.parcel(&leader, to, Body::Ask(ask));
            }
            _ => self.reply(via, &ask, LeaseAnswer::NoLeader),
        }
    }

    fn reply(&mut self, via: Option<String>, ask: &LeaseRequest, answer: LeaseAnswer) {
        let told = told(ask, answer);
        match via {
            None => self.orders.replies.push((ask.broker.clone(), told)),
            Some(voter) => self.parcel(&voter, 0, Body::Told { broker: ask.broker.clone(), told }),
        }
    }

    /// Answers what is confirmed and asks the others to confirm what waits.
    pub(super) fn answer(&mut self, now: f64, reads: Vec<ReadState>) {
        if self.raw.raft.state != raft::StateRole::Leader || self.is_out() {
            let all: Vec<Waiting> =
                self.asks.waiting.drain(..).chain(self.asks.confirming.drain(..)).collect();
            self.asks.confirmed = None;
            self.asks.granted.clear();
            self.asks.reports.clear();
            for one in all {
                self.reply(one.via, &one.ask, LeaseAnswer::NoLeader);
            }
            return;
        }
        for read in reads {
            if read.request_ctx == self.asks.mark.to_be_bytes() {
                self.asks.confirmed = Some(read.index);
            }
        }
        if self.asks.confirmed.is_some_and(|index| self.state.index >= index) {
            self.asks.confirmed = None;
            for one in std::mem::take(&mut self.asks.confirming) {
                self.grant(now, one);
            }
        }
        // A confirmation that takes longer than a lease grants nothing any more.
        if !self.asks.confirming.is_empty() && now - self.asks.since > self.terms.lease_seconds {
            self.asks.confirmed = None;
            for one in std::mem::take(&mut self.asks.confirming) {
                self.reply(one.via, &one.ask, LeaseAnswer::NoLeader);
            }
        }
        if self.asks.confirming.is_empty() && !self.asks.waiting.is_empty() && self.is_leader() {
            self.asks.confirming = std::mem::take(&mut self.asks.waiting);
            self.asks.mark += 1;
            self.asks.since = now;
            self.raw.read_index(self.asks.mark.to_be_bytes().to_vec());
            self.settle(now);
        }
    }

    fn grant(&mut self, now: f64, one: Waiting) {
        let mut granted = LeaseGrant::of(&self.state, &one.ask);
        (granted.leader, granted.leader_run, granted.received_at) =
            (self.terms.name.clone(), self.folder.run, one.came);
        let open = self.state.open.as_ref().map(|open| open.version.number);
        let key = (one.ask.broker.clone(), one.ask.incarnation);
        let over =
            one.came + self.terms.with_drift(granted.lease_seconds.max(self.state.longest_lease_seconds));
        let entry = Granted { over, joint: None, shrunk: (0, now), pressed: false };
        let entry = self.asks.granted.entry(key).or_insert(entry);
        entry.pressed = one.ask.overloaded;
        entry.over = entry.over.max(over);
        match one.ask.joint_version.filter(|joint| Some(*joint) == open) {
            Some(joint) if entry.joint.is_none_or(|(number, _)| number != joint) => {
                entry.joint = Some((joint, now))
            }
            Some(_) => {}
            None => entry.joint = None,
        }
        if let Some(report) = &one.ask.demand {
            if report.shrunk_generation > entry.shrunk.0 {
                entry.shrunk = (report.shrunk_generation, now);
            }
            self.asks.reports.insert(one.ask.broker.clone(), (report.clone(), now));
        }
        self.reply(one.via, &one.ask, LeaseAnswer::Granted(Box::new(granted)));
    }
}
