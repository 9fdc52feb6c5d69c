//! The host of the router: the queries in flight, and the connections and timers on which the router's orders are carried
//! out.

mod admission;
mod completion;
mod coordination;
mod streamed_bodies;
mod transport;

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use dunepond_body_buffer::{BodyId, FallbackReason};
use dunepond_config::HostSettings;
use dunepond_prefilter::{PrunedSegment, RequestFailure};
use dunepond_routing::{
    AbandonedIds, AttemptOutcome, Deployment, Idempotency, MAX_STALL_SECONDS, NodeId, QueryId, QueryMemory,
    admits_further_search,
};

use crate::body::Payload;
use crate::body_store::BodyStore;
use crate::buffers::Pools;
use crate::clock::{TimerKey, Timers};
use crate::control_plane::ControlPlaneClient;
use crate::downstream::Downstream;
use crate::frames;
use crate::prefilter_connections::PrefilterConnections;
use crate::run_id::RunId;
use crate::search_api::{ActiveRequest, ActiveSearch};
use crate::upstream::Upstream;
use coordination::Coordination;

/// Tenant index of an audit, which belongs to no tenant.
const NO_TENANT: usize = usize::MAX;

/// A query from its request until it is answered and all its attempts have ended.
struct ActiveQuery {
    /// The search of a search API request that the query runs for; `None` for other queries.
    search: Option<Box<ActiveSearch>>,
    /// Index of the client connection; `None` for an audit.
    client: Option<usize>,
    query_class: usize,
    request_id: String,
    payload: Payload,
    /// The query's streamed body, if it has one.
    body: Option<BodyId>,
    /// Why the streamed body is not available for retries.
    body_failure: Option<FallbackReason>,
    /// The segment of each part.
    segments: Vec<usize>,
    /// The id of each part in the frames to and from nodes: the request id and the segment.
    part_ids: Vec<Rc<str>>,
    /// The answer that a node returned for each part, as text; `None` until the part has been answered. For a search
    /// API request the text is empty, as the answer is merged into `search`.
    values: Vec<Option<String>>,
    /// Segments that the prefilter pruned, each with the basis of that decision.
    pruned: Vec<PrunedSegment>,
    /// The nodes of each part's attempts, in the order of the attempts.
    attempts: Vec<Vec<NodeId>>,
    /// How many bytes are stored for the query: its text and the answers to its parts.
    stored_bytes: u64,
    /// For each part, when the first of its attempts that may have run was sent; `f64::MAX` if there is none.
    first_possible_run_at: Vec<f64>,
    /// When the query times out, in Unix seconds.
    expires_at: f64,
    timer: Option<TimerKey>,
    tenant: usize,
    /// What the fleet's active configuration requires of the query; `None` if the query has not been checked against
    /// that configuration.
    coordination: Option<Coordination>,
    /// Number of attempts that have not ended.
    outstanding: usize,
    /// Whether the query has its final answer or its client has disconnected: nothing more is sent for it.
    is_finished: bool,
    /// Whether the client was served or rejected, so that its id may come again.
    is_settled: bool,
}

/// A query that has its final answer, or whose client has disconnected.
pub struct FinishedQuery {
    /// Id of the query.
    pub query: QueryId,
    /// Whether the query was answered completely.
    pub completely_answered: bool,
}

/// An attempt of a query and the node that it was dispatched to.
struct SentAttempt {
    part: usize,
    /// Index of the attempt among those of its part, from 0.
    index: usize,
    node: NodeId,
}

/// The host of the router: carries out the router's orders on connections, timers and queries in flight.
pub struct RouterHost {
    /// Unix time in seconds; stays the same during a call to the router.
    pub now: f64,
    /// The buffers of all connections.
    pub pools: Pools,
    /// The timers of the whole event loop.
    pub timers: Timers,
    /// Connections of clients.
    pub downstream: Downstream,
    /// Connections to nodes.
    pub upstream: Upstream,
    /// The bodies of streamed requests; `None` if the operator's file does not enable these.
    pub body_store: Option<BodyStore>,
    /// Prefilter connections to nodes; `None` if the operator's file does not enable the prefilter.
    pub prefilter_connections: Option<PrefilterConnections>,
    /// The client of the fleet's control plane; `None` if the operator's file names no fleet.
    pub control_plane: Option<ControlPlaneClient>,
    /// Finished queries that have not been reported to the prefilter yet.
    pub finished_queries: Vec<FinishedQuery>,
    /// Search API requests in flight, by the id that is assigned to their client connection.
    search_requests: HashMap<u64, ActiveRequest>,
    /// The memory of the queries and search API requests in flight.
    memory: QueryMemory,
    /// The client connection that uploads each streamed body.
    uploads: HashMap<BodyId, usize>,
    host_settings: Rc<HostSettings>,
    replica_groups: usize,
    replicas: usize,
    max_attempts: usize,
    /// Longest Retry-After of a rejection in seconds; 0 if a rejection may not have one.
    max_retry_after: f64,
    /// How often the queries of each query class may run.
    idempotencies: Vec<Idempotency>,
    /// The timeout of each query class, in seconds.
    timeouts: Vec<f64>,
    /// For each query class, the maximum time from sending a part's first attempt that may have run to sending a retry
    /// of that part, in seconds.
    retry_windows: Vec<f64>,
    queries: HashMap<QueryId, ActiveQuery>,
    request_ids: HashSet<String>,
    /// The ids of requests that may have run and whose clients got no answer.
    abandoned_ids: AbandonedIds,
    /// Part of the request ids that the broker makes itself.
    run_id: RunId,
    /// The id that was most recently given to a query or a search API request.
    last_id: QueryId,
    /// Number of unfinished queries plus the number of their parts that have not been answered; bounded by
    /// `HostSettings::max_in_flight`.
    in_flight: usize,
}

impl ActiveQuery {
    /// Creates a query that has no client, tenant, deadline or attempts yet.
    fn new(request_id: String, query_class: usize, payload: Payload, segments: Vec<usize>) -> Self {
        let part_count = segments.len();
        Self {
            search: None,
            client: None,
            query_class,
            part_ids: segments.iter().map(|segment| format!("{request_id}.{segment}").into()).collect(),
            request_id,
            payload,
            body: None,
            body_failure: None,
            segments,
            values: vec![None; part_count],
            pruned: Vec::new(),
            attempts: vec![Vec::new(); part_count],
            stored_bytes: 0,
            first_possible_run_at: vec![f64::MAX; part_count],
            expires_at: f64::MAX,
            timer: None,
            tenant: NO_TENANT,
            coordination: None,
            outstanding: 0,
            is_finished: false,
            is_settled: false,
        }
    }

    /// Whether the query may have run although its client was neither served nor rejected.
    fn is_abandoned(&self) -> bool {
        !self.is_settled && self.first_possible_run_at.iter().any(|at| *at != f64::MAX)
    }

    /// Returns the number of parts that have not been answered.
    fn open_parts(&self) -> usize {
        self.values.iter().filter(|value| value.is_none()).count()
    }

    /// Returns every attempt so far, ended ones included.
    fn all_attempts(&self) -> Vec<SentAttempt> {
        let mut all = Vec::new();
        for (part, nodes) in self.attempts.iter().enumerate() {
            all.extend(nodes.iter().enumerate().map(|(index, node)| SentAttempt {
                part,
                index,
                node: *node,
            }));
        }
        all
    }
}

/// Whether an attempt with this outcome may have run at the node.
fn may_have_run(outcome: AttemptOutcome) -> bool {
    !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed | AttemptOutcome::Rejected)
}

/// Returns the maximum time from sending a part's first attempt that may have run to sending a retry of that part, in
/// seconds. `margin` is subtracted from the idempotency window of a keyed class.
fn retry_window(idempotency: Idempotency, margin: f64) -> f64 {
    match idempotency {
        Idempotency::Idempotent => f64::MAX,
        Idempotency::Keyed { window_seconds } => window_seconds - margin,
        Idempotency::NonIdempotent => 0.0,
    }
}

impl RouterHost {
    /// Creates the host for the router of a deployment, with nothing in flight.
    pub fn new(
        deployment: &Deployment,
        host_settings: Rc<HostSettings>,
        pools: &Pools,
        downstream: Downstream,
        upstream: Upstream,
        run_id: RunId,
        memory: QueryMemory,
    ) -> Self {
        Self {
            now: 0.0,
            pools: pools.clone(),
            timers: Timers::default(),
            downstream,
            upstream,
            body_store: None,
            prefilter_connections: None,
            control_plane: None,
            search_requests: HashMap::new(),
            finished_queries: Vec::new(),
            memory,
            uploads: HashMap::new(),
            host_settings,
            replica_groups: deployment.replica_groups,
            replicas: deployment.replicas,
            max_attempts: deployment.max_attempts,
            max_retry_after: deployment.max_retry_after,
            idempotencies: deployment.query_classes.iter().map(|class| class.idempotency).collect(),
            timeouts: deployment.query_classes.iter().map(|class| class.timeout).collect(),
            retry_windows: deployment
                .query_classes
                .iter()
                .map(|class| retry_window(class.idempotency, MAX_STALL_SECONDS))
                .collect(),
            queries: HashMap::new(),
            request_ids: HashSet::new(),
            abandoned_ids: AbandonedIds::default(),
            run_id,
            last_id: 0,
            in_flight: 0,
        }
    }

    /// Returns the names of the tenants, by index.
    pub fn tenants(&self) -> Vec<String> {
        self.host_settings.tenants.clone()
    }

    /// Returns the names of the query classes, by index.
    pub fn query_classes(&self) -> Vec<String> {
        self.host_settings.query_classes.clone()
    }

    /// Writes queued frames to the nodes, freeing file descriptors for new connections if none are left.
    pub fn flush(&mut self) {
        self.upstream.resume_awaiting_memory();
        self.upstream.flush(self.now, &mut self.timers);
        while self.upstream.is_awaiting_descriptor() {
            let has_descriptor = self.free_descriptor();
            self.upstream.retry_awaiting_descriptor(self.now, has_descriptor, &mut self.timers);
        }
    }

    /// Frees a file descriptor by closing an idle client connection, or else an idle connection to a node; returns
    /// `false` if there is none to close. Guards against clients that use up all descriptors, so that the broker can no
    /// longer connect to nodes and discovery.
    pub fn free_descriptor(&mut self) -> bool {
        let (now, timers) = (self.now, &mut self.timers);
        self.downstream.evict_one(now, timers) || self.upstream.close_longest_idle(now, timers)
    }

    /// Returns how many bytes are stored for queries and search API requests in flight.
    pub fn stored_query_bytes(&self) -> u64 {
        self.memory.stored_bytes()
    }

    /// Whether as many queries and parts are in flight as the settings or the memory allow.
    fn is_full(&self) -> bool {
        self.host_settings.max_in_flight.is_some_and(|max| self.in_flight >= max)
            || !self.memory.admits(self.in_flight)
    }

    /// Whether so many queries and parts are in flight that a request gets no further searches.
    fn is_full_for_further_searches(&self) -> bool {
        self.host_settings.max_in_flight.is_some_and(|max| !admits_further_search(self.in_flight, max))
    }

    /// Whether a query is to be given up, as its answers have taken more memory than queries may take.
    pub fn exceeds_memory(&self, query: QueryId) -> bool {
        self.memory.is_exceeded() && self.is_active(query)
    }

    /// Whether the query is in flight and not finished.
    pub fn is_active(&self, query: QueryId) -> bool {
        self.queries.get(&query).is_some_and(|active| !active.is_finished)
    }

    /// Returns the text and the segments of a query; `None` if the query is not in flight or its payload is not an
    /// inline text.
    pub fn prefilter_input(&self, query: QueryId) -> Option<(Rc<str>, Vec<usize>)> {
        let active = self.queries.get(&query)?;
        match &active.payload {
            Payload::Inline(text) => Some((text.clone(), active.segments.clone())),
            _ => None,
        }
    }

    /// Asks a node which segments can match a query's text. If the node is draining or removed, sends nothing, and the
    /// prefilter request `request` fails as `NodeGone`.
    pub fn send_prefilter_request(&mut self, node: NodeId, request: u64, text: &str, segments: &[usize]) {
        let Some(prefilter_connections) = &mut self.prefilter_connections else { return };
        let frame = frames::encode_prefilter_request(request, text, segments);
        match self.upstream.active_address(node) {
            Some(address) => {
                prefilter_connections.send(self.now, node, address, request, &frame, &mut self.timers)
            }
            None => prefilter_connections.responses.push_back((request, Err(RequestFailure::NodeGone))),
        }
    }

    /// Records the segments that the prefilter has pruned from a query.
    pub fn prune(&mut self, query: QueryId, pruned: Vec<PrunedSegment>) {
        if let Some(active) = self.queries.get_mut(&query) {
            active.pruned = pruned;
        }
    }

    /// Removes segments from a query's list of pruned segments, as these segments are searched after all.
    pub fn restore_pruned(&mut self, query: QueryId, segments: &[usize]) {
        if let Some(active) = self.queries.get_mut(&query) {
            active.pruned.retain(|pruned| !segments.contains(&pruned.segment));
        }
    }
}
