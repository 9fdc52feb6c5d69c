//! The order of a plan's actions: a search for one in which no capacity is exceeded, then actions that go together are put
//! into one step.

mod batching;
mod search;
mod simulation;

use dunepond_shard_map::VerifiedMap;
use serde::{Deserialize, Serialize};

use crate::{Plan, RebalanceError, Step};
use simulation::PlanSimulation;

/// How much may be under way at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepLimits {
    /// Most actions of one step, and so the most replicas that a step fills at once.
    #[serde(rename = "at_once")]
    pub max_actions: usize,
    /// Ratio of the segments that one version may change.
    #[serde(rename = "most_changed")]
    pub max_changed_ratio: f64,
}

/// Orders a plan against the active map. `is_excluded`: whether a node is draining or removed. The same plan, map and limits
/// give the same steps.
///
/// # Errors
/// Why no order was found: the error of the attempt that got furthest, with its step and operation.
pub fn order_steps(
    plan: &Plan,
    map: &VerifiedMap,
    limits: StepLimits,
    is_excluded: impl Fn(&str) -> bool,
) -> Result<Vec<Step>, RebalanceError> {
    let mut simulation = PlanSimulation::new(plan, map, limits, &is_excluded)?;
    // First without capacities: an operation that is not possible at all is named as such.
    simulation.ignore_capacities = true;
    simulation.find_order(0)?;
    simulation.ignore_capacities = false;
    simulation.forget_dead_ends();
    let mut steps = Vec::new();
    while !simulation.is_done() {
        let order = simulation.find_order(steps.len())?;
        let batch = simulation.choose_batch(order[0], steps.len());
        steps.push(simulation.carry_out(batch, steps.len())?);
    }
    Ok(steps)
}

/// Checks that `steps` carry out the plan, each within capacities and limits: what a voter does, without a search.
///
/// # Errors
/// The first step that does not.
pub fn verify_steps(
    plan: &Plan,
    steps: &[Step],
    map: &VerifiedMap,
    limits: StepLimits,
    is_excluded: impl Fn(&str) -> bool,
) -> Result<(), RebalanceError> {
    let mut simulation = PlanSimulation::new(plan, map, limits, &is_excluded)?;
    for (number, step) in steps.iter().enumerate() {
        let invalid = |reason: &str| RebalanceError::InvalidStep { step: number, reason: reason.to_string() };
        simulation.check_batch(&step.forward).map_err(invalid)?;
        if simulation.carry_out(step.forward.clone(), number)? != *step {
            return Err(invalid("what undoes it is something else"));
        }
    }
    if !simulation.is_done() {
        let reason = "the plan goes on after the last step".to_string();
        return Err(RebalanceError::InvalidStep { step: steps.len(), reason });
    }
    Ok(())
}
