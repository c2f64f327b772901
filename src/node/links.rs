use std::{sync::Arc, time::Duration};

use slog::Logger;
use smol::{channel::Receiver, net::TcpListener};

use super::{Error, Settings};
use crate::{
    clock::Clock,
    link::{self, Hub, Inbound},
    wire::Hello,
};

/// Capacity of the queue of messages from other VMs.
const INBOUND_QUEUE_MESSAGES: usize = 1024;

/// The links of a VM to other VMs.
#[derive(Debug)]
pub(crate) struct Links {
    /// The hub that holds all links.
    pub(crate) hub: Arc<Hub>,
    /// Messages from other VMs.
    pub(crate) inbound: Receiver<Inbound>,
    /// Start time of the process. Tells it from earlier processes of the same VM.
    pub(crate) incarnation: u64,
}

impl Links {
    /// Binds the port for links and begins to accept connections.
    pub(crate) async fn open(
        settings: &Settings,
        clock: &dyn Clock,
        logger: &Logger,
    ) -> Result<Self, Error> {
        let (sender, inbound) = smol::channel::bounded(INBOUND_QUEUE_MESSAGES);
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
        let accepting_hub = Arc::clone(&hub);
        smol::spawn(async move {
            let _ = accepting_hub.accept(listener).await;
        })
        .detach();
        Ok(Self { hub, inbound, incarnation })
    }
}

/// Link settings for a deployment where any VM may vanish. A connection to a VM that does not
/// answer times out before the callers' own connect timeout, which is one second.
fn link_settings() -> link::Settings {
    link::Settings {
        connect_timeout: Duration::from_millis(700),
        heartbeat_interval: Duration::from_millis(700),
        silence_timeout: Duration::from_secs(2),
        probe_timeout: Duration::from_millis(400),
        max_backoff: Duration::from_millis(800),
        ..link::Settings::default()
    }
}

/// The current Unix time in microseconds. It increases from one process of a VM to the next unless
/// the VM's clock is set back, and is only used to tell these processes apart.
fn incarnation(clock: &dyn Clock) -> u64 {
    let since_epoch = clock.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
