//! Starts a fleet: files and folder of each broker, relays between all, nodes, discovery and the fill service.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use super::operator_file::OperatorFile;
use super::records::RecordReader;
use super::{
    FillService, Fleet, FleetOptions, NON_IDEMPOTENT_CLASS, Peer, QUERY_CLASSES, SHARED_KEY, TENANTS, ZONES,
    broker_name,
};
use crate::links::Links;
use crate::processes::{BrokerProcess, unique_loopback_address};
use crate::stand_ins::{self, DiscoveryServer, Node};

impl Fleet {
    /// All but the brokers is started.
    pub fn prepare(options: FleetOptions) -> Self {
        let folder = stand_ins::scratch_path("fleet");
        fs::create_dir(&folder).unwrap();
        fs::write(folder.join("key"), SHARED_KEY).unwrap();
        let nodes: Vec<_> = (0..options.nodes).map(|i| Node::start(&format!("s-{i}"))).collect();
        let endpoints = endpoints(&nodes, &[]);
        let discovery = DiscoveryServer::start(endpoints.clone());
        let peers: Vec<_> = (0..options.brokers)
            .map(|i| Peer { name: broker_name(i), address: unique_loopback_address() })
            .collect();
        let addresses: Vec<_> = peers.iter().map(|peer| (peer.name.clone(), peer.address)).collect();
        let links = Links::between(&addresses, options.seed).unwrap();
        let filler = FillService::start();
        let mut config = stand_ins::config(discovery.address, endpoints);
        config["settings"] = settings(&options);
        let prepare_broker = |broker: &Peer| {
            let peers = &peers;
            let file = OperatorFile {
                options: &options,
                broker,
                peers,
                links: &links,
                fill_service: filler.address,
                folder: &folder,
            };
            prepare_broker(&file, config.clone())
        };
        let brokers = peers.iter().map(prepare_broker).collect();
        Self {
            links,
            brokers,
            nodes,
            discovery,
            filler,
            known_debt_bytes: None,
            peer_addresses: peers.iter().map(|peer| peer.address).collect(),
            record_reader: Mutex::new(RecordReader::new(&folder, options.brokers)),
            folder,
            maps: BTreeMap::new(),
            requested: Arc::default(),
            options,
        }
    }
}

/// Writes a broker's files; its process is not started yet.
fn prepare_broker(file: &OperatorFile, mut config: Value) -> BrokerProcess {
    let name = &file.broker.name;
    let own_path = |extension: &str| file.folder.join(format!("{name}.{extension}"));
    let text = |path: &Path| path.display().to_string();
    let (operator_file, config_file) = (own_path("kdl"), own_path("json"));
    fs::write(&operator_file, file.render()).unwrap();
    let address = unique_loopback_address();
    config["name"] = json!(name);
    config["listen"] = json!(address.to_string());
    config["log"] = json!("info");
    fs::write(&config_file, config.to_string()).unwrap();
    let (operator_file, disk) = (text(&operator_file), text(&file.folder.join("disk")));
    let mut arguments = vec!["broker", "--operator", &operator_file, "--disk", &disk];
    let faults = text(&own_path("disk"));
    if file.options.faulty_disks {
        arguments.extend(["--fleet-disk", &faults]);
    }
    BrokerProcess::new(&file.options.program, name, address, &own_path("state"))
        .arguments(&arguments)
        .environment("GW_CONFIG", &text(&config_file))
}

/// The list of discovery, in which these nodes drain.
pub(super) fn endpoints(nodes: &[Node], draining: &[&str]) -> Vec<Value> {
    let endpoint = |(i, node): (usize, &Node)| {
        let drains = draining.contains(&node.name.as_str());
        let mut endpoint = node.endpoint(if drains { "draining" } else { "ready" });
        endpoint["site"] = json!(ZONES[i % 2]);
        endpoint
    };
    nodes.iter().enumerate().map(endpoint).collect()
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
