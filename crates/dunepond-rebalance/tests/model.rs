//! Model check of a plan's progress over an abstract log: what leaders, operators and clocks propose is in flight for
//! any time, and is lost, committed, or committed twice, in any order. This covers a leader that crashed, one that was
//! delayed, and both sides of a partition. The invariants are checked in every state.

mod common;

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use common::*;
use dunepond_rebalance::{
    CommittedEntry, LeaderAction, PauseReason, Plan, PlanOutcome, PlanProgress, RebalanceContext,
    RebalanceError, ResumeTrigger, Step, StepLimits, VersionEnd, order_steps,
};
use dunepond_shard_map::{MapTransition, VerifiedMap, verify_transition};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

const LIMITS: StepLimits = StepLimits { max_actions: 1, max_changed_ratio: 1.0 };
/// Proposals in flight at once.
const MAX_IN_FLIGHT: usize = 2;
/// Entries of operators, and versions withdrawn by their deadline, in one run.
const MAX_OPERATOR_ENTRIES: u8 = 2;
const MAX_EXPIRED_VERSIONS: u8 = 1;

/// How the rules are weakened, to see that the model notices.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rule {
    Unchanged,
    /// Voters accept any version with a valid map, whatever the plan's progress says.
    AnyVersion,
    /// A step counts as done once its version is proposed.
    DoneWhenProposed,
}

/// What is in flight to the log.
#[derive(Clone, Debug)]
enum Item {
    Plan(CommittedEntry),
    /// Number, the new map, and who sent it: the plan's leader or an operator.
    Propose(u64, Arc<MapTransition>, bool),
    Filled(u64),
    Confirm(u64),
    Withdraw(u64),
}

#[derive(Clone, Debug)]
struct Open {
    number: u64,
    transition: Arc<MapTransition>,
    filled: bool,
    /// A step of the plan: its id and batch, and whether it leads back.
    step: Option<(String, String, bool)>,
}

#[derive(Clone, Debug)]
struct World {
    progress: PlanProgress,
    map: VerifiedMap,
    open: Option<Open>,
    highest: u64,
    in_flight: Vec<Item>,
    operator_entries: u8,
    expired: u8,
    /// What was activated: plan, batch, whether it leads back.
    steps: Vec<(String, String, bool)>,
    /// Another's version changed the map while a plan was under way.
    foreign: bool,
    /// All of the state as text, for comparison.
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
    fn context(&self) -> RebalanceContext<'_> {
        RebalanceContext {
            open_version: self.open.as_ref().map(|open| open.number),
            highest_version: self.highest,
            active_map: Some(&self.map),
            max_changed_ratio: 1.0,
        }
    }

    fn with_print(mut self) -> Self {
        let Self { map, highest, operator_entries, expired, steps, .. } = &self;
        let open = self.open.as_ref().map(|o| (o.number, o.transition.to().digest(), o.filled));
        let in_flight: Vec<String> = self
            .in_flight
            .iter()
            .map(|item| match item {
                Item::Propose(number, transition, ours) => {
                    format!("{number} {} {ours}", transition.to().digest())
                }
                other => format!("{other:?}"),
            })
            .collect();
        self.print = format!(
            "{:?} {} {open:?} {highest} {in_flight:?} {operator_entries} {expired} {steps:?} {}",
            self.progress,
            map.digest(),
            self.foreign
        );
        self
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    /// The leader does what the progress says next.
    Lead,
    /// All required fills are complete, and the wait is over.
    Confirm,
    Deadline,
    Operator(CommittedEntry),
    /// An operator's own version, with a map that moves the same segment.
    OperatorVersion,
    /// The item is committed, and whether it stays in flight.
    Commit(usize, bool),
    Lose(usize),
}

struct PlanModel {
    rule: Rule,
    plan: Plan,
    steps: Vec<Step>,
    other: Plan,
    other_steps: Vec<Step>,
    first: VerifiedMap,
}

impl PlanModel {
    fn new(rule: Rule) -> Self {
        let first = map_of(&[&["a"], &["b"]]);
        // The second has capacity only once the first has left.
        let mut plan = plan(vec![moves(1, "b", "a"), moves(0, "a", "c")]);
        plan.nodes.insert("a".to_string(), node("a", None, Some(1)));
        let mut other = plan.clone();
        (other.id, other.operations) = ("q".to_string(), vec![moves(0, "a", "b")]);
        let steps = order_steps(&plan, &first, LIMITS, |_| false).unwrap();
        let other_steps = order_steps(&other, &first, LIMITS, |_| false).unwrap();
        Self { rule, plan, steps, other, other_steps, first }
    }

    fn accepted(plan: &Plan, steps: &[Step]) -> CommittedEntry {
        CommittedEntry::Accepted { plan: Box::new(plan.clone()), steps: steps.to_vec(), max_actions: 1 }
    }

    fn commit(&self, world: &mut World, item: Item) -> Result<(), RebalanceError> {
        match item {
            Item::Plan(entry) => {
                let mut progress = std::mem::take(&mut world.progress);
                let applied = progress.apply(entry, &world.context());
                world.progress = progress;
                applied?;
            }
            Item::Propose(number, transition, ours) => {
                let wrong = || RebalanceError::WrongNumber { given: number, expected: world.highest + 1 };
                if world.open.is_some() || number != world.highest + 1 {
                    return Err(wrong());
                }
                if self.rule != Rule::AnyVersion {
                    world.progress.check_version(number, Some(transition.to().digest()))?;
                }
                let transition = verify_transition(&world.map, transition.to()).map_err(|_| wrong())?;
                let filled = transition.required_fills().is_empty();
                let running = world.progress.running.as_ref();
                let started = running.and_then(|running| running.started.as_ref());
                let is_step =
                    started.is_some_and(|s| s.number == number && s.digest == transition.to().digest());
                let step = running.filter(|_| is_step).map(|running| {
                    let batch = running.current_batch().map_or(String::new(), ToString::to_string);
                    (running.plan.id.clone(), batch, running.rollback.is_some())
                });
                world.foreign |= running.is_some() && step.is_none() && !ours;
                // A version of the plan that is none of its steps any more.
                world.foreign |= ours && step.is_none();
                world.highest = number;
                if self.rule == Rule::DoneWhenProposed {
                    world.progress.on_version_ended(number, VersionEnd::Activated);
                }
                world.open = Some(Open { number, transition: Arc::new(transition), filled, step });
            }
            Item::Filled(number) => {
                if let Some(open) = world.open.as_mut().filter(|open| open.number == number) {
                    open.filled = true;
                }
            }
            Item::Confirm(number) => {
                if let Some(open) = world.open.take_if(|open| open.number == number && open.filled) {
                    let needs = open.transition.required_fills().iter();
                    let needs: Vec<_> = needs.map(|need| (need.segment, need.replica.clone())).collect();
                    let needs = needs.iter().map(|(id, node)| (*id, node.as_str()));
                    world.map = open.transition.to().with_filled(needs);
                    world.progress.on_version_ended(number, VersionEnd::Activated);
                    world.steps.extend(open.step);
                }
            }
            Item::Withdraw(number) => {
                if world.open.take_if(|open| open.number == number).is_some() {
                    world.progress.on_version_ended(number, VersionEnd::Withdrawn("taken back"));
                }
            }
        }
        Ok(())
    }

    /// Segments that `a` has at once at most: by either map.
    fn segments_at_a(world: &World) -> usize {
        let held_by_a = |map: &VerifiedMap| -> BTreeSet<u64> {
            let of_a = map.segments().filter(|s| s.replicas.iter().any(|h| h.node == "a"));
            of_a.map(|s| s.keys.from).collect()
        };
        let mut all = held_by_a(&world.map);
        all.extend(world.open.iter().flat_map(|open| held_by_a(open.transition.to())));
        all.len()
    }

    fn replicas(map: &VerifiedMap) -> Vec<(u64, String, Vec<String>)> {
        let one = |s: &dunepond_shard_map::Segment| {
            (s.id, s.owner.clone(), s.replicas.iter().map(|h| h.node.clone()).collect())
        };
        map.segments().map(one).collect()
    }
}

impl Model for PlanModel {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let world = World {
            progress: PlanProgress::default(),
            map: self.first.clone(),
            open: None,
            highest: 1,
            in_flight: vec![Item::Plan(Self::accepted(&self.plan, &self.steps))],
            operator_entries: 0,
            expired: 0,
            steps: Vec::new(),
            foreign: false,
            print: String::new(),
        };
        vec![world.with_print()]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        for at in 0..world.in_flight.len() {
            actions.extend([Act::Commit(at, false), Act::Commit(at, true), Act::Lose(at)]);
        }
        if world.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        actions.push(Act::Lead);
        if world.open.is_some() {
            actions.push(Act::Confirm);
            if world.expired < MAX_EXPIRED_VERSIONS {
                actions.push(Act::Deadline);
            }
        }
        if world.operator_entries < MAX_OPERATOR_ENTRIES {
            let (plan, who) = (self.plan.id.clone(), "an operator".to_string());
            actions.push(Act::OperatorVersion);
            actions.push(Act::Operator(Self::accepted(&self.other, &self.other_steps)));
            actions.push(Act::Operator(CommittedEntry::Withdrawn {
                plan: plan.clone(),
                withdrawn_by: who.clone(),
                reason: String::new(),
            }));
            let paused = world.progress.running.as_ref().is_some_and(|running| running.pause.is_some());
            actions.push(Act::Operator(match paused {
                true => CommittedEntry::Resumed { plan, trigger: ResumeTrigger::Operator(who) },
                false => CommittedEntry::Paused { plan, reason: PauseReason::Operator { name: who } },
            }));
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        match act {
            Act::Commit(at, stays) => {
                let item = world.in_flight[at].clone();
                if !stays {
                    world.in_flight.remove(at);
                }
                // Refused by all voters alike: nothing changes.
                let _ = self.commit(&mut world, item);
            }
            Act::Lose(at) => drop(world.in_flight.remove(at)),
            Act::Lead => {
                let item = match world.progress.next_action(&world.context(), true) {
                    LeaderAction::Wait(_) => return None,
                    LeaderAction::Append(entry) => Item::Plan(entry),
                    LeaderAction::Propose { number, transition } => {
                        Item::Propose(number, transition.into(), true)
                    }
                    LeaderAction::Withdraw { number, .. } => Item::Withdraw(number),
                };
                world.in_flight.push(item);
            }
            // Late ones are rejected by their number, which the model of consensus covers.
            Act::Confirm => {
                let number = world.open.as_ref()?.number;
                self.commit(&mut world, Item::Filled(number)).ok()?;
                self.commit(&mut world, Item::Confirm(number)).ok()?;
            }
            Act::Deadline => {
                world.in_flight.push(Item::Withdraw(world.open.as_ref()?.number));
                world.expired += 1;
            }
            Act::Operator(entry) => {
                world.in_flight.push(Item::Plan(entry));
                world.operator_entries += 1;
            }
            Act::OperatorVersion => {
                let transition = self.other_steps[0].forward.transition(&world.map, 0).ok()?;
                world.in_flight.push(Item::Propose(world.highest + 1, transition.into(), false));
                world.operator_entries += 1;
            }
        }
        Some(world.with_print())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn ends_once(_: &PlanModel, world: &World) -> bool {
            let mut ids: Vec<_> = world.progress.ended.iter().map(|ended| &ended.id).collect();
            ids.extend(world.progress.running.iter().map(|running| &running.plan.id));
            ids.iter().collect::<BTreeSet<_>>().len() == ids.len()
        }
        fn in_order(model: &PlanModel, world: &World) -> bool {
            let of = |id: &str, steps: &[Step]| {
                let on: Vec<_> = world.steps.iter().filter(|(p, _, back)| p == id && !back).collect();
                let planned = steps.iter().map(|step| step.forward.to_string());
                on.len() <= steps.len()
                    && on.iter().zip(planned).all(|((_, batch, _), planned)| *batch == planned)
            };
            of("p", &model.steps) && of("q", &model.other_steps)
        }
        fn done_is_active(_: &PlanModel, world: &World) -> bool {
            let Some(running) = world.progress.running.as_ref().filter(|r| r.rollback.is_none()) else {
                return true;
            };
            let on = world.steps.iter().filter(|(plan, _, back)| *plan == running.plan.id && !back);
            on.count() == running.steps_done
        }
        fn ended_as_recorded(model: &PlanModel, world: &World) -> bool {
            // Only where nothing else came in between.
            let [ended] = world.progress.ended.iter().collect::<Vec<_>>()[..] else { return true };
            if world.progress.running.is_some() || ended.id != "p" {
                return true;
            }
            match &ended.outcome {
                PlanOutcome::Done => {
                    world.steps.iter().filter(|step| step.0 == "p").count() == model.steps.len()
                }
                PlanOutcome::Undone { .. } => {
                    let others = world.steps.iter().any(|step| step.0 != "p");
                    let others = others || world.steps.len() as u64 != world.highest - 1;
                    others || PlanModel::replicas(&world.map) == PlanModel::replicas(&model.first)
                }
            }
        }
        fn ended(world: &World, is: impl Fn(&PlanOutcome) -> bool) -> bool {
            world.progress.ended.iter().any(|ended| ended.id == "p" && is(&ended.outcome))
        }
        vec![
            Property::always("capacity", |_: &PlanModel, world: &World| PlanModel::segments_at_a(world) <= 1),
            Property::always("a plan ends once", ends_once),
            Property::always("no step twice, none left out", in_order),
            Property::always("a step counts when it is in force", done_is_active),
            Property::always("an end is what it says", ended_as_recorded),
            Property::always("nothing foreign", |_: &PlanModel, world: &World| !world.foreign),
            Property::sometimes("done", |_: &PlanModel, world: &World| {
                ended(world, |how| *how == PlanOutcome::Done)
            }),
            Property::sometimes("undone after a step", |_: &PlanModel, world: &World| {
                let undone = ended(world, |how| matches!(how, PlanOutcome::Undone { .. }));
                undone && world.steps.iter().any(|step| step.2)
            }),
        ]
    }
}

/// All states up to this depth.
fn checked(rule: Rule, depth: usize, states: usize) -> impl Checker<PlanModel> {
    let checker =
        PlanModel::new(rule).checker().threads(4).target_max_depth(depth).target_state_count(states);
    let checker =
        if rule == Rule::Unchanged { checker } else { checker.finish_when(HasDiscoveries::AnyFailures) };
    checker.spawn_bfs().join()
}

#[test]
fn invariants_hold() {
    let (depth, states) = (23, 60_000);
    let checker = checked(Rule::Unchanged, depth, states);
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    let broken: Vec<_> = checker.discoveries().into_keys().collect();
    assert!(broken.iter().all(|name| ["done", "undone after a step"].contains(name)), "{broken:?}");
    assert!(checker.unique_state_count() > 10_000);
}

#[rstest]
#[case(Rule::AnyVersion)]
#[case(Rule::DoneWhenProposed)]
fn weakened_rules_are_detected(#[case] rule: Rule) {
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
