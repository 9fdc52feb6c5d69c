//! Simulates partners that carry queries for each other while replicas are filled, and measures the debts that stay open under
//! each rule that selects the sources of fills. Counts arrive late and twice, brokers restart, fills fail, and one partner
//! claims ten times the bytes that it carried.

mod simulation;

use dunepond_settlement::PlanningRule;

use super::RunOptions;
use crate::report::{Curve, ExperimentReport};
use simulation::{FLOOD_MIX, PARTNERS, SimulationResult, settlement_terms, simulate};

/// Traffic mixes that are simulated, besides the flood of demands.
const MIXES: [&str; 3] = ["even", "lopsided", "ring with bursts"];
/// Rules by name. Under "none" debts are ignored: each demand has one source, drawn at random. Rules from the third on take
/// debts into account.
const RULES: [(&str, Option<PlanningRule>); 4] = [
    ("none", None),
    ("cheapest", Some(PlanningRule::Cheapest)),
    ("round robin", Some(PlanningRule::DeficitRoundRobin)),
    ("max-min", Some(PlanningRule::MaxMin)),
];
/// Simulations of each rule in each mix.
const SIMULATIONS_PER_RULE: u64 = 3;
/// Upper bound on the open debts of a rule that takes debts into account divided by those of a rule that does not. Also
/// bounds the distance of Jain's index from 1, relative to that without a rule.
const MAX_RATIO: f64 = 0.5;

/// Results of one rule. Each simulation has a seed of its own, since a single seed says little about the random debts.
struct RuleResults {
    /// Name of the rule.
    rule: &'static str,
    /// Result of each simulation.
    results: Vec<SimulationResult>,
}

impl RuleResults {
    /// Simulates a mix under every rule, in the order of [`RULES`].
    fn simulate_all(mix: &str, options: &RunOptions, seconds: f64) -> Vec<RuleResults> {
        let simulate_rule = |(rule, kind): &(&'static str, Option<PlanningRule>)| {
            let seeds = (0..SIMULATIONS_PER_RULE).map(|number| options.seed * SIMULATIONS_PER_RULE + number);
            RuleResults { rule, results: seeds.map(|seed| simulate(mix, *kind, seed, seconds)).collect() }
        };
        RULES.iter().map(simulate_rule).collect()
    }

    /// Returns the mean of a value over all simulations.
    fn mean(&self, value: impl Fn(&SimulationResult) -> f64) -> f64 {
        self.results.iter().map(value).sum::<f64>() / self.results.len() as f64
    }
}

/// Reports the limits that hold under every rule, and the longest wait, which is bounded only under the rules that take debts
/// into account.
fn report_limits(experiment_report: &mut ExperimentReport, mix: &str, all_rules: &[RuleResults]) {
    let max_of = |results: &[RuleResults], value: fn(&SimulationResult) -> f64| {
        results.iter().flat_map(|rule| &rule.results).map(value).fold(0.0, f64::max)
    };
    let max = |value| max_of(all_rules, value);
    let mut add_bounded_value = |what: &str, value, bound, unit| {
        experiment_report.add_bounded_value(format!("{mix}: {what}"), value, bound, unit)
    };
    add_bounded_value("load of a link, of its cap", max(|result| result.max_link_ratio), 1.0 + 1e-9, "");
    add_bounded_value("load of a cold node, of its bound", max(|result| result.max_cold_node_ratio), 1.0, "");
    add_bounded_value("carried in a window, of the most", max(|result| result.max_carried_ratio), 1.0, "");
    let longest_wait = max_of(&all_rules[2..], |result| result.longest_wait_seconds);
    add_bounded_value(
        "longest that a partner went without a fill",
        longest_wait,
        1.5 * settlement_terms().window_seconds,
        "s, simulated",
    );
    add_bounded_value("book off the truth", max(|result| result.balance_error_bytes), 0.0, "bytes");
    add_bounded_value(
        "the liar's counted, of what it carried",
        max(|result| result.counted_ratio),
        1.0,
        "times",
    );
    add_bounded_value("cells of counts", max(|result| result.cell_count), 400.0, "");
    experiment_report.add_value(
        format!("{mix}: the liar's disputed, of what it carried"),
        max(|result| result.disputed_ratio),
        "times",
    );
    experiment_report.add_value(format!("{mix}: fills of a play"), max(|result| result.fill_count), "");
}

/// Runs the experiment.
pub fn run(options: &RunOptions) -> anyhow::Result<ExperimentReport> {
    let mut experiment_report = ExperimentReport::default();
    let seconds = if options.quick { 3600.0 } else { 14_400.0 };
    let mut curves = Vec::new();
    for mix in MIXES.into_iter().filter(|mix| options.includes(mix)) {
        let all_rules = RuleResults::simulate_all(mix, options, seconds);
        for rule_results in &all_rules {
            let mut report = |what: &str, value: fn(&SimulationResult) -> f64, unit| {
                experiment_report.add_value(
                    format!("{mix}, {}: {what}", rule_results.rule),
                    rule_results.mean(value),
                    unit,
                );
            };
            report("open debts, mean", |result| result.mean_open_bytes / 1e6, "MB");
            report("owed to one partner, mean", |result| result.mean_worst_creditor_bytes / 1e6, "MB");
            report("little is left open after", |result| result.settle_seconds, "s, simulated");
            report("Jain's index of carried to taken", |result| result.jain_index, "");
        }
        for rule_results in &all_rules[2..] {
            for other in &all_rules[..2] {
                let ratio = rule_results.mean(|result| result.mean_open_bytes)
                    / other.mean(|result| result.mean_open_bytes);
                let what = format!("{mix}, {}: open debts, against {}", rule_results.rule, other.rule);
                experiment_report.add_bounded_value(what, ratio, MAX_RATIO, "times");
            }
            let shortfall = |rule_results: &RuleResults| 1.0 - rule_results.mean(|result| result.jain_index);
            let ratio = shortfall(rule_results) / shortfall(&all_rules[0]);
            let what = format!("{mix}, {}: Jain's index, short of 1, against none", rule_results.rule);
            experiment_report.add_bounded_value(what, ratio, MAX_RATIO, "times");
        }
        report_limits(&mut experiment_report, mix, &all_rules);
        if mix == "lopsided" {
            let curve = |result: &RuleResults| Curve {
                name: result.rule.to_string(),
                points: result.results[0].open_megabytes.clone(),
            };
            curves = all_rules.iter().map(curve).collect();
        }
    }
    if options.includes(FLOOD_MIX) {
        let all_rules = RuleResults::simulate_all(FLOOD_MIX, options, seconds);
        for rule_results in &all_rules {
            let mut report = |what: &str, value: fn(&SimulationResult) -> f64, unit| {
                experiment_report.add_value(
                    format!("{FLOOD_MIX}, {}: {what}", rule_results.rule),
                    rule_results.mean(value),
                    unit,
                );
            };
            let min_served_ratio = |result: &SimulationResult| {
                let others =
                    (1..PARTNERS.len()).map(|i| result.served_bytes[i] / result.demanded_bytes[i].max(1.0));
                others.fold(1.0, f64::min)
            };
            report("least served of one that does not flood", min_served_ratio, "of asked");
            report("served of all", |result| result.served_bytes.iter().sum::<f64>() / 1e6, "MB");
            report("longest without a fill", |result| result.longest_wait_seconds, "s, simulated");
        }
        report_limits(&mut experiment_report, FLOOD_MIX, &all_rules);
    }
    if !curves.is_empty() {
        experiment_report.add_plot("open-debts", "simulated seconds", "MB", curves);
    }
    Ok(experiment_report)
}
