//! Links of a process to the platform, which can be cut.
//!
//! During a cut, nothing passes. Bytes that were sent on open connections are held up: they arrive when the
//! cut ends, also if their sender has closed the connection since, and are lost if it has reset it. What is
//! sent on connections that are opened during the cut never arrives.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::record::Record;

/// Time from the last bytes of a connection to its end.
const END_DELAY: Duration = Duration::from_millis(50);

/// Whether the links of one process are cut.
pub struct Cut {
    pub name: String,
    is_cut: watch::Sender<bool>,
    record: Arc<Record>,
}

impl Cut {
    pub fn new(name: String, record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            name,
            is_cut: watch::Sender::new(false),
            record: Arc::clone(record),
        })
    }

    pub fn set(&self, is_cut: bool) {
        let word = if is_cut { "begins" } else { "ends" };
        self.record.line(&format!(
            "the cut of {} from the platform {word}",
            self.name
        ));
        self.is_cut.send_replace(is_cut);
    }

    fn is_on(&self) -> bool {
        *self.is_cut.borrow()
    }

    async fn wait_end(&self) {
        let mut is_cut = self.is_cut.subscribe();
        drop(is_cut.wait_for(|is_cut| !is_cut).await);
    }
}

/// Looks at what a process sends, before it is passed on.
pub type Watch = Arc<dyn Fn(&Cut, &[u8]) + Send + Sync>;

/// Starts a link to an address; returns the address that the process is given instead.
pub async fn start(
    target: SocketAddr,
    cut: Arc<Cut>,
    watch: Option<Watch>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(connect(stream, target, Arc::clone(&cut), watch.clone()));
        }
    });
    Ok(address)
}

async fn connect(stream: TcpStream, target: SocketAddr, cut: Arc<Cut>, watch: Option<Watch>) {
    if cut.is_on() {
        cut.wait_end().await;
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    drop((stream.set_nodelay(true), server.set_nodelay(true)));
    let (client_reader, client_writer) = stream.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::spawn(pass(server_reader, client_writer, Arc::clone(&cut), None));
    pass(client_reader, server_writer, cut, watch).await;
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    cut: Arc<Cut>,
    watch: Option<Watch>,
) {
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        if let Some(watch) = &watch {
            watch(&cut, &buffer[..count]);
        }
        let mut held = buffer[..count].to_vec();
        let mut is_over = count == 0;
        if cut.is_on() {
            cut.wait_end().await;
            match from.try_read(&mut buffer) {
                Ok(0) => is_over = true,
                Ok(more) => held.extend_from_slice(&buffer[..more]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                // The sender has reset the connection.
                Err(error) => {
                    let lost = held.len();
                    cut.record
                        .line(&format!("{lost} bytes that were held up are lost: {error}"));
                    return;
                }
            }
            cut.record
                .line(&format!("{} bytes that were held up arrive", held.len()));
        }
        if !held.is_empty() && to.write_all(&held).await.is_err() {
            return;
        }
        if is_over {
            // The end of a connection comes a moment after its last bytes.
            tokio::time::sleep(END_DELAY).await;
            drop(to.shutdown().await);
            return;
        }
    }
}
