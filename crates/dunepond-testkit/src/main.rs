//! The laboratory's program: experiments, and a broker whose disk can be made to fail.

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

/// Experiments on the real broker among stand-ins on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment and print its figures, each beside its bound
    Run {
        name: String,
        /// Under 40 s, with shorter stretches
        #[arg(long)]
        quick: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run only the cases whose name holds this, where an experiment has cases
        #[arg(long)]
        only: Option<String>,
        /// Play fleets of so many brokers alone, by seed: how a seed that failed is played again
        #[arg(long)]
        brokers: Option<usize>,
        /// Seeds that are played with `--brokers`, from `--seed` on
        #[arg(long, default_value_t = 1)]
        plays: u64,
        /// Write the figures as JSON, and plots as SVG, into this folder
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Name the experiments
    List,
    /// Host a broker (GW_CONFIG as ever) on a folder that fails as a file tells it to
    #[command(hide = true)]
    Broker {
        #[arg(long)]
        operator: PathBuf,
        #[arg(long)]
        disk: PathBuf,
        /// The fleet's folder fails as this file tells it to
        #[arg(long)]
        fleet_disk: Option<PathBuf>,
    },
}

fn broker(file: PathBuf, disk: PathBuf, fleet_disk: Option<PathBuf>) -> anyhow::Result<()> {
    let plain = |ConfigError(line)| anyhow!(line);
    let operator = config::read_operator_file(&file).map_err(plain)?;
    let mut start = config::read(|name| std::env::var(name).ok()).map_err(plain)?;
    logger::start(&start.name, start.log_level, logger::LogFormat::Text);
    let folder = operator.body_buffer.as_ref().and_then(|bodies| bodies.spill.as_ref());
    let folder = folder
        .map(|folder| FaultySpillFolder::new(&folder.folder, &disk))
        .transpose()
        .context("files: folder")?;
    let folder = folder.map(|faulty| Arc::new(faulty) as Arc<dyn SpillFolder>);
    let operator_state = operator.recovery.as_ref().map(|state| state.folder.clone());
    start.operator = operator;
    let state =
        operator_state.map(|path| FaultyFileStore::new(&path, &disk)).transpose().context("state: folder")?;
    let files = state.map(|files| Arc::new(files) as Arc<dyn FileStore>);
    let fleet = start.operator.fleet.as_ref().zip(fleet_disk);
    let fleet =
        fleet.map(|(fleet, faults_file)| FaultyFileStore::new(&fleet.folder, &faults_file)).transpose()?;
    let fleet = TestDoubles {
        storage: fleet.map(|files| Arc::new(files) as Arc<dyn FileStore>),
        ..TestDoubles::default()
    };
    serve(
        start,
        Hooks {
            operator_file: Some(file),
            body_folder: folder,
            state_files: files,
            control_plane: fleet,
            ..Hooks::default()
        },
    )
    .map_err(plain)
}

fn main() -> anyhow::Result<ExitCode> {
    match Arguments::parse().command {
        Command::Broker { operator, disk, fleet_disk } => broker(operator, disk, fleet_disk)?,
        Command::List => experiments::ALL.iter().for_each(|e| println!("{:12} {}", e.name, e.summary)),
        Command::Run { name, quick, seed, only, brokers, plays, out } => {
            let experiment = experiments::ALL.iter().find(|e| e.name == name);
            let experiment = experiment.with_context(|| format!("no experiment '{name}'; see `list`"))?;
            let program = std::env::current_exe()?;
            let figures = (experiment.run)(&RunOptions {
                program,
                quick,
                seed,
                case_filter: only,
                broker_count: brokers,
                seed_count: plays,
            })?;
            if !figures.finish(experiment.name, out.as_deref())? {
                return Ok(ExitCode::FAILURE);
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
