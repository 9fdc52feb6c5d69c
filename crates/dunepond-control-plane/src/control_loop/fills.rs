//! Fills, on two lanes. The leader plans those that a proposed map needs, has them carried out, and enters what is done;
//! each broker plans those of cold holders that fall to it ([`super::own_fills`]). A fill has the same id whoever plans it and
//! however often, so that one that was done before a crash is answered at once, and one that was settled before settles no
//! second time. What a leader begins stands in the log first, so that the next one knows of it.

use std::collections::BTreeSet;

use dunepond_consensus::{Command, Rejection, Voter};
use dunepond_settlement::{
    Fill, FillAction, FillDemand, FillEvent, Settlement, SettlementEntry, SettlementLedger, StartedFill,
};
use tracing::{info, warn};

use super::ControlLoop;
use super::fill_lane::{ActiveFill, FillEnded, FillLane, Lane};
use crate::audit_log::AuditEvent;
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::explain::Explanation;
use crate::fill_client::FillResult;
use crate::handle::increment;

/// Seconds between two looks at what is to be filled.
const REVIEW_INTERVAL_SECONDS: f64 = 0.1;
/// Seconds after which what is begun or done is entered again.
const ENTRY_RETRY_SECONDS: f64 = 1.0;
/// In whose name settlements of versions' fills are planned: the same at each leader, or one fill would settle once under
/// each. Where debts are split it has a share of its own, which only the log spends.
pub const LOG_SHARE_HOLDER: &str = "fleet";

impl ControlLoop {
    pub(super) fn lane(&mut self, lane: Lane) -> &mut FillLane {
        match lane {
            Lane::Version => &mut self.version_fills,
            Lane::Own => &mut self.own_fills,
        }
    }

    /// Notes when each fill that stands in the log as begun was first seen here: later than it began, never sooner. Of
    /// those that stand there at a start the leader's clock says how old they are.
    pub(super) fn note_begun_fills(&mut self) {
        let (now, fills) = (monotonic_seconds(), &mut self.version_fills);
        let ledger = self.traffic.balances.ledger();
        let at_start = fills.begun_at.is_empty();
        for begun in ledger.begun() {
            let age = if at_start { (unix_seconds() - begun.at as f64).max(0.0) } else { 0.0 };
            fills.begun_at.entry((begun.id.clone(), begun.from.clone())).or_insert(now - age);
        }
        fills.begun_at.retain(|(id, from), _| ledger.has_started(id, from));
    }

    /// One that begins to lead takes over what the leader before has in its windows, and what is under way.
    fn take_over(&mut self, needs: &[FillDemand], now: f64) {
        let fills = &mut self.version_fills;
        if std::mem::replace(&mut fills.is_leading, true) {
            return;
        }
        let mut again = Vec::new();
        for begun in self.traffic.balances.ledger().begun() {
            let at = fills.begun_at.get(&(begun.id.clone(), begun.from.clone())).copied().unwrap_or(now);
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
        fills.resume(again, now);
    }

    /// Carries on with the fills of the proposed version, where this broker leads.
    pub(super) fn plan_version_fills(&mut self) {
        let now = monotonic_seconds();
        if now < self.version_fills.next_review_at || self.version_fills.client.is_none() {
            return;
        }
        self.version_fills.next_review_at = now + REVIEW_INTERVAL_SECONDS;
        let Some(needs) = self.version_fill_needs() else { return self.version_fills.abandon_all() };
        self.take_over(&needs, now);
        if needs.is_empty() && self.version_fills.active.is_empty() {
            return;
        }
        let fills = &mut self.version_fills;
        let ids: BTreeSet<_> = needs.iter().map(FillDemand::id).collect();
        // Entered, or needed no more.
        let gone: Vec<_> = fills.active.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        let mut counted = Vec::new();
        for id in gone {
            let under = fills.active.remove(&id).filter(|under| under.result.is_some());
            fills.planner.fill_ended(&id, under.is_some());
            counted.extend(under);
        }
        for under in counted {
            // What it settled is paid; the rest is a new debt of whoever was filled.
            let fill = under.progress.fill;
            let bytes = if under.settlement_refused { fill.bytes } else { fill.unsettled_bytes() };
            self.traffic.counts.record(&fill.from, &fill.to, bytes);
        }
        self.plan_new_fills(Lane::Version, needs, now);
        self.advance_fills(Lane::Version, now);
    }

    /// Carries on with the fills of cold holders that fall to this broker.
    pub(super) fn plan_own_fills(&mut self) {
        let now = monotonic_seconds();
        if now < self.own_fills.next_review_at || self.own_fills.client.is_none() {
            return;
        }
        self.own_fills.next_review_at = now + REVIEW_INTERVAL_SECONDS;
        let needs = self.own_fill_needs(now);
        if needs.is_empty() && self.own_fills.active.is_empty() {
            return;
        }
        self.plan_new_fills(Lane::Own, needs, now);
        self.advance_fills(Lane::Own, now);
    }

    fn plan_new_fills(&mut self, lane: Lane, needs: Vec<FillDemand>, now: f64) {
        let (part, cold) = (self.capacity_part(lane), self.warming_capacity(now, lane));
        let under = &self.lane(lane).active;
        let new: Vec<_> = needs.into_iter().filter(|need| !under.contains_key(&need.id())).collect();
        if new.is_empty() {
            return;
        }
        let book = &self.traffic.balances;
        let shares = (lane == Lane::Own).then_some(&self.settlement.commitments.shares);
        let fills = if lane == Lane::Version { &mut self.version_fills } else { &mut self.own_fills };
        let plan = if part < 1.0 {
            fills.planner.plan(&book.fraction(part), &new, &fills.links.fraction(part), &cold, shares, now)
        } else {
            fills.planner.plan(book, &new, &fills.links, &cold, shares, now)
        };
        for fill in plan.fills {
            if lane == Lane::Own && !self.commit_fill(&fill) {
                self.own_fills.planner.fill_ended(&fill.id, false);
                continue;
            }
            Explanation::for_fill(
                &fill,
                new.iter().find(|need| need.id() == fill.id),
                &self.traffic.balances,
            )
            .log();
            let fills = self.lane(lane);
            let under = ActiveFill::new(fill, fills.patience.clone(), now);
            fills.active.insert(under.progress.fill.id.clone(), under);
        }
    }

    /// What the proposed version's map needs and has not; nothing where this broker does not lead, or nothing is proposed.
    fn version_fill_needs(&mut self) -> Option<Vec<FillDemand>> {
        let leads =
            self.state.storage_failed_until.is_none() && self.voter.as_ref().is_some_and(Voter::is_leader);
        let state = self.voter.as_ref().filter(|_| leads).map(Voter::state)?;
        let (open, moving) = (state.open.as_ref()?, state.map_transition()?);
        let number = open.version.number;
        if self.version_fills.version != number {
            self.version_fills.abandon_all();
            self.version_fills.version = number;
        }
        let left = moving
            .required_fills()
            .iter()
            .filter(|need| !open.completed_fills.contains(&(need.segment, need.replica.clone())));
        let bytes = self.version_fills.segment_bytes;
        let (avoided, listed) = (&self.version_fills.avoided, self.proposals.listed_nodes.load());
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
            let mut need = FillDemand {
                version: number,
                segment: need.segment,
                holder: need.replica.clone(),
                holder_partner: holder.map_or(String::new(), |holder| holder.partner.clone()),
                sources: Vec::new(),
                bytes,
                start: 0,
            };
            need.sources = avoided.usable(&need.id(), sources, leaves);
            need
        });
        Some(needs.collect())
    }

    fn advance_fills(&mut self, lane: Lane, now: f64) {
        if lane == Lane::Version {
            self.enter_begun_fills(now);
        }
        let mut orders = Vec::new();
        // A plan of moves that pauses begins no further fill; those under way go on.
        let held = lane == Lane::Version && self.fills_are_paused();
        let ledger = self.traffic.balances.ledger();
        let fills = if lane == Lane::Version { &mut self.version_fills } else { &mut self.own_fills };
        let mut busy = fills.active.values().filter(|under| under.attempt_running).count();
        for under in fills.active.values_mut().filter(|under| under.result.is_none()) {
            let begun = lane == Lane::Own || log_has_begun(ledger, &under.progress.fill);
            if !under.attempt_running && (held || busy >= fills.max_concurrent || !begun) {
                continue;
            }
            let ordered = under.progress.tick(now, &mut fills.rng);
            if ordered.iter().any(|order| matches!(order, FillAction::Begin(_))) && !under.attempt_running {
                (under.attempt_running, busy) = (true, busy + 1);
            }
            orders.extend(ordered);
        }
        self.execute_fill_orders(lane, orders);
        self.enter_finished_fills();
    }

    /// Enters a fill into the log before it begins: the next leader has to know of it.
    fn enter_begun_fills(&mut self, now: f64) {
        let ledger = self.traffic.balances.ledger();
        let mut new = Vec::new();
        for under in self.version_fills.active.values_mut().filter(|under| under.result.is_none()) {
            if log_has_begun(ledger, &under.progress.fill) {
                continue;
            }
            // It may stand there at any moment now.
            self.version_fills.next_review_at = now;
            if now >= under.enter_begun_at {
                under.enter_begun_at = now + ENTRY_RETRY_SECONDS;
                new.push(under.progress.fill.clone());
            }
        }
        for fill in new {
            let _ =
                self.enter_settlement(SettlementEntry::Begin(StartedFill::new(&fill, unix_seconds() as u64)));
        }
        self.apply_voter_entries();
    }

    fn execute_fill_orders(&mut self, lane: Lane, orders: Vec<FillAction>) {
        for order in orders {
            match order {
                FillAction::Begin(fill) => {
                    info!("fleet: fill {}: from {} at {:.0} bytes a second", fill.id, fill.source, fill.rate);
                    self.audit_fill(&fill, "begun");
                    self.lane(lane).start_attempt(&fill);
                }
                // The fill service cannot stop a fill: it is asked again with the same id.
                FillAction::Stop(fill) => info!("fleet: fill {}: no answer in time", fill.id),
                // Its place is free once the log has it; see `plan_version_fills`.
                FillAction::Free(_) | FillAction::Propose(_) => {}
            }
        }
        let under = self.lane(lane).active.iter();
        let failed = under.filter(|(_, u)| u.progress.state().is_final() && u.result.is_none());
        let failed: Vec<String> = failed.map(|(id, _)| id.clone()).collect();
        for id in failed {
            // Planned anew, from another source perhaps.
            self.lane(lane).planner.fill_ended(&id, false);
            self.lane(lane).active.remove(&id);
            if lane == Lane::Own {
                self.abandon_commitment(&id);
            }
        }
    }

    /// An attempt has ended.
    pub(super) fn on_fill_ended(&mut self, done: Option<FillEnded>) {
        let Some(FillEnded { lane, id, outcome }) = done else { return };
        let now = monotonic_seconds();
        let counters = self.counters.clone();
        let fills = self.lane(lane);
        let Some(under) = fills.active.get_mut(&id) else { return };
        under.attempt_running = false;
        let event = match outcome {
            Ok(filled) => {
                under.result = Some(filled);
                FillEvent::Done
            }
            Err(e) => {
                increment(&counters.fills_failed);
                warn!("fleet: fill {id}: {e} ({})", e.help());
                FillEvent::Failed { why: e.to_string() }
            }
        };
        let fill = under.progress.fill.clone();
        let state = if event == FillEvent::Done { "done" } else { "failed" };
        let orders = under.progress.handle_event(now, event, &mut fills.rng).unwrap_or_default();
        if state == "done" {
            increment(&counters.fills);
        }
        self.audit_fill(&fill, state);
        self.execute_fill_orders(lane, orders);
        if state == "failed" && lane == Lane::Version {
            self.avoid_source(&fill);
        }
        match lane {
            Lane::Version => self.enter_finished_fills(),
            Lane::Own => self.finish_own_fill(&id),
        }
    }

    /// A fill of our own is done: from now on its promise is brought into the log, until that has it. What is counted as
    /// carried is counted after that stands in the folder: a crash between makes a debt smaller, never greater.
    fn finish_own_fill(&mut self, id: &str) {
        let Some(under) = self.own_fills.active.remove(id) else { return };
        let Some(filled) = under.result else {
            return drop(self.own_fills.active.insert(id.to_string(), under));
        };
        self.own_fills.planner.fill_ended(id, true);
        let fill = under.progress.fill;
        let start = id.rsplit_once('+').and_then(|(_, start)| start.parse().ok()).unwrap_or(0);
        let started = self.started_now();
        let warmed = &mut self.settlement.commitments.finished;
        // Only starts that may still be asked about are kept in mind.
        warmed
            .retain(|(_, node, start)| started.iter().any(|it| it.node == *node && it.incarnation == *start));
        warmed.insert((fill.segment, fill.holder.clone(), start));
        let (mut from, mut bytes) = (fill.from.clone(), fill.unsettled_bytes());
        if filled.source != fill.source {
            // Another's fill of this id, from elsewhere: what was promised was not paid.
            self.own_fills.planner.settlement_rejected(id);
            self.abandon_commitment(id);
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
            self.abandon_commitment(id);
        } else if let Some(pledged) = self.settlement.commitments.fills.get_mut(id) {
            pledged.done = true;
        }
        self.save_commitments();
        self.traffic.counts.record(&from, &fill.to, bytes);
        self.crash_point("done");
    }

    /// An attempt has failed: the next one follows at once from another source if there is one, else from the same source
    /// after the backoff.
    fn avoid_source(&mut self, fill: &Fill) {
        self.version_fills.avoided.note_failure(&fill.id, &fill.source);
        let Some(needs) = self.version_fill_needs() else { return };
        self.version_fills.avoided.retain(|id| needs.iter().any(|need| need.id() == id));
        let need = needs.iter().find(|need| need.id() == fill.id);
        if need.is_some_and(|need| need.sources.iter().all(|(node, _)| *node != fill.source)) {
            info!("fleet: fill {}: not from {} any more", fill.id, fill.source);
            self.version_fills.planner.fill_ended(&fill.id, false);
            self.version_fills.active.remove(&fill.id);
        }
    }

    /// Enters what is done until the log has it: the settlement first, as a crash behind it leaves the fill open, and the
    /// next leader's filler answers at once.
    fn enter_finished_fills(&mut self) {
        let now = monotonic_seconds();
        let due = self.version_fills.active.values_mut().filter(|under| now >= under.enter_done_at);
        let done = due.filter_map(|under| {
            let filled = under.result.clone()?;
            under.enter_done_at = now + ENTRY_RETRY_SECONDS;
            Some((under.progress.fill.clone(), filled))
        });
        for (fill, filled) in done.collect::<Vec<_>>() {
            let settles = self.settlement(&fill, &filled);
            let settled = settles.map_or(Ok(()), |it| self.enter_settlement(SettlementEntry::Settle(it)));
            if self.crash_point("settled") {
                return;
            }
            let number = self.version_fills.version;
            let entered = match settled {
                Ok(()) | Err(Rejection::AlreadySettled(_)) => {
                    let (segment, holder) = (fill.segment, fill.holder.clone());
                    self.enter(Command::FillCompleted { number, segment, holder })
                }
                // Never taken, as the share is spent or another has settled the fill: the holder is filled all the same.
                Err(Rejection::Settlement(why)) => {
                    info!("fleet: fill {}: not settled: {why} ({})", fill.id, why.help());
                    self.version_fills.planner.settlement_rejected(&fill.id);
                    if let Some(under) = self.version_fills.active.get_mut(&fill.id) {
                        under.settlement_refused = !self.traffic.balances.ledger().is_settled(&fill.id);
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
        let pays = fill.bytes.min(self.traffic.balances.net_debt(&fill.from, &fill.to));
        let settlement =
            (pays > 0).then(|| Settlement::new(&fill, LOG_SHARE_HOLDER, &fill.from, &fill.to, pays))?;
        settlement.ok()
    }

    fn audit_fill(&self, fill: &Fill, state: &str) {
        if let Some(recorder) = &self.audit_log {
            recorder.record(AuditEvent::Fill {
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
fn log_has_begun(ledger: &SettlementLedger, fill: &Fill) -> bool {
    ledger.has_started(&fill.id, &fill.from)
}
