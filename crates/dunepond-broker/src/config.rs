//! The startup configuration: the environment, the file that it names and the settings in it, read, checked and given defaults here only.

use std::net::SocketAddr;
use std::path::Path;

use dunepond_config::operator::OperatorConfig;
use dunepond_config::{ConfigError, Fields, HostSettings, deployment, host_settings};
use dunepond_routing::Deployment;
use serde_json::Value;
use tracing::level_filters::LevelFilter;

use crate::buffers::BUFFER_BYTES;

/// Descriptors for what is neither a client nor a node: eleven for standard streams, loop, signals and listener, twelve for calls
/// to a silent discovery agent, and one for a client that is accepted before another is closed.
const RESERVED_DESCRIPTORS: u64 = 24;
const DEFAULT_MEMORY_MIB: f64 = 192.0;
const DEFAULT_DESCRIPTORS: u64 = 1024;

/// All that the broker is started with.
#[derive(Debug)]
pub struct StartupConfig {
    /// The broker's name, in its log lines and in a fleet.
    pub name: String,
    /// Address of the listener for clients.
    pub listen_address: SocketAddr,
    /// Address of the discovery agent.
    pub discovery_address: SocketAddr,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Client connections that may be open at once.
    pub max_clients: usize,
    /// Buffers that may be in use when one more is requested.
    pub max_buffers: usize,
    /// Connections to nodes that may be open at once.
    pub max_node_connections: usize,
    /// The settings of the deployment.
    pub deployment: Deployment,
    /// Key of a setting that is valid but not supported on sockets, and ignored.
    pub unsupported_setting: Option<&'static str>,
    /// Bounds on requests, and the names of the deployment's parts.
    pub bounds: HostSettings,
    /// The configured endpoint list, in discovery's form; null without one.
    pub configured_endpoints: Value,
    /// What the operator's file enables; the default without a file.
    pub operator: OperatorConfig,
}

/// Reads the operator's file. The error has a line for each fault.
pub fn read_operator_file(path: &Path) -> Result<OperatorConfig, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError(format!("{}: {e}", path.display())))?;
    dunepond_config::operator::parse(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", path.display()));
        ConfigError(lines.collect::<Vec<_>>().join("\n"))
    })
}

/// Reads the configuration at startup: the environment goes before the file that `GW_CONFIG` names.
pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, ConfigError> {
    let path = variable("GW_CONFIG").ok_or_else(|| ConfigError("GW_CONFIG: not set".to_string()))?;
    let text = std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("GW_CONFIG: {path}: {e}")))?;
    let file = dunepond_config::parse_json(text.as_bytes());
    let file = file.map_err(|e| ConfigError(format!("GW_CONFIG: {path}: {e}")))?;
    parse(&file, variable)
}

/// Reloads the configuration of a running process. The file goes before the environment, which is that of the start: otherwise
/// another address of discovery in the file would change nothing.
pub fn reload(variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, ConfigError> {
    read(|name| Some(name).filter(|name| matches!(*name, "GW_CONFIG" | "GW_LOG")).and_then(&variable))
}

/// Checks a configuration file as the broker would read it with an empty environment.
pub fn check(file: &Value) -> Result<(), ConfigError> {
    parse(file, |_| None).map(drop)
}

fn parse(file: &Value, variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, ConfigError> {
    let config = Fields::new("config", file)?;
    // At the start the environment goes before the file.
    let value_of = |name: &str, key: &str| match variable(name) {
        Some(value) => Ok((value, name.to_string())),
        None => Ok::<_, ConfigError>((config.text(key)?.to_string(), format!("config: {key}"))),
    };
    let address = |name: &str, key: &str| {
        let (value, source) = value_of(name, key)?;
        value
            .parse::<SocketAddr>()
            .map_err(|_| ConfigError(format!("{source}: '{value}' is not an address:port")))
    };
    let seed = config.text("seed")?;
    let seed = u64::from_str_radix(seed, 16)
        .map_err(|_| config.error("seed", "not a hexadecimal number of 64 bits"))?;
    let settings = Fields::new("settings", config.value("settings")?)?;
    let mut deployment = deployment(seed, &settings)?;
    if deployment.query_classes.iter().any(|t| t.second_step) {
        return Err(settings.error("familyInfo.secondStep", "second steps are not served on sockets"));
    }
    // The frames have no probe.
    let unsupported_setting = std::mem::take(&mut deployment.may_probe).then_some("ceilings.mayProbe");
    let sockets = config.count_or("limits.sockets", DEFAULT_DESCRIPTORS)?;
    let memory = config.number_or("limits.memory_mb", DEFAULT_MEMORY_MIB)?;
    let level = match variable("GW_LOG") {
        Some(value) => value.parse().map_err(|_| ConfigError(format!("GW_LOG: '{value}' is no level")))?,
        None => match config.optional_text("log")? {
            Some(value) => value.parse().map_err(|_| config.error("log", "not a level"))?,
            None => LevelFilter::INFO,
        },
    };
    // A quarter of the memory is for connections' buffers; the rest is for queries in flight, queued frames and the program.
    let max_connections = sockets.saturating_sub(RESERVED_DESCRIPTORS);
    let max_buffers = (memory * 1024.0 * 1024.0 / 4.0 / BUFFER_BYTES as f64) as usize;
    if max_connections < 16 || max_buffers < 16 {
        return Err(config.error("limits", "too little memory or sockets for any connections"));
    }
    // A quarter of the descriptors is for connections to nodes, which many clients share; idle ones are closed for new ones.
    let max_node_connections = (max_connections / 4) as usize;
    Ok(StartupConfig {
        name: value_of("GW_NAME", "name")?.0,
        listen_address: address("GW_LISTEN", "listen")?,
        discovery_address: address("GW_DISCOVERY", "discovery")?,
        log_level: level,
        max_clients: max_connections as usize - max_node_connections,
        max_buffers,
        max_node_connections,
        deployment,
        unsupported_setting,
        bounds: host_settings(&settings)?,
        configured_endpoints: config
            .optional("known", "a list of nodes", Some)?
            .cloned()
            .unwrap_or(Value::Null),
        operator: OperatorConfig::default(),
    })
}
