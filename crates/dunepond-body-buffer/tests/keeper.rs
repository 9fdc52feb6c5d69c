//! The keeper by stories, and by properties over random arrivals, failures and changes of its bounds.

use dunepond_body_buffer::*;
use proptest::prelude::*;
use rstest::rstest;

const MIB: u64 = 1024 * 1024;

fn terms() -> Terms {
    Terms {
        longest: 64 * MIB,
        memory_one: 2 * MIB,
        memory_all: 16 * MIB,
        files: Some(FileTerms { one: 8 * MIB, all: 32 * MIB, rest: (1.0, 8.0) }),
        customer: 0.5,
        table_type: 1.0,
        window: MIB / 4,
        slowest: 2.0,
    }
}

fn body(customer: usize, length: u64) -> Arrival {
    Arrival { customer, table_type: 0, length: Some(length) }
}

#[rstest]
#[case::memory_exactly(2 * MIB, Place::Memory, None)]
#[case::memory_and_one(2 * MIB + 1, Place::File, Some(Reason::TooLongForMemory))]
#[case::file_exactly(8 * MIB, Place::File, Some(Reason::TooLongForMemory))]
#[case::file_and_one(8 * MIB + 1, Place::Passing, Some(Reason::TooLongForFiles))]
#[case::longest_exactly(64 * MIB, Place::Passing, Some(Reason::TooLongForFiles))]
fn each_limit_is_met_exactly(#[case] length: u64, #[case] place: Place, #[case] why: Option<Reason>) {
    let given = Keeper::new(terms()).arrive(0.0, body(0, length)).unwrap();
    assert_eq!((given.place, given.why), (place, why));
}

#[test]
fn one_byte_over_the_longest_is_not_taken() {
    let mut keeper = Keeper::new(terms());
    assert_eq!(keeper.arrive(0.0, body(0, 64 * MIB + 1)), Err(Reason::TooLong));
    assert_eq!(keeper.counts().collect::<Vec<_>>(), [(Place::Passing, Reason::TooLong, 0, 1)]);
}

#[test]
fn one_customers_flood_leaves_the_others_share() {
    let mut keeper = Keeper::new(terms());
    let flood: Vec<_> = (0..10).map(|_| keeper.arrive(0.0, body(1, 2 * MIB)).unwrap()).collect();
    // Three quarters of half of it all: the rest is for windows.
    assert_eq!(flood.iter().filter(|given| given.place == Place::Memory).count(), 3);
    assert_eq!(flood[3].why, Some(Reason::CustomersMemory));
    assert_eq!(keeper.arrive(0.0, body(2, 2 * MIB)).unwrap().place, Place::Memory);
}

/// Where its length is known it passes; where not there is nothing it could do.
#[test]
fn a_body_of_unknown_length_moves_on_as_it_grows_and_is_refused_at_the_end() {
    let mut keeper = Keeper::new(terms());
    let arrival = Arrival { customer: 0, table_type: 0, length: None };
    let given = keeper.arrive(0.0, arrival).unwrap();
    assert_eq!(given.place, Place::Memory);
    assert_eq!(keeper.grow(0.0, given.id, 2 * MIB), Ok(Place::Memory));
    assert_eq!(keeper.grow(0.0, given.id, 2 * MIB + 1), Ok(Place::File));
    assert_eq!(keeper.grow(0.0, given.id, 8 * MIB), Ok(Place::File));
    assert_eq!(keeper.grow(0.0, given.id, 8 * MIB + 1), Err(Reason::LengthUnknown));
}

#[test]
fn a_disk_that_fails_rests_longer_each_time_and_is_tried_by_one_body() {
    let mut keeper = Keeper::new(terms());
    let first = keeper.arrive(0.0, body(0, 4 * MIB)).unwrap().id;
    assert_eq!(keeper.failed(0.0, first, Fault::Full), Ok(Place::Passing));
    let mut at =
        |now: f64| keeper.arrive(now, body(0, 4 * MIB)).map(|given| (given.id, given.place)).unwrap();
    assert_eq!(at(0.9).1, Place::Passing);
    let (trial, place) = at(1.1);
    assert_eq!(place, Place::File);
    // One tries it, the others do not wait for how that ends.
    assert_eq!(at(1.2).1, Place::Passing);
    assert_eq!(keeper.failed(1.3, trial, Fault::Full), Ok(Place::Passing));
    let mut at =
        |now: f64| keeper.arrive(now, body(0, 4 * MIB)).map(|given| (given.id, given.place)).unwrap();
    assert_eq!(at(3.2).1, Place::Passing);
    let (trial, place) = at(3.4);
    assert_eq!(place, Place::File);
    keeper.whole(3.5, trial);
    assert_eq!(keeper.arrive(3.5, body(0, 4 * MIB)).unwrap().place, Place::File);
}

#[test]
fn a_trial_whose_client_leaves_leaves_the_tier_due() {
    let mut keeper = Keeper::new(terms());
    let first = keeper.arrive(0.0, body(0, 4 * MIB)).unwrap().id;
    let _ = keeper.failed(0.0, first, Fault::Gone);
    let trial = keeper.arrive(2.0, body(0, 4 * MIB)).unwrap();
    keeper.let_go(trial.id);
    assert_eq!(keeper.arrive(2.1, body(0, 4 * MIB)).unwrap().place, Place::File);
}

#[test]
fn what_fails_together_is_one_failure() {
    let mut keeper = Keeper::new(terms());
    let ids: Vec<_> = (0..3).map(|_| keeper.arrive(0.0, body(0, 4 * MIB)).unwrap().id).collect();
    ids.iter().for_each(|id| assert_eq!(keeper.failed(0.0, *id, Fault::Full), Ok(Place::Passing)));
    assert_eq!(keeper.arrive(1.1, body(0, 4 * MIB)).unwrap().place, Place::File);
}

/// The coldest go first, and each is in memory until it is known to be in its file.
#[test]
fn under_pressure_the_coldest_go_to_files() {
    let mut keeper = Keeper::new(Terms { customer: 1.0, ..terms() });
    let ids: Vec<_> = (0..5)
        .map(|i| {
            let id = keeper.arrive(i as f64, body(0, 2 * MIB)).unwrap().id;
            keeper.whole(i as f64, id);
            id
        })
        .collect();
    keeper.used(9.0, ids[0]);
    let moves: Vec<_> = keeper.pressed(10.0).iter().map(|order| order.0).collect();
    assert_eq!(moves, [ids[1], ids[2], ids[3]]);
    assert_eq!(keeper.pressed(10.0), []);
    let before = keeper.holding();
    assert_eq!((before.memory, before.files), (10 * MIB, 6 * MIB));
    moves.iter().for_each(|id| keeper.spilled(*id));
    assert_eq!(keeper.holding().memory, 4 * MIB + 3 * MIB / 4);
}

#[test]
fn a_move_that_fails_leaves_its_body_in_memory() {
    let mut keeper = Keeper::new(Terms { customer: 1.0, ..terms() });
    for i in 0..5 {
        let id = keeper.arrive(i as f64, body(0, 2 * MIB)).unwrap().id;
        keeper.whole(i as f64, id);
    }
    let moves = keeper.pressed(10.0);
    assert_eq!(keeper.failed(10.0, moves[0].0, Fault::InputOutput), Ok(Place::Memory));
    assert_eq!(keeper.holding().memory, 10 * MIB);
}

#[test]
fn bounds_lowered_below_what_is_held_leave_that_alone() {
    let mut keeper = Keeper::new(terms());
    let kept = keeper.arrive(0.0, body(0, 2 * MIB)).unwrap();
    keeper.change(Terms { memory_all: MIB, memory_one: MIB / 4, files: None, ..terms() });
    assert_eq!(keeper.holding().kept, 2 * MIB);
    assert_eq!(keeper.arrive(0.0, body(0, MIB)), Err(Reason::NoWindow));
    keeper.let_go(kept.id);
    assert_eq!(keeper.arrive(0.0, body(0, MIB / 8)).unwrap().place, Place::Memory);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { customer: usize, table_type: usize, length: Option<u64> },
    Grow(usize, u64),
    Whole(usize),
    Pressed,
    Spilled(usize),
    Failed(usize),
    LetGo(usize),
    Beside(u64),
    Wait(f64),
}

fn step() -> impl Strategy<Value = Step> {
    let length = prop_oneof![0..4 * MIB, 0..70 * MIB];
    prop_oneof![
        4 => (0..3usize, 0..2usize, prop::option::weighted(0.8, length))
            .prop_map(|(customer, table_type, length)| Step::Arrive { customer, table_type, length }),
        2 => (0..40usize, 0..MIB).prop_map(|(at, more)| Step::Grow(at, more)),
        2 => (0..40usize).prop_map(Step::Whole),
        1 => Just(Step::Pressed),
        1 => (0..40usize).prop_map(Step::Spilled),
        1 => (0..40usize).prop_map(Step::Failed),
        3 => (0..40usize).prop_map(Step::LetGo),
        1 => (0..MIB).prop_map(Step::Beside),
        1 => (0.0..3.0f64).prop_map(Step::Wait),
    ]
}

proptest! {
    // The same cases each time: a verdict must not hang on a draw.
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Whatever comes in whatever order: the bounds hold for all, each customer and each table type, and what has
    /// been let go of is held no more.
    #[test]
    fn the_bounds_hold_whatever_happens(steps in prop::collection::vec(step(), 1..200)) {
        let terms = Terms { table_type: 0.75, ..terms() };
        let mut keeper = Keeper::new(terms.clone());
        // Number, customer, how much has come, and whether more may.
        let mut live: Vec<(BodyId, usize, u64, bool)> = Vec::new();
        let mut now = 0.0;
        for step in steps {
            match step {
                Step::Arrive { customer, table_type, length } => {
                    let before = keeper.holding();
                    match keeper.arrive(now, Arrival { customer, table_type, length }) {
                        Ok(given) => live.push((given.id, customer, 0, length.is_none())),
                        Err(_) => prop_assert_eq!(keeper.holding(), before),
                    }
                }
                Step::Grow(at, more) if !live.is_empty() => {
                    let at = at % live.len();
                    if live[at].3 {
                        live[at].2 += more;
                        if keeper.grow(now, live[at].0, live[at].2).is_err() {
                            keeper.let_go(live.swap_remove(at).0);
                        }
                    }
                }
                Step::Whole(at) if !live.is_empty() => {
                    let at = at % live.len();
                    keeper.whole(now, live[at].0);
                    live[at].3 = false;
                }
                Step::Pressed => drop(keeper.pressed(now)),
                Step::Spilled(at) if !live.is_empty() => keeper.spilled(live[at % live.len()].0),
                Step::Failed(at) if !live.is_empty() => {
                    let at = at % live.len();
                    let _ = keeper.failed(now, live[at].0, Fault::Full);
                }
                Step::LetGo(at) if !live.is_empty() => {
                    let at = at % live.len();
                    keeper.let_go(live.swap_remove(at).0);
                }
                Step::Beside(bytes) => keeper.held_beside(Kind::Buffers, bytes),
                Step::Wait(seconds) => now += seconds,
                _ => {}
            }
            let holding = keeper.holding();
            prop_assert_eq!(holding.bodies, live.len());
            // What is beside is told, not asked for: only bodies are held to the bound.
            prop_assert!(holding.kept <= terms.memory_all);
            prop_assert!(holding.files <= terms.files.as_ref().unwrap().all);
        }
        live.into_iter().for_each(|body| keeper.let_go(body.0));
        let holding = keeper.holding();
        prop_assert_eq!((holding.bodies, holding.kept, holding.files), (0, 0, 0));
    }

    /// A place is the first that has room: nothing that fits the memory goes to a file, and nothing that fits a file
    /// passes, as long as nothing is held and the disk works.
    #[test]
    fn an_empty_keeper_gives_the_best_place(length in 0..70 * MIB) {
        let given = Keeper::new(Terms { customer: 1.0, ..terms() }).arrive(0.0, body(0, length));
        let expected = match length {
            l if l > 64 * MIB => Err(Reason::TooLong),
            l if l <= 2 * MIB => Ok(Place::Memory),
            l if l <= 8 * MIB => Ok(Place::File),
            _ => Ok(Place::Passing),
        };
        prop_assert_eq!(given.map(|given| given.place), expected);
    }
}
