//! Fleets that follow from prefixes of the log, folded once each by the product's code.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use cyclamentrail_core::{
    Applied, Fleet, Instance, InstanceState, LeaveReason, Record, RecordBody, RecordId,
};

use crate::fact::Logged;
use crate::fault::Fault;
use crate::site;

/// First sequence number of copies that count as records of their own.
const COPY_SEQUENCE: u64 = 1_000;

/// Keeps the fleet of each prefix.
#[derive(Debug)]
pub(crate) struct Folds {
    start: Rc<Fleet>,
    fault: Option<Fault>,
    known: RefCell<HashMap<Vec<Logged>, (Rc<Fleet>, bool)>>,
}

impl Folds {
    /// Creates the folds of a site; the fault changes what is fed to them.
    pub(crate) fn new(members: u8, lease: u8, fault: Option<Fault>) -> Self {
        Self {
            start: Rc::new(site::fleet(members, lease)),
            fault,
            known: RefCell::default(),
        }
    }

    /// Returns the fleet that follows from a log.
    pub(crate) fn fleet(&self, log: &[Logged]) -> Rc<Fleet> {
        self.fold(log).0
    }

    /// Returns whether the last record of a log took effect.
    pub(crate) fn accepts(&self, log: &[Logged]) -> bool {
        self.fold(log).1
    }

    fn fold(&self, log: &[Logged]) -> (Rc<Fleet>, bool) {
        let Some((last, before)) = log.split_last() else {
            return (Rc::clone(&self.start), true);
        };
        if let Some(known) = self.known.borrow().get(log) {
            return known.clone();
        }
        let mut fleet = Fleet::clone(&self.fold(before).0);
        let accepted = self.feed(&mut fleet, last);
        let folded = (Rc::new(fleet), accepted);
        self.known.borrow_mut().insert(log.to_vec(), folded.clone());
        folded
    }

    fn feed(&self, fleet: &mut Fleet, logged: &Logged) -> bool {
        let mut record = logged.record();
        self.alter(fleet, &mut record);
        let at_ms = u64::from(logged.at);
        let applied = fleet.apply(fleet.next_offset(), at_ms, &record);
        if self.fault == Some(Fault::NoBarrier) {
            release_all(fleet, at_ms);
        }
        applied == Applied::Accepted
    }

    fn alter(&self, fleet: &Fleet, record: &mut Record) {
        let Some(fault) = self.fault else { return };
        if fault == Fault::NoIdCheck {
            let fresh = COPY_SEQUENCE + fleet.next_offset().get();
            record.id = RecordId::new(fresh_author(fleet, record), fresh);
        }
        let current = fleet
            .instance(&site::instance())
            .map(|instance| instance.version);
        match (fault, &mut record.body) {
            (
                Fault::NoVersionCheck,
                Some(
                    RecordBody::DrainBegun { presumes, .. }
                    | RecordBody::InstanceAssigned { presumes, .. }
                    | RecordBody::InstanceBooted { presumes, .. },
                ),
            ) => *presumes = current.unwrap_or(*presumes),
            (Fault::NoVersionCheck, Some(RecordBody::DrainReleased { drain, .. })) => {
                *drain = current.unwrap_or(*drain);
            }
            (Fault::NoVersionCheck, Some(RecordBody::SettingsChanged { presumes, .. })) => {
                *presumes = fleet
                    .settings()
                    .map_or(*presumes, |settings| settings.version);
            }
            (Fault::NoTermCheck, Some(RecordBody::DutyClaimed { presumes })) => {
                *presumes = fleet.duty().term;
            }
            (
                Fault::NoBootRule,
                Some(RecordBody::EntryLeft {
                    incarnation,
                    reason: reason @ LeaveReason::Evicted { .. },
                }),
            ) => {
                *reason = LeaveReason::Stopped;
                record.id = RecordId::new(*incarnation, COPY_SEQUENCE);
            }
            _ => {}
        }
    }
}

/// Returns the author, or one that was never seen when the author has left and joins again.
fn fresh_author(fleet: &Fleet, record: &Record) -> cyclamentrail_core::Incarnation {
    let author = record.id.author;
    let joins = matches!(record.body, Some(RecordBody::EntryJoined { .. }));
    if joins && fleet.member(author).is_none() && fleet.has_left(author) {
        return cyclamentrail_core::Incarnation::new(COPY_SEQUENCE);
    }
    author
}

fn release_all(fleet: &mut Fleet, at_ms: u64) {
    let Some(Instance {
        state: InstanceState::Draining {
            drain, awaiting, ..
        },
        ..
    }) = fleet.instance(&site::instance()).cloned()
    else {
        return;
    };
    for member in awaiting {
        let sequence = COPY_SEQUENCE + fleet.next_offset().get();
        let record = Record {
            format: 1,
            id: RecordId::new(member, sequence),
            body: Some(RecordBody::DrainReleased {
                instance: site::instance(),
                drain,
            }),
        };
        fleet.apply(fleet.next_offset(), at_ms, &record);
    }
}
