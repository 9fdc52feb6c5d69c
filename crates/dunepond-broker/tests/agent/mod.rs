//! A discovery agent that the test controls step by step, and helpers of the tests of the endpoint list.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use dunepond_testkit::stand_ins::{Broker, Client, Node, config, query_request};
use serde_json::{Value, json};
use socket2::SockRef;

/// Half of the 6 s after which a change counts as known although discovery is silent; the rest is tolerance for a busy machine.
pub const MAX_UPDATE_DELAY: Duration = Duration::from_secs(3);

/// A discovery agent that answers as the test says.
pub struct Agent(pub TcpListener);

/// A connection from the broker.
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

    /// The next connection, and the path of its first request.
    pub fn accept_request(&self) -> (Call, String) {
        let mut call = self.accept();
        let path = call.read_request();
        (call, path)
    }
}

impl Call {
    /// The path of the next request.
    pub fn read_request(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(self.0.read_line(&mut head).unwrap() > 0, "closed");
        }
        head.split(' ').nth(1).unwrap().to_string()
    }

    pub fn say(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    pub fn answer(&mut self, list: &Value) {
        self.say(&http_response(&list.to_string()));
    }

    pub fn reset(self) {
        SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Waits for the broker to close it.
    pub fn wait_closed(&mut self) {
        match self.0.read(&mut [0]) {
            Ok(0) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
            other => panic!("not closed: {other:?}"),
        }
    }
}

pub fn http_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn full_list(seq: u64, lines: Vec<Value>) -> Value {
    json!({"seq": seq, "whole": true, "hosts": lines})
}

pub fn nodes() -> [Node; 2] {
    [Node::start("s-0"), Node::start("s-1")]
}

/// A list in which the first node drains and the second is ready.
pub fn first_node_draining(seq: u64, nodes: &[Node; 2]) -> Value {
    full_list(seq, vec![nodes[0].endpoint("draining"), nodes[1].endpoint("ready")])
}

/// A broker whose configured list has the first node only, and its first call.
pub fn broker_awaiting_list(nodes: &[Node; 2]) -> (Broker, Agent, Call) {
    let agent = Agent::start();
    let broker = Broker::start(&config(agent.address(), vec![nodes[0].endpoint("ready")]));
    let (call, path) = agent.accept_request();
    assert_eq!(path, "/v1/endpoints");
    (broker, agent, call)
}

/// A broker that has received the first node alone as a list of this version, and now watches.
pub fn broker_with_watch(seq: u64, nodes: &[Node; 2]) -> (Broker, Agent, Call) {
    let (broker, agent, mut call) = broker_awaiting_list(nodes);
    call.answer(&full_list(seq, vec![nodes[0].endpoint("ready")]));
    assert!(call.read_request().starts_with(&format!("/v1/endpoints?index={seq}&wait=")));
    (broker, agent, call)
}

/// Sends a few queries; all parts go to the second node.
pub fn assert_only_second_node_serves(broker: &Broker, nodes: &[Node; 2]) {
    let mut client = Client::connect(broker);
    for i in 0..3 {
        assert_eq!(client.request(&query_request("find", &format!("c{i}"), &[0, 1], "2.0")).status, 200);
    }
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (0, 6));
}
