//! Depth-first search for an order of the remaining actions. Layouts from which no order was found (dead ends) are
//! remembered and not searched again.

use std::collections::HashSet;

use super::simulation::{AppliedAction, PlanSimulation};
use crate::load::NodeLoads;
use crate::{Action, MAX_SEARCH_LAYOUTS, RebalanceError};

/// Identifies a layout among the dead ends.
type LayoutKey = Vec<u8>;

/// State of the search for an order.
#[derive(Default)]
pub(super) struct SearchState {
    /// Layouts from which no order was found. They are kept from one search to the next.
    dead_ends: HashSet<LayoutKey>,
    /// Number of layouts that the current search visited.
    visited: usize,
    /// The failed attempt of the current search that got furthest.
    furthest: Option<FailedAttempt>,
}

impl SearchState {
    /// Whether the current search visited more layouts than allowed.
    fn is_exhausted(&self) -> bool {
        self.visited > MAX_SEARCH_LAYOUTS
    }
}

/// An attempt at an order that ended with an error.
struct FailedAttempt {
    progress: AttemptProgress,
    error: RebalanceError,
}

/// How far an attempt at an order got. The error of the attempt with the greatest progress is reported, as it explains
/// best why no order was found.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct AttemptProgress {
    done_actions: usize,
    /// Whether the attempt failed because it would exceed a capacity. Such errors rank above others, which mostly mean
    /// that an action has to wait for another operation.
    is_capacity: bool,
}

impl PlanSimulation<'_> {
    /// Finds an order of all remaining actions. The result contains, for each action, the index of its operation. If
    /// there is no order, returns the error of the attempt that got furthest. In this error each action counts as one
    /// step; `step` is the index of the first one.
    pub fn find_order(&mut self, step: usize) -> Result<Vec<usize>, RebalanceError> {
        self.search.furthest = None;
        let mut order = Vec::new();
        if self.start_search(step, &mut order) {
            return Ok(order);
        }
        let Some(attempt) = self.search.furthest.take() else {
            let reason = "no actions remain".to_string();
            return Err(RebalanceError::InvalidStep { step, reason });
        };
        Err(match attempt.error {
            RebalanceError::CapacityExceeded { step, operation, shortage } if self.search.is_exhausted() => {
                let visited = self.search.visited;
                RebalanceError::SearchExhausted { visited, step, operation, shortage }
            }
            error => error,
        })
    }

    /// Discards the dead ends, so that the next search visits these layouts again.
    pub fn clear_dead_ends(&mut self) {
        self.search.dead_ends.clear();
    }

    /// Starts a search with a new count of visited layouts, and returns whether all remaining actions can be carried
    /// out. If they can, the indexes of their operations are appended to `order`.
    pub fn start_search(&mut self, step: usize, order: &mut Vec<usize>) -> bool {
        self.search.visited = 0;
        self.search_from(step, order)
    }

    /// Searches for an order from the current layout, and returns whether there is one. The layout is unchanged
    /// afterwards.
    fn search_from(&mut self, step: usize, order: &mut Vec<usize>) -> bool {
        if self.is_done() {
            return true;
        }
        self.search.visited += 1;
        let key = self.layout_key();
        if self.search.is_exhausted() || self.search.dead_ends.contains(&key) {
            return false;
        }
        for operation in self.candidates() {
            match self.apply(operation, step, &NodeLoads::default()) {
                Ok(applied) => {
                    self.commit_loads(&applied);
                    order.push(operation);
                    let is_found = self.search_from(step + 1, order);
                    let is_independent = self.is_independent(&applied);
                    self.revert(applied);
                    if is_found {
                        return true;
                    }
                    order.pop();
                    // The action blocks no other action, so orders that start with another action fail as well.
                    if is_independent {
                        break;
                    }
                }
                Err(error) => self.record_failure(error),
            }
        }
        if !self.search.is_exhausted() {
            self.search.dead_ends.insert(key);
        }
        false
    }

    /// Operations that can be tried next. Switches come first, as they may free capacity, and fills last, as they use
    /// it.
    fn candidates(&self) -> Vec<usize> {
        let mut candidates = self.startable();
        candidates.sort_by_key(|operation| match self.next_action(*operation) {
            Some(Action::Switch { .. }) => 0,
            Some(Action::Fill { .. }) => 2,
            _ => 1,
        });
        candidates
    }

    /// Whether the action that was just applied cannot block another action. This holds for a switch, because other
    /// actions on its segment have to wait for it anyway. It also holds for an action that uses no bounded capacity and
    /// whose segments are named by no other operation.
    fn is_independent(&self, applied: &AppliedAction) -> bool {
        let operation = applied.operation;
        let is_switch = self.actions[operation].len() == 2 && self.done[operation] == 2;
        is_switch || (!self.is_contested(operation) && self.uses_no_bounded_capacity(&applied.added))
    }

    fn uses_no_bounded_capacity(&self, added: &NodeLoads) -> bool {
        self.ignore_capacities || added.is_unbounded(&self.capacities)
    }

    /// Key of the current layout: the number of done actions of each operation, and the owners and replicas of
    /// contested segments.
    fn layout_key(&self) -> LayoutKey {
        let mut key = self.done.clone();
        for segment in self.contested_segments.iter().filter_map(|id| self.layout.get(*id)) {
            key.extend_from_slice(&segment.id.to_be_bytes());
            key.extend_from_slice(segment.owner.as_bytes());
            for replica in &segment.replicas {
                key.push(0);
                key.extend_from_slice(replica.node.as_bytes());
            }
        }
        key
    }

    /// Records the error if the attempt that it ended got further than the attempt recorded so far. Among attempts that
    /// got equally far, a capacity shortage is preferred to other errors, and a smaller shortage to a larger one.
    fn record_failure(&mut self, error: RebalanceError) {
        let progress = AttemptProgress {
            done_actions: self.done.iter().map(|done| usize::from(*done)).sum(),
            is_capacity: matches!(error, RebalanceError::CapacityExceeded { .. }),
        };
        let is_better = match &self.search.furthest {
            None => true,
            Some(best) if best.progress == progress => has_smaller_shortage(&error, &best.error),
            Some(best) => progress > best.progress,
        };
        if is_better {
            self.search.furthest = Some(FailedAttempt { progress, error });
        }
    }
}

/// Whether both errors are capacity shortages and the amount missing in `error` is smaller. The amounts are compared as
/// plain numbers, even if one is in bytes and the other in segments.
fn has_smaller_shortage(error: &RebalanceError, other: &RebalanceError) -> bool {
    match (error, other) {
        (
            RebalanceError::CapacityExceeded { shortage, .. },
            RebalanceError::CapacityExceeded { shortage: other, .. },
        ) => shortage.missing() < other.missing(),
        _ => false,
    }
}
