//! `dunepond-broker migrate`: a file of the old shape, its migrate, and a broker that serves by it.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::store::{self, Broker, Client, List, Node, scan};
use rstest::rstest;
use serde_json::{Value, json};

/// What it printed, and what it complained of.
fn migrate(args: &[&str]) -> (bool, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
    let out = command.arg("migrate").args(args).output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.success(), text(&out.stdout), text(&out.stderr))
}

/// Six cells in a ring, two in a row hold a segment, and clients are told when to come back.
fn old_shape() -> Value {
    let host = json!({"host": "old-1", "dial": "127.0.0.1:1", "site": "a", "class": "m", "block": 5,
        "health": "ready", "share": 1.0, "born_ms": 0});
    let mut config = store::config("127.0.0.1:9".parse().unwrap(), vec![host]);
    config["settings"]["familyInfo"]["cells"] = json!(6);
    config["settings"]["familyInfo"]["span"] = json!(2);
    config
}

fn file(text: &str) -> PathBuf {
    let path = store::scratch("json");
    std::fs::write(&path, text).unwrap();
    path
}

fn at(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn migrated_config_serves_nodes_in_sets() {
    let (old, new) = (file(&old_shape().to_string()), store::scratch("json"));
    let (good, _, said) = migrate(&[at(&old), "--out", at(&new), "--one-at-a-time"]);
    assert!(good, "{said}");
    for key in ["known.hosts: 1 nodes", "familyInfo.cells, span: 6 cells and 2", "retryAfter", "secondCopies"]
    {
        assert!(said.contains(key), "{key}: {said}");
    }
    let mut config: Value = serde_json::from_slice(&std::fs::read(&new).unwrap()).unwrap();
    assert_eq!(config["settings"]["familyInfo"]["cells"], 3);
    assert_eq!(config["settings"]["familyInfo"]["slabs"], 6);
    assert_eq!(config["settings"]["rules"], old_shape()["settings"]["rules"]);

    // Three sets of two nodes each. Segments 1 and 4 are set 1's, and go nowhere else.
    let nodes: Vec<_> = (0..6).map(|i| Node::start(&format!("s-{i}"))).collect();
    let line = |(i, node): (usize, &Node)| {
        let mut line = node.line("ready");
        line["block"] = json!(i % 3);
        line
    };
    let list = List::start(nodes.iter().enumerate().map(line).collect());
    config["discovery"] = json!(list.address.to_string());
    let broker = Broker::start(&config);
    let mut client = Client::to(&broker);
    // It knows no node before discovery has told it.
    let start = Instant::now();
    while client.ask("GET /ready HTTP/1.1\r\nHost: b\r\n\r\n").status != 200 {
        assert!(start.elapsed() < Duration::from_secs(30));
        thread::sleep(Duration::from_millis(10));
    }
    for i in 0..20 {
        let answer = client.ask(&scan("find", &format!("c{i}"), &[1, 4], "2.0"));
        assert_eq!(answer.status, 200);
    }
    let asked: Vec<_> = nodes.iter().map(|node| node.frames('A').len()).collect();
    assert!(asked[1] > 0 && asked[4] > 0, "{asked:?}");
    assert_eq!(asked[0] + asked[2] + asked[3] + asked[5], 0, "{asked:?}");
    [old, new].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn dry_run_writes_nothing() {
    let (old, new) = (file(&old_shape().to_string()), store::scratch("json"));
    let (good, printed, said) = migrate(&[at(&old), "--out", at(&new), "--dry-run"]);
    assert!(good && !new.exists(), "{said}");
    let printed: Value = serde_json::from_str(&printed).unwrap();
    assert_eq!(printed["settings"]["familyInfo"]["span"], 1);
    assert_eq!(printed["settings"]["ceilings"]["retryAfter"], false);
    assert_eq!(printed["settings"]["ceilings"]["secondCopies"], true);
    assert_eq!(std::fs::read_to_string(&old).unwrap(), old_shape().to_string());
}

#[test]
fn existing_file_replaced_only_with_overwrite() {
    let (old, new) = (file(&old_shape().to_string()), file("precious"));
    let (good, _, said) = migrate(&[at(&old), "--out", at(&new)]);
    assert!(!good && said.contains("--overwrite") && said.contains(at(&new)), "{said}");
    assert_eq!(std::fs::read_to_string(&new).unwrap(), "precious");
    assert!(migrate(&[at(&old), "--out", at(&new), "--overwrite"]).0);
    assert_ne!(std::fs::read_to_string(&new).unwrap(), "precious");
}

#[test]
fn new_format_is_unchanged() {
    let (old, first, second) =
        (file(&old_shape().to_string()), store::scratch("json"), store::scratch("json"));
    assert!(migrate(&[at(&old), "--out", at(&first)]).0);
    let (good, _, said) = migrate(&[at(&first), "--out", at(&second)]);
    assert!(good && said.contains("of the new shape already"), "{said}");
    assert_eq!(std::fs::read(&first).unwrap(), std::fs::read(&second).unwrap());
}

#[test]
fn unknown_keys_are_listed_and_dropped() {
    let mut old = old_shape();
    old["colour"] = json!("blue");
    old["settings"]["ceilings"]["maxHeld"] = json!(7);
    old["settings"]["services"][1]["worth"] = json!(2.5);
    let old = file(&old.to_string());
    let (good, printed, said) = migrate(&[at(&old), "--dry-run"]);
    assert!(good, "{said}");
    assert!(
        said.contains("colour: not known") && said.contains("settings.ceilings.maxHeld: not known"),
        "{said}"
    );
    assert!(said.contains("settings.services.worth: not known") && !printed.contains("worth"), "{said}");
    assert!(!printed.contains("blue") && !printed.contains("maxHeld"), "{printed}");
}

fn without(key: &str, path: &str) -> String {
    let mut old = old_shape();
    old.pointer_mut(path).unwrap().as_object_mut().unwrap().remove(key);
    old.to_string()
}

fn with(path: &str, value: Value) -> String {
    let mut old = old_shape();
    *old.pointer_mut(path).unwrap() = value;
    old.to_string()
}

#[rstest]
#[case::not_json("{".to_string(), "EOF")]
#[case::twice(r#"{"name":"a","name":"b"}"#.to_string(), "'name' is given twice")]
#[case::missing(without("cells", "/settings/familyInfo"), "familyInfo.cells: missing")]
#[case::no_listen(without("listen", ""), "config: listen: missing")]
#[case::wrong_type(with("/settings/familyInfo/span", json!("two")), "familyInfo.span: not a whole number")]
#[case::no_sets(with("/settings/familyInfo/span", json!(4)), "familyInfo.cells: 6 cells do not part into sets of 4")]
#[case::no_share(with("/settings/familyInfo/wholeAt", json!([1.5, 1.0])), "familyInfo.wholeAt: a share")]
#[case::below_nothing(with("/settings", {
    let mut settings = old_shape()["settings"].clone();
    settings["penalties"] = json!({"crossZone": -0.01});
    settings
}), "penalties.crossZone: not a number from 0 up")]
#[case::two_steps(with("/settings/familyInfo/secondStep", json!([2, 0])), "familyInfo.secondStep: second steps")]
fn invalid_file_is_named_and_not_migrated(#[case] text: String, #[case] named: &str) {
    let (old, new) = (file(&text), store::scratch("json"));
    let (good, printed, said) = migrate(&[at(&old), "--out", at(&new)]);
    assert!(!good && !new.exists() && printed.is_empty());
    assert!(said.contains(at(&old)) && said.contains(named) && said.lines().count() == 1, "{said}");
}

#[test]
fn unusable_paths_are_named() {
    let (good, _, said) = migrate(&["/nowhere/old.json", "--dry-run"]);
    assert!(!good && said.contains("/nowhere/old.json"), "{said}");
    let old = file(&old_shape().to_string());
    let (good, _, said) = migrate(&[at(&old), "--out", "/nowhere/new.json"]);
    assert!(!good && said.contains("/nowhere/new.json"), "{said}");
}

#[test]
fn unsupported_setting_warned_at_startup() {
    let node = Node::start("s-0");
    let list = List::start(vec![node.line("ready")]);
    let mut config = store::config(list.address, vec![]);
    config["settings"]["ceilings"]["mayProbe"] = json!(true);
    let broker = Broker::start(&config);
    assert!(broker.before.contains("ceilings.mayProbe: allowed, but not supported"), "{}", broker.before);
}
