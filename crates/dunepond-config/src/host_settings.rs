//! Reads the settings for the router's host, the process that does the router's I/O: names of query classes, tenants
//! and zones, and limits on queries and connections.

use serde_json::Value;

use crate::{ConfigError, Fields};

/// Settings for the router's host, the process that does the router's I/O: names of the query classes, tenants and
/// zones, which the router identifies by index, and limits on queries and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Names of the query classes. The router identifies a class by its index in this list.
    pub query_classes: Vec<String>,
    /// Names of the tenants. The router identifies a tenant by its index in this list.
    pub tenants: Vec<String>,
    /// Names of the zones. The router identifies a zone by its index in this list.
    pub zones: Vec<String>,
    /// Number of segments into which the data is divided.
    pub segment_count: usize,
    /// Maximum number of queries and parts in flight, counted together; `None` for no limit.
    pub max_in_flight: Option<usize>,
    /// Maximum number of parts in one call to a node.
    pub max_parts_per_call: usize,
    /// Maximum number of parts in flight on one connection to a node.
    pub max_parts_per_connection: usize,
    /// Time, in seconds, after which a node closes a connection that is idle. The broker closes such a connection a
    /// little earlier.
    pub idle_timeout_seconds: f64,
    /// Maximum duration of a connection attempt to a node, in seconds.
    pub connect_timeout_seconds: f64,
    /// Longest timeout of any query class, in seconds.
    pub longest_query_seconds: f64,
}

/// Reads the names and limits that the router's host, the process that does the router's I/O, needs from the settings.
///
/// # Errors
/// Names the first field that is missing, of the wrong type or out of range.
pub fn host_settings(settings: &Fields) -> Result<HostSettings, ConfigError> {
    let services = settings.list("services")?;
    let zones = settings.list("zones")?;
    Ok(HostSettings {
        query_classes: names(settings, "services")?,
        tenants: names(settings, "projects")?,
        zones: texts(zones).ok_or_else(|| settings.error("zones", "not a list of strings"))?,
        segment_count: settings.positive_count("familyInfo.slabs")?,
        max_in_flight: max_in_flight(settings)?,
        max_parts_per_call: settings.count_or("familyInfo.partsACall", 1)?.max(1) as usize,
        max_parts_per_connection: settings.positive_count("ceilings.streamsPerConn")?,
        idle_timeout_seconds: settings.seconds("ceilings.idleCloseMs")?,
        connect_timeout_seconds: settings.seconds("ceilings.connectTimeoutMs")?,
        longest_query_seconds: longest_query_seconds(settings, services)?,
    })
}

/// Reads the `name` field of each object in the list at `path`.
fn names(settings: &Fields, path: &str) -> Result<Vec<String>, ConfigError> {
    let list_name = format!("{}.{path}", settings.name());
    let mut names = Vec::new();
    for entry in settings.list(path)? {
        names.push(Fields::new(&list_name, entry)?.text("name")?.to_string());
    }
    Ok(names)
}

/// Returns the strings of a list; `None` if an entry is not a string.
fn texts(list: &[Value]) -> Option<Vec<String>> {
    list.iter().map(|entry| entry.as_str().map(str::to_string)).collect()
}

/// Reads the maximum number of queries and parts in flight, counted together. Returns `None`, which means no limit, if
/// the field is absent or 0.
fn max_in_flight(settings: &Fields) -> Result<Option<usize>, ConfigError> {
    let max_in_flight = settings.optional("ceilings.mostHeld", "a whole number", Value::as_u64)?;
    Ok(max_in_flight.filter(|max| *max > 0).map(|max| max as usize))
}

/// Returns the longest timeout of any query class, in seconds.
fn longest_query_seconds(settings: &Fields, services: &[Value]) -> Result<f64, ConfigError> {
    let list_name = format!("{}.services", settings.name());
    let mut longest: f64 = 0.0;
    for service in services {
        longest = longest.max(Fields::new(&list_name, service)?.seconds("deadlineMs")?);
    }
    Ok(longest)
}
