//! Records that the store refuses for their content, and will refuse again.
//!
//! A job whose own record is refused isn't stored, and its callers are rejected. An accepted job whose
//! progress can't be stored can't go on: what it starts might be started again by a successor. It is
//! shown as failed, and from then on only its own fields are stored.

use std::collections::BTreeSet;

use cyclamentrail_core::WorkerId;

use super::{Commit, Shard};
use crate::job::JobKey;
use crate::record::{LEASE_PREFIX, PROGRESS_SUFFIX};
use crate::record_parts::PartNumber;

impl Shard {
    /// Takes the jobs whose records were refused out of a commit, whose other records are stored.
    ///
    /// Ends of runs are acknowledged with a later commit only, because a refused record may have told
    /// them. A worker whose lease record isn't deleted gets no lease.
    pub fn refuse_records(&mut self, commit: &mut Commit, refused_keys: &[String]) {
        if refused_keys.is_empty() {
            return;
        }
        commit.ended_sequences.clear();
        self.has_unmatched_ends = true;
        self.keep_refused_lease_records(commit, refused_keys);
        let jobs: BTreeSet<JobKey> = refused_keys
            .iter()
            .filter_map(|key| self.job_of_record(key))
            .collect();
        for key in jobs {
            commit.job_states.retain(|(job, _)| *job != key);
            let id = &self.jobs[key].id;
            let is_unstored = refused_keys.iter().any(|refused| refused == id.as_str());
            if is_unstored && self.unstored.contains_key(&key) {
                let removed = self.remove_unstored(key, 0, &mut commit.effects);
                if let Some(job) = removed {
                    self.delete_records(&job);
                }
            } else {
                self.fail_unstorable(key);
            }
        }
    }

    /// Keeps the lease records whose deletion was refused.
    fn keep_refused_lease_records(&mut self, commit: &mut Commit, refused_keys: &[String]) {
        for key in refused_keys {
            if let Some(id) = key.strip_prefix(LEASE_PREFIX) {
                let worker = WorkerId::from(id);
                commit.reopened_workers.retain(|known| *known != worker);
                self.lease_records.insert_found(worker);
            }
        }
    }

    /// Returns the job that a record's key belongs to.
    fn job_of_record(&self, key: &str) -> Option<JobKey> {
        let part = || PartNumber::parse(key).map(|(id, _)| id);
        let id = key.strip_suffix(PROGRESS_SUFFIX).or_else(part);
        self.job_keys.get(id.unwrap_or(key)).copied()
    }

    /// Fails an accepted job whose progress can't be stored.
    fn fail_unstorable(&mut self, key: JobKey) {
        self.unstored.remove(&key);
        self.stores_in_flight.remove(&key);
        let job = &mut self.jobs[key];
        if job.is_unstorable {
            // Not even its own fields can be stored; callers are shown what is.
            return;
        }
        job.is_unstorable = true;
        if !job.state().is_final() {
            job.is_failed = true;
        }
        self.stop_job_runs(key);
        self.dirty.insert(key);
    }
}
