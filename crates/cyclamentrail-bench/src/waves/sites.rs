//! Settings of the measured sites: the two current ones and one of the size to design for.

use anyhow::{Context, Result};
use cyclamentrail_core::merge_documents;
use serde_json::{Value, json};

/// Serving pools among the 214 pools of the design site.
const SERVING_POOLS: usize = 210;
/// Instances of each serving pool.
const POOL_INSTANCES: usize = 6;
/// Instances that the contract of each serving pool promises.
const POOL_PROMISED: usize = 4;
/// Spare pools of the design site.
const SPARE_POOLS: usize = 4;
/// Instances of each spare pool.
const SPARE_INSTANCES: usize = 35;
/// Availability zones of the design site.
const ZONES: usize = 7;
/// Instances in each rack.
const RACK_INSTANCES: usize = 4;

/// Returns the settings document of a current site, merged with the base settings.
///
/// # Errors
///
/// Returns an error when a file in `sites/` is missing or isn't valid JSON.
pub fn current_site(site: &str) -> Result<Value> {
    let read = |file: &str| -> Result<Value> {
        let path = format!("{}/../../sites/{file}.json", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).with_context(|| path.clone())?;
        Ok(serde_json::from_str(&text)?)
    };
    Ok(merge_documents(read("base")?, &read(site)?))
}

/// Returns the settings document of the design site: 1,400 instances, 214 pools, 7 zones.
///
/// Zones, pools and services are generated; all other settings are those of the site Garza.
///
/// # Errors
///
/// Returns an error when the settings of Garza can't be read.
pub fn design_site() -> Result<Value> {
    let mut document = current_site("garza")?;
    let total = SERVING_POOLS * POOL_INSTANCES + SPARE_POOLS * SPARE_INSTANCES;
    let names: Vec<String> = (0..total).map(|number| format!("w{number:04}")).collect();
    let mut zones = json!({});
    for (rack, chunk) in names.chunks(RACK_INSTANCES).enumerate() {
        let zone = format!("z{}", rack % ZONES);
        if zones.get(&zone).is_none() {
            zones[&zone] = json!({"zone_delay_us": 1000, "caller_delay_us": 3000, "racks": {}});
        }
        zones[&zone]["racks"][format!("r{rack:03}")] = json!(chunk);
    }
    let mut pools = json!({});
    let mut services = json!({});
    for pool in 0..SERVING_POOLS {
        let held: Vec<&String> = (0..POOL_INSTANCES)
            .map(|turn| &names[turn * SERVING_POOLS + pool])
            .collect();
        pools[format!("p{pool:03}")] = json!({"instances": held});
        services[format!("s{pool:03}")] = json!({
            "pool": format!("p{pool:03}"),
            "contract": {"promised_instances": POOL_PROMISED, "budget_instance_s": 4800,
                         "window_s": 86400, "survives": "rack"},
            "default_deadline_ms": 5000, "mean_work_ms": 200.0, "mean_rate_per_s": 50.0,
        });
    }
    let spare = &names[SERVING_POOLS * POOL_INSTANCES..];
    for (pool, held) in spare.chunks(SPARE_INSTANCES).enumerate() {
        pools[format!("spare{pool}")] = json!({"instances": held, "spare": true});
    }
    let entries = document["entries"].as_object_mut();
    for (number, entry) in entries.into_iter().flatten().enumerate() {
        entry.1["zone"] = json!(format!("z{}", number % ZONES));
    }
    document["zones"] = zones;
    document["pools"] = pools;
    document["services"] = services;
    Ok(document)
}
