//! Orders the actions of a plan: a search finds an order in which no capacity is exceeded, and actions that can run
//! together are combined into one step.

mod batching;
mod search;
mod simulation;

use dunepond_shard_map::VerifiedMap;
use serde::{Deserialize, Serialize};

use crate::{Plan, RebalanceError, Step};
use simulation::PlanSimulation;

/// Limits on what one step may do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepLimits {
    /// Maximum number of actions in one step, and so of replicas that a step fills at once; 0 counts as 1.
    #[serde(rename = "at_once")]
    pub max_actions: usize,
    /// Maximum fraction of the map's segments that one configuration version may change, from 0 to 1.
    #[serde(rename = "most_changed")]
    pub max_changed_ratio: f64,
}

/// Orders the plan's actions into steps that start from the active map. `is_excluded`: whether a node is draining or
/// removed. The same arguments always give the same steps.
///
/// # Errors
/// The plan is invalid, or no order was found. In the second case the error is that of the attempt that got furthest,
/// with its step and operation.
pub fn order_steps(
    plan: &Plan,
    map: &VerifiedMap,
    limits: StepLimits,
    is_excluded: impl Fn(&str) -> bool,
) -> Result<Vec<Step>, RebalanceError> {
    let mut simulation = PlanSimulation::new(plan, map, limits, &is_excluded)?;
    // The first search ignores capacities, so that an operation that is impossible in any case is reported as such.
    simulation.ignore_capacities = true;
    simulation.find_order(0)?;
    simulation.ignore_capacities = false;
    simulation.clear_dead_ends();
    let mut steps = Vec::new();
    while !simulation.is_done() {
        let order = simulation.find_order(steps.len())?;
        let batch = simulation.choose_batch(order[0], steps.len());
        steps.push(simulation.execute(batch, steps.len())?);
    }
    Ok(steps)
}

/// Checks that `steps` carry out the whole plan, and that each step stays within the capacities and limits. Voters call
/// this for steps that another broker ordered; it needs no search.
///
/// # Errors
/// The plan is invalid, a step is invalid (the first such step is reported), or the steps end before all operations of
/// the plan are done.
pub fn verify_steps(
    plan: &Plan,
    steps: &[Step],
    map: &VerifiedMap,
    limits: StepLimits,
    is_excluded: impl Fn(&str) -> bool,
) -> Result<(), RebalanceError> {
    let mut simulation = PlanSimulation::new(plan, map, limits, &is_excluded)?;
    for (index, step) in steps.iter().enumerate() {
        let invalid = |reason: &str| RebalanceError::InvalidStep { step: index, reason: reason.to_string() };
        simulation.check_batch(&step.forward).map_err(invalid)?;
        if simulation.execute(step.forward.clone(), index)? != *step {
            return Err(invalid("its rollback differs from the one that this broker computes"));
        }
    }
    if !simulation.is_done() {
        let reason = "the steps end before all operations of the plan are done".to_string();
        return Err(RebalanceError::InvalidStep { step: steps.len(), reason });
    }
    Ok(())
}
