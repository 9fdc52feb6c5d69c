//! Hosts the router: queries in flight, and the connections and timers that its orders use.

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
use dunepond_routing::{AttemptOutcome, Deployment, Idempotency, MAX_STALL_SECONDS, NodeId, QueryId};

use crate::body::Payload;
use crate::body_store::BodyStore;
use crate::buffers::Pool;
use crate::clock::{TimerKey, Timers};
use crate::control_plane::ControlPlaneClient;
use crate::downstream::Downstream;
use crate::frames;
use crate::prefilter_connections::PrefilterConnections;
use crate::search_api::{ActiveRequest, ActiveSearch};
use crate::upstream::Upstream;
use coordination::Coordination;

/// The tenant of an audit.
const NO_TENANT: usize = usize::MAX;

/// A query from its request until it is answered and all its attempts have ended.
struct ActiveQuery {
    /// The search API's search that it runs for, if any.
    search: Option<Box<ActiveSearch>>,
    /// Index of the client connection; `None` for an audit.
    client: Option<usize>,
    query_class: usize,
    request_id: String,
    payload: Payload,
    /// Its streamed body, and why that is not available for retries.
    body: Option<BodyId>,
    body_failure: Option<FallbackReason>,
    segments: Vec<usize>,
    part_ids: Vec<Rc<str>>,
    /// The value of each part that has been answered.
    values: Vec<Option<String>>,
    /// Segments that the prefilter pruned, and on whose answer.
    pruned: Vec<PrunedSegment>,
    /// The nodes of each part's attempts.
    attempts: Vec<Vec<NodeId>>,
    /// When the first attempt of each part that may have run was sent; `f64::MAX` if there is none.
    may_run_since: Vec<f64>,
    expires_at: f64,
    timer: Option<TimerKey>,
    tenant: usize,
    coordination: Option<Coordination>,
    outstanding: usize,
    /// It has its final answer, or its client has disconnected: nothing more is sent for it.
    is_finished: bool,
}

/// A query that has its final answer, or whose client has disconnected.
pub struct FinishedQuery {
    /// The query.
    pub query: QueryId,
    /// It was answered, and completely.
    pub completely_answered: bool,
}

/// An attempt of a query, at its node.
struct SentAttempt {
    part: usize,
    /// Which attempt of its part it is, from 0.
    index: usize,
    node: NodeId,
}

/// Hosts the router: what it orders is done here, on connections, timers and queries in flight.
pub struct RouterHost {
    /// Unix time in seconds; stands still during a call of the router.
    pub now: f64,
    pool: Pool,
    /// Timers of the whole event loop.
    pub timers: Timers,
    /// Connections of clients.
    pub downstream: Downstream,
    /// Connections to nodes.
    pub upstream: Upstream,
    /// Bodies of streamed requests, if the operator's file enables them.
    pub body_store: Option<BodyStore>,
    /// Prefilter connections to nodes, if the operator's file enables the prefilter.
    pub prefilter_connections: Option<PrefilterConnections>,
    /// `None` if the operator's file names no fleet.
    pub control_plane: Option<ControlPlaneClient>,
    /// Queries that are finished, for the prefilter.
    pub finished_queries: Vec<FinishedQuery>,
    /// Search API requests in flight, by the id that their client connections hold.
    search_requests: HashMap<u64, ActiveRequest>,
    /// Size of the values held for queries in flight.
    value_bytes: u64,
    /// The client that uploads each body.
    uploads: HashMap<BodyId, usize>,
    bounds: Rc<HostSettings>,
    replica_groups: usize,
    replicas: usize,
    max_attempts: usize,
    /// Longest Retry-After of a rejection, in seconds; 0 if none may be named.
    max_retry_after: f64,
    /// By query class: its timeout, and for how long after an attempt that may have run a retry may be sent. Both in seconds.
    timeouts: Vec<f64>,
    retry_windows: Vec<f64>,
    queries: HashMap<QueryId, ActiveQuery>,
    request_ids: HashSet<String>,
    last_id: QueryId,
    /// Unfinished queries plus their parts without a value; bounded by `HostSettings::max_in_flight`.
    in_flight: usize,
}

impl ActiveQuery {
    /// A query without client, tenant, deadline and attempts.
    fn new(request_id: String, query_class: usize, payload: Payload, segments: Vec<usize>) -> Self {
        let count = segments.len();
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
            values: vec![None; count],
            pruned: Vec::new(),
            attempts: vec![Vec::new(); count],
            may_run_since: vec![f64::MAX; count],
            expires_at: f64::MAX,
            timer: None,
            tenant: NO_TENANT,
            coordination: None,
            outstanding: 0,
            is_finished: false,
        }
    }

    fn open_parts(&self) -> usize {
        self.values.iter().filter(|value| value.is_none()).count()
    }

    /// Every attempt so far.
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

fn may_have_run(outcome: AttemptOutcome) -> bool {
    !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::ConnectFailed | AttemptOutcome::Rejected)
}

/// How long after an attempt that may have run a retry may be sent, in seconds.
fn retry_window(idempotency: Idempotency, margin: f64) -> f64 {
    match idempotency {
        Idempotency::Idempotent => f64::MAX,
        Idempotency::Keyed { window_seconds } => window_seconds - margin,
        Idempotency::NonIdempotent => 0.0,
    }
}

impl RouterHost {
    /// Hosts the router of this deployment, with nothing in flight.
    pub fn new(
        deployment: &Deployment,
        bounds: Rc<HostSettings>,
        pool: &Pool,
        downstream: Downstream,
        upstream: Upstream,
    ) -> Self {
        Self {
            now: 0.0,
            pool: pool.clone(),
            timers: Timers::default(),
            downstream,
            upstream,
            body_store: None,
            prefilter_connections: None,
            control_plane: None,
            search_requests: HashMap::new(),
            finished_queries: Vec::new(),
            value_bytes: 0,
            uploads: HashMap::new(),
            bounds,
            replica_groups: deployment.replica_groups,
            replicas: deployment.replicas,
            max_attempts: deployment.max_attempts,
            max_retry_after: deployment.max_retry_after,
            timeouts: deployment.query_classes.iter().map(|class| class.timeout).collect(),
            retry_windows: deployment
                .query_classes
                .iter()
                .map(|class| retry_window(class.idempotency, MAX_STALL_SECONDS))
                .collect(),
            queries: HashMap::new(),
            request_ids: HashSet::new(),
            last_id: 0,
            in_flight: 0,
        }
    }

    /// The tenants' names, by index.
    pub fn tenants(&self) -> Vec<String> {
        self.bounds.tenants.clone()
    }

    /// The query classes' names, by index.
    pub fn query_classes(&self) -> Vec<String> {
        self.bounds.query_classes.clone()
    }

    /// Writes queued frames to the nodes.
    pub fn flush(&mut self) {
        self.upstream.flush(self.now, &mut self.timers);
        while self.upstream.is_awaiting_descriptor() {
            let room = self.free_descriptor();
            self.upstream.retry_awaiting_descriptor(self.now, room, &mut self.timers);
        }
    }

    /// Frees a file descriptor by closing an idle client connection, or else an idle connection to a node. Guards against clients
    /// that use up all descriptors and so cut off nodes and discovery.
    pub fn free_descriptor(&mut self) -> bool {
        let (now, timers) = (self.now, &mut self.timers);
        self.downstream.evict_one(now, timers) || self.upstream.close_longest_idle(now, timers)
    }

    fn is_full(&self) -> bool {
        self.bounds.max_in_flight.is_some_and(|max| self.in_flight >= max)
    }

    /// Whether the query is in flight and not finished.
    pub fn is_active(&self, query: QueryId) -> bool {
        self.queries.get(&query).is_some_and(|active| !active.is_finished)
    }

    /// The text and segments of a query that can be prefiltered.
    pub fn prefilter_input(&self, query: QueryId) -> Option<(Rc<str>, Vec<usize>)> {
        let active = self.queries.get(&query)?;
        match &active.payload {
            Payload::Inline(text) => Some((text.clone(), active.segments.clone())),
            _ => None,
        }
    }

    /// Asks a node which segments can match. A node that is draining or removed is not asked.
    pub fn send_prefilter_request(&mut self, node: NodeId, question: u64, text: &str, segments: &[usize]) {
        let Some(prefilter_connections) = &mut self.prefilter_connections else { return };
        let frame = frames::encode_prefilter_request(question, text, segments);
        match self.upstream.active_address(node) {
            Some(address) => {
                prefilter_connections.send(self.now, node, address, question, &frame, &mut self.timers)
            }
            None => prefilter_connections.responses.push_back((question, Err(RequestFailure::NodeGone))),
        }
    }

    /// Records the segments that the prefilter left out of a query.
    pub fn prune(&mut self, query: QueryId, pruned: Vec<PrunedSegment>) {
        if let Some(active) = self.queries.get_mut(&query) {
            active.pruned = pruned;
        }
    }

    /// Segments that the prefilter had left out are searched after all.
    pub fn restore_pruned(&mut self, query: QueryId, segments: &[usize]) {
        if let Some(active) = self.queries.get_mut(&query) {
            active.pruned.retain(|pruned| !segments.contains(&pruned.segment));
        }
    }
}
