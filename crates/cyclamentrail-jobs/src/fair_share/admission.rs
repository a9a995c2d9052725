//! Admission of a job beside the accepted work of other teams.

use crate::admission::{Admission, AdmissionRequest, Backlog, admit, retry_after_excess_ms};
use crate::effect::RejectReason;

/// Accepted work of a team in a pool, beside that of the other teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamLoad {
    /// Work of the team that is accepted and not done, in milliseconds of a whole worker.
    pub work_ms: u64,
    /// Weight of the team, in thousandths.
    pub weight_milli: u64,
    /// Weights of all teams with work in the pool, this one included, in thousandths.
    pub total_weight_milli: u64,
    /// Time until the team may send another job within its rate, in milliseconds; 0 if it may now.
    pub rate_wait_ms: u64,
}

/// Decision on a submitted job of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TeamAdmission {
    /// The job is accepted.
    Accept {
        /// Expected wait of the job, in milliseconds.
        wait_ms: u64,
    },
    /// The job is rejected.
    Reject {
        /// [`RejectReason::Overload`] or [`RejectReason::OverRate`].
        reason: RejectReason,
        /// Expected wait that the decision is based on, in milliseconds.
        wait_ms: u64,
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
}

impl TeamLoad {
    /// Returns the time in milliseconds that the team's work takes in the team's weighted part of a
    /// pool of `workers`; `u64::MAX` without workers.
    #[must_use]
    pub fn wait_ms(&self, workers: u64) -> u64 {
        let weighted_work = u128::from(self.work_ms) * u128::from(self.total_weight_milli);
        let weighted_workers = u128::from(workers) * u128::from(self.weight_milli);
        weighted_work
            .checked_div(weighted_workers)
            .and_then(|wait| u64::try_from(wait).ok())
            .unwrap_or(u64::MAX)
    }

    /// Returns the team's weighted part of the pool, in thousandths.
    #[must_use]
    pub fn share_milli(&self) -> u64 {
        (self.weight_milli * 1_000)
            .checked_div(self.total_weight_milli)
            .unwrap_or(1_000)
    }
}

/// Decides whether a job of a team is accepted, from the backlog of the pool and the team's part of
/// it.
///
/// The load it answers: one team sends several times what it may, and fills the pool with its
/// backlog. A job waits for the whole backlog or for its own team's backlog in the team's weighted
/// part of the pool, whichever is shorter, because jobs of a team that is under its share start
/// before those of teams over it. So the jobs of small teams are accepted as if the large backlog
/// weren't there, and the team that has caused it is rejected.
///
/// A job that exceeds its team's rate isn't owed to the team. It is accepted only while there is
/// room: while the whole backlog's wait fits the job's slack, without the allowance beyond it that
/// [`admit`] grants, or the team's own work with this job does in the team's part of the pool.
/// Without the second condition, teams that all exceed their rates would divide what is left of the
/// pool by the number of jobs that they send, not by weight.
///
/// The delay after which a rejected caller may try again follows from the team's own backlog, not
/// from that of others.
#[must_use]
pub fn admit_for_team(pool: Backlog, team: &TeamLoad, job: AdmissionRequest) -> TeamAdmission {
    let pool_wait_ms = pool.wait_ms();
    let own_wait_ms = team.wait_ms(pool.workers);
    let own = Backlog {
        work_ms: own_wait_ms.saturating_mul(pool.workers),
        workers: pool.workers,
    };
    let before_job = if own_wait_ms < pool_wait_ms {
        own
    } else {
        pool
    };
    let wait_ms = before_job.wait_ms();
    let slack_ms = job.objective_ms.saturating_sub(job.critical_path_ms);
    if let Admission::Reject { retry_after_ms } = admit(before_job, job) {
        let retry_after_ms = match admit(own, job) {
            Admission::Reject { retry_after_ms } => retry_after_ms,
            Admission::Accept => retry_after_ms,
        };
        return TeamAdmission::Reject {
            reason: RejectReason::Overload,
            wait_ms,
            retry_after_ms,
        };
    }
    let with_job = TeamLoad {
        work_ms: team.work_ms.saturating_add(job.work_ms),
        ..*team
    };
    let has_room = pool_wait_ms <= slack_ms || with_job.wait_ms(pool.workers) <= slack_ms;
    if team.rate_wait_ms > 0 && !has_room {
        let excess_ms = own_wait_ms.saturating_sub(slack_ms).max(team.rate_wait_ms);
        return TeamAdmission::Reject {
            reason: RejectReason::OverRate,
            wait_ms,
            retry_after_ms: retry_after_excess_ms(excess_ms, job.jitter_seed),
        };
    }
    TeamAdmission::Accept { wait_ms }
}
