//! Connections to nodes: opened, used while they may be, and the one way they go.

use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use dunepond_routing::NodeId;
use socket2::{Domain, Protocol, Socket, Type};
use tracing::{debug, info};

use super::{Link, Servers};
use crate::buffers::Outflow;
use crate::clock::{Alarms, Due};
use crate::connection_end::Ending;
use crate::iteration::{Ready, watch};

/// We close an idle connection at this share of the time at which the node does at the latest, so that no frame crosses. The time
/// is the settings'; a share of it, as what is in between has to cover a frame's way and a turn of ours that comes late, be
/// it of a fifth of a second or of a minute. What is due and still open is not used either.
const IN_TIME: f64 = 0.9;

/// Starts a connection; whether it comes up is told later.
pub fn open(dial: SocketAddr) -> Result<TcpStream, Ending> {
    let start = || -> io::Result<Socket> {
        let socket = Socket::new(Domain::for_address(dial), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        Ok(socket)
    };
    let lacking = |e: io::Error| match e.raw_os_error() {
        Some(libc::EMFILE | libc::ENFILE) => Ending::NoDescriptor,
        _ => Ending::NoMeans,
    };
    let socket = start().map_err(lacking)?;
    match socket.connect(&dial.into()) {
        Ok(()) => Ok(socket.into()),
        Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => Ok(socket.into()),
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Err(Ending::Refused),
        Err(_) => Err(Ending::NoMeans),
    }
}

impl Servers {
    pub(super) fn connect(&mut self, now: f64, node: NodeId, alarms: &mut Alarms) -> Result<usize, Ending> {
        let dial = self.servers[node].row.as_ref().and_then(|row| row.dial).ok_or(Ending::NoMeans)?;
        if self.links.len() >= self.most_links && !self.give_way(now, alarms) {
            return Err(Ending::NoMeans);
        }
        let (stream, api) = (Rc::new(open(dial)?), self.speaks_api(node));
        let entry = self.links.vacant_entry();
        let id = entry.key();
        let token = watch(&self.handle, &stream, move |readable| Ready::Link(id, readable));
        let token = token.map_err(|_| Ending::NoMeans)?;
        entry.insert(Link {
            node,
            stream,
            token,
            up: false,
            since: now,
            retired: false,
            alarm: Some(alarms.set(now + self.bounds.connect_timeout, Due::Link(id))),
            input: None,
            out: Outflow::new(&self.pool),
            carried: VecDeque::new(),
            given_up: Vec::new(),
            calls: 0,
            api,
            message: None,
            past: VecDeque::new(),
        });
        self.servers[node].links.push(id);
        debug!("node {}: opening a connection", self.name(node));
        Ok(id)
    }

    /// The connection that has been idle the longest makes room; false if there is none.
    pub fn give_way(&mut self, now: f64, alarms: &mut Alarms) -> bool {
        let idle = self.idle.first_key_value().map(|(_, id)| *id);
        idle.into_iter().for_each(|id| self.end(now, id, Ending::Unused, alarms));
        idle.is_some()
    }

    /// Something can be read or written, or the connection has come up or failed.
    pub fn ready(&mut self, now: f64, id: usize, readable: bool, alarms: &mut Alarms) {
        let Some(link) = self.links.get_mut(id) else { return };
        if !link.up {
            match link.stream.take_error() {
                Ok(Some(e)) | Err(e) => return self.end(now, id, Ending::of(&e), alarms),
                Ok(None) if link.stream.peer_addr().is_err() => return,
                Ok(None) => {}
            }
            (link.up, link.since) = (true, now);
            alarms.unset(link.alarm.take());
        }
        // What came before a break is read before the break is met in writing.
        if readable {
            self.read(now, id, alarms);
        }
        self.write(now, id, alarms);
        self.rest(now, id, alarms);
    }

    /// Sends nothing new on the connections to a node, and closes them as nothing is out on them.
    pub fn close_idle(&mut self, now: f64, node: NodeId, alarms: &mut Alarms) {
        for id in self.servers.get(node).map(|s| s.links.clone()).unwrap_or_default() {
            self.links[id].retired = true;
            self.rest(now, id, alarms);
        }
    }

    /// Sets the time at which a connection that carries nothing is closed.
    pub(super) fn rest(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        let Some(link) = self.links.get_mut(id).filter(|l| l.up && l.carried.is_empty()) else { return };
        // Which of those that were given up the node still works on is told nowhere but by their ends.
        let no_room = link.given_up.len() >= self.bounds.parts_a_connection;
        if link.retired || link.input.is_some() || no_room {
            return self.end(now, id, Ending::Unused, alarms);
        }
        if link.alarm.is_none() {
            let key = alarms.set(now + IN_TIME * self.bounds.idle_close, Due::Link(id));
            link.alarm = Some(key);
            self.idle.insert(key, id);
        }
    }

    /// A connection's time is up: to come up, to carry something, or to bring the rest of a frame.
    pub fn due(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        let ending = match self.links.get(id) {
            Some(link) if !link.up => Ending::NeverUp,
            Some(link) if !link.carried.is_empty() => Ending::Stalled,
            _ => Ending::Unused,
        };
        self.end(now, id, ending, alarms);
    }

    /// The one way a connection goes: what it carried is told by how it ended.
    pub(super) fn end(&mut self, now: f64, id: usize, ending: Ending, alarms: &mut Alarms) {
        let Some(link) = self.links.try_remove(id) else { return };
        alarms.unset(link.alarm);
        link.alarm.and_then(|key| self.idle.remove(&key));
        self.handle.remove(link.token);
        let server = &mut self.servers[link.node];
        server.links.retain(|l| *l != id);
        match link.carried.len() {
            0 => debug!("node {}: connection {ending}", server.name()),
            out => info!("node {}: connection {ending} with {out} parts out", server.name()),
        }
        for out in link.carried {
            let end = ending.end(out.to.is_some_and(|to| to <= link.out.written()));
            self.back.push_back(out.back(link.node, end, now, None));
        }
    }
}
