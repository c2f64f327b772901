use std::{sync::Arc, time::Duration};

use slog::Logger;
use smol::{channel::Receiver, net::TcpListener};

use super::{Error, Settings};
use crate::{
    clock::Clock,
    link::{self, Hub, Inbound},
    wire::Hello,
};

/// Messages of other VMs that may wait.
const INBOUND_QUEUE: usize = 1024;

/// The links of a VM, which take connections from now on.
#[derive(Debug)]
pub(crate) struct Links {
    /// All links.
    pub(crate) hub: Arc<Hub>,
    /// What other VMs send.
    pub(crate) inbound: Receiver<Inbound>,
    /// Tells this lifetime of the process from others of the VM.
    pub(crate) incarnation: u64,
}

impl Links {
    /// Takes the port for links.
    pub(crate) async fn open(
        settings: &Settings,
        clock: &dyn Clock,
        logger: &Logger,
    ) -> Result<Self, Error> {
        let (sender, inbound) = smol::channel::bounded(INBOUND_QUEUE);
        let incarnation = incarnation(clock);
        let hello = Hello {
            vm: settings.vm().to_string(),
            region: settings.region.to_string(),
            incarnation,
            connection: 0,
        };
        let hub = Hub::with_logger(hello, link_settings(), sender, logger.clone());
        let address = settings.links_bind_address();
        let listener =
            TcpListener::bind(address).await.map_err(|cause| Error::Listen(address, cause))?;
        let accepting = Arc::clone(&hub);
        smol::spawn(async move {
            let _ = accepting.accept(listener).await;
        })
        .detach();
        Ok(Self { hub, inbound, incarnation })
    }
}

/// The settings of links where any VM may vanish: a VM that does not answer is given up sooner
/// than callers wait for a connection, one second.
fn link_settings() -> link::Settings {
    link::Settings {
        connect: Duration::from_millis(700),
        heartbeat: Duration::from_millis(700),
        silence: Duration::from_secs(2),
        trial: Duration::from_millis(400),
        backoff_limit: Duration::from_millis(800),
        ..link::Settings::default()
    }
}

/// Grows from one start of a process to the next as far as the time of day does; only used to tell
/// lifetimes of one VM apart.
fn incarnation(clock: &dyn Clock) -> u64 {
    let since = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
