//! How long a disconnect check is valid before an attempt is sent for the client, and what invalidates it at once.

use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use dunepond_broker::buffers::Pool;
use dunepond_broker::clock::Timers;
use dunepond_broker::downstream::{ClientEvent, Downstream, listen};
use dunepond_broker::iteration::{Iteration, LoopEvent, Port};
use dunepond_config::{Fields, host_settings};
use dunepond_testkit::stand_ins::{Client, query_request, settings};

/// Longest wait for an expected event.
const PATIENCE: Duration = Duration::from_secs(10);

/// The client side without a router: the test handles the readiness events.
struct Harness {
    event_loop: EventLoop<'static, Iteration>,
    clients: Downstream,
    timers: Timers,
    address: SocketAddr,
    client: Client,
    id: usize,
}

impl Harness {
    /// With one client whose query is in flight since `at`.
    fn with_query(at: f64) -> Self {
        Self::with_bound(64, at)
    }

    fn with_bound(most: usize, at: f64) -> Self {
        let mut event_loop = EventLoop::try_new().unwrap();
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let client = Client::connect_to(address);
        let (settings, mut timers) = (settings(), Timers::default());
        let bounds = Rc::new(host_settings(&Fields::new("settings", &settings).unwrap()).unwrap());
        let mut clients =
            Downstream::new(event_loop.handle(), &Pool::default(), bounds, most, 64, listener).unwrap();
        event_loop.dispatch(PATIENCE, &mut Iteration::default()).unwrap();
        clients.accept(at, Port::Queries, &mut timers);
        let id = clients.pending_clients.pop().unwrap();
        let mut harness = Self { event_loop, clients, timers, address, client, id };
        harness.send(&query_request("find", "c1", &[1], "2.0"));
        assert!(matches!(harness.clients.next_event(at, id, &mut harness.timers), ClientEvent::Query(_)));
        harness.clients.assign_query(id, 7);
        harness
    }

    fn send(&mut self, bytes: &str) {
        self.client.send(bytes);
        self.wait_readable();
    }

    fn hang_up(&mut self) {
        self.client.stream.shutdown(Shutdown::Both).unwrap();
        self.wait_readable();
    }

    /// Waits for the readiness event of the client.
    fn wait_readable(&mut self) {
        let (mut turn, start) = (Iteration::default(), Instant::now());
        while !turn.events.iter().any(|ready| matches!(ready, LoopEvent::ClientReady(_, true))) {
            self.event_loop.dispatch(PATIENCE, &mut turn).unwrap();
            assert!(start.elapsed() < PATIENCE, "nothing is told");
        }
    }
}

/// No attempt may begin more than 0.1 s after the close; half of that is left for writing its frame.
#[test]
fn disconnect_check_expires_within_50_ms() {
    let mut harness = Harness::with_query(100.0);
    harness.hang_up();
    let seen = [100.01, 100.04, 100.06].map(|now| harness.clients.check_disconnected(now, harness.id));
    assert_eq!(seen, [false, false, true]);
    assert_eq!(harness.clients.next_disconnected(&mut harness.timers), Some(Some(7)));
    assert_eq!((harness.clients.next_disconnected(&mut harness.timers), harness.clients.count()), (None, 0));
}

/// A recent check must not hide a readiness event that is newer.
#[test]
fn readiness_event_forces_a_disconnect_check() {
    let mut harness = Harness::with_query(100.0);
    harness.hang_up();
    harness.clients.check_waiting_client(100.0, harness.id);
    assert_eq!(harness.clients.next_disconnected(&mut harness.timers), Some(Some(7)));
}

/// The last read before an idle close finds a request and the client's close behind it.
#[test]
fn request_and_close_at_idle_timeout_are_not_dispatched() {
    let mut harness = Harness::with_query(100.0);
    harness.clients.reply(100.0, harness.id, 200, "{}", 0.0, &mut harness.timers);
    assert_eq!(harness.client.read_answer().unwrap().status, 200);
    harness.clients.pending_clients.clear();
    harness.send(&query_request("find", "c2", &[1], "2.0"));
    harness.hang_up();
    harness.clients.on_timeout(100.01, harness.id, &mut harness.timers);
    assert_eq!(harness.clients.pending_clients, [harness.id]);
    assert!(matches!(
        harness.clients.next_event(100.01, harness.id, &mut harness.timers),
        ClientEvent::Nothing
    ));
    assert_eq!(harness.clients.next_disconnected(&mut harness.timers), Some(None));
}

/// There is no room for it until another client is answered.
#[test]
fn request_and_close_while_accepting_is_paused_are_not_dispatched() {
    let mut harness = Harness::with_bound(1, 100.0);
    let mut waits = Client::connect_to(harness.address);
    waits.send(&query_request("find", "c2", &[1], "2.0"));
    assert!(
        !harness.clients.accept(100.1, Port::Queries, &mut harness.timers)
            && harness.clients.pending_clients.is_empty()
    );
    waits.stream.shutdown(Shutdown::Both).unwrap();
    harness.clients.reply(100.2, harness.id, 200, "{}", 0.0, &mut harness.timers);
    harness.clients.pending_clients.clear();
    harness.clients.resume_accepting();
    harness.clients.accept(100.2, Port::Queries, &mut harness.timers);
    let id = harness.clients.pending_clients.pop().unwrap();
    assert!(matches!(harness.clients.next_event(100.2, id, &mut harness.timers), ClientEvent::Nothing));
    assert_eq!(
        (harness.clients.next_disconnected(&mut harness.timers), harness.clients.count()),
        (Some(None), 0)
    );
}
