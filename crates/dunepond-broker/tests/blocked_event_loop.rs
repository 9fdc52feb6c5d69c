//! Guards against blocking the event loop on a configuration file that cannot be read at SIGHUP, or on a log pipe
//! that nobody reads.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::time::Duration;

use dunepond_testkit::stand_ins::{
    Broker, Client, DiscoveryServer, Node, broker_program, config, launch_command, query_request,
};

/// Time budget of each request.
const BUDGET_SECONDS: &str = "1.0";
/// Longest wait for a response.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Number of requests; their log lines exceed the capacity of a pipe several times.
const REQUESTS: usize = 2_000;

/// Sends a query and returns its status; `None` if there is no response in time.
fn status(client: &mut Client, id: &str) -> Option<u16> {
    client.stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    client.try_request(&query_request("find", id, &[1], BUDGET_SECONDS)).map(|answer| answer.status)
}

/// The configuration file is a named pipe without a writer, so that opening it blocks.
#[test]
fn unreadable_config_does_not_block() {
    let nodes = [Node::start("s-0")];
    let (mut broker, _list) = Broker::start_with_config(&nodes, |_| {});
    let mut client = Client::connect(&broker);
    assert_eq!(status(&mut client, "c1"), Some(200));
    std::fs::remove_file(&broker.config_file).unwrap();
    assert!(Command::new("mkfifo").arg(&broker.config_file).status().unwrap().success());
    broker.signal("HUP");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(status(&mut client, "c2"), Some(200));
    // A second reload while the first is still reading, and a shutdown.
    broker.signal("HUP");
    broker.signal("TERM");
    assert_eq!(status(&mut client, "c3"), Some(200));
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

/// A broker whose log is read only until it listens.
struct BrokerWithUnreadLog {
    child: Child,
    address: SocketAddr,
    /// The broker's log, kept open and no longer read.
    _log: BufReader<std::process::ChildStderr>,
}

impl BrokerWithUnreadLog {
    fn start(list: &DiscoveryServer, nodes: &[Node]) -> Self {
        let rows = nodes.iter().map(|node| node.endpoint("ready")).collect();
        let (mut child, _file) = launch_command(Command::new(broker_program()), &config(list.address, rows));
        let mut log = BufReader::with_capacity(1, child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("listening on") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the broker closed its log before it listened");
        }
        let address = line.trim_end().split(' ').next_back().unwrap().parse().unwrap();
        Self { child, address, _log: log }
    }
}

impl Drop for BrokerWithUnreadLog {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn unread_log_does_not_block() {
    let nodes = [Node::start("s-0")];
    let list = DiscoveryServer::start(vec![nodes[0].endpoint("ready")]);
    let broker = BrokerWithUnreadLog::start(&list, &nodes);
    let mut client = Client::connect_to(broker.address);
    for number in 0..REQUESTS {
        assert_eq!(status(&mut client, &format!("c{number}")), Some(200), "{number}");
    }
}
