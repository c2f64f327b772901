use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use futures_util::{SinkExt, StreamExt};
use prost::{Message, bytes::Bytes};
use smol::{
    channel::{Receiver, Sender},
    net::TcpStream,
};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    compat::{Compat, FuturesAsyncReadCompatExt},
};

use super::{Error, Exchange, Inbound, Settings};
use crate::{
    id,
    wire::{Body, Frame, Hello, Notice, Reply, Topic},
};

type Socket = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

/// One connection and the exchanges open on it.
#[derive(Debug)]
pub(super) struct Connection {
    outgoing: Sender<Frame>,
    exchanges: Mutex<HashMap<u64, Sender<Body>>>,
    next: AtomicU64,
}

impl Connection {
    /// Takes over `stream` and says hello; gives the connection and its reading half to run.
    pub(super) fn start(
        stream: TcpStream,
        hello: Hello,
        settings: Settings,
    ) -> (Arc<Self>, Reader) {
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(settings.frame_limit).new_codec();
        let (sink, source) = Framed::new(stream.compat(), codec).split();
        let (outgoing, frames) = smol::channel::bounded(settings.queue);
        smol::spawn(write_frames(sink, frames, hello)).detach();
        let connection =
            Arc::new(Self { outgoing, exchanges: Mutex::default(), next: AtomicU64::new(1) });
        (Arc::clone(&connection), Reader { source, connection })
    }

    /// Opens a new exchange.
    pub(super) fn open(self: &Arc<Self>) -> Exchange {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.register(number)
    }

    /// Whether the connection can still carry frames.
    pub(super) fn is_open(&self) -> bool {
        !self.outgoing.is_closed()
    }

    pub(super) async fn write(&self, frame: Frame) -> Result<(), Error> {
        self.outgoing.send(frame).await.map_err(|_| Error::Closed)
    }

    /// Writes a frame if there is room, else drops it.
    pub(super) fn write_now(&self, frame: Frame) {
        let _ = self.outgoing.try_send(frame);
    }

    pub(super) fn forget(&self, number: u64) {
        self.exchanges().remove(&number);
    }

    fn register(self: &Arc<Self>, number: u64) -> Exchange {
        let (sender, incoming) = smol::channel::unbounded();
        self.exchanges().insert(number, sender);
        Exchange::new(number, Arc::clone(self), incoming)
    }

    fn deliver(&self, number: u64, body: Body) {
        if let Some(sender) = self.exchanges().get(&number) {
            let _ = sender.try_send(body);
        }
    }

    fn close(&self) {
        self.outgoing.close();
        self.exchanges().clear();
    }

    fn exchanges(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Sender<Body>>> {
        self.exchanges.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn write_frames(
    mut sink: futures_util::stream::SplitSink<Socket, Bytes>,
    frames: Receiver<Frame>,
    hello: Hello,
) {
    let mut frame = Frame::new(0, Body::Hello(hello));
    loop {
        let bytes = Bytes::from(frame.encode_to_vec());
        if sink.send(bytes).await.is_err() {
            frames.close();
            return;
        }
        match frames.recv().await {
            Ok(next) => frame = next,
            Err(_) => return,
        }
    }
}

/// The reading half of a connection.
pub(super) struct Reader {
    source: futures_util::stream::SplitStream<Socket>,
    connection: Arc<Connection>,
}

impl Reader {
    /// Delivers frames until the connection ends.
    pub(super) async fn run(mut self, inbound: Sender<Inbound>) {
        let Some(hello) = self.hello().await else {
            self.connection.close();
            return;
        };
        while let Some(frame) = self.next().await {
            if self.take(&hello, frame, &inbound).await.is_none() {
                break;
            }
        }
        self.connection.close();
    }

    async fn hello(&mut self) -> Option<Hello> {
        match self.next().await?.body? {
            Body::Hello(hello) => Some(hello),
            _ => None,
        }
    }

    async fn next(&mut self) -> Option<Frame> {
        let bytes = self.source.next().await?.ok()?;
        Frame::decode(bytes).ok()
    }

    async fn take(&self, hello: &Hello, frame: Frame, inbound: &Sender<Inbound>) -> Option<()> {
        let from = id::Vm::from(hello.vm.as_str());
        match frame.body? {
            Body::Notice(Notice { topic, payload }) => {
                let topic = Topic::from_number(topic)?;
                inbound.send(Inbound::Notice { from, topic, payload }).await.ok()
            }
            Body::Call(call) => {
                let topic = Topic::from_number(call.topic)?;
                let reply = self.replier(frame.exchange);
                let payload = call.payload;
                inbound.send(Inbound::Call { from, topic, payload, reply }).await.ok()
            }
            Body::Handover(handover) => {
                let exchange = self.connection.register(frame.exchange);
                let region = id::Region::from(hello.region.as_str());
                inbound.send(Inbound::Handover { from, region, handover, exchange }).await.ok()
            }
            Body::Hello(_) => None,
            Body::Heartbeat(_) => Some(()),
            body => {
                self.connection.deliver(frame.exchange, body);
                Some(())
            }
        }
    }

    fn replier(&self, exchange: u64) -> Sender<Bytes> {
        let (sender, replies) = smol::channel::bounded::<Bytes>(1);
        let connection = Arc::clone(&self.connection);
        let reply = async move {
            if let Ok(payload) = replies.recv().await {
                let body = Body::Reply(Reply { payload });
                let _ = connection.write(Frame::new(exchange, body)).await;
            }
        };
        smol::spawn(reply).detach();
        sender
    }
}
