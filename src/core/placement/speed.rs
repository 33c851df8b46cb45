//! The recent service times of endpoints, compared within their group.

use crate::prelude::*;

/// The weight of the newest service time in the moving average.
const SAMPLE_WEIGHT: f32 = 1.0 / 16.0;

/// The number of service times from which an endpoint is compared with its group.
const MIN_SAMPLES: u32 = 8;

/// The distance from its group within which an endpoint counts as equal, in powers of two.
///
/// Prevents normal variation of run times from deciding between endpoints that are equally fast. Run times differ by about one power
/// of two by nature, so that the mean of the last 16 errs by 0.2.
const TOLERANCE: f32 = 0.75;

/// The maximum distance from its group that counts for an endpoint, in powers of two.
const MAX_DISTANCE: f32 = 3.0;

/// The slowness of an endpoint that is as fast as its group.
pub(super) const UNIT: u64 = 256;

/// The moving average of one endpoint's service times. It averages logarithms, so that a few long tasks weigh little.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Speed {
    mean: f32,
    samples: u32,
}

impl Speed {
    /// Adds a service time; returns the mean before and after, for [`Speeds::replace`].
    pub(super) fn add(&mut self, took: Span) -> (Option<f32>, Option<f32>) {
        let before = self.mean();
        let sample = (took.0.max(1) as f32).log2();
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / self.samples as f32);
        self.mean += (sample - self.mean) * weight;
        (before, self.mean())
    }

    /// Moves the mean towards that of the group; returns the mean before and after, for [`Speeds::replace`].
    pub(super) fn decay(&mut self, group: Option<f32>) -> (Option<f32>, Option<f32>) {
        let before = self.mean();
        if let (Some(own), Some(group)) = (before, group) {
            self.mean += (group - own) * SAMPLE_WEIGHT;
        }
        (before, self.mean())
    }

    /// Returns the mean of the logarithms, or `None` while there are too few service times.
    pub(super) fn mean(&self) -> Option<f32> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }

    /// Returns how much slower the endpoint is than its group, in parts of [`UNIT`], rounded to half a power of two.
    pub(super) fn slowness(&self, group: Option<f32>) -> u64 {
        let (Some(own), Some(group)) = (self.mean(), group) else {
            return UNIT;
        };
        let distance = (own - group).clamp(-MAX_DISTANCE, MAX_DISTANCE);
        if distance.abs() < TOLERANCE {
            return UNIT;
        }
        let step = (distance * 2.0).round() / 2.0;
        (UNIT as f32 * step.exp2()) as u64
    }
}

/// The mean service time of a group, in which every endpoint counts once.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    sum: f64,
    count: u32,
}

impl Speeds {
    /// Replaces one endpoint's mean by its new one; `None` stands for none.
    pub(super) fn replace(&mut self, before: Option<f32>, after: Option<f32>) {
        if let Some(before) = before {
            self.sum -= f64::from(before);
            self.count = self.count.saturating_sub(1);
        }
        if let Some(after) = after {
            self.sum += f64::from(after);
            self.count += 1;
        }
        if self.count == 0 {
            self.sum = 0.0;
        }
    }

    /// Returns the mean over the endpoints, or `None` without any.
    pub(super) fn mean(&self) -> Option<f32> {
        (self.count > 0).then(|| (self.sum / f64::from(self.count)) as f32)
    }
}
