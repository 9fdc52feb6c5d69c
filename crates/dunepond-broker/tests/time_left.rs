//! A soak of shutdowns showed requests that were sent on to a node after their clients' time, and answers over half a second
//! late. They had waited, behind another request on their connection or in a process that stood still, and their time was
//! counted from the moment in which the broker got around to them. A request with a budget of 1 s that had waited for 0.97 s
//! was sent on with `d=1000`.

use std::thread::sleep;
use std::time::{Duration, Instant};

use dunepond_testkit::store::{Broker, Client, List, Manner, Node, config, scan, set_timeouts};
use rstest::rstest;

/// By the page of the standing test the time that an attempt tells its node may be so much more than its client has left.
const SLACK_MS: f64 = 150.0;
/// What the stand-ins take themselves on a busy machine.
const STAND_INS_MS: f64 = 50.0;

/// When a node got this part, and how long the broker said that it would wait.
fn told(nodes: &[Node], id: &str) -> Option<(Instant, f64)> {
    let of = |node: &Node| {
        let at = node.times().into_iter().find(|(_, part)| part.starts_with(id))?.0;
        let frame = node.frames('A').into_iter().find(|frame| frame.starts_with(id))?;
        let wait = frame.split([' ', '\n']).find_map(|word| word.strip_prefix("d=")?.parse().ok())?;
        Some((at, wait))
    };
    nodes.iter().find_map(of)
}

/// What this part told its node is no more than what its client has left, sent then with that budget.
fn keeps_to(nodes: &[Node], id: &str, sent: Instant, budget_ms: f64) {
    if let Some((at, wait)) = told(nodes, id) {
        let left = budget_ms - 1000.0 * at.duration_since(sent).as_secs_f64();
        assert!(wait <= left + SLACK_MS + STAND_INS_MS, "{id}: d={wait}, {left:.0} ms left");
    }
}

/// Both were sent at once. The first is out at a node that never answers it until its time is up.
#[test]
fn a_request_that_waited_behind_another_has_the_time_that_its_client_has_left() {
    let nodes = [Node::start("s-0"), Node::start("s-1")];
    nodes.iter().for_each(|node| node.behave(Manner::Hang));
    let (broker, _list) = Broker::before_changed(&nodes, |config| set_timeouts(config, 1000.0));
    let mut client = Client::to(&broker);
    let sent = Instant::now();
    client.send(&["c1", "c2"].map(|id| scan("fix", id, &[1], "1.0")).concat());
    while told(&nodes, "c1.").is_none() {
        sleep(Duration::from_millis(5));
    }
    nodes.iter().for_each(|node| node.behave(Manner::Serve));
    assert_eq!(client.answer().unwrap().status, 502);
    assert!(client.answer().is_some());
    keeps_to(&nodes, "c2.", sent, 1000.0);
}

/// It came while the process stood still, on a connection that was there or on one that had not been accepted.
#[rstest]
fn a_request_that_came_while_the_process_stood_still_has_the_time_that_its_client_has_left(
    #[values(true, false)] accepted: bool,
) {
    let nodes = [Node::start("s-0")];
    let (broker, _list) = Broker::before_changed(&nodes, |config| set_timeouts(config, 1500.0));
    let mut client = Client::to(&broker);
    assert_eq!(client.ask(&scan("find", "c1", &[1], "1.0")).status, 200);
    broker.signal("STOP");
    if !accepted {
        client = Client::to(&broker);
    }
    let sent = Instant::now();
    client.send(&scan("find", "c2", &[1], "1.0"));
    sleep(Duration::from_millis(600));
    broker.signal("CONT");
    assert!(client.answer().is_some());
    keeps_to(&nodes, "c2.", sent, 1000.0);
}

/// It waited at the listener, as nobody is taken in before the first list or the time for which that is awaited.
#[test]
fn a_request_that_waited_for_the_first_list_has_the_time_that_its_client_has_left() {
    let nodes = [Node::start("s-0")];
    let lines = vec![nodes[0].line("ready")];
    let list = List::start(lines.clone());
    list.fall_silent();
    let broker = Broker::start(&config(list.address, lines));
    let mut client = Client::to(&broker);
    let sent = Instant::now();
    client.send(&scan("find", "c1", &[1], "2.0"));
    assert!(client.answer().is_some());
    keeps_to(&nodes, "c1.", sent, 2000.0);
}
