//! The simulated nodes that all brokers share, and how much work each received.

use dunepond_routing::NodeId;

/// Parts of mean work that a warm node completes in a second: two workers, 0.02 s each.
const WARM_PARTS_PER_SECOND: f64 = 100.0;
/// Time of one worker for a part of mean work at a warm node, in seconds.
const SERVICE_TIME_SECONDS: f64 = 0.02;
/// What a node that just started does, relative to a warm one.
const COLD_CAPACITY_RATIO: f64 = 0.2;
/// Time until a node is warm, in seconds.
const WARM_UP_SECONDS: f64 = 15.0;
/// The slow-start setting: the rate allowed, in multiples of the node's capacity.
const RATE_MULTIPLE: f64 = 2.5;

/// How a node treats what it is sent.
#[derive(Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// Serves each part.
    Healthy,
    /// Never answers.
    Silent,
}

/// A part as it reached a node.
pub struct Sent {
    pub at: f64,
    pub node: NodeId,
    /// In units of mean work.
    pub work: f64,
    /// Whether its broker knew of the node's latest start.
    pub start_known: bool,
}

/// The nodes that all brokers share: what each was sent and when.
pub struct Nodes {
    pub behaviours: Vec<Behaviour>,
    pub started_at: Vec<f64>,
    /// When each of a node's two workers is idle again.
    workers_idle_at: Vec<[f64; 2]>,
    pub sent: Vec<Sent>,
    /// Closed connections, by time and node: the next attempt there needs a new handshake.
    pub closed: Vec<(f64, NodeId)>,
}

impl Nodes {
    /// Healthy nodes that have long been warm.
    pub fn warm(count: usize) -> Self {
        Self {
            behaviours: vec![Behaviour::Healthy; count],
            started_at: vec![0.0; count],
            workers_idle_at: vec![[0.0; 2]; count],
            sent: Vec::new(),
            closed: Vec::new(),
        }
    }

    /// Number of nodes.
    pub fn count(&self) -> usize {
        self.behaviours.len()
    }

    /// Takes a part and returns when it will be answered, or `None` if never.
    pub fn accept(&mut self, part: Sent) -> Option<f64> {
        let Sent { at, node, work, .. } = part;
        self.sent.push(part);
        if self.behaviours[node] != Behaviour::Healthy {
            return None;
        }
        let warmth = warmth(at - self.started_at[node]);
        let workers = &mut self.workers_idle_at[node];
        let worker = usize::from(workers[1] < workers[0]);
        workers[worker] = workers[worker].max(at) + SERVICE_TIME_SECONDS * work / warmth;
        Some(workers[worker])
    }

    /// The fullest second at a node between its start and `until`, in relation to what the settings allow then.
    pub fn fullest_second(&self, node: NodeId, started_at: f64, until: f64) -> Second {
        let mut sent: Vec<&Sent> = self.sent.iter().filter(|s| s.node == node).collect();
        sent.retain(|s| (started_at..until).contains(&s.at));
        let second_from = |first: &&Sent| {
            let within: Vec<&Sent> =
                sent.iter().copied().filter(|s| (first.at..first.at + 1.0).contains(&s.at)).collect();
            let from = first.at - started_at;
            Second {
                from,
                received: within.iter().map(|s| s.work).sum(),
                informed: within.iter().filter(|s| s.start_known).map(|s| s.work).sum(),
                allowed: RATE_MULTIPLE * WARM_PARTS_PER_SECOND * warmth(from),
            }
        };
        let seconds = sent.iter().map(second_from);
        let fullest = seconds.max_by(|a, b| a.overload_ratio().total_cmp(&b.overload_ratio()));
        fullest.unwrap_or(Second { from: 0.0, received: 0.0, informed: 0.0, allowed: 1.0 })
    }
}

/// Capacity of a node relative to a warm one, by its age in seconds.
fn warmth(age: f64) -> f64 {
    (COLD_CAPACITY_RATIO + (1.0 - COLD_CAPACITY_RATIO) * age / WARM_UP_SECONDS).min(1.0)
}

/// A second of a cold node. Work is in units of mean work.
#[derive(Debug)]
pub struct Second {
    /// Seconds after the node's start.
    pub from: f64,
    pub received: f64,
    /// The part of `received` from brokers that knew of the start.
    pub informed: f64,
    /// What the settings allow at that age.
    pub allowed: f64,
}

impl Second {
    /// Whether the node is overloaded, and by brokers that knew of its start: over two thirds of the work is theirs.
    pub fn is_overloaded_by_informed(&self) -> bool {
        self.received > overload_limit(self.allowed) && self.informed * 3.0 > self.received * 2.0
    }

    /// Work relative to the limit. What uninformed brokers sent breaks no rule where it is over a third.
    fn overload_ratio(&self) -> f64 {
        self.received.min(1.5 * self.informed) / overload_limit(self.allowed)
    }
}

/// The work in one second beyond which a cold node is overloaded, all brokers together; `allowed` is what the settings allow.
pub fn overload_limit(allowed: f64) -> f64 {
    allowed + 2.0 * allowed.sqrt() + 2.0
}
