//! The command line of `dunepond-broker`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use dunepond_broker::{
    CaughtSignals, Hooks, catch_signals, check_fleet, config, logger, migrate, persistence, query_command,
    serve,
};
use dunepond_config::ConfigError;
use dunepond_config::migrate::MigrationOptions;
use dunepond_config::operator::OperatorConfig;
use tracing::{error, warn};

/// A query router (broker) before a sharded, replicated store. Without a command it runs.
#[derive(Parser)]
#[command(version, after_help = ENVIRONMENT)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

const ENVIRONMENT: &str = "Environment:
  GW_CONFIG     path of the deployment's configuration, as JSON (needed to run)
  GW_NAME       the broker's name, before the same key of the file
  GW_LISTEN     address:port for clients, before the same key of the file
  GW_DISCOVERY  address:port of discovery, before the same key of the file
  GW_LOG        error, warn, info, debug, trace or off, before the key 'log'

Signals: SIGHUP has the files read again, SIGTERM ends it once what it took is answered.";

#[derive(Subcommand)]
enum Command {
    /// Run the broker
    Run {
        /// What the operator turns on, as KDL (deploy/dunepond.kdl documents every key)
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Check an operator's file: prints every fault with its line and column
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Write the counterpart of a configuration of the old shape (rings, told returns) for the new (sets)
    Migrate {
        #[arg(value_name = "OLD")]
        old: PathBuf,
        /// Where the new file goes
        #[arg(long, value_name = "FILE", required_unless_present = "dry_run")]
        out: Option<PathBuf>,
        /// How many sets the nodes form, where the old cells do not tell
        #[arg(long, value_name = "COUNT")]
        sets: Option<usize>,
        /// The new deployment allows no second copies
        #[arg(long)]
        one_at_a_time: bool,
        /// Replace a file that is there
        #[arg(long)]
        overwrite: bool,
        /// Print the new file and write nothing
        #[arg(long)]
        dry_run: bool,
    },
    /// Look at a folder that a broker keeps its state in; needs no running broker
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// Ask a broker and print the answer
    Query {
        /// The broker's address: its search API's port, or with --shards its port for clients
        #[arg(long, value_name = "ADDRESS:PORT")]
        at: SocketAddr,
        /// The index, which is a query class
        index: String,
        /// The query in the API's simple form, or with --shards the text; everything without one
        text: Option<String>,
        /// Hits at most
        #[arg(long, default_value_t = 10)]
        size: u64,
        /// Query these shards at the port for clients
        #[arg(long, value_delimiter = ',', value_name = "SHARDS")]
        shards: Vec<u64>,
        /// Seconds to wait, with --shards
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Send a file of searches (a head and a search, a line each) in place of one
        #[arg(long, value_name = "FILE", conflicts_with_all = ["text", "shards"])]
        msearch: Option<PathBuf>,
        /// Print JSON in place of a table
        #[arg(long)]
        json: bool,
    },
    /// Print completions for a shell
    Completions { shell: Shell },
}

#[derive(Subcommand)]
enum StateCommand {
    /// Print what a folder holds and what of it would be trusted now
    Show {
        #[arg(value_name = "DIR")]
        folder: PathBuf,
    },
    /// Verify every file of a folder; names each that would not be used
    Check {
        #[arg(value_name = "DIR")]
        folder: PathBuf,
    },
}

fn run_state_command(command: StateCommand) -> Result<(), ConfigError> {
    match command {
        StateCommand::Show { folder } => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
            let description = persistence::describe(&folder, now).map_err(|e| ConfigError(e.to_string()))?;
            print!("{description}");
            Ok(())
        }
        StateCommand::Check { folder } => {
            let inspection = persistence::inspect(&folder).map_err(|e| ConfigError(e.to_string()))?;
            if !inspection.faults.is_empty() {
                return Err(ConfigError(inspection.faults.join("\n")));
            }
            println!("{}: nothing is wrong with it", folder.display());
            Ok(())
        }
    }
}

fn migrate_config(
    old: &Path,
    out: Option<&Path>,
    target: &MigrationOptions,
    overwrite: bool,
) -> Result<(), ConfigError> {
    let new = migrate::read(old, target)?;
    if new.unchanged {
        eprintln!("dunepond: {}: of the new shape already; it stands as it was", old.display());
    }
    new.changes.iter().for_each(|line| eprintln!("dunepond: {line}"));
    match out {
        Some(out) => migrate::write(out, &new.text, overwrite),
        None => {
            print!("{}", new.text);
            Ok(())
        }
    }
}

fn run(
    path: Option<PathBuf>,
    signals: Option<Result<CaughtSignals, ConfigError>>,
) -> Result<(), ConfigError> {
    let signals = signals.transpose()?;
    let operator = path.as_deref().map_or(Ok(OperatorConfig::default()), config::read_operator_file)?;
    let mut start = config::read(|name| std::env::var(name).ok())?;
    start.operator = operator;
    let form = start.operator.log_format.as_deref().and_then(|form| form.parse().ok()).unwrap_or_default();
    logger::start(&start.name, start.log_level, form);
    if let Some(key) = start.unsupported_setting {
        warn!("settings: {key}: allowed, but not supported on sockets");
    }
    // From here on errors go to the log; the empty one returned keeps `main` from printing them twice.
    serve(start, Hooks { operator_file: path, signals, ..Hooks::default() }).map_err(|ConfigError(line)| {
        error!("{line}");
        ConfigError(String::new())
    })
}

/// Checks the operator's file; where `GW_CONFIG` names a deployment as well, also whether its fleet section fits that.
fn check(file: &Path) -> Result<(), ConfigError> {
    let variable = |name: &str| std::env::var(name).ok();
    match config::read_operator_file(file)?.fleet {
        Some(fleet) if variable("GW_CONFIG").is_some() => {
            let start = config::read(variable)?;
            check_fleet(&fleet, &start.name, &start.deployment)
                .map_err(|ConfigError(why)| ConfigError(format!("{}: {why}", file.display())))
        }
        _ => Ok(()),
    }
}

fn main() -> ExitCode {
    // Before all else: SIGHUP kills a process that does not handle it yet.
    let signals = catch_signals();
    let command = CommandLine::parse().command;
    // Only a running broker handles them; the other commands keep the default handling.
    let signals = matches!(command, None | Some(Command::Run { .. })).then_some(signals);
    let outcome = match command {
        None => run(None, signals),
        Some(Command::Run { operator }) => run(operator, signals),
        Some(Command::Check { file }) => {
            check(&file).map(|()| println!("{}: nothing is wrong with it", file.display()))
        }
        Some(Command::Migrate { old, out, sets, one_at_a_time, overwrite, dry_run }) => {
            let out = out.as_deref().filter(|_| !dry_run);
            migrate_config(
                &old,
                out,
                &MigrationOptions { replica_groups: sets, disable_hedging: one_at_a_time },
                overwrite,
            )
        }
        Some(Command::State { command }) => run_state_command(command),
        Some(Command::Query { at, index, text, size, shards, seconds, msearch, json }) => {
            let target = query_command::Target { address: at, index: &index, json };
            let response = match msearch {
                Some(file) => query_command::search_file(&target, &file),
                None if shards.is_empty() => query_command::search(&target, text.as_deref(), size),
                None => query_command::query(&target, text.as_deref().unwrap_or_default(), &shards, seconds),
            };
            response.map(|response| print!("{response}")).map_err(|e| ConfigError(e.to_string()))
        }
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut CommandLine::command(), "dunepond", &mut std::io::stdout());
            Ok(())
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(ConfigError(lines)) => {
            lines.lines().for_each(|line| eprintln!("dunepond: {line}"));
            ExitCode::FAILURE
        }
    }
}
