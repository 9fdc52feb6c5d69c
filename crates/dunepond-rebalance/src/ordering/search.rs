//! Depth-first search for an order of the actions that are left, with a memory of dead ends.

use std::collections::HashSet;

use super::simulation::{AppliedAction, PlanSimulation};
use crate::load::NodeLoads;
use crate::{Action, MAX_SEARCH_LAYOUTS, RebalanceError};

/// Identifies a layout in the memory of dead ends.
type LayoutKey = Vec<u8>;

#[derive(Default)]
pub(super) struct SearchState {
    /// Layouts from which no order was found. They stay from one search to the next.
    dead_ends: HashSet<LayoutKey>,
    /// Layouts that this search visited.
    visited: usize,
    furthest: Option<Obstacle>,
}

impl SearchState {
    fn is_exhausted(&self) -> bool {
        self.visited > MAX_SEARCH_LAYOUTS
    }
}

/// The error that ended an attempt.
struct Obstacle {
    progress: ObstacleProgress,
    error: RebalanceError,
}

/// How far the search came; the greater is the better explanation.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct ObstacleProgress {
    done_actions: usize,
    /// Anything but a capacity mostly waits for another operation.
    is_capacity: bool,
}

impl PlanSimulation<'_> {
    /// Operations in an order that carries out all actions that are left; else the error of the attempt that got furthest. Each
    /// action counts as one step here.
    pub fn find_order(&mut self, step: usize) -> Result<Vec<usize>, RebalanceError> {
        self.search.furthest = None;
        let mut order = Vec::new();
        if self.search_anew(step, &mut order) {
            return Ok(order);
        }
        let Some(obstacle) = self.search.furthest.take() else {
            let reason = "nothing is left to do".to_string();
            return Err(RebalanceError::InvalidStep { step, reason });
        };
        Err(match obstacle.error {
            RebalanceError::CapacityExceeded { step, operation, shortage } if self.search.is_exhausted() => {
                let visited = self.search.visited;
                RebalanceError::SearchExhausted { visited, step, operation, shortage }
            }
            error => error,
        })
    }

    pub fn forget_dead_ends(&mut self) {
        self.search.dead_ends.clear();
    }

    /// Starts a search of its own, with a new count of visited layouts: whether all that is left can be carried out. `order` gets
    /// the operations in their order.
    pub fn search_anew(&mut self, step: usize, order: &mut Vec<usize>) -> bool {
        self.search.visited = 0;
        self.search_from(step, order)
    }

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
                    let is_harmless = self.is_harmless(&applied);
                    self.revert(applied);
                    if is_found {
                        return true;
                    }
                    order.pop();
                    // It took nothing that another order would need, so an order without it fails as well.
                    if is_harmless {
                        break;
                    }
                }
                Err(error) => self.record_obstacle(error),
            }
        }
        if !self.search.is_exhausted() {
            self.search.dead_ends.insert(key);
        }
        false
    }

    /// What may free capacity goes first: switches to filled replicas; fills last.
    fn candidates(&self) -> Vec<usize> {
        let mut candidates = self.startable();
        candidates.sort_by_key(|operation| match self.next_action(*operation) {
            Some(Action::Switch { .. }) => 0,
            Some(Action::Fill { .. }) => 2,
            _ => 1,
        });
        candidates
    }

    /// Whether an action that was just applied cannot be in the way of another: it takes no capacity, and no other operation
    /// names its segments.
    fn is_harmless(&self, applied: &AppliedAction) -> bool {
        let operation = applied.operation;
        let is_switch = self.actions[operation].len() == 2 && self.done[operation] == 2;
        is_switch || (!self.is_contested(operation) && self.takes_no_capacity(&applied.added))
    }

    fn takes_no_capacity(&self, added: &NodeLoads) -> bool {
        self.ignore_capacities || added.is_unbounded(&self.capacities)
    }

    /// How far each operation is, and the owners and replicas of contested segments.
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

    /// Remembers the error of the attempt that got furthest: a missing capacity rather than anything else, and the smallest
    /// shortage of those.
    fn record_obstacle(&mut self, error: RebalanceError) {
        let progress = ObstacleProgress {
            done_actions: self.done.iter().map(|done| usize::from(*done)).sum(),
            is_capacity: matches!(error, RebalanceError::CapacityExceeded { .. }),
        };
        let is_better = match &self.search.furthest {
            None => true,
            Some(known) if known.progress == progress => is_less_short(&error, &known.error),
            Some(known) => progress > known.progress,
        };
        if is_better {
            self.search.furthest = Some(Obstacle { progress, error });
        }
    }
}

fn is_less_short(error: &RebalanceError, known: &RebalanceError) -> bool {
    match (error, known) {
        (
            RebalanceError::CapacityExceeded { shortage, .. },
            RebalanceError::CapacityExceeded { shortage: known, .. },
        ) => shortage.missing() < known.missing(),
        _ => false,
    }
}
