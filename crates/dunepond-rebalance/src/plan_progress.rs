//! How far a plan has come, as all voters agree: entries in, the ends of versions in, what the leader does next out.
//!
//! A step is *prepared* (the next wave of the plan's progress), *begun* (its number and its map's digest stand in the log), proposed (its
//! holders are *filled* while it is *joint*; where owners change this is the *fence*), in force (*switched*) and *done*
//! by the same entry. Undone is: begun, by taking the number back; joint, by withdrawing the version; in force, by
//! versions that lead back. There is one version for one turn, and a turn counts once, whoever leads.

use std::collections::{BTreeSet, VecDeque};

use dunepond_shard_map::{MapTransition, VerifiedMap};
use serde::{Deserialize, Serialize};

use crate::layout::Wave;
use crate::{Act, MAX_ENDED_PLANS, MAX_STEP_ATTEMPTS, MoveError, Pace, Plan, Step, prove};

/// On whose word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum By {
    Operator(String),
    /// The fleet is pressed, or no more; share of its brokers, in hundredths.
    Pressure(u32),
}

/// Why a plan does not go on for now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pause {
    Pressed {
        hundredths: u32,
    },
    Word {
        who: String,
    },
    /// A step's version was withdrawn too often, or its map does not prove.
    Failed {
        why: String,
    },
}

impl std::fmt::Display for Pause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Pressed { hundredths } => write!(f, "{hundredths}% of the brokers are pressed"),
            Self::Word { who } => write!(f, "on the word of {who}"),
            Self::Failed { why } => write!(f, "a step came to nothing: {why}"),
        }
    }
}

/// What of a plan stands in the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Agreed {
    /// The plan, as its proposer ordered it.
    Taken {
        plan: Box<Plan>,
        steps: Vec<Step>,
        at_once: usize,
    },
    /// This turn's step is to be this version, with a map of this digest; no other may come before it.
    Begun {
        plan: String,
        turn: u64,
        number: u64,
        digest: String,
    },
    Paused {
        plan: String,
        why: Pause,
    },
    Resumed {
        plan: String,
        by: By,
    },
    /// All that is done is to be undone.
    Withdrawn {
        plan: String,
        who: String,
        why: String,
    },
}

/// A step whose version has its number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Begun {
    pub number: u64,
    /// Of its map.
    pub digest: String,
}

/// The plan that is under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    pub plan: Plan,
    pub steps: Vec<Step>,
    /// Of `steps`, forward.
    pub done: usize,
    /// On whose word it is undone, and why; `back` is what is left of that, once no version of the plan is under way.
    pub undoing: Option<(String, String)>,
    pub back: Option<VecDeque<Wave>>,
    pub begun: Option<Begun>,
    /// Counts every version that a step of this plan was given, so that nothing late is taken for something new.
    pub turn: u64,
    /// Versions of the step under way that were withdrawn.
    pub tries: u32,
    pub paused: Option<Pause>,
}

/// How a plan ended. One that was refused never began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    Done,
    Undone { who: String, why: String },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    pub id: String,
    pub who: String,
    pub how: Finish,
    /// Versions that it took.
    pub turns: u64,
}

/// What is agreed beside the plan, as an entry finds it.
pub struct Seen<'a> {
    /// Number of the version that is proposed.
    pub open: Option<u64>,
    /// The highest that ever was.
    pub highest: u64,
    /// Of the map in force.
    pub proof: Option<&'a VerifiedMap>,
    pub most_changed: f64,
}

/// Why nothing is to be done just now.
#[derive(Clone, Debug, PartialEq)]
pub enum Held {
    NoPlan,
    Paused(Pause),
    /// The step's version is proposed: its fills and its wait go by.
    UnderWay(u64),
    /// Another version is.
    Other(u64),
}

/// What the leader does next.
#[derive(Debug)]
pub enum Next {
    Nothing(Held),
    /// Enters this.
    Enter(Agreed),
    /// Proposes a version of this number with this move's new map.
    Propose {
        number: u64,
        moving: Box<MapTransition>,
    },
    /// Withdraws the version.
    Withdraw {
        number: u64,
        why: String,
    },
}

/// Kept in the agreed state and its snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanProgress {
    pub running: Option<Running>,
    pub ended: VecDeque<Ended>,
    /// Steps that were begun and given up before they were proposed: their versions may still be on the way.
    given_up: Vec<Begun>,
}

impl Running {
    /// The wave that is next or under way.
    pub fn wave(&self) -> Option<&Wave> {
        match &self.back {
            Some(back) => back.front(),
            None => self.steps.get(self.done).map(|step| &step.wave),
        }
    }

    fn is_over(&self) -> bool {
        self.begun.is_none() && self.wave().is_none()
    }

    /// What leads back from what is done.
    fn turn_round(&mut self) {
        let done = &self.steps[..self.done];
        let switched: BTreeSet<usize> = done
            .iter()
            .flat_map(|step| &step.wave.acts)
            .filter(|(_, act)| matches!(act, Act::Switch { .. }))
            .map(|(operation, _)| *operation)
            .collect();
        // A holder that took over is dropped by the switch back.
        let needed = |wave: &Wave| {
            let acts = wave.acts.iter().filter(|(operation, act)| {
                !(matches!(act, Act::Drop { .. }) && switched.contains(operation))
            });
            Wave { kind: wave.kind, acts: acts.cloned().collect() }
        };
        let back = done.iter().rev().flat_map(|step| step.back.iter().map(needed));
        self.back = Some(back.filter(|wave| !wave.acts.is_empty()).collect());
    }
}

impl PlanProgress {
    fn running(&self, id: &str) -> Result<&Running, MoveError> {
        let running = self.running.as_ref().filter(|running| running.plan.id == id);
        running.ok_or(MoveError::NotRunning { id: id.to_string() })
    }

    /// Whether the entry would change anything, as things stand.
    pub fn check(&self, entry: &Agreed, seen: &Seen<'_>) -> Result<(), MoveError> {
        match entry {
            Agreed::Taken { plan, steps, at_once } => {
                if let Some(ended) = self.ended.iter().find(|ended| ended.id == plan.id) {
                    return Err(MoveError::Known { id: plan.id.clone(), how: format!("{:?}", ended.how) });
                }
                if let Some(running) = &self.running {
                    return Err(MoveError::Runs { running: running.plan.id.clone() });
                }
                if let Some(open) = seen.open {
                    return Err(MoveError::Open { open });
                }
                let pace = Pace { at_once: *at_once, most_changed: seen.most_changed };
                // Who leaves by the version in force is the proposer's to look at; a switch there proves no version.
                prove(plan, steps, seen.proof.ok_or(MoveError::NoMap)?, pace, |_| false)
            }
            Agreed::Begun { plan, turn, number, digest } => {
                let running = self.running(plan)?;
                if running.turn != *turn || running.begun.is_some() {
                    let (id, said, is) = (plan.clone(), *turn, running.turn);
                    return Err(MoveError::Turn { id, said, is });
                }
                if let Some(why) = &running.paused {
                    return Err(MoveError::Paused { id: plan.clone(), why: why.to_string() });
                }
                if let Some(open) = seen.open {
                    return Err(MoveError::Open { open });
                }
                if *number != seen.highest + 1 {
                    return Err(MoveError::Number { said: *number, expected: seen.highest + 1 });
                }
                // Each voter makes the step's map for itself.
                let wave = running.wave().ok_or(MoveError::NotRunning { id: plan.clone() })?;
                let moving = wave.moving(seen.proof.ok_or(MoveError::NoMap)?, running.done)?;
                if moving.to().digest() != digest {
                    let what = format!("its map has digest {}, {digest} was said", moving.to().digest());
                    return Err(MoveError::NotInOrder { step: running.done, what });
                }
                Ok(())
            }
            Agreed::Paused { plan, why } => match (&self.running(plan)?.paused, why) {
                (None, _) | (Some(Pause::Pressed { .. }), Pause::Word { .. }) => Ok(()),
                (Some(why), _) => Err(MoveError::Paused { id: plan.clone(), why: why.to_string() }),
            },
            Agreed::Resumed { plan, by } => match (&self.running(plan)?.paused, by) {
                (Some(Pause::Pressed { .. }), _) | (Some(_), By::Operator(_)) => Ok(()),
                _ => Err(MoveError::NotPaused { id: plan.clone() }),
            },
            Agreed::Withdrawn { plan, .. } => match &self.running(plan)?.undoing {
                Some(_) => Err(MoveError::Undoing { id: plan.clone() }),
                None => Ok(()),
            },
        }
    }

    /// Applies an entry of the log, or says why it is ignored; the same at each voter.
    pub fn apply(&mut self, entry: Agreed, seen: &Seen<'_>) -> Result<(), MoveError> {
        self.check(&entry, seen)?;
        self.given_up.retain(|begun| begun.number > seen.highest);
        if let Agreed::Taken { plan, steps, .. } = entry {
            self.running = Some(Running {
                plan: *plan,
                steps,
                done: 0,
                undoing: None,
                back: None,
                begun: None,
                turn: 0,
                tries: 0,
                paused: None,
            });
            return Ok(());
        }
        let running = self.running.as_mut().expect("checked");
        match entry {
            Agreed::Taken { .. } => unreachable!("taken above"),
            Agreed::Begun { number, digest, .. } => {
                let begun = Begun { number, digest };
                // A late version of before is now this very one.
                self.given_up.retain(|given_up| *given_up != begun);
                running.begun = Some(begun);
            }
            Agreed::Paused { why, .. } => running.paused = Some(why),
            Agreed::Resumed { .. } => (running.paused, running.tries) = (None, 0),
            Agreed::Withdrawn { who, why, .. } => {
                // A person's word ends a pause that asked for one; what presses the fleet goes on pressing.
                if !matches!(running.paused, Some(Pause::Pressed { .. })) {
                    running.paused = None;
                }
                (running.undoing, running.tries) = (Some((who, why)), 0);
                // Begun and not proposed: its number is free again, and the version, should it come, is none of ours.
                if let Some(begun) = running.begun.take_if(|begun| seen.open != Some(begun.number)) {
                    self.given_up.push(begun);
                    running.turn += 1;
                }
                if running.begun.is_none() {
                    running.turn_round();
                }
                self.close();
            }
        }
        Ok(())
    }

    /// A version is over: in force, or withdrawn and why. By the same entry of the log the step is, if it was one.
    pub fn ended(&mut self, number: u64, withdrawn: Option<&str>) {
        self.given_up.retain(|begun| begun.number > number);
        let Some(running) = &mut self.running else { return };
        if running.begun.take_if(|begun| begun.number == number).is_none() {
            return;
        }
        running.turn += 1;
        match withdrawn {
            None => {
                running.tries = 0;
                match &mut running.back {
                    Some(back) => drop(back.pop_front()),
                    None => running.done += 1,
                }
            }
            // Nothing was tried where fills were held back, or the plan itself took the step back.
            Some(_) if running.paused.is_some() || (running.undoing.is_some() && running.back.is_none()) => {}
            Some(why) => {
                running.tries += 1;
                if running.tries >= MAX_STEP_ATTEMPTS {
                    running.paused = Some(Pause::Failed { why: why.to_string() });
                }
            }
        }
        if running.undoing.is_some() && running.back.is_none() {
            running.turn_round();
        }
        self.close();
    }

    fn close(&mut self) {
        if !self.running.as_ref().is_some_and(Running::is_over) {
            return;
        }
        let Some(running) = self.running.take() else { return };
        if self.ended.len() == MAX_ENDED_PLANS {
            self.ended.pop_front();
        }
        let how = match running.undoing {
            Some((who, why)) => Finish::Undone { who, why },
            None => Finish::Done,
        };
        let Plan { id, who, .. } = running.plan;
        self.ended.push_back(Ended { id, who, how, turns: running.turn });
    }

    /// Whether a version may be proposed beside what is planned. `map`: the digest of its map, where that is another than
    /// the one in force.
    pub fn allows(&self, number: u64, map: Option<&str>) -> Result<(), MoveError> {
        let is = |begun: &&Begun| begun.number == number && Some(&begun.digest[..]) == map;
        let begun = self.running.as_ref().and_then(|running| running.begun.as_ref());
        if begun.is_some_and(|begun| is(&begun)) {
            return Ok(());
        }
        if self.given_up.iter().any(|begun| is(&begun)) {
            return Err(MoveError::GivenUp { number });
        }
        let Some(running) = &self.running else { return Ok(()) };
        let id = || running.plan.id.clone();
        match begun {
            Some(begun) => Err(MoveError::First { id: id(), turn: running.turn, number: begun.number }),
            None if map.is_some() => Err(MoveError::MapBusy { id: id() }),
            None => Ok(()),
        }
    }

    /// What the leader does next. `rested`: the time between two steps has gone by.
    pub fn next(&self, seen: &Seen<'_>, rested: bool) -> Next {
        let Some(running) = &self.running else { return Next::Nothing(Held::NoPlan) };
        let id = || running.plan.id.clone();
        if let Some(begun) = &running.begun {
            let number = begun.number;
            if seen.open == Some(number) {
                return match &running.undoing {
                    Some((who, why)) if running.back.is_none() => {
                        Next::Withdraw { number, why: format!("plan {} is withdrawn by {who}: {why}", id()) }
                    }
                    _ => Next::Nothing(Held::UnderWay(number)),
                };
            }
            // Begun by whoever led before and not proposed yet, as far as the log says.
            let wave = running.wave().zip(seen.proof);
            return match wave.map(|(wave, proof)| wave.moving(proof, running.done)) {
                Some(Ok(moving)) => Next::Propose { number, moving: Box::new(moving) },
                Some(Err(why)) => self.fails(&why),
                None => self.fails(&MoveError::NoMap),
            };
        }
        if let Some(why) = &running.paused {
            return Next::Nothing(Held::Paused(why.clone()));
        }
        if let Some(open) = seen.open {
            return Next::Nothing(Held::Other(open));
        }
        let Some(wave) = running.wave().filter(|_| rested) else {
            return Next::Nothing(Held::NoPlan);
        };
        let Some(proof) = seen.proof else { return self.fails(&MoveError::NoMap) };
        match wave.moving(proof, running.done) {
            Ok(moving) => Next::Enter(Agreed::Begun {
                plan: id(),
                turn: running.turn,
                number: seen.highest + 1,
                digest: moving.to().digest().to_string(),
            }),
            Err(why) => self.fails(&why),
        }
    }

    /// The step cannot be made of the map in force: a person has to look.
    pub fn fails(&self, why: &dyn std::fmt::Display) -> Next {
        match &self.running {
            Some(running) if running.paused.is_none() => Next::Enter(Agreed::Paused {
                plan: running.plan.id.clone(),
                why: Pause::Failed { why: why.to_string() },
            }),
            Some(running) => Next::Nothing(Held::Paused(running.paused.clone().expect("looked at"))),
            None => Next::Nothing(Held::NoPlan),
        }
    }

    /// How a plan stands, for a line of the log.
    pub fn told(&self, id: &str) -> Option<String> {
        if let Some(running) = self.running.as_ref().filter(|running| running.plan.id == id) {
            let of = running.steps.len();
            let left = running.back.as_ref().map(VecDeque::len);
            let what = match (left, &running.paused) {
                (Some(left), _) => format!("being undone, {left} versions left"),
                (None, Some(why)) => format!("{} of {of} steps, paused: {why}", running.done),
                (None, None) => format!("{} of {of} steps", running.done),
            };
            return Some(what);
        }
        self.ended.iter().find(|ended| ended.id == id).map(|ended| format!("ended: {:?}", ended.how))
    }
}
