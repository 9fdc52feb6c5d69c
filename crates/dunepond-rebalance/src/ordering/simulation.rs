//! Simulates a plan: the segments that it changes, and the loads of nodes, after some of its actions.

use std::collections::{BTreeSet, HashMap};

use dunepond_shard_map::{Segment, VerifiedMap};

use super::StepLimits;
use super::search::SearchState;
use crate::capacity::CapacityLimits;
use crate::layout::{AppliedChange, Layout};
use crate::load::{Load, LoadChange, NodeLoads, RangeBytes};
use crate::{Action, CapacityShortage, CapacityUnit, Operation, Plan, RebalanceError};

/// State of the plan after some of its actions.
pub(super) struct PlanSimulation<'a> {
    pub plan: &'a Plan,
    map: &'a VerifiedMap,
    pub limits: StepLimits,
    /// Actions of each operation, by the operation's index and in the order in which they are carried out.
    pub actions: Vec<Vec<Action>>,
    /// Number of actions of each operation that are done.
    pub done: Vec<u8>,
    pub layout: Layout,
    loads: NodeLoads,
    pub capacities: CapacityLimits<'a>,
    range_bytes: RangeBytes,
    /// Number of segments in the whole map.
    pub segment_count: usize,
    /// Segments that several operations name, so that the order of these operations matters.
    pub contested_segments: BTreeSet<u64>,
    /// Whether actions may exceed capacities.
    pub ignore_capacities: bool,
    pub search: SearchState,
}

/// Record of an applied action, with which [`PlanSimulation::revert`] undoes it.
pub(super) struct AppliedAction {
    pub change: AppliedChange,
    pub operation: usize,
    /// Changes of the nodes' loads, one for each node.
    loads: Vec<LoadChange>,
    previous_segment_count: usize,
    /// Load that the action adds to nodes.
    pub added: NodeLoads,
}

impl<'a> PlanSimulation<'a> {
    /// Validates the plan and starts the simulation from the map, with no action done.
    pub fn new(
        plan: &'a Plan,
        map: &'a VerifiedMap,
        limits: StepLimits,
        is_excluded: &impl Fn(&str) -> bool,
    ) -> Result<Self, RebalanceError> {
        plan.validate()?;
        let named: BTreeSet<u64> = plan.operations.iter().flat_map(Operation::segments).copied().collect();
        let layout = Layout::from_map(map, named.iter().copied());
        let capacities = CapacityLimits::new(plan, map);
        let range_bytes = RangeBytes::new(plan, layout.iter().map(|segment| &**segment));
        let mut loads = NodeLoads::of_unchanged(plan, map, |id| named.contains(&id));
        for segment in layout.iter() {
            loads.add_segment(segment, range_bytes.bytes_in(segment.keys));
        }
        let actions = actions_of(plan, &capacities, is_excluded)?;
        Ok(Self {
            plan,
            map,
            limits,
            done: vec![0; actions.len()],
            actions,
            layout,
            loads,
            capacities,
            range_bytes,
            segment_count: map.len(),
            contested_segments: contested_segments(plan),
            ignore_capacities: false,
            search: SearchState::default(),
        })
    }

    /// Whether all actions of the plan are done.
    pub fn is_done(&self) -> bool {
        self.done.iter().zip(&self.actions).all(|(done, actions)| usize::from(*done) == actions.len())
    }

    /// Next action of the operation, or `None` if all its actions are done.
    pub fn next_action(&self, operation: usize) -> Option<Action> {
        self.actions[operation].get(usize::from(self.done[operation])).cloned()
    }

    /// Whether all operations before this one are done.
    pub fn is_first_unfinished(&self, operation: usize) -> bool {
        (0..operation).all(|before| self.next_action(before).is_none())
    }

    /// Operations with actions that are not done, by index.
    fn unfinished(&self) -> impl Iterator<Item = usize> {
        (0..self.actions.len()).filter(|operation| self.next_action(*operation).is_some())
    }

    /// Unfinished operations that may run next: the first one if the plan is ordered, otherwise all.
    pub fn startable(&self) -> Vec<usize> {
        let max_count = if self.plan.ordered { 1 } else { usize::MAX };
        self.unfinished().take(max_count).collect()
    }

    /// Whether another operation names a segment of this one.
    pub fn is_contested(&self, operation: usize) -> bool {
        let segments = self.plan.operations[operation].segments();
        segments.iter().any(|id| self.contested_segments.contains(id))
    }

    /// Applies the next action of an operation, or returns why it is not possible. `added_in_step`: load that earlier
    /// actions of the same step add. Capacities are checked against that load together with the action's own, because a
    /// step frees no capacity before it ends. Loads do not change until [`PlanSimulation::commit_loads`].
    pub fn apply(
        &mut self,
        operation: usize,
        step: usize,
        added_in_step: &NodeLoads,
    ) -> Result<AppliedAction, RebalanceError> {
        let action = self.next_action(operation).expect("only unfinished operations are tried");
        let segment_delta = action.segment_delta();
        let changed = segment_delta.changed_segments(self.segment_count);
        let max_ratio = self.limits.max_changed_ratio;
        if changed.exceeds(max_ratio) {
            let (changed, total) = (changed.changed, changed.total);
            return Err(RebalanceError::TooManyChanges { step, operation, changed, total, max_ratio });
        }
        let map = self.map;
        // Segment ids of the active map stay reserved after their segments were replaced; only a rollback may create
        // segments with these ids again.
        let change = self.layout.apply(operation, &action, |id| map.contains_segment(id))?;
        let loads = self.load_changes(&change);
        let added = increases(&loads);
        if let Some(shortage) = self.shortage(&added, added_in_step) {
            self.layout.revert(change);
            let shortage =
                Box::new(CapacityShortage { freed_by: self.operations_freeing(&shortage), ..shortage });
            return Err(RebalanceError::CapacityExceeded { step, operation, shortage });
        }
        let previous_segment_count = self.segment_count;
        self.segment_count = previous_segment_count + segment_delta.added - segment_delta.removed;
        self.done[operation] += 1;
        Ok(AppliedAction { change, operation, loads, previous_segment_count, added })
    }

    /// The first capacity that would be exceeded by `added` and the load that earlier actions of the same step add.
    fn shortage(&self, added: &NodeLoads, added_in_step: &NodeLoads) -> Option<CapacityShortage> {
        if self.ignore_capacities {
            return None;
        }
        self.loads.shortage(&added_in_step.clone().plus(added), &self.capacities)
    }

    /// For each affected node, its load from the segments that the change removes (`before`) and from those that it
    /// adds (`after`).
    fn load_changes(&self, change: &AppliedChange) -> Vec<LoadChange> {
        let mut changes = Vec::new();
        for segment in change.removed() {
            self.add_loads(&mut changes, segment, |change| &mut change.before);
        }
        for segment in change.added().iter().filter_map(|id| self.layout.get(*id)) {
            self.add_loads(&mut changes, segment, |change| &mut change.after);
        }
        changes
    }

    /// Adds the segment's load to one side (`before` or `after`) of the load change of each node that has a replica.
    fn add_loads(
        &self,
        changes: &mut Vec<LoadChange>,
        segment: &Segment,
        side: fn(&mut LoadChange) -> &mut Load,
    ) {
        let bytes = self.range_bytes.bytes_in(segment.keys);
        for replica in &segment.replicas {
            let index = changes.iter().position(|change| change.node == replica.node).unwrap_or_else(|| {
                let node = replica.node.clone();
                changes.push(LoadChange { node, before: Load::default(), after: Load::default() });
                changes.len() - 1
            });
            side(&mut changes[index]).add(Load { bytes, segments: 1 });
        }
    }

    /// Applies the load changes of an applied action.
    pub fn commit_loads(&mut self, applied: &AppliedAction) {
        applied.loads.iter().for_each(|change| self.loads.apply(change));
    }

    /// Undoes the action that was applied last. Its loads must have been committed by [`PlanSimulation::commit_loads`].
    pub fn revert(&mut self, applied: AppliedAction) {
        applied.loads.iter().for_each(|change| self.loads.apply(&change.inverse()));
        self.layout.revert(applied.change);
        self.segment_count = applied.previous_segment_count;
        self.done[applied.operation] -= 1;
    }

    /// Unfinished operations that would free some of the short capacity.
    fn operations_freeing(&self, shortage: &CapacityShortage) -> Vec<usize> {
        self.unfinished().filter(|operation| self.would_free(*operation, shortage)).collect()
    }

    /// Whether the operation would free some of the short capacity.
    fn would_free(&self, operation: usize, shortage: &CapacityShortage) -> bool {
        let is_in_scope = |node: &str| self.capacities.is_in(node, &shortage.scope);
        match &self.plan.operations[operation] {
            Operation::Move { from, to, .. } => is_in_scope(from) && !is_in_scope(to),
            Operation::Merge { segments, .. } if shortage.unit == CapacityUnit::Segments => {
                let merged = segments.iter().filter_map(|id| self.layout.get(*id));
                merged.flat_map(|segment| &segment.replicas).any(|replica| is_in_scope(&replica.node))
            }
            _ => false,
        }
    }
}

/// Load that the changes add, by node.
fn increases(changes: &[LoadChange]) -> NodeLoads {
    let mut added = NodeLoads::default();
    for change in changes {
        let increase = change.increase();
        if increase != Load::default() {
            added.add(&change.node, increase);
        }
    }
    added
}

/// Segments that several operations of the plan name.
fn contested_segments(plan: &Plan) -> BTreeSet<u64> {
    let mut uses: HashMap<u64, usize> = HashMap::new();
    for id in plan.operations.iter().flat_map(Operation::segments) {
        *uses.entry(*id).or_default() += 1;
    }
    uses.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect()
}

/// Actions of each operation. Fails if a destination is draining or removed (`is_excluded`), or if the partner of a
/// move's destination is unknown.
fn actions_of(
    plan: &Plan,
    capacities: &CapacityLimits,
    is_excluded: &impl Fn(&str) -> bool,
) -> Result<Vec<Vec<Action>>, RebalanceError> {
    let mut actions = Vec::new();
    for (operation, spec) in plan.operations.iter().enumerate() {
        if let Operation::ChangeOwner { to, .. } | Operation::Move { to, .. } = spec
            && is_excluded(to)
        {
            return Err(RebalanceError::NodeLeaving { operation, node: to.clone() });
        }
        actions.push(match spec.clone() {
            Operation::Split { segment, split_keys, into } => {
                vec![Action::Split { segment, split_keys, into }]
            }
            Operation::Merge { segments, into } => vec![Action::Merge { segments, into }],
            Operation::ChangeOwner { segment, to } => vec![Action::ChangeOwner { segment, to }],
            Operation::Move { segment, from, to } => {
                let Some(partner) = capacities.partner(&to).cloned() else {
                    return Err(RebalanceError::UnknownPartner { operation, node: to });
                };
                vec![Action::Fill { segment, to: to.clone(), partner }, Action::Switch { segment, from, to }]
            }
        });
    }
    Ok(actions)
}
