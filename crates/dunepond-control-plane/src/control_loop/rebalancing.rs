//! Plans of moves: the operator's file on its way to the leader, and the leader carrying on with what is agreed. How far
//! a plan has come stands in the log alone, so that whoever leads next goes on exactly there.

use std::path::PathBuf;

use dunepond_consensus::{Command, ConfigVersion, Rejection};
use dunepond_membership::{RefusalReason, RequestKind, Responder};
use dunepond_rebalance::{
    Act, Agreed, By, Held, MoveError, Next, Operation, Pace, Pause, Plan, Pressure, Running, Word, order,
};
use serde::{Deserialize, Serialize};
use tracing::{error, info, warn};

use super::{ControlLoop, SentRequest};
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::documents::MAX_DOCUMENT_BYTES;
use crate::error::PlanError;

/// Leases that an offer may take to be answered, and between two offers.
const OFFER_TIMEOUT_LEASES: f64 = 1.0;
/// Leases after which an entry that is not committed is entered again.
const RETRY_LEASES: f64 = 0.25;
/// Leases for which what a broker said of its nodes counts.
const LOAD_REPORT_LEASES: f64 = 2.0;
/// Seconds between two steps where the file does not say.
pub const DEFAULT_SETTLE_SECONDS: f64 = 1.0;

/// The plan's file, what of it was offered, and what the leader needs between two turns.
pub struct Rebalancing {
    pub path: Option<PathBuf>,
    pub max_concurrent_acts: usize,
    /// Seconds.
    pub settle_seconds: f64,
    must_read: bool,
    plan: Option<Plan>,
    offered: bool,
    next_offer_at: f64,
    next_voter: Option<String>,
    voters_tried: usize,
    /// At the leader: the plan, its turn, and since when that turn has been current.
    current_turn: Option<(String, u64, f64)>,
    entered_at: f64,
    pressure: Pressure,
    reported_wait: Option<Held>,
}

/// A plan on its way to the leader.
#[derive(Serialize, Deserialize)]
struct PlanOffer {
    plan: Plan,
    max_concurrent_acts: usize,
    /// It was offered before: the operator's command in it counts once.
    is_repeat: bool,
}

/// What a voter says of it.
#[derive(Debug, Serialize, Deserialize)]
enum OfferReply {
    /// It stands in a log; to be offered again until it is known.
    Accepted,
    Known(String),
    NotLeader(Option<String>),
    RetryLater(String),
    Refused {
        why: String,
        help: String,
    },
}

impl OfferReply {
    fn of(why: &Rejection) -> Self {
        match why {
            Rejection::NotLeader(leader) => Self::NotLeader(leader.clone()),
            Rejection::Rebalance(e) if e.passes() => Self::RetryLater(why.to_string()),
            Rejection::Busy | Rejection::NoLeader => Self::RetryLater(why.to_string()),
            _ => Self::Refused { why: why.to_string(), help: why.help().to_string() },
        }
    }
}

impl Rebalancing {
    pub fn new(path: Option<PathBuf>, max_concurrent_acts: usize, settle_seconds: f64) -> Self {
        let must_read = path.is_some();
        Self {
            path,
            max_concurrent_acts,
            settle_seconds,
            must_read,
            plan: None,
            offered: false,
            next_offer_at: 0.0,
            next_voter: None,
            voters_tried: 0,
            current_turn: None,
            entered_at: f64::NEG_INFINITY,
            pressure: Pressure::default(),
            reported_wait: None,
        }
    }

    pub fn reload(&mut self, path: Option<PathBuf>) {
        (self.path, self.must_read, self.next_offer_at) = (path, true, 0.0);
    }

    fn read(&mut self) {
        if !std::mem::take(&mut self.must_read) {
            return;
        }
        (self.plan, self.offered) = (None, false);
        let Some(path) = &self.path else { return };
        match read(path) {
            Ok(plan) => self.plan = Some(plan),
            Err(e @ PlanError::NotFound { .. }) => info!("fleet: moves: {e} ({})", e.help()),
            Err(e) => error!("fleet: moves: {e} ({})", e.help()),
        }
    }
}

fn read(path: &std::path::Path) -> Result<Plan, PlanError> {
    let owned = || path.to_path_buf();
    let text = std::fs::read_to_string(path).map_err(|e| match e.kind() {
        std::io::ErrorKind::NotFound => PlanError::NotFound { path: owned() },
        _ => PlanError::Unreadable { path: owned(), why: e.to_string() },
    })?;
    Plan::read(&text).map_err(|why| PlanError::Invalid { path: owned(), why: Box::new(why) })
}

impl ControlLoop {
    /// Whether a plan's fills are to begin no further ones for now.
    pub(super) fn fills_are_paused(&self) -> bool {
        let state = self.voter.as_ref().map(|voter| voter.state());
        let running = state.and_then(|state| state.rebalance().running.as_ref());
        running.is_some_and(|running| running.paused.is_some() && running.begun.is_some())
    }

    /// Offers the file's plan to whoever leads, until it is known; and carries on with the agreed one, where this broker
    /// leads.
    pub(super) fn rebalance(&mut self) {
        self.offer_plan();
        let leads = self.state.storage_failed_until.is_none()
            && self.voter.as_ref().is_some_and(|voter| voter.is_leader());
        if !leads {
            (self.rebalancing.current_turn, self.rebalancing.reported_wait) = (None, None);
            self.rebalancing.pressure = Pressure::default();
            return;
        }
        self.advance_plan();
    }

    fn offer_plan(&mut self) {
        let now = monotonic_seconds();
        if now < self.rebalancing.next_offer_at || now >= self.member.active_config().lease_expires_at() {
            return;
        }
        self.rebalancing.read();
        let Some(plan) = self.rebalancing.plan.clone() else { return };
        self.rebalancing.next_offer_at = now + self.lease_seconds * OFFER_TIMEOUT_LEASES;
        let to = self.rebalancing.next_voter.take().or(self.member.leader().map(str::to_string));
        let to = to.unwrap_or_else(|| {
            self.rebalancing.voters_tried += 1;
            let voters = self.member.voters();
            voters[self.rebalancing.voters_tried % voters.len()].clone()
        });
        let offer = PlanOffer {
            plan,
            max_concurrent_acts: self.rebalancing.max_concurrent_acts,
            is_repeat: self.rebalancing.offered,
        };
        if to == self.name {
            let answer = self.accept_offer(offer);
            return self.apply_offer_reply(&to, answer);
        }
        let Ok(body) = postcard::to_stdvec(&offer) else { return };
        self.send_request(
            &to.clone(),
            RequestKind::RebalancePlan,
            body,
            self.lease_seconds * OFFER_TIMEOUT_LEASES,
            SentRequest::Plan { voter: to },
        );
    }

    pub(super) fn handle_offer(&mut self, from: &str, body: &[u8], token: Responder) {
        if body.len() > MAX_DOCUMENT_BYTES {
            return self
                .peers
                .respond(token, Err(RefusalReason::TooLarge { max_bytes: MAX_DOCUMENT_BYTES as u64 }));
        }
        let Ok(offer) = postcard::from_bytes::<PlanOffer>(body) else {
            return self.peers.respond(token, Err(RefusalReason::Malformed));
        };
        let id = offer.plan.id.clone();
        let answer = self.accept_offer(offer);
        if !matches!(answer, OfferReply::RetryLater(_)) {
            info!("fleet: plan {id}, offered by {from}: {answer:?}");
        }
        let body = postcard::to_stdvec(&answer).map_err(|_| RefusalReason::Malformed);
        self.peers.respond(token, body);
    }

    pub(super) fn on_offer_reply(&mut self, voter: &str, body: Option<Vec<u8>>) {
        if let Some(answer) = body.and_then(|body| postcard::from_bytes(&body).ok()) {
            self.apply_offer_reply(voter, answer);
        }
    }

    fn apply_offer_reply(&mut self, voter: &str, answer: OfferReply) {
        let moving = &mut self.rebalancing;
        let id = moving.plan.as_ref().map_or(String::new(), |plan| plan.id.clone());
        match answer {
            OfferReply::Accepted => moving.offered = true,
            OfferReply::Known(how) => {
                info!("fleet: plan {id}: {how}");
                moving.plan = None;
            }
            OfferReply::NotLeader(leader) => {
                moving.next_voter = leader;
                moving.next_offer_at = monotonic_seconds() + self.lease_seconds * RETRY_LEASES;
            }
            OfferReply::RetryLater(why) => info!("fleet: plan {id}: {voter}: not now: {why}"),
            OfferReply::Refused { why, help } => {
                error!("fleet: plan {id}: refused by {voter}: {why} ({help})");
                crate::handle::increment(&self.counters.refused);
                moving.plan = None;
            }
        }
    }

    /// A plan that somebody offers this broker as leader: put in order and entered, or its word taken.
    fn accept_offer(&mut self, offer: PlanOffer) -> OfferReply {
        let PlanOffer { plan, max_concurrent_acts: at_once, is_repeat: again } = offer;
        let leads = self.voter.as_ref().filter(|voter| voter.is_leader());
        let Some(voter) = leads else {
            let leader = self.voter.as_ref().and_then(|voter| voter.leader());
            return OfferReply::NotLeader(leader.filter(|leader| *leader != self.name));
        };
        let state = voter.state();
        let (id, who) = (plan.id.clone(), plan.who.clone());
        if let Some(told) = state.rebalance().told(&id) {
            let running = state.rebalance().running.as_ref().filter(|running| running.plan.id == id);
            let entry = match (running, plan.word) {
                (Some(Running { paused: None | Some(Pause::Pressed { .. }), .. }), Word::Pause) => {
                    Agreed::Paused { plan: id, why: Pause::Word { who } }
                }
                (Some(Running { paused: Some(pause), .. }), Word::Go)
                    if !again && !matches!(pause, Pause::Pressed { .. }) =>
                {
                    Agreed::Resumed { plan: id, by: By::Operator(who) }
                }
                (Some(Running { undoing: None, .. }), Word::Withdraw) => {
                    Agreed::Withdrawn { plan: id, who, why: plan.why }
                }
                _ => return OfferReply::Known(told),
            };
            return self
                .enter(Command::Rebalance(entry))
                .map_or_else(|why| OfferReply::of(&why), |()| OfferReply::Accepted);
        }
        if plan.word == Word::Withdraw {
            return OfferReply::Known("it was never taken, so nothing is to be undone".to_string());
        }
        let Some(proof) = state.map_proof() else { return OfferReply::of(&MoveError::NoMap.into()) };
        // Nothing is put in order that could not be taken now.
        if let Some(running) = &state.rebalance().running {
            return OfferReply::of(&MoveError::Runs { running: running.plan.id.clone() }.into());
        }
        if let Some(open) = &state.open {
            return OfferReply::of(&MoveError::Open { open: open.version.number }.into());
        }
        let pace = Pace { at_once, most_changed: state.config.max_changed_ratio };
        match order(&plan, proof, pace, |node| state.is_excluded(node)) {
            Ok(steps) => {
                let (operations, versions) = (plan.operations.len(), steps.len());
                info!(
                    "fleet: plan {id} by {who}: {operations} operations in {versions} steps, at most {at_once} at once \
                     and a share of {} of the segments",
                    pace.most_changed
                );
                let taken = Agreed::Taken { plan: Box::new(plan), steps, at_once };
                self.enter(Command::Rebalance(taken))
                    .map_or_else(|why| OfferReply::of(&why), |()| OfferReply::Accepted)
            }
            Err(why) => OfferReply::of(&why.into()),
        }
    }

    /// The leader's part.
    fn advance_plan(&mut self) {
        let now = monotonic_seconds();
        let Some(voter) = &self.voter else { return };
        let (state, moving) = (voter.state(), &mut self.rebalancing);
        for (broker, pressed) in voter.broker_overloads() {
            moving.pressure.heard(now, broker, pressed);
        }
        let pressed = moving.pressure.pressed(now, LOAD_REPORT_LEASES * self.lease_seconds);
        let Some(running) = &state.rebalance().running else {
            (moving.current_turn, moving.reported_wait) = (None, None);
            return;
        };
        let turn = (running.plan.id.clone(), running.turn);
        if moving
            .current_turn
            .as_ref()
            .is_none_or(|(id, turn, _)| (id, turn) != (&running.plan.id, &running.turn))
        {
            moving.current_turn = Some((turn.0, turn.1, now));
        }
        if now < moving.entered_at + RETRY_LEASES * self.lease_seconds {
            return;
        }
        let hundredths = (100.0 * moving.pressure.share()).round() as u32;
        let (id, rested) = (running.plan.id.clone(), moving.current_turn.as_ref().map_or(now, |turn| turn.2));
        let next = match (&running.paused, pressed) {
            (None, true) => Next::Enter(Agreed::Paused { plan: id, why: Pause::Pressed { hundredths } }),
            (Some(Pause::Pressed { .. }), false) => {
                Next::Enter(Agreed::Resumed { plan: id, by: By::Pressure(hundredths) })
            }
            _ => state.rebalance().next(&state.rebalance_context(), now >= rested + moving.settle_seconds),
        };
        self.rebalancing.entered_at = now;
        match next {
            Next::Nothing(held) => {
                self.rebalancing.entered_at = f64::NEG_INFINITY;
                if self.rebalancing.reported_wait.as_ref() != Some(&held) {
                    match &held {
                        Held::Paused(why) => info!("fleet: plan {}: waits: {why}", self.plan_id()),
                        Held::Other(open) => {
                            info!(
                                "fleet: plan {}: waits for version {open}, which is no step",
                                self.plan_id()
                            );
                        }
                        Held::NoPlan | Held::UnderWay(_) => {}
                    }
                    self.rebalancing.reported_wait = Some(held);
                }
            }
            Next::Enter(entry) => {
                self.log_step(&entry);
                self.enter_plan_entry(Command::Rebalance(entry));
            }
            Next::Propose { number, moving } => {
                let Some(version) = self.step_version(number, moving.to().map().clone()) else { return };
                self.enter_plan_entry(Command::Propose(Box::new(version)));
            }
            Next::Withdraw { number, why } => {
                info!("fleet: version {number} is taken back: {why}");
                self.enter_plan_entry(Command::Withdraw { number, why });
            }
        }
    }

    fn running_plan(&self) -> Option<&Running> {
        self.voter.as_ref()?.state().rebalance().running.as_ref()
    }

    fn plan_id(&self) -> String {
        self.running_plan().map_or(String::new(), |running| running.plan.id.clone())
    }

    /// One line for each step: on whose word, by which limits, what else is left.
    fn log_step(&self, entry: &Agreed) {
        let Some(running) = self.running_plan() else { return };
        let (id, who, why) = (&running.plan.id, &running.plan.who, &running.plan.why);
        let (Agreed::Begun { turn, number, .. }, Some(wave)) = (entry, running.wave()) else {
            return info!("fleet: plan {id}: {entry:?}");
        };
        let segments =
            self.voter.as_ref().and_then(|voter| voter.state().map_proof()).map_or(0, |proof| proof.len());
        let (changed, of) = wave.changed(segments);
        let done: Vec<usize> = running.steps[..running.done]
            .iter()
            .flat_map(|step| &step.wave.acts)
            .filter(|(_, act)| !matches!(act, Act::Fill { .. }))
            .map(|(operation, _)| *operation)
            .collect();
        let moves = |o: &Operation| matches!(o, Operation::Move { .. });
        let left = running.plan.operations.len() - done.len().min(running.plan.operations.len());
        let way = if running.undoing.is_some() { "back" } else { "on" };
        info!(
            "fleet: plan {id}, turn {turn}, version {number}, {way}: {wave}; {} at once, {changed} of {of} segments; {left} \
             operations left, {} moves in all; {who}: {why}",
            wave.acts.len(),
            running.plan.operations.iter().filter(|o| moves(o)).count(),
        );
    }

    /// The version that carries out the step under way: the map is the step's, all else goes on as it is.
    fn step_version(&self, number: u64, map: dunepond_shard_map::ShardMap) -> Option<ConfigVersion> {
        let state = self.voter.as_ref()?.state();
        let running = state.rebalance().running.as_ref()?;
        let (in_force, _) = state.active.as_ref()?;
        let plan = &running.plan;
        let what = running.wave().map_or(String::new(), ToString::to_string);
        let back = if running.undoing.is_some() { ", back" } else { "" };
        Some(ConfigVersion {
            number,
            based_on: Some(in_force.number),
            first_stage_ratio: None,
            map: Some(map),
            proposed_by: plan.who.clone(),
            reason: format!("plan {}, turn {}{back}: {what}; {}", plan.id, running.turn, plan.why),
            proposed_at_unix_seconds: unix_seconds(),
            ..ConfigVersion::clone(in_force)
        })
    }

    fn enter_plan_entry(&mut self, entry: Command) {
        let proposes = matches!(entry, Command::Propose(_));
        let Err(why) = self.enter(entry) else { return };
        let passes = match &why {
            Rejection::Rebalance(why) => why.passes() || !proposes,
            Rejection::NotLeader(_)
            | Rejection::Busy
            | Rejection::ChangeOpen { .. }
            | Rejection::NotProposed(_) => true,
            Rejection::RollingBack(_) => true,
            _ => false,
        };
        if passes {
            return;
        }
        warn!("fleet: plan {}: {why} ({})", self.plan_id(), why.help());
        // An operator has to look: what the voters reject now they will reject again.
        let fails = self.voter.as_ref().map(|voter| voter.state().rebalance().fails(&why));
        if let Some(Next::Enter(entry)) = fails {
            let _ = self.enter(Command::Rebalance(entry));
        }
    }
}

#[cfg(test)]
mod golden;
