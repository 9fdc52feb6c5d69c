//! State of a router: queries in flight, nodes, latencies, admission records, and spent budgets. No decision is
//! made here: the code that decides on the basis of this state is in `policy`.

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
use crate::{Deployment, IdleUseRecord, NodeId, QueryClass, QueryId, QuotaShares, Rules};

/// Makes the routing decisions of one broker and holds all the state on which they depend.
///
/// The host calls its methods as events occur, and each gives its orders through
/// [`Transport`](crate::Transport). All instants are in seconds on the transport's clock.
pub struct Router {
    pub(crate) deployment: Deployment,
    /// The rules in force. A query in flight also keeps the rules that were in force on its arrival.
    pub(crate) rules: Arc<Rules>,
    /// This broker's shares of the quotas of all brokers.
    pub(crate) quota_shares: QuotaShares,
    /// The transport's time, as read at the start of the present call.
    pub(crate) now: f64,
    pub(crate) rng: Pcg64Mcg,
    /// Nodes by id; `None` for an id that is not in use.
    pub(crate) nodes: Vec<Option<Node>>,
    /// Node ids by replica group, so that the cost of placing a part does not grow with the number of nodes.
    pub(crate) replica_groups: Vec<Vec<NodeId>>,
    /// Node ids by segment, of the segments whose replicas do not follow from the replica groups.
    pub(crate) segment_replicas: BTreeMap<usize, Vec<NodeId>>,
    pub(crate) queries: BTreeMap<QueryId, InFlightQuery>,
    pub(crate) latency: LatencyStats,
    pub(crate) admission: AdmissionHistory,
    pub(crate) retries: RetryHistory,
    pub(crate) probes: VecDeque<ProbeResult>,
    pub(crate) idle_uses: VecDeque<IdleUse>,
    /// Instant of the requested call of [`Router::on_wake`]; `f64::MAX` if none is requested.
    pub(crate) wake_due_at: f64,
    pub(crate) endpoint_poll: EndpointPoll,
    /// The shutdown in progress; `None` while the process has not been signalled to end.
    pub(crate) shutdown: Option<Shutdown>,
}

/// The result of a probe.
#[derive(Clone, Copy)]
pub struct ProbeResult {
    /// When the probe ended.
    pub at: f64,
    /// Whether the probe failed or took longer than a network round trip, and so contains information about
    /// the node's queue.
    pub is_informative: bool,
}

/// The outcome of an attempt on a connection that had been idle.
#[derive(Clone, Copy)]
pub struct IdleUse {
    /// When the attempt ended.
    pub at: f64,
    /// Seconds that the connection had been idle before the attempt.
    pub idle_seconds: f64,
    /// Whether the connection broke at once; otherwise the attempt was served.
    pub broke: bool,
}

impl IdleUse {
    /// Converts the outcome of the attempt to the stored form, with an age instead of an instant.
    pub fn to_record(self, now: f64) -> IdleUseRecord {
        IdleUseRecord { ago: age(self.at, now), idle_seconds: self.idle_seconds, broke: self.broke }
    }

    /// Converts the stored outcome of an attempt on an idle connection; the stored age of the outcome becomes an
    /// instant on this process's clock.
    pub fn from_record(record: &IdleUseRecord, now: f64) -> Self {
        let &IdleUseRecord { ago, idle_seconds, broke } = record;
        Self { at: now - ago, idle_seconds, broke }
    }
}

impl Router {
    /// Creates a router that has no endpoint list, samples or queries yet.
    pub(crate) fn with_empty_state(deployment: Deployment) -> Self {
        Self {
            rules: Arc::new(Rules::of(&deployment)),
            quota_shares: QuotaShares::default(),
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(deployment.seed),
            nodes: Vec::new(),
            replica_groups: vec![Vec::new(); deployment.replica_groups],
            segment_replicas: BTreeMap::new(),
            queries: BTreeMap::new(),
            latency: LatencyStats::new(&deployment),
            admission: AdmissionHistory::new(&deployment),
            retries: RetryHistory::new(&deployment),
            probes: VecDeque::new(),
            idle_uses: VecDeque::new(),
            wake_due_at: f64::MAX,
            endpoint_poll: EndpointPoll::new(&deployment),
            shutdown: None,
            deployment,
        }
    }

    /// Returns the class of a query.
    pub(crate) fn class(&self, query: &InFlightQuery) -> &QueryClass {
        &self.deployment.query_classes[query.class]
    }

    /// Returns the node with this id; `None` if it was never listed or has been removed.
    pub(crate) fn node_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(id).and_then(Option::as_mut)
    }
}

/// Appends a sample and drops the oldest one if there are then more than `max_count`.
pub fn keep_last<T>(samples: &mut VecDeque<T>, sample: T, max_count: usize) {
    samples.push_back(sample);
    if samples.len() > max_count {
        samples.pop_front();
    }
}

/// Returns the seconds since an instant; 0 if it is in the future.
fn age(at: f64, now: f64) -> f64 {
    (now - at).max(0.0)
}
