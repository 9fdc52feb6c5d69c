//! The simulated nodes that all brokers share, with a record of the parts that each node received.

use dunepond_routing::NodeId;

/// Number of parts of mean work that a warm node completes per second: two workers, 0.02 s for each part.
const WARM_PARTS_PER_SECOND: f64 = 100.0;
/// Time that one worker of a warm node takes for a part of mean work, in seconds.
const SERVICE_TIME_SECONDS: f64 = 0.02;
/// Capacity of a node that has just started, relative to a warm node.
const COLD_CAPACITY_RATIO: f64 = 0.2;
/// Time until a node is warm, in seconds.
const WARM_UP_SECONDS: f64 = 15.0;
/// Rate at which a node in slow start may be sent parts, as a multiple of its present capacity.
const RATE_MULTIPLE: f64 = 2.5;

/// How a node treats the parts that it is sent.
#[derive(Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// The node serves each part.
    Healthy,
    /// The node never answers.
    Silent,
}

/// A part that was sent to a node.
pub struct Sent {
    pub at: f64,
    pub node: NodeId,
    /// Work of the part, in units of mean work.
    pub work: f64,
    /// Whether the broker that sent the part knew of the node's latest start.
    pub start_known: bool,
}

/// The nodes that all brokers share, with the parts that were sent to them.
pub struct Nodes {
    pub behaviours: Vec<Behaviour>,
    pub started_at: Vec<f64>,
    /// Instants at which each of a node's two workers becomes idle, by node.
    workers_idle_at: Vec<[f64; 2]>,
    pub sent: Vec<Sent>,
    /// Closed connections, by instant and node; the next attempt at the node needs a new connection.
    pub closed: Vec<(f64, NodeId)>,
}

impl Nodes {
    /// Creates healthy, warm nodes.
    pub fn warm(count: usize) -> Self {
        Self {
            behaviours: vec![Behaviour::Healthy; count],
            started_at: vec![0.0; count],
            workers_idle_at: vec![[0.0; 2]; count],
            sent: Vec::new(),
            closed: Vec::new(),
        }
    }

    /// Returns the number of nodes.
    pub fn count(&self) -> usize {
        self.behaviours.len()
    }

    /// Accepts a part and returns the instant at which it will be answered; `None` if it never will be.
    pub fn accept(&mut self, part: Sent) -> Option<f64> {
        let Sent { at, node, work, .. } = part;
        self.sent.push(part);
        if self.behaviours[node] != Behaviour::Healthy {
            return None;
        }
        let capacity_ratio = capacity_ratio(at - self.started_at[node]);
        let workers = &mut self.workers_idle_at[node];
        let worker = usize::from(workers[1] < workers[0]);
        workers[worker] = workers[worker].max(at) + SERVICE_TIME_SECONDS * work / capacity_ratio;
        Some(workers[worker])
    }

    /// Returns the second between a node's start and `until` in which its load is highest in relation to the allowed load.
    pub fn busiest_second(&self, node: NodeId, started_at: f64, until: f64) -> SecondOfLoad {
        let mut sent: Vec<&Sent> = self.sent.iter().filter(|s| s.node == node).collect();
        sent.retain(|s| (started_at..until).contains(&s.at));
        let second_from = |first: &&Sent| {
            let within: Vec<&Sent> =
                sent.iter().copied().filter(|s| (first.at..first.at + 1.0).contains(&s.at)).collect();
            let from = first.at - started_at;
            SecondOfLoad {
                from,
                received: within.iter().map(|s| s.work).sum(),
                informed: within.iter().filter(|s| s.start_known).map(|s| s.work).sum(),
                allowed: RATE_MULTIPLE * WARM_PARTS_PER_SECOND * capacity_ratio(from),
            }
        };
        let seconds = sent.iter().map(second_from);
        let busiest = seconds.max_by(|a, b| a.overload_ratio().total_cmp(&b.overload_ratio()));
        busiest.unwrap_or(SecondOfLoad { from: 0.0, received: 0.0, informed: 0.0, allowed: 1.0 })
    }
}

/// Returns the capacity of a node relative to a warm node, by its age in seconds.
fn capacity_ratio(age: f64) -> f64 {
    (COLD_CAPACITY_RATIO + (1.0 - COLD_CAPACITY_RATIO) * age / WARM_UP_SECONDS).min(1.0)
}

/// The load of a node in slow start during one second. Work is in units of mean work.
#[derive(Debug)]
pub struct SecondOfLoad {
    /// Start of the second, in seconds after the node's start.
    pub from: f64,
    /// Work that the node received.
    pub received: f64,
    /// Work that the node received from brokers that knew of its start.
    pub informed: f64,
    /// Work that the slow start settings allow at the node's age at the start of the second.
    pub allowed: f64,
}

impl SecondOfLoad {
    /// Returns whether the node is overloaded and more than two thirds of its work come from brokers that knew of its start.
    pub fn is_overloaded_by_informed(&self) -> bool {
        self.received > overload_limit(self.allowed) && self.informed * 3.0 > self.received * 2.0
    }

    /// Returns the received work as a ratio of the overload limit. Brokers that do not know of the node's start cannot respect
    /// the slow start limit, so their work counts only up to half of that from the brokers that know of it, which is a third of
    /// the sum.
    fn overload_ratio(&self) -> f64 {
        self.received.min(1.5 * self.informed) / overload_limit(self.allowed)
    }
}

/// Returns the work from all brokers in one second above which a node in slow start is overloaded; `allowed` is the work that
/// the slow start settings allow.
pub fn overload_limit(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}
