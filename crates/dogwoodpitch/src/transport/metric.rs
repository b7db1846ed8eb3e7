//! Metrics in the Prometheus text format.

use std::{fmt, sync::OnceLock};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Recorder of this process.
#[derive(Clone)]
pub struct Recorder(PrometheusHandle);

impl fmt::Debug for Recorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Recorder")
    }
}

impl Recorder {
    /// Installs the recorder, once a process.
    pub fn open() -> Self {
        let handle = HANDLE.get_or_init(|| {
            PrometheusBuilder::new()
                .install_recorder()
                .expect("no other metrics recorder is installed")
        });
        Self(handle.clone())
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}
