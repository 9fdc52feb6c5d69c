//! Every decision of a dunepond broker, and every figure tuned for one: a file for each stage of the chain.
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

mod admission;
mod cold;
mod fork;
mod further;
mod handover;
mod health;
mod list;
mod placement;
mod rules;
mod shutdown;
mod tally;
mod time;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use rand::RngExt;

pub use self::shutdown::{
    MAX_SHUTDOWN_SECONDS, NOTICEABLE_PAUSE_SECONDS, SIGNAL_POLL_INTERVAL, Shutdown, ShutdownStage,
};
pub use self::time::MAX_STALL_SECONDS;
pub use crate::state::Router;
use crate::state::{Aside, Held, Node, Out, Piece, Sample, Shot, Tokens, keep_last};
use crate::{
    AttemptEnded, AttemptOutcome, Deployment, Endpoint, EndpointState, Idempotency, LearnedNode,
    LearnedState, NodeId, Part, Query, QueryId, Rules, SpentBudgets, Transport,
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
/// A list that has said nothing for this share of the time in which it must be asked is asked again: what is
/// watched may have fallen silent. One that refused is asked again after the other, twice as long each time.
const QUIET: f64 = 0.9;
const REFUSED: f64 = 0.03;
/// A second step waits again, mostly for lighter parts.
const TWO_STEPS: f64 = 1.5;

enum Pass {
    On,
    Keep,
    End,
}

type Down = fn(&mut Router, &mut dyn Transport, &mut Held) -> Pass;
type Up = fn(&mut Router, &mut dyn Transport, &AttemptEnded);

const DOWN: [Down; 5] = [Router::admit, Router::in_time, Router::tally, Router::fork, Router::further];
const UP: [Up; 2] = [Router::health, Router::returned];

impl Router {
    pub fn new(site: Deployment) -> Self {
        let mut broker = Self::holding_nothing(site);
        broker.measure();
        broker
    }

    pub fn on_query(&mut self, host: &mut dyn Transport, scan: Query) {
        self.hear(host);
        self.take(if scan.audit { 0.0 } else { 1.0 + scan.parts.len() as f64 });
        self.measure();
        let kind = &self.site.query_classes[scan.class];
        // A further try has used up part of its client's time. How much shows only once it is given less
        // than that customer's first tries, which some clients keep short.
        let tries = scan.class + scan.tenant * self.site.query_classes.len();
        self.full_try.resize(self.full_try.len().max(tries + 1), 0.0);
        let full = &mut self.full_try[tries];
        if !scan.is_retry {
            *full = scan.expires_in;
        }
        let cut = scan.is_retry && scan.expires_in < *full - self.site.tick;
        let spent = if cut { kind.timeout - scan.expires_in } else { 0.0 };
        let target_at = self.now + (kind.latency_objective - spent).max(0.0);
        let mut held = Held::new(&scan, self.now, target_at, self.rules.clone());
        // What comes with a body has been in hand since its head came, and is cut short by the host.
        if let Some(shutdown) = self.shutdown.filter(|_| !scan.streamed) {
            held.outlasts = shutdown.refuses(self.now, held.ends_at);
            held.ends_at = held.ends_at.min(shutdown.last_answers_at());
        }
        self.enter(host, held, scan.parts);
        self.arm(host);
    }

    pub fn on_second_step(&mut self, host: &mut dyn Transport, scan: QueryId, parts: Vec<Part>) {
        self.hear(host);
        self.take(parts.len() as f64);
        if let Some(mut held) = self.scans.remove(&scan) {
            held.second = true;
            held.asked = None;
            self.enter(host, held, parts);
        }
    }

    pub fn on_attempt_ended(&mut self, host: &mut dyn Transport, ended: AttemptEnded) {
        self.hear(host);
        for stage in UP {
            stage(self, host, &ended);
        }
    }

    /// A probe has ended: answered after so long, or not at all.
    pub fn on_probe_result(&mut self, host: &mut dyn Transport, node: NodeId, answered: Option<f64>) {
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
    pub fn on_frame_written(&mut self, host: &mut dyn Transport, node: NodeId, key: (QueryId, usize, usize)) {
        self.hear(host);
        let Some(n) = self.nodes.get_mut(node).and_then(Option::as_mut) else { return };
        if let Some(at) = n.outs.iter().position(|o| (o.scan, o.part, o.shot) == key) {
            let out = n.outs.remove(at);
            n.outs.push(Out { at: self.now, framed: true, ..out });
        }
    }

    /// A scan's text can be had no more: what has not gone out whole never will.
    pub fn on_body_discarded(&mut self, host: &mut dyn Transport, scan: QueryId) {
        self.hear(host);
        if let Some(held) = self.scans.get_mut(&scan) {
            held.spent = true;
            self.pass(host, scan);
        }
    }

    /// What asking first has come to: these parts are left out, on evidence that the host holds; the others
    /// go out, if what is left of the time will do.
    pub fn on_prefilter_result(&mut self, host: &mut dyn Transport, scan: QueryId, left_out: &[usize]) {
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
    pub fn on_prefilter_revoked(&mut self, host: &mut dyn Transport, scan: QueryId, parts: &[usize]) {
        self.hear(host);
        let Some(held) = self.scans.get_mut(&scan) else { return };
        let left = held.pieces.iter_mut().enumerate().filter(|(part, p)| p.left && parts.contains(part));
        left.for_each(|(_, p)| (p.done, p.left) = (false, false));
        self.pass(host, scan);
    }

    /// Holders that a question may go to: a cold one has nothing to spare for it.
    pub fn prefilter_candidates(&self, seg: usize) -> impl Iterator<Item = NodeId> {
        let warm = |n: &Node| n.warmth(&self.site, self.now) >= 1.0;
        let fit = move |n: &Node| n.aside.is_none() && !self.full(n) && warm(n);
        self.holders(seg, None).filter(move |h| fit(h.1)).map(|h| h.0)
    }

    pub fn outstanding(&self, node: NodeId) -> usize {
        self.nodes[node].as_ref().map_or(0, |n| n.outs.len())
    }

    /// The process has been told to end. What is held is through by its last answers, whatever time its client leaves; from
    /// a stage of the shutdown on, what comes and would be there longer is turned away.
    pub fn begin_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
        let mut scans = std::mem::take(&mut self.scans);
        for held in scans.values_mut() {
            held.ends_at = held.ends_at.min(shutdown.last_answers_at());
            held.due = held.due.min(self.last_call(held));
        }
        self.scans = scans;
    }

    pub fn on_client_disconnect(&mut self, host: &mut dyn Transport, scan: QueryId) {
        self.hear(host);
        if let Some(held) = self.scans.remove(&scan) {
            self.close(host, &held);
        }
    }

    pub fn on_wake(&mut self, host: &mut dyn Transport) {
        self.hear(host);
        // One that was asked for before a sooner one was comes besides.
        if self.ask_at == f64::MAX || self.now > self.wake_due - 0.5 * self.site.tick {
            self.wake_due = f64::MAX;
        }
        self.count_warm();
        self.seen = self.completes();
        let holds = |id: &NodeId| self.nodes[*id].as_ref().is_some_and(|n| n.outstanding() > 0.0);
        let busy: Vec<_> = (0..self.nodes.len()).filter(holds).collect();
        busy.into_iter().for_each(|id| self.judge(host, id));
        let due: Vec<_> = self.scans.values().filter(|h| h.due <= self.now).map(|h| h.id).collect();
        due.into_iter().for_each(|id| self.pass(host, id));
        self.arm(host);
    }

    /// A wake that is overdue means that we stood still ourselves: what came in meanwhile is still unread.
    /// Taken for the nodes' silence it would set aside the fleet and turn all scans away.
    fn hear(&mut self, host: &dyn Transport) {
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

    fn arm(&mut self, host: &mut dyn Transport) {
        self.ask(host);
        let next = if self.scans.is_empty() { self.ask_at } else { self.now + 5.0 * self.site.tick };
        if next < self.wake_due {
            self.wake_due = next;
            host.schedule_wake(next);
        }
    }

    fn enter(&mut self, host: &mut dyn Transport, mut held: Held, parts: Vec<Part>) {
        // Shares come rounded: all that there is of many parts may sum to less than whole, and nobody could.
        let all = parts.iter().map(|p| p.weight).sum::<f64>().max(f64::MIN_POSITIVE);
        let piece = |p: Part| {
            let (seg, weight, only) = (p.segment, p.weight / all, p.required_node);
            Piece { seg, weight, only, done: false, left: false, shots: vec![] }
        };
        held.pieces.extend(parts.into_iter().map(piece));
        let id = held.id;
        self.scans.insert(id, held);
        self.pass(host, id);
    }

    fn pass(&mut self, host: &mut dyn Transport, id: QueryId) {
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

    fn close(&mut self, host: &mut dyn Transport, held: &Held) {
        if held.pieces.iter().any(|p| !p.shots.is_empty()) {
            let past = self.now > held.target_at - self.site.tick;
            keep_last(&mut self.missed, (self.now, past), 2 * NODE_SAMPLES);
        }
        for (part, piece) in held.pieces.iter().enumerate() {
            piece.cancel(host, &self.site, held.id, part);
        }
        host.finish(held.id);
    }
}
