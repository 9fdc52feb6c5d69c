//! A client that closes its connection is gone: no attempt is sent for it, whatever else arrives at the same time.
//! The broker is stopped where a scenario needs several events at once, and the test decides what the node answers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::stand_ins::{Broker, Client, DiscoveryServer, config, query_request};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// Longest wait for an expected event.
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Seen {
    /// Of each frame: its type, its content and the index of its connection.
    frames: Vec<(char, String, usize)>,
    wires: Vec<TcpStream>,
}

/// A node that answers what the test says; parts of a marker query it serves at once.
struct Node {
    address: SocketAddr,
    seen: Arc<(Mutex<Seen>, Condvar)>,
}

fn is_mark(frame: &(char, String, usize)) -> bool {
    frame.0 == 'A' && frame.1.starts_with("mark")
}

fn end(id: &str, word: &str) -> Vec<u8> {
    let rest = format!("E{id} {word} 7 -\nv");
    [&(rest.len() as u32).to_be_bytes(), rest.as_bytes()].concat()
}

impl Node {
    fn start() -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn on(listener: TcpListener) -> Self {
        let (address, seen) = (listener.local_addr().unwrap(), Arc::<(Mutex<Seen>, Condvar)>::default());
        let shared = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).unwrap();
                let wire = {
                    let mut seen = shared.0.lock().unwrap();
                    seen.wires.push(stream.try_clone().unwrap());
                    seen.wires.len() - 1
                };
                shared.1.notify_all();
                let shared = shared.clone();
                thread::spawn(move || Self::attend(stream, wire, &shared));
            }
        });
        Self { address, seen }
    }

    fn attend(mut stream: TcpStream, wire: usize, shared: &(Mutex<Seen>, Condvar)) -> Option<()> {
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length).ok()?;
            let mut rest = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut rest).ok()?;
            let frame = (rest[0] as char, String::from_utf8(rest[1..].to_vec()).unwrap(), wire);
            if is_mark(&frame) {
                stream.write_all(&end(frame.1.split(' ').next()?, "hit")).ok()?;
            }
            shared.0.lock().unwrap().frames.push(frame);
            shared.1.notify_all();
        }
    }

    fn line(&self) -> Value {
        json!({"host": "s-0", "dial": self.address.to_string(), "site": "a", "class": "m", "block": 0,
            "health": "ready", "share": 1.0, "born_ms": 0})
    }

    fn wait(&self, until: impl Fn(&Seen) -> bool) {
        let (lock, changed) = &*self.seen;
        let late = changed.wait_timeout_while(lock.lock().unwrap(), PATIENCE, |seen| !until(seen)).unwrap().1;
        assert!(!late.timed_out(), "the node has not seen what it should");
    }

    /// Waits for an attempt of a part, or for its cancellation.
    fn wait_for(&self, letter: char, part: &str) {
        self.wait(|seen| seen.frames.iter().any(|f| f.0 == letter && is_of(&f.1, part)));
    }

    /// Ends an attempt that has arrived, on its connection.
    fn say(&self, part: &str, word: &str) {
        let seen = self.seen.0.lock().unwrap();
        let wire = seen.frames.iter().rfind(|f| f.0 == 'A' && is_of(&f.1, part)).unwrap().2;
        (&seen.wires[wire]).write_all(&end(part, word)).unwrap();
    }

    /// How many attempts of a part it got, and how many cancellations.
    fn sent(&self, part: &str) -> (usize, usize) {
        let seen = self.seen.0.lock().unwrap();
        let count = |letter| seen.frames.iter().filter(|f| f.0 == letter && is_of(&f.1, part)).count();
        (count('A'), count('B'))
    }
}

fn is_of(rest: &str, part: &str) -> bool {
    rest.strip_prefix(part).is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
}

/// Shuts the connection down: a mere close would leave it open in a process that another test is forking.
fn hang_up(client: impl Into<Option<Client>>) {
    client.into().iter().for_each(|client| client.stream.shutdown(Shutdown::Both).unwrap());
}

/// A broker and one node with a replica of every segment.
struct Scenario {
    broker: Broker,
    _list: DiscoveryServer,
    node: Node,
    marks: usize,
}

impl Scenario {
    fn before(node: Node, change: impl FnOnce(&mut Value)) -> Self {
        let list = DiscoveryServer::start(vec![node.line()]);
        let mut config = config(list.address, vec![node.line()]);
        change(&mut config);
        let mut scenario = Self { broker: Broker::start(&config), _list: list, node, marks: 0 };
        scenario.mark();
        scenario
    }

    fn start() -> Self {
        Self::before(Node::start(), |_| {})
    }

    /// Sends a marker query: once it is served, everything before it has been sent, as there is one node and one
    /// connection. On a busy machine the node may look slow and the query may be rejected; it is retried then.
    fn mark(&mut self) {
        let since = Instant::now();
        loop {
            self.marks += 1;
            let request = query_request("find", &format!("mark{}", self.marks), &[5], "2.9");
            let status = Client::connect(&self.broker).request(&request).status;
            if status == 200 {
                return;
            }
            assert!(status == 429 && since.elapsed() < PATIENCE, "{status}");
        }
    }

    /// Lets events happen in this order while the broker is stopped, so that it sees them all at once.
    fn at_once(&self, what: impl FnOnce(&Self)) {
        let state = || std::fs::read_to_string(format!("/proc/{}/stat", self.broker.pid())).unwrap();
        self.broker.signal("STOP");
        while !state().contains(") T ") {
            thread::yield_now();
        }
        what(self);
        self.broker.signal("CONT");
    }
}

/// The request and the close both arrive before the connection is read.
#[rstest]
#[case::in_the_backlog(false)]
#[case::on_a_connection_at_rest(true)]
fn closed_before_read_is_not_dispatched(#[case] known: bool) {
    let mut scenario = Scenario::start();
    let resting = known.then(|| {
        let mut client = Client::connect(&scenario.broker);
        assert_eq!(client.request(&query_request("find", "mark", &[0], "2.0")).status, 200);
        client
    });
    scenario.at_once(|scenario| {
        let mut client = resting.unwrap_or_else(|| Client::connect(&scenario.broker));
        client.send(&query_request("find", "c1", &[0], "2.0"));
        hang_up(client);
    });
    scenario.mark();
    assert_eq!(scenario.node.sent("c1.0"), (0, 0));
}

/// A new process waits for its endpoint list; meanwhile clients wait in the backlog.
#[test]
fn closed_while_accepting_is_delayed_is_not_dispatched() {
    let node = Node::start();
    let list = DiscoveryServer::start(vec![]);
    list.stop_replying();
    let broker = Broker::start(&config(list.address, vec![node.line()]));
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.9"));
    hang_up(client);
    let mut scenario = Scenario { broker, _list: list, node, marks: 0 };
    scenario.mark();
    scenario.mark();
    assert_eq!(scenario.node.sent("c1.0"), (0, 0));
}

/// What it sent fills the read buffer, and its close stands behind that.
#[test]
fn close_behind_a_full_buffer_is_detected() {
    let mut scenario = Scenario::start();
    let mut client = Client::connect(&scenario.broker);
    client.send(&query_request("find", "c1", &[0], "2.9"));
    scenario.node.wait_for('A', "c1.0");
    let more: String = (0..400).map(|i| query_request("find", &format!("more{i}"), &[0], "2.9")).collect();
    assert!(more.len() > 64 * 1024, "{}", more.len());
    client.send(&more);
    hang_up(client);
    let closed = Instant::now();
    scenario.node.wait_for('B', "c1.0");
    // It is not its time that was up.
    assert!(closed.elapsed() < Duration::from_millis(1450), "{:?}", closed.elapsed());
    scenario.mark();
    assert_eq!((scenario.node.sent("c1.0"), scenario.node.sent("more0.0")), ((1, 1), (0, 0)));
}

/// A request of nearly half a read buffer.
fn long(id: &str) -> String {
    let body = json!({"buckets": [{"bucket": 0, "part": 1.0}], "body": "x".repeat(30_000)}).to_string();
    let head = format!("POST /find HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: 2.9\r\n");
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// What it sent fills the sockets' buffers as well, so that its close has not even been transmitted.
#[test]
fn close_behind_full_socket_buffers_is_detected() {
    let mut scenario = Scenario::start();
    let mut client = Client::connect(&scenario.broker);
    client.send(&query_request("find", "c1", &[0], "2.9"));
    scenario.node.wait_for('A', "c1.0");
    client.stream.set_nonblocking(true).unwrap();
    scenario.at_once(|_| {
        for i in 0.. {
            let more = long(&format!("more{i}"));
            if !matches!((&client.stream).write(more.as_bytes()), Ok(count) if count == more.len()) {
                break;
            }
        }
        hang_up(client);
    });
    let closed = Instant::now();
    scenario.node.wait_for('B', "c1.0");
    // It is not its time that was up.
    assert!(closed.elapsed() < Duration::from_millis(1450), "{:?}", closed.elapsed());
    scenario.mark();
    assert_eq!((scenario.node.sent("c1.0"), scenario.node.sent("more0.0")), ((1, 1), (0, 0)));
}

/// The node's failure arrives together with the client's close.
#[test]
fn failed_attempt_is_not_retried_after_close() {
    let mut scenario = Scenario::start();
    let mut client = Client::connect(&scenario.broker);
    client.send(&query_request("find", "c1", &[0], "2.9"));
    scenario.node.wait_for('A', "c1.0");
    scenario.at_once(|scenario| {
        scenario.node.say("c1.0", "fault");
        hang_up(client);
    });
    scenario.mark();
    assert_eq!(scenario.node.sent("c1.0").0, 1);
}

/// Without the close the attempt is retried: shows that the scenario above tests anything.
#[test]
fn failed_attempt_is_retried_for_a_waiting_client() {
    let scenario = Scenario::start();
    let mut client = Client::connect(&scenario.broker);
    client.send(&query_request("find", "c1", &[0], "2.9"));
    scenario.node.wait_for('A', "c1.0");
    scenario.node.say("c1.0", "fault");
    scenario.node.wait(|seen| seen.frames.iter().filter(|f| f.0 == 'A' && is_of(&f.1, "c1.0")).count() == 2);
    scenario.node.say("c1.0", "hit");
    assert_eq!(client.read_answer().unwrap().status, 200);
}

/// It was read with the first request, and starts with the first's response.
#[test]
fn pipelined_request_is_not_started_after_close() {
    let mut scenario = Scenario::start();
    let mut client = Client::connect(&scenario.broker);
    client.send(&(query_request("find", "c1", &[0], "2.9") + &query_request("find", "c2", &[0], "2.9")));
    scenario.node.wait_for('A', "c1.0");
    scenario.at_once(|scenario| {
        scenario.node.say("c1.0", "hit");
        hang_up(client);
    });
    scenario.mark();
    assert_eq!((scenario.node.sent("c1.0").0, scenario.node.sent("c2.0")), (1, (0, 0)));
}

/// A listener with a full backlog: a connection is established once there is room and the connect is retried.
struct Late {
    listener: TcpListener,
    /// Connections that fill the backlog.
    fill: Vec<TcpStream>,
}

impl Late {
    fn start() -> Self {
        let full = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        full.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        full.listen(0).unwrap();
        let listener = TcpListener::from(full);
        let address = listener.local_addr().unwrap();
        let fill = (0..3).flat_map(|_| TcpStream::connect_timeout(&address, Duration::from_millis(50)));
        Self { fill: fill.collect(), listener }
    }

    /// Waits until a connect is pending.
    fn wait_asked(&self) {
        let port = format!(":{:04X} 02 ", self.listener.local_addr().unwrap().port());
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&port) {
            thread::yield_now();
        }
    }
}

/// When a client closes whose attempts wait for a connection.
#[derive(Clone, Copy, PartialEq)]
enum Closes {
    Before,
    AsItComesUp,
    /// The broker has the event that the connection is established, and is busy with something else.
    WhileBusy,
}

/// How often the part was sent; `None` if the test itself was too slow.
fn sent_on_a_late_connection(closes: Closes) -> Option<usize> {
    let late = Late::start();
    let address = late.listener.local_addr().unwrap();
    let mut config = config(address, vec![]);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    let mut node = Node { address, seen: Arc::default() };
    let list = DiscoveryServer::start(vec![node.line()]);
    config["discovery"] = json!(list.address.to_string());
    let broker = Broker::start(&config);
    list.wait_until_read();
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0], "2.9"));
    late.wait_asked();
    let mut client = Some(client);
    if closes == Closes::Before {
        hang_up(client.take());
    }
    let mut scenario = Scenario { broker, _list: list, node: Node::start(), marks: 0 };
    let busy = (closes == Closes::WhileBusy).then(|| Busy::before(&scenario));
    scenario.at_once(|_| {
        busy.iter().for_each(Busy::ask);
        let fill: Vec<_> = late.fill.iter().map(|s| s.local_addr().unwrap()).collect();
        node = Node::on(late.listener);
        let is_brokers = |wire: &TcpStream| wire.peer_addr().is_ok_and(|peer| !fill.contains(&peer));
        node.wait(|seen| seen.wires.iter().any(is_brokers));
        hang_up(client.take_if(|_| closes == Closes::AsItComesUp));
    });
    let in_time = busy.is_none_or(|busy| busy.meanwhile(&scenario, || hang_up(client.take())));
    scenario.node = node;
    scenario.mark();
    in_time.then(|| scenario.node.sent("c1.0").0)
}

#[rstest]
fn attempts_awaiting_a_connection_are_dropped_after_close(
    #[values(Closes::Before, Closes::AsItComesUp, Closes::WhileBusy)] closes: Closes,
) {
    assert_eq!((0..9).find_map(|_| sent_on_a_late_connection(closes)), Some(0));
}

/// Clients that send so many requests at once that the broker is busy for longer than an attempt may be late.
struct Busy(Vec<Client>);

impl Busy {
    fn before(scenario: &Scenario) -> Self {
        Self((0..6).map(|_| Client::connect(&scenario.broker)).collect())
    }

    fn ask(&self) {
        let ready = "GET /ready HTTP/1.1\r\n\r\n".repeat(2600);
        self.0.iter().for_each(|client| (&client.stream).write_all(ready.as_bytes()).unwrap());
    }

    /// Does this once the broker handles their requests; true if it had not reached the last client by then.
    fn meanwhile(&self, scenario: &Scenario, what: impl FnOnce()) -> bool {
        let (first, last) = (&self.0[0].stream, &self.0.last().unwrap().stream);
        first.peek(&mut [0]).unwrap();
        last.set_nonblocking(true).unwrap();
        let mut in_time = false;
        scenario.at_once(|_| {
            what();
            in_time = last.peek(&mut [0]).is_err();
        });
        in_time
    }
}

/// The client closes during an iteration that handles the failure of its attempt: no event of that iteration reports the
/// close. A retry would begin too late.
#[test]
fn no_retry_after_close_while_the_broker_is_busy() {
    let mut scenario = Scenario::start();
    let tells = |i| {
        let (id, part) = (format!("c{i}"), format!("c{i}.0"));
        let mut client = Client::connect(&scenario.broker);
        client.send(&query_request("find", &id, &[0], "2.9"));
        scenario.node.wait_for('A', &part);
        // The longest that an attempt may begin after the close.
        thread::sleep(Duration::from_millis(100));
        let busy = Busy::before(&scenario);
        scenario.at_once(|scenario| {
            busy.ask();
            scenario.node.say(&part, "fault");
        });
        let in_time = busy.meanwhile(&scenario, || hang_up(client));
        scenario.mark();
        in_time.then(|| scenario.node.sent(&part).0)
    };
    assert_eq!((0..9).find_map(tells), Some(1));
}

/// A node's response together with the client's close: no other query is affected, and the connection stays open.
#[test]
fn response_at_the_close_disturbs_no_connection() {
    let mut scenario = Scenario::start();
    let mut client = Client::connect(&scenario.broker);
    client.send(&query_request("find", "c1", &[0, 1], "2.9"));
    scenario.node.wait_for('A', "c1.0");
    scenario.node.wait_for('A', "c1.1");
    scenario.at_once(|scenario| {
        scenario.node.say("c1.0", "hit");
        hang_up(client);
    });
    scenario.node.wait_for('B', "c1.1");
    scenario.mark();
    assert_eq!(scenario.node.sent("c1.1"), (1, 1));
    scenario.node.wait(|seen| seen.wires.len() == 1);
}

/// The client has no query in flight.
#[rstest]
#[case::unasked("")]
#[case::half("POST /find HTTP/1.1\r\nContent-Length: 99\r\n\r\n{")]
#[case::answered("GET /ready HTTP/1.1\r\n\r\n")]
fn close_without_attempts_cancels_nothing(#[case] said: &str) {
    let mut scenario = Scenario::start();
    let mut client = Client::connect(&scenario.broker);
    assert_eq!(client.request(&query_request("find", "mark", &[0], "2.9")).status, 200);
    client.send(said);
    scenario.at_once(|_| hang_up(client));
    scenario.mark();
    assert!(scenario.node.seen.0.lock().unwrap().frames.iter().all(|f| f.0 == 'A'));
}
