//! A broker before one node whose answers the test decides, and means to let several events reach the broker at once.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, config, query_request};
use serde_json::{Value, json};

/// Longest wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A frame as it reached the node.
pub struct Frame {
    /// `A`: attempt, `B`: cancellation.
    pub kind: char,
    content: String,
    /// Index of its connection.
    connection: usize,
}

impl Frame {
    /// Marker queries are served at once.
    fn is_marker(&self) -> bool {
        self.kind == 'A' && self.content.starts_with("mark")
    }

    pub fn is_of_part(&self, kind: char, part: &str) -> bool {
        let rest = self.content.strip_prefix(part);
        self.kind == kind && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
    }
}

/// What reached a node.
#[derive(Default)]
pub struct Received {
    pub frames: Vec<Frame>,
    pub connections: Vec<TcpStream>,
}

/// A node that answers what the test says; parts of a marker query it serves at once.
pub struct Node {
    pub address: SocketAddr,
    pub received: Arc<(Mutex<Received>, Condvar)>,
}

fn end_frame(id: &str, outcome: &str) -> Vec<u8> {
    let rest = format!("E{id} {outcome} 7 -\nv");
    [&(rest.len() as u32).to_be_bytes(), rest.as_bytes()].concat()
}

impl Node {
    pub fn start() -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn on(listener: TcpListener) -> Self {
        let (address, received) =
            (listener.local_addr().unwrap(), Arc::<(Mutex<Received>, Condvar)>::default());
        let shared = received.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).unwrap();
                let connection = {
                    let mut received = shared.0.lock().unwrap();
                    received.connections.push(stream.try_clone().unwrap());
                    received.connections.len() - 1
                };
                shared.1.notify_all();
                let shared = shared.clone();
                thread::spawn(move || Self::serve_connection(stream, connection, &shared));
            }
        });
        Self { address, received }
    }

    fn serve_connection(
        mut stream: TcpStream,
        connection: usize,
        shared: &(Mutex<Received>, Condvar),
    ) -> Option<()> {
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length).ok()?;
            let mut rest = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut rest).ok()?;
            let frame = Frame {
                kind: rest[0] as char,
                content: String::from_utf8(rest[1..].to_vec()).unwrap(),
                connection,
            };
            if frame.is_marker() {
                stream.write_all(&end_frame(frame.content.split(' ').next()?, "hit")).ok()?;
            }
            shared.0.lock().unwrap().frames.push(frame);
            shared.1.notify_all();
        }
    }

    pub fn endpoint(&self) -> Value {
        json!({"host": "s-0", "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": "ready", "share": 1.0, "born_ms": 0})
    }

    pub fn wait(&self, until: impl Fn(&Received) -> bool) {
        let (lock, changed) = &*self.received;
        let late = changed
            .wait_timeout_while(lock.lock().unwrap(), EVENT_TIMEOUT, |received| !until(received))
            .unwrap()
            .1;
        assert!(!late.timed_out(), "the node has not received what it should");
    }

    /// Waits for an attempt of a part, or for its cancellation.
    pub fn wait_for(&self, kind: char, part: &str) {
        self.wait(|received| received.frames.iter().any(|f| f.is_of_part(kind, part)));
    }

    /// Ends an attempt that has arrived, on its connection, with this outcome.
    pub fn end_attempt(&self, part: &str, outcome: &str) {
        let received = self.received.0.lock().unwrap();
        let connection = received.frames.iter().rfind(|f| f.is_of_part('A', part)).unwrap().connection;
        (&received.connections[connection]).write_all(&end_frame(part, outcome)).unwrap();
    }

    /// How many attempts and cancellations of a part reached the node.
    pub fn sent_counts(&self, part: &str) -> (usize, usize) {
        let received = self.received.0.lock().unwrap();
        let count = |kind| received.frames.iter().filter(|f| f.is_of_part(kind, part)).count();
        (count('A'), count('B'))
    }
}

/// Shuts the connection down: a mere close would leave it open in a process that another test is forking.
pub fn close(client: impl Into<Option<Client>>) {
    client.into().iter().for_each(|client| client.stream.shutdown(Shutdown::Both).unwrap());
}

/// A broker and one node with a replica of every segment.
pub struct Scenario {
    pub broker: Broker,
    pub _list: DiscoveryServer,
    pub node: Node,
    pub marker_count: usize,
}

impl Scenario {
    pub fn start() -> Self {
        let node = Node::start();
        let list = DiscoveryServer::start(vec![node.endpoint()]);
        let broker = Broker::start(&config(list.address, vec![node.endpoint()]));
        let mut scenario = Self { broker, _list: list, node, marker_count: 0 };
        scenario.send_marker();
        scenario
    }

    /// Sends a marker query: once it is served, everything before it has been sent, as there is one node and one
    /// connection. On a busy machine the node may look slow and the query may be rejected; it is retried then.
    pub fn send_marker(&mut self) {
        let since = Instant::now();
        loop {
            self.marker_count += 1;
            let request = query_request("find", &format!("mark{}", self.marker_count), &[5], "2.9");
            let status = Client::connect(&self.broker).request(&request).status;
            if status == 200 {
                return;
            }
            assert!(status == 429 && since.elapsed() < EVENT_TIMEOUT, "{status}");
        }
    }

    /// Lets events happen in this order while the broker is stopped, so that it sees them all at once.
    pub fn while_stopped(&self, events: impl FnOnce(&Self)) {
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.broker.pid())).unwrap();
        self.broker.signal("STOP");
        while !state().contains(") T ") {
            thread::yield_now();
        }
        events(self);
        self.broker.signal("CONT");
    }
}

/// Clients that send so many requests at once that the broker is busy for longer than an attempt may be late.
pub struct BusyLoad(Vec<Client>);

impl BusyLoad {
    pub fn connect(scenario: &Scenario) -> Self {
        Self((0..6).map(|_| Client::connect(&scenario.broker)).collect())
    }

    pub fn send(&self) {
        let ready = "GET /ready HTTP/1.1\r\n\r\n".repeat(2600);
        self.0.iter().for_each(|client| (&client.stream).write_all(ready.as_bytes()).unwrap());
    }

    /// Lets these events happen once the broker handles their requests; true if it had not reached the last client by then.
    pub fn while_handled(&self, scenario: &Scenario, events: impl FnOnce()) -> bool {
        let (first, last) = (&self.0[0].stream, &self.0.last().unwrap().stream);
        first.peek(&mut [0]).unwrap();
        last.set_nonblocking(true).unwrap();
        let mut in_time = false;
        scenario.while_stopped(|_| {
            events();
            in_time = last.peek(&mut [0]).is_err();
        });
        in_time
    }
}
