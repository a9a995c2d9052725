//! Site sizes from the current one to the size to design for, with generated settings.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// Period in days in which each instance is maintained once.
const MAINTENANCE_DAYS: u32 = 14;
/// Availability zones of the site.
const ZONES: usize = 7;
/// Instances in each rack.
const RACK_INSTANCES: usize = 4;

/// Size of a site and its number of events per day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSize {
    /// Name in the keys of `bounds.json`, as in `control.today.snapshot_bytes`.
    pub name: &'static str,
    /// Number of worker instances.
    pub workers: u32,
    /// Number of pools, each with one service.
    pub pools: u32,
    /// Settings changes per day.
    pub settings_changes: u32,
    /// Restarts or replacements of entries per day.
    pub entry_restarts: u32,
    /// Instance failures per day.
    pub instance_failures: u32,
}

impl ControlSize {
    /// Measured sizes in ascending order; the last one is the size to design for.
    pub const ALL: [Self; 4] = [
        Self::new("today", 49, 5, 20, 3, 1),
        Self::new("quarter", 350, 54, 143, 22, 3),
        Self::new("half", 700, 107, 285, 43, 6),
        Self::new("letter", 1400, 214, 570, 85, 12),
    ];

    const fn new(
        name: &'static str,
        workers: u32,
        pools: u32,
        settings_changes: u32,
        entry_restarts: u32,
        instance_failures: u32,
    ) -> Self {
        Self {
            name,
            workers,
            pools,
            settings_changes,
            entry_restarts,
            instance_failures,
        }
    }

    /// Returns the number of instances that drain per day.
    #[must_use]
    pub const fn drains(&self) -> u32 {
        self.workers.div_ceil(MAINTENANCE_DAYS)
    }

    /// Returns the size in bytes of the platform's instance list as JSON.
    pub(crate) fn list_bytes(&self) -> u64 {
        let instances: Vec<Value> = (0..self.workers)
            .map(|number| {
                json!({"name": instance(number), "address": "10.0.100.100:8000",
                       "boot": 1, "state": "live"})
            })
            .collect();
        json!({"instances": instances}).to_string().len() as u64
    }

    /// Returns a settings document of this size with `entries` entries, merged with the base
    /// settings.
    #[must_use]
    pub fn document(&self, entries: u64) -> Value {
        let names: Vec<String> = (0..self.workers).map(instance).collect();
        let mut zones: BTreeMap<String, Value> = BTreeMap::new();
        for (number, zone) in names.chunks(names.len().div_ceil(ZONES)).enumerate() {
            let racks: BTreeMap<String, &[String]> = zone
                .chunks(RACK_INSTANCES)
                .enumerate()
                .map(|(rack, instances)| (format!("zone-{number}-rack-{rack}"), instances))
                .collect();
            let settings = json!({"zone_delay_us": 500, "caller_delay_us": 3000, "racks": racks});
            zones.insert(format!("zone-{number}"), settings);
        }
        let mut pools: BTreeMap<String, Value> = BTreeMap::new();
        let mut services: BTreeMap<String, Value> = BTreeMap::new();
        let count = self.pools as usize;
        for number in 0..count {
            let instances: Vec<&String> = names.iter().skip(number).step_by(count).collect();
            pools.insert(pool(number), json!({"instances": instances}));
            services.insert(service(number), service_document(number));
        }
        let entries: BTreeMap<String, Value> = (0..entries)
            .map(|number| {
                let entry = json!({
                    "zone": "zone-0", "caller_address": format!("10.0.0.{number}:8001"),
                    "peer_address": format!("10.0.0.{number}:8101"),
                    "operator_address": format!("10.0.0.{number}:8201"),
                });
                (format!("entry-{number}"), entry)
            })
            .collect();
        let site = json!({
            "site": "bench", "region": "bench", "zones": zones, "pools": pools,
            "services": services, "entries": entries,
            "cost_weights": {"buffer": 1.0, "roll_out": 1.0, "moves": 1.0},
        });
        let base = include_str!("../../../../sites/base.json");
        let base: Value = serde_json::from_str(base).unwrap_or_default();
        cyclamentrail_core::merge_documents(base, &site)
    }
}

/// Returns the name of the worker instance with a number.
pub(super) fn instance(number: u32) -> String {
    format!("worker-{number:04}")
}

/// Returns the name of the service with a number.
pub(super) fn service(number: usize) -> String {
    format!("service-{number:03}")
}

fn pool(number: usize) -> String {
    format!("pool-{number:03}")
}

fn service_document(number: usize) -> Value {
    json!({
        "pool": pool(number),
        "contract": {"promised_instances": 1, "budget_instance_s": 3600,
                     "window_s": 86400, "survives": "instance"},
        "default_deadline_ms": 5000, "mean_work_ms": 5.0, "mean_rate_per_s": 10.0,
    })
}
