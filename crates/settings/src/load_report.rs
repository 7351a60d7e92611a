//! The values of a load report by the names that the settings give them.
//!
//! An upstream may report its load with each answer, as bare numbers whose order the settings give
//! (`loadInfo.fields`) or with a name before each; every host sets them in the policy's report here.

use std::time::Duration;

use balancer_policy::interface::LoadReport;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Sets the value that the settings call `name` in a load report; other names are passed over.
///
/// `cpu` is a fraction, `rps` and `err_rps` are per second, `avg_ms` is in milliseconds; one that is negative
/// or not finite leaves the report without a latency.
pub fn set_load_field(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "active" => report.in_flight = Some(value),
        "waiting" => report.queued = Some(value),
        "cpu" => report.utilization = Some(value),
        "avg_ms" => report.latency = Duration::try_from_secs_f64(value / MILLISECONDS_PER_SECOND).ok(),
        "rps" => report.rate = Some(value),
        "err_rps" => report.error_rate = Some(value),
        _ => {}
    }
}
