//! Graceful shutdown, and signals that arrive during startup, exec, a reload or a stall.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{
    Broker, Client, DiscoveryServer, Node, NodeBehavior, broker_program, config, launch_command,
    query_request, scratch_path, set_timeouts,
};
use rstest::rstest;
use serde_json::{Value, json};

/// A readiness request.
const READY: &str = "GET /ready HTTP/1.1\r\n\r\n";

/// Sends readiness requests on new connections until a response shows that a stage of the shutdown has been reached;
/// `stage` names the stage in the failure message.
fn wait_for_answer(
    broker: &Broker,
    stage: &str,
    wanted: impl Fn(&dunepond_testkit::stand_ins::Response) -> bool,
) {
    let start = Instant::now();
    while !wanted(&Client::connect(broker).request(READY)) {
        assert!(start.elapsed() < Duration::from_secs(5), "the broker did not reach this stage: {stage}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends SIGTERM and waits until the broker reports that it is not ready.
fn signal_shutdown(broker: &Broker) {
    broker.signal("TERM");
    wait_for_answer(broker, "not ready after SIGTERM", |answer| answer.status == 503);
}

/// Waits until the broker closes connections with their responses.
fn wait_until_closing(broker: &Broker) {
    wait_for_answer(broker, "closing connections with responses", |answer| {
        answer.header.contains("Connection: close")
    });
}

/// Reads until the broker closes the connection; returns the number of bytes.
fn read_to_end(client: &mut Client) -> std::io::Result<usize> {
    client.stream.read_to_end(&mut Vec::new())
}

/// Replaces a file by a named pipe: opening it blocks until the other side opens it, too.
fn make_fifo(path: &Path) {
    let _ = std::fs::remove_file(path);
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

fn open_for_writing(path: &Path) -> File {
    OpenOptions::new().write(true).open(path).unwrap()
}

/// Starts the program and signals it while it waits for its configuration, which it reads before anything else.
fn start_signalled(config: &Value, signal: &str) -> Broker {
    let path = scratch_path("json");
    make_fifo(&path);
    let mut command = Command::new(broker_program());
    command.env_clear().env("GW_CONFIG", &path).stdin(Stdio::null()).stderr(Stdio::piped());
    let child = command.spawn().unwrap();
    let mut held = open_for_writing(&path);
    let kill = format!("kill -{signal} {}", child.id());
    assert!(Command::new("/bin/sh").args(["-c", &kill]).status().unwrap().success());
    // Replaces the pipe by a regular file, which a reload can read without blocking.
    let file = scratch_path("json");
    std::fs::write(&file, config.to_string()).unwrap();
    std::fs::rename(&file, &path).unwrap();
    held.write_all(config.to_string().as_bytes()).unwrap();
    drop(held);
    Broker::wait_until_listening((child, path))
}

/// Guards against the default handling of SIGHUP, which kills a process that is still starting.
#[test]
fn sighup_at_startup_is_handled() {
    let nodes = [Node::start("s-0")];
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let broker = start_signalled(&config(list.address, vec![]), "HUP");
    list.wait_until_newest_version_polled();
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c1", &[1], "2.0")).status, 200);
}

#[rstest]
fn sigterm_at_startup_shuts_down_gracefully(#[values("TERM", "INT")] signal: &str) {
    let nodes = [Node::start("s-0")];
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let mut broker = start_signalled(&config(list.address, vec![]), signal);
    assert_eq!(broker.exit_code(), Some(0));
}

/// A signal that arrives during exec: the supervisor blocks it, and the signal mask and pending signals are inherited.
#[rstest]
#[case::hup(libc::SIGHUP, None)]
#[case::term(libc::SIGTERM, Some(0))]
fn pending_signal_is_handled_after_exec(#[case] signal: i32, #[case] code: Option<i32>) {
    let nodes = [Node::start("s-0")];
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let mut command = Command::new(broker_program());
    let pend = move || {
        // SAFETY: all three calls may be made between fork and exec, and the set is written before it is read.
        unsafe {
            let mut set = std::mem::zeroed();
            libc::sigaddset(&mut set, signal);
            libc::sigprocmask(libc::SIG_BLOCK, &set, std::ptr::null_mut());
            libc::raise(signal);
        }
        Ok(())
    };
    // SAFETY: `pend` makes only calls that are allowed between fork and exec.
    unsafe { command.pre_exec(pend) };
    let mut broker = Broker::wait_until_listening(launch_command(command, &config(list.address, vec![])));
    if code.is_some() {
        return assert_eq!(broker.exit_code(), code);
    }
    list.wait_until_newest_version_polled();
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c1", &[1], "2.0")).status, 200);
    assert!(broker.log_text().contains("configuration reloaded"));
}

/// Requests that were completely received before the close are accepted.
#[test]
fn pipelined_requests_answered_during_shutdown() {
    let nodes = [Node::start("s-0")];
    nodes[0].set_behavior(NodeBehavior::DelayMillis(1500));
    // The timeout is long enough to serve the queued requests, too.
    let (mut broker, _list) = Broker::start_with_config(&nodes, |config| set_timeouts(config, 3000.0));
    let mut client = Client::connect(&broker);
    client.send(&["c1", "c2", "c3"].map(|id| query_request("find", id, &[1], "3.0")).concat());
    nodes[0].wait_for_frames('A', 1);
    signal_shutdown(&broker);
    wait_until_closing(&broker);
    nodes[0].set_behavior(NodeBehavior::Serve);
    let answers: Vec<_> = (0..3).map_while(|_| client.read_response()).collect();
    let closes: Vec<_> = answers.iter().map(|answer| answer.header.contains("Connection: close")).collect();
    assert_eq!(closes, [false, false, true]);
    // A request with little time left may be rejected.
    assert!(answers.iter().all(|answer| matches!(answer.status, 200 | 429)), "{answers:?}");
    assert_eq!(read_to_end(&mut client).unwrap(), 0);
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// When SIGTERM arrives, the requests and responses exceed the connection's buffers.
#[test]
fn slow_reader_gets_all_answers_after_shutdown() {
    let nodes = [Node::start("s-0")];
    let (mut broker, _list) = Broker::start_with_config(&nodes, |_| {});
    let mut client = Client::connect(&broker);
    let text = "x".repeat(8_000);
    let requests: Vec<_> = (0..120)
        .map(|i| {
            let body = json!({"buckets": [{"bucket": 1, "part": 1.0}], "body": text}).to_string();
            let head = format!("POST /find HTTP/1.1\r\nX-Call-Id: c{i}\r\nX-Budget: 3.0\r\n");
            format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
        })
        .collect();
    let mut sender = client.stream.try_clone().unwrap();
    let sending = thread::spawn(move || sender.write_all(requests.concat().as_bytes()).is_ok());
    nodes[0].wait_for_frames('A', 20);
    signal_shutdown(&broker);
    wait_until_closing(&broker);
    let mut received = 0;
    while let Some(answer) = client.read_response() {
        assert_eq!((answer.status, answer.body["finished"].clone()), (200, json!(true)));
        received += 1;
        if answer.header.contains("Connection: close") {
            break;
        }
    }
    assert_eq!((sending.join().unwrap(), received), (true, 120));
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// The process stalls from shortly after the signal until after the first stage of the shutdown.
#[test]
fn stall_past_first_stage_still_closes_with_answers() {
    let nodes = [Node::start("s-0")];
    let (mut broker, _list) = Broker::start_with_config(&nodes, |_| {});
    let mut client = Client::connect(&broker);
    assert_eq!(client.request(&query_request("find", "c1", &[1], "2.0")).status, 200);
    let start = Instant::now();
    signal_shutdown(&broker);
    broker.signal("STOP");
    client.send(&query_request("find", "c2", &[1], "2.0"));
    thread::sleep(Duration::from_millis(800).saturating_sub(start.elapsed()));
    broker.signal("CONT");
    let answer = client.read_response().unwrap();
    assert_eq!((answer.status, answer.header.contains("Connection: close")), (200, true));
    assert!(client.read_response().is_none());
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// The time of the supervisor's kill depends on the longest query timeout. With short timeouts the broker must exit
/// earlier.
#[rstest]
#[case::connected("", 0.1, 0.85)]
#[case::idle(READY, 0.1, 0.85)]
#[case::partial_request("POST /find HTTP/1.1\r\nX-Call-Id: c0\r\nContent-Length: 9\r\n\r\nhalf", 0.5, 1.8)]
fn exits_before_kill_with_short_timeouts(#[case] sent: &str, #[case] timeout: f64, #[case] max_seconds: f64) {
    let nodes = [Node::start("s-0")];
    let (mut broker, _list) =
        Broker::start_with_config(&nodes, |config| set_timeouts(config, 1000.0 * timeout));
    let mut client = Client::connect(&broker);
    client.send(sent);
    signal_shutdown(&broker);
    let start = Instant::now();
    assert!(read_to_end(&mut client).is_ok());
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs_f64(max_seconds), "{:?}", start.elapsed());
}

/// Of a long query timeout, at most three seconds count towards the time of the supervisor's kill.
#[test]
fn in_flight_answered_before_kill_with_long_timeouts() {
    let nodes = [Node::start("s-0")];
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (mut broker, _list) = Broker::start_with_config(&nodes, |config| set_timeouts(config, 60_000.0));
    let mut clients: Vec<_> = (0..2).map(|_| Client::connect(&broker)).collect();
    let send_query = |client: &mut Client, id| client.send(&query_request("fix", id, &[1], "59.0"));
    send_query(&mut clients[0], "c1");
    nodes[0].wait_for_frames('A', 1);
    signal_shutdown(&broker);
    let start = Instant::now();
    send_query(&mut clients[1], "c2");
    let answers: Vec<_> =
        clients.iter_mut().map(|client| client.read_response().expect("an answer").status).collect();
    assert!(answers.iter().all(|status| *status >= 429), "{answers:?}");
    drop(clients);
    assert_eq!(broker.exit_code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs_f64(3.7), "{:?}", start.elapsed());
}

/// Three brokers shut down at once, with attempts at serving and at hung nodes, and with requests that arrive
/// together with the signal.
#[test]
fn simultaneous_shutdown_with_hung_nodes_answers_all() {
    let nodes: Vec<_> = (0..4).map(|i| Node::start(&format!("s-{i}"))).collect();
    nodes.iter().take(2).for_each(|node| node.set_behavior(NodeBehavior::Hang));
    let lines: Vec<_> = nodes.iter().map(|n| n.endpoint("ready")).collect();
    let list = DiscoveryServer::start(lines.clone());
    let mut config = config(list.address, lines);
    set_timeouts(&mut config, 800.0);
    let mut brokers: Vec<_> = (0..3).map(|_| Broker::start(&config)).collect();
    let send_query = |broker: &Broker, i: usize, when: &str| {
        let mut client = Client::connect(broker);
        client.send(&query_request(["find", "fix"][i % 2], &format!("{when}{i}"), &[i % 6], "0.8"));
        client
    };
    let send_12 =
        |when: &str, broker: &Broker| (0..12).map(|i| send_query(broker, i, when)).collect::<Vec<_>>();
    let mut clients: Vec<_> = brokers.iter().flat_map(|broker| send_12("a", broker)).collect();
    nodes[0].wait_for_frames('A', 1);
    nodes[1].wait_for_frames('A', 1);
    for broker in &brokers {
        broker.signal("STOP");
        broker.signal("TERM");
        clients.extend(send_12("b", broker));
    }
    brokers.iter().for_each(|broker| broker.signal("CONT"));
    let answers: Vec<_> =
        clients.iter_mut().map(|client| client.read_response().map(|answer| answer.status)).collect();
    assert!(answers.iter().all(|status| matches!(status, Some(200 | 429 | 502))), "{answers:?}");
    drop(clients);
    assert_eq!(brokers.iter_mut().map(Broker::exit_code).collect::<Vec<_>>(), [Some(0); 3]);
}

/// A client keeps its connection open after its response: with all requests answered the broker must not wait for it.
#[test]
fn lingering_client_does_not_delay_exit() {
    let nodes = [Node::start("s-0")];
    nodes[0].set_behavior(NodeBehavior::Hang);
    let (mut broker, _list) = Broker::start_with_config(&nodes, |config| set_timeouts(config, 500.0));
    let mut client = Client::connect(&broker);
    signal_shutdown(&broker);
    let start = Instant::now();
    wait_until_closing(&broker);
    assert!(client.request(&query_request("fix", "c1", &[1], "3.0")).status >= 429);
    assert_eq!(broker.exit_code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs_f64(1.7), "{:?}", start.elapsed());
}

#[test]
fn second_sigterm_is_ignored() {
    let nodes = [Node::start("s-0")];
    nodes[0].set_behavior(NodeBehavior::DelayMillis(700));
    let (mut broker, _list) = Broker::start_with_config(&nodes, |_| {});
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[1], "3.0"));
    nodes[0].wait_for_frames('A', 1);
    signal_shutdown(&broker);
    wait_until_closing(&broker);
    broker.signal("TERM");
    broker.signal("INT");
    assert_eq!(client.read_response().unwrap().status, 200);
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// When SIGTERM arrives, the broker accepts no connections yet because it waits for its first endpoint list.
#[test]
fn request_awaiting_first_list_answered_after_sigterm() {
    let nodes = [Node::start("s-0")];
    let lines = vec![nodes[0].endpoint("ready")];
    let list = DiscoveryServer::start(lines.clone());
    list.stop_replying();
    let mut broker = Broker::start(&config(list.address, lines));
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[1], "3.0"));
    broker.signal("TERM");
    // No endpoint list is in use yet, so that the query may be rejected.
    let answer = client.read_response().expect("an answer");
    assert!(matches!(answer.status, 200 | 429) && answer.header.contains("Connection: close"), "{answer:?}");
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// Guards against evicting connections with unread requests when a burst exceeds the limit after a stall.
#[test]
fn burst_over_limit_is_answered() {
    let nodes = [Node::start("s-0")];
    let (broker, _list) = Broker::start_with_config(&nodes, |config| config["limits"]["sockets"] = json!(48));
    assert_eq!(Client::connect(&broker).request(&query_request("find", "c0", &[1], "2.0")).status, 200);
    broker.signal("STOP");
    let mut clients: Vec<_> = (0..60).map(|_| Client::connect(&broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&query_request("find", &format!("b{i}"), &[1], "2.5"));
    }
    broker.signal("CONT");
    let answered = clients.iter_mut().filter_map(Client::read_response).filter(|a| a.status == 200).count();
    assert_eq!(answered, 60);
}

/// SIGHUP arrives while the configuration file, a named pipe that blocks the reader, is partly written.
#[rstest]
fn partly_written_config_is_ignored(#[values(false, true)] terminates: bool) {
    let nodes = [Node::start("s-0"), Node::start("s-1")];
    nodes[0].set_behavior(NodeBehavior::DelayMillis(300));
    let (mut broker, list) = Broker::start_with_config(&nodes[..1], |_| {});
    list.wait_until_newest_version_polled();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[1], "3.0"));
    nodes[0].wait_for_frames('A', 1);
    let other = DiscoveryServer::start(vec![nodes[1].endpoint("ready")]);
    let whole = config(other.address, vec![]).to_string();
    make_fifo(&broker.config_file);
    broker.signal("HUP");
    let mut half = open_for_writing(&broker.config_file);
    half.write_all(&whole.as_bytes()[..whole.len() / 2]).unwrap();
    if terminates {
        broker.signal("TERM");
    }
    drop(half);
    assert_eq!(client.read_response().unwrap().status, 200);
    if terminates {
        broker.signal("HUP");
        drop(open_for_writing(&broker.config_file));
        drop(client);
        assert_eq!(broker.exit_code(), Some(0));
        return;
    }
    std::fs::remove_file(&broker.config_file).unwrap();
    broker.reload_config(&config(other.address, vec![]));
    other.wait_until_newest_version_polled();
    nodes[0].set_behavior(NodeBehavior::Serve);
    assert_eq!(client.request(&query_request("find", "c2", &[1], "3.0")).status, 200);
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (1, 1));
}

/// SIGTERM arrives while a request is partly read, runs at a node, or is being retried.
#[rstest]
#[case::partly_read(NodeBehavior::Serve, NodeBehavior::Serve)]
#[case::at_node(NodeBehavior::DelayMillis(1500), NodeBehavior::DelayMillis(1500))]
#[case::retrying(NodeBehavior::ReplyStatus("fault"), NodeBehavior::DelayMillis(1500))]
fn in_flight_query_answered_after_sigterm(#[case] first: NodeBehavior, #[case] second: NodeBehavior) {
    let nodes = [Node::start("s-0"), Node::start("s-1")];
    nodes[0].set_behavior(first);
    nodes[1].set_behavior(second);
    let (mut broker, _list) = Broker::start_with_config(&nodes, |config| set_timeouts(config, 3000.0));
    let requests: Vec<_> = (0..4).map(|i| query_request("find", &format!("c{i}"), &[1], "3.0")).collect();
    let mut clients: Vec<_> = requests.iter().map(|_| Client::connect(&broker)).collect();
    let sent = |request: &str| if first == NodeBehavior::Serve { request.len() / 2 } else { request.len() };
    clients.iter_mut().zip(&requests).for_each(|(c, request)| c.send(&request[..sent(request)]));
    if first != NodeBehavior::Serve {
        nodes[0].wait_for_frames('A', 1);
        nodes[1].wait_for_frames('A', if first == second { 1 } else { 4 });
    }
    signal_shutdown(&broker);
    wait_until_closing(&broker);
    clients.iter_mut().zip(&requests).for_each(|(c, request)| c.send(&request[sent(request)..]));
    for client in &mut clients {
        let answer = client.read_response().expect("an answer");
        assert_eq!((answer.status, answer.header.contains("Connection: close")), (200, true));
        assert!(client.read_response().is_none());
    }
    drop(clients);
    assert_eq!(broker.exit_code(), Some(0));
}
