//! State dump of the control thread.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::Actor;
use crate::clock;

/// Number of recent decisions about requests in a state dump.
const DUMPED_DECISIONS: usize = 200;

impl Actor {
    /// Returns the state dump as a JSON document; all parts are of the same moment.
    pub(super) fn dump(&self) -> Value {
        let links: BTreeMap<&str, Value> = self
            .links
            .iter()
            .map(|(name, link)| {
                let state = link.state();
                let value = json!({
                    "address": link.target().address,
                    "boot": link.target().boot,
                    "in_flight": state.in_flight(),
                    "limit": state.limit(clock::now_us()),
                    "ejected": state.health().is_ejected(),
                });
                (name.as_str(), value)
            })
            .collect();
        json!({
            "entry": self.parts.identity.entry,
            "incarnation": self.parts.identity.incarnation,
            "settings_version": self.parts.shared.load().settings_version,
            "may_dispatch": self.parts.shared.may_dispatch(),
            "log_reached": self.membership.reaches_log(clock::now_ms())
                && !self.parts.control.health().is_down(),
            "pending_records": self.pending.len(),
            "claims": self.claim_table.dump(),
            "snapshot_offset": self.snapshot.next_uncovered,
            "in_force": self.settings_status(),
            "fleet": self.fleet,
            "links": links,
            "decisions": self.parts.shared.request_log().recent(DUMPED_DECISIONS).iter().map(Value::from).collect::<Vec<_>>(),
        })
    }
}
