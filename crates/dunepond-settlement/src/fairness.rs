//! Max-min fair splits of amounts and of rates over shared resources, and Jain's fairness index.

/// Returns the max-min fair split of `capacity`, as one share per demand in the same order.
///
/// No share exceeds its demand, and no share can grow unless an equal or smaller share shrinks. If the rest of the capacity
/// cannot be divided evenly among the demands above an even share, the first of them get one unit more each.
pub fn max_min(demands: &[u64], capacity: u64) -> Vec<u64> {
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by_key(|&index| (demands[index], index));
    let mut shares = vec![0; demands.len()];
    let mut remaining = capacity;
    for (position, &index) in by_demand.iter().enumerate() {
        let even_share = remaining / (demands.len() - position) as u64;
        if demands[index] > even_share {
            // All remaining demands exceed an even share.
            let mut others = by_demand[position..].to_vec();
            others.sort_unstable();
            let remainder = remaining - even_share * others.len() as u64;
            for (position, other) in others.into_iter().enumerate() {
                shares[other] = even_share + u64::from((position as u64) < remainder);
            }
            break;
        }
        shares[index] = demands[index];
        remaining -= demands[index];
    }
    shares
}

/// Returns the max-min fair rate of each flow, computed by progressive filling.
///
/// All rates grow equally until a resource is full. The flows that use it stop growing and the others continue. `flows` lists
/// the indexes of the resources that each flow uses, `caps` the capacity of each resource. A flow without a limit gets an
/// infinite rate.
pub fn max_min_rates(flows: &[Vec<usize>], caps: &[f64]) -> Vec<f64> {
    let mut rates = vec![0.0; flows.len()];
    let mut remaining = caps.to_vec();
    let mut growing: Vec<usize> = (0..flows.len()).collect();
    while !growing.is_empty() {
        let mut users = vec![0usize; caps.len()];
        for resource in growing.iter().flat_map(|&flow| &flows[flow]) {
            users[*resource] += 1;
        }
        let step_to_full = |resource: usize| remaining[resource] / users[resource] as f64;
        let used = (0..caps.len()).filter(|&resource| users[resource] > 0);
        let Some(bottleneck) = used.min_by(|&a, &b| step_to_full(a).total_cmp(&step_to_full(b))) else {
            // No resource limits the remaining flows.
            growing.iter().for_each(|&flow| rates[flow] = f64::INFINITY);
            break;
        };
        let step = step_to_full(bottleneck).max(0.0);
        for &flow in &growing {
            rates[flow] += step;
            flows[flow].iter().for_each(|&resource| remaining[resource] -= step);
        }
        remaining[bottleneck] = 0.0;
        growing.retain(|&flow| !flows[flow].contains(&bottleneck));
    }
    rates
}

/// Returns Jain's fairness index of n values: 1 if all are equal, 1/n if all but one are 0.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 { 1.0 } else { sum * sum / (values.len() as f64 * squares) }
}
