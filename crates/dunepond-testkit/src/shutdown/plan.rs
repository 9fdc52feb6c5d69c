//! What one play of a shutdown does, drawn from its seed.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::client::ClientBehavior;
use crate::stand_ins::NodeBehavior;

/// The protocol page counts deadlines beyond this towards the kill no further.
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
/// By the same page SIGKILL comes so much later than the longest deadline after SIGTERM, at the earliest.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// By the page of the standing test a broker may be held up for so long.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// A process that is stopped by its machine may stand still for longer than that. It can be asked to make up for it only if
/// so much is left to the kill.
const MAX_STALL: Duration = Duration::from_millis(900);
const TIME_AFTER_STALL: Duration = Duration::from_millis(500);
/// Descriptors of a broker in front of which a crowd waits.
const FEW_SOCKETS: u64 = 64;
const MANY_SOCKETS: u64 = 1024;

/// A stretch in which a broker's process is stopped, from the first SIGTERM on.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// From when, after the first SIGTERM.
    pub from: Duration,
    /// For how long.
    pub duration: Duration,
}

/// What happens to one broker, all of it counted from its first SIGTERM.
#[derive(Clone, Debug)]
pub struct BrokerPlan {
    /// SIGHUP this long before it, where there is one.
    pub reload_before: Option<Duration>,
    /// Signals after it.
    pub signals: Vec<(Duration, Signal)>,
    /// When its process is stopped.
    pub pauses: Vec<Pause>,
    /// Until then clients that find all their connections busy or closed open new ones here.
    pub new_connections_until: Duration,
    /// How each of its clients uses connections.
    pub clients: Vec<ClientBehavior>,
    /// Connections that never ask anything.
    pub idle_connections: usize,
}

/// One shutdown of several brokers, drawn from its seed.
#[derive(Clone, Debug)]
pub struct ShutdownPlan {
    /// What it is drawn from.
    pub seed: u64,
    /// The query timeout of both query classes.
    pub timeout: Duration,
    /// How many nodes there are.
    pub nodes: usize,
    /// How many of the nodes misbehave: the first ones.
    pub misbehaving_nodes: usize,
    /// How these behave.
    pub node_behavior: NodeBehavior,
    /// When they begin, after the first SIGTERM of all, or before it where negative.
    pub misbehaving_after_seconds: f64,
    /// Discovery falls silent at the same time.
    pub discovery_stops: bool,
    /// Share of the requests that must not run twice.
    pub non_idempotent_ratio: f64,
    /// Descriptors that each broker may use.
    pub sockets: u64,
    /// Between the first SIGTERM of one broker and that of the next.
    pub signal_interval: Duration,
    /// What happens to each broker.
    pub brokers: Vec<BrokerPlan>,
}

impl ShutdownPlan {
    /// Draws a plan.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let crowd = rng.random_bool(0.25);
        let timeout = Duration::from_millis(rng.random_range(300..2_000));
        let brokers = rng.random_range(2..=4);
        let nodes = rng.random_range(4..=8);
        let misbehaving_nodes = [nodes / 4, nodes / 2, nodes][rng.random_range(0..3)];
        let node_behavior = match rng.random_range(0..10) {
            0..6 => NodeBehavior::Hang,
            6 => NodeBehavior::DelayMillis(timeout.as_millis() as u64 * 4 / 5),
            7 => NodeBehavior::ReplyStatus("fault"),
            8 => NodeBehavior::ReplyStatus("overload"),
            _ => NodeBehavior::CloseMidFrame,
        };
        Self {
            seed,
            timeout,
            nodes,
            misbehaving_nodes,
            node_behavior,
            misbehaving_after_seconds: rng.random_range(-0.3..0.9),
            discovery_stops: rng.random_bool(0.2),
            non_idempotent_ratio: rng.random_range(0.2..0.9),
            sockets: if crowd { FEW_SOCKETS } else { MANY_SOCKETS },
            signal_interval: Duration::from_millis(rng.random_range(0..600)),
            brokers: (0..brokers).map(|_| BrokerPlan::draw(&mut rng, timeout, crowd)).collect(),
        }
    }

    /// Nodes turn parts away, so that one which must not run twice may be sent again.
    pub fn nodes_reject(&self) -> bool {
        self.node_behavior == NodeBehavior::ReplyStatus("overload")
    }

    /// How long after the first SIGTERM the kill comes, at the page's earliest.
    pub fn kill_after(&self) -> Duration {
        self.timeout.min(MAX_COUNTED_TIMEOUT) + KILL_AFTER_DEADLINE
    }
}

impl BrokerPlan {
    fn draw(rng: &mut Pcg64Mcg, timeout: Duration, crowd: bool) -> Self {
        let kill_after = timeout + KILL_AFTER_DEADLINE;
        let within = |rng: &mut Pcg64Mcg| kill_after.mul_f64(rng.random_range(0.0..1.0));
        let signals = (0..rng.random_range(0..4)).map(|_| {
            let signal = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP][rng.random_range(0..3)];
            (within(rng), signal)
        });
        let mut signals: Vec<_> = signals.collect();
        signals.sort_by_key(|(at, _)| *at);
        let clients = (0..rng.random_range(10..24)).map(|_| ClientBehavior::draw(rng)).collect();
        Self {
            reload_before: rng.random_bool(0.4).then(|| Duration::from_millis(rng.random_range(0..20))),
            signals,
            pauses: Self::draw_pauses(rng, kill_after),
            new_connections_until: Duration::from_millis(rng.random_range(200..400)),
            clients,
            idle_connections: if crowd { rng.random_range(40..90) } else { 0 },
        }
    }

    /// Stretches across the signal itself, across the last answers, and anywhere between; none overlaps another.
    fn draw_pauses(rng: &mut Pcg64Mcg, kill_after: Duration) -> Vec<Pause> {
        let lasts = MAX_PAUSE.mul_f64(rng.random_range(0.5..1.0));
        let mut holds = Vec::new();
        match rng.random_range(0..20) {
            0..8 => holds.push(Pause { from: Duration::ZERO, duration: lasts }),
            8..12 => {
                let most = MAX_STALL.min(kill_after - TIME_AFTER_STALL);
                holds
                    .push(Pause { from: Duration::ZERO, duration: most.mul_f64(rng.random_range(0.3..1.0)) });
            }
            _ => {}
        }
        let free_from = holds.first().map_or(Duration::ZERO, |hold| hold.duration) + MAX_PAUSE;
        let last_from = kill_after - Duration::from_millis(rng.random_range(30..400));
        if rng.random_bool(0.3) && free_from + 2 * MAX_PAUSE < last_from {
            let room = last_from - 2 * MAX_PAUSE - free_from;
            holds.push(Pause { from: free_from + room.mul_f64(rng.random_range(0.0..1.0)), duration: lasts });
        }
        if rng.random_bool(0.5) && free_from < last_from {
            holds.push(Pause { from: last_from, duration: lasts });
        }
        holds
    }

    /// The longest stretch for which it stands still.
    pub fn longest_pause(&self) -> Duration {
        self.pauses.iter().map(|hold| hold.duration).max().unwrap_or_default()
    }
}
