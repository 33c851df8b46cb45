//! The registry of an instance's metrics: it makes each metric, names it and renders all of them.

use std::fmt;

use prometheus_client::{
    encoding::text::encode,
    metrics::histogram::Histogram,
    registry::{
        self,
        Metric, //
    },
};

/// What every name begins with.
const PREFIX: &str = "poplarknot";

/// The metrics of an instance, in the order in which they were added.
#[derive(Debug)]
pub struct Registry(registry::Registry);

impl Registry {
    /// Makes an empty registry.
    pub fn new() -> Self {
        Self(registry::Registry::with_prefix(PREFIX))
    }

    /// Adds a metric that stands at zero, and returns it.
    pub fn add<M: Metric + Clone + Default>(&mut self, name: &str, help: &str) -> M {
        self.register(name, help, M::default())
    }

    /// Adds an empty histogram with these upper bounds, and returns it.
    pub fn add_histogram(
        &mut self,
        name: &str,
        help: &str,
        buckets: impl IntoIterator<Item = f64>,
    ) -> Histogram {
        self.register(name, help, Histogram::new(buckets))
    }

    fn register<M: Metric + Clone>(&mut self, name: &str, help: &str, metric: M) -> M {
        self.0.register(name, help, metric.clone());
        metric
    }

    /// Renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Passes on what the encoder reports.
    pub fn render(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.0)?;
        Ok(text)
    }
}

impl Default for Registry {
    fn default() -> Self {
        Self::new()
    }
}
