//! Folds log records into the fleet.

use std::sync::Arc;

use super::{AcceptedSettings, Duty, Fleet, FoldContext, Member, Rejection, RejectionKind};
use crate::id::{Incarnation, Offset, RecordId, Term, Version};
use crate::record::{RECORD_FORMAT, Record, RecordBody};
use crate::settings::{load_settings, merge_documents};

/// Outcome of folding a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The fleet's state includes the record's effect.
    Accepted,
    /// The record has no effect, for the given reason.
    Rejected(Rejection),
}

impl Fleet {
    /// Folds the record at the next offset; `appended_ms` is the log's time stamp on it.
    ///
    /// A record at any other offset is rejected without changing the state: an earlier offset was
    /// already folded, and a later one requires the records before it.
    pub fn fold_record(
        &mut self,
        offset: Offset,
        appended_ms: u64,
        record: &Record,
    ) -> FoldOutcome {
        let result = self
            .advance_offset(offset, appended_ms)
            .and_then(|()| self.fold(offset, record));
        if may_change_capacity(record) {
            self.update_accounts();
        }
        match result {
            Ok(()) => FoldOutcome::Accepted,
            Err(kind) => FoldOutcome::Rejected(Rejection {
                id: record.id,
                kind,
            }),
        }
    }

    /// Charges the availability budgets up to the clock and sets what is missing from now on.
    fn update_accounts(&mut self) {
        if let Some(accepted) = &self.settings {
            let settings = Arc::clone(&accepted.settings);
            self.waves
                .update_accounts(self.clock_ms, &settings, self.instances.iter());
        }
    }

    /// Skips a record that can't be decoded; every entry skips the same records.
    ///
    /// # Errors
    ///
    /// Returns [`RejectionKind::OutOfOrder`] if the record isn't at the next offset.
    pub fn skip_record(&mut self, offset: Offset, appended_ms: u64) -> Result<(), RejectionKind> {
        self.advance_offset(offset, appended_ms)
    }

    fn advance_offset(&mut self, offset: Offset, appended_ms: u64) -> Result<(), RejectionKind> {
        if offset != self.next_offset {
            return Err(RejectionKind::OutOfOrder {
                offset,
                expected: self.next_offset,
            });
        }
        self.next_offset = offset.next();
        self.clock_ms = self.clock_ms.max(appended_ms);
        Ok(())
    }

    fn fold(&mut self, offset: Offset, record: &Record) -> Result<(), RejectionKind> {
        let author = record.id.author;
        let is_member = self.check_sequence(record.id)?;
        let body = self.supported_body(record)?;
        let settings = self
            .settings
            .as_ref()
            .map(|accepted| Arc::clone(&accepted.settings));
        let context = FoldContext {
            offset,
            clock_ms: self.clock_ms,
            author,
            settings: settings.as_deref(),
        };
        if let RecordBody::EntryJoined {
            entry,
            zone,
            peer_address,
            supports_format,
        } = body
        {
            let joining = Member {
                entry: entry.clone(),
                zone: zone.clone(),
                peer_address: *peer_address,
                supports_format: *supports_format,
                last_sequence: record.id.sequence,
                folded_offset: offset,
            };
            return self.fold_joined(offset, author, joining);
        }
        if !is_member {
            return Err(RejectionKind::NotMember { author });
        }
        match body {
            RecordBody::EntryJoined { .. } => Err(RejectionKind::Duplicate),
            RecordBody::EntryAlive => Ok(()),
            RecordBody::EntryLeft {
                incarnation,
                reason,
            } => self.fold_left(offset, author, *incarnation, reason),
            RecordBody::SettingsChanged {
                presumes,
                patch,
                operator,
            } => self.fold_settings(offset, *presumes, patch, operator),
            RecordBody::DutyClaimed { presumes } => self.fold_duty(author, *presumes),
            RecordBody::DrainBegun {
                instance,
                presumes,
                reason,
            } => self.fold_drain(offset, instance, *presumes, reason),
            RecordBody::DrainReleased { instance, drain } => {
                self.fold_release(author, instance, *drain)
            }
            RecordBody::InstanceBooted {
                instance,
                presumes,
                boot,
            } => self.fold_boot(instance, *presumes, *boot),
            RecordBody::Claim(record) => self.claims.fold(&context, record),
            RecordBody::Wave(record) => self.waves.fold(&context, record),
            RecordBody::InstanceAssigned {
                instance,
                presumes,
                pool,
            } => self.fold_assigned(instance, *presumes, pool),
        }
    }

    /// Returns whether the author is a member; rejects a record whose sequence number isn't above
    /// the last one folded from that author.
    fn check_sequence(&mut self, id: RecordId) -> Result<bool, RejectionKind> {
        let Some(member) = self.members.get_mut(&id.author) else {
            return Ok(false);
        };
        if id.sequence <= member.last_sequence {
            return Err(RejectionKind::Duplicate);
        }
        member.last_sequence = id.sequence;
        Ok(true)
    }

    /// Returns the body of a record if every member and this build support its format.
    fn supported_body<'a>(&mut self, record: &'a Record) -> Result<&'a RecordBody, RejectionKind> {
        let agreed = self.agreed_format();
        if record.format > agreed {
            return Err(RejectionKind::FormatTooNew {
                format: record.format,
                agreed,
            });
        }
        self.used_format = self.used_format.max(record.format);
        if record.format > RECORD_FORMAT {
            return Err(RejectionKind::BuildTooOld {
                supports: RECORD_FORMAT,
                used: record.format,
            });
        }
        record.body.as_ref().ok_or(RejectionKind::Malformed)
    }

    fn fold_settings(
        &mut self,
        offset: Offset,
        presumes: Version,
        patch: &serde_json::Value,
        operator: &str,
    ) -> Result<(), RejectionKind> {
        let (current, winner, document) = match &self.settings {
            Some(accepted) => (
                accepted.version,
                accepted.operator.clone(),
                Arc::clone(&accepted.document),
            ),
            None => (Version::default(), String::new(), Arc::default()),
        };
        if presumes != current {
            return Err(RejectionKind::OutdatedVersion {
                presumed: presumes,
                current,
                winner,
            });
        }
        let document = merge_documents(Arc::unwrap_or_clone(document), patch);
        let settings =
            load_settings(&document).map_err(|error| RejectionKind::InvalidSettings {
                problem: error.to_string(),
            })?;
        self.check_removals(&settings)?;
        self.sync_instances(&settings);
        self.longest_lease_ms = self
            .longest_lease_ms
            .max(settings.control.dispatch_lease_ms());
        self.settings = Some(AcceptedSettings {
            version: current.next(),
            offset,
            operator: operator.to_owned(),
            document: Arc::new(document),
            settings: Arc::new(settings),
        });
        Ok(())
    }

    fn fold_duty(&mut self, author: Incarnation, presumes: Term) -> Result<(), RejectionKind> {
        if presumes != self.duty.term {
            return Err(RejectionKind::OutdatedTerm {
                presumed: presumes,
                current: self.duty.term,
            });
        }
        self.duty = Duty {
            term: presumes.next(),
            holder: Some(author),
        };
        Ok(())
    }
}

/// Returns whether a record may change the number of instances that work for a pool.
///
/// Idempotency claims and joining entries never do, so they skip the update of the accounts.
const fn may_change_capacity(record: &Record) -> bool {
    !matches!(
        record.body,
        None | Some(RecordBody::Claim(_) | RecordBody::EntryJoined { .. })
    )
}
