//! Support for the endpoint list tests: a discovery agent that the test controls step by step, and brokers connected to it.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use dunepond_testkit::stand_ins::{Broker, Client, Node, config, query_request};
use serde_json::{Value, json};
use socket2::SockRef;

/// Longest time that the tests allow until the broker applies a new endpoint list. It is half of the 6 s that the
/// platform allows while discovery is silent. The other half is tolerance for a busy machine.
pub const MAX_UPDATE_DELAY: Duration = Duration::from_secs(3);

/// A stand-in for the discovery agent: it accepts connections and responds only when the test calls its methods.
pub struct Agent(pub TcpListener);

/// A connection from the broker to the discovery agent.
pub struct Call(BufReader<TcpStream>);

impl Agent {
    pub fn start() -> Self {
        Self(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    pub fn accept(&self) -> Call {
        let stream = self.0.accept().unwrap().0;
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        Call(BufReader::new(stream))
    }

    /// Accepts the next connection; returns it with the path of its first request.
    pub fn accept_request(&self) -> (Call, String) {
        let mut call = self.accept();
        let path = call.read_request();
        (call, path)
    }
}

impl Call {
    /// Reads the next request head and returns its path.
    pub fn read_request(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(self.0.read_line(&mut head).unwrap() > 0, "the broker closed the connection");
        }
        head.split(' ').nth(1).unwrap().to_string()
    }

    /// Writes text unchanged, and ignores an error if the connection is closed.
    pub fn write_text(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// Sends a response with this list.
    pub fn answer(&mut self, list: &Value) {
        self.write_text(&http_response(&list.to_string()));
    }

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Waits until the broker closes or resets the connection.
    pub fn wait_closed(&mut self) {
        match self.0.read(&mut [0]) {
            Ok(0) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
            other => panic!("the broker did not close the connection: {other:?}"),
        }
    }
}

pub fn http_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A complete endpoint list with this version and these rows.
pub fn full_list(seq: u64, rows: Vec<Value>) -> Value {
    json!({"seq": seq, "whole": true, "hosts": rows})
}

pub fn nodes() -> [Node; 2] {
    [Node::start("s-0"), Node::start("s-1")]
}

/// A complete endpoint list in which the first node is draining and the second is ready.
pub fn first_node_draining(seq: u64, nodes: &[Node; 2]) -> Value {
    full_list(seq, vec![nodes[0].endpoint("draining"), nodes[1].endpoint("ready")])
}

/// Starts a broker whose configured list has the first node only; returns it with its agent and its first call, which requests
/// the complete list and has no response yet.
pub fn broker_awaiting_list(nodes: &[Node; 2]) -> (Broker, Agent, Call) {
    let agent = Agent::start();
    let broker = Broker::start(&config(agent.address(), vec![nodes[0].endpoint("ready")]));
    let (call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    (broker, agent, call)
}

/// Starts a broker and sends it a list of this version that has the first node only; returns it with its agent and its call,
/// which now watches for changes.
pub fn broker_with_watch(seq: u64, nodes: &[Node; 2]) -> (Broker, Agent, Call) {
    let (broker, agent, mut call) = broker_awaiting_list(nodes);
    call.answer(&full_list(seq, vec![nodes[0].endpoint("ready")]));
    assert!(call.read_request().starts_with(&format!("/v1/endpoints?index={seq}&wait=")));
    (broker, agent, call)
}

/// Sends three queries and asserts that only the second node received their parts.
pub fn assert_only_second_node_serves(broker: &Broker, nodes: &[Node; 2]) {
    let mut client = Client::connect(broker);
    for i in 0..3 {
        assert_eq!(client.request(&query_request("find", &format!("c{i}"), &[0, 1], "2.0")).status, 200);
    }
    assert_eq!((nodes[0].frames_of_type('A').len(), nodes[1].frames_of_type('A').len()), (0, 6));
}
