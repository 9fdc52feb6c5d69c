//! The agreeing fleet at size: a play by seed, with faults as a fleet's days have them, alone and together, and figures
//! of what it cost. A play that ends has held all that the judge looks at.

mod fills;
mod trouble;
mod world;

use dunepond_consensus::{Command, ConfigVersion, ConsensusConfig, Rejection, Voter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Fleet, Load};
use crate::queue::Queue;
use fills::Fills;
use trouble::Later;
pub use world::{World, version};

/// Seconds between two troubles, at most.
const CALM: f64 = 1.2;
/// Seconds that a fleet that is whole again may take to act again, and to agree.
const BACK: f64 = 30.0;

/// What is played.
#[derive(Clone, Debug)]
pub struct Shape {
    pub brokers: usize,
    pub voters: usize,
    pub nodes: usize,
    pub partners: usize,
    pub segments: u64,
    pub zones: usize,
    /// Simulated seconds of trouble; none: a fleet at rest that agrees on a version every few seconds.
    pub trouble: f64,
    pub rest: f64,
    pub lease: f64,
    pub seed: u64,
}

impl Shape {
    /// Of so many brokers, as the experiment has it.
    pub fn of(brokers: usize, seed: u64) -> Self {
        Self {
            brokers,
            voters: 5.min(brokers),
            nodes: (brokers * 2).clamp(20, 5000),
            partners: (brokers / 10).clamp(5, 200),
            segments: 60,
            zones: 5,
            trouble: 20.0,
            rest: 0.0,
            lease: 2.0,
            seed,
        }
    }

    pub fn terms(&self) -> ConsensusConfig {
        ConsensusConfig {
            name: String::from("n0"),
            voters: (1..=self.voters).map(|n| format!("n{n}")).collect(),
            lease_seconds: self.lease,
            drift_ratio: 0.01,
            switch_bound_seconds: 2.0 * self.lease + 1.5,
            longest_query_seconds: 1.0,
            fill_deadline_seconds: 8.0,
            max_changed_ratio: 1.0,
            maps_enabled: true,
            map_requirements: dunepond_shard_map::MapConstraints { min_replicas: 1, min_zones: 1 },
        }
    }
}

/// What came of it. Times in simulated seconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// From when a version was agreed on as proposed until every broker that acts acts on it alone; without fills or stage,
    /// and with them.
    pub agreed: Vec<f64>,
    pub agreed_with_fills: Vec<f64>,
    /// The longest that anybody acted on a version alone after the next was agreed on; T at most.
    pub longest_alone: f64,
    pub bound: f64,
    /// From when a fill was done until its settlement was agreed on; and until a broker had heard of it, for each.
    pub settled: Vec<f64>,
    pub heard: Vec<f64>,
    pub in_force: usize,
    pub withdrawn: usize,
    pub refused: usize,
    pub settlements: usize,
    pub fills: usize,
    pub troubles: Vec<(&'static str, usize)>,
    /// Of the stretch that was measured: seconds, all brokers' loads, and which of them led at its end.
    pub seconds: f64,
    pub loads: Vec<Load>,
    pub leader: Option<usize>,
    pub trace: u64,
}

pub struct Play {
    pub fleet: Fleet,
    pub shape: Shape,
    pub report: Report,
    world: World,
    fills: Fills,
    later: Queue<Later>,
    chance: Pcg64Mcg,
    /// Versions that were proposed and are to be acted on by all: number, and whether it has fills or a stage.
    open: Vec<(u64, bool)>,
}

impl Play {
    pub fn new(shape: Shape) -> Self {
        let world = World::new(shape.nodes, shape.partners, shape.segments);
        let mut fleet = Fleet::of(&shape.terms(), shape.brokers, world.watched(), shape.seed);
        (fleet.pace, fleet.told) = (shape.lease / 100.0, Some(Vec::new()));
        let fills = Fills::new(&world, shape.seed);
        let chance = Pcg64Mcg::seed_from_u64(!shape.seed);
        let report = Report { bound: shape.terms().switch_bound_seconds, ..Report::default() };
        Self { fleet, shape, report, world, fills, later: Queue::default(), chance, open: Vec::new() }
    }

    /// Up, with version 1 in force.
    pub fn begin(&mut self) {
        assert!(self.until(BACK, |fleet| fleet.leader().is_some() && fleet.all_live()), "no lease");
        let first = version(1, self.world.map(1));
        self.propose(first).expect("the first version");
        assert!(
            self.until(BACK, |fleet| fleet.all(&dunepond_consensus::ConfigPhase::Active(1))),
            "version 1 is in force everywhere"
        );
    }

    pub fn run(mut self) -> Report {
        self.begin();
        self.rest();
        let end = self.fleet.now + self.shape.trouble;
        while self.fleet.now < end {
            self.trouble();
            let pause = self.chance.random_range(0.0..CALM);
            self.until(pause, |_| false);
        }
        if self.shape.trouble > 0.0 {
            self.recover();
        }
        self.done()
    }

    /// A version every few leases, nothing fails; this is what is measured.
    fn rest(&mut self) {
        if self.shape.rest <= 0.0 {
            return;
        }
        self.until(2.0 * self.shape.lease, |_| false);
        let (from, before) = (self.fleet.now, self.loads());
        let mut next = from;
        while self.fleet.now < from + self.shape.rest {
            if self.fleet.now >= next {
                self.next_version(0.3, 0.0);
                next += 3.0 * self.shape.lease;
            }
            self.step();
        }
        self.report.seconds = self.fleet.now - from;
        let less = |(now, then): (Load, Load)| Load {
            sent: now.sent - then.sent,
            received: now.received - then.received,
            bytes_sent: now.bytes_sent - then.bytes_sent,
            bytes_received: now.bytes_received - then.bytes_received,
            spent: now.spent - then.spent,
        };
        self.report.loads = self.loads().into_iter().zip(before).map(less).collect();
        self.report.leader = self.fleet.leader();
    }

    fn loads(&self) -> Vec<Load> {
        self.fleet.brokers.iter().map(|broker| broker.load).collect()
    }

    /// All is healed: whatever was open ends, and the next version comes into force everywhere.
    fn recover(&mut self) {
        self.later = Queue::default();
        self.heal();
        let back = |fleet: &Fleet| fleet.leader().is_some() && fleet.all_live();
        assert!(self.until(BACK, back), "{:.2}: all act again", self.fleet.now);
        let end = self.fleet.now + BACK;
        while self.fleet.leader().is_none_or(|leader| self.fleet.state(leader).open.is_some()) {
            assert!(self.fleet.now < end, "{:.2}: what is open comes to an end", self.fleet.now);
            self.end_stage(false);
            self.until(0.5, |_| false);
        }
        let leader = self.fleet.leader().expect("it leads");
        let next = self.fleet.state(leader).highest_number + 1;
        let map = self.world.changed(self.fleet.state(leader), next, 0, &mut self.chance);
        self.propose(version(next, map)).expect("the next version");
        let all = |fleet: &Fleet| fleet.all(&dunepond_consensus::ConfigPhase::Active(next));
        let agreed = self.until(BACK, all);
        let phases: Vec<_> = (0..self.shape.brokers).map(|n| self.fleet.phase(n)).collect();
        assert!(agreed, "{:.2}: version {next} everywhere: {phases:?}", self.fleet.now);
        for n in 0..self.shape.voters {
            let seated = self.fleet.brokers[n].voter.as_ref().is_some_and(Voter::has_state);
            assert!(seated, "n{} is in its place again", n + 1);
        }
    }

    fn done(mut self) -> Report {
        self.heard();
        let judge = &self.fleet.judge;
        self.report.longest_alone = judge.longest;
        (self.report.in_force, self.report.withdrawn) = (judge.in_force_at.len(), judge.withdrawn.len());
        self.report.settlements = judge.settled_at.len();
        let done = |id: &String| self.fills.done_at.get(id);
        let settled = judge.settled_at.iter().filter_map(|(id, at)| Some((at - done(id)?).max(0.0)));
        self.report.settled = settled.collect();
        self.report.fills = self.fills.done_at.len();
        self.report.trace = self.fleet.trace;
        self.report
    }

    fn heard(&mut self) {
        let told = self.fleet.told.replace(Vec::new()).unwrap_or_default();
        let mut first = std::collections::BTreeSet::new();
        for (at, n, id) in told {
            // After a restart it hears of all again.
            if let Some(settled) = self.fleet.judge.settled_at.get(&id)
                && first.insert((n, id))
            {
                self.report.heard.push((at - settled).max(0.0));
            }
        }
    }

    pub fn until(&mut self, seconds: f64, done: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.fleet.now + seconds;
        while self.fleet.now < end {
            if done(&self.fleet) {
                return true;
            }
            self.step();
        }
        done(&self.fleet)
    }

    fn step(&mut self) {
        while let Some(later) = self.later.due(self.fleet.now) {
            self.happens(later);
        }
        self.fleet.step();
        self.fills.step(&mut self.fleet, &self.world);
        let (now, judge) = (self.fleet.now, &self.fleet.judge);
        let report = &mut self.report;
        self.open.retain(|(number, more)| {
            let Some(at) = judge.proposed_at.get(number) else { return !judge.withdrawn.contains(number) };
            let agreed = judge.in_force_at.contains_key(number) && judge.all_from(*number);
            if agreed {
                let kind = if *more { &mut report.agreed_with_fills } else { &mut report.agreed };
                kind.push(now - at);
            }
            !agreed && !judge.withdrawn.contains(number)
        });
    }

    fn propose(&mut self, version: ConfigVersion) -> Result<(), Rejection> {
        let more = version.first_stage_ratio.is_some() || self.world.wants(&version);
        let number = version.number;
        let said = self.fleet.propose(Command::Propose(Box::new(version)));
        match &said {
            Ok(()) => self.open.push((number, more)),
            Err(_) => self.report.refused += 1,
        }
        said
    }

    /// Made from what is in force at the leader. `cold`, `staged`: chances of a fill and of a stage.
    fn next_version(&mut self, cold: f64, staged: f64) {
        let Some(leader) = self.fleet.leader() else { return };
        let state = self.fleet.state(leader);
        let next = state.highest_number + 1;
        let fills = if self.chance.random::<f64>() < cold { self.chance.random_range(1..4) } else { 0 };
        let mut version = version(next, self.world.changed(state, next, fills, &mut self.chance));
        version.first_stage_ratio = (self.chance.random::<f64>() < staged).then_some(0.3);
        let _ = self.propose(version);
    }

    /// By the operator's word, if a version is at its stage.
    fn end_stage(&mut self, confirm: bool) {
        let Some(leader) = self.fleet.leader() else { return };
        let number = self.fleet.state(leader).highest_number;
        let end = match confirm {
            true => Command::Activate { number },
            false => Command::Withdraw { number, why: String::from("by hand") },
        };
        let _ = self.fleet.propose(end);
    }
}
