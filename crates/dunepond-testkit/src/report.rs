//! Reports of experiments: measured values with their bounds, as a table and as JSON, and plots.

use std::path::Path;

use anyhow::Context;
use comfy_table::Table;
use plotters::prelude::*;
use serde_json::json;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 480);

/// A measured value.
pub struct MeasuredValue {
    /// Description of the value.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// Largest permitted value; `None` if there is no bound.
    pub upper_bound: Option<f64>,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
}

/// A curve of a plot.
pub struct Curve {
    /// Label of the curve in the legend.
    pub name: String,
    /// Points of the curve, as pairs of x and y.
    pub points: Vec<(f64, f64)>,
}

/// A plot of one or more curves over common axes.
pub struct Plot {
    /// Title of the plot, which is also part of its file name.
    pub name: String,
    /// Label of the x axis.
    pub x_axis: &'static str,
    /// Label of the y axis.
    pub y_axis: &'static str,
    /// Curves of the plot.
    pub curves: Vec<Curve>,
}

/// Measured values and plots of one experiment.
#[derive(Default)]
pub struct ExperimentReport {
    /// Measured values, in the order in which they are printed.
    pub values: Vec<MeasuredValue>,
    /// Plots of the experiment.
    pub plots: Vec<Plot>,
}

impl ExperimentReport {
    /// Adds a value without a bound.
    pub fn add_value(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.values.push(MeasuredValue { name: name.into(), value, upper_bound: None, unit });
    }

    /// Adds a value with the largest permitted value `upper_bound`.
    pub fn add_bounded_value(
        &mut self,
        name: impl Into<String>,
        value: f64,
        upper_bound: f64,
        unit: &'static str,
    ) {
        self.values.push(MeasuredValue { name: name.into(), value, upper_bound: Some(upper_bound), unit });
    }

    /// Adds a plot.
    pub fn add_plot(&mut self, name: &str, x_axis: &'static str, y_axis: &'static str, curves: Vec<Curve>) {
        self.plots.push(Plot { name: name.to_string(), x_axis, y_axis, curves });
    }

    /// Prints all values, and then whether all of them are within their bounds, and writes the JSON file and the plots into the folder `out`, if it is
    /// given. Returns whether all values are within their bounds.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written.
    pub fn print_and_write(&self, experiment: &str, out: Option<&Path>) -> anyhow::Result<bool> {
        println!("{}", self.table());
        if let Some(out) = out {
            self.write_files(experiment, out)?;
        }
        let exceeded: Vec<_> = self
            .values
            .iter()
            .filter(|measured| !measured.within_bound())
            .map(|measured| measured.name.as_str())
            .collect();
        match exceeded.is_empty() {
            true => println!("{experiment}: held"),
            false => println!("{experiment}: fell short: {}", exceeded.join("; ")),
        }
        Ok(exceeded.is_empty())
    }

    /// Builds the table of all values with their bounds and verdicts.
    fn table(&self) -> Table {
        let mut table = Table::new();
        table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
        table.set_header(["figure", "value", "at most", "", ""]);
        for measured in &self.values {
            let value = format!("{:.3}", measured.value);
            let bound = measured.upper_bound.map_or(String::new(), |bound| format!("{bound:.3}"));
            let verdict = match measured.upper_bound {
                None => "",
                Some(_) if measured.within_bound() => "held",
                Some(_) => "FELL SHORT",
            };
            table.add_row([&measured.name, &value, &bound, measured.unit, verdict]);
        }
        table
    }

    /// Writes the values as JSON and each plot as SVG into the folder `out`.
    fn write_files(&self, experiment: &str, out: &Path) -> anyhow::Result<()> {
        std::fs::create_dir_all(out)
            .with_context(|| format!("cannot create the folder {}", out.display()))?;
        let values: Vec<_> = self
            .values
            .iter()
            .map(|measured| {
                json!({"name": measured.name, "value": measured.value, "most": measured.upper_bound,
                    "unit": measured.unit, "held": measured.within_bound()})
            })
            .collect();
        let text = serde_json::to_string_pretty(&json!({"experiment": experiment, "figures": values}))?;
        std::fs::write(out.join(format!("{experiment}.json")), text)?;
        for plot in &self.plots {
            plot.draw(&out.join(format!("{experiment}-{}.svg", plot.name)))?;
        }
        Ok(())
    }
}

impl MeasuredValue {
    fn within_bound(&self) -> bool {
        self.upper_bound.is_none_or(|bound| self.value <= bound)
    }
}

impl Plot {
    /// Draws the plot into an SVG file. Both axes start at 0.
    fn draw(&self, path: &Path) -> anyhow::Result<()> {
        let points = || self.curves.iter().flat_map(|curve| &curve.points);
        let max_x = points().map(|point| point.0).fold(0.0, f64::max).max(1e-9);
        let max_y = points().map(|point| point.1).fold(0.0, f64::max).max(1e-9);
        let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut builder = ChartBuilder::on(&area);
        builder.caption(&self.name, ("sans-serif", 20)).margin(10);
        builder.x_label_area_size(40).y_label_area_size(60);
        let mut chart = builder.build_cartesian_2d(0.0..max_x * 1.02, 0.0..max_y * 1.05)?;
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
