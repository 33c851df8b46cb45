//! How fast endpoints have been lately, compared with each other.

use crate::prelude::*;

/// The weight of the newest service time, as a share of 1.
const WEIGHT: f32 = 1.0 / 16.0;

/// Service times that must be known before an endpoint is judged.
const SAMPLES: u32 = 8;

/// How far an endpoint may be from its group without being judged, in powers of two.
///
/// Run times differ by nature, by about one power of two; the mean of the last 16 then errs by 0.2. Within the band
/// endpoints count as equal, so that ties stay ties.
const BAND: f32 = 0.75;

/// The most that an endpoint is held back or preferred, in powers of two.
const MOST: f32 = 3.0;

/// The factor of an endpoint that is as fast as its group.
pub(super) const UNIT: u64 = 256;

/// The recent service time of one endpoint, as the mean of its logarithms: a few long tasks don't shift it much.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Speed {
    mean: f32,
    samples: u32,
}

impl Speed {
    /// Learns a service time; returns what the group is to count less and more.
    pub(super) fn learn(&mut self, took: Span) -> (Option<f32>, Option<f32>) {
        let before = self.known();
        let sample = (took.0.max(1) as f32).log2();
        self.samples = self.samples.saturating_add(1);
        let weight = WEIGHT.max(1.0 / self.samples as f32);
        self.mean += (sample - self.mean) * weight;
        (before, self.known())
    }

    /// Lets what is known of an endpoint fade towards its group; returns what the group is to count less and more.
    pub(super) fn fade(&mut self, group: Option<f32>) -> (Option<f32>, Option<f32>) {
        let before = self.known();
        if let (Some(own), Some(group)) = (before, group) {
            self.mean += (group - own) * WEIGHT;
        }
        (before, self.known())
    }

    /// Returns the mean, once there is enough to judge by.
    pub(super) fn known(&self) -> Option<f32> {
        (self.samples >= SAMPLES).then_some(self.mean)
    }

    /// Returns how much slower it is than its group, in parts of [`UNIT`] and in steps of half a power of two.
    pub(super) fn factor(&self, group: Option<f32>) -> u64 {
        let (Some(own), Some(group)) = (self.known(), group) else {
            return UNIT;
        };
        let distance = (own - group).clamp(-MOST, MOST);
        if distance.abs() < BAND {
            return UNIT;
        }
        let step = (distance * 2.0).round() / 2.0;
        (UNIT as f32 * step.exp2()) as u64
    }
}

/// The service times of a group: every endpoint counts once, however much it runs.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    sum: f64,
    count: u32,
}

impl Speeds {
    /// Counts a mean less and another more.
    pub(super) fn shift(&mut self, before: Option<f32>, after: Option<f32>) {
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

    /// Returns the mean over the endpoints.
    pub(super) fn mean(&self) -> Option<f32> {
        (self.count > 0).then(|| (self.sum / f64::from(self.count)) as f32)
    }
}
