//! Fair shares: max-min of amounts, max-min of rates over shared links, and the index by which spreads are judged.

/// Max-min of one amount: nobody gets more than demanded, and nobody could get more without one that has no more than
/// it getting less. What does not divide goes one by one to the first.
pub fn max_min(demands: &[u64], capacity: u64) -> Vec<u64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&i| (demands[i], i));
    let mut given = vec![0; demands.len()];
    let mut left = capacity;
    for (at, &i) in order.iter().enumerate() {
        let share = left / (demands.len() - at) as u64;
        if demands[i] > share {
            // The level is found: all the rest want more than it.
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

/// Max-min of rates by progressive filling: all flows grow alike until one of their resources is full, those stop,
/// the rest grow on. `flows` names each one's resources, `caps` what each resource bears.
pub fn rates(flows: &[Vec<usize>], caps: &[f64]) -> Vec<f64> {
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
            // Nothing bounds what is left.
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

/// Jain's index: 1 where all are alike, 1/n where one has it all.
pub fn jain(values: &[f64]) -> f64 {
    let (sum, squares) = values.iter().fold((0.0, 0.0), |(s, q), v| (s + v, q + v * v));
    if squares == 0.0 { 1.0 } else { sum * sum / (values.len() as f64 * squares) }
}
