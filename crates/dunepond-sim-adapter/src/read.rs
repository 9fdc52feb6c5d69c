//! Reads node rows out of the simulator's messages.

use dunepond_config::{Bad, Fields};
use dunepond_routing::EndpointState;
use serde::Deserialize;

#[derive(Deserialize, Clone)]
pub struct Row {
    pub node: String,
    #[serde(default)]
    pub cell: usize,
    #[serde(default)]
    pub area: usize,
    pub mode: String,
    #[serde(default, rename = "readyAtMs")]
    pub ready_at_ms: f64,
}

pub fn rows(register: &Fields) -> Result<Vec<Row>, Bad> {
    let rows = register.list("rowsIn")?.iter().map(Row::deserialize);
    rows.collect::<Result<_, _>>().map_err(|e| register.bad("rowsIn", &e.to_string()))
}

pub fn standing(mode: &str) -> Result<EndpointState, Bad> {
    match mode {
        "active" => Ok(EndpointState::Active),
        "leaving" => Ok(EndpointState::Draining),
        "left" => Ok(EndpointState::Removed),
        other => Err(Bad(format!("register: mode: unknown word '{other}'"))),
    }
}
