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

use super::{Asked, Host};
use crate::clock::{monotonic_seconds, unix};
use crate::error::PlanError;
use crate::version::LONGEST;

/// Leases that an offer may take to be answered, and between two offers.
const WITHIN: f64 = 1.0;
/// Part of a lease after which what was entered and is not agreed on is entered again.
const AGAIN: f64 = 0.25;
/// Leases for which what a broker said of its nodes counts.
const SAID: f64 = 2.0;
/// Seconds between two steps where the file does not say.
pub const SETTLE: f64 = 1.0;

/// The plan's file, what of it was offered, and what the leader needs between two turns.
pub struct Moving {
    pub path: Option<PathBuf>,
    pub at_once: usize,
    /// Seconds.
    pub settle: f64,
    unread: bool,
    plan: Option<Plan>,
    offered: bool,
    next: f64,
    to: Option<String>,
    asked: usize,
    /// Of the leader: plan and turn, and since when they are so.
    turn: Option<(String, u64, f64)>,
    entered: f64,
    pressure: Pressure,
    told: Option<Held>,
}

/// A plan on its way to the leader.
#[derive(Serialize, Deserialize)]
struct Offer {
    plan: Plan,
    at_once: usize,
    /// It was offered before: its word counts once.
    again: bool,
}

/// What a voter says of it.
#[derive(Debug, Serialize, Deserialize)]
enum Answer {
    /// It stands in a log; to be offered again until it is known.
    Taken,
    Known(String),
    Leads(Option<String>),
    Wait(String),
    Refused {
        why: String,
        help: String,
    },
}

impl Answer {
    fn of(why: &Rejection) -> Self {
        match why {
            Rejection::NotLeader(leader) => Self::Leads(leader.clone()),
            Rejection::Rebalance(e) if e.passes() => Self::Wait(why.to_string()),
            Rejection::Busy | Rejection::NoLeader => Self::Wait(why.to_string()),
            _ => Self::Refused { why: why.to_string(), help: why.help().to_string() },
        }
    }
}

impl Moving {
    pub fn new(path: Option<PathBuf>, at_once: usize, settle: f64) -> Self {
        let unread = path.is_some();
        Self {
            path,
            at_once,
            settle,
            unread,
            plan: None,
            offered: false,
            next: 0.0,
            to: None,
            asked: 0,
            turn: None,
            entered: f64::NEG_INFINITY,
            pressure: Pressure::default(),
            told: None,
        }
    }

    pub fn reread(&mut self, path: Option<PathBuf>) {
        (self.path, self.unread, self.next) = (path, true, 0.0);
    }

    fn read(&mut self) {
        if !std::mem::take(&mut self.unread) {
            return;
        }
        (self.plan, self.offered) = (None, false);
        let Some(path) = &self.path else { return };
        match read(path) {
            Ok(plan) => self.plan = Some(plan),
            Err(e @ PlanError::NotThere { .. }) => info!("fleet: moves: {e} ({})", e.help()),
            Err(e) => error!("fleet: moves: {e} ({})", e.help()),
        }
    }
}

fn read(path: &std::path::Path) -> Result<Plan, PlanError> {
    let owned = || path.to_path_buf();
    let text = std::fs::read_to_string(path).map_err(|e| match e.kind() {
        std::io::ErrorKind::NotFound => PlanError::NotThere { path: owned() },
        _ => PlanError::Unreadable { path: owned(), why: e.to_string() },
    })?;
    Plan::read(&text).map_err(|why| PlanError::NotAPlan { path: owned(), why: Box::new(why) })
}

impl Host {
    /// Whether a plan's fills are to begin no further ones for now.
    pub(super) fn fills_held(&self) -> bool {
        let state = self.voter.as_ref().map(|voter| voter.state());
        let running = state.and_then(|state| state.rebalance().running.as_ref());
        running.is_some_and(|running| running.paused.is_some() && running.begun.is_some())
    }

    /// Offers the file's plan to whoever leads, until it is known; and carries on with the agreed one, where this broker
    /// leads.
    pub(super) fn move_on(&mut self) {
        self.offer();
        let leads = self.state.failed.is_none() && self.voter.as_ref().is_some_and(|voter| voter.is_leader());
        if !leads {
            (self.moving.turn, self.moving.told) = (None, None);
            self.moving.pressure = Pressure::default();
            return;
        }
        self.carry_on();
    }

    fn offer(&mut self) {
        let now = monotonic_seconds();
        if now < self.moving.next || now >= self.member.active_config().lease_expires_at() {
            return;
        }
        self.moving.read();
        let Some(plan) = self.moving.plan.clone() else { return };
        self.moving.next = now + self.lease * WITHIN;
        let to = self.moving.to.take().or(self.member.leader().map(str::to_string));
        let to = to.unwrap_or_else(|| {
            self.moving.asked += 1;
            let voters = self.member.voters();
            voters[self.moving.asked % voters.len()].clone()
        });
        let offer = Offer { plan, at_once: self.moving.at_once, again: self.moving.offered };
        if to == self.name {
            let answer = self.offered(offer);
            return self.offer_said(&to, answer);
        }
        let Ok(body) = postcard::to_stdvec(&offer) else { return };
        self.ask(
            &to.clone(),
            RequestKind::RebalancePlan,
            body,
            self.lease * WITHIN,
            Asked::Moves { voter: to },
        );
    }

    pub(super) fn offer_asked(&mut self, from: &str, body: &[u8], token: Responder) {
        if body.len() > LONGEST {
            return self.peers.respond(token, Err(RefusalReason::TooLarge { max_bytes: LONGEST as u64 }));
        }
        let Ok(offer) = postcard::from_bytes::<Offer>(body) else {
            return self.peers.respond(token, Err(RefusalReason::Malformed));
        };
        let id = offer.plan.id.clone();
        let answer = self.offered(offer);
        if !matches!(answer, Answer::Wait(_)) {
            info!("fleet: plan {id}, offered by {from}: {answer:?}");
        }
        let body = postcard::to_stdvec(&answer).map_err(|_| RefusalReason::Malformed);
        self.peers.respond(token, body);
    }

    pub(super) fn offer_answered(&mut self, voter: &str, body: Option<Vec<u8>>) {
        if let Some(answer) = body.and_then(|body| postcard::from_bytes(&body).ok()) {
            self.offer_said(voter, answer);
        }
    }

    fn offer_said(&mut self, voter: &str, answer: Answer) {
        let moving = &mut self.moving;
        let id = moving.plan.as_ref().map_or(String::new(), |plan| plan.id.clone());
        match answer {
            Answer::Taken => moving.offered = true,
            Answer::Known(how) => {
                info!("fleet: plan {id}: {how}");
                moving.plan = None;
            }
            Answer::Leads(leader) => {
                moving.to = leader;
                moving.next = monotonic_seconds() + self.lease * AGAIN;
            }
            Answer::Wait(why) => info!("fleet: plan {id}: {voter}: not now: {why}"),
            Answer::Refused { why, help } => {
                error!("fleet: plan {id}: refused by {voter}: {why} ({help})");
                crate::hand::add(&self.tally.refused);
                moving.plan = None;
            }
        }
    }

    /// A plan that somebody offers this broker as leader: put in order and entered, or its word taken.
    fn offered(&mut self, offer: Offer) -> Answer {
        let Offer { plan, at_once, again } = offer;
        let leads = self.voter.as_ref().filter(|voter| voter.is_leader());
        let Some(voter) = leads else {
            let leader = self.voter.as_ref().and_then(|voter| voter.leader());
            return Answer::Leads(leader.filter(|leader| *leader != self.name));
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
                _ => return Answer::Known(told),
            };
            return self
                .enter(Command::Rebalance(entry))
                .map_or_else(|why| Answer::of(&why), |()| Answer::Taken);
        }
        if plan.word == Word::Withdraw {
            return Answer::Known("it was never taken, so nothing is to be undone".to_string());
        }
        let Some(proof) = state.map_proof() else { return Answer::of(&MoveError::NoMap.into()) };
        // Nothing is put in order that could not be taken now.
        if let Some(running) = &state.rebalance().running {
            return Answer::of(&MoveError::Runs { running: running.plan.id.clone() }.into());
        }
        if let Some(open) = &state.open {
            return Answer::of(&MoveError::Open { open: open.version.number }.into());
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
                self.enter(Command::Rebalance(taken)).map_or_else(|why| Answer::of(&why), |()| Answer::Taken)
            }
            Err(why) => Answer::of(&why.into()),
        }
    }

    /// The leader's part.
    fn carry_on(&mut self) {
        let now = monotonic_seconds();
        let Some(voter) = &self.voter else { return };
        let (state, moving) = (voter.state(), &mut self.moving);
        for (broker, pressed) in voter.broker_overloads() {
            moving.pressure.heard(now, broker, pressed);
        }
        let pressed = moving.pressure.pressed(now, SAID * self.lease);
        let Some(running) = &state.rebalance().running else {
            (moving.turn, moving.told) = (None, None);
            return;
        };
        let turn = (running.plan.id.clone(), running.turn);
        if moving.turn.as_ref().is_none_or(|(id, turn, _)| (id, turn) != (&running.plan.id, &running.turn)) {
            moving.turn = Some((turn.0, turn.1, now));
        }
        if now < moving.entered + AGAIN * self.lease {
            return;
        }
        let hundredths = (100.0 * moving.pressure.share()).round() as u32;
        let (id, rested) = (running.plan.id.clone(), moving.turn.as_ref().map_or(now, |turn| turn.2));
        let next = match (&running.paused, pressed) {
            (None, true) => Next::Enter(Agreed::Paused { plan: id, why: Pause::Pressed { hundredths } }),
            (Some(Pause::Pressed { .. }), false) => {
                Next::Enter(Agreed::Resumed { plan: id, by: By::Pressure(hundredths) })
            }
            _ => state.rebalance().next(&state.rebalance_context(), now >= rested + moving.settle),
        };
        self.moving.entered = now;
        match next {
            Next::Nothing(held) => {
                self.moving.entered = f64::NEG_INFINITY;
                if self.moving.told.as_ref() != Some(&held) {
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
                    self.moving.told = Some(held);
                }
            }
            Next::Enter(entry) => {
                self.say(&entry);
                self.enter_move(Command::Rebalance(entry));
            }
            Next::Propose { number, moving } => {
                let Some(version) = self.step_version(number, moving.to().map().clone()) else { return };
                self.enter_move(Command::Propose(Box::new(version)));
            }
            Next::Withdraw { number, why } => {
                info!("fleet: version {number} is taken back: {why}");
                self.enter_move(Command::Withdraw { number, why });
            }
        }
    }

    fn running(&self) -> Option<&Running> {
        self.voter.as_ref()?.state().rebalance().running.as_ref()
    }

    fn plan_id(&self) -> String {
        self.running().map_or(String::new(), |running| running.plan.id.clone())
    }

    /// One line for each step: on whose word, by which limits, what else is left.
    fn say(&self, entry: &Agreed) {
        let Some(running) = self.running() else { return };
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
            proposed_at_unix_seconds: unix(),
            ..ConfigVersion::clone(in_force)
        })
    }

    fn enter_move(&mut self, entry: Command) {
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
        // A person has to look: what the voters will not have now they will not have in a moment.
        let fails = self.voter.as_ref().map(|voter| voter.state().rebalance().fails(&why));
        if let Some(Next::Enter(entry)) = fails {
            let _ = self.enter(Command::Rebalance(entry));
        }
    }
}

#[cfg(test)]
mod golden;
