//! What one play of a shutdown does, drawn from its seed.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::client::Habit;
use crate::stand_ins::NodeBehavior;

/// The protocol page counts deadlines beyond this towards the kill no further.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// By the same page SIGKILL comes so much later than the longest deadline after SIGTERM, at the earliest.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// By the page of the standing test a broker may be held up for so long.
const LONGEST_HOLD: Duration = Duration::from_millis(150);
/// A process that is stopped by its machine may stand still for longer than that. It can be asked to make up for it only if
/// so much is left to the kill.
const LONGEST_STALL: Duration = Duration::from_millis(900);
const AFTER_STALL: Duration = Duration::from_millis(500);
/// Descriptors of a broker in front of which a crowd waits.
const FEW_SOCKETS: u64 = 64;
const MANY_SOCKETS: u64 = 1024;

/// A stretch in which a broker's process is stopped, from the first SIGTERM on.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    pub from: Duration,
    pub lasts: Duration,
}

/// What happens to one broker, all of it counted from its first SIGTERM.
#[derive(Clone, Debug)]
pub struct BrokerPlan {
    /// SIGHUP this long before it, where there is one.
    pub reread_before: Option<Duration>,
    /// Signals after it.
    pub signals: Vec<(Duration, Signal)>,
    pub holds: Vec<Hold>,
    /// Until then clients that find all their connections busy or closed open new ones here.
    pub new_connections_until: Duration,
    pub clients: Vec<Habit>,
    /// Connections that never ask anything.
    pub idle: usize,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// The query timeout of both table types.
    pub timeout: Duration,
    pub nodes: usize,
    /// The first so many nodes behave so, from this long before (negative) or after the first SIGTERM of all.
    pub bad: usize,
    pub manner: NodeBehavior,
    pub bad_at: f64,
    /// Discovery falls silent at the same time.
    pub list_falls_silent: bool,
    /// Share of the requests that must not run twice.
    pub non_replayable: f64,
    pub sockets: u64,
    /// Between the first SIGTERM of one broker and that of the next.
    pub apart: Duration,
    pub brokers: Vec<BrokerPlan>,
}

impl Plan {
    pub fn draw(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let crowd = rng.random_bool(0.25);
        let timeout = Duration::from_millis(rng.random_range(300..2_000));
        let brokers = rng.random_range(2..=4);
        let nodes = rng.random_range(4..=8);
        let bad = [nodes / 4, nodes / 2, nodes][rng.random_range(0..3)];
        let manner = match rng.random_range(0..10) {
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
            bad,
            manner,
            bad_at: rng.random_range(-0.3..0.9),
            list_falls_silent: rng.random_bool(0.2),
            non_replayable: rng.random_range(0.2..0.9),
            sockets: if crowd { FEW_SOCKETS } else { MANY_SOCKETS },
            apart: Duration::from_millis(rng.random_range(0..600)),
            brokers: (0..brokers).map(|_| BrokerPlan::draw(&mut rng, timeout, crowd)).collect(),
        }
    }

    /// Nodes turn parts away, so that one which must not run twice may be sent again.
    pub fn nodes_refuse(&self) -> bool {
        self.manner == NodeBehavior::ReplyStatus("overload")
    }

    /// How long after the first SIGTERM the kill comes, at the page's earliest.
    pub fn kill_after(&self) -> Duration {
        self.timeout.min(LONGEST_COUNTED) + KILL_AFTER_DEADLINE
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
        let clients = (0..rng.random_range(10..24)).map(|_| Habit::draw(rng)).collect();
        Self {
            reread_before: rng.random_bool(0.4).then(|| Duration::from_millis(rng.random_range(0..20))),
            signals,
            holds: Self::holds(rng, kill_after),
            new_connections_until: Duration::from_millis(rng.random_range(200..400)),
            clients,
            idle: if crowd { rng.random_range(40..90) } else { 0 },
        }
    }

    /// Stretches across the signal itself, across the last answers, and anywhere between; none overlaps another.
    fn holds(rng: &mut Pcg64Mcg, kill_after: Duration) -> Vec<Hold> {
        let lasts = LONGEST_HOLD.mul_f64(rng.random_range(0.5..1.0));
        let mut holds = Vec::new();
        match rng.random_range(0..20) {
            0..8 => holds.push(Hold { from: Duration::ZERO, lasts }),
            8..12 => {
                let most = LONGEST_STALL.min(kill_after - AFTER_STALL);
                holds.push(Hold { from: Duration::ZERO, lasts: most.mul_f64(rng.random_range(0.3..1.0)) });
            }
            _ => {}
        }
        let free_from = holds.first().map_or(Duration::ZERO, |hold| hold.lasts) + LONGEST_HOLD;
        let last_from = kill_after - Duration::from_millis(rng.random_range(30..400));
        if rng.random_bool(0.3) && free_from + 2 * LONGEST_HOLD < last_from {
            let room = last_from - 2 * LONGEST_HOLD - free_from;
            holds.push(Hold { from: free_from + room.mul_f64(rng.random_range(0.0..1.0)), lasts });
        }
        if rng.random_bool(0.5) && free_from < last_from {
            holds.push(Hold { from: last_from, lasts });
        }
        holds
    }

    /// The longest stretch for which it stands still.
    pub fn longest_hold(&self) -> Duration {
        self.holds.iter().map(|hold| hold.lasts).max().unwrap_or_default()
    }
}
