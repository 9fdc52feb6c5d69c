//! A client that closes its connection has gone: nothing is sent on for it, whatever else comes in the same moment.
//! The broker is stopped where a story needs several things to be there at once, and a node is led by hand.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::store::{Broker, Client, List, config, scan};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// Longest that anything here waits for what must come.
const PATIENCE: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Seen {
    /// Letter and the rest, and the wire that each frame came on.
    frames: Vec<(char, String, usize)>,
    wires: Vec<TcpStream>,
}

/// A node that says what its story says; the parts of whoever marks the time it serves at once.
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

    /// Waits for a part, or for its being taken back.
    fn wait_for(&self, letter: char, part: &str) {
        self.wait(|seen| seen.frames.iter().any(|f| f.0 == letter && is_of(&f.1, part)));
    }

    /// Ends a part that has come, where it came.
    fn say(&self, part: &str, word: &str) {
        let seen = self.seen.0.lock().unwrap();
        let wire = seen.frames.iter().rfind(|f| f.0 == 'A' && is_of(&f.1, part)).unwrap().2;
        (&seen.wires[wire]).write_all(&end(part, word)).unwrap();
    }

    /// How often it was sent this part, and how often that was taken back.
    fn sent(&self, part: &str) -> (usize, usize) {
        let seen = self.seen.0.lock().unwrap();
        let count = |letter| seen.frames.iter().filter(|f| f.0 == letter && is_of(&f.1, part)).count();
        (count('A'), count('B'))
    }
}

fn is_of(rest: &str, part: &str) -> bool {
    rest.strip_prefix(part).is_some_and(|rest| rest.is_empty() || rest.starts_with(' '))
}

/// Closed it would stay open in a program that another test is just starting, which has all of ours until it runs.
fn hang_up(client: impl Into<Option<Client>>) {
    client.into().iter().for_each(|client| client.stream.shutdown(Shutdown::Both).unwrap());
}

/// A broker before one node that holds every shard.
struct Story {
    broker: Broker,
    _list: List,
    node: Node,
    marks: usize,
}

impl Story {
    fn before(node: Node, change: impl FnOnce(&mut Value)) -> Self {
        let list = List::start(vec![node.line()]);
        let mut config = config(list.address, vec![node.line()]);
        change(&mut config);
        let mut story = Self { broker: Broker::start(&config), _list: list, node, marks: 0 };
        story.mark();
        story
    }

    fn start() -> Self {
        Self::before(Node::start(), |_| {})
    }

    /// Whatever the broker had to send before has been sent once this is served: with one node, on one connection. It may be
    /// turned away where the machine is so busy that the node looks slow, and is asked again then.
    fn mark(&mut self) {
        let since = Instant::now();
        loop {
            self.marks += 1;
            let request = scan("find", &format!("mark{}", self.marks), &[5], "2.9");
            let status = Client::to(&self.broker).ask(&request).status;
            if status == 200 {
                return;
            }
            assert!(status == 429 && since.elapsed() < PATIENCE, "{status}");
        }
    }

    /// Lets all this come while the broker does nothing, in this order; then it has it all at once.
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

/// Its request and its end were both there before it was read.
#[rstest]
#[case::in_the_backlog(false)]
#[case::on_a_connection_at_rest(true)]
fn who_asks_and_closes_before_being_read_is_not_sent_on(#[case] known: bool) {
    let mut story = Story::start();
    let resting = known.then(|| {
        let mut client = Client::to(&story.broker);
        assert_eq!(client.ask(&scan("find", "mark", &[0], "2.0")).status, 200);
        client
    });
    story.at_once(|story| {
        let mut client = resting.unwrap_or_else(|| Client::to(&story.broker));
        client.send(&scan("find", "c1", &[0], "2.0"));
        hang_up(client);
    });
    story.mark();
    assert_eq!(story.node.sent("c1.0"), (0, 0));
}

/// A new process waits for its list; those that come meanwhile wait at the listener.
#[test]
fn who_comes_and_goes_while_accepting_is_held_is_not_sent_on() {
    let node = Node::start();
    let list = List::start(vec![]);
    list.fall_silent();
    let broker = Broker::start(&config(list.address, vec![node.line()]));
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[0], "2.9"));
    hang_up(client);
    let mut story = Story { broker, _list: list, node, marks: 0 };
    story.mark();
    story.mark();
    assert_eq!(story.node.sent("c1.0"), (0, 0));
}

/// What it sent fills the buffer that is read into, and its end stands behind that.
#[test]
fn who_sends_more_than_is_read_and_closes_is_seen_to_go() {
    let mut story = Story::start();
    let mut client = Client::to(&story.broker);
    client.send(&scan("find", "c1", &[0], "2.9"));
    story.node.wait_for('A', "c1.0");
    let more: String = (0..400).map(|i| scan("find", &format!("more{i}"), &[0], "2.9")).collect();
    assert!(more.len() > 64 * 1024, "{}", more.len());
    client.send(&more);
    hang_up(client);
    let closed = Instant::now();
    story.node.wait_for('B', "c1.0");
    // It is not its time that was up.
    assert!(closed.elapsed() < Duration::from_millis(1450), "{:?}", closed.elapsed());
    story.mark();
    assert_eq!((story.node.sent("c1.0"), story.node.sent("more0.0")), ((1, 1), (0, 0)));
}

/// A request of nearly half of what the broker reads into.
fn long(id: &str) -> String {
    let body = json!({"buckets": [{"bucket": 0, "part": 1.0}], "body": "x".repeat(30_000)}).to_string();
    let head = format!("POST /find HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Budget: 2.9\r\n");
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// What it sent fills the system's buffers as well, so that its end is still on its own side.
#[test]
fn who_sends_more_than_the_system_holds_and_closes_is_seen_to_go() {
    let mut story = Story::start();
    let mut client = Client::to(&story.broker);
    client.send(&scan("find", "c1", &[0], "2.9"));
    story.node.wait_for('A', "c1.0");
    client.stream.set_nonblocking(true).unwrap();
    story.at_once(|_| {
        for i in 0.. {
            let more = long(&format!("more{i}"));
            if !matches!((&client.stream).write(more.as_bytes()), Ok(count) if count == more.len()) {
                break;
            }
        }
        hang_up(client);
    });
    let closed = Instant::now();
    story.node.wait_for('B', "c1.0");
    // It is not its time that was up.
    assert!(closed.elapsed() < Duration::from_millis(1450), "{:?}", closed.elapsed());
    story.mark();
    assert_eq!((story.node.sent("c1.0"), story.node.sent("more0.0")), ((1, 1), (0, 0)));
}

/// The node's refusal came first, the client's end with it.
#[test]
fn a_part_that_failed_is_not_repeated_for_who_has_closed() {
    let mut story = Story::start();
    let mut client = Client::to(&story.broker);
    client.send(&scan("find", "c1", &[0], "2.9"));
    story.node.wait_for('A', "c1.0");
    story.at_once(|story| {
        story.node.say("c1.0", "fault");
        hang_up(client);
    });
    story.mark();
    assert_eq!(story.node.sent("c1.0").0, 1);
}

/// Left to itself the same is repeated: otherwise the story above would tell nothing.
#[test]
fn a_part_that_failed_is_repeated_for_who_waits() {
    let story = Story::start();
    let mut client = Client::to(&story.broker);
    client.send(&scan("find", "c1", &[0], "2.9"));
    story.node.wait_for('A', "c1.0");
    story.node.say("c1.0", "fault");
    story.node.wait(|seen| seen.frames.iter().filter(|f| f.0 == 'A' && is_of(&f.1, "c1.0")).count() == 2);
    story.node.say("c1.0", "hit");
    assert_eq!(client.answer().unwrap().status, 200);
}

/// It was read with the first, and begins with that one's answer.
#[test]
fn a_request_close_behind_another_is_not_begun_for_who_has_closed() {
    let mut story = Story::start();
    let mut client = Client::to(&story.broker);
    client.send(&(scan("find", "c1", &[0], "2.9") + &scan("find", "c2", &[0], "2.9")));
    story.node.wait_for('A', "c1.0");
    story.at_once(|story| {
        story.node.say("c1.0", "hit");
        hang_up(client);
    });
    story.mark();
    assert_eq!((story.node.sent("c1.0").0, story.node.sent("c2.0")), (1, (0, 0)));
}

/// The queue of its listener is full: a connection comes up once there is room, and has been asked for again.
struct Late {
    listener: TcpListener,
    /// Those that fill the queue.
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

    /// Waits until somebody's attempt to connect is out and not answered.
    fn wait_asked(&self) {
        let port = format!(":{:04X} 02 ", self.listener.local_addr().unwrap().port());
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&port) {
            thread::yield_now();
        }
    }
}

/// When a client closes whose parts wait for a connection.
#[derive(Clone, Copy, PartialEq)]
enum Closes {
    Before,
    AsItComesUp,
    /// The broker has been told that it is up, and is busy with something else.
    WhileBusy,
}

/// Tells how often its part was sent; nothing where the test itself was kept waiting for too long.
fn sent_on_a_late_connection(closes: Closes) -> Option<usize> {
    let late = Late::start();
    let address = late.listener.local_addr().unwrap();
    let mut config = config(address, vec![]);
    config["settings"]["ceilings"]["connectTimeoutMs"] = json!(5000.0);
    let mut node = Node { address, seen: Arc::default() };
    let list = List::start(vec![node.line()]);
    config["discovery"] = json!(list.address.to_string());
    let broker = Broker::start(&config);
    list.wait_read();
    let mut client = Client::to(&broker);
    client.send(&scan("find", "c1", &[0], "2.9"));
    late.wait_asked();
    let mut client = Some(client);
    if closes == Closes::Before {
        hang_up(client.take());
    }
    let mut story = Story { broker, _list: list, node: Node::start(), marks: 0 };
    let busy = (closes == Closes::WhileBusy).then(|| Busy::before(&story));
    story.at_once(|_| {
        busy.iter().for_each(Busy::ask);
        let fill: Vec<_> = late.fill.iter().map(|s| s.local_addr().unwrap()).collect();
        node = Node::on(late.listener);
        let is_brokers = |wire: &TcpStream| wire.peer_addr().is_ok_and(|peer| !fill.contains(&peer));
        node.wait(|seen| seen.wires.iter().any(is_brokers));
        hang_up(client.take_if(|_| closes == Closes::AsItComesUp));
    });
    let in_time = busy.is_none_or(|busy| busy.meanwhile(&story, || hang_up(client.take())));
    story.node = node;
    story.mark();
    in_time.then(|| story.node.sent("c1.0").0)
}

#[rstest]
fn parts_that_wait_for_a_connection_do_not_go_out_for_who_has_closed(
    #[values(Closes::Before, Closes::AsItComesUp, Closes::WhileBusy)] closes: Closes,
) {
    assert_eq!((0..9).find_map(|_| sent_on_a_late_connection(closes)), Some(0));
}

/// Clients that ask so much at once that the broker is busy with them for longer than it may be late.
struct Busy(Vec<Client>);

impl Busy {
    fn before(story: &Story) -> Self {
        Self((0..6).map(|_| Client::to(&story.broker)).collect())
    }

    fn ask(&self) {
        let ready = "GET /ready HTTP/1.1\r\n\r\n".repeat(2600);
        self.0.iter().for_each(|client| (&client.stream).write_all(ready.as_bytes()).unwrap());
    }

    /// Does this once the broker is at it; true if it had not come to the last of them.
    fn meanwhile(&self, story: &Story, what: impl FnOnce()) -> bool {
        let (first, last) = (&self.0[0].stream, &self.0.last().unwrap().stream);
        first.peek(&mut [0]).unwrap();
        last.set_nonblocking(true).unwrap();
        let mut in_time = false;
        story.at_once(|_| {
            what();
            in_time = last.peek(&mut [0]).is_err();
        });
        in_time
    }
}

/// The client closes in the middle of a turn that has the refusal of its part: nothing that the turn brought tells of
/// the close. What was sent would begin later than is allowed.
#[test]
fn a_part_is_not_repeated_for_who_closes_while_the_broker_is_busy() {
    let mut story = Story::start();
    let tells = |i| {
        let (id, part) = (format!("c{i}"), format!("c{i}.0"));
        let mut client = Client::to(&story.broker);
        client.send(&scan("find", &id, &[0], "2.9"));
        story.node.wait_for('A', &part);
        // The longest that an attempt may begin after the close.
        thread::sleep(Duration::from_millis(100));
        let busy = Busy::before(&story);
        story.at_once(|story| {
            busy.ask();
            story.node.say(&part, "fault");
        });
        let in_time = busy.meanwhile(&story, || hang_up(client));
        story.mark();
        in_time.then(|| story.node.sent(&part).0)
    };
    assert_eq!((0..9).find_map(tells), Some(1));
}

/// The node's last word and the end of who waited for it: nothing of it is told to others, and the connection is kept.
#[test]
fn a_part_that_is_answered_as_its_client_closes_disturbs_nobody() {
    let mut story = Story::start();
    let mut client = Client::to(&story.broker);
    client.send(&scan("find", "c1", &[0, 1], "2.9"));
    story.node.wait_for('A', "c1.0");
    story.node.wait_for('A', "c1.1");
    story.at_once(|story| {
        story.node.say("c1.0", "hit");
        hang_up(client);
    });
    story.node.wait_for('B', "c1.1");
    story.mark();
    assert_eq!(story.node.sent("c1.1"), (1, 1));
    story.node.wait(|seen| seen.wires.len() == 1);
}

/// Nothing is held for it, or not any more.
#[rstest]
#[case::unasked("")]
#[case::half("POST /find HTTP/1.1\r\nContent-Length: 99\r\n\r\n{")]
#[case::answered("GET /ready HTTP/1.1\r\n\r\n")]
fn who_closes_while_nothing_is_out_takes_nothing_back(#[case] said: &str) {
    let mut story = Story::start();
    let mut client = Client::to(&story.broker);
    assert_eq!(client.ask(&scan("find", "mark", &[0], "2.9")).status, 200);
    client.send(said);
    story.at_once(|_| hang_up(client));
    story.mark();
    assert!(story.node.seen.0.lock().unwrap().frames.iter().all(|f| f.0 == 'A'));
}
