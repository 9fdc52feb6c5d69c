//! Requests of clients: their format, their time budget and their responses.

use std::io::Write;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, NodeBehavior, query_request};
use rstest::rstest;
use serde_json::json;

use super::nodes;

#[test]
fn query_returns_the_values_of_its_nodes() {
    let (broker, _list) = Broker::start_with_nodes(&nodes(2));
    let mut client = Client::connect(&broker);
    let answer = client.request(&query_request("find", "c1", &[3, 5], "2.0"));
    assert_eq!(answer.status, 200);
    let found = json!([{"bucket": 3, "item": "v-q1"}, {"bucket": 5, "item": "v-q1"}]);
    assert_eq!(answer.body, json!({"finished": true, "found": found}));
}

#[test]
fn attempt_frame_has_segment_time_limit_and_payload() {
    let nodes = nodes(1);
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    Client::connect(&broker).request(&query_request("find", "c1", &[4], "1.5"));
    let calls = nodes[0].frames_of_type('A');
    let (line, text) = calls[0].split_once('\n').unwrap();
    let words: Vec<_> = line.split(' ').collect();
    assert_eq!((words[0], words[1], words[3], text), ("c1.4", "4", "2", "q1"));
    let wait: u64 = words[2].strip_prefix("d=").unwrap().parse().unwrap();
    assert!((1000..=1500).contains(&wait), "{wait}");
}

#[test]
fn request_in_single_bytes_and_pipelined() {
    let (broker, _list) = Broker::start_with_nodes(&nodes(1));
    let mut client = Client::connect(&broker);
    let chunked = "POST /find HTTP/1.1\r\nX-Call-Id: c2\r\nX-Budget: 2\r\nTransfer-Encoding: chunked\r\n\r\n\
        1a\r\n{\"buckets\":[{\"bucket\":1,\"p\r\n12\r\nart\":1}],\"body\":\"q\r\n2\r\n\"}\r\n0\r\n\r\n";
    let both = query_request("find", "c1", &[0], "2") + chunked;
    for byte in both.as_bytes() {
        client.stream.write_all(&[*byte]).unwrap();
    }
    for shard in [0, 1] {
        let answer = client.read_response().unwrap();
        assert_eq!((answer.status, &answer.body["found"][0]["bucket"]), (200, &json!(shard)));
    }
}

#[rstest]
#[case::unknown_path(query_request("lost", "c1", &[0], "2"), 404, "path")]
#[case::unknown_shard(query_request("find", "c1", &[6], "2"), 400, "buckets.bucket")]
#[case::duplicate_shard(query_request("find", "c1", &[1, 1], "2"), 400, "named twice")]
#[case::no_parts(query_request("find", "c1", &[], "2"), 400, "buckets")]
#[case::invalid_budget(query_request("find", "c1", &[1], "soon"), 400, "X-Budget")]
#[case::spent_budget(query_request("find", "c1", &[1], "0"), 400, "X-Budget: spent")]
#[case::infinite_budget(query_request("find", "c1", &[1], "inf"), 400, "X-Budget")]
#[case::budget_with_exponent(query_request("find", "c1", &[1], "1e9"), 400, "X-Budget")]
#[case::share_above_1(query_request("find", "c1", &[1], "2").replace("1.0}", "1.5}"), 400, "buckets.part: not a share")]
#[case::shares_below_1(query_request("find", "c1", &[1], "2").replace("1.0}", "0.7}"), 400, "add up to 1")]
#[case::shares_above_1(query_request("find", "c1", &[1, 2, 3], "2").replace("0.33", "0.43"), 400, "add up to 1")]
#[case::empty_id(query_request("find", "", &[1], "2"), 400, "X-Call-Id")]
#[case::mismatched_class(query_request("find", "c1", &[1], "2").replace("Class: find", "Class: fix"), 400, "X-Call-Class")]
#[case::invalid_share_type(query_request("find", "c1", &[1], "2").replace("1.0}", "[5]}"), 400, "buckets.part")]
#[case::not_json(query_request("find", "c1", &[1], "2").replace("{\"b", "<\"b"), 400, "body")]
#[case::duplicate_key(query_request("find", "c1", &[1], "2").replace("\"body\":\"q1\"", "\"body\":1,\"body\":2"), 400, "'body' is given twice")]
#[case::method("GET /find HTTP/1.1\r\n\r\n".to_string(), 405, "POST")]
#[case::no_http("lunch?\r\n\r\n".to_string(), 400, "head")]
#[case::too_long("POST /find HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_string(), 413, "64 KiB")]
#[case::length_and_chunked_encoding("POST /find HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(), 400, "Content-Length")]
fn invalid_request_names_its_fault(#[case] request: String, #[case] status: u16, #[case] named_fault: &str) {
    let nodes = nodes(1);
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let answer = Client::connect(&broker).request(&request);
    assert_eq!(answer.status, status);
    assert!(answer.body["error"].as_str().unwrap().contains(named_fault), "{answer:?}");
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c9", &[0], "2")).status, 200);
    assert_eq!(nodes[0].frames_of_type('A').len(), 1);
}

#[test]
fn burst_gets_one_response_per_query() {
    let (broker, _list) = Broker::start_with_nodes(&nodes(3));
    let mut clients: Vec<_> = (0..100).map(|_| Client::connect(&broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&query_request("find", &format!("c{i}"), &[i % 6, (i + 1) % 6], "2.0"));
    }
    for client in &mut clients {
        let status = client.read_response().unwrap().status;
        assert!(matches!(status, 200 | 429 | 503), "{status}");
        assert_eq!(client.request("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").status, 200);
        assert!(client.read_response().is_none());
    }
}

#[test]
fn query_timeout_bounds_the_time_budget() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (broker, _list) =
        Broker::start_with_config_value(&nodes, "/settings/services/1/deadlineMs", json!(500.0));
    let start = Instant::now();
    assert_eq!(Client::connect(&broker).request(&query_request("fix", "c1", &[0], "9.0")).status, 502);
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn partial_response_is_marked() {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::HangForShard(1));
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let answer = Client::connect(&broker).request(&query_request("find", "c1", &[0, 1], "0.8"));
    let found = json!([{"bucket": 0, "item": "v-q1"}]);
    assert_eq!((answer.status, answer.body), (200, json!({"finished": false, "found": found})));
}

/// The time budget of a request counts from its arrival. The second request arrives together with the first one, and
/// waits the 0.25 s that the first one takes.
#[rstest]
#[case::spent_before_dispatch(0.24, 429, 0)]
#[case::sufficient(0.9, 200, 1)]
fn time_budget_of_a_pipelined_request_counts_from_arrival(
    #[case] budget: f64,
    #[case] status: u16,
    #[case] attempts: usize,
) {
    let nodes = nodes(1);
    nodes[0].set_behavior(NodeBehavior::SlowForShard(1));
    let (broker, _list) = Broker::start_with_nodes(&nodes);
    let mut client = Client::connect(&broker);
    client.send(
        &(query_request("find", "c1", &[1], "2.0") + &query_request("find", "c2", &[0], &budget.to_string())),
    );
    assert_eq!(
        (client.read_response().unwrap().status, client.read_response().unwrap().status),
        (200, status)
    );
    let attempts_of_second =
        nodes[0].frames_of_type('A').iter().filter(|frame| frame.starts_with("c2.")).count();
    assert_eq!(attempts_of_second, attempts);
}
