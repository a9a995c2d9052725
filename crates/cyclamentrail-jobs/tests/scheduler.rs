//! Tests of the scheduler with simulated workers, store and callers in virtual time.

#[path = "scheduler/access.rs"]
mod access;
#[path = "scheduler/blocked_steps.rs"]
mod blocked_steps;
#[path = "scheduler/capacity.rs"]
mod capacity;
#[path = "scheduler/crash_counts.rs"]
mod crash_counts;
#[path = "scheduler/crashes.rs"]
mod crashes;
#[path = "scheduler/crossed_calls.rs"]
mod crossed_calls;
#[path = "scheduler/evacuation.rs"]
mod evacuation;
#[path = "scheduler/failing_services.rs"]
mod failing_services;
#[path = "scheduler/former_routes.rs"]
mod former_routes;
#[path = "scheduler/gang_attempts.rs"]
mod gang_attempts;
#[path = "scheduler/gang_checkpoint.rs"]
mod gang_checkpoint;
#[path = "scheduler/jobs.rs"]
mod jobs;
#[path = "scheduler/large_jobs.rs"]
mod large_jobs;
#[path = "scheduler/lease_handover.rs"]
mod lease_handover;
#[path = "scheduler/leaving.rs"]
mod leaving;
#[path = "scheduler/occurrences.rs"]
mod occurrences;
#[path = "scheduler/open_starts.rs"]
mod open_starts;
#[path = "scheduler/outage.rs"]
mod outage;
#[path = "scheduler/overload.rs"]
mod overload;
#[path = "scheduler/partial_reports.rs"]
mod partial_reports;
#[path = "scheduler/policy.rs"]
mod policy;
#[path = "scheduler/promises.rs"]
mod promises;
#[path = "scheduler/quota.rs"]
mod quota;
#[path = "scheduler/quota_shards.rs"]
mod quota_shards;
#[path = "scheduler/refused_records.rs"]
mod refused_records;
#[path = "scheduler/restarts.rs"]
mod restarts;
#[path = "scheduler/run_times.rs"]
mod run_times;
#[path = "scheduler/shares.rs"]
mod shares;
#[path = "scheduler/sharing.rs"]
mod sharing;
#[path = "scheduler/silence.rs"]
mod silence;
#[path = "scheduler/specs.rs"]
mod specs;
#[path = "scheduler/stalls.rs"]
mod stalls;
#[path = "scheduler/starts.rs"]
mod starts;
#[path = "scheduler/suspects.rs"]
mod suspects;
#[path = "scheduler/takeover.rs"]
mod takeover;
#[path = "scheduler/unreadable_records.rs"]
mod unreadable_records;
#[path = "scheduler/worker.rs"]
mod worker;
#[path = "scheduler/world.rs"]
mod world;
