//! Listener for metrics and health checks: `GET /metrics`, `/health` and `/ready`.

use std::sync::Arc;
use std::time::Duration;

use daisymast_http::server::{Counters, Request, Response};
use daisymast_telemetry::metrics::Metrics;

use crate::driver::SharedState;

/// Media type of the OpenMetrics text format.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Time without a loop iteration after which the driver is reported as stuck. It ticks every 50 ms.
const STUCK_AFTER: Duration = Duration::from_secs(5);

/// State of the listener for metrics and health checks.
#[derive(Debug)]
pub(crate) struct Health {
    pub(crate) metrics: Metrics,
    pub(crate) shared_state: Arc<SharedState>,
    /// Name and counters of each of the other listeners.
    pub(crate) listeners: Vec<(&'static str, Arc<Counters>)>,
}

impl Health {
    /// Handles one HTTP request.
    pub(crate) fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/metrics") => {
                self.update_refusal_counters();
                Response::new(200, OPEN_METRICS, self.metrics.encode())
            }
            ("GET", "/health") if self.shared_state.time_since_last_iteration() < STUCK_AFTER => {
                Response::text(200, "healthy\n")
            }
            ("GET", "/health") => Response::text(503, "stuck\n"),
            ("GET", "/ready") if self.metrics.ready.get() == 1 => Response::text(200, "ready\n"),
            ("GET", "/ready") => Response::text(503, "not ready\n"),
            _ => super::no_route(request),
        }
    }

    fn update_refusal_counters(&self) {
        for (listener, counters) in &self.listeners {
            let totals = [
                ("connections", &counters.connections_refused),
                ("header_size", &counters.headers_too_large),
                ("header_time", &counters.header_timeouts),
                ("body_size", &counters.bodies_too_large),
                ("body_time", &counters.body_timeouts),
                ("malformed", &counters.malformed),
                ("accept", &counters.accept_failures),
            ];
            for (bound, counter) in totals {
                self.metrics
                    .set_refusal_total(listener, bound, counter.get());
            }
        }
    }
}
