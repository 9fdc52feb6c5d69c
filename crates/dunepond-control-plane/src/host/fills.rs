//! Fills, on two lanes. The leader plans those that a proposed map needs, has them carried out, and enters what is done;
//! each broker plans those of cold holders that fall to it ([`super::warm`]). A fill has the same id whoever plans it and
//! however often, so that one that was done before a crash is answered at once, and one that was settled before settles no
//! second time. What a leader begins stands in the log first, so that the next one knows of it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use dunepond_consensus::{Command, Rejection, Voter};
use dunepond_settlement::{
    Agreed, Begun, Event, Fill, Filling, Ledger, Links, Need, Order, Patience, Planner, Settlement,
};
use rand_pcg::Pcg64Mcg;
use tracing::{info, warn};

use super::Host;
use super::sources::Avoided;
use crate::clock::{monotonic_seconds, unix};
use crate::error::FillError;
use crate::filler::{self, FillClient, FillResult};
use crate::hand::add;
use crate::record::AuditEvent;
use crate::why::Why;

/// Seconds between two looks at what is to be filled.
const EVERY: f64 = 0.1;
/// Seconds after which what is begun or done is entered again.
const AGAIN: f64 = 1.0;
/// In whose name settlements of versions' fills are planned: the same at each leader, or one fill would settle once under
/// each. Where debts are split it has a share of its own, which only the log spends.
pub const BY: &str = "fleet";
/// What one try may take; a filler that is slower is asked again and goes on where it was.
const LONGEST_TRY: f64 = 600.0;

/// Whose fills they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Of the proposed version, where this broker leads.
    Version,
    /// Of cold holders that fall to this broker, with a lease or without.
    Own,
}

/// The end of one try.
pub struct Done {
    lane: Lane,
    id: String,
    outcome: Result<FillResult, FillError>,
}

/// A fill under way, and what its filler said once it is done.
struct Under {
    filling: Filling,
    thread: bool,
    done: Option<FillResult>,
    /// When it is entered again, as begun and as done, unless the log has it by then.
    begin: f64,
    enter: f64,
    /// The log takes no settlement of it: all of it is a new debt.
    unpaid: bool,
}

impl Under {
    fn new(fill: Fill, patience: Patience, now: f64) -> Self {
        let filling = Filling::new(fill, patience, now);
        Self { filling, thread: false, done: None, begin: 0.0, enter: 0.0, unpaid: false }
    }
}

pub struct Fills {
    lane: Lane,
    pub filler: Option<Arc<dyn FillClient>>,
    pub ended: Sender<Done>,
    pub planner: Planner,
    pub links: Links,
    pub patience: Patience,
    /// Bytes of a segment.
    pub segment: u64,
    pub at_once: usize,
    pub chance: Pcg64Mcg,
    /// For which version, and by id.
    number: u64,
    under: BTreeMap<String, Under>,
    avoided: Avoided,
    next: f64,
    led: bool,
    /// When this broker first saw that a leader began a fill, by id and the source's partner.
    begun: BTreeMap<(String, String), f64>,
}

impl Fills {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        lane: Lane,
        filler: Option<Arc<dyn FillClient>>,
        ended: Sender<Done>,
        planner: Planner,
        links: Links,
        patience: Patience,
        segment: u64,
        at_once: usize,
        chance: Pcg64Mcg,
    ) -> Self {
        let (number, under, next, led) = (0, BTreeMap::new(), 0.0, false);
        let (begun, avoided) = (BTreeMap::new(), Avoided::default());
        Self {
            lane,
            filler,
            ended,
            planner,
            links,
            patience,
            segment,
            at_once,
            chance,
            number,
            under,
            avoided,
            next,
            led,
            begun,
        }
    }

    /// Another version, or another leader: what is under way is not ours any more.
    fn forget(&mut self) {
        for (id, _) in std::mem::take(&mut self.under) {
            self.planner.ended(&id, false);
        }
        self.led = false;
    }

    /// Fills of before the start, or of the leader before, that may be under way: they begin again under the same id.
    pub fn go_on_with(&mut self, fills: impl IntoIterator<Item = Fill>, now: f64) {
        for fill in fills {
            self.planner.resume(&fill, now, true);
            let under = Under::new(fill, self.patience.clone(), now);
            self.under.entry(under.filling.fill.id.clone()).or_insert(under);
        }
    }

    /// Whether a fill under way is to settle of this debt.
    pub fn settles(&self, debtor: &str, creditor: &str) -> bool {
        let planned = self.under.values().filter_map(|under| under.filling.fill.settles.as_ref());
        planned.into_iter().any(|it| it.debtor == debtor && it.creditor == creditor)
    }

    fn begin(&self, fill: &Fill) {
        let Some(filler) = self.filler.clone() else { return };
        let order = filler::FillRequest {
            id: fill.id.clone(),
            segment: fill.segment,
            holder: fill.holder.clone(),
            source: fill.source.clone(),
            bytes: fill.bytes,
            rate: fill.rate as u64,
        };
        let (ended, lane) = (self.ended.clone(), self.lane);
        let within = Duration::from_secs_f64((fill.lasts() * self.patience.factor).clamp(5.0, LONGEST_TRY));
        let run = move || {
            let outcome = filler.fill(&order, within);
            let _ = ended.send(Done { lane, id: order.id, outcome });
        };
        if let Err(e) = std::thread::Builder::new().name("fill".to_string()).spawn(run) {
            let why = e.to_string();
            let outcome = Err(FillError::Unreachable { at: "a thread of ours".to_string(), why });
            let _ = self.ended.send(Done { lane, id: fill.id.clone(), outcome });
        }
    }
}

impl Host {
    pub(super) fn lane(&mut self, lane: Lane) -> &mut Fills {
        match lane {
            Lane::Version => &mut self.fills,
            Lane::Own => &mut self.warm,
        }
    }

    /// Notes when each fill that stands in the log as begun was first seen here: later than it began, never sooner. Of
    /// those that stand there at a start the leader's clock says how old they are.
    pub(super) fn begun_seen(&mut self) {
        let (now, fills) = (monotonic_seconds(), &mut self.fills);
        let ledger = self.counting.book.ledger();
        let at_start = fills.begun.is_empty();
        for begun in ledger.begun() {
            let age = if at_start { (unix() - begun.at as f64).max(0.0) } else { 0.0 };
            fills.begun.entry((begun.id.clone(), begun.from.clone())).or_insert(now - age);
        }
        fills.begun.retain(|(id, from), _| ledger.has_begun(id, from));
    }

    /// One that begins to lead takes over what the leader before has in its windows, and what is under way.
    fn take_over(&mut self, needs: &[Need], now: f64) {
        let fills = &mut self.fills;
        if std::mem::replace(&mut fills.led, true) {
            return;
        }
        let mut again = Vec::new();
        for begun in self.counting.book.ledger().begun() {
            let at = fills.begun.get(&(begun.id.clone(), begun.from.clone())).copied().unwrap_or(now);
            let fill = begun.fill();
            fills.planner.resume(&fill, at, false);
            // What it was to pay may be settled by another's fill since.
            if needs.iter().any(|need| need.id() == begun.id) {
                again.push(fill);
            }
        }
        if !again.is_empty() {
            info!("fleet: {} fills of the leader before go on", again.len());
        }
        fills.go_on_with(again, now);
    }

    /// Carries on with the fills of the proposed version, where this broker leads.
    pub(super) fn plan_fills(&mut self) {
        let now = monotonic_seconds();
        if now < self.fills.next || self.fills.filler.is_none() {
            return;
        }
        self.fills.next = now + EVERY;
        let Some(needs) = self.needs() else { return self.fills.forget() };
        self.take_over(&needs, now);
        if needs.is_empty() && self.fills.under.is_empty() {
            return;
        }
        let fills = &mut self.fills;
        let ids: BTreeSet<_> = needs.iter().map(Need::id).collect();
        // Entered, or needed no more.
        let gone: Vec<_> = fills.under.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        let mut counted = Vec::new();
        for id in gone {
            let under = fills.under.remove(&id).filter(|under| under.done.is_some());
            fills.planner.ended(&id, under.is_some());
            counted.extend(under);
        }
        for under in counted {
            // What it settled is paid; the rest is a new debt of whoever was filled.
            let fill = under.filling.fill;
            let bytes = if under.unpaid { fill.bytes } else { fill.unsettled() };
            self.counting.tally.saw(&fill.from, &fill.to, bytes);
        }
        self.plan(Lane::Version, needs, now);
        self.go_on(Lane::Version, now);
    }

    /// Carries on with the fills of cold holders that fall to this broker.
    pub(super) fn plan_own(&mut self) {
        let now = monotonic_seconds();
        if now < self.warm.next || self.warm.filler.is_none() {
            return;
        }
        self.warm.next = now + EVERY;
        let needs = self.own_needs(now);
        if needs.is_empty() && self.warm.under.is_empty() {
            return;
        }
        self.plan(Lane::Own, needs, now);
        self.go_on(Lane::Own, now);
    }

    fn plan(&mut self, lane: Lane, needs: Vec<Need>, now: f64) {
        let (part, cold) = (self.part(lane), self.cold(now, lane));
        let under = &self.lane(lane).under;
        let new: Vec<_> = needs.into_iter().filter(|need| !under.contains_key(&need.id())).collect();
        if new.is_empty() {
            return;
        }
        let book = &self.counting.book;
        let shares = (lane == Lane::Own).then_some(&self.debts.promises.shares);
        let fills = if lane == Lane::Version { &mut self.fills } else { &mut self.warm };
        let plan = if part < 1.0 {
            fills.planner.plan(&book.part(part), &new, &fills.links.part(part), &cold, shares, now)
        } else {
            fills.planner.plan(book, &new, &fills.links, &cold, shares, now)
        };
        for fill in plan.fills {
            if lane == Lane::Own && !self.pledge(&fill) {
                self.warm.planner.ended(&fill.id, false);
                continue;
            }
            Why::fill(&fill, new.iter().find(|need| need.id() == fill.id), &self.counting.book).tell();
            let fills = self.lane(lane);
            let under = Under::new(fill, fills.patience.clone(), now);
            fills.under.insert(under.filling.fill.id.clone(), under);
        }
    }

    /// What the proposed version's map needs and has not; nothing where this broker does not lead, or nothing is proposed.
    fn needs(&mut self) -> Option<Vec<Need>> {
        let leads = self.state.failed.is_none() && self.voter.as_ref().is_some_and(Voter::is_leader);
        let state = self.voter.as_ref().filter(|_| leads).map(Voter::state)?;
        let (open, moving) = (state.open.as_ref()?, state.map_transition()?);
        let number = open.version.number;
        if self.fills.number != number {
            self.fills.forget();
            self.fills.number = number;
        }
        let left = moving
            .required_fills()
            .iter()
            .filter(|need| !open.completed_fills.contains(&(need.segment, need.replica.clone())));
        let bytes = self.fills.segment;
        let (avoided, listed) = (&self.fills.avoided, self.proposing.nodes.load());
        let leaves = |node: &str| listed.iter().any(|listed| listed.name == node && listed.draining);
        let needs = left.map(|need| {
            let to = moving.to().segment(need.segment);
            let holder = to.and_then(|segment| segment.replicas.iter().find(|h| h.node == need.replica));
            let partner = |node: &String| {
                let olds = to.into_iter().flat_map(|to| moving.from().overlapping(to.keys));
                let mut holders = olds.flat_map(|old| &old.replicas);
                holders.find(|h| h.node == *node).map_or(String::new(), |h| h.partner.clone())
            };
            let sources: Vec<_> = need.sources.iter().map(|node| (node.clone(), partner(node))).collect();
            let mut need = Need {
                version: number,
                segment: need.segment,
                holder: need.replica.clone(),
                holder_partner: holder.map_or(String::new(), |holder| holder.partner.clone()),
                sources: Vec::new(),
                bytes,
                start: 0,
            };
            need.sources = avoided.left(&need.id(), sources, leaves);
            need
        });
        Some(needs.collect())
    }

    fn go_on(&mut self, lane: Lane, now: f64) {
        if lane == Lane::Version {
            self.enter_begun(now);
        }
        let mut orders = Vec::new();
        // A plan of moves that pauses begins no further fill; those under way go on.
        let held = lane == Lane::Version && self.fills_held();
        let ledger = self.counting.book.ledger();
        let fills = if lane == Lane::Version { &mut self.fills } else { &mut self.warm };
        let mut busy = fills.under.values().filter(|under| under.thread).count();
        for under in fills.under.values_mut().filter(|under| under.done.is_none()) {
            let begun = lane == Lane::Own || stands(ledger, &under.filling.fill);
            if !under.thread && (held || busy >= fills.at_once || !begun) {
                continue;
            }
            let ordered = under.filling.tick(now, &mut fills.chance);
            if ordered.iter().any(|order| matches!(order, Order::Begin(_))) && !under.thread {
                (under.thread, busy) = (true, busy + 1);
            }
            orders.extend(ordered);
        }
        self.ordered(lane, orders);
        self.enter_done();
    }

    /// Into the log, before it begins: the next leader has to know of it.
    fn enter_begun(&mut self, now: f64) {
        let ledger = self.counting.book.ledger();
        let mut new = Vec::new();
        for under in self.fills.under.values_mut().filter(|under| under.done.is_none()) {
            if stands(ledger, &under.filling.fill) {
                continue;
            }
            // It may stand there at any moment now.
            self.fills.next = now;
            if now >= under.begin {
                under.begin = now + AGAIN;
                new.push(under.filling.fill.clone());
            }
        }
        for fill in new {
            let _ = self.enter_debt(Agreed::Begin(Begun::of(&fill, unix() as u64)));
        }
        self.debts_by_voter();
    }

    fn ordered(&mut self, lane: Lane, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Begin(fill) => {
                    info!("fleet: fill {}: from {} at {:.0} bytes a second", fill.id, fill.source, fill.rate);
                    self.note_fill(&fill, "begun");
                    self.lane(lane).begin(&fill);
                }
                // The filler knows no stopping: it is asked again under the same id.
                Order::Stop(fill) => info!("fleet: fill {}: no answer in time", fill.id),
                // Its place is free once the log has it; see `plan_fills`.
                Order::Free(_) | Order::Propose(_) => {}
            }
        }
        let under = self.lane(lane).under.iter();
        let failed = under.filter(|(_, u)| u.filling.state().ended() && u.done.is_none());
        let failed: Vec<String> = failed.map(|(id, _)| id.clone()).collect();
        for id in failed {
            // Planned anew, from another source perhaps.
            self.lane(lane).planner.ended(&id, false);
            self.lane(lane).under.remove(&id);
            if lane == Lane::Own {
                self.forgo(&id);
            }
        }
    }

    /// A try has ended.
    pub(super) fn fill_ended(&mut self, done: Option<Done>) {
        let Some(Done { lane, id, outcome }) = done else { return };
        let now = monotonic_seconds();
        let tally = self.tally.clone();
        let fills = self.lane(lane);
        let Some(under) = fills.under.get_mut(&id) else { return };
        under.thread = false;
        let event = match outcome {
            Ok(filled) => {
                under.done = Some(filled);
                Event::Done
            }
            Err(e) => {
                add(&tally.fills_failed);
                warn!("fleet: fill {id}: {e} ({})", e.help());
                Event::Failed { why: e.to_string() }
            }
        };
        let fill = under.filling.fill.clone();
        let state = if event == Event::Done { "done" } else { "failed" };
        let orders = under.filling.heard(now, event, &mut fills.chance).unwrap_or_default();
        if state == "done" {
            add(&tally.fills);
        }
        self.note_fill(&fill, state);
        self.ordered(lane, orders);
        if state == "failed" && lane == Lane::Version {
            self.turn_from(&fill);
        }
        match lane {
            Lane::Version => self.enter_done(),
            Lane::Own => self.own_done(&id),
        }
    }

    /// A fill of our own is done: from now on its promise is brought into the log, until that has it. What is counted as
    /// carried is counted after that stands in the folder: a crash between makes a debt smaller, never greater.
    fn own_done(&mut self, id: &str) {
        let Some(under) = self.warm.under.remove(id) else { return };
        let Some(filled) = under.done else { return drop(self.warm.under.insert(id.to_string(), under)) };
        self.warm.planner.ended(id, true);
        let fill = under.filling.fill;
        let start = id.rsplit_once('+').and_then(|(_, start)| start.parse().ok()).unwrap_or(0);
        let started = self.started_now();
        let warmed = &mut self.debts.promises.warmed;
        // Only starts that may still be asked about are kept in mind.
        warmed
            .retain(|(_, node, start)| started.iter().any(|it| it.node == *node && it.incarnation == *start));
        warmed.insert((fill.segment, fill.holder.clone(), start));
        let (mut from, mut bytes) = (fill.from.clone(), fill.unsettled());
        if filled.source != fill.source {
            // Another's fill of this id, from elsewhere: what was promised was not paid.
            self.warm.planner.refused(id);
            self.forgo(id);
            let acting = self.member.active_config();
            let holder = acting
                .map(monotonic_seconds())
                .and_then(|proof| proof.segment(fill.segment))
                .and_then(|it| {
                    it.replicas
                        .iter()
                        .find(|holder| holder.node == filled.source)
                        .map(|it| it.partner.clone())
                });
            (from, bytes) = (holder.unwrap_or(fill.to.clone()), filled.bytes);
        } else if fill.settles.is_none() {
            self.forgo(id);
        } else if let Some(pledged) = self.debts.promises.fills.get_mut(id) {
            pledged.done = true;
        }
        self.save_promises();
        self.counting.tally.saw(&from, &fill.to, bytes);
        self.dies("done");
    }

    /// A try has failed: the next is from another source, if there is one, and at once; else this one is asked again
    /// after its pause.
    fn turn_from(&mut self, fill: &Fill) {
        self.fills.avoided.failed(&fill.id, &fill.source);
        let Some(needs) = self.needs() else { return };
        self.fills.avoided.keep(|id| needs.iter().any(|need| need.id() == id));
        let need = needs.iter().find(|need| need.id() == fill.id);
        if need.is_some_and(|need| need.sources.iter().all(|(node, _)| *node != fill.source)) {
            info!("fleet: fill {}: not from {} any more", fill.id, fill.source);
            self.fills.planner.ended(&fill.id, false);
            self.fills.under.remove(&fill.id);
        }
    }

    /// Enters what is done until the log has it: the settlement first, as a crash behind it leaves the fill open, and the
    /// next leader's filler answers at once.
    fn enter_done(&mut self) {
        let now = monotonic_seconds();
        let due = self.fills.under.values_mut().filter(|under| now >= under.enter);
        let done = due.filter_map(|under| {
            let filled = under.done.clone()?;
            under.enter = now + AGAIN;
            Some((under.filling.fill.clone(), filled))
        });
        for (fill, filled) in done.collect::<Vec<_>>() {
            let settles = self.settlement(&fill, &filled);
            let settled = settles.map_or(Ok(()), |it| self.enter_debt(Agreed::Settle(it)));
            if self.dies("settled") {
                return;
            }
            let number = self.fills.number;
            let entered = match settled {
                Ok(()) | Err(Rejection::AlreadySettled(_)) => {
                    let (segment, holder) = (fill.segment, fill.holder.clone());
                    self.enter(Command::FillCompleted { number, segment, holder })
                }
                // Never taken, as the share is spent or another has settled the fill: the holder is filled all the same.
                Err(Rejection::Settlement(why)) => {
                    info!("fleet: fill {}: not settled: {why} ({})", fill.id, why.help());
                    self.fills.planner.refused(&fill.id);
                    if let Some(under) = self.fills.under.get_mut(&fill.id) {
                        under.unpaid = !self.counting.book.ledger().has(&fill.id);
                    }
                    let (segment, holder) = (fill.segment, fill.holder.clone());
                    self.enter(Command::FillCompleted { number, segment, holder })
                }
                Err(e) => Err(e),
            };
            if let Err(why) = entered
                && !matches!(why, Rejection::FillNotNeeded { .. } | Rejection::NotLeader(_))
            {
                warn!("fleet: fill {}: {why} ({})", fill.id, why.help());
            }
        }
    }

    /// What the fill pays off: of the source that it was really taken from.
    fn settlement(&self, fill: &Fill, filled: &FillResult) -> Option<Settlement> {
        if filled.source == fill.source {
            return fill.settles.clone();
        }
        let moving = self.voter.as_ref()?.state().map_transition()?;
        let keys = moving.to().segment(fill.segment)?.keys;
        let mut holders = moving.from().overlapping(keys).flat_map(|old| &old.replicas);
        let from = holders.find(|holder| holder.node == filled.source)?.partner.clone();
        let fill = Fill { source: filled.source.clone(), from, bytes: filled.bytes, ..fill.clone() };
        let pays = fill.bytes.min(self.counting.book.open(&fill.from, &fill.to));
        let settlement = (pays > 0).then(|| Settlement::new(&fill, BY, &fill.from, &fill.to, pays))?;
        settlement.ok()
    }

    fn note_fill(&self, fill: &Fill, state: &str) {
        if let Some(recorder) = &self.recorder {
            recorder.wrote(AuditEvent::Fill {
                id: fill.id.clone(),
                segment: fill.segment,
                holder: fill.holder.clone(),
                source: fill.source.clone(),
                bytes: fill.bytes,
                state: state.to_string(),
            });
        }
    }
}

/// Whether the log has it as begun.
fn stands(ledger: &Ledger, fill: &Fill) -> bool {
    ledger.has_begun(&fill.id, &fill.from)
}
