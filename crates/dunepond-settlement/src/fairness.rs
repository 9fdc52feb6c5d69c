//! Max-min fairness of amounts, and of rates over shared resources; Jain's index.

/// Max-min fair split of `capacity`: nobody gets more than demanded, and nobody could get more without somebody with no
/// more than it getting less. A remainder goes to the first ones, one unit each.
pub fn max_min(demands: &[u64], capacity: u64) -> Vec<u64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&i| (demands[i], i));
    let mut given = vec![0; demands.len()];
    let mut left = capacity;
    for (at, &i) in order.iter().enumerate() {
        let share = left / (demands.len() - at) as u64;
        if demands[i] > share {
            // All the others demand more than an even share.
            let mut rest = order[at..].to_vec();
            rest.sort_unstable();
            let mut over = left - share * rest.len() as u64;
            for j in rest {
                let one = u64::from(over > 0);
                given[j] = share + one;
                over -= one;
            }
            break;
        }
        given[i] = demands[i];
        left -= demands[i];
    }
    given
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
        let tight = (0..caps.len()).filter(|&r| users[r] > 0);
        let Some(tight) =
            tight.min_by(|&a, &b| (left[a] / users[a] as f64).total_cmp(&(left[b] / users[b] as f64)))
        else {
            // No resource limits the remaining flows.
            growing.iter().for_each(|&flow| rates[flow] = f64::INFINITY);
            break;
        };
        let step = (left[tight] / users[tight] as f64).max(0.0);
        for &flow in &growing {
            rates[flow] += step;
            flows[flow].iter().for_each(|&r| left[r] -= step);
        }
        left[tight] = 0.0;
        growing.retain(|&flow| !flows[flow].contains(&tight));
    }
    rates
}

/// Jain's fairness index: 1 where all are equal, 1/n where one has everything.
pub fn jain_index(values: &[f64]) -> f64 {
    let (sum, squares) = values.iter().fold((0.0, 0.0), |(s, q), v| (s + v, q + v * v));
    if squares == 0.0 { 1.0 } else { sum * sum / (values.len() as f64 * squares) }
}
