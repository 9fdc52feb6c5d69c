//! Clients of a fleet, the audit of a fleet's records against what clients and nodes observed, and statistics of query
//! outcomes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::{Fleet, NON_IDEMPOTENT_CLASS, QUERY_CLASSES, TENANTS, broker_name};
use crate::auditor::{AuditEvent, Finding, GroundTruth, NodeRun, audit};
use crate::processes::WAIT_TIMEOUT;
use crate::stand_ins::{Client, Node, query_request};

/// Largest difference, in seconds, that the audit allows between two clock readings of the same event, to allow for a busy
/// machine.
const CLOCK_SLACK_SECONDS: f64 = 0.1;

impl Fleet {
    /// Returns the parts of non-idempotent queries that the nodes received, with the time of arrival on the monotonic clock.
    pub fn non_idempotent_runs(&self) -> Vec<NodeRun> {
        let (now, now_seconds) = (Instant::now(), dunepond_control_plane::monotonic_seconds());
        let runs_of = |node: &Node| {
            let monotonic = |at: Instant| now_seconds - now.saturating_duration_since(at).as_secs_f64();
            let non_idempotent_run = |(at, part_id): (Instant, String)| {
                let (request_id, segment_id) = part_id
                    .rsplit_once('.')
                    .filter(|(request_id, _)| request_id.starts_with(NON_IDEMPOTENT_CLASS))?;
                Some(NodeRun {
                    request_id: request_id.to_string(),
                    segment_id: segment_id.parse().ok()?,
                    arrived_at: monotonic(at),
                    node: node.name.clone(),
                })
            };
            node.part_arrivals().into_iter().filter_map(non_idempotent_run).collect::<Vec<_>>()
        };
        self.nodes.iter().flat_map(runs_of).collect()
    }

    /// Audits the brokers' records against what the clients, the nodes and the test know independently of the brokers, and
    /// returns the findings.
    pub fn audit(&self) -> Vec<Finding> {
        let truth = GroundTruth {
            clock_slack_seconds: CLOCK_SLACK_SECONDS,
            max_query_seconds: self.options.query_timeout_seconds,
            maps: self.maps.clone(),
            requested_segments: self.requested_segments.lock().unwrap().clone(),
            node_runs: self.non_idempotent_runs(),
            max_debt_bytes: self.max_debt_bytes,
        };
        self.with_records(|records| audit(records, &truth))
    }

    /// Asserts that the audit has no findings and that the records contain at least one attempt of a non-idempotent part.
    pub fn assert_audit_clean(&self) {
        let findings = self.audit();
        assert!(
            findings.is_empty(),
            "expected no audit findings, got {}, of which the first are {:#?}",
            findings.len(),
            &findings[..findings.len().min(5)]
        );
        assert!(
            self.has_event(|event| matches!(event, AuditEvent::AttemptSent { non_idempotent: true, .. })),
            "expected at least one attempt of a non-idempotent part in the records, got none"
        );
    }

    /// Starts one client per broker and query class. Each client sends one query after the other, with a pause in between.
    pub fn start_clients(&self, brokers: impl IntoIterator<Item = usize>, pause: Duration) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for broker in brokers {
            for query_class_index in 0..QUERY_CLASSES.len() {
                let client = QueryClient {
                    broker_index: broker,
                    broker_name: broker_name(broker),
                    address: self.brokers[broker].address,
                    query_class_index,
                    segment_count: self.options.segment_count,
                    timeout_seconds: self.options.query_timeout_seconds,
                    requested_segments: self.requested_segments.clone(),
                    connection: None,
                };
                let stop = stop.clone();
                threads.push(thread::spawn(move || client.run(pause, &stop)));
            }
        }
        Clients { stop, threads }
    }
}

/// Outcome of one query.
#[derive(Clone, Debug)]
pub struct QueryOutcome {
    /// Index of the broker that the query was for.
    pub broker_index: usize,
    /// Index of the query class in [`QUERY_CLASSES`].
    pub query_class_index: usize,
    /// Id of the first segment that the query asked for.
    pub first_segment_id: u64,
    /// Time at which the client began to connect or, on an open connection, to send.
    pub started_at: Instant,
    /// Time from `started_at` until the answer came, the connection ended, or the attempt to connect failed; in seconds.
    pub latency_seconds: f64,
    /// HTTP status of the answer; `None` if the client could not connect or the connection ended without an answer.
    pub status: Option<u16>,
    /// Whether the client had a connection on which it sent the query.
    pub sent: bool,
}

impl QueryOutcome {
    /// Returns whether the query is idempotent, so that its parts may run more than once.
    pub fn is_idempotent(&self) -> bool {
        QUERY_CLASSES[self.query_class_index] != NON_IDEMPOTENT_CLASS
    }
}

/// Ids of the segments that each request asked for, by the request's id.
type RequestedSegments = Mutex<BTreeMap<String, BTreeSet<u64>>>;

/// A client that sends queries of one class to one broker.
struct QueryClient {
    broker_index: usize,
    broker_name: String,
    address: SocketAddr,
    /// Index of the query class in [`QUERY_CLASSES`].
    query_class_index: usize,
    segment_count: usize,
    timeout_seconds: f64,
    requested_segments: Arc<RequestedSegments>,
    connection: Option<Client>,
}

impl QueryClient {
    /// Sends queries, with a pause after each, until `stop` is set, and returns their outcomes.
    fn run(mut self, pause: Duration, stop: &AtomicBool) -> Vec<QueryOutcome> {
        let mut outcomes = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            outcomes.push(self.send_query());
            thread::sleep(pause);
        }
        outcomes
    }

    /// Sends the next query, over a new connection if none is open, and returns its outcome.
    fn send_query(&mut self) -> QueryOutcome {
        static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let query_class = QUERY_CLASSES[self.query_class_index];
        let segments = self.segments_for(number);
        let id = format!("{query_class}-{}-{number}", self.broker_name);
        let requested = segments.iter().map(|segment| *segment as u64).collect();
        self.requested_segments.lock().unwrap().insert(id.clone(), requested);
        let started_at = Instant::now();
        let connection = self.connection.take().or_else(|| connect(self.address));
        let sent = connection.is_some();
        // All queries are for the first tenant, so that its partner comes to owe the other partner.
        let caller = format!("X-Caller: {}\r\nX-Budget", TENANTS[0]);
        let budget = format!("{:.3}", self.timeout_seconds);
        let request = query_request(query_class, &id, &segments, &budget).replacen("X-Budget", &caller, 1);
        let status = connection.and_then(|connection| self.exchange(connection, &request));
        QueryOutcome {
            broker_index: self.broker_index,
            query_class_index: self.query_class_index,
            first_segment_id: segments[0] as u64,
            started_at,
            latency_seconds: started_at.elapsed().as_secs_f64(),
            status,
            sent,
        }
    }

    /// Sends a request and returns the status of the answer. Keeps the connection for the next request unless the answer says
    /// that it closes.
    fn exchange(&mut self, mut connection: Client, request: &str) -> Option<u16> {
        let answer = connection.try_request(request)?;
        let closes = answer.header.to_ascii_lowercase().contains("connection: close");
        self.connection = (!closes).then_some(connection);
        Some(answer.status)
    }

    /// Returns the segments that the query with this number asks for.
    fn segments_for(&self, number: usize) -> Vec<usize> {
        match self.query_class_index {
            0 => vec![number % self.segment_count, (number + 1) % self.segment_count],
            1 => (0..self.segment_count).collect(),
            _ => vec![number % self.segment_count],
        }
    }
}

/// Connects to a broker; `None` if the connection cannot be opened.
fn connect(address: SocketAddr) -> Option<Client> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Client::from_stream(stream))
}

/// Running clients of a fleet. Dropping it stops them.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<QueryOutcome>>>,
}

impl Clients {
    /// Stops the clients and returns the outcomes of their queries, ordered by start time.
    pub fn stop(mut self) -> Vec<QueryOutcome> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = std::mem::take(&mut self.threads);
        let mut outcomes: Vec<_> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
        outcomes.sort_by_key(|outcome| outcome.started_at);
        outcomes
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

/// Returns the fraction of the selected outcomes that satisfy a condition.
///
/// # Panics
/// Panics if at most 10 outcomes are selected, since the fraction would mean little.
pub fn outcome_ratio(
    outcomes: &[QueryOutcome],
    is_selected: impl Fn(&QueryOutcome) -> bool,
    satisfies: impl Fn(&QueryOutcome) -> bool,
) -> f64 {
    let selected: Vec<_> = outcomes.iter().filter(|outcome| is_selected(outcome)).collect();
    assert!(selected.len() > 10, "expected more than 10 selected queries, got {}", selected.len());
    selected.iter().filter(|outcome| satisfies(outcome)).count() as f64 / selected.len() as f64
}

/// Returns the fraction of queries that were answered with status 200 within the latency objective, in seconds. Non-idempotent
/// queries to the brokers in `partitioned` are left out.
pub fn served_ratio(outcomes: &[QueryOutcome], objective_seconds: f64, partitioned: &[usize]) -> f64 {
    let is_selected =
        |outcome: &QueryOutcome| outcome.is_idempotent() || !partitioned.contains(&outcome.broker_index);
    let is_served =
        |outcome: &QueryOutcome| outcome.status == Some(200) && outcome.latency_seconds <= objective_seconds;
    outcome_ratio(outcomes, is_selected, is_served)
}

/// Returns a quantile of the latency, in seconds, of the selected queries that were answered with status 200. `quantile` is
/// between 0 and 1. Returns NaN if there are no such queries.
pub fn latency_quantile_seconds(
    outcomes: &[QueryOutcome],
    is_selected: impl Fn(&QueryOutcome) -> bool,
    quantile: f64,
) -> f64 {
    let mut latencies: Vec<f64> = outcomes
        .iter()
        .filter(|outcome| is_selected(outcome) && outcome.status == Some(200))
        .map(|outcome| outcome.latency_seconds)
        .collect();
    latencies.sort_by(f64::total_cmp);
    let index = ((latencies.len() as f64 * quantile) as usize).min(latencies.len().saturating_sub(1));
    latencies.get(index).copied().unwrap_or(f64::NAN)
}
