//! The host: one thread with a tokio runtime of its own, sockets, and the core. Callers talk to it through counts and bounded queues
//! that never make them wait.

use crate::core::{Actions, Core};
use crate::counters::{Counters, Tally, add};
use crate::error::{PeerError, RefusalReason};
use crate::links::{Links, Order, Whole};
use crate::serve;
use crate::wire::Span;
use crate::words::{Event, Limits, MembershipOptions, Peer, RequestKind, Responder};
use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender, TrySendError};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};

/// A free port must be free for both kinds of socket; so many are tried.
const PORTS_TRIED: usize = 32;
/// Datagrams taken in one turn, so that a flood does not keep timers and requests waiting.
const TURN: usize = 64;
/// Of so many that speak no version of ours the log has a line.
const NAMED: usize = 64;
/// Events that found no room are offered again so often.
const OFFER: Duration = Duration::from_millis(5);

/// Both sockets, before anything is said on them.
pub struct Bound {
    tcp: TcpListener,
    udp: UdpSocket,
    at: SocketAddr,
}

impl Bound {
    pub fn at(&self) -> SocketAddr {
        self.at
    }
}

/// Takes UDP and TCP of one port; port 0 finds one that is free for both.
pub fn bind(listen: SocketAddr) -> Result<Bound, PeerError> {
    let mut why = String::new();
    for _ in 0..if listen.port() == 0 { PORTS_TRIED } else { 1 } {
        let sockets = TcpListener::bind(listen).and_then(|tcp| {
            let at = tcp.local_addr()?;
            let udp = UdpSocket::bind(at)?;
            tcp.set_nonblocking(true)?;
            udp.set_nonblocking(true)?;
            Ok(Bound { tcp, udp, at })
        });
        match sockets {
            Ok(bound) => return Ok(bound),
            Err(fault) => why = fault.to_string(),
        }
    }
    Err(PeerError::Bind { at: listen, why })
}

/// What callers and the thread share.
pub(crate) struct Common {
    pub bounds: Limits,
    pub tally: Tally,
    members: ArcSwap<Vec<Peer>>,
    /// Asks, and their bytes, whose end has not been handed to the caller.
    pub asks: AtomicUsize,
    pub bytes_out: AtomicUsize,
}

/// The links. All calls return at once.
pub struct Peers {
    common: Arc<Common>,
    orders: mpsc::Sender<Order>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
    next: AtomicU64,
    at: SocketAddr,
    within_most: f64,
}

/// Binds and starts.
pub fn start(told: MembershipOptions) -> Result<(Peers, Receiver<Event>), PeerError> {
    start_on(bind(told.listen_address)?, told)
}

/// Starts on sockets that are bound; `told.listen` is not looked at.
pub fn start_on(bound: Bound, mut told: MembershipOptions) -> Result<(Peers, Receiver<Event>), PeerError> {
    told.listen_address = bound.at;
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|fault| PeerError::Thread { why: fault.to_string() })?;
    let core = Core::new(&told, secret, 0.0)?;
    let common = Arc::new(Common {
        bounds: told.limits.clone(),
        tally: Tally::default(),
        members: ArcSwap::default(),
        asks: AtomicUsize::new(0),
        bytes_out: AtomicUsize::new(0),
    });
    let (orders, taken) = mpsc::channel(told.limits.max_requests);
    let (events, heard) = crossbeam_channel::bounded(told.limits.max_queued_events);
    let (stop, stopped) = watch::channel(false);
    let failed = |fault: std::io::Error| PeerError::Thread { why: fault.to_string() };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build().map_err(failed)?;
    let (at, within_most, shared) = (bound.at, told.timing.max_request_timeout_seconds, common.clone());
    let run = move || {
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, live(bound, told, core, shared, taken, events, stopped));
    };
    let thread = std::thread::Builder::new().name("peers".into()).spawn(run).map_err(failed)?;
    // A recorded answer to another life's ask fits none of ours.
    let mut first = [0; 8];
    getrandom::fill(&mut first).map_err(|fault| PeerError::Thread { why: fault.to_string() })?;
    let next = AtomicU64::new(u64::from_le_bytes(first) >> 2);
    Ok((Peers { common, orders, stop, thread: Some(thread), next, at, within_most }, heard))
}

impl Peers {
    /// Where we listen.
    pub fn local_addr(&self) -> SocketAddr {
        self.at
    }

    /// Asks `to`, a known name or a member. The number comes back in the one [`Event::Response`] that ends the ask, within `within`
    /// seconds. An error: it was not taken, and no event will come.
    pub fn request(&self, to: &str, kind: RequestKind, body: Vec<u8>, within: f64) -> Result<u64, PeerError> {
        let taken = self.take(to, kind, body, within);
        add(if taken.is_ok() { &self.common.tally.asks } else { &self.common.tally.not_taken });
        taken
    }

    fn take(&self, to: &str, kind: RequestKind, body: Vec<u8>, within: f64) -> Result<u64, PeerError> {
        let bounds = &self.common.bounds;
        let bytes = body.len();
        if bytes > bounds.max_body_bytes {
            return Err(PeerError::TooLarge { to: to.into(), bytes, most: bounds.max_body_bytes });
        }
        let room = |held: &AtomicUsize, more: usize, most: usize| {
            held.fetch_update(Relaxed, Relaxed, |held| Some(held + more).filter(|all| *all <= most)).is_ok()
        };
        if !room(&self.common.asks, 1, bounds.max_requests) {
            return Err(PeerError::Busy { to: to.into(), most: bounds.max_requests });
        }
        if !room(&self.common.bytes_out, bytes, bounds.max_send_bytes) {
            self.common.asks.fetch_sub(1, Relaxed);
            return Err(PeerError::Busy { to: to.into(), most: bounds.max_requests });
        }
        let id = self.next.fetch_add(1, Relaxed);
        let within = if within > 0.0 { within.min(self.within_most) } else { 0.0 };
        let until = Instant::now() + Duration::from_secs_f64(within);
        self.orders.try_send(Order { id, to: to.into(), kind, body, within, until }).map_err(|_| {
            self.common.asks.fetch_sub(1, Relaxed);
            self.common.bytes_out.fetch_sub(bytes, Relaxed);
            PeerError::Stopped
        })?;
        Ok(id)
    }

    /// Answers an ask. What comes after the asker's time is dropped; a body above the bound becomes [`RefusalReason::TooLarge`].
    pub fn respond(&self, token: Responder, body: Result<Vec<u8>, RefusalReason>) {
        let most = self.common.bounds.max_body_bytes;
        let body = match body {
            Ok(body) if body.len() > most => Err(RefusalReason::TooLarge { most: most as u64 }),
            other => other,
        };
        let _ = token.0.send(body);
    }

    /// All that were heard of, by name.
    pub fn members(&self) -> Vec<Peer> {
        self.common.members.load().to_vec()
    }

    pub fn counters(&self) -> Counters {
        self.common.tally.read()
    }

    /// Tells the others that we go, and ends the thread; asks that have not ended get no event. Waits for that: some milliseconds.
    pub fn stop(mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

/// What the thread's tasks share.
pub(crate) struct Inside {
    pub told: MembershipOptions,
    pub common: Arc<Common>,
    pub core: RefCell<Core>,
    pub outbox: RefCell<Outbox>,
    /// Kibibytes of bodies that may be read at once.
    pub room: Arc<Semaphore>,
    udp: tokio::net::UdpSocket,
    named: RefCell<BTreeSet<(String, Span)>>,
    began: Instant,
}

impl Inside {
    /// Seconds on the core's clock.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Counts what is not believed. Who has no version in common with us is named once, as long as it speaks what it speaks.
    pub fn disbelieve(&self, fault: &PeerError) {
        self.common.tally.disbelieved(fault);
        tracing::debug!(%fault, "links: not believed");
        let PeerError::Version { from, theirs, ours } = fault else { return };
        // The port of a connection is another each time.
        let host = from.rsplit_once(':').map_or(&from[..], |(host, _)| host);
        let mut named = self.named.borrow_mut();
        if theirs.common(*ours).is_none() && named.len() < NAMED && named.insert((host.into(), *theirs)) {
            tracing::warn!("links: {fault} ({})", fault.help());
        }
    }

    /// Room for a body of `bytes`, if there is any now.
    pub fn room_for(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let kibibytes = u32::try_from(bytes.div_ceil(1024)).ok()?;
        self.room.clone().try_acquire_many_owned(kibibytes).ok()
    }
}

/// An answer with the room it takes, and the bytes that its ask had.
type Held = (Event, Option<OwnedSemaphorePermit>, usize);

/// What waits for the caller to have room for it. Answers are as many as asks may be, with bytes from one budget; changes are one a name.
pub(crate) struct Outbox {
    events: Sender<Event>,
    /// Sizes of what was sent last; the channel's length tells how many of them have not been read.
    sizes: VecDeque<usize>,
    answers: VecDeque<Held>,
    changes: BTreeMap<String, Event>,
    common: Arc<Common>,
}

impl Outbox {
    fn new(events: Sender<Event>, common: Arc<Common>) -> Outbox {
        Outbox { events, sizes: VecDeque::new(), answers: VecDeque::new(), changes: BTreeMap::new(), common }
    }

    /// Sends what fits, or gives it back.
    fn offer(&mut self, event: Event, size: usize) -> Result<(), Event> {
        while self.sizes.len() > self.events.len() {
            self.sizes.pop_front();
        }
        let unread: usize = self.sizes.iter().sum();
        if unread > 0 && unread + size > self.common.bounds.max_receive_bytes {
            return Err(event);
        }
        // The size stands there before the event can be read.
        self.sizes.push_back(size);
        self.events.try_send(event).map_err(|fault| {
            self.sizes.pop_back();
            let (TrySendError::Full(event) | TrySendError::Disconnected(event)) = fault;
            event
        })
    }

    /// An ask of another; none waits here.
    pub fn asked(
        &mut self,
        from: String,
        kind: RequestKind,
        body: Vec<u8>,
        token: Responder,
    ) -> Result<(), RefusalReason> {
        let size = body.len();
        self.offer(Event::Request { from, kind, body, responder: token }, size)
            .map_err(|_| RefusalReason::Busy)
    }

    pub fn answer(&mut self, event: Event, room: Option<OwnedSemaphorePermit>, asked: usize) {
        self.answers.push_back((event, room, asked));
        self.flush();
    }

    fn changed(&mut self, changes: Vec<Event>) {
        for event in changes {
            let name = match &event {
                Event::PeerUp(peer) => peer.name.clone(),
                Event::PeerSuspected(name) | Event::PeerDown(name) => name.clone(),
                Event::Request { .. } | Event::Response { .. } => continue,
            };
            if self.changes.insert(name, event).is_some() {
                add(&self.common.tally.coalesced);
            }
        }
        self.flush();
    }

    fn flush(&mut self) {
        while let Some((name, event)) = self.changes.pop_first() {
            if let Err(event) = self.offer(event, 0) {
                self.changes.insert(name, event);
                break;
            }
        }
        while let Some((event, room, asked)) = self.answers.pop_front() {
            let size = match &event {
                Event::Response { result: Ok(body), .. } => body.len(),
                _ => 0,
            };
            match self.offer(event, size) {
                Ok(()) => {
                    self.common.asks.fetch_sub(1, Relaxed);
                    self.common.bytes_out.fetch_sub(asked, Relaxed);
                }
                Err(event) => return self.answers.push_front((event, room, asked)),
            }
        }
    }

    fn waits(&self) -> bool {
        !self.answers.is_empty() || !self.changes.is_empty()
    }
}

async fn live(
    bound: Bound,
    told: MembershipOptions,
    core: Core,
    common: Arc<Common>,
    mut orders: mpsc::Receiver<Order>,
    events: Sender<Event>,
    mut stopped: watch::Receiver<bool>,
) {
    let sockets = tokio::net::TcpListener::from_std(bound.tcp)
        .and_then(|tcp| Ok((tcp, tokio::net::UdpSocket::from_std(bound.udp)?)));
    let (tcp, udp) = match sockets {
        Ok(sockets) => sockets,
        Err(fault) => return tracing::error!(%fault, "links: sockets cannot be watched, no peer is heard"),
    };
    let inside = Rc::new(Inside {
        room: Arc::new(Semaphore::new(told.limits.max_receive_bytes.div_ceil(1024))),
        outbox: RefCell::new(Outbox::new(events, common.clone())),
        core: RefCell::new(core),
        began: Instant::now(),
        udp,
        named: RefCell::default(),
        common,
        told,
    });
    let links = Rc::new(Links::new(inside.clone()));
    // As many as there are suspected members: one ask to each is under way.
    let (ends, mut ended) = mpsc::unbounded_channel();
    tokio::task::spawn_local(serve::accept(tcp, inside.clone()));
    let mut buffer = vec![0; inside.told.limits.max_datagram_bytes + 1];
    loop {
        // Datagrams that wait come before timers: see the core.
        let mut read = 0;
        while read < TURN {
            let Ok((size, source)) = inside.udp.try_recv_from(&mut buffer) else { break };
            read += 1;
            add(&inside.common.tally.datagrams_in);
            let done = inside.core.borrow_mut().on_datagram(inside.now(), source, &buffer[..size]);
            carry_out(&inside, done);
        }
        let done = inside.core.borrow_mut().tick(inside.now());
        carry_out(&inside, done);
        let signs = inside.core.borrow_mut().signs();
        signs.into_iter().for_each(|sign| links.sign(sign, ends.clone()));
        if read == TURN {
            // The socket has more, and would have the thread to itself: requests have their turn too.
            tokio::task::yield_now().await;
        }
        let waits = inside.outbox.borrow().waits();
        let due = (inside.core.borrow().next_tick_at() - inside.now()).max(0.001);
        tokio::select! {
            biased;
            _ = stopped.changed() => break,
            order = orders.recv() => match order {
                Some(order) => links.start(order),
                None => break,
            },
            Some((to, end)) = ended.recv() => sign_came(&inside, &to, end),
            _ = inside.udp.readable() => {}
            () = tokio::time::sleep(Duration::from_secs_f64(due)) => {}
            () = tokio::time::sleep(OFFER), if waits => inside.outbox.borrow_mut().flush(),
        }
    }
    let done = inside.core.borrow_mut().leave(inside.now());
    carry_out(&inside, done);
}

fn sign_came(inside: &Inside, to: &str, end: Option<Whole>) {
    let mut core = inside.core.borrow_mut();
    let orders = match &end {
        Some(whole) => {
            core.sign_came(inside.now(), to, whole.at, Some((&whole.said, &whole.head, &whole.load)))
        }
        None => core.sign_came(inside.now(), to, inside.told.listen_address, None),
    };
    drop(core);
    if end.is_some() && orders.fault.is_none() {
        add(&inside.common.tally.signs_came);
    }
    carry_out(inside, orders);
}

pub(crate) fn carry_out(inside: &Inside, orders: Actions) {
    let tally = &inside.common.tally;
    for (to, bytes) in orders.datagrams {
        // A full socket loses it, as the network may.
        if inside.udp.try_send_to(&bytes, to).is_ok() {
            add(&tally.datagrams_out);
        }
    }
    if let Some(fault) = &orders.fault {
        inside.disbelieve(fault);
    }
    if !orders.changes.is_empty() {
        inside.common.members.store(Arc::new(inside.core.borrow().members()));
        inside.outbox.borrow_mut().changed(orders.changes);
    }
}
