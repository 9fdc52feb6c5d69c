//! What the settings state for a host on sockets, beside what the router uses.

use serde_json::Value;

use crate::{ConfigError, Fields};

/// Names by the index that the router uses, and limits of connections.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Names of the query classes.
    pub query_classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// How many segments the data have.
    pub segment_count: usize,
    /// Queries and parts in flight, together; absent where there is no limit.
    pub max_in_flight: Option<usize>,
    /// Parts that one call to a node may carry.
    pub max_parts_per_call: usize,
    /// Parts that may be in flight on one connection to a node.
    pub max_parts_per_connection: usize,
    /// Seconds after which a peer closes an idle connection.
    pub idle_timeout_seconds: f64,
    /// Seconds that a connection attempt to a node may take.
    pub connect_timeout_seconds: f64,
    /// Seconds: the longest timeout of any query class.
    pub longest_query_seconds: f64,
}

/// Reads the host's part of the settings.
///
/// # Errors
/// The first field that is missing, of the wrong type or out of range.
pub fn host_settings(settings: &Fields) -> Result<HostSettings, ConfigError> {
    let services = settings.list("services")?;
    let zones = settings.list("zones")?;
    Ok(HostSettings {
        query_classes: names(settings, "services")?,
        tenants: names(settings, "projects")?,
        zones: texts(zones).ok_or_else(|| settings.error("zones", "not a list of texts"))?,
        segment_count: settings.positive_count("familyInfo.slabs")?,
        max_in_flight: max_in_flight(settings)?,
        max_parts_per_call: settings.count_or("familyInfo.partsACall", 1)?.max(1) as usize,
        max_parts_per_connection: settings.positive_count("ceilings.streamsPerConn")?,
        idle_timeout_seconds: settings.seconds("ceilings.idleCloseMs")?,
        connect_timeout_seconds: settings.seconds("ceilings.connectTimeoutMs")?,
        longest_query_seconds: longest_query_seconds(settings, services)?,
    })
}

/// The `name` of each object of a list.
fn names(settings: &Fields, path: &str) -> Result<Vec<String>, ConfigError> {
    let list_name = format!("{}.{path}", settings.name());
    let mut names = Vec::new();
    for entry in settings.list(path)? {
        names.push(Fields::new(&list_name, entry)?.text("name")?.to_string());
    }
    Ok(names)
}

fn texts(list: &[Value]) -> Option<Vec<String>> {
    list.iter().map(|entry| entry.as_str().map(str::to_string)).collect()
}

/// 0 stands for no limit.
fn max_in_flight(settings: &Fields) -> Result<Option<usize>, ConfigError> {
    let stated = settings.optional("ceilings.mostHeld", "a whole number", Value::as_u64)?;
    Ok(stated.filter(|max| *max > 0).map(|max| max as usize))
}

fn longest_query_seconds(settings: &Fields, services: &[Value]) -> Result<f64, ConfigError> {
    let list_name = format!("{}.services", settings.name());
    let mut longest: f64 = 0.0;
    for service in services {
        longest = longest.max(Fields::new(&list_name, service)?.seconds("deadlineMs")?);
    }
    Ok(longest)
}
