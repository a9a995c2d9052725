//! Generates `docs/METRICS.md` from the catalogue of metrics.

use std::fmt::Write as _;

use crate::metrics::METRICS;

/// Text above the rows of the table.
const PAGE_HEAD: &str = "\
# Metrics

Each entry exports its metrics in the Prometheus text format at `GET /metrics` on the listener for
operators, with the operators' token. Labels take their values from closed sets: services, pools,
states, outcomes, listeners and reasons; never requests, callers or instances. Of
the configured teams, at most 50 of a service have a label. Entries that share
one process, as in `cyclamentrail local`, share one set of metrics.

This page is generated from the catalogue in the code.

| metric | kind | labels | meaning |
|---|---|---|---|
";

/// Returns the text of `docs/METRICS.md`: one table row per metric.
#[must_use]
pub fn metrics_page() -> String {
    let mut page = String::from(PAGE_HEAD);
    for metric in METRICS {
        let labels = if metric.labels.is_empty() {
            String::from("none")
        } else {
            metric.labels.join(", ")
        };
        let _ = writeln!(
            page,
            "| `{}` | {} | {labels} | {} |",
            metric.name,
            metric.kind.as_str(),
            metric.help
        );
    }
    page
}
