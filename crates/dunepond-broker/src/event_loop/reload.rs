//! Applies a reloaded configuration and operator's file. The settings that can change in a running process take effect;
//! the log names the changed settings of the operator's file that need a restart.

use dunepond_config::ConfigError;
use dunepond_config::operator::OperatorConfig;
use tracing::{error, info, warn};

use super::EventLoop;
use crate::clock::TimerEvent;
use crate::config_reload::LoadedConfig;
use crate::logger;

impl EventLoop {
    /// Starts to read the configuration and the operator's file again, on another thread.
    pub(super) fn start_reload(&mut self) {
        match self.config_reloader.start_reload() {
            Ok(true) => {}
            Ok(false) => warn!("configuration reload still running; another one follows it"),
            Err(e) => error!(
                "configuration reload failed, keeping the active one: cannot start a thread to read it: {e}"
            ),
        }
    }

    /// Applies a reloaded configuration. Discovery's address and the log level take effect at once; the other settings are
    /// only checked, and take effect after a restart. An invalid configuration changes nothing.
    pub(super) fn apply_reloaded_config(&mut self, configuration: LoadedConfig) {
        let now = self.refresh_clock_and_config();
        match configuration.startup {
            Ok(startup) => {
                info!("configuration reloaded");
                logger::set_level(startup.log_level);
                // Timeouts take effect after a restart, but the process's supervisor may already use the new ones to
                // decide when it sends SIGKILL.
                let timeouts = startup.deployment.query_classes.iter().map(|class| class.timeout);
                self.longest_timeout = self.longest_timeout.min(timeouts.fold(0.0, f64::max));
                self.discovery.change_agent(now, startup.discovery_address, &mut self.router_host.timers);
                self.retry_discovery();
            }
            Err(ConfigError(line)) => error!("configuration reload failed, keeping the active one: {line}"),
        }
        match configuration.operator {
            Some(Ok(operator)) => self.apply_operator_file(operator),
            Some(Err(ConfigError(lines))) => {
                for line in lines.lines() {
                    error!("operator's file reload failed, keeping the active one: {line}");
                }
            }
            None => {}
        }
        if self.config_reloader.on_reload_ended() {
            self.start_reload();
        }
        self.process_pending();
    }

    /// Applies the settings of a reloaded operator's file that can change in a running process. For each other changed
    /// setting, logs that it takes effect after a restart.
    fn apply_operator_file(&mut self, operator: OperatorConfig) {
        let warn_of_restart = |what: &str| warn!("operator's file: {what} takes effect after a restart");
        if operator.log_format != self.operator.log_format {
            warn_of_restart("log form=");
        }
        match (&operator.body_buffer, &mut self.router_host.body_store) {
            (Some(config), Some(bodies)) => {
                if self.operator.body_buffer.as_ref().map(|active| &active.spill) != Some(&config.spill) {
                    warn_of_restart("bodies: files: folder=, threads= and waiting=");
                }
                bodies.reconfigure(config.limits.clone());
            }
            (None, None) => {}
            _ => warn_of_restart("bodies, turned on or off,"),
        }
        match (&operator.prefilter, &mut self.prefilter) {
            (Some(config), Some(prefilter)) => prefilter.reconfigure(config.clone()),
            (None, None) => {}
            _ => warn_of_restart("phases, turned on or off,"),
        }
        let needs_restart = match &mut self.router_host.control_plane {
            Some(control_plane) => control_plane.reload(operator.fleet.as_ref()),
            None => operator.fleet.is_some(),
        };
        if needs_restart {
            warn_of_restart("fleet, except its version,");
        }
        if operator.recovery != self.operator.recovery {
            warn_of_restart("state");
        }
        if operator.search_api != self.operator.search_api {
            warn_of_restart("search");
        }
        if operator.search_api_nodes != self.operator.search_api_nodes {
            warn_of_restart("search-nodes");
        }
        if operator.background != self.operator.background {
            warn_of_restart("background");
        }
        if operator.counters_interval_seconds.is_some() && self.operator.counters_interval_seconds.is_none() {
            self.router_host.timers.schedule(self.router_host.now, TimerEvent::Counters);
        }
        info!("operator's file reloaded");
        self.operator = operator;
    }
}
