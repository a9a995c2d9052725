//! Runs one stand-in as a separate process, for tests and benches.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use cyclamentrail_core::InstanceName;
use cyclamentrail_standin::{Backend, ListService, LogService, PassThrough};
use getopts::Options;

/// Slots of a backend server without `--slots`.
const DEFAULT_SLOTS: u32 = 8;

fn main() -> Result<()> {
    let is_proxy = std::env::args().nth(1).is_some_and(|role| role == "pass");
    let mut builder = if is_proxy {
        tokio::runtime::Builder::new_multi_thread()
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    builder.enable_all().build()?.block_on(run())
}

async fn run() -> Result<()> {
    let mut options = Options::new();
    options.optopt(
        "",
        "address",
        "address to listen on (default 127.0.0.1:0)",
        "IP:PORT",
    );
    options.optopt("", "name", "instance name (backend only)", "NAME");
    options.optopt(
        "",
        "slots",
        "request slots of the instance (backend only, default 8)",
        "N",
    );
    options.optopt(
        "",
        "to",
        "address of the backend server (pass only)",
        "IP:PORT",
    );
    let matches = options
        .parse(std::env::args().skip(1))
        .context("reading arguments")?;
    let address: SocketAddr = matches
        .opt_get_default("address", SocketAddr::from(([127, 0, 0, 1], 0)))
        .context("reading --address")?;
    match matches.free.first().map(String::as_str) {
        Some("log") => {
            let service = LogService::start(address).await?;
            serve_until_killed(service.address()).await;
        }
        Some("list") => {
            let service = ListService::start(address).await?;
            serve_until_killed(service.address()).await;
        }
        Some("backend") => {
            let name = matches.opt_str("name").context("backend requires --name")?;
            let slots = matches
                .opt_get_default("slots", DEFAULT_SLOTS)
                .context("reading --slots")?;
            let service = Backend::start(address, InstanceName::from(name), slots).await?;
            serve_until_killed(service.address()).await;
        }
        Some("pass") => {
            let target = matches.opt_str("to").context("pass requires --to")?;
            let target = target.parse().context("reading --to")?;
            let service = PassThrough::start(address, target).await?;
            serve_until_killed(service.address()).await;
        }
        _ => bail!(
            "{}",
            options.usage("cyclamentrail-standin log|list|backend|pass [options]")
        ),
    }
    Ok(())
}

/// Prints the address for the parent process and waits until the process is killed.
async fn serve_until_killed(address: SocketAddr) {
    println!("listening {address}");
    std::future::pending::<()>().await;
}
