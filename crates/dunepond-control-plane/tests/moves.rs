//! A plan of moves at the fleet's thread, on a folder in memory: carried out step by step, over a restart, and undone on
//! the operator's word.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_consensus::Terms;
use dunepond_control_plane::{Filled, Filler, Filling, Fleet, Moves, Order, StandIns, Told, start, steady};
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

impl Filler for Source {
    fn fill(&self, order: &Order, _within: Duration) -> Result<Filled, dunepond_control_plane::FillError> {
        self.asked.lock().unwrap().push(order.id.clone());
        while self.waits.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
        }
        Ok(Filled { source: order.source.clone(), bytes: order.bytes })
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

    fn begin(&self, version: Option<&Path>, plan: Option<&Path>) -> Fleet {
        let terms = Terms {
            name: "n1".to_string(),
            voters: vec!["n1".to_string()],
            lease: 0.3,
            drift: 0.01,
            bound: 1.0,
            longest_timeout: 0.1,
            fills_deadline: 10.0,
            most_changed: 1.0,
            maps: true,
            map: dunepond_shard_map::Terms { least_holders: 1, least_zones: 1 },
        };
        let told = Told {
            terms,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            folder: PathBuf::from("/nowhere"),
            known: Vec::new(),
            key: None,
            version: version.map(Path::to_path_buf),
            record: None,
            partners: Vec::new(),
            links: Vec::new(),
            fills: Some(Filling {
                at: SocketAddr::from(([127, 0, 0, 1], 1)),
                segment: 1000,
                rate: 1 << 20,
                at_once: 2,
                warm: false,
            }),
            warming: None,
            limits: None,
            moves: plan.map(|plan| Moves {
                plan: plan.to_path_buf(),
                at_once: 2,
                settle: 0.0,
                link_bytes: None,
            }),
            table_types: 1,
            seed: 7,
        };
        let files: Arc<Mem> = Arc::new(self.files.clone());
        let stand_ins =
            StandIns { files: Some(files), filler: Some(self.source.clone()), ..StandIns::default() };
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
fn held(fleet: &Fleet) -> Vec<(u64, String)> {
    let acting = fleet.hand().acting();
    let alone = acting.live(steady()) && acting.proposed().is_none();
    let proof = acting.map(steady()).filter(|_| alone);
    proof.map_or(Vec::new(), |proof| proof.segments().map(|s| (s.id, s.owner.clone())).collect())
}

fn wait(fleet: &Fleet, what: &str, is_so: impl Fn(&Fleet) -> bool) {
    let began = Instant::now();
    while !is_so(fleet) {
        assert!(began.elapsed() < PATIENCE, "{what}: {:?}, {}", held(fleet), fleet.hand().report());
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
    wait(&fleet, "the joint step", |fleet| fleet.hand().acting().proposed().is_some());
    // Killed, as far as the folder knows; the next run has no plan file: what is agreed on is enough.
    fleet.stop();
    stage.source.waits.store(false, Ordering::Relaxed);
    let fleet = stage.begin(None, None);
    wait(&fleet, "the plan", |fleet| held(fleet) == owned(&[(10, "b"), (12, "a")]));
    let asked = stage.source.asked.lock().unwrap().clone();
    assert!(asked.iter().all(|id| *id == asked[0]), "one fill, under one id: {asked:?}");
    // Split, fill, switch, merge, or in whatever order: each version once.
    assert!((4..=5).contains(&fleet.hand().acting().number()), "{}", fleet.hand().acting().number());
    let before = fleet.hand().acting().number();
    fleet.hand().reread_moves(Some(stage.write("plan", &plan("withdraw"))));
    thread::sleep(Duration::from_millis(900));
    assert_eq!((fleet.hand().acting().number(), held(&fleet)), (before, owned(&[(10, "b"), (12, "a")])));
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
    fleet.hand().reread(Some(stage.write("other", &other)));
    thread::sleep(Duration::from_millis(700));
    assert!(fleet.hand().acting().number() < 6);
    fleet.hand().reread_moves(Some(stage.write("plan", &plan("withdraw"))));
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
    wait(&fleet, "the refusal", |fleet| fleet.hand().report().contains("refused 1"));
    assert_eq!(held(&fleet), owned(&[(0, "a"), (1, "a")]));
    // Mended, under the same id: what was refused never was.
    fleet.hand().reread_moves(Some(stage.write("plan", &plan("go"))));
    wait(&fleet, "the plan", |fleet| held(fleet) == owned(&[(10, "b"), (12, "a")]));
    fleet.stop();
}
