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

/// A query router (broker) in front of a sharded, replicated store. Without a command, runs the broker.
#[derive(Parser)]
#[command(version, after_help = ENVIRONMENT)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

const ENVIRONMENT: &str = "Environment:
  GW_CONFIG     path of the deployment's configuration, as JSON (needed to run)
  GW_NAME       the broker's name; overrides the file's key 'name'
  GW_LISTEN     address:port for clients; overrides the file's key 'listen'
  GW_DISCOVERY  address:port of discovery; overrides the file's key 'discovery'
  GW_LOG        error, warn, info, debug, trace or off; overrides the file's key 'log'

Signals: SIGHUP reloads the files; SIGTERM and SIGINT shut down once accepted requests are answered.";

#[derive(Subcommand)]
enum Command {
    /// Run the broker
    Run {
        /// Operator's file, which enables optional features, as KDL (deploy/dunepond.kdl documents every key)
        #[arg(long, value_name = "FILE")]
        operator: Option<PathBuf>,
    },
    /// Check an operator's file and print every fault with its line and column
    Check {
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Convert a configuration of the earlier format (segments that span replica groups, rejections that say when to
    /// retry) to the current format
    Migrate {
        #[arg(value_name = "OLD")]
        old: PathBuf,
        /// Path of the new file
        #[arg(long, value_name = "FILE", required_unless_present = "dry_run")]
        out: Option<PathBuf>,
        /// Number of replica groups (sets) in the new configuration; by default as many old groups are joined into
        /// one as held a segment
        #[arg(long, value_name = "COUNT")]
        sets: Option<usize>,
        /// Disable hedged attempts in the new configuration
        #[arg(long)]
        one_at_a_time: bool,
        /// Replace an existing file
        #[arg(long)]
        overwrite: bool,
        /// Print the new configuration without writing a file
        #[arg(long)]
        dry_run: bool,
    },
    /// Inspect the folder that a broker keeps its state in; needs no running broker
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// Send a query to a broker and print the answer
    Query {
        /// The broker's address: its search API's port, or with --shards its port for clients
        #[arg(long, value_name = "ADDRESS:PORT")]
        at: SocketAddr,
        /// Name of the index to search; each index is a query class of the deployment
        index: String,
        /// The query in the API's simple form, or with --shards the query's text; without it, everything matches
        text: Option<String>,
        /// Maximum number of hits
        #[arg(long, default_value_t = 10)]
        size: u64,
        /// Query these shards at the port for clients
        #[arg(long, value_delimiter = ',', value_name = "SHARDS")]
        shards: Vec<u64>,
        /// Time budget in seconds, with --shards
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Send a file of searches instead of one query; each search takes two lines, its header and its body
        #[arg(long, value_name = "FILE", conflicts_with_all = ["text", "shards"])]
        msearch: Option<PathBuf>,
        /// Print JSON instead of a table
        #[arg(long)]
        json: bool,
    },
    /// Print completions for a shell
    Completions { shell: Shell },
}

#[derive(Subcommand)]
enum StateCommand {
    /// Print the contents of a folder and which of them a broker would trust now
    Show {
        #[arg(value_name = "DIR")]
        folder: PathBuf,
    },
    /// Verify all files in a broker's state folder and name each file that a broker would not use
    Check {
        #[arg(value_name = "DIR")]
        folder: PathBuf,
    },
}

/// Runs a subcommand of `state`.
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

/// Converts the configuration in `old`; writes the result to `out`, or prints it if `out` is `None`.
fn migrate_config(
    old: &Path,
    out: Option<&Path>,
    options: &MigrationOptions,
    overwrite: bool,
) -> Result<(), ConfigError> {
    let migrated = migrate::read(old, options)?;
    if migrated.unchanged {
        eprintln!("dunepond: {}: of the new shape already; left unchanged", old.display());
    }
    migrated.changes.iter().for_each(|line| eprintln!("dunepond: {line}"));
    match out {
        Some(out) => migrate::write(out, &migrated.text, overwrite),
        None => {
            print!("{}", migrated.text);
            Ok(())
        }
    }
}

/// Runs a broker until it has shut down. `path` is the path of the operator's file.
fn run(
    path: Option<PathBuf>,
    signals: Option<Result<CaughtSignals, ConfigError>>,
) -> Result<(), ConfigError> {
    let signals = signals.transpose()?;
    let operator = path.as_deref().map_or(Ok(OperatorConfig::default()), config::read_operator_file)?;
    let mut startup = config::read(|name| std::env::var(name).ok())?;
    startup.operator = operator;
    let format =
        startup.operator.log_format.as_deref().and_then(|format| format.parse().ok()).unwrap_or_default();
    logger::start(&startup.name, startup.log_level, format);
    if let Some(key) = startup.unsupported_setting {
        warn!("settings: {key}: allowed, but not supported on sockets; it is ignored");
    }
    // From here on errors go to the log; an empty error is returned, so that `main` does not print them again.
    serve(startup, Hooks { operator_file: path, signals, ..Hooks::default() }).map_err(|ConfigError(line)| {
        error!("{line}");
        ConfigError(String::new())
    })
}

/// Checks an operator's file. If `GW_CONFIG` names a deployment's configuration, also checks that the file's fleet section
/// fits it.
fn check(file: &Path) -> Result<(), ConfigError> {
    let variable = |name: &str| std::env::var(name).ok();
    match config::read_operator_file(file)?.fleet {
        Some(fleet) if variable("GW_CONFIG").is_some() => {
            let startup = config::read(variable)?;
            check_fleet(&fleet, &startup.name, &startup.deployment)
                .map_err(|ConfigError(reason)| ConfigError(format!("{}: {reason}", file.display())))
        }
        _ => Ok(()),
    }
}

fn main() -> ExitCode {
    // Catches the signals before anything else, as SIGHUP kills a process that does not catch it yet.
    let signals = catch_signals();
    let command = CommandLine::parse().command;
    // Only a running broker handles the signals; dropping them restores the default handling for the other commands.
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
