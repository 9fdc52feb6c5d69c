//! What the module holds of scans, dispatches and nodes. Nothing here decides.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::policy::Shutdown;
use crate::{
    AttemptOutcome, Deployment, Endpoint, EndpointState, LearnedSample, NodeId, Query, QueryId, QuotaDemand,
    QuotaShares, Rules,
};

/// One broker: what it was told, what it holds, and what it has seen.
pub struct Router {
    pub(crate) site: Deployment,
    /// What holds now of that which may change.
    pub(crate) rules: Arc<Rules>,
    pub(crate) now: f64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) nodes: Vec<Option<Node>>,
    /// Nodes by cell: only a segment's holders are looked at, or each part would cost more in a larger fleet.
    pub(crate) cells: Vec<Vec<NodeId>>,
    pub(crate) scans: BTreeMap<QueryId, Held>,
    /// How long the last dispatches to each zone took, and when each was over.
    pub(crate) zones: Vec<VecDeque<(f64, f64)>>,
    /// What dispatches to each zone take.
    pub(crate) zone_usual: Vec<f64>,
    /// How long the last completions at warm nodes took, when each was in, and one node's part of it:
    /// after a crash of many the list is short, and what all of them did would be taken for what few do.
    pub(crate) fleet: VecDeque<(f64, f64, f64)>,
    pub(crate) warm: usize,
    /// What a warm node has completed for us, in parts.
    pub(crate) done: f64,
    /// Benefit for the work of the last scans that came.
    pub(crate) density: VecDeque<f64>,
    /// Scans taken within its share, by customer.
    pub(crate) within: Vec<VecDeque<f64>>,
    /// What the last first try was given, by customer and table type.
    pub(crate) full_try: Vec<f64>,
    /// Scans and parts taken: when, how many, and how many before them.
    pub(crate) taken: VecDeque<(f64, f64, f64)>,
    pub(crate) again: VecDeque<f64>,
    /// The longest window of a budget that has held: what was spent is kept for as long.
    pub(crate) window: f64,
    /// When the last probes ended, and whether with more than a sign of life.
    pub(crate) probes: VecDeque<(f64, bool)>,
    /// When what was sent after an idle time broke at once, or after one alike did not, and how long it was.
    pub(crate) reaped: VecDeque<(f64, f64, bool)>,
    pub(crate) wake_due: f64,
    /// When the list is to be asked for; never where it is pushed. And how often in a row it refused.
    pub(crate) ask_at: f64,
    pub(crate) refusals: i32,
    /// What dispatches take at the median and nearly all of them, worked out once: a burst asks often.
    pub(crate) median: f64,
    pub(crate) nearly_all: f64,
    /// When the last scans that had parts sent ended, and whether past their target time.
    pub(crate) missed: VecDeque<(f64, bool)>,
    /// The least that the median has been: what dispatches take at ease.
    pub(crate) ease: f64,
    pub(crate) longest_target: f64,
    pub(crate) shortest_target: f64,
    /// When we took all to be spent that could be, as it is not known what an earlier process of ours spent.
    pub(crate) owes: f64,
    /// What a warm node completed for us each second when we last woke: with scans held, in a rush.
    pub(crate) seen: f64,
    /// Our parts of what all brokers share.
    pub(crate) limits: QuotaShares,
    /// The shutdown under way, once the process has been told to end.
    pub(crate) shutdown: Option<Shutdown>,
    /// How often there was no room for a further dispatch since that was asked for.
    pub(crate) refused: Cell<f64>,
}

pub struct Shot {
    pub node: NodeId,
    pub at: f64,
    pub end: Option<AttemptOutcome>,
}

pub struct Piece {
    pub seg: usize,
    pub weight: f64,
    /// The only node that may have it.
    pub only: Option<NodeId>,
    pub done: bool,
    /// Done without having been sent: what it could bring is known to be nothing.
    pub left: bool,
    pub shots: Vec<Shot>,
}

/// A scan that has been taken and not ended.
pub struct Held {
    pub id: QueryId,
    pub table_type: usize,
    pub customer: usize,
    pub admitted: bool,
    /// It came too late in a shutdown for its client's time.
    pub outlasts: bool,
    pub target_at: f64,
    pub ends_at: f64,
    pub came: f64,
    /// When something about it may change by time alone: a burst's scans are not all passed at each wake.
    pub due: f64,
    pub pieces: Vec<Piece>,
    /// Where the pieces of the present step begin.
    pub step_from: usize,
    pub second: bool,
    /// When its holders were probed.
    pub asked: Option<f64>,
    /// Its text cannot be had again once its parts have gone out; and it can be had no more.
    pub once: bool,
    pub spent: bool,
    /// Its frames take their time.
    pub long: bool,
    pub waits: bool,
    pub audit: bool,
    /// What held when it came.
    pub rules: Arc<Rules>,
}

pub struct Out {
    pub scan: QueryId,
    pub table_type: usize,
    pub part: usize,
    pub shot: usize,
    pub at: f64,
    /// For how long nothing had passed between us and the node when it was sent.
    pub idle: f64,
    /// All of its frame has gone out; before, the node owes no answer.
    pub framed: bool,
}

pub struct Sample {
    pub table_type: usize,
    pub sent: f64,
    pub took: f64,
    pub at: f64,
    pub served: bool,
    pub fault: bool,
}

/// A node that gave nothing, or faults, and that new work keeps away from, but for a trickle.
pub struct Aside {
    pub again: f64,
    pub room: usize,
}

/// The token bucket of a cold node: what was left in it, and what a warm node had completed for us, at a time.
#[derive(Clone, Copy)]
pub struct Tokens {
    pub left: f64,
    pub done: f64,
    pub at: f64,
}

pub struct Node {
    pub zone: usize,
    pub standing: EndpointState,
    pub started: f64,
    pub tokens: Tokens,
    pub heard: f64,
    /// When something was last sent to it or came back.
    pub used: f64,
    /// When it last turned a part away as full.
    pub refused: f64,
    /// When it last answered a probe.
    pub replied: f64,
    pub outs: Vec<Out>,
    /// When the node should be through with dispatches that we no longer wait for.
    pub ghosts: Vec<f64>,
    pub samples: VecDeque<Sample>,
    pub sent_cold: VecDeque<f64>,
    pub aside: Option<Aside>,
}

impl Sample {
    /// As another process may take it, in ages.
    pub fn aged(&self, now: f64) -> LearnedSample {
        let &Self { table_type, sent, took, at, served, fault } = self;
        let ago = |at: f64| (now - at).max(0.0);
        LearnedSample {
            class: table_type,
            sent_ago: ago(sent),
            latency: took,
            ended_ago: ago(at),
            served,
            fault,
        }
    }

    /// On our own clock again.
    pub fn dated(belief: &LearnedSample, now: f64) -> Self {
        let &LearnedSample { class: table_type, sent_ago, latency: took, ended_ago: ago, served, fault } =
            belief;
        Self { table_type, sent: now - sent_ago, took, at: now - ago, served, fault }
    }
}

impl Router {
    /// One that has been told nothing but what its deployment states.
    pub(crate) fn holding_nothing(site: Deployment) -> Self {
        Self {
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(site.seed),
            nodes: Vec::new(),
            cells: vec![Vec::new(); site.replica_groups],
            scans: BTreeMap::new(),
            zones: Vec::new(),
            zone_usual: Vec::new(),
            fleet: VecDeque::new(),
            warm: 1,
            done: 0.0,
            density: VecDeque::new(),
            within: site.quotas.iter().map(|_| VecDeque::new()).collect(),
            full_try: Vec::new(),
            taken: VecDeque::new(),
            again: VecDeque::new(),
            window: site.retry_budget.as_ref().map_or(0.0, |b| b.window),
            rules: Arc::new(Rules::of(&site)),
            probes: VecDeque::new(),
            reaped: VecDeque::new(),
            wake_due: f64::MAX,
            ask_at: if site.list_poll_deadline.is_some() { f64::MIN } else { f64::MAX },
            refusals: 0,
            median: 0.0,
            nearly_all: 0.0,
            seen: 0.0,
            missed: VecDeque::new(),
            owes: f64::MIN,
            limits: QuotaShares::default(),
            shutdown: None,
            refused: Cell::new(0.0),
            ease: f64::MAX,
            shortest_target: site.query_classes.iter().map(|t| t.latency_objective).fold(f64::MAX, f64::min),
            longest_target: site.query_classes.iter().map(|t| t.latency_objective).fold(0.0, f64::max),
            site,
        }
    }

    /// Our parts of bounds that hold for all brokers together, from now on.
    pub fn set_quota_shares(&mut self, limits: QuotaShares) {
        self.limits = limits;
    }

    /// What we would use of them, over the last `seconds`; refusals since they were asked for last.
    pub fn quota_demand(&self, seconds: f64) -> QuotaDemand {
        let made = self.again.iter().filter(|at| **at > self.now - seconds).count();
        QuotaDemand {
            slow_start: self.completes(),
            retries: made as f64,
            retries_denied: self.refused.take(),
        }
    }

    pub(crate) fn noted(&self, room: bool) -> bool {
        self.refused.set(self.refused.get() + f64::from(!room));
        room
    }
}

impl Shot {
    /// It is known not to have run.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.end,
            Some(AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
        )
    }
}

impl Piece {
    pub fn out(&self) -> impl Iterator<Item = &Shot> {
        self.shots.iter().filter(|s| s.end.is_none())
    }
}

impl Held {
    /// A scan as it comes in, before its parts are entered.
    pub fn new(scan: &Query, now: f64, target_at: f64, rules: Arc<Rules>) -> Self {
        Self {
            id: scan.id,
            table_type: scan.class,
            customer: scan.tenant,
            admitted: false,
            outlasts: false,
            target_at,
            ends_at: now + scan.expires_in,
            came: now,
            due: f64::MAX,
            pieces: Vec::new(),
            step_from: 0,
            second: false,
            asked: None,
            once: !scan.body_retained,
            spent: false,
            long: scan.streamed,
            waits: scan.awaits_prefilter,
            audit: scan.audit,
            rules,
        }
    }

    /// The pieces of the present step.
    pub fn step(&self) -> &[Piece] {
        &self.pieces[self.step_from..]
    }

    pub fn weight(&self, counts: impl Fn(&Piece) -> bool) -> f64 {
        self.step().iter().filter(|p| counts(p)).map(|p| p.weight).sum()
    }
}

impl Node {
    /// What it holds of ours, as far as we know.
    pub fn outstanding(&self) -> f64 {
        (self.outs.len() + self.ghosts.len()) as f64
    }

    /// A node as it is first listed.
    pub fn new(row: &Endpoint, tokens: Tokens) -> Self {
        Self {
            zone: row.zone,
            standing: row.state,
            started: row.started_at,
            tokens,
            heard: f64::MIN,
            used: f64::MAX,
            refused: f64::MIN,
            replied: f64::MIN,
            outs: Vec::new(),
            ghosts: Vec::new(),
            samples: VecDeque::new(),
            sent_cold: VecDeque::new(),
            aside: None,
        }
    }
}

/// Adds to samples that are kept up to a number.
pub fn keep_last<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    samples.push_back(sample);
    if samples.len() > most {
        samples.pop_front();
    }
}
