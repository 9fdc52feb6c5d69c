//! `dunepond-broker query` at both ports of a running broker.

use std::process::Command;

use dunepond_testkit::search_cluster::{NodeProtocol, SearchCluster, SearchNodeBehavior, ranked_documents};

fn site() -> SearchCluster {
    SearchCluster::start_with_command(&[NodeProtocol::Frames, NodeProtocol::Api], "", |kdl| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
        command.arg("run").arg("--operator").arg(kdl);
        command
    })
}

fn query(args: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_dunepond-broker")).arg("query").args(args).output().unwrap();
    (out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

#[test]
fn response_is_printed_as_table_or_json() {
    let site = site();
    let (api, first) = (site.api_address.to_string(), site.broker.address.to_string());
    let (good, shown) = query(&["--at", &api, "all", "pump AND valve", "--size", "3"]);
    assert!(
        good && shown.contains(&ranked_documents()[0]) && shown.contains("30 found, 6 of 6 shards"),
        "{shown}"
    );
    let (good, shown) = query(&["--at", &api, "all", "--json", "--size", "1"]);
    assert!(good && shown.contains("\"_shards\""), "{shown}");
    let (good, shown) = query(&["--at", &first, "all", "{}", "--shards", "1,2"]);
    assert!(good && shown.contains("whole") && shown.contains("1-"), "{shown}");
    let (good, shown) = query(&["--at", &api, "none"]);
    assert!(!good && shown.contains("answered 404: no such index [none]"), "{shown}");
    let (good, shown) = query(&["--at", &api, "all", "a*"]);
    assert!(!good && shown.contains("[*] is not supported"), "{shown}");
}

#[test]
fn searches_of_a_file_have_separate_results() {
    let site = site();
    let file = dunepond_testkit::stand_ins::scratch_path("ndjson");
    let searches = "{}\n{\"size\":1}\n{\"index\":\"none\"}\n{}\n".repeat(15);
    std::fs::write(&file, searches).unwrap();
    let (good, shown) =
        query(&["--at", &site.api_address.to_string(), "all", "--msearch", file.to_str().unwrap()]);
    assert!(good && shown.contains("6 of 6") && shown.contains("no such index [none]"), "{shown}");
    assert!(shown.contains(" 30 "), "{shown}");
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn partial_result_is_marked() {
    let site = site();
    site.nodes.iter().for_each(|node| node.set_behavior(SearchNodeBehavior::HangOddSegments));
    let (good, shown) = query(&["--at", &site.api_address.to_string(), "find"]);
    assert!(good && shown.contains("at least 15 found, 3 of 6 shards"), "{shown}");
    assert!(shown.contains("NOT WHOLE: shard 1:"), "{shown}");
}
