//! Brokers of a fleet follow the active configuration version, and send non-idempotent parts only to the segment's owner.

mod harness;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use dunepond_control_plane::{AuditEvent, AuditPhase, AuditRecord};
use dunepond_testkit::stand_ins::{Client, DiscoveryServer, NodeBehavior, query_request};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use harness::{FillService, Fleet, is_without_lease, non_idempotent_sent, send_query, version};

#[test]
fn non_idempotent_parts_go_to_agreed_owners() {
    let fleet = Fleet::new(3, "");
    fleet.offer(1, &version(1, &["s-1"]));
    let brokers: Vec<_> = (0..3).map(|index| fleet.start(index)).collect();
    (0..3).for_each(|index| fleet.wait_active(index, 1));
    for (index, broker) in brokers.iter().enumerate() {
        let answer = send_query(broker, "fix", &format!("f{index}"), &[0, 4]);
        assert_eq!(answer.status, 200, "{answer:?}");
        let answer = send_query(broker, "find", &format!("r{index}"), &[0, 1, 2, 3, 4, 5]);
        assert_eq!(answer.status, 200, "{answer:?}");
        fleet.wait(index, "a complete answer", |line| {
            matches!(&line.event, AuditEvent::Answer { complete: true, map_epoch: Some(1), segments, .. } if segments.len() == 6)
        });
    }
    let sent: Vec<_> = (0..3).flat_map(|index| non_idempotent_sent(fleet.audit_log(index))).collect();
    assert_eq!(sent.len(), 6);
    assert!(sent.iter().all(|(node, numbers)| node == "s-1" && *numbers == [1]), "{sent:?}");
}

#[test]
fn owner_change_fences_non_idempotent_parts() {
    let fleet = Fleet::new(1, "");
    fleet.offer(0, &version(1, &["s-0"]));
    let broker = fleet.start(0);
    fleet.wait_active(0, 1);
    assert_eq!(send_query(&broker, "fix", "a", &[0]).status, 200);
    let mut next = version(2, &["s-2"]);
    next["standings"]["draining"] = json!(["s-1"]);
    fleet.offer(0, &next);
    broker.signal("HUP");
    fleet.wait(0, "joint phase", |line| {
        matches!(
            line.event,
            AuditEvent::Phase { phase: AuditPhase::Joint, first_version: 1, last_version: 2, .. }
        )
    });
    let between = send_query(&broker, "fix", "b", &[0]);
    assert_eq!(between.status, 429, "{between:?}");
    assert!(between.header.contains("Retry-After: "), "{between:?}");
    // The query was rejected before it reached the router.
    fleet.wait(
        0,
        "a rejection of b",
        |line| matches!(&line.event, AuditEvent::Rejected { request_id, .. } if request_id == "b"),
    );
    // The excluded node gets no new attempts in the joint phase.
    let left = fleet.nodes[1].frames_of_type('A').len();
    (0..6).for_each(|i| assert_eq!(send_query(&broker, "find", &format!("c{i}"), &[0, 1, 2]).status, 200));
    assert_eq!(fleet.nodes[1].frames_of_type('A').len(), left);
    fleet.wait_active(0, 2);
    assert_eq!(send_query(&broker, "fix", "d", &[0]).status, 200);
    // The excluded node gets no new attempts in the active phase either, although discovery lists it as ready.
    let before = fleet.nodes[1].frames_of_type('A').len();
    (0..12).for_each(|i| assert_eq!(send_query(&broker, "find", &format!("e{i}"), &[0, 1, 2]).status, 200));
    assert_eq!(fleet.nodes[1].frames_of_type('A').len(), before);
    assert_eq!(
        non_idempotent_sent(fleet.audit_log(0)),
        [("s-0".to_string(), vec![1]), ("s-2".to_string(), vec![2])]
    );
    let log = fleet.audit_log(0);
    let digests = |number: u64| -> Vec<_> {
        let of = |line: &AuditRecord| match &line.event {
            AuditEvent::Proposed { number: n, digest } | AuditEvent::Confirmed { number: n, digest }
                if *n == number =>
            {
                Some(digest.clone())
            }
            _ => None,
        };
        log.iter().filter_map(of).collect()
    };
    assert_eq!(digests(2).len(), 2);
    assert_eq!(digests(2)[0], digests(2)[1]);
}

#[test]
fn stalled_broker_without_lease_sends_no_non_idempotent_part() {
    let fleet = Fleet::new(2, "");
    fleet.offer(0, &version(1, &["s-0"]));
    let (broker, other) = (fleet.start(0), fleet.start(1));
    fleet.wait_active(0, 1);
    drop(other);
    broker.signal("STOP");
    let mut clients = [Client::connect(&broker), Client::connect(&broker)];
    clients[0].send(&query_request("fix", "a", &[0], "2.5"));
    clients[1].send(&query_request("find", "b", &[0, 1], "2.5"));
    thread::sleep(Duration::from_millis(800));
    broker.signal("CONT");
    let answers = clients.map(|mut client| client.read_response().unwrap());
    assert_eq!(answers.each_ref().map(|answer| answer.status), [429, 200], "{answers:?}");
    fleet.wait_lease_expired(0);
    assert_eq!(non_idempotent_sent(fleet.audit_log(0)), []);
    // With the other voter back the broker gets a lease again.
    let _other = fleet.start(1);
    fleet.wait(0, "a lease", |line| {
        let later = fleet
            .audit_log(0)
            .iter()
            .rev()
            .find(|line| is_without_lease(line))
            .map_or(0.0, |expired| expired.at);
        line.at > later && matches!(line.event, AuditEvent::Phase { phase: AuditPhase::Active, .. })
    });
    assert_eq!(send_query(&broker, "fix", "c", &[0]).status, 200);
}

#[test]
fn answer_incomplete_for_keys_outside_map() {
    let fleet = Fleet::new(1, "");
    let mut first = version(1, &["s-0"]);
    first["map"]["segments"][5]["id"] = json!(9);
    fleet.offer(0, &first);
    let broker = fleet.start(0);
    fleet.wait_active(0, 1);
    let answer_state = |id: &str, segments: &[usize]| {
        let answer = send_query(&broker, "find", id, segments);
        (answer.status, answer.body["finished"].as_bool())
    };
    assert_eq!(answer_state("a", &[0, 4]), (200, Some(true)));
    // All parts were answered, but some of their keys are outside the shard map, so the answer is incomplete.
    assert_eq!(answer_state("b", &[0, 5]), (200, Some(false)));
    fleet.wait(
        0,
        "an incomplete answer of b",
        |line| matches!(&line.event, AuditEvent::Answer { request_id, complete: false, map_epoch: None, .. } if request_id == "b"),
    );
}

#[rstest]
#[case::allowed(true, 2)]
#[case::forbidden(false, 1)]
fn keyed_retry_obeys_active_version(#[case] retries: bool, #[case] min_attempts: usize) {
    let mut fleet = Fleet::new(1, "");
    fleet.find_semantics = "token";
    let mut first = version(1, &["s-0"]);
    first["rules"]["repeats"] = json!(retries);
    fleet.offer(0, &first);
    let broker = fleet.start(0);
    fleet.wait_active(0, 1);
    // The first queries provide latency samples. The attempts of the query after them all fail.
    (0..20).for_each(|i| drop(send_query(&broker, "find", &format!("a{i}"), &[0])));
    fleet.nodes.iter().for_each(|node| node.set_behavior(NodeBehavior::ReplyStatus("fault")));
    let sent = || fleet.nodes.iter().map(|node| node.frames_of_type('A').len()).sum::<usize>();
    let before = sent();
    assert_ne!(send_query(&broker, "find", "b", &[0]).status, 200);
    let sent = sent() - before;
    assert!(if retries { sent >= min_attempts } else { sent == min_attempts }, "{sent}");
}

/// Returns a listener with a full accept queue, its address, and the connections that fill the queue.
fn full_listener() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    let mut filling = vec![TcpStream::connect(address).unwrap()];
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        filling.push(stream);
    }
    (listener, address, filling)
}

/// Guards against sending a part whose connection is established only after the lease has expired. Tried up to four times, as on
/// a busy machine the connect may time out first.
#[test]
fn connecting_part_past_lease_not_sent() {
    assert!((0..4).any(|_| is_withheld_past_lease()), "the part was never withheld");
}

/// Asserts that nothing is sent; returns whether the part was withheld when its frame was about to be written.
fn is_withheld_past_lease() -> bool {
    let mut fleet = Fleet::new(2, "");
    fleet.deadline_ms = 3000.0;
    let (listener, address, filling) = full_listener();
    let line = json!({"host": "s-0", "dial": address.to_string(), "site": "a", "class": "m", "block": 0,
        "health": "ready", "share": 1.0, "born_ms": 0});
    fleet.list = DiscoveryServer::start(vec![line.clone()]);
    fleet.nodes = Vec::new();
    let (broker, other) = (fleet.start(0), fleet.start(1));
    // Version 0: the broker has a lease, but no configuration version yet.
    fleet.wait_active(0, 0);
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "a", &[0], "2.9"));
    drop(other);
    fleet.wait_lease_expired(0);
    // Makes room in the accept queue, so that the connection can be established.
    drop(filling);
    listener.set_nonblocking(true).unwrap();
    let start = Instant::now();
    let mut received = Vec::new();
    while start.elapsed() < Duration::from_secs(4) {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
            let mut bytes = [0; 64];
            let count = stream.read(&mut bytes).unwrap_or(0);
            received.extend_from_slice(&bytes[..count]);
        }
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(String::from_utf8_lossy(&received), "");
    assert_ne!(client.read_response().unwrap().status, 200);
    assert_eq!(non_idempotent_sent(fleet.audit_log(0)), []);
    broker.log_text().contains("the active configuration forbids it")
}

#[test]
fn interrupted_fill_retried_and_settled_once() {
    let fill_service = FillService::start();
    let extra_kdl = format!(
        "partner \"north\" zones=\"a\" customers=\"mill\" brokers=\"n0\"\npartner \"south\" zones=\"b\"\n\
         fills at=\"{}\" deadline=60.0 segment=\"1MiB\"",
        fill_service.address
    );
    let mut fleet = Fleet::new(1, &extra_kdl);
    let mut rows: Vec<_> = fleet.nodes.iter().map(|node| node.endpoint("ready")).collect();
    rows[2]["site"] = json!("b");
    fleet.list = DiscoveryServer::start(rows);
    let holder = |node: &str, partner: &str, filled: bool, share: f64| json!({"node": node, "partner": partner, "filled": filled, "share": share});
    let with_holders = |number: u64, segment: u64, third: Option<Value>| {
        let mut version = version(number, &["s-0"]);
        for (id, row) in version["map"]["segments"].as_array_mut().unwrap().iter_mut().enumerate() {
            let mut holders = vec![holder("s-0", "north", true, 0.5), holder("s-1", "north", true, 0.5)];
            // South's node is read from only where the map names it.
            holders.extend((id < 3).then(|| holder("s-2", "south", true, 0.0)));
            holders.extend(third.clone().filter(|_| id as u64 == segment));
            row["holders"] = json!(holders);
        }
        version
    };
    fleet.offer(0, &with_holders(1, 0, None));
    let mut broker = fleet.start(0);
    fleet.wait_active(0, 1);
    // The responses of south's node to north's tenant are counted as north's debt.
    let tenant_query = |i: usize| {
        let scan = query_request("find", &format!("m{i}"), &[0, 1, 2, 3, 4, 5], "0.7");
        scan.replacen("X-Call-Id", "X-Caller: mill\r\nX-Call-Id", 1)
    };
    (0..10).for_each(|i| drop(Client::connect(&broker).request(&tenant_query(i))));
    let attempts = fleet.nodes[2].frames_of_type('A');
    let is_of_unheld =
        |frame: &String| (3..6).any(|segment| frame.contains(&format!(".{segment} {segment} d=")));
    assert!(!attempts.iter().any(is_of_unheld), "south's node does not hold these segments: {attempts:?}");
    let max_bytes = attempts.len() as u64 * "v-q1".len() as u64;
    assert!(max_bytes > 0, "south's node received no attempt");
    thread::sleep(Duration::from_millis(1700));

    fleet.offer(0, &with_holders(2, 3, Some(holder("s-2", "south", false, 0.0))));
    broker.signal("HUP");
    let first = fill_service.wait(1);
    assert_eq!(
        (&first[0]["segment"], &first[0]["holder"], &first[0]["id"]),
        (&json!(3), &json!("s-2"), &json!("2/3/s-2"))
    );
    broker.suppress_log = true;
    broker.signal("KILL");
    drop(broker);
    let broker = fleet.start(0);
    let repeated = fill_service.wait(2);
    assert_eq!(repeated[1]["id"], first[0]["id"]);
    // Also completes the fill that was requested before the crash.
    fill_service.is_answering.store(true, Ordering::Relaxed);
    fleet.wait_active(0, 2);
    let settled = |log: Vec<AuditRecord>| -> Vec<(String, String, u64)> {
        let settled = log.into_iter().filter_map(|line| match line.event {
            AuditEvent::Settled { id, debtor, bytes, .. } => Some((id, debtor, bytes)),
            _ => None,
        });
        settled.collect()
    };
    let settled = settled(fleet.audit_log(0));
    let [(id, debtor, bytes)] = &settled[..] else { panic!("{settled:?}") };
    assert_eq!((id.as_str(), debtor.as_str()), ("2/3/s-2@fleet", "north"));
    // Responses that were cancelled before they were complete do not count.
    assert!((1..=max_bytes).contains(bytes), "{bytes} of {max_bytes}");
    assert!(broker.log_text().contains("settled 2/3/s-2@fleet"));
}
