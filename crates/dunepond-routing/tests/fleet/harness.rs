//! A fleet of brokers that share simulated nodes, in simulated time and with seeded random choices.

use std::cell::RefCell;
use std::rc::Rc;

use dunepond_routing::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::nodes::{Behaviour, Nodes, SecondOfLoad};
use crate::transport::FleetTransport;

const TICK: f64 = 0.005;
const START_TIME: f64 = 100.0;

/// Distribution of work over the queries: a query is heavy or light, and all parts of a query have the same work. The unit is
/// the mean work of a part.
#[derive(Clone, Copy)]
pub struct WorkDistribution {
    /// Share of the queries whose parts are heavy.
    pub heavy_share: f64,
    /// Work of each part of a heavy query.
    pub heavy_work: f64,
    /// Work of each part of any other query.
    pub light_work: f64,
}

impl WorkDistribution {
    const UNIFORM: Self = Self { heavy_share: 0.0, heavy_work: 1.0, light_work: 1.0 };

    fn sample(self, rng: &mut Pcg64Mcg) -> f64 {
        let is_heavy = self.heavy_share > 0.0 && rng.random::<f64>() < self.heavy_share;
        if is_heavy { self.heavy_work } else { self.light_work }
    }
}

/// Brokers with their transports, and the nodes that they share.
pub struct Fleet {
    pub now: f64,
    pub brokers: Vec<(Router, FleetTransport)>,
    pub nodes: Rc<RefCell<Nodes>>,
    pub rng: Pcg64Mcg,
    /// Number of queries sent to each broker.
    query_counts: Vec<QueryId>,
    /// Relative share of the queries that is sent to each broker.
    pub load_shares: Vec<f64>,
    pub works: WorkDistribution,
}

impl Fleet {
    /// Creates brokers that know all nodes; all nodes are warm.
    pub fn new(brokers: usize, nodes: usize, budget: Option<RetryBudget>) -> Self {
        let shared = Rc::new(RefCell::new(Nodes::warm(nodes)));
        let start = |id| start_broker(id as u64, START_TIME, brokers, &shared, &budget);
        let mut fleet = Self {
            now: START_TIME,
            brokers: (0..brokers).map(start).collect(),
            nodes: shared.clone(),
            rng: Pcg64Mcg::seed_from_u64(5),
            query_counts: vec![0; brokers],
            load_shares: vec![1.0; brokers],
            works: WorkDistribution::UNIFORM,
        };
        fleet.start_nodes(&(0..nodes).map(|node| (node, 0.0)).collect::<Vec<_>>());
        fleet
    }

    /// Sets how these nodes treat parts from now on.
    pub fn set_behaviour(&mut self, nodes: impl Iterator<Item = NodeId>, behaviour: Behaviour) {
        let mut shared = self.nodes.borrow_mut();
        nodes.for_each(|node| shared.behaviours[node] = behaviour);
    }

    /// Sets when these nodes started, without informing any broker.
    pub fn set_starts(&mut self, starts: &[(NodeId, f64)]) {
        let mut shared = self.nodes.borrow_mut();
        starts.iter().for_each(|(node, at)| shared.started_at[*node] = *at);
    }

    /// Sets when these nodes started and informs all brokers at once.
    pub fn start_nodes(&mut self, starts: &[(NodeId, f64)]) {
        self.set_starts(starts);
        (0..self.brokers.len()).for_each(|id| self.inform(id, starts, EndpointState::Active));
    }

    /// Informs one broker of the starts and the state of these nodes by an update of its endpoint list.
    pub fn inform(&mut self, broker: usize, starts: &[(NodeId, f64)], state: EndpointState) {
        let row = |&(node, started_at): &(NodeId, f64)| Endpoint {
            node,
            replica_group: node,
            zone: node % 3,
            state,
            started_at,
        };
        let rows: Vec<_> = starts.iter().map(row).collect();
        let (router, transport) = &mut self.brokers[broker];
        transport.now = self.now;
        starts.iter().for_each(|(node, at)| transport.known_starts[*node] = *at);
        router.update_endpoints(transport, false, &rows);
    }

    /// Replaces these brokers by new processes that receive the list of all nodes. Queries in flight at the old ones are lost.
    pub fn restart_brokers(&mut self, brokers: impl Iterator<Item = usize>) {
        let starts: Vec<_> = self.nodes.borrow().started_at.iter().copied().enumerate().collect();
        for id in brokers {
            let seed = (1000 + id) as u64;
            self.brokers[id] = start_broker(seed, self.now, self.brokers.len(), &self.nodes, &None);
            self.query_counts[id] = 0;
            self.inform(id, &starts, EndpointState::Active);
        }
    }

    /// Advances the clock under a load in queries per second. Each query is sent to a random broker and has one part for each
    /// of `parts` segments with successive numbers.
    pub fn run(&mut self, seconds: f64, queries_per_second: f64, parts: usize) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += TICK;
            let arrivals = self.arrivals(queries_per_second * TICK);
            for (id, count) in arrivals.into_iter().enumerate() {
                self.advance_broker(id);
                (0..count).for_each(|_| self.send_query(id, parts));
            }
        }
    }

    /// Returns a random number of queries that arrive at each broker. The sum over all brokers is `expected` on average.
    fn arrivals(&mut self, expected: f64) -> Vec<usize> {
        let mut counts = vec![0; self.brokers.len()];
        let mut remaining = expected;
        while remaining > 0.0 {
            if self.rng.random::<f64>() < remaining.min(1.0) {
                counts[self.choose_broker()] += 1;
            }
            remaining -= 1.0;
        }
        counts
    }

    /// Delivers the ends of attempts that are due at a broker, and calls its `on_wake` if that is due.
    fn advance_broker(&mut self, id: usize) {
        let (router, transport) = &mut self.brokers[id];
        transport.now = self.now;
        while let Some(ended) = transport.take_ended() {
            router.on_attempt_ended(transport, ended);
        }
        if transport.take_wakes() {
            router.on_wake(transport);
        }
    }

    /// Sends a query with one part for each of `parts` segments with successive numbers to a broker.
    fn send_query(&mut self, broker: usize, parts: usize) {
        self.query_counts[broker] += 1;
        let segments = self.nodes.borrow().count();
        let first = self.rng.random_range(0..segments);
        let work = self.works.sample(&mut self.rng);
        let part = |offset| Part {
            segment: (first + offset) % segments,
            weight: 1.0 / parts as f64,
            required_node: None,
        };
        let query = Query {
            id: self.query_counts[broker],
            class: 0,
            tenant: 0,
            expires_in: 2.0,
            is_retry: false,
            body_retained: true,
            streamed: false,
            awaits_prefilter: false,
            audit: false,
            parts: (0..parts).map(part).collect(),
        };
        let (router, transport) = &mut self.brokers[broker];
        transport.works.push(work);
        router.on_query(transport, query);
    }

    /// Returns the broker to which the next query is sent.
    fn choose_broker(&mut self) -> usize {
        if self.load_shares.iter().all(|share| *share == 1.0) {
            return self.rng.random_range(0..self.load_shares.len());
        }
        let mut remaining = self.rng.random::<f64>() * self.load_shares.iter().sum::<f64>();
        let last = self.load_shares.len() - 1;
        let found = self.load_shares.iter().position(|share| {
            remaining -= share;
            remaining < 0.0
        });
        found.unwrap_or(last)
    }

    /// Returns the second in which the load of a node is highest in relation to the allowed load; see
    /// [`Nodes::busiest_second`].
    pub fn busiest_second(&self, node: NodeId, started_at: f64, until: f64) -> SecondOfLoad {
        self.nodes.borrow().busiest_second(node, started_at, until)
    }

    /// Asserts that each query at each broker has exactly one final answer.
    pub fn assert_each_query_answered_once(&self) {
        for (id, (_, transport)) in self.brokers.iter().enumerate() {
            let mut answered = transport.answered.clone();
            answered.sort_unstable();
            assert_eq!(answered, (1..=self.query_counts[id]).collect::<Vec<_>>(), "broker {id}");
        }
    }
}

/// Creates a broker without an endpoint list.
fn start_broker(
    seed: u64,
    now: f64,
    brokers: usize,
    nodes: &Rc<RefCell<Nodes>>,
    budget: &Option<RetryBudget>,
) -> (Router, FleetTransport) {
    let transport = FleetTransport::new(now, nodes.clone());
    let router = Router::new(deployment(seed, brokers, nodes.borrow().count(), budget.clone()));
    (router, transport)
}

fn deployment(seed: u64, brokers: usize, nodes: usize, budget: Option<RetryBudget>) -> Deployment {
    let full = QueryClass {
        latency_objective: 0.5,
        timeout: 2.0,
        priority_weight: 1.0,
        late_value_ratio: 0.3,
        idempotency: Idempotency::Idempotent,
        complete_at: 1.0,
        minimum_share: 1.0,
        second_step: false,
    };
    Deployment {
        seed,
        broker_count: brokers as f64,
        zone: seed as usize % 3,
        query_classes: vec![full],
        quotas: Vec::new(),
        weight_by_work: false,
        replica_groups: nodes,
        replicas: 3,
        cross_zone_cost: None,
        max_attempts: 4,
        hedging_enabled: true,
        may_cancel: true,
        may_probe: false,
        max_retry_after: 2.0,
        retry_budget: budget,
        slow_start: SlowStart {
            initial_capacity_ratio: 0.2,
            duration: 15.0,
            rate_multiple: 2.5,
            window: 1.0,
        },
        list_poll_deadline: None,
        tick: TICK,
    }
}
