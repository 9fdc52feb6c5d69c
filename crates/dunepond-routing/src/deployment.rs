//! What a deployment states about itself, what of it may change while a broker runs, and the bounds shared by
//! all brokers.

/// Whether a part may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Safe to run any number of times.
    Idempotent,
    /// Idempotent by key: a repeat is dropped for this many seconds after the first attempt that may have
    /// run.
    Keyed(f64),
    /// Must not run twice.
    NonIdempotent,
}

/// A kind of query, and what its answers are worth.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// Seconds within which an answer has its full value.
    pub latency_objective: f64,
    /// Seconds after which its clients give up.
    pub timeout: f64,
    /// Value of an answer against those of other classes.
    pub priority_weight: f64,
    /// Share of the value that an answer past the latency objective still has.
    pub late_value_ratio: f64,
    /// Whether its parts may run again.
    pub idempotency: Idempotency,
    /// Share of the first step's weight that makes a complete answer.
    pub complete_at: f64,
    /// Least share for any answer.
    pub minimum_share: f64,
    /// An answer brings the parts of a second step, all of which are needed.
    pub second_step: bool,
}

/// Retries and hedged requests allowed in any window: so many, and a ratio to the queries and parts admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Seconds.
    pub window: f64,
    /// Attempts that are free in each window.
    pub min_retries: f64,
    /// Attempts for each query and each part admitted in the window.
    pub ratio: f64,
}

/// How a node that has just started is spared.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a node has at its start, at least.
    pub initial_capacity_ratio: f64,
    /// Seconds after which it is warm at the latest.
    pub duration: f64,
    /// Multiple of its capacity at that moment that it may be sent.
    pub rate_multiple: f64,
    /// Seconds over which that is counted.
    pub window: f64,
}

/// What a deployment states about itself, as far as the decisions go by it.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Seed of all random choices.
    pub seed: u64,
    /// How many brokers there are.
    pub broker_count: f64,
    /// Our own zone.
    pub zone: usize,
    /// The kinds of queries.
    pub query_classes: Vec<QueryClass>,
    /// Each tenant's quota in queries a second, all brokers together.
    pub quotas: Vec<f64>,
    /// The value of a query grows with its work.
    pub weight_by_work: bool,
    /// How many replica groups there are.
    pub replica_groups: usize,
    /// Replicas of each segment, in as many groups.
    pub replicas: usize,
    /// What it costs if all parts cross zones, as a share of all value; `None` where that is not stated.
    pub cross_zone_cost: Option<f64>,
    /// How often a part may be sent.
    pub max_attempts: usize,
    /// Hedged requests are allowed.
    pub hedging_enabled: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Nodes may be probed.
    pub may_probe: bool,
    /// Longest Retry-After in seconds that a rejection may name; 0 where it may name none.
    pub max_retry_after: f64,
    /// Bound on retries and hedged requests; `None` where there is none.
    pub retry_budget: Option<RetryBudget>,
    /// How nodes that have just started must be spared.
    pub slow_start: SlowStart,
    /// Where the endpoint list comes only on request: seconds after which a broker that has not polled is taken to know it all
    /// the same. `None` where it is pushed.
    pub list_poll_deadline: Option<f64>,
    /// Least seconds between two calls.
    pub tick: f64,
}

/// What may change of a deployment while a broker runs; [`Router::set_rules`](crate::Router::set_rules) puts it in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// By query class, as [`QueryClass::minimum_share`]; a share that is missing is 1.
    pub minimum_share: Vec<f64>,
    /// By query class, as [`QueryClass::complete_at`]; a share that is missing is 1.
    pub complete_at: Vec<f64>,
    /// As [`Deployment::retry_budget`].
    pub retry_budget: Option<RetryBudget>,
    /// As [`Deployment::max_attempts`].
    pub max_attempts: usize,
    /// As [`Deployment::hedging_enabled`].
    pub hedging_enabled: bool,
    /// As [`SlowStart::rate_multiple`].
    pub slow_start_multiple: f64,
    /// As [`Deployment::max_retry_after`], in seconds.
    pub max_retry_after: f64,
}

impl Rules {
    /// What a deployment states.
    pub fn of(deployment: &Deployment) -> Self {
        let classes = &deployment.query_classes;
        Self {
            minimum_share: classes.iter().map(|class| class.minimum_share).collect(),
            complete_at: classes.iter().map(|class| class.complete_at).collect(),
            retry_budget: deployment.retry_budget.clone(),
            max_attempts: deployment.max_attempts,
            hedging_enabled: deployment.hedging_enabled,
            slow_start_multiple: deployment.slow_start.rate_multiple,
            max_retry_after: deployment.max_retry_after,
        }
    }
}

/// This broker's shares of the bounds of all brokers, in place of even ones;
/// [`Router::set_quota_shares`](crate::Router::set_quota_shares) puts them in force. `None`: as the
/// deployment states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShares {
    /// Parts a second of ours that a warm node is known to take: a node in slow start is sent by it.
    pub slow_start: Option<f64>,
    /// Share of the free retries of all brokers, which are [`RetryBudget::min_retries`] for each.
    pub retries: Option<f64>,
    /// Share of each tenant's quota, by tenant.
    pub quotas: Vec<Option<f64>>,
}

/// What a broker would use of such bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaDemand {
    /// Parts that a warm node completes for it each second.
    pub slow_start: f64,
    /// Retries and hedged requests sent.
    pub retries: f64,
    /// How often the retry budget denied one.
    pub retries_denied: f64,
}
