//! Actions that go together into one step.

use std::collections::BTreeSet;

use super::simulation::{AppliedAction, PlanSimulation};
use crate::action::Turnover;
use crate::load::NodeLoads;
use crate::{Action, ActionBatch, PlannedAction, RebalanceError, Step, StepKind};

/// A batch while it is put together.
#[derive(Default)]
struct Draft {
    applied: Vec<AppliedAction>,
    added: NodeLoads,
    turnover: Turnover,
    /// Segments that the actions take and add.
    touched: BTreeSet<u64>,
}

impl PlanSimulation<'_> {
    /// The next action of `first`, and what else can go with it: of its kind, within capacities and limits, and so that the
    /// plan can be finished after it.
    pub fn choose_batch(&mut self, first: usize, step: usize) -> ActionBatch {
        let first_action = self.next_action(first).expect("it is part of an order of what is left");
        let kind = self.layout.kind(&first_action);
        let operations = if self.plan.ordered { vec![first] } else { self.group(first, kind, step) };
        let mut actions = Vec::new();
        for operation in operations {
            let action = self.next_action(operation).expect("only unfinished operations are chosen");
            actions.push(PlannedAction { operation, action });
        }
        ActionBatch { kind, actions }
    }

    /// Only `first` if the plan could not be finished after the larger batch.
    fn group(&mut self, first: usize, kind: StepKind, step: usize) -> Vec<usize> {
        let segment_count = self.segment_count;
        let mut draft = Draft::default();
        let mut candidates = self.startable();
        candidates.retain(|operation| *operation != first);
        candidates.insert(0, first);
        for operation in candidates {
            let Some(action) = self.next_action(operation) else { continue };
            if operation != first && !self.fits(&draft, &action, kind, segment_count) {
                continue;
            }
            let Ok(applied) = self.apply(operation, step, &draft.added) else { continue };
            draft.touched.extend(action.segments());
            draft.touched.extend(applied.change.added());
            draft.turnover = draft.turnover.plus(action.turnover());
            draft.added = draft.added.with(&applied.added);
            draft.applied.push(applied);
        }
        let operations = draft.applied.iter().map(|applied| applied.operation).collect();
        if self.can_finish_after(draft.applied, step) { operations } else { vec![first] }
    }

    /// Whether an action of the same kind can go into the draft, capacities aside.
    fn fits(&self, draft: &Draft, action: &Action, kind: StepKind, segment_count: usize) -> bool {
        let changed = draft.turnover.plus(action.turnover()).changed_of(segment_count);
        draft.applied.len() < self.limits.max_actions.max(1)
            && !changed.exceeds(self.limits.max_changed_ratio)
            && self.layout.kind(action) == kind
            // Each segment is touched once in a step, one that the step adds not at all.
            && action.segments().iter().all(|id| !draft.touched.contains(id))
    }

    fn can_finish_after(&mut self, applied: Vec<AppliedAction>, step: usize) -> bool {
        applied.iter().for_each(|action| self.commit_loads(action));
        let can_finish = self.search_anew(step + 1, &mut Vec::new());
        for action in applied.into_iter().rev() {
            self.revert(action);
        }
        can_finish
    }

    /// What is wrong with a batch that another broker put together, if anything.
    pub fn check_batch(&self, batch: &ActionBatch) -> Result<(), &'static str> {
        let count = batch.actions.len();
        if count == 0 || count > self.limits.max_actions.max(1) {
            return Err("no acts, or more than may be under way at once");
        }
        for PlannedAction { operation, action } in &batch.actions {
            let is_known = *operation < self.plan.operations.len();
            if !is_known || self.next_action(*operation).as_ref() != Some(action) {
                return Err("an act that is no operation's next");
            }
            if self.plan.ordered && !self.is_first_unfinished(*operation) {
                return Err("an act out of the order that the plan asks for");
            }
            if self.layout.kind(action) != batch.kind {
                return Err("acts of several kinds in one step");
            }
        }
        Ok(())
    }

    /// Applies a batch for good, and says what undoes it.
    pub fn carry_out(&mut self, batch: ActionBatch, step: usize) -> Result<Step, RebalanceError> {
        let changed = batch.changed_segments(self.segment_count);
        let (max_ratio, operation) = (self.limits.max_changed_ratio, batch.actions[0].operation);
        if changed.exceeds(max_ratio) {
            let (changed, of) = (changed.changed, changed.of);
            return Err(RebalanceError::TooManyChanges { step, operation, changed, of, max_ratio });
        }
        check_disjoint(&batch, step)?;
        let rollback = self.rollback(&batch);
        let (mut all_applied, mut added) = (Vec::new(), NodeLoads::default());
        for planned in &batch.actions {
            let applied = self.apply(planned.operation, step, &added)?;
            added = added.with(&applied.added);
            all_applied.push(applied);
        }
        all_applied.iter().for_each(|applied| self.commit_loads(applied));
        Ok(Step { forward: batch, rollback })
    }

    /// What undoes a batch that is not applied yet. A node that was replaced is filled again before it is switched to: it has
    /// missed later writes.
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

/// No segment is taken by two actions.
fn check_disjoint(batch: &ActionBatch, step: usize) -> Result<(), RebalanceError> {
    let mut touched: BTreeSet<u64> = BTreeSet::new();
    for planned in &batch.actions {
        let segments = planned.action.segments();
        if segments.iter().any(|id| touched.contains(id)) {
            let reason = "a segment is touched twice".to_string();
            return Err(RebalanceError::InvalidStep { step, reason });
        }
        touched.extend(segments);
    }
    Ok(())
}
