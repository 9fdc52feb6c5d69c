//! Discovery's agent as a stand-in that is led by hand, and what stories about the list have in common.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use dunepond_testkit::store::{Broker, Client, Node, config, scan};
use serde_json::{Value, json};
use socket2::SockRef;

/// What a silent agent does not tell, or what has changed whatever call has failed, counts as told after 6 s. Half of that
/// is left for a machine that is busy with other tests.
pub const IN_TIME: Duration = Duration::from_secs(3);

/// Discovery's agent; it says what its story says.
pub struct Agent(pub TcpListener);

/// A connection of the broker's to it.
pub struct Call(BufReader<TcpStream>);

impl Agent {
    pub fn start() -> Self {
        Self(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    pub fn called(&self) -> Call {
        let stream = self.0.accept().unwrap().0;
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        Call(BufReader::new(stream))
    }

    /// The next connection, with what is asked on it.
    pub fn asked(&self) -> (Call, String) {
        let mut call = self.called();
        let path = call.asked();
        (call, path)
    }
}

impl Call {
    /// The path of the next question.
    pub fn asked(&mut self) -> String {
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
        self.say(&answer(&list.to_string()));
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

pub fn answer(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn list(seq: u64, lines: Vec<Value>) -> Value {
    json!({"seq": seq, "whole": true, "hosts": lines})
}

pub fn nodes() -> [Node; 2] {
    [Node::start("s-0"), Node::start("s-1")]
}

/// The first node drains, the other one is in service.
pub fn drained(seq: u64, nodes: &[Node; 2]) -> Value {
    list(seq, vec![nodes[0].line("draining"), nodes[1].line("ready")])
}

/// A broker that begins with the first node alone, and its first call.
pub fn calling(nodes: &[Node; 2]) -> (Broker, Agent, Call) {
    let agent = Agent::start();
    let broker = Broker::start(&config(agent.address(), vec![nodes[0].line("ready")]));
    let (call, path) = agent.asked();
    assert_eq!(path, "/v1/endpoints");
    (broker, agent, call)
}

/// A broker whose agent has told it, as this version, that the first node alone is in service, and that watches now.
pub fn watching(seq: u64, nodes: &[Node; 2]) -> (Broker, Agent, Call) {
    let (broker, agent, mut call) = calling(nodes);
    call.answer(&list(seq, vec![nodes[0].line("ready")]));
    assert!(call.asked().starts_with(&format!("/v1/endpoints?index={seq}&wait=")));
    (broker, agent, call)
}

/// Asks a few scans, all of which go to the second node and none to the first.
pub fn only_the_second_serves(broker: &Broker, nodes: &[Node; 2]) {
    let mut client = Client::to(broker);
    for i in 0..3 {
        assert_eq!(client.ask(&scan("find", &format!("c{i}"), &[0, 1], "2.0")).status, 200);
    }
    assert_eq!((nodes[0].frames('A').len(), nodes[1].frames('A').len()), (0, 6));
}
