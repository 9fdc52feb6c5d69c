//! Prepares a fleet: the files and the folder of each broker, the relays between brokers, the nodes, the discovery server and the
//! fill service.

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
    /// Starts everything but the brokers' processes.
    pub fn prepare(options: FleetOptions) -> Self {
        let folder = stand_ins::scratch_path("fleet");
        fs::create_dir(&folder).unwrap();
        fs::write(folder.join("key"), SHARED_KEY).unwrap();
        let nodes: Vec<_> = (0..options.node_count).map(|i| Node::start(&format!("s-{i}"))).collect();
        let endpoints = endpoints(&nodes, &[]);
        let discovery = DiscoveryServer::start(endpoints.clone());
        let peers: Vec<_> = (0..options.broker_count)
            .map(|i| Peer { name: broker_name(i), address: unique_loopback_address() })
            .collect();
        let addresses: Vec<_> = peers.iter().map(|peer| (peer.name.clone(), peer.address)).collect();
        let links = Links::between(&addresses, options.seed).unwrap();
        let fill_service = FillService::start();
        let mut config = stand_ins::config(discovery.address, endpoints);
        config["settings"] = settings(&options);
        let prepare_broker = |broker: &Peer| {
            let peers = &peers;
            let file = OperatorFile {
                options: &options,
                broker,
                peers,
                links: &links,
                fill_service: fill_service.address,
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
            fill_service,
            max_debt_bytes: None,
            peer_addresses: peers.iter().map(|peer| peer.address).collect(),
            record_reader: Mutex::new(RecordReader::new(&folder, options.broker_count)),
            folder,
            maps: BTreeMap::new(),
            requested_segments: Arc::default(),
            options,
        }
    }
}

/// Writes a broker's files and returns its process, which is not started yet.
fn prepare_broker(file: &OperatorFile, mut config: Value) -> BrokerProcess {
    let name = &file.broker.name;
    let own_path = |extension: &str| file.folder.join(format!("{name}.{extension}"));
    let to_text = |path: &Path| path.display().to_string();
    let (operator_file, config_file) = (own_path("kdl"), own_path("json"));
    fs::write(&operator_file, file.render()).unwrap();
    let address = unique_loopback_address();
    config["name"] = json!(name);
    config["listen"] = json!(address.to_string());
    config["log"] = json!("info");
    fs::write(&config_file, config.to_string()).unwrap();
    let (operator_file, disk) = (to_text(&operator_file), to_text(&file.folder.join("disk")));
    let mut arguments = vec!["broker", "--operator", &operator_file, "--disk", &disk];
    let disk_faults_file = to_text(&own_path("disk"));
    if file.options.disk_faults_enabled {
        arguments.extend(["--fleet-disk", &disk_faults_file]);
    }
    BrokerProcess::new(&file.options.program, name, address, &own_path("state"))
        .arguments(&arguments)
        .environment("GW_CONFIG", &to_text(&config_file))
}

/// Returns the list of nodes that discovery publishes. The nodes named in `draining` are listed as draining, the others as ready.
pub(super) fn endpoints(nodes: &[Node], draining: &[&str]) -> Vec<Value> {
    let endpoint = |(i, node): (usize, &Node)| {
        let is_draining = draining.contains(&node.name.as_str());
        let mut endpoint = node.endpoint(if is_draining { "draining" } else { "ready" });
        endpoint["site"] = json!(ZONES[i % 2]);
        endpoint
    };
    nodes.iter().enumerate().map(endpoint).collect()
}

/// Returns the settings of the stand-ins, with the fleet's query classes, tenants, segments and slow start.
fn settings(options: &FleetOptions) -> Value {
    let mut settings = stand_ins::settings();
    let mut query_class = settings["services"][0].clone();
    let query_classes = QUERY_CLASSES.map(|name| {
        (query_class["name"], query_class["aimMs"]) =
            (json!(name), json!(1000.0 * options.query_timeout_seconds / 2.0));
        query_class["deadlineMs"] = json!(1000.0 * options.query_timeout_seconds);
        query_class["semantics"] = json!(if name == NON_IDEMPOTENT_CLASS { "side_effect" } else { "pure" });
        query_class.clone()
    });
    settings["services"] = json!(query_classes);
    settings["projects"] =
        json!(TENANTS.map(|name| json!({"name": name, "quotaPerS": options.tenant_quota_per_second})));
    settings["balancers"] = json!(options.configured_broker_count);
    let replica_group = &mut settings["familyInfo"];
    (replica_group["slabs"], replica_group["secondStep"]) = (json!(options.segment_count), json!([0, 0, 0]));
    (replica_group["leastShare"], replica_group["wholeAt"]) =
        (json!([0.5, 1.0, 1.0]), json!([1.0, 1.0, 1.0]));
    if let Some(slow_start_seconds) = options.slow_start_seconds {
        settings["rules"]["coldMs"] = json!(1000.0 * slow_start_seconds);
    }
    settings
}
