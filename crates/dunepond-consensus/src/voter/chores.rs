//! What the leader sees to by its own clock: the wait, the deadline of fills, terms and seats that have changed.

use super::Voter;
use crate::state::Item;
use crate::{Command, ConsensusConfig, Rejection, ReplicatedState, RolloutStep, StateChange};

/// Elections after which a chore that did not come to be agreed on is tried again.
const PATIENCE: f64 = 1.0;

/// What a voter saw, on its own clock since it runs; nothing of it outlasts a restart or a clock that goes back.
pub(super) struct Watch {
    /// The open change, and when it was seen committed first; when it was taken back.
    open: Option<(u64, f64)>,
    returning: Option<f64>,
    /// Leads since, without a break, in this term.
    led: Option<(u64, f64)>,
    /// Place in the log of a proposed version that is not committed yet.
    opening: Option<(u64, u64)>,
    tried: f64,
    /// Of a broker whose part went down: generation, and when that was seen agreed on.
    pub shrunk: std::collections::BTreeMap<String, (u64, f64)>,
}

impl Watch {
    pub fn new(now: f64) -> Self {
        Self {
            open: None,
            returning: None,
            led: None,
            opening: None,
            tried: now - 1e9,
            shrunk: Default::default(),
        }
    }

    /// Nothing that was seen before counts any more; what is open is seen now.
    pub fn again(&mut self, now: f64, state: &ReplicatedState) {
        *self = Self { led: self.led.map(|(term, _)| (term, now)), opening: self.opening, ..Self::new(now) };
        if let Some(open) = &state.open {
            self.open = Some((open.version.number, now));
            self.returning = (open.step == RolloutStep::RollingBack).then_some(now);
        }
        self.saw_limits(now, &state.quota);
    }

    pub fn saw(&mut self, now: f64, change: &StateChange) {
        match change {
            StateChange::Proposed(number) => (self.open, self.returning) = (Some((*number, now)), None),
            StateChange::RollingBack(_) => self.returning = Some(now),
            StateChange::Activated(_) | StateChange::Withdrawn(_) => {
                (self.open, self.returning) = (None, None)
            }
            _ => {}
        }
    }

    pub fn leads(&mut self, now: f64, term: Option<u64>) {
        if self.led.map(|(term, _)| term) != term {
            self.led = term.map(|term| (term, now));
            self.opening = None;
        }
    }

    /// Since when it leads without a break.
    pub fn led_since(&self) -> Option<f64> {
        self.led.map(|(_, since)| since)
    }

    pub fn opens(&mut self, index: u64, number: u64) {
        self.opening = Some((index, number));
    }

    /// A version that was taken into the log and is not applied yet.
    pub fn opening(&self, applied: u64) -> Option<u64> {
        self.opening.filter(|(index, _)| *index > applied).map(|(_, number)| number)
    }
}

impl Voter {
    /// The moment on this voter's clock from which nobody acts on the old version alone, nor has a query under way
    /// that did.
    fn nobody_alone_from(&self, seen: f64, number: u64) -> f64 {
        let late = seen + self.state.quiescence_seconds(&self.terms);
        let queries =
            self.state.config.quiescence_seconds_for(0.0).max(self.terms.quiescence_seconds_for(0.0));
        // Earlier, if every lease that may run is this leader's own, and each asker has said that it is joint.
        let lease = self.state.longest_lease_seconds.max(self.terms.lease_seconds);
        let drift = |terms: &ConsensusConfig| terms.with_drift(lease);
        let others = self
            .watch
            .led
            .is_none_or(|(_, led)| seen - led < drift(&self.terms).max(drift(&self.state.config)));
        if others {
            return late;
        }
        let said = self.asks.granted.values().map(|granted| match granted.joint {
            Some((joint, at)) if joint == number => at,
            _ => granted.over,
        });
        late.min(said.fold(seen, f64::max) + queries)
    }

    pub(super) fn chores(&mut self, now: f64) {
        if !self.is_leader() {
            self.quiet_since = None;
            return;
        }
        if self.state.leases_suspended {
            self.quiet_since.get_or_insert(now);
        }
        let queries =
            self.state.config.quiescence_seconds_for(0.0).max(self.terms.quiescence_seconds_for(0.0));
        // What a lease that is over allowed fills the windows of shared bounds for a while.
        let window = self.limits_window();
        self.asks.granted.retain(|_, granted| granted.over + queries + window > now);
        let election = super::ELECTION as f64 * self.terms.lease_seconds / super::TICKS;
        // What was tried is in the log and not applied yet.
        let under_way = self.raw.raft.raft_log.last_index() > self.state.index;
        if under_way && now - self.watch.tried < PATIENCE * election {
            return;
        }
        let Some(item) = self.next_chore(now) else { return };
        self.watch.tried = now;
        match item {
            Item::Seat { .. } => self.write_seat(&item),
            Item::Voted(voted) => self.write_voted(&voted),
            item => drop(self.write(&item)),
        }
    }

    fn next_chore(&self, now: f64) -> Option<Item> {
        if let Some(seat) = self.seat_to_write() {
            return Some(seat);
        }
        if let Some(entry) = self.limit_to_settle(now) {
            return Some(entry);
        }
        if self.state.leases_suspended {
            let over = self.quiet_since? + self.state.quiescence_seconds(&self.terms);
            return (now >= over).then_some(Item::Calm { epoch: self.state.epoch });
        }
        let Some(open) = &self.state.open else {
            // Who votes is agreed on elsewhere.
            let ConsensusConfig { name, voters, .. } = self.state.config.clone();
            let own = ConsensusConfig { name, voters, ..self.terms.clone() };
            return (own != self.state.config).then_some(Item::Terms(own));
        };
        let number = open.version.number;
        let (_, seen) = self.watch.open.filter(|(seen, _)| *seen == number)?;
        if open.step == RolloutStep::RollingBack {
            let over = self.watch.returning? + self.state.quiescence_seconds(&self.terms);
            return (now >= over).then_some(Item::Returned { number });
        }
        if open.step != RolloutStep::Joint {
            return None;
        }
        match self.state.check(&Item::Entry(Command::Activate { number })) {
            Ok(()) if now >= self.nobody_alone_from(seen, number) => {
                Some(match open.version.first_stage_ratio {
                    Some(_) => Item::Stage { number },
                    None => Item::Entry(Command::Activate { number }),
                })
            }
            Err(Rejection::FillsMissing { left, .. })
                if now - seen >= self.state.config.fill_deadline_seconds =>
            {
                let why = format!("{left} fills were not done in time");
                Some(Item::Entry(Command::Withdraw { number, why }))
            }
            _ => None,
        }
    }
}
