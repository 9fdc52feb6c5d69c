//! Max-min fairness of amounts, and of rates over shared resources; Jain's index.

/// Max-min fair split of `capacity`: nobody gets more than demanded, and nobody could get more without somebody with no
/// more than it getting less. A remainder goes to the first ones, one unit each.
pub fn max_min(demands: &[u64], capacity: u64) -> Vec<u64> {
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by_key(|&index| (demands[index], index));
    let mut shares = vec![0; demands.len()];
    let mut left = capacity;
    for (place, &index) in by_demand.iter().enumerate() {
        let even_share = left / (demands.len() - place) as u64;
        if demands[index] > even_share {
            // All the others demand more than an even share.
            let mut others = by_demand[place..].to_vec();
            others.sort_unstable();
            let remainder = left - even_share * others.len() as u64;
            for (place, other) in others.into_iter().enumerate() {
                shares[other] = even_share + u64::from((place as u64) < remainder);
            }
            break;
        }
        shares[index] = demands[index];
        left -= demands[index];
    }
    shares
}

/// Max-min fair rates by progressive filling: all flows grow alike until a resource is full, its flows stop, the others
/// grow on. `flows` lists the resources of each flow, `caps` the capacity of each resource.
pub fn max_min_rates(flows: &[Vec<usize>], caps: &[f64]) -> Vec<f64> {
    let mut rates = vec![0.0; flows.len()];
    let mut left = caps.to_vec();
    let mut growing: Vec<usize> = (0..flows.len()).collect();
    while !growing.is_empty() {
        let mut users = vec![0usize; caps.len()];
        for resource in growing.iter().flat_map(|&flow| &flows[flow]) {
            users[*resource] += 1;
        }
        let step_of = |resource: usize| left[resource] / users[resource] as f64;
        let used = (0..caps.len()).filter(|&resource| users[resource] > 0);
        let Some(bottleneck) = used.min_by(|&a, &b| step_of(a).total_cmp(&step_of(b))) else {
            // No resource limits the remaining flows.
            growing.iter().for_each(|&flow| rates[flow] = f64::INFINITY);
            break;
        };
        let step = step_of(bottleneck).max(0.0);
        for &flow in &growing {
            rates[flow] += step;
            flows[flow].iter().for_each(|&resource| left[resource] -= step);
        }
        left[bottleneck] = 0.0;
        growing.retain(|&flow| !flows[flow].contains(&bottleneck));
    }
    rates
}

/// Jain's fairness index: 1 where all are equal, 1/n where one has everything.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    if squares == 0.0 { 1.0 } else { sum * sum / (values.len() as f64 * squares) }
}
