//! All interleavings of a plan's book with an abstract log: whatever leaders, operators and clocks offer is on the way for
//! as long as it likes, and is lost, agreed on, or agreed on twice, in any order. So a leader that crashed, one that was
//! put off, and both sides of a partition are in it. What must hold is asked of every state.

mod common;

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use common::*;
use dunepond_rebalance::{
    Agreed, By, Finish, MoveError, Next, Pace, Pause, Plan, PlanProgress, Seen, Step, order,
};
use dunepond_shard_map::{MapTransition, VerifiedMap, verify_transition};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

const PACE: Pace = Pace { at_once: 1, most_changed: 1.0 };
/// Offers on the way at once.
const ON_THE_WAY: usize = 2;
/// Words of operators, and versions withdrawn by their deadline, in one run.
const WORDS: u8 = 2;
const LATE: u8 = 1;

/// How the rules are weakened, to see that the model notices.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Whole,
    /// Voters take any version that proves, whatever the book says.
    AnyVersion,
    /// A step counts as done once its version is proposed.
    DoneAtOnce,
}

/// What is on its way into the log.
#[derive(Clone, Debug)]
enum Item {
    Move(Agreed),
    /// Number, the new map, and who sent it: the plan's leader or an operator.
    Propose(u64, Arc<MapTransition>, bool),
    Filled(u64),
    Confirm(u64),
    Withdraw(u64),
}

#[derive(Clone, Debug)]
struct Open {
    number: u64,
    moving: Arc<MapTransition>,
    filled: bool,
    /// A step of the plan: its id and wave, and whether it leads back.
    step: Option<(String, String, bool)>,
}

#[derive(Clone, Debug)]
struct World {
    book: PlanProgress,
    proof: VerifiedMap,
    open: Option<Open>,
    highest: u64,
    on_the_way: Vec<Item>,
    words: u8,
    late: u8,
    /// What came into force: plan, wave, whether on the way back.
    steps: Vec<(String, String, bool)>,
    /// Another's version changed the map while a plan was under way.
    foreign: bool,
    print: String,
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.print == other.print
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.print.hash(state);
    }
}

impl World {
    fn seen(&self) -> Seen<'_> {
        Seen {
            open: self.open.as_ref().map(|open| open.number),
            highest: self.highest,
            proof: Some(&self.proof),
            most_changed: 1.0,
        }
    }

    fn printed(mut self) -> Self {
        let Self { proof, highest, words, late, steps, .. } = &self;
        let open = self.open.as_ref().map(|o| (o.number, o.moving.to().digest(), o.filled));
        let way: Vec<String> = self
            .on_the_way
            .iter()
            .map(|item| match item {
                Item::Propose(number, moving, ours) => format!("{number} {} {ours}", moving.to().digest()),
                other => format!("{other:?}"),
            })
            .collect();
        self.print = format!(
            "{:?} {} {open:?} {highest} {way:?} {words} {late} {steps:?} {}",
            self.book,
            proof.digest(),
            self.foreign
        );
        self
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    /// Whoever leads does what the book says next.
    Lead,
    /// All that it needs is filled, and the wait is over.
    Confirm,
    Deadline,
    Word(Agreed),
    /// An operator's own version, with a map that moves the same segment.
    Other,
    Agree(usize, bool),
    Lose(usize),
}

struct Moves {
    rule: Rule,
    plan: Plan,
    steps: Vec<Step>,
    other: Plan,
    other_steps: Vec<Step>,
    first: VerifiedMap,
}

impl Moves {
    fn new(rule: Rule) -> Self {
        let first = proof(&[&["a"], &["b"]]);
        // The second has room only once the first has left.
        let mut plan = plan(vec![moves(1, "b", "a"), moves(0, "a", "c")]);
        plan.nodes.insert("a".to_string(), node("a", None, Some(1)));
        let mut other = plan.clone();
        (other.id, other.operations) = ("q".to_string(), vec![moves(0, "a", "b")]);
        let steps = order(&plan, &first, PACE, |_| false).unwrap();
        let other_steps = order(&other, &first, PACE, |_| false).unwrap();
        Self { rule, plan, steps, other, other_steps, first }
    }

    fn taken(plan: &Plan, steps: &[Step]) -> Agreed {
        Agreed::Taken { plan: Box::new(plan.clone()), steps: steps.to_vec(), at_once: 1 }
    }

    fn agree(&self, world: &mut World, item: Item) -> Result<(), MoveError> {
        match item {
            Item::Move(entry) => {
                let mut book = std::mem::take(&mut world.book);
                let applied = book.apply(entry, &world.seen());
                world.book = book;
                applied?;
            }
            Item::Propose(number, moving, ours) => {
                let wrong = || MoveError::Number { said: number, expected: world.highest + 1 };
                if world.open.is_some() || number != world.highest + 1 {
                    return Err(wrong());
                }
                if self.rule != Rule::AnyVersion {
                    world.book.allows(number, Some(moving.to().digest()))?;
                }
                let moving = verify_transition(&world.proof, moving.to()).map_err(|_| wrong())?;
                let filled = moving.required_fills().is_empty();
                let running = world.book.running.as_ref();
                let begun = running.and_then(|running| running.begun.as_ref());
                let is_step = begun.is_some_and(|b| b.number == number && b.digest == moving.to().digest());
                let step = running.filter(|_| is_step).map(|running| {
                    let wave = running.wave().map_or(String::new(), ToString::to_string);
                    (running.plan.id.clone(), wave, running.back.is_some())
                });
                world.foreign |= running.is_some() && step.is_none() && !ours;
                // A version of the plan that is none of its steps any more.
                world.foreign |= ours && step.is_none();
                world.highest = number;
                if self.rule == Rule::DoneAtOnce {
                    world.book.ended(number, None);
                }
                world.open = Some(Open { number, moving: Arc::new(moving), filled, step });
            }
            Item::Filled(number) => {
                if let Some(open) = world.open.as_mut().filter(|open| open.number == number) {
                    open.filled = true;
                }
            }
            Item::Confirm(number) => {
                if let Some(open) = world.open.take_if(|open| open.number == number && open.filled) {
                    let needs = open.moving.required_fills().iter();
                    let needs: Vec<_> = needs.map(|need| (need.segment, need.replica.clone())).collect();
                    let needs = needs.iter().map(|(id, node)| (*id, node.as_str()));
                    world.proof = open.moving.to().with_filled(needs);
                    world.book.ended(number, None);
                    world.steps.extend(open.step);
                }
            }
            Item::Withdraw(number) => {
                if world.open.take_if(|open| open.number == number).is_some() {
                    world.book.ended(number, Some("taken back"));
                }
            }
        }
        Ok(())
    }

    /// Segments that `a` has at once at most: what both maps give it.
    fn at_a(world: &World) -> usize {
        let held = |proof: &VerifiedMap| -> BTreeSet<u64> {
            let of_a = proof.segments().filter(|s| s.replicas.iter().any(|h| h.node == "a"));
            of_a.map(|s| s.keys.from).collect()
        };
        let mut all = held(&world.proof);
        all.extend(world.open.iter().flat_map(|open| held(open.moving.to())));
        all.len()
    }

    fn held(proof: &VerifiedMap) -> Vec<(u64, String, Vec<String>)> {
        let one = |s: &dunepond_shard_map::Segment| {
            (s.id, s.owner.clone(), s.replicas.iter().map(|h| h.node.clone()).collect())
        };
        proof.segments().map(one).collect()
    }
}

impl Model for Moves {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let world = World {
            book: PlanProgress::default(),
            proof: self.first.clone(),
            open: None,
            highest: 1,
            on_the_way: vec![Item::Move(Self::taken(&self.plan, &self.steps))],
            words: 0,
            late: 0,
            steps: Vec::new(),
            foreign: false,
            print: String::new(),
        };
        vec![world.printed()]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        for at in 0..world.on_the_way.len() {
            actions.extend([Act::Agree(at, false), Act::Agree(at, true), Act::Lose(at)]);
        }
        if world.on_the_way.len() >= ON_THE_WAY {
            return;
        }
        actions.push(Act::Lead);
        if world.open.is_some() {
            actions.push(Act::Confirm);
            if world.late < LATE {
                actions.push(Act::Deadline);
            }
        }
        if world.words < WORDS {
            let (plan, who) = (self.plan.id.clone(), "an operator".to_string());
            actions.push(Act::Other);
            actions.push(Act::Word(Self::taken(&self.other, &self.other_steps)));
            actions.push(Act::Word(Agreed::Withdrawn {
                plan: plan.clone(),
                who: who.clone(),
                why: String::new(),
            }));
            let paused = world.book.running.as_ref().is_some_and(|running| running.paused.is_some());
            actions.push(Act::Word(match paused {
                true => Agreed::Resumed { plan, by: By::Operator(who) },
                false => Agreed::Paused { plan, why: Pause::Word { who } },
            }));
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        match act {
            Act::Agree(at, stays) => {
                let item = world.on_the_way[at].clone();
                if !stays {
                    world.on_the_way.remove(at);
                }
                // Refused by all voters alike: nothing changes.
                let _ = self.agree(&mut world, item);
            }
            Act::Lose(at) => drop(world.on_the_way.remove(at)),
            Act::Lead => {
                let item = match world.book.next(&world.seen(), true) {
                    Next::Nothing(_) => return None,
                    Next::Enter(entry) => Item::Move(entry),
                    Next::Propose { number, moving } => Item::Propose(number, moving.into(), true),
                    Next::Withdraw { number, .. } => Item::Withdraw(number),
                };
                world.on_the_way.push(item);
            }
            // Late ones are refused by their number, which the model of agreement looks at.
            Act::Confirm => {
                let number = world.open.as_ref()?.number;
                self.agree(&mut world, Item::Filled(number)).ok()?;
                self.agree(&mut world, Item::Confirm(number)).ok()?;
            }
            Act::Deadline => {
                world.on_the_way.push(Item::Withdraw(world.open.as_ref()?.number));
                world.late += 1;
            }
            Act::Word(entry) => {
                world.on_the_way.push(Item::Move(entry));
                world.words += 1;
            }
            Act::Other => {
                let moving = self.other_steps[0].wave.moving(&world.proof, 0).ok()?;
                world.on_the_way.push(Item::Propose(world.highest + 1, moving.into(), false));
                world.words += 1;
            }
        }
        Some(world.printed())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn ends_once(_: &Moves, world: &World) -> bool {
            let mut ids: Vec<_> = world.book.ended.iter().map(|ended| &ended.id).collect();
            ids.extend(world.book.running.iter().map(|running| &running.plan.id));
            ids.iter().collect::<BTreeSet<_>>().len() == ids.len()
        }
        fn in_order(model: &Moves, world: &World) -> bool {
            let of = |id: &str, steps: &[Step]| {
                let on: Vec<_> = world.steps.iter().filter(|(p, _, back)| p == id && !back).collect();
                let planned = steps.iter().map(|step| step.wave.to_string());
                on.len() <= steps.len() && on.iter().zip(planned).all(|((_, wave, _), said)| *wave == said)
            };
            of("p", &model.steps) && of("q", &model.other_steps)
        }
        fn done_is_in_force(_: &Moves, world: &World) -> bool {
            let Some(running) = world.book.running.as_ref().filter(|r| r.back.is_none()) else { return true };
            let on = world.steps.iter().filter(|(plan, _, back)| *plan == running.plan.id && !back);
            on.count() == running.done
        }
        fn ended_as_said(model: &Moves, world: &World) -> bool {
            // Only where nothing else came in between.
            let [ended] = world.book.ended.iter().collect::<Vec<_>>()[..] else { return true };
            if world.book.running.is_some() || ended.id != "p" {
                return true;
            }
            match &ended.how {
                Finish::Done => world.steps.iter().filter(|step| step.0 == "p").count() == model.steps.len(),
                Finish::Undone { .. } => {
                    let others = world.steps.iter().any(|step| step.0 != "p");
                    let others = others || world.steps.len() as u64 != world.highest - 1;
                    others || Moves::held(&world.proof) == Moves::held(&model.first)
                }
            }
        }
        fn ended(world: &World, is: impl Fn(&Finish) -> bool) -> bool {
            world.book.ended.iter().any(|ended| ended.id == "p" && is(&ended.how))
        }
        vec![
            Property::always("room", |_: &Moves, world: &World| Moves::at_a(world) <= 1),
            Property::always("a plan ends once", ends_once),
            Property::always("no step twice, none left out", in_order),
            Property::always("a step counts when it is in force", done_is_in_force),
            Property::always("an end is what it says", ended_as_said),
            Property::always("nothing foreign", |_: &Moves, world: &World| !world.foreign),
            Property::sometimes("done", |_: &Moves, world: &World| ended(world, |how| *how == Finish::Done)),
            Property::sometimes("undone after a step", |_: &Moves, world: &World| {
                let undone = ended(world, |how| matches!(how, Finish::Undone { .. }));
                undone && world.steps.iter().any(|step| step.2)
            }),
        ]
    }
}

/// Every state up to so many acts.
fn checked(rule: Rule, depth: usize, states: usize) -> impl Checker<Moves> {
    let checker = Moves::new(rule).checker().threads(4).target_max_depth(depth).target_state_count(states);
    let checker =
        if rule == Rule::Whole { checker } else { checker.finish_when(HasDiscoveries::AnyFailures) };
    checker.spawn_bfs().join()
}

#[test]
fn a_plan_ends_in_one_way_with_no_step_twice_whatever_is_late_doubled_or_lost() {
    let (depth, states) = (23, 60_000);
    let checker = checked(Rule::Whole, depth, states);
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    let broken: Vec<_> = checker.discoveries().into_keys().collect();
    assert!(broken.iter().all(|name| ["done", "undone after a step"].contains(name)), "{broken:?}");
    assert!(checker.unique_state_count() > 10_000);
}

#[rstest]
#[case(Rule::AnyVersion)]
#[case(Rule::DoneAtOnce)]
fn weakened_it_is_found(#[case] rule: Rule) {
    let checker = checked(rule, 16, 300_000);
    let broken = checker.discoveries();
    let broken: Vec<_> = broken.keys().filter(|name| !name.contains("done")).collect();
    println!(
        "{rule:?}: {broken:?} after {} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    assert!(!broken.is_empty(), "{rule:?}");
}
