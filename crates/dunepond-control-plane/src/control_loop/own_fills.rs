//! This broker's own fills: of replicas on nodes that were started not long ago, as far as they fall to this broker, and
//! the commitments behind them.

use std::sync::Arc;

use dunepond_settlement::{Fill, FillDemand, SlowStartCapacity};

use super::ControlLoop;
use super::fill_lane::Lane;
use crate::slow_start::{COUNTING_UNIT_BYTES, StartedNode};

/// Share of a node's warm-up time after which its fill passes to the next broker, if the responsible one is not alive.
const TAKEOVER_RATIO: f64 = 1.0 / 3.0;

impl ControlLoop {
    pub(super) fn warming_nodes(&self, now: f64) -> Vec<StartedNode> {
        let Some(warming) = self.slow_start else { return Vec::new() };
        let all = self.started_nodes.load();
        all.iter().filter(|it| now < it.started_at + warming.warm_up_seconds).cloned().collect()
    }

    /// What fills may send to nodes in slow start: the bound holds for all brokers together, by the stricter of the
    /// deployment and the agreed versions.
    pub(super) fn warming_capacity(&self, now: f64, lane: Lane) -> SlowStartCapacity {
        let window = self.slow_start.map_or(1.0, |warming| warming.window_seconds);
        let part = self.capacity_part(lane);
        let agreed =
            self.member.active_config().rules(now).map_or(f64::INFINITY, |rules| rules.slow_start_multiple);
        let room = |it: &StartedNode| {
            let warming = self.slow_start?;
            let multiple = warming.capacity_multiple.min(agreed);
            Some((
                it.node.clone(),
                warming.fill_capacity(now - it.started_at, multiple, self.fill_bytes_per_second, part),
            ))
        };
        SlowStartCapacity {
            window,
            unit: COUNTING_UNIT_BYTES,
            rooms: self.warming_nodes(now).iter().filter_map(room).collect(),
        }
    }

    /// How much of what is bounded over all brokers a planner here may use: the leader's half and the brokers' half, where
    /// brokers have fills of their own.
    pub(super) fn capacity_part(&self, lane: Lane) -> f64 {
        match lane {
            Lane::Version if self.settlement.fill_started_nodes => 0.5,
            Lane::Version => 1.0,
            Lane::Own => 0.5 / self.all_brokers().len() as f64,
        }
    }

    /// Whether this broker is responsible for filling a holder: one broker of the holder's partner is, or one of all brokers
    /// if the partner has none. Every broker computes the same one.
    fn is_responsible_for(
        &self,
        holder: &str,
        partner: &str,
        brokers: &[String],
        now: f64,
        cold: &StartedNode,
    ) -> bool {
        let sides = &self.traffic.sides;
        let its = |broker: &&String| sides.partner(broker) == Some(partner);
        let any = brokers.iter().any(|broker| its(&broker));
        let mut of: Vec<&String> = brokers.iter().filter(|broker| !any || its(broker)).collect();
        of.sort_by_key(|broker| rendezvous_hash(holder, broker));
        let waited =
            self.slow_start.is_some_and(|it| now >= cold.started_at + TAKEOVER_RATIO * it.warm_up_seconds);
        // A broker that cannot see the first may fill it too: the fill has the same id and settles once.
        let first = if waited { of.iter().find(|broker| self.is_alive(broker)) } else { of.first() };
        first.is_some_and(|broker| **broker == self.name)
    }

    /// Cold holders of the map in force that fall to this broker, whether it has a lease or not.
    pub(super) fn own_fill_needs(&self, now: f64) -> Vec<FillDemand> {
        let cold = self.warming_nodes(now);
        let acting = self.member.active_config();
        let Some(proof) = acting.map(now).filter(|_| self.settlement.fill_started_nodes && !cold.is_empty())
        else {
            return Vec::new();
        };
        let brokers = self.all_brokers();
        let is_cold = |node: &str| cold.iter().find(|it| it.node == node);
        let mut needs = Vec::new();
        for segment in proof.segments() {
            for holder in segment.replicas.iter().filter(|holder| proof.is_filled(segment, &holder.node)) {
                let Some(started) = is_cold(&holder.node) else { continue };
                let node = &holder.node;
                if acting.is_excluded(node)
                    || !self.is_responsible_for(node, &holder.partner, &brokers, now, started)
                {
                    continue;
                }
                let warm = segment.replicas.iter().filter(|it| {
                    proof.is_filled(segment, &it.node)
                        && is_cold(&it.node).is_none()
                        && !acting.is_excluded(&it.node)
                });
                needs.push(FillDemand {
                    version: acting.active_number(),
                    segment: segment.id,
                    holder: node.clone(),
                    holder_partner: holder.partner.clone(),
                    sources: warm.map(|it| (it.node.clone(), it.partner.clone())).collect(),
                    bytes: self.own_fills.segment_bytes,
                    start: started.incarnation,
                });
            }
        }
        // The same start under a later version is the same fill.
        let warmed = &self.settlement.commitments.finished;
        needs.retain(|need| !warmed.contains(&(need.segment, need.holder.clone(), need.start)));
        needs
    }

    /// Before a fill of our own begins: its promise stands in the folder. False if it could not be written.
    pub(super) fn commit_fill(&mut self, fill: &Fill) -> bool {
        let ledger = self.traffic.balances.ledger().clone();
        if let Some(settlement) = &fill.settles
            && let Err(e) = self.settlement.commitments.shares.promise(&ledger, settlement.clone())
        {
            tracing::warn!("fleet: fill {}: {e} ({})", fill.id, e.help());
            return false;
        }
        let pledged = crate::commitments::CommittedFill { fill: fill.clone(), done: false };
        self.settlement.commitments.fills.insert(fill.id.clone(), pledged);
        if !self.save_commitments() {
            self.abandon_commitment(&fill.id);
            return false;
        }
        true
    }

    /// The fill has failed for good. The record is written later; until then a restart resumes the fill.
    pub(super) fn abandon_commitment(&mut self, fill: &str) {
        self.settlement.commitments.shares.cancel(fill);
        self.settlement.commitments.fills.remove(fill);
        self.settlement.unsaved = true;
    }

    pub(super) fn started_now(&self) -> Arc<Vec<StartedNode>> {
        self.started_nodes.load_full()
    }
}

/// Hash of both names, evenly distributed.
fn rendezvous_hash(holder: &str, broker: &str) -> u64 {
    let mut sum = crate::startup::name_hash(holder) ^ crate::startup::name_hash(broker).rotate_left(31);
    for _ in 0..2 {
        sum = (sum ^ (sum >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    sum ^ (sum >> 32)
}

#[cfg(test)]
mod tests;
