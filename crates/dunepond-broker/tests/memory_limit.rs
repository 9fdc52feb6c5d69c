//! The memory of a broker's process stays within the limit in its configuration, whatever its clients leave unread or undone.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use dunepond_testkit::hostile_clients::{
    DESCRIPTORS, Deployment, LEAST_ANONYMOUS_BYTES, NodeBehavior, ProcessWatch, QueryShape, query,
};
use serde_json::json;
use socket2::{Domain, Protocol, Socket, Type};

/// Length of the text of a large query, and of a large answer to a part, in bytes.
const LARGE_BYTES: usize = 60_000;
/// Number of segments of a query, and of nodes.
const SEGMENTS: usize = 6;
/// Receive buffer of a client: the broker's system takes little of a response that such a client does not read.
const RECEIVE_BUFFER_BYTES: usize = 2048;
/// Number of clients that leave a response unread.
const UNREAD_CLIENTS: usize = 150;
/// Number of responses that each of them leaves unread: more than the broker's system takes.
const UNREAD_RESPONSES: usize = 16;
/// Time for which the responses stay unread: shorter than the time that the broker gives a client to read one.
const UNREAD_TIME: Duration = Duration::from_secs(3);

fn connect(deployment: &Deployment) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&deployment.broker.address.into()).unwrap();
    socket.into()
}

/// Starts a broker whose settings limit neither queries nor parts in flight.
fn start(node_behavior: &NodeBehavior) -> Deployment {
    let behaviors = vec![node_behavior.clone(); SEGMENTS];
    Deployment::start(&behaviors, "", |config| config["settings"]["ceilings"]["mostHeld"] = json!(0)).unwrap()
}

/// Asserts that a process has kept to the limits of its configuration.
fn assert_within_limits(watch: ProcessWatch) {
    let peak = watch.finish();
    assert!(peak.anonymous_bytes <= LEAST_ANONYMOUS_BYTES, "{} KiB", peak.anonymous_bytes >> 10);
    assert!(peak.descriptors <= DESCRIPTORS, "{} descriptors", peak.descriptors);
}

#[test]
fn responses_that_clients_leave_unread_stay_within_the_memory_limit() {
    let deployment = start(&NodeBehavior::Answers("v".repeat(LARGE_BYTES).into()));
    let watch = deployment.watch();
    let shape = QueryShape { query_class: "find", segments: SEGMENTS, text_bytes: 2, budget: "2.9" };
    let mut clients = Vec::new();
    for number in 0..UNREAD_CLIENTS {
        let mut client = connect(&deployment);
        let requests: String =
            (0..UNREAD_RESPONSES).map(|request| query(&shape, &format!("c{number}-{request}"))).collect();
        client.write_all(requests.as_bytes()).unwrap();
        clients.push(client);
    }
    std::thread::sleep(UNREAD_TIME);
    assert_within_limits(watch);
}
