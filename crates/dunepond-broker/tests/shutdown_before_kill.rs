//! Every accepted request is answered before the supervisor kills a process that is shutting down, even if the
//! process stalls. Regression tests for docs/incidents/2026-12-02-requests-late-in-a-shutdown.md: the shutdown stages
//! were timed from when the signal was read instead of from when it may have arrived.

use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, Node, NodeBehavior, query_request, set_timeouts};
use rstest::rstest;
use serde_json::json;

/// Earliest time of the supervisor's kill, counted from SIGTERM plus the longest query timeout, or plus 3 s if the
/// timeout is longer.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Tolerance for the test client's own delay.
const CLIENT_DELAY: Duration = Duration::from_millis(20);

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Clients that are connected before a shutdown, of which each sends at most one more request.
/// `sent_ids` has the ids of these requests, in the order of the clients.
struct Clients {
    clients: Vec<Client>,
    sent_ids: Vec<String>,
}

impl Clients {
    /// Connects clients and serves one query of each.
    fn connect(broker: &Broker, count: usize) -> Self {
        let mut clients: Vec<_> = (0..count).map(|_| Client::connect(broker)).collect();
        for (i, client) in clients.iter_mut().enumerate() {
            assert_eq!(
                client.request(&query_request("find", &format!("before{i}"), &[1], "1.0")).status,
                200
            );
        }
        Self { clients, sent_ids: Vec::new() }
    }

    /// Sends a non-idempotent query from the next client. A write error is ignored, as the connection may be closed already.
    fn send_next(&mut self, budget: &str) {
        let next = self.sent_ids.len();
        let id = format!("late{next}");
        let request = query_request("fix", &id, &[next % 6], budget);
        let _ = std::io::Write::write_all(&mut self.clients[next].stream, request.as_bytes());
        self.sent_ids.push(id);
    }

    /// Kills the broker at this time; returns the ids of requests that the node received and that have no response.
    fn unanswered_at(mut self, kill: Instant, broker: &mut Broker, node: &Node) -> Vec<String> {
        sleep_until(kill);
        broker.signal("KILL");
        broker.exit_code();
        let sent: Vec<_> = node.part_arrivals().into_iter().map(|(_, id)| id).collect();
        let was_sent = |id: &str| sent.iter().any(|part| part.starts_with(&format!("{id}.")));
        let sent_ids = self.sent_ids.iter().zip(&mut self.clients);
        sent_ids
            .filter(|(id, _)| was_sent(id))
            .filter_map(|(id, client)| client.read_response().is_none().then(|| id.clone()))
            .collect()
    }
}

/// The process is stopped while the signal arrives, or it stalls for the tolerated time both at the signal and before the kill.
#[rstest]
#[case::stopped_across_signal(1000, 800, 0)]
#[case::stalls_at_signal_and_before_kill(600, 150, 150)]
fn late_requests_answered_before_kill(
    #[case] timeout_ms: u64,
    #[case] stopped_ms: u64,
    #[case] stopped_before_kill_ms: u64,
) {
    let timeout = Duration::from_millis(timeout_ms);
    let budget = format!("{:.1}", timeout.as_secs_f64());
    let node = [Node::start("s-0")];
    let (mut broker, _list) = Broker::start_with_config(&node, |c| set_timeouts(c, timeout_ms as f64));
    let mut clients = Clients::connect(&broker, 24);
    node[0].set_behavior(NodeBehavior::Hang);
    broker.signal("STOP");
    let signalled_at = Instant::now();
    broker.signal("TERM");
    let kill = signalled_at + timeout + KILL_DELAY;
    if stopped_ms > 500 {
        (0..12).for_each(|_| clients.send_next(&budget));
    }
    sleep_until(signalled_at + Duration::from_millis(stopped_ms));
    broker.signal("CONT");
    sleep_until(signalled_at + Duration::from_millis(720.max(stopped_ms + 20)));
    (0..12).for_each(|_| clients.send_next(&budget));
    if stopped_before_kill_ms > 0 {
        sleep_until(kill - Duration::from_millis(stopped_before_kill_ms) + CLIENT_DELAY);
        broker.signal("STOP");
    }
    assert_eq!(clients.unanswered_at(kill, &mut broker, &node[0]), Vec::<String>::new());
}

/// All accepted clients wait for a hung node with deadlines after the kill, and more clients wait in the accept queue.
#[test]
fn in_flight_answered_before_kill_when_accept_queue_is_full() {
    let node = [Node::start("s-0")];
    node[0].set_behavior(NodeBehavior::Hang);
    let (mut broker, _list) = Broker::start_with_config(&node, |config| {
        set_timeouts(config, 60_000.0);
        config["limits"]["sockets"] = json!(48);
    });
    let send_query = |i: usize| {
        let mut client = Client::connect(&broker);
        client.send(&query_request("fix", &format!("c{i}"), &[i % 6], "59.0"));
        client
    };
    let mut clients: Vec<_> = (0..18).map(send_query).collect();
    node[0].wait_for_frames('A', 1);
    thread::sleep(Duration::from_millis(100));
    let mut queued: Vec<_> = (18..24).map(send_query).collect();
    let signalled_at = Instant::now();
    broker.signal("TERM");
    let kill = signalled_at + Duration::from_secs(3) + KILL_DELAY;
    let answered = |client: &mut Client| client.read_response().map(|answer| answer.status);
    let answers: Vec<_> = clients.iter_mut().map(answered).collect();
    assert!(Instant::now() < kill, "{:?}", signalled_at.elapsed());
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
    let statuses: Vec<_> = queued.iter_mut().map(answered).collect();
    assert!(statuses.iter().all(|status| matches!(status, Some(429 | 503))), "{statuses:?}");
    drop((clients, queued));
    assert_eq!(broker.exit_code(), Some(0));
    assert!(Instant::now() < kill, "{:?}", signalled_at.elapsed());
}

/// The request arrives so late in the shutdown that its deadline is later than the time by which the broker must have
/// exited.
#[test]
fn late_requests_rejected_at_once() {
    let node = [Node::start("s-0")];
    node[0].set_behavior(NodeBehavior::Hang);
    let (mut broker, _list) = Broker::start_with_config(&node, |config| set_timeouts(config, 2000.0));
    // A client that has not sent a request yet; its connection stays open for the first one.
    let mut client = Client::connect(&broker);
    let signalled_at = Instant::now();
    broker.signal("TERM");
    sleep_until(signalled_at + Duration::from_millis(750));
    let sent_at = Instant::now();
    let answer = client.request(&query_request("fix", "late", &[1], "2.0"));
    assert!(sent_at.elapsed() < Duration::from_millis(300), "{:?}", sent_at.elapsed());
    assert!(matches!(answer.status, 429 | 503) && answer.header.contains("Connection: close"), "{answer:?}");
    assert!(node[0].frames_of_type('A').is_empty());
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// The supervisor may time the kill by the reloaded, shorter deadlines.
#[test]
fn reloaded_shorter_deadlines_advance_last_responses() {
    let node = [Node::start("s-0")];
    node[0].set_behavior(NodeBehavior::Hang);
    let mut shorter = None;
    let (mut broker, _list) = Broker::start_with_config(&node, |config| {
        set_timeouts(config, 3000.0);
        let with_shorter = shorter.insert(config.clone());
        set_timeouts(with_shorter, 500.0);
    });
    let mut client = Client::connect(&broker);
    client.send(&query_request("fix", "c1", &[1], "3.0"));
    node[0].wait_for_frames('A', 1);
    broker.reload_config(&shorter.unwrap());
    while !broker.log_text().contains("configuration reloaded") {
        thread::sleep(Duration::from_millis(5));
    }
    let signalled_at = Instant::now();
    broker.signal("TERM");
    assert!(client.read_response().is_some());
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
    assert!(signalled_at.elapsed() < Duration::from_millis(500) + KILL_DELAY, "{:?}", signalled_at.elapsed());
}
