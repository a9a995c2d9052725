//! One process that a test started.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

use anyhow::{Context, Result, ensure};
use rustix::pipe::fcntl_setpipe_size;
use rustix::process::{Pid, Signal, kill_process};

/// Output that the system keeps for a reader, in bytes.
const UNREAD_BYTES: usize = 4_096;

/// A started process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    banner: String,
    /// Output that nobody reads.
    unread: Option<ChildStdout>,
}

impl Process {
    /// Starts a binary of this workspace and waits until it serves.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary isn't built or doesn't start serving.
    pub fn spawn(binary: &str, arguments: &[String], environment: &[(&str, &str)]) -> Result<Self> {
        let mut process = Self::spawn_unread(binary, arguments, environment)?;
        process.unread = None;
        Ok(process)
    }

    /// Starts a binary of this workspace and reads nothing of its output once it serves; the
    /// system keeps a page of it.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary isn't built or doesn't start serving.
    pub fn spawn_unread(
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
        fcntl_setpipe_size(&stdout, UNREAD_BYTES)?;
        let mut banner = String::new();
        let mut reader = BufReader::new(stdout);
        reader.read_line(&mut banner)?;
        ensure!(
            banner.starts_with("listening"),
            "{binary} didn't start: {banner:?}"
        );
        Ok(Self {
            child,
            banner,
            unread: Some(reader.into_inner()),
        })
    }

    /// Returns the address that the process printed after a label, or as its only one.
    ///
    /// # Errors
    ///
    /// Returns an error when the process printed no such address.
    pub fn address(&self, label: &str) -> Result<SocketAddr> {
        self.banner
            .split_whitespace()
            .filter_map(|word| word.strip_prefix(label))
            .find_map(|word| word.trim_start_matches('=').parse().ok())
            .with_context(|| format!("no address {label:?} in {:?}", self.banner))
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory in KiB that the process ever held.
    ///
    /// # Errors
    ///
    /// Returns an error when the system doesn't tell.
    pub fn peak_memory_kib(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
            .context("the system tells no peak of memory")
    }

    /// Returns the processor time that the process has used, in clock ticks of 10 ms.
    ///
    /// # Errors
    ///
    /// Returns an error when the system doesn't tell.
    pub fn processor_ticks(&self) -> Result<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, after_name) = stat.rsplit_once(')').context("malformed stat")?;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> Option<u64> { fields.get(index)?.parse().ok() };
        ticks(11)
            .zip(ticks(12))
            .map(|(user, system)| user + system)
            .context("the system tells no processor time")
    }

    /// Kills the process at once.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't be killed.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Freezes the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop in order (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Hangs up on the process (SIGHUP).
    ///
    /// # Errors
    ///
    /// Returns an error when the signal can't be sent.
    pub fn hang_up(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Returns how the process ended, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error when the process can't be asked.
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
            eprintln!("test process {} was not ended: {error}", self.child.id());
        }
    }
}

fn binary_path(binary: &str) -> Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folder = test
        .ancestors()
        .find(|folder| folder.join(binary).is_file())
        .with_context(|| format!("{binary} is not built; run `cargo build --workspace` first"))?;
    Ok(folder.join(binary))
}
