//! The parameters of a deployment, the rules that may change while a broker runs, and this broker's
//! shares of the quotas of all brokers.

/// Whether a part may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The part is safe to run any number of times.
    Idempotent,
    /// The part is idempotent by key: a repeat is dropped within a window.
    Keyed {
        /// Seconds from the first attempt that may have run.
        window_seconds: f64,
    },
    /// The part must not run twice.
    NonIdempotent,
}

/// A kind of query, and the value of its answers.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// Seconds within which an answer has its full value.
    pub latency_objective: f64,
    /// Seconds after which its clients give up.
    pub timeout: f64,
    /// Value of an answer relative to those of other classes.
    pub priority_weight: f64,
    /// Ratio of the value that an answer after the latency objective still has.
    pub late_value_ratio: f64,
    /// Whether the query's parts may run more than once.
    pub idempotency: Idempotency,
    /// Share of the first step's weight from which an answer is complete.
    pub complete_at: f64,
    /// Smallest share of the weight for which an answer may be given.
    pub minimum_share: f64,
    /// Whether an answer contains the parts of a second step, all of which are needed.
    pub second_step: bool,
}

/// The retries and hedged requests that are allowed in any window: a number of them, and a ratio to the
/// queries and parts that arrived, whether they were admitted or not.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Length of the window, in seconds.
    pub window: f64,
    /// Number of attempts that are free in each window.
    pub min_retries: f64,
    /// Number of attempts for each query and each part that arrived in the window.
    pub ratio: f64,
}

/// Limits on what a node that has just started may be sent.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Smallest share of its full capacity that a node has at its start.
    pub initial_capacity_ratio: f64,
    /// Longest time after the start in seconds; after it the node is warm.
    pub duration: f64,
    /// Multiple of the node's present capacity that it may be sent.
    pub rate_multiple: f64,
    /// Span in seconds over which this is counted.
    pub window: f64,
}

/// The parameters of a deployment on which the decisions depend.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of brokers.
    pub broker_count: f64,
    /// The zone of this broker.
    pub zone: usize,
    /// The query classes.
    pub query_classes: Vec<QueryClass>,
    /// Each tenant's quota, in queries per second of all brokers together.
    pub quotas: Vec<f64>,
    /// Whether the value of a query grows with its work.
    pub weight_by_work: bool,
    /// Number of replica groups.
    pub replica_groups: usize,
    /// Number of replicas of each segment, each in another group.
    pub replicas: usize,
    /// The cost if all parts cross zones, as a ratio of all value; `None` if it is not stated.
    pub cross_zone_cost: Option<f64>,
    /// Largest number of attempts of a part.
    pub max_attempts: usize,
    /// Whether hedged requests are allowed.
    pub hedging_enabled: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether nodes may be probed.
    pub may_probe: bool,
    /// Longest Retry-After in seconds that a rejection may state; 0 if it may state none.
    pub max_retry_after: f64,
    /// Limit on retries and hedged requests; `None` if there is none.
    pub retry_budget: Option<RetryBudget>,
    /// Limits on what nodes that have just started may be sent.
    pub slow_start: SlowStart,
    /// If the endpoint list is only sent on request: seconds after which a broker that has not polled is
    /// assumed to know it anyway. `None` if the list is pushed.
    pub list_poll_deadline: Option<f64>,
    /// Shortest interval between two calls, in seconds.
    pub tick: f64,
}

/// The rules of a deployment that may change while a broker runs;
/// [`Router::set_rules`](crate::Router::set_rules) puts them in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// [`QueryClass::minimum_share`] by query class; a share that is missing is 1.
    pub minimum_share: Vec<f64>,
    /// [`QueryClass::complete_at`] by query class; a share that is missing is 1.
    pub complete_at: Vec<f64>,
    /// The value in place of [`Deployment::retry_budget`].
    pub retry_budget: Option<RetryBudget>,
    /// The value in place of [`Deployment::max_attempts`].
    pub max_attempts: usize,
    /// The value in place of [`Deployment::hedging_enabled`].
    pub hedging_enabled: bool,
    /// The value in place of [`SlowStart::rate_multiple`].
    pub slow_start_multiple: f64,
    /// The value in place of [`Deployment::max_retry_after`], in seconds.
    pub max_retry_after: f64,
}

impl Rules {
    /// The rules that a deployment states.
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

/// This broker's shares of the quotas of all brokers, instead of even shares;
/// [`Router::set_quota_shares`](crate::Router::set_quota_shares) puts them in force. `None` stands for
/// the share that the deployment states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShares {
    /// Parts per second that a warm node is known to complete for this broker, by which a node in slow
    /// start is sent parts.
    pub slow_start: Option<f64>,
    /// Share of the free retries of all brokers, which are [`RetryBudget::min_retries`] for each broker.
    pub retries: Option<f64>,
    /// Share of each tenant's quota, by tenant.
    pub quotas: Vec<Option<f64>>,
}

/// The use that a broker would make of these quotas.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaDemand {
    /// Parts that a warm node completes for this broker per second.
    pub slow_start: f64,
    /// Number of retries and hedged requests that were sent.
    pub retries: f64,
    /// Number of attempts that the retry budget denied.
    pub retries_denied: f64,
}
