//! Faults and operations that a scenario injects into a fleet, each at one broker or at many at once.

use dunepond_consensus::{Command, LeaseClient, Voter};
use rand::RngExt;
use rand::seq::SliceRandom;

use super::{Scenario, config_version};
use crate::fleet::LinkConditions;

/// Longest time in seconds that a fault with a duration lasts, such as a partition, a zone crash or a pause.
const MAX_FAULT_SECONDS: f64 = 6.0;
/// Shortest time in seconds that a fault with a duration lasts, except for pauses.
const MIN_FAULT_SECONDS: f64 = 0.2;
/// Shortest time in seconds that a pause lasts.
const MIN_PAUSE_SECONDS: f64 = 0.05;
/// Longest time in seconds from a mass crash until its brokers begin to restart.
const MAX_MASS_CRASH_SECONDS: f64 = 3.0;
/// Time in seconds over which the restarts of brokers that crashed together are spread.
const RESTART_SPREAD_SECONDS: f64 = 1.0;
/// Ratio of the brokers that crash in a mass crash.
const MASS_CRASH_RATIO: f64 = 0.7;
/// Ratio of the brokers that are paused together.
const PAUSED_RATIO: f64 = 0.05;
/// Ratio of the brokers that are restarted in each step of a rolling restart.
const ROLLING_RESTART_RATIO: f64 = 0.1;
/// Time in seconds between the steps of a rolling restart.
const ROLLING_RESTART_SECONDS: f64 = 0.5;
/// Faults that block links in one direction hit the leader's links if they last longer than this time in seconds.
const LEADER_FAULT_SECONDS: f64 = 2.0;
/// Probability that a proposed version without a first stage requires fills.
const FILL_RATIO: f64 = 0.4;
/// Probability that a proposed version with a first stage requires fills.
const STAGED_FILL_RATIO: f64 = 0.2;
/// Shortest time in seconds by which a clock jumps.
const MIN_CLOCK_JUMP_SECONDS: f64 = 0.1;
/// Longest time in seconds by which a clock jumps.
const MAX_CLOCK_JUMP_SECONDS: f64 = 5.0;
/// Partition number of the brokers of a zone that is cut off; all other brokers are in partition 0.
const CUT_OFF_PARTITION: u32 = 1;

/// An event that a fault schedules for a later time, such as the end of the fault.
pub(super) enum ScheduledEvent {
    /// Starts a broker unless it is up already.
    Start(usize),
    /// Restarts these brokers, all at the same time.
    Restart(Vec<usize>),
    /// Unblocks all links between brokers and removes all partitions.
    Heal,
    /// Resets the conditions of the links to the default.
    ResetLinks,
    /// Activates or withdraws the open version: the one that is proposed and neither active nor withdrawn.
    EndStage { activate: bool },
}

/// Kind of a fault or an operation that a scenario injects.
#[derive(Clone, Copy)]
enum FaultKind {
    ZonePartition,
    ZoneCrash,
    MassCrash,
    RollingRestart,
    PartnerRemoved,
    OneWayLinks,
    Pause,
    ClockJump,
    TornRecord,
    OldFolder,
    LinkConditions,
    LostFolder,
    Version,
    StagedVersion,
    FaultyVersion,
    OperatorEndsVersion,
}

/// All kinds of faults. `draw_fault_kind` draws an index into this list.
const FAULT_KINDS: [FaultKind; 16] = [
    FaultKind::ZonePartition,
    FaultKind::ZoneCrash,
    FaultKind::MassCrash,
    FaultKind::RollingRestart,
    FaultKind::PartnerRemoved,
    FaultKind::OneWayLinks,
    FaultKind::Pause,
    FaultKind::ClockJump,
    FaultKind::TornRecord,
    FaultKind::OldFolder,
    FaultKind::LinkConditions,
    FaultKind::LostFolder,
    FaultKind::Version,
    FaultKind::StagedVersion,
    FaultKind::FaultyVersion,
    FaultKind::OperatorEndsVersion,
];

impl FaultKind {
    /// Name of the fault in reports.
    fn name(self) -> &'static str {
        match self {
            Self::ZonePartition => "zone cut",
            Self::ZoneCrash => "zone dead",
            Self::MassCrash => "herd",
            Self::RollingRestart => "release",
            Self::PartnerRemoved => "partner gone",
            Self::OneWayLinks => "one way",
            Self::Pause => "stop",
            Self::ClockJump => "clock",
            Self::TornRecord => "torn record",
            Self::OldFolder => "old folder",
            Self::LinkConditions => "weather",
            Self::LostFolder => "lost folder",
            Self::Version => "version",
            Self::StagedVersion => "staged",
            Self::FaultyVersion => "faulty",
            Self::OperatorEndsVersion => "by hand",
        }
    }
}

impl Scenario {
    /// Injects one fault of a random kind.
    pub(super) fn inject_fault(&mut self) {
        let kind = self.draw_fault_kind();
        self.report.count_fault(kind.name());
        let n = self.rng.random_range(0..self.config.broker_count);
        let seconds = self.rng.random_range(MIN_FAULT_SECONDS..MAX_FAULT_SECONDS);
        match kind {
            FaultKind::ZonePartition => self.partition_zone(seconds),
            FaultKind::ZoneCrash => self.crash(self.zone_of(n), seconds),
            FaultKind::MassCrash => self.crash_many(seconds),
            FaultKind::RollingRestart => self.rolling_restart(),
            FaultKind::PartnerRemoved => self.remove_partner(n),
            FaultKind::OneWayLinks => self.block_one_way(n, seconds),
            FaultKind::Pause => self.pause_some(),
            FaultKind::ClockJump => self.jump_clock(n),
            FaultKind::TornRecord => {
                let is_running_voter = n < self.config.voter_count && self.fleet.is_running(n);
                self.fleet.brokers[n].tears_next_record = is_running_voter;
            }
            FaultKind::OldFolder => self.lose_leases(n, seconds),
            FaultKind::LinkConditions => self.degrade_links(n, seconds),
            FaultKind::LostFolder => self.lose_voter_folder(n % self.config.voter_count),
            FaultKind::Version => self.propose_next_version(FILL_RATIO, 0.0),
            FaultKind::StagedVersion => self.propose_staged_version(),
            FaultKind::FaultyVersion => self.propose_faulty_version(n),
            FaultKind::OperatorEndsVersion => self.end_stage(n.is_multiple_of(2)),
        }
    }

    /// Draws the kind of the next fault at random. `Version`, the proposal of a new version, is more likely than the
    /// others.
    fn draw_fault_kind(&mut self) -> FaultKind {
        let index = match self.rng.random_range(0..22) {
            extra @ 16.. => 12 + usize::from(extra > 20),
            index => index,
        };
        FAULT_KINDS[index]
    }

    /// Schedules an event some seconds from now.
    fn schedule(&mut self, after_seconds: f64, event: ScheduledEvent) {
        self.scheduled.schedule(self.fleet.now + after_seconds, event);
    }

    /// All brokers in the zone of broker `n`.
    fn zone_of(&self, n: usize) -> Vec<usize> {
        let zone = |broker: usize| broker % self.config.zone_count;
        (0..self.config.broker_count).filter(|other| zone(*other) == zone(n)).collect()
    }

    /// Cuts a random zone off from all other zones for some seconds.
    fn partition_zone(&mut self, seconds: f64) {
        let n = self.rng.random_range(0..self.config.broker_count);
        for n in self.zone_of(n) {
            self.fleet.partitions[n] = CUT_OFF_PARTITION;
        }
        self.schedule(seconds, ScheduledEvent::Heal);
    }

    /// Crashes brokers at the same time. They restart after `down_seconds`, spread over [`RESTART_SPREAD_SECONDS`].
    fn crash(&mut self, brokers: Vec<usize>, down_seconds: f64) {
        for n in brokers {
            self.fleet.kill(n);
            let spread_seconds = self.rng.random_range(0.0..RESTART_SPREAD_SECONDS);
            let start_at = self.fleet.now + down_seconds + spread_seconds;
            self.scheduled.schedule(start_at, ScheduledEvent::Start(n));
        }
    }

    /// All brokers in random order.
    fn shuffled_brokers(&mut self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.config.broker_count).collect();
        order.shuffle(&mut self.rng);
        order
    }

    /// Crashes [`MASS_CRASH_RATIO`] of the brokers at the same time.
    fn crash_many(&mut self, seconds: f64) {
        let mut brokers = self.shuffled_brokers();
        brokers.truncate((MASS_CRASH_RATIO * self.config.broker_count as f64) as usize);
        self.crash(brokers, seconds.min(MAX_MASS_CRASH_SECONDS));
    }

    /// Restarts all brokers in random order, [`ROLLING_RESTART_RATIO`] of them in each step.
    fn rolling_restart(&mut self) {
        let brokers = self.shuffled_brokers();
        let per_step = ((ROLLING_RESTART_RATIO * self.config.broker_count as f64) as usize).max(1);
        for (step, part) in brokers.chunks(per_step).enumerate() {
            let after_seconds = ROLLING_RESTART_SECONDS * step as f64;
            self.schedule(after_seconds, ScheduledEvent::Restart(part.to_vec()));
        }
    }

    /// Proposes a version that excludes the nodes of the partner that owns node number `n`.
    fn remove_partner(&mut self, n: usize) {
        let Some(leader) = self.fleet.leader() else { return };
        let state = self.fleet.state(leader);
        let next = state.highest_number + 1;
        let partner = self.topology.partner(n);
        let Some(without) = self.topology.map_without(state, next, &partner) else { return };
        let mut version = config_version(next, without.map);
        version.excluded_nodes.removed = without.removed_nodes;
        let _ = self.propose(version);
    }

    /// Blocks the links between the zone of broker `n` and one broker, in one direction. That broker is the leader if
    /// the fault lasts longer than [`LEADER_FAULT_SECONDS`], otherwise a random one.
    fn block_one_way(&mut self, n: usize, seconds: f64) {
        let leader = self.fleet.leader().filter(|_| seconds > LEADER_FAULT_SECONDS);
        let target = leader.unwrap_or_else(|| self.rng.random_range(0..self.config.broker_count));
        let zone = self.zone_of(n);
        let is_inward = self.rng.random::<bool>();
        for other in zone.into_iter().filter(|other| *other != target) {
            let link = if is_inward { (other, target) } else { (target, other) };
            self.fleet.blocked_links.insert(link);
        }
        self.schedule(seconds, ScheduledEvent::Heal);
    }

    /// Pauses a few random brokers, each for a random time.
    fn pause_some(&mut self) {
        let count = (PAUSED_RATIO * self.config.broker_count as f64) as usize + 1;
        for _ in 0..count {
            let n = self.rng.random_range(0..self.config.broker_count);
            let seconds = self.rng.random_range(MIN_PAUSE_SECONDS..MAX_FAULT_SECONDS);
            self.fleet.pause(n, seconds);
        }
    }

    /// Makes a broker's clock jump. If the clock is set back, the broker no longer trusts it until the broker is
    /// restarted. If the clock jumps forward, the broker's leases end sooner. Voters' clocks are only set back: a jump
    /// forward would make the voters' waits too short, and the configured drift assumes that this does not happen.
    fn jump_clock(&mut self, n: usize) {
        let seconds = self.rng.random_range(MIN_CLOCK_JUMP_SECONDS..MAX_CLOCK_JUMP_SECONDS);
        let is_forward = n >= self.config.voter_count && self.rng.random::<bool>();
        if is_forward {
            self.fleet.brokers[n].clock_offset += seconds;
        } else {
            self.fleet.set_clock_back(n, seconds);
            // Simulates that the broker's supervisor restarts the broker.
            self.schedule(MAX_FAULT_SECONDS, ScheduledEvent::Restart(vec![n]));
        }
    }

    /// Crashes a broker that does not vote and empties its folder, so that it restarts without its leases.
    fn lose_leases(&mut self, n: usize, seconds: f64) {
        let other_count = self.config.broker_count - self.config.voter_count;
        let n = self.config.voter_count + n % other_count.max(1);
        if n < self.config.broker_count {
            self.fleet.kill(n);
            self.fleet.wipe_folder(n);
            self.schedule(seconds, ScheduledEvent::Start(n));
        }
    }

    /// Makes all links lose, duplicate and delay messages for some seconds.
    fn degrade_links(&mut self, n: usize, seconds: f64) {
        self.fleet.links = LinkConditions {
            loss_ratio: [0.02, 0.1, 0.2][n % 3],
            duplicate_ratio: [0.0, 0.1][n % 2],
            late_copy_ratio: [0.0, 0.002][n / 2 % 2],
            min_delay_seconds: 0.001,
            max_delay_seconds: [0.02, 0.1][n / 3 % 2],
        };
        self.schedule(seconds, ScheduledEvent::ResetLinks);
    }

    /// Empties the folder of a voter and restarts the voter, but only if all voters have their state and no link is
    /// blocked, so that only one folder is lost at a time.
    fn lose_voter_folder(&mut self, n: usize) {
        let have_all_state = (0..self.config.voter_count).all(|n| {
            let broker = &self.fleet.brokers[n];
            broker.voter.as_ref().is_some_and(Voter::has_state) && !broker.disk.is_empty()
        });
        if have_all_state && self.fleet.is_fully_connected() {
            self.fleet.kill(n);
            self.fleet.wipe_folder(n);
            self.fleet.start(n);
        }
    }

    /// Proposes a version with a first stage, in which some brokers act only on this version, and the others on the joint
    /// configuration. Schedules the end of the stage.
    fn propose_staged_version(&mut self) {
        self.propose_next_version(STAGED_FILL_RATIO, 1.0);
        let activate = self.rng.random::<bool>();
        self.schedule(2.0 * MAX_FAULT_SECONDS, ScheduledEvent::EndStage { activate });
    }

    /// Proposes an invalid version, as a faulty proposer would. All voters must ignore it.
    fn propose_faulty_version(&mut self, n: usize) {
        let Some(leader) = self.fleet.leader() else { return };
        let state = self.fleet.state(leader);
        let next = state.highest_number + 1;
        let mut version = config_version(next, self.topology.changed_map(state, next, 0, &mut self.rng));
        let map = version.map.as_mut().expect("a version with a map");
        match n % 4 {
            0 => version.number += 7,
            1 => map.digest = String::from("0123"),
            2 => drop(map.segments.remove(1)),
            _ => version.rules.retry_budget_ratio = f64::NAN,
        }
        let _ = self.fleet.propose_unchecked_at(leader, Command::Propose(Box::new(version)));
    }

    /// Carries out a scheduled event that is due.
    pub(super) fn handle_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Start(n) if !self.fleet.is_running(n) => self.fleet.start(n),
            ScheduledEvent::Start(_) => {}
            ScheduledEvent::Restart(brokers) => {
                for n in brokers {
                    self.fleet.kill(n);
                    self.fleet.start(n);
                }
            }
            ScheduledEvent::Heal => self.fleet.heal(),
            ScheduledEvent::ResetLinks => self.fleet.links = LinkConditions::default(),
            ScheduledEvent::EndStage { activate } => self.end_stage(activate),
        }
    }

    /// Ends all faults, restarts the brokers whose clocks were set back or that have found a clock faulty, and starts all
    /// brokers that are down.
    pub(super) fn heal(&mut self) {
        self.fleet.heal();
        self.fleet.links = LinkConditions::default();
        for n in 0..self.config.broker_count {
            self.fleet.brokers[n].tears_next_record = false;
            // A broker that finds its own or the leader's clock faulty rejects leases; if its own clock went back, it does
            // so until its process is restarted, which on a real host its supervisor does. Therefore the loop
            // restarts each broker that has found a clock faulty, or whose clock was set back and that has not noticed it.
            let client = self.fleet.brokers[n].lease_client.as_ref();
            let distrusts_clock = client.is_some_and(distrusts_clock);
            if self.fleet.has_clock_gone_back(n) || distrusts_clock {
                self.fleet.kill(n);
            }
            if !self.fleet.is_running(n) {
                self.fleet.start(n);
            }
        }
    }
}

/// Whether a lease client rejects leases because it has found a clock faulty: its broker's or the leader's.
fn distrusts_clock(client: &LeaseClient) -> bool {
    client.distrust_reason().is_some()
}
