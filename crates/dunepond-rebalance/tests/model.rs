//! Model check of a plan's progress over an abstract log. Proposals of leaders, operators and timers stay in flight for
//! any time, and are lost, committed, or committed twice, in any order. This covers crashed and delayed leaders and
//! both sides of a partition. The invariants are checked in every visited state.

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
/// Maximum number of proposals in flight at once.
const MAX_IN_FLIGHT: usize = 2;
/// Maximum number of proposals by operators in one run.
const MAX_OPERATOR_ENTRIES: u8 = 2;
/// Maximum number of versions in one run that are withdrawn at their deadline.
const MAX_EXPIRED_VERSIONS: u8 = 1;

/// The rules that voters apply: the real ones, or weakened ones, whose violated invariants the model check has to find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RuleSet {
    /// The real rules.
    Unchanged,
    /// Voters accept any version with a valid map, whatever the plan's progress says.
    AnyVersion,
    /// A step counts as done once its version is proposed.
    DoneWhenProposed,
}

/// A proposal in flight to the log.
#[derive(Clone, Debug)]
enum Item {
    /// An entry about a plan.
    Plan(CommittedEntry),
    /// A version: its number, its map transition, and whether the plan's leader proposed it (otherwise an operator
    /// did).
    Propose(u64, Arc<MapTransition>, bool),
    /// All required fills of the version with this number are complete.
    Filled(u64),
    /// The version with this number becomes active if all its required fills are complete.
    Confirm(u64),
    /// The version with this number is withdrawn.
    Withdraw(u64),
}

/// A step whose version was activated: id of its plan, its batch as text, and whether it is part of the rollback.
type ActivatedStep = (String, String, bool);

/// The proposed version, which is neither active nor withdrawn.
#[derive(Clone, Debug)]
struct OpenVersion {
    number: u64,
    transition: Arc<MapTransition>,
    /// Whether all required fills are complete.
    filled: bool,
    /// The plan's step that the version carries out, if it is one.
    step: Option<ActivatedStep>,
}

/// Replicated state, proposals in flight, and the history that the invariants need.
#[derive(Clone, Debug)]
struct ModelState {
    progress: PlanProgress,
    map: VerifiedMap,
    open: Option<OpenVersion>,
    /// Highest version number used so far.
    highest: u64,
    in_flight: Vec<Item>,
    /// Number of proposals by operators so far.
    operator_entries: u8,
    /// Number of versions withdrawn at their deadline so far.
    expired_versions: u8,
    /// Steps whose versions were activated, in order.
    steps: Vec<ActivatedStep>,
    /// Whether voters accepted a version that does not carry out the running plan's started step: either an operator
    /// proposed it while a plan was running, or the plan's leader proposed it for a step that was no longer the started
    /// one when the proposal was committed.
    has_foreign_version: bool,
    /// All other fields as text, for comparison and hashing.
    fingerprint: String,
}

impl PartialEq for ModelState {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.fingerprint.hash(hasher);
    }
}

impl ModelState {
    fn context(&self) -> RebalanceContext<'_> {
        RebalanceContext {
            open_version: self.open.as_ref().map(|open| open.number),
            highest_version: self.highest,
            active_map: Some(&self.map),
            max_changed_ratio: 1.0,
        }
    }

    /// Recomputes the fingerprint after another field has changed.
    fn with_fingerprint(mut self) -> Self {
        let Self { map, highest, operator_entries, expired_versions, steps, .. } = &self;
        let open = self.open.as_ref().map(|open| (open.number, open.transition.to().digest(), open.filled));
        let in_flight: Vec<String> = self
            .in_flight
            .iter()
            .map(|item| match item {
                Item::Propose(number, transition, is_from_leader) => {
                    format!("{number} {} {is_from_leader}", transition.to().digest())
                }
                other => format!("{other:?}"),
            })
            .collect();
        self.fingerprint = format!(
            "{:?} {} {open:?} {highest} {in_flight:?} {operator_entries} {expired_versions} {steps:?} {}",
            self.progress,
            map.digest(),
            self.has_foreign_version
        );
        self
    }
}

/// A transition of the model.
#[derive(Clone, Debug, PartialEq)]
enum ModelAction {
    /// The leader carries out the plan's next action.
    LeaderTurn,
    /// All required fills of the open version are complete, and it becomes active.
    Complete,
    /// The deadline of the open version passes, so that its withdrawal is proposed.
    Expire,
    /// An operator proposes an entry about a plan.
    Operator(CommittedEntry),
    /// An operator proposes a version with a map that moves a segment of the plan.
    OperatorVersion,
    /// The proposal in flight with this index is committed. If the flag is set, it stays in flight and can be committed
    /// again.
    Commit(usize, bool),
    /// The proposal in flight with this index is lost.
    Lose(usize),
}

/// A map, a plan, and another plan that operators offer.
struct PlanModel {
    rules: RuleSet,
    plan: Plan,
    steps: Vec<Step>,
    other: Plan,
    other_steps: Vec<Step>,
    initial_map: VerifiedMap,
}

impl PlanModel {
    fn new(rules: RuleSet) -> Self {
        let initial_map = map_of(&[&["a"], &["b"]]);
        // Node `a` has capacity for one segment: segment 1 can move there only once segment 0 has left.
        let mut plan = plan(vec![move_segment(1, "b", "a"), move_segment(0, "a", "c")]);
        plan.nodes.insert("a".to_string(), node("a", None, Some(1)));
        let mut other = plan.clone();
        (other.id, other.operations) = ("q".to_string(), vec![move_segment(0, "a", "b")]);
        let steps = order_steps(&plan, &initial_map, LIMITS, |_| false).unwrap();
        let other_steps = order_steps(&other, &initial_map, LIMITS, |_| false).unwrap();
        Self { rules, plan, steps, other, other_steps, initial_map }
    }

    /// The entry that accepts the plan.
    fn accepted(plan: &Plan, steps: &[Step]) -> CommittedEntry {
        CommittedEntry::Accepted { plan: Box::new(plan.clone()), steps: steps.to_vec(), max_actions: 1 }
    }

    /// Commits an item, or returns why voters reject it.
    fn commit(&self, state: &mut ModelState, item: Item) -> Result<(), RebalanceError> {
        match item {
            Item::Plan(entry) => {
                let mut progress = std::mem::take(&mut state.progress);
                let applied = progress.apply(entry, &state.context());
                state.progress = progress;
                applied?;
            }
            Item::Propose(number, transition, is_from_leader) => {
                let wrong_number =
                    || RebalanceError::WrongNumber { given: number, expected: state.highest + 1 };
                if state.open.is_some() || number != state.highest + 1 {
                    return Err(wrong_number());
                }
                if self.rules != RuleSet::AnyVersion {
                    state.progress.check_version(number, Some(transition.to().digest()))?;
                }
                let transition =
                    verify_transition(&state.map, transition.to()).map_err(|_| wrong_number())?;
                let filled = transition.required_fills().is_empty();
                let running = state.progress.running.as_ref();
                let started = running.and_then(|running| running.started.as_ref());
                let is_step = started
                    .is_some_and(|step| step.number == number && step.digest == transition.to().digest());
                let step = running.filter(|_| is_step).map(|running| {
                    let batch = running.current_batch().map_or(String::new(), ToString::to_string);
                    (running.plan.id.clone(), batch, running.rollback.is_some())
                });
                state.has_foreign_version |= running.is_some() && step.is_none() && !is_from_leader;
                // A version that the plan's leader proposed for a step that is no longer the started one is foreign as well.
                state.has_foreign_version |= is_from_leader && step.is_none();
                state.highest = number;
                if self.rules == RuleSet::DoneWhenProposed {
                    state.progress.on_version_ended(number, VersionEnd::Activated);
                }
                state.open = Some(OpenVersion { number, transition: Arc::new(transition), filled, step });
            }
            Item::Filled(number) => {
                if let Some(open) = state.open.as_mut().filter(|open| open.number == number) {
                    open.filled = true;
                }
            }
            Item::Confirm(number) => {
                if let Some(open) = state.open.take_if(|open| open.number == number && open.filled) {
                    let fills = open.transition.required_fills().iter();
                    let fills: Vec<_> = fills.map(|fill| (fill.segment, fill.replica.clone())).collect();
                    let fills = fills.iter().map(|(id, node)| (*id, node.as_str()));
                    state.map = open.transition.to().with_filled(fills);
                    state.progress.on_version_ended(number, VersionEnd::Activated);
                    state.steps.extend(open.step);
                }
            }
            Item::Withdraw(number) => {
                if state.open.take_if(|open| open.number == number).is_some() {
                    state.progress.on_version_ended(number, VersionEnd::Withdrawn("withdrawn"));
                }
            }
        }
        Ok(())
    }

    /// Number of segments that node `a` has in the active map or in the map of the open version, which is proposed and
    /// neither active nor withdrawn yet.
    fn segments_at_a(state: &ModelState) -> usize {
        let first_keys_at_a = |map: &VerifiedMap| -> BTreeSet<u64> {
            let segments =
                map.segments().filter(|segment| segment.replicas.iter().any(|replica| replica.node == "a"));
            segments.map(|segment| segment.keys.from).collect()
        };
        let mut all = first_keys_at_a(&state.map);
        all.extend(state.open.iter().flat_map(|open| first_keys_at_a(open.transition.to())));
        all.len()
    }

    /// Id, owner and replica nodes of each segment.
    fn owners_and_replicas(map: &VerifiedMap) -> Vec<(u64, String, Vec<String>)> {
        let describe = |segment: &dunepond_shard_map::Segment| {
            let nodes = segment.replicas.iter().map(|replica| replica.node.clone()).collect();
            (segment.id, segment.owner.clone(), nodes)
        };
        map.segments().map(describe).collect()
    }
}

impl Model for PlanModel {
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let state = ModelState {
            progress: PlanProgress::default(),
            map: self.initial_map.clone(),
            open: None,
            highest: 1,
            in_flight: vec![Item::Plan(Self::accepted(&self.plan, &self.steps))],
            operator_entries: 0,
            expired_versions: 0,
            steps: Vec::new(),
            has_foreign_version: false,
            fingerprint: String::new(),
        };
        vec![state.with_fingerprint()]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<ModelAction>) {
        for index in 0..state.in_flight.len() {
            actions.extend([
                ModelAction::Commit(index, false),
                ModelAction::Commit(index, true),
                ModelAction::Lose(index),
            ]);
        }
        if state.in_flight.len() >= MAX_IN_FLIGHT {
            return;
        }
        actions.push(ModelAction::LeaderTurn);
        if state.open.is_some() {
            actions.push(ModelAction::Complete);
            if state.expired_versions < MAX_EXPIRED_VERSIONS {
                actions.push(ModelAction::Expire);
            }
        }
        if state.operator_entries < MAX_OPERATOR_ENTRIES {
            let (plan, operator) = (self.plan.id.clone(), "an operator".to_string());
            actions.push(ModelAction::OperatorVersion);
            actions.push(ModelAction::Operator(Self::accepted(&self.other, &self.other_steps)));
            actions.push(ModelAction::Operator(CommittedEntry::Withdrawn {
                plan: plan.clone(),
                withdrawn_by: operator.clone(),
                reason: String::new(),
            }));
            let is_paused = state.progress.running.as_ref().is_some_and(|running| running.pause.is_some());
            actions.push(ModelAction::Operator(match is_paused {
                true => CommittedEntry::Resumed { plan, trigger: ResumeTrigger::Operator(operator) },
                false => CommittedEntry::Paused { plan, reason: PauseReason::Operator { name: operator } },
            }));
        }
    }

    fn next_state(&self, before: &ModelState, action: ModelAction) -> Option<ModelState> {
        let mut state = before.clone();
        match action {
            ModelAction::Commit(index, stays_in_flight) => {
                let item = state.in_flight[index].clone();
                if !stays_in_flight {
                    state.in_flight.remove(index);
                }
                // All voters reject the same items, and a rejected item changes nothing.
                let _ = self.commit(&mut state, item);
            }
            ModelAction::Lose(index) => drop(state.in_flight.remove(index)),
            ModelAction::LeaderTurn => {
                let item = match state.progress.next_action(&state.context(), true) {
                    LeaderAction::Wait(_) => return None,
                    LeaderAction::Append(entry) => Item::Plan(entry),
                    LeaderAction::Propose { number, transition } => {
                        Item::Propose(number, transition.into(), true)
                    }
                    LeaderAction::Withdraw { number, .. } => Item::Withdraw(number),
                };
                state.in_flight.push(item);
            }
            // Late confirmations are not modelled here: they are rejected by their number, which the model of the
            // consensus crate covers.
            ModelAction::Complete => {
                let number = state.open.as_ref()?.number;
                self.commit(&mut state, Item::Filled(number)).ok()?;
                self.commit(&mut state, Item::Confirm(number)).ok()?;
            }
            ModelAction::Expire => {
                state.in_flight.push(Item::Withdraw(state.open.as_ref()?.number));
                state.expired_versions += 1;
            }
            ModelAction::Operator(entry) => {
                state.in_flight.push(Item::Plan(entry));
                state.operator_entries += 1;
            }
            ModelAction::OperatorVersion => {
                let transition = self.other_steps[0].forward.transition(&state.map, 0).ok()?;
                state.in_flight.push(Item::Propose(state.highest + 1, transition.into(), false));
                state.operator_entries += 1;
            }
        }
        Some(state.with_fingerprint())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn ends_once(_: &PlanModel, state: &ModelState) -> bool {
            let mut ids: Vec<_> = state.progress.ended.iter().map(|ended| &ended.id).collect();
            ids.extend(state.progress.running.iter().map(|running| &running.plan.id));
            ids.iter().collect::<BTreeSet<_>>().len() == ids.len()
        }
        fn steps_are_in_order(model: &PlanModel, state: &ModelState) -> bool {
            let is_in_order = |id: &str, steps: &[Step]| {
                let activated: Vec<_> =
                    state.steps.iter().filter(|(plan, _, is_rollback)| plan == id && !is_rollback).collect();
                let planned = steps.iter().map(|step| step.forward.to_string());
                activated.len() <= steps.len()
                    && activated.iter().zip(planned).all(|((_, batch, _), planned)| *batch == planned)
            };
            is_in_order("p", &model.steps) && is_in_order("q", &model.other_steps)
        }
        fn done_steps_are_active(_: &PlanModel, state: &ModelState) -> bool {
            let Some(running) = state.progress.running.as_ref().filter(|running| running.rollback.is_none())
            else {
                return true;
            };
            let activated =
                state.steps.iter().filter(|(plan, _, is_rollback)| *plan == running.plan.id && !is_rollback);
            activated.count() == running.steps_done
        }
        fn outcome_matches_history(model: &PlanModel, state: &ModelState) -> bool {
            // Checked only if no other plan has ended or is running.
            let [ended] = state.progress.ended.iter().collect::<Vec<_>>()[..] else { return true };
            if state.progress.running.is_some() || ended.id != "p" {
                return true;
            }
            match &ended.outcome {
                PlanOutcome::Done => {
                    state.steps.iter().filter(|step| step.0 == "p").count() == model.steps.len()
                }
                PlanOutcome::Undone { .. } => {
                    let has_other_versions = state.steps.iter().any(|step| step.0 != "p");
                    let has_other_versions =
                        has_other_versions || state.steps.len() as u64 != state.highest - 1;
                    has_other_versions
                        || PlanModel::owners_and_replicas(&state.map)
                            == PlanModel::owners_and_replicas(&model.initial_map)
                }
            }
        }
        fn has_ended(state: &ModelState, is_outcome: impl Fn(&PlanOutcome) -> bool) -> bool {
            state.progress.ended.iter().any(|ended| ended.id == "p" && is_outcome(&ended.outcome))
        }
        vec![
            Property::always("node `a` keeps its capacity", |_: &PlanModel, state: &ModelState| {
                PlanModel::segments_at_a(state) <= 1
            }),
            Property::always("each plan ends at most once", ends_once),
            Property::always("steps are activated in order, each once", steps_are_in_order),
            Property::always("steps count exactly when they are active", done_steps_are_active),
            Property::always("the outcome matches the history", outcome_matches_history),
            Property::always("only the running plan changes the map", |_: &PlanModel, state: &ModelState| {
                !state.has_foreign_version
            }),
            Property::sometimes("done", |_: &PlanModel, state: &ModelState| {
                has_ended(state, |outcome| *outcome == PlanOutcome::Done)
            }),
            Property::sometimes("undone after a step", |_: &PlanModel, state: &ModelState| {
                let undone = has_ended(state, |outcome| matches!(outcome, PlanOutcome::Undone { .. }));
                undone && state.steps.iter().any(|step| step.2)
            }),
        ]
    }
}

/// Checks states up to this depth, until about this number of states is reached. With weakened rules the check stops at
/// the first violated invariant.
fn check_model(rules: RuleSet, depth: usize, states: usize) -> impl Checker<PlanModel> {
    let checker =
        PlanModel::new(rules).checker().threads(4).target_max_depth(depth).target_state_count(states);
    let checker =
        if rules == RuleSet::Unchanged { checker } else { checker.finish_when(HasDiscoveries::AnyFailures) };
    checker.spawn_bfs().join()
}

// Guards against lost, repeated or reordered proposals that skip, repeat or miscount steps or exceed a capacity.
#[test]
fn invariants_hold() {
    let (depth, states) = (23, 60_000);
    let checker = check_model(RuleSet::Unchanged, depth, states);
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    let discovered: Vec<_> = checker.discoveries().into_keys().collect();
    assert!(discovered.iter().all(|name| ["done", "undone after a step"].contains(name)), "{discovered:?}");
    assert!(checker.unique_state_count() > 10_000);
}

// Guards against a model that passes because it cannot detect a fault.
#[rstest]
#[case(RuleSet::AnyVersion)]
#[case(RuleSet::DoneWhenProposed)]
fn weakened_rules_are_detected(#[case] rules: RuleSet) {
    let checker = check_model(rules, 16, 300_000);
    let discoveries = checker.discoveries();
    let violated: Vec<_> = discoveries.keys().filter(|name| !name.contains("done")).collect();
    println!(
        "{rules:?}: {violated:?} after {} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    assert!(!violated.is_empty(), "{rules:?}");
}
