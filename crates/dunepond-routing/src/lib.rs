//! What passes between dunepond's decisions and whatever carries them: plain types, and the
//! [`Host`] that the decisions call. Nothing here decides, and nothing here knows a transport.
//!
//! A host makes one [`Broker`] for each broker it carries and calls its methods as things happen;
//! within each call the broker calls back through [`Host`]. Times are seconds on the host's own
//! clock; ids are small indices that the host hands out.

mod policy;
mod state;

pub use policy::{Broker, HELD_UP, LONGEST_SHUTDOWN, LOOK_EVERY, NOTICEABLE_PAUSE, Shutdown, ShutdownStage};
use serde::{Deserialize, Serialize};

/// A node, by the index the host gave its address; another may get it once [`Broker::forget`] has been told.
pub type NodeId = usize;
/// A scan, by a number that the host never uses twice for one broker.
pub type ScanId = u64;

/// What the module can have done. Orders are carried out in the sequence they are given.
pub trait Host {
    /// The clock; it stands still during a call.
    fn now(&self) -> f64;
    /// Sends a part to a node. A part's dispatches count from 0 in the order of these calls.
    fn dispatch(&mut self, scan: ScanId, part: usize, node: NodeId);
    /// Gives up the connections to a node, the idle ones at once and the others once nothing is out on them
    /// any more; what is sent next opens a new one.
    fn close_idle(&mut self, node: NodeId);
    /// Stops waiting for one dispatch; its end is still reported.
    fn cancel(&mut self, scan: ScanId, part: usize, shot: usize);
    /// Asks a node for a sign of life and room; its end comes back as [`Broker::probed`].
    fn probe(&mut self, node: NodeId);
    /// Answers from the parts that are in; for a scan with a second step, the first call asks for
    /// that step's parts.
    fn answer(&mut self, scan: ScanId, whole: bool);
    /// Turns the scan away: trying again is harmless, after `wait` seconds if that is above 0.
    fn throttle(&mut self, scan: ScanId, wait: f64);
    /// Gives the scan up, with no promise about what ran.
    fn abandon(&mut self, scan: ScanId);
    /// The scan is over for the module: no further order will name it, save a cancel of what is out.
    fn forget(&mut self, scan: ScanId);
    /// Asks for one [`Broker::wake`] at or soon after a time.
    fn wake_at(&mut self, at: f64);
    /// Asks for the changes of the node list, those missed first and others as they come; its answer comes as
    /// [`Broker::listed`] or [`Broker::list_refused`]. Called only where [`Deployment::ask_within`] is stated; a host
    /// that sees to its list itself does nothing.
    fn ask_list(&mut self) {}
    /// A plain line for whoever is on call.
    fn log(&mut self, line: &str);
}

/// May a part run again?
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    Replayable,
    /// A repeat is dropped for this long after the first dispatch that may have run.
    Keyed(f64),
    NonReplayable,
}

#[derive(Clone, Debug)]
pub struct TableType {
    pub target: f64,
    pub timeout: f64,
    pub benefit: f64,
    /// Share of the benefit still earned after the target time.
    pub late: f64,
    pub repeat: Repeat,
    /// Share of the first step's weight that makes a whole answer.
    pub whole_at: f64,
    /// Least share for any answer.
    pub least: f64,
    pub second_step: bool,
}

/// Further dispatches allowed in any `window`: `free`, plus `share` of the scans and parts taken.
#[derive(Clone, Debug, PartialEq)]
pub struct FurtherBudget {
    pub window: f64,
    pub free: f64,
    pub share: f64,
}

/// How a node that has just started must be spared.
#[derive(Clone, Debug)]
pub struct ColdRule {
    /// Share of its capacity that a node has at its start, at least.
    pub from: f64,
    /// When it is warm at the latest.
    pub warm_after: f64,
    /// Multiple of its capacity at that moment, and the span that it is counted over.
    pub multiple: f64,
    pub span: f64,
}

/// What a deployment states about itself, as far as the module goes by it.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub seed: u64,
    pub brokers: f64,
    /// Our own zone.
    pub zone: usize,
    pub table_types: Vec<TableType>,
    /// Each customer's scans a second within its share, all brokers together.
    pub quotas: Vec<f64>,
    /// The benefit of a scan grows with its work.
    pub benefit_by_work: bool,
    pub cells: usize,
    pub holders: usize,
    /// What it costs if all parts cross zones, as a share of all benefit; `None` where that is not stated.
    pub crossing: Option<f64>,
    pub dispatch_cap: usize,
    pub second_copies: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// Longest wait that a throttling reply may name; 0 where it may name none.
    pub longest_wait: f64,
    pub budget: Option<FurtherBudget>,
    pub cold: ColdRule,
    /// Where the node list comes only when it is asked for: seconds after which a broker that has not asked is
    /// taken to know it all the same. `None` where it is pushed.
    pub ask_within: Option<f64>,
    /// Least time between two calls.
    pub tick: f64,
}

/// What may change of a deployment while a broker runs; [`Broker::govern`] puts it in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// By table type, as [`TableType::least`] and [`TableType::whole_at`]; a share that is missing is 1.
    pub least: Vec<f64>,
    pub whole_at: Vec<f64>,
    pub budget: Option<FurtherBudget>,
    pub dispatch_cap: usize,
    pub second_copies: bool,
    /// As [`ColdRule::multiple`].
    pub cold_multiple: f64,
    /// Seconds; 0 where a throttling reply may name no wait.
    pub longest_wait: f64,
}

impl Rules {
    /// What a deployment states.
    pub fn of(site: &Deployment) -> Self {
        Self {
            least: site.table_types.iter().map(|t| t.least).collect(),
            whole_at: site.table_types.iter().map(|t| t.whole_at).collect(),
            budget: site.budget.clone(),
            dispatch_cap: site.dispatch_cap,
            second_copies: site.second_copies,
            cold_multiple: site.cold.multiple,
            longest_wait: site.longest_wait,
        }
    }
}

/// Our parts of bounds that hold for all brokers together, in place of an even one; [`Broker::limited`] puts them in
/// force. Nothing: as the deployment states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Parts a second of ours that a warm node is known to take: what a cold one is spared goes by it.
    pub cold: Option<f64>,
    /// Share of the free further dispatches of all brokers, which are [`FurtherBudget::free`] for each.
    pub further: Option<f64>,
    /// Share of each customer's quota, by customer.
    pub quotas: Vec<Option<f64>>,
}

/// What a broker would use of such bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Parts that a warm node completes for it each second.
    pub cold: f64,
    /// Further dispatches made, and how often there was no room for one.
    pub further: f64,
    pub refused: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    Active,
    Draining,
    Gone,
}

/// A line of the node list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub node: NodeId,
    pub cell: usize,
    pub zone: usize,
    pub standing: Standing,
    /// When its process last started, on the host's clock; 0 if long ago.
    pub started: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Part {
    pub seg: usize,
    pub weight: f64,
    /// The only node that may have this part: a non-replayable part of a segment whose owner is agreed.
    pub only: Option<NodeId>,
}

/// A scan as it comes in, with the parts of its first step.
#[derive(Clone, Debug)]
pub struct Scan {
    pub id: ScanId,
    pub table_type: usize,
    pub customer: usize,
    /// Time left before the client gives this try up.
    pub expires_in: f64,
    /// Marked by its client as a further try.
    pub resent: bool,
    /// Its text can be had again for further dispatches; if not, its parts go out at its arrival or never.
    pub kept: bool,
    /// Its frames may take long to go out: [`Broker::framed`] tells of each that has.
    pub long: bool,
    /// Nothing goes out before [`Broker::search`] has told which parts are left out.
    pub waits: bool,
    /// No client waits for it: it goes out once, if nothing is pressed, and its parts count for no budget.
    pub audit: bool,
    pub parts: Vec<Part>,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Completed,
    Error,
    /// Turned away unseen.
    Full,
    TimedOut,
    NoConnection,
    /// The connection broke while it was out.
    Dropped,
    Cancelled,
    /// Never issued.
    NotSent,
}

/// What was learned of a node, in seconds ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeBelief {
    pub node: NodeId,
    pub aside: bool,
    /// The oldest first.
    pub samples: Vec<SampleBelief>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SampleBelief {
    pub table_type: usize,
    pub sent_ago: f64,
    pub took: f64,
    pub ago: f64,
    pub served: bool,
    pub fault: bool,
}

/// What a broker has learned, for one that comes after it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Beliefs {
    pub nodes: Vec<NodeBelief>,
    /// What completions took, how long ago they were, and each node's part of one.
    pub fleet: Vec<(f64, f64, f64)>,
    /// Breaks after idle times: how long ago, how long it was idle, and whether it broke.
    pub reaped: Vec<(f64, f64, bool)>,
    /// What dispatches take at ease.
    pub ease: Option<f64>,
}

/// What a broker has spent, in seconds ago: further dispatches, scans and parts taken, parts to cold nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    pub further: Vec<f64>,
    pub taken: Vec<(f64, f64)>,
    pub cold: Vec<(NodeId, Vec<f64>)>,
}

/// A dispatch that has ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub scan: ScanId,
    pub part: usize,
    pub shot: usize,
    pub node: NodeId,
    pub end: End,
    /// Seconds since it was sent.
    pub took: f64,
}
