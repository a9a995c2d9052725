//! Which queues an owner accepts new jobs of, and what it promises to other owners.

use std::collections::BTreeSet;

use cyclamentrail_core::{RouteName, ServiceName};
use cyclamentrail_jobs::{ConfigurationOrder, QueueAdmission, QueueClosing, QueueGate, QueueId};

const NOBODY: BTreeSet<ServiceName> = BTreeSet::new();

fn queue(prefix: &str) -> QueueId {
    QueueId {
        host: "h".into(),
        path_prefix: prefix.into(),
    }
}

const fn order(version: u64) -> ConfigurationOrder {
    ConfigurationOrder { version, offset: 0 }
}

fn route() -> RouteName {
    RouteName::from("q")
}

/// Returns the routes of a configuration that gives the queue to the service.
fn here() -> [(RouteName, QueueId); 1] {
    [(route(), queue("/q/"))]
}

/// Returns a gate with an open queue, of the configuration with version 1.
fn open_gate() -> QueueGate {
    let mut gate = QueueGate::default();
    assert!(gate.configure(order(1), here()).is_empty());
    assert_eq!(gate.due_openings(), BTreeSet::from([queue("/q/")]));
    assert!(gate.open(&queue("/q/"), order(1), NOBODY).is_some());
    gate
}

#[test]
fn unopened_accepts_nothing() {
    let mut gate = QueueGate::default();
    assert_eq!(gate.admit(&route(), None), QueueAdmission::NoRoute);
    assert!(gate.configure(order(1), here()).is_empty());
    assert_eq!(gate.admit(&route(), None), QueueAdmission::NotOpen);
    assert_eq!(open_gate().admit(&route(), None), QueueAdmission::Open);
}

/// The owner of the earlier configuration promises to accept nothing, and keeps it after a takeover.
#[test]
fn closing_outlives_owner() {
    let mut gate = open_gate();
    let QueueClosing::Closed(record) = gate.close(&queue("/q/"), order(2)) else {
        panic!("the queue leads elsewhere by version 2");
    };
    assert_eq!(gate.admit(&route(), None), QueueAdmission::NotOpen);
    assert!(gate.is_closed_for(&queue("/q/"), order(2)));
    let mut successor = QueueGate::default();
    assert_eq!(successor.restore(&record).ok(), Some(true));
    assert!(successor.configure(order(1), here()).is_empty());
    assert!(successor.due_openings().is_empty());
    assert!(successor.open(&queue("/q/"), order(1), NOBODY).is_none());
    assert_eq!(successor.admit(&route(), None), QueueAdmission::NotOpen);
    assert!(successor.configure(order(3), here()).is_empty());
    assert_eq!(successor.due_openings().len(), 1);
}

#[test]
fn later_configuration_keeps_queue() {
    let mut gate = open_gate();
    assert!(gate.configure(order(3), here()).is_empty());
    assert_eq!(gate.close(&queue("/q/"), order(2)), QueueClosing::Outdated);
    assert_eq!(gate.admit(&route(), None), QueueAdmission::Open);
}

#[test]
fn left_queue_closed() {
    let mut gate = open_gate();
    assert_eq!(gate.configure(order(2), []).len(), 1);
    assert!(gate.is_closed_for(&queue("/q/"), order(2)));
    assert!(!gate.is_closed_for(&queue("/q/"), order(3)));
    assert!(matches!(
        gate.close(&queue("/q/"), order(3)),
        QueueClosing::Closed(_)
    ));
    assert!(gate.is_closed_for(&queue("/q/"), order(3)));
}

/// A closing that comes while the queue is being opened wins.
#[test]
fn closed_while_opening() {
    let mut gate = QueueGate::default();
    assert!(gate.configure(order(1), here()).is_empty());
    assert!(matches!(
        gate.close(&queue("/q/"), order(2)),
        QueueClosing::Closed(_)
    ));
    assert!(gate.open(&queue("/q/"), order(1), NOBODY).is_none());
}

/// An opening that was begun before a closing ends with it, also if the closing is for an earlier
/// configuration: it may not have met the owner that asks.
#[test]
fn closing_ends_opening() {
    let mut gate = QueueGate::default();
    assert!(gate.configure(order(2), here()).is_empty());
    assert!(gate.configure(order(3), []).is_empty());
    assert!(matches!(
        gate.close(&queue("/q/"), order(1)),
        QueueClosing::Closed(_)
    ));
    assert!(gate.configure(order(4), here()).is_empty());
    assert!(gate.open(&queue("/q/"), order(2), NOBODY).is_none());
    assert_eq!(gate.due_openings().len(), 1);
}

/// Former services are asked after the opening, until they have no jobs of the queue.
#[test]
fn former_services_checked() {
    let mut gate = QueueGate::default();
    let former = BTreeSet::from([ServiceName::from("a")]);
    assert!(gate.configure(order(2), here()).is_empty());
    assert!(gate.open(&queue("/q/"), order(2), former).is_some());
    let QueueAdmission::CheckFormer(checked, opening) = gate.admit(&route(), None) else {
        panic!("the former service has to be asked");
    };
    assert_eq!((checked, opening.order), (queue("/q/"), order(2)));
    assert_eq!(gate.admit(&route(), Some(order(2))), QueueAdmission::Open);
    let earlier = gate.admit(&route(), Some(order(1)));
    assert!(matches!(earlier, QueueAdmission::CheckFormer(..)));
    gate.retain_former(|_, _| false);
    assert_eq!(gate.admit(&route(), None), QueueAdmission::Open);
}

/// A record that can't be read is an error, and tells nothing of the queue.
#[test]
fn unreadable_record_opens_nothing() {
    let mut gate = open_gate();
    let QueueClosing::Closed(mut record) = gate.close(&queue("/q/"), order(2)) else {
        panic!("the queue leads elsewhere by version 2");
    };
    record.value.truncate(3);
    let mut successor = QueueGate::default();
    successor
        .restore(&record)
        .expect_err("the record is cut off");
    assert!(successor.configure(order(1), here()).is_empty());
    assert_eq!(successor.admit(&route(), None), QueueAdmission::NotOpen);
}

/// A configuration that keeps its version and lacks the queue closed it for good, also after it was
/// corrected.
#[test]
fn corrected_configuration_reopens() {
    let mut gate = open_gate();
    let faulty = ConfigurationOrder {
        version: 2,
        offset: 7,
    };
    let corrected = ConfigurationOrder {
        offset: 8,
        ..faulty
    };
    assert_eq!(gate.configure(faulty, []).len(), 1);
    assert!(gate.configure(corrected, here()).is_empty());
    assert_eq!(gate.due_openings().len(), 1);
    assert!(gate.open(&queue("/q/"), corrected, NOBODY).is_some());
}
