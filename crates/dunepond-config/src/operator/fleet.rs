//! The agreeing fleet: who talks with whom, how long a word counts, and which maps will do.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use dunepond_consensus::{ConsensusConfig, ConsensusConfigError};
use kdl::{KdlDocument, KdlEntry, KdlNode};

use super::MIB;
use super::limits::Limits;
use super::reader::Reader;

/// Brokers that agree on versions; off where the file does not name it. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where the others reach this broker: UDP and TCP at the same port.
    pub listen: SocketAddr,
    /// What was agreed and promised; without it a voter is silent after a start.
    pub folder: PathBuf,
    pub lease: f64,
    /// How far two steady clocks may part, as a share.
    pub drift: f64,
    /// After so long no two brokers act on rules that contradict each other.
    pub bound: f64,
    /// The longest query timeout of any broker; where it is nothing, or less, that of the deployment's settings counts.
    pub longest_timeout: Option<f64>,
    pub voters: Vec<Known>,
    /// Others that are known from the start.
    pub peers: Vec<Known>,
    /// A file with the secret that all brokers share; needed where relays stand between them.
    pub key: Option<PathBuf>,
    /// A version to propose, read at the start and at SIGHUP.
    pub version: Option<PathBuf>,
    /// What this broker did, a line each.
    pub record: Option<PathBuf>,
    pub partners: Vec<Partner>,
    pub links: Vec<Link>,
    pub fills: Option<Fills>,
    /// Plans of moves; off where the file does not name it.
    pub moves: Option<Moves>,
    /// What a new map must keep; nothing: versions bring no maps.
    pub map: Option<Maps>,
    /// Bounds that all brokers share; nothing: each goes by its even part.
    pub limits: Option<Limits>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    pub name: String,
    pub at: SocketAddr,
}

/// An owner of sites or links; what its nodes carry for others' customers is counted.
#[derive(Clone, Debug, PartialEq)]
pub struct Partner {
    pub name: String,
    pub zones: Vec<String>,
    pub customers: Vec<String>,
    /// Its brokers: what they count speaks for its side. One of nobody is a witness for both.
    pub brokers: Vec<String>,
    /// They also count what its own nodes carry: of what it is owed the lesser of both sides' counts stands.
    pub metered: bool,
}

/// What fills may take between two partners, in bytes a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    pub from: String,
    pub to: String,
    pub bytes: u64,
}

/// Who fills holders: a service of the operator's.
#[derive(Clone, Debug, PartialEq)]
pub struct Fills {
    pub at: SocketAddr,
    /// A version whose fills are not done after so many seconds is withdrawn.
    pub deadline: f64,
    /// What a segment's data come to, in bytes.
    pub segment: u64,
    /// Bytes a second of one fill, at most.
    pub rate: u64,
    /// How many are under way at once, at most.
    pub at_once: usize,
    /// Holders that are cold after a start are filled too, by the broker that each falls to, cut off or not; debts are
    /// split in advance.
    pub warm: bool,
}

/// Plans of splits, merges and moves of segments.
#[derive(Clone, Debug, PartialEq)]
pub struct Moves {
    /// The plan, read at the start and at SIGHUP.
    pub plan: PathBuf,
    /// Acts of one step, at most.
    pub at_once: usize,
    /// Seconds between two steps.
    pub settle: f64,
    /// Bytes a second that fills may take between two partners without a `link` of their own.
    pub link_bytes: Option<u64>,
}

/// What a new map must keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Maps {
    pub least_holders: usize,
    pub least_zones: usize,
    /// Share of its segments that one version may change, at most.
    pub most_changed: f64,
}

impl Fleet {
    /// What the agreement goes by, for the broker of this name. `longest_timeout`: what the deployment's settings say.
    pub fn terms(&self, name: &str, longest_timeout: f64) -> ConsensusConfig {
        let map = self.map.clone().unwrap_or(MAPS);
        ConsensusConfig {
            name: name.to_string(),
            voters: self.voters.iter().map(|voter| voter.name.clone()).collect(),
            lease_seconds: self.lease,
            drift_ratio: self.drift,
            switch_bound_seconds: self.bound,
            longest_query_seconds: self
                .longest_timeout
                .map_or(longest_timeout, |told| told.max(longest_timeout)),
            fill_deadline_seconds: self.fills.as_ref().map_or(FILLS_DEADLINE, |fills| fills.deadline),
            max_changed_ratio: map.most_changed,
            maps_enabled: self.map.is_some(),
            map_requirements: dunepond_shard_map::MapConstraints {
                min_replicas: map.least_holders,
                min_zones: map.least_zones,
            },
        }
    }
}

const MAPS: Maps = Maps { least_holders: 1, least_zones: 1, most_changed: 0.2 };
const FILLS_DEADLINE: f64 = 60.0;
/// Stands for query timeouts that are not known yet.
const SHORTEST: f64 = 1e-6;
const KEYS: [&str; 6] = ["listen", "folder", "lease", "drift", "bound", "longest-timeout"];
const NODES: [&str; 11] =
    ["voter", "peer", "key", "version", "record", "partner", "link", "fills", "moves", "map", "limits"];
const ON_OFF: [&str; 2] = ["on", "off"];
/// These may stand there more than once.
const MANY: [&str; 4] = ["voter", "peer", "partner", "link"];

impl Reader<'_> {
    pub(super) fn fleet(&mut self, node: &KdlNode) -> Option<Fleet> {
        let at = node.name().span().offset();
        let [listen, folder, lease, drift, bound, timeout] = self.keys(node, KEYS);
        let listen = self.address("fleet: listen", listen, at);
        let folder = self.folder(node, folder);
        let mut number = |entry: Option<&KdlEntry>, (least, most): (f64, f64), unless: f64| {
            entry.and_then(|entry| self.number(entry, least, most)).unwrap_or(unless)
        };
        let (lease_at, drift_at, bound_at) = (lease, drift, bound);
        let lease = number(lease, (0.1, 300.0), 2.0);
        let drift = number(drift, (0.0, 0.5), 0.01);
        let bound = number(bound, (0.1, 3600.0), 8.0);
        let longest_timeout = timeout.and_then(|entry| self.number(entry, 0.0, 3600.0));
        let mut fleet = Fleet {
            listen: listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            folder: folder.clone().unwrap_or_default(),
            lease,
            drift,
            bound,
            longest_timeout,
            voters: Vec::new(),
            peers: Vec::new(),
            key: None,
            version: None,
            record: None,
            partners: Vec::new(),
            links: Vec::new(),
            fills: None,
            moves: None,
            map: None,
            limits: None,
        };
        let mut links = Vec::new();
        let children = node.children().map_or(&[][..], KdlDocument::nodes);
        for child in self.several("fleet", children, &NODES, &MANY) {
            match child.name().value() {
                "voter" => fleet.voters.extend(self.known(child)),
                "peer" => fleet.peers.extend(self.known(child)),
                "key" => fleet.key = self.path(child),
                "version" => fleet.version = self.path(child),
                "record" => fleet.record = self.path(child),
                "partner" => fleet.partners.extend(self.partner(child)),
                "link" => links.extend(self.link(child).map(|link| (child, link))),
                "fills" => fleet.fills = self.fills(child),
                "limits" => fleet.limits = self.limits(child),
                "moves" => fleet.moves = self.moves(child),
                _ => {
                    let known = ["least-holders", "least-zones", "most-changed"];
                    let [holders, zones, changed] = self.properties(child, known);
                    let mut map = MAPS;
                    let mut count = |entry: Option<&KdlEntry>, into: &mut usize| {
                        let number = entry.and_then(|entry| self.number(entry, 1.0, 100.0));
                        *into = number.map_or(*into, |number| number as usize);
                    };
                    count(holders, &mut map.least_holders);
                    count(zones, &mut map.least_zones);
                    let changed = changed.and_then(|entry| self.number(entry, 0.001, 1.0));
                    map.most_changed = changed.unwrap_or(map.most_changed);
                    fleet.map = Some(map);
                }
            }
        }
        for (child, link) in links {
            for end in [&link.from, &link.to] {
                if !fleet.partners.iter().any(|partner| partner.name == *end) {
                    let words = format!("link: '{end}' is no partner; name it by a node 'partner'");
                    self.fault(child.name().span().offset(), words);
                }
            }
            if fleet.links.iter().any(|before| (&before.from, &before.to) == (&link.from, &link.to)) {
                let words = format!("link: from '{}' to '{}' is given twice", link.from, link.to);
                self.fault(child.name().span().offset(), words);
            }
            fleet.links.push(link);
        }
        self.no_doubles(node, &fleet);
        if fleet.voters.is_empty() {
            self.fault(at, "fleet: no voter; name each by a node 'voter \"NAME\" at=\"ADDRESS:PORT\"'");
        } else if let Err(error) = fleet.terms(&fleet.voters[0].name, SHORTEST).check() {
            // What goes beyond this file, the broker's name and the longest query timeout, is checked at the start.
            let place = match error {
                ConsensusConfigError::Lease { .. } => lease_at,
                ConsensusConfigError::Drift { .. } => drift_at,
                ConsensusConfigError::Bound { .. } => bound_at,
                ConsensusConfigError::LongestTimeout(_) => timeout,
                _ => None,
            };
            let at = place.map_or(at, |entry| entry.span().offset());
            self.fault(at, format!("fleet: {error}: {}", error.help()));
        }
        (listen.is_some() && folder.is_some()).then_some(fleet)
    }

    /// A name, an address, a zone or a customer stands there once.
    fn no_doubles(&mut self, node: &KdlNode, fleet: &Fleet) {
        let mut doubled: Vec<(&str, String)> = Vec::new();
        let mut once = |what: &'static str, values: Vec<String>| {
            let mut before = BTreeSet::new();
            doubled.extend(values.into_iter().filter(|v| !before.insert(v.clone())).map(|v| (what, v)));
        };
        let known = || fleet.voters.iter().chain(&fleet.peers);
        once("broker", known().map(|known| known.name.clone()).collect());
        once("address", known().map(|known| known.at.to_string()).collect());
        once("partner", fleet.partners.iter().map(|p| p.name.clone()).collect());
        once("zone", fleet.partners.iter().flat_map(|p| p.zones.clone()).collect());
        once("partner's broker", fleet.partners.iter().flat_map(|p| p.brokers.clone()).collect());
        once("customer", fleet.partners.iter().flat_map(|p| p.customers.clone()).collect());
        for (what, value) in doubled {
            let at = node.name().span().offset();
            self.fault(at, format!("fleet: the {what} '{value}' is given twice"));
        }
    }

    fn known(&mut self, node: &KdlNode) -> Option<Known> {
        let (name, [at]) = self.named(node, ["at"]);
        let what = format!("{}: at", node.name().value());
        let at = self.address(&what, at, node.name().span().offset());
        Some(Known { name: name?, at: at? })
    }

    fn partner(&mut self, node: &KdlNode) -> Option<Partner> {
        let (name, [zones, customers, brokers, metered]) =
            self.named(node, ["zones", "customers", "brokers", "metered"]);
        let metered = metered.and_then(|entry| self.word(entry, &ON_OFF)).is_some_and(|word| word == "on");
        let mut words = |entry: Option<&KdlEntry>| {
            entry.and_then(|entry| self.text(entry, "names with commas between them")).map_or(
                Vec::new(),
                |text| {
                    let words = text.split(',').map(|word| word.trim().to_string());
                    words.filter(|word| !word.is_empty()).collect()
                },
            )
        };
        let (zones, customers, brokers) = (words(zones), words(customers), words(brokers));
        Some(Partner { name: name?, zones, customers, brokers, metered })
    }

    fn link(&mut self, node: &KdlNode) -> Option<Link> {
        let [from, to, bytes] = self.properties(node, ["from", "to", "bytes"]);
        let at = node.name().span().offset();
        if from.is_none() || to.is_none() || bytes.is_none() {
            self.fault(at, "link: expected from=, to= and bytes= (a second)");
        }
        let from = from.and_then(|entry| self.text(entry, "a partner's name"));
        let to = to.and_then(|entry| self.text(entry, "a partner's name"));
        let bytes = bytes.and_then(|entry| self.size(entry, 1024));
        Some(Link { from: from?, to: to?, bytes: bytes? })
    }

    fn moves(&mut self, node: &KdlNode) -> Option<Moves> {
        let (plan, [at_once, settle, link]) = self.named(node, ["at-once", "settle", "link-bytes"]);
        let plan = plan.map(PathBuf::from);
        if plan.as_ref().is_some_and(|plan| !plan.has_root()) {
            let entry = node.entries().first().map_or(node.name().span(), |entry| entry.span());
            self.fault(entry.offset(), "moves: expected the path of a file, from the root");
        }
        let at_once = at_once.and_then(|entry| self.number(entry, 1.0, 64.0));
        let settle = settle.and_then(|entry| self.number(entry, 0.0, 3600.0));
        let link_bytes = link.and_then(|entry| self.size(entry, 1024));
        Some(Moves {
            plan: plan?,
            at_once: at_once.map_or(4, |count| count as usize),
            settle: settle.unwrap_or(1.0),
            link_bytes,
        })
    }

    fn fills(&mut self, node: &KdlNode) -> Option<Fills> {
        let [at, deadline, segment, rate, at_once, warm] =
            self.properties(node, ["at", "deadline", "segment", "rate", "at-once", "warm"]);
        let warm = warm.and_then(|entry| self.word(entry, &ON_OFF)).is_some_and(|word| word == "on");
        let at = self.address("fills: at", at, node.name().span().offset());
        let deadline = deadline.and_then(|entry| self.number(entry, 0.1, 86_400.0));
        let segment = segment.and_then(|entry| self.size(entry, 1));
        let rate = rate.and_then(|entry| self.size(entry, 64 * 1024));
        let at_once = at_once.and_then(|entry| self.number(entry, 1.0, 64.0));
        Some(Fills {
            at: at?,
            deadline: deadline.unwrap_or(FILLS_DEADLINE),
            segment: segment.unwrap_or(64 * MIB),
            rate: rate.unwrap_or(32 * MIB),
            at_once: at_once.map_or(4, |count| count as usize),
            warm,
        })
    }
}
