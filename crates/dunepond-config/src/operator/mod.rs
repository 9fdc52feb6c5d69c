//! The operator's file: a KDL document that turns features on. A feature that it does not name is off.

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

/// One fault of the file, and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong, and what was expected.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// All that the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// Buffering of request bodies (`bodies`).
    pub body_buffer: Option<BodyBufferConfig>,
    /// The can-match phase before a query (`phases`).
    pub prefilter: Option<PrefilterConfig>,
    /// What outlasts the process (`state`).
    pub recovery: Option<RecoveryConfig>,
    /// The listener of the search API (`search`).
    pub search_api: Option<SearchApiConfig>,
    /// Networks of the nodes that speak the search API; all other nodes speak frames.
    pub search_api_nodes: Vec<IpNet>,
    /// Consensus and membership among brokers.
    pub fleet: Option<FleetConfig>,
    /// What background jobs may take, all together.
    pub background: Budget,
    /// `text` or `json`.
    pub log_format: Option<String>,
    /// Seconds between two lines of counters in the log; there are none where it is absent.
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

/// Parses a whole file.
///
/// # Errors
/// All faults of the file, in their order.
pub fn parse(text: &str) -> Result<OperatorConfig, Vec<Diagnostic>> {
    let mut reader = Reader::new(text);
    let document = match KdlDocument::parse_v2(text) {
        Ok(document) => document,
        Err(error) => {
            reader.report_syntax(&error);
            return Err(reader.faults);
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
                config.log_format = form.and_then(|form| reader.word(form, &["text", "json"]));
            }
            _ => {
                let [every] = reader.properties(node, ["every"]);
                config.counters_interval_seconds =
                    every.and_then(|every| reader.number(every, 0.1, 86_400.0));
            }
        }
    }
    if reader.faults.is_empty() { Ok(config) } else { Err(reader.faults) }
}

impl Reader<'_> {
    fn report_syntax(&mut self, error: &KdlError) {
        for diagnostic in &error.diagnostics {
            let message = diagnostic.message.clone().or(diagnostic.label.clone());
            let message = message.unwrap_or_else(|| "cannot be read".to_string());
            let help = diagnostic.help.as_ref().map_or(String::new(), |help| format!(" ({help})"));
            self.fault(diagnostic.span.offset(), format!("not KDL: {message}{help}"));
        }
    }

    fn background(&mut self, node: &KdlNode, budget: &mut Budget) {
        let [time, bytes, at_once] = self.properties(node, ["time", "bytes", "at-once"]);
        budget.time_ratio = self.number_or(time, 0.001..=0.5, budget.time_ratio);
        if let Some(bytes) = bytes.and_then(|entry| self.size(entry, 1024)) {
            budget.bytes_per_second = bytes as f64;
        }
        budget.max_blocking_jobs = self.count_or(at_once, 1.0..=16.0, budget.max_blocking_jobs);
    }
}
