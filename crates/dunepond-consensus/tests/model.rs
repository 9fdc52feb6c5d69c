//! A model of all interleavings of leases and the joint step, over a log that is taken for granted (an entry is committed at
//! once). Clocks count in units: at each step of true time each clock advances by one or by two, so that the fastest may run
//! at twice the rate of the slowest. Requests and replies are lost, duplicated or late; brokers crash, and pause for any
//! time, since no action is forced; leaders change. The properties are checked in every state.

use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Duration of a lease and of a query, in units of the broker's own clock.
const LEASE: u8 = 2;
const QUERY: u8 = 2;
/// Ratio of the fastest clock's rate to that of the slowest.
const DRIFT: u8 = 2;

/// Which rules are weakened, to check that the model finds it, and the bounds of the search.
#[derive(Clone, Copy, Debug)]
struct Rule {
    /// A lease counts from the arrival of the reply.
    from_receipt: bool,
    /// A leader replies without confirmation by a majority, so that a former leader may reply, too.
    without_quorum: bool,
    /// Units by which the wait is shortened.
    wait_reduction: u8,
    /// Early activation relies on a leader's list of leases however short it has led.
    always_ends_early: bool,
    /// A rollback of a stage ends at once.
    immediate_rollback: bool,
    /// Number of versions that may be proposed, and whether they have a first stage.
    versions: u8,
    stage: bool,
    /// Which clocks may advance by two, as bits for the leader and the brokers; empty: only the leader's, the worst case.
    clocks: &'static [u8],
    /// Requests are duplicated.
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
    /// Whether it belongs to the first stage.
    first: bool,
    /// The last state that it received, and the remaining units of its lease.
    known: Committed,
    lease_left: u8,
    /// The request in flight: units since it was sent, and whether it reports that the broker is joint.
    request: Option<(u8, bool)>,
    /// The reply in flight: units since the request, and the state in the reply.
    reply: Option<(u8, Committed)>,
    /// A non-idempotent part in flight to the owner of this version, and its remaining units.
    in_flight: Option<(u8, u8)>,
    /// At the leader: units until the broker and its queries have certainly finished with the old version.
    done_after: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    committed: Committed,
    highest: u8,
    /// Brokers in sorted order, since they are interchangeable.
    brokers: [Broker; 2],
    /// Remaining units of the wait since the leader saw the last step; units that it has led, up to a lease; whether it had
    /// led for a lease when it saw the proposal.
    wait: u8,
    led_units: u8,
    may_end_early: bool,
    /// The state that a former leader still considers committed.
    former: Option<Committed>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    /// Time passes; the bits name the clocks that advance by two.
    Time(u8),
    /// An earlier request that is still in flight is lost; the same holds for replies.
    Request(usize),
    /// The request may stay in flight as well.
    Reply {
        broker: usize,
        duplicated: bool,
    },
    ReplyOfFormerLeader(usize),
    Receive {
        broker: usize,
        duplicated: bool,
    },
    Send(usize),
    Crash(usize),
    Elect,
    Propose,
    Activate,
    Stage,
    Withdraw,
    RolledBack,
}

impl Broker {
    /// The version on which it acts alone, if it may act and is not joint.
    fn sole_version(&self) -> Option<u8> {
        match (self.lease_left, self.known.proposed, self.known.step) {
            (0, ..) => None,
            (_, None, _) => Some(self.known.active),
            (_, Some(proposed), Step::Staged) if self.first => Some(proposed),
            _ => None,
        }
    }

    /// All versions to whose rules it keeps.
    fn kept_versions(&self) -> Vec<u8> {
        match (self.lease_left, self.sole_version(), self.known.proposed) {
            (0, ..) => Vec::new(),
            (_, Some(sole_version), _) => vec![sole_version],
            (_, None, proposed) => vec![self.known.active, proposed.unwrap_or(self.known.active)],
        }
    }
}

const QUERIES: u8 = QUERY * DRIFT;
const LEASES: u8 = LEASE * DRIFT;

impl FleetState {
    fn restart_wait(&mut self, rule: &Rule) {
        self.wait = LEASES + QUERIES - rule.wait_reduction;
    }

    fn may_activate(&self) -> bool {
        let all_done = self.may_end_early && self.brokers.iter().all(|broker| broker.done_after == 0);
        self.committed.proposed.is_some()
            && self.committed.step == Step::Joint
            && (self.wait == 0 || all_done)
    }
}

impl Model for Rule {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let first = Broker { first: self.stage, ..Broker::default() };
        vec![FleetState {
            committed: Committed::default(),
            highest: 0,
            brokers: [Broker::default(), first],
            wait: 0,
            led_units: 0,
            may_end_early: false,
            former: None,
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
                if self.without_quorum && state.former.is_some() {
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
                    first: broker.first,
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
            (None, _) if state.highest < self.versions => actions.push(Action::Propose),
            (None, _) => {}
            (Some(_), Step::RollingBack) if state.wait == 0 || self.immediate_rollback => {
                actions.push(Action::RolledBack)
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
                state.led_units = (state.led_units + leader).min(LEASES);
                for (n, broker) in state.brokers.iter_mut().enumerate() {
                    broker.done_after = broker.done_after.saturating_sub(leader);
                    let own = 1 + (fast_clocks >> (n + 1) & 1);
                    broker.lease_left = broker.lease_left.saturating_sub(own);
                    // A request older than a lease has no effect, unless the weakened rule ignores its age.
                    let age = |age: u8| {
                        if self.from_receipt { Some(LEASE) } else { Some(age + own).filter(|a| *a < LEASE) }
                    };
                    broker.request = broker.request.and_then(|(since, joint)| Some((age(since)?, joint)));
                    broker.reply = broker.reply.and_then(|(since, reply)| Some((age(since)?, reply)));
                    broker.in_flight = broker
                        .in_flight
                        .map(|(v, lease_left)| (v, lease_left.saturating_sub(own)))
                        .filter(|(_, lease_left)| *lease_left > 0);
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
                // The leader does not know the age, and counts from the arrival of the request.
                broker.done_after = match joint && committed.proposed.is_some() {
                    true => broker.done_after.min(QUERIES),
                    false => LEASES + QUERIES,
                };
                broker.request = broker.request.filter(|_| duplicated);
            }
            Action::ReplyOfFormerLeader(n) => {
                let (age, _) = state.brokers[n].request.take()?;
                state.brokers[n].reply = Some((age, state.former?));
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
                // Its parts in flight continue; after the restart it sends new requests, and accepts no earlier reply.
                let Broker { first, in_flight, done_after, .. } = state.brokers[n];
                state.brokers[n] = Broker { first, in_flight, done_after, ..Broker::default() };
            }
            Action::Elect => {
                state.former = self.without_quorum.then_some(state.committed);
                // The new leader knows no leases, and restarts the wait.
                state.led_units = 0;
                state.may_end_early = self.always_ends_early;
                state.brokers.iter_mut().for_each(|broker| broker.done_after = 0);
                if state.committed.proposed.is_some() {
                    state.restart_wait(self);
                }
            }
            Action::Propose => {
                state.highest += 1;
                state.committed.index += 1;
                (state.committed.proposed, state.committed.step) = (Some(state.highest), Step::Joint);
                state.may_end_early = state.led_units == LEASES || self.always_ends_early;
                state.restart_wait(self);
                // Early activation also waits for the queries of brokers whose leases ended long ago.
                state
                    .brokers
                    .iter_mut()
                    .for_each(|broker| broker.done_after = broker.done_after.max(QUERIES));
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
            Action::Withdraw | Action::RolledBack => {
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
                let [a, b] = state.brokers.map(|broker| broker.kept_versions());
                a.is_empty() || b.is_empty() || a.iter().any(|version| b.contains(version))
            }),
            Property::always("one owner", |_, state: &FleetState| {
                let [a, b] = &state.brokers;
                let sends =
                    |broker: &Broker| [broker.in_flight.map(|(version, _)| version), broker.sole_version()];
                let all: Vec<u8> = sends(a).into_iter().chain(sends(b)).flatten().collect();
                all.iter().all(|version| *version == all[0])
            }),
            Property::sometimes("the last version is active", |rule: &Self, state: &FleetState| {
                state.brokers.iter().any(|broker| broker.sole_version() == Some(rule.versions))
            }),
        ]
    }
}

/// Visits all states up to `depth` actions. Returns the number of states, the depth reached, and the properties that fail.
fn visit(rule: Rule, depth: usize) -> (usize, usize, Vec<String>) {
    let threads = 2;
    let checker = rule
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let failures = ["no contradiction", "one owner"].into_iter().filter_map(|name| {
        let path = checker.discovery(name)?;
        Some(format!(
            "{name}: {}",
            path.into_actions().iter().map(|action| format!("{action:?}")).collect::<Vec<_>>().join(" ")
        ))
    });
    let mut failures: Vec<String> = failures.collect();
    if checker.discovery("the last version is active").is_none() {
        failures.push(String::from("never active"));
    }
    (checker.unique_state_count(), checker.max_depth(), failures)
}

#[test]
fn one_change_in_every_order() {
    let (states, depth, failures) = visit(Rule { clocks: &[1, 6], ..TRUE_RULE }, 11);
    println!("{states} states, depth {depth}");
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
#[ignore = "minutes"]
fn two_changes_and_stages_in_every_order() {
    let all_clocks = &[0, 1, 2, 3, 4, 5, 6, 7];
    for (rule, depth) in [
        (TRUE_RULE, 40),
        (Rule { clocks: all_clocks, duplicated: true, ..TRUE_RULE }, 16),
        (Rule { versions: 2, ..TRUE_RULE }, 18),
        (Rule { stage: true, ..TRUE_RULE }, 18),
    ] {
        let (states, depth, failures) = visit(rule, depth);
        println!("{rule:?}: {states} states, depth {depth}");
        assert!(failures.is_empty(), "{failures:#?}");
    }
}

fn assert_found(rule: Rule) {
    let (states, depth, failures) = visit(rule, 17);
    println!("{rule:?}: {states} states, depth {depth}: {failures:?}");
    assert!(failures.iter().any(|failure| failure.contains(':')), "the weakened rule is not found: {rule:?}");
}

const TRUE_RULE: Rule = Rule {
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
#[case::wait_without_queries(Rule { wait_reduction: QUERIES, ..TRUE_RULE })]
#[case::early_activation_by_new_leader(Rule { always_ends_early: true, ..TRUE_RULE })]
fn weakened_rule_is_found(#[case] rule: Rule) {
    assert_found(rule);
}

#[rstest]
#[case::lease_from_receipt(Rule { from_receipt: true, ..TRUE_RULE })]
#[case::unconfirmed_replies(Rule { without_quorum: true, ..TRUE_RULE })]
#[case::immediate_rollback(Rule { stage: true, immediate_rollback: true, ..TRUE_RULE })]
#[ignore = "a minute"]
fn deeper_weakened_rule_is_found(#[case] rule: Rule) {
    assert_found(rule);
}
