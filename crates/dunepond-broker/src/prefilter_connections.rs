//! Questions to nodes, which of their shards can match: on a connection to each node that carries nothing else. A node
//! that does not know the letter closes, and that must cost no part.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_config::Bounds;
use dunepond_prefilter::{CanMatch, RequestFailure, SegmentIndex, Version};
use dunepond_routing::NodeId;
use slab::Slab;
use tracing::{debug, warn};

use crate::buffers::{Buffer, Outflow, Pool};
use crate::clock::{Alarms, Due, Key};
use crate::connection_end::Ending;
use crate::frames::{self, Said};
use crate::iteration::{Handle, Ready, watch};
use crate::upstream::open;

/// A node that leaves questions unanswered for so long is not there, or its connection is not.
const PATIENCE: f64 = 3.0;
/// Of the time at which a node closes an idle connection, so that no question crosses that.
const IN_TIME: f64 = 0.9;
/// What may wait to be written to one node.
const MOST_WAITING: usize = 256 * 1024;

/// What one node says of each shard that it was asked about.
pub type Words = Vec<(SegmentIndex, CanMatch, Version)>;

struct Link {
    node: NodeId,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    up: bool,
    input: Option<Buffer>,
    out: Outflow,
    /// Questions that are out on it, and when each went.
    asked: VecDeque<(u64, f64)>,
    alarm: Option<Key>,
}

pub struct Questions {
    handle: Handle,
    pool: Pool,
    links: Slab<Link>,
    by_node: HashMap<NodeId, usize>,
    most: usize,
    bounds: Rc<Bounds>,
    /// Answers, and questions that will have none.
    pub told: VecDeque<(u64, Result<Words, RequestFailure>)>,
}

impl Questions {
    pub fn new(handle: Handle, pool: &Pool, bounds: Rc<Bounds>, most: usize) -> Self {
        let (pool, links, by_node, told) = (pool.clone(), Slab::new(), HashMap::new(), VecDeque::new());
        Self { handle, pool, links, by_node, most, bounds, told }
    }

    /// Sends a node, at its address, the frame of a question.
    pub fn ask(
        &mut self,
        now: f64,
        node: NodeId,
        dial: SocketAddr,
        question: u64,
        frame: &[u8],
        alarms: &mut Alarms,
    ) {
        let id = match self.by_node.get(&node) {
            Some(id) => *id,
            None => match self.connect(now, node, dial, alarms) {
                Ok(id) => id,
                Err(ending) => {
                    debug!("node {node}: connection for questions {ending}");
                    return self.told.push_back((question, Err(RequestFailure::NoConnection)));
                }
            },
        };
        let link = &mut self.links[id];
        if link.out.waiting() > MOST_WAITING {
            return self.told.push_back((question, Err(RequestFailure::Timeout)));
        }
        link.out.put(frame);
        if link.asked.is_empty() && link.up {
            alarms.unset(link.alarm.take());
            link.alarm = Some(alarms.set(now + PATIENCE, Due::Question(id)));
        }
        link.asked.push_back((question, now));
        self.write(id, alarms);
    }

    fn connect(
        &mut self,
        now: f64,
        node: NodeId,
        dial: SocketAddr,
        alarms: &mut Alarms,
    ) -> Result<usize, Ending> {
        if self.links.len() >= self.most {
            return Err(Ending::NoMeans);
        }
        let stream = Rc::new(open(dial)?);
        let entry = self.links.vacant_entry();
        let id = entry.key();
        let token = watch(&self.handle, &stream, move |readable| Ready::Question(id, readable));
        let token = token.map_err(|_| Ending::NoMeans)?;
        let alarm = Some(alarms.set(now + self.bounds.connect_timeout, Due::Question(id)));
        entry.insert(Link {
            node,
            stream,
            token,
            up: false,
            input: None,
            out: Outflow::new(&self.pool),
            asked: VecDeque::new(),
            alarm,
        });
        self.by_node.insert(node, id);
        Ok(id)
    }

    pub fn ready(&mut self, now: f64, id: usize, readable: bool, alarms: &mut Alarms) {
        let Some(link) = self.links.get_mut(id) else { return };
        if !link.up {
            match link.stream.take_error() {
                Ok(None) if link.stream.peer_addr().is_ok() => {}
                Ok(None) => return,
                Ok(Some(e)) | Err(e) => return self.end(id, Ending::of(&e), alarms),
            }
            link.up = true;
            alarms.unset(link.alarm.take());
            link.alarm = Some(alarms.set(now + PATIENCE, Due::Question(id)));
        }
        if readable {
            self.read(now, id, alarms);
        }
        self.write(id, alarms);
    }

    fn write(&mut self, id: usize, alarms: &mut Alarms) {
        let Some(link) = self.links.get_mut(id).filter(|link| link.up) else { return };
        if let Err(e) = link.out.flush(&*link.stream) {
            self.end(id, Ending::of(&e), alarms);
        }
    }

    fn read(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        loop {
            let link = &mut self.links[id];
            let input = link.input.get_or_insert_with(|| self.pool.take());
            let ending = match input.read_from(&*link.stream) {
                Ok(0) => Some(Ending::Closed),
                Ok(_) => self.frames(now, id),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => None,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if input.is_empty() {
                        link.input = None;
                    }
                    break;
                }
                Err(e) => Some(Ending::of(&e)),
            };
            if let Some(ending) = ending {
                return self.end(id, ending, alarms);
            }
        }
        // The oldest that is still out has its time from when it went; with none out the connection rests.
        let link = &mut self.links[id];
        alarms.unset(link.alarm.take());
        let until = match link.asked.front() {
            Some((_, at)) => at + PATIENCE,
            None => now + IN_TIME * self.bounds.idle_close,
        };
        link.alarm = Some(alarms.set(until, Due::Question(id)));
    }

    /// Takes the whole frames out of what has come.
    fn frames(&mut self, now: f64, id: usize) -> Option<Ending> {
        loop {
            let link = &mut self.links[id];
            let input = link.input.as_mut()?;
            let (used, question, words) = match frames::read(input.held()) {
                Ok(None) => return None,
                Ok(Some((Said::Words { question, words }, used))) => (used, question, words),
                Ok(Some((Said::Complaint(why), _))) => {
                    debug!("node {}: {}", link.node, why.escape_debug());
                    return Some(Ending::Complaint);
                }
                Ok(Some((Said::Ended { .. }, _))) => {
                    warn!("node {}: an E on a connection for questions", link.node);
                    return Some(Ending::Garbled);
                }
                Err(why) => {
                    warn!("node {}: on a connection for questions: {why}", link.node);
                    return Some(Ending::Garbled);
                }
            };
            input.consume(used);
            match link.asked.iter().position(|(asked, _)| *asked == question) {
                Some(at) => {
                    let (_, asked) = link.asked.remove(at)?;
                    debug!("node {}: question {question} answered after {:.4}", link.node, now - asked);
                    self.told.push_back((question, Ok(words)));
                }
                None => {
                    warn!("node {}: an answer to what was not asked", link.node);
                    return Some(Ending::Garbled);
                }
            }
        }
    }

    /// A connection's time is up: to come up, to answer, or to be asked.
    pub fn due(&mut self, id: usize, alarms: &mut Alarms) {
        let Some(link) = self.links.get_mut(id) else { return };
        link.alarm = None;
        let ending = match (link.up, link.asked.is_empty()) {
            (false, _) => Ending::NeverUp,
            (true, true) => Ending::Unused,
            (true, false) => Ending::Stalled,
        };
        self.end(id, ending, alarms);
    }

    /// A node is to get nothing new, has gone, or is another process now.
    pub fn leave(&mut self, node: NodeId, alarms: &mut Alarms) {
        if let Some(id) = self.by_node.get(&node) {
            self.end(*id, Ending::Replaced, alarms);
        }
    }

    /// The one way a connection goes: no question that was out on it will be answered.
    fn end(&mut self, id: usize, ending: Ending, alarms: &mut Alarms) {
        let Some(link) = self.links.try_remove(id) else { return };
        alarms.unset(link.alarm);
        self.by_node.remove(&link.node);
        self.handle.remove(link.token);
        debug!("node {}: connection for questions {ending}, {} out", link.node, link.asked.len());
        let why = ending.unanswered();
        self.told.extend(link.asked.iter().map(|(question, _)| (*question, Err(why))));
    }
}
