//! A fleet in one process, in time of its own: links that lose, double, delay and reorder, clocks that drift, brokers
//! that crash and stand still. After each step all is checked that must hold at every moment.

use std::collections::{BTreeSet, HashMap};
use std::ops::Deref;

use dunepond_consensus::*;
use dunepond_settlement::Settlement;
use dunepond_shard_map::{KeyRange, Replica, Segment, ShardMap};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::debts;
use crate::judge::Judge;
use crate::queue::Queue;

pub const STEP: f64 = 0.01;
/// Seconds after which a late copy comes.
const LATE: (f64, f64) = (2.0, 30.0);
/// What is kept of a broker's refusals.
const REFUSALS: usize = 1000;
pub const DRIFT: f64 = 0.01;
/// Of the small map.
pub const SEGMENTS: u64 = 4;

pub fn terms(name: &str, voters: usize) -> ConsensusConfig {
    ConsensusConfig {
        name: name.to_string(),
        voters: (1..=voters).map(|n| format!("n{n}")).collect(),
        lease_seconds: 1.0,
        drift_ratio: DRIFT,
        switch_bound_seconds: 2.0,
        longest_query_seconds: 0.5,
        fill_deadline_seconds: 5.0,
        max_changed_ratio: 1.0,
        maps_enabled: true,
        map_requirements: dunepond_shard_map::MapConstraints { min_replicas: 1, min_zones: 1 },
    }
}

pub fn rules(cap: usize) -> RoutingRules {
    RoutingRules {
        minimum_shares: vec![0.5],
        complete_at: vec![1.0],
        retry_budget_ratio: 0.1,
        retry_budget_min: 10.0,
        drain_grace_seconds: 1.0,
        slow_start_multiple: 2.0,
        max_attempts: cap,
        hedging_enabled: true,
        keyed_retries_enabled: true,
        max_retry_after_seconds: 5.0,
    }
}

/// Each segment has two filled holders; the owner of one of them is another with each epoch. `cold`: and a third holder
/// of segment 0 that has to be filled first.
pub fn map(epoch: u64, cold: bool) -> ShardMap {
    let width = (1u128 << 64) / u128::from(SEGMENTS);
    let holder =
        |node: String, filled, share| Replica { node, partner: String::from("north"), filled, share };
    let segments = (0..SEGMENTS).map(|id| {
        // How often this one has moved by now.
        let moves = (epoch + SEGMENTS - 1 - id) / SEGMENTS;
        let mut holders = vec![holder(format!("s{id}a"), true, 0.5), holder(format!("s{id}b"), true, 0.5)];
        if cold && id == 0 {
            holders.push(holder(format!("cold{epoch}"), false, 0.0));
        }
        let keys = KeyRange::between(u128::from(id) * width, u128::from(id + 1) * width);
        Segment { id, keys, owner: format!("s{id}{}", ["a", "b"][moves as usize % 2]), replicas: holders }
    });
    let segments = segments.collect();
    ShardMap { epoch, hash: String::from("xxh3-64"), segments, digest: String::new() }.with_digest()
}

pub fn version(number: u64, map: Option<ShardMap>) -> ConfigVersion {
    ConfigVersion {
        number,
        based_on: None,
        first_stage_ratio: None,
        rules: rules(1 + number as usize % 8),
        excluded_nodes: ExcludedNodes::default(),
        map,
        proposed_by: String::from("ann"),
        reason: String::from("a test"),
        proposed_at_unix_seconds: 0.0,
        extensions: Vec::new(),
    }
}

/// Of the fill of this name, for version 1.
pub fn settlement(fill: &str) -> Settlement {
    let text = String::from;
    let (debtor, creditor) = (text("north"), text("south"));
    Settlement {
        id: format!("1/{fill}/s0a@fleet"),
        debtor,
        creditor,
        bytes: 10,
        segment: 0,
        holder: text("s0a"),
        source: text("s0b"),
    }
}

#[derive(Clone)]
enum Wire {
    Voters(Vec<u8>),
    Ask(LeaseRequest),
    Told(LeaseReply),
}

impl Wire {
    /// Bytes as the hosts send them, without the links' own.
    fn size(&self) -> u64 {
        use postcard::{ser_flavors::Size, serialize_with_flavor};
        let size = match self {
            Self::Voters(bytes) => Ok(bytes.len()),
            Self::Ask(ask) => serialize_with_flavor(ask, Size::default()),
            Self::Told(told) => serialize_with_flavor(told, Size::default()),
        };
        size.expect("plain data") as u64
    }
}

/// What a broker had to do with others, and how long its cores took for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub sent: u64,
    pub received: u64,
    pub bytes_sent: u64,
    pub bytes_received: u64,
    /// Nanoseconds, where the fleet has a [`Fleet::meter`].
    pub spent: u64,
}

struct Flying {
    size: u64,
    from: usize,
    to: usize,
    wire: Wire,
}

pub struct Broker {
    pub name: String,
    pub voter: Option<Voter>,
    pub member: Option<LeaseClient>,
    /// What is synced to its folder.
    pub disk: Vec<Vec<u8>>,
    pub(crate) kept: PersistedState,
    pub(crate) votes: bool,
    /// Own clock: rate by the true time, and what it shows at its start.
    pub rate: f64,
    pub offset: f64,
    pub still_until: f64,
    /// What its clock showed in its last turn, and whether it was set back since.
    looked: f64,
    went_back: bool,
    /// Its clock was set back while it stood still, by less than that time: it cannot notice. Leases whose questions are
    /// older than this reading of it last longer than the terms allow.
    pub hidden: Option<f64>,
    /// Dies while it writes its next record, which is torn.
    pub torn: bool,
    pub refusals: Vec<Rejection>,
    pub log: Vec<String>,
    pub load: Load,
    /// As its file says.
    pub terms: ConsensusConfig,
}

/// The fleet, and its judge: what that has seen is read as if it were the fleet's own.
pub struct Fleet {
    pub now: f64,
    /// Seconds between two turns of each broker; what comes in between waits for the next, as in a host.
    pub pace: f64,
    pub brokers: Vec<Broker>,
    pub rng: Pcg64Mcg,
    flying: Queue<Flying>,
    names: HashMap<String, usize>,
    pub judge: Judge,
    /// Sides of the network: brokers of different ones hear nothing of each other.
    pub sides: Vec<u32>,
    /// From, to: nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub double: f64,
    /// Seconds, least and most: what was sent later may come sooner.
    pub delay: (f64, f64),
    /// Chance that a copy of a message comes again much later.
    pub late: f64,
    /// All its links take 0.8 s and lose a fifth.
    pub slow: Option<usize>,
    /// As the files say that a start reads.
    pub lease: f64,
    /// Segments whose non-replayable parts are sent wherever they may be, at each step.
    pub watched: Vec<u64>,
    pub sent: u64,
    /// Of all that came and what became of it, in order: two plays are the same if this is.
    pub trace: u64,
    /// Nanoseconds of processor time so far; measured around each call of a core, and no part of the play.
    pub meter: Option<fn() -> u64>,
    /// Settlements that brokers heard of, if they are to be taken: when, who, which.
    pub told: Option<Vec<(f64, usize, String)>>,
}

impl Deref for Fleet {
    type Target = Judge;

    fn deref(&self) -> &Judge {
        &self.judge
    }
}

impl Fleet {
    pub fn new(voters: usize, others: usize, seed: u64) -> Self {
        Self::of(&terms("", voters), voters + others, vec![0, 1, 2, 3], seed)
    }

    /// By these terms, each broker under a name of its own; the first ones vote.
    pub fn of(terms: &ConsensusConfig, brokers: usize, watched: Vec<u64>, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let brokers = (1..=brokers).map(|n| Broker {
            name: format!("n{n}"),
            voter: None,
            member: None,
            disk: Vec::new(),
            kept: PersistedState::default(),
            votes: n <= terms.voters.len(),
            rate: 1.0 + terms.drift_ratio * [-1.0, 0.0, 1.0][rng.random_range(0..3)],
            offset: rng.random_range(0.0..1000.0),
            still_until: 0.0,
            looked: f64::NEG_INFINITY,
            went_back: false,
            hidden: None,
            torn: false,
            refusals: Vec::new(),
            log: Vec::new(),
            load: Load::default(),
            terms: ConsensusConfig { name: format!("n{n}"), ..terms.clone() },
        });
        let brokers: Vec<_> = brokers.collect();
        let names = brokers.iter().enumerate().map(|(n, broker)| (broker.name.clone(), n)).collect();
        let count = brokers.len();
        let mut fleet = Self {
            now: 0.0,
            pace: STEP,
            rng,
            flying: Queue::default(),
            names,
            judge: Judge::default(),
            sides: vec![0; count],
            cut: BTreeSet::new(),
            loss: 0.0,
            double: 0.0,
            delay: (0.001, 0.02),
            late: 0.0,
            slow: None,
            lease: terms.lease_seconds,
            watched,
            sent: 0,
            trace: seed,
            meter: None,
            told: None,
            brokers,
        };
        (0..count).for_each(|n| fleet.start(n));
        fleet
    }
    /// In a fleet that has a leader and whose brokers all have a lease.
    pub fn settled(voters: usize, others: usize, seed: u64) -> Self {
        let mut fleet = Self::new(voters, others, seed);
        assert!(fleet.until(10.0, |fleet| fleet.all_live()), "no lease within 10 s");
        fleet
    }

    /// Settled, with version 1 and its map in force.
    pub fn mapped(voters: usize, others: usize, seed: u64) -> Self {
        let mut fleet = Self::settled(voters, others, seed);
        fleet
            .propose(Command::Propose(Box::new(version(1, Some(map(1, false))))))
            .expect("the first version");
        assert!(
            fleet.until(10.0, |fleet| fleet.all(&ConfigPhase::Active(1))),
            "version 1 is in force everywhere"
        );
        fleet
    }

    pub fn clock(&self, n: usize) -> f64 {
        self.brokers[n].offset + self.brokers[n].rate * self.now
    }

    pub fn up(&self, n: usize) -> bool {
        self.brokers[n].member.is_some()
    }

    fn awake(&self, n: usize) -> bool {
        self.up(n) && self.now >= self.brokers[n].still_until
    }

    pub fn start(&mut self, n: usize) {
        let (clock, seed) = (self.clock(n), self.rng.random());
        let broker = &mut self.brokers[n];
        let terms = ConsensusConfig { lease_seconds: self.lease, ..broker.terms.clone() };
        (broker.looked, broker.went_back, broker.hidden) = (clock, false, None);
        broker.member = Some(LeaseClient::new(terms.clone(), Some(broker.kept.clone()), clock, seed));
        if broker.votes {
            let mut saved = StoredVoter::new();
            broker.disk.iter().for_each(|record| saved.apply_record(record).expect("a record of its own"));
            broker.voter = Some(Voter::open(terms, saved, clock, seed ^ 1).expect("its own folder"));
        }
    }

    pub fn kill(&mut self, n: usize) {
        (self.brokers[n].voter, self.brokers[n].member, self.brokers[n].still_until) = (None, None, 0.0);
        self.brokers[n].torn = false;
        // What was on its way to the process is gone with its connections.
        self.flying.retain(|flying| flying.to != n);
    }

    pub fn empty(&mut self, n: usize) {
        self.brokers[n].disk.clear();
        self.brokers[n].kept = PersistedState::default();
    }

    /// Another broker, which does not vote, comes in the place of this one, for good.
    pub fn replace(&mut self, n: usize, name: &str) {
        self.kill(n);
        self.empty(n);
        let broker = &mut self.brokers[n];
        self.names.remove(&broker.name);
        (broker.name, broker.terms.name) = (name.to_string(), name.to_string());
        self.names.insert(name.to_string(), n);
        // What the one before said is not answered any more.
        self.flying.retain(|flying| flying.from != n);
        self.start(n);
    }

    pub fn stop(&mut self, n: usize, seconds: f64) {
        self.brokers[n].still_until = self.now + seconds;
    }

    /// The clock goes back by so many seconds.
    pub fn set_back(&mut self, n: usize, by: f64) {
        let broker = &mut self.brokers[n];
        (broker.offset, broker.went_back) = (broker.offset - by, true);
    }

    /// Its clock went back in this run, seen or not.
    pub fn set_back_in_run(&self, n: usize) -> bool {
        let broker = &self.brokers[n];
        broker.went_back || broker.hidden.is_some()
    }

    /// Whether one that looks again can see that its clock went back.
    fn look(&mut self, n: usize) {
        let clock = self.clock(n);
        let broker = &mut self.brokers[n];
        if std::mem::take(&mut broker.went_back) && clock >= broker.looked {
            broker.hidden = Some(clock);
        }
        broker.looked = clock;
    }

    /// Links are open inside each group, and cut between them.
    pub fn split(&mut self, groups: &[&[usize]]) {
        let group = |n: usize| groups.iter().position(|group| group.contains(&n));
        let all = 0..self.brokers.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        self.cut = pairs.filter(|(a, b)| a != b && (group(*a) != group(*b) || group(*a).is_none())).collect();
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.sides.fill(0);
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.brokers.len())
            .find(|n| self.awake(*n) && self.brokers[*n].voter.as_ref().is_some_and(Voter::is_leader))
    }

    pub fn phase(&self, n: usize) -> ConfigPhase {
        self.brokers[n]
            .member
            .as_ref()
            .map_or(ConfigPhase::Unconfigured, |member| member.active_config().phase(self.clock(n)))
    }

    pub fn live(&self, n: usize) -> bool {
        self.brokers[n]
            .member
            .as_ref()
            .is_some_and(|member| member.active_config().lease_expires_at() > self.clock(n))
    }

    pub fn all_live(&self) -> bool {
        (0..self.brokers.len()).all(|n| !self.up(n) || self.live(n))
    }

    pub fn all(&self, phase: &ConfigPhase) -> bool {
        (0..self.brokers.len()).all(|n| !self.up(n) || self.phase(n) == *phase)
    }

    pub fn state(&self, n: usize) -> &ReplicatedState {
        self.brokers[n].voter.as_ref().expect("a voter that is up").state()
    }

    /// At the leader, as the host would.
    pub fn propose(&mut self, entry: Command) -> Result<(), Rejection> {
        let n = self.leader().ok_or(Rejection::NotLeader(None))?;
        self.propose_at(n, entry, false)
    }

    pub fn propose_at(&mut self, n: usize, entry: Command, unchecked: bool) -> Result<(), Rejection> {
        let clock = self.clock(n);
        let voter = self.brokers[n].voter.as_mut().expect("a voter that is up");
        let orders =
            if unchecked { voter.propose_unchecked(clock, entry) } else { voter.propose(clock, entry) }?;
        self.carry_out(n, orders);
        Ok(())
    }

    pub fn until(&mut self, seconds: f64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + seconds;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    pub fn run(&mut self, seconds: f64) {
        self.until(seconds, |_| false);
    }

    /// First the acts of those that wake, before they hear anything; then what came, then time.
    pub fn step(&mut self) {
        self.now += self.pace;
        for n in 0..self.brokers.len() {
            if self.awake(n) {
                self.look(n);
            }
        }
        self.act();
        while let Some(flying) = self.flying.due(self.now) {
            let (to, until) = (flying.to, self.brokers[flying.to].still_until);
            // What reaches one that stands still waits in its buffers.
            match self.up(to) && self.now < until {
                true => self.flying.put(until, flying),
                false => self.deliver(flying),
            }
        }
        for n in 0..self.brokers.len() {
            if self.awake(n) {
                self.turn(n);
            }
        }
        self.act();
    }

    fn turn(&mut self, n: usize) {
        let (clock, meter) = (self.clock(n), self.meter);
        let from = meter.map(|meter| meter());
        let broker = &mut self.brokers[n];
        let orders = broker.voter.as_mut().map(|voter| voter.tick(clock));
        let asked = match (&orders, &mut broker.member) {
            (None, Some(member)) => Some(member.tick(clock)),
            _ => None,
        };
        self.spent(n, from);
        if let Some(orders) = orders {
            self.carry_out(n, orders);
        }
        // A voter may have died of its orders.
        let asked = match asked {
            Some(asked) => asked,
            None => self.brokers[n].member.as_mut().and_then(|member| member.tick(clock)),
        };
        if let Some((voter, ask)) = asked {
            let to = self.named(&voter);
            self.send(n, to, Wire::Ask(ask));
        }
    }

    fn named(&self, name: &str) -> usize {
        *self.names.get(name).expect("a name of the fleet")
    }

    fn spent(&mut self, n: usize, from: Option<u64>) {
        if let (Some(meter), Some(from)) = (self.meter, from) {
            self.brokers[n].load.spent += meter() - from;
        }
    }

    fn note(&mut self, what: &[u64]) {
        for one in what {
            self.trace = (self.trace ^ one).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        }
    }

    fn deliver(&mut self, flying: Flying) {
        let (from, n) = (self.brokers[flying.from].name.clone(), flying.to);
        let clock = self.clock(n);
        if !self.up(n) {
            // A question to a dead process is refused by its host at once.
            let (name, clock) = (self.brokers[n].name.clone(), self.clock(flying.from));
            if let Wire::Ask(_) = flying.wire
                && let Some(member) = &mut self.brokers[flying.from].member
            {
                member.request_failed(clock, &name);
            }
            return;
        }
        if flying.from != n {
            self.brokers[n].load.received += 1;
            self.brokers[n].load.bytes_received += flying.size;
        }
        self.note(&[self.now.to_bits(), flying.from as u64, n as u64, flying.size]);
        let (meter, broker) = (self.meter, &mut self.brokers[n]);
        let since = meter.map(|meter| meter());
        let mut orders = None;
        match flying.wire {
            Wire::Voters(bytes) => {
                let voter = broker.voter.as_mut();
                orders = voter.and_then(|voter| match voter.receive(clock, &from, &bytes) {
                    Ok(orders) => Some(orders),
                    Err(ConsensusError::NotAVoter(_) | ConsensusError::StaleEpoch { .. }) => None,
                    Err(why) => panic!("a message of ours: {why}"),
                });
            }
            Wire::Ask(ask) => {
                orders = broker.voter.as_mut().map(|voter| voter.handle_lease_request(clock, &from, ask));
            }
            Wire::Told(told) => {
                let Some(member) = &mut broker.member else { return };
                if let Err(why) = member.handle_reply(clock, &from, told)
                    && broker.refusals.len() < REFUSALS
                {
                    broker.refusals.push(why);
                }
                broker.kept = member.persisted_state();
                if let Some(told) = &mut self.told {
                    told.extend(debts::heard(member).into_iter().map(|id| (self.now, n, id)));
                }
            }
        }
        self.spent(n, since);
        if let Some(orders) = orders {
            self.carry_out(n, orders);
        }
    }

    fn carry_out(&mut self, n: usize, orders: Effects) {
        if !orders.write_batch.is_empty() {
            if self.brokers[n].torn {
                // The record is torn: read back without it, and nothing that rests on it went out.
                self.kill(n);
                return;
            }
            if orders.write_batch.is_checkpoint() {
                self.brokers[n].disk =
                    vec![self.brokers[n].voter.as_ref().expect("it gave orders").checkpoint().encode()];
            } else {
                self.brokers[n].disk.push(orders.write_batch.encode());
            }
        }
        self.brokers[n].log.extend(orders.log_lines);
        for outcome in &orders.outcomes {
            self.note(&[n as u64, outcome.index, u64::from(outcome.result.is_ok())]);
            self.judge.applied(self.now, &self.brokers[n].name, outcome);
        }
        for (voter, bytes) in orders.messages {
            let to = self.named(&voter);
            self.send(n, to, Wire::Voters(bytes));
        }
        for (broker, told) in orders.replies {
            // One that asked may have gone for good.
            if let Some(to) = self.names.get(&broker).copied() {
                self.send(n, to, Wire::Told(told));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, wire: Wire) {
        self.sent += 1;
        let size = if from == to { 0 } else { wire.size() };
        if from != to {
            self.brokers[from].load.sent += 1;
            self.brokers[from].load.bytes_sent += size;
        }
        if from != to && self.late > 0.0 && self.rng.random::<f64>() < self.late {
            let after = self.rng.random_range(LATE.0..LATE.1);
            self.flying.put(self.now + after, Flying { size, from, to, wire: wire.clone() });
        }
        let (first, again) = self.copies(from, to);
        if let Some(after) = again {
            self.flying.put(self.now + after, Flying { size, from, to, wire: wire.clone() });
        }
        if let Some(after) = first {
            self.flying.put(self.now + after, Flying { size, from, to, wire });
        }
    }

    /// Each broker that is awake sends a non-replayable part wherever it may; then all that must hold is checked.
    fn act(&mut self) {
        self.judge.moment(self.now);
        for n in 0..self.brokers.len() {
            let broker = &self.brokers[n];
            let Some(member) = broker.member.as_ref().filter(|_| self.now >= broker.still_until) else {
                continue;
            };
            let acting = member.active_config();
            // Only this broker, only by this lease: what it does under a later one is judged again.
            if broker.hidden.is_some_and(|clock| acting.lease_started_at() < clock) {
                continue;
            }
            let clock = broker.offset + broker.rate * self.now;
            let (lasts, bound) =
                (broker.terms.longest_query_seconds / broker.rate, broker.terms.switch_bound_seconds);
            self.judge.acts(self.now, n, &acting, clock, &self.watched, lasts, bound);
        }
        self.judge.judged(self.now);
    }
}
