//! Checks of what single processes learn: entries, the platform, secrets and logs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::settings::{Fault, SecretSource, Settings};

pub(super) fn check(settings: &Settings, faults: &mut Vec<Fault>) {
    check_entries(settings, faults);
    check_addresses(settings, faults);
    check_texts(settings, faults);
}

fn check_entries(settings: &Settings, faults: &mut Vec<Fault>) {
    for (entry, entry_settings) in &settings.entries {
        if !settings.zones.contains_key(&entry_settings.zone) {
            faults.push(Fault::new(
                format!("/entries/{entry}/zone"),
                format!("zone \"{}\" does not exist", entry_settings.zone),
                "a name under zones",
                "correct the name, or add the zone",
            ));
        }
    }
}

fn check_addresses(settings: &Settings, faults: &mut Vec<Fault>) {
    let mut user_of: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let platform = &settings.platform;
    let mut users = vec![
        (String::from("/platform/log_address"), platform.log_address),
        (
            String::from("/platform/list_address"),
            platform.list_address,
        ),
    ];
    for (entry, listed) in &settings.entries {
        for (field, address) in [
            ("caller_address", listed.caller_address),
            ("peer_address", listed.peer_address),
            ("operator_address", listed.operator_address),
        ] {
            users.push((format!("/entries/{entry}/{field}"), address));
        }
    }
    for (path, address) in users {
        if address.port() == 0 {
            continue;
        }
        if let Some(other) = user_of.get(&address) {
            faults.push(Fault::new(
                path,
                format!("{address} is the address of {other} too"),
                "an address that nothing else uses; port 0 takes a free one",
                "give one of the two another port",
            ));
        } else {
            user_of.insert(address, path);
        }
    }
}

fn check_texts(settings: &Settings, faults: &mut Vec<Fault>) {
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
            faults.push(Fault::new(
                path.to_owned(),
                String::from("the text is empty"),
                "a text that isn't empty",
                "fill it in; docs/SETTINGS.md says what it means",
            ));
        }
    }
}
