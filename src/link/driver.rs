use std::{io, pin::pin, sync::Arc, time::Instant};

use futures_util::{SinkExt, StreamExt, future::join};
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
    Connection, Error, Inbound, LivenessAction, OpenedExchanges, Settings, Traffic,
    connection::Queues, hub::within,
};
use crate::{
    id,
    wire::{Abort, Body, Frame, Heartbeat, Hello, Notice, Reply, Topic},
};

type Socket = Framed<Compat<TcpStream>, LengthDelimitedCodec>;
type FrameSink = futures_util::stream::SplitSink<Socket, Bytes>;
type FrameSource = futures_util::stream::SplitStream<Socket>;

/// The largest first frame of a connection. A hello takes about a hundred bytes, and anyone may connect.
const MAX_HELLO_BYTES: usize = 16 * 1024;

/// The role of this VM on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// This VM dialled the connection and opens exchanges.
    Dialer,
    /// The other VM dialled the connection and opens exchanges.
    Acceptor,
}

/// Runs one connection: reads and writes frames and monitors liveness.
pub(super) struct Driver {
    socket: Socket,
    queues: Queues,
    connection: Arc<Connection>,
    settings: Settings,
    pub(super) peer_hello: Hello,
    role: Role,
}

struct Reader<'a> {
    connection: &'a Arc<Connection>,
    peer_hello: &'a Hello,
    role: Role,
    opened: OpenedExchanges,
    inbound: Sender<Inbound>,
}

impl Driver {
    /// Exchanges hellos on `stream`; the connection may be used once this returns.
    pub(super) async fn open(
        stream: TcpStream,
        hello: Hello,
        settings: Settings,
        role: Role,
    ) -> io::Result<(Arc<Connection>, Self)> {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HELLO_BYTES).new_codec();
        let mut socket = Framed::new(stream.compat(), codec);
        let hello = encode(&Frame::new(0, Body::Hello(hello)));
        let handshake = async {
            socket.send(hello).await?;
            read_hello(&mut socket).await
        };
        let peer_hello = within(settings.connect_timeout, handshake)
            .await
            .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no hello came"))??;
        socket.codec_mut().set_max_frame_length(settings.max_frame_bytes);
        let (connection, queues) = Connection::new(settings, Instant::now());
        let driver = Self {
            socket,
            queues,
            connection: Arc::clone(&connection),
            settings,
            peer_hello,
            role,
        };
        Ok((connection, driver))
    }

    /// Carries frames until the connection fails, is silent for too long, or `closing` is closed. In
    /// the last case, takes no further frames, writes those that are queued, and waits until the other
    /// end has closed as well.
    pub(super) async fn run(
        self,
        inbound: Sender<Inbound>,
        closing: Receiver<()>,
        traffic: Arc<Traffic>,
    ) -> Result<(), Error> {
        let Self { socket, queues, connection, settings, peer_hello, role } = self;
        let (sink, mut source) = socket.split();
        let reader = Reader {
            connection: &connection,
            peer_hello: &peer_hello,
            role,
            opened: OpenedExchanges::default(),
            inbound,
        };
        let stopped = async {
            let _ = closing.recv().await;
            Ok(())
        };
        let mut write = pin!(write(sink, queues, &connection, &traffic));
        let result = {
            let read = reader.run(&mut source);
            let monitor = monitor_liveness(&connection, settings, role);
            stopped.or(or(read, or(write.as_mut(), monitor))).await
        };
        connection.close();
        if result.is_ok() {
            // Bytes that were received and not read would reset the connection, and the other end
            // could lose what was written.
            let discard = async { while let Some(Ok(_)) = source.next().await {} };
            let close = join(write, discard);
            let _ = within(settings.silence_timeout, close).await;
        }
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

/// Writes the frames of both queues until these are closed and empty, and then ends the stream.
async fn write(
    mut sink: FrameSink,
    queues: Queues,
    connection: &Connection,
    traffic: &Traffic,
) -> Result<(), Error> {
    loop {
        let Some(frame) = queues.next().await else {
            let _ = sink.close().await;
            return Err(Error::Closed);
        };
        sink.send(encode(&frame)).await.map_err(|_| Error::Closed)?;
        traffic.count(&frame);
        connection.liveness().record_sent(Instant::now());
    }
}

async fn monitor_liveness(
    connection: &Connection,
    settings: Settings,
    role: Role,
) -> Result<(), Error> {
    loop {
        let now = Instant::now();
        if role == Role::Dialer && connection.close_if_idle(settings.idle_close_timeout, now) {
            return Err(Error::Closed);
        }
        let active = connection.is_active(now);
        let action = {
            let mut liveness = connection.liveness();
            liveness.set_active(active, now);
            liveness.next_action(now)
        };
        match action {
            LivenessAction::Wait(duration) => {
                // Bounds the wait: exchanges that open and close wake this task and restart the
                // wait, which could otherwise delay closing an idle connection indefinitely.
                let timer = async {
                    Timer::after(duration.min(settings.idle_close_timeout)).await;
                };
                let wakeup = async {
                    let _ = connection.wakeups.recv().await;
                };
                or(timer, wakeup).await;
            }
            LivenessAction::Close => return Err(Error::Silent),
            LivenessAction::SendHeartbeat { urgent } => {
                connection.try_write(Frame::new(0, Body::Heartbeat(Heartbeat { urgent })));
                connection.liveness().record_heartbeat_sent(now);
            }
        }
    }
}

impl Reader<'_> {
    async fn run(mut self, source: &mut FrameSource) -> Result<(), Error> {
        while let Some(bytes) = source.next().await {
            let bytes = bytes.map_err(|cause| match cause.kind() {
                io::ErrorKind::InvalidData => Error::Protocol("a frame beyond the size limit"),
                _ => Error::Closed,
            })?;
            self.connection.record_received(Instant::now());
            let frame = Frame::decode(bytes)
                .map_err(|_| Error::Protocol("a frame that cannot be decoded"))?;
            self.handle(frame)?;
        }
        Err(Error::Closed)
    }

    fn handle(&mut self, frame: Frame) -> Result<(), Error> {
        let exchange_id = frame.exchange;
        let body = frame.body.ok_or(Error::Protocol("a frame of an unknown kind"))?;
        if let Body::Heartbeat(heartbeat) = body {
            self.handle_heartbeat(heartbeat);
            return Ok(());
        }
        self.connection.record_use(Instant::now());
        match body {
            Body::Notice(notice) => self.handle_notice(notice),
            Body::Hello(_) => Err(Error::Protocol("a second hello")),
            body @ (Body::Call(_) | Body::Handover(_)) => self.accept_exchange(exchange_id, body),
            body => self.connection.deliver(exchange_id, body),
        }
    }

    fn handle_heartbeat(&self, heartbeat: Heartbeat) {
        if heartbeat.urgent && self.connection.liveness().record_urgent_heartbeat(Instant::now()) {
            self.connection.wake();
        }
    }

    fn handle_notice(&self, notice: Notice) -> Result<(), Error> {
        let Notice { topic, payload } = notice;
        let topic = Topic::from_number(topic).ok_or(Error::Protocol("an unknown topic"))?;
        let _ = self.inbound.try_send(Inbound::Notice { from: self.peer_vm(), topic, payload });
        Ok(())
    }

    /// Accepts a frame that opens an exchange; ignores it if the exchange was opened before.
    fn accept_exchange(&mut self, exchange_id: u64, body: Body) -> Result<(), Error> {
        if self.role == Role::Dialer {
            return Err(Error::Protocol("an exchange opened by the VM that accepted"));
        }
        if !self.opened.insert(exchange_id) {
            return Ok(());
        }
        match body {
            Body::Call(call) => {
                let topic =
                    Topic::from_number(call.topic).ok_or(Error::Protocol("an unknown topic"))?;
                let reply = self.reply_sender(exchange_id);
                let payload = call.payload;
                let call = Inbound::Call { from: self.peer_vm(), topic, payload, reply };
                let _ = self.inbound.try_send(call);
            }
            Body::Handover(handover) => {
                let region = id::Region::from(self.peer_hello.region.as_str());
                let from = self.peer_vm();
                let exchange = self.connection.add_exchange(exchange_id);
                let handover = Inbound::Handover { from, region, handover, exchange };
                if let Err(full) = self.inbound.try_send(handover) {
                    reject_handover(full.into_inner());
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn peer_vm(&self) -> id::Vm {
        id::Vm::from(self.peer_hello.vm.as_str())
    }

    fn reply_sender(&self, exchange_id: u64) -> Sender<Bytes> {
        let (sender, replies) = smol::channel::bounded::<Bytes>(1);
        let connection = Arc::clone(self.connection);
        let reply = async move {
            if let Ok(payload) = replies.recv().await {
                let body = Body::Reply(Reply { payload });
                let _ = connection.write(Frame::new(exchange_id, body)).await;
            }
        };
        smol::spawn(reply).detach();
        sender
    }
}

/// Rejects a handover because the inbound queue is full; the request did not run.
fn reject_handover(message: Inbound) {
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
