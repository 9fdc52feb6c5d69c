//! `dunepond-broker state`: inspects a state folder while its broker runs and after it has exited.

use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{self, Broker, Client, DiscoveryServer, Node, query_request};

/// Runs the program; returns whether it succeeded, and its standard output and error.
fn run_command(args: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_dunepond-broker")).args(args).output().unwrap();
    (out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

/// Starts a broker with its state in this folder and sends it 20 queries.
fn broker_with_state(folder: &Path, nodes: &[Node]) -> (Broker, DiscoveryServer) {
    let kdl = folder.join("operator.kdl");
    std::fs::write(&kdl, format!("state folder={folder:?} every=0.1")).unwrap();
    let rows: Vec<_> = nodes.iter().map(|node| node.endpoint("ready")).collect();
    let list = DiscoveryServer::start(rows.clone());
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
    command.arg("run").arg("--operator").arg(&kdl);
    let broker = Broker::wait_until_listening(stand_ins::launch_command(
        command,
        &stand_ins::config(list.address, rows),
    ));
    let mut client = Client::connect(&broker);
    (0..20).for_each(|i| drop(client.request(&query_request("find", &format!("c{i}"), &[i % 6], "2.0"))));
    (broker, list)
}

#[test]
fn show_and_check_with_and_without_broker() {
    let folder = stand_ins::scratch_path("state");
    std::fs::create_dir(&folder).unwrap();
    let path = folder.to_str().unwrap();
    let nodes: Vec<_> = (0..3).map(|i| Node::start(&format!("s-{i}"))).collect();
    let (mut broker, _list) = broker_with_state(&folder, &nodes);
    let start = Instant::now();
    while !run_command(&["state", "show", path]).1.contains("beliefs of 3 nodes") {
        assert!(start.elapsed() < Duration::from_secs(10));
        thread::sleep(Duration::from_millis(20));
    }
    let shown = run_command(&["state", "show", path]).1;
    assert!(
        shown.contains("has begun and not ended in order") && shown.contains("count all as spent"),
        "{shown}"
    );
    broker.signal("TERM");
    assert_eq!(broker.exit_code(), Some(0));
    let shown = run_command(&["state", "show", path]).1;
    assert!(shown.contains("debts: ended in order") && shown.contains("count 0 further"), "{shown}");
    assert!(shown.contains("s-1 at 127.0.0.1:") && shown.contains("samples"), "{shown}");
    let (succeeded, checked) = run_command(&["state", "check", path]);
    assert!(succeeded && checked.contains("nothing is wrong"), "{checked}");
    let journal = folder.join("debts.journal");
    let mut bytes = std::fs::read(&journal).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(&journal, bytes).unwrap();
    let (succeeded, checked) = run_command(&["state", "check", path]);
    assert!(!succeeded && checked.contains("debts.journal: damaged"), "{checked}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn missing_folder_is_named() {
    let (succeeded, output) = run_command(&["state", "show", "/nowhere/at/all"]);
    assert!(!succeeded && output.contains("/nowhere/at/all"), "{output}");
}
