//! The start: all that a broker is made of is put together, and serves until it is told to end.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::EventLoop;
use calloop::signals::Signal;
use dunepond_background::{Pool as WorkPool, Scheduler};
use dunepond_body_buffer::{Disk, Folder, Spool};
use dunepond_config::Bad;
use dunepond_config::operator;
use dunepond_routing::{Idempotency, MAX_SHUTDOWN_SECONDS, Router, SIGNAL_POLL_INTERVAL, ShutdownStage};
use dunepond_storage::FileStore;
use tracing::{info, warn};

use super::World;
use crate::background::Background;
use crate::body_store::Bodies;
use crate::buffers::{self, Pool};
use crate::clock::{Clock, Due};
use crate::config::Start;
use crate::config_reload::Rereader;
use crate::control_plane::Fleet;
use crate::discovery::{DiscoveryClient, OVERDUE};
use crate::downstream::{self, Clients};
use crate::iteration::{Handle, Ready, Turn, channel_into};
use crate::persistence::Keeping;
use crate::prefilter::Asking;
use crate::prefilter_connections::Questions;
use crate::router::Desk;
use crate::search_api::Door;
use crate::signals::{CaughtSignals, catch_signals};
use crate::upstream::Servers;

/// How long a new process waits for the list: for a call and for the one beside it. What the agent on its machine has
/// counts as told from its first moment, and what it was left with may be old; but while discovery is down there is
/// nothing else to go by. Who waits at the listener so long has a time of its own, which is not seen before its
/// request is read: it waits for this share of the shortest query timeout at most, and is throttled then. Half, as the other
/// half is its client's, to ask elsewhere; the timeouts are the settings'.
const FIRST_LIST: f64 = 2.0 * OVERDUE;
const HELD_AT_MOST: f64 = 0.5;
/// How soon an address that is still held is tried again. No term asks for it: a bound of ours on how often a process that can do
/// nothing else runs, far below the seconds in which one has to be ready.
const HELD_AGAIN: Duration = Duration::from_millis(20);

/// What its program lends a broker.
#[derive(Default)]
pub struct Hooks {
    /// The signals, where they were caught before.
    pub signals: Option<CaughtSignals>,
    /// The operator's file, to be read again at SIGHUP.
    pub operator: Option<PathBuf>,
    /// Stands in for the folder that the operator's file names for bodies.
    pub folder: Option<Arc<dyn Folder>>,
    /// The same for the state's.
    pub files: Option<Arc<dyn FileStore>>,
    /// And for the fleet's, and for its filler.
    pub fleet: dunepond_control_plane::TestDoubles,
}

/// The files tier's threads, and the folder that they work on.
type BodyFiles = (Spool, Arc<dyn Folder>);

/// The files tier, where the operator's file names a folder. Its threads leave word as the sockets do.
fn spool(bodies: &operator::Bodies, hooks: &Hooks, handle: &Handle) -> Result<Option<BodyFiles>, Bad> {
    let Some(told) = &bodies.folder else { return Ok(None) };
    let failed = |e: &dyn std::fmt::Display| Bad(format!("files: folder: {}: {e}", told.path.display()));
    let folder = match &hooks.folder {
        Some(folder) => folder.clone(),
        None => {
            // New with each start, so that what an earlier one left is told from ours.
            let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
            let mark = format!("{}-{since:x}", std::process::id());
            Arc::new(Disk::open(&told.path, &mark).map_err(|e| failed(&e))?)
        }
    };
    let sender = channel_into(handle, Ready::Disk).map_err(|e| failed(&e))?;
    // Once nobody listens the broker has ended, and its files go with it.
    let tell = move |done| drop(sender.send(done));
    let spool = Spool::start(folder.clone(), told.threads, told.waiting, tell).map_err(|e| failed(&e))?;
    Ok(Some((spool, folder)))
}

/// Listens at an address. An old process may hold it still, which has been told to end: by the time at which that one
/// may be killed it has let go. Whoever ended at once here would never be ready.
fn listen(what: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let (since, mut waits) = (Instant::now(), false);
    loop {
        match downstream::listen(address) {
            Err(e)
                if e.kind() == io::ErrorKind::AddrInUse
                    && since.elapsed().as_secs_f64() < MAX_SHUTDOWN_SECONDS =>
            {
                if !std::mem::replace(&mut waits, true) {
                    warn!("{what}: {address}: {e}; waiting for whoever holds it");
                }
                thread::sleep(HELD_AGAIN);
            }
            outcome => return outcome,
        }
    }
}

/// Serves until it is told to end.
pub fn serve(start: Start, mut hooks: Hooks) -> Result<(), Bad> {
    let failed = |what: &str, why: &dyn std::fmt::Display| Bad(format!("{what}: {why}"));
    if start.operator.bodies.is_some() {
        buffers::one_heap();
    }
    let mut event_loop = EventLoop::try_new().map_err(|e| failed("loop", &e))?;
    let handle = event_loop.handle();
    let CaughtSignals { signals, since } = hooks.signals.take().map_or_else(catch_signals, Ok)?;
    let signals = handle.insert_source(signals, |event, _, turn: &mut Turn| {
        turn.ready.push_back(match event.signal() {
            Signal::SIGHUP => Ready::Reread,
            _ => Ready::End,
        });
    });
    signals.map_err(|e| failed("signals", &e.error))?;
    let (pool, bounds) = (Pool::default(), Rc::new(start.bounds));
    let mut discovery = DiscoveryClient::new(handle.clone(), &pool, start.discovery, &bounds);
    // A list that cannot be read is none: discovery will bring another.
    let known = discovery.read(&start.known).ok().map(|(_, news, _)| news);
    let listener = listen("GW_LISTEN", start.listen).map_err(|e| failed("GW_LISTEN", &e))?;
    let local = listener.local_addr().map_err(|e| failed("GW_LISTEN", &e))?;
    let clients =
        Clients::new(handle.clone(), &pool, bounds.clone(), start.most_clients, start.most_buffers, listener);
    let clients = clients.map_err(|e| failed("GW_LISTEN", &e))?;
    let for_questions = if start.operator.phases.is_some() { start.most_links / 4 } else { 0 };
    let questions = Questions::new(handle.clone(), &pool, bounds.clone(), for_questions);
    let mut servers = Servers::new(handle, &pool, bounds.clone(), start.most_links - for_questions);
    let (table_types, table_bounds) = (bounds.table_types.clone(), bounds.clone());
    if !start.operator.search_nodes.is_empty() {
        let once = start.deployment.query_classes.iter().map(|t| t.idempotency == Idempotency::NonIdempotent);
        servers.speak_api(start.operator.search_nodes.clone(), once.collect());
    }
    let mut desk = Desk::new(&start.deployment, bounds, &pool, clients, servers);
    if let Some(told) = &start.operator.search {
        let listener = listen("search: listen", told.listen).map_err(|e| failed("search: listen", &e))?;
        let api = listener.local_addr().map_err(|e| failed("search: listen", &e))?;
        desk.clients.open(listener, true).map_err(|e| failed("search: listen", &e))?;
        let door = Door::new(told.limits.clone(), table_bounds, &start.deployment);
        desk.clients.api = Some(Rc::new(door));
        info!("the API listening at {api}");
    }
    let mut folder = None;
    if let Some(bodies) = &start.operator.bodies {
        desk.clients.raw = true;
        let (spool, used) = spool(bodies, &hooks, &event_loop.handle())?.unzip();
        folder = used;
        desk.bodies = Some(Bodies::new(bodies.terms.clone(), spool, table_types));
    }
    let timeouts = start.deployment.query_classes.iter().map(|t| t.timeout);
    let held_at_most = HELD_AT_MOST * timeouts.clone().fold(f64::MAX, f64::min);
    let longest_timeout = timeouts.fold(0.0, f64::max);
    let (terms, seed, types) = (start.operator.phases.clone(), start.deployment.seed, desk.table_types());
    let asking = terms.map(|terms| Asking::new(terms, &start.deployment));
    desk.questions = asking.is_some().then_some(questions);
    if let Some(told) = &start.operator.fleet {
        let (site, customers) = (&start.deployment, desk.customers());
        let fleet = Fleet::start(
            told,
            &start.name,
            site,
            &customers,
            std::mem::take(&mut hooks.fleet),
            &event_loop.handle(),
        )?;
        desk.servers.gate = Some(fleet.gate.clone());
        desk.fleet = Some(fleet);
    }
    let broker = Router::new(start.deployment);
    let (clock, operator) = (Clock::start(), start.operator);
    let sender = channel_into(&event_loop.handle(), Ready::Work).map_err(|e| failed("background", &e))?;
    let reread = channel_into(&event_loop.handle(), Ready::Configuration);
    let reread = reread.map_err(|e| failed("configuration", &e))?;
    let rereader = Rereader::new(reread, hooks.operator.clone());
    let pool = operator.state.as_ref().map(|_| {
        WorkPool::start("work", operator.background.at_once, move |finished| {
            let _ = sender.send(finished);
        })
    });
    let pool = pool.transpose().map_err(|e| failed("background", &e))?;
    let mut background = Background::new(Scheduler::new(operator.background.clone(), seed), pool);
    let files = hooks.files.clone();
    let keeping = operator.state.clone();
    let keeping = keeping.map(|told| Keeping::start(clock.now(), told, files, types, &mut background));
    let mut world = World {
        clock,
        broker,
        desk,
        discovery,
        asking,
        background,
        keeping,
        audit: false,
        rereader,
        operator,
        known,
        this_turn: clock.at(since),
        turn_before: clock.at(since),
        longest_timeout,
        shutdown: None,
        stage: ShutdownStage::Serving,
        over: false,
    };
    world.set_out(held_at_most);
    info!("listening on {local}");
    world.run(&mut event_loop).map_err(|e| failed("loop", &e))?;
    world.finish();
    if let Some(folder) = &folder {
        folder.leave();
    }
    info!("ended");
    Ok(())
}

impl World {
    /// What is due from the first moment on. Nobody is taken in before the first list, for so long at most.
    fn set_out(&mut self, held_at_most: f64) {
        let now = self.tick();
        self.report();
        if let Some(keeping) = &self.keeping {
            self.desk.alarms.set(now + keeping.every(), Due::Snapshot);
        }
        if self.known.is_some() {
            // The list comes into force before who waited for it is taken in.
            self.desk.alarms.set(now + FIRST_LIST, Due::FirstList);
            self.desk.clients.hold(now, now + FIRST_LIST.min(held_at_most), &mut self.desk.alarms);
        }
        self.discovery.call(now, &mut self.desk.alarms);
    }

    /// Turn by turn, until the listeners are closed and no client is left.
    fn run(&mut self, event_loop: &mut EventLoop<'static, Turn>) -> calloop::Result<()> {
        let mut turn = Turn::default();
        while !(self.over && self.desk.clients.count() == 0) {
            let next = self.desk.alarms.until_next(self.clock.now());
            let wait = next.map_or(SIGNAL_POLL_INTERVAL, |next| next.min(SIGNAL_POLL_INTERVAL));
            event_loop.dispatch(wait, &mut turn)?;
            // Nothing came but a time: whatever runs now delays nobody who is already there.
            let calm = turn.ready.is_empty();
            self.begin_turn();
            self.hang_ups(&turn);
            while let Some(ready) = turn.ready.pop_front() {
                self.turn(ready);
            }
            self.ring();
            self.turn_over(calm);
        }
        Ok(())
    }

    /// Keeps what outlasts the process, and ends its threads.
    fn finish(&mut self) {
        let now = self.tick();
        if let (Some(keeping), Some(pool)) = (&mut self.keeping, self.background.pool()) {
            keeping.finish(now, &mut self.broker, &self.desk, pool);
        }
        self.desk.fleet.iter_mut().for_each(Fleet::stop);
    }
}
