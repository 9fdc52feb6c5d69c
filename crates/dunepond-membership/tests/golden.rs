//! The wire format, byte by byte. The files under `data/golden` record what released brokers write and read. A change
//! of these files is a change of the protocol, which needs a new protocol version.

mod fleet;
use dunepond_membership::{
    Actions, Authenticator, Core, Counters, Envelope, Event, KindCode, MembershipOptions, Message,
    MessageHeader, MessageType, PROTOCOL_VERSION, Peer, PeerId, PeerState, RefusalReason, RequestKind,
    VersionRange, decode, encode, peek_version,
};
use fleet::{TEST_TIMEOUT, bind_free_port, options, start_broker};
use serde::{Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Debug;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

const KEY: &str = "a key of the golden files";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "{text}");
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Reads the labels and encodings from a golden file, whose lines each consist of a label, a space and an encoding.
fn golden_lines(file: &str) -> Vec<(String, String)> {
    let path = format!("{}/tests/data/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{path}: {error}"));
    text.lines()
        .map(|line| line.rsplit_once(' ').unwrap_or_else(|| panic!("{path}: {line:?}")))
        .map(|(label, encoding)| (label.into(), encoding.into()))
        .collect()
}

/// Asserts that the labels and encodings in `actual` equal those of a golden file. They are compared line by line, so
/// that a failure shows the first difference.
fn assert_matches_golden(file: &str, actual: &[(String, String)]) {
    let golden = golden_lines(file);
    for (golden, actual) in golden.iter().zip(actual) {
        assert_eq!(golden, actual, "{file}");
    }
    assert_eq!(golden.len(), actual.len(), "{file}");
}

/// Asserts that `postcard` encodes each labelled value as in a golden file, and decodes the encodings in the file to
/// the same values.
fn assert_postcard_matches_golden<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    file: &str,
    values: &[(String, T)],
) {
    let actual: Vec<(String, String)> = values
        .iter()
        .map(|(label, value)| (label.clone(), hex(&postcard::to_stdvec(value).unwrap())))
        .collect();
    assert_matches_golden(file, &actual);
    for ((_, encoding), (label, value)) in golden_lines(file).iter().zip(values) {
        let decoded: T = postcard::from_bytes(&from_hex(encoding)).unwrap();
        assert_eq!(&decoded, value, "{label}");
    }
}

fn socket_address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// Returns identities, labelled with name, incarnation and renewals.
fn ids() -> Vec<(String, PeerId)> {
    let id = |name: &str, incarnation, renewals, listen_address: &str| {
        let id = PeerId {
            name: name.into(),
            incarnation,
            renewals,
            listen_address: socket_address(listen_address),
        };
        (format!("{name}/{incarnation}/{renewals}"), id)
    };
    vec![
        id("n1", 1, 0, "127.0.0.1:7001"),
        id("broker-2.example:80", 300, 2, "192.0.2.7:65535"),
        id("x", u64::MAX, u32::MAX, "[2001:db8::1]:80"),
    ]
}

/// Returns message types and payloads, with the labels that the golden files use for them.
fn labelled_message_types() -> Vec<(&'static str, MessageType, Vec<u8>)> {
    let request =
        |kind: RequestKind| MessageType::Request { id: 1 << 62, kind: kind.into(), timeout_ms: 1500 };
    let unknown_kind = MessageType::Request { id: 7, kind: KindCode(99), timeout_ms: u32::MAX };
    let refusal = |reason: RefusalReason| postcard::to_stdvec(&reason).unwrap();
    let mut message_types = vec![
        ("members", MessageType::Gossip, b"what the library says".to_vec()),
        ("answer", MessageType::Response { id: 300 }, b"yes".to_vec()),
        ("answer-empty", MessageType::Response { id: 0 }, vec![]),
        ("refused", MessageType::Refusal { id: 5 }, refusal(RefusalReason::Busy)),
        (
            "refused-datagram",
            MessageType::Refusal { id: 0 },
            refusal(RefusalReason::WrongRecipient { name: "n1".into() }),
        ),
        ("greeting", MessageType::Hello, vec![]),
        ("ask-unknown", unknown_kind, vec![0, 1, 2, 255]),
    ];
    for (label, kind) in
        ["raft", "lease", "propose", "counts", "fill", "state", "sign", "moves"].iter().zip(RequestKind::ALL)
    {
        message_types.push((label, request(kind), label.as_bytes().to_vec()));
    }
    message_types
}

/// A message to encode, with its label in the golden files.
struct LabelledMessage {
    label: String,
    envelope: Envelope,
    header: MessageHeader,
    payload: Vec<u8>,
    authenticator: Authenticator,
}

/// Returns messages of all types, with and without address tokens, in several versions, with and without a key.
fn messages() -> Vec<LabelledMessage> {
    let version_2 = Envelope { version: PROTOCOL_VERSION, supported: VersionRange::SUPPORTED, sequence: 129 };
    let newer_sender = Envelope {
        version: PROTOCOL_VERSION,
        supported: VersionRange { min: 2, max: 200 },
        sequence: u64::MAX,
    };
    let envelopes = [("first", Envelope::VERSION_1), ("second", version_2), ("newer", newer_sender)];
    let mut messages = Vec::new();
    for (key_label, key) in [("open", None), ("sealed", Some(KEY))] {
        for (envelope_label, envelope) in envelopes {
            for (type_label, message_type, payload) in labelled_message_types() {
                for (token_label, issued_token, echoed_token) in [("none", 0, 0), ("passes", 1, u64::MAX)] {
                    let from = ids()[1].1.clone();
                    let header = MessageHeader {
                        from,
                        to: "n1".into(),
                        issued_token,
                        echoed_token,
                        message_type: message_type.clone(),
                    };
                    let label = format!("{key_label} {envelope_label} {type_label} {token_label}");
                    let authenticator = Authenticator::new(key).unwrap();
                    let payload = payload.clone();
                    messages.push(LabelledMessage { label, envelope, header, payload, authenticator });
                }
            }
        }
    }
    messages
}

#[test]
fn ids_and_members_keep_their_encoding() {
    assert_postcard_matches_golden("ids.txt", &ids());
    let states = [("here", PeerState::Alive), ("suspected", PeerState::Suspected), ("gone", PeerState::Down)];
    let peers: Vec<(String, Peer)> = states
        .into_iter()
        .zip(ids())
        .map(|((label, state), (_, id))| {
            let (name, incarnation, listen_address) = (id.name, id.incarnation, id.listen_address);
            (label.to_string(), Peer { name, incarnation, listen_address, state })
        })
        .collect();
    assert_postcard_matches_golden("members.txt", &peers);
}

#[test]
fn request_kinds_keep_number_path_and_version() {
    let actual: Vec<(String, String)> = RequestKind::ALL
        .into_iter()
        .map(|kind| {
            let code = KindCode::from(kind);
            assert_eq!((code.kind(), RequestKind::from_path(kind.path())), (Some(kind), Some(kind)));
            let encodings = [postcard::to_stdvec(&kind).unwrap(), postcard::to_stdvec(&code).unwrap()];
            let label = format!("{} {}", kind.path(), kind.min_version());
            (label, encodings.map(|encoding| hex(&encoding)).join("-"))
        })
        .collect();
    assert_matches_golden("kinds.txt", &actual);
    assert_eq!(KindCode(8).kind(), None);
}

#[test]
fn headers_keep_their_encoding() {
    let headers: Vec<(String, MessageHeader)> = messages()
        .into_iter()
        .filter(|message| message.label.starts_with("open first"))
        .map(|message| (message.label["open first ".len()..].to_string(), message.header))
        .collect();
    assert_postcard_matches_golden("heads.txt", &headers);
}

#[test]
fn messages_keep_their_encoding() {
    let encoded = |message: &LabelledMessage| {
        hex(&encode(&message.envelope, &message.header, &message.payload, &message.authenticator))
    };
    let actual: Vec<(String, String)> =
        messages().iter().map(|message| (message.label.clone(), encoded(message))).collect();
    assert_matches_golden("messages.txt", &actual);
    for ((label, encoding), message) in golden_lines("messages.txt").iter().zip(messages()) {
        let bytes = from_hex(encoding);
        let Message { envelope, header, payload } =
            decode(&bytes, &message.authenticator, "n1", VersionRange::SUPPORTED).unwrap();
        assert_eq!(
            (envelope, &header, payload),
            (message.envelope, &message.header, &message.payload[..]),
            "{label}"
        );
        assert_eq!(encode(&envelope, &header, payload, &message.authenticator), bytes, "{label}");
        assert_eq!(peek_version(&bytes), Some((envelope.version, envelope.supported)), "{label}");
    }
}

/// Returns all refusal reasons, with the labels that the golden files use for them.
fn refusals() -> Vec<(String, RefusalReason)> {
    let name = || "n1".to_string();
    let range = |min, max| VersionRange { min, max };
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
        ("versions", RefusalReason::UnsupportedVersion { stated: range(1, 2), supported: range(3, 200) }),
        ("kind", RefusalReason::UnknownKind { kind: 99 }),
        ("pass", RefusalReason::InvalidToken),
        ("old", RefusalReason::Replayed),
    ]
    .map(|(label, reason)| (label.to_string(), reason))
    .into()
}

#[test]
fn refusals_keep_their_encoding_in_each_version() {
    assert_postcard_matches_golden("refusals.txt", &refusals());
    let in_version_1: Vec<(String, RefusalReason)> =
        refusals().into_iter().map(|(label, reason)| (label, reason.for_version(1))).collect();
    assert_postcard_matches_golden("refusals-first.txt", &in_version_1);
    let in_version_2: Vec<(String, RefusalReason)> =
        refusals().into_iter().map(|(label, reason)| (label, reason.for_version(2))).collect();
    assert_eq!(in_version_2, refusals());
}

#[test]
fn counters_keep_their_printed_names() {
    let names = Counters::default().list().into_iter();
    assert_matches_golden(
        "counters.txt",
        &names.map(|(name, count)| (name.to_string(), count.to_string())).collect::<Vec<_>>(),
    );
}

/// Three cores on a simulated network that records every message, membership change and error.
struct SimulatedNetwork {
    /// Simulated time, in seconds.
    now: f64,
    cores: Vec<Core>,
    authenticator: Authenticator,
    /// Datagrams in flight: time of arrival, sender, receiver, bytes.
    in_flight: VecDeque<(f64, usize, usize, Vec<u8>)>,
    /// Labels and encodings of all messages, membership changes and errors so far, as in the golden files.
    recorded: Vec<(String, String)>,
}

fn new_core(number: usize, incarnation: u64, versions: VersionRange, key: Option<&str>, now: f64) -> Core {
    let known_peers =
        (0..3).map(|other| (format!("n{other}"), SocketAddr::from(([127, 0, 0, 1], 7000 + other)))).collect();
    let listen_address = SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16));
    let mut options = MembershipOptions::new(
        &format!("n{number}"),
        incarnation,
        listen_address,
        known_peers,
        number as u64,
    );
    (options.key, options.supported_versions) = (key.map(String::from), versions);
    Core::new(&options, [number as u8 + 10 * incarnation as u8; 32], now).unwrap()
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + number as u16))
}

impl SimulatedNetwork {
    fn new(key: Option<&str>) -> SimulatedNetwork {
        let versions = [VersionRange::SUPPORTED, VersionRange::SUPPORTED, VersionRange::exactly(1)];
        let cores = versions
            .iter()
            .enumerate()
            .map(|(number, range)| new_core(number, 1, *range, key, 0.0))
            .collect();
        SimulatedNetwork {
            now: 0.0,
            cores,
            authenticator: Authenticator::new(key).unwrap(),
            in_flight: VecDeque::new(),
            recorded: Vec::new(),
        }
    }

    fn record(&mut self, label: String, bytes: &[u8]) {
        let encoding = if bytes.is_empty() { "-".into() } else { hex(bytes) };
        self.recorded.push((format!("{:.2} {label}", self.now), encoding));
    }

    /// Records the actions of core `from`, and sends its datagrams except those for whose sender and receiver `lost`
    /// returns true.
    fn deliver(&mut self, from: usize, actions: Actions, lost: &impl Fn(usize, usize) -> bool) {
        for (to, bytes) in actions.datagrams {
            let to = usize::from(to.port()) - 7000;
            self.record(format!("datagram n{from} n{to}"), &bytes);
            if !lost(from, to) {
                self.in_flight.push_back((self.now + 0.01, from, to, bytes));
            }
        }
        for change in actions.changes {
            let label = match change {
                Event::PeerUp(peer) => format!("here {} {}", peer.name, peer.incarnation),
                Event::PeerSuspected(name) => format!("suspected {name}"),
                Event::PeerDown(name) => format!("gone {name}"),
                other => panic!("{other:?} is not a membership change"),
            };
            self.record(format!("member n{from} {label}"), &[]);
        }
        if let Some(error) = actions.error {
            let refusal =
                error.refusal("n9").map(|reason| postcard::to_stdvec(&reason).unwrap()).unwrap_or_default();
            self.record(format!("fault n{from}"), &refusal);
        }
    }

    /// Runs all cores except those in `stopped` until the simulated time `end`, in steps of 10 ms.
    fn run_until(&mut self, end: f64, stopped: &[usize], lost: impl Fn(usize, usize) -> bool) {
        while self.now < end {
            self.now += 0.01;
            let mut received: BTreeMap<usize, Vec<(usize, Vec<u8>)>> = BTreeMap::new();
            while self.in_flight.front().is_some_and(|next| next.0 <= self.now) {
                let (_, from, to, bytes) = self.in_flight.pop_front().unwrap();
                received.entry(to).or_default().push((from, bytes));
            }
            for number in (0..self.cores.len()).filter(|number| !stopped.contains(number)) {
                for (from, bytes) in received.remove(&number).unwrap_or_default() {
                    let actions = self.cores[number].on_datagram(self.now, address(from), &bytes);
                    self.deliver(number, actions, &lost);
                }
                let actions = self.cores[number].tick(self.now);
                self.deliver(number, actions, &lost);
                for check in self.cores[number].due_liveness_checks() {
                    self.check_liveness(number, &check.to, &check.body, stopped, &lost);
                }
            }
        }
    }

    /// Carries out a liveness check. The request and the response are encoded and decoded, as they are on a real
    /// connection.
    fn check_liveness(
        &mut self,
        from: usize,
        to: &str,
        body: &[u8],
        stopped: &[usize],
        lost: &impl Fn(usize, usize) -> bool,
    ) {
        let receiver: usize = to[1..].parse().unwrap();
        let message_type =
            MessageType::Request { id: 1, kind: RequestKind::LivenessCheck.into(), timeout_ms: 100 };
        let header = self.cores[from].header_for(to, message_type);
        let version = self.cores[from].version_for(to);
        let bytes = self.cores[from].encode(version, &header, body);
        self.record(format!("request n{from} {to}"), &bytes);
        if stopped.contains(&receiver) {
            let actions = self.cores[from].on_liveness_result(self.now, to, address(receiver), None);
            return self.deliver(from, actions, lost);
        }
        let Message { envelope, header, payload } =
            decode(&bytes, &self.authenticator, to, VersionRange::SUPPORTED).unwrap();
        self.cores[receiver].authenticate_request(self.now, &envelope, &header, address(from)).unwrap();
        let (body, actions) = self.cores[receiver].answer_liveness_check(&header, payload).unwrap();
        self.deliver(receiver, actions, lost);
        let header = self.cores[receiver].header_for(&format!("n{from}"), MessageType::Response { id: 1 });
        let version = self.cores[receiver].response_version(&bytes);
        let response = self.cores[receiver].encode(version, &header, &body);
        self.record(format!("answer {to} n{from}"), &response);
        let message = decode(&response, &self.authenticator, to, VersionRange::SUPPORTED).unwrap();
        let actions = self.cores[from].on_liveness_result(self.now, to, address(receiver), Some(&message));
        self.deliver(from, actions, lost);
    }
}

fn no_loss(_: usize, _: usize) -> bool {
    false
}

/// Runs a conversation of three simulated brokers, which covers joining, a member of version 1 that leaves and returns
/// in a later incarnation and version, a suspicion that is refuted over a connection, refused messages, and a member
/// that goes down. Returns the recorded labels and encodings.
fn conversation(key: Option<&str>) -> Vec<(String, String)> {
    let mut network = SimulatedNetwork::new(key);
    network.run_until(1.6, &[], no_loss);
    let actions = network.cores[2].leave(network.now);
    network.deliver(2, actions, &no_loss);
    network.run_until(2.0, &[2], no_loss);
    network.cores[2] = new_core(2, 2, VersionRange::SUPPORTED, key, network.now);
    network.run_until(3.5, &[], no_loss);
    network.run_until(7.5, &[], |from, _| from == 1);
    network.run_until(8.5, &[], no_loss);
    let replayed =
        network.recorded.iter().rfind(|(label, _)| label.ends_with("datagram n1 n0")).unwrap().1.clone();
    let mut corrupted = from_hex(&replayed);
    corrupted[40] ^= 1;
    for bytes in [from_hex(&replayed), corrupted, vec![PROTOCOL_VERSION + 1; 200], vec![]] {
        let actions = network.cores[0].on_datagram(network.now, address(1), &bytes);
        network.deliver(0, actions, &no_loss);
    }
    network.run_until(9.0, &[], no_loss);
    network.run_until(13.5, &[2], no_loss);
    network.recorded
}

/// Asserts that the conversation equals the golden file, that each message in the file is encoded to the same bytes
/// after it was decoded, and that the conversation contains enough entries of each kind.
fn check_conversation(file: &str, key: Option<&str>) {
    let actual = conversation(key);
    assert_matches_golden(file, &actual);
    let authenticator = Authenticator::new(key).unwrap();
    for (label, encoding) in golden_lines(file) {
        let kind = label.split(' ').nth(1).unwrap();
        if ["datagram", "request", "answer"].contains(&kind) {
            let bytes = from_hex(&encoding);
            let Message { envelope, header, payload } =
                decode(&bytes, &authenticator, "it", VersionRange::SUPPORTED).unwrap();
            assert_eq!(encode(&envelope, &header, payload, &authenticator), bytes, "{label}");
        }
    }
    for (kind, min_count) in [
        ("datagram", 40),
        ("request", 1),
        ("answer", 1),
        ("here", 4),
        ("suspected", 1),
        ("gone", 2),
        ("fault", 4),
    ] {
        let count = actual.iter().filter(|(label, _)| label.split(' ').any(|word| word == kind)).count();
        assert!(count >= min_count, "{kind}: {count}");
    }
}

#[test]
fn conversation_without_key_keeps_its_encoding() {
    check_conversation("conversation-open.txt", None);
}

#[test]
fn conversation_with_key_keeps_its_encoding() {
    check_conversation("conversation-sealed.txt", Some(KEY));
}

/// Reads the head and the body of the next HTTP request or response; returns `None` at the end of the stream.
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

/// Returns an HTTP head in hexadecimal, without the values that vary between runs. Hexadecimal is used so that text
/// replacements across the repository do not change the golden files.
fn normalized_head(head: &str) -> String {
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
    let address = listener.local_addr().unwrap();
    let (head_sender, heads) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let head_sender = head_sender.clone();
            std::thread::spawn(move || {
                while let Some((head, body)) = read_http(&mut stream) {
                    let authenticator = Authenticator::new(None).unwrap();
                    let Message { envelope, header: request, .. } =
                        decode(&body, &authenticator, "n1", VersionRange::SUPPORTED).unwrap();
                    let MessageType::Request { id, .. } = request.message_type else { panic!("{request:?}") };
                    head_sender.send(head).unwrap();
                    let from =
                        PeerId { name: "n2".into(), incarnation: 1, renewals: 0, listen_address: address };
                    let message_type = MessageType::Response { id };
                    let header = MessageHeader {
                        from,
                        to: "n1".into(),
                        issued_token: 0,
                        echoed_token: 0,
                        message_type,
                    };
                    let response =
                        encode(&Envelope { sequence: 0, ..envelope }, &header, b"yes", &authenticator);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", response.len());
                    stream.write_all(&[head.as_bytes(), &response].concat()).unwrap();
                }
            });
        }
    });
    let broker = start_broker(bind_free_port(), options("n1", 1, &[("n2", address)]));
    let mut actual = Vec::new();
    for kind in RequestKind::ALL {
        let id = broker.peers.request("n2", kind, b"body".to_vec(), 5.0).unwrap();
        assert_eq!(broker.wait_for_response(id).unwrap(), b"yes");
        let head = heads.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(head.contains(&format!("host: {address}\r\n")), "{head}");
        actual.push((kind.path().to_string(), normalized_head(&head)));
    }
    assert_matches_golden("requests.txt", &actual);
}

#[test]
fn responses_keep_their_http_head_and_status() {
    let n2 = socket_address("127.0.0.1:9");
    let broker = start_broker(bind_free_port(), options("n1", 1, &[("n2", n2)]));
    let authenticator = Authenticator::new(None).unwrap();
    let from = PeerId { name: "n2".into(), incarnation: 1, renewals: 0, listen_address: n2 };
    let mut results: Vec<(String, Result<Vec<u8>, RefusalReason>)> =
        vec![("answer".into(), Ok(b"yes".to_vec()))];
    results.extend(refusals().into_iter().map(|(label, reason)| (label, Err(reason))));
    let mut actual = Vec::new();
    for (label, result) in results {
        let message_type =
            MessageType::Request { id: 3, kind: RequestKind::LeaseReply.into(), timeout_ms: 5000 };
        let header = MessageHeader {
            from: from.clone(),
            to: "n1".into(),
            issued_token: 0,
            echoed_token: 0,
            message_type,
        };
        let envelope =
            Envelope { version: PROTOCOL_VERSION, supported: VersionRange::SUPPORTED, sequence: 0 };
        let body = encode(&envelope, &header, b"body", &authenticator);
        let mut stream = TcpStream::connect(broker.peers.local_addr()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let request = format!("POST /state HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(&[request.as_bytes(), &body].concat()).unwrap();
        let (.., responder) = broker.next_request();
        broker.peers.respond(responder, result.clone());
        let (head, body) = read_http(&mut stream).expect("the broker sends a response");
        let Message { envelope, header, payload } =
            decode(&body, &authenticator, "n1", VersionRange::SUPPORTED).unwrap();
        assert_eq!(
            (envelope.version, envelope.supported, envelope.sequence),
            (PROTOCOL_VERSION, VersionRange::SUPPORTED, 0),
            "{label}"
        );
        let (message_type, expected_payload) = match result {
            Ok(body) => (MessageType::Response { id: 3 }, body),
            Err(reason) => (MessageType::Refusal { id: 3 }, postcard::to_stdvec(&reason).unwrap()),
        };
        assert_eq!(
            (header.message_type, header.issued_token, payload),
            (message_type, 0, &expected_payload[..]),
            "{label}"
        );
        actual.push((label, normalized_head(&head)));
    }
    assert_matches_golden("answers.txt", &actual);
}
