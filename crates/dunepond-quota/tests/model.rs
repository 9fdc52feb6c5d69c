//! All interleavings of leases, parts that go down and up, and the waits between, over a log taken for granted. The ledger,
//! what a broker may use at an act, and the end of each wait are the crate's own. Time is whole: brokers' clocks show it, the
//! leader's runs twice as fast, the worst for it. What is asked or answered is late, doubled or lost; brokers stand still
//! for as long as they like, since none has to do anything; they crash; leaders change. What was really used over the last
//! window is counted in every state.

use std::collections::BTreeMap;

use dunepond_quota::*;
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// On a broker's clock.
const LEASE: u8 = 2;
const WINDOW: u8 = 2;
const BROKERS: usize = 2;
/// In units of a tenth of the whole.
const FLOOR: u8 = 1;
const SPARE: u8 = 8;
const TENTH: u32 = TOTAL_UNITS / 10;

/// How the rules are weakened, to see that the model notices.
#[derive(Clone, Copy, Debug)]
struct Rules {
    /// A part that went down counts at its new size at once.
    grow_before_ack: bool,
    /// A lease counts from the answer's arrival.
    from_receipt: bool,
    /// A new run uses its part at once.
    no_hold: bool,
    /// A broker acts on what it looked at before it stood still.
    no_look: bool,
    /// A new leader trusts its list of leases at once.
    early: bool,
    /// What was used just before a part went down does not count.
    no_window: bool,
    /// The leader's clock is taken for true.
    no_drift: bool,
    /// What a broker without a lease has is not reserved: it goes on with what it had.
    keeps_all: bool,
    /// True time up to which all is visited.
    until: u8,
    /// How often parts are taken back, brokers crash and leaders change, at most.
    moves: u8,
    crashes: u8,
    elections: u8,
}

const WHOLE_RULES: Rules = Rules {
    grow_before_ack: false,
    from_receipt: false,
    no_hold: false,
    no_look: false,
    early: false,
    no_window: false,
    no_drift: false,
    keeps_all: false,
    until: 7,
    moves: 1,
    crashes: 1,
    elections: 1,
};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Broker {
    run: u8,
    started: u8,
    /// Until when it has a lease, and what it heard.
    until: u8,
    told: Option<Tells>,
    /// Used at each moment of the last window, the oldest first: by this run, and by all.
    used: [u8; WINDOW as usize],
    really: [u8; WINDOW as usize],
    /// Under way, the one before is lost then: run, when sent, and the acknowledgement or what is told.
    ask: Option<(u8, u8, u8)>,
    answer: Option<(u8, u8, Tells)>,
    /// The ledger's: what it is told, what counts, and by which generation that went down.
    now: u8,
    counted: u8,
    shrunk: u8,
    /// The leader's, on its own clock: when it saw that; by run, the end of the last lease, what was acknowledged, and when.
    seen: u8,
    granted: [Option<(u8, u8, u8)>; 2],
}

/// What an answer says of a broker's one bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Tells {
    generation: u8,
    shrunk: u8,
    units: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    generation: u8,
    brokers: [Broker; BROKERS],
    /// Since when the leader leads, on its own clock.
    led: Option<u8>,
    crashes: u8,
    elections: u8,
    moves: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Time,
    Ask(usize),
    /// The question stays under way, too.
    Answer(usize),
    Take(usize),
    Use(usize),
    Crash(usize),
    Elect,
    /// All that a broker has is taken back; all that is free goes to one.
    Shrink(usize),
    Grow(usize),
    Settle(usize),
}

fn name(broker: usize) -> String {
    format!("n{broker}")
}

fn bounds() -> SharedQuotas {
    let window = u64::from(WINDOW) * 1000;
    SharedQuotas {
        names: vec![String::from("cold")],
        max_brokers: BROKERS as u32,
        floor_units: u32::from(FLOOR) * TENTH,
        window_millis: window,
    }
}

fn entry(broker: usize, units: u8) -> QuotaEntry {
    let units = u32::from(units) * TENTH;
    QuotaEntry::SetShares {
        shares: vec![QuotaShare { broker: name(broker), quota: String::from("cold"), units }],
    }
}

impl Broker {
    fn waits(&self) -> bool {
        self.counted > self.now
    }

    fn seat(&self) -> BrokerShares {
        let units = |tenths: u8| u32::from(tenths) * TENTH;
        let held = UnitGrant { granted: units(self.now), reserved: units(self.counted) };
        BrokerShares {
            grants: BTreeMap::from([(String::from("cold"), held)]),
            shrunk_generation: u64::from(self.shrunk),
        }
    }
}

use Act::*;

impl World {
    /// The leader's clock.
    fn leaders(&self) -> u8 {
        2 * self.now
    }

    /// The crate's own ledger takes the entry, or refuses it.
    fn enter(&mut self, entry: &QuotaEntry) -> Option<()> {
        let seats = self.brokers.iter().enumerate().map(|(n, broker)| (name(n), broker.seat()));
        let (bounds, generation) = (Some(bounds()), u64::from(self.generation));
        let mut ledger = QuotaLedger { shared: bounds, generation, brokers: seats.collect() };
        ledger.apply(entry).ok()?;
        self.generation = ledger.generation as u8;
        for (n, broker) in self.brokers.iter_mut().enumerate() {
            let (seat, tenths) = (&ledger.brokers[&name(n)], |units: u32| (units / TENTH) as u8);
            (broker.now, broker.counted) =
                (tenths(seat.granted_units("cold")), tenths(seat.reserved_units("cold")));
            broker.shrunk = seat.shrunk_generation as u8;
        }
        Some(())
    }

    fn free(&self) -> u8 {
        SPARE.saturating_sub(self.brokers.iter().map(|broker| broker.counted).sum())
    }

    /// What a broker may use now in all, by the crate's own rule.
    fn part(&self, rules: &Rules, broker: usize) -> u8 {
        let b = &self.brokers[broker];
        let mut own = LocalQuota::new(&bounds(), f64::from(b.started));
        if rules.no_hold || b.run == 0 {
            // The first run has none before it.
            own.window_seconds = 0.0;
        }
        let live = self.now < b.until || (rules.no_look || rules.keeps_all) && b.until > 0;
        let told = b.told.map(|tells| Allocation {
            generation: u64::from(tells.generation),
            floor_units: u32::from(FLOOR) * TENTH,
            admitted: true,
            shrunk_generation: u64::from(tells.shrunk),
            leased_units: BTreeMap::from([(String::from("cold"), u32::from(tells.units) * TENTH)]),
        });
        (own.available_units(told.as_ref(), live, "cold", f64::from(self.now)) / TENTH) as u8
    }

    fn waits(rules: &Rules) -> ReuseDelays {
        let by = |time: u8| f64::from(time) * if rules.no_drift { 1.0 } else { 2.0 };
        ReuseDelays {
            lease_seconds: by(LEASE),
            action_seconds: 0.0,
            window_seconds: if rules.no_window { 0.0 } else { by(WINDOW) },
        }
    }

    fn settled_from(&self, rules: &Rules, broker: usize) -> f64 {
        let b = &self.brokers[broker];
        let runs = b.granted.iter().flatten().map(|(over, shrunk, at)| BrokerRun {
            lease_over_at: f64::from(*over),
            acknowledged_at: (*shrunk >= b.shrunk).then_some(f64::from(*at)),
        });
        let led = if rules.early { Some(-99.0) } else { self.led.map(f64::from) };
        reusable_from(f64::from(b.seen), led, runs, Self::waits(rules))
    }

    fn used(&self) -> u8 {
        self.brokers.iter().flat_map(|broker| broker.really).sum()
    }
}

impl Model for Rules {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            now: 0,
            generation: 3,
            brokers: [Broker::default(); BROKERS],
            led: None,
            crashes: 0,
            elections: 0,
            moves: 0,
        };
        world.enter(&entry(0, SPARE)).unwrap();
        vec![world]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.now < self.until {
            acts.push(Act::Time);
        }
        for broker in 0..BROKERS {
            let b = &world.brokers[broker];
            if b.ask.is_none_or(|(run, sent, _)| (run, sent) != (b.run, world.now)) {
                acts.push(Act::Ask(broker));
            }
            if b.ask.is_some() {
                acts.push(Act::Answer(broker));
            }
            if b.answer.is_some_and(|(run, ..)| run == b.run) {
                acts.push(Act::Take(broker));
            }
            if b.used.iter().sum::<u8>() < world.part(self, broker) {
                acts.push(Act::Use(broker));
            }
            if world.crashes < self.crashes {
                acts.push(Act::Crash(broker));
            }
            if b.now > 0 && !b.waits() && world.moves < self.moves {
                acts.push(Act::Shrink(broker));
            }
            if world.free() > 0 && b.now == 0 {
                acts.push(Act::Grow(broker));
            }
            if b.waits() && world.settled_from(self, broker) <= f64::from(world.leaders()) {
                acts.push(Act::Settle(broker));
            }
        }
        if world.elections < self.elections {
            acts.push(Act::Elect);
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = *last;
        match act {
            Act::Time => {
                world.now += 1;
                for broker in &mut world.brokers {
                    for used in [&mut broker.used, &mut broker.really] {
                        used.rotate_left(1);
                        used[WINDOW as usize - 1] = 0;
                    }
                }
                // What is a lease old is worth nothing, and lost.
                let (now, kept) = (world.now, self.from_receipt);
                for broker in &mut world.brokers {
                    broker.ask = broker.ask.filter(|(_, sent, _)| kept || now < sent + LEASE);
                    broker.answer = broker.answer.filter(|(_, sent, _)| kept || now < sent + LEASE);
                }
            }
            Act::Ask(broker) => {
                let b = &mut world.brokers[broker];
                b.ask = Some((b.run, world.now, b.told.map_or(0, |told| told.shrunk)));
            }
            Act::Answer(broker) => {
                let (now, generation) = (world.leaders(), world.generation);
                let b = &mut world.brokers[broker];
                let (run, sent, shrunk) = b.ask?;
                b.answer = Some((run, sent, Tells { generation, shrunk: b.shrunk, units: b.now }));
                let lease = if self.no_drift { LEASE } else { 2 * LEASE };
                let (over, acked, at) = b.granted[run as usize].unwrap_or((0, shrunk, now));
                let first = if shrunk > acked { now } else { at };
                b.granted[run as usize] = Some((over.max(now + lease), acked.max(shrunk), first));
            }
            Act::Take(broker) => {
                let now = world.now;
                let b = &mut world.brokers[broker];
                let (_, sent, tells) = b.answer.take()?;
                if b.told.is_some_and(|known| tells.generation < known.generation) {
                    return None;
                }
                b.told = Some(tells);
                b.until = b.until.max(LEASE + if self.from_receipt { now } else { sent });
            }
            Act::Use(broker) => {
                let part = world.part(self, broker);
                let b = &mut world.brokers[broker];
                let more = part - b.used.iter().sum::<u8>();
                let last = WINDOW as usize - 1;
                (b.used[last], b.really[last]) = (b.used[last] + more, b.really[last] + more);
            }
            Act::Crash(broker) => {
                world.crashes += 1;
                let b = &mut world.brokers[broker];
                *b = Broker { run: b.run + 1, started: world.now, until: 0, told: None, used: [0; 2], ..*b };
            }
            Act::Elect => {
                world.elections += 1;
                // It has seen all that was agreed on, at the earliest as the one before did.
                world.led = Some(world.leaders());
                world.brokers.iter_mut().for_each(|broker| broker.granted = [None; 2]);
            }
            Act::Shrink(broker) => {
                world.enter(&entry(broker, 0))?;
                world.moves += 1;
                world.brokers[broker].seen = world.leaders();
                if self.grow_before_ack {
                    let generation = u64::from(world.generation);
                    world.enter(&QuotaEntry::Release { broker: name(broker), generation })?;
                }
            }
            Act::Grow(broker) => {
                let units = world.free();
                world.enter(&entry(broker, units))?;
            }
            Act::Settle(broker) => {
                let generation = u64::from(world.brokers[broker].shrunk);
                world.enter(&QuotaEntry::Release { broker: name(broker), generation })?;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("within the whole", |_, world: &World| world.used() <= 10),
            Property::always("on its floor without a lease", |rules: &Self, world: &World| {
                let cut = |b: &Broker| world.now >= b.until;
                let parts = (0..BROKERS).filter(|b| cut(&world.brokers[*b]));
                parts.into_iter().all(|b| world.part(rules, b) <= FLOOR)
            }),
            Property::sometimes("the other has all", |_, world: &World| {
                world.brokers[1].really.iter().sum::<u8>() == FLOOR + SPARE
            }),
        ]
    }
}

/// States, depth, and what does not hold or is never seen.
fn visit(rules: Rules, depth: usize) -> (usize, usize, Vec<String>) {
    let checker = rules
        .checker()
        .threads(2)
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let broken = ["within the whole", "on its floor without a lease"].into_iter().filter_map(|name| {
        let path = checker.discovery(name)?;
        let acts: Vec<String> = path.into_actions().iter().map(|act| format!("{act:?}")).collect();
        Some(format!("{name}: {} acts: {}", acts.len(), acts.join(" ")))
    });
    let mut broken: Vec<String> = broken.collect();
    if checker.discovery("the other has all").is_none() {
        broken.push(String::from("never moved"));
    }
    (checker.unique_state_count(), checker.max_depth(), broken)
}

#[test]
fn a_part_moves_in_every_order_and_the_sum_stays_within() {
    let rules = Rules { crashes: 0, elections: 0, until: 6, ..WHOLE_RULES };
    let (states, depth, broken) = visit(rules, 9);
    println!("{states} states, depth {depth}");
    assert!(broken.iter().all(|why| why == "never moved"), "{broken:#?}");
}

#[test]
#[ignore = "minutes"]
fn with_crashes_and_elections_too() {
    for (rules, depth) in [(CALM, 13), (Rules { elections: 1, ..CALM }, 11), (WHOLE_RULES, 10)] {
        let (states, depth, broken) = visit(rules, depth);
        println!("{rules:?}: {states} states, depth {depth}: {broken:?}");
        assert!(broken.iter().all(|why| why == "never moved"), "{broken:#?}");
    }
}

fn is_missed(rules: Rules, depth: usize) {
    let (states, depth, broken) = visit(rules, depth);
    println!("{rules:?}: {states} states, depth {depth}: {broken:?}");
    assert!(broken.iter().any(|why| why.contains(':')), "{rules:?} is not missed");
}

const CALM: Rules = Rules { crashes: 0, elections: 0, ..WHOLE_RULES };

#[rstest]
#[case::no_hold_after_a_restart(Rules { no_hold: true, crashes: 1, ..CALM })]
#[case::no_look_at_the_clock(Rules { no_look: true, ..CALM })]
#[case::keeps_what_it_had_when_cut(Rules { keeps_all: true, ..CALM })]
fn a_rule_that_is_weakened_is_missed(#[case] rules: Rules) {
    is_missed(rules, 16);
}

/// Where a search has to go deeper than CI may: the acts by which a weakened rule lets the sum past the whole. By the true
/// rules one of them cannot be done.
#[rstest]
#[case::grows_before_the_other_has_shrunk(
    Rules { grow_before_ack: true, ..CALM },
    &[Ask(0), Answer(0), Take(0), Use(0), Shrink(0), Grow(1), Ask(1), Answer(1), Take(1), Use(1)],
    Grow(1)
)]
#[case::lease_from_receipt(
    Rules { from_receipt: true, ..CALM },
    &[Ask(0), Answer(0), Shrink(0), Time, Time, Time, Time, Settle(0), Grow(1), Ask(1), Answer(1), Take(1), Use(1), Take(0),
      Use(0)],
    Take(0)
)]
#[case::the_window_before_is_forgotten(Rules { no_window: true, ..CALM }, &USED_LATE, Settle(0))]
#[case::drift_is_forgotten(Rules { no_drift: true, ..CALM }, &USED_LATE, Settle(0))]
#[case::early_word_of_a_new_leader(
    Rules { early: true, elections: 1, ..CALM },
    &[Ask(0), Answer(0), Take(0), Elect, Shrink(0), Time, Use(0), Time, Settle(0), Grow(1), Ask(1), Answer(1), Take(1),
      Use(1)],
    Settle(0)
)]
fn a_rule_that_is_weakened_lets_the_sum_past_the_whole(
    #[case] weak: Rules,
    #[case] path: &[Act],
    #[case] refused: Act,
) {
    let walk = |rules: &Rules| {
        let mut world = rules.init_states().remove(0);
        for act in path {
            let mut acts = Vec::new();
            rules.actions(&world, &mut acts);
            if !acts.contains(act) {
                return Err(act.clone());
            }
            world = rules.next_state(&world, act.clone()).ok_or(act.clone())?;
        }
        Ok(world.used())
    };
    assert!(walk(&weak).is_ok_and(|used| used > 10), "{:?}", walk(&weak));
    assert_eq!(walk(&Rules { elections: 1, ..CALM }), Err(refused));
}

/// A lease is used to its end, after the part went down.
const USED_LATE: [Act; 13] = [
    Ask(0),
    Answer(0),
    Take(0),
    Shrink(0),
    Time,
    Use(0),
    Time,
    Settle(0),
    Grow(1),
    Ask(1),
    Answer(1),
    Take(1),
    Use(1),
];
