//! A plan of moves at the fleet's thread, on a folder in memory: carried out step by step, over a restart, and undone on
//! the operator's word.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_consensus::ConsensusConfig;
use dunepond_control_plane::{
    ControlPlane, ControlPlaneConfig, FillClient, FillConfig, FillRequest, FillResult, RebalanceConfig,
    TestDoubles, monotonic_seconds, start,
};
use dunepond_testkit::files::Mem;
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);
const HALF: u64 = 1 << 63;

/// Fills at once, unless it is told to wait.
#[derive(Default)]
struct Source {
    asked: Mutex<Vec<String>>,
    waits: AtomicBool,
}

impl FillClient for Source {
    fn fill(
        &self,
        order: &FillRequest,
        _within: Duration,
    ) -> Result<FillResult, dunepond_control_plane::FillError> {
        self.asked.lock().unwrap().push(order.id.clone());
        while self.waits.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
        Ok(FillResult { source: order.source.clone(), bytes: order.bytes })
    }
}

struct Stage {
    folder: tempfile::TempDir,
    files: Mem,
    source: Arc<Source>,
}

impl Stage {
    fn new() -> Self {
        Self { folder: tempfile::tempdir().unwrap(), files: Mem::default(), source: Arc::default() }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn write(&self, name: &str, value: &Value) -> PathBuf {
        std::fs::write(self.path(name), value.to_string()).unwrap();
        self.path(name)
    }

    fn begin(&self, version: Option<&Path>, plan: Option<&Path>) -> ControlPlane {
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
        let told = ControlPlaneConfig {
            terms,
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
                max_concurrent_acts: 2,
                settle_seconds: 0.0,
                default_link_rate: None,
            }),
            query_class_count: 1,
            seed: 7,
        };
        let files: Arc<Mem> = Arc::new(self.files.clone());
        let stand_ins = TestDoubles {
            storage: Some(files),
            fill_client: Some(self.source.clone()),
            ..TestDoubles::default()
        };
        start(told, stand_ins, || ()).unwrap()
    }
}

fn version() -> Value {
    let holder = |node: &str| json!({"node": node, "partner": "north", "filled": true, "share": 1.0});
    json!({"number": 1, "who": "a test", "why": "", "at": 0.0,
        "rules": {"least": [0.5], "whole_at": [1.0], "budget_share": 0.1, "budget_free": 20.0, "drain_grace": 1.0,
            "cold_multiple": 2.0, "dispatch_cap": 2, "second_copies": false, "repeats": false, "longest_wait": 2.0},
        "standings": {"draining": [], "gone": []},
        "map": {"epoch": 1, "hash": "xxh3-64", "digest": "", "segments": [
            {"id": 0, "keys": {"from": 0, "to": HALF}, "owner": "a", "holders": [holder("a")]},
            {"id": 1, "keys": {"from": HALF, "to": null}, "owner": "a", "holders": [holder("a")]}]}})
}

fn plan(word: &str) -> Value {
    json!({"id": "p", "who": "a test", "why": "to see", "word": word, "operations": [
            {"split": {"segment": 0, "at": [99], "into": [10, 11]}},
            {"move": {"segment": 10, "from": "a", "to": "b"}},
            {"merge": {"segments": [11, 1], "into": 12}}],
        "nodes": {"b": {"partner": "south"}}})
}

/// Ids and owners of the map that is acted on alone.
fn held(fleet: &ControlPlane) -> Vec<(u64, String)> {
    let acting = fleet.handle().active_config();
    let alone = acting.lease_valid(monotonic_seconds()) && acting.proposed_number().is_none();
    let proof = acting.map(monotonic_seconds()).filter(|_| alone);
    proof.map_or(Vec::new(), |proof| proof.segments().map(|s| (s.id, s.owner.clone())).collect())
}

fn wait(fleet: &ControlPlane, what: &str, is_so: impl Fn(&ControlPlane) -> bool) {
    let began = Instant::now();
    while !is_so(fleet) {
        assert!(began.elapsed() < PATIENCE, "{what}: {:?}, {}", held(fleet), fleet.handle().summary());
        thread::sleep(Duration::from_millis(5));
    }
}

fn owned(list: &[(u64, &str)]) -> Vec<(u64, String)> {
    list.iter().map(|(id, owner)| (*id, owner.to_string())).collect()
}

#[test]
fn a_plan_goes_on_after_a_restart_exactly_where_it_was_and_a_late_word_changes_nothing() {
    let stage = Stage::new();
    let (first, file) = (stage.write("version", &version()), stage.write("plan", &plan("go")));
    stage.source.waits.store(true, Ordering::Relaxed);
    let fleet = stage.begin(Some(&first), Some(&file));
    wait(&fleet, "the fill", |_| !stage.source.asked.lock().unwrap().is_empty());
    wait(&fleet, "the joint step", |fleet| fleet.handle().active_config().proposed_number().is_some());
    // Killed, as far as the folder knows; the next run has no plan file: what is agreed on is enough.
    fleet.stop();
    stage.source.waits.store(false, Ordering::Relaxed);
    let fleet = stage.begin(None, None);
    wait(&fleet, "the plan", |fleet| held(fleet) == owned(&[(10, "b"), (12, "a")]));
    let asked = stage.source.asked.lock().unwrap().clone();
    assert!(asked.iter().all(|id| *id == asked[0]), "one fill, under one id: {asked:?}");
    // Split, fill, switch, merge, or in whatever order: each version once.
    assert!(
        (4..=5).contains(&fleet.handle().active_config().active_number()),
        "{}",
        fleet.handle().active_config().active_number()
    );
    let before = fleet.handle().active_config().active_number();
    fleet.handle().reload_plan(Some(stage.write("plan", &plan("withdraw"))));
    thread::sleep(Duration::from_millis(900));
    assert_eq!(
        (fleet.handle().active_config().active_number(), held(&fleet)),
        (before, owned(&[(10, "b"), (12, "a")]))
    );
    fleet.stop();
}

#[test]
fn a_plan_that_is_withdrawn_while_it_fills_is_undone_and_the_operators_own_version_waits_for_it() {
    let stage = Stage::new();
    let (first, file) = (stage.write("version", &version()), stage.write("plan", &plan("go")));
    stage.source.waits.store(true, Ordering::Relaxed);
    let fleet = stage.begin(Some(&first), Some(&file));
    wait(&fleet, "the fill", |_| !stage.source.asked.lock().unwrap().is_empty());
    let mut other = version();
    // Whatever number the plan comes to: above all of its own.
    (other["number"], other["map"]["epoch"]) = (json!(6), json!(50));
    other["map"]["segments"][0]["id"] = json!(7);
    fleet.handle().reload_version(Some(stage.write("other", &other)));
    thread::sleep(Duration::from_millis(700));
    assert!(fleet.handle().active_config().active_number() < 6);
    fleet.handle().reload_plan(Some(stage.write("plan", &plan("withdraw"))));
    wait(&fleet, "the way back", |fleet| held(fleet) == owned(&[(0, "a"), (1, "a")]));
    stage.source.waits.store(false, Ordering::Relaxed);
    fleet.stop();
}

#[test]
fn a_plan_that_cannot_be_is_refused_and_the_map_stays() {
    let stage = Stage::new();
    let mut impossible = plan("go");
    impossible["nodes"]["b"]["room"] = json!({"segments": 0});
    let (first, file) = (stage.write("version", &version()), stage.write("plan", &impossible));
    let fleet = stage.begin(Some(&first), Some(&file));
    wait(&fleet, "the refusal", |fleet| fleet.handle().summary().contains("refused 1"));
    assert_eq!(held(&fleet), owned(&[(0, "a"), (1, "a")]));
    // Mended, under the same id: what was refused never was.
    fleet.handle().reload_plan(Some(stage.write("plan", &plan("go"))));
    wait(&fleet, "the plan", |fleet| held(fleet) == owned(&[(10, "b"), (12, "a")]));
    fleet.stop();
}
