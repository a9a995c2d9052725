//! A child process that a test starts, signals and kills.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

use anyhow::{Context, Result, ensure};
use rustix::pipe::fcntl_setpipe_size;
use rustix::process::{Pid, Signal, kill_process};

/// Capacity of the pipe for the process's output, in bytes: one page, the least that Linux allows.
const PIPE_CAPACITY_BYTES: usize = 4_096;

/// A running process, which is killed when this handle is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line of output, with the addresses of the listeners.
    startup_line: String,
    /// Kept open without being read, so that the pipe fills up; `None` when the pipe is closed.
    stalled_output: Option<ChildStdout>,
}

impl Process {
    /// Starts a binary of this workspace, waits until it serves and closes its output.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary isn't built, can't be started or prints another first line
    /// than one that begins with `listening`.
    pub fn spawn(binary: &str, arguments: &[String], environment: &[(&str, &str)]) -> Result<Self> {
        let mut process = Self::spawn_with_stalled_output(binary, arguments, environment)?;
        process.stalled_output = None;
        Ok(process)
    }

    /// Starts a binary of this workspace, waits until it serves and then appends its output to a
    /// file, on a thread that ends with the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be opened, the binary isn't built, can't be started or
    /// prints another first line than one that begins with `listening`.
    pub fn spawn_logged(
        binary: &str,
        arguments: &[String],
        environment: &[(&str, &str)],
        log: &Path,
    ) -> Result<Self> {
        let mut file = File::options().create(true).append(true).open(log)?;
        let mut process = Self::spawn_with_stalled_output(binary, arguments, environment)?;
        if let Some(mut output) = process.stalled_output.take() {
            std::thread::spawn(move || std::io::copy(&mut output, &mut file));
        }
        Ok(process)
    }

    /// Starts a binary of this workspace, waits until it serves and then keeps its output open
    /// without reading it; writes of the process block once the pipe holds 4,096 bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary isn't built, can't be started or prints another first line
    /// than one that begins with `listening`.
    pub fn spawn_with_stalled_output(
        binary: &str,
        arguments: &[String],
        environment: &[(&str, &str)],
    ) -> Result<Self> {
        let path = binary_path(binary)?;
        let mut child = Command::new(&path)
            .args(arguments)
            .envs(environment.iter().copied())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("{} can't be started", path.display()))?;
        let stdout = child.stdout.take().context("the process has no output")?;
        fcntl_setpipe_size(&stdout, PIPE_CAPACITY_BYTES)?;
        let mut startup_line = String::new();
        let mut reader = BufReader::new(stdout);
        reader.read_line(&mut startup_line)?;
        ensure!(
            startup_line.starts_with("listening"),
            "{binary} didn't start: {startup_line:?}"
        );
        Ok(Self {
            child,
            startup_line,
            stalled_output: Some(reader.into_inner()),
        })
    }

    /// Returns the address after `{label}=` in the startup line; with an empty label, the first
    /// address that has no label.
    ///
    /// # Errors
    ///
    /// Returns an error when the startup line has no such address.
    pub fn address(&self, label: &str) -> Result<SocketAddr> {
        self.startup_line
            .split_whitespace()
            .filter_map(|word| word.strip_prefix(label))
            .find_map(|word| word.trim_start_matches('=').parse().ok())
            .with_context(|| format!("no address with label {label:?} in {:?}", self.startup_line))
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the peak resident memory of the process in KiB.
    ///
    /// # Errors
    ///
    /// Returns an error when `/proc` has no such value for the process.
    pub fn peak_memory_kib(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
            .context("/proc reports no peak memory")
    }

    /// Returns the user and system time that the process has used, in clock ticks of 10 ms.
    ///
    /// # Errors
    ///
    /// Returns an error when `/proc` has no such value for the process.
    pub fn cpu_ticks(&self) -> Result<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, after_name) = stat.rsplit_once(')').context("malformed /proc stat file")?;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> Option<u64> { fields.get(index)?.parse().ok() };
        ticks(11)
            .zip(ticks(12))
            .map(|(user, system)| user + system)
            .context("/proc reports no processor time")
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the process can't be killed.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Suspends the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues a suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful shutdown (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends SIGHUP to the process.
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn send_sighup(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Returns the exit status of the process, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error when the status can't be read.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = i32::try_from(self.child.id())?;
        let pid = Pid::from_raw(pid).context("the process has no id")?;
        kill_process(pid, signal)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!(
                "test process {} could not be killed: {error}",
                self.child.id()
            );
        }
    }
}

/// Finds a binary in the folders above the running test's binary, such as `target/debug`.
fn binary_path(binary: &str) -> Result<PathBuf> {
    let test_binary = std::env::current_exe()?;
    let folder = test_binary
        .ancestors()
        .find(|folder| folder.join(binary).is_file())
        .with_context(|| format!("{binary} is not built; run `cargo build --workspace` first"))?;
    Ok(folder.join(binary))
}
