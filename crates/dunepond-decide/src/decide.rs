//! Every decision of a dunepond broker, and every figure tuned for one.
//!
//! How to call it: `Broker::new` with what the deployment states, then `listed` for each word of the
//! node list, `scan` for each scan with its parts, `second_step` for parts that an answer brought,
//! `ended` once for each dispatch, `probed` for each probe, `wake` when asked for, `client_left` when the
//! client has gone. Each gives its orders through `Host`; that and the plain types are in `lib.rs` beside.
//!
//! A scan passes `DOWN`, a chain of stages, at its arrival and again whenever something may have changed:
//! admission, time, tally, fork, further dispatches. What comes back from a node passes `UP`, the other
//! way: health first, then the scan that waits for it. Why each departure from the plain (n, k) fork-join
//! read is there, and when it acts, is told in docs/design.md.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::state::{Aside, Held, Node, Out, Piece, Sample, Shot};
use crate::{
    Beliefs, Deployment, End, Ended, Host, Ledger, Listed, NodeBelief, NodeId, Part, Repeat, Scan, ScanId,
    Standing,
};

/// Samples kept of the whole fleet, and of one node.
const FLEET_SAMPLES: usize = 64;
const NODE_SAMPLES: usize = 8;
/// In longest target times: what tells of the moment, and what tells anything of a node at all.
const LATELY: f64 = 2.0;
const FRESH: f64 = 8.0;
/// What takes longer than this multiple of what dispatches usually take is no good sign of node or zone.
const SLOW: f64 = 2.5;
/// A node is silent after this multiple of what nearly all dispatches take.
const SILENT: f64 = 2.0;
/// Faults among a node's samples that set it aside; a natural error now and then must not.
const FAULTS: usize = 2;
/// Later dispatches that must have come back before one that is withdrawn late is taken for lost.
const OVERTAKEN: usize = 2;
/// A node set aside rests for this multiple of what nearly all dispatches take, before its first trial.
const REST: f64 = 3.0;
/// A trickle this wide ends the setting aside.
const TRICKLE_END: usize = 8;
/// Wait, as a share of the target time, from which scans are turned away, and at which all are.
const PRESSED: f64 = 0.25;
const CRUSHED: f64 = 0.65;
/// Beyond this multiple of what is usual at ease there is no room for copies of what is merely late.
const CROWDED: f64 = 1.5;
/// How far scans that missed their target raise the wait towards crushed; so few of them say little.
const MISSED: f64 = 0.5;
const FEW: f64 = 4.0;
/// Nearly all dispatches take longer than this multiple of what is usual at ease: holders differ.
const DOUBT: f64 = 2.5;
/// What is probed is awaited for so many usual times at ease: the shorter queue answers first.
const ASKED: f64 = 6.0;
/// The share of the needed parts for which a probed holder must answer in time.
const FREE: f64 = 0.75;
/// Ticks within which what waits for nothing at the node comes back.
const PROMPT: f64 = 4.0;
/// Ticks by which a wake may be late before we take it that we stood still.
const STOOD_STILL: f64 = 10.0;
/// What a node in another zone weighs more, for the price of crossing or where none is stated: of two that
/// hold as much of ours, the near one costs less.
const FAR_A_PRICE: f64 = 7.5;
const FAR: f64 = 0.1;
/// A second step waits again, mostly for lighter parts.
const TWO_STEPS: f64 = 1.5;

enum Pass {
    On,
    Keep,
    End,
}

type Down = fn(&mut Broker, &mut dyn Host, &mut Held) -> Pass;
type Up = fn(&mut Broker, &mut dyn Host, &Ended);

const DOWN: [Down; 5] = [Broker::admit, Broker::in_time, Broker::tally, Broker::fork, Broker::further];
const UP: [Up; 2] = [Broker::health, Broker::returned];

pub struct Broker {
    site: Deployment,
    now: f64,
    rng: Pcg64Mcg,
    nodes: Vec<Option<Node>>,
    /// Nodes by cell: only a segment's holders are looked at, or each part would cost more in a larger fleet.
    cells: Vec<Vec<NodeId>>,
    scans: BTreeMap<ScanId, Held>,
    /// How long the last dispatches to each zone took, and when each was over.
    zones: Vec<VecDeque<(f64, f64)>>,
    /// What dispatches to each zone take.
    zone_usual: Vec<f64>,
    /// How long the last completions at warm nodes took, when each was in, and one node's part of it:
    /// after a crash of many the list is short, and what all of them did would be taken for what few do.
    fleet: VecDeque<(f64, f64, f64)>,
    warm: usize,
    /// Benefit for the work of the last scans that came.
    density: VecDeque<f64>,
    /// Scans taken within its share, by customer.
    within: Vec<VecDeque<f64>>,
    /// What the last first try was given, by customer and table type.
    full_try: Vec<f64>,
    taken: VecDeque<(f64, f64)>,
    taken_sum: f64,
    again: VecDeque<f64>,
    /// When the last probes ended, and whether with more than a sign of life.
    probes: VecDeque<(f64, bool)>,
    /// When what was sent after an idle time broke at once, or after one alike did not, and how long it was.
    reaped: VecDeque<(f64, f64, bool)>,
    wake_due: f64,
    /// What dispatches take at the median and nearly all of them, worked out once: a burst asks often.
    median: f64,
    nearly_all: f64,
    /// When the last scans that had parts sent ended, and whether past their target time.
    missed: VecDeque<(f64, bool)>,
    /// The least that the median has been: what dispatches take at ease.
    ease: f64,
    longest_target: f64,
    /// When we took all to be spent that could be, as it is not known what an earlier process of ours spent.
    owes: f64,
    /// What warm nodes are seen to complete for us each second.
    seen: f64,
}

fn never_ran(end: Option<End>) -> bool {
    matches!(end, Some(End::Full | End::NoConnection | End::NotSent))
}

fn keep_last<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    samples.push_back(sample);
    if samples.len() > most {
        samples.pop_front();
    }
}

impl Piece {
    fn out(&self) -> impl Iterator<Item = &Shot> {
        self.shots.iter().filter(|s| s.end.is_none())
    }

    fn cancel(&self, host: &mut dyn Host, site: &Deployment, scan: ScanId, part: usize) {
        let out = self.shots.iter().enumerate().filter(|(_, s)| site.may_cancel && s.end.is_none());
        out.for_each(|(shot, _)| host.cancel(scan, part, shot));
    }
}

impl Held {
    fn step(&self) -> &[Piece] {
        &self.pieces[self.step_from..]
    }

    fn weight(&self, counts: impl Fn(&Piece) -> bool) -> f64 {
        self.step().iter().filter(|p| counts(p)).map(|p| p.weight).sum()
    }
}

impl Aside {
    fn rest(now: f64, nearly_all: f64) -> Self {
        Self { again: now + REST * nearly_all, room: 1 }
    }
}

impl Node {
    /// What part of its capacity a node that started lately has at least.
    fn warmth(&self, site: &Deployment, now: f64) -> f64 {
        let aged = ((now - self.started) / site.cold.warm_after).clamp(0.0, 1.0);
        site.cold.from + (1.0 - site.cold.from) * aged
    }

    fn outstanding(&self) -> f64 {
        (self.outs.len() + self.ghosts.len()) as f64
    }

    fn fails(&self, table_type: usize, since: f64) -> bool {
        let faults = self.samples.iter().filter(|s| s.fault && s.sent > since);
        faults.filter(|s| s.table_type == table_type).count() >= FAULTS
    }

    /// Some table type has only gone well: the one that fails keeps away by itself, the others need the node.
    fn serves_others(&self) -> bool {
        let failed = |t: usize| self.samples.iter().any(|s| s.fault && s.table_type == t);
        self.samples.iter().any(|s| s.served && !failed(s.table_type))
    }

    fn silent(&self, now: f64) -> f64 {
        let owed = self.outs.iter().find(|o| o.framed);
        owed.map_or(0.0, |oldest| now - oldest.at.max(self.heard))
    }
}

impl Broker {
    pub fn new(site: Deployment) -> Self {
        let mut broker = Self {
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(site.seed),
            nodes: Vec::new(),
            cells: vec![Vec::new(); site.cells],
            scans: BTreeMap::new(),
            zones: Vec::new(),
            zone_usual: Vec::new(),
            fleet: VecDeque::new(),
            warm: 1,
            density: VecDeque::new(),
            within: site.quotas.iter().map(|_| VecDeque::new()).collect(),
            full_try: Vec::new(),
            taken: VecDeque::new(),
            taken_sum: 0.0,
            again: VecDeque::new(),
            probes: VecDeque::new(),
            reaped: VecDeque::new(),
            wake_due: f64::MAX,
            median: 0.0,
            nearly_all: 0.0,
            seen: 0.0,
            missed: VecDeque::new(),
            owes: f64::MIN,
            ease: f64::MAX,
            longest_target: site.table_types.iter().map(|t| t.target).fold(0.0, f64::max),
            site,
        };
        broker.measure();
        broker
    }

    pub fn listed(&mut self, host: &mut dyn Host, complete: bool, rows: &[Listed]) {
        self.hear(host);
        let missing = self.nodes.iter_mut().flatten().filter(|_| complete);
        missing.for_each(|node| node.standing = Standing::Gone);
        for row in rows {
            self.nodes.resize_with(self.nodes.len().max(row.node + 1), || None);
            self.zones.resize_with(self.zones.len().max(row.zone + 1), VecDeque::new);
            if self.nodes[row.node].is_none() {
                self.cells[row.cell % self.site.cells].push(row.node);
            }
            let node = self.nodes[row.node].get_or_insert_with(|| Node {
                zone: row.zone,
                standing: row.standing,
                started: row.started,
                told: self.now,
                phase: None,
                heard: f64::MIN,
                used: f64::MAX,
                refused: f64::MIN,
                replied: f64::MIN,
                outs: Vec::new(),
                ghosts: Vec::new(),
                samples: VecDeque::new(),
                sent_cold: VecDeque::new(),
                aside: None,
            });
            node.standing = row.standing;
            if row.started > node.started {
                // A new process under the old name: what we hold against the old one says nothing of it.
                node.started = row.started;
                node.told = self.now;
                node.samples.clear();
                node.ghosts.clear();
                node.aside = None;
            }
            if node.phase.is_none() && node.warmth(&self.site, self.now) < 1.0 {
                node.phase = Some(self.rng.random());
            }
        }
    }

    /// A node has gone and nothing of ours is out there: its index may be given to another.
    pub fn forget(&mut self, node: NodeId) {
        self.nodes[node] = None;
        self.cells.iter_mut().for_each(|cell| cell.retain(|id| *id != node));
    }

    pub fn scan(&mut self, host: &mut dyn Host, scan: Scan) {
        self.hear(host);
        self.take(if scan.audit { 0.0 } else { 1.0 + scan.parts.len() as f64 });
        self.measure();
        let kind = &self.site.table_types[scan.table_type];
        // A further try has used up part of its client's time. How much shows only once it is given less
        // than that customer's first tries, which some clients keep short.
        let tries = scan.table_type + scan.customer * self.site.table_types.len();
        self.full_try.resize(self.full_try.len().max(tries + 1), 0.0);
        let full = &mut self.full_try[tries];
        if !scan.resent {
            *full = scan.expires_in;
        }
        let cut = scan.resent && scan.expires_in < *full - self.site.tick;
        let spent = if cut { kind.timeout - scan.expires_in } else { 0.0 };
        let held = Held {
            id: scan.id,
            table_type: scan.table_type,
            customer: scan.customer,
            admitted: false,
            target_at: self.now + (kind.target - spent).max(0.0),
            ends_at: self.now + scan.expires_in,
            came: self.now,
            due: f64::MAX,
            pieces: Vec::new(),
            step_from: 0,
            second: false,
            asked: None,
            once: !scan.kept,
            long: scan.long,
            waits: scan.waits,
            audit: scan.audit,
            spent: false,
        };
        self.enter(host, held, scan.parts);
        self.arm(host);
    }

    pub fn second_step(&mut self, host: &mut dyn Host, scan: ScanId, parts: Vec<Part>) {
        self.hear(host);
        self.take(parts.len() as f64);
        if let Some(mut held) = self.scans.remove(&scan) {
            held.second = true;
            held.asked = None;
            self.enter(host, held, parts);
        }
    }

    pub fn ended(&mut self, host: &mut dyn Host, ended: Ended) {
        self.hear(host);
        for stage in UP {
            stage(self, host, &ended);
        }
    }

    /// A probe has ended: answered after so long, or not at all.
    pub fn probed(&mut self, host: &mut dyn Host, node: NodeId, answered: Option<f64>) {
        self.hear(host);
        let telling = answered.is_none_or(|took| took > PROMPT * self.site.tick);
        keep_last(&mut self.probes, (self.now, telling), FLEET_SAMPLES);
        let Some(n) = self.nodes.get_mut(node).and_then(Option::as_mut) else { return };
        if answered.is_some() {
            n.replied = self.now;
            let waiting = self.scans.values().filter(|h| self.asking(h)).map(|h| h.id).collect::<Vec<_>>();
            waiting.into_iter().for_each(|id| self.pass(host, id));
        }
    }

    /// The last byte of a long text's frame has gone out: only now the node's time begins.
    pub fn framed(&mut self, host: &mut dyn Host, node: NodeId, key: (ScanId, usize, usize)) {
        self.hear(host);
        let Some(n) = self.nodes.get_mut(node).and_then(Option::as_mut) else { return };
        if let Some(at) = n.outs.iter().position(|o| (o.scan, o.part, o.shot) == key) {
            let out = n.outs.remove(at);
            n.outs.push(Out { at: self.now, framed: true, ..out });
        }
    }

    /// A scan's text can be had no more: what has not gone out whole never will.
    pub fn text_gone(&mut self, host: &mut dyn Host, scan: ScanId) {
        self.hear(host);
        if let Some(held) = self.scans.get_mut(&scan) {
            held.spent = true;
            self.pass(host, scan);
        }
    }

    /// What asking first has come to: these parts are left out, on evidence that the host holds; the others
    /// go out, if what is left of the time will do.
    pub fn search(&mut self, host: &mut dyn Host, scan: ScanId, left_out: &[usize]) {
        self.hear(host);
        let Some(held) = self.scans.get_mut(&scan).filter(|held| held.waits) else { return };
        held.waits = false;
        left_out.iter().for_each(|part| (held.pieces[*part].done, held.pieces[*part].left) = (true, true));
        let held = &self.scans[&scan];
        if held.pieces.iter().all(|p| p.done) || self.likely(self.wait_ahead(held)) <= held.ends_at {
            return self.pass(host, scan);
        }
        let Some(held) = self.scans.remove(&scan) else { return };
        self.give_up(host, &held);
        self.close(host, &held);
    }

    /// The evidence on which parts were left out has fallen: they go out after all.
    pub fn restore(&mut self, host: &mut dyn Host, scan: ScanId, parts: &[usize]) {
        self.hear(host);
        let Some(held) = self.scans.get_mut(&scan) else { return };
        let left = held.pieces.iter_mut().enumerate().filter(|(part, p)| p.left && parts.contains(part));
        left.for_each(|(_, p)| (p.done, p.left) = (false, false));
        self.pass(host, scan);
    }

    /// Holders that a question may go to: a cold one has nothing to spare for it.
    pub fn to_ask(&self, seg: usize) -> impl Iterator<Item = NodeId> {
        let warm = |n: &Node| n.warmth(&self.site, self.now) >= 1.0;
        let fit = move |n: &Node| n.aside.is_none() && !self.full(n) && warm(n);
        self.holders(seg).filter(move |h| fit(h.1)).map(|h| h.0)
    }

    pub fn outstanding(&self, node: NodeId) -> usize {
        self.nodes[node].as_ref().map_or(0, |n| n.outs.len())
    }

    /// At most nodes in service the oldest of ours has waited long: nothing is to go out that need not.
    pub fn pressed(&self) -> bool {
        let shortest = self.site.table_types.iter().map(|t| t.target).fold(f64::MAX, f64::min);
        let waits = |n: &Node| n.outs.first().is_some_and(|o| self.now - o.at > PRESSED * shortest);
        let serving = self.nodes.iter().flatten().filter(|n| n.aside.is_none());
        let (late, all) = serving.fold((0, 0), |(late, all), n| (late + usize::from(waits(n)), all + 1));
        2 * late > all
    }

    /// Some dispatch may still need a scan's text: what is out may yet come back as never run.
    pub fn needs_text(&self, scan: ScanId) -> bool {
        let Some(held) = self.scans.get(&scan).filter(|held| !held.spent) else { return false };
        let cap = self.site.dispatch_cap;
        let again =
            |p: &Piece| self.may_go(held, p) || p.shots.iter().all(|s| s.end.is_none() || never_ran(s.end));
        held.step().iter().any(|p| !p.done && p.shots.len() < cap && again(p))
    }

    /// What has been learned, in ages: of use to a process that comes after this one.
    pub fn beliefs(&mut self, host: &dyn Host) -> Beliefs {
        self.hear(host);
        let ago = |at: f64| (self.now - at).max(0.0);
        let sample = |s: &Sample| s.aged(self.now);
        let listed = self.nodes.iter().enumerate().filter_map(|(id, n)| Some((id, n.as_ref()?)));
        let belief = |(node, n): (NodeId, &Node)| NodeBelief {
            node,
            aside: n.aside.is_some(),
            samples: n.samples.iter().map(sample).collect(),
        };
        Beliefs {
            nodes: listed.map(belief).collect(),
            fleet: self.fleet.iter().map(|f| (f.0, ago(f.1), f.2)).collect(),
            reaped: self.reaped.iter().map(|r| (ago(r.0), r.1, r.2)).collect(),
            ease: Some(self.ease).filter(|ease| *ease < f64::MAX),
        }
    }

    /// What an earlier process learned, as far as it still holds. A node that was set aside is due its trial
    /// at once: that it failed was true then, and is found out now.
    pub fn believe(&mut self, host: &mut dyn Host, beliefs: &Beliefs) {
        self.hear(host);
        let now = self.now;
        for belief in &beliefs.nodes {
            let Some(node) = self.nodes.get_mut(belief.node).and_then(Option::as_mut) else { continue };
            node.samples = belief.samples.iter().map(|s| Sample::dated(s, now)).collect();
            node.aside = belief.aside.then_some(Aside { again: now, room: 1 });
        }
        self.fleet.extend(beliefs.fleet.iter().map(|f| (f.0, now - f.1, f.2)));
        self.reaped.extend(beliefs.reaped.iter().map(|r| (now - r.0, r.1, r.2)));
        self.ease = self.ease.min(beliefs.ease.unwrap_or(f64::MAX));
        self.measure();
    }

    /// What has been spent of the budget and of cold nodes' room, and what it was measured against.
    pub fn ledger(&mut self, host: &dyn Host) -> Ledger {
        self.hear(host);
        let ago = |at: &f64| (self.now - at).max(0.0);
        let cold = self.nodes.iter().enumerate().filter_map(|(id, n)| Some((id, &n.as_ref()?.sent_cold)));
        Ledger {
            further: self.again.iter().map(ago).collect(),
            taken: self.taken.iter().map(|(at, count)| (ago(at), *count)).collect(),
            cold: cold.map(|(id, at)| (id, at.iter().map(ago).collect())).collect(),
        }
    }

    /// What an earlier process spent; nothing where that is not known, and then it was all.
    pub fn owe(&mut self, host: &mut dyn Host, spent: Option<&Ledger>) {
        self.hear(host);
        let Some(spent) = spent else { return self.owes = self.now };
        self.again.extend(spent.further.iter().map(|ago| self.now - ago));
        self.taken.extend(spent.taken.iter().map(|(ago, count)| (self.now - ago, *count)));
        self.taken_sum += spent.taken.iter().map(|t| t.1).sum::<f64>();
        for (id, times) in &spent.cold {
            let node = self.nodes.get_mut(*id).and_then(Option::as_mut);
            node.into_iter().for_each(|n| n.sent_cold.extend(times.iter().map(|ago| self.now - ago)));
        }
    }

    pub fn client_left(&mut self, host: &mut dyn Host, scan: ScanId) {
        self.hear(host);
        if let Some(held) = self.scans.remove(&scan) {
            self.close(host, &held);
        }
    }

    pub fn wake(&mut self, host: &mut dyn Host) {
        self.hear(host);
        self.wake_due = f64::MAX;
        let listed = self.nodes.iter().flatten().filter(|n| n.standing == Standing::Active);
        self.warm = listed.filter(|n| n.warmth(&self.site, self.now) >= 1.0).count().max(1);
        let since = self.fleet.front().map_or(0.0, |f| f.1);
        self.seen = self.fleet.iter().map(|f| f.2).sum::<f64>() / (self.now - since).max(self.site.tick);
        for node in 0..self.nodes.len() {
            if self.nodes[node].as_ref().is_some_and(|n| n.outstanding() > 0.0) {
                self.judge(host, node);
            }
        }
        let due: Vec<_> = self.scans.values().filter(|h| h.due <= self.now).map(|h| h.id).collect();
        due.into_iter().for_each(|id| self.pass(host, id));
        self.arm(host);
    }

    /// A wake that is overdue means that we stood still ourselves: what came in meanwhile is still unread.
    /// Taken for the nodes' silence it would set aside the fleet and turn all scans away.
    fn hear(&mut self, host: &dyn Host) {
        self.now = host.now();
        let stood = self.now - self.wake_due;
        if stood > STOOD_STILL * self.site.tick {
            self.wake_due = self.now;
            for node in self.nodes.iter_mut().flatten() {
                node.heard += stood;
                node.outs.iter_mut().for_each(|o| o.at += stood);
            }
        }
    }

    /// So many of the longest target times ago.
    fn since(&self, targets: f64) -> f64 {
        self.now - targets * self.longest_target
    }

    fn arm(&mut self, host: &mut dyn Host) {
        if self.wake_due == f64::MAX && !self.scans.is_empty() {
            self.wake_due = self.now + 5.0 * self.site.tick;
            host.wake_at(self.wake_due);
        }
    }

    fn enter(&mut self, host: &mut dyn Host, mut held: Held, parts: Vec<Part>) {
        // Shares come rounded: all that there is of many parts may sum to less than whole, and nobody could.
        let all = parts.iter().map(|p| p.weight).sum::<f64>().max(f64::MIN_POSITIVE);
        let piece =
            |p: Part| Piece { seg: p.seg, weight: p.weight / all, done: false, left: false, shots: vec![] };
        held.pieces.extend(parts.into_iter().map(piece));
        let id = held.id;
        self.scans.insert(id, held);
        self.pass(host, id);
    }

    fn pass(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(mut held) = self.scans.remove(&id) else { return };
        held.due = self.last_call(&held);
        for stage in DOWN {
            match stage(self, host, &mut held) {
                Pass::On => {}
                Pass::Keep => break,
                Pass::End => return self.close(host, &held),
            }
        }
        self.scans.insert(id, held);
    }

    fn close(&mut self, host: &mut dyn Host, held: &Held) {
        if held.pieces.iter().any(|p| !p.shots.is_empty()) {
            let past = self.now > held.target_at - self.site.tick;
            keep_last(&mut self.missed, (self.now, past), 2 * NODE_SAMPLES);
        }
        for (part, piece) in held.pieces.iter().enumerate() {
            piece.cancel(host, &self.site, held.id, part);
        }
        host.forget(held.id);
    }

    // ---- admission

    /// How long parts wait at a segment's best holder in service or due a trial: our oldest there or what
    /// its last ones took beyond ease. Where there is none the wait has no end: a scan sent to dead nodes
    /// would only take the others' time. That is no overload: scans of other segments do not feel it.
    fn wait_for(&self, seg: usize) -> f64 {
        let pause = (2.0 * SILENT + REST) * self.nearly_all;
        let waits = self.holders(seg).map(|(_, n)| match (&n.aside, n.outs.first()) {
            _ if self.full(n) => f64::MAX,
            // Until its first trial is met with silence too, it may only have paused: there is time for that.
            (Some(a), _) if self.now - n.heard < pause => (a.again - self.now).max(0.0),
            (Some(a), _) if !self.trial(n, a) => f64::MAX,
            (_, oldest) => {
                // What it did before it was set aside says nothing of its trial.
                let lately = if n.aside.is_some() { 0.0 } else { self.usual(n, LATELY, |_| 0.0) - self.ease };
                oldest.map_or(0.0, |o| self.now - o.at).max(lately)
            }
        });
        waits.min_by(f64::total_cmp).unwrap_or(f64::MAX)
    }

    /// The wait ahead of a scan: of as many of its parts as it needs. Blocks differ in how much they are
    /// asked for, so that some holders may drown while the fleet is at ease.
    fn wait_ahead(&self, held: &Held) -> f64 {
        let mut waits: Vec<_> = held.step().iter().map(|p| (self.wait_for(p.seg), p.weight)).collect();
        waits.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut weight = 0.0;
        let enough = waits.iter().find(|w| {
            weight += w.1;
            weight >= self.least(held)
        });
        enough.map_or(0.0, |w| w.0)
    }

    /// It turned a part away so lately that it can hardly have worked off what it holds.
    fn full(&self, node: &Node) -> bool {
        self.now - node.refused < self.median
    }

    fn holders(&self, seg: usize) -> impl Iterator<Item = (NodeId, &Node)> {
        let cells = self.cells.len();
        let ids = (0..self.site.holders.min(cells)).flat_map(move |j| &self.cells[(seg + j) % cells]);
        let known = ids.filter_map(|id| self.nodes[*id].as_ref().map(|n| (*id, n)));
        known.filter(|(_, n)| n.standing == Standing::Active)
    }

    /// Under overload the least benefit goes first: beyond a customer's share, then late, then dear.
    fn admit(&mut self, host: &mut dyn Host, held: &mut Held) -> Pass {
        if held.admitted {
            return Pass::On;
        }
        held.admitted = true;
        let kind = &self.site.table_types[held.table_type];
        let steps = if kind.second_step { TWO_STEPS } else { 1.0 };
        let ahead = steps * self.wait_ahead(held);
        let likely = self.likely(ahead);
        let late = likely > held.target_at;
        // Its client will not wait for what it asks, or not for anything of worth: sent all the same it would
        // only take the nodes from the others, once for each of the many tries of such a client.
        if likely > held.ends_at || late && kind.late <= 0.0 {
            return self.give_up(host, held);
        }
        let useful = if late { kind.target } else { held.target_at - self.now };
        let horizon = useful.min(held.ends_at - self.now);
        let work = if self.site.benefit_by_work { 1.0 } else { held.pieces.len() as f64 * kind.whole_at };
        let density = kind.benefit * if late { kind.late } else { 1.0 } / work;
        keep_last(&mut self.density, density, FLEET_SAMPLES);
        let below = |d: &f64| 0.5 * (f64::from(*d < density) + f64::from(*d <= density));
        let rank = self.density.iter().map(below).sum::<f64>() / self.density.len() as f64;
        let level = (ahead / horizon - PRESSED) / (CRUSHED - PRESSED) + MISSED * self.missing();
        let chance: f64 = self.rng.random();
        let inside = self.inside_share(held.customer);
        if level > 0.0 && (!inside || held.audit || late || 0.5 * (rank + chance) < level) {
            return self.give_up(host, held);
        }
        if inside && let Some(times) = self.within.get_mut(held.customer) {
            times.push_back(self.now);
        }
        Pass::On
    }

    /// The share of our last scans that missed their target: who meets each holder seldom reckons its wait
    /// from the fleet's median, and what is admitted by that comes too late.
    fn missing(&self) -> f64 {
        let lately = self.missed.iter().filter(|m| m.0 > self.since(LATELY));
        let (past, all) = lately.fold((0.0, FEW), |(past, all), m| (past + f64::from(m.1), all + 1.0));
        past / all
    }

    /// When it will likely be through, where so much is ahead of it.
    fn likely(&self, ahead: f64) -> f64 {
        self.now + ahead + 1.5 * self.ease.min(self.median)
    }

    /// Our part of a customer's share, over the longest target time, is not used up yet.
    fn inside_share(&mut self, customer: usize) -> bool {
        let (Some(quota), Some(times)) = (self.site.quotas.get(customer), self.within.get_mut(customer))
        else {
            return true;
        };
        let span = self.longest_target;
        while times.front().is_some_and(|t| *t < self.now - span) {
            times.pop_front();
        }
        (times.len() as f64) < quota * span / self.site.brokers
    }

    // ---- time

    /// The last wake that surely comes before its client's time is up, or before it is worth nothing.
    fn last_call(&self, held: &Held) -> f64 {
        let worthless = self.site.table_types[held.table_type].late <= 0.0;
        let end = if worthless { held.ends_at.min(held.target_at) } else { held.ends_at };
        end - 7.0 * self.site.tick
    }

    fn in_time(&mut self, host: &mut dyn Host, held: &mut Held) -> Pass {
        let kind = &self.site.table_types[held.table_type];
        if self.now < self.last_call(held) {
            return Pass::On;
        }
        let share = held.weight(|p| p.done && !p.left);
        let answers = !kind.second_step || held.second;
        if answers && kind.least < kind.whole_at && share > 0.0 && share >= kind.least {
            host.answer(held.id, false);
            return Pass::End;
        }
        self.give_up(host, held)
    }

    /// The final answer for a scan that will not be served, at once: kept any longer it could earn
    /// nothing, and its client would lose the time.
    fn give_up(&mut self, host: &mut dyn Host, held: &Held) -> Pass {
        let replayable = self.site.table_types[held.table_type].repeat == Repeat::Replayable;
        if replayable || held.pieces.iter().flat_map(|p| &p.shots).all(|s| never_ran(s.end)) {
            let spread: f64 = self.rng.random_range(0.5..1.0);
            host.throttle(held.id, spread * self.site.longest_wait);
        } else {
            host.abandon(held.id);
        }
        Pass::End
    }

    // ---- tally

    fn tally(&mut self, host: &mut dyn Host, held: &mut Held) -> Pass {
        if held.step().is_empty() {
            return Pass::Keep;
        }
        if held.weight(|p| p.done) >= self.need(held) {
            host.answer(held.id, true);
            if held.second || !self.site.table_types[held.table_type].second_step {
                return Pass::End;
            }
            held.step_from = held.pieces.len();
            return Pass::Keep;
        }
        if held.weight(|p| p.done || p.out().next().is_some() || self.may_go(held, p)) < self.least(held) {
            return self.give_up(host, held);
        }
        Pass::On
    }

    /// The weight of parts that makes the present step whole; shares sum up with a rounding.
    fn need(&self, held: &Held) -> f64 {
        if held.second { 1.0 - 1e-6 } else { self.site.table_types[held.table_type].whole_at - 1e-6 }
    }

    /// The weight of parts under which nothing can be answered.
    fn least(&self, held: &Held) -> f64 {
        self.need(held).min(self.site.table_types[held.table_type].least - 1e-6)
    }

    /// Another dispatch of this part breaks no rule of its table type.
    fn may_go(&self, held: &Held, piece: &Piece) -> bool {
        let ran = |s: &&Shot| !never_ran(s.end);
        !piece.done
            && !held.spent
            && piece.shots.len() < if held.audit { 1 } else { self.site.dispatch_cap }
            && match self.site.table_types[held.table_type].repeat {
                Repeat::Replayable => true,
                // A tick's margin, as the order is carried out by a clock that is not ours.
                Repeat::Keyed(window) => {
                    piece.shots.iter().find(ran).is_none_or(|s| self.now - s.at < window - self.site.tick)
                }
                Repeat::NonReplayable => !piece.shots.iter().any(|s| ran(&s)),
            }
    }

    // ---- fork

    fn fork(&mut self, host: &mut dyn Host, held: &mut Held) -> Pass {
        if held.waits {
            return Pass::Keep;
        }
        if held.asked.is_none() && !held.once && self.in_doubt() {
            held.asked = Some(self.now);
            let segs = held.step().iter().map(|p| p.seg);
            let holders = segs.flat_map(|seg| self.holders(seg)).filter(|(_, n)| n.aside.is_none());
            let ids: BTreeSet<NodeId> = holders.map(|h| h.0).collect();
            ids.into_iter().for_each(|id| host.probe(id));
        }
        if held.asked.is_some_and(|at| at > f64::MIN) && !self.asking(held) {
            held.asked = Some(f64::MIN);
            // Too few of its holders are free at this moment; sent all the same it would be late, and the
            // next ones too.
            if !held.second && held.weight(|p| !p.shots.is_empty()) < FREE * self.need(held) {
                return self.give_up(host, held);
            }
        }
        let since = held.asked.filter(|_| self.asking(held)).unwrap_or(f64::MIN);
        for part in held.step_from..held.pieces.len() {
            if !held.pieces[part].left
                && held.pieces[part].shots.is_empty()
                && !held.spent
                && let Some(node) = self.place(held, part, since)
            {
                self.dispatch(host, held, part, node);
            }
        }
        // It passes once, as it comes in: what found no node now never will, and that may end the scan.
        if held.once && !std::mem::replace(&mut held.spent, true) {
            return self.tally(host, held);
        }
        Pass::On
    }

    /// Holders differ far more than at ease, and we meet each too seldom to tell them apart by what we have
    /// out there. A burst is not to be multiplied by probes, and probes that nearly all nodes answer at once
    /// see no queue and tell nothing.
    fn in_doubt(&self) -> bool {
        let differ = self.nearly_all > DOUBT * self.ease;
        let met_seldom = self.seen * LATELY * self.longest_target < 1.0;
        if !self.site.may_probe || !differ || !met_seldom || self.scans.len() >= FLEET_SAMPLES {
            return false;
        }
        let lately = self.probes.iter().filter(|p| p.0 > self.since(FRESH));
        let (asked, told) = lately.fold((0, 0), |(n, told), p| (n + 1, told + usize::from(p.1)));
        asked < NODE_SAMPLES || told * NODE_SAMPLES > asked
    }

    /// Its parts wait for the first of their holders that answers a probe.
    fn asking(&self, held: &Held) -> bool {
        held.asked.is_some_and(|at| self.now - at < ASKED * self.ease)
    }

    fn dispatch(&mut self, host: &mut dyn Host, held: &mut Held, part: usize, node: NodeId) {
        let mut idle =
            self.nodes[node].as_ref().filter(|n| n.outs.is_empty()).map_or(0.0, |n| self.now - n.used);
        if self.stale(idle) {
            host.close_idle(node);
            idle = 0.0;
        }
        host.dispatch(held.id, part, node);
        let shots = &mut held.pieces[part].shots;
        shots.push(Shot { node, at: self.now, end: None });
        if let Some(n) = &mut self.nodes[node] {
            let (scan, table_type, shot) = (held.id, held.table_type, shots.len() - 1);
            n.outs.push(Out { scan, table_type, part, shot, at: self.now, idle, framed: !held.long });
            n.used = self.now;
            if n.warmth(&self.site, self.now) < 1.0 {
                n.sent_cold.push_back(self.now);
                while n.sent_cold.front().is_some_and(|t| *t < self.now - self.site.cold.warm_after) {
                    n.sent_cold.pop_front();
                }
            }
        }
    }

    /// Connections left idle for so long have been found broken, two of the last eight: something on the way
    /// drops them unseen. A new one costs less than a part lost; yet some break for other causes.
    fn stale(&self, idle: f64) -> bool {
        let broke = self.reaped.iter().filter(|r| r.2 && r.0 > self.since(2.0 * FRESH) && idle > 0.5 * r.1);
        broke.count() >= FAULTS
    }

    /// The lightest of two sampled holders, among the best sort of holders there is.
    fn place(&mut self, held: &Held, part: usize, since: f64) -> Option<NodeId> {
        let spare = self.in_budget();
        let piece = &held.pieces[part];
        let replayable = self.site.table_types[held.table_type].repeat == Repeat::Replayable;
        let (mut fit, mut trials, mut doubtful, mut all) = (Vec::new(), Vec::new(), Vec::new(), 0);
        for (id, node) in self.holders(piece.seg) {
            let fails = node.fails(held.table_type, self.since(FRESH));
            all += 1;
            // A holder that lost an answer, or was full, may give the next; one that fails all such will not.
            // What must not run twice would end as unknown, one part's dispatches spent while another is out.
            let spent = |s: &Shot| s.node == id && (fails || !replayable || s.end.is_none());
            if piece.shots.iter().any(spent)
                || node.replied < since
                || !self.has_cold_room(node)
                || self.full(node)
            {
                continue;
            }
            let anew = piece.shots.iter().all(|s| s.node != id);
            match &node.aside {
                None if fails && !replayable => {}
                None if anew && !fails && (replayable || node.silent(self.now) < self.nearly_all) => {
                    fit.push(id)
                }
                None => doubtful.push(id),
                // What cannot be asked again waits for a holder in service; unsent it can be turned away.
                Some(_) if !replayable => {}
                Some(aside) if anew && self.trial(node, aside) => trials.push(id),
                Some(_) => doubtful.push(id),
            }
        }
        let last_resort = piece.out().next().is_none();
        // Both of a part's dispatches might be trials at dead nodes, and the sound holder never asked. And
        // whoever is tried on must have a copy, should the trial be met with silence.
        if last_resort && spare || fit.is_empty() {
            fit.append(&mut trials);
        }
        let among = if fit.is_empty() && last_resort { doubtful } else { fit };
        match among.len() {
            0 => None,
            1 => Some(among[0]),
            n => {
                let first = self.rng.random_range(0..n);
                let second = (first + self.rng.random_range(1..n)) % n;
                let (a, b) = (among[first], among[second]);
                let load = |id| self.load(id, held.table_type, all);
                Some(if load(b) < load(a) { b } else { a })
            }
        }
    }

    /// What a node holds of ours, weighed by how much longer than the fleet its last parts took. A node that
    /// has mended is found out once the others hold as many times more.
    fn load(&self, id: NodeId, table_type: usize, holders: usize) -> f64 {
        let Some(node) = &self.nodes[id] else { return 0.0 };
        let fault = |s: &Sample| if s.table_type == table_type { self.nearly_all } else { self.median };
        let slower = (self.usual(node, FRESH, fault) / self.median).max(1.0);
        // Where holders are fewer than zones, many segments have none near: hardly a part would be kept from
        // crossing, and ties would lose their choice for nothing.
        let near = node.zone == self.site.zone || holders < self.zones.len();
        let far = if near { 1.0 } else { 1.0 + self.site.crossing.map_or(FAR, |price| FAR_A_PRICE * price) };
        far * (node.outstanding() + 1.0) * slower / node.warmth(&self.site, self.now)
    }

    /// What dispatches to this node take; a fault comes back soon, and counts for as long as it is said to.
    fn usual(&self, node: &Node, targets: f64, fault: impl Fn(&Sample) -> f64) -> f64 {
        let fresh = node.samples.iter().filter(|s| s.at > self.since(targets));
        let zone = self.zone_usual.get(node.zone).copied().unwrap_or(self.median);
        let (took, count) = fresh.fold((zone, 1.0), |(sum, n), s| {
            (sum + s.took.max(if s.fault { fault(s) } else { 0.0 }), n + 1.0)
        });
        took / count
    }

    /// Our part of what a cold node can take is not used up: a budget over any stated span. A warm node is
    /// known to take what we see it complete for us, counted over all that are listed and warm, as those that
    /// we met often are no fair sample; as that holds for every broker, all of them together stay within the
    /// multiple however unequal they are. In quiet times that is too little to go by, and a warm node takes
    /// at least one part after the other, whose times are shared out evenly.
    ///
    /// Where less than one part is ours, it depends on chance how many brokers send in the same span: each
    /// waits for a turn of its own from when it was told.
    fn has_cold_room(&self, node: &Node) -> bool {
        let warmth = node.warmth(&self.site, self.now);
        if warmth >= 1.0 {
            return true;
        }
        let (cold, brokers) = (&self.site.cold, self.site.brokers);
        if self.now - self.owes < cold.span + self.site.tick {
            return false;
        }
        let rate = self.seen.max(1.0 / (self.median * brokers));
        let room = cold.multiple * warmth * cold.span * rate;
        if room >= 1.0 {
            return node.sent_cold.iter().filter(|t| **t > self.now - cold.span).count() as f64 + 1.0 <= room;
        }
        let turn = cold.span / room;
        let last = node.sent_cold.back().map_or(node.told - (1.0 - node.phase.unwrap_or(1.0)) * turn, |t| *t);
        self.now - last >= turn
    }

    // ---- further dispatches

    /// Retries of what has failed, and second copies of what will not come in time.
    fn further(&mut self, host: &mut dyn Host, held: &mut Held) -> Pass {
        let kind = &self.site.table_types[held.table_type];
        let (need, target) = (self.need(held), kind.target);
        let late = (1.25 * self.nearly_all.min(3.0 * self.median)).max(0.4 * target);
        // Where all take longer, and that is no trifle, a copy of what is late would only make more late.
        let crowded = self.median > CROWDED * self.ease.max(0.05 * target);
        let late = if crowded { f64::MAX } else { late };
        // Most nodes that seem silent have a queue: no copy goes before nearly all would have answered.
        let overdue = |b: &Broker, s: &Shot| s.at + if b.aside(s.node) { b.nearly_all } else { late };
        let well = |b: &Broker, p: &Piece| p.done || p.out().any(|s| b.now < overdue(b, s));
        let copies = kind.repeat == Repeat::Replayable && self.site.second_copies;
        let copies = copies && held.weight(|p| well(self, p)) < need;
        // What could not go now is tried again, the more seldom the longer it has waited.
        let later = self.now + (5.0 * self.site.tick).max((self.now - held.came) / 32.0);
        for part in held.step_from..held.pieces.len() {
            let piece = &held.pieces[part];
            let out = piece.out().count();
            if !piece.done && out < 2 {
                let overdue = piece.out().map(|s| overdue(self, s)).find(|at| *at > self.now);
                held.due = held.due.min(overdue.unwrap_or(later));
            }
            let due = out == 0 && !piece.shots.is_empty() || out == 1 && copies && !well(self, piece);
            if !due || !self.may_go(held, piece) || !self.in_budget() {
                continue;
            }
            if out == 1
                && self.wait_for(piece.seg) > PRESSED * target
                && !piece.out().any(|s| self.aside(s.node))
            {
                continue;
            }
            if let Some(node) = self.place(held, part, f64::MIN) {
                if self.site.budget.is_some() {
                    self.again.push_back(self.now);
                }
                self.dispatch(host, held, part, node);
            }
        }
        Pass::Keep
    }

    fn aside(&self, node: NodeId) -> bool {
        self.nodes[node].as_ref().is_some_and(|n| n.aside.is_some())
    }

    fn take(&mut self, scans_and_parts: f64) {
        if self.site.budget.is_some() {
            self.taken.push_back((self.now, scans_and_parts));
            self.taken_sum += scans_and_parts;
            self.in_budget();
        }
    }

    /// Reckoned over a window a tick too long for what we made and a tick too short for what we took. Both
    /// records are pruned here.
    fn in_budget(&mut self) -> bool {
        let Some(budget) = &self.site.budget else { return true };
        let (long, short) = (budget.window + self.site.tick, budget.window - self.site.tick);
        while self.again.front().is_some_and(|t| *t < self.now - long) {
            self.again.pop_front();
        }
        while self.taken.front().is_some_and(|t| t.0 < self.now - short) {
            self.taken_sum -= self.taken.pop_front().map_or(0.0, |t| t.1);
        }
        let most = budget.free + budget.share * self.taken_sum;
        self.owes < self.now - long && self.again.len() as f64 + 1.0 <= most
    }

    // ---- health

    /// What dispatches take, from the fleet's last samples; before there are any, a small part of the
    /// shortest target time.
    fn measure(&mut self) {
        let shortest = self.site.table_types.iter().map(|t| t.target).fold(f64::MAX, f64::min);
        let mut sorted: Vec<f64> =
            self.fleet.iter().filter(|f| f.1 > self.since(LATELY)).map(|f| f.0).collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let usual = |q: f64| match sorted.len() < NODE_SAMPLES {
            true => 0.4 * q * shortest,
            false => sorted[(sorted.len() as f64 * q) as usize],
        };
        let median = usual(0.5).max(self.site.tick);
        if sorted.len() >= 2 * NODE_SAMPLES {
            self.ease = self.ease.min(median);
        }
        (self.median, self.nearly_all) = (median, usual(0.95).max(median));
        let zones = self.zones.iter().map(|zone| {
            let mut took: Vec<_> = zone.iter().filter(|z| z.1 > self.since(FRESH)).map(|z| z.0).collect();
            took.sort_unstable_by(f64::total_cmp);
            let usual = took.get(took.len() / 2).copied().filter(|_| took.len() >= NODE_SAMPLES / 2);
            usual.filter(|usual| *usual > SLOW * median).unwrap_or(median)
        });
        self.zone_usual = zones.collect();
    }

    fn trial(&self, node: &Node, aside: &Aside) -> bool {
        self.now >= aside.again && node.outs.iter().filter(|o| o.at >= aside.again).count() < aside.room
    }

    fn health(&mut self, host: &mut dyn Host, ended: &Ended) {
        let (median, nearly_all) = (self.median, self.nearly_all);
        let Some(node) = self.nodes.get_mut(ended.node).and_then(Option::as_mut) else { return };
        let sent = |o: &Out| (o.scan, o.part, o.shot) == (ended.scan, ended.part, ended.shot);
        let Some(out) = node.outs.iter().position(sent).map(|at| node.outs.remove(at)) else { return };
        let (now, took, served) = (self.now, self.now - out.at, ended.end == End::Completed);
        node.used = now;
        let again = node.samples.back().is_some_and(|s| s.fault && s.at == now);
        let mut withdrawn = false;
        match ended.end {
            // A frame that was still on its way tells nothing of the node.
            End::Cancelled | End::TimedOut if !out.framed => return,
            End::Cancelled | End::TimedOut => {
                // Some nodes answer a part of what they take and swallow the rest, so that they are never
                // silent for long. What later ones overtook, and nobody answered for so long, is lost.
                let overtaken = node.samples.iter().filter(|s| s.sent > out.at).count() >= OVERTAKEN;
                withdrawn = !overtaken || took < SILENT * nearly_all;
                if withdrawn {
                    // A trial that a copy overtook has shown nothing: the next waits its time as after
                    // silence, or a node that hangs would get one each time that a copy is back.
                    if let Some(aside) = node.aside.as_mut().filter(|aside| out.at >= aside.again) {
                        *aside = Aside::rest(now, nearly_all);
                    }
                    // Whether the node still works on it is told nowhere.
                    node.ghosts.push(out.at + median);
                    if took <= SLOW * median {
                        return;
                    }
                }
            }
            // It answers at once and looks idle; asked again it would eat the part's dispatches. Who meets it
            // seldom comes back when that is long over: that its queue is full is kept as a sample.
            End::Full => {
                (node.refused, node.heard) = (now, now);
                let (table_type, sent) = (out.table_type, out.at);
                let full =
                    Sample { table_type, sent, took: nearly_all, at: now, served: false, fault: false };
                return keep_last(&mut node.samples, full, NODE_SAMPLES);
            }
            End::NotSent => return,
            // Broken at once on a connection that lay idle: that is no fault of the node, which has not even
            // seen it. A crash breaks what is out at any time.
            End::Dropped if out.idle > median && took < PROMPT * self.site.tick => {
                return keep_last(&mut self.reaped, (now, out.idle, true), NODE_SAMPLES);
            }
            // What one connection takes with it is one fault, however many parts were out on it.
            End::Dropped | End::NoConnection if again => return,
            End::Completed | End::Error => node.heard = now,
            End::NoConnection | End::Dropped => {}
        }
        let warmth = node.warmth(&self.site, self.now);
        let took = took * warmth;
        // A cold node speaks for no other: it may be quicker than the least it must be, and what seemed
        // usual then would widen the room of all cold nodes.
        if served && warmth >= 1.0 {
            keep_last(&mut self.fleet, (took, self.now, 1.0 / self.warm as f64), FLEET_SAMPLES);
        }
        let (table_type, sent, fault) = (out.table_type, out.at, !served && !withdrawn);
        let sample = Sample { table_type, sent, took, at: now, served, fault };
        keep_last(&mut node.samples, sample, NODE_SAMPLES);
        keep_last(&mut self.zones[node.zone], (took, self.now), 2 * NODE_SAMPLES);
        if withdrawn {
            return;
        }
        if served && self.reaped.iter().any(|r| out.idle > 0.5 * r.1) {
            keep_last(&mut self.reaped, (now, out.idle, false), NODE_SAMPLES);
        }
        if let Some(aside) = &mut node.aside {
            if served && took <= SLOW * median {
                aside.room *= 2;
                if aside.room > TRICKLE_END {
                    node.aside = None;
                    node.samples.clear();
                    host.log(&format!("node {} is back in service", ended.node));
                }
            } else {
                *aside = Aside::rest(self.now, nearly_all);
            }
        }
        self.measure();
        self.judge(host, ended.node);
    }

    /// Sets a node aside by its symptoms.
    fn judge(&mut self, host: &mut dyn Host, id: NodeId) {
        let (now, silence) = (self.now, SILENT * self.nearly_all);
        let Some(node) = self.nodes[id].as_mut() else { return };
        node.ghosts.retain(|until| *until > now);
        if let Some(aside) = &mut node.aside {
            if node.outs.iter().any(|o| o.framed && o.at >= aside.again && now - o.at > silence) {
                *aside = Aside::rest(now, self.nearly_all);
                host.close_idle(id);
            }
            return;
        }
        let silent = node.silent(now) * node.warmth(&self.site, now) > silence;
        let faults = node.samples.iter().filter(|s| s.fault).count() >= FAULTS && !node.serves_others();
        if !silent && !faults {
            return;
        }
        let why = if silent { "it is silent" } else { "it fails what it is given" };
        node.aside = Some(Aside::rest(now, self.nearly_all));
        // It may be only a connection that fell silent: a trial on that would tell nothing of the node.
        host.close_idle(id);
        for out in &node.outs {
            self.scans.get_mut(&out.scan).into_iter().for_each(|held| held.due = now);
        }
        host.log(&format!("node {id} is set aside: {why}"));
    }

    fn returned(&mut self, host: &mut dyn Host, ended: &Ended) {
        let Some(held) = self.scans.get_mut(&ended.scan) else { return };
        let piece = &mut held.pieces[ended.part];
        piece.shots[ended.shot].end = Some(ended.end);
        if ended.end == End::Completed && !piece.done {
            piece.done = true;
            piece.cancel(host, &self.site, ended.scan, ended.part);
        }
        self.pass(host, ended.scan);
    }
}
