//! Checks of the settings of single processes: entries, the platform's addresses, secrets and logs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::settings::{SecretSource, Settings, SettingsFault};

pub(super) fn check(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    check_entries(settings, faults);
    check_addresses(settings, faults);
    check_required_texts(settings, faults);
}

fn check_entries(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    for (entry, entry_settings) in &settings.entries {
        if !settings.zones.contains_key(&entry_settings.zone) {
            faults.push(SettingsFault::new(
                format!("/entries/{entry}/zone"),
                format!("zone \"{}\" does not exist", entry_settings.zone),
                "a name under zones",
                "correct the name, or add the zone",
            ));
        }
    }
}

fn check_addresses(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let mut path_by_address: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let platform = &settings.platform;
    let mut addresses = vec![
        (String::from("/platform/log_address"), platform.log_address),
        (
            String::from("/platform/list_address"),
            platform.list_address,
        ),
    ];
    for (entry, entry_settings) in &settings.entries {
        for (field, address) in [
            ("caller_address", entry_settings.caller_address),
            ("peer_address", entry_settings.peer_address),
            ("operator_address", entry_settings.operator_address),
        ] {
            addresses.push((format!("/entries/{entry}/{field}"), address));
        }
    }
    for (path, address) in addresses {
        if address.port() == 0 {
            continue;
        }
        if let Some(other) = path_by_address.get(&address) {
            faults.push(SettingsFault::new(
                path,
                format!("{address} is already used by {other}"),
                "an address that nothing else uses; with port 0 the system assigns a free port",
                "change one of the two addresses",
            ));
        } else {
            path_by_address.insert(address, path);
        }
    }
}

fn check_required_texts(settings: &Settings, faults: &mut Vec<SettingsFault>) {
    let (SecretSource::Environment(source) | SecretSource::File(source)) = &settings.token;
    for (path, text) in [
        ("/region", &settings.region),
        (
            "/platform/control_stream",
            &settings.platform.control_stream,
        ),
        ("/log/destination", &settings.log.destination),
        ("/token", source),
    ] {
        if text.trim().is_empty() {
            faults.push(SettingsFault::new(
                path.to_owned(),
                String::from("the text is empty"),
                "a non-empty text",
                "set the value; docs/SETTINGS.md describes it",
            ));
        }
    }
}
