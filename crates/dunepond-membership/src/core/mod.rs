//! The membership protocol without input and output. It uses the gossip library `foca`, and adds what the library
//! leaves to its user: verification of senders, limits on the state that peers can make this broker store,
//! announcements (requests to join) to configured peers that are not members, and handling of stalls of this process.
//!
//! The event loop passes each datagram to [`Core::on_datagram`], and calls [`Core::tick`] at [`Core::next_tick_at`] or
//! earlier. It must pass in the datagrams that wait in the socket before it calls [`Core::tick`]: after a stall of this
//! process, they show that peers are alive which overdue timers would otherwise declare down.

mod changes;
mod liveness;
mod receive;
mod replay_protection;
mod versions;

use crate::codec::{Authenticator, MAX_OVERHEAD_BYTES};
use crate::error::PeerError;
use crate::event::Event;
use crate::identity::{Peer, PeerId, PeerState};
use crate::incarnations::Incarnations;
use crate::messages::{MessageHeader, MessageType};
use crate::options::{Limits, MembershipOptions, Timing};
use crate::rate_limit::RateLimiter;
use crate::sender_auth::SenderPolicy;
use crate::version::VersionRange;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, PeriodicParams, PostcardCodec, Timer};
use rand::RngExt;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

pub use liveness::LivenessCheck;

/// Number of members that are asked to probe a member that did not answer this broker, and number of members to which
/// one round of gossip is sent.
const FANOUT_COUNT: usize = 3;
/// Number of times that this broker transmits each membership update.
const MAX_TRANSMISSIONS: u8 = 10;
const GOSSIP_INTERVAL_SECONDS: f64 = 0.2;
const REANNOUNCE_INTERVAL_SECONDS: f64 = 30.0;
/// Time for which a member is remembered after it went down, in seconds, so that old gossip does not add it again.
const DOWN_RETENTION_SECONDS: f64 = 120.0;
/// Interval of announcements to members that are down, whether they are configured or not, in seconds.
const ANNOUNCE_TO_DOWN_INTERVAL_SECONDS: f64 = 15.0;
const ANNOUNCE_TO_DOWN_COUNT: usize = 2;
/// Longest interval between ticks, in seconds. Since the core's clock is updated this often even if nothing happens, a
/// longer gap between updates shows that the process stalled.
const MAX_TICK_INTERVAL_SECONDS: f64 = 0.25;
/// Range of the random factor on announcement intervals, so that brokers that started at the same time do not keep
/// announcing at the same times.
const ANNOUNCE_JITTER: std::ops::Range<f64> = 0.75..1.25;
/// Messages of a broker's earlier incarnations are rejected at least until this time has passed since the last message
/// of its latest known incarnation. A multiple of the suspicion timeout.
const STALE_RETENTION_TIMEOUTS: f64 = 2.0;

/// What the event loop must do after a call to [`Core`].
#[derive(Debug, Default)]
pub struct Actions {
    /// Datagrams to send, with their destinations.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Membership changes for the caller; only `PeerUp`, `PeerSuspected` and `PeerDown` occur.
    pub changes: Vec<Event>,
    /// Why the message that was passed in, or a part of it, was rejected; `None` if it was accepted.
    pub error: Option<PeerError>,
}

/// The state of the membership protocol, which changes with datagrams, ticks and the outcomes of liveness checks.
pub struct Core {
    foca: Foca<PeerId, PostcardCodec, Pcg64, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<PeerId>,
    sender_policy: SenderPolicy,
    authenticator: Authenticator,
    limits: Limits,
    timing: Timing,
    rng: Pcg64,
    /// The core's clock: the latest time that the event loop passed in, in seconds.
    now: f64,
    timers: Vec<ScheduledTimer>,
    /// Number of timers that were ever scheduled.
    timers_scheduled: u64,
    /// Time of the next announcement to configured peers that are not members, in seconds on the core's clock.
    next_announce_at: f64,
    /// Members by name, as last reported to the caller.
    members: BTreeMap<String, MemberRecord>,
    incarnations: Incarnations,
    /// Scheduled and running liveness checks, by the name of the suspected member.
    liveness_checks: BTreeMap<String, liveness::PendingCheck>,
    versions: versions::VersionState,
    sequences: versions::SequenceNumbers,
    /// The last gossip that was sent to each peer from which no address token has been received yet, by the peer's
    /// name; it is sent again if the token arrives soon afterwards.
    gossip_without_token: BTreeMap<String, replay_protection::SentGossip>,
    datagram_limiter: RateLimiter,
    request_limiter: RateLimiter,
    refusal_limiter: RateLimiter,
    hello_limiter: RateLimiter,
    /// Whether the gossip library has processed a message since the library's members were last compared with
    /// `members`.
    members_stale: bool,
}

/// A timer of the gossip library. Due timers are handled in the order of their due times, then in the library's own
/// order, then in the order in which they were scheduled.
struct ScheduledTimer {
    /// Time at which the timer expires, in seconds on the core's clock.
    due: f64,
    /// Position in the order in which timers were scheduled.
    order: u64,
    timer: Timer<PeerId>,
}

/// A member as last reported to the caller.
#[derive(Clone)]
struct MemberRecord {
    id: PeerId,
    state: PeerState,
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

fn at_least_one(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

fn gossip_config(limits: &Limits, timing: &Timing) -> foca::Config {
    let periodic = |interval_seconds: f64, members: usize| {
        Some(PeriodicParams { frequency: duration(interval_seconds), num_members: at_least_one(members) })
    };
    foca::Config {
        probe_period: duration(timing.probe_interval_seconds),
        probe_rtt: duration(timing.probe_timeout_seconds),
        num_indirect_probes: at_least_one(FANOUT_COUNT),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(timing.suspicion_timeout_seconds),
        remove_down_after: Some(duration(DOWN_RETENTION_SECONDS)),
        max_packet_size: at_least_one(limits.max_datagram_bytes - MAX_OVERHEAD_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(REANNOUNCE_INTERVAL_SECONDS, 1),
        periodic_announce_to_down_members: periodic(
            ANNOUNCE_TO_DOWN_INTERVAL_SECONDS,
            ANNOUNCE_TO_DOWN_COUNT,
        ),
        periodic_gossip: periodic(GOSSIP_INTERVAL_SECONDS, FANOUT_COUNT),
    }
}

impl Core {
    /// Creates a core. `options.listen_address` must have its final port. This broker's address tokens are derived from
    /// `token_secret`, which must be used by this incarnation only; no other process may be able to guess it.
    pub fn new(options: &MembershipOptions, token_secret: [u8; 32], now: f64) -> Result<Core, PeerError> {
        let authenticator = Authenticator::new(options.key.as_deref())?;
        let sender_policy = SenderPolicy::new(&options.name, authenticator.has_key(), &options.known_peers)?;
        options.check()?;
        let (limits, timing) = (&options.limits, &options.timing);
        let local_id = PeerId {
            name: options.name.clone(),
            incarnation: options.incarnation,
            renewals: 0,
            listen_address: options.listen_address,
        };
        let stale_retention = STALE_RETENTION_TIMEOUTS * timing.suspicion_timeout_seconds;
        Ok(Core {
            foca: Foca::new(
                local_id,
                gossip_config(limits, timing),
                Pcg64::seed_from_u64(options.seed),
                PostcardCodec,
            ),
            runtime: AccumulatingRuntime::new(),
            sender_policy,
            authenticator,
            limits: limits.clone(),
            timing: timing.clone(),
            rng: Pcg64::seed_from_u64(!options.seed),
            now,
            timers: Vec::new(),
            timers_scheduled: 0,
            next_announce_at: now,
            members: BTreeMap::new(),
            incarnations: Incarnations::new(token_secret, stale_retention, limits.max_members),
            liveness_checks: BTreeMap::new(),
            versions: versions::VersionState::new(options.supported_versions, now),
            sequences: versions::SequenceNumbers::default(),
            gossip_without_token: BTreeMap::new(),
            datagram_limiter: RateLimiter::default(),
            request_limiter: RateLimiter::default(),
            refusal_limiter: RateLimiter::default(),
            hello_limiter: RateLimiter::default(),
            members_stale: false,
        })
    }

    /// Returns this broker's identity.
    pub fn local_id(&self) -> &PeerId {
        self.foca.identity()
    }

    /// Returns all members in the order of their names, including those that went down recently.
    pub fn members(&self) -> Vec<Peer> {
        self.members.values().map(|member| Peer::new(&member.id, member.state)).collect()
    }

    /// Returns the address to which messages to `name` are sent: the configured address, or else the listen address
    /// that the member of this name states.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let configured = self.sender_policy.known_peers.get(name).copied();
        configured.or_else(|| self.members.get(name).map(|member| member.id.listen_address))
    }

    /// Returns the time by which [`Core::tick`] must be called next, in seconds on the core's clock.
    pub fn next_tick_at(&self) -> f64 {
        let first = self.timers.iter().map(|timer| timer.due).fold(self.next_announce_at, f64::min);
        let first = first.min(self.next_liveness_check_at());
        first.clamp(self.now, self.now + MAX_TICK_INTERVAL_SECONDS)
    }

    /// Handles the timers that are due, and prepares the due announcements to configured peers that are not members, and
    /// the due hellos to peers of version 1. The returned actions contain the datagrams to send.
    pub fn tick(&mut self, now: f64) -> Actions {
        self.advance_clock(now);
        let mut actions = Actions::default();
        // A timer that is scheduled in this loop is handled at the next tick, even if it is due at once, so that the
        // loop ends.
        for timer in self.take_due_timers() {
            // The error is ignored: a late timer may belong to a probe cycle that is over, for which the library
            // reports an error and begins the next cycle.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
        }
        if self.now >= self.next_announce_at {
            let jitter = self.rng.random_range(ANNOUNCE_JITTER);
            self.next_announce_at = self.now + self.timing.announce_interval_seconds * jitter;
            self.announce_to_absent_peers();
            self.send_hello_to_older_peers(&mut actions);
        }
        self.collect_actions(&mut actions, None);
        actions
    }

    /// Notifies the members that this broker leaves. No other method may be called afterwards.
    pub fn leave(&mut self, now: f64) -> Actions {
        self.advance_clock(now);
        let mut actions = Actions::default();
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.collect_actions(&mut actions, None);
        actions
    }

    /// Returns the header of a message to `to`. Only gossip and hello datagrams issue this broker's address token,
    /// since they are sent to the peer's own address.
    pub fn header_for(&self, to: &str, message_type: MessageType) -> MessageHeader {
        let is_datagram = matches!(message_type, MessageType::Gossip | MessageType::Hello);
        let is_request = matches!(message_type, MessageType::Request { .. });
        let issued_token = if is_datagram { self.incarnations.token_for(to) } else { 0 };
        let echoed_token = if is_datagram || is_request { self.incarnations.token_from(to) } else { 0 };
        MessageHeader {
            from: self.local_id().clone(),
            to: to.into(),
            issued_token,
            echoed_token,
            message_type,
        }
    }

    /// Returns the address token that `name` issued to this broker, which requests to `name` must echo; 0 if there is
    /// none.
    pub fn token_from(&self, name: &str) -> u64 {
        self.incarnations.token_from(name)
    }

    /// Returns the protocol versions that this broker supports.
    pub fn supported_versions(&self) -> VersionRange {
        self.versions.supported
    }

    /// Returns the authenticator, which signs and verifies the fleet's messages.
    pub fn authenticator(&self) -> &Authenticator {
        &self.authenticator
    }

    /// Advances the clock. After a stall of this process, all timers of the gossip library are postponed by the length
    /// of the stall, because peers may have sent messages during the stall that this broker did not read.
    fn advance_clock(&mut self, now: f64) {
        let gap = now - self.now;
        if gap > self.timing.stall_threshold_seconds {
            self.timers.iter_mut().for_each(|timer| timer.due += gap);
        }
        self.now = self.now.max(now);
    }

    /// Removes the timers that are due, and returns them in the order in which they must be handled.
    fn take_due_timers(&mut self) -> Vec<Timer<PeerId>> {
        let now = self.now;
        let (mut due, later): (Vec<_>, Vec<_>) = self.timers.drain(..).partition(|timer| timer.due <= now);
        self.timers = later;
        due.sort_by(|a, b| a.due.total_cmp(&b.due).then(a.timer.cmp(&b.timer)).then(a.order.cmp(&b.order)));
        due.into_iter().map(|scheduled| scheduled.timer).collect()
    }

    /// Announces this broker to each configured peer that is not a member or is down, at the peer's configured address.
    fn announce_to_absent_peers(&mut self) {
        let is_absent = |name: &&String| self.active_member(name).is_none();
        let names: Vec<String> = self.sender_policy.known_peers.keys().filter(is_absent).cloned().collect();
        for name in names {
            let listen_address = self.sender_policy.known_peers[&name];
            let peer = PeerId { name, incarnation: 0, renewals: 0, listen_address };
            let _ = self.foca.announce(peer, &mut self.runtime);
        }
    }

    /// Returns the identity of the member `name`, unless it is down.
    fn active_member(&self, name: &str) -> Option<&PeerId> {
        let member = self.members.get(name)?;
        (member.state != PeerState::Down).then_some(&member.id)
    }

    fn is_configured(&self, name: &str) -> bool {
        self.sender_policy.known_peers.contains_key(name)
    }
}
