//! Guards against a blocked event loop: by a configuration file that cannot be read at SIGHUP, and by a log pipe that is not read.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::time::Duration;

use dunepond_testkit::stand_ins::{
    Broker, Client, DiscoveryServer, Node, broker_program, config, launch_command, query_request,
};

/// A request's deadline, and how long its answer is awaited.
const BUDGET_SECONDS: &str = "1.0";
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Requests whose log lines exceed the size of a pipe several times.
const REQUESTS: usize = 2_000;

fn status(client: &mut Client, id: &str) -> Option<u16> {
    client.stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    client.try_request(&query_request("find", id, &[1], BUDGET_SECONDS)).map(|answer| answer.status)
}

/// The file is a pipe without a writer.
#[test]
fn unreadable_config_does_not_block() {
    let nodes = [Node::start("s-0")];
    let (mut broker, _list) = Broker::start_for_changed(&nodes, |_| {});
    let mut client = Client::connect(&broker);
    assert_eq!(status(&mut client, "c1"), Some(200));
    std::fs::remove_file(&broker.config_file).unwrap();
    assert!(Command::new("mkfifo").arg(&broker.config_file).status().unwrap().success());
    broker.signal("HUP");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(status(&mut client, "c2"), Some(200));
    // Another reload while the first is still reading, and the shutdown.
    broker.signal("HUP");
    broker.signal("TERM");
    assert_eq!(status(&mut client, "c3"), Some(200));
    drop(client);
    assert_eq!(broker.exit_code(), Some(0));
}

struct BrokerWithUnreadLog {
    child: Child,
    address: SocketAddr,
    /// Its log, which is no longer read.
    _log: BufReader<std::process::ChildStderr>,
}

impl BrokerWithUnreadLog {
    fn start(list: &DiscoveryServer, nodes: &[Node]) -> Self {
        let lines = nodes.iter().map(|node| node.endpoint("ready")).collect();
        let (mut child, _file) = launch_command(Command::new(broker_program()), &config(list.address, lines));
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
