//! Reads the startup configuration: the environment, the file that it names and the settings in that file. No other
//! module of the broker checks these values or has defaults for them.

use std::net::SocketAddr;
use std::path::Path;

use dunepond_config::operator::OperatorConfig;
use dunepond_config::{ConfigError, Fields, HostSettings, deployment, host_settings};
use dunepond_routing::{Deployment, MemoryLimits, MemoryUses};
use serde_json::Value;
use tracing::level_filters::LevelFilter;

use crate::buffers::BUFFER_BYTES;

/// File descriptors reserved for anything but connections of clients and nodes: eleven for the standard streams, the event
/// loop, signals and the listener, twelve for calls to a discovery agent that does not answer, and one for a client that is
/// accepted before another one is closed.
const RESERVED_DESCRIPTORS: u64 = 24;
const DEFAULT_MEMORY_MIB: f64 = 192.0;
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// Minimum number of connections. The broker does not start if the limit on file descriptors leaves fewer.
const MIN_CONNECTIONS: u64 = 16;
/// Minimum number of the largest buffers for what clients send, enough for one request. The broker does not start if the limit
/// on memory leaves fewer.
const MIN_CLIENT_BUFFERS: usize = 2;
/// Bytes in a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;

/// The configuration that a broker is started with.
#[derive(Debug)]
pub struct StartupConfig {
    /// The broker's name, in its log lines and in a fleet.
    pub name: String,
    /// Address of the listener for clients.
    pub listen_address: SocketAddr,
    /// Address of the discovery agent.
    pub discovery_address: SocketAddr,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// Maximum number of open client connections.
    pub max_clients: usize,
    /// The limit on memory, in bytes.
    pub memory_bytes: f64,
    /// Maximum number of open connections to nodes.
    pub max_node_connections: usize,
    /// The settings of the deployment.
    pub deployment: Deployment,
    /// Key of a setting that is valid but ignored, because only the simulator supports it and a broker that runs on
    /// sockets does not; `None` if no such setting is used.
    pub unsupported_setting: Option<&'static str>,
    /// Bounds on requests, and the names of query classes, tenants and zones.
    pub host_settings: HostSettings,
    /// The configured endpoint list in the format of discovery's responses; null if none is configured.
    pub configured_endpoints: Value,
    /// The content of the operator's file; the defaults if there is no such file.
    pub operator: OperatorConfig,
}

/// Reads and checks an operator's file. The error has a line for each fault.
pub fn read_operator_file(path: &Path) -> Result<OperatorConfig, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError(format!("{}: {e}", path.display())))?;
    dunepond_config::operator::parse(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", path.display()));
        ConfigError(lines.collect::<Vec<_>>().join("\n"))
    })
}

/// Reads the configuration at startup. The environment takes precedence over the file that `GW_CONFIG` names. `variable`
/// returns the value of an environment variable.
pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, ConfigError> {
    let path = variable("GW_CONFIG").ok_or_else(|| ConfigError("GW_CONFIG: not set".to_string()))?;
    let text = std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("GW_CONFIG: {path}: {e}")))?;
    let file = dunepond_config::parse_json(text.as_bytes());
    let file = file.map_err(|e| ConfigError(format!("GW_CONFIG: {path}: {e}")))?;
    parse(&file, variable)
}

/// Reads the configuration again while the process runs. The environment is still that of the start, so only
/// `GW_CONFIG` and `GW_LOG` are read from it. Otherwise an old discovery address in the environment would override a
/// new one in the file.
pub fn reload(variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, ConfigError> {
    read(|name| Some(name).filter(|name| matches!(*name, "GW_CONFIG" | "GW_LOG")).and_then(&variable))
}

/// Checks the content of a configuration file as the broker would read it with an empty environment.
pub fn check(file: &Value) -> Result<(), ConfigError> {
    parse(file, |_| None).map(drop)
}

/// The sources of a value: the environment, which takes precedence, and the file.
struct Source<'a, V> {
    config: Fields<'a>,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Source<'_, V> {
    /// Returns the value of an environment variable, or else that of a key of the file.
    fn text(&self, variable: &str, key: &str) -> Result<String, ConfigError> {
        match (self.variable)(variable) {
            Some(value) => Ok(value),
            None => Ok(self.config.text(key)?.to_string()),
        }
    }

    /// Returns the address in an environment variable, or else in a key of the file.
    fn address(&self, variable: &str, key: &str) -> Result<SocketAddr, ConfigError> {
        let value = self.text(variable, key)?;
        let is_set = (self.variable)(variable).is_some();
        let source = if is_set { variable.to_string() } else { format!("config: {key}") };
        let invalid = |_| ConfigError(format!("{source}: '{value}' is not an address:port"));
        value.parse().map_err(invalid)
    }

    /// Returns the log level in `GW_LOG`, or else in the file's key `log`; info if neither is set.
    fn log_level(&self) -> Result<LevelFilter, ConfigError> {
        if let Some(value) = (self.variable)("GW_LOG") {
            return value.parse().map_err(|_| {
                ConfigError(format!(
                    "GW_LOG: '{value}' is not a level: use error, warn, info, debug, trace or off"
                ))
            });
        }
        match self.config.optional_text("log")? {
            Some(value) => value.parse().map_err(|_| self.config.error("log", "not a level")),
            None => Ok(LevelFilter::INFO),
        }
    }
}

/// Whether these limits leave enough buffers for what clients send.
fn has_client_buffers(limits: &MemoryLimits) -> bool {
    limits.client_buffer_bytes() >= (MIN_CLIENT_BUFFERS * BUFFER_BYTES) as f64
}

impl StartupConfig {
    /// Returns the shares of the limit on memory, for the features that the operator's file enables.
    ///
    /// Fails if these features leave too little memory for clients.
    pub fn memory_limits(&self) -> Result<MemoryLimits, ConfigError> {
        let uses = MemoryUses {
            bodies: self.operator.body_buffer.is_some(),
            prefilter: self.operator.prefilter.is_some(),
            control_plane: self.operator.fleet.is_some(),
        };
        let limits = MemoryLimits::new(self.memory_bytes, uses);
        if has_client_buffers(&limits) {
            return Ok(limits);
        }
        Err(ConfigError(
            "config: limits.memory_mb: too little memory for the features that the operator's file enables; raise it, or turn \
             off 'bodies', 'phases' or 'fleet'"
                .to_string(),
        ))
    }

    /// Returns the maximum number of connections of clients and to nodes.
    pub fn max_connections(&self) -> u64 {
        (self.max_clients + self.max_node_connections) as u64
    }
}

/// The limits on connections and their buffers that follow from the limits on file descriptors and memory.
struct ConnectionLimits {
    max_connections: u64,
    memory_bytes: f64,
}

impl ConnectionLimits {
    /// Derives the limits from the `limits` of the configuration file.
    fn from_config(config: &Fields) -> Result<Self, ConfigError> {
        let descriptors = config.count_or("limits.sockets", DEFAULT_DESCRIPTORS)?;
        let memory_mib = config.number_or("limits.memory_mb", DEFAULT_MEMORY_MIB)?;
        let memory_bytes = memory_mib * MIB;
        let max_connections = MemoryLimits::new(memory_bytes, MemoryUses::default()).max_connections();
        Ok(Self {
            max_connections: descriptors.saturating_sub(RESERVED_DESCRIPTORS).min(max_connections),
            memory_bytes,
        })
    }

    /// Whether the broker cannot run with these limits.
    fn is_too_low(&self) -> bool {
        self.max_connections < MIN_CONNECTIONS
            || !has_client_buffers(&MemoryLimits::new(self.memory_bytes, MemoryUses::default()))
    }

    /// Returns the limit on connections to nodes. A quarter of all connections is enough, as many clients share them and idle
    /// ones are closed to make room for new ones.
    fn max_node_connections(&self) -> usize {
        (self.max_connections / 4) as usize
    }

    /// Returns the limit on client connections.
    fn max_clients(&self) -> usize {
        self.max_connections as usize - self.max_node_connections()
    }
}

/// Parses and checks the content of a configuration file; `variable` returns the value of an environment variable.
fn parse(file: &Value, variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, ConfigError> {
    let config = Fields::new("config", file)?;
    let source = Source { config, variable };
    let seed = u64::from_str_radix(config.text("seed")?, 16)
        .map_err(|_| config.error("seed", "not a hexadecimal number of at most 64 bits"))?;
    let settings = Fields::new("settings", config.value("settings")?)?;
    let mut deployment = deployment(seed, &settings)?;
    if deployment.query_classes.iter().any(|class| class.second_step) {
        return Err(settings
            .error("familyInfo.secondStep", "second steps are not supported on sockets; remove the key"));
    }
    // The frame protocol has no probe, so the setting that allows probes only works in the simulator.
    let unsupported_setting = std::mem::take(&mut deployment.may_probe).then_some("ceilings.mayProbe");
    let limits = ConnectionLimits::from_config(&config)?;
    let log_level = source.log_level()?;
    if limits.is_too_low() {
        return Err(config.error(
            "limits",
            "too little memory or too few sockets for connections; raise 'memory_mb' or 'sockets'",
        ));
    }
    Ok(StartupConfig {
        name: source.text("GW_NAME", "name")?,
        listen_address: source.address("GW_LISTEN", "listen")?,
        discovery_address: source.address("GW_DISCOVERY", "discovery")?,
        log_level,
        max_clients: limits.max_clients(),
        memory_bytes: limits.memory_bytes,
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
