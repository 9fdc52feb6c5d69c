//! The events that one iteration of the event loop has to handle. Socket callbacks only queue an event here, so that no
//! module for connections needs to know how the broker handles it.

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
    /// The port for queries in the broker's own form.
    Queries,
    /// The port of the search API.
    SearchApi,
}

impl Port {
    /// All ports.
    pub const ALL: [Self; 2] = [Self::Queries, Self::SearchApi];
}

/// An event of the event loop. A readiness event holds the index of a connection and a flag that says whether the
/// connection can be read. The index may already belong to a new connection, if the old one was closed in the same
/// iteration; the new connection is then read once unnecessarily.
pub enum LoopEvent {
    /// Connections wait in the backlog of this port.
    Accept(Port),
    /// The client connection with this index is ready; the flag says whether it can be read.
    ClientReady(usize, bool),
    /// The connection to a node with this index is ready; the flag says whether it can be read.
    UpstreamReady(usize, bool),
    /// The prefilter connection with this index is ready; the flag says whether it can be read.
    PrefilterReady(usize, bool),
    /// A connection to the discovery agent is ready; the flag says whether it can be read.
    DiscoveryReady(bool),
    /// More searches of the search API request with this id are to be registered.
    SearchesPending(u64),
    /// A disk operation on the file of a body has ended.
    DiskDone(DiskEvent),
    /// A blocking background job has ended.
    JobFinished(FinishedJob),
    /// The active configuration or a quota has changed.
    ControlPlaneChanged,
    /// SIGHUP has been received.
    ReloadRequested,
    /// The configuration has been read again.
    ConfigLoaded(Box<LoadedConfig>),
    /// SIGTERM or SIGINT has been received.
    ShutdownRequested,
}

/// The events that the event loop's callbacks collect in one iteration.
#[derive(Default)]
pub struct Iteration {
    /// Events to be handled, oldest first.
    pub events: VecDeque<LoopEvent>,
}

/// Handle by which event sources are registered with the event loop.
pub type EventLoopHandle = LoopHandle<'static, Iteration>;

/// Opens a channel for other threads; `to_event` turns each message into an event of the event loop.
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

/// Registers a stream with the event loop, edge-triggered; `to_event` returns the event for a readiness notification;
/// its argument says whether the stream can be read.
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
