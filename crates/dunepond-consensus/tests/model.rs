//! A model for the model checker `stateright`, which explores all interleavings of leases and the rollout of a
//! configuration version through the joint configuration. The log is not part of the model: an entry is committed at
//! once. Clocks count units of time. When time passes, each clock advances by one or two units, so that the fastest may
//! run at twice the rate of the slowest. Requests and replies may be lost, duplicated or late, brokers may crash and
//! leaders may change. Brokers may pause for any time, since the model never forces an action. The properties are
//! checked in every state.

use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Duration of a lease, in units of the broker's own clock.
const LEASE: u8 = 2;
/// Duration of a query, in units of the broker's own clock.
const QUERY: u8 = 2;
/// Ratio of the fastest clock's rate to that of the slowest.
const DRIFT: u8 = 2;

/// The rules of the protocol, and the bounds of the search. Some rules can be weakened, to check that the model checker
/// then finds a violation.
#[derive(Clone, Copy, Debug)]
struct ModelConfig {
    /// Weakened: a lease counts from when the broker receives the reply, instead of from when it sent the request.
    from_receipt: bool,
    /// Weakened: a leader replies without confirmation by a quorum, so that a former leader may reply, too.
    without_quorum: bool,
    /// Weakened: time by which the leader's wait before a rollout step is shortened, in units of the leader's clock; 0
    /// does not weaken the rule.
    wait_reduction: u8,
    /// Weakened: a leader activates a version early, relying on the leases that it knows of, even if it has led for
    /// less than the duration of a lease.
    always_ends_early: bool,
    /// Weakened: a rollback from the first stage ends without a wait.
    immediate_rollback: bool,
    /// Number of configuration versions that may be proposed.
    versions: u8,
    /// Whether versions have a first stage.
    stage: bool,
    /// Sets of clocks that may advance by two units at once while the others advance by one. Each set is a bit mask:
    /// bit 0 for the leader's clock, bits 1 and 2 for the brokers' clocks. An empty list stands for the worst case, in
    /// which only the leader's clock advances by two units.
    clocks: &'static [u8],
    /// Whether requests are duplicated.
    duplicated: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Step {
    #[default]
    Joint,
    Staged,
    RollingBack,
}

/// The committed state: index in the log, active and proposed version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Committed {
    index: u8,
    active: u8,
    proposed: Option<u8>,
    step: Step,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Broker {
    /// Whether the broker, during a proposed version's first stage, acts only on that version; otherwise it acts on the
    /// joint configuration of the active and the proposed version.
    in_first_stage: bool,
    /// The last state that the broker adopted.
    known: Committed,
    /// Remaining time of the broker's lease, in units of the broker's clock.
    lease_left: u8,
    /// The request in flight: its age in units of the broker's clock, and whether it reports the joint configuration.
    request: Option<(u8, bool)>,
    /// The reply in flight: the age of its request in units of the broker's clock, and the state in the reply.
    reply: Option<(u8, Committed)>,
    /// A non-idempotent part in flight: the version by whose shard map its owner was chosen, and the remaining time of
    /// its query in units of the broker's clock.
    in_flight: Option<(u8, u8)>,
    /// Remaining time, in units of the leader's clock, after which the leader knows that the broker no longer acts
    /// only on the active version, and that the queries which the broker sent while it did so have ended.
    done_after: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    committed: Committed,
    /// Highest number of a version that was proposed.
    highest_number: u8,
    /// The brokers, sorted so that states that differ only in the order of the brokers are equal.
    brokers: [Broker; 2],
    /// Remaining time of the leader's wait before it may commit the next rollout step, in units of the leader's clock.
    wait: u8,
    /// Time for which the leader has led, in units of its clock, counted up to the longest duration of a lease.
    led_units: u8,
    /// Whether the leader had led for the longest duration of a lease when it saw the proposal, so that it knows all
    /// leases that may be valid.
    may_end_early: bool,
    /// The state that a former leader still considers committed, if there is one.
    former_state: Option<Committed>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    /// Time passes. The bits are the clocks that advance by two units, as in [`ModelConfig::clocks`]; the others
    /// advance by one.
    Time(u8),
    /// A broker sends a lease request. An earlier one that is still in flight is lost.
    Request(usize),
    /// The leader replies to a broker. An earlier reply that is still in flight is lost. If `duplicated`, the request stays
    /// in flight.
    Reply {
        broker: usize,
        duplicated: bool,
    },
    /// A former leader replies to a broker.
    ReplyOfFormerLeader(usize),
    /// A broker receives a reply. If `duplicated`, the reply stays in flight.
    Receive {
        broker: usize,
        duplicated: bool,
    },
    /// A broker sends a non-idempotent part.
    Send(usize),
    /// A broker crashes and restarts.
    Crash(usize),
    /// Another voter becomes the leader, and the present leader becomes a former one.
    Elect,
    Propose,
    Activate,
    Stage,
    Withdraw,
    /// The rollback from the first stage is complete.
    RollbackCompleted,
}

impl Broker {
    /// The only version that the broker acts on; `None` if it has no lease or acts on the joint configuration.
    fn sole_version(&self) -> Option<u8> {
        match (self.lease_left, self.known.proposed, self.known.step) {
            (0, ..) => None,
            (_, None, _) => Some(self.known.active),
            (_, Some(proposed), Step::Staged) if self.in_first_stage => Some(proposed),
            _ => None,
        }
    }

    /// The versions whose rules the broker follows: one, or two in the joint configuration; empty without a lease.
    fn followed_versions(&self) -> Vec<u8> {
        match (self.lease_left, self.sole_version(), self.known.proposed) {
            (0, ..) => Vec::new(),
            (_, Some(sole_version), _) => vec![sole_version],
            (_, None, proposed) => vec![self.known.active, proposed.unwrap_or(self.known.active)],
        }
    }
}

/// Longest duration of a query, in units of the fastest clock.
const QUERY_AT_LEADER: u8 = QUERY * DRIFT;
/// Longest duration of a lease, in units of the fastest clock.
const LEASE_AT_LEADER: u8 = LEASE * DRIFT;

impl FleetState {
    fn restart_wait(&mut self, config: &ModelConfig) {
        self.wait = LEASE_AT_LEADER + QUERY_AT_LEADER - config.wait_reduction;
    }

    fn may_activate(&self) -> bool {
        let all_done = self.may_end_early && self.brokers.iter().all(|broker| broker.done_after == 0);
        self.committed.proposed.is_some()
            && self.committed.step == Step::Joint
            && (self.wait == 0 || all_done)
    }
}

impl Model for ModelConfig {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let in_first_stage = Broker { in_first_stage: self.stage, ..Broker::default() };
        vec![FleetState {
            committed: Committed::default(),
            highest_number: 0,
            brokers: [Broker::default(), in_first_stage],
            wait: 0,
            led_units: 0,
            may_end_early: false,
            former_state: None,
        }]
    }

    fn actions(&self, state: &FleetState, actions: &mut Vec<Action>) {
        let clocks = if self.clocks.is_empty() { &[1][..] } else { self.clocks };
        actions.extend(clocks.iter().copied().map(Action::Time));
        for (n, broker) in state.brokers.iter().enumerate() {
            actions.push(Action::Request(n));
            if broker.request.is_some() {
                actions.push(Action::Reply { broker: n, duplicated: false });
                if self.duplicated {
                    actions.push(Action::Reply { broker: n, duplicated: true });
                }
                if self.without_quorum && state.former_state.is_some() {
                    actions.push(Action::ReplyOfFormerLeader(n));
                }
            }
            if broker.reply.is_some() {
                actions.extend([false, true].map(|duplicated| Action::Receive { broker: n, duplicated }));
            }
            if broker.sole_version().is_some() {
                actions.push(Action::Send(n));
            }
            if *broker
                != (Broker {
                    in_first_stage: broker.in_first_stage,
                    done_after: broker.done_after,
                    in_flight: broker.in_flight,
                    ..Broker::default()
                })
            {
                actions.push(Action::Crash(n));
            }
        }
        actions.push(Action::Elect);
        match (state.committed.proposed, state.committed.step) {
            (None, _) if state.highest_number < self.versions => actions.push(Action::Propose),
            (None, _) => {}
            (Some(_), Step::RollingBack) if state.wait == 0 || self.immediate_rollback => {
                actions.push(Action::RollbackCompleted)
            }
            (Some(_), Step::RollingBack) => {}
            (Some(_), Step::Staged) => actions.extend([Action::Activate, Action::Withdraw]),
            (Some(_), Step::Joint) => {
                actions.push(Action::Withdraw);
                if state.may_activate() {
                    actions.push(if self.stage { Action::Stage } else { Action::Activate });
                }
            }
        }
    }

    fn next_state(&self, last: &FleetState, action: Action) -> Option<FleetState> {
        let mut state = *last;
        match action {
            Action::Time(fast_clocks) => {
                let leader = 1 + (fast_clocks & 1);
                state.wait = state.wait.saturating_sub(leader);
                state.led_units = (state.led_units + leader).min(LEASE_AT_LEADER);
                for (n, broker) in state.brokers.iter_mut().enumerate() {
                    broker.done_after = broker.done_after.saturating_sub(leader);
                    let own = 1 + (fast_clocks >> (n + 1) & 1);
                    broker.lease_left = broker.lease_left.saturating_sub(own);
                    // A request that is older than the duration of a lease has no effect, so it is dropped, unless the
                    // weakened rule `from_receipt` ignores its age.
                    let next_age = |age: u8| {
                        if self.from_receipt {
                            Some(LEASE)
                        } else {
                            Some(age + own).filter(|age| *age < LEASE)
                        }
                    };
                    broker.request = broker.request.and_then(|(age, joint)| Some((next_age(age)?, joint)));
                    broker.reply = broker.reply.and_then(|(age, reply)| Some((next_age(age)?, reply)));
                    broker.in_flight = broker
                        .in_flight
                        .map(|(version, units_left)| (version, units_left.saturating_sub(own)))
                        .filter(|(_, units_left)| *units_left > 0);
                }
            }
            Action::Request(n) => {
                let broker = &mut state.brokers[n];
                broker.request = Some((0, broker.known.proposed.is_some()));
            }
            Action::Reply { broker: n, duplicated } => {
                let (committed, broker) = (state.committed, &mut state.brokers[n]);
                let (age, joint) = broker.request?;
                broker.reply = Some((age, committed));
                // The leader does not know when the broker sent the request, so it counts from when it received the
                // request, for the whole duration of a lease.
                broker.done_after = match joint && committed.proposed.is_some() {
                    true => broker.done_after.min(QUERY_AT_LEADER),
                    false => LEASE_AT_LEADER + QUERY_AT_LEADER,
                };
                broker.request = broker.request.filter(|_| duplicated);
            }
            Action::ReplyOfFormerLeader(n) => {
                let (age, _) = state.brokers[n].request.take()?;
                state.brokers[n].reply = Some((age, state.former_state?));
            }
            Action::Receive { broker: n, duplicated } => {
                let broker = &mut state.brokers[n];
                let (age, reply) = broker.reply?;
                if reply.index < broker.known.index {
                    broker.reply = None;
                } else {
                    broker.known = reply;
                    let lease_left = if self.from_receipt { LEASE } else { LEASE - age };
                    broker.lease_left = broker.lease_left.max(lease_left);
                    broker.reply = broker.reply.filter(|_| duplicated);
                }
            }
            Action::Send(n) => {
                let broker = &mut state.brokers[n];
                broker.in_flight = Some((broker.sole_version()?, QUERY));
            }
            Action::Crash(n) => {
                // Parts in flight continue. After the restart the broker accepts no reply to an earlier request.
                let Broker { in_first_stage, in_flight, done_after, .. } = state.brokers[n];
                state.brokers[n] = Broker { in_first_stage, in_flight, done_after, ..Broker::default() };
            }
            Action::Elect => {
                state.former_state = self.without_quorum.then_some(state.committed);
                // The new leader does not know which leases were granted, so it restarts the wait.
                state.led_units = 0;
                state.may_end_early = self.always_ends_early;
                state.brokers.iter_mut().for_each(|broker| broker.done_after = 0);
                if state.committed.proposed.is_some() {
                    state.restart_wait(self);
                }
            }
            Action::Propose => {
                state.highest_number += 1;
                state.committed.index += 1;
                (state.committed.proposed, state.committed.step) = (Some(state.highest_number), Step::Joint);
                state.may_end_early = state.led_units == LEASE_AT_LEADER || self.always_ends_early;
                state.restart_wait(self);
                // Early activation also waits for queries of brokers whose leases have already ended.
                state
                    .brokers
                    .iter_mut()
                    .for_each(|broker| broker.done_after = broker.done_after.max(QUERY_AT_LEADER));
            }
            Action::Stage => {
                state.committed.index += 1;
                state.committed.step = Step::Staged;
            }
            Action::Activate => {
                let Committed { index, proposed, .. } = state.committed;
                state.committed = Committed { index: index + 1, active: proposed?, ..Committed::default() };
            }
            Action::Withdraw if state.committed.step == Step::Staged => {
                state.committed.index += 1;
                state.committed.step = Step::RollingBack;
                state.restart_wait(self);
            }
            Action::Withdraw | Action::RollbackCompleted => {
                let Committed { index, active, .. } = state.committed;
                state.committed = Committed { index: index + 1, active, ..Committed::default() };
            }
        }
        if state.committed.proposed.is_none() {
            (state.wait, state.may_end_early) = (0, false);
        }
        state.brokers.sort_unstable();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no contradiction", |_, state: &FleetState| {
                let [a, b] = state.brokers.map(|broker| broker.followed_versions());
                a.is_empty() || b.is_empty() || a.iter().any(|version| b.contains(version))
            }),
            Property::always("one owner", |_, state: &FleetState| {
                let [a, b] = &state.brokers;
                let versions_sent =
                    |broker: &Broker| [broker.in_flight.map(|(version, _)| version), broker.sole_version()];
                let all: Vec<u8> = versions_sent(a).into_iter().chain(versions_sent(b)).flatten().collect();
                all.iter().all(|version| *version == all[0])
            }),
            Property::sometimes("the last version is active", |config: &Self, state: &FleetState| {
                state.brokers.iter().any(|broker| broker.sole_version() == Some(config.versions))
            }),
        ]
    }
}

/// Explores all states up to `depth` actions. Returns the number of states, the depth reached, and the properties that do
/// not hold, with the actions that lead to a violation.
fn explore(config: ModelConfig, depth: usize) -> (usize, usize, Vec<String>) {
    let threads = 2;
    let checker = config
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let violations = ["no contradiction", "one owner"].into_iter().filter_map(|name| {
        let path = checker.discovery(name)?;
        Some(format!(
            "{name}: {}",
            path.into_actions().iter().map(|action| format!("{action:?}")).collect::<Vec<_>>().join(" ")
        ))
    });
    let mut failures: Vec<String> = violations.collect();
    if checker.discovery("the last version is active").is_none() {
        failures.push(String::from("the last version never becomes active"));
    }
    (checker.unique_state_count(), checker.max_depth(), failures)
}

#[test]
fn one_change_holds_in_every_interleaving() {
    let (states, depth, failures) = explore(ModelConfig { clocks: &[1, 6], ..CORRECT_CONFIG }, 11);
    println!("{states} states, depth {depth}");
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
#[ignore = "takes minutes"]
fn two_changes_and_stages_hold_in_every_interleaving() {
    let all_clocks = &[0, 1, 2, 3, 4, 5, 6, 7];
    for (config, depth) in [
        (CORRECT_CONFIG, 40),
        (ModelConfig { clocks: all_clocks, duplicated: true, ..CORRECT_CONFIG }, 16),
        (ModelConfig { versions: 2, ..CORRECT_CONFIG }, 18),
        (ModelConfig { stage: true, ..CORRECT_CONFIG }, 18),
    ] {
        let (states, depth, failures) = explore(config, depth);
        println!("{config:?}: {states} states, depth {depth}");
        assert!(failures.is_empty(), "{failures:#?}");
    }
}

/// Asserts that the model checker finds a violated property under a weakened rule.
fn assert_violation_found(config: ModelConfig) {
    let (states, depth, failures) = explore(config, 17);
    println!("{config:?}: {states} states, depth {depth}: {failures:?}");
    assert!(
        failures.iter().any(|failure| failure.contains(':')),
        "no violation was found under the weakened rule: {config:?}"
    );
}

/// The protocol without a weakened rule.
const CORRECT_CONFIG: ModelConfig = ModelConfig {
    from_receipt: false,
    without_quorum: false,
    wait_reduction: 0,
    always_ends_early: false,
    immediate_rollback: false,
    versions: 1,
    stage: false,
    clocks: &[],
    duplicated: false,
};

#[rstest]
#[case::wait_without_queries(ModelConfig { wait_reduction: QUERY_AT_LEADER, ..CORRECT_CONFIG })]
#[case::early_activation_by_new_leader(ModelConfig { always_ends_early: true, ..CORRECT_CONFIG })]
fn weakened_protocol_rule_violates_property(#[case] config: ModelConfig) {
    assert_violation_found(config);
}

#[rstest]
#[case::lease_from_receipt(ModelConfig { from_receipt: true, ..CORRECT_CONFIG })]
#[case::unconfirmed_replies(ModelConfig { without_quorum: true, ..CORRECT_CONFIG })]
#[case::immediate_rollback(ModelConfig { stage: true, immediate_rollback: true, ..CORRECT_CONFIG })]
#[ignore = "takes a minute"]
fn weakened_protocol_rule_violates_property_in_longer_run(#[case] config: ModelConfig) {
    assert_violation_found(config);
}
