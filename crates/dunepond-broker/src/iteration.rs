//! What one iteration of the event loop has to handle. Socket callbacks only queue an event here, so that no connection's module needs to
//! know what the broker does with it.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::channel::{Event, Sender, channel};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use dunepond_background::FinishedJob;
use dunepond_body_buffer::DiskEvent;

use crate::config_reload::LoadedConfig;

/// A port that clients connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// For queries in the broker's own form.
    Queries,
    /// For the search API.
    SearchApi,
}

impl Port {
    /// Both ports.
    pub const ALL: [Self; 2] = [Self::Queries, Self::SearchApi];
}

/// An event of the loop. The flag of a ready connection tells whether it can be read. An index may have been reused within the
/// iteration; the other connection then reads once in vain.
pub enum LoopEvent {
    /// Connections wait to be accepted at this port.
    Accept(Port),
    /// A client connection, by its index.
    ClientReady(usize, bool),
    /// A connection to a node, by its index.
    UpstreamReady(usize, bool),
    /// A prefilter connection to a node, by its index.
    PrefilterReady(usize, bool),
    /// A connection to discovery.
    DiscoveryReady(bool),
    /// The disk spill for bodies has completed an operation.
    DiskDone(DiskEvent),
    /// A blocking background job has ended.
    JobFinished(FinishedJob),
    /// The active configuration or a quota has changed.
    ControlPlaneChanged,
    /// SIGHUP.
    ReloadRequested,
    /// The configuration has been reloaded.
    ConfigLoaded(Box<LoadedConfig>),
    /// SIGTERM or SIGINT.
    ShutdownRequested,
}

/// What the event loop's callbacks collect in one iteration.
#[derive(Default)]
pub struct Iteration {
    /// Events to be handled, oldest first.
    pub events: VecDeque<LoopEvent>,
}

/// Registers sources with the event loop.
pub type EventLoopHandle = LoopHandle<'static, Iteration>;

/// A channel from other threads; each message becomes an event of the loop.
pub fn event_channel<T: 'static>(
    handle: &EventLoopHandle,
    to_event: impl Fn(T) -> LoopEvent + 'static,
) -> calloop::Result<Sender<T>> {
    let (sender, received) = channel();
    let inserted = handle.insert_source(received, move |event, _, iteration| {
        if let Event::Msg(message) = event {
            iteration.events.push_back(to_event(message));
        }
    });
    inserted.map_err(|e| e.error)?;
    Ok(sender)
}

/// Registers a stream, edge-triggered; `to_event` makes the event from whether it can be read.
pub fn watch(
    handle: &EventLoopHandle,
    stream: &Rc<TcpStream>,
    to_event: impl Fn(bool) -> LoopEvent + 'static,
) -> calloop::Result<RegistrationToken> {
    let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
    let token = handle.insert_source(source, move |ready, _, iteration| {
        iteration.events.push_back(to_event(ready.readable));
        Ok(PostAction::Continue)
    });
    token.map_err(|e| e.error)
}
