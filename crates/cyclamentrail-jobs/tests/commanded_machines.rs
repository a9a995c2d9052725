//! What a holder of the machine duties stores of its commands for its successors.

use std::collections::BTreeSet;

use cyclamentrail_core::InstanceName;
use cyclamentrail_jobs::{CommandedMachines, KeyedRecord};

/// Time for which machines are kept after their last command, in milliseconds.
const KEPT_MS: u64 = 4_500;

fn names(machines: &[&str]) -> BTreeSet<InstanceName> {
    machines.iter().copied().map(InstanceName::from).collect()
}

fn record(holder: &mut CommandedMachines, now_ms: u64, machines: &[&str]) -> bool {
    holder.record(now_ms, names(machines).iter())
}

fn successor(holder: &CommandedMachines, now_ms: u64) -> CommandedMachines {
    let stored = CommandedMachines::read(&[holder.to_record()]);
    let stored = stored.expect("the record can be decoded");
    stored
        .expect("the record is there")
        .keep_for(KEPT_MS, now_ms)
}

#[test]
fn successor_reads_commands() {
    let mut first = CommandedMachines::default().keep_for(KEPT_MS, 0);
    assert!(record(&mut first, 0, &["m1", "m2"]));
    let second = successor(&first, 1_000);
    assert_eq!(second.machines(), names(&["m1", "m2"]));
}

/// A third holder soon after the second still knows the commands of the first.
#[test]
fn earlier_commands_passed_on() {
    let mut first = CommandedMachines::default().keep_for(KEPT_MS, 0);
    record(&mut first, 0, &["m1"]);
    let mut second = successor(&first, 10_000);
    assert!(record(&mut second, 10_200, &["m2"]));
    let third = successor(&second, 500);
    assert_eq!(third.machines(), names(&["m1", "m2"]));
}

#[test]
fn old_commands_dropped() {
    let mut holder = CommandedMachines::default().keep_for(KEPT_MS, 0);
    record(&mut holder, 0, &["m1"]);
    record(&mut holder, KEPT_MS - 1, &["m2"]);
    assert_eq!(holder.machines(), names(&["m1", "m2"]));
    record(&mut holder, KEPT_MS, &["m3"]);
    assert_eq!(holder.machines(), names(&["m2", "m3"]));
}

/// The first append of a holder stores its machines even if there are none; a successor waits with
/// all commands without such a record.
#[test]
fn empty_record_stored_once() {
    let mut holder = CommandedMachines::default().keep_for(KEPT_MS, 0);
    assert!(record(&mut holder, 0, &[]));
    assert!(!record(&mut holder, 200, &[]));
    assert_eq!(successor(&holder, 0).machines(), names(&[]));
    assert!(matches!(CommandedMachines::read(&[]), Ok(None)));
}

#[test]
fn unreadable_record_told() {
    let mut record = CommandedMachines::default().to_record();
    record.value = vec![0xc1];
    let records: [KeyedRecord; 1] = [record];
    CommandedMachines::read(&records).expect_err("the value is no record");
}
