//! What happens to a fleet: to one broker, and to many at once for one cause.

use dunepond_consensus::Voter;
use rand::RngExt;
use rand::seq::SliceRandom;

use super::{Play, version};

/// Seconds that a cut, a dead zone or a stand-still lasts, at most.
const LASTS: f64 = 6.0;
/// Of all, how many a herd takes down at once, a stop holds, a step of a release restarts.
const HERD: f64 = 0.7;
const STOPPED: f64 = 0.05;
const RELEASED: f64 = 0.1;
/// Seconds between the steps of a release.
const STEP: f64 = 0.5;

/// Something that is to happen, by itself.
pub enum Later {
    Start(usize),
    Restart(Vec<usize>),
    Heal,
    Calm,
    Confirm(bool),
}

const KINDS: [&str; 16] = [
    "zone cut",
    "zone dead",
    "herd",
    "release",
    "partner gone",
    "one way",
    "stop",
    "clock",
    "torn record",
    "old folder",
    "weather",
    "lost folder",
    "version",
    "staged",
    "faulty",
    "by hand",
];

impl Play {
    /// One of all kinds; how often each came is in the report.
    pub(super) fn trouble(&mut self) {
        // Versions more often than any fault.
        let kind = match self.chance.random_range(0..22) {
            more @ 16.. => 12 + usize::from(more > 20),
            kind => kind,
        };
        let name = KINDS[kind];
        match self.report.troubles.iter_mut().find(|(known, _)| *known == name) {
            Some((_, count)) => *count += 1,
            None => self.report.troubles.push((name, 1)),
        }
        let all = self.shape.brokers;
        let n = self.chance.random_range(0..all);
        let lasts = self.chance.random_range(0.2..LASTS);
        match name {
            "zone cut" => {
                for n in self.zone() {
                    self.fleet.sides[n] = 1;
                }
                self.later.put(self.fleet.now + lasts, Later::Heal);
            }
            "zone dead" => self.down(self.zone_of(n), lasts, 1.0),
            "herd" => {
                let mut order: Vec<usize> = (0..all).collect();
                order.shuffle(&mut self.chance);
                order.truncate((HERD * all as f64) as usize);
                self.down(order, lasts.min(3.0), 1.0);
            }
            "release" => {
                let mut order: Vec<usize> = (0..all).collect();
                order.shuffle(&mut self.chance);
                let some = ((RELEASED * all as f64) as usize).max(1);
                for (step, part) in order.chunks(some).enumerate() {
                    self.later.put(self.fleet.now + STEP * step as f64, Later::Restart(part.to_vec()));
                }
            }
            "partner gone" => self.partner_gone(n),
            "one way" => {
                let to = self.fleet.leader().filter(|_| lasts > 2.0);
                let to = to.unwrap_or_else(|| self.chance.random_range(0..all));
                let here = self.zone_of(n);
                let inward = self.chance.random::<bool>();
                for other in here.into_iter().filter(|other| *other != to) {
                    self.fleet.cut.insert(if inward { (other, to) } else { (to, other) });
                }
                self.later.put(self.fleet.now + lasts, Later::Heal);
            }
            "stop" => {
                for _ in 0..(STOPPED * all as f64) as usize + 1 {
                    let n = self.chance.random_range(0..all);
                    let seconds = self.chance.random_range(0.05..LASTS);
                    self.fleet.stop(n, seconds);
                }
            }
            "clock" => self.clock(n),
            "torn record" => self.fleet.brokers[n].torn = n < self.shape.voters && self.fleet.up(n),
            "old folder" => {
                // Of a broker that does not vote: what it keeps is from long ago, or gone.
                let n = self.shape.voters + n % (all - self.shape.voters).max(1);
                if n < all {
                    self.fleet.kill(n);
                    self.fleet.empty(n);
                    self.later.put(self.fleet.now + lasts, Later::Start(n));
                }
            }
            "weather" => {
                self.fleet.loss = [0.02, 0.1, 0.2][n % 3];
                (self.fleet.double, self.fleet.late) = ([0.0, 0.1][n % 2], [0.0, 0.002][n / 2 % 2]);
                self.fleet.delay = [(0.001, 0.02), (0.001, 0.1)][n / 3 % 2];
                self.later.put(self.fleet.now + lasts, Later::Calm);
            }
            "lost folder" => self.lost_folder(n % self.shape.voters),
            "version" => self.next_version(0.4, 0.0),
            "staged" => {
                self.next_version(0.2, 1.0);
                let confirm = self.chance.random::<bool>();
                self.later.put(self.fleet.now + 2.0 * LASTS, Later::Confirm(confirm));
            }
            "faulty" => self.faulty(n),
            _ => self.end_stage(n.is_multiple_of(2)),
        }
    }

    fn zone(&mut self) -> Vec<usize> {
        let n = self.chance.random_range(0..self.shape.brokers);
        self.zone_of(n)
    }

    fn zone_of(&self, n: usize) -> Vec<usize> {
        (0..self.shape.brokers).filter(|other| other % self.shape.zones == n % self.shape.zones).collect()
    }

    /// All at once; they come back `after` seconds later, over `spread`.
    fn down(&mut self, some: Vec<usize>, after: f64, spread: f64) {
        for n in some {
            self.fleet.kill(n);
            let at = self.fleet.now + after + self.chance.random_range(0.0..spread);
            self.later.put(at, Later::Start(n));
        }
    }

    fn partner_gone(&mut self, n: usize) {
        let Some(leader) = self.fleet.leader() else { return };
        let state = self.fleet.state(leader);
        let next = state.highest_number + 1;
        let partner = self.world.partner(n);
        let Some((map, gone)) = self.world.without(state, next, &partner) else { return };
        let mut version = version(next, map);
        version.excluded_nodes.removed = gone;
        let _ = self.propose(version);
    }

    /// Back: the broker trusts its clock no more in this run. Forward: leases are over sooner; a voter's stays, as what
    /// it waits for would be too short, which the bound on drift is there to forbid.
    fn clock(&mut self, n: usize) {
        let by = self.chance.random_range(0.1..5.0);
        let forward = n >= self.shape.voters && self.chance.random::<bool>();
        if forward {
            self.fleet.brokers[n].offset += by;
        } else {
            self.fleet.set_back(n, by);
            // Its watchman starts it anew.
            self.later.put(self.fleet.now + LASTS, Later::Restart(vec![n]));
        }
    }

    /// One at a time, and not before the last one is back in its place.
    fn lost_folder(&mut self, n: usize) {
        let whole = (0..self.shape.voters).all(|n| {
            let voter = &self.fleet.brokers[n];
            voter.voter.as_ref().is_some_and(Voter::has_state) && !voter.disk.is_empty()
        });
        if whole && self.fleet.is_whole() {
            self.fleet.kill(n);
            self.fleet.empty(n);
            self.fleet.start(n);
        }
    }

    /// What a faulty proposer puts into the log is ignored by all alike.
    fn faulty(&mut self, n: usize) {
        let Some(leader) = self.fleet.leader() else { return };
        let state = self.fleet.state(leader);
        let next = state.highest_number + 1;
        let mut wrong = version(next, self.world.changed(state, next, 0, &mut self.chance));
        match n % 4 {
            0 => wrong.number += 7,
            1 => wrong.map.as_mut().expect("it has one").digest = String::from("0123"),
            2 => drop(wrong.map.as_mut().expect("it has one").segments.remove(1)),
            _ => wrong.rules.retry_budget_ratio = f64::NAN,
        }
        let entry = dunepond_consensus::Command::Propose(Box::new(wrong));
        let _ = self.fleet.propose_at(leader, entry, true);
    }

    pub(super) fn happens(&mut self, later: Later) {
        match later {
            Later::Start(n) if !self.fleet.up(n) => self.fleet.start(n),
            Later::Start(_) => {}
            Later::Restart(some) => {
                for n in some {
                    self.fleet.kill(n);
                    self.fleet.start(n);
                }
            }
            Later::Heal => self.fleet.heal(),
            Later::Calm => self.calm(),
            Later::Confirm(confirm) => self.end_stage(confirm),
        }
    }

    fn calm(&mut self) {
        (self.fleet.loss, self.fleet.double, self.fleet.late) = (0.0, 0.0, 0.0);
        self.fleet.delay = (0.001, 0.02);
    }

    pub(super) fn heal(&mut self) {
        self.fleet.heal();
        self.calm();
        for n in 0..self.shape.brokers {
            self.fleet.brokers[n].torn = false;
            // A broker whose clock went back trusts it no more in that run, or will not once it hears of it: its watchman's.
            let distrusts = |member: &dunepond_consensus::LeaseClient| member.distrust_reason().is_some();
            if self.fleet.set_back_in_run(n) || self.fleet.brokers[n].member.as_ref().is_some_and(distrusts) {
                self.fleet.kill(n);
            }
            if !self.fleet.up(n) {
                self.fleet.start(n);
            }
        }
    }
}
