//! Simulations that compare leased shares, which follow demand, with fixed even shares: how much traffic is served when most
//! of it arrives at one broker, and how long a node's slow start takes. The ledger, planner, demand estimate and release
//! times are those of the crate.

use std::collections::{BTreeMap, VecDeque};

use dunepond_quota::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const STEP_SECONDS: f64 = 0.05;
const LEASE_SECONDS: f64 = 2.0;
const WINDOW_SECONDS: f64 = 2.0;
const PLAN_INTERVAL_SECONDS: f64 = 1.0;
/// Time from a lease request to its reply.
const ROUND_TRIP_SECONDS: f64 = 0.02;
/// Factor by which durations on the leader's clock are extended to allow for clock drift.
const DRIFT_FACTOR: f64 = 1.02;
/// Longest time for which an action may still be in progress after the broker permitted it.
const ACTION_SECONDS: f64 = 0.6;
const QUOTA: &str = "cold";
const FLOOR_RATIO: f64 = 0.25;

/// A simulated broker. An amount of 1.0 is the work that the whole quota allows in one second; times are in simulated
/// seconds.
#[derive(Clone, Default)]
struct Broker {
    allocation: Option<Allocation>,
    lease_until: f64,
    next_request_at: f64,
    demand: Demand,
    /// Time and amount of each use within the window.
    used: VecDeque<(f64, f64)>,
    offered: f64,
    /// Work rejected since the last demand sample.
    rejected: f64,
    /// Work served since the last demand sample.
    served: f64,
    sampled_at: f64,
}

/// Simulated brokers and their leader, which share one clock. An amount of 1.0 is the work that the whole quota allows in
/// one second.
struct SimulatedFleet {
    now: f64,
    /// Configuration of the planner; `None` for fixed even shares.
    planner: Option<PlannerConfig>,
    shared: SharedQuotas,
    ledger: QuotaLedger,
    brokers: Vec<Broker>,
    reports: BTreeMap<String, ReceivedReport>,
    reported_at: BTreeMap<String, f64>,
    /// By broker: the end of its last lease, the shrink generation that it acknowledged, and when it acknowledged that
    /// generation.
    last_leases: BTreeMap<String, (f64, u64, f64)>,
    /// By broker: the generation of its last shrink, and when the leader saw that shrink.
    shrink_seen: BTreeMap<String, (u64, f64)>,
    next_plan_at: f64,
    /// Number of applied entries that set shares.
    set_count: usize,
    offered: f64,
    served: f64,
    /// Largest use by all brokers over one window, as a fraction of the quota.
    max_used: f64,
    rng: Pcg64Mcg,
}

fn name(broker: usize) -> String {
    format!("n{broker}")
}

impl SimulatedFleet {
    fn new(brokers: usize, rule: Option<SplitRule>) -> Self {
        let shared = SharedQuotas::new(
            vec![QUOTA.to_string()],
            brokers as u32,
            FLOOR_RATIO,
            (WINDOW_SECONDS * 1e3) as u64,
        )
        .unwrap();
        let new_broker = |n| Broker { next_request_at: 0.1 * n as f64, ..Broker::default() };
        Self {
            now: 0.0,
            planner: rule.map(|rule| PlannerConfig { rule, ..PlannerConfig::for_lease(LEASE_SECONDS) }),
            shared,
            ledger: QuotaLedger::default(),
            brokers: (0..brokers).map(new_broker).collect(),
            reports: BTreeMap::new(),
            reported_at: BTreeMap::new(),
            last_leases: BTreeMap::new(),
            shrink_seen: BTreeMap::new(),
            next_plan_at: 0.0,
            set_count: 0,
            offered: 0.0,
            served: 0.0,
            max_used: 0.0,
            rng: Pcg64Mcg::seed_from_u64(5),
        }
    }

    /// The fraction of the quota that a broker may use now.
    fn share(&self, broker: usize) -> f64 {
        if self.planner.is_none() {
            return 1.0 / self.brokers.len() as f64;
        }
        let (b, own) = (&self.brokers[broker], LocalQuota::new(&self.shared, -WINDOW_SECONDS));
        let units = own.available_units(b.allocation.as_ref(), self.now < b.lease_until, QUOTA, self.now);
        f64::from(units) / f64::from(TOTAL_UNITS)
    }

    /// Advances by one step. `rates` lists the rate of work offered to each broker, where 1.0 is the whole
    /// quota.
    fn step(&mut self, rates: &[f64]) {
        self.now += STEP_SECONDS;
        let now = self.now;
        for (n, rate) in rates.iter().enumerate() {
            // The offered work varies at random from step to step.
            let offered = rate * STEP_SECONDS * self.rng.random_range(0.5..1.5);
            let share = self.share(n);
            let b = &mut self.brokers[n];
            b.used.retain(|(at, _)| *at > now - WINDOW_SECONDS);
            let free = share * WINDOW_SECONDS - b.used.iter().map(|used| used.1).sum::<f64>();
            let served = offered.min(free.max(0.0));
            b.used.push_back((now, served));
            (b.offered, b.served, b.rejected) =
                (b.offered + offered, b.served + served, b.rejected + offered - served);
            (self.offered, self.served) = (self.offered + offered, self.served + served);
            if now - b.sampled_at >= 0.25 {
                let seconds = now - b.sampled_at;
                b.demand.record_sample(b.served / seconds, b.rejected / seconds, share);
                (b.sampled_at, b.served, b.rejected) = (now, 0.0, 0.0);
            }
        }
        let sum: f64 = self.brokers.iter().flat_map(|b| &b.used).map(|used| used.1).sum();
        self.max_used = self.max_used.max(sum / WINDOW_SECONDS);
        if let Some(config) = self.planner {
            self.renew_leases();
            self.release_shrinks();
            self.plan(&config);
        }
    }

    fn renew_leases(&mut self) {
        for n in 0..self.brokers.len() {
            let b = &mut self.brokers[n];
            if self.now < b.next_request_at + ROUND_TRIP_SECONDS {
                continue;
            }
            let shrunk = b.allocation.as_ref().map_or(0, |allocation| allocation.shrunk_generation);
            let demand_units = BTreeMap::from([(QUOTA.to_string(), b.demand.units())]);
            let report =
                DemandReport { shrunk_generation: shrunk, shared: self.shared.clone(), demand_units };
            self.reports.insert(name(n), ReceivedReport { report, age_seconds: 0.0 });
            self.reported_at.insert(name(n), self.now);
            let last_lease = self.last_leases.entry(name(n)).or_insert((0.0, 0, self.now));
            if shrunk > last_lease.1 {
                (last_lease.1, last_lease.2) = (shrunk, self.now);
            }
            last_lease.0 = self.now + LEASE_SECONDS * DRIFT_FACTOR;
            b.allocation = self.ledger.allocation_for(&name(n));
            b.lease_until = b.next_request_at + LEASE_SECONDS;
            b.next_request_at += LEASE_SECONDS / 3.0;
        }
    }

    fn release_shrinks(&mut self) {
        let delays = ReuseDelays {
            lease_seconds: LEASE_SECONDS * DRIFT_FACTOR,
            action_seconds: ACTION_SECONDS,
            window_seconds: WINDOW_SECONDS * DRIFT_FACTOR,
        };
        let shrunk = self.ledger.brokers.iter().filter(|(_, shares)| shares.awaits_release());
        let shrunk: Vec<_> =
            shrunk.map(|(broker, shares)| (broker.clone(), shares.shrunk_generation)).collect();
        for (broker, generation) in shrunk {
            let shrink_seen =
                self.shrink_seen.get(&broker).filter(|seen| seen.0 == generation).map(|seen| seen.1);
            let shrink_seen = shrink_seen.unwrap_or(self.now);
            self.shrink_seen.insert(broker.clone(), (generation, shrink_seen));
            let process =
                self.last_leases.get(&broker).map(|(lease_over_at, acknowledged, at)| LeasedProcess {
                    lease_over_at: *lease_over_at,
                    acknowledged_at: (*acknowledged >= generation).then_some(*at),
                });
            if self.now >= reusable_from(shrink_seen, Some(-99.0), process.into_iter(), delays) {
                self.ledger.apply(&QuotaEntry::Release { broker, generation }).unwrap();
            }
        }
    }

    fn plan(&mut self, config: &PlannerConfig) {
        if self.now < self.next_plan_at {
            return;
        }
        for (broker, report) in &mut self.reports {
            report.age_seconds = self.now - self.reported_at[broker];
        }
        let entry = next_entry(&self.ledger, &self.shared, &self.reports, 99.0, config);
        self.next_plan_at = self.now
            + if matches!(entry, Some(QuotaEntry::SetShares { .. })) { PLAN_INTERVAL_SECONDS } else { 0.2 };
        if let Some(entry) = entry {
            self.set_count += usize::from(matches!(entry, QuotaEntry::SetShares { .. }));
            self.ledger.apply(&entry).unwrap();
        }
    }
}

/// Simulates three phases of `seconds` each, in which four brokers together are offered work at a rate of 0.9 of the
/// quota. In each phase, a different broker is offered the rate `hot`, and the other three share the rest evenly.
fn run_skewed(rule: Option<SplitRule>, hot: f64, seconds: f64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(4, rule);
    for hot_broker in [0, 2, 1] {
        let rest = (0.9 - hot) / 3.0;
        let rates: Vec<f64> = (0..4).map(|n| if n == hot_broker { hot } else { rest }).collect();
        (0..(seconds / STEP_SECONDS) as usize).for_each(|_| fleet.step(&rates));
    }
    fleet
}

#[rstest]
#[case::mostly_at_one(0.75, 0.2)]
#[case::half_at_one(0.5, 0.1)]
fn leased_shares_serve_more_skewed_traffic_within_total(#[case] hot: f64, #[case] min_gain: f64) {
    let (even, leased) = (run_skewed(None, hot, 30.0), run_skewed(Some(SplitRule::MaxMin), hot, 30.0));
    let served = |fleet: &SimulatedFleet| fleet.served / fleet.offered;
    assert!(
        served(&leased) > served(&even) + min_gain,
        "served {:.3} with leased and {:.3} with even shares",
        served(&leased),
        served(&even)
    );
    assert!(leased.max_used <= 1.0 + 1e-9, "{}", leased.max_used);
}

#[test]
fn steady_traffic_keeps_shares() {
    let mut fleet = SimulatedFleet::new(4, Some(SplitRule::MaxMin));
    let rates = [0.4, 0.2, 0.2, 0.1];
    (0..800).for_each(|_| fleet.step(&rates));
    let before = fleet.set_count;
    (0..4000).for_each(|_| fleet.step(&rates));
    assert!(fleet.set_count <= before + 2, "{} more entries set shares in 200 s", fleet.set_count - before);
}

/// Returns the seconds until a node in slow start has completed enough work to end the slow start, if the brokers send
/// as much as their shares of its capacity allow. The brokers are offered its whole capacity, of which `hot` goes to
/// one broker.
fn slow_start_seconds(rule: Option<SplitRule>, hot: f64) -> f64 {
    let mut fleet = SimulatedFleet::new(4, rule);
    let rest = (1.0 - hot) / 3.0;
    // Lets the shares adapt to the traffic before the node starts.
    (0..400).for_each(|_| fleet.step(&[hot, rest, rest, rest]));
    let (mut completed, started_at) = (0.0, fleet.now);
    while completed < 10.0 && fleet.now < started_at + 300.0 {
        let before = fleet.served;
        fleet.step(&[hot, rest, rest, rest]);
        completed += fleet.served - before;
    }
    fleet.now - started_at
}

#[test]
fn leased_shares_shorten_slow_start() {
    let (even, leased) = (slow_start_seconds(None, 0.85), slow_start_seconds(Some(SplitRule::MaxMin), 0.85));
    assert!(leased < 0.75 * even, "{leased:.1} s with leased and {even:.1} s with even shares");
}

/// Prints the figures that docs/notes/quota.md compares; asserts nothing.
#[test]
#[ignore = "figures"]
fn figures() {
    let rules = [None, Some(SplitRule::Even), Some(SplitRule::Proportional), Some(SplitRule::MaxMin)];
    for rule in rules {
        for hot in [0.3, 0.5, 0.75, 0.85] {
            let fleet = run_skewed(rule, hot, 30.0);
            println!(
                "{rule:?} hot {hot}: served {:.3}, moves {}, most {:.3}, slow start {:.1} s",
                fleet.served / fleet.offered,
                fleet.set_count,
                fleet.max_used,
                slow_start_seconds(rule, hot)
            );
        }
        // All brokers are overloaded, and one of them is offered ten times as much as the others.
        let mut fleet = SimulatedFleet::new(4, rule);
        (0..1200).for_each(|_| fleet.step(&[3.0, 0.3, 0.3, 0.3]));
        let shares: Vec<String> = (0..4).map(|n| format!("{:.3}", fleet.share(n))).collect();
        println!("{rule:?} one demands ten times as much: shares {}", shares.join(" "));
    }
}
