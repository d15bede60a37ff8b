//! Metrics, collected by OpenTelemetry and exposed in the Prometheus text format.

use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::data::{
    AggregatedMetrics, HistogramDataPoint, Metric, MetricData, ResourceMetrics,
};
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;
use opentelemetry_sdk::metrics::{PeriodicReader, SdkMeterProvider, Temporality};

/// The collection period that the reader requires. In fact metrics are collected on request.
const IDLE_PERIOD: Duration = Duration::from_secs(3_600);
/// The bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.43, 1.0, 2.5, 10.0,
];

/// Keeps the text of the last collection.
#[derive(Clone, Debug, Default)]
struct TextExporter {
    text: Arc<Mutex<String>>,
}

impl PushMetricExporter for TextExporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let mut text = String::new();
        for scope in metrics.scope_metrics() {
            for metric in scope.metrics() {
                render_metric(metric, &mut text);
            }
        }
        if let Ok(mut kept) = self.text.lock() {
            *kept = text;
        }
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

/// The instruments of a process.
#[derive(Clone, Debug)]
pub(crate) struct MetricSet {
    exporter: TextExporter,
    provider: SdkMeterProvider,
    /// Requests by outcome.
    pub(crate) requests: Counter<u64>,
    /// Attempts by outcome.
    pub(crate) attempts: Counter<u64>,
    /// Streams of backend servers, by the framing of their body and how they ended.
    pub(crate) streams: Counter<u64>,
    /// Attempts without a response or with an error response, by backend server.
    pub(crate) backend_failures: Counter<u64>,
    /// Transitions of the send state of backend servers, by new state.
    pub(crate) backend_states: Counter<u64>,
    /// Drain and cooldown notices of backend servers, by kind.
    pub(crate) backend_notices: Counter<u64>,
    /// New eras of the store.
    pub(crate) store_eras: Counter<u64>,
    /// Requests for permits to send under a rate limit, by outcome.
    pub(crate) send_permits: Counter<u64>,
    /// Requests of teams with a quota, by outcome.
    pub(crate) quota_checks: Counter<u64>,
    /// Events about requests suspected of crashing backend servers, by kind.
    pub(crate) suspicions: Counter<u64>,
    /// Events about prompt parts suspected of crashing engines, by kind.
    pub(crate) part_suspicions: Counter<u64>,
    /// Hedges that were sent, won and wasted, and slow requests that were not hedged, by outcome.
    pub(crate) hedges: Counter<u64>,
    /// Streams that callers resumed, by how their origin was found and by outcome.
    pub(crate) resumptions: Counter<u64>,
    /// The predicted times to first tokens, in microseconds, by backend server.
    pub(crate) predicted_micros: Counter<u64>,
    /// The actual times to the same first tokens.
    pub(crate) first_token_micros: Counter<u64>,
    /// Seconds until the first byte of a response.
    pub(crate) first_byte: Histogram<f64>,
    /// Seconds until the end of a response that is not streamed.
    pub(crate) complete_response: Histogram<f64>,
    /// Requests in flight.
    pub(crate) in_flight: Gauge<u64>,
    /// Bytes that the requests of callers hold.
    pub(crate) held_bytes: Gauge<u64>,
    /// Connections of callers that were refused or closed to protect the process, by cause.
    pub(crate) caller_refusals: Counter<u64>,
    /// Responses that were written and that their callers have not received to the end.
    pub(crate) undelivered_responses: Counter<u64>,
    /// Calls to the platform, by kind.
    pub(crate) platform_calls: Counter<u64>,
    /// The configuration revision in force.
    pub(crate) revision: Gauge<u64>,
}

impl MetricSet {
    pub(crate) fn start() -> Self {
        let exporter = TextExporter::default();
        let reader = PeriodicReader::builder(exporter.clone());
        let reader = reader.with_interval(IDLE_PERIOD).build();
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("applefold");
        Self {
            requests: meter.u64_counter("applefold_requests").build(),
            attempts: meter.u64_counter("applefold_attempts").build(),
            streams: meter.u64_counter("applefold_streams").build(),
            backend_failures: meter.u64_counter("applefold_backend_failures").build(),
            backend_states: meter.u64_counter("applefold_backend_states").build(),
            backend_notices: meter.u64_counter("applefold_backend_words").build(),
            store_eras: meter.u64_counter("applefold_store_eras").build(),
            send_permits: meter.u64_counter("applefold_send_permits").build(),
            quota_checks: meter.u64_counter("applefold_quota_checks").build(),
            suspicions: meter.u64_counter("applefold_crash_suspicions").build(),
            part_suspicions: meter.u64_counter("applefold_part_suspicions").build(),
            hedges: meter.u64_counter("applefold_hedges").build(),
            resumptions: meter.u64_counter("applefold_resumptions").build(),
            predicted_micros: meter.u64_counter("applefold_predicted_micros").build(),
            first_token_micros: meter.u64_counter("applefold_first_token_micros").build(),
            first_byte: meter
                .f64_histogram("applefold_first_byte_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            complete_response: meter
                .f64_histogram("applefold_whole_answer_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            in_flight: meter.u64_gauge("applefold_in_flight").build(),
            held_bytes: meter.u64_gauge("applefold_held_bytes").build(),
            caller_refusals: meter.u64_counter("applefold_caller_refusals").build(),
            undelivered_responses: meter.u64_counter("applefold_undelivered_responses").build(),
            platform_calls: meter.u64_counter("applefold_platform_calls").build(),
            revision: meter.u64_gauge("applefold_revision").build(),
            exporter,
            provider,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        if self.provider.force_flush().is_err() {
            return String::new();
        }
        let text = self.exporter.text.lock();
        text.map_or_else(|_| String::new(), |text| text.clone())
    }
}

fn render_metric(metric: &Metric, text: &mut String) {
    match metric.data() {
        AggregatedMetrics::U64(MetricData::Sum(sum)) => {
            for point in sum.data_points() {
                let labels = render_labels(point.attributes());
                let _ = writeln!(text, "{}_total{labels} {}", metric.name(), point.value());
            }
        }
        AggregatedMetrics::U64(MetricData::Gauge(gauge)) => {
            for point in gauge.data_points() {
                let labels = render_labels(point.attributes());
                let _ = writeln!(text, "{}{labels} {}", metric.name(), point.value());
            }
        }
        AggregatedMetrics::F64(MetricData::Histogram(histogram)) => {
            for point in histogram.data_points() {
                render_histogram(metric.name(), point, text);
            }
        }
        _ => {}
    }
}

fn render_histogram(name: &str, point: &HistogramDataPoint<f64>, text: &mut String) {
    let mut cumulative = 0;
    let bounds = point.bounds().map(|bound| bound.to_string());
    let bounds = bounds.chain(std::iter::once("+Inf".to_owned()));
    for (bound, count) in bounds.zip(point.bucket_counts()) {
        cumulative += count;
        let _ = writeln!(text, "{name}_bucket{{le=\"{bound}\"}} {cumulative}");
    }
    let _ = writeln!(text, "{name}_sum {}", point.sum());
    let _ = writeln!(text, "{name}_count {}", point.count());
}

fn render_labels<'a, I>(attributes: I) -> String
where
    I: Iterator<Item = &'a KeyValue>,
{
    let pairs: Vec<String> = attributes
        .map(|pair| format!("{}=\"{}\"", pair.key, pair.value))
        .collect();
    if pairs.is_empty() {
        return String::new();
    }
    format!("{{{}}}", pairs.join(","))
}
