//! Maps the value names of a load report to the fields of the policy's `LoadReport`.
//!
//! An upstream may report its load with each response, either as plain numbers whose order is given by the
//! settings (`loadInfo.fields`) or as pairs of name and number. All hosts use this module to fill the report.

use std::time::Duration;

use balancer_policy::interface::LoadReport;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Sets the field of a load report that belongs to the value name `name`; unknown names are ignored.
///
/// `cpu` is a fraction, `rps` and `err_rps` are rates per second, `avg_ms` is in milliseconds. An `avg_ms` that
/// is negative or not finite leaves the report without a latency.
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
