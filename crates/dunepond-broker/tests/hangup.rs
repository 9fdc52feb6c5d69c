//! How old a look at a client may be before something is sent on for it, and what makes it worthless at once.

use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::EventLoop;
use dunepond_broker::buffers::Pool;
use dunepond_broker::clock::Timers;
use dunepond_broker::downstream::{ClientEvent, Downstream, listen};
use dunepond_broker::iteration::{Iteration, LoopEvent};
use dunepond_config::{Fields, bounds};
use dunepond_testkit::store::{Client, scan, settings};

/// Longest that anything here waits for what must come.
const PATIENCE: Duration = Duration::from_secs(10);

/// The clients alone, led through a turn by hand: what the loop has told of them is not passed on.
struct Door {
    turns: EventLoop<'static, Iteration>,
    clients: Downstream,
    timers: Timers,
    address: SocketAddr,
    client: Client,
    id: usize,
}

impl Door {
    /// With one client, whose scan is held since then.
    fn asked(at: f64) -> Self {
        Self::for_at_most(64, at)
    }

    fn for_at_most(most: usize, at: f64) -> Self {
        let mut turns = EventLoop::try_new().unwrap();
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let client = Client::dial(address);
        let (settings, mut timers) = (settings(), Timers::default());
        let bounds = Rc::new(bounds(&Fields::of("settings", &settings).unwrap()).unwrap());
        let mut clients =
            Downstream::new(turns.handle(), &Pool::default(), bounds, most, 64, listener).unwrap();
        turns.dispatch(PATIENCE, &mut Iteration::default()).unwrap();
        clients.accept(at, false, &mut timers);
        let id = clients.again.pop().unwrap();
        let mut door = Self { turns, clients, timers, address, client, id };
        door.sends(&scan("find", "c1", &[1], "2.0"));
        assert!(matches!(door.clients.next(at, id, &mut door.timers), ClientEvent::Query(_)));
        door.clients.holds(id, 7);
        door
    }

    fn sends(&mut self, bytes: &str) {
        self.client.send(bytes);
        self.told();
    }

    fn hangs_up(&mut self) {
        self.client.stream.shutdown(Shutdown::Both).unwrap();
        self.told();
    }

    /// Waits for what the loop tells of the client.
    fn told(&mut self) {
        let (mut turn, start) = (Iteration::default(), Instant::now());
        while !turn.ready.iter().any(|ready| matches!(ready, LoopEvent::ClientReady(_, true))) {
            self.turns.dispatch(PATIENCE, &mut turn).unwrap();
            assert!(start.elapsed() < PATIENCE, "nothing is told");
        }
    }
}

/// An attempt that begins over 0.1 s after the close is a broken rule; half of that is left for its way.
#[test]
fn a_look_at_a_client_is_good_for_half_of_what_an_attempt_may_be_late() {
    let mut door = Door::asked(100.0);
    door.hangs_up();
    let seen = [100.01, 100.04, 100.06].map(|now| door.clients.is_disconnected(now, door.id));
    assert_eq!(seen, [false, false, true]);
    assert_eq!(door.clients.next_disconnected(&mut door.timers), Some(Some(7)));
    assert_eq!((door.clients.next_disconnected(&mut door.timers), door.clients.count()), (None, 0));
}

/// What the loop has told of it is not to be missed for a look that is not old.
#[test]
fn a_client_of_which_something_is_told_is_looked_at_whenever_that_was_before() {
    let mut door = Door::asked(100.0);
    door.hangs_up();
    door.clients.check_while_waiting(100.0, door.id);
    assert_eq!(door.clients.next_disconnected(&mut door.timers), Some(Some(7)));
}

/// The last look at a connection whose time is up finds a request, and the end behind it, just after an answer.
#[test]
fn who_asks_and_closes_as_its_rest_is_over_is_not_sent_on() {
    let mut door = Door::asked(100.0);
    door.clients.reply(100.0, door.id, 200, "{}", 0.0, &mut door.timers);
    assert_eq!(door.client.answer().unwrap().status, 200);
    door.clients.again.clear();
    door.sends(&scan("find", "c2", &[1], "2.0"));
    door.hangs_up();
    door.clients.slow(100.01, door.id, &mut door.timers);
    assert_eq!(door.clients.again, [door.id]);
    assert!(matches!(door.clients.next(100.01, door.id, &mut door.timers), ClientEvent::Nothing));
    assert_eq!(door.clients.next_disconnected(&mut door.timers), Some(None));
}

/// There is no room for it until somebody else is answered.
#[test]
fn who_asks_and_closes_while_accepting_is_paused_is_not_sent_on() {
    let mut door = Door::for_at_most(1, 100.0);
    let mut waits = Client::dial(door.address);
    waits.send(&scan("find", "c2", &[1], "2.0"));
    assert!(!door.clients.accept(100.1, false, &mut door.timers) && door.clients.again.is_empty());
    waits.stream.shutdown(Shutdown::Both).unwrap();
    door.clients.reply(100.2, door.id, 200, "{}", 0.0, &mut door.timers);
    door.clients.again.clear();
    door.clients.resume();
    door.clients.accept(100.2, false, &mut door.timers);
    let id = door.clients.again.pop().unwrap();
    assert!(matches!(door.clients.next(100.2, id, &mut door.timers), ClientEvent::Nothing));
    assert_eq!((door.clients.next_disconnected(&mut door.timers), door.clients.count()), (Some(None), 0));
}
