//! OpenTelemetry metrics, rendered in the Prometheus text format.

use derive_more::{Display, Error, From};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider};
use prometheus::{Registry, TextEncoder};

/// Name of the instrumentation scope.
const SCOPE: &str = "primrosestep";

/// The metrics of one process, or of one entry if a process runs several.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

/// Error of collecting or rendering metrics.
#[derive(Debug, Display, Error, From)]
pub enum MetricsError {
    /// The exporter could not be set up.
    #[display("cannot set up the metrics exporter: {_0}")]
    Setup(OTelSdkError),
    /// The metrics could not be encoded.
    #[display("cannot encode the metrics: {_0}")]
    Encode(prometheus::Error),
}

impl Exporter {
    /// Creates an exporter with its own registry.
    pub fn new() -> Result<Exporter, MetricsError> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(SCOPE)
            .without_target_info()
            .scope_info_enabled(false)
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        Ok(Exporter { registry, provider })
    }

    /// Returns a meter, which creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, MetricsError> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
