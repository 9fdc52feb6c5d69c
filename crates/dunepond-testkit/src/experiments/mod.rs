//! Experiments of the test kit, one per subsystem. Each runs a workload, mostly with injected faults, and reports measured values.

mod background;
mod bodies;
mod consensus;
mod endless;
mod fleet_at_size;
mod hostile_clients;
mod prefilter;
mod quota;
mod rebalance;
mod restart;
mod search;
mod settlement;
mod shard_map;
mod shutdown;

use std::path::PathBuf;

use crate::report::ExperimentReport;

/// Options of one experiment run, as given on the command line.
pub struct RunOptions {
    /// Path of the test kit's executable, which also hosts the broker processes.
    pub program: PathBuf,
    /// Whether to use shorter durations and fewer rounds.
    pub quick: bool,
    /// Seed of the random generators; experiments that run several seeds start with this one.
    pub seed: u64,
    /// Runs only the cases whose name contains this text; all cases if absent.
    pub case_filter: Option<String>,
    /// Simulates only fleets of this many brokers, in experiments that run by seed; used to reproduce a failed seed.
    pub broker_count: Option<usize>,
    /// Number of consecutive seeds to run, starting with `seed`, in experiments that run by seed.
    pub seed_count: u64,
}

impl RunOptions {
    /// Returns whether the case filter selects the case with this name.
    pub fn includes(&self, case: &str) -> bool {
        self.case_filter.as_ref().is_none_or(|filter| case.contains(filter))
    }
}

/// A registered experiment.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description of what the experiment measures.
    pub summary: &'static str,
    /// Runs the experiment and returns the values that it measured.
    pub run: fn(&RunOptions) -> anyhow::Result<ExperimentReport>,
}

/// All experiments, in the order in which they are listed.
pub const EXPERIMENTS: [Experiment; 14] = [
    Experiment {
        name: "agree",
        summary: "agreement on versions: contradictions, network partitions, time to agree, message rates and CPU time",
        run: consensus::run,
    },
    Experiment {
        name: "bodies",
        summary: "large request bodies beyond every limit: memory, small query latency, copied bytes, repeated parts",
        run: bodies::run,
    },
    Experiment {
        name: "endless",
        summary: "clients of a sound node beside nodes that send without end: latency, turns of the event loop",
        run: endless::run,
    },
    Experiment {
        name: "hostile-clients",
        summary: "hostile clients at a broker with the least memory: memory, descriptors, late answers to sound clients",
        run: hostile_clients::run,
    },
    Experiment {
        name: "map",
        summary: "faults injected into shard maps, transitions and query parts: detection rate and verification cost",
        run: shard_map::run,
    },
    Experiment {
        name: "debts",
        summary: "debts between partners under three traffic mixes and a flood, by planning rule, in simulated time",
        run: settlement::run,
    },
    Experiment {
        name: "leases",
        summary: "fleet-wide quotas shared by leases under skewed traffic, compared with an even split",
        run: quota::run,
    },
    Experiment {
        name: "moves",
        summary: "segments moved by plans under load, compared with a fleet in which nothing moves",
        run: rebalance::run,
    },
    Experiment {
        name: "fleet-at-size",
        summary: "10 to 3,000 brokers in simulated time: faults by seed, time to agree, cost by fleet size",
        run: fleet_at_size::run,
    },
    Experiment {
        name: "phases",
        summary: "wide queries with the prefilter: work saved, latency and correctness with faulty or stalled nodes",
        run: prefilter::run,
    },
    Experiment {
        name: "restart",
        summary: "broker killed in an outage, with and without persisted state; crash loops; cost of persistence",
        run: restart::run,
    },
    Experiment {
        name: "search",
        summary: "same queries over both broker interfaces and both node protocols; cost of the search API and merging",
        run: search::run,
    },
    Experiment {
        name: "shutdown",
        summary: "graceful shutdown while clients keep using their connections until SIGKILL, by seed (--plays)",
        run: shutdown::run,
    },
    Experiment {
        name: "work",
        summary: "foreground latency next to endless background work, in simulated time",
        run: background::run,
    },
];
