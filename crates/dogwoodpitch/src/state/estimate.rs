//! Estimates of run time and body size by class of work, and the distinction between short and long work.

use std::{collections::HashMap, time::Duration};

use crate::state::service::Id;

/// Maximum number of known classes. Callers choose the class names, so the number must be bounded.
const MAX_CLASSES: usize = 1_024;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Work is long if its run time exceeds the median of its service by this factor.
const LONG_RATIO: f64 = 8.0;
/// Work with a shorter run time is never long, whatever the ratio, because it hardly delays other work.
const MIN_LONG_TIME: Duration = Duration::from_millis(50);
/// Work with a body of more bytes is long, because its time in the slot depends on the caller's network path.
const LONG_BYTES: f64 = 1024.0 * 1024.0;
/// Run time that is assumed for a request before its service has samples.
const DEFAULT_TIME: Duration = Duration::from_millis(20);
/// Run time that is assumed for long work before it has samples.
const DEFAULT_LONG_TIME: Duration = Duration::from_secs(1);
/// Number of samples from which uploads, which are presumed long, may count as short.
const MIN_UPLOAD_SAMPLES: u32 = 3;
/// Upper bound of a sample, so that one hung request does not distort a class for hours.
const MAX_SAMPLE_TIME: Duration = Duration::from_mins(1);

/// A class of work: the unit for which estimates are kept.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// Service of the work.
    pub service: Id,
    /// Whether the work is an upload.
    pub upload: bool,
    /// Class name from the caller.
    pub class: String,
}

/// Expected run time and kind of one piece of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean run time.
    pub time: Duration,
    /// Mean absolute deviation of the run time.
    pub deviation: Duration,
    /// Whether the work is long.
    pub long: bool,
    /// Whether the times are based on samples rather than on defaults.
    pub learned: bool,
}

/// Moving averages of the samples of a class. Times are in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    samples: u32,
    time: f64,
    deviation: f64,
    bytes: f64,
}

/// Learns from finished work at one agent, and estimates new work.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    known: HashMap<Key, Mean>,
    /// First samples of new classes, by service and whether the work is an upload. They give the estimate for unknown
    /// classes, as when a caller uses a new class name for each request.
    unknown: HashMap<(Id, bool), Mean>,
    /// Median run time of the requests of each service.
    medians: HashMap<Id, Median>,
}

/// Streaming estimate of the median in seconds. Each sample moves it by a factor that decreases towards 1.05, so a few
/// long outliers do not move it far.
#[derive(Debug, Clone, Copy)]
struct Median {
    value: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, time: f64, bytes: f64) {
        if self.samples == 0 {
            self.time = time;
            self.deviation = time / 2.0;
            self.bytes = bytes;
        } else {
            self.deviation += SAMPLE_WEIGHT * ((time - self.time).abs() - self.deviation);
            self.time += SAMPLE_WEIGHT * (time - self.time);
            self.bytes += SAMPLE_WEIGHT * (bytes - self.bytes);
        }
        self.samples = self.samples.saturating_add(1);
    }
}

impl Median {
    fn add(&mut self, time: f64) {
        let step = 1.05 + 0.45 / (1.0 + f64::from(self.samples) / 4.0);
        self.value = if time > self.value {
            (self.value * step).min(time)
        } else {
            (self.value / step).max(time)
        };
        self.samples = self.samples.saturating_add(1);
    }
}

impl Estimator {
    /// Estimates work of a class with this declared body length.
    pub fn estimate(&self, key: &Key, length: Option<u64>) -> Estimate {
        let threshold = self.threshold(key.service);
        let mean = self.known.get(key);
        let mean = mean.or_else(|| self.unknown.get(&(key.service, key.upload)));
        let large = |bytes: f64| bytes > LONG_BYTES;
        let declared_large = length.is_some_and(|length| large(to_f64(length)));
        let Some(mean) = mean else {
            let long = key.upload || declared_large;
            let median = self.medians.get(&key.service);
            let short = median.map_or(DEFAULT_TIME, |median| Duration::from_secs_f64(median.value));
            return Estimate {
                time: if long { DEFAULT_LONG_TIME } else { short },
                deviation: Duration::ZERO,
                long,
                learned: false,
            };
        };
        let has_enough_samples = !key.upload || mean.samples >= MIN_UPLOAD_SAMPLES;
        Estimate {
            time: Duration::from_secs_f64(mean.time),
            deviation: Duration::from_secs_f64(mean.deviation),
            long: !has_enough_samples || declared_large || large(mean.bytes) || mean.time > threshold.as_secs_f64(),
            learned: true,
        }
    }

    /// Run time above which work of a service is long.
    pub fn threshold(&self, service: Id) -> Duration {
        let median = self.medians.get(&service);
        let median = median.map_or(DEFAULT_TIME.as_secs_f64(), |median| median.value);
        Duration::from_secs_f64(LONG_RATIO * median).max(MIN_LONG_TIME)
    }

    /// Adds a sample of finished work.
    pub fn observe(&mut self, key: &Key, time: Duration, bytes: u64) {
        let time = time.min(MAX_SAMPLE_TIME).as_secs_f64().max(1e-6);
        let bytes = to_f64(bytes);
        if !key.upload {
            let median = self.medians.entry(key.service).or_insert(Median {
                value: time,
                samples: 0,
            });
            median.add(time);
        }
        if let Some(mean) = self.known.get_mut(key) {
            mean.add(time, bytes);
            return;
        }
        let unknown = self.unknown.entry((key.service, key.upload)).or_default();
        unknown.add(time, bytes);
        if self.known.len() >= MAX_CLASSES {
            // Evict the classes with the fewest samples; most of them are names that were used once.
            let least = self.known.values().map(|mean| mean.samples).min().unwrap_or(0);
            self.known.retain(|_, mean| mean.samples > least);
        }
        let mut mean = Mean::default();
        mean.add(time, bytes);
        self.known.insert(key.clone(), mean);
    }

    /// Number of known classes.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no class is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "body sizes are far below 2^52, and an estimate needs no exact value"
)]
fn to_f64(bytes: u64) -> f64 {
    bytes as f64
}
