//! Hostile clients at a broker with the least memory and with little processor time: memory, descriptors and late answers.

use std::time::Duration;

use super::RunOptions;
use crate::hostile_clients::{DESCRIPTORS, LEAST_MEMORY_MIB, play, scenarios};
use crate::report::ExperimentReport;

/// Time for which the hostile clients of each scenario run, in a full and in a quick run.
const DURATION: Duration = Duration::from_secs(8);
const QUICK_DURATION: Duration = Duration::from_secs(3);
/// Maximum number of warnings of a broker that are printed.
const MAX_PRINTED_WARNINGS: usize = 12;
/// Bytes in a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let duration = if options.quick { QUICK_DURATION } else { DURATION };
    let mut report = ExperimentReport::default();
    for scenario in scenarios().into_iter().filter(|scenario| options.includes(scenario.name)) {
        let mut outcome = play(&scenario, duration)?;
        outcome.warnings.truncate(MAX_PRINTED_WARNINGS);
        println!("({}) {}: {outcome:?}", scenario.picture, scenario.name);
        let name = |value: &str| format!("({}) {}: {value}", scenario.picture, scenario.name);
        let memory = outcome.peak.memory_bytes as f64 / MIB;
        report.add_bounded_value(name("peak memory"), memory, LEAST_MEMORY_MIB as f64, "MiB");
        let charged = outcome.peak.charged_bytes as f64 / MIB;
        report.add_bounded_value(
            name("peak memory with the system's"),
            charged,
            LEAST_MEMORY_MIB as f64,
            "MiB",
        );
        let descriptors = outcome.peak.descriptors as f64;
        report.add_bounded_value(name("peak descriptors"), descriptors, DESCRIPTORS as f64, "");
        let unanswered = outcome.sound.unanswered_in_time() as f64;
        report.add_bounded_value(name("sound requests late or lost"), unanswered, 0.0, "");
        report.add_bounded_value(name("ended by itself"), f64::from(!outcome.is_running), 0.0, "");
        report.add_value(name("sound requests served"), outcome.sound.served as f64, "");
        report.add_value(name("longest wait"), outcome.sound.longest_wait.as_secs_f64(), "s");
    }
    Ok(report)
}
