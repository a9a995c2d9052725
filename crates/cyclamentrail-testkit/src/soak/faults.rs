//! A site of real processes on which the faults of a soak are carried out.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Result;
use cyclamentrail_standin::{JobStore, JobWorker};
use tokio::time::{Instant as TokioInstant, sleep, sleep_until};

use super::check::DEADLY_SUFFIX;
use super::history::WorkerHistory;
use super::keys::KeyRing;
use super::load::Callers;
use super::schedule::{Fault, ScheduledFault};
use super::worker::SoakWorker;
use crate::{Forwarder, JobSite, Process};

/// Time by which a worker carries out a start late, in milliseconds.
const START_DELAY_MS: u64 = 2_000;
/// Longest time for which a process that is stopped in order is waited for.
const STOP_TIME: Duration = Duration::from_secs(20);
/// Time between two looks at a process that is stopping.
const STOP_POLL: Duration = Duration::from_millis(50);
/// Number of times that the start of a process is tried: a site that runs beside may take a port
/// between the look whether it is free and the process's own use.
const START_ATTEMPTS: u32 = 5;
/// Settings of all processes: revocations hold everywhere.
const SETTINGS: &str = "Bounds.RevokeStrict=true\nBounds.RevokeMs=5000\n";
/// Topic of the configuration.
const CONFIGURATION_TOPIC: &str = "keyed.op";
/// Topic of the workers' registrations.
const REGISTRATION_TOPIC: &str = "keyed.servers";
/// Topic of the owners' claims.
const OWNERS_TOPIC: &str = "keyed.owners";
/// Number of workers of the other service, if the site has one.
const OTHER_WORKERS: usize = 2;

/// Running process with its own way to the store.
struct SoakProcess {
    process: Process,
    store_link: Forwarder,
    /// Whether this incarnation was stopped in order.
    is_stopped: bool,
}

impl SoakProcess {
    fn stop(&mut self) -> Result<()> {
        self.is_stopped = true;
        self.signal(Process::terminate)
    }

    /// Sends a signal unless an overlapping fault has ended the process, whose id may belong to
    /// another one by now.
    fn signal(&mut self, send: impl Fn(&Process) -> Result<()>) -> Result<()> {
        if self.process.try_wait()?.is_none() {
            send(&self.process)?;
        }
        Ok(())
    }
}

/// End of a fault that lasts.
struct Recovery {
    at_ms: u64,
    fault: Fault,
}

/// Names that no other soak uses, since a port may pass to one that runs beside.
pub(super) struct SiteNames {
    /// Host of the callers' requests.
    pub(super) host: Arc<str>,
    /// Service that runs the tasks.
    pub(super) service: String,
    /// Service that the queue leads to at times, if the site has one.
    pub(super) other_service: Option<String>,
}

impl SiteNames {
    /// Creates the names of the soak that this process plays with a seed.
    pub(super) fn new(seed: u64, has_other_service: bool) -> Self {
        let unique = format!("{seed}-{}", std::process::id());
        Self {
            host: Arc::from(format!("soak-{unique}.example")),
            service: format!("svc-{unique}"),
            other_service: has_other_service.then(|| format!("other-{unique}")),
        }
    }
}

/// Time from a worker's crash to its restart.
const CRASH_TIME: Duration = Duration::from_millis(900);
/// Time between two looks for crashed workers.
const CRASH_POLL: Duration = Duration::from_millis(100);

/// Site on which faults are carried out.
pub(super) struct FaultySite {
    site: JobSite,
    names: Arc<SiteNames>,
    processes: Vec<SoakProcess>,
    callers: Callers,
    keys: KeyRing,
    /// Workers of the usual service, and after them those of the other one.
    workers: Vec<SoakWorker>,
    /// Numbers of the processes that were stopped or killed as owners, in order.
    ended_owners: VecDeque<Option<usize>>,
    /// Incarnations of workers that have ended.
    ended_workers: Vec<WorkerHistory>,
    task_ms: u64,
    logs: PathBuf,
}

impl FaultySite {
    /// Starts the store, the workers and the processes.
    pub(super) async fn start(
        names: &Arc<SiteNames>,
        processes: usize,
        workers: usize,
        task_ms: u64,
        logs: PathBuf,
    ) -> Result<Self> {
        let site = JobSite::start_named(&names.host, &names.service).await?;
        let mut faulty = Self {
            keys: KeyRing::start(&site.store, names),
            site: site.settings(SETTINGS),
            names: Arc::clone(names),
            processes: Vec::new(),
            callers: Callers::default(),
            workers: Vec::new(),
            ended_owners: VecDeque::new(),
            ended_workers: Vec::new(),
            task_ms,
            logs,
        };
        for number in 0..workers {
            faulty
                .start_worker(format!("i-{number}"), &names.service)
                .await?;
        }
        for number in 0..OTHER_WORKERS {
            if let Some(other) = &names.other_service {
                faulty.start_worker(format!("o-{number}"), other).await?;
            }
        }
        for number in 0..processes {
            let store_link = Forwarder::start(faulty.site.store.address()).await?;
            let (process, caller) = faulty.start_process(number, &store_link)?;
            faulty.processes.push(SoakProcess {
                process,
                store_link,
                is_stopped: false,
            });
            faulty.lock_callers().push(caller);
        }
        Ok(faulty)
    }

    /// Returns the addresses for callers, which change with each start of a process.
    pub(super) fn callers(&self) -> Callers {
        Arc::clone(&self.callers)
    }

    /// Returns the keys of the teams.
    pub(super) fn keys(&self) -> KeyRing {
        self.keys.clone()
    }

    /// Returns the store, to which operators write.
    pub(super) fn store(&self) -> Arc<JobStore> {
        Arc::clone(&self.site.store)
    }

    /// Carries out the faults, and ends all of them at `end`.
    pub(super) async fn carry_out(
        &mut self,
        schedule: &[ScheduledFault],
        end: TokioInstant,
    ) -> Result<()> {
        let begin = TokioInstant::now();
        let at = |at_ms| begin + Duration::from_millis(at_ms);
        let mut recoveries: Vec<Recovery> = Vec::new();
        for scheduled in schedule {
            while let Some(recovery) = take_due(&mut recoveries, scheduled.at_ms) {
                self.wait_until(at(recovery.at_ms)).await?;
                self.recover(recovery.fault).await?;
            }
            self.wait_until(at(scheduled.at_ms)).await?;
            self.inject(scheduled.fault)?;
            recoveries.push(Recovery {
                at_ms: scheduled.at_ms + scheduled.duration_ms,
                fault: scheduled.fault,
            });
        }
        while let Some(recovery) = take_due(&mut recoveries, u64::MAX) {
            self.wait_until(at(recovery.at_ms)).await?;
            self.recover(recovery.fault).await?;
        }
        self.wait_until(end).await
    }

    /// Waits for a result, and restarts the workers that tasks crash meanwhile.
    pub(super) async fn restart_crashed_during<T>(
        &mut self,
        work: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        tokio::pin!(work);
        loop {
            let next_look = TokioInstant::now() + CRASH_POLL;
            tokio::select! {
                result = &mut work => return result,
                looked = self.wait_until(next_look) => looked?,
            }
        }
    }

    /// Waits until a time, and restarts the workers that tasks have crashed meanwhile.
    async fn wait_until(&mut self, until: TokioInstant) -> Result<()> {
        while TokioInstant::now() < until {
            for number in 0..self.workers.len() {
                let crashed = self.workers[number].worker.crashed();
                if crashed.is_some_and(|crashed| crashed.elapsed() >= CRASH_TIME) {
                    self.restart_worker(number).await?;
                }
            }
            sleep_until(until.min(TokioInstant::now() + CRASH_POLL)).await;
        }
        Ok(())
    }

    /// Returns how many late calls were carried out by a later incarnation of their worker.
    pub(super) fn crossed_calls(&self) -> usize {
        self.workers.iter().map(SoakWorker::crossed_calls).sum()
    }

    /// Ends the workers and returns what they recorded.
    pub(super) fn finish(mut self) -> Vec<WorkerHistory> {
        let mut ended = std::mem::take(&mut self.ended_workers);
        ended.extend(self.workers.drain(..).map(|worker| worker.history()));
        ended
    }

    fn inject(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Kill { first, count } => {
                for hit in &mut self.processes[first..first + count] {
                    hit.process.kill()?;
                }
            }
            Fault::Stop { process } => self.processes[process].stop()?,
            Fault::Pause { first, count } => {
                for hit in &mut self.processes[first..first + count] {
                    hit.signal(Process::pause)?;
                }
            }
            Fault::HangUp { process } => self.processes[process].signal(Process::send_sighup)?,
            Fault::CutFromStore { process } => self.processes[process].store_link.set_cut(true),
            Fault::StoreDown => self.site.store.set_down(true),
            Fault::StoreSlow { delay_ms } | Fault::StoreReset { delay_ms } => {
                self.site.store.set_delay_ms(delay_ms);
            }
            Fault::StoreSilent => self.site.store.set_losing_responses(true),
            Fault::RegistryUnreadable => self.site.store.set_unreadable(REGISTRATION_TOPIC, true),
            Fault::ConfigurationUnreadable => {
                self.site.store.set_unreadable(CONFIGURATION_TOPIC, true);
            }
            Fault::DelayStart { worker } => {
                self.workers[worker].worker.delay_next_start(START_DELAY_MS);
            }
            Fault::RestartWorker { .. } => {}
            Fault::DelayCalls { worker, delay_ms } => {
                self.workers[worker].worker.delay_all(delay_ms);
            }
            Fault::CutWorker { worker } => self.workers[worker].set_cut(true),
            Fault::CrashIdle { first } => {
                let mut counted = self.workers[first..].iter();
                if let Some(idle) = counted.find(|worker| worker.worker.is_idle()) {
                    idle.worker.crash();
                }
            }
            Fault::MoveQueue => self.keys.move_queue(&self.site.store, &self.names, true),
            Fault::StopOwner => self.end_owner(SoakProcess::stop)?,
            Fault::KillOwner => self.end_owner(|owner| owner.process.kill())?,
            Fault::GiveNotice { worker } => {
                let leaving = &mut self.workers[worker];
                leaving.worker.give_notice();
                leaving.gave_notice.get_or_insert_with(Instant::now);
            }
        }
        Ok(())
    }

    async fn recover(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Kill { first, count } => {
                for number in first..first + count {
                    self.restart_process(number)?;
                }
            }
            Fault::Stop { process } => self.restart_stopped(process).await?,
            Fault::StopOwner | Fault::KillOwner => {
                if let Some(owner) = self.ended_owners.pop_front().flatten() {
                    self.restart_stopped(owner).await?;
                }
            }
            Fault::Pause { first, count } => {
                for hit in &mut self.processes[first..first + count] {
                    hit.signal(Process::resume)?;
                }
            }
            Fault::CutFromStore { process } => self.processes[process].store_link.set_cut(false),
            Fault::StoreDown => self.site.store.set_down(false),
            Fault::StoreSlow { .. } => self.site.store.set_delay_ms(0),
            Fault::StoreReset { .. } => {
                for process in &self.processes {
                    process.store_link.close_open();
                }
                self.site.store.set_delay_ms(0);
            }
            Fault::StoreSilent => self.site.store.set_losing_responses(false),
            Fault::RegistryUnreadable => self.site.store.set_unreadable(REGISTRATION_TOPIC, false),
            Fault::ConfigurationUnreadable => {
                self.site.store.set_unreadable(CONFIGURATION_TOPIC, false);
            }
            Fault::RestartWorker { worker } | Fault::GiveNotice { worker } => {
                self.restart_worker(worker).await?;
            }
            Fault::CutWorker { worker } => self.workers[worker].set_cut(false),
            Fault::MoveQueue => self.keys.move_queue(&self.site.store, &self.names, false),
            Fault::HangUp { .. }
            | Fault::DelayStart { .. }
            | Fault::DelayCalls { .. }
            | Fault::CrashIdle { .. } => {}
        }
        Ok(())
    }

    /// Ends the owner of the usual service, if a process has claimed it.
    fn end_owner(&mut self, end: impl Fn(&mut SoakProcess) -> Result<()>) -> Result<()> {
        let claim = self.site.store.newest(OWNERS_TOPIC, &self.names.service);
        let is_owner = |number: &usize| {
            let name = process_name(*number);
            let mut claim = claim.iter().flat_map(|claim| claim.windows(name.len()));
            claim.any(|part| part == name.as_bytes())
        };
        let owner = (0..self.processes.len()).find(is_owner);
        self.ended_owners.push_back(owner);
        owner.map_or(Ok(()), |number| end(&mut self.processes[number]))
    }

    /// Waits until a process that was stopped or killed has exited, and starts it again unless another
    /// fault has done so.
    async fn restart_stopped(&mut self, number: usize) -> Result<()> {
        let stop_end = Instant::now() + STOP_TIME;
        let stopping = &mut self.processes[number];
        if !stopping.is_stopped && stopping.process.try_wait()?.is_none() {
            return Ok(());
        }
        // A process that is suspended by another fault can't stop.
        stopping.signal(Process::resume)?;
        while stopping.process.try_wait()?.is_none() && Instant::now() < stop_end {
            sleep(STOP_POLL).await;
        }
        self.restart_process(number)
    }

    /// Starts a process again; it is killed first if it still runs.
    fn restart_process(&mut self, number: usize) -> Result<()> {
        self.processes[number].process.kill()?;
        let (process, caller) = self.start_process(number, &self.processes[number].store_link)?;
        self.processes[number].process = process;
        self.processes[number].is_stopped = false;
        self.lock_callers()[number] = caller;
        Ok(())
    }

    fn start_process(
        &self,
        number: usize,
        store_link: &Forwarder,
    ) -> Result<(Process, SocketAddr)> {
        let name = process_name(number);
        let log = self.logs.join(format!("{name}.log"));
        let start = || {
            self.site
                .start_logged_process(&name, store_link.address(), &log)
        };
        let mut started = start();
        for _ in 1..START_ATTEMPTS {
            if started.is_ok() {
                break;
            }
            started = start();
        }
        started
    }

    /// Restarts a worker under its id and at its address.
    async fn restart_worker(&mut self, number: usize) -> Result<()> {
        let leaving = self.workers.remove(number);
        self.ended_workers.push(leaving.history());
        let (id, is_cut) = (leaving.id.clone(), leaving.is_cut());
        let worker = leaving.worker.restart(&self.site.store).await?;
        worker.register();
        let restarted = SoakWorker::new(id, worker, is_cut);
        self.workers.insert(number, restarted);
        Ok(())
    }

    async fn start_worker(&mut self, id: String, service: &str) -> Result<()> {
        let worker = JobWorker::start(&self.site.store, &id, service, self.task_ms).await?;
        worker.crash_on(DEADLY_SUFFIX);
        self.workers.push(SoakWorker::new(id, worker, false));
        Ok(())
    }

    fn lock_callers(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        let callers: &Mutex<Vec<SocketAddr>> = &self.callers;
        callers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes and returns the first recovery that is due by `until_ms`.
fn take_due(recoveries: &mut Vec<Recovery>, until_ms: u64) -> Option<Recovery> {
    let first = (0..recoveries.len()).min_by_key(|&index| recoveries[index].at_ms)?;
    (recoveries[first].at_ms <= until_ms).then(|| recoveries.remove(first))
}

/// Returns the name of a process, which its claims contain.
fn process_name(number: usize) -> String {
    format!("n{number}")
}
