//! What passes between dunepond's decisions and whatever carries them: plain types, and the
//! [`Transport`] that the decisions call. Nothing here decides, and nothing here knows a transport.
//!
//! A host makes one [`Router`] for each broker it carries and calls its methods as things happen;
//! within each call the broker calls back through [`Transport`]. Times are seconds on the host's own
//! clock; ids are small indices that the host hands out.

mod policy;
mod state;

pub use policy::{
    MAX_SHUTDOWN_SECONDS, MAX_STALL_SECONDS, NOTICEABLE_PAUSE_SECONDS, Router, SIGNAL_POLL_INTERVAL,
    Shutdown, ShutdownStage,
};
use serde::{Deserialize, Serialize};

/// A node, by the index the host gave its address; another may get it once [`Router::remove_node`] has been told.
pub type NodeId = usize;
/// A scan, by a number that the host never uses twice for one broker.
pub type QueryId = u64;

/// What the module can have done. Orders are carried out in the sequence they are given.
pub trait Transport {
    /// The clock; it stands still during a call.
    fn now(&self) -> f64;
    /// Sends a part to a node. A part's dispatches count from 0 in the order of these calls.
    fn send_attempt(&mut self, scan: QueryId, part: usize, node: NodeId);
    /// Gives up the connections to a node, the idle ones at once and the others once nothing is out on them
    /// any more; what is sent next opens a new one.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Stops waiting for one dispatch; its end is still reported.
    fn cancel_attempt(&mut self, scan: QueryId, part: usize, shot: usize);
    /// Asks a node for a sign of life and room; its end comes back as [`Router::on_probe_result`].
    fn probe(&mut self, node: NodeId);
    /// Answers from the parts that are in; for a scan with a second step, the first call asks for
    /// that step's parts.
    fn answer(&mut self, scan: QueryId, whole: bool);
    /// Turns the scan away: trying again is harmless, after `wait` seconds if that is above 0.
    fn reject_retriable(&mut self, scan: QueryId, wait: f64);
    /// Gives the scan up, with no promise about what ran.
    fn fail_unknown_outcome(&mut self, scan: QueryId);
    /// The scan is over for the module: no further order will name it, save a cancel of what is out.
    fn finish(&mut self, scan: QueryId);
    /// Asks for one [`Router::on_wake`] at or soon after a time.
    fn schedule_wake(&mut self, at: f64);
    /// Asks for the changes of the node list, those missed first and others as they come; its answer comes as
    /// [`Router::update_endpoints`] or [`Router::on_list_poll_failed`]. Called only where [`Deployment::list_poll_deadline`] is stated; a host
    /// that sees to its list itself does nothing.
    fn poll_endpoint_list(&mut self) {}
    /// A plain line for whoever is on call.
    fn log(&mut self, line: &str);
}

/// May a part run again?
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    /// A repeat is dropped for this long after the first dispatch that may have run.
    Keyed(f64),
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct QueryClass {
    pub latency_objective: f64,
    pub timeout: f64,
    pub priority_weight: f64,
    /// Share of the benefit still earned after the target time.
    pub late_value_ratio: f64,
    pub idempotency: Idempotency,
    /// Share of the first step's weight that makes a whole answer.
    pub complete_at: f64,
    /// Least share for any answer.
    pub minimum_share: f64,
    pub second_step: bool,
}

/// Further dispatches allowed in any `window`: `free`, plus `share` of the scans and parts taken.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    pub window: f64,
    pub min_retries: f64,
    pub ratio: f64,
}

/// How a node that has just started must be spared.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a node has at its start, at least.
    pub initial_capacity_ratio: f64,
    /// When it is warm at the latest.
    pub duration: f64,
    /// Multiple of its capacity at that moment, and the span that it is counted over.
    pub rate_multiple: f64,
    pub window: f64,
}

/// What a deployment states about itself, as far as the module goes by it.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub seed: u64,
    pub broker_count: f64,
    /// Our own zone.
    pub zone: usize,
    pub query_classes: Vec<QueryClass>,
    /// Each customer's scans a second within its share, all brokers together.
    pub quotas: Vec<f64>,
    /// The benefit of a scan grows with its work.
    pub weight_by_work: bool,
    pub replica_groups: usize,
    pub replicas: usize,
    /// What it costs if all parts cross zones, as a share of all benefit; `None` where that is not stated.
    pub cross_zone_cost: Option<f64>,
    pub max_attempts: usize,
    pub hedging_enabled: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Longest wait that a throttling reply may name; 0 where it may name none.
    pub max_retry_after: f64,
    pub retry_budget: Option<RetryBudget>,
    pub slow_start: SlowStart,
    /// Where the node list comes only when it is asked for: seconds after which a broker that has not asked is
    /// taken to know it all the same. `None` where it is pushed.
    pub list_poll_deadline: Option<f64>,
    /// Least time between two calls.
    pub tick: f64,
}

/// What may change of a deployment while a broker runs; [`Router::set_rules`] puts it in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// By table type, as [`QueryClass::minimum_share`] and [`QueryClass::complete_at`]; a share that is missing is 1.
    pub minimum_share: Vec<f64>,
    pub complete_at: Vec<f64>,
    pub retry_budget: Option<RetryBudget>,
    pub max_attempts: usize,
    pub hedging_enabled: bool,
    /// As [`SlowStart::rate_multiple`].
    pub slow_start_multiple: f64,
    /// Seconds; 0 where a throttling reply may name no wait.
    pub max_retry_after: f64,
}

impl Rules {
    /// What a deployment states.
    pub fn of(site: &Deployment) -> Self {
        Self {
            minimum_share: site.query_classes.iter().map(|t| t.minimum_share).collect(),
            complete_at: site.query_classes.iter().map(|t| t.complete_at).collect(),
            retry_budget: site.retry_budget.clone(),
            max_attempts: site.max_attempts,
            hedging_enabled: site.hedging_enabled,
            slow_start_multiple: site.slow_start.rate_multiple,
            max_retry_after: site.max_retry_after,
        }
    }
}

/// Our parts of bounds that hold for all brokers together, in place of an even one; [`Router::set_quota_shares`] puts them in
/// force. Nothing: as the deployment states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShares {
    /// Parts a second of ours that a warm node is known to take: what a cold one is spared goes by it.
    pub slow_start: Option<f64>,
    /// Share of the free further dispatches of all brokers, which are [`RetryBudget::min_retries`] for each.
    pub retries: Option<f64>,
    /// Share of each customer's quota, by customer.
    pub quotas: Vec<Option<f64>>,
}

/// What a broker would use of such bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaDemand {
    /// Parts that a warm node completes for it each second.
    pub slow_start: f64,
    /// Further dispatches made, and how often there was no room for one.
    pub retries: f64,
    pub retries_denied: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointState {
    Active,
    Draining,
    Removed,
}

/// A line of the node list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub node: NodeId,
    pub replica_group: usize,
    pub zone: usize,
    pub state: EndpointState,
    /// When its process last started, on the host's clock; 0 if long ago.
    pub started_at: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Part {
    pub segment: usize,
    pub weight: f64,
    /// The only node that may have this part: a non-replayable part of a segment whose owner is agreed.
    pub required_node: Option<NodeId>,
}

/// A scan as it comes in, with the parts of its first step.
#[derive(Clone, Debug)]
pub struct Query {
    pub id: QueryId,
    pub class: usize,
    pub tenant: usize,
    /// Time left before the client gives this try up.
    pub expires_in: f64,
    /// Marked by its client as a further try.
    pub is_retry: bool,
    /// Its text can be had again for further dispatches; if not, its parts go out at its arrival or never.
    pub body_retained: bool,
    /// Its frames may take long to go out: [`Router::on_frame_written`] tells of each that has.
    pub streamed: bool,
    /// Nothing goes out before [`Router::on_prefilter_result`] has told which parts are left out.
    pub awaits_prefilter: bool,
    /// No client waits for it: it goes out once, if nothing is pressed, and its parts count for no budget.
    pub audit: bool,
    pub parts: Vec<Part>,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    Served,
    Error,
    /// Turned away unseen.
    Rejected,
    TimedOut,
    ConnectFailed,
    /// The connection broke while it was out.
    ConnectionLost,
    Cancelled,
    /// Never issued.
    NotSent,
}

/// What was learned of a node, in seconds ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedNode {
    pub node: NodeId,
    pub ejected: bool,
    /// The oldest first.
    pub samples: Vec<LearnedSample>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSample {
    pub class: usize,
    pub sent_ago: f64,
    pub latency: f64,
    pub ended_ago: f64,
    pub served: bool,
    pub fault: bool,
}

/// What a broker has learned, for one that comes after it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    pub nodes: Vec<LearnedNode>,
    /// What completions took, how long ago they were, and each node's part of one.
    pub latency_samples: Vec<(f64, f64, f64)>,
    /// Breaks after idle times: how long ago, how long it was idle, and whether it broke.
    pub idle_resets: Vec<(f64, f64, bool)>,
    /// What dispatches take at ease.
    pub baseline_latency: Option<f64>,
}

/// What a broker has spent, in seconds ago: further dispatches, scans and parts taken, parts to cold nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpentBudgets {
    pub retries: Vec<f64>,
    pub admissions: Vec<(f64, f64)>,
    pub slow_start_sends: Vec<(NodeId, Vec<f64>)>,
}

/// A dispatch that has ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    pub query: QueryId,
    pub part: usize,
    pub attempt: usize,
    pub node: NodeId,
    pub outcome: AttemptOutcome,
    /// Seconds since it was sent.
    pub elapsed: f64,
}
