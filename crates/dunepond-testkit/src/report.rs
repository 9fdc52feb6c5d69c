//! Figures with the bound beside each, as a table, as JSON and as plots.

use std::path::Path;

use anyhow::Context;
use comfy_table::Table;
use plotters::prelude::*;
use serde_json::json;

/// The size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 480);

/// One measured value.
pub struct Figure {
    /// What it is.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The most that it may be, where there is a bound.
    pub upper_bound: Option<f64>,
    /// The unit, or nothing.
    pub unit: &'static str,
}

/// A curve of a plot.
pub struct Curve {
    /// What it shows.
    pub name: String,
    /// Places along it: x and y.
    pub points: Vec<(f64, f64)>,
}

/// Curves over common axes.
pub struct Plot {
    /// Its name, also in the name of its file.
    pub name: String,
    /// What the x axis shows.
    pub x_axis: &'static str,
    /// What the y axis shows.
    pub y_axis: &'static str,
    /// What is drawn.
    pub curves: Vec<Curve>,
}

/// All that an experiment measured.
#[derive(Default)]
pub struct Figures {
    /// Its values, in the order in which they are printed.
    pub figures: Vec<Figure>,
    /// Its plots.
    pub plots: Vec<Plot>,
}

impl Figures {
    /// Adds a value without a bound.
    pub fn report(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(Figure { name: name.into(), value, upper_bound: None, unit });
    }

    /// Adds a value that may be at most `upper_bound`.
    pub fn report_bounded(
        &mut self,
        name: impl Into<String>,
        value: f64,
        upper_bound: f64,
        unit: &'static str,
    ) {
        self.figures.push(Figure { name: name.into(), value, upper_bound: Some(upper_bound), unit });
    }

    /// Adds a plot.
    pub fn plot(&mut self, name: &str, x_axis: &'static str, y_axis: &'static str, curves: Vec<Curve>) {
        self.plots.push(Plot { name: name.to_string(), x_axis, y_axis, curves });
    }

    /// Prints all, with the verdict last, and writes the files into `out` if there is one. True if every value is within its bound.
    ///
    /// # Errors
    /// Where a file cannot be written.
    pub fn finish(&self, experiment: &str, out: Option<&Path>) -> anyhow::Result<bool> {
        println!("{}", self.table());
        if let Some(out) = out {
            self.write_files(experiment, out)?;
        }
        let exceeded: Vec<_> = self
            .figures
            .iter()
            .filter(|figure| !figure.within_bound())
            .map(|figure| figure.name.as_str())
            .collect();
        match exceeded.is_empty() {
            true => println!("{experiment}: held"),
            false => println!("{experiment}: fell short: {}", exceeded.join("; ")),
        }
        Ok(exceeded.is_empty())
    }

    fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
        table.set_header(["figure", "value", "at most", "", ""]);
        for figure in &self.figures {
            let value = format!("{:.3}", figure.value);
            let bound = figure.upper_bound.map_or(String::new(), |bound| format!("{bound:.3}"));
            let verdict = match figure.upper_bound {
                None => "",
                Some(_) if figure.within_bound() => "held",
                Some(_) => "FELL SHORT",
            };
            table.add_row([&figure.name, &value, &bound, figure.unit, verdict]);
        }
        table
    }

    fn write_files(&self, experiment: &str, out: &Path) -> anyhow::Result<()> {
        std::fs::create_dir_all(out).with_context(|| format!("{}", out.display()))?;
        let figures: Vec<_> = self
            .figures
            .iter()
            .map(|f| {
                json!({"name": f.name, "value": f.value, "most": f.upper_bound, "unit": f.unit,
                    "held": f.within_bound()})
            })
            .collect();
        let text = serde_json::to_string_pretty(&json!({"experiment": experiment, "figures": figures}))?;
        std::fs::write(out.join(format!("{experiment}.json")), text)?;
        for plot in &self.plots {
            plot.draw(&out.join(format!("{experiment}-{}.svg", plot.name)))?;
        }
        Ok(())
    }
}

impl Figure {
    fn within_bound(&self) -> bool {
        self.upper_bound.is_none_or(|bound| self.value <= bound)
    }
}

impl Plot {
    fn draw(&self, path: &Path) -> anyhow::Result<()> {
        let points = || self.curves.iter().flat_map(|curve| &curve.points);
        let right = points().map(|point| point.0).fold(0.0, f64::max).max(1e-9);
        let top = points().map(|point| point.1).fold(0.0, f64::max).max(1e-9);
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut builder = ChartBuilder::on(&area);
        builder.caption(&self.name, ("sans-serif", 20)).margin(10);
        builder.x_label_area_size(40).y_label_area_size(60);
        let mut chart = builder.build_cartesian_2d(0.0..right * 1.02, 0.0..top * 1.05)?;
        chart.configure_mesh().x_desc(self.x_axis).y_desc(self.y_axis).draw()?;
        for (index, curve) in self.curves.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let points = curve.points.iter().copied();
            let line = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
            line.label(&curve.name).legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
        area.present()?;
        Ok(())
    }
}
