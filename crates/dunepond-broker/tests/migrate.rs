//! `dunepond-broker migrate`: converts a configuration of the old format; a broker serves queries with the result.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{self, Broker, Client, DiscoveryServer, Node, query_request};
use rstest::rstest;
use serde_json::{Value, json};

/// Runs `migrate`; returns whether it succeeded, its standard output and its standard error.
fn migrate(args: &[&str]) -> (bool, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
    let out = command.arg("migrate").args(args).output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.success(), text(&out.stdout), text(&out.stderr))
}

/// A configuration of the old format: six replica groups in a ring, two of which hold each segment, with Retry-After enabled.
fn old_format() -> Value {
    let host = json!({"host": "old-1", "dial": "127.0.0.1:1", "site": "a", "class": "m", "block": 5,
        "health": "ready", "share": 1.0, "born_ms": 0});
    let mut config = stand_ins::config("127.0.0.1:9".parse().unwrap(), vec![host]);
    config["settings"]["familyInfo"]["cells"] = json!(6);
    config["settings"]["familyInfo"]["span"] = json!(2);
    config
}

/// Writes text to a new scratch file and returns its path.
fn write_file(text: &str) -> PathBuf {
    let path = stand_ins::scratch_path("json");
    std::fs::write(&path, text).unwrap();
    path
}

fn as_str(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn migrated_config_serves_nodes_in_sets() {
    let (old, new) = (write_file(&old_format().to_string()), stand_ins::scratch_path("json"));
    let (succeeded, _, errors) = migrate(&[as_str(&old), "--out", as_str(&new), "--one-at-a-time"]);
    assert!(succeeded, "{errors}");
    for key in ["known.hosts: 1 nodes", "familyInfo.cells, span: 6 cells and 2", "retryAfter", "secondCopies"]
    {
        assert!(errors.contains(key), "{key}: {errors}");
    }
    let mut config: Value = serde_json::from_slice(&std::fs::read(&new).unwrap()).unwrap();
    assert_eq!(config["settings"]["familyInfo"]["cells"], 3);
    assert_eq!(config["settings"]["familyInfo"]["slabs"], 6);
    assert_eq!(config["settings"]["rules"], old_format()["settings"]["rules"]);

    // Three replica groups (sets) of two nodes each; segments 1 and 4 belong to set 1 alone.
    let nodes: Vec<_> = (0..6).map(|i| Node::start(&format!("s-{i}"))).collect();
    let row = |(i, node): (usize, &Node)| {
        let mut row = node.endpoint("ready");
        row["block"] = json!(i % 3);
        row
    };
    let list = DiscoveryServer::start(nodes.iter().enumerate().map(row).collect());
    config["discovery"] = json!(list.address.to_string());
    let broker = Broker::start(&config);
    let mut client = Client::connect(&broker);
    // The migrated configuration has no endpoint list: the broker knows no node before the first list of discovery.
    let start = Instant::now();
    while client.request("GET /ready HTTP/1.1\r\nHost: b\r\n\r\n").status != 200 {
        assert!(start.elapsed() < Duration::from_secs(30));
        thread::sleep(Duration::from_millis(10));
    }
    for i in 0..20 {
        let answer = client.request(&query_request("find", &format!("c{i}"), &[1, 4], "2.0"));
        assert_eq!(answer.status, 200);
    }
    let attempts: Vec<_> = nodes.iter().map(|node| node.frames_of_type('A').len()).collect();
    assert!(attempts[1] > 0 && attempts[4] > 0, "{attempts:?}");
    assert_eq!(attempts[0] + attempts[2] + attempts[3] + attempts[5], 0, "{attempts:?}");
    [old, new].iter().for_each(|path| std::fs::remove_file(path).unwrap());
}

#[test]
fn dry_run_writes_nothing() {
    let (old, new) = (write_file(&old_format().to_string()), stand_ins::scratch_path("json"));
    let (succeeded, printed, errors) = migrate(&[as_str(&old), "--out", as_str(&new), "--dry-run"]);
    assert!(succeeded && !new.exists(), "{errors}");
    let printed: Value = serde_json::from_str(&printed).unwrap();
    assert_eq!(printed["settings"]["familyInfo"]["span"], 1);
    assert_eq!(printed["settings"]["ceilings"]["retryAfter"], false);
    assert_eq!(printed["settings"]["ceilings"]["secondCopies"], true);
    assert_eq!(std::fs::read_to_string(&old).unwrap(), old_format().to_string());
}

#[test]
fn existing_file_replaced_only_with_overwrite() {
    let (old, new) = (write_file(&old_format().to_string()), write_file("precious"));
    let (succeeded, _, errors) = migrate(&[as_str(&old), "--out", as_str(&new)]);
    assert!(!succeeded && errors.contains("--overwrite") && errors.contains(as_str(&new)), "{errors}");
    assert_eq!(std::fs::read_to_string(&new).unwrap(), "precious");
    assert!(migrate(&[as_str(&old), "--out", as_str(&new), "--overwrite"]).0);
    assert_ne!(std::fs::read_to_string(&new).unwrap(), "precious");
}

#[test]
fn new_format_is_unchanged() {
    let (old, first, second) = (
        write_file(&old_format().to_string()),
        stand_ins::scratch_path("json"),
        stand_ins::scratch_path("json"),
    );
    assert!(migrate(&[as_str(&old), "--out", as_str(&first)]).0);
    let (succeeded, _, errors) = migrate(&[as_str(&first), "--out", as_str(&second)]);
    assert!(succeeded && errors.contains("of the new shape already"), "{errors}");
    assert_eq!(std::fs::read(&first).unwrap(), std::fs::read(&second).unwrap());
}

#[test]
fn unknown_keys_are_listed_and_dropped() {
    let mut old = old_format();
    old["colour"] = json!("blue");
    old["settings"]["ceilings"]["maxHeld"] = json!(7);
    old["settings"]["services"][1]["worth"] = json!(2.5);
    let old = write_file(&old.to_string());
    let (succeeded, printed, errors) = migrate(&[as_str(&old), "--dry-run"]);
    assert!(succeeded, "{errors}");
    assert!(
        errors.contains("colour: not known") && errors.contains("settings.ceilings.maxHeld: not known"),
        "{errors}"
    );
    assert!(errors.contains("settings.services.worth: not known") && !printed.contains("worth"), "{errors}");
    assert!(!printed.contains("blue") && !printed.contains("maxHeld"), "{printed}");
}

/// The configuration of the old format without this key of the object at this JSON pointer.
fn old_format_without(key: &str, path: &str) -> String {
    let mut old = old_format();
    old.pointer_mut(path).unwrap().as_object_mut().unwrap().remove(key);
    old.to_string()
}

/// The configuration of the old format with this value at this JSON pointer.
fn old_format_with(path: &str, value: Value) -> String {
    let mut old = old_format();
    *old.pointer_mut(path).unwrap() = value;
    old.to_string()
}

#[rstest]
#[case::not_json("{".to_string(), "EOF")]
#[case::duplicate_key(r#"{"name":"a","name":"b"}"#.to_string(), "'name' is given twice")]
#[case::missing_key(old_format_without("cells", "/settings/familyInfo"), "familyInfo.cells: missing")]
#[case::no_listen(old_format_without("listen", ""), "config: listen: missing")]
#[case::wrong_type(old_format_with("/settings/familyInfo/span", json!("two")), "familyInfo.span: not a whole number")]
#[case::uneven_sets(old_format_with("/settings/familyInfo/span", json!(4)), "familyInfo.cells: 6 cells do not part into sets of 4")]
#[case::invalid_share(old_format_with("/settings/familyInfo/wholeAt", json!([1.5, 1.0])), "familyInfo.wholeAt: a share")]
#[case::negative_penalty(old_format_with("/settings", {
    let mut settings = old_format()["settings"].clone();
    settings["penalties"] = json!({"crossZone": -0.01});
    settings
}), "penalties.crossZone: not a number from 0 up")]
#[case::two_second_steps(old_format_with("/settings/familyInfo/secondStep", json!([2, 0])), "familyInfo.secondStep: second steps")]
fn invalid_file_is_named_and_not_migrated(#[case] text: String, #[case] named_fault: &str) {
    let (old, new) = (write_file(&text), stand_ins::scratch_path("json"));
    let (succeeded, printed, errors) = migrate(&[as_str(&old), "--out", as_str(&new)]);
    assert!(!succeeded && !new.exists() && printed.is_empty());
    assert!(
        errors.contains(as_str(&old)) && errors.contains(named_fault) && errors.lines().count() == 1,
        "{errors}"
    );
}

#[test]
fn unusable_paths_are_named() {
    let (succeeded, _, errors) = migrate(&["/nowhere/old.json", "--dry-run"]);
    assert!(!succeeded && errors.contains("/nowhere/old.json"), "{errors}");
    let old = write_file(&old_format().to_string());
    let (succeeded, _, errors) = migrate(&[as_str(&old), "--out", "/nowhere/new.json"]);
    assert!(!succeeded && errors.contains("/nowhere/new.json"), "{errors}");
}

#[test]
fn unsupported_setting_warned_at_startup() {
    let node = Node::start("s-0");
    let list = DiscoveryServer::start(vec![node.endpoint("ready")]);
    let mut config = stand_ins::config(list.address, vec![]);
    config["settings"]["ceilings"]["mayProbe"] = json!(true);
    let broker = Broker::start(&config);
    assert!(
        broker.startup_log.contains("ceilings.mayProbe: allowed, but not supported"),
        "{}",
        broker.startup_log
    );
}
