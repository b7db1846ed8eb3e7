//! Metrics in the Prometheus text format.
//!
//! The registry is that of `metrics-util`. The recorder of the Prometheus exporter is not used, because it calibrates a
//! clock for up to 200 ms when it starts, while clients wait for a node that restarts after a power loss.

use std::{
    fmt,
    fmt::Write,
    sync::{
        Arc, Mutex, OnceLock, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use metrics::{Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, SharedString, Unit};
use metrics_exporter_prometheus::formatting;
use metrics_util::{
    registry::{self, Registry},
    storage,
};

/// Upper bounds of the buckets of all histograms, in seconds: from the shortest request to the longest deadline.
const BUCKET_BOUNDS_S: [f64; 12] = [0.001, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0];

static REGISTRY: OnceLock<Arc<Registry<Key, Storage>>> = OnceLock::new();

/// Metrics recorder of this process.
#[derive(Clone)]
pub struct Recorder(Arc<Registry<Key, Storage>>);

impl fmt::Debug for Recorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Recorder")
    }
}

impl Recorder {
    /// Installs the global recorder on the first call, and returns it.
    pub fn open() -> Self {
        let registry = REGISTRY.get_or_init(|| {
            let registry = Arc::new(Registry::new(Storage));
            metrics::set_global_recorder(Self(Arc::clone(&registry))).expect("no other metrics recorder is installed");
            registry
        });
        Self(Arc::clone(registry))
    }

    /// Renders all metrics in the text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        self.0.visit_counters(|key, cell| {
            write_sample(&mut out, key, "", None, &cell.load(Ordering::Relaxed));
        });
        self.0.visit_gauges(|key, cell| {
            write_sample(&mut out, key, "", None, &f64::from_bits(cell.load(Ordering::Relaxed)));
        });
        self.0.visit_histograms(|key, cell| {
            let histogram = cell.0.lock().unwrap_or_else(PoisonError::into_inner);
            for (bound, count) in histogram.buckets() {
                write_sample(&mut out, key, "_bucket", Some(&bound.to_string()), &count);
            }
            write_sample(&mut out, key, "_bucket", Some("+Inf"), &histogram.count());
            write_sample(&mut out, key, "_sum", None, &histogram.sum());
            write_sample(&mut out, key, "_count", None, &histogram.count());
        });
        out
    }
}

fn write_sample(out: &mut String, key: &Key, suffix: &str, bound: Option<&str>, value: &dyn fmt::Display) {
    let labels = key.labels().map(|label| (label.key(), label.value()));
    let labels: Vec<_> = labels
        .chain(bound.map(|bound| ("le", bound)))
        .map(|(key, value)| {
            let value = formatting::sanitize_label_value(value);
            format!("{}=\"{value}\"", formatting::sanitize_label_key(key))
        })
        .collect();
    let name = formatting::sanitize_metric_name(key.name());
    let labels = if labels.is_empty() {
        String::new()
    } else {
        format!("{{{}}}", labels.join(","))
    };
    writeln!(out, "{name}{suffix}{labels} {value}").expect("writing to a string does not fail");
}

impl metrics::Recorder for Recorder {
    fn describe_counter(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn describe_gauge(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn describe_histogram(&self, _key: KeyName, _unit: Option<Unit>, _description: SharedString) {}

    fn register_counter(&self, key: &Key, _metadata: &Metadata<'_>) -> Counter {
        self.0.get_or_create_counter(key, |cell| Arc::clone(cell).into())
    }

    fn register_gauge(&self, key: &Key, _metadata: &Metadata<'_>) -> Gauge {
        self.0.get_or_create_gauge(key, |cell| Arc::clone(cell).into())
    }

    fn register_histogram(&self, key: &Key, _metadata: &Metadata<'_>) -> Histogram {
        self.0.get_or_create_histogram(key, |cell| Arc::clone(cell).into())
    }
}

/// Storage of the registry. Its memory does not grow with the number of recorded values.
struct Storage;

struct Buckets(Mutex<storage::Histogram>);

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).record(value);
    }
}

impl registry::Storage<Key> for Storage {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<Buckets>;

    fn counter(&self, _key: &Key) -> Self::Counter {
        Arc::default()
    }

    fn gauge(&self, _key: &Key) -> Self::Gauge {
        Arc::default()
    }

    fn histogram(&self, _key: &Key) -> Self::Histogram {
        let histogram = storage::Histogram::new(&BUCKET_BOUNDS_S).expect("the bounds are not empty");
        Arc::new(Buckets(Mutex::new(histogram)))
    }
}
