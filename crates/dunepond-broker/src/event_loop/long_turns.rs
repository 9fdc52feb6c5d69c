//! Warns of events and timers whose handling took long, as no other connection and no timer is served meanwhile.

use std::fmt;

use dunepond_routing::NodeId;
use tracing::warn;

use super::EventLoop;
use crate::clock::TimerEvent;
use crate::iteration::LoopEvent;

/// Handling that takes longer is logged: the time by which any time limit may be exceeded.
const LONG_TURN_SECONDS: f64 = 0.05;

/// What an event or a timer is about, as the log names it.
#[derive(Clone, Copy)]
enum TurnSubject {
    /// A connection for attempts to this node; `None` if the connection was closed before its event was handled.
    NodeConnection(Option<NodeId>),
    /// The prefilter connection to this node; `None` if the connection was closed before its event was handled.
    PrefilterConnection(Option<NodeId>),
    /// The connection of the client with this index.
    Client(usize),
    /// The connections to the discovery agent.
    Discovery,
    /// The listeners for clients.
    Accept,
    /// A signal, or a message of another thread of this process.
    Process,
    /// A timer.
    Timer(TimerEvent),
}

/// The handling of one event or timer.
pub(super) struct Turn {
    subject: TurnSubject,
    /// When the handling began, in Unix seconds.
    began_at: f64,
    /// How many bytes the broker had read from its connections before.
    read_bytes_before: u64,
}

impl EventLoop {
    /// Begins to measure the handling of an event.
    pub(super) fn begin_event_turn(&self, event: &LoopEvent) -> Turn {
        let subject = match event {
            LoopEvent::UpstreamReady(id, _) => {
                TurnSubject::NodeConnection(self.router_host.upstream.connected_node(*id))
            }
            LoopEvent::PrefilterReady(id, _) => {
                let connections = self.router_host.prefilter_connections.as_ref();
                TurnSubject::PrefilterConnection(connections.and_then(|found| found.connected_node(*id)))
            }
            LoopEvent::ClientReady(id, _) => TurnSubject::Client(*id),
            LoopEvent::DiscoveryReady(_) => TurnSubject::Discovery,
            LoopEvent::Accept(_) => TurnSubject::Accept,
            _ => TurnSubject::Process,
        };
        self.begin_turn(subject)
    }

    /// Begins to measure the handling of a timer.
    pub(super) fn begin_timer_turn(&self, event: TimerEvent) -> Turn {
        self.begin_turn(TurnSubject::Timer(event))
    }

    fn begin_turn(&self, subject: TurnSubject) -> Turn {
        Turn { subject, began_at: self.clock.now(), read_bytes_before: self.router_host.pools.read_bytes() }
    }

    /// Records the turn's time, and logs a warning if it has taken long.
    pub(super) fn end_turn(&mut self, turn: &Turn) {
        let elapsed = self.clock.now() - turn.began_at;
        self.turn_times.record(elapsed);
        if elapsed > LONG_TURN_SECONDS {
            let read_bytes = self.router_host.pools.read_bytes() - turn.read_bytes_before;
            let subject = NamedSubject { subject: turn.subject, event_loop: self };
            warn!("event loop: long turn: {subject} took {elapsed:.3} s; {read_bytes} bytes read");
        }
    }
}

/// A subject that is displayed with the name of its node.
struct NamedSubject<'a> {
    subject: TurnSubject,
    event_loop: &'a EventLoop,
}

impl fmt::Display for NamedSubject<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name =
            |node: Option<NodeId>| node.map_or("?", |node| self.event_loop.router_host.upstream.name(node));
        match self.subject {
            TurnSubject::NodeConnection(node) => write!(f, "connection to node {}", name(node)),
            TurnSubject::PrefilterConnection(node) => {
                write!(f, "prefilter connection to node {}", name(node))
            }
            TurnSubject::Client(id) => write!(f, "client {id}"),
            TurnSubject::Discovery => f.write_str("discovery"),
            TurnSubject::Accept => f.write_str("accepting clients"),
            TurnSubject::Process => f.write_str("signal or message of another thread"),
            TurnSubject::Timer(event) => write!(f, "timer {event:?}"),
        }
    }
}
