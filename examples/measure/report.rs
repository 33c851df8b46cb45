//! Distributions, line fits and tables.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Resolution of a recorded value: a histogram holds integers.
const STEPS_PER_UNIT: f64 = 10_000.0;

/// A distribution of milliseconds or ratios.
#[derive(Clone)]
pub(crate) struct Distribution(Histogram<u64>);

impl Default for Distribution {
    fn default() -> Self {
        Self(Histogram::new(4).expect("a precision that the library has"))
    }
}

impl Distribution {
    /// Adds a value.
    pub(crate) fn add(&mut self, value: f64) {
        self.0
            .record((value * STEPS_PER_UNIT) as u64)
            .expect("a histogram that grows");
    }

    /// Adds a duration, as milliseconds.
    pub(crate) fn add_duration(&mut self, time: Duration) {
        self.add(time.as_secs_f64() * 1e3);
    }

    /// Returns the value at a quantile between 0 and 1.
    pub(crate) fn quantile(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / STEPS_PER_UNIT
    }

    /// Returns the median.
    pub(crate) fn median(&self) -> f64 {
        self.quantile(0.5)
    }

    /// Returns the mean.
    pub(crate) fn mean(&self) -> f64 {
        self.0.mean() / STEPS_PER_UNIT
    }

    /// Returns the largest value.
    pub(crate) fn max(&self) -> f64 {
        self.0.max() as f64 / STEPS_PER_UNIT
    }

    /// Returns the number of values.
    pub(crate) fn count(&self) -> u64 {
        self.0.len()
    }
}

/// Returns the slope and the intercept of the least-squares line through the points.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sum_xy = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>();
    let sum_xx = points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    (slope, y - slope * x)
}

/// A table in Markdown, with padded columns.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with a heading and no row.
    pub(crate) fn new(columns: &[&str]) -> Self {
        let columns = columns.iter().map(|c| (*c).to_owned());
        Self {
            rows: vec![columns.collect()],
        }
    }

    /// Adds a row.
    pub(crate) fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Prints the table under a title with the load average of the machine.
    pub(crate) fn print(&self, title: &str) {
        println!("\n{title} (load average {})\n", load_average());
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(String::len).max().unwrap_or(0)
        };
        for (i, row) in self.rows.iter().enumerate() {
            let cells = row.iter().enumerate();
            let cells = cells.map(|(c, cell)| format!(" {cell:<w$} ", w = width(c)));
            println!("|{}|", cells.collect::<Vec<_>>().join("|"));
            if i == 0 {
                let dashes = (0..row.len()).map(|c| "-".repeat(width(c) + 2));
                println!("|{}|", dashes.collect::<Vec<_>>().join("|"));
            }
        }
    }
}

/// Returns the load average of the machine over one minute, or "unknown".
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or("unknown").to_owned()
}

/// Formats a number with two decimals.
pub(crate) fn two_decimals(value: f64) -> String {
    format!("{value:.2}")
}

/// Formats a number with three decimals.
pub(crate) fn three_decimals(value: f64) -> String {
    format!("{value:.3}")
}
