//! Request bodies at and beyond every size limit, sent to a broker whose disk fails as the test demands.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::body_cluster::{
    BodyCluster, BodyNodeBehavior, BodyOutcome, BodyRequest, Node, body_request, mib_bytes, repeated_part_ids,
};
use dunepond_testkit::stand_ins::{Client, query_request};
use rstest::rstest;
use serde_json::json;

/// Limits by which a body of over 1 MiB is not kept in memory, and one of over 8 MiB is not kept in a file either.
const FILES_CONFIG: &str = "bodies {
    longest \"16MiB\"
    memory one=\"1MiB\" all=\"16MiB\"
    files folder=\"FOLDER\" one=\"8MiB\" all=\"64MiB\" threads=2 waiting=64 rest=0.2 longest-rest=1
    share customer=0.5 table-type=0.75
    window \"256KiB\"
    slowest 1.0
}
counters every=0.2
";

/// Limits by which a body of over 1 MiB is not kept at all.
const NO_FILES_CONFIG: &str = "bodies {
    longest \"16MiB\"
    memory one=\"1MiB\" all=\"16MiB\"
    window \"256KiB\"
    slowest 1.0
}
counters every=0.2
";

fn cluster(nodes: &[BodyNodeBehavior], config_text: &str) -> BodyCluster {
    let nodes =
        nodes.iter().enumerate().map(|(i, behavior)| Node::start(&format!("s-{i}"), *behavior)).collect();
    BodyCluster::start(Path::new(env!("CARGO_BIN_EXE_dunepond-testkit")), nodes, config_text)
}

/// A cluster whose timeouts for queries and for connections to nodes are as long as the clients of these tests wait for an
/// answer.
fn cluster_with_long_timeouts(nodes: &[BodyNodeBehavior], config_text: &str) -> BodyCluster {
    let nodes =
        nodes.iter().enumerate().map(|(i, behavior)| Node::start(&format!("s-{i}"), *behavior)).collect();
    BodyCluster::start_with_config(
        Path::new(env!("CARGO_BIN_EXE_dunepond-testkit")),
        nodes,
        config_text,
        |config| {
            config["settings"]["ceilings"]["connectTimeoutMs"] = json!(20_000.0);
            for service in config["settings"]["services"].as_array_mut().unwrap() {
                (service["aimMs"], service["deadlineMs"]) = (json!(50_000.0), json!(55_000.0));
            }
        },
    )
}

/// Checks that the answer is complete and that the nodes received the whole body with each part.
fn assert_served(outcome: &BodyOutcome, request: &BodyRequest) {
    assert_eq!(outcome.status(), 200, "{outcome:?}");
    let body = &outcome.response.as_ref().unwrap().body;
    let found = body["found"].as_array().unwrap();
    assert_eq!((body["finished"].clone(), found.len()), (json!(true), request.shards.len()));
    assert!(found.iter().all(|part| part["item"] == json!(request.expected_value())), "{found:?}");
}

/// Waits up to 10 s for the broker to log this text, and returns whether it did.
fn wait_for_log(cluster: &BodyCluster, text: &str) -> bool {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        if cluster.broker.log_text().contains(text) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

#[rstest]
#[case::empty(0)]
#[case::one_byte(1)]
#[case::one_block(64 * 1024)]
#[case::memory_limit(mib_bytes(1))]
#[case::memory_limit_plus_one(mib_bytes(1) + 1)]
#[case::file_limit(mib_bytes(8))]
#[case::file_limit_plus_one(mib_bytes(8) + 1)]
#[case::length_limit(mib_bytes(16))]
fn allowed_body_reaches_all_parts(#[case] length: u64, #[values(false, true)] chunked: bool) {
    let cluster = cluster(&[BodyNodeBehavior::Serve; 3], FILES_CONFIG);
    let request = BodyRequest { chunked, ..body_request("find", "c1", &[0, 1, 2, 3], length) };
    let outcome = cluster.send(&request);
    // A body that is too long for a file is streamed if its length is stated. Without a length it has to be kept, and is
    // rejected.
    if chunked && length > mib_bytes(8) {
        assert_eq!(outcome.status(), 413, "{outcome:?}");
        assert!(outcome.error_text().contains("length is not stated"), "{outcome:?}");
    } else {
        assert_served(&outcome, &request);
    }
    assert_eq!(cluster.spill_file_count(), 0);
}

#[rstest]
#[case::content_length(false)]
#[case::chunked(true)]
fn oversized_body_is_rejected(#[case] chunked: bool) {
    let config_text = FILES_CONFIG.replace("16MiB\"\n    memory", "1MiB\"\n    memory");
    let cluster = cluster(&[BodyNodeBehavior::Serve], &config_text);
    let outcome =
        cluster.send(&BodyRequest { chunked, ..body_request("find", "c1", &[0], mib_bytes(1) + 1) });
    assert_eq!(
        (outcome.status(), outcome.error_text().contains("bodies.longest")),
        (413, true),
        "{outcome:?}"
    );
    assert_served(
        &cluster.send(&body_request("find", "c2", &[0], mib_bytes(1))),
        &body_request("find", "c2", &[0], mib_bytes(1)),
    );
    assert_eq!(cluster.nodes[0].frame_counts().complete, 1);
}

#[rstest]
#[case::unknown_shard("3=0.5,9=0.5", "no such shard")]
#[case::duplicate_shard("1=0.5,1=0.5", "named twice")]
#[case::share_out_of_range("1=0.5,2=1.5", "not a share")]
#[case::shares_below_one("1=0.5,2=0.2", "add up to 1")]
#[case::wrong_separator("1:1", "no such shard")]
#[case::signed_shard("+1=1", "no such shard")]
#[case::exponent_in_share("1=1e0", "no such shard")]
#[case::empty_entry("1=0.5,,2=0.5", "no such shard")]
fn invalid_shard_header_is_rejected(#[case] buckets: &str, #[case] expected_error: &str) {
    let cluster = cluster(&[BodyNodeBehavior::Serve], FILES_CONFIG);
    let head = body_request("find", "c1", &[0], 4).header().replace("0=1.000000", buckets);
    let mut client = Client::connect(&cluster.broker);
    client.send(&(head + "text"));
    let answer = client.read_response().unwrap();
    let error = answer.body["error"].as_str().unwrap();
    assert!(
        answer.status == 400 && error.starts_with("X-Buckets") && error.contains(expected_error),
        "{answer:?}"
    );
    assert_eq!(cluster.nodes[0].frame_counts().complete, 0);
}

/// Without a `bodies` section the broker ignores the header `X-Buckets`, and the usual limits on the body apply.
#[test]
fn raw_bodies_are_off_by_default() {
    let cluster = cluster(&[BodyNodeBehavior::Serve], "log form=\"text\"");
    let mut client = Client::connect(&cluster.broker);
    client.send(&(body_request("find", "c1", &[0], 4).header() + "text"));
    assert_eq!(client.read_response().unwrap().status, 400);
    client = Client::connect(&cluster.broker);
    client.send(&body_request("find", "c1", &[0], 100_000).header());
    assert_eq!(client.read_response().unwrap().status, 413);
}

// Retries.

#[rstest]
#[case::memory(mib_bytes(1))]
#[case::file(mib_bytes(4))]
fn buffered_body_is_retried(
    #[case] length: u64,
    #[values(
        BodyNodeBehavior::ReportFailure,
        BodyNodeBehavior::Close,
        BodyNodeBehavior::CloseMidFrame,
        BodyNodeBehavior::Reject,
        BodyNodeBehavior::RejectMidFrame
    )]
    behavior: BodyNodeBehavior,
) {
    let cluster = cluster(&[behavior, BodyNodeBehavior::Serve], FILES_CONFIG);
    for i in 0..3 {
        let request = body_request("find", &format!("c{i}"), &[0, 1], length);
        assert_served(&cluster.send(&request), &request);
    }
    let frames = cluster.nodes[0].frame_counts();
    assert!(frames.complete + frames.partial > 0, "no frame was sent to the faulty node");
}

#[rstest]
#[case::fault(BodyNodeBehavior::ReportFailure)]
#[case::close(BodyNodeBehavior::Close)]
#[case::close_mid_frame(BodyNodeBehavior::CloseMidFrame)]
fn streamed_body_is_not_retried(#[case] behavior: BodyNodeBehavior) {
    let cluster = cluster(&[behavior], FILES_CONFIG);
    let outcome = cluster.send(&body_request("find", "c1", &[0], mib_bytes(9)));
    assert_eq!(outcome.status(), 429, "{outcome:?}");
    assert!(
        outcome.error_text().contains("not kept") && outcome.error_text().contains("bodies.files.one"),
        "{outcome:?}"
    );
    assert!(outcome.elapsed_seconds < 5.0, "{outcome:?}");
    let frames = cluster.nodes[0].frame_counts();
    assert_eq!(frames.complete + frames.partial, 1);
}

/// A non-idempotent part that the node refused certainly did not run, so it is sent to another node with its whole body.
#[rstest]
#[case::refused(BodyNodeBehavior::Reject)]
#[case::refused_mid_frame(BodyNodeBehavior::RejectMidFrame)]
fn rejected_non_idempotent_part_is_retried(
    #[case] behavior: BodyNodeBehavior,
    #[values(mib_bytes(1), mib_bytes(4))] length: u64,
) {
    let cluster = cluster(&[behavior, BodyNodeBehavior::Serve], FILES_CONFIG);
    let mut requests_after_first_frame = 0;
    for i in 0..6 {
        let request = body_request("fix", &format!("c{i}"), &[0], length);
        assert_served(&cluster.send(&request), &request);
        requests_after_first_frame += usize::from(
            cluster.nodes[0].frame_counts().complete + cluster.nodes[0].frame_counts().partial > 0,
        );
    }
    assert!(requests_after_first_frame > 0, "no frame was sent to the node that refuses parts");
    assert_eq!(repeated_part_ids(&cluster.nodes, |_| true), Vec::<String>::new());
}

/// A node closes the connection in the middle of a frame. If the broker had written the whole frame by then, the part may have
/// run and must not be sent again.
#[test]
fn mid_frame_close_never_runs_twice() {
    let cluster = cluster(&[BodyNodeBehavior::CloseMidFrame, BodyNodeBehavior::Serve], FILES_CONFIG);
    for i in 0..6 {
        let outcome = cluster.send(&body_request("fix", &format!("c{i}"), &[0], mib_bytes(7)));
        assert!(matches!(outcome.status(), 200 | 502), "{outcome:?}");
    }
    assert_eq!(repeated_part_ids(&cluster.nodes, |_| true), Vec::<String>::new());
}

#[test]
fn possibly_executed_part_is_not_retried() {
    let cluster = cluster(&[BodyNodeBehavior::Close, BodyNodeBehavior::Close], FILES_CONFIG);
    let outcome = cluster.send(&body_request("fix", "c1", &[0], mib_bytes(4)));
    assert_eq!(outcome.status(), 502, "{outcome:?}");
    assert!(outcome.elapsed_seconds < 5.0);
    assert_eq!(cluster.nodes.iter().map(|node| node.frame_counts().complete).sum::<usize>(), 1);
}

// Disk faults.

/// With a failing disk the body is streamed instead of kept in a file, and the reason is counted. After a pause the broker uses
/// the disk again.
#[rstest]
#[case::full("full", "the disk is full")]
#[case::quota("quota", "the quota on the disk is used up")]
#[case::read_only("read-only", "the folder cannot be written")]
#[case::broken("broken", "the disk fails in input or output")]
#[case::gone("gone", "the folder has gone")]
#[case::short("short", "the disk takes only a part")]
#[case::stalled("stall 3", "the disk is too slow")]
fn failing_disk_streams_body(#[case] fault: &str, #[case] reason: &str) {
    let cluster = cluster(&[BodyNodeBehavior::Serve; 2], FILES_CONFIG);
    cluster.set_disk_fault(fault);
    let first = body_request("find", "c1", &[0, 1], mib_bytes(4));
    assert_served(&cluster.send(&first), &first);
    assert!(wait_for_log(&cluster, &format!("not file, find, {reason}: 1")), "{}", cluster.broker.log_text());
    // During the pause queries do not wait for the disk.
    let second = body_request("find", "c2", &[0, 1], mib_bytes(4));
    let outcome = cluster.send(&second);
    assert_served(&outcome, &second);
    cluster.set_disk_fault("");
    thread::sleep(Duration::from_secs_f64(if fault.starts_with("stall") { 4.0 } else { 1.2 }));
    let third = body_request("find", "c3", &[0, 1], mib_bytes(4));
    assert_served(&cluster.send(&third), &third);
    assert!(wait_for_log(&cluster, "files=0 "), "{}", cluster.broker.log_text());
}

#[test]
fn short_writes_complete() {
    let cluster = cluster(&[BodyNodeBehavior::ReportFailure, BodyNodeBehavior::Serve], FILES_CONFIG);
    cluster.set_disk_fault("little");
    let request = body_request("find", "c1", &[0, 1], mib_bytes(2));
    assert_served(&cluster.send(&request), &request);
}

/// The disk fills up after the beginning of a body was written. The beginning is read back from the file, and the rest is
/// streamed.
#[test]
fn disk_filling_midway_loses_nothing() {
    let cluster = cluster(&[BodyNodeBehavior::Serve; 2], FILES_CONFIG);
    let request = BodyRequest {
        bytes_per_second: Some(mib_bytes(4)),
        ..body_request("find", "c1", &[0, 1], mib_bytes(4))
    };
    let (outcome, sent_request) = thread::scope(|scope| {
        let sender = scope.spawn(|| cluster.send(&request));
        thread::sleep(Duration::from_millis(400));
        cluster.set_disk_fault("full");
        (sender.join().unwrap(), &request)
    });
    assert_served(&outcome, sent_request);
    assert!(wait_for_log(&cluster, "not file, find, the disk is full: 1"), "{}", cluster.broker.log_text());
}

/// The first attempt reads the body back from its file. If that fails, the query is refused at once instead of hanging.
#[test]
fn unreadable_spill_file_fails_query() {
    let cluster = cluster(&[BodyNodeBehavior::Serve; 2], FILES_CONFIG);
    cluster.set_disk_fault("unreadable");
    let outcome = cluster.send(&body_request("find", "c1", &[0, 1], mib_bytes(4)));
    assert_eq!(outcome.status(), 429, "{outcome:?}");
    assert!(outcome.error_text().contains("cannot be read back"), "{outcome:?}");
    assert!(outcome.elapsed_seconds < 5.0, "{outcome:?}");
    assert_eq!(cluster.nodes.iter().map(|node| node.frame_counts().complete).sum::<usize>(), 0);
}

/// Memory runs short while attempts are in flight: the bodies that were used least recently move to files, and retries read them
/// from there.
#[test]
fn spilled_body_is_retried_from_disk() {
    let config_text = FILES_CONFIG
        .replace("one=\"1MiB\" all=\"16MiB\"", "one=\"4MiB\" all=\"16MiB\"")
        .replace("customer=0.5", "customer=1.0")
        .replace("table-type=0.75", "table-type=1.0");
    let cluster = cluster(&[BodyNodeBehavior::HoldThenFail, BodyNodeBehavior::HoldThenFail], &config_text);
    let requests: Vec<_> =
        (0..4).map(|i| body_request("find", &format!("c{i}"), &[0], mib_bytes(4) - 1)).collect();
    thread::scope(|scope| {
        let senders: Vec<_> = requests.iter().map(|request| scope.spawn(|| cluster.send(request))).collect();
        assert!(
            wait_for_log(&cluster, "files=4194303") || wait_for_log(&cluster, "files=8388606"),
            "{}",
            cluster.broker.log_text()
        );
        cluster.nodes.iter().for_each(|node| node.set_behavior(BodyNodeBehavior::Serve));
        for (sender, request) in senders.into_iter().zip(&requests) {
            assert_served(&sender.join().unwrap(), request);
        }
    });
}

// Slow and disconnecting clients, memory limits.

#[rstest]
#[case::in_memory(mib_bytes(1))]
#[case::in_a_file(mib_bytes(4))]
#[case::streamed(mib_bytes(9))]
fn disconnect_frees_body(#[case] length: u64) {
    let cluster = cluster(&[BodyNodeBehavior::Serve; 2], FILES_CONFIG);
    for i in 0..8 {
        cluster.send(&BodyRequest {
            disconnect_after_bytes: Some(length / 2),
            ..body_request("find", &format!("c{i}"), &[0, 1], length)
        });
    }
    thread::sleep(Duration::from_millis(300));
    assert!(wait_for_log(&cluster, "bodies=0 kept=0 "), "{}", cluster.broker.log_text());
    assert_eq!(cluster.nodes.iter().map(|node| node.frame_counts().complete).sum::<usize>(), 0);
    assert_eq!(cluster.spill_file_count(), 0);
    let request = body_request("find", "after", &[0, 1], length);
    assert_served(&cluster.send(&request), &request);
}

/// The client has sent its whole body, and disconnects while the broker reads the body from its file for a retry.
#[test]
fn disconnect_during_retry_frees_body() {
    let cluster = cluster(
        &[BodyNodeBehavior::ReportFailure, BodyNodeBehavior::ServeAtBytesPerSecond(mib_bytes(1))],
        FILES_CONFIG,
    );
    let request = body_request("find", "c1", &[0], mib_bytes(4));
    let mut stream = TcpStream::connect(cluster.broker.address).unwrap();
    stream.write_all(request.header().as_bytes()).unwrap();
    stream.write_all(&vec![7; request.body_bytes as usize]).unwrap();
    thread::sleep(Duration::from_millis(600));
    drop(stream);
    thread::sleep(Duration::from_millis(500));
    let log = cluster.broker.log_text();
    assert!(log.trim_end().lines().last().unwrap().contains("bodies=0 kept=0"), "{log}");
}

/// A client that sends 20 bytes per second is ended by its own timeout, and other clients are served meanwhile.
#[test]
fn trickling_client_times_out() {
    let cluster = cluster(&[BodyNodeBehavior::Serve; 2], FILES_CONFIG);
    thread::scope(|scope| {
        let slow = scope.spawn(|| {
            cluster.send(&BodyRequest {
                bytes_per_second: Some(20),
                budget_seconds: 1.5,
                ..body_request("find", "slow", &[0], mib_bytes(1))
            })
        });
        let mut client = Client::connect(&cluster.broker);
        for i in 0..20 {
            let answer = client.request(&query_request("find", &format!("c{i}"), &[0], "20.0"));
            assert_eq!(answer.status, 200);
        }
        let outcome = slow.join().unwrap();
        assert!(outcome.status() == 408 || outcome.status() == 0, "{outcome:?}");
    });
    assert_eq!(cluster.nodes.iter().filter(|n| n.run_counts().contains_key("slow.0")).count(), 0);
}

/// A slow body that is streamed uses its own connections to the nodes, so it does not delay other queries.
#[test]
fn slow_streamed_body_delays_no_other_query() {
    let cluster = cluster(&[BodyNodeBehavior::Serve; 2], FILES_CONFIG);
    thread::scope(|scope| {
        let slow = BodyRequest {
            bytes_per_second: Some(mib_bytes(2)),
            ..body_request("find", "slow", &[0, 1], mib_bytes(9))
        };
        let cluster = &cluster;
        let sender = scope.spawn(move || assert_served(&cluster.send(&slow), &slow));
        thread::sleep(Duration::from_millis(300));
        let mut client = Client::connect(&cluster.broker);
        for i in 0..50 {
            let answer = client.request(&query_request("find", &format!("c{i}"), &[0, 1], "20.0"));
            assert_eq!(answer.status, 200);
            // A query that the slow body delayed would be answered after it. The time itself depends on the machine's load.
            assert!(i > 2 || !sender.is_finished(), "query {i} was answered after the slow one");
        }
        sender.join().unwrap();
    });
}

/// A streamed body is read from the client as fast as the slowest node takes it, but only up to a limit. Then the part to that
/// node, which has not run, is ended.
#[test]
fn node_that_stops_reading_streamed_body_is_dropped() {
    let cluster = cluster(&[BodyNodeBehavior::StopReading, BodyNodeBehavior::Serve], NO_FILES_CONFIG);
    let mut refused_count = 0;
    for i in 0..4 {
        let outcome = cluster.send(&body_request("find", &format!("c{i}"), &[0, 1], mib_bytes(15)));
        // Without the limit it would take the whole 20 s that the client allows.
        assert!(outcome.elapsed_seconds < 15.0, "{outcome:?}");
        refused_count += usize::from(outcome.status() == 429);
        assert!(matches!(outcome.status(), 200 | 429), "{outcome:?}");
    }
    assert!(refused_count > 0, "no part was sent to the node that stops reading");
    assert!(
        cluster.broker.log_text().contains("read a streamed body too slowly"),
        "{}",
        cluster.broker.log_text()
    );
}

/// Guards against a broker that stops reading a client that is answered while it still sends its body. This happened if the
/// body's buffer was full at that moment: the client got its answer only when the broker gave up waiting for it, 30 s later.
#[test]
fn client_rejected_with_full_body_buffer_gets_answer() {
    let cluster = cluster(&[BodyNodeBehavior::StopReading], NO_FILES_CONFIG);
    let rejected_at_once = || {
        let outcome = cluster.send(&body_request("find", "first", &[0], mib_bytes(1) + 1));
        assert_eq!(outcome.status(), 429, "{outcome:?}");
        cluster.broker.log_text().contains("is ejected")
    };
    assert!((0..10).any(|_| rejected_at_once()), "the node is never ejected");
    for i in 0..4 {
        // What arrives while the broker is suspended is read at once when it resumes, and is more than the body's buffer
        // holds.
        cluster.broker.signal("STOP");
        let outcome = thread::scope(|scope| {
            let sender =
                scope.spawn(|| cluster.send(&body_request("find", &format!("c{i}"), &[0], mib_bytes(15))));
            thread::sleep(Duration::from_millis(100));
            cluster.broker.signal("CONT");
            sender.join().unwrap()
        });
        assert_eq!(outcome.status(), 429, "{outcome:?}");
        assert!(outcome.elapsed_seconds < 15.0, "{outcome:?}");
    }
}

/// Bodies that do not fit into memory are refused with the reason and a `Retry-After`, or streamed. The broker stays within its
/// memory limit.
#[test]
fn many_large_bodies_stay_within_memory_limit() {
    let config_text = NO_FILES_CONFIG.replace("one=\"1MiB\"", "one=\"8MiB\"");
    let config_text = config_text.replace("window", "share customer=1.0 table-type=1.0\n    window");
    // The broker's single event loop has to transfer 480 MiB. With the usual timeouts it would connect to nodes too late,
    // take nodes for too slow, and refuse parts that have not run. Long timeouts leave only the memory limit to be tested.
    let config_text = config_text.replace("slowest 1.0", "slowest 20.0");
    let cluster = cluster_with_long_timeouts(&[BodyNodeBehavior::Serve; 3], &config_text);
    let outcomes: Vec<_> = thread::scope(|scope| {
        let requests = (0..60).map(|i| BodyRequest {
            budget_seconds: 50.0,
            ..body_request("find", &format!("c{i}"), &[0, 1], mib_bytes(8))
        });
        let senders: Vec<_> = requests
            .map(|request| {
                scope.spawn({
                    let cluster = &cluster;
                    move || cluster.send(&request)
                })
            })
            .collect();
        senders.into_iter().map(|sender| sender.join().unwrap()).collect()
    });
    assert!(outcomes.iter().all(|outcome| matches!(outcome.status(), 200 | 429 | 503)), "{outcomes:?}");
    assert!(outcomes.iter().filter(|outcome| outcome.status() == 200).count() >= 5, "{outcomes:?}");
    let refused: Vec<_> = outcomes.iter().filter(|outcome| outcome.status() == 503).collect();
    let has_retry_after =
        |outcome: &BodyOutcome| outcome.response.as_ref().unwrap().header.contains("Retry-After: ");
    assert!(
        refused.iter().all(|outcome| has_retry_after(outcome) && outcome.error_text().starts_with("body: ")),
        "{refused:?}"
    );
    assert!(
        (1..mib_bytes(16 + 2)).contains(&cluster.peak_memory_bytes()),
        "peak memory {} MiB",
        cluster.peak_memory_bytes() / mib_bytes(1)
    );
}

/// One tenant may use at most half of the memory for bodies. The bodies of another tenant are still kept, so its queries can be
/// retried when a node fails.
#[test]
fn flood_leaves_room_for_other_tenant() {
    let config_text = NO_FILES_CONFIG.replace("all=\"16MiB\"", "all=\"8MiB\"");
    let cluster = cluster(&[BodyNodeBehavior::Hang, BodyNodeBehavior::Hang], &config_text);
    thread::scope(|scope| {
        let cluster = &cluster;
        let flood = (0..12).map(|i| BodyRequest {
            budget_seconds: 6.0,
            ..body_request("find", &format!("f{i}"), &[0], mib_bytes(1))
        });
        let flood: Vec<_> = flood.map(|request| scope.spawn(move || cluster.send(&request))).collect();
        assert!(wait_for_log(cluster, "the customer's share of bodies.memory.all is used up"));
        cluster.nodes[1].set_behavior(BodyNodeBehavior::Serve);
        cluster.nodes[0].set_behavior(BodyNodeBehavior::ReportFailure);
        for i in 0..3 {
            let request =
                BodyRequest { tenant: "right", ..body_request("find", &format!("r{i}"), &[0], mib_bytes(1)) };
            let outcome = cluster.send(&request);
            assert_served(&outcome, &request);
        }
        flood.into_iter().for_each(|sender| drop(sender.join().unwrap()));
    });
}

// The broker process and its folder for bodies.

#[test]
fn shutdown_answers_queries_and_leaves_no_file() {
    let mut cluster = cluster(&[BodyNodeBehavior::Serve; 2], FILES_CONFIG);
    let request = BodyRequest {
        bytes_per_second: Some(mib_bytes(4)),
        ..body_request("find", "c1", &[0, 1], mib_bytes(4))
    };
    let address = cluster.broker.address;
    let sender = thread::spawn({
        let request = request.clone();
        move || request.send(address)
    });
    thread::sleep(Duration::from_millis(300));
    cluster.broker.signal("TERM");
    assert_served(&sender.join().unwrap(), &request);
    assert_eq!(cluster.broker.exit_code(), Some(0));
    assert_eq!(std::fs::read_dir(&cluster.spill_folder).unwrap().count(), 0);
}

/// A new broker deletes the files that a killed broker left, and no other files in the folder.
#[test]
fn leftover_files_are_deleted() {
    let first = cluster(&[BodyNodeBehavior::Serve], FILES_CONFIG);
    let leftover_body = first.spill_folder.join("dunepond-lab0-3.body");
    let leftover_owner = first.spill_folder.join("dunepond-lab0.owner");
    let (unrelated, similar_name) =
        (first.spill_folder.join("notes.txt"), first.spill_folder.join("dunepond-other.txt"));
    [&leftover_body, &leftover_owner, &unrelated, &similar_name]
        .iter()
        .for_each(|path| std::fs::write(path, "x").unwrap());
    first.broker.signal("KILL");
    let config_text = FILES_CONFIG.replace("FOLDER", first.spill_folder.to_str().unwrap());
    let second = cluster(&[BodyNodeBehavior::Serve], &config_text);
    assert!(
        !leftover_body.exists() && !leftover_owner.exists() && unrelated.exists() && similar_name.exists()
    );
    let files = std::fs::read_dir(&first.spill_folder).unwrap().flatten();
    let owners: Vec<_> = files
        .filter(|entry| entry.path().extension().is_some_and(|extension| extension == "owner"))
        .collect();
    assert_eq!(owners.len(), 1, "{owners:?}");
    let request = body_request("find", "c1", &[0], mib_bytes(4));
    assert_served(&second.send(&request), &request);
}

#[test]
fn two_brokers_share_body_folder() {
    let first = cluster(&[BodyNodeBehavior::ReportFailure, BodyNodeBehavior::Serve], FILES_CONFIG);
    let config_text = FILES_CONFIG.replace("FOLDER", first.spill_folder.to_str().unwrap());
    let second = cluster(&[BodyNodeBehavior::ReportFailure, BodyNodeBehavior::Serve], &config_text);
    for i in 0..3 {
        for cluster in [&first, &second] {
            let request = body_request("find", &format!("c{i}"), &[0, 1], mib_bytes(4));
            assert_served(&cluster.send(&request), &request);
        }
    }
}

#[test]
fn lowered_limit_applies_to_next_body() {
    let cluster = cluster(&[BodyNodeBehavior::Hang], FILES_CONFIG);
    let kept_request = body_request("find", "c1", &[0], mib_bytes(4));
    thread::scope(|scope| {
        let sender = scope.spawn(|| cluster.send(&kept_request));
        assert!(wait_for_log(&cluster, "files=4194304"), "{}", cluster.broker.log_text());
        cluster.reload_config(&FILES_CONFIG.replace("longest \"16MiB\"", "longest \"1MiB\""));
        assert!(wait_for_log(&cluster, "operator's file reloaded"));
        let outcome = cluster.send(&body_request("find", "c2", &[0], mib_bytes(4)));
        assert_eq!(
            (outcome.status(), outcome.error_text().contains("bodies.longest")),
            (413, true),
            "{outcome:?}"
        );
        cluster.nodes[0].set_behavior(BodyNodeBehavior::Serve);
        let outcome = sender.join().unwrap();
        assert!(matches!(outcome.status(), 200 | 429), "{outcome:?}");
    });
    cluster.reload_config("bodies {\n  longst \"1MiB\"\n}");
    assert!(wait_for_log(&cluster, "operator's file reload failed"), "{}", cluster.broker.log_text());
    assert!(wait_for_log(&cluster, ":2:3: bodies: 'longst' is not known"), "{}", cluster.broker.log_text());
}

#[test]
fn missing_operator_file_stops_startup() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dunepond-testkit"))
        .args(["broker", "--operator", "/nowhere/operator.kdl", "--disk", "/nowhere/disk"])
        .output()
        .unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/operator.kdl"));
}
