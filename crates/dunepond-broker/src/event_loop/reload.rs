//! What is told to change under way: the configuration and the operator's file, read again.

use dunepond_config::Bad;
use dunepond_config::operator::Operator;
use tracing::{error, info, warn};

use super::World;
use crate::clock::Due;
use crate::config_reload::Configuration;
use crate::logger;

impl World {
    /// The configuration is to be read again. What it says of discovery and of the log is in force at once; the
    /// rest is checked as at the start and waits for one, as scans in hand go by it. One that will not do
    /// changes nothing.
    pub(super) fn told_to_reread(&mut self) {
        match self.rereader.read() {
            Ok(true) => {}
            Ok(false) => warn!("the configuration is still being read; it will be read once more after that"),
            Err(e) => error!("the configuration in force stays: no thread to read it: {e}"),
        }
    }

    /// The configuration has been read.
    pub(super) fn reread(&mut self, configuration: Configuration) {
        let now = self.tick();
        match configuration.start {
            Ok(start) => {
                info!("configuration read again");
                logger::set_level(start.level);
                // Settings wait for a start; but whoever starts and kills the process may go by these already.
                let timeouts = start.deployment.query_classes.iter().map(|t| t.timeout);
                self.longest_timeout = self.longest_timeout.min(timeouts.fold(0.0, f64::max));
                self.discovery.move_to(now, start.discovery, &mut self.desk.alarms);
                self.call_discovery();
            }
            Err(Bad(line)) => error!("the configuration in force stays: {line}"),
        }
        match configuration.operator {
            Some(Ok(operator)) => self.told_to_change(operator),
            Some(Err(Bad(lines))) => {
                lines.lines().for_each(|line| error!("the operator's file in force stays: {line}"));
            }
            None => {}
        }
        if self.rereader.has_come() {
            self.told_to_reread();
        }
        self.settle();
    }

    /// What may change under way does; the rest is named and waits for a start.
    fn told_to_change(&mut self, operator: Operator) {
        let waits = |what: &str| warn!("the operator's file: {what} waits for a start");
        if operator.log_form != self.operator.log_form {
            waits("log form=");
        }
        match (&operator.bodies, &mut self.desk.bodies) {
            (Some(told), Some(bodies)) => {
                if self.operator.bodies.as_ref().map(|b| &b.folder) != Some(&told.folder) {
                    waits("bodies: files: folder=, threads= and waiting=");
                }
                bodies.change(told.terms.clone());
            }
            (None, None) => {}
            _ => waits("bodies, turned on or off,"),
        }
        match (&operator.phases, &mut self.asking) {
            (Some(terms), Some(asking)) => asking.change(terms.clone()),
            (None, None) => {}
            _ => waits("phases, turned on or off,"),
        }
        let fleet = self.desk.fleet.as_mut().map(|fleet| fleet.reread(operator.fleet.as_ref()));
        if fleet.unwrap_or(operator.fleet.is_some()) {
            waits("fleet, but for its version,");
        }
        if operator.state != self.operator.state {
            waits("state");
        }
        if operator.search != self.operator.search {
            waits("search");
        }
        if operator.search_nodes != self.operator.search_nodes {
            waits("search-nodes");
        }
        if operator.background != self.operator.background {
            waits("background");
        }
        if operator.counters_every.is_some() && self.operator.counters_every.is_none() {
            self.desk.alarms.set(self.desk.now, Due::Counters);
        }
        info!("the operator's file read again");
        self.operator = operator;
    }
}
