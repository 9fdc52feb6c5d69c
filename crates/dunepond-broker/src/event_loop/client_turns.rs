//! Bounds the time that an iteration spends on what clients send, so that the answers of nodes, the timers and the signals are
//! looked at in between, however many clients send at once and however much their requests cost.

use super::EventLoop;
use crate::iteration::LoopEvent;
use crate::read_turn::UnfinishedConnection;

/// Time of an iteration after which no further turn of a client, and no turn that was left unfinished, begins. A tenth of the
/// 50 ms by which any time limit may be exceeded.
const MAX_CLIENT_TURNS_SECONDS: f64 = 0.005;

/// The time for the turns of clients in one iteration.
#[derive(Clone, Copy)]
pub(super) struct ClientTurns {
    /// When the iteration ends these turns, in Unix seconds.
    until: f64,
}

impl EventLoop {
    /// Begins the turns of an iteration.
    pub(super) fn begin_client_turns(&self) -> ClientTurns {
        ClientTurns { until: self.clock.now() + MAX_CLIENT_TURNS_SECONDS }
    }

    /// Handles an event. A client's event is queued instead if the client waits for its turn already, or the time for
    /// clients is over.
    pub(super) fn handle_or_queue(&mut self, event: LoopEvent, turns: ClientTurns) {
        if let LoopEvent::ClientReady(id, readable) = event {
            let connection = UnfinishedConnection::Client(id);
            if self.unfinished_turns.contains(connection) || self.clock.now() >= turns.until {
                let now = self.refresh_clock_and_config();
                self.router_host.downstream.on_deferred(now, id, readable, &mut self.router_host.timers);
                return self.unfinished_turns.add(connection);
            }
        }
        self.handle_event(event);
    }

    /// Continues the turns that were left unfinished, each once at the most, until the time for clients is over; at least
    /// one, so that a busy broker gets on with them.
    pub(super) fn continue_unfinished_turns(&mut self, turns: ClientTurns) {
        for _ in 0..self.unfinished_turns.len() {
            let Some(event) = self.unfinished_turns.pop() else { return };
            self.handle_event(event);
            if self.clock.now() >= turns.until {
                return;
            }
        }
    }
}
