//! Starts the control plane's thread from the operator's file and the deployment.

use std::collections::HashMap;
use std::rc::Rc;

use calloop::channel::{self, channel};
use dunepond_config::ConfigError;
use dunepond_config::operator::{self, BrokerAddress};
use dunepond_control_plane::{
    ControlPlaneConfig, ControlPlaneError, FillConfig, LinkRate, Partner, QuotaConfig, RebalanceConfig,
    SlowStartPolicy, TestDoubles,
};
use dunepond_routing::{Deployment, Rules, SlowStart};

use super::quotas::Quotas;
use super::{ControlPlaneClient, Gate};
use crate::iteration::{EventLoopHandle, Iteration, LoopEvent};

impl ControlPlaneClient {
    /// Starts the control plane's thread for the broker named `name`.
    pub fn start(
        config: &operator::FleetConfig,
        name: &str,
        deployment: &Deployment,
        tenants: &[String],
        max_message_memory_bytes: usize,
        test_doubles: TestDoubles,
        handle: &EventLoopHandle,
    ) -> Result<Self, ConfigError> {
        let quotas = config.quotas.as_ref().map(|limits| Quotas::new(limits, deployment, tenants));
        let quotas = quotas.transpose()?;
        let thread_config =
            control_plane_config(config, name, deployment, quotas.as_ref(), max_message_memory_bytes);
        let on_change = register_change_events(handle)?;
        let thread = dunepond_control_plane::start(thread_config, test_doubles, on_change)
            .map_err(|e| to_config_error(&e))?;
        let idempotency = deployment.query_classes.iter().map(|class| class.idempotency).collect();
        let partner_of =
            |tenant: &String| config.partners.iter().position(|partner| partner.tenants.contains(tenant));
        Ok(Self {
            gate: Rc::new(Gate::new(thread.handle(), idempotency)),
            thread: Some(thread),
            config: config.clone(),
            endpoints: HashMap::new(),
            node_by_name: HashMap::new(),
            zone_by_node: HashMap::new(),
            partner_by_zone: partner_by_zone(&config.partners),
            partner_by_tenant: tenants.iter().map(partner_of).collect(),
            partner_by_node: Vec::new(),
            slow_start_seconds: deployment.slow_start.duration,
            deployment_rules: Rules::of(deployment),
            last_applied: None,
            applied_rules: Rules::of(deployment),
            quotas,
        })
    }
}

/// Checks that the fleet section of an operator's file is valid for the broker's name and the deployment's query
/// timeouts.
pub fn check(config: &operator::FleetConfig, name: &str, deployment: &Deployment) -> Result<(), ConfigError> {
    config
        .consensus_config(name, longest_timeout(deployment))
        .check()
        .map_err(|e| ConfigError(format!("fleet: {e} ({})", e.help())))
}

/// Converts an error of the control plane into a configuration error, with its help text.
fn to_config_error(e: &ControlPlaneError) -> ConfigError {
    ConfigError(format!("fleet: {e} ({})", e.help()))
}

/// Returns the longest query timeout of the deployment, in seconds.
fn longest_timeout(deployment: &Deployment) -> f64 {
    deployment.query_classes.iter().map(|class| class.timeout).fold(0.0, f64::max)
}

/// Returns the configuration of the control plane's thread.
fn control_plane_config(
    config: &operator::FleetConfig,
    name: &str,
    deployment: &Deployment,
    quotas: Option<&Quotas>,
    max_message_memory_bytes: usize,
) -> ControlPlaneConfig {
    let known = config
        .voters
        .iter()
        .chain(&config.peers)
        .map(|BrokerAddress { name, address }| (name.clone(), *address));
    ControlPlaneConfig {
        consensus: config.consensus_config(name, longest_timeout(deployment)),
        listen_address: config.listen_address,
        data_directory: config.folder.clone(),
        known_brokers: known.collect(),
        key_file: config.key_file.clone(),
        version_file: config.version_file.clone(),
        audit_log_file: config.audit_log_file.clone(),
        partners: config.partners.iter().map(to_partner).collect(),
        link_rates: config.links.iter().map(to_link_rate).collect(),
        fills: config.fills.as_ref().map(|fills| FillConfig {
            fill_service: fills.address,
            segment_bytes: fills.segment_bytes,
            bytes_per_second: fills.bytes_per_second,
            max_concurrent_fills: fills.max_concurrent_fills,
            fill_started_nodes: fills.fill_started_nodes,
        }),
        slow_start: Some(slow_start_policy(&deployment.slow_start)),
        quotas: quotas.map(|quotas| QuotaConfig {
            shared: quotas.shared_quotas().clone(),
            plan_interval_seconds: quotas.report_interval(),
        }),
        rebalancing: config.rebalancing.as_ref().map(|moves| RebalanceConfig {
            plan_file: moves.plan_file.clone(),
            max_concurrent_actions: moves.max_concurrent_actions,
            settle_seconds: moves.settle_seconds,
            default_link_rate: moves.default_link_bytes_per_second,
        }),
        query_class_count: deployment.query_classes.len(),
        max_message_memory_bytes,
        seed: deployment.seed,
    }
}

fn to_partner(partner: &operator::PartnerConfig) -> Partner {
    Partner { name: partner.name.clone(), brokers: partner.brokers.clone(), metered: partner.metered }
}

fn to_link_rate(link: &operator::LinkConfig) -> LinkRate {
    LinkRate { from: link.from.clone(), to: link.to.clone(), bytes_per_second: link.bytes_per_second }
}

fn slow_start_policy(slow_start: &SlowStart) -> SlowStartPolicy {
    SlowStartPolicy {
        initial_share: slow_start.initial_capacity_ratio,
        warm_up_seconds: slow_start.duration,
        capacity_multiple: slow_start.rate_multiple,
        window_seconds: slow_start.window,
    }
}

/// Returns the index of the partner that each zone belongs to.
fn partner_by_zone(partners: &[operator::PartnerConfig]) -> HashMap<String, usize> {
    let mut by_zone = HashMap::new();
    for (index, partner) in partners.iter().enumerate() {
        for zone in &partner.zones {
            by_zone.insert(zone.clone(), index);
        }
    }
    by_zone
}

/// Returns a callback that adds `LoopEvent::ControlPlaneChanged` to the event loop. The control plane's thread calls
/// it whenever the active configuration or a quota has changed.
fn register_change_events(handle: &EventLoopHandle) -> Result<impl Fn() + Send + 'static, ConfigError> {
    let (sender, changes) = channel();
    let inserted = handle.insert_source(changes, |event, _, iteration: &mut Iteration| {
        if let channel::Event::Msg(()) = event {
            iteration.events.push_back(LoopEvent::ControlPlaneChanged);
        }
    });
    inserted.map_err(|e| ConfigError(format!("fleet: {}", e.error)))?;
    // Sending fails only after the event loop has ended.
    Ok(move || {
        let _ = sender.send(());
    })
}
