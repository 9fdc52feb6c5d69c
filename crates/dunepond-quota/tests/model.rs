//! Model checking of all orders in which leases are granted and shares shrink, grow and are released. The consensus log
//! is assumed to be correct. The crate's own code computes the ledger, the units that a broker may use and the release
//! times. Time is discrete: it is the time that the brokers' clocks show, and the leader's clock runs twice as fast,
//! which is the worst case. Requests and replies are delayed, duplicated or lost; brokers crash; leaders change.
//! Brokers may also pause for any time, since the model never forces a step. Each state records the amounts that
//! brokers actually used over the last window.

use std::collections::BTreeMap;

use dunepond_quota::*;
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// Duration of a lease, in time steps of a broker's clock.
const LEASE: u8 = 2;
/// Length of the window over which use is counted, in time steps of a broker's clock.
const WINDOW: u8 = 2;
const BROKERS: usize = 2;
/// The floor of each broker, in tenths of the total.
const FLOOR: u8 = 1;
/// Units beyond the floors, in tenths of the total.
const SPARE: u8 = 8;
/// Units in a tenth of the total.
const TENTH: u32 = TOTAL_UNITS / 10;

/// The model's settings: flags that each add a deliberate bug, which the checker must detect, and the bounds of the search.
#[derive(Clone, Copy, Debug)]
struct Rules {
    /// If set (a deliberate bug): when a share shrinks, its old size is released at once.
    release_at_once: bool,
    /// If set (a deliberate bug): a lease starts when the reply arrives, instead of when the request was sent.
    lease_from_receipt: bool,
    /// If set (a deliberate bug): a broker uses its share right after a restart, while what it used before the restart
    /// still counts in the window.
    no_wait_after_start: bool,
    /// If set (a deliberate bug): after a pause, a broker relies on a lease that it checked before the pause, without
    /// checking the clock again.
    no_clock_check: bool,
    /// If set (a deliberate bug): a new leader assumes at once that it knows all valid leases, although an earlier
    /// leader may have granted some.
    new_leader_skips_wait: bool,
    /// If set (a deliberate bug): the release does not wait until use from before the shrink has left the window.
    no_window: bool,
    /// If set (a deliberate bug): the leader ignores that its clock runs faster than the brokers' clocks.
    no_drift: bool,
    /// If set (a deliberate bug): a broker without a valid lease goes on using its last share, which may no longer be
    /// reserved.
    keeps_share: bool,
    /// Time on the brokers' clocks up to which states are visited.
    max_time: u8,
    max_shrinks: u8,
    max_crashes: u8,
    max_elections: u8,
}

const TRUE_RULES: Rules = Rules {
    release_at_once: false,
    lease_from_receipt: false,
    no_wait_after_start: false,
    no_clock_check: false,
    new_leader_skips_wait: false,
    no_window: false,
    no_drift: false,
    keeps_share: false,
    max_time: 7,
    max_shrinks: 1,
    max_crashes: 1,
    max_elections: 1,
};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Broker {
    /// Number of the broker's current process; 0 before the first crash, and one more after each crash.
    process_number: u8,
    started_at: u8,
    /// End of the broker's last lease; 0 if the broker has received no lease since its last start.
    lease_until: u8,
    /// The last allocation that the broker received since its last start.
    allocation: Option<AllocationReply>,
    /// Amounts that the broker used since its last start, one for each time step of the last window, oldest first, in
    /// tenths of the quota's total.
    used: [u8; WINDOW as usize],
    /// Amounts that the broker used, both before and after any restart, one for each time step of the last window,
    /// oldest first, in tenths of the quota's total.
    used_by_all: [u8; WINDOW as usize],
    /// The lease request in flight, if any; a later request replaces it. Consists of the number of the broker process
    /// that sent the request, the time when it was sent, and the shrink generation that it acknowledges.
    request: Option<(u8, u8, u8)>,
    /// The reply in flight, if any; a later reply replaces it. Consists of the number of the broker process that sent
    /// the request, the time when the request was sent, and the allocation.
    reply: Option<(u8, u8, AllocationReply)>,
    /// Amount that the ledger grants the broker beyond its floor, in tenths of the quota's total.
    granted: u8,
    /// Amount that the ledger reserves for the broker beyond its floor, in tenths of the quota's total.
    reserved: u8,
    /// Generation of the broker's last shrink in the ledger.
    shrunk_generation: u8,
    /// When the leader saw the last shrink of the broker's share, on the leader's clock.
    shrink_seen_at: u8,
    /// What the leader knows about each process of the broker: the end of its last lease, the shrink generation that it
    /// acknowledged, and when it first acknowledged that generation. Times are on the leader's clock.
    leases: [Option<(u8, u8, u8)>; 2],
}

/// The allocation in a leader's reply, for the model's only quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct AllocationReply {
    generation: u8,
    shrunk_generation: u8,
    /// Granted amount beyond the floor, in tenths of the quota's total.
    tenths: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    now: u8,
    generation: u8,
    brokers: [Broker; BROKERS],
    /// When the current leader's term began, on that leader's clock; `None` for the first leader.
    term_began: Option<u8>,
    crashes: u8,
    elections: u8,
    shrinks: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Time advances by one on the brokers' clocks.
    Time,
    /// A broker sends a lease request.
    Request(usize),
    /// The leader answers a broker's request, which stays in flight and may be answered again.
    Reply(usize),
    /// A broker receives the reply.
    Receive(usize),
    /// A broker uses all units that it may use.
    Use(usize),
    /// A broker crashes and starts again.
    Crash(usize),
    /// Another leader is elected.
    Elect,
    /// A broker's share is reduced to nothing beyond its floor.
    Shrink(usize),
    /// All free units are granted to one broker.
    Grow(usize),
    /// The leader releases the units reserved for a broker's last shrink.
    Release(usize),
}

fn name(broker: usize) -> String {
    format!("n{broker}")
}

fn shared_quotas() -> SharedQuotas {
    let window = u64::from(WINDOW) * 1000;
    SharedQuotas {
        names: vec![String::from("cold")],
        max_brokers: BROKERS as u32,
        floor_units: u32::from(FLOOR) * TENTH,
        window_millis: window,
    }
}

/// The entry that sets a broker's share, in tenths of the quota's total beyond the floor.
fn entry(broker: usize, tenths: u8) -> QuotaEntry {
    let units = u32::from(tenths) * TENTH;
    QuotaEntry::SetShares {
        shares: vec![QuotaShare { broker: name(broker), quota: String::from("cold"), units }],
    }
}

impl Broker {
    fn awaits_release(&self) -> bool {
        self.reserved > self.granted
    }

    fn shares(&self) -> BrokerShares {
        let units = |tenths: u8| u32::from(tenths) * TENTH;
        let grant = UnitGrant { granted: units(self.granted), reserved: units(self.reserved) };
        BrokerShares {
            grants: BTreeMap::from([(String::from("cold"), grant)]),
            shrunk_generation: u64::from(self.shrunk_generation),
        }
    }
}

use Step::*;

impl FleetState {
    /// Time on the leader's clock.
    fn leader_clock(&self) -> u8 {
        2 * self.now
    }

    /// Applies the entry with the crate's own ledger; `None` if the ledger rejects it.
    fn apply(&mut self, entry: &QuotaEntry) -> Option<()> {
        let shares = self.brokers.iter().enumerate().map(|(n, broker)| (name(n), broker.shares()));
        let (shared_quotas, generation) = (Some(shared_quotas()), u64::from(self.generation));
        let mut ledger = QuotaLedger { shared: shared_quotas, generation, brokers: shares.collect() };
        ledger.apply(entry).ok()?;
        self.generation = ledger.generation as u8;
        for (n, broker) in self.brokers.iter_mut().enumerate() {
            let (shares, tenths) = (&ledger.brokers[&name(n)], |units: u32| (units / TENTH) as u8);
            (broker.granted, broker.reserved) =
                (tenths(shares.granted_units("cold")), tenths(shares.reserved_units("cold")));
            broker.shrunk_generation = shares.shrunk_generation as u8;
        }
        Some(())
    }

    /// Amount that is reserved for no broker and may be granted now, in tenths of the quota's total.
    fn free(&self) -> u8 {
        SPARE.saturating_sub(self.brokers.iter().map(|broker| broker.reserved).sum())
    }

    /// Amount that a broker may use now, as computed by the crate, in tenths of the quota's total.
    fn available(&self, rules: &Rules, broker: usize) -> u8 {
        let b = &self.brokers[broker];
        let mut own = LocalQuota::new(&shared_quotas(), f64::from(b.started_at));
        if rules.no_wait_after_start || b.process_number == 0 {
            // A broker that never crashed need not wait, since no earlier process used anything.
            own.window_seconds = 0.0;
        }
        let lease_valid =
            self.now < b.lease_until || (rules.no_clock_check || rules.keeps_share) && b.lease_until > 0;
        let allocation = b.allocation.map(|reply| Allocation {
            generation: u64::from(reply.generation),
            floor_units: u32::from(FLOOR) * TENTH,
            admitted: true,
            shrunk_generation: u64::from(reply.shrunk_generation),
            leased_units: BTreeMap::from([(String::from("cold"), u32::from(reply.tenths) * TENTH)]),
        });
        (own.available_units(allocation.as_ref(), lease_valid, "cold", f64::from(self.now)) / TENTH) as u8
    }

    fn delays(rules: &Rules) -> ReuseDelays {
        let leader_time = |time: u8| f64::from(time) * if rules.no_drift { 1.0 } else { 2.0 };
        ReuseDelays {
            lease_seconds: leader_time(LEASE),
            action_seconds: 0.0,
            window_seconds: if rules.no_window { 0.0 } else { leader_time(WINDOW) },
        }
    }

    /// The time on the leader's clock from which the units reserved for a broker's last shrink may be released.
    fn release_time(&self, rules: &Rules, broker: usize) -> f64 {
        let b = &self.brokers[broker];
        let processes = b.leases.iter().flatten().map(|(over, acknowledged, at)| LeasedProcess {
            lease_over_at: f64::from(*over),
            acknowledged_at: (*acknowledged >= b.shrunk_generation).then_some(f64::from(*at)),
        });
        let term_began =
            if rules.new_leader_skips_wait { Some(-99.0) } else { self.term_began.map(f64::from) };
        reusable_from(f64::from(b.shrink_seen_at), term_began, processes, Self::delays(rules))
    }

    /// Amount that all brokers used over the last window, including use before a restart, in tenths of the quota's
    /// total.
    fn used(&self) -> u8 {
        self.brokers.iter().flat_map(|broker| broker.used_by_all).sum()
    }
}

impl Model for Rules {
    type State = FleetState;
    type Action = Step;

    fn init_states(&self) -> Vec<FleetState> {
        let mut state = FleetState {
            now: 0,
            generation: 3,
            brokers: [Broker::default(); BROKERS],
            term_began: None,
            crashes: 0,
            elections: 0,
            shrinks: 0,
        };
        state.apply(&entry(0, SPARE)).unwrap();
        vec![state]
    }

    fn actions(&self, state: &FleetState, steps: &mut Vec<Step>) {
        if state.now < self.max_time {
            steps.push(Step::Time);
        }
        for broker in 0..BROKERS {
            let b = &state.brokers[broker];
            if b.request.is_none_or(|(process_number, sent, _)| {
                (process_number, sent) != (b.process_number, state.now)
            }) {
                steps.push(Step::Request(broker));
            }
            if b.request.is_some() {
                steps.push(Step::Reply(broker));
            }
            if b.reply.is_some_and(|(process_number, ..)| process_number == b.process_number) {
                steps.push(Step::Receive(broker));
            }
            if b.used.iter().sum::<u8>() < state.available(self, broker) {
                steps.push(Step::Use(broker));
            }
            if state.crashes < self.max_crashes {
                steps.push(Step::Crash(broker));
            }
            if b.granted > 0 && !b.awaits_release() && state.shrinks < self.max_shrinks {
                steps.push(Step::Shrink(broker));
            }
            if state.free() > 0 && b.granted == 0 {
                steps.push(Step::Grow(broker));
            }
            if b.awaits_release() && state.release_time(self, broker) <= f64::from(state.leader_clock()) {
                steps.push(Step::Release(broker));
            }
        }
        if state.elections < self.max_elections {
            steps.push(Step::Elect);
        }
    }

    fn next_state(&self, last: &FleetState, step: Step) -> Option<FleetState> {
        let mut state = *last;
        match step {
            Step::Time => {
                state.now += 1;
                for broker in &mut state.brokers {
                    for used in [&mut broker.used, &mut broker.used_by_all] {
                        used.rotate_left(1);
                        used[WINDOW as usize - 1] = 0;
                    }
                }
                // A lease lasts `LEASE` from the sending of the request, so a message that is at least as old can no
                // longer give a valid lease. It is dropped to keep the state space small.
                let (now, keep_old) = (state.now, self.lease_from_receipt);
                for broker in &mut state.brokers {
                    broker.request = broker.request.filter(|(_, sent, _)| keep_old || now < sent + LEASE);
                    broker.reply = broker.reply.filter(|(_, sent, _)| keep_old || now < sent + LEASE);
                }
            }
            Step::Request(broker) => {
                let b = &mut state.brokers[broker];
                b.request = Some((
                    b.process_number,
                    state.now,
                    b.allocation.map_or(0, |allocation| allocation.shrunk_generation),
                ));
            }
            Step::Reply(broker) => {
                let (now, generation) = (state.leader_clock(), state.generation);
                let b = &mut state.brokers[broker];
                let (process_number, sent, reported) = b.request?;
                let (shrunk_generation, tenths) = (b.shrunk_generation, b.granted);
                b.reply =
                    Some((process_number, sent, AllocationReply { generation, shrunk_generation, tenths }));
                let lease = if self.no_drift { LEASE } else { 2 * LEASE };
                let (over, acknowledged, at) =
                    b.leases[process_number as usize].unwrap_or((0, reported, now));
                let first = if reported > acknowledged { now } else { at };
                b.leases[process_number as usize] =
                    Some((over.max(now + lease), acknowledged.max(reported), first));
            }
            Step::Receive(broker) => {
                let now = state.now;
                let b = &mut state.brokers[broker];
                let (_, sent, received) = b.reply.take()?;
                if b.allocation.is_some_and(|known| received.generation < known.generation) {
                    return None;
                }
                b.allocation = Some(received);
                b.lease_until = b.lease_until.max(LEASE + if self.lease_from_receipt { now } else { sent });
            }
            Step::Use(broker) => {
                let available = state.available(self, broker);
                let b = &mut state.brokers[broker];
                let more = available - b.used.iter().sum::<u8>();
                let last = WINDOW as usize - 1;
                (b.used[last], b.used_by_all[last]) = (b.used[last] + more, b.used_by_all[last] + more);
            }
            Step::Crash(broker) => {
                state.crashes += 1;
                let b = &mut state.brokers[broker];
                *b = Broker {
                    process_number: b.process_number + 1,
                    started_at: state.now,
                    lease_until: 0,
                    allocation: None,
                    used: [0; 2],
                    ..*b
                };
            }
            Step::Elect => {
                state.elections += 1;
                // The new leader has seen all committed entries, and none of them earlier than the previous leader did,
                // so `shrink_seen_at` is kept. It does not know of leases that earlier leaders granted.
                state.term_began = Some(state.leader_clock());
                state.brokers.iter_mut().for_each(|broker| broker.leases = [None; 2]);
            }
            Step::Shrink(broker) => {
                state.apply(&entry(broker, 0))?;
                state.shrinks += 1;
                state.brokers[broker].shrink_seen_at = state.leader_clock();
                if self.release_at_once {
                    let generation = u64::from(state.generation);
                    state.apply(&QuotaEntry::Release { broker: name(broker), generation })?;
                }
            }
            Step::Grow(broker) => {
                let units = state.free();
                state.apply(&entry(broker, units))?;
            }
            Step::Release(broker) => {
                let generation = u64::from(state.brokers[broker].shrunk_generation);
                state.apply(&QuotaEntry::Release { broker: name(broker), generation })?;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("within the total", |_, state: &FleetState| state.used() <= 10),
            Property::always("floor without a lease", |rules: &Self, state: &FleetState| {
                let without_lease = |b: &Broker| state.now >= b.lease_until;
                let brokers = (0..BROKERS).filter(|b| without_lease(&state.brokers[*b]));
                brokers.into_iter().all(|b| state.available(rules, b) <= FLOOR)
            }),
            Property::sometimes("other broker holds all spare units", |_, state: &FleetState| {
                state.brokers[1].used_by_all.iter().sum::<u8>() == FLOOR + SPARE
            }),
        ]
    }
}

/// Visits all states up to `depth` steps. Returns the number of states, the depth reached, and the properties that fail,
/// each with the steps that lead to the failure.
fn visit(rules: Rules, depth: usize) -> (usize, usize, Vec<String>) {
    let checker = rules
        .checker()
        .threads(2)
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let failures = ["within the total", "floor without a lease"].into_iter().filter_map(|name| {
        let path = checker.discovery(name)?;
        let steps: Vec<String> = path.into_actions().iter().map(|step| format!("{step:?}")).collect();
        Some(format!("{name}: {} steps: {}", steps.len(), steps.join(" ")))
    });
    let mut failures: Vec<String> = failures.collect();
    if checker.discovery("other broker holds all spare units").is_none() {
        failures.push(String::from("shares never moved"));
    }
    (checker.unique_state_count(), checker.max_depth(), failures)
}

#[test]
fn sum_stays_within_total_in_every_order() {
    let rules = Rules { max_crashes: 0, max_elections: 0, max_time: 6, ..TRUE_RULES };
    let (states, depth, failures) = visit(rules, 9);
    println!("{states} states, depth {depth}");
    assert!(failures.iter().all(|failure| failure == "shares never moved"), "{failures:#?}");
}

#[test]
#[ignore = "takes minutes"]
fn sum_stays_within_total_with_crashes_and_elections() {
    for (rules, depth) in
        [(NO_FAILURES, 13), (Rules { max_elections: 1, ..NO_FAILURES }, 11), (TRUE_RULES, 10)]
    {
        let (states, depth, failures) = visit(rules, depth);
        println!("{rules:?}: {states} states, depth {depth}: {failures:?}");
        assert!(failures.iter().all(|failure| failure == "shares never moved"), "{failures:#?}");
    }
}

fn assert_detected(rules: Rules, depth: usize) {
    let (states, depth, failures) = visit(rules, depth);
    println!("{rules:?}: {states} states, depth {depth}: {failures:?}");
    assert!(
        failures.iter().any(|failure| failure.contains(':')),
        "the checker does not detect the weakened rule: {rules:?}"
    );
}

const NO_FAILURES: Rules = Rules { max_crashes: 0, max_elections: 0, ..TRUE_RULES };

#[rstest]
#[case::no_wait_after_restart(Rules { no_wait_after_start: true, max_crashes: 1, ..NO_FAILURES })]
#[case::clock_not_checked(Rules { no_clock_check: true, ..NO_FAILURES })]
#[case::keeps_share_when_partitioned(Rules { keeps_share: true, ..NO_FAILURES })]
fn search_detects_weakened_rule(#[case] rules: Rules) {
    assert_detected(rules, 16);
}

/// Covers violations that take more steps than a search in CI can visit. Each case lists steps after which brokers use
/// more than the total if the rule is weakened. If no rule is weakened, the step `impossible` cannot be taken.
#[rstest]
#[case::grows_before_release(
    Rules { release_at_once: true, ..NO_FAILURES },
    &[Request(0), Reply(0), Receive(0), Use(0), Shrink(0), Grow(1), Request(1), Reply(1), Receive(1), Use(1)],
    Grow(1)
)]
#[case::lease_from_receipt(
    Rules { lease_from_receipt: true, ..NO_FAILURES },
    &[Request(0), Reply(0), Shrink(0), Time, Time, Time, Time, Release(0), Grow(1), Request(1), Reply(1), Receive(1), Use(1), Receive(0),
      Use(0)],
    Receive(0)
)]
#[case::window_ignored(Rules { no_window: true, ..NO_FAILURES }, &LATE_USE, Release(0))]
#[case::drift_ignored(Rules { no_drift: true, ..NO_FAILURES }, &LATE_USE, Release(0))]
#[case::early_release_by_new_leader(
    Rules { new_leader_skips_wait: true, max_elections: 1, ..NO_FAILURES },
    &[Request(0), Reply(0), Receive(0), Elect, Shrink(0), Time, Use(0), Time, Release(0), Grow(1), Request(1), Reply(1), Receive(1),
      Use(1)],
    Release(0)
)]
fn given_path_detects_weakened_rule(
    #[case] weakened: Rules,
    #[case] path: &[Step],
    #[case] impossible: Step,
) {
    let run_path = |rules: &Rules| {
        let mut state = rules.init_states().remove(0);
        for step in path {
            let mut steps = Vec::new();
            rules.actions(&state, &mut steps);
            if !steps.contains(step) {
                return Err(step.clone());
            }
            state = rules.next_state(&state, step.clone()).ok_or(step.clone())?;
        }
        Ok(state.used())
    };
    assert!(run_path(&weakened).is_ok_and(|used| used > 10), "{:?}", run_path(&weakened));
    assert_eq!(run_path(&Rules { max_elections: 1, ..NO_FAILURES }), Err(impossible));
}

/// Steps in which broker 0 uses the old size of its share after the share shrank, while its lease is still valid.
const LATE_USE: [Step; 13] = [
    Request(0),
    Reply(0),
    Receive(0),
    Shrink(0),
    Time,
    Use(0),
    Time,
    Release(0),
    Grow(1),
    Request(1),
    Reply(1),
    Receive(1),
    Use(1),
];
