//! Tests that an entry exports only metrics of the catalogue, with bounded labels, and that the
//! committed page matches the catalogue.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use anyhow::Result;
use cyclamentrail::{METRICS, Metric};
use cyclamentrail_testkit::{Site, TOKEN};
use http_body_util::Full;
use hyper::Request;

/// Metrics that every entry exports after one answered request and one refused request.
const ALWAYS_EXPORTED: [&str; 9] = [
    "cyclamentrail_requests_total",
    "cyclamentrail_request_seconds",
    "cyclamentrail_refused_total",
    "cyclamentrail_connections",
    "cyclamentrail_records_total",
    "cyclamentrail_settings_version",
    "cyclamentrail_applied_offset",
    "cyclamentrail_members",
    "cyclamentrail_instances",
];

#[test]
fn metrics_page_current() -> Result<()> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let current = cyclamentrail::metrics_page();
    if std::env::var_os("UPDATE_PAGES").is_some() {
        std::fs::write(&path, &current)?;
    }
    let committed = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(committed, current, "run this test with UPDATE_PAGES=1");
    Ok(())
}

async fn scrape(site: &Site) -> Result<String> {
    let operators = site.entries[0].address("operators")?;
    let request = Request::builder()
        .uri(format!("http://{operators}/metrics"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::default())?;
    let response = site.client.send(request).await?;
    Ok(String::from_utf8(response.body.to_vec())?)
}

fn catalogued(name: &str) -> Option<&'static Metric> {
    METRICS.iter().find(|metric| metric.name == name)
}

/// Returns the kind of each exported metric by name.
fn exported_kinds(text: &str) -> BTreeMap<String, String> {
    text.lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split_once(' '))
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect()
}

/// Returns the label names of each exported metric, without `le`, the label of histogram buckets.
fn exported_labels(text: &str) -> BTreeMap<String, BTreeSet<String>> {
    let mut labels: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((name, rest)) = line.split_once('{') else {
            continue;
        };
        let name = ["_bucket", "_sum", "_count"]
            .iter()
            .find_map(|suffix| name.strip_suffix(suffix))
            .unwrap_or(name);
        let names = rest
            .split('}')
            .next()
            .unwrap_or_default()
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .map(|(label, _)| label.to_owned())
            .filter(|label| label != "le");
        labels.entry(name.to_owned()).or_default().extend(names);
    }
    labels
}

#[tokio::test]
async fn exported_metrics_catalogued() -> Result<()> {
    let site = Site::builder().entries(1).instances(2).start().await?;
    site.call(0, "checks", "call").await?;
    let operators = site.entries[0].address("operators")?;
    site.client.get(operators, "/state").await?;
    let text = scrape(&site).await?;
    let exported = exported_kinds(&text);
    for (name, kind) in &exported {
        let metric = catalogued(name).unwrap_or_else(|| panic!("{name} is not on the page"));
        assert_eq!(kind, metric.kind.as_str(), "{name}");
    }
    for name in ALWAYS_EXPORTED {
        assert!(exported.contains_key(name), "{name} in {exported:?}");
    }
    for (name, names) in exported_labels(&text) {
        let metric = catalogued(&name).unwrap_or_else(|| panic!("{name} is not on the page"));
        let allowed = metric.labels.iter().map(|&label| label.to_owned());
        assert!(
            names.is_subset(&allowed.collect()),
            "{name} has labels {names:?}"
        );
    }
    Ok(())
}

#[tokio::test]
async fn unknown_services_unlabelled() -> Result<()> {
    let site = Site::builder().entries(1).instances(2).start().await?;
    site.call(0, "checks", "call").await?;
    let before = scrape(&site).await?.lines().count();
    for number in 0..50 {
        let service = format!("unknown-{number}");
        site.call(0, &service, &format!("call-{number}")).await?;
    }
    let after = scrape(&site).await?;
    assert!(!after.contains("unknown-"), "{after}");
    let added = after.lines().count() - before;
    assert!(added < 50, "{added} new lines");
    Ok(())
}
