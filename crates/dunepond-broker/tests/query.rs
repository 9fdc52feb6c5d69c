//! `dunepond-broker query` against the query port and the search API port of a running broker.

use std::collections::BTreeSet;
use std::process::Command;

use dunepond_testkit::search_cluster::{NodeProtocol, SearchCluster, SearchNodeBehavior, ranked_documents};
use dunepond_testkit::stand_ins::{Broker, Node};

/// Starts a search cluster with one node of each protocol.
fn start_cluster() -> SearchCluster {
    SearchCluster::start_with_command(&[NodeProtocol::Frames, NodeProtocol::Api], "", |kdl| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dunepond-broker"));
        command.arg("run").arg("--operator").arg(kdl);
        command
    })
}

/// Runs `query`; returns whether it succeeded, and its standard output and error.
fn query(args: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_dunepond-broker")).arg("query").args(args).output().unwrap();
    (out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
}

#[test]
fn response_is_printed_as_table_or_json() {
    let cluster = start_cluster();
    let (api, query_port) = (cluster.api_address.to_string(), cluster.broker.address.to_string());
    let (succeeded, output) = query(&["--at", &api, "all", "pump AND valve", "--size", "3"]);
    assert!(
        succeeded && output.contains(&ranked_documents()[0]) && output.contains("30 found, 6 of 6 shards"),
        "{output}"
    );
    let (succeeded, output) = query(&["--at", &api, "all", "--json", "--size", "1"]);
    assert!(succeeded && output.contains("\"_shards\""), "{output}");
    let (succeeded, output) = query(&["--at", &query_port, "all", "{}", "--shards", "1,2"]);
    assert!(succeeded && output.contains("whole") && output.contains("1-"), "{output}");
    let (succeeded, output) = query(&["--at", &api, "none"]);
    assert!(!succeeded && output.contains("answered 404: no such index [none]"), "{output}");
    let (succeeded, output) = query(&["--at", &api, "all", "a*"]);
    assert!(!succeeded && output.contains("[*] is not supported"), "{output}");
}

#[test]
fn searches_of_a_file_have_separate_results() {
    let cluster = start_cluster();
    let file = dunepond_testkit::stand_ins::scratch_path("ndjson");
    let searches = "{}\n{\"size\":1}\n{\"index\":\"none\"}\n{}\n".repeat(15);
    std::fs::write(&file, searches).unwrap();
    let (succeeded, output) =
        query(&["--at", &cluster.api_address.to_string(), "all", "--msearch", file.to_str().unwrap()]);
    assert!(succeeded && output.contains("6 of 6") && output.contains("no such index [none]"), "{output}");
    assert!(output.contains(" 30 "), "{output}");
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn partial_result_is_marked() {
    let cluster = start_cluster();
    cluster.nodes.iter().for_each(|node| node.set_behavior(SearchNodeBehavior::HangOddSegments));
    let (succeeded, output) = query(&["--at", &cluster.api_address.to_string(), "find"]);
    assert!(succeeded && output.contains("at least 15 found, 3 of 6 shards"), "{output}");
    assert!(output.contains("NOT WHOLE: shard 1:"), "{output}");
}

/// Guards against an id that returns: a node takes a keyed part whose id it knows for a repeat, and does not run it. Process ids
/// return, in a container with each call.
#[test]
fn each_query_has_a_random_id() {
    let nodes = [Node::start("s-0")];
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    for _ in 0..2 {
        let (succeeded, output) = query(&["--at", &broker.address.to_string(), "find", "q", "--shards", "1"]);
        assert!(succeeded, "{output}");
    }
    let ids: BTreeSet<_> = nodes[0].part_arrivals().into_iter().map(|(_, id)| id).collect();
    assert_eq!(ids.len(), 2);
    let is_random = |id: &String| {
        let digits = id.strip_prefix("query-").and_then(|rest| rest.strip_suffix(".1")).unwrap_or_default();
        digits.len() == 16 && digits.bytes().all(|digit| digit.is_ascii_hexdigit())
    };
    assert!(ids.iter().all(is_random), "{ids:?}");
}
