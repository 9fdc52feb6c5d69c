//! What one turn of the loop brings: the sockets' callbacks leave word here and do nothing else, so that no peer's
//! file needs to know what the broker does with it.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::channel::{Event, Sender, channel};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use dunepond_background::Finished;
use dunepond_body_buffer::Done;

use crate::config_reload::Configuration;

/// What has happened, to whom; `true` where it can be read. The id may have gone to another within the turn: that
/// one is then told of a readiness too many, which costs it a read for nothing.
pub enum Ready {
    /// At the first door, or (true) at the API's.
    Accept(bool),
    Client(usize, bool),
    Link(usize, bool),
    /// A connection for questions.
    Question(usize, bool),
    /// A connection to discovery.
    Discovery(bool),
    /// The files tier has done something.
    Disk(Done),
    /// A background job that could block has ended.
    Work(Finished),
    /// What the fleet has agreed on has changed.
    Fleet,
    Reread,
    /// The configuration has been read again.
    Configuration(Box<Configuration>),
    End,
}

/// All that the loop's callbacks work on.
#[derive(Default)]
pub struct Turn {
    pub ready: VecDeque<Ready>,
}

pub type Handle = LoopHandle<'static, Turn>;

/// A channel by which other threads leave word: what comes on it is one thing of a turn.
pub fn channel_into<T: 'static>(
    handle: &Handle,
    ready: impl Fn(T) -> Ready + 'static,
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
    handle: &Handle,
    stream: &Rc<TcpStream>,
    told: impl Fn(bool) -> Ready + 'static,
) -> calloop::Result<RegistrationToken> {
    let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
    let token = handle.insert_source(source, move |ready, _, turn| {
        turn.ready.push_back(told(ready.readable));
        Ok(PostAction::Continue)
    });
    token.map_err(|e| e.error)
}
