//! Rebalancing plans in the control loop of a single broker, with a data directory in memory: a plan is continued after
//! a restart, withdrawn by the operator, or refused.

mod support;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_control_plane::{
    ControlPlane, ControlPlaneConfig, FillClient, FillConfig, FillError, FillRequest, FillResult,
    RebalanceConfig, TestDoubles, monotonic_seconds, start,
};
use dunepond_testkit::memory_store::MemoryStore;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(20);
const MIDDLE_KEY: u64 = 1 << 63;

/// A fill service that responds at once, unless it is blocked.
#[derive(Default)]
struct FakeFillService {
    /// Ids of the requested fills, with repetitions.
    requested: Mutex<Vec<String>>,
    /// While this is set, requests get no response.
    blocked: AtomicBool,
}

impl FillClient for FakeFillService {
    fn fill(&self, request: &FillRequest, _timeout: Duration) -> Result<FillResult, FillError> {
        self.requested.lock().unwrap().push(request.id.clone());
        while self.blocked.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
        Ok(FillResult { source: request.source.clone(), bytes: request.bytes })
    }
}

/// A broker that can be restarted, and the operator's files.
struct TestBroker {
    /// Directory of the operator's files.
    directory: tempfile::TempDir,
    files: MemoryStore,
    fill_service: Arc<FakeFillService>,
}

impl TestBroker {
    fn new() -> Self {
        Self {
            directory: tempfile::tempdir().unwrap(),
            files: MemoryStore::default(),
            fill_service: Arc::default(),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Writes a file of the operator and returns its path.
    fn write(&self, name: &str, value: &Value) -> PathBuf {
        std::fs::write(self.path(name), value.to_string()).unwrap();
        self.path(name)
    }

    fn start(&self, version: Option<&Path>, plan: Option<&Path>) -> ControlPlane {
        let config = ControlPlaneConfig {
            consensus: support::single_voter(true),
            listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            data_directory: PathBuf::from("/nowhere"),
            known_brokers: Vec::new(),
            key_file: None,
            version_file: version.map(Path::to_path_buf),
            audit_log_file: None,
            partners: Vec::new(),
            link_rates: Vec::new(),
            fills: Some(FillConfig {
                fill_service: SocketAddr::from(([127, 0, 0, 1], 1)),
                segment_bytes: 1000,
                bytes_per_second: 1 << 20,
                max_concurrent_fills: 2,
                fill_started_nodes: false,
            }),
            slow_start: None,
            quotas: None,
            rebalancing: plan.map(|plan| RebalanceConfig {
                plan_file: plan.to_path_buf(),
                max_concurrent_actions: 2,
                settle_seconds: 0.0,
                default_link_rate: None,
            }),
            max_message_memory_bytes: 1 << 30,
            query_class_count: 1,
            seed: 7,
        };
        let doubles = TestDoubles {
            storage: Some(Arc::new(self.files.clone())),
            fill_client: Some(self.fill_service.clone()),
            ..TestDoubles::default()
        };
        start(config, doubles, || ()).unwrap()
    }
}

/// Configuration version 1. Its two segments are both on node a.
fn version() -> Value {
    let replica = |node: &str| json!({"node": node, "partner": "north", "filled": true, "share": 1.0});
    json!({"number": 1, "who": "a test", "why": "", "at": 0.0,
        "rules": {"least": [0.5], "whole_at": [1.0], "budget_share": 0.1, "budget_free": 20.0, "drain_grace": 1.0,
            "cold_multiple": 2.0, "dispatch_cap": 2, "second_copies": false, "repeats": false, "longest_wait": 2.0},
        "standings": {"draining": [], "gone": []},
        "map": {"epoch": 1, "hash": "xxh3-64", "digest": "", "segments": [
            {"id": 0, "keys": {"from": 0, "to": MIDDLE_KEY}, "owner": "a", "holders": [replica("a")]},
            {"id": 1, "keys": {"from": MIDDLE_KEY, "to": null}, "owner": "a", "holders": [replica("a")]}]}})
}

/// A plan with this command of the operator. It splits segment 0, moves one half to node b and merges the other with
/// segment 1.
fn plan(command: &str) -> Value {
    json!({"id": "p", "who": "a test", "why": "to see", "word": command, "operations": [
            {"split": {"segment": 0, "at": [99], "into": [10, 11]}},
            {"move": {"segment": 10, "from": "a", "to": "b"}},
            {"merge": {"segments": [11, 1], "into": 12}}],
        "nodes": {"b": {"partner": "south"}}})
}

/// Segment ids and owners of the active map; empty without a valid lease or while another version is proposed.
fn active_owners(control_plane: &ControlPlane) -> Vec<(u64, String)> {
    let active = control_plane.handle().active_config();
    let is_active = active.lease_valid(monotonic_seconds()) && active.proposed_number().is_none();
    let map = active.map(monotonic_seconds()).filter(|_| is_active);
    map.map_or(Vec::new(), |map| map.segments().map(|s| (s.id, s.owner.clone())).collect())
}

fn wait(control_plane: &ControlPlane, what: &str, condition: impl Fn(&ControlPlane) -> bool) {
    let started = Instant::now();
    while !condition(control_plane) {
        assert!(
            started.elapsed() < TIMEOUT,
            "{what}: {:?}, {}",
            active_owners(control_plane),
            control_plane.handle().summary()
        );
        thread::sleep(Duration::from_millis(5));
    }
}

fn owners(list: &[(u64, &str)]) -> Vec<(u64, String)> {
    list.iter().map(|(id, owner)| (*id, owner.to_string())).collect()
}

#[test]
fn plan_continues_after_a_restart() {
    let broker = TestBroker::new();
    let (version_file, plan_file) = (broker.write("version", &version()), broker.write("plan", &plan("go")));
    broker.fill_service.blocked.store(true, Ordering::Relaxed);
    let control_plane = broker.start(Some(&version_file), Some(&plan_file));
    wait(&control_plane, "the fill", |_| !broker.fill_service.requested.lock().unwrap().is_empty());
    wait(&control_plane, "the joint step", |control_plane| {
        control_plane.handle().active_config().proposed_number().is_some()
    });
    // The next start has no plan file, as the accepted plan is in the log.
    control_plane.stop();
    broker.fill_service.blocked.store(false, Ordering::Relaxed);
    let control_plane = broker.start(None, None);
    wait(&control_plane, "the plan", |control_plane| {
        active_owners(control_plane) == owners(&[(10, "b"), (12, "a")])
    });
    let requested = broker.fill_service.requested.lock().unwrap().clone();
    assert!(
        requested.iter().all(|id| *id == requested[0]),
        "all requests must be for one fill: {requested:?}"
    );
    // The split, the fill, the switch and the merge may be distributed over the steps in different ways, but the
    // version of each step is proposed only once.
    assert!(
        (4..=5).contains(&control_plane.handle().active_config().active_number()),
        "{}",
        control_plane.handle().active_config().active_number()
    );
    let before = control_plane.handle().active_config().active_number();
    control_plane.handle().reload_plan(Some(broker.write("plan", &plan("withdraw"))));
    thread::sleep(Duration::from_millis(900));
    assert_eq!(
        (control_plane.handle().active_config().active_number(), active_owners(&control_plane)),
        (before, owners(&[(10, "b"), (12, "a")]))
    );
    control_plane.stop();
}

#[test]
fn withdrawn_plan_is_undone_before_other_versions() {
    let broker = TestBroker::new();
    let (version_file, plan_file) = (broker.write("version", &version()), broker.write("plan", &plan("go")));
    broker.fill_service.blocked.store(true, Ordering::Relaxed);
    let control_plane = broker.start(Some(&version_file), Some(&plan_file));
    wait(&control_plane, "the fill", |_| !broker.fill_service.requested.lock().unwrap().is_empty());
    let mut other = version();
    // The number is higher than those of all versions that the plan proposes.
    (other["number"], other["map"]["epoch"]) = (json!(6), json!(50));
    other["map"]["segments"][0]["id"] = json!(7);
    control_plane.handle().reload_version(Some(broker.write("other", &other)));
    thread::sleep(Duration::from_millis(700));
    assert!(control_plane.handle().active_config().active_number() < 6);
    control_plane.handle().reload_plan(Some(broker.write("plan", &plan("withdraw"))));
    wait(&control_plane, "the original map", |control_plane| {
        active_owners(control_plane) == owners(&[(0, "a"), (1, "a")])
    });
    broker.fill_service.blocked.store(false, Ordering::Relaxed);
    control_plane.stop();
}

#[test]
fn impossible_plan_is_refused() {
    let broker = TestBroker::new();
    let mut impossible = plan("go");
    impossible["nodes"]["b"]["room"] = json!({"segments": 0});
    let (version_file, plan_file) = (broker.write("version", &version()), broker.write("plan", &impossible));
    let control_plane = broker.start(Some(&version_file), Some(&plan_file));
    wait(&control_plane, "the refusal", |control_plane| {
        control_plane.handle().summary().contains("refused 1")
    });
    assert_eq!(active_owners(&control_plane), owners(&[(0, "a"), (1, "a")]));
    // A refused plan is not in the log, so the corrected plan may have the same id.
    control_plane.handle().reload_plan(Some(broker.write("plan", &plan("go"))));
    wait(&control_plane, "the plan", |control_plane| {
        active_owners(control_plane) == owners(&[(10, "b"), (12, "a")])
    });
    control_plane.stop();
}
