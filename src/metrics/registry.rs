//! Creates, names and renders the metrics of an instance.

use std::fmt;

use prometheus_client::{
    encoding::text::encode,
    metrics::histogram::Histogram,
    registry::{
        self,
        Metric, //
    }, //
};

/// The prefix of every metric's name.
const PREFIX: &str = "poplarknot";

/// The metrics of an instance, in the order in which they were added.
#[derive(Debug)]
pub struct Registry(registry::Registry);

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self(registry::Registry::with_prefix(PREFIX))
    }

    /// Registers a metric with the value zero, and returns it.
    pub fn add<M: Metric + Clone + Default>(&mut self, name: &str, help: &str) -> M {
        self.register(name, help, M::default())
    }

    /// Registers an empty histogram with the given upper bounds of its buckets, and returns it.
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

    /// Returns all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
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
