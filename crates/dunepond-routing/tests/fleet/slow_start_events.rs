//! Slow start over the sum of all brokers, when something else happens at the same time: brokers restart, are informed late, or
//! the load changes.

use dunepond_routing::{EndpointState, NodeId};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use crate::harness::{Fleet, WorkDistribution};
use crate::nodes::Second;

/// How queries and their work are distributed over the brokers.
#[derive(Clone, Copy, Debug)]
enum Load {
    Even,
    /// One broker in six gets over three times the mean.
    Uneven,
    /// A quarter of the queries have parts of 2.2 times mean work, the others of 0.6.
    MixedWork,
}

/// What happens to the brokers while half of the nodes start.
#[derive(Clone, Copy, Debug)]
enum Event {
    NewBrokers,
    /// All brokers restart with the nodes.
    BrokersRestart,
    /// Seven in ten brokers restart a second later.
    BrokersRestartLater,
    /// The brokers are informed of the start one tenth after the other, for two seconds.
    InformedLate,
    /// The nodes start again under the same ids, eight seconds later.
    SameIds,
    /// The load rises fifteenfold three seconds after the start.
    Burst,
    /// Two of three replicas are removed four seconds after the start.
    ReplicasLost,
}

/// Nodes that started, and the times between their starts.
struct Starts {
    nodes: Vec<NodeId>,
    spans: Vec<(f64, f64)>,
}

impl Event {
    /// Seconds and queries a second before the nodes start.
    fn warm_up(self) -> (f64, f64) {
        match self {
            Self::NewBrokers => (0.8, 90.0),
            Self::Burst => (3.0, 10.0),
            _ => (3.0, 90.0),
        }
    }

    fn play(self, fleet: &mut Fleet) -> Starts {
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

    fn start_nodes(self, fleet: &mut Fleet, nodes: &[NodeId]) {
        let starts = starts_at(nodes, fleet.now);
        if matches!(self, Self::InformedLate) {
            fleet.set_starts(&starts);
        } else {
            fleet.start_nodes(&starts);
        }
    }

    /// Plays what follows the start, and returns the time of a second start.
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

fn starts_at(nodes: &[NodeId], at: f64) -> Vec<(NodeId, f64)> {
    nodes.iter().map(|node| (*node, at)).collect()
}

/// Counted in mean work; only what informed brokers cause counts as overload.
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
    // Of sixteen seeds the one at which an earlier limit by rates and turns failed most often.
    fleet.rng = Pcg64Mcg::seed_from_u64(9);
    if matches!(load, Load::Uneven) {
        fleet.load_shares = (0..brokers).map(|id| if id % 6 == 0 { 5.0 } else { 0.6 }).collect();
    }
    if matches!(load, Load::MixedWork) {
        fleet.works = WorkDistribution { heavy_share: 0.25, heavy_work: 2.2, light_work: 0.6 };
    }
    let starts = event.play(&mut fleet);
    for node in starts.nodes {
        for (start, until) in &starts.spans {
            let second = fleet.fullest_second(node, *start, *until);
            let Second { from, received, informed, allowed } = second;
            assert!(
                !second.is_overloaded_by_informed(),
                "node {node} is overloaded {from:.1} s after its start: {received:.1}, {informed:.1} of it informed, {allowed:.1} allowed"
            );
            assert!(received > 0.0, "node {node} got nothing");
        }
    }
}
