//! Holders that are cold after a start, and what a cold one bears.

use std::sync::Arc;

use dunepond_settlement::{Cold, Fill, Need, Room, bound};

use super::ControlLoop;
use super::fills::Lane;

/// Bytes by which what a cold node bears is counted.
const COUNTING_UNIT_BYTES: u64 = 64 * 1024;
/// Of the time that a node takes to be warm: for so long the broker that it falls to is waited for, where it is not to be
/// seen.
const TAKEOVER_RATIO: f64 = 1.0 / 3.0;

/// A node that has started not long ago.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedNode {
    pub node: String,
    /// The same at each broker, as the list says it; another one with each start.
    pub incarnation: u64,
    /// Seconds, on the steady clock.
    pub started_at: f64,
}

/// How a node that has just started must be spared, as the deployment states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartPolicy {
    /// Share of its capacity at its start, and when it is warm; multiple of its capacity that it gets at most, counted
    /// over `span`. Seconds.
    pub initial_share: f64,
    pub warm_up_seconds: f64,
    pub capacity_multiple: f64,
    pub window_seconds: f64,
}

impl SlowStartPolicy {
    /// What fills may bring to a node of this age: all brokers together never more than the multiple of the part that it
    /// has by now of a warm one's `rate`. `part`: ours of that. The room for chance above it is left to the scans.
    pub fn fill_capacity(&self, age: f64, multiple: f64, rate: f64, part: f64) -> Room {
        let share =
            self.initial_share + (1.0 - self.initial_share) * (age / self.warm_up_seconds).clamp(0.0, 1.0);
        let expected = multiple * share * rate * self.window_seconds / COUNTING_UNIT_BYTES as f64 * part;
        Room { expected, taken: bound(expected) - expected }
    }
}

impl ControlLoop {
    pub(super) fn warming_nodes(&self, now: f64) -> Vec<StartedNode> {
        let Some(warming) = self.slow_start else { return Vec::new() };
        let all = self.started_nodes.load();
        all.iter().filter(|it| now < it.started_at + warming.warm_up_seconds).cloned().collect()
    }

    /// Rule 4 over all brokers together, and by the stricter of the deployment and the versions.
    pub(super) fn warming_capacity(&self, now: f64, lane: Lane) -> Cold {
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
        Cold {
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

    /// Whom a holder falls to: one of its partner's brokers, or of all if that has none; the same for all that ask.
    fn is_responsible_for(
        &self,
        holder: &str,
        partner: &str,
        brokers: &[String],
        now: f64,
        cold: &StartedNode,
    ) -> bool {
        let sides = &self.traffic.sides;
        let its = |broker: &&String| sides.of(broker) == Some(partner);
        let any = brokers.iter().any(|broker| its(&broker));
        let mut of: Vec<&String> = brokers.iter().filter(|broker| !any || its(broker)).collect();
        of.sort_by_key(|broker| rendezvous_hash(holder, broker));
        let waited =
            self.slow_start.is_some_and(|it| now >= cold.started_at + TAKEOVER_RATIO * it.warm_up_seconds);
        // Cut off from the first it may be filled by both: under the same id, which settles once.
        let first = if waited { of.iter().find(|broker| self.is_alive(broker)) } else { of.first() };
        first.is_some_and(|broker| **broker == self.name)
    }

    /// Cold holders of the map in force that fall to this broker, whether it has a lease or not.
    pub(super) fn own_fill_needs(&self, now: f64) -> Vec<Need> {
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
                needs.push(Need {
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
        let pledged = super::settlements::CommittedFill { fill: fill.clone(), done: false };
        self.settlement.commitments.fills.insert(fill.id.clone(), pledged);
        if !self.save_commitments() {
            self.abandon_commitment(&fill.id);
            return false;
        }
        true
    }

    /// It came to nothing. Written later: until then a restart goes on with it.
    pub(super) fn abandon_commitment(&mut self, fill: &str) {
        self.settlement.commitments.shares.forgo(fill);
        self.settlement.commitments.fills.remove(fill);
        self.settlement.unsaved = true;
    }

    pub(super) fn started_now(&self) -> Arc<Vec<StartedNode>> {
        self.started_nodes.load_full()
    }
}

/// Some number of both names, spread evenly.
fn rendezvous_hash(holder: &str, broker: &str) -> u64 {
    let mut sum = crate::name_hash(holder) ^ crate::name_hash(broker).rotate_left(31);
    for _ in 0..2 {
        sum = (sum ^ (sum >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    sum ^ (sum >> 32)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cold_node_bears_the_multiple_of_what_it_has_by_now_and_parts_add_up_to_it() {
        let warming = SlowStartPolicy {
            initial_share: 0.25,
            warm_up_seconds: 10.0,
            capacity_multiple: 2.0,
            window_seconds: 2.0,
        };
        let rate = (64 * COUNTING_UNIT_BYTES) as f64;
        let cap = |age: f64, part: f64| {
            let rooms = [("s".to_string(), warming.fill_capacity(age, 1.5, rate, part))].into();
            Cold { window: 2.0, unit: COUNTING_UNIT_BYTES, rooms }.cap("s")
        };
        for (age, share) in [(0.0, 0.25), (5.0, 0.625), (10.0, 1.0), (99.0, 1.0)] {
            let most = 1.5 * share * rate;
            assert!(cap(age, 1.0) <= most && cap(age, 1.0) > most - COUNTING_UNIT_BYTES as f64, "at {age}");
            assert!(0.5 * most >= cap(age, 0.5) && 4.0 * cap(age, 0.125) <= 0.5 * most);
        }
    }

    #[test]
    fn holders_fall_to_all_brokers_alike() {
        let mut held = [0; 5];
        for holder in 0..1000 {
            let of = |broker: &usize| rendezvous_hash(&format!("s-{holder}"), &format!("n{broker}"));
            held[(0..5).min_by_key(of).unwrap()] += 1;
        }
        assert!(held.iter().all(|count| (150..250).contains(count)), "{held:?}");
    }
}
