//! One entry process: its three listeners, the threads that serve callers, and the control thread,
//! which follows the platform's log and serves peers and operators.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cyclamentrail_core::{
    EntryName, Offset, SecretSource, Settings, SettingsError, Version, ZoneName, load_settings,
};
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{oneshot, watch};

use crate::control::{
    Actor, ActorParts, ControlHandle, Follower, Identity, PeerAddresses, PlatformClient, Recovery,
    SnapshotStore, Writer, follow_log, poll_instance_list,
};
use crate::operator::OperatorContext;
use crate::peer::PeerClient;
use crate::serve::Audience;
use crate::timer::Timer;
use crate::traffic::RequestPath;
use crate::view::SharedView;
use crate::{metrics, operator, peer, serve, traffic};

/// Interval at which the control thread checks the progress of drains.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the metrics recorder folds recorded values into the exported ones.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Divisor of the dispatch lease that gives the time limit of one long poll of the log.
const LOG_POLLS_PER_LEASE: u32 = 4;
/// Divisor of the dispatch lease that gives the time limit of one call to a peer.
const PEER_CALLS_PER_LEASE: u32 = 4;

/// Settings in which the entry processes of a site differ.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name under which the settings list the entry.
    pub name: EntryName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Address of the listener for callers; port 0 takes a free port.
    pub caller_address: SocketAddr,
    /// Address of the listener for the other entries; port 0 takes a free port.
    pub peer_address: SocketAddr,
    /// Address of the listener for operators; port 0 takes a free port.
    pub operator_address: SocketAddr,
}

/// Reason why an entry can't start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The entry isn't listed in the settings.
    #[error(
        "entry \"{0}\" is not in the settings; add it under entries or give its addresses as flags"
    )]
    UnknownEntry(EntryName),
    /// The secret that operators and peers authenticate with can't be read.
    #[error("secret can't be read from {place}: {problem}; set it before starting the entry")]
    Secret {
        /// Environment variable or file that the settings name.
        place: String,
        /// Why the secret can't be read.
        problem: String,
    },
    /// A listener can't be opened, or a thread can't be started.
    #[error("{what} can't be opened: {source}; choose a free address")]
    Io {
        /// Listener or thread that can't be opened.
        what: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// A running entry process.
#[derive(Debug)]
pub struct Entry {
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    operator_address: SocketAddr,
    control: ControlHandle,
    stop_listening: watch::Sender<bool>,
    traffic_ended: oneshot::Receiver<()>,
    traffic_state: Arc<RequestPath>,
    traffic_runtime: Option<Runtime>,
    control_thread: Option<std::thread::JoinHandle<()>>,
    stop_control: Option<oneshot::Sender<()>>,
    shared_view: Arc<SharedView>,
}

impl Entry {
    /// Starts an entry: reads its secret, opens its listeners and starts its threads.
    ///
    /// `document` is the merged settings document. The entry dispatches requests only once
    /// [`Entry::is_ready`] returns true.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings are invalid, the secret can't be read, or a listener or
    /// thread can't be opened; no listener or thread remains in that case.
    pub async fn start(document: Value, options: EntryOptions) -> Result<Self, EntryError> {
        let settings = Arc::new(load_settings(&document)?);
        metrics::recorder_handle();
        let token: Arc<str> = Arc::from(read_secret(&settings.token)?);
        let callers = bind(options.caller_address).await?;
        let peers = bind(options.peer_address).await?;
        let operators = bind(options.operator_address).await?;
        let incarnation = Identity::new_incarnation();
        let identity = Identity {
            entry: options.name,
            incarnation,
            zone: options.zone,
            peer_address: address_of(&peers)?,
        };
        let shared_view = Arc::new(SharedView::default());
        let (control, messages) = ControlHandle::new();
        let operator = OperatorContext {
            control: control.clone(),
            shared: Arc::clone(&shared_view),
            token: Arc::clone(&token),
        };
        let (stop_listening, stopped) = watch::channel(false);
        let caller_address = address_of(&callers)?;
        let peer_address = address_of(&peers)?;
        let operator_address = address_of(&operators)?;

        let runtime = tokio::runtime::Builder::new_multi_thread()
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(|source| io_error("the traffic threads", source))?;
        let traffic_state = Arc::new(RequestPath::new(
            Arc::clone(&shared_view),
            control.clone(),
            &token,
            incarnation,
            runtime.handle().clone(),
        ));
        let (stop_control, control_stopped) = oneshot::channel();
        let parts = ControlThreadParts {
            identity,
            document,
            settings: Arc::clone(&settings),
            shared_view: Arc::clone(&shared_view),
            control: control.clone(),
            operator,
            traffic_state: Arc::clone(&traffic_state),
        };
        let peers = into_std(peers)?;
        let operators = into_std(operators)?;
        let control_thread = std::thread::Builder::new()
            .name(String::from("control"))
            .spawn(move || run_control(parts, messages, peers, operators, control_stopped))
            .map_err(|source| io_error("the control thread", source))?;

        let router = traffic::router(Arc::clone(&traffic_state));
        let (ended, traffic_ended) = oneshot::channel();
        let limits = settings.caller_limits.clone();
        let callers = into_std(callers)?;
        runtime.spawn(async move {
            if let Ok(callers) = TcpListener::from_std(callers) {
                serve::serve(Audience::Callers, callers, router, limits, stopped).await;
            }
            ended.send(()).unwrap_or_default();
        });
        Ok(Self {
            caller_address,
            peer_address,
            operator_address,
            control,
            stop_listening,
            traffic_ended,
            traffic_state,
            traffic_runtime: Some(runtime),
            control_thread: Some(control_thread),
            stop_control: Some(stop_control),
            shared_view,
        })
    }

    /// Returns the address of the listener for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address of the listener for the other entries.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the listener for operators.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns whether the entry may dispatch requests to instances.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared_view.may_dispatch()
    }

    /// Returns the settings in force, or `None` before any are in force.
    #[must_use]
    pub fn settings(&self) -> Option<Arc<Settings>> {
        self.shared_view.load().settings.clone()
    }

    /// Returns the version of the settings in force.
    #[must_use]
    pub fn settings_version(&self) -> Version {
        self.shared_view.load().settings_version
    }

    /// Stops the entry gracefully.
    ///
    /// The entry first reports that it isn't ready and waits for `stop.balancer_ms`, so that the
    /// load balancer sends no more connections. Then it closes the listener for callers and waits
    /// for the requests in flight, at most for `stop.limit_ms`. Last it records in the log that it
    /// has left.
    pub async fn stop(mut self) {
        let view = self.shared_view.load();
        let timing = view
            .settings
            .as_ref()
            .map(|settings| settings.stop.clone())
            .unwrap_or_default();
        drop(view);
        self.shared_view.begin_stop();
        log::info!("stop_begun");
        tokio::time::sleep(timing.balancer_ms).await;
        self.stop_listening.send_replace(true);
        let ended = tokio::time::timeout(timing.limit_ms, self.wait_for_requests()).await;
        if ended.is_err() {
            log::warn!("requests_cut_at_limit");
        }
        if let Err(error) = self.control.leave().await {
            log::warn!(error:% = error; "leave_not_recorded");
        }
        log::info!("entry_stopped");
    }

    /// Waits until all connections are closed and the requests that outlive their connection have
    /// ended.
    async fn wait_for_requests(&mut self) {
        if (&mut self.traffic_ended).await.is_err() {
            log::warn!("traffic_ended_early");
        }
        self.traffic_state.wait_for_detached_requests().await;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(stop_control) = self.stop_control.take() {
            stop_control.send(()).unwrap_or_default();
        }
        if let Some(runtime) = self.traffic_runtime.take() {
            runtime.shutdown_background();
        }
        if let Some(thread) = self.control_thread.take() {
            drop(thread.join());
        }
    }
}

/// State that the control thread takes over when it starts.
#[derive(Debug)]
struct ControlThreadParts {
    identity: Identity,
    document: Value,
    settings: Arc<Settings>,
    shared_view: Arc<SharedView>,
    control: ControlHandle,
    operator: OperatorContext,
    traffic_state: Arc<RequestPath>,
}

/// Runs the control thread until the actor ends or `control_stopped` receives the signal.
fn run_control(
    parts: ControlThreadParts,
    messages: tokio::sync::mpsc::Receiver<crate::control::ControlMessage>,
    peers: std::net::TcpListener,
    operators: std::net::TcpListener,
    control_stopped: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!(error:% = error; "control_not_started");
            return;
        }
    };
    runtime.block_on(async move {
        let timer = Timer::start();
        tokio::spawn(metrics::run_upkeep(timer.every(METRICS_UPKEEP_INTERVAL)));
        let settings = &parts.settings;
        let control_settings = &settings.control;
        let platform = PlatformClient::new(
            settings.platform.clone(),
            control_settings.platform_timeout_ms,
        );
        let writer = Writer::start(
            platform.clone(),
            parts.control.clone(),
            control_settings.append_delay_ms,
        );
        let snapshots = SnapshotStore::new(platform.clone());
        let peer_client = PeerClient::new(
            Arc::clone(&parts.operator.token),
            control_settings.dispatch_lease_ms / PEER_CALLS_PER_LEASE,
        );
        let peer_addresses = listed_peers(settings, &parts.identity);
        let recovery = Recovery::new(
            snapshots.clone(),
            peer_client.clone(),
            Arc::clone(&peer_addresses),
        );
        let (next_offset_sender, next_offset) = watch::channel(Offset::default());
        let follower = Follower {
            platform: platform.clone(),
            control: parts.control.clone(),
            recovery,
            next_offset,
            long_poll_wait: control_settings.dispatch_lease_ms / LOG_POLLS_PER_LEASE,
        };
        let actor = Actor::new(ActorParts {
            identity: parts.identity,
            start_document: parts.document,
            start_settings: Arc::clone(settings),
            shared: parts.shared_view,
            control: parts.control.clone(),
            writer,
            platform: platform.clone(),
            snapshots,
            peers: peer_client,
            peer_addresses,
            next_offset: next_offset_sender,
        });
        tokio::spawn(follow_log(follower));
        let list_ticks = timer.every(control_settings.list_interval_ms);
        tokio::spawn(poll_instance_list(
            platform,
            parts.control.clone(),
            list_ticks,
        ));
        let (_keep_open, never_stopped) = watch::channel(false);
        for (audience, listener, router) in [
            (
                Audience::Peers,
                peers,
                peer::router(parts.operator.clone(), parts.traffic_state),
            ),
            (
                Audience::Operators,
                operators,
                operator::router(parts.operator.clone()),
            ),
        ] {
            match TcpListener::from_std(listener) {
                Ok(listener) => {
                    let limits = settings.caller_limits.clone();
                    tokio::spawn(serve::serve(
                        audience,
                        listener,
                        router,
                        limits,
                        never_stopped.clone(),
                    ));
                }
                Err(error) => log::error!(error:% = error; "listener_not_started"),
            }
        }
        tokio::select! {
            () = actor.run(messages, timer.every(DRAIN_CHECK_INTERVAL)) => {}
            _ = control_stopped => {}
        }
    });
}

/// Returns the peer addresses of the other entries in the settings, without those whose port is 0.
fn listed_peers(settings: &Settings, identity: &Identity) -> PeerAddresses {
    let addresses = settings
        .entries
        .iter()
        .filter(|(name, _)| **name != identity.entry)
        .map(|(_, entry)| entry.peer_address)
        .filter(|address| address.port() != 0)
        .collect();
    Arc::new(Mutex::new(addresses))
}

fn read_secret(source: &SecretSource) -> Result<String, EntryError> {
    let (place, read) = match source {
        SecretSource::Environment(name) => (
            format!("environment variable {name}"),
            std::env::var(name).map_err(|error| error.to_string()),
        ),
        SecretSource::File(path) => (
            format!("file {path}"),
            std::fs::read_to_string(path).map_err(|error| error.to_string()),
        ),
    };
    match read {
        Ok(text) if !text.trim().is_empty() => Ok(text.trim().to_owned()),
        Ok(_) => Err(EntryError::Secret {
            place,
            problem: String::from("it is empty"),
        }),
        Err(problem) => Err(EntryError::Secret { place, problem }),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| io_error(&format!("listener {address}"), source))
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, EntryError> {
    listener
        .local_addr()
        .map_err(|source| io_error("listener", source))
}

fn into_std(listener: TcpListener) -> Result<std::net::TcpListener, EntryError> {
    listener
        .into_std()
        .map_err(|source| io_error("listener", source))
}

fn io_error(what: &str, source: std::io::Error) -> EntryError {
    EntryError::Io {
        what: what.to_owned(),
        source,
    }
}
