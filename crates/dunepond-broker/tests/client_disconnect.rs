//! How long a disconnect check of a client is valid when an attempt is sent for it, and what invalidates the check at once.

use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use dunepond_broker::buffers::{BUFFER_BYTES, Pool};
use dunepond_broker::clock::Timers;
use dunepond_broker::downstream::{ClientEvent, Downstream, listen};
use dunepond_broker::iteration::{Iteration, LoopEvent, Port};
use dunepond_broker::read_turn::UnfinishedTurns;
use dunepond_config::{Fields, host_settings};
use dunepond_testkit::stand_ins::{Client, query_request, settings};

/// Longest wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// The client side of a broker without its router; the test handles the readiness events.
struct Harness {
    event_loop: EventLoop<'static, Iteration>,
    clients: Downstream,
    timers: Timers,
    /// The clients that get a further turn.
    unfinished_turns: UnfinishedTurns,
    address: SocketAddr,
    client: Client,
    id: usize,
}

impl Harness {
    /// Creates a harness with one client whose query has been in flight since `now`, in seconds.
    fn with_query(now: f64) -> Self {
        Self::with_max_clients(64, now)
    }

    /// Creates a harness with this maximum number of client connections, and one client whose query has been in
    /// flight since `now`, in seconds.
    fn with_max_clients(max_clients: usize, now: f64) -> Self {
        let mut event_loop = EventLoop::try_new().unwrap();
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let client = Client::connect_to(address);
        let (settings, mut timers) = (settings(), Timers::default());
        let bounds = Rc::new(host_settings(&Fields::new("settings", &settings).unwrap()).unwrap());
        let unfinished_turns = UnfinishedTurns::default();
        let mut clients = Downstream::new(
            event_loop.handle(),
            &Pool::with_limit(64 * BUFFER_BYTES),
            bounds,
            max_clients,
            listener,
            &unfinished_turns,
        )
        .unwrap();
        event_loop.dispatch(EVENT_TIMEOUT, &mut Iteration::default()).unwrap();
        clients.accept(now, Port::Queries, &mut timers);
        let Some(LoopEvent::ClientReady(id, true)) = unfinished_turns.pop() else { panic!("not accepted") };
        let mut harness = Self { event_loop, clients, timers, unfinished_turns, address, client, id };
        harness.send(&query_request("find", "c1", &[1], "2.0"));
        assert!(matches!(harness.clients.next_event(now, id, &mut harness.timers), ClientEvent::Query(_)));
        harness.clients.assign_query(id, 7);
        harness
    }

    /// Sends bytes from the client and waits for the readiness event.
    fn send(&mut self, bytes: &str) {
        self.client.send(bytes);
        self.wait_readable();
    }

    /// Shuts the client's connection down and waits for the readiness event.
    fn disconnect(&mut self) {
        self.client.stream.shutdown(Shutdown::Both).unwrap();
        self.wait_readable();
    }

    /// Waits for a client's readiness event, without handling it.
    fn wait_readable(&mut self) {
        let (mut iteration, start) = (Iteration::default(), Instant::now());
        while !iteration.events.iter().any(|ready| matches!(ready, LoopEvent::ClientReady(_, true))) {
            self.event_loop.dispatch(EVENT_TIMEOUT, &mut iteration).unwrap();
            assert!(start.elapsed() < EVENT_TIMEOUT, "no readiness event");
        }
    }
}

/// No attempt may be sent more than 100 ms after the close; half of that is reserved for writing its frame.
#[test]
fn disconnect_check_expires_within_50_ms() {
    let mut harness = Harness::with_query(100.0);
    harness.disconnect();
    let seen = [100.01, 100.04, 100.06].map(|now| harness.clients.check_disconnected(now, harness.id));
    assert_eq!(seen, [false, false, true]);
    assert_eq!(harness.clients.next_disconnected(&mut harness.timers), Some(Some(7)));
    assert_eq!((harness.clients.next_disconnected(&mut harness.timers), harness.clients.count()), (None, 0));
}

/// A readiness event that is newer than the last check must lead to a new check.
#[test]
fn readiness_event_forces_a_disconnect_check() {
    let mut harness = Harness::with_query(100.0);
    harness.disconnect();
    harness.clients.check_waiting_client(100.0, harness.id);
    assert_eq!(harness.clients.next_disconnected(&mut harness.timers), Some(Some(7)));
}

/// The last read before an idle close finds a request and the client's close behind it.
#[test]
fn request_and_close_at_idle_timeout_are_not_dispatched() {
    let mut harness = Harness::with_query(100.0);
    harness.clients.reply(100.0, harness.id, 200, "{}", 0.0, &mut harness.timers);
    assert_eq!(harness.client.read_response().unwrap().status, 200);
    harness.clients.clients_to_read.clear();
    harness.send(&query_request("find", "c2", &[1], "2.0"));
    harness.disconnect();
    harness.clients.on_timeout(100.01, harness.id, &mut harness.timers);
    let LoopEvent::ClientReady(id, true) = harness.unfinished_turns.pop().unwrap() else { panic!("no turn") };
    assert_eq!(id, harness.id);
    harness.clients.on_ready(100.01, id, true, &mut harness.timers);
    assert!(matches!(
        harness.clients.next_event(100.01, harness.id, &mut harness.timers),
        ClientEvent::Nothing
    ));
    assert_eq!(harness.clients.next_disconnected(&mut harness.timers), Some(None));
}

/// The number of connections is at its limit, so that the client is accepted only after another one is answered.
#[test]
fn request_and_close_while_accepting_is_paused_are_not_dispatched() {
    let mut harness = Harness::with_max_clients(1, 100.0);
    let mut waiting = Client::connect_to(harness.address);
    waiting.send(&query_request("find", "c2", &[1], "2.0"));
    assert!(
        !harness.clients.accept(100.1, Port::Queries, &mut harness.timers)
            && harness.clients.clients_to_read.is_empty()
    );
    waiting.stream.shutdown(Shutdown::Both).unwrap();
    harness.clients.reply(100.2, harness.id, 200, "{}", 0.0, &mut harness.timers);
    harness.clients.clients_to_read.clear();
    harness.clients.resume_accepting();
    harness.clients.accept(100.2, Port::Queries, &mut harness.timers);
    let turns = std::iter::from_fn(|| harness.unfinished_turns.pop());
    let Some(LoopEvent::ClientReady(id, true)) = turns.last() else { panic!("no turn") };
    harness.clients.on_ready(100.2, id, true, &mut harness.timers);
    assert!(matches!(harness.clients.next_event(100.2, id, &mut harness.timers), ClientEvent::Nothing));
    assert_eq!(
        (harness.clients.next_disconnected(&mut harness.timers), harness.clients.count()),
        (Some(None), 0)
    );
}
