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
        let (stop, requested_segments) = (Arc::new(AtomicBool::new(false)), self.requested.clone());
        let threads =
            brokers.into_iter().flat_map(|broker| (0..QUERY_CLASSES.len()).map(move |kind| (broker, kind)));
        let segs = self.options.segment_count;
        let threads = threads.map(|(broker, kind)| {
            let (to, stop, requested_segments) =
                (self.brokers[broker].address, stop.clone(), requested_segments.clone());
            let (timeout, own) = (self.options.query_timeout_seconds, broker_name(broker));
            thread::spawn(move || {
                let (mut outcomes, mut client) = (Vec::new(), None);
                while !stop.load(Ordering::Relaxed) {
                    let asking = QueryClient { broker, kind, own: &own, segs, timeout };
                    outcomes.push(asking.ask(to, &mut client, &requested_segments));
                    thread::sleep(gap);
                }
                outcomes
            })
        });
        let threads = threads.collect();
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

struct QueryClient<'a> {
    broker: usize,
    kind: usize,
    own: &'a str,
    segs: usize,
    timeout: f64,
}

impl QueryClient<'_> {
    fn ask(
        &self,
        to: SocketAddr,
        client: &mut Option<Client>,
        requested_segments: &Mutex<BTreeMap<String, BTreeSet<u64>>>,
    ) -> QueryOutcome {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let kind = QUERY_CLASSES[self.kind];
        let segs: Vec<usize> = match self.kind {
            0 => vec![number % self.segs, (number + 1) % self.segs],
            1 => (0..self.segs).collect(),
            _ => vec![number % self.segs],
        };
        let call = format!("{kind}-{}-{number}", self.own);
        requested_segments.lock().unwrap().insert(call.clone(), segs.iter().map(|seg| *seg as u64).collect());
        let (began, dialled) = (Instant::now(), client.take().or_else(|| connect(to)));
        let taken = dialled.is_some();
        let answer = dialled.and_then(|mut dialled| {
            // All for one customer, so that its partner comes to owe the other.
            let caller = format!("X-Caller: {}\r\nX-Budget", TENANTS[0]);
            let scan = query_request(kind, &call, &segs, &format!("{:.3}", self.timeout))
                .replacen("X-Budget", &caller, 1);
            let answer = dialled.try_request(&scan)?;
            let closes = answer.head.to_ascii_lowercase().contains("connection: close");
            *client = (!closes).then_some(dialled);
            Some(answer.status)
        });
        let (broker, kind) = (self.broker, self.kind);
        QueryOutcome {
            broker,
            kind,
            segment: segs[0] as u64,
            started_at: began,
            latency_seconds: began.elapsed().as_secs_f64(),
            status: answer,
            sent: taken,
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
        outcomes.sort_by_key(|outcomes| outcomes.started_at);
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
