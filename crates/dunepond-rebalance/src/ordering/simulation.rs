//! The plan and its segments after some of its actions.

use std::collections::{BTreeSet, HashMap};

use dunepond_shard_map::{Segment, VerifiedMap};

use super::StepLimits;
use super::search::SearchState;
use crate::capacity::CapacityLimits;
use crate::layout::{AppliedChange, Layout};
use crate::load::{Load, LoadChange, NodeLoads, RangeBytes};
use crate::{Action, CapacityShortage, CapacityUnit, Operation, Plan, RebalanceError};

pub(super) struct PlanSimulation<'a> {
    pub plan: &'a Plan,
    map: &'a VerifiedMap,
    pub limits: StepLimits,
    /// Actions of each operation, in their order.
    pub actions: Vec<Vec<Action>>,
    /// How many actions of each operation are done.
    pub done: Vec<u8>,
    pub layout: Layout,
    loads: NodeLoads,
    pub capacities: CapacityLimits<'a>,
    range_bytes: RangeBytes,
    pub segment_count: usize,
    /// Segments that several operations name: the order of these matters.
    pub contested_segments: BTreeSet<u64>,
    pub ignore_capacities: bool,
    pub search: SearchState,
}

/// An action that was applied, for [`PlanSimulation::revert`].
pub(super) struct AppliedAction {
    pub change: AppliedChange,
    pub operation: usize,
    loads: Vec<LoadChange>,
    previous_segment_count: usize,
    /// What nodes hold more by it.
    pub added: NodeLoads,
}

impl<'a> PlanSimulation<'a> {
    pub fn new(
        plan: &'a Plan,
        map: &'a VerifiedMap,
        limits: StepLimits,
        is_excluded: &impl Fn(&str) -> bool,
    ) -> Result<Self, RebalanceError> {
        plan.validate()?;
        let named: BTreeSet<u64> = plan.operations.iter().flat_map(Operation::segments).copied().collect();
        let layout = Layout::of(map, named.iter().copied());
        let capacities = CapacityLimits::new(plan, map);
        let range_bytes = RangeBytes::new(plan, layout.iter().map(|segment| &**segment));
        let mut loads = NodeLoads::untouched(plan, map, |id| named.contains(&id));
        for segment in layout.iter() {
            loads.add_segment(segment, range_bytes.of(segment.keys));
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

    pub fn is_done(&self) -> bool {
        self.done.iter().zip(&self.actions).all(|(done, actions)| usize::from(*done) == actions.len())
    }

    pub fn next_action(&self, operation: usize) -> Option<Action> {
        self.actions[operation].get(usize::from(self.done[operation])).cloned()
    }

    /// Whether all operations before it are done.
    pub fn is_first_unfinished(&self, operation: usize) -> bool {
        (0..operation).all(|before| self.next_action(before).is_none())
    }

    fn unfinished(&self) -> impl Iterator<Item = usize> {
        (0..self.actions.len()).filter(|operation| self.next_action(*operation).is_some())
    }

    /// Unfinished operations that the plan's order lets continue.
    pub fn startable(&self) -> Vec<usize> {
        let max_count = if self.plan.ordered { 1 } else { usize::MAX };
        self.unfinished().take(max_count).collect()
    }

    /// Whether other operations name segments of this one.
    pub fn is_contested(&self, operation: usize) -> bool {
        let segments = self.plan.operations[operation].segments();
        segments.iter().any(|id| self.contested_segments.contains(id))
    }

    /// Applies the next action of an operation, or says why it is not possible. `beside`: what earlier actions of the same
    /// step add; it has to fit beside them, as nothing is freed before the step is over. Loads do not change until
    /// [`PlanSimulation::commit_loads`].
    pub fn apply(
        &mut self,
        operation: usize,
        step: usize,
        beside: &NodeLoads,
    ) -> Result<AppliedAction, RebalanceError> {
        let action = self.next_action(operation).expect("only unfinished operations are tried");
        let turnover = action.turnover();
        let changed = turnover.changed_of(self.segment_count);
        let max_ratio = self.limits.max_changed_ratio;
        if changed.exceeds(max_ratio) {
            let (changed, of) = (changed.changed, changed.of);
            return Err(RebalanceError::TooManyChanges { step, operation, changed, of, max_ratio });
        }
        let map = self.map;
        // An id of the active map that was touched and is gone may only come again by a rollback.
        let change = self.layout.apply(operation, &action, |id| map.contains_segment(id))?;
        let loads = self.load_changes(&change);
        let added = increases(&loads);
        if let Some(shortage) = self.shortage(&added, beside) {
            self.layout.revert(change);
            let shortage = Box::new(CapacityShortage { freed_by: self.freeing(&shortage), ..shortage });
            return Err(RebalanceError::CapacityExceeded { step, operation, shortage });
        }
        let previous_segment_count = self.segment_count;
        self.segment_count = previous_segment_count + turnover.begun - turnover.ended;
        self.done[operation] += 1;
        Ok(AppliedAction { change, operation, loads, previous_segment_count, added })
    }

    fn shortage(&self, added: &NodeLoads, beside: &NodeLoads) -> Option<CapacityShortage> {
        if self.ignore_capacities {
            return None;
        }
        self.loads.shortage(&beside.clone().with(added), &self.capacities)
    }

    /// Before and after the change, of the segments that it removes and adds.
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

    fn add_loads(
        &self,
        changes: &mut Vec<LoadChange>,
        segment: &Segment,
        side: fn(&mut LoadChange) -> &mut Load,
    ) {
        let bytes = self.range_bytes.of(segment.keys);
        for replica in &segment.replicas {
            let place = changes.iter().position(|change| change.node == replica.node).unwrap_or_else(|| {
                let node = replica.node.clone();
                changes.push(LoadChange { node, before: Load::default(), after: Load::default() });
                changes.len() - 1
            });
            side(&mut changes[place]).add(Load { bytes, segments: 1 });
        }
    }

    /// Counts an action's loads once it is certain.
    pub fn commit_loads(&mut self, applied: &AppliedAction) {
        applied.loads.iter().for_each(|change| self.loads.apply(change));
    }

    /// Takes back an action whose loads are committed.
    pub fn revert(&mut self, applied: AppliedAction) {
        applied.loads.iter().for_each(|change| self.loads.apply(&change.inverse()));
        self.layout.revert(applied.change);
        self.segment_count = applied.previous_segment_count;
        self.done[applied.operation] -= 1;
    }

    /// Unfinished operations that would free some of what is short.
    fn freeing(&self, shortage: &CapacityShortage) -> Vec<usize> {
        self.unfinished().filter(|operation| self.frees(*operation, shortage)).collect()
    }

    fn frees(&self, operation: usize, shortage: &CapacityShortage) -> bool {
        let counts = |node: &str| self.capacities.is_in(node, &shortage.scope);
        match &self.plan.operations[operation] {
            Operation::Move { from, to, .. } => counts(from) && !counts(to),
            Operation::Merge { segments, .. } if shortage.unit == CapacityUnit::Segments => {
                let replicas = segments.iter().filter_map(|id| self.layout.get(*id));
                replicas.flat_map(|segment| &segment.replicas).any(|replica| counts(&replica.node))
            }
            _ => false,
        }
    }
}

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

fn contested_segments(plan: &Plan) -> BTreeSet<u64> {
    let mut uses: HashMap<u64, usize> = HashMap::new();
    for id in plan.operations.iter().flat_map(Operation::segments) {
        *uses.entry(*id).or_default() += 1;
    }
    uses.into_iter().filter(|(_, count)| *count > 1).map(|(id, _)| id).collect()
}

fn actions_of(
    plan: &Plan,
    capacities: &CapacityLimits,
    is_excluded: &impl Fn(&str) -> bool,
) -> Result<Vec<Vec<Action>>, RebalanceError> {
    let mut actions = Vec::new();
    for (operation, kind) in plan.operations.iter().enumerate() {
        if let Operation::ChangeOwner { to, .. } | Operation::Move { to, .. } = kind
            && is_excluded(to)
        {
            return Err(RebalanceError::NodeLeaving { operation, node: to.clone() });
        }
        actions.push(match kind.clone() {
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
