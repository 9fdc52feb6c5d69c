//! Each subsystem's measurement, by name.

mod agree;
mod bodies;
mod debts;
mod fleet_at_size;
mod leases;
mod map;
mod moves;
mod phases;
mod restart;
mod search;
mod shutdown;
mod work;

use std::path::PathBuf;

use crate::report::Figures;

/// How an experiment is to be run.
pub struct Way {
    /// Our own program, which hosts the broker.
    pub program: PathBuf,
    pub quick: bool,
    pub seed: u64,
    /// Only the cases whose name holds this.
    pub only: Option<String>,
    /// Plays of so many brokers alone, this many seeds from the one above on, where an experiment plays by seeds.
    pub brokers: Option<usize>,
    pub plays: u64,
}

impl Way {
    pub fn wants(&self, case: &str) -> bool {
        self.only.as_ref().is_none_or(|only| case.contains(only))
    }
}

pub struct Experiment {
    pub name: &'static str,
    pub what: &'static str,
    pub run: fn(&Way) -> anyhow::Result<Figures>,
}

pub const ALL: [Experiment; 12] = [
    Experiment {
        name: "agree",
        what: "brokers that agree on versions: contradictions, cuts, time to agree, talk and what it costs",
        run: agree::run,
    },
    Experiment {
        name: "bodies",
        what: "memory, small scans' times, copies and runs, with bodies pushed across every limit",
        run: bodies::run,
    },
    Experiment {
        name: "map",
        what: "faults planted in shard maps, moves and scans, and what of them is named; what proving costs",
        run: map::run,
    },
    Experiment {
        name: "debts",
        what: "debts between partners under three traffic mixes, by the rule that picks sources, in simulated time",
        run: debts::run,
    },
    Experiment {
        name: "leases",
        what: "bounds that the fleet shares by leases, under skewed traffic, against their even split",
        run: leases::run,
    },
    Experiment {
        name: "moves",
        what: "segments moved under load by plans, beside a fleet in which nothing moves",
        run: moves::run,
    },
    Experiment {
        name: "fleet-at-size",
        what: "10 to 3,000 brokers in simulated time: faults by seed, time to agree, cost against size",
        run: fleet_at_size::run,
    },
    Experiment {
        name: "phases",
        what: "work, times and honesty of wide scans whose nodes are asked first, with liars and stalls",
        run: phases::run,
    },
    Experiment {
        name: "restart",
        what: "a broker killed in an outage, with and without what it knew; crash loops; what keeping it costs",
        run: restart::run,
    },
    Experiment {
        name: "search",
        what: "the same scans at both doors before nodes of both kinds; what the API costs; merging",
        run: search::run,
    },
    Experiment {
        name: "shutdown",
        what: "brokers told to end under clients that use their connections until the kill, by seed (--plays)",
        run: shutdown::run,
    },
    Experiment {
        name: "work",
        what: "a busy foreground beside background work that never ends, in simulated time",
        run: work::run,
    },
];
