//! The `edge` process, the only role on the users' platform: accepts jobs from callers and owns
//! some of the shards.
//!
//! All processes run the same code. A caller's request goes to the owner of its service, which is
//! this process or another one. The platform's consumer group assigns shards to processes; a
//! process becomes the owner of a shard by its claim in the store. The offset of the claim gives
//! the fencing token for workers, which is also the epoch of the shard's records.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use cyclamentrail_adapter::{HttpClient, ProcessSettings, Store};
use cyclamentrail_core::{LogLevel, LogSettings};
use cyclamentrail_jobs::RunTimeUses;
use rustix::net::sockopt;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use crate::logging::Logging;
use crate::metrics;
use crate::serve::{self, Audience};

mod claims;
mod clocks;
mod commit_log;
mod confirmation;
mod decision_log;
mod earlier_owners;
mod front;
mod internal;
mod line_budget;
mod machine_duty;
mod membership;
mod messages;
mod open_requests;
mod operator_topic;
mod operator_views;
mod owner;
mod peers;
mod process_state;
mod queue_directory;
mod quota_ledger;
mod relay;
mod revocation;
mod stop_times;
mod takeover;
mod team_views;
mod topic_reader;
mod worker_registry;

use process_state::ProcessState;
use stop_times::StopTimes;

/// Time limit for connecting to the store, a worker or another service of the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two runs of the metrics upkeep, which aggregates recorded durations.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the process until SIGTERM.
///
/// # Errors
///
/// Returns an error if a listener can't be bound, the log can't be opened or a signal handler can't
/// be installed.
pub(crate) async fn run(settings: ProcessSettings, run_time_uses: RunTimeUses) -> Result<()> {
    let log_settings = LogSettings {
        level: LogLevel::Info,
        destination: String::from("stdout"),
    };
    let bound = bind_listeners(settings, run_time_uses).await?;
    let process = Arc::clone(&bound.process);
    println!(
        "listening callers={} ready={} peers={} metrics={}",
        process.settings.caller_listener,
        process.settings.readiness_listener,
        process.settings.internal_listener,
        process.settings.metrics_listener
    );
    let logging = Arc::new(Logging::start(
        &log_settings,
        &process.settings.machine_name,
    )?);
    tokio::spawn(run_metrics_upkeep(Arc::clone(&logging)));
    log::info!(zone:% = process.settings.zone, store:% = process.settings.store; "started");
    let mut signals = Signals::new()?;
    bound
        .serve_until(signals.wait_for_terminate(&process))
        .await;
    let requests_cut = process.open_requests.count();
    log::info!(requests_cut = requests_cut; "stopped");
    Ok(())
}

/// A process whose listeners are bound and that doesn't serve requests yet.
pub(crate) struct BoundProcess {
    process: Arc<ProcessState>,
    front: TcpListener,
    ready: TcpListener,
    internal: TcpListener,
    metrics: TcpListener,
}

/// Binds the listeners to the addresses of the settings.
///
/// # Errors
///
/// Returns an error that names the address that can't be bound.
pub(crate) async fn bind_listeners(
    settings: ProcessSettings,
    run_time_uses: RunTimeUses,
) -> Result<BoundProcess> {
    let http_client = HttpClient::new(CONNECT_TIMEOUT);
    let store = Store::new(http_client.clone(), settings.store, STORE_TIMEOUT);
    let process =
        Arc::new(ProcessState::new(settings, http_client, store).run_time_uses(run_time_uses));
    // Installs the recorder first: counts recorded before that are lost.
    metrics::recorder_handle();
    Ok(BoundProcess {
        front: bind(process.settings.caller_listener).await?,
        ready: bind(process.settings.readiness_listener).await?,
        internal: bind(process.settings.internal_listener).await?,
        metrics: bind(process.settings.metrics_listener).await?,
        process,
    })
}

impl BoundProcess {
    /// Serves requests until `stop` resolves, then shuts down within the grace period: gives up the
    /// shards at once, keeps serving callers for half of the period, and stops the other listeners
    /// last.
    pub(crate) async fn serve_until(self, stop: impl Future<Output = ()>) {
        let (front_stop, front_stopped) = watch::channel(false);
        let (all_stop, all_stopped) = watch::channel(false);
        let process = self.process;
        limit_unacked(&self.front, process.settings.caller_bounds.max_unacked_ms);
        let front = tokio::spawn(serve::serve(
            Audience::Callers,
            self.front,
            front::router(Arc::clone(&process)),
            process.limits(Audience::Callers),
            front_stopped,
        ));
        let operators = internal::metrics_router(Arc::clone(&process))
            .merge(operator_views::router(Arc::clone(&process)));
        let ready_router = front::ready_router(Arc::clone(&process));
        let other_listeners = [
            (Audience::Operators, self.ready, ready_router),
            (
                Audience::Peers,
                self.internal,
                internal::router(Arc::clone(&process)),
            ),
            (Audience::Operators, self.metrics, operators),
        ];
        for (audience, listener, router) in other_listeners {
            let stop = all_stopped.clone();
            tokio::spawn(serve::serve(
                audience,
                listener,
                router,
                process.limits(audience),
                stop,
            ));
        }
        tokio::spawn(operator_topic::follow(Arc::clone(&process)));
        tokio::spawn(revocation::watch(Arc::clone(&process)));
        tokio::spawn(claims::follow(Arc::clone(&process)));
        tokio::spawn(worker_registry::follow(Arc::clone(&process)));
        let relay_task = tokio::spawn(relay::maintain(Arc::clone(&process)));
        let membership_task = tokio::spawn(membership::maintain(Arc::clone(&process), all_stopped));

        stop.await;
        log::info!("stopping");
        let grace = Duration::from_millis(process.settings.bounds.shutdown_grace_ms);
        let times = StopTimes::new(tokio::time::Instant::now(), grace);
        process.begin_stop(times.last_response);
        let shards_task = tokio::spawn(async move { process.give_up_shards().await });
        tokio::time::sleep_until(times.front_stop).await;
        front_stop.send_replace(true);
        drop(tokio::time::timeout_at(times.exit, front).await);
        all_stop.send_replace(true);
        for task in [shards_task, membership_task, relay_task] {
            drop(tokio::time::timeout_at(times.exit, task).await);
        }
    }
}

/// Bounds the time for which a caller may leave sent data unread; accepted sockets inherit the bound.
fn limit_unacked(listener: &TcpListener, max_ms: u32) {
    if let Err(error) = sockopt::set_tcp_user_timeout(listener, max_ms) {
        log::warn!(error:% = error; "unread_responses_unbounded");
    }
}

/// Periodically aggregates recorded durations, so that they don't accumulate between scrapes, and
/// exports the number of dropped log lines.
async fn run_metrics_upkeep(logging: Arc<Logging>) {
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        metrics::recorder_handle().run_upkeep();
        metrics::set_dropped_lines(logging.dropped_lines());
    }
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("can't listen on {address}; free the address or change it"))
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM; at each SIGHUP reports whether the settings have changed.
    async fn wait_for_terminate(&mut self, process: &ProcessState) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hang_up.recv() => report_settings_change(process),
            }
        }
    }
}

/// Compares the settings file with the settings in use and logs the result; changes apply only
/// after a restart.
fn report_settings_change(process: &ProcessState) {
    match ProcessSettings::load() {
        Ok(settings) if settings == process.settings => log::info!("settings_unchanged"),
        Ok(_) => log::warn!(remedy = "restart the process"; "settings_changed"),
        Err(error) => log::warn!(error:% = error; "settings_kept"),
    }
}
