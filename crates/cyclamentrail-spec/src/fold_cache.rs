//! Cache of the fleets that result from folding prefixes of the log with the core crate's code.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use cyclamentrail_core::{
    Fleet, FoldOutcome, Incarnation, Instance, InstanceState, LeaveReason, Record, RecordBody,
    RecordId,
};

use crate::fault::Fault;
use crate::record::ModelRecord;
use crate::site;

/// Smallest sequence number that is given to records altered by a [`Fault`]; no entry of a model
/// writes that many records.
const FIRST_FRESH_SEQUENCE: u64 = 1_000;

/// Folds logs and keeps the result of each, so that each log is folded once.
#[derive(Debug)]
pub(crate) struct FoldCache {
    initial: Rc<Fleet>,
    fault: Option<Fault>,
    results: RefCell<HashMap<Vec<ModelRecord>, FoldResult>>,
}

/// Result of folding a log.
#[derive(Debug, Clone)]
struct FoldResult {
    fleet: Rc<Fleet>,
    /// Whether the last record of the log took effect.
    accepted: bool,
}

impl FoldCache {
    /// Creates a cache whose logs follow on [`site::initial_fleet`]; `fault` is the rule to omit.
    pub(crate) fn new(members: u8, lease_ticks: u8, fault: Option<Fault>) -> Self {
        Self {
            initial: Rc::new(site::initial_fleet(members, lease_ticks)),
            fault,
            results: RefCell::default(),
        }
    }

    /// Returns the fleet that results from folding a log.
    pub(crate) fn fleet_after(&self, log: &[ModelRecord]) -> Rc<Fleet> {
        self.fold(log).fleet
    }

    /// Returns whether the last record of a log took effect.
    pub(crate) fn is_last_accepted(&self, log: &[ModelRecord]) -> bool {
        self.fold(log).accepted
    }

    /// Folds a log on top of the cached result of its prefix.
    fn fold(&self, log: &[ModelRecord]) -> FoldResult {
        let Some((last, before)) = log.split_last() else {
            return FoldResult {
                fleet: Rc::clone(&self.initial),
                accepted: true,
            };
        };
        if let Some(known) = self.results.borrow().get(log) {
            return known.clone();
        }
        let mut fleet = Fleet::clone(&self.fold(before).fleet);
        let accepted = self.apply(&mut fleet, *last);
        let folded = FoldResult {
            fleet: Rc::new(fleet),
            accepted,
        };
        self.results
            .borrow_mut()
            .insert(log.to_vec(), folded.clone());
        folded
    }

    /// Folds a record, altered as the fault requires, and returns whether it took effect.
    fn apply(&self, fleet: &mut Fleet, entry_record: ModelRecord) -> bool {
        let mut record = entry_record.record();
        self.apply_fault(fleet, &mut record);
        let at_ms = u64::from(entry_record.tick) * site::TICK_MS;
        let outcome = fleet.fold_record(fleet.next_offset(), at_ms, &record);
        if self.fault == Some(Fault::NoBarrier) {
            release_all_awaited(fleet, at_ms);
        }
        outcome == FoldOutcome::Accepted
    }

    /// Changes a record so that the rule that the fault omits can't reject it.
    fn apply_fault(&self, fleet: &Fleet, record: &mut Record) {
        match self.fault {
            Some(Fault::NoIdCheck) => assign_fresh_id(fleet, record),
            Some(Fault::NoVersionCheck) => presume_current_version(fleet, record),
            Some(Fault::NoTermCheck) => presume_current_term(fleet, record),
            Some(Fault::NoBootFence | Fault::NewestMembersOnly) => replace_eviction_by_stop(record),
            _ => {}
        }
    }
}

/// Gives a record an id that was never used, so that a copy takes effect as a new record.
fn assign_fresh_id(fleet: &Fleet, record: &mut Record) {
    let sequence = FIRST_FRESH_SEQUENCE + fleet.next_offset().get();
    record.id = RecordId::new(accepted_author(fleet, record), sequence);
}

/// Makes a record presume the version of the instance or of the settings that is in force.
fn presume_current_version(fleet: &Fleet, record: &mut Record) {
    let instance = fleet.instance(&site::instance_name());
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

/// Makes a claim of the fleet duty presume the term that is in force.
fn presume_current_term(fleet: &Fleet, record: &mut Record) {
    if let Some(RecordBody::DutyClaimed { presumes }) = &mut record.body {
        *presumes = fleet.duty().term;
    }
}

/// Replaces an eviction by a record with which the evicted entry itself stops in order.
fn replace_eviction_by_stop(record: &mut Record) {
    if let Some(RecordBody::EntryLeft {
        incarnation,
        reason: reason @ LeaveReason::Evicted { .. },
    }) = &mut record.body
    {
        *reason = LeaveReason::Stopped;
        record.id = RecordId::new(*incarnation, FIRST_FRESH_SEQUENCE);
    }
}

/// Returns the author of a record, or an unused incarnation when the author has left and joins
/// again: the fleet accepts no second join of an incarnation that has left.
fn accepted_author(fleet: &Fleet, record: &Record) -> Incarnation {
    let author = record.id.author;
    let joins = matches!(record.body, Some(RecordBody::EntryJoined { .. }));
    if joins && fleet.member(author).is_none() && fleet.has_left(author) {
        return Incarnation::new(FIRST_FRESH_SEQUENCE);
    }
    author
}

/// Releases the instance for all members that its drain awaits.
fn release_all_awaited(fleet: &mut Fleet, at_ms: u64) {
    let Some(Instance {
        state: InstanceState::Draining {
            drain, awaiting, ..
        },
        ..
    }) = fleet.instance(&site::instance_name()).cloned()
    else {
        return;
    };
    for member in awaiting {
        let sequence = FIRST_FRESH_SEQUENCE + fleet.next_offset().get();
        let record = Record {
            format: 1,
            id: RecordId::new(member, sequence),
            body: Some(RecordBody::DrainReleased {
                instance: site::instance_name(),
                drain,
            }),
        };
        fleet.fold_record(fleet.next_offset(), at_ms, &record);
    }
}
