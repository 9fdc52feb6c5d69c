//! What must hold at every moment, whatever fails. Each breach is a panic that says when and who.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_consensus::{ActiveConfig, ConfigPhase, EntryOutcome, SegmentOwner, StateChange};

use crate::settlements;

/// Non-idempotent parts that may be running at one owner.
struct RunningParts {
    /// True time until which they may run.
    until: f64,
    /// Who sent the last of them.
    sent_by: usize,
}

/// The two versions of a joint phase; twice the same where a broker acts on one version alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ActingVersions {
    from: u64,
    to: u64,
}

impl ActingVersions {
    /// None for a broker that may not act.
    fn of(config: &ActiveConfig, clock: f64) -> Option<Self> {
        match config.phase(clock) {
            ConfigPhase::LeaseExpired(_) => None,
            ConfigPhase::Unconfigured if !config.lease_valid(clock) => None,
            ConfigPhase::Unconfigured => Some(Self { from: 0, to: 0 }),
            ConfigPhase::Active(number) => Some(Self { from: number, to: number }),
            ConfigPhase::Joint(from, to) => Some(Self { from, to }),
        }
    }

    /// The version, if it is one.
    fn alone(self) -> Option<u64> {
        (self.from == self.to).then_some(self.from)
    }

    fn shares_version_with(self, other: Self) -> bool {
        [self.from, self.to].iter().any(|number| *number == other.from || *number == other.to)
    }

    fn numbers(self) -> [u64; 2] {
        [self.from, self.to]
    }
}

/// What one broker does at a moment.
pub struct BrokerActivity<'a> {
    /// True time of this moment.
    pub now: f64,
    /// Index of the broker.
    pub broker: usize,
    /// Configuration that it acts on.
    pub config: &'a ActiveConfig,
    /// What its clock shows.
    pub clock: f64,
    /// It sends a non-idempotent part of each of these segments wherever it may.
    pub segments: &'a [u64],
    /// True seconds for which such a part may run.
    pub part_seconds: f64,
    /// Seconds after the commit of a version after which no broker may act on the previous one alone.
    pub switch_bound_seconds: f64,
}

/// Checks a fleet while it runs. Times are true ones; brokers are named by index.
#[derive(Default)]
pub struct InvariantChecker {
    /// Result of each entry of the log by index, as the first voter that applied it reported.
    outcomes: BTreeMap<u64, String>,
    /// Index of each settlement by its id.
    settled_index: BTreeMap<String, u64>,
    /// Parts that may be running, by segment and owner.
    running_parts: BTreeMap<u64, BTreeMap<String, RunningParts>>,
    /// When each version was first committed as proposed.
    pub proposed_at: BTreeMap<u64, f64>,
    /// When each version was first activated in a voter's log.
    pub activated_at: BTreeMap<u64, f64>,
    /// When each settlement was first committed, by id.
    pub settled_at: BTreeMap<String, f64>,
    /// Numbers of withdrawn versions.
    pub withdrawn: BTreeSet<u64>,
    /// When some broker last acted on the version alone.
    pub last_alone_at: BTreeMap<u64, f64>,
    /// Of the step that is checked: what is acted on, and the first broker that does.
    acting: BTreeMap<ActingVersions, usize>,
    /// The longest that anybody acted on a version alone after the next was committed.
    pub longest_alone_seconds: f64,
}

impl InvariantChecker {
    /// A voter has applied an entry.
    ///
    /// # Panics
    /// Another voter's log differs, or a settlement counts twice.
    pub fn on_entry_applied(&mut self, now: f64, voter: &str, outcome: &EntryOutcome) {
        let index = outcome.index;
        let result = format!("{:?}", outcome.result);
        match self.outcomes.get(&index) {
            Some(known) => assert_eq!(*known, result, "the log differs at {index} for {voter}"),
            None => drop(self.outcomes.insert(index, result)),
        }
        match &outcome.result {
            Ok(StateChange::Proposed(number)) => drop(self.proposed_at.entry(*number).or_insert(now)),
            Ok(StateChange::Withdrawn(number)) => drop(self.withdrawn.insert(*number)),
            Ok(StateChange::Activated(number)) => drop(self.activated_at.entry(*number).or_insert(now)),
            Ok(change) => {
                if let Some(id) = settlements::settled_id(change) {
                    self.on_settled(now, id, index);
                }
            }
            Err(_) => {}
        }
    }

    fn on_settled(&mut self, now: f64, id: &str, index: u64) {
        let first = *self.settled_index.entry(id.to_string()).or_insert(index);
        assert_eq!(first, index, "settlement {id} counted twice");
        self.settled_at.entry(id.to_string()).or_insert(now);
    }

    /// Drops what no broker can come back to: earlier entries of the log, and earlier versions.
    pub fn forget_before(&mut self, index: u64, version: u64) {
        self.outcomes = self.outcomes.split_off(&index);
        self.settled_index.retain(|_, settled| *settled >= index);
        self.settled_at.retain(|id, _| self.settled_index.contains_key(id));
        for times in [&mut self.proposed_at, &mut self.activated_at, &mut self.last_alone_at] {
            *times = times.split_off(&version);
        }
        self.withdrawn = self.withdrawn.split_off(&version);
    }

    /// The activity of one moment follows.
    pub fn begin_step(&mut self, now: f64) {
        self.acting.clear();
        for owners in self.running_parts.values_mut() {
            owners.retain(|_, parts| parts.until > now);
        }
    }

    /// A broker acts.
    ///
    /// # Panics
    /// It acts on an old version for too long, or sends a part beside another owner's.
    pub fn on_broker_acts(&mut self, activity: &BrokerActivity<'_>) {
        if let Some(versions) = ActingVersions::of(activity.config, activity.clock) {
            if let Some(number) = versions.alone() {
                self.check_alone(number, activity);
            }
            self.acting.entry(versions).or_insert(activity.broker);
        }
        for segment in activity.segments {
            if let SegmentOwner::Node(owner) = activity.config.owner(*segment, activity.clock) {
                self.send_part(*segment, owner, activity);
            }
        }
    }

    /// No broker acts on a version alone once the switch bound has passed since the next one was committed; withdrawn versions
    /// do not count.
    fn check_alone(&mut self, number: u64, activity: &BrokerActivity<'_>) {
        let (now, broker) = (activity.now, activity.broker + 1);
        self.last_alone_at.insert(number, now);
        let mut later = self.proposed_at.range(number + 1..);
        let Some((_, proposed_at)) = later.find(|(number, _)| !self.withdrawn.contains(number)) else {
            return;
        };
        let seconds = now - proposed_at;
        self.longest_alone_seconds = self.longest_alone_seconds.max(seconds);
        assert!(
            seconds <= activity.switch_bound_seconds,
            "{now:.2}: n{broker} acts on version {number} alone {seconds:.2} s after the next was committed"
        );
    }

    /// A non-idempotent part must not be sent to one owner while one may run at another.
    fn send_part(&mut self, segment: u64, owner: &str, activity: &BrokerActivity<'_>) {
        let (now, broker) = (activity.now, activity.broker + 1);
        let owners = self.running_parts.entry(segment).or_default();
        if let Some((other, parts)) = owners.iter().find(|(other, _)| *other != owner) {
            let sender = parts.sent_by + 1;
            panic!("{now:.2}: n{broker} sends segment {segment} to {owner}, n{sender} has it at {other}");
        }
        let until = now + activity.part_seconds;
        match owners.get_mut(owner) {
            Some(parts) => {
                parts.until = parts.until.max(until);
                parts.sent_by = activity.broker;
            }
            None => {
                let parts = RunningParts { until, sent_by: activity.broker };
                owners.insert(owner.to_string(), parts);
            }
        }
    }

    /// All brokers' activity of this moment is known.
    ///
    /// # Panics
    /// Two brokers share no version.
    pub fn end_step(&self, now: f64) {
        let acting: Vec<_> = self.acting.iter().collect();
        for (place, (versions, broker)) in acting.iter().enumerate() {
            for (others, other) in &acting[..place] {
                let (broker, other) = (*broker + 1, *other + 1);
                assert!(
                    versions.shares_version_with(**others),
                    "{now:.2}: n{broker} acts on {:?}, n{other} on {:?}",
                    versions.numbers(),
                    others.numbers()
                );
            }
        }
    }

    /// Whether all that acted in the last step acted on `number` or a later version alone.
    pub fn all_act_on_at_least(&self, number: u64) -> bool {
        !self.acting.is_empty() && self.acting.keys().all(|versions| versions.from >= number)
    }

    /// Ids of the committed settlements.
    pub fn committed_settlements(&self) -> BTreeSet<&str> {
        self.settled_index.keys().map(String::as_str).collect()
    }
}
