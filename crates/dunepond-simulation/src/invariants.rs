//! Invariants that must hold in every step, whatever fails. A violation causes a panic whose message has the time and
//! the brokers involved.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_consensus::{ActiveConfig, ConfigPhase, EntryOutcome, SegmentOwner, StateChange};

use crate::settlements;

/// Parts of non-idempotent queries that may be running at one owner of a segment. A part is the share of a query for
/// one segment.
struct RunningParts {
    /// True time until which the parts may run.
    until: f64,
    /// Index of the broker that sent the last of the parts.
    sent_by: usize,
}

/// The numbers of the configuration versions that a broker acts on: both versions of a joint configuration, or the same
/// number twice if the broker acts on only one version. 0 stands for no version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ActingVersions {
    from: u64,
    to: u64,
}

impl ActingVersions {
    /// The versions that a broker with this configuration acts on when its clock reads `clock`; `None` if it may not
    /// act.
    fn of(config: &ActiveConfig, clock: f64) -> Option<Self> {
        match config.phase(clock) {
            ConfigPhase::LeaseExpired(_) => None,
            ConfigPhase::Unconfigured if !config.lease_valid(clock) => None,
            ConfigPhase::Unconfigured => Some(Self { from: 0, to: 0 }),
            ConfigPhase::Active(number) => Some(Self { from: number, to: number }),
            ConfigPhase::Joint(from, to) => Some(Self { from, to }),
        }
    }

    /// The number of the only version that the broker acts on; `None` if it acts on two versions.
    fn alone(self) -> Option<u64> {
        (self.from == self.to).then_some(self.from)
    }

    /// Whether `self` and `other`, the versions of two brokers, have a version in common.
    fn shares_version_with(self, other: Self) -> bool {
        [self.from, self.to].iter().any(|number| *number == other.from || *number == other.to)
    }

    fn numbers(self) -> [u64; 2] {
        [self.from, self.to]
    }
}

/// What one broker may do in one step of the simulation: its configuration, and the parts that it may send.
pub struct BrokerActivity<'a> {
    /// True time of the step.
    pub now: f64,
    /// Index of the broker.
    pub broker: usize,
    /// Configuration that the broker acts on.
    pub config: &'a ActiveConfig,
    /// Reading of the broker's clock.
    pub clock: f64,
    /// Ids of the segments that are checked. The checker assumes that the broker sends a part of a non-idempotent query to
    /// the owner of each of them, unless the broker's configuration names no owner to which it may send the part.
    pub segments: &'a [u64],
    /// Longest time in true seconds for which a part of a non-idempotent query may run.
    pub part_seconds: f64,
    /// Longest time in seconds that a broker may still act only on the previous configuration version, counted from when
    /// the first voter applied the proposal of the next version.
    pub switch_bound_seconds: f64,
}

/// Checks the invariants of a fleet while it runs. Times are true times, and brokers are identified by index.
#[derive(Default)]
pub struct InvariantChecker {
    /// Result of each entry of the log, by index, as reported by the first voter that applied it.
    outcomes: BTreeMap<u64, String>,
    /// Index in the log of the first entry for each settlement, by the settlement's id.
    settled_index: BTreeMap<String, u64>,
    /// Parts of non-idempotent queries that may be running, by segment and owner.
    running_parts: BTreeMap<u64, BTreeMap<String, RunningParts>>,
    /// When the first voter applied the log entry that proposes each configuration version, by version number.
    pub proposed_at: BTreeMap<u64, f64>,
    /// When the first voter applied the log entry that activates each configuration version, by version number.
    pub activated_at: BTreeMap<u64, f64>,
    /// When the first voter applied the log entry of each settlement, by the settlement's id.
    pub settled_at: BTreeMap<String, f64>,
    /// Numbers of the configuration versions that were withdrawn.
    pub withdrawn: BTreeSet<u64>,
    /// For each configuration version, by number, the latest time at which some broker acted only on that version.
    pub last_alone_at: BTreeMap<u64, f64>,
    /// The versions that brokers act on in the current step, each with the first broker that acts on them.
    acting: BTreeMap<ActingVersions, usize>,
    /// Longest time in seconds that a broker still acted only on the previous configuration version, counted from when
    /// the first voter applied the proposal of the next version.
    pub longest_alone_seconds: f64,
}

impl InvariantChecker {
    /// Checks and records an entry that a voter has applied.
    ///
    /// # Panics
    /// Another voter got another result for the entry, or the entry counts a settlement that an earlier entry has
    /// counted already.
    pub fn on_entry_applied(&mut self, now: f64, voter: &str, outcome: &EntryOutcome) {
        let index = outcome.index;
        let result = format!("{:?}", outcome.result);
        match self.outcomes.get(&index) {
            Some(known) => assert_eq!(
                *known, result,
                "{voter} applied entry {index} of the log with another result than other voters"
            ),
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

    /// Records a settlement, and checks that no other entry of the log has applied the same settlement.
    fn on_settled(&mut self, now: f64, id: &str, index: u64) {
        let first = *self.settled_index.entry(id.to_string()).or_insert(index);
        assert_eq!(first, index, "settlement {id} counted twice");
        self.settled_at.entry(id.to_string()).or_insert(now);
    }

    /// Removes what is recorded about log entries before `index` and versions before `version`. No broker may use these
    /// entries and versions any more. This bounds the memory of long runs.
    pub fn forget_before(&mut self, index: u64, version: u64) {
        self.outcomes = self.outcomes.split_off(&index);
        self.settled_index.retain(|_, settled| *settled >= index);
        self.settled_at.retain(|id, _| self.settled_index.contains_key(id));
        for times in [&mut self.proposed_at, &mut self.activated_at, &mut self.last_alone_at] {
            *times = times.split_off(&version);
        }
        self.withdrawn = self.withdrawn.split_off(&version);
    }

    /// Begins the check of a step. [`Self::on_broker_acts`] follows for each broker that acts, then [`Self::end_step`].
    pub fn begin_step(&mut self, now: f64) {
        self.acting.clear();
        for owners in self.running_parts.values_mut() {
            owners.retain(|_, parts| parts.until > now);
        }
    }

    /// Checks and records the activity of one broker in this step.
    ///
    /// # Panics
    /// The broker acts on an old version for too long, or sends a non-idempotent part to an owner of a segment while
    /// such a part may be running at another owner.
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

    /// Checks that the broker does not act only on version `number` for longer than the switch bound, counted from
    /// when the first voter applied the proposal of the next version. Versions that were withdrawn are skipped.
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

    /// Records that the broker sends a non-idempotent part for the segment to `owner`. Checks that no such part may
    /// still be running at another owner.
    fn send_part(&mut self, segment: u64, owner: &str, activity: &BrokerActivity<'_>) {
        let (now, broker) = (activity.now, activity.broker + 1);
        let owners = self.running_parts.entry(segment).or_default();
        if let Some((other, parts)) = owners.iter().find(|(other, _)| *other != owner) {
            let sender = parts.sent_by + 1;
            panic!(
                "{now:.2}: n{broker} sends a part of segment {segment} to {owner}, n{sender}'s may run at {other}"
            );
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

    /// Ends the check of a step, once the activity of all brokers is recorded.
    ///
    /// # Panics
    /// Two brokers have no version in common that both act on.
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

    /// Whether at least one broker acted in the last step, and all brokers that did acted only on version `number` or
    /// later ones.
    pub fn all_act_on_at_least(&self, number: u64) -> bool {
        !self.acting.is_empty() && self.acting.keys().all(|versions| versions.from >= number)
    }

    /// Ids of the committed settlements.
    pub fn committed_settlements(&self) -> BTreeSet<&str> {
        self.settled_index.keys().map(String::as_str).collect()
    }
}
