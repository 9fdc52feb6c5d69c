//! Exchanged forms, byte by byte. The files under `data/golden` are what brokers in use write and read: a change of one of them is a change
//! of the protocol, which needs a version of its own.

mod fleet;
use dunepond_membership::{
    About, Actions, Code, Core, Counters, Envelope, Event, Head, Id, MembershipOptions, Peer, PeerState,
    RefusalReason, RequestKind, Seal, Span, VERSION, frame, peek, unframe,
};
use fleet::{PATIENCE, bound, run, told};
use serde::{Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

const KEY: &str = "a key of the golden files";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "{text}");
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Lines of a file: a label, a space, and the form.
fn lines(file: &str) -> Vec<(String, String)> {
    let path = format!("{}/tests/data/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|fault| panic!("{path}: {fault}"));
    text.lines()
        .map(|line| line.rsplit_once(' ').unwrap_or_else(|| panic!("{path}: {line:?}")))
        .map(|(label, form)| (label.into(), form.into()))
        .collect()
}

/// Compares with the file, line by line, so that the first difference is named.
fn same(file: &str, now: &[(String, String)]) {
    let golden = lines(file);
    for (golden, now) in golden.iter().zip(now) {
        assert_eq!(golden, now, "{file}");
    }
    assert_eq!(golden.len(), now.len(), "{file}");
}

/// Values by label, in the form that `postcard` gives them: written as in the file, and read from it.
fn postcards<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, values: &[(String, T)]) {
    let now: Vec<(String, String)> = values
        .iter()
        .map(|(label, value)| (label.clone(), hex(&postcard::to_stdvec(value).unwrap())))
        .collect();
    same(file, &now);
    for ((_, form), (label, value)) in lines(file).iter().zip(values) {
        let read: T = postcard::from_bytes(&unhex(form)).unwrap();
        assert_eq!(&read, value, "{label}");
    }
}

fn at(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn ids() -> Vec<(String, Id)> {
    let id = |name: &str, incarnation, renewed, listen: &str| {
        let id = Id { name: name.into(), incarnation, renewed, listen: at(listen) };
        (format!("{name}/{incarnation}/{renewed}"), id)
    };
    vec![
        id("n1", 1, 0, "127.0.0.1:7001"),
        id("broker-2.example:80", 300, 2, "192.0.2.7:65535"),
        id("x", u64::MAX, u32::MAX, "[2001:db8::1]:80"),
    ]
}

/// Each kind of message, with what it can carry.
fn abouts() -> Vec<(&'static str, About, Vec<u8>)> {
    let ask = |kind: RequestKind| About::Ask { id: 1 << 62, kind: kind.into(), within_ms: 1500 };
    let unknown = About::Ask { id: 7, kind: Code(99), within_ms: u32::MAX };
    let refused = |why: RefusalReason| postcard::to_stdvec(&why).unwrap();
    let mut abouts = vec![
        ("members", About::Members, b"what the library says".to_vec()),
        ("answer", About::Answer { id: 300 }, b"yes".to_vec()),
        ("answer-empty", About::Answer { id: 0 }, vec![]),
        ("refused", About::Refused { id: 5 }, refused(RefusalReason::Busy)),
        ("refused-datagram", About::Refused { id: 0 }, refused(RefusalReason::NotMe { name: "n1".into() })),
        ("greeting", About::Greeting, vec![]),
        ("ask-unknown", unknown, vec![0, 1, 2, 255]),
    ];
    for (label, kind) in
        ["raft", "lease", "propose", "counts", "fill", "state", "sign", "moves"].iter().zip(RequestKind::ALL)
    {
        abouts.push((label, ask(kind), label.as_bytes().to_vec()));
    }
    abouts
}

struct Written {
    label: String,
    envelope: Envelope,
    head: Head,
    load: Vec<u8>,
    seal: Seal,
}

fn messages() -> Vec<Written> {
    let second = Envelope { version: VERSION, speaks: Span::OURS, count: 129 };
    let newer = Envelope { version: VERSION, speaks: Span { least: 2, most: 200 }, count: u64::MAX };
    let envelopes = [("first", Envelope::FIRST), ("second", second), ("newer", newer)];
    let mut messages = Vec::new();
    for (seal, key) in [("open", None), ("sealed", Some(KEY))] {
        for (version, envelope) in envelopes {
            for (about, kind, load) in abouts() {
                for (pass, gives, echo) in [("none", 0, 0), ("passes", 1, u64::MAX)] {
                    let from = ids()[1].1.clone();
                    let head = Head { from, to: "n1".into(), gives, echo, about: kind.clone() };
                    let label = format!("{seal} {version} {about} {pass}");
                    let seal = Seal::new(key).unwrap();
                    messages.push(Written { label, envelope, head, load: load.clone(), seal });
                }
            }
        }
    }
    messages
}

#[test]
fn ids_and_members_keep_their_form() {
    postcards("ids.txt", &ids());
    let standings =
        [("here", PeerState::Alive), ("suspected", PeerState::Suspected), ("gone", PeerState::Down)];
    let peers: Vec<(String, Peer)> = standings
        .into_iter()
        .zip(ids())
        .map(|((label, standing), (_, id))| {
            let (name, incarnation, listen) = (id.name, id.incarnation, id.listen);
            (label.to_string(), Peer { name, incarnation, listen_address: listen, state: standing })
        })
        .collect();
    postcards("members.txt", &peers);
}

#[test]
fn kinds_keep_their_number_path_and_version() {
    let now: Vec<(String, String)> = RequestKind::ALL
        .into_iter()
        .map(|kind| {
            let code = Code::from(kind);
            assert_eq!((code.kind(), RequestKind::of_path(kind.path())), (Some(kind), Some(kind)));
            let forms = [postcard::to_stdvec(&kind).unwrap(), postcard::to_stdvec(&code).unwrap()];
            (format!("{} {}", kind.path(), kind.since()), forms.map(|form| hex(&form)).join("-"))
        })
        .collect();
    same("kinds.txt", &now);
    assert_eq!(Code(8).kind(), None);
}

#[test]
fn heads_keep_their_form() {
    let heads: Vec<(String, Head)> = messages()
        .into_iter()
        .filter(|message| message.label.starts_with("open first"))
        .map(|message| (message.label["open first ".len()..].to_string(), message.head))
        .collect();
    postcards("heads.txt", &heads);
}

#[test]
fn messages_are_written_and_read_as_ever() {
    let now: Vec<(String, String)> = messages()
        .iter()
        .map(|m| (m.label.clone(), hex(&frame(&m.envelope, &m.head, &m.load, &m.seal))))
        .collect();
    same("messages.txt", &now);
    for ((label, form), message) in lines("messages.txt").iter().zip(messages()) {
        let bytes = unhex(form);
        let (envelope, head, load) = unframe(&bytes, &message.seal, "n1", Span::OURS).unwrap();
        assert_eq!((envelope, &head, load), (message.envelope, &message.head, &message.load[..]), "{label}");
        assert_eq!(frame(&envelope, &head, load, &message.seal), bytes, "{label}");
        assert_eq!(peek(&bytes), Some((envelope.version, envelope.speaks)), "{label}");
    }
}

fn refusals() -> Vec<(String, RefusalReason)> {
    let name = || "n1".to_string();
    let span = |least, most| Span { least, most };
    [
        ("busy", RefusalReason::Busy),
        ("late", RefusalReason::Late),
        ("too-large", RefusalReason::TooLarge { most: 4 << 20 }),
        ("version", RefusalReason::Version { theirs: 1, ours: 2 }),
        ("claimed", RefusalReason::UnverifiedSender { name: name() }),
        ("seal", RefusalReason::Seal),
        ("stale", RefusalReason::Stale { name: name(), known: 300 }),
        ("garbled", RefusalReason::Malformed),
        ("not-me", RefusalReason::NotMe { name: name() }),
        ("flood", RefusalReason::Flood),
        ("full", RefusalReason::Full),
        ("dropped", RefusalReason::Dropped),
        ("declined", RefusalReason::Declined("no such version".into())),
        ("versions", RefusalReason::Versions { theirs: span(1, 2), ours: span(3, 200) }),
        ("kind", RefusalReason::Kind { kind: 99 }),
        ("pass", RefusalReason::Pass),
        ("old", RefusalReason::Old),
    ]
    .map(|(label, refused)| (label.to_string(), refused))
    .into()
}

#[test]
fn refusals_keep_their_form_in_each_version() {
    postcards("refusals.txt", &refusals());
    let first: Vec<(String, RefusalReason)> =
        refusals().into_iter().map(|(label, refused)| (label, refused.spoken_in(1))).collect();
    postcards("refusals-first.txt", &first);
    let second: Vec<(String, RefusalReason)> =
        refusals().into_iter().map(|(label, refused)| (label, refused.spoken_in(2))).collect();
    assert_eq!(second, refusals());
}

#[test]
fn counters_keep_their_names() {
    let names = Counters::default().list().into_iter();
    same(
        "counters.txt",
        &names.map(|(name, count)| (name.to_string(), count.to_string())).collect::<Vec<_>>(),
    );
}

/// Three cores, their clock and their wire; all that is said is noted.
struct World {
    now: f64,
    cores: Vec<Core>,
    seal: Seal,
    /// Datagrams under way: due, from, to, bytes.
    wire: VecDeque<(f64, usize, usize, Vec<u8>)>,
    said: Vec<(String, String)>,
}

fn core_at(number: usize, incarnation: u64, speaks: Span, key: Option<&str>, now: f64) -> Core {
    let known =
        (0..3).map(|other| (format!("n{other}"), SocketAddr::from(([127, 0, 0, 1], 7000 + other)))).collect();
    let listen = SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16));
    let mut told = MembershipOptions::new(&format!("n{number}"), incarnation, listen, known, number as u64);
    (told.key, told.supported_versions) = (key.map(String::from), speaks);
    Core::new(&told, [number as u8 + 10 * incarnation as u8; 32], now).unwrap()
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16))
}

impl World {
    fn new(key: Option<&str>) -> World {
        let spans = [Span::OURS, Span::OURS, Span::only(1)];
        let cores =
            spans.iter().enumerate().map(|(number, span)| core_at(number, 1, *span, key, 0.0)).collect();
        World { now: 0.0, cores, seal: Seal::new(key).unwrap(), wire: VecDeque::new(), said: Vec::new() }
    }

    fn note(&mut self, what: String, bytes: &[u8]) {
        let form = if bytes.is_empty() { "-".into() } else { hex(bytes) };
        self.said.push((format!("{:.2} {what}", self.now), form));
    }

    fn carry(&mut self, from: usize, orders: Actions, lost: &impl Fn(usize, usize) -> bool) {
        for (to, bytes) in orders.datagrams {
            let to = usize::from(to.port()) - 7000;
            self.note(format!("datagram n{from} n{to}"), &bytes);
            if !lost(from, to) {
                self.wire.push_back((self.now + 0.01, from, to, bytes));
            }
        }
        for change in orders.changes {
            let what = match change {
                Event::PeerUp(peer) => format!("here {} {}", peer.name, peer.incarnation),
                Event::PeerSuspected(name) => format!("suspected {name}"),
                Event::PeerDown(name) => format!("gone {name}"),
                other => panic!("{other:?} is no change"),
            };
            self.note(format!("member n{from} {what}"), &[]);
        }
        if let Some(fault) = orders.fault {
            let refusal =
                fault.refusal("n9").map(|why| postcard::to_stdvec(&why).unwrap()).unwrap_or_default();
            self.note(format!("fault n{from}"), &refusal);
        }
    }

    fn play(&mut self, end: f64, stopped: &[usize], lost: impl Fn(usize, usize) -> bool) {
        while self.now < end {
            self.now += 0.01;
            let mut waits: BTreeMap<usize, Vec<(usize, Vec<u8>)>> = BTreeMap::new();
            while self.wire.front().is_some_and(|next| next.0 <= self.now) {
                let (_, from, to, bytes) = self.wire.pop_front().unwrap();
                waits.entry(to).or_default().push((from, bytes));
            }
            for number in (0..self.cores.len()).filter(|number| !stopped.contains(number)) {
                for (from, bytes) in waits.remove(&number).unwrap_or_default() {
                    let orders = self.cores[number].on_datagram(self.now, address(from), &bytes);
                    self.carry(number, orders, &lost);
                }
                let orders = self.cores[number].tick(self.now);
                self.carry(number, orders, &lost);
                for sign in self.cores[number].signs() {
                    self.request(number, &sign.to, &sign.body, stopped, &lost);
                }
            }
        }
    }

    /// Carries a request for a sign of life there and back, in the bytes that it would have.
    fn request(
        &mut self,
        from: usize,
        to: &str,
        body: &[u8],
        stopped: &[usize],
        lost: &impl Fn(usize, usize) -> bool,
    ) {
        let other: usize = to[1..].parse().unwrap();
        let about = About::Ask { id: 1, kind: RequestKind::LivenessCheck.into(), within_ms: 100 };
        let head = self.cores[from].head(to, about);
        let version = self.cores[from].version_to(to);
        let bytes = self.cores[from].framed(version, &head, body);
        self.note(format!("request n{from} {to}"), &bytes);
        if stopped.contains(&other) {
            let orders = self.cores[from].sign_came(self.now, to, address(other), None);
            return self.carry(from, orders, lost);
        }
        let (said, head, load) = unframe(&bytes, &self.seal, to, Span::OURS).unwrap();
        self.cores[other].believes(self.now, &said, &head, address(from)).unwrap();
        let (body, orders) = self.cores[other].sign_asked(&head, load).unwrap();
        self.carry(other, orders, lost);
        let head = self.cores[other].head(&format!("n{from}"), About::Answer { id: 1 });
        let version = self.cores[other].answer_in(&bytes);
        let answer = self.cores[other].framed(version, &head, &body);
        self.note(format!("answer {to} n{from}"), &answer);
        let (said, head, load) = unframe(&answer, &self.seal, to, Span::OURS).unwrap();
        let orders = self.cores[from].sign_came(self.now, to, address(other), Some((&said, &head, load)));
        self.carry(from, orders, lost);
    }
}

fn none(_: usize, _: usize) -> bool {
    false
}

/// Joining, a member of version 1 that leaves and comes back in a later life and version, a suspicion that is refuted over a connection,
/// a member that dies, and messages that are refused.
fn conversation(key: Option<&str>) -> Vec<(String, String)> {
    let mut world = World::new(key);
    world.play(1.6, &[], none);
    let orders = world.cores[2].leave(world.now);
    world.carry(2, orders, &none);
    world.play(2.0, &[2], none);
    world.cores[2] = core_at(2, 2, Span::OURS, key, world.now);
    world.play(3.5, &[], none);
    world.play(7.5, &[], |from, _| from == 1);
    world.play(8.5, &[], none);
    let old = world.said.iter().rfind(|(label, _)| label.ends_with("datagram n1 n0")).unwrap().1.clone();
    let mut spoilt = unhex(&old);
    spoilt[40] ^= 1;
    for bytes in [unhex(&old), spoilt, vec![VERSION + 1; 200], vec![]] {
        let orders = world.cores[0].on_datagram(world.now, address(1), &bytes);
        world.carry(0, orders, &none);
    }
    world.play(9.0, &[], none);
    world.play(13.5, &[2], none);
    world.said
}

fn conversation_is_as_ever(file: &str, key: Option<&str>) {
    let now = conversation(key);
    same(file, &now);
    let seal = Seal::new(key).unwrap();
    for (label, form) in lines(file) {
        let kind = label.split(' ').nth(1).unwrap();
        if ["datagram", "request", "answer"].contains(&kind) {
            let bytes = unhex(&form);
            let (envelope, head, load) = unframe(&bytes, &seal, "it", Span::OURS).unwrap();
            assert_eq!(frame(&envelope, &head, load, &seal), bytes, "{label}");
        }
    }
    for (what, least) in [
        ("datagram", 40),
        ("request", 1),
        ("answer", 1),
        ("here", 4),
        ("suspected", 1),
        ("gone", 2),
        ("fault", 4),
    ] {
        let count = now.iter().filter(|(label, _)| label.split(' ').any(|word| word == what)).count();
        assert!(count >= least, "{what}: {count}");
    }
}

#[test]
fn a_conversation_without_a_key_is_as_ever() {
    conversation_is_as_ever("conversation-open.txt", None);
}

#[test]
fn a_conversation_under_a_key_is_as_ever() {
    conversation_is_as_ever("conversation-sealed.txt", Some(KEY));
}

/// Head and body of what comes next; nothing at the end.
fn read_http(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length =
        head.split_once("content-length: ").unwrap().1.split_once("\r\n").unwrap().0.parse().unwrap();
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    Some((head, body))
}

/// A head without what differs each time, in one word. As bytes, so that names in it are changed by no tool.
fn fixed(head: &str) -> String {
    let lines: Vec<&str> = head
        .split("\r\n")
        .map(|line| match line.split_once(": ") {
            Some((name @ ("host" | "content-length" | "date"), _)) => name,
            _ => line,
        })
        .collect();
    hex(lines.join("\r\n").as_bytes())
}

#[test]
fn requests_have_their_head() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let there = listener.local_addr().unwrap();
    let (send, heads) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let send = send.clone();
            std::thread::spawn(move || {
                while let Some((head, body)) = read_http(&mut stream) {
                    let seal = Seal::new(None).unwrap();
                    let (envelope, asked, _) = unframe(&body, &seal, "n1", Span::OURS).unwrap();
                    let About::Ask { id, .. } = asked.about else { panic!("{asked:?}") };
                    send.send(head).unwrap();
                    let from = Id { name: "n2".into(), incarnation: 1, renewed: 0, listen: there };
                    let about = About::Answer { id };
                    let answer = Head { from, to: "n1".into(), gives: 0, echo: 0, about };
                    let answer = frame(&Envelope { count: 0, ..envelope }, &answer, b"yes", &seal);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", answer.len());
                    stream.write_all(&[head.as_bytes(), &answer].concat()).unwrap();
                }
            });
        }
    });
    let broker = run(bound(), told("n1", 1, &[("n2", there)]));
    let mut now = Vec::new();
    for kind in RequestKind::ALL {
        let id = broker.peers.request("n2", kind, b"body".to_vec(), 5.0).unwrap();
        assert_eq!(broker.end(id).unwrap(), b"yes");
        let head = heads.recv_timeout(PATIENCE).unwrap();
        assert!(head.contains(&format!("host: {there}\r\n")), "{head}");
        now.push((kind.path().to_string(), fixed(&head)));
    }
    same("requests.txt", &now);
}

#[test]
fn answers_have_their_head_and_status() {
    let n2 = at("127.0.0.1:9");
    let broker = run(bound(), told("n1", 1, &[("n2", n2)]));
    let seal = Seal::new(None).unwrap();
    let from = Id { name: "n2".into(), incarnation: 1, renewed: 0, listen: n2 };
    let mut ends: Vec<(String, Result<Vec<u8>, RefusalReason>)> =
        vec![("answer".into(), Ok(b"yes".to_vec()))];
    ends.extend(refusals().into_iter().map(|(label, refused)| (label, Err(refused))));
    let mut now = Vec::new();
    for (label, end) in ends {
        let about = About::Ask { id: 3, kind: RequestKind::State.into(), within_ms: 5000 };
        let head = Head { from: from.clone(), to: "n1".into(), gives: 0, echo: 0, about };
        let envelope = Envelope { version: VERSION, speaks: Span::OURS, count: 0 };
        let body = frame(&envelope, &head, b"body", &seal);
        let mut stream = TcpStream::connect(broker.peers.local_addr()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let request = format!("POST /state HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(&[request.as_bytes(), &body].concat()).unwrap();
        let (.., token) = broker.asked();
        broker.peers.respond(token, end.clone());
        let (head, body) = read_http(&mut stream).expect("an answer");
        let (said, answered, load) = unframe(&body, &seal, "n1", Span::OURS).unwrap();
        assert_eq!((said.version, said.speaks, said.count), (VERSION, Span::OURS, 0), "{label}");
        let (about, want) = match end {
            Ok(body) => (About::Answer { id: 3 }, body),
            Err(why) => (About::Refused { id: 3 }, postcard::to_stdvec(&why).unwrap()),
        };
        assert_eq!((answered.about, answered.gives, load), (about, 0, &want[..]), "{label}");
        now.push((label, fixed(&head)));
    }
    same("answers.txt", &now);
}
