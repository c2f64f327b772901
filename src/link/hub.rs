use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::future::{Either, select};
use prost::bytes::Bytes;
use smol::{
    Timer,
    channel::Sender,
    net::{TcpListener, TcpStream},
};

use super::{Connection, Error, Exchange, Inbound, Settings};
use crate::wire::{Body, Call, Frame, Handover, Hello, Notice, Topic};

/// All links of one VM.
#[derive(Debug)]
pub struct Hub {
    hello: Hello,
    settings: Settings,
    inbound: Sender<Inbound>,
    next: AtomicU64,
    dialled: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

impl Hub {
    /// Creates the links of the VM that `hello` names; what others send goes to `inbound`.
    pub fn new(hello: Hello, settings: Settings, inbound: Sender<Inbound>) -> Arc<Self> {
        let next = AtomicU64::new(1);
        Arc::new(Self { hello, settings, inbound, next, dialled: Mutex::default() })
    }

    /// Takes connections from other VMs until the listener fails.
    ///
    /// # Errors
    ///
    /// Where the listener fails.
    pub async fn accept(&self, listener: TcpListener) -> io::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            self.adopt(stream);
        }
    }

    /// Sends a message that wants no reply, if a connection to `to` is open or can be opened.
    ///
    /// # Errors
    ///
    /// Where the VM cannot be reached.
    pub async fn notify(&self, to: SocketAddr, topic: Topic, payload: Bytes) -> Result<(), Error> {
        let body = Body::Notice(Notice { topic: topic.number(), payload });
        self.connection(to).await?.write(Frame::new(0, body)).await
    }

    /// Sends a message and waits for its reply.
    ///
    /// # Errors
    ///
    /// Where the VM cannot be reached or no reply comes within `limit`; only
    /// [`Error::Unreachable`] says that nothing was sent.
    pub async fn call(
        &self,
        to: SocketAddr,
        topic: Topic,
        payload: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let mut exchange = self.connection(to).await?.open();
        exchange.send(Body::Call(Call { topic: topic.number(), payload })).await?;
        let reply = within(limit, exchange.receive()).await??;
        match reply {
            Body::Reply(reply) => Ok(reply.payload),
            _ => Err(Error::Protocol("a reply was due")),
        }
    }

    /// Hands a caller's request over to the VM at `to`.
    ///
    /// # Errors
    ///
    /// Where the VM cannot be reached.
    pub async fn hand_over(&self, to: SocketAddr, handover: Handover) -> Result<Exchange, Error> {
        let mut exchange = self.connection(to).await?.open();
        exchange.send(Body::Handover(Box::new(handover))).await?;
        Ok(exchange)
    }

    async fn connection(&self, to: SocketAddr) -> Result<Arc<Connection>, Error> {
        if let Some(connection) = self.dialled().get(&to).filter(|found| found.is_open()) {
            return Ok(Arc::clone(connection));
        }
        let stream = self.dial(to).await.map_err(|cause| Error::Unreachable(to, cause))?;
        let connection = self.adopt(stream);
        self.dialled().insert(to, Arc::clone(&connection));
        Ok(connection)
    }

    async fn dial(&self, to: SocketAddr) -> io::Result<TcpStream> {
        within(self.settings.connect, TcpStream::connect(to))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    fn adopt(&self, stream: TcpStream) -> Arc<Connection> {
        let _ = stream.set_nodelay(true);
        let connection = self.next.fetch_add(1, Ordering::Relaxed);
        let hello = Hello { connection, ..self.hello.clone() };
        let (connection, reader) = Connection::start(stream, hello, self.settings);
        smol::spawn(reader.run(self.inbound.clone())).detach();
        connection
    }

    fn dialled(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.dialled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Result<T, Error> {
    match select(std::pin::pin!(work), Timer::after(limit)).await {
        Either::Left((done, _)) => Ok(done),
        Either::Right(_) => Err(Error::Timeout),
    }
}
