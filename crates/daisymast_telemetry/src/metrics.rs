//! Counters and gauges of an entry instance.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Labels<const N: usize> = [(&'static str, &'static str); N];

/// Metrics of one entry instance. Clones share their values.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    events: Family<Labels<1>, Counter>,
    actions: Family<Labels<1>, Counter>,
    calls: Family<Labels<2>, Counter>,
    answers: Family<Labels<2>, Counter>,
    refused: Family<Labels<2>, Counter>,
    /// Number of requests that the instance has not answered yet.
    pub open_exchanges: Gauge,
    /// Number of outgoing calls that have neither a reply nor reached their deadline.
    pub open_calls: Gauge,
    /// Number of events recorded in the timeline.
    pub timeline_events: Counter,
    /// Number of workers whose control lease the instance holds.
    pub held_workers: Gauge,
    /// Number of ledger partitions that the instance owns.
    pub owned_partitions: Gauge,
    /// Generation of the manifest in force.
    pub generation: Gauge,
    /// 1 if the instance accepts new requests, 0 otherwise.
    pub ready: Gauge,
}

impl Metrics {
    /// Counts an event passed to the instance, of a kind such as `tick`.
    pub fn count_event(&self, kind: &'static str) {
        self.events.get_or_create(&[("kind", kind)]).inc();
    }

    /// Counts an action taken by the instance, of a kind such as `call_store`.
    pub fn count_action(&self, kind: &'static str) {
        self.actions.get_or_create(&[("kind", kind)]).inc();
    }

    /// Counts the outcome of a call to a `store`, `worker` or `peer`.
    pub fn count_call(&self, to: &'static str, outcome: &'static str) {
        let labels = [("to", to), ("outcome", outcome)];
        self.calls.get_or_create(&labels).inc();
    }

    /// Counts a response to a `caller`, `operator` or `peer`.
    pub fn count_answer(&self, to: &'static str, outcome: &'static str) {
        let labels = [("to", to), ("outcome", outcome)];
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts a request or connection rejected by a limit of a listener.
    pub fn count_refusal(&self, listener: &'static str, bound: &'static str) {
        let labels = [("listener", listener), ("bound", bound)];
        self.refused.get_or_create(&labels).inc();
    }

    /// Raises the number of rejections by a limit to a total that is counted elsewhere. Does
    /// nothing if the number is not below the total.
    pub fn set_refusal_total(&self, listener: &'static str, bound: &'static str, total: u64) {
        let labels = [("listener", listener), ("bound", bound)];
        let counter = self.refused.get_or_create(&labels);
        counter.inc_by(total.saturating_sub(counter.get()));
    }

    /// Number of rejections by a limit since the start.
    pub fn refusal_count(&self, listener: &'static str, bound: &'static str) -> u64 {
        let labels = [("listener", listener), ("bound", bound)];
        self.refused.get_or_create(&labels).get()
    }

    /// Encodes all metrics in the OpenMetrics text format.
    ///
    /// ```
    /// use daisymast_telemetry::metrics;
    /// let metrics = metrics::Metrics::default();
    /// metrics.count_event("tick");
    /// assert!(metrics.encode().contains("daisymast_events_total{kind=\"tick\"} 1"));
    /// ```
    pub fn encode(&self) -> String {
        let mut output = String::new();
        // Encoding into a string fails only if a value cannot be formatted, which cannot happen
        // here.
        if text::encode(&mut output, &self.registry()).is_err() {
            output.clear();
        }
        output
    }

    /// Creates a registry of shared handles to the metrics. Cheap enough to do on each scrape.
    fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("daisymast");
        let families = [
            ("events", "Events fed to the instance", &self.events),
            ("actions", "Actions of the instance", &self.actions),
        ];
        for (name, help, family) in families {
            registry.register(name, help, family.clone());
        }
        let families = [
            ("calls", "Calls by outcome", &self.calls),
            ("answers", "Answers by outcome", &self.answers),
            ("refused", "Refusals by listener and bound", &self.refused),
        ];
        for (name, help, family) in families {
            registry.register(name, help, family.clone());
        }
        let gauges = [
            (
                "open_exchanges",
                "Exchanges without an answer",
                &self.open_exchanges,
            ),
            ("open_calls", "Calls without a reply", &self.open_calls),
            ("held_workers", "Held control leases", &self.held_workers),
            (
                "owned_partitions",
                "Owned ledger partitions",
                &self.owned_partitions,
            ),
            ("generation", "Generation in force", &self.generation),
            ("ready", "Whether new requests are taken", &self.ready),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let timeline = self.timeline_events.clone();
        registry.register("timeline_events", "Recorded timeline events", timeline);
        registry
    }
}
