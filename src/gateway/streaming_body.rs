use std::{sync::Arc, time::Instant};

use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame, Incoming};

use super::{
    Attempts, EventSplitter,
    attempt::Trip,
    connection_pool::{ConnectionLease, KeepAlive},
    record::FlowEnd,
    routed_request::Call,
    server::Gateway,
};
use crate::{
    clock::within,
    event,
    http::{Body, Broken},
    id,
    link::Exchange,
    wire,
};

/// Where the pieces of an answer come from.
#[derive(Debug)]
pub(super) enum Source {
    /// A target of this region.
    Target(Box<FromTarget>),
    /// A VM of another region.
    Link(Exchange),
}

/// An answer on a connection to a target.
#[derive(Debug)]
pub(super) struct FromTarget {
    pub(super) body: Incoming,
    pub(super) lease: Option<ConnectionLease>,
    pub(super) keep: KeepAlive,
    pub(super) trip: Trip,
}

/// One piece of an answer's body.
#[derive(Debug)]
pub(super) enum Piece {
    /// Bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
    /// It broke; says why.
    Broken(String),
}

/// The body of an answer as it comes. Where the route allows it, a stream that breaks is gone on
/// with at another target after its last whole event.
pub(super) struct Flow {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    source: Option<Source>,
    events: Option<EventSplitter>,
    /// The first piece, which was waited for before the head went out.
    first: Option<Bytes>,
    tried: Vec<id::Target>,
    attempts: Attempts,
    end: Instant,
    ended: bool,
    /// Where it came from, with the time until its head, for the log.
    told: Told,
    pieces: u32,
    broken: Option<String>,
}

/// What the log says of an answer whose body comes in pieces, when it ends.
#[derive(Clone, Debug)]
pub(super) struct Told {
    /// The target, or the VM that it was handed to.
    pub(super) from: String,
    /// The status.
    pub(super) status: u16,
    /// When the head came.
    pub(super) began: Instant,
}

impl Drop for Flow {
    fn drop(&mut self) {
        if self.call.handed_over {
            return;
        }
        let end = FlowEnd {
            from: &self.told.from,
            status: self.told.status,
            began: self.told.began,
            pieces: self.pieces,
            runs: self.attempts.target_count(),
            whole: self.ended,
            broken: self.broken.as_deref(),
        };
        self.gateway.record_flow(&self.call, &end);
    }
}

impl std::fmt::Debug for Flow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Flow").field("call", &self.call.id).finish_non_exhaustive()
    }
}

impl Source {
    /// Waits for the next piece.
    pub(super) async fn next(&mut self, gateway: &Gateway) -> Piece {
        match self {
            Self::Target(from) => from.next(gateway).await,
            Self::Link(exchange) => match exchange.receive().await {
                Ok(wire::Body::Chunk(chunk)) => Piece::Bytes(chunk.bytes),
                Ok(wire::Body::End(_)) => Piece::End,
                Ok(wire::Body::Abort(abort)) => Piece::Broken(abort.detail),
                Ok(_) => Piece::Broken("the other VM sent an unexpected frame".to_owned()),
                Err(cause) => Piece::Broken(cause.to_string()),
            },
        }
    }
}

impl FromTarget {
    async fn next(&mut self, gateway: &Gateway) -> Piece {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    self.trip.piece();
                    return Piece::Bytes(bytes);
                }
                Some(Err(cause)) => {
                    self.lease = None;
                    self.trip.broke();
                    gateway.balancer().record_failure(&self.trip.target, gateway.clock.now());
                    return Piece::Broken(cause.to_string());
                }
                None => {
                    self.trip.finished();
                    if let Some(lease) = self.lease.take() {
                        lease.release(&self.keep, gateway.clock.now());
                    }
                    return Piece::End;
                }
            }
        }
    }
}

impl Flow {
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        call: &Arc<Call>,
        source: Source,
        first: Bytes,
        tried: Vec<id::Target>,
        attempts: Attempts,
        told: Told,
    ) -> Self {
        let mut events = (call.rule.delivery_mode == crate::route::DeliveryMode::Resumable)
            .then(EventSplitter::default);
        let first = match &mut events {
            Some(events) => events.push(&first),
            None => first,
        };
        Self {
            gateway: Arc::clone(gateway),
            call: Arc::clone(call),
            source: Some(source),
            events,
            first: (!first.is_empty()).then_some(first),
            tried,
            attempts,
            end: call.deadline,
            ended: false,
            told,
            pieces: 0,
            broken: None,
        }
    }

    /// Waits for the next piece; nothing after the end of a whole body.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        let next = self.next_piece().await;
        self.pieces += u32::from(matches!(next, Some(Ok(_))));
        next
    }

    async fn next_piece(&mut self) -> Option<Result<Bytes, Broken>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        while !self.ended {
            let left = self.end.saturating_duration_since(self.gateway.clock.now());
            let Some(source) = &mut self.source else { break };
            let piece = within(left, source.next(&self.gateway)).await;
            match piece {
                Some(Piece::Bytes(bytes)) => {
                    let bytes = match &mut self.events {
                        Some(events) => events.push(&bytes),
                        None => bytes,
                    };
                    if !bytes.is_empty() {
                        return Some(Ok(bytes));
                    }
                }
                Some(Piece::End) => {
                    self.ended = true;
                    self.source = None;
                    let rest =
                        self.events.as_mut().map(EventSplitter::take_remainder).unwrap_or_default();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Some(Piece::Broken(cause)) => {
                    self.source = None;
                    if !self.go_on(&cause).await {
                        return self.broken(&cause);
                    }
                }
                None => return self.broken("its time ran out"),
            }
        }
        None
    }

    fn broken(&mut self, cause: &str) -> Option<Result<Bytes, Broken>> {
        self.ended = true;
        self.source = None;
        self.broken = Some(cause.to_owned());
        let fields: [event::Field<'_>; 2] = [("request", &self.call.id), ("cause", &cause)];
        event::path::BROKEN_OFF.emit(&self.gateway.logger, &fields);
        Some(Err(Broken))
    }

    /// Has another target go on with the stream; false where none can.
    async fn go_on(&mut self, cause: &str) -> bool {
        let Some(events) = &mut self.events else { return false };
        events.discard_partial();
        let last = events.last_id().or(self.call.last_event);
        while self.attempts.may_use_new_target() {
            let resumed =
                self.gateway.resume(&self.call, last, &mut self.tried, &mut self.attempts).await;
            event::path::RESUMED.emit(
                &self.gateway.logger,
                &[
                    ("request", &self.call.id),
                    ("cause", &cause),
                    ("after", &last.unwrap_or_default()),
                    ("resumed", &resumed.is_some()),
                ],
            );
            if let Some(source) = resumed {
                self.source = Some(source);
                return true;
            }
            if self.call.left(self.gateway.clock.now()).is_zero() {
                break;
            }
        }
        false
    }

    /// The body that the caller gets.
    pub(super) fn into_body(self) -> Body {
        let pieces = stream::unfold(self, |mut flow| async move {
            let piece = flow.next().await?;
            Some((piece, flow))
        });
        BodyExt::boxed_unsync(StreamBody::new(pieces.map(|piece| piece.map(Frame::data))))
    }
}
