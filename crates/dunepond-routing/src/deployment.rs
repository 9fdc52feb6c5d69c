//! The parameters of a deployment, the rules that may change while a broker runs, and this broker's shares of
//! the quotas that apply to all brokers together.

/// Whether a part may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The part is safe to run any number of times.
    Idempotent,
    /// The part contains an idempotency key, by which a repeat is recognised and dropped within the
    /// idempotency window. A repeat after the end of the window would run again.
    Keyed {
        /// Length of the idempotency window in seconds, counted from the first attempt that may have run.
        window_seconds: f64,
    },
    /// The part must not run twice.
    NonIdempotent,
}

/// A class of queries with the same latency objective, timeout, idempotency, and rules for the value and the
/// completeness of their answers.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// Time after a query's arrival, in seconds, within which its answer has its full value.
    pub latency_objective: f64,
    /// Time after a query's arrival, in seconds, after which clients of this class stop waiting.
    pub timeout: f64,
    /// Value of an answer relative to the answers of other classes.
    pub priority_weight: f64,
    /// Value of an answer after the latency objective, as a fraction of its value before.
    pub late_value_ratio: f64,
    /// Whether the query's parts may run more than once.
    pub idempotency: Idempotency,
    /// Share of the total weight of the first step's parts that must be served for a complete answer. (A
    /// query runs in one or two steps.)
    pub complete_at: f64,
    /// Share of the total weight of a step's parts that must be served for a partial answer. Partial answers
    /// are given only if this share is less than `complete_at`.
    pub minimum_share: f64,
    /// Whether queries of this class have a second step: the answer to the first step contains the parts of the
    /// second one, and all of those must be served.
    pub second_step: bool,
}

/// Limit on the number of retries and hedged requests within any period of length `window`: a fixed number,
/// plus a ratio of the queries and parts that arrived in that period, whether they were admitted or not.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Length in seconds of the window over which retries and arrivals are counted.
    pub window: f64,
    /// Number of retries and hedged requests that are allowed in each window regardless of the load.
    pub min_retries: f64,
    /// Number of retries and hedged requests that are allowed in a window in addition to `min_retries`, for
    /// each query and each part that arrives in the window.
    pub ratio: f64,
}

/// Limits on the parts that are sent to a node that has just started, while its capacity still grows.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Lowest capacity of a node that has just started, as a ratio of its full capacity.
    pub initial_capacity_ratio: f64,
    /// Longest warm-up time in seconds; a node that has run for longer is warm, that is, has its full
    /// capacity.
    pub duration: f64,
    /// Rate at which all brokers together may send parts to a node in slow start, as a multiple of the node's
    /// present capacity.
    pub rate_multiple: f64,
    /// Length in seconds of the window over which the parts sent to a node in slow start are counted.
    pub window: f64,
}

/// The parameters of a deployment on which the routing decisions depend.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of brokers in the deployment.
    pub broker_count: f64,
    /// The zone of this broker.
    pub zone: usize,
    /// The query classes; [`Query::class`](crate::Query::class) is an index into this list.
    pub query_classes: Vec<QueryClass>,
    /// Each tenant's quota, in queries per second over all brokers together.
    pub quotas: Vec<f64>,
    /// Whether the value of a query is proportional to its work.
    pub weight_by_work: bool,
    /// Number of replica groups; the nodes of a group serve the same segments.
    pub replica_groups: usize,
    /// Number of replicas of each segment, each in a different replica group.
    pub replicas: usize,
    /// Cost of sending all parts to other zones, as a ratio of the value of all answers; `None` if the
    /// deployment does not state it.
    pub cross_zone_cost: Option<f64>,
    /// Largest number of attempts of each part, including the first one.
    pub max_attempts: usize,
    /// Whether hedged requests are allowed.
    pub hedging_enabled: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether nodes may be probed.
    pub may_probe: bool,
    /// Longest Retry-After in seconds that a rejection may state; 0 if rejections state none.
    pub max_retry_after: f64,
    /// Limit on retries and hedged requests; `None` if there is none.
    pub retry_budget: Option<RetryBudget>,
    /// Limits on what nodes that have just started may be sent.
    pub slow_start: SlowStart,
    /// Longest allowed interval in seconds between two polls of the endpoint list, if the list is only sent
    /// on request; `None` if it is pushed. A broker is assumed to know a change of the list this long after
    /// the change, even if it has not polled.
    pub list_poll_deadline: Option<f64>,
    /// The clock's unit: the shortest interval between two calls to the router, in seconds.
    pub tick: f64,
}

/// The rules of a deployment that may change while a broker runs;
/// [`Router::set_rules`](crate::Router::set_rules) applies them.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Replaces [`QueryClass::minimum_share`], by query class; a missing entry means 1.
    pub minimum_share: Vec<f64>,
    /// Replaces [`QueryClass::complete_at`], by query class; a missing entry means 1.
    pub complete_at: Vec<f64>,
    /// Replaces [`Deployment::retry_budget`].
    pub retry_budget: Option<RetryBudget>,
    /// Replaces [`Deployment::max_attempts`].
    pub max_attempts: usize,
    /// Replaces [`Deployment::hedging_enabled`].
    pub hedging_enabled: bool,
    /// Replaces [`SlowStart::rate_multiple`].
    pub slow_start_multiple: f64,
    /// Replaces [`Deployment::max_retry_after`], in seconds.
    pub max_retry_after: f64,
}

impl Rules {
    /// Returns the rules that a deployment states.
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

/// This broker's shares of the quotas that apply to all brokers together;
/// [`Router::set_quota_shares`](crate::Router::set_quota_shares) applies them. For a field that is `None`,
/// the router determines the value from the deployment and its own measurements.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaShares {
    /// Number of parts per second that a warm node (one past its slow start) is taken to complete for this
    /// broker. The rate at which this broker may send parts to a node in slow start is proportional to this
    /// number.
    pub slow_start: Option<f64>,
    /// This broker's fraction of the sum of [`RetryBudget::min_retries`] over all brokers.
    pub retries: Option<f64>,
    /// This broker's fraction of each tenant's quota, by tenant.
    pub quotas: Vec<Option<f64>>,
}

/// This broker's use of the quotas that apply to all brokers together, and the attempts that it was denied;
/// returned by [`Router::quota_demand`](crate::Router::quota_demand).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaDemand {
    /// Measured number of parts per second that a warm node (one past its slow start) completes for this
    /// broker.
    pub slow_start: f64,
    /// Number of retries and hedged requests sent in the period that was passed to
    /// [`Router::quota_demand`](crate::Router::quota_demand).
    pub retries: f64,
    /// Number of attempts that the retry budget has denied since the previous call of
    /// [`Router::quota_demand`](crate::Router::quota_demand).
    pub retries_denied: f64,
}
