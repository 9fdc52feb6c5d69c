//! Command-line tool of the testkit: runs experiments, and hosts a broker with fault injection on its disk.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context, anyhow};
use clap::{Parser, Subcommand};
use dunepond_body_buffer::SpillFolder;
use dunepond_broker::{Hooks, config, logger, serve};
use dunepond_config::ConfigError;
use dunepond_control_plane::TestDoubles;
use dunepond_storage::FileStore;
use dunepond_testkit::experiments::{self, RunOptions};
use dunepond_testkit::faulty_disk::{FaultyFileStore, FaultySpillFolder};

/// Run experiments on a real broker with simulated peers on loopback
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment and print its measured values with their bounds
    Run {
        /// Name of the experiment, as printed by `list`
        name: String,
        /// Run a shorter version of the experiment, in less than 40 s
        #[arg(long)]
        quick: bool,
        /// Seed of the random number generators
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run only the cases whose name contains this text, if the experiment has cases
        #[arg(long)]
        only: Option<String>,
        /// Run only fleets with this number of brokers, in the experiment `fleet-at-size`, to reproduce a seed that failed
        #[arg(long)]
        brokers: Option<usize>,
        /// Number of seeds to run, starting from `--seed`, with `--brokers` or in the experiment `shutdown`
        #[arg(long = "plays", value_name = "PLAYS", default_value_t = 1)]
        seed_count: u64,
        /// Write the measured values as JSON, and plots as SVG, into this folder
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// List the experiments
    List,
    /// Run a broker, configured by its usual environment variables such as GW_CONFIG, with disk faults
    #[command(hide = true)]
    Broker {
        /// Operator file of the broker
        #[arg(long)]
        operator: PathBuf,
        /// File that names the fault of the folders for bodies and for state
        #[arg(long)]
        disk: PathBuf,
        /// File that names the fault of the fleet's folder
        #[arg(long)]
        fleet_disk: Option<PathBuf>,
    },
}

/// Runs a broker until it ends. The folders for bodies and for state have the fault that `faults_file` names, and the
/// fleet's folder has that of `fleet_faults_file`.
fn run_broker(
    operator_file: PathBuf,
    faults_file: PathBuf,
    fleet_faults_file: Option<PathBuf>,
) -> anyhow::Result<()> {
    let into_error = |ConfigError(message)| anyhow!(message);
    let operator = config::read_operator_file(&operator_file).map_err(into_error)?;
    let mut start = config::read(|name| std::env::var(name).ok()).map_err(into_error)?;
    logger::start(&start.name, start.log_level, logger::LogFormat::Text);
    let spill = operator.body_buffer.as_ref().and_then(|bodies| bodies.spill.as_ref());
    let spill_folder = spill
        .map(|spill| FaultySpillFolder::new(&spill.folder, &faults_file))
        .transpose()
        .context("files: folder")?;
    let spill_folder = spill_folder.map(|folder| Arc::new(folder) as Arc<dyn SpillFolder>);
    let state_folder = operator.recovery.as_ref().map(|recovery| recovery.folder.clone());
    start.operator = operator;
    let state_store = state_folder
        .map(|folder| FaultyFileStore::new(&folder, &faults_file))
        .transpose()
        .context("state: folder")?;
    let state_store = state_store.map(|store| Arc::new(store) as Arc<dyn FileStore>);
    let fleet = start.operator.fleet.as_ref().zip(fleet_faults_file);
    let fleet_store =
        fleet.map(|(fleet, faults_file)| FaultyFileStore::new(&fleet.folder, &faults_file)).transpose()?;
    let control_plane = TestDoubles {
        storage: fleet_store.map(|store| Arc::new(store) as Arc<dyn FileStore>),
        ..TestDoubles::default()
    };
    serve(
        start,
        Hooks {
            operator_file: Some(operator_file),
            body_folder: spill_folder,
            state_files: state_store,
            control_plane,
            ..Hooks::default()
        },
    )
    .map_err(into_error)
}

fn main() -> anyhow::Result<ExitCode> {
    match Arguments::parse().command {
        Command::Broker { operator, disk, fleet_disk } => run_broker(operator, disk, fleet_disk)?,
        Command::List => {
            experiments::EXPERIMENTS
                .iter()
                .for_each(|experiment| println!("{:12} {}", experiment.name, experiment.summary));
        }
        Command::Run { name, quick, seed, only, brokers, seed_count, out } => {
            let experiment = experiments::EXPERIMENTS.iter().find(|experiment| experiment.name == name);
            let experiment = experiment.with_context(|| {
                format!("experiment '{name}' does not exist; `list` shows all experiments")
            })?;
            let program = std::env::current_exe()?;
            let experiment_report = (experiment.run)(&RunOptions {
                program,
                quick,
                seed,
                case_filter: only,
                broker_count: brokers,
                seed_count,
            })?;
            if !experiment_report.print_and_write(experiment.name, out.as_deref())? {
                return Ok(ExitCode::FAILURE);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
