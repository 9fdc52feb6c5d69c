//! The wire format, byte by byte. The files under `data/golden` are what released brokers write and read: changing one of them changes the
//! protocol, which needs a version of its own.

mod fleet;
use dunepond_membership::{
    Actions, Authenticator, Core, Counters, Envelope, Event, KindCode, MembershipOptions, Message,
    MessageHeader, MessageType, PROTOCOL_VERSION, Peer, PeerId, PeerState, RefusalReason, RequestKind,
    VersionRange, decode, encode, peek_version,
};
use fleet::{PATIENCE, bound, options, run};
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

/// Lines of a file: a label, a space, and the encoding.
fn lines(file: &str) -> Vec<(String, String)> {
    let path = format!("{}/tests/data/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
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

/// Values by label: `postcard` encodes each as in the file, and decodes the file to it.
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

fn ids() -> Vec<(String, PeerId)> {
    let id = |name: &str, incarnation, renewals, listen_address: &str| {
        let id = PeerId { name: name.into(), incarnation, renewals, listen_address: at(listen_address) };
        (format!("{name}/{incarnation}/{renewals}"), id)
    };
    vec![
        id("n1", 1, 0, "127.0.0.1:7001"),
        id("broker-2.example:80", 300, 2, "192.0.2.7:65535"),
        id("x", u64::MAX, u32::MAX, "[2001:db8::1]:80"),
    ]
}

/// Each kind of message, with what it can carry.
fn abouts() -> Vec<(&'static str, MessageType, Vec<u8>)> {
    let ask = |kind: RequestKind| MessageType::Request { id: 1 << 62, kind: kind.into(), timeout_ms: 1500 };
    let unknown = MessageType::Request { id: 7, kind: KindCode(99), timeout_ms: u32::MAX };
    let refused = |why: RefusalReason| postcard::to_stdvec(&why).unwrap();
    let mut abouts = vec![
        ("members", MessageType::Gossip, b"what the library says".to_vec()),
        ("answer", MessageType::Response { id: 300 }, b"yes".to_vec()),
        ("answer-empty", MessageType::Response { id: 0 }, vec![]),
        ("refused", MessageType::Refusal { id: 5 }, refused(RefusalReason::Busy)),
        (
            "refused-datagram",
            MessageType::Refusal { id: 0 },
            refused(RefusalReason::WrongRecipient { name: "n1".into() }),
        ),
        ("greeting", MessageType::Hello, vec![]),
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
    head: MessageHeader,
    payload: Vec<u8>,
    authenticator: Authenticator,
}

fn messages() -> Vec<Written> {
    let second = Envelope { version: PROTOCOL_VERSION, supported: VersionRange::SUPPORTED, sequence: 129 };
    let newer = Envelope {
        version: PROTOCOL_VERSION,
        supported: VersionRange { min: 2, max: 200 },
        sequence: u64::MAX,
    };
    let envelopes = [("first", Envelope::VERSION_1), ("second", second), ("newer", newer)];
    let mut messages = Vec::new();
    for (authenticator, key) in [("open", None), ("sealed", Some(KEY))] {
        for (version, envelope) in envelopes {
            for (about, kind, payload) in abouts() {
                for (pass, gives, echo) in [("none", 0, 0), ("passes", 1, u64::MAX)] {
                    let from = ids()[1].1.clone();
                    let head = MessageHeader {
                        from,
                        to: "n1".into(),
                        issued_token: gives,
                        echoed_token: echo,
                        message_type: kind.clone(),
                    };
                    let label = format!("{authenticator} {version} {about} {pass}");
                    let authenticator = Authenticator::new(key).unwrap();
                    messages.push(Written { label, envelope, head, payload: payload.clone(), authenticator });
                }
            }
        }
    }
    messages
}

#[test]
fn ids_and_members_keep_their_encoding() {
    postcards("ids.txt", &ids());
    let states = [("here", PeerState::Alive), ("suspected", PeerState::Suspected), ("gone", PeerState::Down)];
    let peers: Vec<(String, Peer)> = states
        .into_iter()
        .zip(ids())
        .map(|((label, state), (_, id))| {
            let (name, incarnation, listen_address) = (id.name, id.incarnation, id.listen_address);
            (label.to_string(), Peer { name, incarnation, listen_address, state })
        })
        .collect();
    postcards("members.txt", &peers);
}

#[test]
fn request_kinds_keep_number_path_and_version() {
    let now: Vec<(String, String)> = RequestKind::ALL
        .into_iter()
        .map(|kind| {
            let code = KindCode::from(kind);
            assert_eq!((code.kind(), RequestKind::from_path(kind.path())), (Some(kind), Some(kind)));
            let forms = [postcard::to_stdvec(&kind).unwrap(), postcard::to_stdvec(&code).unwrap()];
            (format!("{} {}", kind.path(), kind.min_version()), forms.map(|form| hex(&form)).join("-"))
        })
        .collect();
    same("kinds.txt", &now);
    assert_eq!(KindCode(8).kind(), None);
}

#[test]
fn headers_keep_their_encoding() {
    let heads: Vec<(String, MessageHeader)> = messages()
        .into_iter()
        .filter(|message| message.label.starts_with("open first"))
        .map(|message| (message.label["open first ".len()..].to_string(), message.head))
        .collect();
    postcards("heads.txt", &heads);
}

#[test]
fn messages_keep_their_encoding() {
    let now: Vec<(String, String)> = messages()
        .iter()
        .map(|m| (m.label.clone(), hex(&encode(&m.envelope, &m.head, &m.payload, &m.authenticator))))
        .collect();
    same("messages.txt", &now);
    for ((label, form), message) in lines("messages.txt").iter().zip(messages()) {
        let bytes = unhex(form);
        let Message { envelope, header: head, payload } =
            decode(&bytes, &message.authenticator, "n1", VersionRange::SUPPORTED).unwrap();
        assert_eq!(
            (envelope, &head, payload),
            (message.envelope, &message.head, &message.payload[..]),
            "{label}"
        );
        assert_eq!(encode(&envelope, &head, payload, &message.authenticator), bytes, "{label}");
        assert_eq!(peek_version(&bytes), Some((envelope.version, envelope.supported)), "{label}");
    }
}

fn refusals() -> Vec<(String, RefusalReason)> {
    let name = || "n1".to_string();
    let span = |min, max| VersionRange { min, max };
    [
        ("busy", RefusalReason::Busy),
        ("late", RefusalReason::Timeout),
        ("too-large", RefusalReason::TooLarge { max_bytes: 4 << 20 }),
        ("version", RefusalReason::UnsupportedVersionV1 { stated: 1, supported: 2 }),
        ("claimed", RefusalReason::UnverifiedSender { name: name() }),
        ("seal", RefusalReason::AuthenticationFailed),
        ("stale", RefusalReason::StaleIncarnation { name: name(), known: 300 }),
        ("garbled", RefusalReason::Malformed),
        ("not-me", RefusalReason::WrongRecipient { name: name() }),
        ("flood", RefusalReason::RateLimited),
        ("full", RefusalReason::TooManyMembers),
        ("dropped", RefusalReason::NoResponse),
        ("declined", RefusalReason::Declined("no such version".into())),
        ("versions", RefusalReason::UnsupportedVersion { stated: span(1, 2), supported: span(3, 200) }),
        ("kind", RefusalReason::UnknownKind { kind: 99 }),
        ("pass", RefusalReason::InvalidToken),
        ("old", RefusalReason::Replayed),
    ]
    .map(|(label, refused)| (label.to_string(), refused))
    .into()
}

#[test]
fn refusals_keep_their_encoding_in_each_version() {
    postcards("refusals.txt", &refusals());
    let first: Vec<(String, RefusalReason)> =
        refusals().into_iter().map(|(label, refused)| (label, refused.for_version(1))).collect();
    postcards("refusals-first.txt", &first);
    let second: Vec<(String, RefusalReason)> =
        refusals().into_iter().map(|(label, refused)| (label, refused.for_version(2))).collect();
    assert_eq!(second, refusals());
}

#[test]
fn counters_keep_their_printed_names() {
    let names = Counters::default().list().into_iter();
    same(
        "counters.txt",
        &names.map(|(name, count)| (name.to_string(), count.to_string())).collect::<Vec<_>>(),
    );
}

/// Three cores on a simulated network; everything sent is recorded.
struct World {
    now: f64,
    cores: Vec<Core>,
    authenticator: Authenticator,
    /// Datagrams in flight: due, from, to, bytes.
    wire: VecDeque<(f64, usize, usize, Vec<u8>)>,
    said: Vec<(String, String)>,
}

fn core_at(number: usize, incarnation: u64, versions: VersionRange, key: Option<&str>, now: f64) -> Core {
    let known =
        (0..3).map(|other| (format!("n{other}"), SocketAddr::from(([127, 0, 0, 1], 7000 + other)))).collect();
    let listen = SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16));
    let mut options =
        MembershipOptions::new(&format!("n{number}"), incarnation, listen, known, number as u64);
    (options.key, options.supported_versions) = (key.map(String::from), versions);
    Core::new(&options, [number as u8 + 10 * incarnation as u8; 32], now).unwrap()
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16))
}

impl World {
    fn new(key: Option<&str>) -> World {
        let spans = [VersionRange::SUPPORTED, VersionRange::SUPPORTED, VersionRange::exactly(1)];
        let cores =
            spans.iter().enumerate().map(|(number, span)| core_at(number, 1, *span, key, 0.0)).collect();
        World {
            now: 0.0,
            cores,
            authenticator: Authenticator::new(key).unwrap(),
            wire: VecDeque::new(),
            said: Vec::new(),
        }
    }

    fn note(&mut self, what: String, bytes: &[u8]) {
        let form = if bytes.is_empty() { "-".into() } else { hex(bytes) };
        self.said.push((format!("{:.2} {what}", self.now), form));
    }

    fn carry(&mut self, from: usize, actions: Actions, lost: &impl Fn(usize, usize) -> bool) {
        for (to, bytes) in actions.datagrams {
            let to = usize::from(to.port()) - 7000;
            self.note(format!("datagram n{from} n{to}"), &bytes);
            if !lost(from, to) {
                self.wire.push_back((self.now + 0.01, from, to, bytes));
            }
        }
        for change in actions.changes {
            let what = match change {
                Event::PeerUp(peer) => format!("here {} {}", peer.name, peer.incarnation),
                Event::PeerSuspected(name) => format!("suspected {name}"),
                Event::PeerDown(name) => format!("gone {name}"),
                other => panic!("{other:?} is no change"),
            };
            self.note(format!("member n{from} {what}"), &[]);
        }
        if let Some(error) = actions.error {
            let refusal =
                error.refusal("n9").map(|why| postcard::to_stdvec(&why).unwrap()).unwrap_or_default();
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
                    let actions = self.cores[number].on_datagram(self.now, address(from), &bytes);
                    self.carry(number, actions, &lost);
                }
                let actions = self.cores[number].tick(self.now);
                self.carry(number, actions, &lost);
                for check in self.cores[number].due_liveness_checks() {
                    self.request(number, &check.to, &check.body, stopped, &lost);
                }
            }
        }
    }

    /// Carries a liveness check there and back, in its encoding.
    fn request(
        &mut self,
        from: usize,
        to: &str,
        body: &[u8],
        stopped: &[usize],
        lost: &impl Fn(usize, usize) -> bool,
    ) {
        let other: usize = to[1..].parse().unwrap();
        let message_type =
            MessageType::Request { id: 1, kind: RequestKind::LivenessCheck.into(), timeout_ms: 100 };
        let head = self.cores[from].header_for(to, message_type);
        let version = self.cores[from].version_for(to);
        let bytes = self.cores[from].encode(version, &head, body);
        self.note(format!("request n{from} {to}"), &bytes);
        if stopped.contains(&other) {
            let actions = self.cores[from].on_liveness_result(self.now, to, address(other), None);
            return self.carry(from, actions, lost);
        }
        let Message { envelope: said, header: head, payload } =
            decode(&bytes, &self.authenticator, to, VersionRange::SUPPORTED).unwrap();
        self.cores[other].authenticate_request(self.now, &said, &head, address(from)).unwrap();
        let (body, actions) = self.cores[other].answer_liveness_check(&head, payload).unwrap();
        self.carry(other, actions, lost);
        let head = self.cores[other].header_for(&format!("n{from}"), MessageType::Response { id: 1 });
        let version = self.cores[other].response_version(&bytes);
        let answer = self.cores[other].encode(version, &head, &body);
        self.note(format!("answer {to} n{from}"), &answer);
        let message = decode(&answer, &self.authenticator, to, VersionRange::SUPPORTED).unwrap();
        let actions = self.cores[from].on_liveness_result(self.now, to, address(other), Some(&message));
        self.carry(from, actions, lost);
    }
}

fn none(_: usize, _: usize) -> bool {
    false
}

/// Joining, a member of version 1 that leaves and returns in a later incarnation and version, a suspicion that is refuted over a connection,
/// a member that goes down, and messages that are refused.
fn conversation(key: Option<&str>) -> Vec<(String, String)> {
    let mut world = World::new(key);
    world.play(1.6, &[], none);
    let actions = world.cores[2].leave(world.now);
    world.carry(2, actions, &none);
    world.play(2.0, &[2], none);
    world.cores[2] = core_at(2, 2, VersionRange::SUPPORTED, key, world.now);
    world.play(3.5, &[], none);
    world.play(7.5, &[], |from, _| from == 1);
    world.play(8.5, &[], none);
    let old = world.said.iter().rfind(|(label, _)| label.ends_with("datagram n1 n0")).unwrap().1.clone();
    let mut spoilt = unhex(&old);
    spoilt[40] ^= 1;
    for bytes in [unhex(&old), spoilt, vec![PROTOCOL_VERSION + 1; 200], vec![]] {
        let actions = world.cores[0].on_datagram(world.now, address(1), &bytes);
        world.carry(0, actions, &none);
    }
    world.play(9.0, &[], none);
    world.play(13.5, &[2], none);
    world.said
}

fn check_conversation(file: &str, key: Option<&str>) {
    let now = conversation(key);
    same(file, &now);
    let authenticator = Authenticator::new(key).unwrap();
    for (label, form) in lines(file) {
        let kind = label.split(' ').nth(1).unwrap();
        if ["datagram", "request", "answer"].contains(&kind) {
            let bytes = unhex(&form);
            let Message { envelope, header: head, payload } =
                decode(&bytes, &authenticator, "it", VersionRange::SUPPORTED).unwrap();
            assert_eq!(encode(&envelope, &head, payload, &authenticator), bytes, "{label}");
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
fn a_conversation_without_a_key_keeps_its_bytes() {
    check_conversation("conversation-open.txt", None);
}

#[test]
fn a_conversation_under_a_key_keeps_its_bytes() {
    check_conversation("conversation-sealed.txt", Some(KEY));
}

/// Head and body of the next request or response; None at the end.
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

/// An HTTP head without the values that differ each time, as bytes in hexadecimal: a replacement of names in the repository must not touch it.
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
fn requests_keep_their_http_head() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let there = listener.local_addr().unwrap();
    let (send, heads) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let send = send.clone();
            std::thread::spawn(move || {
                while let Some((head, body)) = read_http(&mut stream) {
                    let authenticator = Authenticator::new(None).unwrap();
                    let Message { envelope, header: asked, .. } =
                        decode(&body, &authenticator, "n1", VersionRange::SUPPORTED).unwrap();
                    let MessageType::Request { id, .. } = asked.message_type else { panic!("{asked:?}") };
                    send.send(head).unwrap();
                    let from =
                        PeerId { name: "n2".into(), incarnation: 1, renewals: 0, listen_address: there };
                    let message_type = MessageType::Response { id };
                    let answer = MessageHeader {
                        from,
                        to: "n1".into(),
                        issued_token: 0,
                        echoed_token: 0,
                        message_type,
                    };
                    let answer =
                        encode(&Envelope { sequence: 0, ..envelope }, &answer, b"yes", &authenticator);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", answer.len());
                    stream.write_all(&[head.as_bytes(), &answer].concat()).unwrap();
                }
            });
        }
    });
    let broker = run(bound(), options("n1", 1, &[("n2", there)]));
    let mut now = Vec::new();
    for kind in RequestKind::ALL {
        let id = broker.peers.request("n2", kind, b"body".to_vec(), 5.0).unwrap();
        assert_eq!(broker.response(id).unwrap(), b"yes");
        let head = heads.recv_timeout(PATIENCE).unwrap();
        assert!(head.contains(&format!("host: {there}\r\n")), "{head}");
        now.push((kind.path().to_string(), fixed(&head)));
    }
    same("requests.txt", &now);
}

#[test]
fn responses_keep_their_http_head_and_status() {
    let n2 = at("127.0.0.1:9");
    let broker = run(bound(), options("n1", 1, &[("n2", n2)]));
    let authenticator = Authenticator::new(None).unwrap();
    let from = PeerId { name: "n2".into(), incarnation: 1, renewals: 0, listen_address: n2 };
    let mut ends: Vec<(String, Result<Vec<u8>, RefusalReason>)> =
        vec![("answer".into(), Ok(b"yes".to_vec()))];
    ends.extend(refusals().into_iter().map(|(label, refused)| (label, Err(refused))));
    let mut now = Vec::new();
    for (label, end) in ends {
        let message_type = MessageType::Request { id: 3, kind: RequestKind::State.into(), timeout_ms: 5000 };
        let head = MessageHeader {
            from: from.clone(),
            to: "n1".into(),
            issued_token: 0,
            echoed_token: 0,
            message_type,
        };
        let envelope =
            Envelope { version: PROTOCOL_VERSION, supported: VersionRange::SUPPORTED, sequence: 0 };
        let body = encode(&envelope, &head, b"body", &authenticator);
        let mut stream = TcpStream::connect(broker.peers.local_addr()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let request = format!("POST /state HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(&[request.as_bytes(), &body].concat()).unwrap();
        let (.., responder) = broker.next_request();
        broker.peers.respond(responder, end.clone());
        let (head, body) = read_http(&mut stream).expect("a response");
        let Message { envelope: said, header: answered, payload } =
            decode(&body, &authenticator, "n1", VersionRange::SUPPORTED).unwrap();
        assert_eq!(
            (said.version, said.supported, said.sequence),
            (PROTOCOL_VERSION, VersionRange::SUPPORTED, 0),
            "{label}"
        );
        let (about, want) = match end {
            Ok(body) => (MessageType::Response { id: 3 }, body),
            Err(why) => (MessageType::Refusal { id: 3 }, postcard::to_stdvec(&why).unwrap()),
        };
        assert_eq!((answered.message_type, answered.issued_token, payload), (about, 0, &want[..]), "{label}");
        now.push((label, fixed(&head)));
    }
    same("answers.txt", &now);
}
