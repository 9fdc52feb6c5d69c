//! Support for the node connection tests: nodes that the test controls step by step, and brokers that use them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, Node, config, query_request};
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

/// Longest wait for an expected event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Length in bytes of a payload that does not fit into the buffers of a small-buffer node's connection.
pub const LONG_PAYLOAD_BYTES: usize = 60_000;

/// A node that the test controls step by step.
pub struct ManualNode(TcpListener);

/// A connection from the broker, as its node sees it.
pub struct NodeConnection(pub TcpStream);

/// The id and time limit of a part that a node received.
#[derive(Debug)]
pub struct ReceivedPart {
    /// The part's id: query id, a dot and the segment.
    pub id: String,
    /// The remaining time that the frame states.
    pub time_left: Duration,
}

impl ManualNode {
    pub fn start() -> Self {
        Self(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// A node whose connections buffer less than a long payload.
    pub fn with_small_buffers() -> Self {
        let manual = Self::start();
        SockRef::from(&manual.0).set_recv_buffer_size(2048).unwrap();
        let size: libc::c_int = 536;
        let length = size_of_val(&size) as libc::socklen_t;
        // SAFETY: the option's value points to the local `size`, which outlives the call.
        let outcome = unsafe {
            let value = (&raw const size).cast();
            libc::setsockopt(manual.0.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_MAXSEG, value, length)
        };
        assert_eq!(outcome, 0);
        manual
    }

    /// Returns a node with a full accept queue and the connections that fill it. Another connection is established
    /// only once there is room and the system retries the connect, after a second.
    pub fn with_full_queue() -> (Self, Vec<TcpStream>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let manual = Self(socket.into());
        let connect = |_| TcpStream::connect_timeout(&manual.address(), Duration::from_millis(50)).ok();
        let fill = (0..3).filter_map(connect).collect();
        (manual, fill)
    }

    /// Makes room in the full accept queue, and returns the broker's connection that is established then.
    pub fn accept_late(&self, fill: Vec<TcpStream>) -> NodeConnection {
        let ours: Vec<_> = fill.iter().map(|stream| stream.local_addr().unwrap()).collect();
        loop {
            let connection = self.accept();
            if !ours.contains(&connection.0.peer_addr().unwrap()) {
                return connection;
            }
        }
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> NodeConnection {
        let start = Instant::now();
        self.0.set_nonblocking(true).unwrap();
        loop {
            match self.0.accept() {
                Ok((stream, _)) => return NodeConnection::on(stream),
                Err(e) => {
                    assert!(e.kind() == ErrorKind::WouldBlock && start.elapsed() < EVENT_TIMEOUT, "{e}")
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// This node's row of an endpoint list.
    pub fn row(&self, name: &str, health: &str) -> Value {
        json!({"host": name, "dial": self.address().to_string(), "site": "a", "class": "m", "block": 0,
            "health": health, "share": 1.0, "born_ms": 0})
    }

    /// Waits until a connection to this node is being established.
    pub fn wait_for_connect(&self) {
        wait_until("no connect to the node is pending", || {
            sockets().iter().any(|s| s.remote == self.address() && s.state == "02")
        });
    }
}

impl NodeConnection {
    pub fn on(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(stream)
    }

    /// Reads the next frame; returns its kind and its content.
    pub fn read_frame(&mut self) -> (char, String) {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).unwrap();
        let mut rest = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut rest).unwrap();
        (rest[0] as char, String::from_utf8(rest[1..].to_vec()).unwrap())
    }

    /// Reads the next frame, which must be an attempt of one part.
    pub fn read_part(&mut self) -> ReceivedPart {
        let (letter, text) = self.read_frame();
        assert_eq!(letter, 'A', "{text}");
        let words: Vec<_> = text.lines().next().unwrap().split(' ').collect();
        let milliseconds = words[2].strip_prefix("d=").unwrap().parse().unwrap();
        ReceivedPart { id: words[0].to_string(), time_left: Duration::from_millis(milliseconds) }
    }

    /// Waits until bytes have arrived, without reading them.
    pub fn wait_bytes(&self) {
        assert!(self.0.peek(&mut [0]).unwrap() > 0);
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// Sends a successful response for this part.
    pub fn serve(&mut self, part: &ReceivedPart) {
        self.write(&answer_frame(&part.id, "hit"));
    }

    /// Resets the connection, and waits until the reset has arrived at the broker.
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
        let is_established = |s: &SocketEntry| s.local == local && s.remote == remote && s.state == "01";
        wait_until("the close did not reach the broker", || !sockets().iter().any(is_established));
    }

    /// Reads until the broker closes or resets the connection, and returns the bytes.
    pub fn read_to_close(mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Err(e) if e.kind() != ErrorKind::ConnectionReset => {
                panic!("the broker did not close the connection: {e}")
            }
            _ => rest,
        }
    }
}

/// Bytes that the operating system holds at least for a connection of the broker, before any is read.
const LEAST_SOCKET_BYTES: u64 = 16 * 1024;
/// Time after which no more bytes arrive in a socket that has room for none.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// A TCP socket as listed in `/proc/net/tcp`.
pub struct SocketEntry {
    pub local: SocketAddr,
    pub remote: SocketAddr,
    /// The connection state as a hexadecimal code, for example `01` for established.
    pub state: String,
    /// Number of received bytes that the process has not read.
    pub unread: u64,
}

/// Lists the IPv4 TCP sockets of all processes in the network namespace.
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

/// Waits until the condition holds; `failure` is the panic message if it does not hold in time.
pub fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < EVENT_TIMEOUT, "{failure}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Finds the broker's socket of a client's connection.
pub fn broker_side(client: &TcpStream) -> Option<SocketEntry> {
    let (local, remote) = (client.peer_addr().unwrap(), client.local_addr().unwrap());
    sockets().into_iter().find(|s| s.local == local && s.remote == remote)
}

/// Sends a request to a stopped broker, and waits until it has arrived in the broker's socket, or as much of it as the operating
/// system holds for a connection.
pub fn send_unread(client: &mut Client, request: &str) {
    client.send(request);
    wait_until("the request did not arrive", || {
        let unread = || broker_side(&client.stream).map_or(0, |socket| socket.unread);
        let arrived = unread();
        let is_whole = arrived >= request.len() as u64;
        std::thread::sleep(if is_whole { Duration::ZERO } else { SETTLING_TIME });
        is_whole || arrived >= LEAST_SOCKET_BYTES && unread() == arrived
    });
}

/// Closes clients, and waits until the broker has closed its sides of the connections.
pub fn disconnect<const N: usize>(clients: [Client; N]) {
    let ends =
        clients.map(|client| (client.stream.peer_addr().unwrap(), client.stream.local_addr().unwrap()));
    wait_until("the broker did not close its sides", || {
        !sockets().iter().any(|s| ends.contains(&(s.local, s.remote)))
    });
}

/// Stops the broker's process while it is idle.
pub fn stop_when_idle(broker: &Broker) {
    let state = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", broker.pid())).unwrap();
        stat.rsplit_once(") ").unwrap().1.chars().next()
    };
    wait_until_processed(broker);
    let is_idle = |_| {
        std::thread::sleep(Duration::from_millis(2));
        state() == Some('S')
    };
    wait_until("the broker was never idle", || (0..5).all(is_idle));
    broker.signal("STOP");
    wait_until("the broker did not stop", || state() == Some('T'));
}

/// Encodes a node's response to a part with this outcome.
pub fn answer_frame(id: &str, outcome: &str) -> Vec<u8> {
    let rest = format!("E{id} {outcome} 7 -\nv");
    [&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat()
}

/// A query of one segment with a long payload.
pub fn long_query(query_class: &str, id: &str, budget: &str) -> String {
    let request = query_request(query_class, id, &[0], budget);
    let (head, body) = request.split_once("\r\n\r\n").unwrap();
    let body = body.replace("q1", &"q".repeat(LONG_PAYLOAD_BYTES));
    let head = head.split("Content-Length").next().unwrap();
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Starts a broker with these endpoint rows and with these values at keys (JSON pointers) of its configuration.
pub fn start_broker(rows: Vec<Value>, keys: &[(&str, Value)]) -> (Broker, DiscoveryServer) {
    let list = DiscoveryServer::start(rows.clone());
    let mut config = config(list.address, rows);
    // Sets a long latency objective: on a busy machine the measured latency would exceed a shorter one, and queries
    // would be rejected.
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["aimMs"] = json!(3000.0);
    }
    for (key, value) in keys {
        *config.pointer_mut(key).unwrap() = value.clone();
    }
    (Broker::start(&config), list)
}

/// Waits until the broker has processed all earlier input. Events of one iteration may be handled in any order, but the second of
/// two successive requests is never handled in the same iteration as input that came before the first.
pub fn wait_until_processed(broker: &Broker) {
    for _ in 0..2 {
        assert_eq!(Client::connect(broker).request("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    }
}

/// Sends and serves one query; returns its client and the node's connection, which are idle then.
pub fn serve_first_query(broker: &Broker, manual: &ManualNode) -> (Client, NodeConnection) {
    let mut client = Client::connect(broker);
    client.send(&query_request("fix", "c1", &[0], "2.5"));
    let mut connection = manual.accept();
    let part = connection.read_part();
    connection.serve(&part);
    assert_eq!(client.read_response().unwrap().status, 200);
    (client, connection)
}

/// Two queries with long payloads at one node that does not read: the first part is partly written, the second is
/// queued behind it.
pub struct BlockedNode {
    pub broker: Broker,
    pub list: DiscoveryServer,
    /// The node that does not read.
    pub manual: ManualNode,
    /// The connection on which both parts are sent.
    pub connection: NodeConnection,
    /// The client of the partly written query.
    pub first: Client,
    /// The client of the queued query.
    pub second: Client,
}

impl BlockedNode {
    /// Starts the broker and the node, and sends both queries with this query class.
    pub fn start_broker(query_class: &str, keys: &[(&str, Value)]) -> Self {
        let manual = ManualNode::with_small_buffers();
        let (broker, list) = start_broker(vec![manual.row("s-0", "ready")], keys);
        list.wait_until_newest_version_polled();
        let (mut first, mut second) = (Client::connect(&broker), Client::connect(&broker));
        // Both queries arrive together, so that both parts wait for the connection.
        stop_when_idle(&broker);
        send_unread(&mut first, &long_query(query_class, "c1", "2.8"));
        send_unread(&mut second, &long_query(query_class, "c2", "2.8"));
        broker.signal("CONT");
        let connection = manual.accept();
        connection.wait_bytes();
        wait_until_processed(&broker);
        Self { broker, list, manual, connection, first, second }
    }

    /// Publishes a list with a second node, which serves, and the blocked node, which has this health.
    pub fn add_node(&self, health: &str) -> Node {
        let node = Node::start("s-1");
        self.list.publish(vec![self.manual.row("s-0", health), node.endpoint("ready")]);
        self.list.wait_until_newest_version_polled();
        wait_until_processed(&self.broker);
        node
    }
}
