//! Starts a fleet: files and folder of each broker, relays between all, nodes, list and filler.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use super::{
    FillService, Fleet, FleetOptions, NON_IDEMPOTENT_CLASS, PARTNERS, QUERY_CLASSES, SEGMENT_BYTES,
    SHARED_KEY, TENANTS, ZONES, broker_name,
};
use crate::auditor::Records;
use crate::links::Links;
use crate::processes::{BrokerProcess, unique_loopback_address};
use crate::stand_ins::{self, DiscoveryServer, Node};

impl Fleet {
    pub fn prepare(options: FleetOptions) -> Self {
        let folder = stand_ins::scratch_path("fleet");
        fs::create_dir(&folder).unwrap();
        fs::write(folder.join("key"), SHARED_KEY).unwrap();
        let nodes: Vec<_> = (0..options.nodes).map(|i| Node::start(&format!("s-{i}"))).collect();
        let lines = endpoints(&nodes, &[]);
        let discovery = DiscoveryServer::start(lines.clone());
        let peers: Vec<_> =
            (0..options.brokers).map(|i| (broker_name(i), unique_loopback_address())).collect();
        let links = Links::between(&peers, options.seed).unwrap();
        let filler = FillService::start();
        let mut brokers = Vec::new();
        for (own, listen) in &peers {
            let (kdl, config) = (folder.join(format!("{own}.kdl")), folder.join(format!("{own}.json")));
            let door = unique_loopback_address();
            let state = folder.join(format!("{own}.state"));
            let mut text = String::new();
            if options.control_plane_enabled {
                let path = |ending: &str| folder.join(format!("{own}.{ending}")).display().to_string();
                let (key, at) = (folder.join("key"), filler.address);
                let FleetOptions {
                    lease_seconds: lease,
                    lease_bound_seconds: bound,
                    fill_deadline_seconds: deadline,
                    ..
                } = options;
                let head = format!("folder=\"{}\"", state.display());
                writeln!(
                    text,
                    "fleet listen=\"{listen}\" {head} lease={lease:?} drift=0.01 bound={bound:?} {{"
                )
                .unwrap();
                for (i, (peer, real)) in peers.iter().enumerate() {
                    let kind = if i < options.voters { "voter" } else { "peer" };
                    let at = if peer == own { *real } else { links.relay_address(own, peer) };
                    writeln!(text, "  {kind} \"{peer}\" at=\"{at}\"").unwrap();
                }
                writeln!(text, "  key \"{}\"\n  version \"{}\"", key.display(), path("version")).unwrap();
                if options.audit_enabled {
                    writeln!(text, "  record \"{}\"", path("acts")).unwrap();
                }
                for (i, partner) in PARTNERS.iter().enumerate() {
                    let (zone, customer) = (ZONES[i], TENANTS[i]);
                    let metered = if options.metered { " metered=\"on\"" } else { "" };
                    let line = format!("  partner \"{partner}\" zones=\"{zone}\" customers=\"{customer}\"");
                    write!(text, "{line}{metered}").unwrap();
                    let own: Vec<_> =
                        options.partner_brokers[i].iter().map(|broker| broker_name(*broker)).collect();
                    match own.is_empty() {
                        true => writeln!(text).unwrap(),
                        false => writeln!(text, " brokers=\"{}\"", own.join(",")).unwrap(),
                    }
                }
                let warm = if options.slow_start_seconds.is_some() { " warm=\"on\"" } else { "" };
                let segment = SEGMENT_BYTES >> 20;
                writeln!(text, "  fills at=\"{at}\" deadline={deadline:?} segment=\"{segment}MiB\"{warm}")
                    .unwrap();
                let paths = folder.join(own).display().to_string();
                options
                    .extra_lines
                    .iter()
                    .for_each(|line| writeln!(text, "  {}", line.replace("OWN", &paths)).unwrap());
                writeln!(text, "  map least-holders=2 least-zones=1 most-changed=1.0\n}}").unwrap();
            }
            fs::write(&kdl, text).unwrap();
            let mut told = stand_ins::config(discovery.address, lines.clone());
            told["settings"] = settings(&options);
            (told["name"], told["listen"], told["log"]) =
                (json!(own), json!(door.to_string()), json!("info"));
            fs::write(&config, told.to_string()).unwrap();
            let [kdl, disk] = [kdl, folder.join("disk")].map(|path| path.display().to_string());
            let mut arguments = vec!["broker", "--operator", &kdl, "--disk", &disk];
            let fails = folder.join(format!("{own}.disk")).display().to_string();
            if options.faulty_disks {
                arguments.extend(["--fleet-disk", &fails]);
            }
            let broker = BrokerProcess::new(&options.program, own, door, &state)
                .arguments(&arguments)
                .environment("GW_CONFIG", &config.display().to_string());
            brokers.push(broker);
        }
        let seen = Mutex::new((vec![0; options.brokers], Records::default()));
        let (maps, asked) = (BTreeMap::new(), Arc::default());
        let peer_addresses = peers.into_iter().map(|peer| peer.1).collect();
        Self {
            options,
            links,
            brokers,
            nodes,
            discovery,
            filler,
            known_debt_bytes: None,
            peer_addresses,
            folder,
            seen,
            maps,
            asked,
        }
    }
}

/// The list's, where these nodes are to be left.
pub(super) fn endpoints(nodes: &[Node], draining: &[&str]) -> Vec<Value> {
    let line = |(i, node): (usize, &Node)| {
        let mut line =
            node.endpoint(if draining.contains(&node.name.as_str()) { "draining" } else { "ready" });
        line["site"] = json!(ZONES[i % 2]);
        line
    };
    nodes.iter().enumerate().map(line).collect()
}

fn settings(plan: &FleetOptions) -> Value {
    let mut settings = stand_ins::settings();
    let mut service = settings["services"][0].clone();
    let services = QUERY_CLASSES.map(|name| {
        (service["name"], service["aimMs"]) = (json!(name), json!(1000.0 * plan.query_timeout_seconds / 2.0));
        service["deadlineMs"] = json!(1000.0 * plan.query_timeout_seconds);
        service["semantics"] = json!(if name == NON_IDEMPOTENT_CLASS { "side_effect" } else { "pure" });
        service.clone()
    });
    settings["services"] = json!(services);
    settings["projects"] = json!(TENANTS.map(|name| json!({"name": name, "quotaPerS": plan.tenant_quota})));
    settings["balancers"] = json!(plan.balancers);
    let family = &mut settings["familyInfo"];
    (family["slabs"], family["secondStep"]) = (json!(plan.segment_count), json!([0, 0, 0]));
    (family["leastShare"], family["wholeAt"]) = (json!([0.5, 1.0, 1.0]), json!([1.0, 1.0, 1.0]));
    if let Some(cold) = plan.slow_start_seconds {
        settings["rules"]["coldMs"] = json!(1000.0 * cold);
    }
    settings
}
