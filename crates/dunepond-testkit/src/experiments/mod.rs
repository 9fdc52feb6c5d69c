//! Each subsystem's measurement, by name.

mod background;
mod bodies;
mod consensus;
mod fleet_at_size;
mod prefilter;
mod quota;
mod rebalance;
mod restart;
mod search;
mod settlement;
mod shard_map;
mod shutdown;

use std::path::PathBuf;

use crate::report::Figures;

/// How an experiment is to be run.
pub struct RunOptions {
    /// Our own program, which hosts the broker.
    pub program: PathBuf,
    /// With shorter stretches and fewer rounds.
    pub quick: bool,
    /// What is drawn is drawn from this.
    pub seed: u64,
    /// Only the cases whose name holds this.
    pub case_filter: Option<String>,
    /// Plays of so many brokers alone, this many seeds from the one above on, where an experiment plays by seeds.
    pub brokers: Option<usize>,
    /// How many seeds are run, where an experiment runs by seeds.
    pub seed_count: u64,
}

impl RunOptions {
    /// Whether a case is to be run.
    pub fn includes(&self, case: &str) -> bool {
        self.case_filter.as_ref().is_none_or(|only| case.contains(only))
    }
}

/// An experiment by its name.
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it measures, in a line.
    pub summary: &'static str,
    /// Runs it.
    pub run: fn(&RunOptions) -> anyhow::Result<Figures>,
}

/// All experiments.
pub const ALL: [Experiment; 12] = [
    Experiment {
        name: "agree",
        summary: "brokers that agree on versions: contradictions, cuts, time to agree, talk and what it costs",
        run: consensus::run,
    },
    Experiment {
        name: "bodies",
        summary: "memory, small scans' times, copies and runs, with bodies pushed across every limit",
        run: bodies::run,
    },
    Experiment {
        name: "map",
        summary: "faults planted in shard maps, moves and scans, and what of them is named; what proving costs",
        run: shard_map::run,
    },
    Experiment {
        name: "debts",
        summary: "debts between partners under three traffic mixes, by the rule that picks sources, in simulated time",
        run: settlement::run,
    },
    Experiment {
        name: "leases",
        summary: "bounds that the fleet shares by leases, under skewed traffic, against their even split",
        run: quota::run,
    },
    Experiment {
        name: "moves",
        summary: "segments moved under load by plans, beside a fleet in which nothing moves",
        run: rebalance::run,
    },
    Experiment {
        name: "fleet-at-size",
        summary: "10 to 3,000 brokers in simulated time: faults by seed, time to agree, cost against size",
        run: fleet_at_size::run,
    },
    Experiment {
        name: "phases",
        summary: "work, times and honesty of wide scans whose nodes are asked first, with liars and stalls",
        run: prefilter::run,
    },
    Experiment {
        name: "restart",
        summary: "a broker killed in an outage, with and without what it knew; crash loops; what keeping it costs",
        run: restart::run,
    },
    Experiment {
        name: "search",
        summary: "the same scans at both doors before nodes of both kinds; what the API costs; merging",
        run: search::run,
    },
    Experiment {
        name: "shutdown",
        summary: "brokers told to end under clients that use their connections until the kill, by seed (--plays)",
        run: shutdown::run,
    },
    Experiment {
        name: "work",
        summary: "a busy foreground beside background work that never ends, in simulated time",
        run: background::run,
    },
];
