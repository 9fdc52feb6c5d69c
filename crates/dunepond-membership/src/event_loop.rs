//! The membership's thread, which runs one loop over sockets, timers and the callers' requests on its own async
//! runtime.

use crate::client::{Client, LivenessOutcome, OutboundRequest};
use crate::context::Context;
use crate::core::Core;
use crate::counters::increment;
use crate::event::Event;
use crate::options::MembershipOptions;
use crate::request_ids::RequestIds;
use crate::server;
use crate::shared::Shared;
use crate::sockets::BoundSockets;
use crossbeam_channel::Sender;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

/// Largest number of datagrams that are read in one iteration, so that a flood does not delay timers and requests.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;
/// Interval between attempts to move queued events into the caller's channel, while the channel has no room for them.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest sleep between iterations, in seconds, so that the loop does not spin while a tick is due.
const MIN_SLEEP_SECONDS: f64 = 0.001;

/// The arguments of [`run`], which are moved to the membership's thread.
pub(crate) struct EventLoop {
    pub sockets: BoundSockets,
    pub options: MembershipOptions,
    pub core: Core,
    pub shared: Arc<Shared>,
    pub requests: mpsc::Receiver<OutboundRequest>,
    pub events: Sender<Event>,
    pub stopped: watch::Receiver<bool>,
    /// Ids of the liveness checks.
    pub liveness_ids: RequestIds,
}

/// Runs the event loop until [`crate::Peers::stop`] is called or the handle is dropped, and then notifies the members
/// that this broker leaves.
pub(crate) async fn run(event_loop: EventLoop) {
    let EventLoop { sockets, options, core, shared, mut requests, events, mut stopped, liveness_ids } =
        event_loop;
    let registered =
        TcpListener::from_std(sockets.tcp).and_then(|tcp| Ok((tcp, UdpSocket::from_std(sockets.udp)?)));
    let (tcp, udp) = match registered {
        Ok(registered) => registered,
        Err(error) => {
            return tracing::error!(%error, "membership: cannot register the sockets, no peer can be reached");
        }
    };
    let mut buffer = vec![0; options.limits.max_datagram_bytes + 1];
    let context = Rc::new(Context::new(options, core, shared, events, udp));
    let client = Rc::new(Client::new(context.clone(), liveness_ids));
    // This channel is unbounded, but its length is limited, since at most one liveness check of each suspected member
    // is in flight.
    let (outcomes, mut liveness_outcomes) = mpsc::unbounded_channel();
    tokio::task::spawn_local(server::accept(tcp, context.clone()));
    loop {
        // Waiting datagrams are processed before timers: after a stall of this process they show that peers are alive
        // which the timers would declare down.
        let read = read_datagrams(&context, &mut buffer);
        let actions = context.core.borrow_mut().tick(context.now());
        context.apply(actions);
        let checks = context.core.borrow_mut().due_liveness_checks();
        checks.into_iter().for_each(|check| client.check_liveness(check, outcomes.clone()));
        if read == MAX_DATAGRAMS_PER_ITERATION {
            // More datagrams may be waiting. In a flood, this thread would handle no requests if it did not yield here.
            tokio::task::yield_now().await;
        }
        let events_wait = context.events.borrow().has_waiting();
        let sleep = (context.core.borrow().next_tick_at() - context.now()).max(MIN_SLEEP_SECONDS);
        tokio::select! {
            biased;
            _ = stopped.changed() => break,
            request = requests.recv() => match request {
                Some(request) => client.send(request),
                None => break,
            },
            Some(outcome) = liveness_outcomes.recv() => apply_liveness_outcome(&context, &outcome),
            _ = context.udp.readable() => {}
            () = tokio::time::sleep(Duration::from_secs_f64(sleep)) => {}
            () = tokio::time::sleep(FLUSH_INTERVAL), if events_wait => context.events.borrow_mut().flush(),
        }
    }
    let actions = context.core.borrow_mut().leave(context.now());
    context.apply(actions);
}

/// Processes datagrams that wait in the socket, up to the limit for one iteration, and returns their number.
fn read_datagrams(context: &Context, buffer: &mut [u8]) -> usize {
    let mut read = 0;
    while read < MAX_DATAGRAMS_PER_ITERATION {
        let Ok((size, source)) = context.udp.try_recv_from(buffer) else { break };
        read += 1;
        increment(&context.shared.counters.datagrams_in);
        let actions = context.core.borrow_mut().on_datagram(context.now(), source, &buffer[..size]);
        context.apply(actions);
    }
    read
}

/// Passes the outcome of a liveness check to the core, and carries out the resulting actions.
fn apply_liveness_outcome(context: &Context, outcome: &LivenessOutcome) {
    let response = outcome.response.as_ref();
    let address = response.map_or(context.options.listen_address, |response| response.address);
    let message = response.map(|response| response.message());
    let actions =
        context.core.borrow_mut().on_liveness_result(context.now(), &outcome.to, address, message.as_ref());
    if message.is_some() && actions.error.is_none() {
        increment(&context.shared.counters.liveness_checks_passed);
    }
    context.apply(actions);
}
