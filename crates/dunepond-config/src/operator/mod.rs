//! Parses the operator's file: a KDL document that enables features. A feature that the file doesn't name is disabled.

mod body_buffer;
mod fleet;
mod prefilter;
mod quotas;
mod reader;
mod recovery;
mod search_api;

use std::fmt;

use dunepond_background::Budget;
use dunepond_prefilter::PrefilterConfig;
use ipnet::IpNet;
use kdl::{KdlDocument, KdlError, KdlNode};

pub use body_buffer::{BodyBufferConfig, SpillConfig};
pub use fleet::{
    BrokerAddress, FillConfig, FleetConfig, LinkConfig, MapConfig, PartnerConfig, RebalanceConfig,
};
pub use quotas::QuotaConfig;
pub use recovery::RecoveryConfig;
pub use search_api::SearchApiConfig;

use reader::Reader;

const MIB: u64 = 1024 * 1024;

/// One error in the operator's file, with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// Line of the error, counted from 1.
    pub line: usize,
    /// Column of the error in characters, counted from 1.
    pub column: usize,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// The contents of the operator's file. The description of a field ends with the KDL node that sets it, in parentheses.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// Buffering of request bodies (`bodies`).
    pub body_buffer: Option<BodyBufferConfig>,
    /// The prefilter, which determines before a query is run which segments can match it (`phases`).
    pub prefilter: Option<PrefilterConfig>,
    /// Storage of state that survives a restart of the process (`state`).
    pub recovery: Option<RecoveryConfig>,
    /// The listener of the search API (`search`).
    pub search_api: Option<SearchApiConfig>,
    /// Networks of the nodes that implement the search API; all other nodes implement the frame protocol
    /// (`search-nodes`).
    pub search_api_nodes: Vec<IpNet>,
    /// Consensus and membership among brokers (`fleet`).
    pub fleet: Option<FleetConfig>,
    /// Limits on all background jobs together (`background`).
    pub background: Budget,
    /// Format of the log, `text` or `json`; `None` if the file sets no format (`log`).
    pub log_format: Option<String>,
    /// Interval between two log lines with counters, in seconds; `None` if counters are not logged (`counters`).
    pub counters_interval_seconds: Option<f64>,
}

impl Default for OperatorConfig {
    fn default() -> Self {
        Self {
            body_buffer: None,
            prefilter: None,
            recovery: None,
            search_api: None,
            search_api_nodes: Vec::new(),
            fleet: None,
            background: Budget { time_ratio: 0.02, bytes_per_second: MIB as f64, max_blocking_jobs: 1 },
            log_format: None,
            counters_interval_seconds: None,
        }
    }
}

const FEATURES: [&str; 9] =
    ["bodies", "phases", "state", "search", "search-nodes", "fleet", "background", "log", "counters"];

/// Parses the text of the operator's file.
///
/// # Errors
/// All errors in the file, in the order in which they were found.
pub fn parse(text: &str) -> Result<OperatorConfig, Vec<Diagnostic>> {
    let mut reader = Reader::new(text);
    let document = match KdlDocument::parse_v2(text) {
        Ok(document) => document,
        Err(error) => {
            reader.report_syntax(&error);
            return Err(reader.errors);
        }
    };
    let mut config = OperatorConfig::default();
    for node in reader.children("the file", document.nodes(), &FEATURES) {
        match node.name().value() {
            "bodies" => config.body_buffer = Some(reader.body_buffer(node)),
            "phases" => config.prefilter = Some(reader.prefilter(node)),
            "state" => config.recovery = reader.recovery(node),
            "search" => config.search_api = reader.search_api(node),
            "search-nodes" => config.search_api_nodes = reader.networks(node),
            "fleet" => config.fleet = reader.fleet(node),
            "background" => reader.background(node, &mut config.background),
            "log" => {
                let [form] = reader.properties(node, ["form"]);
                config.log_format = form.and_then(|form| reader.one_of(form, &["text", "json"]));
            }
            _ => {
                let [every] = reader.properties(node, ["every"]);
                config.counters_interval_seconds =
                    every.and_then(|every| reader.number(every, 0.1, 86_400.0));
            }
        }
    }
    if reader.errors.is_empty() { Ok(config) } else { Err(reader.errors) }
}

impl Reader<'_> {
    /// Reports the syntax errors that the KDL parser found.
    fn report_syntax(&mut self, error: &KdlError) {
        for diagnostic in &error.diagnostics {
            let message = diagnostic.message.clone().or(diagnostic.label.clone());
            let message = message.unwrap_or_else(|| "syntax error".to_string());
            let help = diagnostic.help.as_ref().map_or(String::new(), |help| format!(" ({help})"));
            self.report(diagnostic.span.offset(), format!("not KDL: {message}{help}"));
        }
    }

    /// Reads the `background` node into `budget`.
    fn background(&mut self, node: &KdlNode, budget: &mut Budget) {
        let [time, bytes, at_once] = self.properties(node, ["time", "bytes", "at-once"]);
        budget.time_ratio = self.number_or(time, 0.001..=0.5, budget.time_ratio);
        if let Some(bytes) = bytes.and_then(|entry| self.size(entry, 1024)) {
            budget.bytes_per_second = bytes as f64;
        }
        budget.max_blocking_jobs = self.count_or(at_once, 1.0..=16.0, budget.max_blocking_jobs);
    }
}
