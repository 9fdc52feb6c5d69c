//! Clients of a fleet, and what is to be said of what they and the nodes saw.

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

/// What two readings of the clock around one act may be apart on a machine that is busy.
const SLACK: f64 = 0.1;

impl Fleet {
    /// Fixes that came to nodes, as these counted them.
    pub fn non_idempotent_runs(&self) -> Vec<NodeRun> {
        let (now, steady) = (Instant::now(), dunepond_control_plane::monotonic_seconds());
        let fix = |node: &Node| {
            let came = |at: Instant| steady - now.saturating_duration_since(at).as_secs_f64();
            let ran = |(at, id): (Instant, String)| {
                let (call, seg) =
                    id.rsplit_once('.').filter(|(call, _)| call.starts_with(NON_IDEMPOTENT_CLASS))?;
                let (call, node) = (call.to_string(), node.name.clone());
                Some(NodeRun { request_id: call, segment_id: seg.parse().ok()?, at: came(at), node })
            };
            node.part_arrivals().into_iter().filter_map(ran).collect::<Vec<_>>()
        };
        self.nodes.iter().flat_map(fix).collect()
    }

    /// What an auditor has to say, who knows from the lab what brokers do not tell.
    pub fn audit(&self) -> Vec<Finding> {
        let known = GroundTruth {
            clock_slack_seconds: SLACK,
            max_query_seconds: self.options.query_timeout_seconds,
            maps: self.maps.clone(),
            requested: self.requested.lock().unwrap().clone(),
            runs: self.non_idempotent_runs(),
            max_debt_bytes: self.known_debt_bytes,
        };
        self.with_records(|records| audit(records, &known))
    }

    /// Asserts that nothing was found, and that there was something to look at.
    pub fn assert_audit_clean(&self) {
        let found = self.audit();
        assert!(found.is_empty(), "{} findings, the first: {:#?}", found.len(), &found[..found.len().min(5)]);
        assert!(
            self.any_event(|act| matches!(act, AuditEvent::AttemptSent { non_idempotent: true, .. })),
            "no fix was ever sent"
        );
    }

    /// Clients that ask each of these brokers for all kinds of scans, one after the other, `gap` apart.
    pub fn clients(&self, brokers: impl IntoIterator<Item = usize>, gap: Duration) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for broker in brokers {
            for kind in 0..QUERY_CLASSES.len() {
                let client = QueryClient {
                    broker,
                    broker_name: broker_name(broker),
                    address: self.brokers[broker].address,
                    kind,
                    segment_count: self.options.segment_count,
                    timeout_seconds: self.options.query_timeout_seconds,
                    requested: self.requested.clone(),
                    connection: None,
                };
                let stop = stop.clone();
                threads.push(thread::spawn(move || client.run(gap, &stop)));
            }
        }
        Clients { stop, threads }
    }
}

/// What became of one scan.
#[derive(Clone, Debug)]
pub struct QueryOutcome {
    /// The broker that was asked.
    pub broker: usize,
    /// Its place in [`QUERY_CLASSES`].
    pub kind: usize,
    /// The first that it asked for.
    pub segment: u64,
    /// When the client connected or sent.
    pub started_at: Instant,
    /// Until its answer or the end of its connection.
    pub latency_seconds: f64,
    /// None where nobody listened, or the connection ended without an answer.
    pub status: Option<u16>,
    /// It was sent.
    pub sent: bool,
}

impl QueryOutcome {
    /// Whether its parts may run twice.
    pub fn is_idempotent(&self) -> bool {
        QUERY_CLASSES[self.kind] != NON_IDEMPOTENT_CLASS
    }
}

/// The segments that each request asked for, by its id.
type RequestedSegments = Mutex<BTreeMap<String, BTreeSet<u64>>>;

/// Asks one broker for one kind of queries.
struct QueryClient {
    broker: usize,
    broker_name: String,
    address: SocketAddr,
    /// Its place in [`QUERY_CLASSES`].
    kind: usize,
    segment_count: usize,
    timeout_seconds: f64,
    requested: Arc<RequestedSegments>,
    connection: Option<Client>,
}

impl QueryClient {
    fn run(mut self, gap: Duration, stop: &AtomicBool) -> Vec<QueryOutcome> {
        let mut outcomes = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            outcomes.push(self.ask());
            thread::sleep(gap);
        }
        outcomes
    }

    fn ask(&mut self) -> QueryOutcome {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let query_class = QUERY_CLASSES[self.kind];
        let segments = self.segments(number);
        let id = format!("{query_class}-{}-{number}", self.broker_name);
        let requested = segments.iter().map(|segment| *segment as u64).collect();
        self.requested.lock().unwrap().insert(id.clone(), requested);
        let started_at = Instant::now();
        let connection = self.connection.take().or_else(|| connect(self.address));
        let sent = connection.is_some();
        // All for one tenant, so that its partner comes to owe the other.
        let caller = format!("X-Caller: {}\r\nX-Budget", TENANTS[0]);
        let budget = format!("{:.3}", self.timeout_seconds);
        let request = query_request(query_class, &id, &segments, &budget).replacen("X-Budget", &caller, 1);
        let status = connection.and_then(|connection| self.exchange(connection, &request));
        QueryOutcome {
            broker: self.broker,
            kind: self.kind,
            segment: segments[0] as u64,
            started_at,
            latency_seconds: started_at.elapsed().as_secs_f64(),
            status,
            sent,
        }
    }

    /// The status of the answer; the connection is kept unless it is to close.
    fn exchange(&mut self, mut connection: Client, request: &str) -> Option<u16> {
        let answer = connection.try_request(request)?;
        let closes = answer.head.to_ascii_lowercase().contains("connection: close");
        self.connection = (!closes).then_some(connection);
        Some(answer.status)
    }

    fn segments(&self, number: usize) -> Vec<usize> {
        match self.kind {
            0 => vec![number % self.segment_count, (number + 1) % self.segment_count],
            1 => (0..self.segment_count).collect(),
            _ => vec![number % self.segment_count],
        }
    }
}

fn connect(to: SocketAddr) -> Option<Client> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(Client::from_stream(stream))
}

/// Clients at work; they end when this is dropped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<QueryOutcome>>>,
}

impl Clients {
    /// Ends them; what became of each scan, by its beginning.
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

/// Of those that it is about, the share of which it is so.
pub fn outcome_ratio(
    outcomes: &[QueryOutcome],
    of: impl Fn(&QueryOutcome) -> bool,
    is: impl Fn(&QueryOutcome) -> bool,
) -> f64 {
    let all: Vec<_> = outcomes.iter().filter(|one| of(one)).collect();
    assert!(all.len() > 10, "only {} scans", all.len());
    all.iter().filter(|one| is(one)).count() as f64 / all.len() as f64
}

/// Share of all that was served within the target time; fixes do not count at brokers that are cut off.
pub fn served_ratio(outcomes: &[QueryOutcome], target: f64, cut_off: &[usize]) -> f64 {
    let counts = |one: &QueryOutcome| one.is_idempotent() || !cut_off.contains(&one.broker);
    outcome_ratio(outcomes, counts, |one| one.status == Some(200) && one.latency_seconds <= target)
}

/// Seconds below which so much of what was answered with 200 was answered.
pub fn latency_quantile(outcomes: &[QueryOutcome], of: impl Fn(&QueryOutcome) -> bool, share: f64) -> f64 {
    let mut took: Vec<f64> = outcomes
        .iter()
        .filter(|one| of(one) && one.status == Some(200))
        .map(|one| one.latency_seconds)
        .collect();
    took.sort_by(f64::total_cmp);
    let place = ((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1));
    took.get(place).copied().unwrap_or(f64::NAN)
}
