//! Shutdown in a process that stalls: every accepted request is answered before the kill. Regression tests of the incident in
//! docs/incidents/2026-12-02-requests-late-in-a-shutdown.md, in which the stages counted from when the signal was read, not from when it
//! may have come.

use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, Node, NodeBehavior, query_request, set_timeouts};
use rstest::rstest;
use serde_json::json;

/// Earliest kill, counted from SIGTERM plus the longest query timeout.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Tolerance for the test client's own delay.
const CLIENT_DELAY: Duration = Duration::from_millis(20);

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// The clients of one shutdown, and the id of the last request of each.
struct Clients {
    clients: Vec<Client>,
    sent_ids: Vec<String>,
}

impl Clients {
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

    /// The next client sends a non-idempotent query; on a connection that has been closed nothing is accepted.
    fn send_next(&mut self, budget: &str) {
        let next = self.sent_ids.len();
        let id = format!("late{next}");
        let request = query_request("fix", &id, &[next % 6], budget);
        let _ = std::io::Write::write_all(&mut self.clients[next].stream, request.as_bytes());
        self.sent_ids.push(id);
    }

    /// Requests that a node received and that have no answer when the process is killed.
    fn unanswered_at(mut self, kill: Instant, broker: &mut Broker, node: &Node) -> Vec<String> {
        sleep_until(kill);
        broker.signal("KILL");
        broker.exit_code();
        let sent: Vec<_> = node.part_arrivals().into_iter().map(|(_, id)| id).collect();
        let was_sent = |id: &str| sent.iter().any(|part| part.starts_with(&format!("{id}.")));
        let sent_ids = self.sent_ids.iter().zip(&mut self.clients);
        sent_ids
            .filter(|(id, _)| was_sent(id))
            .filter_map(|(id, client)| client.read_answer().is_none().then(|| id.clone()))
            .collect()
    }
}

/// The process is stopped across the signal, or stalls twice for the tolerated time: at the signal and at the last answers.
#[rstest]
#[case::stopped_across_signal(1000, 800, 0)]
#[case::stalls_at_signal_and_last_answers(600, 150, 150)]
fn late_requests_answered_before_kill(
    #[case] timeout_ms: u64,
    #[case] stopped_ms: u64,
    #[case] stopped_before_kill_ms: u64,
) {
    let timeout = Duration::from_millis(timeout_ms);
    let budget = format!("{:.1}", timeout.as_secs_f64());
    let node = [Node::start("s-0")];
    let (mut broker, _list) = Broker::start_for_changed(&node, |c| set_timeouts(c, timeout_ms as f64));
    let mut crowd = Clients::connect(&broker, 24);
    node[0].set_behavior(NodeBehavior::Hang);
    broker.signal("STOP");
    let signalled_at = Instant::now();
    broker.signal("TERM");
    let kill = signalled_at + timeout + KILL_DELAY;
    if stopped_ms > 500 {
        (0..12).for_each(|_| crowd.send_next(&budget));
    }
    sleep_until(signalled_at + Duration::from_millis(stopped_ms));
    broker.signal("CONT");
    sleep_until(signalled_at + Duration::from_millis(720.max(stopped_ms + 20)));
    (0..12).for_each(|_| crowd.send_next(&budget));
    if stopped_before_kill_ms > 0 {
        sleep_until(kill - Duration::from_millis(stopped_before_kill_ms) + CLIENT_DELAY);
        broker.signal("STOP");
    }
    assert_eq!(crowd.unanswered_at(kill, &mut broker, &node[0]), Vec::<String>::new());
}

/// All connections wait for a silent node with longer deadlines than the shutdown, and more wait in the accept queue.
#[test]
fn in_flight_answered_before_kill_when_accept_queue_is_full() {
    let node = [Node::start("s-0")];
    node[0].set_behavior(NodeBehavior::Hang);
    let (mut broker, _list) = Broker::start_for_changed(&node, |config| {
        set_timeouts(config, 60_000.0);
        config["limits"]["sockets"] = json!(48);
    });
    let ask = |i: usize| {
        let mut client = Client::connect(&broker);
        client.send(&query_request("fix", &format!("c{i}"), &[i % 6], "59.0"));
        client
    };
    let mut clients: Vec<_> = (0..18).map(ask).collect();
    node[0].wait_for_frames('A', 1);
    thread::sleep(Duration::from_millis(100));
    let mut waiting: Vec<_> = (18..24).map(ask).collect();
    let signalled_at = Instant::now();
    broker.signal("TERM");
    let kill = signalled_at + Duration::from_secs(3) + KILL_DELAY;
    let answered = |client: &mut Client| client.read_answer().map(|answer| answer.status);
    let answers: Vec<_> = clients.iter_mut().map(answered).collect();
    assert!(Instant::now() < kill, "{:?}", signalled_at.elapsed());
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
    let waited: Vec<_> = waiting.iter_mut().map(answered).collect();
    assert!(waited.iter().all(|status| matches!(status, Some(429 | 503))), "{waited:?}");
    drop((clients, waiting));
    assert_eq!(broker.exit_code(), Some(0));
    assert!(Instant::now() < kill, "{:?}", signalled_at.elapsed());
}

/// Its deadline is after the exit.
#[test]
fn late_requests_refused_at_once() {
    let node = [Node::start("s-0")];
    node[0].set_behavior(NodeBehavior::Hang);
    let (mut broker, _list) = Broker::start_for_changed(&node, |config| set_timeouts(config, 2000.0));
    // Connected without a request: its first one may still come.
    let mut client = Client::connect(&broker);
    let signalled_at = Instant::now();
    broker.signal("TERM");
    sleep_until(signalled_at + Duration::from_millis(750));
    let sent_ids = Instant::now();
    let answer = client.request(&query_request("fix", "late", &[1], "2.0"));
    assert!(sent_ids.elapsed() < Duration::from_millis(300), "{:?}", sent_ids.elapsed());
    assert!(matches!(answer.status, 429 | 503) && answer.head.contains("Connection: close"), "{answer:?}");
    assert!(node[0].frames('A').is_empty());
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// The supervisor may use the reloaded deadlines for the kill.
#[test]
fn reloaded_shorter_deadlines_advance_last_answers() {
    let node = [Node::start("s-0")];
    node[0].set_behavior(NodeBehavior::Hang);
    let mut shorter = None;
    let (mut broker, _list) = Broker::start_for_changed(&node, |config| {
        set_timeouts(config, 3000.0);
        let signalled_at = shorter.insert(config.clone());
        set_timeouts(signalled_at, 500.0);
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
    assert!(client.read_answer().is_some());
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
    assert!(signalled_at.elapsed() < Duration::from_millis(500) + KILL_DELAY, "{:?}", signalled_at.elapsed());
}
