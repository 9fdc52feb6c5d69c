//! The startup configuration: the environment, the file that it names and the settings in it, read, checked and given defaults here only.

use std::net::SocketAddr;
use std::path::Path;

use dunepond_config::operator::Operator;
use dunepond_config::{Bad, Bounds, Fields, bounds, deployment};
use dunepond_routing::Deployment;
use serde_json::Value;
use tracing::level_filters::LevelFilter;

use crate::buffers::BUFFER_BYTES;

/// Descriptors for what is neither a client nor a node: standard streams, loop, signals and listener take eleven, calls to a
/// silent discovery twelve at most, and one goes to a client that is taken in before another makes room.
const RESERVED_DESCRIPTORS: u64 = 24;
const DEFAULT_MEMORY_MIB: f64 = 192.0;
const DEFAULT_DESCRIPTORS: u64 = 1024;

#[derive(Debug)]
pub struct StartupConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub level: LevelFilter,
    pub max_clients: usize,
    /// Buffers that may be in use before one more is taken for a request.
    pub max_buffers: usize,
    pub most_links: usize,
    pub deployment: Deployment,
    /// A setting that allows what sockets do not serve, and that the broker does without.
    pub unsupported_setting: Option<&'static str>,
    pub bounds: Bounds,
    /// The list as this broker last held it, in discovery's form.
    pub known: Value,
    /// What the operator's file turns on; nothing without one.
    pub operator: Operator,
}

/// The operator's file, whole or with all that is wrong in it, a line each.
pub fn operator(path: &Path) -> Result<Operator, Bad> {
    let text = std::fs::read_to_string(path).map_err(|e| Bad(format!("{}: {e}", path.display())))?;
    dunepond_config::operator::operator(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", path.display()));
        Bad(lines.collect::<Vec<_>>().join("\n"))
    })
}

pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, Bad> {
    let path = variable("GW_CONFIG").ok_or_else(|| Bad("GW_CONFIG: not set".to_string()))?;
    let text = std::fs::read_to_string(&path).map_err(|e| Bad(format!("GW_CONFIG: {path}: {e}")))?;
    let file = dunepond_config::json(text.as_bytes());
    let file = file.map_err(|e| Bad(format!("GW_CONFIG: {path}: {e}")))?;
    start(&file, variable)
}

/// Reads it all again, under way. The environment still says what was so at the start, so that the file goes
/// before it: a file with another address of discovery would otherwise change nothing.
pub fn reread(variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, Bad> {
    read(|name| Some(name).filter(|name| matches!(*name, "GW_CONFIG" | "GW_LOG")).and_then(&variable))
}

/// A whole file, as the broker would read it where the environment says nothing.
pub fn check(file: &Value) -> Result<(), Bad> {
    start(file, |_| None).map(drop)
}

fn start(file: &Value, variable: impl Fn(&str) -> Option<String>) -> Result<StartupConfig, Bad> {
    let config = Fields::of("config", file)?;
    // At the start, what the environment says goes before the file.
    let told = |name: &str, key: &str| match variable(name) {
        Some(value) => Ok((value, name.to_string())),
        None => Ok::<_, Bad>((config.text(key)?.to_string(), format!("config: {key}"))),
    };
    let address = |name: &str, key: &str| {
        let (value, source) = told(name, key)?;
        value.parse::<SocketAddr>().map_err(|_| Bad(format!("{source}: '{value}' is not an address:port")))
    };
    let seed = config.text("seed")?;
    let seed = u64::from_str_radix(seed, 16)
        .map_err(|_| config.bad("seed", "not a hexadecimal number of 64 bits"))?;
    let settings = Fields::of("settings", config.raw("settings")?)?;
    let mut deployment = deployment(seed, &settings)?;
    if deployment.query_classes.iter().any(|t| t.second_step) {
        return Err(settings.bad("familyInfo.secondStep", "second steps are not served on sockets"));
    }
    // The frames have no probe.
    let unsupported_setting = std::mem::take(&mut deployment.may_probe).then_some("ceilings.mayProbe");
    let sockets = config.count_or("limits.sockets", DEFAULT_DESCRIPTORS)?;
    let memory = config.number_or("limits.memory_mb", DEFAULT_MEMORY_MIB)?;
    let level = match variable("GW_LOG") {
        Some(value) => value.parse().map_err(|_| Bad(format!("GW_LOG: '{value}' is no level")))?,
        None => match config.optional_text("log")? {
            Some(value) => value.parse().map_err(|_| config.bad("log", "not a level"))?,
            None => LevelFilter::INFO,
        },
    };
    // Connections hold buffers only while something is in them. A quarter of the memory is for those; the rest
    // for queries in hand, queued frames and the program itself.
    let most = sockets.saturating_sub(RESERVED_DESCRIPTORS);
    let max_buffers = (memory * 1024.0 * 1024.0 / 4.0 / BUFFER_BYTES as f64) as usize;
    if most < 16 || max_buffers < 16 {
        return Err(config.bad("limits", "too little memory or sockets for any connections"));
    }
    // Each node is sent to on few connections, by however many clients: no term says how many, and this share is ours. It is of
    // the settings' descriptors, and what is idle makes room for what is wanted; where a connection carries few parts and a
    // query has many, it bounds how many queries are out at once.
    let most_links = (most / 4) as usize;
    Ok(StartupConfig {
        name: told("GW_NAME", "name")?.0,
        listen: address("GW_LISTEN", "listen")?,
        discovery: address("GW_DISCOVERY", "discovery")?,
        level,
        max_clients: most as usize - most_links,
        max_buffers,
        most_links,
        deployment,
        unsupported_setting,
        bounds: bounds(&settings)?,
        known: config.maybe("known", "a list of nodes", Some)?.cloned().unwrap_or(Value::Null),
        operator: Operator::default(),
    })
}
