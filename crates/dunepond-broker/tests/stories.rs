//! A broker among stand-ins for its peers, over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use dunepond_testkit::store::{Broker, Client, List, Manner, Node, config, launch, scan};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

fn nodes(count: usize) -> Vec<Node> {
    (0..count).map(|i| Node::start(&format!("s-{i}"))).collect()
}

#[test]
fn a_scan_is_answered_whole_with_what_its_nodes_gave() {
    let (broker, _list) = Broker::before(&nodes(2));
    let mut client = Client::to(&broker);
    let answer = client.ask(&scan("find", "c1", &[3, 5], "2.0"));
    assert_eq!(answer.status, 200);
    let found = json!([{"bucket": 3, "item": "v-q1"}, {"bucket": 5, "item": "v-q1"}]);
    assert_eq!(answer.body, json!({"finished": true, "found": found}));
}

#[test]
fn a_part_is_framed_with_its_shard_the_wait_left_and_the_text_as_it_came() {
    let nodes = nodes(1);
    let (broker, _list) = Broker::before(&nodes);
    Client::to(&broker).ask(&scan("find", "c1", &[4], "1.5"));
    let calls = nodes[0].frames('A');
    let (line, text) = calls[0].split_once('\n').unwrap();
    let words: Vec<_> = line.split(' ').collect();
    assert_eq!((words[0], words[1], words[3], text), ("c1.4", "4", "2", "q1"));
    let wait: u64 = words[2].strip_prefix("d=").unwrap().parse().unwrap();
    assert!((1000..=1500).contains(&wait), "{wait}");
}

#[test]
fn a_request_may_come_in_any_pieces_and_the_next_one_close_behind() {
    let (broker, _list) = Broker::before(&nodes(1));
    let mut client = Client::to(&broker);
    let chunked = "POST /find HTTP/1.1\r\nX-Call-Id: c2\r\nX-Budget: 2\r\nTransfer-Encoding: chunked\r\n\r\n\
        1a\r\n{\"buckets\":[{\"bucket\":1,\"p\r\n12\r\nart\":1}],\"body\":\"q\r\n2\r\n\"}\r\n0\r\n\r\n";
    let both = scan("find", "c1", &[0], "2") + chunked;
    for byte in both.as_bytes() {
        client.stream.write_all(&[*byte]).unwrap();
    }
    for shard in [0, 1] {
        let answer = client.answer().unwrap();
        assert_eq!((answer.status, &answer.body["found"][0]["bucket"]), (200, &json!(shard)));
    }
}

#[rstest]
#[case::path(scan("lost", "c1", &[0], "2"), 404, "path")]
#[case::shard(scan("find", "c1", &[6], "2"), 400, "buckets.bucket")]
#[case::twice(scan("find", "c1", &[1, 1], "2"), 400, "named twice")]
#[case::no_parts(scan("find", "c1", &[], "2"), 400, "buckets")]
#[case::budget(scan("find", "c1", &[1], "soon"), 400, "X-Budget")]
#[case::spent(scan("find", "c1", &[1], "0"), 400, "X-Budget: spent")]
#[case::infinite(scan("find", "c1", &[1], "inf"), 400, "X-Budget")]
#[case::exponent(scan("find", "c1", &[1], "1e9"), 400, "X-Budget")]
#[case::too_much(scan("find", "c1", &[1], "2").replace("1.0}", "1.5}"), 400, "buckets.part: not a share")]
#[case::too_little(scan("find", "c1", &[1], "2").replace("1.0}", "0.7}"), 400, "add up to 1")]
#[case::too_many(scan("find", "c1", &[1, 2, 3], "2").replace("0.33", "0.43"), 400, "add up to 1")]
#[case::id(scan("find", "", &[1], "2"), 400, "X-Call-Id")]
#[case::class(scan("find", "c1", &[1], "2").replace("Class: find", "Class: fix"), 400, "X-Call-Class")]
#[case::weight(scan("find", "c1", &[1], "2").replace("1.0}", "[5]}"), 400, "buckets.part")]
#[case::not_json(scan("find", "c1", &[1], "2").replace("{\"b", "<\"b"), 400, "body")]
#[case::key_twice(scan("find", "c1", &[1], "2").replace("\"body\":\"q1\"", "\"body\":1,\"body\":2"), 400, "'body' is given twice")]
#[case::method("GET /find HTTP/1.1\r\n\r\n".to_string(), 405, "POST")]
#[case::no_http("lunch?\r\n\r\n".to_string(), 400, "head")]
#[case::too_long("POST /find HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_string(), 413, "64 KiB")]
#[case::smuggled("POST /find HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(), 400, "Content-Length")]
fn a_request_that_will_not_do_is_told_why_and_reaches_no_node(
    #[case] request: String,
    #[case] status: u16,
    #[case] named: &str,
) {
    let nodes = nodes(1);
    let (broker, _list) = Broker::before(&nodes);
    let answer = Client::to(&broker).ask(&request);
    assert_eq!(answer.status, status);
    assert!(answer.body["error"].as_str().unwrap().contains(named), "{answer:?}");
    assert_eq!(Client::to(&broker).ask(&scan("find", "c9", &[0], "2")).status, 200);
    assert_eq!(nodes[0].frames('A').len(), 1);
}

/// What breaks, garbles or refuses costs a replayable part another dispatch, and the scan nothing.
#[rstest]
#[case(Manner::DieMidFrame)]
#[case(Manner::Complain)]
#[case(Manner::Garble)]
#[case(Manner::Hang)]
#[case(Manner::Say("fault"))]
#[case(Manner::Say("overload"))]
#[case(Manner::Say("hm"))]
fn a_bad_node_costs_a_replayable_scan_nothing(#[case] manner: Manner) {
    let nodes = nodes(2);
    nodes[0].behave(manner);
    let (broker, _list) = Broker::before(&nodes);
    let mut client = Client::to(&broker);
    for i in 0..4 {
        let answer = client.ask(&scan("find", &format!("c{i}"), &[0, 1, 2], "2.5"));
        assert_eq!((answer.status, &answer.body["finished"]), (200, &json!(true)));
    }
    assert!(!nodes[0].frames('A').is_empty());
}

/// The node is well: whoever waited for that connection to speak would lose it for good.
#[test]
fn a_connection_that_fell_silent_is_replaced() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::HangFirst);
    let (broker, _list) = Broker::before(&nodes);
    let mut client = Client::to(&broker);
    let served = |i| {
        std::thread::sleep(Duration::from_millis(50));
        client.ask(&scan("find", &format!("c{i}"), &[2], "0.5")).status == 200
    };
    assert!((0..50).any(served));
}

/// The value is good, and what comes with it is no reason to lose it, or the next one.
#[rstest]
#[case::copy(Manner::ServeAnd(b"\0\0\0\x11Ec0.2 hit 7 -\nv-q1"))]
#[case::noise(Manner::ServeAnd(b"?!?!?!?!"))]
#[case::half_a_frame(Manner::ServeAnd(b"\0\0\0\x30E"))]
#[case::report(Manner::ServeLine("hit 7 {\"load\": zz, "))]
fn a_good_answer_with_more_than_belongs_to_it_is_used(#[case] manner: Manner) {
    let nodes = nodes(1);
    nodes[0].behave(manner);
    let (broker, _list) = Broker::before(&nodes);
    let mut client = Client::to(&broker);
    for i in 0..3 {
        let answer = client.ask(&scan("fix", &format!("c{i}"), &[2], "2.0"));
        assert_eq!((answer.status, &answer.body["found"][0]["item"]), (200, &json!("v-q1")));
    }
}

/// It may have run, and its connection will bring nothing more: there is nothing to wait for.
#[rstest]
#[case::another_id(Manner::Spoil(b"\0\0\0\x10Ec9.2 hit 7 -\nv-q"))]
#[case::the_rest_never_comes(Manner::Spoil(b"\0\0\0\x30Ec0.2 hit 7 -\nv-"))]
#[case::three_gigabytes(Manner::Spoil(b"\xb2\xd0\x5e\0Ec0.2 hit 7 -\nv-"))]
#[case::no_score(Manner::ServeLine("hit x -"))]
#[case::no_end(Manner::ServeLine("hitt 7 -"))]
fn a_spoilt_answer_fails_its_part_at_once_and_is_never_served(#[case] manner: Manner) {
    let nodes = nodes(1);
    nodes[0].behave(manner);
    let (broker, _list) = Broker::before(&nodes);
    let (mut client, start) = (Client::to(&broker), Instant::now());
    assert_eq!(client.ask(&scan("fix", "c0", &[2], "2.9")).status, 502);
    assert!(start.elapsed() < Duration::from_millis(1500));
    nodes[0].behave(Manner::Serve);
    assert_eq!(client.ask(&scan("fix", "c1", &[2], "2.0")).status, 200);
}

/// The last byte of its frame had been written: it may have run, and saying "try again" would be a lie.
#[rstest]
#[case(Manner::DieMidFrame, 502)]
#[case(Manner::Say("fault"), 502)]
#[case(Manner::Say("overload"), 429)]
fn a_non_replayable_scan_is_throttled_only_if_it_cannot_have_run(
    #[case] manner: Manner,
    #[case] status: u16,
) {
    let nodes = nodes(1);
    nodes[0].behave(manner);
    let (broker, _list) = Broker::before(&nodes);
    let answer = Client::to(&broker).ask(&scan("fix", "c1", &[2], "1.0"));
    assert_eq!(answer.status, status);
    assert_eq!(answer.head.contains("Retry-After: "), status == 429);
    assert_eq!(nodes[0].frames('A').len(), 1);
}

#[test]
fn a_refused_connection_is_known_not_to_have_run() {
    let nodes = nodes(1);
    let mut gone = nodes[0].line("ready");
    // Bound, so that nobody else gets it, and not listening.
    let closed = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    closed.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    gone["dial"] = json!(closed.local_addr().unwrap().as_socket().unwrap().to_string());
    let list = List::start(vec![gone.clone()]);
    let broker = Broker::start(&config(list.address, vec![gone]));
    assert_eq!(Client::to(&broker).ask(&scan("fix", "c1", &[2], "1.0")).status, 429);
}

#[test]
fn a_client_that_closes_takes_its_parts_back_and_their_end_disturbs_nobody() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::Hang);
    let (broker, _list) = Broker::before(&nodes);
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[2], "2.0"));
    nodes[0].wait_for('A', 1);
    drop(client);
    nodes[0].wait_for('B', 1);
    assert_eq!(nodes[0].frames('B'), ["c1.2"]);
    nodes[0].behave(Manner::ServeWithAnOldEnd);
    let answer = Client::to(&broker).ask(&scan("find", "c2", &[2], "2.0"));
    assert_eq!((answer.status, &answer.body["found"][0]["item"]), (200, &json!("v-q1")));
    assert_eq!(nodes[0].connections(), 1);
}

#[test]
fn the_cap_on_held_scans_and_parts_is_kept_before_the_module() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::Hang);
    let (broker, _list) = Broker::before_with(&nodes, "/settings/ceilings/mostHeld", json!(4));
    let mut first = Client::to(&broker);
    first.send(&scan("find", "c1", &[0, 1, 2], "2.0"));
    nodes[0].wait_for('A', 3);
    let away = Client::to(&broker).ask(&scan("find", "c2", &[0], "2.0"));
    assert!(away.status == 503 && away.head.contains("Retry-After: 2.000"), "{away:?}");
    drop(first);
    nodes[0].wait_for('B', 3);
    nodes[0].behave(Manner::Serve);
    assert_eq!(Client::to(&broker).ask(&scan("find", "c3", &[0], "2.0")).status, 200);
}

#[test]
fn each_scan_of_a_burst_gets_one_answer() {
    let (broker, _list) = Broker::before(&nodes(3));
    let mut clients: Vec<_> = (0..100).map(|_| Client::to(&broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&scan("find", &format!("c{i}"), &[i % 6, (i + 1) % 6], "2.0"));
    }
    for client in &mut clients {
        let status = client.answer().unwrap().status;
        assert!(matches!(status, 200 | 429 | 503), "{status}");
        assert_eq!(client.ask("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").status, 200);
        assert!(client.answer().is_none());
    }
}

#[test]
fn calls_beyond_a_connections_number_go_on_another() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::Hang);
    let (broker, _list) = Broker::before_with(&nodes, "/settings/ceilings/streamsPerConn", json!(2));
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[0, 1, 2, 3, 4], "2.0"));
    nodes[0].wait_for('A', 5);
    assert_eq!(nodes[0].connections(), 3);
}

#[test]
fn parts_of_one_call_share_a_frame() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::Hang);
    let (broker, _list) = Broker::before_with(&nodes, "/settings/familyInfo/partsACall", json!(2));
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[0, 1, 2], "2.0"));
    nodes[0].wait_for('A', 2);
    let parts: Vec<_> = nodes[0].frames('A').iter().map(|f| f.matches(" d=").count()).collect();
    assert_eq!(parts, [2, 1]);
}

#[test]
fn an_idle_connection_is_closed_before_its_node_does() {
    let nodes = nodes(1);
    let (broker, _list) = Broker::before_with(&nodes, "/settings/ceilings/idleCloseMs", json!(100.0));
    let mut client = Client::to(&broker);
    for count in 1..3 {
        assert_eq!(client.ask(&scan("find", &format!("c{count}"), &[0], "2.0")).status, 200);
        nodes[0].wait_closed(count);
    }
}

/// All day, each under a name of its own: kept for good they would grow without end.
#[test]
fn nodes_under_new_names_take_the_places_of_those_that_went() {
    let nodes = nodes(9);
    let (broker, list) = Broker::before(&nodes[..2]);
    let mut client = Client::to(&broker);
    for i in 0..8 {
        list.tell(vec![nodes[i].line("ready"), nodes[i + 1].line("ready")]);
        list.wait_read();
        for j in 0..4 {
            let answer = client.ask(&scan("find", &format!("c{i}-{j}"), &[0, 1], "2.0"));
            assert_eq!((answer.status, &answer.body["finished"]), (200, &json!(true)));
        }
    }
    let said = broker.said();
    assert!(said.contains("node 2 is ") && !said.contains("node 3 is "));
    // Each has the connections that were opened to it and no other; on a slow machine a late part can cost one more.
    let opened = |node: &Node| said.matches(&format!("node {}: opening", node.name)).count();
    assert!(nodes.iter().all(|n| n.connections() <= opened(n)));
    (0..7).for_each(|i| nodes[i].wait_closed(nodes[i].connections()));
}

#[test]
fn a_silent_list_leaves_the_last_one_in_force_until_it_speaks_again() {
    let nodes = nodes(2);
    let list = List::start(vec![]);
    list.fall_silent();
    let broker = Broker::start(&config(list.address, vec![nodes[0].line("ready")]));
    let mut client = Client::to(&broker);
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    assert_eq!(client.ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    list.tell(vec![nodes[1].line("ready")]);
    list.wait_read();
    assert_eq!(client.ask(&scan("find", "c2", &[0], "2.0")).status, 200);
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (1, 1));
}

#[test]
fn nothing_new_goes_to_a_node_that_drains_and_a_bad_line_hides_no_good_one() {
    let nodes = nodes(2);
    let (broker, list) = Broker::before(&nodes);
    list.wait_read();
    let nonsense = json!({"host": "s-9", "dial": "nowhere", "block": 0, "health": "ready"});
    list.tell(vec![nonsense, nodes[0].line("draining"), nodes[1].line("ready")]);
    list.wait_read();
    let mut client = Client::to(&broker);
    for i in 0..5 {
        assert_eq!(client.ask(&scan("find", &format!("c{i}"), &[0, 1], "2.0")).status, 200);
    }
    assert_eq!(nodes[0].frames('A').len(), 0);
}

/// The machine vanished and came back: its old connections would stay open and silent for ever.
#[test]
fn connections_to_a_process_that_was_replaced_are_not_used_again() {
    let nodes = nodes(1);
    let (broker, list) = Broker::before(&nodes);
    let mut client = Client::to(&broker);
    assert_eq!(client.ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    let mut line = nodes[0].line("ready");
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    line["born_ms"] = json!(now.as_millis() as u64 + 1);
    list.tell(vec![line]);
    nodes[0].wait_closed(1);
    assert_eq!(client.ask(&scan("find", "c2", &[0], "2.0")).status, 200);
    assert_eq!(nodes[0].connections(), 2);
}

#[test]
fn a_broker_without_a_list_is_not_ready_and_turns_scans_away() {
    let list = List::start(vec![]);
    let broker = Broker::start(&config(list.address, vec![]));
    let mut client = Client::to(&broker);
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\n\r\n").status, 503);
    assert_eq!(client.ask(&scan("find", "c1", &[0], "2.0")).status, 429);
}

#[test]
fn told_to_end_it_serves_on_answers_what_it_took_and_ends_with_0() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::Hang);
    let (mut broker, _list) = Broker::before(&nodes);
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[2], "1.6"));
    nodes[0].wait_for('A', 1);
    broker.signal("TERM");
    let mut other = Client::to(&broker);
    let until = Instant::now() + Duration::from_secs(5);
    while other.ask("GET /ready HTTP/1.1\r\n\r\n").status != 503 {
        assert!(Instant::now() < until, "still ready");
    }
    nodes[0].behave(Manner::Serve);
    assert_eq!(other.ask(&scan("find", "c2", &[1], "2.0")).status, 200);
    // An idle connection is closed in order, and so the listener; what is held still gets its answer.
    assert!(other.answer().is_none());
    assert_eq!(client.answer().unwrap().status, 502);
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// The environment names the old address to the end, and a file that will not do must change nothing.
#[test]
fn told_to_read_its_configuration_again_it_goes_on_and_hears_the_new_agent() {
    let nodes = nodes(2);
    nodes[0].behave(Manner::Hang);
    let (mut broker, old) = Broker::before(&nodes[..1]);
    old.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[2], "2.5"));
    nodes[0].wait_for('A', 1);
    let mut bad = config(old.address, vec![]);
    bad["settings"]["services"][0]["semantics"] = json!("maybe");
    broker.reread(&bad);
    std::fs::write(&broker.file, "{").unwrap();
    broker.signal("HUP");
    let new = List::start(vec![nodes[0].line("draining"), nodes[1].line("ready")]);
    broker.reread(&config(new.address, vec![]));
    new.wait_read();
    let mut other = Client::to(&broker);
    assert_eq!(other.ask(&scan("fix", "c2", &[2], "2.0")).status, 200);
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (1, 1));
    // What was in hand is still answered, and SIGTERM soon after ends it as ever.
    assert_eq!(client.answer().unwrap().status, 502);
    broker.reread(&config(old.address, vec![]));
    broker.signal("TERM");
    assert_eq!(broker.exit_code(), Some(0));
}

#[test]
fn killed_outright_it_starts_again_under_its_name_and_address() {
    let nodes = nodes(1);
    let list = List::start(vec![nodes[0].line("ready")]);
    let mut config = config(list.address, vec![nodes[0].line("ready")]);
    let first = Broker::start(&config);
    config["listen"] = json!(first.address.to_string());
    let mut client = Client::to(&first);
    assert_eq!(client.ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    drop(first);
    assert!(client.answer().is_none());
    let again = Broker::start(&config);
    assert_eq!(Client::to(&again).ask(&scan("find", "c2", &[0], "2.0")).status, 200);
}

#[test]
fn more_clients_than_it_may_hold_are_served_one_after_the_other() {
    let nodes = nodes(1);
    let (broker, _list) = Broker::before_with(&nodes, "/limits/sockets", json!(56));
    let mut clients = Vec::new();
    for i in 0..40 {
        let mut client = Client::to(&broker);
        assert_eq!(client.ask(&scan("find", &format!("c{i}"), &[0], "5.0")).status, 200);
        clients.push(client);
    }
}

/// All that it may hold have just connected, and nobody else waits for room.
#[test]
fn nobody_is_let_go_for_nobody() {
    let nodes = nodes(1);
    let (broker, _list) = Broker::before_with(&nodes, "/limits/sockets", json!(48));
    let mut clients: Vec<_> = (0..18).map(|_| Client::to(&broker)).collect();
    std::thread::sleep(Duration::from_millis(50));
    for (i, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.ask(&scan("find", &format!("c{i}"), &[0], "2.0")).status, 200);
    }
}

/// Its next request had come with the one before, so it was taken for idle while its scan was held.
#[test]
fn who_waits_for_an_answer_makes_no_room_for_others() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::SlowFor(1));
    let (broker, _list) = Broker::before_with(&nodes, "/limits/sockets", json!(48));
    let mut first = Client::to(&broker);
    first.send(&(scan("find", "c1", &[0], "2.0") + &scan("find", "c2", &[1], "2.0")));
    assert_eq!(first.answer().unwrap().status, 200);
    let ready = |_| {
        let mut other = Client::to(&broker);
        assert_eq!(other.ask("GET /ready HTTP/1.1\r\n\r\n").status, 200);
        other
    };
    let _others: Vec<_> = (0..20).map(ready).collect();
    assert_eq!(first.answer().unwrap().status, 200);
}

/// They come by hundreds, and would hold all that clients may have for as long as they like.
#[rstest]
#[case::silent("", "", 64)]
#[case::half("POST /find HTTP/1.1\r\nX-Call-Id: c0\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 408 ", 1024)]
fn who_says_nothing_or_half_of_it_is_let_go_and_keeps_nobody_out(
    #[case] said: &str,
    #[case] told: &str,
    #[case] sockets: usize,
) {
    let nodes = nodes(1);
    let list = List::start(vec![nodes[0].line("ready")]);
    let mut config = config(list.address, vec![nodes[0].line("ready")]);
    config["limits"] = json!({"memory_mb": 4, "sockets": sockets});
    let broker = Broker::start(&config);
    let start = Instant::now();
    let mut idlers: Vec<_> = (0..100).map(|_| Client::to(&broker)).collect();
    // Some are let go at once, to make room.
    idlers.iter_mut().for_each(|idler| drop(idler.stream.write_all(said.as_bytes())));
    let mut client = Client::to(&broker);
    assert_eq!(client.ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    let mut last = String::new();
    let _ = idlers.pop().unwrap().stream.read_to_string(&mut last);
    assert!(last.starts_with(told), "{last}");
    idlers.iter_mut().for_each(|idler| drop(idler.stream.read_to_end(&mut Vec::new())));
    assert!(start.elapsed() < Duration::from_secs(8));
}

/// Some ask once and keep their connection for good.
#[test]
fn who_asks_nothing_more_is_let_go_in_time() {
    let (broker, _list) = Broker::before(&nodes(1));
    let mut client = Client::to(&broker);
    assert_eq!(client.ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}

/// Clients may hold only so many: those that none is asked on must not use them up.
#[test]
fn who_asks_once_and_stays_is_let_go_for_those_that_ask() {
    let (broker, _list) = Broker::before_with(&nodes(1), "/limits/sockets", json!(88));
    let start = Instant::now();
    let ask = |i| {
        let mut client = Client::to(&broker);
        assert_eq!(client.ask(&scan("find", &format!("c{i}"), &[0], "2.0")).status, 200);
        client
    };
    let mut clients: Vec<_> = (0..40).map(ask).collect();
    assert_eq!(clients[39].ask(&scan("find", "last", &[0], "2.0")).status, 200);
    assert!(clients[..28].iter_mut().all(|client| client.stream.read(&mut [0]).unwrap() == 0));
    assert!(start.elapsed() < Duration::from_secs(3));
}

#[test]
fn more_nodes_than_it_may_have_connections_to_are_met_in_turn() {
    let nodes = nodes(20);
    let (broker, _list) = Broker::before_with(&nodes, "/limits/sockets", json!(48));
    let mut client = Client::to(&broker);
    for i in 0..40 {
        let answer = client.ask(&scan("find", &format!("c{i}"), &[0, 1, 2, 3], "2.0"));
        assert_eq!((answer.status, &answer.body["finished"]), (200, &json!(true)));
    }
    assert!(nodes.iter().filter(|n| n.connections() > 0).count() > 12);
}

/// Accepting fails then: it must pause, neither crash nor spin, and go on once descriptors are free.
#[test]
fn without_descriptors_it_goes_on_with_what_it_has() {
    let nodes = nodes(1);
    let list = List::start(vec![nodes[0].line("ready")]);
    let broker = Broker::start_with_descriptors(16, &config(list.address, vec![nodes[0].line("ready")]));
    let mut first = Client::to(&broker);
    assert_eq!(first.ask(&scan("find", "c1", &[0], "5.0")).status, 200);
    let mut many: Vec<_> = (0..30).map(|_| Client::to(&broker)).collect();
    assert_eq!(first.ask(&scan("find", "c2", &[0], "5.0")).status, 200);
    let mut last = many.pop().unwrap();
    drop(many);
    assert_eq!(last.ask(&scan("find", "c3", &[0], "5.0")).status, 200);
}

/// Nothing answers the attempt to connect, as when a machine has vanished: its queue is full.
fn vanished() -> (TcpListener, SocketAddr) {
    let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    full.listen(0).unwrap();
    let address = full.local_addr().unwrap().as_socket().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(50));
    // Those that came up lie in the queue after their end, too.
    (0..3).for_each(|i| drop(connect(i)));
    (full.into(), address)
}

#[test]
fn a_connection_that_never_comes_up_is_given_up_in_time_and_never_ran() {
    let (_full, address) = vanished();
    let nodes = nodes(2);
    let mut vanished = nodes[0].line("ready");
    vanished["dial"] = json!(address.to_string());
    let lines = vec![vanished, nodes[1].line("ready")];
    let list = List::start(lines.clone());
    let broker = Broker::start(&config(list.address, lines));
    let mut client = Client::to(&broker);
    for i in 0..4 {
        assert_eq!(client.ask(&scan("fix", &format!("c{i}"), &[2], "2.5")).status, 200);
    }
}

/// Written later they would be something new to it; and what never went out may go elsewhere.
#[test]
fn parts_that_wait_for_a_connection_leave_a_node_that_drains() {
    let (_full, address) = vanished();
    let nodes = nodes(2);
    let mut late = nodes[0].line("ready");
    late["dial"] = json!(address.to_string());
    let list = List::start(vec![late.clone(), nodes[1].line("ready")]);
    let mut config = config(list.address, vec![late.clone(), nodes[1].line("ready")]);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    let broker = Broker::start(&config);
    let mut clients: Vec<_> = (0..6).map(|_| Client::to(&broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&scan("fix", &format!("c{i}"), &[i], "2.5"));
    }
    nodes[1].wait_for('A', 1);
    late["health"] = json!("draining");
    list.tell(vec![late, nodes[1].line("ready")]);
    assert!(clients.iter_mut().all(|client| client.answer().unwrap().status == 200));
}

/// Without leave to cancel nothing else would keep them from going out after their scan's answer.
#[test]
fn parts_that_wait_for_a_connection_do_not_go_out_once_their_scan_is_answered() {
    let (full, address) = vanished();
    let nodes = nodes(2);
    let mut late = nodes[0].line("ready");
    late["dial"] = json!(address.to_string());
    let lines = vec![late, nodes[1].line("ready")];
    let list = List::start(lines.clone());
    let mut config = config(list.address, lines);
    config["settings"]["ceilings"]["cancel"] = json!(false);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    config["settings"]["familyInfo"]["wholeAt"] = json!([0.2, 1.0]);
    config["settings"]["familyInfo"]["leastShare"] = json!([0.2, 1.0]);
    let broker = Broker::start(&config);
    assert_eq!(Client::to(&broker).ask(&scan("find", "c1", &[0, 1, 2, 3], "2.5")).status, 200);
    // Room in the queue: the connection comes up with the system's next try, after a second.
    let mut last = (0..9).map_while(|_| full.accept().ok()).find(|(stream, _)| {
        stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        // Those that filled the queue are at their end.
        !matches!(stream.peek(&mut [0]), Ok(0))
    });
    let came = last.as_mut().map(|(stream, _)| stream.read(&mut [0; 100]).unwrap_or(0));
    assert_eq!(came, Some(0));
}

#[test]
fn without_leave_to_cancel_nothing_is_taken_back_at_a_node() {
    let nodes = nodes(2);
    nodes.iter().for_each(|n| n.behave(Manner::Hang));
    let (broker, _list) = Broker::before_with(&nodes, "/settings/ceilings/cancel", json!(false));
    let mut client = Client::to(&broker);
    assert_eq!(client.ask(&scan("fix", "c1", &[0], "0.3")).status, 502);
    nodes.iter().for_each(|n| n.behave(Manner::Serve));
    // Its client's time ends a little after its answer.
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(client.ask(&scan("find", "c2", &[1, 2], "2.0")).status, 200);
    assert!(nodes.iter().all(|n| n.frames('B').is_empty()));
}

#[test]
fn no_scan_is_held_beyond_its_query_timeout_whatever_its_client_says() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::Hang);
    let (broker, _list) = Broker::before_with(&nodes, "/settings/services/1/deadlineMs", json!(500.0));
    let start = Instant::now();
    assert_eq!(Client::to(&broker).ask(&scan("fix", "c1", &[0], "9.0")).status, 502);
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn an_answer_that_is_not_whole_says_so() {
    let nodes = nodes(1);
    nodes[0].behave(Manner::HangFor(1));
    let (broker, _list) = Broker::before(&nodes);
    let answer = Client::to(&broker).ask(&scan("find", "c1", &[0, 1], "0.8"));
    let found = json!([{"bucket": 0, "item": "v-q1"}]);
    assert_eq!((answer.status, answer.body), (200, json!({"finished": false, "found": found})));
}

/// By the protocol page a budget is "counted from when the client sent the request". It was sent with the one before it, which
/// took 0.25 s.
#[rstest]
#[case::that_is_over_by_then(0.24, 429, 0)]
#[case::that_lasts(0.9, 200, 1)]
fn the_time_left_of_a_request_close_behind_another_counts_from_when_both_came(
    #[case] budget: f64,
    #[case] status: u16,
    #[case] attempts: usize,
) {
    let nodes = nodes(1);
    nodes[0].behave(Manner::SlowFor(1));
    let (broker, _list) = Broker::before(&nodes);
    let mut client = Client::to(&broker);
    client.send(&(scan("find", "c1", &[1], "2.0") + &scan("find", "c2", &[0], &budget.to_string())));
    assert_eq!((client.answer().unwrap().status, client.answer().unwrap().status), (200, status));
    let of_the_second = nodes[0].frames('A').iter().filter(|frame| frame.starts_with("c2.")).count();
    assert_eq!(of_the_second, attempts);
}

#[test]
fn an_agent_that_counts_from_1_again_is_heard() {
    let nodes = nodes(2);
    let (broker, list) = Broker::before(&nodes[..1]);
    for _ in 0..3 {
        list.tell(vec![nodes[0].line("ready")]);
        list.wait_read();
    }
    list.restart(vec![nodes[1].line("ready")]);
    list.wait_read();
    assert_eq!(Client::to(&broker).ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (0, 1));
}

/// Asked on at once it would keep both sides busy with nothing.
#[rstest]
fn an_agent_that_answers_a_watch_at_once_is_not_asked_in_circles_and_is_heard(
    #[values(false, true)] closes: bool,
) {
    let nodes = nodes(2);
    let (broker, list) = Broker::before(&nodes[..1]);
    let asked = list.be_hasty(closes);
    assert!((1.0..30.0).contains(&asked), "{asked}");
    list.tell(vec![nodes[1].line("ready")]);
    list.wait_read();
    assert_eq!(Client::to(&broker).ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (0, 1));
}

#[test]
fn a_node_that_moves_is_met_at_its_new_address() {
    let nodes = nodes(2);
    let (broker, list) = Broker::before(&nodes[..1]);
    let mut client = Client::to(&broker);
    assert_eq!(client.ask(&scan("find", "c1", &[0], "2.0")).status, 200);
    let mut line = nodes[0].line("ready");
    line["dial"] = json!(nodes[1].address.to_string());
    list.tell(vec![line]);
    list.wait_read();
    assert_eq!(client.ask(&scan("find", "c2", &[0], "2.0")).status, 200);
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (1, 1));
    nodes[0].wait_closed(1);
}

/// It would otherwise be answered into memory for as long as it likes to ask.
#[test]
fn a_client_that_takes_no_answers_is_read_no_further_and_others_are_served() {
    let (broker, _list) = Broker::before(&nodes(1));
    let mut greedy = Client::to(&broker);
    greedy.stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let ready = "GET /ready HTTP/1.1\r\n\r\n".repeat(1000);
    // The system's own buffers take some MiB; far beyond that the broker must have stopped to read.
    let sent = (0..5000).take_while(|_| greedy.stream.write_all(ready.as_bytes()).is_ok()).count();
    assert!(sent < 5000, "all of it was read");
    assert_eq!(Client::to(&broker).ask(&scan("find", "c1", &[0], "2.0")).status, 200);
}

#[rstest]
#[case::no_seed("/seed", json!(null), "seed: missing")]
#[case::bad_seed("/seed", json!("xyz"), "seed")]
#[case::listen("/listen", json!("here"), "listen")]
#[case::services("/settings/services/0/semantics", json!("maybe"), "settings.services: semantics")]
#[case::cells("/settings/familyInfo/cells", json!(0), "familyInfo.cells: must be above 0")]
#[case::streams("/settings/ceilings/streamsPerConn", json!("many"), "streamsPerConn: not a whole number")]
#[case::memory("/limits/memory_mb", json!(1), "limits")]
#[case::second("/settings/familyInfo/secondStep", json!([0, 5]), "secondStep")]
#[case::level("/log", json!("loud"), "log: not a level")]
fn a_faulty_key_is_named_and_ends_the_start(#[case] key: &str, #[case] value: Value, #[case] named: &str) {
    let mut config = config("127.0.0.1:1".parse().unwrap(), vec![]);
    *config.pointer_mut(key).unwrap() = value;
    let (mut child, file) = launch(&config);
    let mut said = String::new();
    child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    let status = child.wait().unwrap();
    std::fs::remove_file(file).unwrap();
    assert!(!status.success());
    assert!(said.contains(named), "{said}");
}

/// A newcomer's first look at the program, and an operator's at a file.
#[rstest]
#[case::help(&["--help"], 0, "dunepond-broker [COMMAND]", "GW_CONFIG")]
#[case::unknown(&["fly"], 2, "", "unrecognized subcommand 'fly'")]
#[case::no_configuration(&[], 1, "", "GW_CONFIG: not set")]
#[case::no_file(&["check", "/nowhere/at/all.kdl"], 1, "", "/nowhere/at/all.kdl")]
#[case::no_file_to_run(&["run", "--operator", "/nowhere/at/all.kdl"], 1, "", "/nowhere/at/all.kdl")]
#[case::completions(&["completions", "bash"], 0, "_dunepond", "")]
fn the_command_line_says_what_it_does_and_what_is_wrong(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] out: &str,
    #[case] either: &str,
) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dunepond-broker"))
        .args(arguments)
        .env_clear()
        .output()
        .unwrap();
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    let all = said.clone() + &String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{all}");
    assert!(said.contains(out) && all.contains(either), "{all}");
}

#[rstest]
#[case("bodies {\n  longst \"1MiB\"\n}\nlog form=\"xml\"\n", 1, &[":2:3: ", "'longst'", ":4:5: ", "\"text\", \"json\""])]
#[case("log form=\"json\"\n", 0, &["nothing is wrong"])]
fn an_operators_file_is_checked_and_every_fault_told(
    #[case] text: &str,
    #[case] code: i32,
    #[case] told: &[&str],
) {
    let file = std::env::temp_dir().join(format!("dunepond-check-{}-{code}.kdl", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_dunepond-broker"))
        .arg("check")
        .arg(&file)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&file);
    let all = [output.stdout, output.stderr].concat();
    let all = String::from_utf8_lossy(&all);
    assert_eq!(output.status.code(), Some(code), "{all}");
    assert!(told.iter().all(|words| all.contains(words)), "{all}");
}
