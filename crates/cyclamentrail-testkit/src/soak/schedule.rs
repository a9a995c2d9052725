//! The faults of a soak, drawn from its seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Mean time between two faults.
const MEAN_PAUSE_MS: u64 = 900;
/// Time from the start in which the site takes up its work without faults.
const FIRST_FAULT_MS: u64 = 2_000;
/// Longest time that a fault lasts.
const MAX_FAULT_MS: u64 = 4_000;
/// Shortest time that a fault lasts.
const MIN_FAULT_MS: u64 = 300;
/// Largest delay of a response by a slow store.
const MAX_STORE_DELAY_MS: u64 = 400;
/// Largest number of consecutive processes that one fault hits.
const MAX_PROCESSES_HIT: usize = 3;

/// Difference between the seeds of the other faults and of the one that lasts longer than the bound
/// for revocations.
const REVOCATION_STREAM: u64 = 3;
/// Shortest and longest time of that fault; the bound is 5 s.
const REVOCATION_FAULT_MS: std::ops::RangeInclusive<u64> = 7_000..=9_000;

/// Difference between the seeds of the other faults and of the resets of the store's connections.
const RESET_STREAM: u64 = 4;
/// Mean time between two resets.
const MEAN_RESET_PAUSE_MS: u64 = 3_000;
/// Time for which the store responds late before a reset, and by how much.
const LATE_BEFORE_RESET_MS: std::ops::RangeInclusive<u64> = 300..=2_000;

/// Fault that is injected from outside the processes. Numbers of processes and workers count from
/// zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// Processes are killed and started again after the fault's time.
    Kill {
        /// Number of the first process.
        first: usize,
        /// Number of processes.
        count: usize,
    },
    /// A process is stopped in order and started again once it has exited.
    Stop {
        /// Number of the process.
        process: usize,
    },
    /// Processes are suspended.
    Pause {
        /// Number of the first process.
        first: usize,
        /// Number of processes.
        count: usize,
    },
    /// A process gets SIGHUP.
    HangUp {
        /// Number of the process.
        process: usize,
    },
    /// A process is cut off from the store.
    CutFromStore {
        /// Number of the process.
        process: usize,
    },
    /// The store rejects all calls.
    StoreDown,
    /// The store responds late.
    StoreSlow {
        /// Delay of each response in milliseconds.
        delay_ms: u64,
    },
    /// The store carries out calls and doesn't respond.
    StoreSilent,
    /// The store carries out calls late; in the end all connections to it are closed at one moment, with
    /// calls on their way that are carried out or not.
    StoreReset {
        /// Delay of each call in milliseconds.
        delay_ms: u64,
    },
    /// The store doesn't serve reads of the workers' registrations.
    RegistryUnreadable,
    /// The store doesn't serve reads of the configuration.
    ConfigurationUnreadable,
    /// A worker carries out the next start late, and doesn't respond to it.
    DelayStart {
        /// Number of the worker.
        worker: usize,
    },
    /// A worker is restarted and loses its runs.
    RestartWorker {
        /// Number of the worker.
        worker: usize,
    },
    /// A worker gives notice, and is restarted after the fault's time.
    GiveNotice {
        /// Number of the worker.
        worker: usize,
    },
    /// A worker responds to no call until its restart; the incarnation that runs after the delay carries
    /// each call out.
    DelayCalls {
        /// Number of the worker.
        worker: usize,
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// A worker is cut off from all owners, and goes on.
    CutWorker {
        /// Number of the worker.
        worker: usize,
    },
    /// The first worker without runs crashes, counted from one on; it is restarted after a moment.
    CrashIdle {
        /// Number of the worker to count from.
        first: usize,
    },
    /// The queue leads to the other service.
    MoveQueue,
    /// The owner of the usual service is stopped in order and started again once it has exited.
    StopOwner,
    /// The owner of the usual service is killed and started again after the fault's time.
    KillOwner,
}

/// Fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ScheduledFault {
    /// Time of the fault since the start, in milliseconds.
    pub at_ms: u64,
    /// Time after which the fault is over, in milliseconds.
    pub duration_ms: u64,
    /// What happens.
    pub fault: Fault,
}

/// Draws the single faults of a soak. They may overlap; all of them are over by the end of `duration`.
#[must_use]
pub fn draw_schedule(
    seed: u64,
    duration: Duration,
    processes: usize,
    workers: usize,
) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let mut schedule = Vec::new();
    let mut at_ms = FIRST_FAULT_MS;
    while at_ms + MIN_FAULT_MS < end_ms {
        let longest_ms = MAX_FAULT_MS.min(end_ms - at_ms);
        schedule.push(ScheduledFault {
            at_ms,
            duration_ms: random.random_range(MIN_FAULT_MS..=longest_ms),
            fault: draw_fault(&mut random, processes, workers),
        });
        at_ms += random.random_range(0..=2 * MEAN_PAUSE_MS);
    }
    schedule.extend(draw_revocation_fault(seed, end_ms, processes));
    schedule.extend(draw_resets(seed, end_ms));
    schedule.sort_by_key(|scheduled| scheduled.at_ms);
    schedule
}

/// Draws the resets of the store's connections, which don't change a seed's other faults.
fn draw_resets(seed: u64, end_ms: u64) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(RESET_STREAM);
    let mut resets = Vec::new();
    let mut at_ms = FIRST_FAULT_MS;
    loop {
        at_ms += random.random_range(0..=2 * MEAN_RESET_PAUSE_MS);
        let duration_ms = random.random_range(LATE_BEFORE_RESET_MS);
        let delay_ms = random.random_range(LATE_BEFORE_RESET_MS);
        if at_ms + duration_ms >= end_ms {
            return resets;
        }
        resets.push(ScheduledFault {
            at_ms,
            duration_ms,
            fault: Fault::StoreReset { delay_ms },
        });
        at_ms += duration_ms;
    }
}

/// Draws a fault that keeps some processes from learning of revoked keys for longer than the bound;
/// none if the soak is too short. Drawn apart, so that a seed's other faults don't depend on it.
fn draw_revocation_fault(seed: u64, end_ms: u64, processes: usize) -> Option<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(REVOCATION_STREAM);
    let duration_ms = random.random_range(REVOCATION_FAULT_MS);
    let last_ms = end_ms.checked_sub(duration_ms)?;
    if last_ms < FIRST_FAULT_MS {
        return None;
    }
    let at_ms = random.random_range(FIRST_FAULT_MS..=last_ms);
    let fault = if random.random_bool(0.5) {
        Fault::ConfigurationUnreadable
    } else {
        Fault::CutFromStore {
            process: random.random_range(0..processes),
        }
    };
    Some(ScheduledFault {
        at_ms,
        duration_ms,
        fault,
    })
}

fn draw_fault(random: &mut ChaCha8Rng, processes: usize, workers: usize) -> Fault {
    let process = random.random_range(0..processes);
    let worker = random.random_range(0..workers);
    let most = MAX_PROCESSES_HIT.min(processes - process);
    let count = random.random_range(1..=most);
    match random.random_range(0..13) {
        0 | 1 => Fault::Kill {
            first: process,
            count,
        },
        2 => Fault::Stop { process },
        3 | 4 => Fault::Pause {
            first: process,
            count,
        },
        5 => Fault::HangUp { process },
        6 => Fault::CutFromStore { process },
        7 => Fault::StoreDown,
        8 => Fault::StoreSlow {
            delay_ms: random.random_range(20..=MAX_STORE_DELAY_MS),
        },
        9 => Fault::StoreSilent,
        10 => Fault::RegistryUnreadable,
        11 if random.random_bool(0.5) => Fault::DelayStart { worker },
        11 => Fault::RestartWorker { worker },
        _ => Fault::GiveNotice { worker },
    }
}
