//! Fills of one broker that leads itself, on a folder in memory, with a filler that stands in for nodes: what a process
//! that ends at the worst place leaves, what a cold node gets, and what the next leader knows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_consensus::{ConfigPhase, ConsensusConfig};
use dunepond_control_plane::{
    AuditEvent, AuditRecord, ControlPlane, ControlPlaneConfig, FillClient, FillConfig, FillError,
    FillRequest, FillResult, Partner, SlowStartPolicy, StartedNode, TestDoubles, monotonic_seconds, start,
};
use dunepond_settlement::LocalCounts;
use dunepond_shard_map::Node;
use dunepond_storage::{FileStore, SnapshotStore};
use dunepond_testkit::files::{Mem, Plan};
use rstest::rstest;

const PATIENCE: Duration = Duration::from_secs(20);
const SEGMENT: u64 = 8 << 20;
const RATE: u64 = 16 << 20;
/// North owes south.
const OWED: u64 = 20 << 20;

/// Says that each order is done once it may, as a filler does that knows an id again.
#[derive(Default)]
struct Nodes {
    held: AtomicBool,
    fails: AtomicBool,
    /// Ids that were carried out, and all orders under way.
    done: Mutex<BTreeSet<String>>,
    under: Mutex<BTreeMap<String, FillRequest>>,
    asked: Mutex<Vec<FillRequest>>,
}

impl FillClient for Nodes {
    fn fill(&self, order: &FillRequest, _: Duration) -> Result<FillResult, FillError> {
        self.asked.lock().unwrap().push(order.clone());
        let filled = FillResult { source: order.source.clone(), bytes: order.bytes };
        if !self.done.lock().unwrap().contains(&order.id) {
            self.under.lock().unwrap().insert(order.id.clone(), order.clone());
            let began = Instant::now();
            while self.held.load(Ordering::Relaxed) && began.elapsed() < PATIENCE {
                thread::sleep(Duration::from_millis(2));
            }
            if self.fails.load(Ordering::Relaxed) {
                let (at, why) = ("a node".to_string(), "it does not answer".to_string());
                return Err(FillError::Unreachable { at, why });
            }
            self.under.lock().unwrap().remove(&order.id);
            self.done.lock().unwrap().insert(order.id.clone());
        }
        Ok(filled)
    }
}

/// One broker on its folders, over its lives.
struct One {
    files: Mem,
    nodes: Arc<Nodes>,
    folder: tempfile::TempDir,
    warm: bool,
    lives: usize,
}

impl One {
    fn new(warm: bool) -> Self {
        let one = Self {
            files: Mem::default(),
            nodes: Arc::default(),
            folder: tempfile::tempdir().unwrap(),
            warm,
            lives: 0,
        };
        // What north owes, as a folder holds it.
        let mut tally = LocalCounts::open(None, "n1", 1).unwrap();
        tally.record("south", "north", OWED);
        let mut counts = SnapshotStore::new(Arc::new(one.files.clone()) as Arc<dyn FileStore>, "counts", 1);
        counts.write(&postcard::to_stdvec(&tally).unwrap()).unwrap();
        one
    }

    fn begin(&mut self, version: Option<PathBuf>, dies: Option<&'static str>) -> ControlPlane {
        self.lives += 1;
        let terms = ConsensusConfig {
            name: "n1".to_string(),
            voters: vec!["n1".to_string()],
            lease_seconds: 0.3,
            drift_ratio: 0.01,
            switch_bound_seconds: 1.0,
            longest_query_seconds: 0.1,
            fill_deadline_seconds: 10.0,
            max_changed_ratio: 1.0,
            maps_enabled: true,
            map_requirements: dunepond_shard_map::MapConstraints { min_replicas: 1, min_zones: 1 },
        };
        let partner = |name: &str| Partner { name: name.to_string(), brokers: Vec::new(), metered: false };
        let at = SocketAddr::from(([127, 0, 0, 1], 9));
        let told = ControlPlaneConfig {
            terms,
            listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_directory: PathBuf::from("/nowhere"),
            known_brokers: Vec::new(),
            key_file: None,
            version_file: version,
            audit_log_file: Some(self.record(self.lives)),
            partners: vec![partner("north"), partner("south")],
            link_rates: Vec::new(),
            fills: Some(FillConfig {
                fill_service: at,
                segment_bytes: SEGMENT,
                bytes_per_second: RATE,
                max_concurrent_fills: 16,
                fill_started_nodes: self.warm,
            }),
            quotas: None,
            slow_start: Some(SlowStartPolicy {
                initial_share: 0.2,
                warm_up_seconds: 100.0,
                capacity_multiple: 2.0,
                window_seconds: 1.0,
            }),
            rebalancing: None,
            query_class_count: 1,
            seed: 7,
        };
        let stand_ins = TestDoubles {
            storage: Some(Arc::new(self.files.clone())),
            fill_client: Some(self.nodes.clone()),
            crashes_at: dies
                .map(|point| Arc::new(move |at: &str| at == point) as dunepond_control_plane::CrashPoints),
        };
        let fleet = start(told, stand_ins, || ()).unwrap();
        let node = |i: usize| Node {
            name: format!("s{i}"),
            zone: "a".to_string(),
            partner: ["north", "south"][i % 2].to_string(),
            draining: false,
        };
        fleet.handle().set_listed_nodes((0..4).map(node).collect());
        fleet
    }

    fn record(&self, life: usize) -> PathBuf {
        self.folder.path().join(format!("acts-{life}"))
    }

    fn acts(&self) -> Vec<AuditEvent> {
        let texts =
            (1..=self.lives).map(|life| std::fs::read_to_string(self.record(life)).unwrap_or_default());
        let texts: Vec<_> = texts.collect();
        let lines = texts.iter().flat_map(|text| text.lines());
        lines
            .filter_map(|line| serde_json::from_str::<AuditRecord>(line).ok())
            .map(|line| line.event)
            .collect()
    }

    /// Segments, each held by two nodes; with `new` a third holder, of south, that is to be filled first.
    fn version(&self, number: u64, segments: u64, new: bool) -> PathBuf {
        let path = self.folder.path().join(format!("version-{number}.json"));
        let width = u64::MAX / segments;
        let holder = |node: &str, partner: &str, filled: bool, share: f64| serde_json::json!({"node": node, "partner": partner, "filled": filled, "share": share});
        let segments: Vec<_> = (0..segments)
            .map(|id| {
                let to = (id + 1 < segments).then_some((id + 1) * width);
                let last = if new { 0.25 } else { 0.5 };
                let mut holders = vec![holder("s0", "north", true, 0.5), holder("s1", "south", true, last)];
                if new {
                    holders.push(holder("s3", "south", false, 0.25));
                }
                serde_json::json!({"id": id, "keys": {"from": id * width, "to": to}, "owner": "s0",
                    "holders": holders})
            })
            .collect();
        let text = serde_json::json!({"number": number, "who": "a test", "why": "", "at": 0.0,
            "rules": {"least": [0.5], "whole_at": [1.0], "budget_share": 0.1, "budget_free": 20.0,
                "drain_grace": 1.0, "cold_multiple": 1.5, "dispatch_cap": 2, "second_copies": false,
                "repeats": false, "longest_wait": 2.0},
            "standings": {"draining": [], "gone": []},
            "map": {"epoch": number, "hash": "xxh3-64", "segments": segments, "digest": ""}});
        std::fs::write(&path, text.to_string()).unwrap();
        path
    }

    fn settled(&self) -> Vec<(String, u64)> {
        let settled = self.acts().into_iter().filter_map(|act| match act {
            AuditEvent::Settled { id, bytes, .. } => Some((id, bytes)),
            _ => None,
        });
        settled.collect()
    }
}

fn wait(what: &str, so: impl Fn() -> bool) {
    let began = Instant::now();
    while !so() {
        assert!(began.elapsed() < PATIENCE, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn alone(fleet: &ControlPlane, number: u64) {
    wait("a version", || {
        fleet.handle().active_config().phase(monotonic_seconds()) == ConfigPhase::Active(number)
    });
}

fn cold(fleet: &ControlPlane, node: &str, age: f64) {
    let since = monotonic_seconds() - age;
    fleet.handle().set_started_nodes(vec![StartedNode {
        node: node.to_string(),
        incarnation: 77,
        started_at: since,
    }]);
}

/// Between the entry of its settlement and that of the fill: the fill is asked for again, known again, settled once.
#[test]
fn a_process_that_ends_between_a_settlement_and_its_fill_settles_and_fills_once() {
    let mut one = One::new(false);
    let fleet = one.begin(Some(one.version(1, 1, false)), Some("settled"));
    alone(&fleet, 1);
    fleet.handle().reload_version(Some(one.version(2, 1, true)));
    wait("the fill", || !one.nodes.done.lock().unwrap().is_empty());
    thread::sleep(Duration::from_millis(200));
    assert_eq!(fleet.handle().active_config().active_number(), 1, "it came into force without its fill");
    fleet.stop();
    let fleet = one.begin(None, None);
    alone(&fleet, 2);
    fleet.stop();
    let settled: BTreeSet<_> = one.settled().into_iter().collect();
    assert!(settled.iter().all(|it| *it == ("2/0/s3@fleet".to_string(), SEGMENT)), "{settled:?}");
    assert_eq!(one.nodes.done.lock().unwrap().len(), 1);
    assert_eq!(one.nodes.asked.lock().unwrap().len(), 2, "asked for again after the start");
    assert_eq!(owed(&one), OWED, "nothing of a fill that was settled whole is a debt");
}

/// Bytes that stand in the folder as carried by south for north, and the other way.
fn owed(one: &One) -> u64 {
    let counts = SnapshotStore::new(Arc::new(one.files.clone()) as Arc<dyn FileStore>, "counts", 1);
    let newest = counts.load().unwrap().newest.unwrap();
    let tally: LocalCounts = postcard::from_bytes(&newest.bytes).unwrap();
    assert_eq!(tally.counts().total("north", "south"), 0);
    tally.counts().total("south", "north")
}

#[rstest]
#[case::just_started(0.0, 0.2)]
#[case::half_warm(50.0, 0.6)]
fn a_cold_node_gets_no_more_than_its_multiple_from_all_fills(#[case] age: f64, #[case] share: f64) {
    let mut one = One::new(false);
    let fleet = one.begin(Some(one.version(1, 6, false)), None);
    alone(&fleet, 1);
    cold(&fleet, "s3", age);
    one.nodes.held.store(true, Ordering::Relaxed);
    fleet.handle().reload_version(Some(one.version(2, 6, true)));
    let bound = 1.5 * share * RATE as f64;
    let rates = || one.nodes.under.lock().unwrap().values().map(|order| order.rate as f64).sum::<f64>();
    wait("fills", || rates() > 0.0);
    thread::sleep(Duration::from_millis(400));
    // The stricter multiple is the version's, 1.5; it has warmed a little since.
    assert!(rates() <= bound * 1.02 && rates() > 0.8 * bound, "{} of {bound}", rates());
    one.nodes.held.store(false, Ordering::Relaxed);
    alone(&fleet, 2);
    fleet.stop();
}

/// A holder of south that is cold after a start is filled from north, which owes: out of this broker's share.
#[test]
fn a_cold_holder_of_the_map_in_force_is_filled_and_settled_from_the_share() {
    let mut one = One::new(true);
    let fleet = one.begin(Some(one.version(1, 1, false)), None);
    alone(&fleet, 1);
    cold(&fleet, "s1", 0.0);
    wait("a settlement", || one.settled().len() == 1);
    thread::sleep(Duration::from_millis(700));
    fleet.stop();
    // Half of what is owed is its share, the other half the log's.
    assert_eq!(one.settled(), [("1/0/s1+77@n1".to_string(), SEGMENT)]);
    assert_eq!(one.nodes.asked.lock().unwrap().len(), 1, "filled once");
}

/// As soon as it is done, before anybody heard of it; and before it is done.
#[rstest]
#[case::done(true)]
#[case::under_way(false)]
fn what_was_promised_before_a_process_ended_is_settled_once_after_its_start(#[case] done: bool) {
    let mut one = One::new(true);
    one.nodes.held.store(!done, Ordering::Relaxed);
    let fleet = one.begin(Some(one.version(1, 1, false)), Some("done"));
    alone(&fleet, 1);
    thread::sleep(Duration::from_millis(1500));
    cold(&fleet, "s1", 0.0);
    wait("an order", || !one.nodes.asked.lock().unwrap().is_empty());
    if done {
        wait("the fill", || !one.nodes.done.lock().unwrap().is_empty());
        thread::sleep(Duration::from_millis(100));
    }
    fleet.stop();
    assert_eq!(one.settled(), []);
    one.nodes.held.store(false, Ordering::Relaxed);
    // Nobody says any more that the holder is cold.
    let fleet = one.begin(None, None);
    wait("a settlement", || one.settled().len() == 1);
    thread::sleep(Duration::from_millis(700));
    fleet.stop();
    assert_eq!(one.settled(), [("1/0/s1+77@n1".to_string(), SEGMENT)]);
    assert_eq!(one.nodes.done.lock().unwrap().len(), 1);
}

/// Nothing begins that is not in the folder, and once that can be written all goes on.
#[test]
fn a_promise_that_cannot_be_kept_is_not_made() {
    let mut one = One::new(true);
    let fleet = one.begin(Some(one.version(1, 1, false)), None);
    alone(&fleet, 1);
    thread::sleep(Duration::from_millis(1500));
    one.files.plan(Plan::Full);
    cold(&fleet, "s1", 0.0);
    thread::sleep(Duration::from_millis(500));
    assert_eq!(one.nodes.asked.lock().unwrap().len(), 0, "it began without its promise in the folder");
    one.files.plan(Plan::Serve);
    wait("a settlement", || one.settled().len() == 1);
    fleet.stop();
    assert_eq!(one.settled(), [("1/0/s1+77@n1".to_string(), SEGMENT)]);
}

/// The one before had begun it from north, which owed then; by what is known after the start south itself would be taken.
#[test]
fn a_leader_goes_on_with_the_fill_that_the_one_before_it_began() {
    let mut one = One::new(false);
    one.nodes.held.store(true, Ordering::Relaxed);
    let fleet = one.begin(Some(one.version(1, 1, false)), None);
    alone(&fleet, 1);
    fleet.handle().reload_version(Some(one.version(2, 1, true)));
    wait("an order", || !one.nodes.asked.lock().unwrap().is_empty());
    fleet.stop();
    let none = LocalCounts::open(None, "n1", 1).unwrap();
    let mut counts = SnapshotStore::new(Arc::new(one.files.clone()) as Arc<dyn FileStore>, "counts", 1);
    counts.write(&postcard::to_stdvec(&none).unwrap()).unwrap();
    one.nodes.held.store(false, Ordering::Relaxed);
    let fleet = one.begin(None, None);
    alone(&fleet, 2);
    fleet.stop();
    let asked: Vec<_> = one.nodes.asked.lock().unwrap().iter().map(|order| order.source.clone()).collect();
    assert!(asked.len() >= 2 && asked.iter().all(|source| source == "s0"), "{asked:?}");
}

/// The disk fails once, at any call: nothing is settled twice, and in the end all of it is.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(6)]
#[case(9)]
#[case(14)]
fn a_disk_that_fails_at_one_write_costs_a_wait_and_nothing_else(#[case] call: usize) {
    let mut one = One::new(true);
    let fleet = one.begin(Some(one.version(1, 1, false)), None);
    alone(&fleet, 1);
    thread::sleep(Duration::from_millis(1200));
    one.files.plan(Plan::FailAt(call));
    cold(&fleet, "s1", 0.0);
    wait("a settlement", || one.settled().len() == 1);
    thread::sleep(Duration::from_millis(300));
    assert!(one.files.calls() > call, "the call was never made");
    fleet.stop();
    assert_eq!(one.settled(), [("1/0/s1+77@n1".to_string(), SEGMENT)]);
    assert_eq!(one.nodes.done.lock().unwrap().len(), 1);
}
