//! One fill, from its plan to its end: a machine that is told what happened and says what to do.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::{DebtError, Settlement};

/// Brings a holder to warmth from one source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fill {
    /// `VERSION/SEGMENT/HOLDER`: the same need has the same id, whoever plans it and how often.
    pub id: String,
    pub segment: u64,
    pub holder: String,
    pub source: String,
    /// The partners of source and holder.
    pub from: String,
    pub to: String,
    pub bytes: u64,
    /// Bytes a second, at most.
    pub rate: f64,
    /// What it pays off, to be proposed when it is done. Only the rest of `bytes` is counted as carried.
    pub settles: Option<Settlement>,
}

impl Fill {
    pub fn id_of(version: u64, segment: u64, holder: &str) -> String {
        format!("{version}/{segment}/{holder}")
    }

    /// Bytes that are a new debt of `to` towards `from`: to be counted by [`crate::Tally::saw`] when it is done.
    pub fn unsettled(&self) -> u64 {
        self.bytes - self.settles.as_ref().map_or(0, |settlement| settlement.bytes.min(self.bytes))
    }

    /// Seconds that it takes at its rate.
    pub fn lasts(&self) -> f64 {
        self.bytes as f64 / self.rate
    }
}

/// How long a fill is waited for, and how often it is tried.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Patience {
    /// Seconds from the plan on after which it is withdrawn, and with it the version that needs it.
    pub deadline: f64,
    /// A try may take so many times what its rate makes of it, and this many seconds at least.
    pub factor: f64,
    pub least: f64,
    /// Seconds before the second try; doubled with each further one up to `longest`, half of it by chance.
    pub pause: f64,
    pub longest: f64,
    /// Tries at most.
    pub tries: u32,
}

impl Default for Patience {
    fn default() -> Patience {
        Patience { deadline: 3600.0, factor: 2.0, least: 5.0, pause: 1.0, longest: 60.0, tries: 8 }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// Not to be begun before this time.
    Planned {
        not_before: f64,
    },
    /// Given up at this time, as far as this try goes.
    UnderWay {
        until: f64,
    },
    Done,
    /// All tries have failed; another source may be planned.
    Failed {
        why: String,
    },
    Withdrawn {
        why: String,
    },
}

impl State {
    pub fn name(&self) -> &'static str {
        match self {
            State::Planned { .. } => "planned",
            State::UnderWay { .. } => "under way",
            State::Done => "done",
            State::Failed { .. } => "failed",
            State::Withdrawn { .. } => "withdrawn",
        }
    }

    pub fn ended(&self) -> bool {
        !matches!(self, State::Planned { .. } | State::UnderWay { .. })
    }
}

/// What the filler said, or the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The holder is warm.
    Done,
    Failed {
        why: String,
    },
    /// The version that needs it is given up, or planned anew.
    Withdrawn {
        why: String,
    },
}

impl Event {
    fn name(&self) -> &'static str {
        match self {
            Event::Done => "done",
            Event::Failed { .. } => "failed",
            Event::Withdrawn { .. } => "withdrawn",
        }
    }
}

/// What the host has to do now.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Begin(Fill),
    /// Tell the filler to stop, as far as it can be told.
    Stop(Fill),
    /// Propose that the holder is filled, and the settlement if there is one; again until the log has it.
    Propose(Fill),
    /// Its place at link and holder is free ([`crate::Planner::ended`]).
    Free(Fill),
}

/// A fill and how far it has come. Saved as it is; after a crash [`Filling::again`] goes on from there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Filling {
    pub fill: Fill,
    patience: Patience,
    state: State,
    /// Tries that were begun.
    tries: u32,
    /// Seconds, on the steady clock.
    deadline: f64,
}

impl Filling {
    pub fn new(fill: Fill, patience: Patience, now: f64) -> Filling {
        let deadline = now + patience.deadline;
        Filling { fill, patience, state: State::Planned { not_before: now }, tries: 0, deadline }
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// After a crash. What was under way may be done or not: it is begun again under the same id, which a filler answers at
    /// once if the holder is warm. What was done is proposed again, which the ledger knows by the same id.
    pub fn again(&mut self, now: f64) -> Vec<Order> {
        match self.state {
            State::UnderWay { .. } => {
                self.tries = self.tries.saturating_sub(1);
                self.state = State::Planned { not_before: now };
                Vec::new()
            }
            State::Done => vec![Order::Propose(self.fill.clone())],
            _ => Vec::new(),
        }
    }

    /// When [`Filling::tick`] has something to do; none once it has ended.
    pub fn due(&self) -> Option<f64> {
        match self.state {
            State::Planned { not_before } => Some(not_before.min(self.deadline)),
            State::UnderWay { until } => Some(until.min(self.deadline)),
            _ => None,
        }
    }

    pub fn tick(&mut self, now: f64, chance: &mut impl Rng) -> Vec<Order> {
        if !self.state.ended() && now >= self.deadline {
            return self.withdraw("its deadline has passed".to_string());
        }
        match self.state {
            State::Planned { not_before } if now >= not_before => {
                self.tries += 1;
                let most = (self.fill.lasts() * self.patience.factor).max(self.patience.least);
                self.state = State::UnderWay { until: now + most };
                vec![Order::Begin(self.fill.clone())]
            }
            State::UnderWay { until } if now >= until => {
                let mut orders = vec![Order::Stop(self.fill.clone())];
                orders.extend(self.failed(now, "no answer in time".to_string(), chance));
                orders
            }
            _ => Vec::new(),
        }
    }

    /// What happened. `Done` counts at any time before the end, also of a try that was given up: the holder is warm.
    pub fn heard(&mut self, now: f64, event: Event, chance: &mut impl Rng) -> Result<Vec<Order>, DebtError> {
        match (&self.state, event) {
            (State::Planned { .. } | State::UnderWay { .. }, Event::Done) if self.tries > 0 => {
                self.state = State::Done;
                Ok(vec![Order::Free(self.fill.clone()), Order::Propose(self.fill.clone())])
            }
            (State::UnderWay { .. }, Event::Failed { why }) => Ok(self.failed(now, why, chance)),
            (State::Planned { .. } | State::UnderWay { .. }, Event::Withdrawn { why }) => {
                Ok(self.withdraw(why))
            }
            // Told twice.
            (State::Done, Event::Done) => Ok(Vec::new()),
            (State::Withdrawn { .. }, Event::Withdrawn { .. }) => Ok(Vec::new()),
            (state, event) => {
                let (state, event) = (state.name(), event.name());
                Err(DebtError::Step { fill: self.fill.id.clone(), state, event })
            }
        }
    }

    fn withdraw(&mut self, why: String) -> Vec<Order> {
        let begun = matches!(self.state, State::UnderWay { .. });
        self.state = State::Withdrawn { why };
        let stop = begun.then(|| Order::Stop(self.fill.clone()));
        stop.into_iter().chain([Order::Free(self.fill.clone())]).collect()
    }

    fn failed(&mut self, now: f64, why: String, chance: &mut impl Rng) -> Vec<Order> {
        if self.tries >= self.patience.tries {
            self.state = State::Failed { why };
            return vec![Order::Free(self.fill.clone())];
        }
        let doubled = self.patience.pause * 2f64.powi(self.tries.saturating_sub(1).min(30) as i32);
        let pause = doubled.min(self.patience.longest) * (0.5 + 0.5 * chance.random::<f64>());
        self.state = State::Planned { not_before: now + pause };
        Vec::new()
    }
}
