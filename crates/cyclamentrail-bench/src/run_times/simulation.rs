//! Simulated workers, store and calls around the real shard.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, ServiceName, WorkerId, ZoneName};
use cyclamentrail_jobs::{
    ActiveRun, CallerId, CallerReply, CommandOutcome, Commit, Decision, Effect, EndKind, EndedRun,
    JobSpec, JobState, Now, PollOutcome, RUN_TIMES_PREFIX, Resources, RouteConfig, RunTimeUses,
    Shard, ShardTiming, StartCommand, StopCommand, Submission, TaskRunId, WorkerKey, WorkerPoll,
    WorkerRegistration, WorkerReport,
};

use super::{RunTimesReport, TaskJob, TaskTrace};

/// Number of workers.
const WORKERS: u16 = 6;
/// Capacity of each worker.
const CAPACITY: Resources = Resources::new(32_000, 131_072, 0);
/// Time of one step of the simulation, and of a call or an append, in milliseconds.
const STEP_MS: u64 = 5;
/// Time after the last submission for which the simulation goes on, in milliseconds.
const END_MS: u64 = 60_000;
/// Unix time at which the simulation begins, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Factor of a job's longest chain in its objective.
const STRETCH: f64 = 1.6;
/// Additional time of the objective, in milliseconds.
const TARGET_LATENCY_MS: u64 = 600;
/// Multiple of its objective up to which a late job is worth something.
const LATE_FACTOR: u64 = 3;

/// Durations by which the shard decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durations {
    /// The declared ones.
    Declared,
    /// One learned mean per route, as without any use of run times.
    Mean,
    /// The learned run times, for the decisions that are named.
    Learned(RunTimeUses),
    /// The real duration of each step.
    Oracle,
}

/// A simulated worker.
#[derive(Debug)]
struct Worker {
    registration: WorkerRegistration,
    /// Runs with their begin and end, in milliseconds.
    running: Vec<(TaskRunId, u64, u64)>,
    ended: Vec<EndedRun>,
    next_sequence: u64,
    /// Poll that waits for a run to end, and until when.
    held_poll: Option<(WorkerPoll, u64)>,
}

/// A response that is on its way to the owner.
#[derive(Debug)]
enum Response {
    Started(StartCommand),
    Stopped(StopCommand),
    Polled(WorkerKey, u64, WorkerReport),
    Stored(Commit),
}

/// The shard with its simulated surroundings.
struct Simulation<'a> {
    trace: &'a TaskTrace,
    shard: Shard,
    workers: BTreeMap<WorkerId, Worker>,
    responses: Vec<(u64, Response)>,
    is_storing: bool,
    now_ms: u64,
    report: RunTimesReport,
    accepted: HashMap<JobId, bool>,
}

/// Runs the jobs of a trace with one kind of durations, and counts what became of them.
#[must_use]
pub fn run_trace(trace: &TaskTrace, durations: Durations) -> RunTimesReport {
    let mut simulation = Simulation::new(trace, durations);
    let mut jobs = trace.jobs.iter().enumerate().peekable();
    let last_ms = trace.jobs.last().map_or(0, |job| job.at_ms);
    while simulation.now_ms < last_ms + END_MS {
        while let Some((index, job)) = jobs.next_if(|(_, job)| job.at_ms <= simulation.now_ms) {
            simulation.submit(index, job, durations);
        }
        simulation.step();
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a TaskTrace, durations: Durations) -> Self {
        let run_time_uses = match durations {
            Durations::Learned(uses) => uses,
            _ => RunTimeUses::NONE,
        };
        let mut shard = Shard::new(ShardTiming {
            run_time_uses,
            ..ShardTiming::default()
        });
        let routes = (0..trace.jobs.len()).map(|index| route_of(index, durations));
        shard.set_routes(routes.map(route_config));
        let mut simulation = Self {
            trace,
            shard,
            workers: BTreeMap::new(),
            responses: Vec::new(),
            is_storing: false,
            now_ms: 0,
            report: RunTimesReport::default(),
            accepted: HashMap::new(),
        };
        for number in 0..WORKERS {
            let registration = registration(number);
            simulation
                .shard
                .register(simulation.now(), registration.clone());
            let worker = Worker {
                registration: registration.clone(),
                running: Vec::new(),
                ended: Vec::new(),
                next_sequence: 1,
                held_poll: None,
            };
            simulation.workers.insert(registration.id, worker);
        }
        simulation
    }

    fn now(&self) -> Now {
        Now {
            boot_ms: 1_000_000 + self.now_ms,
            unix_ms: START_UNIX_MS + self.now_ms,
        }
    }

    fn submit(&mut self, index: usize, job: &TaskJob, durations: Durations) {
        let mut spec = job.spec.clone();
        if durations == Durations::Oracle {
            declare_real(&mut spec, job);
        }
        let submission = Submission {
            caller: CallerId(index as u64),
            id: job_id(index),
            route: route_of(index, durations),
            team: None,
            spec: Arc::new(spec),
        };
        self.shard.submit(self.now(), submission);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.end_runs();
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.responses)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.responses = later;
        for (_, response) in due {
            self.deliver(response);
        }
        self.shard.advance(self.now());
        let effects = self.shard.take_ready();
        self.carry_out(effects);
        if !self.is_storing
            && let Some(commit) = self.shard.take_commit(self.now())
        {
            self.is_storing = true;
            self.respond(Response::Stored(commit));
        }
    }

    fn deliver(&mut self, response: Response) {
        let now = self.now();
        match response {
            Response::Started(command) => {
                let outcome = CommandOutcome::Done(Some(now.boot_ms));
                self.shard.handle_start_result(
                    now,
                    command.target.key,
                    command.task,
                    command.run,
                    &outcome,
                );
            }
            Response::Stopped(command) => {
                let outcome = CommandOutcome::Done(Some(now.boot_ms));
                self.shard.handle_stop_result(
                    now,
                    command.target.key,
                    command.task,
                    command.run,
                    &outcome,
                );
            }
            Response::Polled(worker, durable_sequence, report) => {
                let outcome = PollOutcome::Report(report);
                self.shard
                    .handle_poll_result(now, worker, durable_sequence, outcome);
            }
            Response::Stored(commit) => {
                self.is_storing = false;
                for record in &commit.records {
                    if record.key.starts_with(RUN_TIMES_PREFIX) {
                        self.report.stored_bytes +=
                            u32::try_from(record.value.len()).unwrap_or(u32::MAX);
                    }
                }
                let effects = self.shard.finish_commit(commit);
                self.carry_out(effects);
            }
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(run) => {
                    if let Some(command) = self.shard.start_command(self.now(), run) {
                        self.begin_run(command);
                    }
                }
                Effect::Stop(command) => self.stop_run(command),
                Effect::Poll(poll) => {
                    let until_ms = self.now_ms + poll.wait_ms;
                    if let Some(worker) = self.workers.get_mut(&poll.target.id) {
                        worker.held_poll = Some((poll, until_ms));
                    }
                }
                Effect::Reply(_, CallerReply::Rejected { .. }) => self.report.rejected += 1,
                Effect::Log(decision) => self.count(&decision),
                _ => {}
            }
        }
    }

    fn count(&mut self, decision: &Decision) {
        match decision {
            Decision::JobAccepted { job, .. } => {
                self.accepted.insert(job.clone(), false);
            }
            Decision::JobFinal {
                job,
                state: JobState::Completed,
                took_ms,
                ..
            } => {
                self.accepted.insert(job.clone(), true);
                let chain_ms = self.trace.jobs[index_of(job)].chain_ms();
                let objective_ms = route_config(RouteName::from("")).objective_ms(chain_ms);
                if *took_ms <= objective_ms {
                    self.report.on_time += 1;
                } else if *took_ms <= objective_ms * LATE_FACTOR {
                    self.report.late += 1;
                } else {
                    self.report.worthless += 1;
                }
            }
            Decision::PromiseEnded {
                percent: 90..,
                is_kept,
                ..
            } => {
                self.report.promised += 1;
                self.report.kept += u32::from(*is_kept);
            }
            _ => {}
        }
    }

    fn begin_run(&mut self, command: StartCommand) {
        let task = command.task;
        let job = &self.trace.jobs[index_of(&command.job)];
        let duration_ms = job.durations_ms[task.step as usize][task.index as usize];
        let is_slow = self.trace.has_slow_worker && command.target.address.port() == 0;
        let duration_ms = if is_slow {
            2 * duration_ms
        } else {
            duration_ms
        };
        if let Some(worker) = self.workers.get_mut(&command.target.id) {
            let id = TaskRunId {
                job: command.job.clone(),
                occurrence: task.occurrence,
                step: task.step,
                index: task.index,
                run: command.run,
            };
            let is_new = worker.running.iter().all(|(known, ..)| *known != id);
            if is_new {
                let end_ms = self.now_ms + duration_ms;
                worker.running.push((id, self.now_ms, end_ms));
            }
        }
        self.respond(Response::Started(command));
    }

    fn stop_run(&mut self, command: StopCommand) {
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(&command.target.id) {
            for (id, _, end_ms) in &mut worker.running {
                let is_named = (id.step, id.index, id.run)
                    == (command.task.step, command.task.index, command.run);
                if id.job == command.job && is_named {
                    *end_ms = now_ms;
                }
            }
        }
        self.respond(Response::Stopped(command));
    }

    /// Ends the runs that are due, and responds to the polls that waited for them.
    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let clock_ms = self.now().boot_ms;
        let mut reports = Vec::new();
        for worker in self.workers.values_mut() {
            let (due, running): (Vec<_>, Vec<_>) = std::mem::take(&mut worker.running)
                .into_iter()
                .partition(|(_, _, end_ms)| *end_ms <= now_ms);
            worker.running = running;
            for (id, ..) in due {
                worker.ended.push(EndedRun {
                    sequence: worker.next_sequence,
                    id,
                    end: EndKind::Done,
                    checkpoint: Arc::from(""),
                });
                worker.next_sequence += 1;
            }
            let Some((poll, until_ms)) = worker.held_poll.take() else {
                continue;
            };
            worker
                .ended
                .retain(|ended| ended.sequence > poll.durable_sequence);
            if worker.ended.is_empty() && now_ms < until_ms {
                worker.held_poll = Some((poll, until_ms));
                continue;
            }
            let report = worker.report(now_ms, clock_ms);
            reports.push(Response::Polled(
                poll.target.key,
                poll.durable_sequence,
                report,
            ));
        }
        for report in reports {
            self.respond(report);
        }
    }

    fn respond(&mut self, response: Response) {
        self.responses.push((self.now_ms + STEP_MS, response));
    }

    /// Counts jobs that never completed as worthless.
    fn finish(mut self) -> RunTimesReport {
        let unfinished = self.accepted.values().filter(|is_done| !**is_done).count();
        self.report.worthless += u32::try_from(unfinished).unwrap_or(u32::MAX);
        self.report
    }
}

impl Worker {
    fn report(&self, now_ms: u64, clock_ms: u64) -> WorkerReport {
        let running = self.running.iter().map(|(id, begin_ms, end_ms)| {
            let percent = (now_ms - begin_ms) * 100 / (end_ms - begin_ms).max(1);
            ActiveRun {
                id: id.clone(),
                checkpoint: Arc::from(""),
                progress_percent: u32::try_from(percent).unwrap_or(100),
                load: 0,
            }
        });
        WorkerReport {
            started_ms: Some(self.registration.started_ms),
            clock_ms,
            running: running.collect(),
            ended: self.ended.clone(),
            may_lack_ends: false,
        }
    }
}

/// Replaces the declared durations of a job by the real ones.
fn declare_real(spec: &mut JobSpec, job: &TaskJob) {
    for (index, step) in spec.steps.iter_mut().enumerate() {
        step.estimate_ms = job.step_ms(index);
    }
}

fn job_id(index: usize) -> JobId {
    JobId::from(index.to_string())
}

fn index_of(job: &JobId) -> usize {
    job.as_str()
        .parse()
        .expect("the ids of the trace's jobs are numbers")
}

/// Returns the route of a job. Nothing is learned where each job has its own.
fn route_of(index: usize, durations: Durations) -> RouteName {
    match durations {
        Durations::Declared | Durations::Oracle => RouteName::from(format!("route{index}")),
        Durations::Mean | Durations::Learned(_) => RouteName::from("route"),
    }
}

fn route_config(name: RouteName) -> RouteConfig {
    RouteConfig {
        name,
        service: ServiceName::from("service"),
        priority: 0,
        max_attempts: 3,
        stretch: STRETCH,
        target_latency_ms: TARGET_LATENCY_MS,
        advice: None,
    }
}

fn registration(number: u16) -> WorkerRegistration {
    WorkerRegistration {
        id: WorkerId::from(format!("w{number}")),
        started_ms: START_UNIX_MS,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number)),
        zone: ZoneName::from("zone"),
        service: ServiceName::from("service"),
        capacity: CAPACITY,
        labels: Vec::new(),
        is_draining: false,
        warmup_ms: 0,
        clock_ms: 0,
    }
}
