//! Partners that carry for each other, and holders that have to be filled: what is left open by the rule that picks
//! sources, in simulated time. Counts come late and doubled, brokers restart, fills fail, one partner claims ten times.

mod simulation;

use dunepond_settlement::PlanningRule;

use super::RunOptions;
use crate::report::{Curve, Figures};
use simulation::{FLOOD, PARTNERS, SimulationResult, play, terms};

const MIXES: [&str; 3] = ["even", "lopsided", "ring with bursts"];
/// Nobody looks at debts: each need has one source, by chance.
const RULES: [(&str, Option<PlanningRule>); 4] = [
    ("none", None),
    ("cheapest", Some(PlanningRule::Cheapest)),
    ("round robin", Some(PlanningRule::DeficitRoundRobin)),
    ("max-min", Some(PlanningRule::MaxMin)),
];
/// Plays of each rule in each mix, and what the open debts of the rules that look at them may be of those of the others.
const GAMES: u64 = 3;
const AGAINST: f64 = 0.5;

/// One rule's plays, each from a seed of its own: one draw says little about what chance leaves open.
struct Plays {
    rule: &'static str,
    plays: Vec<SimulationResult>,
}

impl Plays {
    fn of(mix: &str, options: &RunOptions, seconds: f64) -> Vec<Plays> {
        let one = |(rule, kind): &(&'static str, Option<PlanningRule>)| {
            let seeds = (0..GAMES).map(|game| options.seed * GAMES + game);
            Plays { rule, plays: seeds.map(|seed| play(mix, *kind, seed, seconds)).collect() }
        };
        RULES.iter().map(one).collect()
    }

    fn mean(&self, of: impl Fn(&SimulationResult) -> f64) -> f64 {
        self.plays.iter().map(of).sum::<f64>() / self.plays.len() as f64
    }
}

/// What holds under every rule, and what only under those that look at debts.
fn bounds(figures: &mut Figures, mix: &str, all: &[Plays]) {
    let greatest = |some: &[Plays], of: fn(&SimulationResult) -> f64| {
        some.iter().flat_map(|plays| &plays.plays).map(of).fold(0.0, f64::max)
    };
    let most = |of| greatest(all, of);
    let mut hold =
        |what: &str, value, most, unit| figures.report_bounded(format!("{mix}: {what}"), value, most, unit);
    hold("load of a link, of its cap", most(|it| it.link), 1.0 + 1e-9, "");
    hold("load of a cold node, of its bound", most(|it| it.cold), 1.0, "");
    hold("carried in a window, of the most", most(|it| it.carried), 1.0, "");
    let waited = greatest(&all[2..], |it| it.waited);
    hold("longest that a partner went without a fill", waited, 1.5 * terms().window_seconds, "s, simulated");
    hold("book off the truth", most(|it| it.off), 0.0, "bytes");
    hold("the liar's counted, of what it carried", most(|it| it.counted), 1.0, "times");
    hold("cells of counts", most(|it| it.cells), 400.0, "");
    figures.report(
        format!("{mix}: the liar's disputed, of what it carried"),
        most(|it| it.disputed),
        "times",
    );
    figures.report(format!("{mix}: fills of a play"), most(|it| it.fills), "");
}

pub fn run(options: &RunOptions) -> anyhow::Result<Figures> {
    let mut figures = Figures::default();
    let seconds = if options.quick { 3600.0 } else { 14_400.0 };
    let mut curves = Vec::new();
    for mix in MIXES.into_iter().filter(|mix| options.includes(mix)) {
        let all = Plays::of(mix, options, seconds);
        for plays in &all {
            let mut report = |what: &str, of: fn(&SimulationResult) -> f64, unit| {
                figures.report(format!("{mix}, {}: {what}", plays.rule), plays.mean(of), unit);
            };
            report("open debts, mean", |it| it.spread / 1e6, "MB");
            report("owed to one partner, mean", |it| it.worst / 1e6, "MB");
            report("little is left open after", |it| it.settles_in, "s, simulated");
            report("Jain's index of carried to taken", |it| it.jain, "");
        }
        for plays in &all[2..] {
            for other in &all[..2] {
                let ratio = plays.mean(|it| it.spread) / other.mean(|it| it.spread);
                let what = format!("{mix}, {}: open debts, against {}", plays.rule, other.rule);
                figures.report_bounded(what, ratio, AGAINST, "times");
            }
            let short = |plays: &Plays| 1.0 - plays.mean(|it| it.jain);
            let ratio = short(plays) / short(&all[0]);
            let what = format!("{mix}, {}: Jain's index, short of 1, against none", plays.rule);
            figures.report_bounded(what, ratio, AGAINST, "times");
        }
        bounds(&mut figures, mix, &all);
        if mix == "lopsided" {
            let curve = |it: &Plays| Curve { name: it.rule.to_string(), points: it.plays[0].open.clone() };
            curves = all.iter().map(curve).collect();
        }
    }
    if options.includes(FLOOD) {
        let all = Plays::of(FLOOD, options, seconds);
        for plays in &all {
            let mut report = |what: &str, of: fn(&SimulationResult) -> f64, unit| {
                figures.report(format!("{FLOOD}, {}: {what}", plays.rule), plays.mean(of), unit);
            };
            let least = |it: &SimulationResult| {
                let others = (1..PARTNERS.len()).map(|at| it.served[at] / it.demanded[at].max(1.0));
                others.fold(1.0, f64::min)
            };
            report("least served of one that does not flood", least, "of asked");
            report("served of all", |it| it.served.iter().sum::<f64>() / 1e6, "MB");
            report("longest without a fill", |it| it.waited, "s, simulated");
        }
        bounds(&mut figures, FLOOD, &all);
    }
    if !curves.is_empty() {
        figures.plot("open-debts", "simulated seconds", "MB", curves);
    }
    Ok(figures)
}
