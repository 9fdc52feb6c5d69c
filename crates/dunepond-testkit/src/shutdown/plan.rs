//! The random plan of one run of the shutdown test, drawn from its seed.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::client::ClientBehavior;
use crate::stand_ins::NodeBehavior;

/// Longest query deadline that the protocol specification counts when it states the earliest time of the kill.
const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
/// By the protocol specification, SIGKILL comes at the earliest this long after the longest deadline, counted from SIGTERM.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// By the specification of the shutdown test, a broker's process may be stopped for this long.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Longest stop of a process by its machine, which may last longer than [`MAX_PAUSE`]. The plan leaves at least
/// [`MIN_TIME_AFTER_STALL`] between its end and the kill.
const MAX_STALL: Duration = Duration::from_millis(900);
/// Shortest time between the end of a stop that is longer than [`MAX_PAUSE`] and the kill. With less, the broker cannot be
/// expected to answer what it received.
const MIN_TIME_AFTER_STALL: Duration = Duration::from_millis(500);
/// Limit on the file descriptors of a broker that also has many idle connections, so that it runs short of descriptors.
const FEW_FILE_DESCRIPTORS: u64 = 64;
/// In one of so many seeds, clients flood the brokers.
const SEEDS_PER_FLOOD: u64 = 4;
/// Number of clients that flood a broker.
const FLOODING_CLIENTS: usize = 12;
/// Limit on the file descriptors of a broker that has no idle connections.
const MANY_FILE_DESCRIPTORS: u64 = 1024;

/// A planned interval in which a broker's process is stopped with SIGSTOP.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// Start of the interval, counted from the broker's first SIGTERM.
    pub from: Duration,
    /// Length of the interval.
    pub duration: Duration,
}

/// The shutdown of one broker. All times are counted from the broker's first SIGTERM.
#[derive(Clone, Debug)]
pub struct BrokerPlan {
    /// How long before the first SIGTERM the broker gets a SIGHUP; `None` if it gets none.
    pub reload_before: Option<Duration>,
    /// Further signals after the first SIGTERM with their times, ordered by time.
    pub signals: Vec<(Duration, Signal)>,
    /// Intervals in which the broker's process is stopped. They do not overlap.
    pub pauses: Vec<Pause>,
    /// Time until which clients without a connection still open new ones to this broker.
    pub new_connections_until: Duration,
    /// Behavior of each client of this broker.
    pub clients: Vec<ClientBehavior>,
    /// Number of connections to this broker on which no request is sent.
    pub idle_connections: usize,
}

/// The plan of one run: several brokers shut down one after the other, while nodes and discovery may misbehave.
#[derive(Clone, Debug)]
pub struct ShutdownPlan {
    /// Seed that the plan is drawn from.
    pub seed: u64,
    /// Query timeout of both query classes.
    pub timeout: Duration,
    /// Number of nodes.
    pub node_count: usize,
    /// Number of nodes that misbehave. These are the first ones.
    pub misbehaving_node_count: usize,
    /// Behavior of the misbehaving nodes.
    pub node_behavior: NodeBehavior,
    /// When the nodes begin to misbehave, in seconds after the first SIGTERM to any broker; negative if before it.
    pub misbehaving_after_seconds: f64,
    /// Whether discovery stops replying at the time when the nodes begin to misbehave.
    pub discovery_stops: bool,
    /// Fraction of the requests that are not idempotent.
    pub non_idempotent_ratio: f64,
    /// Limit on the file descriptors of each broker.
    pub max_file_descriptors: u64,
    /// Time between the first SIGTERM to one broker and the first SIGTERM to the next.
    pub signal_interval: Duration,
    /// Number of clients at each broker that send readiness checks as fast as they are read, until the kill.
    pub flooding_clients: usize,
    /// Plan of each broker.
    pub brokers: Vec<BrokerPlan>,
}

impl ShutdownPlan {
    /// Draws the plan of a seed. The same seed always gives the same plan.
    pub fn draw(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let short_of_descriptors = rng.random_bool(0.25);
        let timeout = Duration::from_millis(rng.random_range(300..2_000));
        let brokers = rng.random_range(2..=4);
        let node_count = rng.random_range(4..=8);
        let misbehaving_node_count = [node_count / 4, node_count / 2, node_count][rng.random_range(0..3)];
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
            node_count,
            misbehaving_node_count,
            node_behavior,
            misbehaving_after_seconds: rng.random_range(-0.3..0.9),
            discovery_stops: rng.random_bool(0.2),
            non_idempotent_ratio: rng.random_range(0.2..0.9),
            max_file_descriptors: if short_of_descriptors {
                FEW_FILE_DESCRIPTORS
            } else {
                MANY_FILE_DESCRIPTORS
            },
            signal_interval: Duration::from_millis(rng.random_range(0..600)),
            flooding_clients: if seed.is_multiple_of(SEEDS_PER_FLOOD) { FLOODING_CLIENTS } else { 0 },
            brokers: (0..brokers)
                .map(|_| BrokerPlan::draw(&mut rng, timeout, short_of_descriptors))
                .collect(),
        }
    }

    /// Returns whether the misbehaving nodes reject parts as overloaded. A rejected part has not run, so that even a
    /// non-idempotent one may be sent again.
    pub fn nodes_reject(&self) -> bool {
        self.node_behavior == NodeBehavior::ReplyStatus("overload")
    }

    /// Returns how long after its first SIGTERM each broker is killed: the earliest time that the protocol specification allows.
    pub fn kill_after(&self) -> Duration {
        self.timeout.min(MAX_COUNTED_TIMEOUT) + KILL_AFTER_DEADLINE
    }
}

impl BrokerPlan {
    /// Draws the plan of one broker. If `short_of_descriptors` is set, it includes many idle connections.
    fn draw(rng: &mut Pcg64Mcg, timeout: Duration, short_of_descriptors: bool) -> Self {
        let kill_after = timeout + KILL_AFTER_DEADLINE;
        let time_before_kill = |rng: &mut Pcg64Mcg| kill_after.mul_f64(rng.random_range(0.0..1.0));
        let signals = (0..rng.random_range(0..4)).map(|_| {
            let signal = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP][rng.random_range(0..3)];
            (time_before_kill(rng), signal)
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
            idle_connections: if short_of_descriptors { rng.random_range(40..90) } else { 0 },
        }
    }

    /// Draws up to three intervals in which the process is stopped: one that begins at the first SIGTERM, one shortly before the
    /// kill, when the last answers are due, and one anywhere between. They do not overlap.
    fn draw_pauses(rng: &mut Pcg64Mcg, kill_after: Duration) -> Vec<Pause> {
        let duration = MAX_PAUSE.mul_f64(rng.random_range(0.5..1.0));
        let mut pauses = Vec::new();
        match rng.random_range(0..20) {
            0..8 => pauses.push(Pause { from: Duration::ZERO, duration }),
            8..12 => {
                let max_duration = MAX_STALL.min(kill_after - MIN_TIME_AFTER_STALL);
                pauses.push(Pause {
                    from: Duration::ZERO,
                    duration: max_duration.mul_f64(rng.random_range(0.3..1.0)),
                });
            }
            _ => {}
        }
        let earliest_from = pauses.first().map_or(Duration::ZERO, |pause| pause.duration) + MAX_PAUSE;
        let last_from = kill_after - Duration::from_millis(rng.random_range(30..400));
        if rng.random_bool(0.3) && earliest_from + 2 * MAX_PAUSE < last_from {
            let latest_offset = last_from - 2 * MAX_PAUSE - earliest_from;
            let from = earliest_from + latest_offset.mul_f64(rng.random_range(0.0..1.0));
            pauses.push(Pause { from, duration });
        }
        if rng.random_bool(0.5) && earliest_from < last_from {
            pauses.push(Pause { from: last_from, duration });
        }
        pauses
    }

    /// Returns the length of the longest planned stop; zero if there is none.
    pub fn longest_pause(&self) -> Duration {
        self.pauses.iter().map(|pause| pause.duration).max().unwrap_or_default()
    }
}
