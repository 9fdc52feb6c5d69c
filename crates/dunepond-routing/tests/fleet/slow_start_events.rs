//! Slow start summed over all brokers, while another event occurs: brokers restart, are informed late, or the load changes.

use dunepond_routing::{EndpointState, NodeId};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use crate::harness::{Fleet, WorkDistribution};
use crate::nodes::SecondOfLoad;

/// How queries are distributed over the brokers, and how work is distributed over the queries.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// All brokers get the same number of queries, and all parts have the same work.
    Even,
    /// One broker in six gets more than three times the mean number of queries.
    Uneven,
    /// A quarter of the queries have parts of 2.2 times the mean work, and the others of 0.6 times.
    MixedWork,
}

/// What happens while nodes are in slow start.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// All brokers started less than a second before the nodes.
    NewBrokers,
    /// All brokers restart at the same time as the nodes.
    BrokersRestart,
    /// Seven in ten brokers restart one second after the nodes.
    BrokersRestartLater,
    /// The brokers are informed of the start of the nodes within two seconds, a tenth of the brokers at a time.
    InformedLate,
    /// The nodes restart with the same ids eight seconds after the first start.
    SameIds,
    /// The load rises by a factor of fifteen three seconds after the start.
    Burst,
    /// Two of the three replicas of some segments are removed four seconds after the start.
    ReplicasLost,
}

/// The nodes that started, and how long they ran.
struct Starts {
    nodes: Vec<NodeId>,
    /// For each start, its instant and the instant until which the nodes ran: the next start or the end of the test.
    spans: Vec<(f64, f64)>,
}

impl Event {
    /// Returns the seconds before the nodes start, and the queries per second during that time.
    fn warm_up(self) -> (f64, f64) {
        match self {
            Self::NewBrokers => (0.8, 90.0),
            Self::Burst => (3.0, 10.0),
            _ => (3.0, 90.0),
        }
    }

    /// Simulates the event and returns the nodes that started.
    fn simulate(self, fleet: &mut Fleet) -> Starts {
        let (seconds, queries) = self.warm_up();
        fleet.run(seconds, queries, 8);
        let step = if matches!(self, Self::ReplicasLost) { 3 } else { 1 };
        let nodes: Vec<NodeId> = (0..6).step_by(step).collect();
        let mut starts = vec![fleet.now];
        self.start_nodes(fleet, &nodes);
        if let Some(second_start) = self.run(fleet, &nodes) {
            starts.push(second_start);
        }
        let ends: Vec<f64> = starts[1..].iter().copied().chain([fleet.now]).collect();
        Starts { nodes, spans: starts.into_iter().zip(ends).collect() }
    }

    /// Starts the nodes and informs the brokers, unless the event is that they are informed late.
    fn start_nodes(self, fleet: &mut Fleet, nodes: &[NodeId]) {
        let starts = starts_at(nodes, fleet.now);
        if matches!(self, Self::InformedLate) {
            fleet.set_starts(&starts);
        } else {
            fleet.start_nodes(&starts);
        }
    }

    /// Simulates what follows the start of the nodes. Returns the instant of their second start if there is one.
    fn run(self, fleet: &mut Fleet, nodes: &[NodeId]) -> Option<f64> {
        let brokers = fleet.brokers.len();
        let mut second_start = None;
        match self {
            Self::NewBrokers => fleet.run(2.5, 90.0, 8),
            Self::BrokersRestart => {
                fleet.restart_brokers(0..brokers);
                fleet.run(2.5, 90.0, 8);
            }
            Self::BrokersRestartLater => {
                fleet.run(1.0, 90.0, 8);
                fleet.restart_brokers((0..brokers).filter(|id| id % 10 < 7));
                fleet.run(2.0, 90.0, 8);
            }
            Self::InformedLate => {
                let starts = starts_at(nodes, fleet.now);
                for tenth in 0..10 {
                    let informed = (0..brokers).filter(|id| id % 10 == tenth);
                    informed.for_each(|id| fleet.inform(id, &starts, EndpointState::Active));
                    fleet.run(0.2, 90.0, 8);
                }
                fleet.run(1.0, 90.0, 8);
            }
            Self::SameIds => {
                fleet.run(8.0, 90.0, 8);
                second_start = Some(fleet.now);
                fleet.start_nodes(&starts_at(nodes, fleet.now));
                fleet.run(2.0, 90.0, 8);
            }
            Self::Burst => {
                fleet.run(3.0, 10.0, 8);
                fleet.run(1.5, 150.0, 8);
            }
            Self::ReplicasLost => {
                fleet.run(4.0, 90.0, 8);
                let lost = starts_at(&[1, 2, 4, 5], 0.0);
                (0..brokers).for_each(|id| fleet.inform(id, &lost, EndpointState::Removed));
                fleet.run(1.5, 90.0, 8);
            }
        }
        second_start
    }
}

/// Returns the starts of several nodes at the same instant.
fn starts_at(nodes: &[NodeId], at: f64) -> Vec<(NodeId, f64)> {
    nodes.iter().map(|node| (*node, at)).collect()
}

/// Work is counted in units of mean work. Only overload caused by brokers that knew of the start counts as a failure.
#[rstest]
fn node_in_slow_start_is_not_overloaded(
    #[values(6, 20, 30, 150, 300)] brokers: usize,
    #[values(Load::Even, Load::Uneven, Load::MixedWork)] load: Load,
    #[values(
        Event::NewBrokers,
        Event::BrokersRestart,
        Event::BrokersRestartLater,
        Event::InformedLate,
        Event::SameIds,
        Event::Burst,
        Event::ReplicasLost
    )]
    event: Event,
) {
    let mut fleet = Fleet::new(brokers, 12, None);
    // Of the sixteen seeds that were tried, this is the one with which an earlier slow start limit failed most often; it
    // derived a rate from the completions measured at the moment and let a broker send one part to the node in each interval
    // of that rate, whereas now completions fill token buckets.
    fleet.rng = Pcg64Mcg::seed_from_u64(9);
    if matches!(load, Load::Uneven) {
        fleet.load_shares = (0..brokers).map(|id| if id % 6 == 0 { 5.0 } else { 0.6 }).collect();
    }
    if matches!(load, Load::MixedWork) {
        fleet.works = WorkDistribution { heavy_share: 0.25, heavy_work: 2.2, light_work: 0.6 };
    }
    let starts = event.simulate(&mut fleet);
    for node in starts.nodes {
        for (start, until) in &starts.spans {
            let second = fleet.busiest_second(node, *start, *until);
            let SecondOfLoad { from, received, informed, allowed } = second;
            assert!(
                !second.is_overloaded_by_informed(),
                "node {node} is overloaded {from:.1} s after its start: received {received:.1}, {informed:.1} informed, {allowed:.1} allowed"
            );
            assert!(received > 0.0, "node {node} received no work");
        }
    }
}
