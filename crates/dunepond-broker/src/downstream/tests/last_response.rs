//! What stands in the stream behind a response that ends its connection is no request, whether earlier responses wait for the
//! client or not.

use rstest::rstest;

use super::*;
use crate::body::Body;
use crate::http::HttpError;

/// The system's buffers for both directions of a connection in these tests, in bytes; small, so that responses wait.
const SOCKET_BUFFER_BYTES: usize = 4096;
/// Length of a response that waits for its client: more than the system's buffers hold, and less than keeps the next requests
/// from being parsed.
const WAITING_RESPONSE_BYTES: usize = 40_000;
/// Longest time in which the client gets its responses.
const MAX_DELIVERY: Duration = Duration::from_secs(10);
/// Longest pause of the client in which the broker reads what it has sent.
const PAUSE: Duration = Duration::from_millis(5);

/// How the broker ends a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    UnreadableHead,
    LongHead,
    UnknownEncoding,
    LengthBesideEncoding,
    BodyTooLong,
    BadChunk,
    LongChunk,
    ClientCloses,
    OldVersion,
    Shutdown,
    StreamedHead,
    StreamedBody,
    StreamedBodyInFlight,
    StreamedChunk,
}

impl Ending {
    /// Returns the bytes of the last request that the broker answers.
    fn last_request(self) -> String {
        let post = "POST /find HTTP/1.1\r\nX-Call-Id: last\r\nX-Budget: 2.0\r\n";
        let streamed = format!("{post}X-Buckets: 0=1.0\r\n");
        match self {
            Self::UnreadableHead => "GET /ready HTTP/7.0\r\n\r\n".to_string(),
            Self::LongHead => format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000)),
            Self::UnknownEncoding => format!("{post}Transfer-Encoding: gzip\r\n\r\n"),
            Self::LengthBesideEncoding => {
                format!("{post}Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
            }
            Self::BodyTooLong => format!("{post}Content-Length: 9000000\r\n\r\n"),
            Self::BadChunk => format!("{post}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
            Self::LongChunk => format!("{post}Transfer-Encoding: chunked\r\n\r\n5\r\n{{\"buc"),
            Self::ClientCloses => query(1).replacen("\r\n", "\r\nConnection: close\r\n", 1),
            Self::OldVersion => query(1).replacen("HTTP/1.1", "HTTP/1.0", 1),
            Self::Shutdown => query(1),
            Self::StreamedHead => {
                format!("{streamed}Content-Length: 9000000\r\n\r\n").replacen("/find", "/none", 1)
            }
            Self::StreamedBody | Self::StreamedBodyInFlight => {
                format!("{streamed}Content-Length: 9000000\r\n\r\n")
            }
            Self::StreamedChunk => format!("{streamed}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        }
    }

    /// Returns the status of the last response.
    fn status(self) -> u16 {
        match self {
            Self::UnreadableHead | Self::LengthBesideEncoding | Self::BadChunk => 400,
            Self::LongChunk | Self::StreamedChunk => 400,
            Self::LongHead => 431,
            Self::UnknownEncoding => 501,
            Self::BodyTooLong => 413,
            Self::StreamedHead => 404,
            Self::StreamedBody => 503,
            Self::ClientCloses | Self::OldVersion | Self::Shutdown | Self::StreamedBodyInFlight => 200,
        }
    }
}

/// A client that reads slowly, and what the broker has taken for its requests.
struct SlowClient {
    fixture: Fixture,
    stream: TcpStream,
    id: usize,
    /// The ids of the queries that were read.
    queries: Vec<String>,
}

impl SlowClient {
    /// Connects a client at `port`.
    fn connect(port: Port) -> Self {
        let LoopParts { poller, pools, timers, unfinished_turns } = LoopParts::new();
        let listeners = Port::ALL.map(|_| {
            let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
            socket2::SockRef::from(&listener).set_send_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
            listener
        });
        let addresses = listeners.each_ref().map(|listener| listener.local_addr().unwrap());
        let [queries, search_api] = listeners;
        let settings = Rc::new(host_settings());
        let mut downstream =
            Downstream::new(poller.handle(), &pools.clients, settings, 8, queries, &unfinished_turns)
                .unwrap();
        downstream.add_listener(search_api, Port::SearchApi).unwrap();
        downstream.has_endpoints = true;
        downstream.accepts_streamed = true;
        let address = addresses[Port::ALL.iter().position(|of| *of == port).unwrap()];
        let mut fixture = Fixture { downstream, timers, unfinished_turns, address, _poller: poller };
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
        socket.connect(&address.into()).unwrap();
        let stream: TcpStream = socket.into();
        stream.set_read_timeout(Some(PAUSE)).unwrap();
        stream.set_nodelay(true).unwrap();
        fixture.downstream.accept(NOW, port, &mut fixture.timers);
        let id = fixture.downstream.connections.iter().map(|(id, _)| id).max().unwrap();
        Self { fixture, stream, id, queries: Vec::new() }
    }

    /// Has the broker answer a query with a response that waits for the client.
    fn leave_response_waiting(&mut self) {
        self.send(&query(0));
        self.take_turns();
        assert_eq!(std::mem::take(&mut self.queries), ["c0"]);
        let body = "x".repeat(WAITING_RESPONSE_BYTES);
        self.fixture.downstream.reply(NOW, self.id, 200, &body, 0.0, &mut self.fixture.timers);
        let waiting = self.fixture.downstream.unread_bytes();
        assert!((1..BUFFER_BYTES).contains(&waiting), "{waiting} bytes wait");
    }

    fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }

    /// Gives the client turns until nothing that it has sent is left, and notes the queries that are read.
    fn take_turns(&mut self) {
        let Self { fixture, id, .. } = self;
        let Fixture { downstream, timers, unfinished_turns, .. } = fixture;
        downstream.on_ready(NOW, *id, true, timers);
        downstream.clients_to_read.push(*id);
        loop {
            let queued = downstream.clients_to_read.pop().or_else(|| {
                unfinished_turns.pop()?;
                downstream.on_ready(NOW, *id, true, timers);
                Some(*id)
            });
            let Some(queued) = queued else { break };
            match downstream.next_event(NOW, queued, timers) {
                ClientEvent::Query(request) => self.queries.push(request.request_id),
                ClientEvent::StreamedQuery(request, head) => {
                    self.queries.push(request.request_id.clone());
                    let body = Body::new(1, head.declared_length(), None, &Rc::default());
                    downstream.receive_body(NOW, queued, request, *head, &body, timers);
                }
                _ => {}
            }
        }
        // Reading may be paused for a moment.
        downstream.resume_reading(*id);
    }

    /// Answers the last request, unless the broker answers it by itself, as it is unreadable.
    fn answer_last(&mut self, ending: Ending) {
        let Fixture { downstream, timers, .. } = &mut self.fixture;
        match ending {
            Ending::ClientCloses | Ending::OldVersion | Ending::Shutdown => {
                downstream.reply(NOW, self.id, 200, "{}", 0.0, timers);
            }
            Ending::StreamedBody => {
                let reason = HttpError::new(503, "body: no room");
                downstream.fail_body(NOW, self.id, 1, reason, 1.0, timers);
            }
            Ending::StreamedBodyInFlight => {
                assert!(downstream.start_query(self.id, 1, timers).is_some());
                downstream.assign_query(self.id, 7);
                downstream.reply(NOW, self.id, 200, "{}", 0.0, timers);
            }
            _ => return,
        }
        assert_eq!(self.queries.len(), 1, "the last request was not read");
        self.queries.clear();
    }

    /// Reads until the end of the stream, slowly, and returns the statuses of the responses and what the last one says of the
    /// connection.
    fn read_responses(&mut self) -> (Vec<u16>, bool) {
        let (began_at, mut received) = (Instant::now(), Vec::new());
        let mut bytes = [0; 1024];
        loop {
            assert!(began_at.elapsed() < MAX_DELIVERY, "no end after {} bytes", received.len());
            match self.stream.read(&mut bytes) {
                Ok(0) => break,
                Ok(count) => received.extend_from_slice(&bytes[..count]),
                Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock, "after {}", received.len()),
            }
            self.take_turns();
        }
        let text = String::from_utf8(received).unwrap();
        let responses: Vec<_> = text.split("HTTP/1.1 ").skip(1).collect();
        let closes = responses.last().is_some_and(|last| last.contains("Connection: close\r\n"));
        (responses.iter().map(|response| response[..3].parse().unwrap()).collect(), closes)
    }
}

/// Guards against requests that nobody has sent: while earlier responses waited for the client, what stood behind an unreadable
/// request was run.
#[rstest]
fn nothing_behind_the_last_response_is_a_request(
    #[values(
        Ending::UnreadableHead,
        Ending::LongHead,
        Ending::UnknownEncoding,
        Ending::LengthBesideEncoding,
        Ending::BodyTooLong,
        Ending::BadChunk,
        Ending::LongChunk,
        Ending::ClientCloses,
        Ending::OldVersion,
        Ending::Shutdown,
        Ending::StreamedHead,
        Ending::StreamedBody,
        Ending::StreamedBodyInFlight,
        Ending::StreamedChunk
    )]
    ending: Ending,
    #[values(false, true)] responses_wait: bool,
    #[values(Port::Queries, Port::SearchApi)] port: Port,
) {
    let is_streamed = ending.last_request().contains("X-Buckets");
    if is_streamed && port == Port::SearchApi {
        return; // The search API has no streamed bodies.
    }
    let mut client = SlowClient::connect(port);
    if responses_wait {
        client.leave_response_waiting();
    }
    if ending == Ending::Shutdown {
        client.fixture.downstream.close_after_responses();
    }
    client.send(&ending.last_request());
    let is_read_whole = matches!(ending, Ending::ClientCloses | Ending::OldVersion | Ending::Shutdown);
    if is_read_whole {
        client.take_turns();
        client.answer_last(ending);
        client.send(&query(2));
    } else {
        client.send(&query(2));
        client.take_turns();
        client.answer_last(ending);
    }
    client.take_turns();
    client.send(&query(3));
    client.take_turns();
    let (statuses, closes) = client.read_responses();
    let waiting: &[u16] = if responses_wait { &[200] } else { &[] };
    assert_eq!((statuses, closes), ([waiting, &[ending.status()]].concat(), true));
    // The head of a streamed request is read before its body turns out to be unreadable.
    let queries: &[&str] = if ending == Ending::StreamedChunk { &["last"] } else { &[] };
    assert_eq!(client.queries, queries);
}

/// Guards against requests that nobody has sent: the rest of a request that came after its 408 would be read as the next one.
#[test]
fn rest_of_a_request_behind_its_timeout_is_no_request() {
    let mut client = SlowClient::connect(Port::Queries);
    client.send("POST /find HTTP/1.1\r\nContent-Length: 9000\r\n\r\n");
    client.take_turns();
    let Fixture { downstream, timers, .. } = &mut client.fixture;
    assert_eq!(downstream.on_timeout(NOW, client.id, timers), None);
    client.send(&query(1));
    client.take_turns();
    assert_eq!(client.read_responses(), (vec![408], true));
    assert_eq!(client.queries, [""; 0]);
}

/// A query whose connection has been answered for good gets no second response.
#[test]
fn last_response_is_the_only_one() {
    let mut client = SlowClient::connect(Port::Queries);
    client.leave_response_waiting();
    client.send(&Ending::LongChunk.last_request());
    client.send(&query(1));
    client.take_turns();
    let Fixture { downstream, timers, .. } = &mut client.fixture;
    assert!(downstream.connections[client.id].phase.is_ending());
    downstream.assign_query(client.id, 7);
    downstream.reply(NOW, client.id, 200, "{}", 0.0, timers);
    assert_eq!(client.read_responses(), (vec![200, 400], true));
}
