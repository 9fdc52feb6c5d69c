//! This broker's own fills: fills of replicas on nodes in slow start that it is responsible for, and the commitments to
//! them.

use dunepond_consensus::ActiveConfig;
use dunepond_settlement::{Fill, FillDemand, FillSource, SlowStartCapacity};
use dunepond_shard_map::{Replica, Segment, VerifiedMap};

use super::{ControlLoop, FillKind};
use crate::clock::monotonic_seconds;
use crate::commitments::{CommittedFill, FinishedFill};
use crate::config::CrashPoint;
use crate::fill_client::FillResult;
use crate::slow_start::{COUNTING_UNIT_BYTES, StartedNode};

/// Fraction of a node's warm-up time after which another broker takes over the fills of the node if the responsible
/// broker is not alive.
const TAKEOVER_RATIO: f64 = 1.0 / 3.0;

impl ControlLoop {
    /// The nodes that are in slow start at `now`.
    fn warming_nodes(&self, now: f64) -> Vec<StartedNode> {
        let Some(policy) = self.slow_start else { return Vec::new() };
        let started = self.started_nodes.load();
        started.iter().filter(|node| now < node.started_at + policy.warm_up_seconds).cloned().collect()
    }

    /// For each node in slow start, the capacity that this broker's fills of this kind may use. The capacity is a
    /// fraction of the limit for all brokers together, which is the lower of the configured limit and the limit of the
    /// configuration versions that apply.
    pub(super) fn slow_start_capacity(&self, now: f64, kind: FillKind) -> SlowStartCapacity {
        let rules_multiple = self
            .lease_client
            .active_config()
            .rules(now)
            .map_or(f64::INFINITY, |rules| rules.slow_start_multiple);
        let capacity_ratio = self.capacity_ratio(kind);
        let capacity_of = |node: &StartedNode| {
            let policy = self.slow_start?;
            let multiple = policy.capacity_multiple.min(rules_multiple);
            let age = now - node.started_at;
            let capacity = policy.fill_capacity(age, multiple, self.fill_bytes_per_second, capacity_ratio);
            Some((node.node.clone(), capacity))
        };
        SlowStartCapacity {
            window_seconds: self.slow_start.map_or(1.0, |policy| policy.window_seconds),
            unit_bytes: COUNTING_UNIT_BYTES,
            nodes: self.warming_nodes(now).iter().filter_map(capacity_of).collect(),
        }
    }

    /// Fraction of the fleet's limits that this broker may use for fills of this kind: the limits on transfer rates, on
    /// carried bytes, on the change of debts, and on fills of nodes in slow start. If the brokers plan own fills (fills
    /// of nodes in slow start, each planned by the broker that is responsible for it), they share half of each limit
    /// evenly for these. The other half is for the fills that the leader plans for the proposed configuration version.
    /// If the brokers plan no own fills, the leader may use the full limits.
    pub(super) fn capacity_ratio(&self, kind: FillKind) -> f64 {
        match kind {
            FillKind::Version if self.settlement.fill_started_nodes => 0.5,
            FillKind::Version => 1.0,
            FillKind::Own => 0.5 / self.all_brokers().len() as f64,
        }
    }

    /// Whether this broker is responsible for filling a replica. The responsible broker is one of the brokers of the
    /// replica's partner, or one of all brokers if that partner has none. Until the takeover time ([`TAKEOVER_RATIO`])
    /// every broker computes the same responsible broker. After it, the result depends on which brokers are alive
    /// according to this broker's membership.
    fn is_responsible_for(
        &self,
        replica: &Replica,
        brokers: &[String],
        started: &StartedNode,
        now: f64,
    ) -> bool {
        let broker_partners = &self.traffic.broker_partners;
        let is_of_partner = |broker: &&String| broker_partners.partner(broker) == Some(&replica.partner);
        let mut candidates: Vec<&String> = brokers.iter().filter(is_of_partner).collect();
        if candidates.is_empty() {
            candidates = brokers.iter().collect();
        }
        candidates.sort_by_key(|broker| rendezvous_hash(&replica.node, broker));
        let takeover = self
            .slow_start
            .is_some_and(|policy| now >= started.started_at + TAKEOVER_RATIO * policy.warm_up_seconds);
        // Two brokers that cannot see each other may both fill the replica. That is harmless: the fill has the same id
        // at both and is settled once.
        let responsible = if takeover {
            candidates.iter().find(|broker| self.is_alive(broker))
        } else {
            candidates.first()
        };
        responsible.is_some_and(|broker| **broker == self.name)
    }

    /// Demands for this broker's own fills: one for each replica on a node in slow start that the active map marks as
    /// filled, that this broker is responsible for, and that it has not filled yet since the node started. No valid
    /// lease is needed.
    pub(super) fn own_fill_demands(&self, now: f64) -> Vec<FillDemand> {
        let warming = self.warming_nodes(now);
        if !self.settlement.fill_started_nodes || warming.is_empty() {
            return Vec::new();
        }
        let config = self.lease_client.active_config();
        let Some(map) = config.map(now) else { return Vec::new() };
        let brokers = self.all_brokers();
        let mut demands = Vec::new();
        for segment in map.segments() {
            for replica in segment.replicas.iter().filter(|replica| map.is_filled(segment, &replica.node)) {
                let Some(started) = warming.iter().find(|node| node.node == replica.node) else { continue };
                let is_finished = self.is_own_fill_finished(segment.id, started);
                if is_finished
                    || config.is_excluded(&replica.node)
                    || !self.is_responsible_for(replica, &brokers, started, now)
                {
                    continue;
                }
                demands.push(FillDemand {
                    version: config.active_number(),
                    segment: segment.id,
                    node: replica.node.clone(),
                    partner: replica.partner.clone(),
                    sources: warm_sources(&config, map, segment, &warming),
                    bytes: self.own_fills.limits.segment_bytes,
                    start: started.incarnation,
                });
            }
        }
        demands
    }

    /// Whether this broker has already filled the segment's replica since this start of the node, no matter under which
    /// configuration version.
    fn is_own_fill_finished(&self, segment: u64, started: &StartedNode) -> bool {
        self.settlement.commitments.finished.contains(&FinishedFill {
            segment,
            node: started.node.clone(),
            incarnation: started.incarnation,
        })
    }

    /// Stores the commitment to one of this broker's own fills before the fill starts. Returns false if the fill must
    /// not start, because this broker's share of the debt does not suffice or the commitment could not be stored.
    pub(super) fn commit_fill(&mut self, fill: &Fill) -> bool {
        let ledger = self.traffic.balances.ledger().clone();
        if let Some(settlement) = &fill.settles
            && let Err(e) = self.settlement.commitments.shares.promise(&ledger, settlement.clone())
        {
            tracing::warn!("fleet: fill {}: {e} ({})", fill.id, e.help());
            return false;
        }
        let committed = CommittedFill { fill: fill.clone(), done: false };
        self.settlement.commitments.fills.insert(fill.id.clone(), committed);
        if !self.save_commitments() {
            self.abandon_commitment(&fill.id);
            return false;
        }
        true
    }

    /// Drops the commitment to a fill, for example because all attempts at the fill have failed. The commitments are
    /// stored later; after a restart before then, the fill is resumed.
    pub(super) fn abandon_commitment(&mut self, id: &str) {
        self.settlement.commitments.shares.cancel(id);
        self.settlement.commitments.fills.remove(id);
        self.settlement.unsaved = true;
    }

    /// Ends one of this broker's own fills if the fill has a result. From then on, the fill's settlement is sent to the
    /// leader until the log has it. The fill's unsettled bytes are counted as traffic only after the commitments are
    /// stored: a crash between these two steps can make a debt too small, but never too large.
    pub(super) fn finish_own_fill_if_done(&mut self, id: &str) {
        let result = self.own_fills.active.get(id).and_then(|active| active.result.clone());
        let Some(result) = result else { return };
        let Some(active) = self.own_fills.active.remove(id) else { return };
        let fill = active.progress.fill;
        self.own_fills.planner.fill_ended(id, true);
        self.remember_finished_fill(&fill);
        let (from, bytes) = if result.source == fill.source {
            match (&fill.settles, self.settlement.commitments.fills.get_mut(id)) {
                (None, _) => self.abandon_commitment(id),
                (Some(_), Some(committed)) => committed.done = true,
                (Some(_), None) => {}
            }
            (fill.from.clone(), fill.unsettled_bytes())
        } else {
            // Another broker requested this fill earlier from another source, so the promised settlement does not
            // apply.
            self.own_fills.planner.settlement_rejected(id);
            self.abandon_commitment(id);
            (self.source_partner(&fill, &result), result.bytes)
        };
        self.save_commitments();
        self.traffic.counts.record(&from, &fill.to, bytes);
        self.reach_crash_point(CrashPoint::OwnFillDone);
    }

    /// Partner of the actual source of a fill, or of the filled node if the source is not a replica in the active map.
    fn source_partner(&self, fill: &Fill, result: &FillResult) -> String {
        let config = self.lease_client.active_config();
        let segment = config.map(monotonic_seconds()).and_then(|map| map.segment(fill.segment));
        let replica =
            segment.and_then(|segment| segment.replicas.iter().find(|replica| replica.node == result.source));
        replica.map_or(fill.to.clone(), |replica| replica.partner.clone())
    }

    /// Records that a fill is done for this start of its node. Removes the records of nodes that discovery no longer
    /// lists with the recorded incarnation.
    fn remember_finished_fill(&mut self, fill: &Fill) {
        let incarnation = fill.id.rsplit_once('+').and_then(|(_, suffix)| suffix.parse().ok()).unwrap_or(0);
        let started = self.started_nodes.load();
        let finished = &mut self.settlement.commitments.finished;
        let is_listed = |fill: &FinishedFill| {
            started.iter().any(|node| node.node == fill.node && node.incarnation == fill.incarnation)
        };
        finished.retain(is_listed);
        finished.insert(FinishedFill { segment: fill.segment, node: fill.node.clone(), incarnation });
    }
}

/// The sources for a fill of the segment: its filled replicas whose nodes are neither in slow start nor excluded.
fn warm_sources(
    config: &ActiveConfig,
    map: &VerifiedMap,
    segment: &Segment,
    warming: &[StartedNode],
) -> Vec<FillSource> {
    let mut sources = Vec::new();
    for replica in &segment.replicas {
        let is_warming = warming.iter().any(|node| node.node == replica.node);
        if map.is_filled(segment, &replica.node) && !is_warming && !config.is_excluded(&replica.node) {
            sources.push(FillSource { node: replica.node.clone(), partner: replica.partner.clone() });
        }
    }
    sources
}

/// Evenly distributed hash of a node's and a broker's name, for rendezvous hashing: the broker with the lowest hash is
/// responsible for the node.
fn rendezvous_hash(node: &str, broker: &str) -> u64 {
    let mut hash = crate::startup::name_hash(node) ^ crate::startup::name_hash(broker).rotate_left(31);
    for _ in 0..2 {
        hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    hash ^ (hash >> 32)
}

#[cfg(test)]
mod tests;
