//! The operator's file: a KDL document in which each feature is off where it is silent. Every fault is named with the
//! place where it stands and what was expected there.

mod bodies;
mod doors;
mod fleet;
mod limits;
mod reader;

use std::fmt;

use dunepond_background::Budget;
use dunepond_prefilter as phases;
use ipnet::IpNet;
use kdl::KdlDocument;

pub use bodies::{Bodies, Folder};
pub use doors::{Search, State};
pub use fleet::{Fills, Fleet, Known, Link, Maps, Moves, Partner};
pub use limits::Limits as Shared;
use reader::Reader;

/// What stands wrong, and where: line and column, each from 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub line: usize,
    pub column: usize,
    pub words: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.words)
    }
}

/// All that the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    pub bodies: Option<Bodies>,
    /// Two-phase scans: which can match is asked first; off where the file does not name them.
    pub phases: Option<phases::PrefilterConfig>,
    /// What outlasts the process; nothing does where the file does not name it.
    pub state: Option<State>,
    /// The API's door; there is none where the file does not name it.
    pub search: Option<Search>,
    /// Addresses of nodes that speak the API; all others speak frames.
    pub search_nodes: Vec<IpNet>,
    /// Brokers that agree on versions; nobody is talked with where the file does not name it.
    pub fleet: Option<Fleet>,
    /// What background work may take, all together.
    pub background: Budget,
    /// `text` or `json`.
    pub log_form: Option<String>,
    /// Seconds between two lines of counters in the log.
    pub counters_every: Option<f64>,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            bodies: None,
            phases: None,
            state: None,
            search: None,
            search_nodes: Vec::new(),
            fleet: None,
            background: Budget { time: 0.02, bytes: MIB as f64, at_once: 1 },
            log_form: None,
            counters_every: None,
        }
    }
}

const MIB: u64 = 1024 * 1024;

/// Reads a whole file; all faults that it has, in their order.
pub fn operator(text: &str) -> Result<Operator, Vec<Fault>> {
    let mut reader = Reader { text, faults: Vec::new() };
    let document = match KdlDocument::parse_v2(text) {
        Ok(document) => document,
        Err(e) => {
            for diagnostic in &e.diagnostics {
                let words = diagnostic.message.clone().or(diagnostic.label.clone());
                let words = words.unwrap_or_else(|| "cannot be read".to_string());
                let help = diagnostic.help.as_ref().map_or(String::new(), |help| format!(" ({help})"));
                reader.fault(diagnostic.span.offset(), format!("not KDL: {words}{help}"));
            }
            return Err(reader.faults);
        }
    };
    let mut operator = Operator::default();
    for node in reader.children(
        "the file",
        document.nodes(),
        &["bodies", "phases", "state", "search", "search-nodes", "fleet", "background", "log", "counters"],
    ) {
        match node.name().value() {
            "bodies" => operator.bodies = Some(reader.bodies(node)),
            "phases" => operator.phases = Some(reader.phases(node)),
            "state" => operator.state = reader.state(node),
            "search" => operator.search = reader.search(node),
            "search-nodes" => operator.search_nodes = reader.networks(node),
            "fleet" => operator.fleet = reader.fleet(node),
            "background" => {
                let [time, bytes, at_once] = reader.properties(node, ["time", "bytes", "at-once"]);
                let budget = &mut operator.background;
                budget.time = time.and_then(|entry| reader.number(entry, 0.001, 0.5)).unwrap_or(budget.time);
                let bytes = bytes.and_then(|entry| reader.size(entry, 1024));
                budget.bytes = bytes.map_or(budget.bytes, |bytes| bytes as f64);
                let at_once = at_once.and_then(|entry| reader.number(entry, 1.0, 16.0));
                budget.at_once = at_once.map_or(budget.at_once, |count| count as usize);
            }
            "log" => {
                let [form] = reader.properties(node, ["form"]);
                operator.log_form = form.and_then(|form| reader.word(form, &["text", "json"]));
            }
            _ => {
                let [every] = reader.properties(node, ["every"]);
                operator.counters_every = every.and_then(|every| reader.number(every, 0.1, 86_400.0));
            }
        }
    }
    if reader.faults.is_empty() { Ok(operator) } else { Err(reader.faults) }
}

#[cfg(test)]
mod tests;
