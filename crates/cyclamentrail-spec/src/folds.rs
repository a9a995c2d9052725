//! Fleets that follow from prefixes of the log, folded once each by the product's code.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use cyclamentrail_core::{
    Fleet, FoldOutcome, Incarnation, Instance, InstanceState, LeaveReason, Record, RecordBody,
    RecordId,
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
    known: RefCell<HashMap<Vec<Logged>, Folded>>,
}

/// What folding a log gave.
#[derive(Debug, Clone)]
struct Folded {
    fleet: Rc<Fleet>,
    /// Whether its last record took effect.
    accepted: bool,
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
        self.fold(log).fleet
    }

    /// Returns whether the last record of a log took effect.
    pub(crate) fn accepts(&self, log: &[Logged]) -> bool {
        self.fold(log).accepted
    }

    fn fold(&self, log: &[Logged]) -> Folded {
        let Some((last, before)) = log.split_last() else {
            return Folded {
                fleet: Rc::clone(&self.start),
                accepted: true,
            };
        };
        if let Some(known) = self.known.borrow().get(log) {
            return known.clone();
        }
        let mut fleet = Fleet::clone(&self.fold(before).fleet);
        let accepted = self.feed(&mut fleet, *last);
        let folded = Folded {
            fleet: Rc::new(fleet),
            accepted,
        };
        self.known.borrow_mut().insert(log.to_vec(), folded.clone());
        folded
    }

    fn feed(&self, fleet: &mut Fleet, logged: Logged) -> bool {
        let mut record = logged.record();
        self.alter(fleet, &mut record);
        let at_ms = u64::from(logged.at) * site::TICK_MS;
        let outcome = fleet.fold_record(fleet.next_offset(), at_ms, &record);
        if self.fault == Some(Fault::NoBarrier) {
            release_all(fleet, at_ms);
        }
        outcome == FoldOutcome::Accepted
    }

    fn alter(&self, fleet: &Fleet, record: &mut Record) {
        match self.fault {
            Some(Fault::NoIdCheck) => renew_id(fleet, record),
            Some(Fault::NoVersionCheck) => presume_current(fleet, record),
            Some(Fault::NoTermCheck) => presume_term(fleet, record),
            Some(Fault::NoBootRule | Fault::NoMemberSets) => stop_evicted(record),
            _ => {}
        }
    }
}

/// Makes a copy count as a record of its own.
fn renew_id(fleet: &Fleet, record: &mut Record) {
    let sequence = COPY_SEQUENCE + fleet.next_offset().get();
    record.id = RecordId::new(fresh_author(fleet, record), sequence);
}

/// Makes a record presume whatever is in force.
fn presume_current(fleet: &Fleet, record: &mut Record) {
    let instance = fleet.instance(&site::instance());
    let version = instance.map(|instance| instance.version);
    match &mut record.body {
        Some(
            RecordBody::DrainBegun { presumes, .. }
            | RecordBody::DrainReleased {
                drain: presumes, ..
            }
            | RecordBody::InstanceAssigned { presumes, .. }
            | RecordBody::InstanceBooted { presumes, .. },
        ) => *presumes = version.unwrap_or(*presumes),
        Some(RecordBody::SettingsChanged { presumes, .. }) => {
            let settings = fleet.settings();
            *presumes = settings.map_or(*presumes, |settings| settings.version);
        }
        _ => {}
    }
}

/// Makes a claim of the duty presume the term in force.
fn presume_term(fleet: &Fleet, record: &mut Record) {
    if let Some(RecordBody::DutyClaimed { presumes }) = &mut record.body {
        *presumes = fleet.duty().term;
    }
}

/// Makes an eviction look like an entry that stopped in order.
fn stop_evicted(record: &mut Record) {
    if let Some(RecordBody::EntryLeft {
        incarnation,
        reason: reason @ LeaveReason::Evicted { .. },
    }) = &mut record.body
    {
        *reason = LeaveReason::Stopped;
        record.id = RecordId::new(*incarnation, COPY_SEQUENCE);
    }
}

/// Returns the author, or one that was never seen when the author has left and joins again.
fn fresh_author(fleet: &Fleet, record: &Record) -> Incarnation {
    let author = record.id.author;
    let joins = matches!(record.body, Some(RecordBody::EntryJoined { .. }));
    if joins && fleet.member(author).is_none() && fleet.has_left(author) {
        return Incarnation::new(COPY_SEQUENCE);
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
        fleet.fold_record(fleet.next_offset(), at_ms, &record);
    }
}
