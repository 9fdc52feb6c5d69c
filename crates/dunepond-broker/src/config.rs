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
/// With fewer connections or buffers the broker does not start.
const MIN_CONNECTIONS: u64 = 16;
const MIN_BUFFERS: usize = 16;

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
    /// Bounds on requests, and the names of query classes, tenants and zones.
    pub host_settings: HostSettings,
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

/// Where a value comes from: at the start the environment goes before the file.
struct Source<'a, V> {
    config: Fields<'a>,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    /// The value of a variable, or else of a key of the file.
    fn text(&self, variable: &str, key: &str) -> Result<String, ConfigError> {
        match (self.variable)(variable) {
            Some(value) => Ok(value),
            None => Ok(self.config.text(key)?.to_string()),
        }
    }

    fn address(&self, variable: &str, key: &str) -> Result<SocketAddr, ConfigError> {
        let value = self.text(variable, key)?;
        let is_set = (self.variable)(variable).is_some();
        let source = if is_set { variable.to_string() } else { format!("config: {key}") };
        let invalid = |_| ConfigError(format!("{source}: '{value}' is not an address:port"));
        value.parse().map_err(invalid)
    }

    fn log_level(&self) -> Result<LevelFilter, ConfigError> {
        if let Some(value) = (self.variable)("GW_LOG") {
            return value.parse().map_err(|_| ConfigError(format!("GW_LOG: '{value}' is no level")));
        }
        match self.config.optional_text("log")? {
            Some(value) => value.parse().map_err(|_| self.config.error("log", "not a level")),
            None => Ok(LevelFilter::INFO),
        }
    }
}

/// What the limits on descriptors and memory leave for connections.
struct ConnectionLimits {
    max_connections: u64,
    max_buffers: usize,
}

impl ConnectionLimits {
    fn of(config: &Fields) -> Result<Self, ConfigError> {
        let descriptors = config.count_or("limits.sockets", DEFAULT_DESCRIPTORS)?;
        let memory_mib = config.number_or("limits.memory_mb", DEFAULT_MEMORY_MIB)?;
        // A quarter of the memory is for connections' buffers; the rest is for queries in flight, queued frames and the program.
        Ok(Self {
            max_connections: descriptors.saturating_sub(RESERVED_DESCRIPTORS),
            max_buffers: (memory_mib * 1024.0 * 1024.0 / 4.0 / BUFFER_BYTES as f64) as usize,
        })
    }

    fn is_too_low(&self) -> bool {
        self.max_connections < MIN_CONNECTIONS || self.max_buffers < MIN_BUFFERS
    }

    /// Connections to nodes, which many clients share: a quarter of all. Idle ones are closed for new ones.
    fn max_node_connections(&self) -> usize {
        (self.max_connections / 4) as usize
    }

    fn max_clients(&self) -> usize {
        self.max_connections as usize - self.max_node_connections()
    }
}

fn parse(file: &Value, variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, ConfigError> {
    let config = Fields::new("config", file)?;
    let source = Source { config, variable };
    let seed = u64::from_str_radix(config.text("seed")?, 16)
        .map_err(|_| config.error("seed", "not a hexadecimal number of 64 bits"))?;
    let settings = Fields::new("settings", config.value("settings")?)?;
    let mut deployment = deployment(seed, &settings)?;
    if deployment.query_classes.iter().any(|class| class.second_step) {
        return Err(settings.error("familyInfo.secondStep", "second steps are not served on sockets"));
    }
    // The frames have no probe.
    let unsupported_setting = std::mem::take(&mut deployment.may_probe).then_some("ceilings.mayProbe");
    let limits = ConnectionLimits::of(&config)?;
    let log_level = source.log_level()?;
    if limits.is_too_low() {
        return Err(config.error("limits", "too little memory or sockets for any connections"));
    }
    Ok(StartupConfig {
        name: source.text("GW_NAME", "name")?,
        listen_address: source.address("GW_LISTEN", "listen")?,
        discovery_address: source.address("GW_DISCOVERY", "discovery")?,
        log_level,
        max_clients: limits.max_clients(),
        max_buffers: limits.max_buffers,
        max_node_connections: limits.max_node_connections(),
        deployment,
        unsupported_setting,
        host_settings: host_settings(&settings)?,
        configured_endpoints: config
            .optional("known", "a list of nodes", Some)?
            .cloned()
            .unwrap_or(Value::Null),
        operator: OperatorConfig::default(),
    })
}
