use std::{io, sync::Arc, time::Instant};

use futures_util::{SinkExt, StreamExt};
use prost::{Message, bytes::Bytes};
use smol::{
    Timer,
    channel::{Receiver, Sender},
    future::{FutureExt, or},
    net::TcpStream,
};
use tokio_util::{
    codec::{Framed, LengthDelimitedCodec},
    compat::{Compat, FuturesAsyncReadCompatExt},
};

use super::{
    Connection, Due, Error, Inbound, Opened, Settings, Traffic, connection::Queues, hub::within,
};
use crate::{
    id,
    wire::{Abort, Body, Frame, Heartbeat, Hello, Notice, Reply, Topic},
};

type Socket = Framed<Compat<TcpStream>, LengthDelimitedCodec>;
type Sink = futures_util::stream::SplitSink<Socket, Bytes>;
type Source = futures_util::stream::SplitStream<Socket>;

/// Which end of a connection this VM is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// This VM dialled, and opens exchanges.
    Dialler,
    /// The other VM dialled, and opens exchanges.
    Acceptor,
}

/// Runs one connection: reads, writes and watches for silence.
pub(super) struct Driver {
    socket: Socket,
    queues: Queues,
    connection: Arc<Connection>,
    settings: Settings,
    /// Who speaks at the other end.
    pub(super) other: Hello,
    end: End,
}

struct Reader<'a> {
    connection: &'a Arc<Connection>,
    other: &'a Hello,
    end: End,
    opened: Opened,
    inbound: Sender<Inbound>,
}

impl Driver {
    /// Exchanges hellos on `stream`; the connection is fit for use once the other VM's has come.
    pub(super) async fn open(
        stream: TcpStream,
        hello: Hello,
        settings: Settings,
        end: End,
    ) -> io::Result<(Arc<Connection>, Self)> {
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(settings.max_frame_bytes).new_codec();
        let mut socket = Framed::new(stream.compat(), codec);
        let first = encode(&Frame::new(0, Body::Hello(hello)));
        let greet = async {
            socket.send(first).await?;
            read_hello(&mut socket).await
        };
        let other = within(settings.connect_timeout, greet)
            .await
            .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no hello came"))??;
        let (connection, queues) = Connection::new(settings, Instant::now());
        let driver =
            Self { socket, queues, connection: Arc::clone(&connection), settings, other, end };
        Ok((connection, driver))
    }

    /// Carries frames until the connection fails, goes silent, or `closing` closes.
    pub(super) async fn run(
        self,
        inbound: Sender<Inbound>,
        closing: Receiver<()>,
        traffic: Arc<Traffic>,
    ) -> Result<(), Error> {
        let Self { socket, queues, connection, settings, other, end } = self;
        let (sink, source) = socket.split();
        let reader = Reader {
            connection: &connection,
            other: &other,
            end,
            opened: Opened::default(),
            inbound,
        };
        let closed = async {
            let _ = closing.recv().await;
            Ok(())
        };
        let read = reader.run(source);
        let write = write(sink, queues, &connection, &traffic);
        let watch = watch(&connection, settings, end);
        let result = closed.or(or(read, or(write, watch))).await;
        connection.close();
        result
    }
}

async fn read_hello(socket: &mut Socket) -> io::Result<Hello> {
    let bytes = socket.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    match Frame::decode(bytes).map(|frame| frame.body) {
        Ok(Some(Body::Hello(hello))) => Ok(hello),
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, "the first frame is no hello")),
    }
}

async fn write(
    mut sink: Sink,
    queues: Queues,
    connection: &Connection,
    traffic: &Traffic,
) -> Result<(), Error> {
    loop {
        let frame = or(queues.small.recv(), queues.bulk.recv()).await;
        let frame = frame.map_err(|_| Error::Closed)?;
        sink.send(encode(&frame)).await.map_err(|_| Error::Closed)?;
        traffic.count(&frame);
        connection.liveness().wrote(Instant::now());
    }
}

async fn watch(connection: &Connection, settings: Settings, end: End) -> Result<(), Error> {
    loop {
        let now = Instant::now();
        if end == End::Dialler && connection.close_if_idle(settings.idle_close_timeout, now) {
            return Err(Error::Closed);
        }
        let busy = connection.is_busy(now);
        let due = {
            let mut liveness = connection.liveness();
            liveness.stake(busy, now);
            liveness.due(now)
        };
        match due {
            Due::Wait(time) => {
                // Woken by each exchange, the wait could else outlast every idle time.
                let timer = async {
                    Timer::after(time.min(settings.idle_close_timeout)).await;
                };
                let woken = async {
                    let _ = connection.woken.recv().await;
                };
                or(timer, woken).await;
            }
            Due::Silent => return Err(Error::Silent),
            Due::Heartbeat { urgent } => {
                connection.write_now(Frame::new(0, Body::Heartbeat(Heartbeat { urgent })));
                connection.liveness().beat(now);
            }
        }
    }
}

impl Reader<'_> {
    async fn run(mut self, mut source: Source) -> Result<(), Error> {
        while let Some(bytes) = source.next().await {
            let bytes = bytes.map_err(|cause| match cause.kind() {
                io::ErrorKind::InvalidData => Error::Protocol("a frame beyond the size limit"),
                _ => Error::Closed,
            })?;
            self.connection.heard(Instant::now());
            let frame = Frame::decode(bytes)
                .map_err(|_| Error::Protocol("a frame that cannot be decoded"))?;
            self.take(frame)?;
        }
        Err(Error::Closed)
    }

    fn take(&mut self, frame: Frame) -> Result<(), Error> {
        let exchange = frame.exchange;
        let body = frame.body.ok_or(Error::Protocol("a frame of an unknown kind"))?;
        if let Body::Heartbeat(heartbeat) = body {
            self.heartbeat(heartbeat);
            return Ok(());
        }
        self.connection.used(Instant::now());
        match body {
            Body::Notice(notice) => self.notice(notice),
            Body::Hello(_) => Err(Error::Protocol("a second hello")),
            body @ (Body::Call(_) | Body::Handover(_)) => self.open(exchange, body),
            body => self.connection.deliver(exchange, body),
        }
    }

    fn heartbeat(&self, heartbeat: Heartbeat) {
        if heartbeat.urgent && self.connection.liveness().urged(Instant::now()) {
            self.connection.wake();
        }
    }

    fn notice(&self, notice: Notice) -> Result<(), Error> {
        let Notice { topic, payload } = notice;
        let topic = Topic::from_number(topic).ok_or(Error::Protocol("an unknown topic"))?;
        let _ = self.inbound.try_send(Inbound::Notice { from: self.from(), topic, payload });
        Ok(())
    }

    /// Passes on what opens an exchange, unless it was opened before.
    fn open(&mut self, exchange: u64, body: Body) -> Result<(), Error> {
        if self.end == End::Dialler {
            return Err(Error::Protocol("an exchange opened by the VM that accepted"));
        }
        if !self.opened.first(exchange) {
            return Ok(());
        }
        match body {
            Body::Call(call) => {
                let topic =
                    Topic::from_number(call.topic).ok_or(Error::Protocol("an unknown topic"))?;
                let reply = self.replier(exchange);
                let payload = call.payload;
                let call = Inbound::Call { from: self.from(), topic, payload, reply };
                let _ = self.inbound.try_send(call);
            }
            Body::Handover(handover) => {
                let region = id::Region::from(self.other.region.as_str());
                let from = self.from();
                let exchange = self.connection.register(exchange);
                let handover = Inbound::Handover { from, region, handover, exchange };
                if let Err(full) = self.inbound.try_send(handover) {
                    refuse(full.into_inner());
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn from(&self) -> id::Vm {
        id::Vm::from(self.other.vm.as_str())
    }

    fn replier(&self, exchange: u64) -> Sender<Bytes> {
        let (sender, replies) = smol::channel::bounded::<Bytes>(1);
        let connection = Arc::clone(self.connection);
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

/// Answers a hand-over that found no room: it did not run.
fn refuse(message: Inbound) {
    let Inbound::Handover { mut exchange, .. } = message else { return };
    let abort = Abort {
        did_not_run: true,
        reason: serde_json::to_string(&crate::outcome::Reason::Overloaded).unwrap_or_default(),
        detail: "the VM takes no more hand-overs now".to_owned(),
        remedy: "try again later".to_owned(),
        retry_after_ms: 1000,
        still_running: false,
    };
    let answer = async move {
        let _ = exchange.send(Body::Abort(abort)).await;
    };
    smol::spawn(answer).detach();
}

fn encode(frame: &Frame) -> Bytes {
    Bytes::from(frame.encode_to_vec())
}
