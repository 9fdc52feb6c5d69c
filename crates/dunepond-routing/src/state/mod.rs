//! State of a router: queries in flight, nodes, latencies, admissions, and spent budgets. No decision is
//! made here: every rule that reads or changes this state is in `policy`.

mod admission;
mod endpoint_poll;
mod latency;
mod node;
mod query;
mod retry_budget;
mod shutdown;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::admission::{AdmissionHistory, ObjectiveResult};
pub use self::endpoint_poll::EndpointPoll;
pub use self::latency::{CompletionSample, LatencyStats, ZoneSample};
pub use self::node::{Ejection, Node, NodeSample, OutstandingAttempt, SampleOutcome, TokenBucket};
pub use self::query::{Attempt, InFlightQuery, PartState, PartStatus, Probing};
pub use self::retry_budget::RetryHistory;
pub use self::shutdown::Shutdown;
use crate::{Deployment, IdleResetRecord, NodeId, QueryClass, QueryId, QuotaShares, Rules};

/// The routing decisions of one broker, with all the state on which they depend.
///
/// The host calls its methods as events occur, and each gives its orders through
/// [`Transport`](crate::Transport). Instants are in seconds on the transport's clock.
pub struct Router {
    pub(crate) deployment: Deployment,
    /// The rules in force; a query in flight also keeps those that were in force on its arrival.
    pub(crate) rules: Arc<Rules>,
    /// This broker's shares of the quotas of all brokers.
    pub(crate) quota_shares: QuotaShares,
    pub(crate) now: f64,
    pub(crate) rng: Pcg64Mcg,
    /// Nodes by id; `None` for an id that is not in use.
    pub(crate) nodes: Vec<Option<Node>>,
    /// Node ids by replica group: a part only looks at its own replicas, so its cost does not grow with the
    /// fleet.
    pub(crate) replica_groups: Vec<Vec<NodeId>>,
    pub(crate) queries: BTreeMap<QueryId, InFlightQuery>,
    pub(crate) latency: LatencyStats,
    pub(crate) admission: AdmissionHistory,
    pub(crate) retries: RetryHistory,
    pub(crate) probes: VecDeque<ProbeResult>,
    pub(crate) idle_resets: VecDeque<IdleReset>,
    /// Instant of the requested wake; `f64::MAX` if none is requested.
    pub(crate) wake_due_at: f64,
    pub(crate) endpoint_poll: EndpointPoll,
    /// The shutdown under way, if the process has been told to end.
    pub(crate) shutdown: Option<Shutdown>,
}

/// The result of a probe.
#[derive(Clone, Copy)]
pub struct ProbeResult {
    pub at: f64,
    /// Whether it failed, or took longer than a bare round trip, and so contains information about the
    /// node's queue.
    pub is_informative: bool,
}

/// The outcome of an attempt on a connection that had been idle.
#[derive(Clone, Copy)]
pub struct IdleReset {
    pub at: f64,
    pub idle_seconds: f64,
    /// Whether the connection broke at once; otherwise the attempt was served.
    pub broke: bool,
}

impl IdleReset {
    /// The outcome in the form that is stored for another process.
    pub fn to_record(self, now: f64) -> IdleResetRecord {
        IdleResetRecord { ago: age(self.at, now), idle_seconds: self.idle_seconds, broke: self.broke }
    }

    /// The stored outcome on this process's clock.
    pub fn from_record(record: &IdleResetRecord, now: f64) -> Self {
        let &IdleResetRecord { ago, idle_seconds, broke } = record;
        Self { at: now - ago, idle_seconds, broke }
    }
}

impl Router {
    /// Creates a router without any state except what its deployment states.
    pub(crate) fn with_empty_state(deployment: Deployment) -> Self {
        Self {
            rules: Arc::new(Rules::of(&deployment)),
            quota_shares: QuotaShares::default(),
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(deployment.seed),
            nodes: Vec::new(),
            replica_groups: vec![Vec::new(); deployment.replica_groups],
            queries: BTreeMap::new(),
            latency: LatencyStats::new(&deployment),
            admission: AdmissionHistory::new(&deployment),
            retries: RetryHistory::new(&deployment),
            probes: VecDeque::new(),
            idle_resets: VecDeque::new(),
            wake_due_at: f64::MAX,
            endpoint_poll: EndpointPoll::new(&deployment),
            shutdown: None,
            deployment,
        }
    }

    /// The class of a query.
    pub(crate) fn class(&self, query: &InFlightQuery) -> &QueryClass {
        &self.deployment.query_classes[query.class]
    }

    /// The node with this id, unless it was never listed or has been dropped.
    pub(crate) fn node_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(id).and_then(Option::as_mut)
    }
}

/// Appends a sample and keeps only the newest `most`.
pub fn keep_last<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    samples.push_back(sample);
    if samples.len() > most {
        samples.pop_front();
    }
}

/// Seconds since an instant; 0 if it is in the future.
fn age(at: f64, now: f64) -> f64 {
    (now - at).max(0.0)
}
