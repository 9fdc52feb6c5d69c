//! The search for what could hold a broker up across its shutdown, as in `kill.rs`, found two calls of the loop that wait
//! for others without end: reading the configuration at SIGHUP, and writing a line of the log. A broker whose configuration
//! lay in a file that could not be read answered nobody any more, and went on through SIGTERM up to the kill; so did one
//! whose log nobody read, once 64 KiB of it were waiting.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::time::Duration;

use dunepond_testkit::store::{Broker, Client, List, Node, config, launch_by, program, scan};

/// A request's time, and how long its answer is awaited.
const BUDGET: &str = "1.0";
const AWAITED: Duration = Duration::from_secs(2);
/// Requests whose lines, with all that is logged, come to several times what a pipe holds.
const REQUESTS: usize = 2_000;

fn status(client: &mut Client, id: &str) -> Option<u16> {
    client.stream.set_read_timeout(Some(AWAITED)).unwrap();
    client.try_ask(&scan("find", id, &[1], BUDGET)).map(|answer| answer.status)
}

/// Its file is a pipe that nobody writes to.
#[test]
fn unreadable_config_does_not_block() {
    let nodes = [Node::start("s-0")];
    let (mut broker, _list) = Broker::before_changed(&nodes, |_| {});
    let mut client = Client::to(&broker);
    assert_eq!(status(&mut client, "c1"), Some(200));
    std::fs::remove_file(&broker.file).unwrap();
    assert!(Command::new("mkfifo").arg(&broker.file).status().unwrap().success());
    broker.signal("HUP");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(status(&mut client, "c2"), Some(200));
    // Another one while that is still being read, and the end.
    broker.signal("HUP");
    broker.signal("TERM");
    assert_eq!(status(&mut client, "c3"), Some(200));
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

struct Unread {
    child: Child,
    address: SocketAddr,
    /// What it writes its log to; nothing more is read of it.
    _log: BufReader<std::process::ChildStderr>,
}

impl Unread {
    fn start(list: &List, nodes: &[Node]) -> Self {
        let lines = nodes.iter().map(|node| node.line("ready")).collect();
        let (mut child, _file) = launch_by(Command::new(program()), &config(list.address, lines));
        let mut log = BufReader::with_capacity(1, child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("listening on") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it ended");
        }
        let address = line.trim_end().split(' ').next_back().unwrap().parse().unwrap();
        Self { child, address, _log: log }
    }
}

impl Drop for Unread {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn unread_log_does_not_block() {
    let nodes = [Node::start("s-0")];
    let list = List::start(vec![nodes[0].line("ready")]);
    let broker = Unread::start(&list, &nodes);
    let mut client = Client::dial(broker.address);
    for number in 0..REQUESTS {
        assert_eq!(status(&mut client, &format!("c{number}")), Some(200), "{number}");
    }
}
