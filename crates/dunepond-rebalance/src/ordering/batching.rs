//! Combines actions that can run together into one step.

use std::collections::BTreeSet;

use super::simulation::{AppliedAction, PlanSimulation};
use crate::action::SegmentDelta;
use crate::load::NodeLoads;
use crate::{Action, ActionBatch, PlannedAction, RebalanceError, Step, StepKind};

/// A batch that is being assembled.
#[derive(Default)]
struct Draft {
    applied: Vec<AppliedAction>,
    /// Load that the actions of the draft add to nodes.
    added: NodeLoads,
    segment_delta: SegmentDelta,
    /// Ids of the segments that the actions replace, change or add.
    touched: BTreeSet<u64>,
}

impl PlanSimulation<'_> {
    /// Chooses the next action of operation `first` and further actions of the same kind. The batch stays within the
    /// capacities and limits, and the rest of the plan can still be carried out after it.
    pub fn choose_batch(&mut self, first: usize, step: usize) -> ActionBatch {
        let first_action = self.next_action(first).expect("operation `first` is unfinished");
        let kind = self.layout.kind(&first_action);
        let operations =
            if self.plan.ordered { vec![first] } else { self.compatible_operations(first, kind, step) };
        let mut actions = Vec::new();
        for operation in operations {
            let action = self.next_action(operation).expect("compatible operations are unfinished");
            actions.push(PlannedAction { operation, action });
        }
        ActionBatch { kind, actions }
    }

    /// Operations whose next actions can run in one step with that of `first`, which comes first in the result. Returns
    /// only `first` if the rest of the plan could not be carried out after the larger batch.
    fn compatible_operations(&mut self, first: usize, kind: StepKind, step: usize) -> Vec<usize> {
        let segment_count = self.segment_count;
        let mut draft = Draft::default();
        let mut candidates = self.startable();
        candidates.retain(|operation| *operation != first);
        candidates.insert(0, first);
        for operation in candidates {
            let Some(action) = self.next_action(operation) else { continue };
            if operation != first && !self.is_compatible(&draft, &action, kind, segment_count) {
                continue;
            }
            let Ok(applied) = self.apply(operation, step, &draft.added) else { continue };
            draft.touched.extend(action.segments());
            draft.touched.extend(applied.change.added());
            draft.segment_delta = draft.segment_delta.plus(action.segment_delta());
            draft.added = draft.added.plus(&applied.added);
            draft.applied.push(applied);
        }
        let operations = draft.applied.iter().map(|applied| applied.operation).collect();
        if self.can_finish_after(draft.applied, step) { operations } else { vec![first] }
    }

    /// Whether the action can be added to the draft: it is of this kind, stays within the limits and changes no segment
    /// that the draft changes or adds. Capacities are checked by [`PlanSimulation::apply`].
    fn is_compatible(&self, draft: &Draft, action: &Action, kind: StepKind, segment_count: usize) -> bool {
        let changed = draft.segment_delta.plus(action.segment_delta()).changed_segments(segment_count);
        draft.applied.len() < self.limits.max_actions.max(1)
            && !changed.exceeds(self.limits.max_changed_ratio)
            && self.layout.kind(action) == kind
            // A step changes each segment at most once, and never a segment that it adds itself.
            && action.segments().iter().all(|id| !draft.touched.contains(id))
    }

    /// Whether the rest of the plan can be carried out after the applied actions. Reverts them before it returns.
    fn can_finish_after(&mut self, applied: Vec<AppliedAction>, step: usize) -> bool {
        applied.iter().for_each(|action| self.commit_loads(action));
        let can_finish = self.start_search(step + 1, &mut Vec::new());
        for action in applied.into_iter().rev() {
            self.revert(action);
        }
        can_finish
    }

    /// Checks a batch from another broker: its size, the order of its actions and their kind. The error says what is
    /// wrong.
    pub fn check_batch(&self, batch: &ActionBatch) -> Result<(), &'static str> {
        let count = batch.actions.len();
        if count == 0 || count > self.limits.max_actions.max(1) {
            return Err("it has no actions, or more than the limit allows");
        }
        for PlannedAction { operation, action } in &batch.actions {
            let is_known = *operation < self.plan.operations.len();
            if !is_known || self.next_action(*operation).as_ref() != Some(action) {
                return Err("an action is not the next one of its operation");
            }
            if self.plan.ordered && !self.is_first_unfinished(*operation) {
                return Err("an action is out of the order that the plan requires");
            }
            if self.layout.kind(action) != batch.kind {
                return Err("the kind of an action differs from that of the step");
            }
        }
        Ok(())
    }

    /// Applies a batch and returns the step with its rollback. If an action of the batch fails, the actions before it
    /// stay applied.
    pub fn execute(&mut self, batch: ActionBatch, step: usize) -> Result<Step, RebalanceError> {
        let changed = batch.changed_segments(self.segment_count);
        let (max_ratio, operation) = (self.limits.max_changed_ratio, batch.actions[0].operation);
        if changed.exceeds(max_ratio) {
            let (changed, total) = (changed.changed, changed.total);
            return Err(RebalanceError::TooManyChanges { step, operation, changed, total, max_ratio });
        }
        check_disjoint(&batch, step)?;
        let rollback = self.rollback(&batch);
        let (mut all_applied, mut added) = (Vec::new(), NodeLoads::default());
        for planned in &batch.actions {
            let applied = self.apply(planned.operation, step, &added)?;
            added = added.plus(&applied.added);
            all_applied.push(applied);
        }
        all_applied.iter().for_each(|applied| self.commit_loads(applied));
        Ok(Step { forward: batch, rollback })
    }

    /// Batches that undo `batch`. Has to be called before `batch` is applied. A replica that a switch removes is filled
    /// again before the switch back, because it misses the writes after the switch.
    fn rollback(&self, batch: &ActionBatch) -> Vec<ActionBatch> {
        let (mut fills, mut inverses) = (Vec::new(), Vec::new());
        for PlannedAction { operation, action } in &batch.actions {
            let planned = |action| PlannedAction { operation: *operation, action };
            if let Action::Switch { segment, from, .. } = action {
                let partner = self.layout.partner(*segment, from).unwrap_or_default();
                fills.push(planned(Action::Fill { segment: *segment, to: from.clone(), partner }));
            }
            inverses.extend(self.layout.inverse(action).map(planned));
        }
        inverses.reverse();
        let kind = if batch.kind == StepKind::Fill { StepKind::MetadataOnly } else { batch.kind };
        let fills = ActionBatch { kind: StepKind::Fill, actions: fills };
        let inverses = ActionBatch { kind, actions: inverses };
        [fills, inverses].into_iter().filter(|batch| !batch.actions.is_empty()).collect()
    }
}

/// Checks that no two actions of the batch replace or change the same segment.
fn check_disjoint(batch: &ActionBatch, step: usize) -> Result<(), RebalanceError> {
    let mut touched: BTreeSet<u64> = BTreeSet::new();
    for planned in &batch.actions {
        let segments = planned.action.segments();
        if segments.iter().any(|id| touched.contains(id)) {
            let reason = "two actions change the same segment".to_string();
            return Err(RebalanceError::InvalidStep { step, reason });
        }
        touched.extend(segments);
    }
    Ok(())
}
