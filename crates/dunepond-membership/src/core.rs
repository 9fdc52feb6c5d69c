//! The membership, free of input and output: `foca` with what it lacks for us. Around it stand the belief in who speaks, bounds on
//! what others can make us hold, calls to known peers that are not members, and the time in which we stood still.
//!
//! Whoever hosts this hands in each datagram and calls [`Core::tick`] at [`Core::next_tick_at`] or earlier, datagrams that wait first: after
//! a stop they tell who is alive before any timer can say otherwise.

mod fresh;
mod signs;
mod versions;

use crate::belief::Belief;
use crate::error::PeerError;
use crate::hearsay::Hearsay;
use crate::lives::Lives;
use crate::rests::Gauge;
use crate::terms::check;
use crate::wire::{About, Head, LONGEST_HEAD, Seal, Span, unframe};
use crate::words::{Event, Id, Limits, MembershipOptions, Peer, PeerState, Timing};
use foca::{
    AccumulatingRuntime, Foca, Identity, NoCustomBroadcast, PeriodicParams, PostcardCodec, State, Timer,
};
use rand::RngExt;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

pub use signs::Sign;

/// What is told to how many at a time, how often each news is passed on, and how long who left is remembered.
const HELPERS: usize = 3;
const TOLD_TIMES: u8 = 10;
const GOSSIP: f64 = 0.2;
const REMEMBERED: f64 = 120.0;
/// Those that left under a name that the file does not have are called now and then too.
const CALL_GONE: f64 = 15.0;
/// Refusals sent over UDP in a second, over all peers.
const REFUSALS: u32 = 10;
/// A turn comes at least this often, so that standing still can be told from having nothing to do.
const LONGEST_TURN: f64 = 0.25;

/// What is to be done after a call.
#[derive(Debug, Default)]
pub struct Actions {
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Only `Came`, `Suspect` and `Left`.
    pub changes: Vec<Event>,
    /// Why the message that was handed in, or a part of it, is not believed.
    pub fault: Option<PeerError>,
}

pub struct Core {
    foca: Foca<Id, PostcardCodec, Pcg64, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Id>,
    belief: Belief,
    seal: Seal,
    speaks: Span,
    /// Of names of the file that were not heard yet: what they refused to speak leaves this.
    assumed: BTreeMap<String, Span>,
    greet_at: f64,
    /// Datagrams and requests to each, and where to begin with a name that is new or was forgotten.
    counts: BTreeMap<String, [u64; 2]>,
    floor: [u64; 2],
    /// What was last sent to names whose pass we do not have, and when: it is sent again with the pass.
    unheard: BTreeMap<String, (f64, Vec<u8>)>,
    bounds: Limits,
    pace: Timing,
    /// By due time and order of arrival; a timer that is late must not overtake.
    timers: Vec<(f64, u64, Timer<Id>)>,
    ordered: u64,
    now: f64,
    announce_at: f64,
    chance: Pcg64,
    datagrams: Gauge,
    requests: Gauge,
    refusals: Gauge,
    greetings: Gauge,
    lives: Lives,
    seen: BTreeMap<String, (Id, PeerState)>,
    /// The library has been told something since it was last looked at.
    touched: bool,
    /// Suspected members of the file, asked for a sign of life over the request channel.
    pending: BTreeMap<String, signs::Pending>,
}

fn seconds(length: f64) -> Duration {
    Duration::try_from_secs_f64(length).unwrap_or(Duration::MAX)
}

impl Core {
    /// `told.listen` must have its port by now. `secret` is this life's own, which no other can guess.
    pub fn new(told: &MembershipOptions, secret: [u8; 32], now: f64) -> Result<Core, PeerError> {
        let seal = Seal::new(told.key.as_deref())?;
        let belief = Belief::new(&told.name, seal.keyed(), &told.known_peers)?;
        let (bounds, pace) = (&told.limits, &told.timing);
        check(bounds, pace)?;
        let room = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        let often = |every: f64, members: usize| {
            Some(PeriodicParams { frequency: seconds(every), num_members: room(members) })
        };
        let terms = foca::Config {
            probe_period: seconds(pace.probe_interval_seconds),
            probe_rtt: seconds(pace.probe_timeout_seconds),
            num_indirect_probes: room(HELPERS),
            max_transmissions: NonZeroU8::new(TOLD_TIMES).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: seconds(pace.suspicion_timeout_seconds),
            remove_down_after: Some(seconds(REMEMBERED)),
            max_packet_size: room(bounds.max_datagram_bytes - LONGEST_HEAD),
            notify_down_members: true,
            periodic_announce: often(30.0, 1),
            periodic_announce_to_down_members: often(CALL_GONE, 2),
            periodic_gossip: often(GOSSIP, HELPERS),
        };
        let me = Id {
            name: told.name.clone(),
            incarnation: told.incarnation,
            renewed: 0,
            listen: told.listen_address,
        };
        Ok(Core {
            foca: Foca::new(me, terms, Pcg64::seed_from_u64(told.seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            belief,
            seal,
            speaks: told.supported_versions,
            assumed: BTreeMap::new(),
            greet_at: now,
            counts: BTreeMap::new(),
            floor: [0; 2],
            unheard: BTreeMap::new(),
            bounds: bounds.clone(),
            pace: pace.clone(),
            timers: Vec::new(),
            ordered: 0,
            now,
            announce_at: now,
            chance: Pcg64::seed_from_u64(!told.seed),
            datagrams: Gauge::default(),
            requests: Gauge::default(),
            refusals: Gauge::default(),
            greetings: Gauge::default(),
            lives: Lives::new(secret, 2.0 * pace.suspicion_timeout_seconds, bounds.max_members),
            seen: BTreeMap::new(),
            touched: false,
            pending: BTreeMap::new(),
        })
    }

    pub fn me(&self) -> &Id {
        self.foca.identity()
    }

    /// All that were heard of, by name; those that left for two minutes more.
    pub fn members(&self) -> Vec<Peer> {
        let peer = |(id, standing): &(Id, PeerState)| Peer {
            name: id.name.clone(),
            incarnation: id.incarnation,
            listen_address: id.listen,
            state: *standing,
        };
        self.seen.values().map(peer).collect()
    }

    /// Where to send what is for `name`: where the file says, else where the member says.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.belief.known.get(name).copied().or_else(|| self.seen.get(name).map(|(id, _)| id.listen))
    }

    /// When the next turn is due, at the latest.
    pub fn next_tick_at(&self) -> f64 {
        let first = self.timers.iter().map(|timer| timer.0).fold(self.announce_at, f64::min);
        let first = first.min(self.next_sign());
        first.clamp(self.now, self.now + LONGEST_TURN)
    }

    /// Lets pass what time has brought due.
    pub fn tick(&mut self, now: f64) -> Actions {
        self.wake(now);
        let mut orders = Actions::default();
        // What a timer orders for at once waits for the next turn, so that this ends.
        let due = self.due();
        for timer in due {
            // A timer that came late can find its cycle over: the library says so and goes on with a new one.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        if self.now >= self.announce_at {
            // All that started together must not call together for ever.
            self.announce_at =
                self.now + self.pace.announce_interval_seconds * self.chance.random_range(0.75..1.25);
            self.announce();
            self.greet(&mut orders);
        }
        self.collect(&mut orders, None);
        orders
    }

    /// Takes a datagram that came from `source`.
    pub fn on_datagram(&mut self, now: f64, source: SocketAddr, bytes: &[u8]) -> Actions {
        self.wake(now);
        let mut orders = Actions::default();
        if let Err(fault) = self.take(source, bytes, &mut orders) {
            self.refuse(source, &fault, bytes, &mut orders);
            orders.fault = Some(fault);
        }
        // Nearly all of a flood ends above: without a look at each member it costs its reading alone.
        if self.touched {
            self.collect(&mut orders, None);
        }
        orders
    }

    /// The head of a message to `to`. Only what goes to its address by datagram gives it our pass.
    pub fn head(&self, to: &str, about: About) -> Head {
        let gives = if matches!(about, About::Members | About::Greeting) { self.lives.ours(to) } else { 0 };
        let echo = if matches!(about, About::Members | About::Greeting | About::Ask { .. }) {
            self.lives.theirs(to)
        } else {
            0
        };
        Head { from: self.me().clone(), to: to.into(), gives, echo, about }
    }

    /// The pass that `name` gave us, 0 if none: what a request to it shows.
    pub fn pass(&self, name: &str) -> u64 {
        self.lives.theirs(name)
    }

    /// Tells others that we go. Nothing else may be called after this.
    pub fn leave(&mut self, now: f64) -> Actions {
        self.wake(now);
        let mut orders = Actions::default();
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect(&mut orders, None);
        orders
    }

    /// After standing still, what waited for others waits as much longer: they were not heard because we did not listen.
    fn wake(&mut self, now: f64) {
        let gap = now - self.now;
        if gap > self.pace.stall_threshold_seconds {
            self.timers.iter_mut().for_each(|timer| timer.0 += gap);
        }
        self.now = self.now.max(now);
    }

    fn due(&mut self) -> Vec<Timer<Id>> {
        let now = self.now;
        let (mut due, later): (Vec<_>, Vec<_>) = self.timers.drain(..).partition(|timer| timer.0 <= now);
        self.timers = later;
        due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)).then(a.1.cmp(&b.1)));
        due.into_iter().map(|timer| timer.2).collect()
    }

    /// Calls each known peer that is not a member, at its known address, whatever was said of it.
    fn announce(&mut self) {
        let away = |name: &&String| self.active(name).is_none();
        let names: Vec<String> = self.belief.known.keys().filter(away).cloned().collect();
        for name in names {
            let listen = self.belief.known[&name];
            let _ = self.foca.announce(Id { name, incarnation: 0, renewed: 0, listen }, &mut self.runtime);
        }
    }

    fn active(&self, name: &str) -> Option<&Id> {
        self.seen.get(name).filter(|(_, standing)| *standing != PeerState::Down).map(|(id, _)| id)
    }

    fn take(&mut self, source: SocketAddr, bytes: &[u8], orders: &mut Actions) -> Result<(), PeerError> {
        let from = source.to_string();
        let garbled = || PeerError::Garbled { from: source.to_string() };
        if bytes.len() > self.bounds.max_datagram_bytes {
            let most = self.bounds.max_datagram_bytes;
            return Err(PeerError::TooLarge { to: self.me().name.clone(), bytes: bytes.len(), most });
        }
        let (said, head, load) = unframe(bytes, &self.seal, &from, self.speaks)?;
        self.allowed(&head, source)?;
        self.first(&said, &head, bytes.len(), orders)?;
        if !self.datagrams.take(&head.from.name, self.bounds.max_datagrams_per_second, self.now) {
            return Err(PeerError::Flood {
                name: head.from.name,
                most: self.bounds.max_datagrams_per_second,
            });
        }
        match head.about {
            About::Members => self.lives.passes(&head.from.name, head.gives, head.echo),
            About::Greeting => {
                self.lives.passes(&head.from.name, head.gives, head.echo);
                self.send_again(&head.from.name, orders);
                return Ok(());
            }
            About::Refused { .. } => {
                let why = postcard::from_bytes(load).map_err(|_| garbled())?;
                return Err(PeerError::Refused { to: head.from.name, why });
            }
            About::Ask { .. } | About::Answer { .. } => return Err(garbled()),
        }
        self.hear(&head.from, load, &from)
    }

    /// Hands one message of a believed sender to the library.
    fn hear(&mut self, sender: &Id, load: &[u8], from: &str) -> Result<(), PeerError> {
        let (load, fault) = self.judge(sender, load, from)?;
        self.touched = true;
        let handled = self.foca.handle_data(&load, &mut self.runtime);
        handled.map_err(|fault| PeerError::Membership { from: from.into(), why: fault.to_string() })?;
        fault.map_or(Ok(()), Err)
    }

    /// Reads what the library will read, and leaves out what is not believed of others.
    fn judge(&self, sender: &Id, load: &[u8], from: &str) -> Result<(Vec<u8>, Option<PeerError>), PeerError> {
        let mut hearsay = Hearsay::read(load, from)?;
        let src = &hearsay.header.src;
        if src != sender {
            return Err(PeerError::Claimed { from: from.into(), name: src.name.clone() });
        }
        // Names of the file always find room: strangers cannot keep them out.
        let stranger = |name: &str| name != self.me().name && !self.belief.known.contains_key(name);
        let fresh = |id: &&Id| stranger(&id.name) && !self.seen.contains_key(&id.name);
        let more: BTreeSet<&String> =
            [sender].into_iter().chain(hearsay.about()).filter(fresh).map(|id| &id.name).collect();
        let strangers = self.seen.keys().filter(|name| stranger(name)).count();
        if !more.is_empty() && strangers + more.len() > self.bounds.max_members {
            return Err(PeerError::Full { most: self.bounds.max_members });
        }
        let mut fault = None;
        hearsay.retain(|id| match self.belief.said(id, self.active(&id.name), self.me(), from) {
            Ok(believed) => believed,
            Err(why) => {
                fault = Some(why);
                false
            }
        });
        Ok((hearsay.bytes(), fault))
    }

    /// Tells a known peer, at its known address, why it is not believed: in fewer bytes than came, and only so often. What an
    /// unknown address sends is counted and not answered.
    fn refuse(&mut self, source: SocketAddr, fault: &PeerError, came: &[u8], orders: &mut Actions) {
        let known = self.belief.known.iter().find(|(_, at)| **at == source);
        // Who lacks our pass is greeted instead, and what is old was not sent now.
        let told =
            matches!(fault, PeerError::Refused { .. } | PeerError::Unproven { .. } | PeerError::Old { .. });
        let (Some((name, at)), Some(why), false) = (known, fault.refusal(&self.me().name), told) else {
            return;
        };
        let head = self.head(name, About::Refused { id: 0 });
        let (at, version) = (*at, self.answer_in(came));
        let load = postcard::to_stdvec(&why.spoken_in(version)).unwrap_or_default();
        let bytes = self.framed(version, &head, &load);
        // Shorter, so that refusals of refusals end.
        if bytes.len() < came.len() && self.refusals.take("", REFUSALS, self.now) {
            orders.datagrams.push((at, bytes));
        }
    }

    /// Takes out of the library what it wants done, and compares who is there with who was. What goes to `aside` is given back
    /// instead of ordered: it is asking over a connection.
    fn collect(&mut self, orders: &mut Actions, aside: Option<&str>) -> Vec<Vec<u8>> {
        self.touched = false;
        let mut there = BTreeMap::new();
        let mut kept = Vec::new();
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.ordered += 1;
            self.timers.push((self.now + after.as_secs_f64(), self.ordered, timer));
        }
        // What changed is seen in the members themselves: the library gives no notice of a suspicion.
        while self.runtime.to_notify().is_some() {}
        for member in self.foca.iter_membership_state().filter(|member| member.id().name != self.belief.me) {
            let standing = match member.state() {
                State::Alive => PeerState::Alive,
                State::Suspect => PeerState::Suspected,
                State::Down => PeerState::Down,
            };
            there.insert(member.id().addr(), (member.id().clone(), standing));
        }
        while let Some((to, load)) = self.runtime.to_send() {
            if aside == Some(to.name.as_str()) {
                kept.push(load.to_vec());
                continue;
            }
            // Nobody can make us send to where no member is.
            let at = self.belief.known.get(&to.name).copied();
            let Some(at) = at.or_else(|| there.get(&to.name).map(|(id, _)| id.listen)) else { continue };
            let head = self.head(&to.name, About::Members);
            let bytes = self.framed(self.version_to(&to.name), &head, &load);
            if head.echo == 0
                && (self.unheard.len() < self.bounds.max_members || self.unheard.contains_key(&to.name))
            {
                self.unheard.insert(to.name, (self.now, load.to_vec()));
            }
            orders.datagrams.push((at, bytes));
        }
        for (name, (id, standing)) in &there {
            let before = self.seen.get(name);
            let same_life = before.is_some_and(|(was, _)| was == id);
            let was = before.map(|(_, standing)| *standing);
            match standing {
                PeerState::Alive if !(same_life && was == Some(PeerState::Alive)) => {
                    let peer = Peer {
                        name: name.clone(),
                        incarnation: id.incarnation,
                        listen_address: id.listen,
                        state: *standing,
                    };
                    orders.changes.push(Event::PeerUp(peer));
                }
                PeerState::Suspected if was != Some(PeerState::Suspected) => {
                    orders.changes.push(Event::PeerSuspected(name.clone()));
                }
                PeerState::Down if was.is_some_and(|was| was != PeerState::Down) => {
                    orders.changes.push(Event::PeerDown(name.clone()));
                }
                _ => {}
            }
        }
        for (name, (_, standing)) in &self.seen {
            if *standing != PeerState::Down && !there.contains_key(name) {
                orders.changes.push(Event::PeerDown(name.clone()));
            }
        }
        self.seen = there;
        self.suspects();
        kept
    }
}
