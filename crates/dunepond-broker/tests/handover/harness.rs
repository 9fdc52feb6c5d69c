//! Nodes that the test controls step by step, and brokers before them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, Node, config, query_request};
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

pub const PATIENCE: Duration = Duration::from_secs(10);

/// Length of a text that a narrow connection does not take at once, in bytes.
pub const LONG: usize = 60_000;

/// A node that the test controls step by step.
pub struct ManualNode(TcpListener);

/// A broker's connection to a node.
pub struct NodeConnection(pub TcpStream);

/// A part as its node receives it.
#[derive(Debug)]
pub struct ReceivedPart {
    pub id: String,
    /// The time that is left, as the broker says.
    pub wait: Duration,
}

impl ManualNode {
    pub fn start() -> Self {
        Self(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// A node whose connections buffer less than a long text.
    pub fn narrow() -> Self {
        let manual = Self::start();
        SockRef::from(&manual.0).set_recv_buffer_size(2048).unwrap();
        let size: libc::c_int = 536;
        let length = size_of_val(&size) as libc::socklen_t;
        // SAFETY: the option's value is an int of ours, which outlives the call.
        let outcome = unsafe {
            let value = (&raw const size).cast();
            libc::setsockopt(manual.0.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_MAXSEG, value, length)
        };
        assert_eq!(outcome, 0);
        manual
    }

    /// A node with a full accept queue, and the connections that fill it. Another connection is established once there is room and
    /// the system retries, after a second.
    pub fn full() -> (Self, Vec<TcpStream>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let manual = Self(socket.into());
        let connect = |_| TcpStream::connect_timeout(&manual.address(), Duration::from_millis(50)).ok();
        let fill = (0..3).filter_map(connect).collect();
        (manual, fill)
    }

    /// Makes room in a full queue, and returns the connection that is established then.
    pub fn accept_late(&self, fill: Vec<TcpStream>) -> NodeConnection {
        let ours: Vec<_> = fill.iter().map(|stream| stream.local_addr().unwrap()).collect();
        loop {
            let connection = self.accept();
            if !ours.contains(&connection.0.peer_addr().unwrap()) {
                return connection;
            }
        }
    }

    pub fn accept(&self) -> NodeConnection {
        let start = Instant::now();
        self.0.set_nonblocking(true).unwrap();
        loop {
            match self.0.accept() {
                Ok((stream, _)) => return NodeConnection::on(stream),
                Err(e) => assert!(e.kind() == ErrorKind::WouldBlock && start.elapsed() < PATIENCE, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    pub fn row(&self, name: &str, health: &str) -> Value {
        json!({"host": name, "dial": self.address().to_string(), "site": "a", "class": "m", "block": 0,
            "health": health, "share": 1.0, "born_ms": 0})
    }

    /// Waits until a connection to this node is being established.
    pub fn wait_for_connect(&self) {
        wait_until("nobody connects", || {
            sockets().iter().any(|s| s.remote == self.address() && s.state == "02")
        });
    }
}

impl NodeConnection {
    pub fn on(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(stream)
    }

    pub fn read_frame(&mut self) -> (char, String) {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).unwrap();
        let mut rest = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut rest).unwrap();
        (rest[0] as char, String::from_utf8(rest[1..].to_vec()).unwrap())
    }

    /// Reads the next part.
    pub fn read_part(&mut self) -> ReceivedPart {
        let (letter, text) = self.read_frame();
        assert_eq!(letter, 'A', "{text}");
        let words: Vec<_> = text.lines().next().unwrap().split(' ').collect();
        let wait = words[2].strip_prefix("d=").unwrap().parse().unwrap();
        ReceivedPart { id: words[0].to_string(), wait: Duration::from_millis(wait) }
    }

    /// Waits until bytes have arrived, and leaves them unread.
    pub fn wait_bytes(&self) {
        assert!(self.0.peek(&mut [0]).unwrap() > 0);
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    pub fn serve(&mut self, call: &ReceivedPart) {
        self.write(&answer_frame(&call.id, "hit"));
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.close(true);
    }

    /// Closes or resets the connection, and waits until that has arrived at the broker.
    pub fn close(self, resets: bool) {
        if resets {
            SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).unwrap();
        }
        let (local, remote) = (self.0.peer_addr().unwrap(), self.0.local_addr().unwrap());
        drop(self);
        let up = |s: &SocketEntry| s.local == local && s.remote == remote && s.state == "01";
        wait_until("still up", || !sockets().iter().any(up));
    }

    /// All bytes until the broker closes or resets the connection.
    pub fn read_to_close(mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("still open: {e}"),
            _ => rest,
        }
    }
}

/// A socket of any process, as the system lists it.
pub struct SocketEntry {
    pub local: SocketAddr,
    pub remote: SocketAddr,
    pub state: String,
    pub unread: u64,
}

pub fn sockets() -> Vec<SocketEntry> {
    let address = |text: &str| {
        let (ip, port) = text.split_once(':').unwrap();
        let ip = u32::from_str_radix(ip, 16).unwrap().to_le_bytes();
        SocketAddr::from((ip, u16::from_str_radix(port, 16).unwrap()))
    };
    let line = |line: &str| {
        let words: Vec<_> = line.split_whitespace().collect();
        let unread = words[4].split_once(':').unwrap().1;
        let (local, remote) = (address(words[1]), address(words[2]));
        SocketEntry {
            local,
            remote,
            state: words[3].to_string(),
            unread: u64::from_str_radix(unread, 16).unwrap(),
        }
    };
    std::fs::read_to_string("/proc/net/tcp").unwrap().lines().skip(1).map(line).collect()
}

pub fn wait_until(what: &str, until: impl Fn() -> bool) {
    let start = Instant::now();
    while !until() {
        assert!(start.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The broker's socket of a client's connection.
pub fn broker_side(ours: &TcpStream) -> Option<SocketEntry> {
    let (local, remote) = (ours.peer_addr().unwrap(), ours.local_addr().unwrap());
    sockets().into_iter().find(|s| s.local == local && s.remote == remote)
}

/// Sends a request to a stopped broker, and waits until it has arrived.
pub fn send_unread(client: &mut Client, request: &str) {
    client.send(request);
    wait_until("nothing comes", || {
        broker_side(&client.stream).is_some_and(|s| s.unread >= request.len() as u64)
    });
}

/// Closes clients, and waits until the broker has closed its side.
pub fn disconnect<const N: usize>(clients: [Client; N]) {
    let ends =
        clients.map(|client| (client.stream.peer_addr().unwrap(), client.stream.local_addr().unwrap()));
    wait_until("not let go", || !sockets().iter().any(|s| ends.contains(&(s.local, s.remote))));
}

/// Stops the broker while it is idle.
pub fn stop_when_idle(broker: &Broker) {
    let state = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", broker.pid())).unwrap();
        stat.rsplit_once(") ").unwrap().1.chars().next()
    };
    wait_until_processed(broker);
    let waits = |_| {
        std::thread::sleep(Duration::from_millis(2));
        state() == Some('S')
    };
    wait_until("never at rest", || (0..5).all(waits));
    broker.signal("STOP");
    wait_until("never stopped", || state() == Some('T'));
}

/// An answering frame of a part, with a value.
pub fn answer_frame(id: &str, word: &str) -> Vec<u8> {
    let rest = format!("E{id} {word} 7 -\nv");
    [&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat()
}

/// A query of one segment with a long text.
pub fn long_query(table_type: &str, id: &str, budget: &str) -> String {
    let request = query_request(table_type, id, &[0], budget);
    let (head, body) = request.split_once("\r\n\r\n").unwrap();
    let body = body.replace("q1", &"q".repeat(LONG));
    let head = head.split("Content-Length").next().unwrap();
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A broker before nodes of these rows, with some keys of its configuration changed.
pub fn start_broker(lines: Vec<Value>, keys: &[(&str, Value)]) -> (Broker, DiscoveryServer) {
    let list = DiscoveryServer::start(lines.clone());
    let mut config = config(list.address, lines);
    // On a busy machine usual latencies would exceed the objective, and queries be rejected.
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["aimMs"] = json!(3000.0);
    }
    for (key, value) in keys {
        *config.pointer_mut(key).unwrap() = value.clone();
    }
    (Broker::start(&config), list)
}

/// Waits until all earlier input has been processed. Events of one iteration may be handled in any order, but the second of two requests
/// in a row is not handled in the iteration of what came before the first.
pub fn wait_until_processed(broker: &Broker) {
    for _ in 0..2 {
        assert_eq!(Client::connect(broker).request("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    }
}

/// Serves a first query, after which the node's connection is idle.
pub fn serve_first_query(broker: &Broker, manual: &ManualNode) -> (Client, NodeConnection) {
    let mut client = Client::connect(broker);
    client.send(&query_request("fix", "c1", &[0], "2.5"));
    let mut connection = manual.accept();
    let call = connection.read_part();
    connection.serve(&call);
    assert_eq!(client.read_answer().unwrap().status, 200);
    (client, connection)
}

/// Two queries with long texts: the first is partly written to a node that does not read, the second queued behind it.
pub struct BlockedNode {
    pub broker: Broker,
    pub list: DiscoveryServer,
    pub manual: ManualNode,
    pub connection: NodeConnection,
    pub first: Client,
    pub second: Client,
}

impl BlockedNode {
    pub fn start_broker(table_type: &str, keys: &[(&str, Value)]) -> Self {
        let manual = ManualNode::narrow();
        let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], keys);
        list.wait_until_read();
        let (mut first, mut second) = (Client::connect(&broker), Client::connect(&broker));
        // Both wait for the connection.
        stop_when_idle(&broker);
        send_unread(&mut first, &long_query(table_type, "c1", "2.8"));
        send_unread(&mut second, &long_query(table_type, "c2", "2.8"));
        broker.signal("CONT");
        let connection = manual.accept();
        connection.wait_bytes();
        wait_until_processed(&broker);
        Self { broker, list, manual, connection, first, second }
    }

    /// Lists a node that serves, beside the blocked one.
    pub fn add_node(&self, health: &str) -> Node {
        let node = Node::start("s-1");
        self.list.publish(vec![self.manual.row("s-0", health), node.endpoint("ready")]);
        self.list.wait_until_read();
        wait_until_processed(&self.broker);
        node
    }
}
