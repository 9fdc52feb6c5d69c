//! What one iteration of the event loop has to handle. Socket callbacks only queue an event here, so that no connection's module needs to
//! know what the broker does with it.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::channel::{Event, Sender, channel};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use dunepond_background::Finished;
use dunepond_body_buffer::Done;

use crate::config_reload::LoadedConfig;

/// What has happened, to whom; `true` where it can be read. The id may have gone to another within the turn: that
/// one is then told of a readiness too many, which costs it a read for nothing.
pub enum LoopEvent {
    /// At the first door, or (true) at the API's.
    Accept(bool),
    ClientReady(usize, bool),
    UpstreamReady(usize, bool),
    /// A connection for questions.
    PrefilterReady(usize, bool),
    /// A connection to discovery.
    DiscoveryReady(bool),
    /// The files tier has done something.
    DiskDone(Done),
    /// A background job that could block has ended.
    JobFinished(Finished),
    /// What the fleet has agreed on has changed.
    ControlPlaneChanged,
    ReloadRequested,
    /// The configuration has been read again.
    ConfigLoaded(Box<LoadedConfig>),
    ShutdownRequested,
}

/// All that the loop's callbacks work on.
#[derive(Default)]
pub struct Iteration {
    pub ready: VecDeque<LoopEvent>,
}

pub type EventLoopHandle = LoopHandle<'static, Iteration>;

/// A channel by which other threads leave word: what comes on it is one thing of a turn.
pub fn event_channel<T: 'static>(
    handle: &EventLoopHandle,
    ready: impl Fn(T) -> LoopEvent + 'static,
) -> calloop::Result<Sender<T>> {
    let (sender, received) = channel();
    let inserted = handle.insert_source(received, move |event, _, turn| {
        if let Event::Msg(word) = event {
            turn.ready.push_back(ready(word));
        }
    });
    inserted.map_err(|e| e.error)?;
    Ok(sender)
}

/// Has the loop tell of each new readiness of a stream, once, and whether it can be read.
pub fn watch(
    handle: &EventLoopHandle,
    stream: &Rc<TcpStream>,
    told: impl Fn(bool) -> LoopEvent + 'static,
) -> calloop::Result<RegistrationToken> {
    let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
    let token = handle.insert_source(source, move |ready, _, turn| {
        turn.ready.push_back(told(ready.readable));
        Ok(PostAction::Continue)
    });
    token.map_err(|e| e.error)
}
