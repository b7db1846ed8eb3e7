//! Learned size and time of classes of work, and which work is long.

use std::{collections::HashMap, time::Duration};

use crate::state::service::Id;

/// Classes that are remembered. Callers choose the names, so the number must be bounded.
const MAX_CLASSES: usize = 1_024;
/// Weight of a new sample.
const WEIGHT: f64 = 0.2;
/// Work is long if it takes this many times the median request of its service.
const LONG_RATIO: f64 = 8.0;
/// Work under this time is never long, whatever the ratio: it delays others too little.
const LONG_MIN: Duration = Duration::from_millis(50);
/// Work with a body of this many bytes is long, as the time in the slot then depends on the caller's path.
const LONG_BYTES: f64 = 1024.0 * 1024.0;
/// Time that is assumed for a request before anything is known about its service.
const DEFAULT_TIME: Duration = Duration::from_millis(20);
/// Time that is assumed for long work before anything is known about it.
const DEFAULT_LONG_TIME: Duration = Duration::from_secs(1);
/// Samples after which work that started as long may become short.
const SAMPLES_TO_TRUST: u32 = 3;
/// Longest time that one sample can teach, so that one hung request does not distort a class for hours.
const MAX_SAMPLE: Duration = Duration::from_mins(1);

/// What is learned together.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// Service of the work.
    pub service: Id,
    /// Whether the work is an upload.
    pub upload: bool,
    /// Class that the caller named.
    pub class: String,
}

/// What is expected of one piece of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean time in the slot.
    pub time: Duration,
    /// Mean deviation of the time.
    pub deviation: Duration,
    /// Whether the work is long.
    pub long: bool,
    /// Whether any sample stands behind the times.
    pub learned: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    samples: u32,
    time: f64,
    deviation: f64,
    bytes: f64,
}

/// Learned classes of one agent.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    known: HashMap<Key, Mean>,
    /// Work whose class was unknown when it ended, by service and kind. A caller that names a new class each time is
    /// judged by these.
    unknown: HashMap<(Id, bool), Mean>,
    medians: HashMap<Id, Median>,
}

/// Running median. Each sample moves it by a factor that shrinks towards 1, so a few long outliers do not move it far.
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
            self.deviation += WEIGHT * ((time - self.time).abs() - self.deviation);
            self.time += WEIGHT * (time - self.time);
            self.bytes += WEIGHT * (bytes - self.bytes);
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
    /// What to expect of work of a class with this body length.
    pub fn estimate(&self, key: &Key, length: Option<u64>) -> Estimate {
        let threshold = self.threshold(key.service);
        let mean = self.known.get(key);
        let mean = mean.or_else(|| self.unknown.get(&(key.service, key.upload)));
        let large = |bytes: f64| bytes > LONG_BYTES;
        let announced_large = length.is_some_and(|length| large(to_f64(length)));
        let Some(mean) = mean else {
            let long = key.upload || announced_large;
            let median = self.medians.get(&key.service);
            let short = median.map_or(DEFAULT_TIME, |median| Duration::from_secs_f64(median.value));
            return Estimate {
                time: if long { DEFAULT_LONG_TIME } else { short },
                deviation: Duration::ZERO,
                long,
                learned: false,
            };
        };
        let proven = !key.upload || mean.samples >= SAMPLES_TO_TRUST;
        Estimate {
            time: Duration::from_secs_f64(mean.time),
            deviation: Duration::from_secs_f64(mean.deviation),
            long: !proven || announced_large || large(mean.bytes) || mean.time > threshold.as_secs_f64(),
            learned: true,
        }
    }

    /// Time in the slot beyond which work of a service is long.
    pub fn threshold(&self, service: Id) -> Duration {
        let median = self.medians.get(&service);
        let median = median.map_or(DEFAULT_TIME.as_secs_f64(), |median| median.value);
        Duration::from_secs_f64(LONG_RATIO * median).max(LONG_MIN)
    }

    /// Learns from work that has ended.
    pub fn observe(&mut self, key: &Key, time: Duration, bytes: u64) {
        let time = time.min(MAX_SAMPLE).as_secs_f64().max(1e-6);
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
            // Classes with the fewest samples are mostly names that were used once.
            let least = self.known.values().map(|mean| mean.samples).min().unwrap_or(0);
            self.known.retain(|_, mean| mean.samples > least);
        }
        let mut mean = Mean::default();
        mean.add(time, bytes);
        self.known.insert(key.clone(), mean);
    }

    /// Number of remembered classes.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes of bodies are far below 2^52, and the estimate is rough"
)]
fn to_f64(bytes: u64) -> f64 {
    bytes as f64
}
