//! Figures with the bound beside each, as a table, as JSON and as plots.

use std::path::Path;

use anyhow::Context;
use comfy_table::Table;
use plotters::prelude::*;
use serde_json::json;

pub struct Figure {
    pub name: String,
    pub value: f64,
    /// At most so much, where there is a bound.
    pub upper_bound: Option<f64>,
    pub unit: &'static str,
}

/// A curve: its name, and places along it.
pub struct Curve {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

#[derive(Default)]
pub struct Figures {
    pub figures: Vec<Figure>,
    pub plots: Vec<(String, [&'static str; 2], Vec<Curve>)>,
}

impl Figures {
    pub fn report(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(Figure { name: name.into(), value, upper_bound: None, unit });
    }

    pub fn report_bounded(&mut self, name: impl Into<String>, value: f64, most: f64, unit: &'static str) {
        self.figures.push(Figure { name: name.into(), value, upper_bound: Some(most), unit });
    }

    /// Prints all, and the verdict last; true if every bound held.
    pub fn finish(&self, experiment: &str, out: Option<&Path>) -> anyhow::Result<bool> {
        let mut table = Table::new();
        table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
        table.set_header(["figure", "value", "at most", "", ""]);
        for figure in &self.figures {
            let most = figure.upper_bound.map_or(String::new(), |most| format!("{most:.3}"));
            let kept = if figure.upper_bound.is_none() {
                ""
            } else if figure.within_bound() {
                "held"
            } else {
                "FELL SHORT"
            };
            table.add_row([&figure.name, &format!("{:.3}", figure.value), &most, figure.unit, kept]);
        }
        println!("{table}");
        if let Some(out) = out {
            std::fs::create_dir_all(out).with_context(|| format!("{}", out.display()))?;
            let figures = self.figures.iter().map(|f| {
                json!({"name": f.name, "value": f.value, "most": f.upper_bound, "unit": f.unit, "held": f.within_bound()})
            });
            let figures: Vec<_> = figures.collect();
            let text = serde_json::to_string_pretty(&json!({"experiment": experiment, "figures": figures}))?;
            std::fs::write(out.join(format!("{experiment}.json")), text)?;
            for (name, axes, curves) in &self.plots {
                plot(&out.join(format!("{experiment}-{name}.svg")), name, *axes, curves)?;
            }
        }
        let short: Vec<_> =
            self.figures.iter().filter(|f| !f.within_bound()).map(|f| f.name.as_str()).collect();
        match short.is_empty() {
            true => println!("{experiment}: held"),
            false => println!("{experiment}: fell short: {}", short.join("; ")),
        }
        Ok(short.is_empty())
    }
}

impl Figure {
    fn within_bound(&self) -> bool {
        self.upper_bound.is_none_or(|most| self.value <= most)
    }
}

fn plot(path: &Path, name: &str, [x, y]: [&str; 2], curves: &[Curve]) -> anyhow::Result<()> {
    let all = || curves.iter().flat_map(|curve| &curve.points);
    let right = all().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let top = all().map(|p| p.1).fold(0.0, f64::max).max(1e-9);
    let area = SVGBackend::new(path, (800, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut builder = ChartBuilder::on(&area);
    builder.caption(name, ("sans-serif", 20)).margin(10).x_label_area_size(40).y_label_area_size(60);
    let mut chart = builder.build_cartesian_2d(0.0..right * 1.02, 0.0..top * 1.05)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (i, curve) in curves.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        let line =
            chart.draw_series(LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2)))?;
        line.label(&curve.name).legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
