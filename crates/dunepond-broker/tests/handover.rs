//! What becomes of parts while they are handed over: on connections that come up late, are stuck, break or lie idle. The
//! nodes are led by hand, so that the order of what crosses is the story's.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use dunepond_testkit::store::{Broker, Client, List, Node, config, scan};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

const PATIENCE: Duration = Duration::from_secs(10);

/// A text that no narrow connection takes at once.
const LONG: usize = 60_000;

/// A node that does nothing by itself.
struct Hand(TcpListener);

/// A broker's connection to it.
struct Wire(TcpStream);

/// One part as its node is sent it.
#[derive(Debug)]
struct Call {
    id: String,
    /// How long the broker says that it will wait.
    wait: Duration,
}

impl Hand {
    fn start() -> Self {
        Self(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// One whose connections hold less than a long text on their way, while nobody reads.
    fn narrow() -> Self {
        let hand = Self::start();
        SockRef::from(&hand.0).set_recv_buffer_size(2048).unwrap();
        let size: libc::c_int = 536;
        let length = size_of_val(&size) as libc::socklen_t;
        // SAFETY: the option's value is an int of ours, which outlives the call.
        let outcome = unsafe {
            let value = (&raw const size).cast();
            libc::setsockopt(hand.0.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_MAXSEG, value, length)
        };
        assert_eq!(outcome, 0);
        hand
    }

    /// One whose queue is full, so that what is opened to it comes up once there is room and the system tries again,
    /// after a second; and what fills the queue.
    fn full() -> (Self, Vec<TcpStream>) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let hand = Self(socket.into());
        let connect = |_| TcpStream::connect_timeout(&hand.address(), Duration::from_millis(50)).ok();
        let fill = (0..3).filter_map(connect).collect();
        (hand, fill)
    }

    /// Makes room in a full queue, and gives the connection that comes up then.
    fn accepted_late(&self, fill: Vec<TcpStream>) -> Wire {
        let ours: Vec<_> = fill.iter().map(|stream| stream.local_addr().unwrap()).collect();
        loop {
            let wire = self.accepted();
            if !ours.contains(&wire.0.peer_addr().unwrap()) {
                return wire;
            }
        }
    }

    fn accepted(&self) -> Wire {
        let start = Instant::now();
        self.0.set_nonblocking(true).unwrap();
        loop {
            match self.0.accept() {
                Ok((stream, _)) => return Wire::on(stream),
                Err(e) => assert!(e.kind() == ErrorKind::WouldBlock && start.elapsed() < PATIENCE, "{e}"),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    fn line(&self, name: &str, health: &str) -> Value {
        json!({"host": name, "dial": self.address().to_string(), "site": "a", "class": "m", "block": 0,
            "health": health, "share": 1.0, "born_ms": 0})
    }

    /// Waits until somebody tries to connect here, and has not yet.
    fn wait_called(&self) {
        wait("nobody connects", || sockets().iter().any(|s| s.remote == self.address() && s.state == "02"));
    }
}

impl Wire {
    fn on(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(stream)
    }

    fn frame(&mut self) -> (char, String) {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).unwrap();
        let mut rest = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut rest).unwrap();
        (rest[0] as char, String::from_utf8(rest[1..].to_vec()).unwrap())
    }

    /// The next part that is sent.
    fn call(&mut self) -> Call {
        let (letter, text) = self.frame();
        assert_eq!(letter, 'A', "{text}");
        let words: Vec<_> = text.lines().next().unwrap().split(' ').collect();
        let wait = words[2].strip_prefix("d=").unwrap().parse().unwrap();
        Call { id: words[0].to_string(), wait: Duration::from_millis(wait) }
    }

    /// Waits until something has come, and leaves it unread.
    fn wait_bytes(&self) {
        assert!(self.0.peek(&mut [0]).unwrap() > 0);
    }

    fn say(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    fn serve(&mut self, call: &Call) {
        self.say(&end(&call.id, "hit"));
    }

    /// Resets the connection, whatever has not been read.
    fn reset(self) {
        self.ends(true);
    }

    /// Closes the connection, or resets it, which has come to the broker's end by then.
    fn ends(self, resets: bool) {
        if resets {
            SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).unwrap();
        }
        let (local, remote) = (self.0.peer_addr().unwrap(), self.0.local_addr().unwrap());
        drop(self);
        let up = |s: &Listed| s.local == local && s.remote == remote && s.state == "01";
        wait("still up", || !sockets().iter().any(up));
    }

    /// All that still comes until the broker closes or resets it.
    fn rest(mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Err(e) if e.kind() != ErrorKind::ConnectionReset => panic!("still open: {e}"),
            _ => rest,
        }
    }
}

/// A socket as the system lists it, of whichever process.
struct Listed {
    local: SocketAddr,
    remote: SocketAddr,
    state: String,
    unread: u64,
}

fn sockets() -> Vec<Listed> {
    let address = |text: &str| {
        let (ip, port) = text.split_once(':').unwrap();
        let ip = u32::from_str_radix(ip, 16).unwrap().to_le_bytes();
        SocketAddr::from((ip, u16::from_str_radix(port, 16).unwrap()))
    };
    let line = |line: &str| {
        let words: Vec<_> = line.split_whitespace().collect();
        let unread = words[4].split_once(':').unwrap().1;
        let (local, remote) = (address(words[1]), address(words[2]));
        Listed {
            local,
            remote,
            state: words[3].to_string(),
            unread: u64::from_str_radix(unread, 16).unwrap(),
        }
    };
    std::fs::read_to_string("/proc/net/tcp").unwrap().lines().skip(1).map(line).collect()
}

fn wait(what: &str, until: impl Fn() -> bool) {
    let start = Instant::now();
    while !until() {
        assert!(start.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The broker's end of a connection of ours.
fn over_there(ours: &TcpStream) -> Option<Listed> {
    let (local, remote) = (ours.peer_addr().unwrap(), ours.local_addr().unwrap());
    sockets().into_iter().find(|s| s.local == local && s.remote == remote)
}

/// Sends what the broker, which stands still, will find once it goes on.
fn left_for(client: &mut Client, request: &str) {
    client.send(request);
    wait("nothing comes", || over_there(&client.stream).is_some_and(|s| s.unread >= request.len() as u64));
}

/// Clients that close, which the broker has seen.
fn gone<const N: usize>(clients: [Client; N]) {
    let ends =
        clients.map(|client| (client.stream.peer_addr().unwrap(), client.stream.local_addr().unwrap()));
    wait("not let go", || !sockets().iter().any(|s| ends.contains(&(s.local, s.remote))));
}

/// Stops the broker while it waits for what comes next.
fn stopped(broker: &Broker) {
    let state = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", broker.pid())).unwrap();
        stat.rsplit_once(") ").unwrap().1.chars().next()
    };
    settled(broker);
    let waits = |_| {
        std::thread::sleep(Duration::from_millis(2));
        state() == Some('S')
    };
    wait("never at rest", || (0..5).all(waits));
    broker.signal("STOP");
    wait("never stopped", || state() == Some('T'));
}

/// An end of a part, with a value.
fn end(id: &str, word: &str) -> Vec<u8> {
    let rest = format!("E{id} {word} 7 -\nv");
    [&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat()
}

/// A scan of one shard, with a text so long.
fn long(table_type: &str, id: &str, budget: &str) -> String {
    let request = scan(table_type, id, &[0], budget);
    let (head, body) = request.split_once("\r\n\r\n").unwrap();
    let body = body.replace("q1", &"q".repeat(LONG));
    let head = head.split("Content-Length").next().unwrap();
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A broker before nodes of these lines, with further keys of its configuration told otherwise.
fn before(lines: Vec<Value>, keys: &[(&str, Value)]) -> (Broker, List) {
    let list = List::start(lines.clone());
    let mut config = config(list.address, lines);
    // On a machine under load what is usual here would be late, and scans turned away for it.
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["aimMs"] = json!(3000.0);
    }
    for (key, value) in keys {
        *config.pointer_mut(key).unwrap() = value.clone();
    }
    (Broker::start(&config), list)
}

/// All that came before has been read: what one turn of the broker's loop finds it may take in any order, but the second
/// of two that wait for one another is not of the same turn as what came before the first.
fn settled(broker: &Broker) {
    for _ in 0..2 {
        assert_eq!(Client::to(broker).ask("GET /ready HTTP/1.1\r\n\r\n").status, 200);
    }
}

/// A first scan is served, and its node's connection lies idle after it.
fn served(broker: &Broker, hand: &Hand) -> (Client, Wire) {
    let mut client = Client::to(broker);
    client.send(&scan("fix", "c1", &[0], "2.5"));
    let mut wire = hand.accepted();
    let call = wire.call();
    wire.serve(&call);
    assert_eq!(client.answer().unwrap().status, 200);
    (client, wire)
}

/// Two scans with long texts: the first half written to a node that does not read, the second behind it.
struct Stuck {
    broker: Broker,
    list: List,
    hand: Hand,
    wire: Wire,
    first: Client,
    second: Client,
}

impl Stuck {
    fn before(table_type: &str, keys: &[(&str, Value)]) -> Self {
        let hand = Hand::narrow();
        let (broker, list) = before(vec![hand.line("s-0", "ready")], keys);
        list.wait_read();
        let (mut first, mut second) = (Client::to(&broker), Client::to(&broker));
        // Both wait for the connection, and can go out once it is up.
        stopped(&broker);
        left_for(&mut first, &long(table_type, "c1", "2.8"));
        left_for(&mut second, &long(table_type, "c2", "2.8"));
        broker.signal("CONT");
        let wire = hand.accepted();
        wire.wait_bytes();
        settled(&broker);
        Self { broker, list, hand, wire, first, second }
    }

    /// Lists a node that serves, beside the one that is stuck.
    fn joined(&self, health: &str) -> Node {
        let node = Node::start("s-1");
        self.list.tell(vec![self.hand.line("s-0", health), node.line("ready")]);
        self.list.wait_read();
        settled(&self.broker);
        node
    }
}

/// Framed together with the one before it, it told its node of time that had passed in the queue.
#[test]
fn queued_part_carries_remaining_budget() {
    let mut stuck = Stuck::before("find", &[("/settings/ceilings/secondCopies", json!(false))]);
    let waits = Duration::from_millis(500);
    std::thread::sleep(waits);
    let (first, second) = (stuck.wire.call(), stuck.wire.call());
    assert!(second.wait + waits <= first.wait + Duration::from_millis(20), "{first:?} {second:?}");
    stuck.wire.serve(&first);
    stuck.wire.serve(&second);
    assert_eq!((stuck.first.answer().unwrap().status, stuck.second.answer().unwrap().status), (200, 200));
}

/// The last byte of no frame has gone out: neither has run, and both may go elsewhere.
#[test]
fn partly_written_and_queued_parts_never_ran_at_reset() {
    let mut stuck = Stuck::before("fix", &[]);
    let node = stuck.joined("ready");
    stuck.wire.reset();
    assert_eq!((stuck.first.answer().unwrap().status, stuck.second.answer().unwrap().status), (200, 200));
    assert_eq!(node.frames('A').len(), 2);
}

/// One byte more, and it may have run.
#[test]
fn fully_written_part_not_resent_after_reset() {
    let (hand, node) = (Hand::start(), Node::start("s-1"));
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &[]);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[0], "2.5"));
    let mut wire = hand.accepted();
    wire.call();
    list.tell(vec![hand.line("s-0", "ready"), node.line("ready")]);
    list.wait_read();
    wire.reset();
    assert_eq!(client.answer().unwrap().status, 502);
    assert_eq!(node.frames('A').len(), 0);
}

/// What has begun goes on; what waits behind it would be something new to the node.
#[test]
fn queued_part_leaves_draining_node() {
    let mut stuck = Stuck::before("fix", &[]);
    let node = stuck.joined("draining");
    assert_eq!(stuck.second.answer().unwrap().status, 200);
    assert_eq!(node.frames('A').len(), 1);
    let first = stuck.wire.call();
    assert_eq!(first.id, "c1.0");
    stuck.wire.serve(&first);
    assert_eq!(stuck.first.answer().unwrap().status, 200);
    drop(stuck.broker);
    assert!(stuck.wire.rest().is_empty());
}

/// It was cut out of the stream by closing it, with the part before it.
#[test]
fn queued_part_of_disconnected_client_spares_frame_ahead() {
    let mut stuck = Stuck::before("fix", &[]);
    gone([stuck.second]);
    let first = stuck.wire.call();
    stuck.wire.serve(&first);
    assert_eq!(stuck.first.answer().unwrap().status, 200);
    drop(stuck.broker);
    assert!(stuck.wire.rest().is_empty());
}

/// Sent in time, and out of it only once the window in which a repeat is dropped was over: run twice.
#[test]
fn keyed_retry_past_window_not_sent() {
    let (hand, (late, fill)) = (Hand::start(), Hand::full());
    let keys = [
        ("/settings/services/1/semantics", json!("token")),
        ("/settings/services/1/repeatWindowMs", json!(600.0)),
        ("/settings/ceilings/connectTimeoutMs", json!(5000.0)),
    ];
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[0], "2.5"));
    let mut wire = hand.accepted();
    wire.call();
    list.tell(vec![hand.line("s-0", "ready"), late.line("s-1", "ready")]);
    list.wait_read();
    wire.reset();
    late.wait_called();
    let wire = late.accepted_late(fill);
    assert_eq!(client.answer().unwrap().status, 502);
    drop(broker);
    assert!(wire.rest().is_empty());
}

/// A scan of so much time whose only part waits for a connection that comes up late.
fn waits_for_its_connection(time: &str) -> (Broker, List, Hand, Vec<TcpStream>, Client) {
    let (late, fill) = Hand::full();
    let keys = [
        ("/settings/ceilings/connectTimeoutMs", json!(5000.0)),
        ("/settings/services/1/aimMs", json!(400.0)),
    ];
    let (broker, list) = before(vec![late.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[0], time));
    late.wait_called();
    (broker, list, late, fill, client)
}

/// Its client has its answer, or has gone, by the time that the connection is up.
#[test]
fn expired_query_not_sent_on_late_connect() {
    let (broker, _list, late, fill, mut client) = waits_for_its_connection("0.5");
    stopped(&broker);
    let asked = Instant::now();
    let wire = late.accepted_late(fill);
    std::thread::sleep(Duration::from_millis(600).saturating_sub(asked.elapsed()));
    broker.signal("CONT");
    // Refused or given up, by which of the two it met first; it is the bytes that count.
    assert_ne!(client.answer().unwrap().status, 200);
    drop(broker);
    assert!(wire.rest().is_empty());
}

/// By its last call no byte of it has left, whatever it waits for: asking again is harmless, which the answer says.
#[test]
fn connecting_part_refused_at_last_answers() {
    let (broker, _list, late, fill, mut client) = waits_for_its_connection("0.6");
    assert_eq!(client.answer().unwrap().status, 429);
    let wire = late.accepted_late(fill);
    drop(broker);
    assert!(wire.rest().is_empty());
}

/// Nor has the last byte left of one that is half written, or of what waits behind that.
#[test]
fn partly_written_and_queued_parts_refused_at_last_answers() {
    let mut stuck = Stuck::before("fix", &[]);
    assert_eq!((stuck.first.answer().unwrap().status, stuck.second.answer().unwrap().status), (429, 429));
    let mut length = [0; 4];
    stuck.wire.0.read_exact(&mut length).unwrap();
    assert!(stuck.wire.rest().len() < u32::from_be_bytes(length) as usize);
}

/// One part has gone out whole: it may have run, whatever became of the one that waits.
#[test]
fn query_with_sent_part_fails_at_last_answers() {
    let (hand, (late, _fill)) = (Hand::start(), Hand::full());
    let keys =
        [("/settings/ceilings/connectTimeoutMs", json!(5000.0)), ("/settings/familyInfo/cells", json!(2))];
    let mut other = late.line("s-1", "ready");
    other["block"] = json!(1);
    let (broker, list) = before(vec![hand.line("s-0", "ready"), other], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[0, 1], "0.9"));
    let mut wire = hand.accepted();
    wire.call();
    late.wait_called();
    assert_eq!(client.answer().unwrap().status, 502);
}

/// Opened before the new process began, and up only since: what is out there is out at the new one.
#[test]
fn late_connection_belongs_to_replacement_node() {
    let (late, fill) = Hand::full();
    let keys = [("/settings/ceilings/connectTimeoutMs", json!(5000.0))];
    let (broker, list) = before(vec![late.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[0], "2.8"));
    late.wait_called();
    let mut line = late.line("s-0", "ready");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    line["born_ms"] = json!(now.as_millis() as u64 + 1);
    let mut wire = late.accepted_late(fill);
    let call = wire.call();
    list.tell(vec![line]);
    list.wait_read();
    settled(&broker);
    wire.serve(&call);
    assert_eq!(client.answer().unwrap().status, 200);
}

/// What the old process took with it is no fault of the new one: its first natural error sets nothing aside.
#[test]
fn part_lost_with_replaced_node_not_blamed_on_new_one() {
    let hand = Hand::start();
    let keys = [("/settings/ceilings/secondCopies", json!(false))];
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[0], "2.8"));
    let mut old = hand.accepted();
    old.call();
    let mut line = hand.line("s-0", "ready");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    line["born_ms"] = json!(now.as_millis() as u64 + 1);
    list.tell(vec![line]);
    let mut wire = hand.accepted();
    let again = wire.call();
    wire.serve(&again);
    assert_eq!(client.answer().unwrap().status, 200);
    client.send(&scan("fix", "c2", &[0], "2.8"));
    let call = wire.call();
    wire.say(&end(&call.id, "fault"));
    assert_eq!(client.answer().unwrap().status, 502);
    settled(&broker);
    assert!(!broker.said().contains("is ejected"), "is ejected");
}

/// A new process bears less than the old one did: what waits for it is asked about again.
#[test]
fn connecting_part_leaves_replaced_node() {
    let (late, _fill) = Hand::full();
    let keys = [("/settings/ceilings/connectTimeoutMs", json!(5000.0))];
    let (broker, list) = before(vec![late.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[0], "2.8"));
    late.wait_called();
    let (mut line, node) = (late.line("s-0", "ready"), Node::start("s-1"));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    line["born_ms"] = json!(now.as_millis() as u64 + 1);
    list.tell(vec![line, node.line("ready")]);
    assert_eq!(client.answer().unwrap().status, 200);
    assert_eq!(node.frames('A').len(), 1);
}

/// Asked and closed while the broker stood still, so that it meets both at once, and the request first.
#[rstest]
fn closed_idle_connection_not_reused(#[values(false, true)] resets: bool) {
    let hand = Hand::start();
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &[]);
    list.wait_read();
    let (mut client, mut wire) = served(&broker, &hand);
    stopped(&broker);
    left_for(&mut client, &scan("fix", "c2", &[0], "2.5"));
    wire.ends(resets);
    broker.signal("CONT");
    wire = hand.accepted();
    let call = wire.call();
    wire.serve(&call);
    assert_eq!(client.answer().unwrap().status, 200);
}

/// Its time is up, but the request comes before that is noticed: the node has closed it, or is about to.
#[test]
fn stale_idle_connection_not_reused() {
    let hand = Hand::start();
    let (broker, list) =
        before(vec![hand.line("s-0", "ready")], &[("/settings/ceilings/idleCloseMs", json!(400.0))]);
    list.wait_read();
    let (mut client, old) = served(&broker, &hand);
    stopped(&broker);
    left_for(&mut client, &scan("fix", "c2", &[0], "2.5"));
    std::thread::sleep(Duration::from_millis(400));
    broker.signal("CONT");
    let mut wire = hand.accepted();
    let call = wire.call();
    wire.serve(&call);
    assert_eq!(client.answer().unwrap().status, 200);
    assert!(old.rest().is_empty());
}

/// A node answers and breaks its connection: the answer is in, whichever of the two we meet first.
#[rstest]
#[case::in_reading(false)]
#[case::in_writing_the_next_part(true)]
fn answer_before_reset_is_used(#[case] writes: bool) {
    let hand = Hand::start();
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &[]);
    list.wait_read();
    let (mut first, mut second) = (Client::to(&broker), Client::to(&broker));
    first.send(&scan("fix", "c1", &[0], "2.5"));
    let mut wire = hand.accepted();
    let call = wire.call();
    stopped(&broker);
    if writes {
        left_for(&mut second, &scan("fix", "c2", &[0], "2.5"));
    }
    wire.serve(&call);
    wire.ends(true);
    broker.signal("CONT");
    assert_eq!(first.answer().unwrap().status, 200);
    if writes {
        // It never went out, and there is no other node.
        assert_eq!(second.answer().unwrap().status, 429);
    }
}

/// The half of an answer that came before it says nothing.
#[test]
fn partial_answer_before_reset_is_dropped() {
    let hand = Hand::start();
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &[]);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[0], "2.5"));
    let mut wire = hand.accepted();
    let call = wire.call();
    let answer = end(&call.id, "hit");
    wire.say(&answer[..answer.len() - 1]);
    wire.reset();
    assert_eq!(client.answer().unwrap().status, 502);
}

/// The first dispatch's end comes twice, and the second time after the next dispatch is out: that one is still out then.
#[test]
fn duplicate_answer_ends_one_attempt() {
    let hand = Hand::start();
    let keys = [("/settings/ceilings/secondCopies", json!(false))];
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[0], "2.8"));
    let mut wire = hand.accepted();
    let call = wire.call();
    wire.say(&end(&call.id, "fault"));
    let mut other = hand.accepted();
    let again = other.call();
    assert_eq!(again.id, call.id);
    wire.say(&end(&call.id, "fault"));
    settled(&broker);
    other.serve(&again);
    assert_eq!(client.answer().unwrap().status, 200);
    drop(broker);
    assert!(wire.rest().is_empty() && other.rest().is_empty());
}

/// The node may have begun with it and be at it for long: what came in its place would wait there unread, while the time
/// that it tells runs out.
#[rstest]
#[case::still_at_it(false)]
#[case::through_with_it(true)]
fn cancelled_part_holds_slot_until_ended(#[case] ended: bool) {
    let hand = Hand::start();
    let keys = [
        ("/settings/ceilings/streamsPerConn", json!(2)),
        ("/settings/familyInfo/partsACall", json!(2)),
        ("/settings/ceilings/secondCopies", json!(false)),
    ];
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[0], "2.5"));
    let mut wire = hand.accepted();
    let call = wire.call();
    gone([client]);
    assert_eq!(wire.frame(), ('B', call.id.clone()));
    if ended {
        wire.serve(&call);
    }
    settled(&broker);
    let mut next = Client::to(&broker);
    next.send(&scan("find", "c2", &[1, 2], "2.5"));
    let mut on = if ended { wire } else { hand.accepted() };
    assert_eq!(on.call().id, "c2.1");
    on.say(&[end("c2.1", "hit"), end("c2.2", "hit")].concat());
    assert_eq!(next.answer().unwrap().status, 200);
}

/// More of them than a connection remembers of parts that have ended: each of their ends is one that was owed.
#[test]
fn cancelled_parts_do_not_affect_others() {
    let hand = Hand::start();
    let keys = [
        ("/settings/ceilings/streamsPerConn", json!(1000)),
        ("/settings/ceilings/mostHeld", json!(2000)),
        ("/settings/familyInfo/slabs", json!(800)),
        ("/settings/familyInfo/partsACall", json!(800)),
        ("/settings/ceilings/secondCopies", json!(false)),
    ];
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut beside = Client::to(&broker);
    beside.send(&scan("fix", "c1", &[0], "2.9"));
    let mut wire = hand.accepted();
    let call = wire.call();
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c2", &(0..800).collect::<Vec<_>>(), "2.8"));
    assert_eq!(wire.call().id, "c2.0");
    gone([client]);
    let ends: Vec<_> = (0..800).map(|_| end(&wire.frame().1, "hit")).collect();
    wire.say(&ends.concat());
    wire.serve(&call);
    assert_eq!(beside.answer().unwrap().status, 200);
}

/// And one on which all places are taken so is of no more use.
#[test]
fn connection_with_only_cancelled_parts_is_closed() {
    let hand = Hand::start();
    let (broker, list) =
        before(vec![hand.line("s-0", "ready")], &[("/settings/ceilings/streamsPerConn", json!(1))]);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[0], "2.5"));
    let mut wire = hand.accepted();
    let call = wire.call();
    gone([client]);
    assert_eq!(wire.frame(), ('B', call.id));
    assert!(wire.rest().is_empty());
}

/// Without leave to cancel nothing is taken back at a node; but its last byte would go out for nobody.
#[test]
fn partly_written_part_aborted_on_client_disconnect() {
    let mut stuck = Stuck::before("fix", &[("/settings/ceilings/cancel", json!(false))]);
    gone([stuck.first, stuck.second]);
    let mut length = [0; 4];
    stuck.wire.0.read_exact(&mut length).unwrap();
    assert!(stuck.wire.rest().len() < u32::from_be_bytes(length) as usize);
}

/// Each read leaves the half of an answer, and each answer is whole in its time.
#[test]
fn fragmented_answers_are_timed_individually() {
    let hand = Hand::start();
    let keys = [("/settings/ceilings/connectTimeoutMs", json!(1000.0))];
    let (broker, list) = before(vec![hand.line("s-0", "ready")], &keys);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("fix", "c1", &[0, 1, 2], "2.8"));
    let mut wire = hand.accepted();
    let ends: Vec<_> = (0..3).map(|_| end(&wire.call().id, "hit")).collect();
    let all = ends.concat();
    let (one, half) = (ends[0].len(), ends[0].len() / 2);
    for piece in [&all[..one + half], &all[one + half..2 * one + half], &all[2 * one + half..]] {
        wire.say(piece);
        std::thread::sleep(Duration::from_millis(600));
    }
    assert_eq!(client.answer().unwrap().status, 200);
}
