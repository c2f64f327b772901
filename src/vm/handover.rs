//! Hand-over of requests between VMs: sends a request to a VM of another region, and serves those
//! that other VMs hand over.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use hyper::{Method, body::Bytes};
use smol::channel::Sender;

use super::{Vm, serve::stopping_refusal};
use crate::{
    clock::within,
    event, http, id,
    link::{self, Exchange},
    outcome::{HandoverEnd, Outcome, Reason, Refusal, UnknownOutcome},
    path::{self, Admitted, BodyPart, Class, Resolved, TargetResponse},
    settings::Peer,
    target::Need,
    wire::{self, Abort, Body, Chunk, End, Handover},
};

/// The most hand-overs between regions that a request may make.
const MAX_HANDOVERS_BETWEEN_REGIONS: u32 = 1;
/// The most hand-overs within one region that a request may make.
const MAX_HANDOVERS_WITHIN_REGION: u32 = 1;
/// The largest chunk in which a request's body is sent.
const BODY_CHUNK_BYTES: usize = 256 * 1024;
/// Parts of an answer that are queued between the link and the reader of the answer.
const ANSWER_QUEUE_PARTS: usize = 32;
/// How long the other VM may take to confirm that it read the end of an answer.
const END_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that another VM handed over.
#[derive(Debug)]
struct ReceivedHandover {
    request: id::Request,
    from: id::Vm,
    received_at: Instant,
}

impl Vm {
    /// Whether the request may be handed over to another region.
    pub(super) fn may_hand_over(&self, request: &path::Request<Admitted>) -> bool {
        request.handovers_between_regions < MAX_HANDOVERS_BETWEEN_REGIONS
    }

    /// Hands the request over to `peer`, a VM of another permitted region.
    pub(super) async fn hand_over(
        &self,
        request: &path::Request<Admitted>,
        peer: &Peer,
        time_left: Duration,
    ) -> Outcome<TargetResponse> {
        let message = self.handover_message(request, time_left);
        let body = request.stage.resolved.body.clone();
        let exchange = match self.hub.hand_over(peer.links, message).await {
            Ok(exchange) => exchange,
            Err(cause) => return Outcome::Refused(unreachable_vm(peer, &cause.to_string())),
        };
        let answer = within(time_left, request_answer(exchange, body)).await;
        answer.unwrap_or_else(|| Outcome::Unknown("no answer before the deadline".into()))
    }

    fn handover_message(&self, request: &path::Request<Admitted>, time_left: Duration) -> Handover {
        let resolved = &request.stage.resolved;
        Handover {
            request_id: request.id.to_string(),
            customer: resolved.plan.customer.to_string(),
            method: request.method.to_string(),
            path: request.path_and_query.clone(),
            headers: resolved.target_headers.clone(),
            region_handovers: request.handovers_between_regions,
            handovers_within_region: request.handovers_within_region,
            deadline_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
            vms_crossed: request.hops.iter().map(ToString::to_string).collect(),
            plans_version: request.book.plans().version,
            allowances_version: request.book.allowances().version,
            need: Some(encode_need(&resolved.need)),
            target_path: resolved.target_path.clone(),
            idempotency_key: resolved.idempotency_key.clone().unwrap_or_default(),
            batch: request.class == Class::Batch,
            ..Handover::default()
        }
    }

    /// Serves a request that another VM handed over. Serving stops when that VM closes the exchange.
    pub(super) async fn serve_handover(
        self: Arc<Self>,
        from: id::Vm,
        region: id::Region,
        handover: Handover,
        mut exchange: Exchange,
    ) {
        let received = ReceivedHandover {
            request: id::Request::from(handover.request_id.as_str()),
            from,
            received_at: self.clock.now(),
        };
        // The process may exit at once, as it no longer waits for what begins now.
        let Some(_in_flight) = self.in_flight_guard() else {
            return self.refuse_handover(received, exchange, stopping_refusal()).await;
        };
        let customer = id::Customer::from(handover.customer.as_str());
        let body_limit = self.settings.body_limit;
        let time_left = Duration::from_millis(handover.deadline_ms);
        let body = within(time_left, exchange.collect(body_limit, |_| true));
        let body = match self.until_grace_ends(body).await {
            Some(Some(Some(body))) => body,
            Some(_) => {
                return self.refuse_handover(received, exchange, incomplete_body()).await;
            }
            None => return self.refuse_handover(received, exchange, stopping_refusal()).await,
        };
        let work = self.process_handover(&region, handover, body);
        let serving = pin!(self.outcome_within_grace(work));
        let outcome = match select(serving, pin!(exchange.receive())).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right((frame, _)) => {
                return self.log_handover_end(&received, &HandoverEnd::of_frame(&frame));
            }
        };
        let way = self.received_handover_way(received.request.clone(), customer, &outcome);
        let end = send_outcome(exchange, outcome).await;
        self.record_handover_end(way, received.received_at, end.is_complete());
        self.log_handover_end(&received, &end);
    }

    async fn refuse_handover(
        &self,
        received: ReceivedHandover,
        exchange: Exchange,
        refusal: Refusal,
    ) {
        let end = send_outcome(exchange, Outcome::Refused(refusal)).await;
        self.log_handover_end(&received, &end);
    }

    fn log_handover_end(&self, received: &ReceivedHandover, end: &HandoverEnd) {
        let took = self.clock.now().saturating_duration_since(received.received_at);
        event::path::TAKEN_OVER.emit(
            &self.logger,
            &[
                ("request", &received.request),
                ("from", &received.from),
                ("outcome", end),
                ("stopping", &self.is_stopping()),
                ("took_ms", &took.as_millis()),
            ],
        );
    }

    async fn process_handover(
        self: &Arc<Self>,
        from: &id::Region,
        handover: Handover,
        body: Bytes,
    ) -> Outcome<TargetResponse> {
        let restored = match self.check_hops(from, handover) {
            Ok(handover) => self.restore_request(handover, body).await,
            Err(refusal) => Err(refusal),
        };
        let allowed = restored.and_then(path::Request::check_allowance);
        let admitted = match allowed {
            Ok(request) => request.admit(&self.admission).await,
            Err(refusal) => Err(refusal),
        };
        match admitted {
            Ok(request) => self.serve_admitted(request).await,
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    /// Counts the hand-over that brought the request here. Refuses the request where this VM is
    /// stopping, where the request was on this VM before, or where it made too many hand-overs.
    fn check_hops(&self, from: &id::Region, mut handover: Handover) -> Result<Handover, Refusal> {
        if self.is_stopping() {
            return Err(stopping_refusal());
        }
        if *from == self.settings.region {
            handover.handovers_within_region += 1;
        } else {
            handover.region_handovers += 1;
            handover.handovers_within_region = 0;
        }
        let was_here = handover.vms_crossed.iter().any(|vm| vm == self.settings.vm.as_str());
        if was_here
            || handover.region_handovers > MAX_HANDOVERS_BETWEEN_REGIONS
            || handover.handovers_within_region > MAX_HANDOVERS_WITHIN_REGION
        {
            return Err(Refusal::new(
                Reason::TooManyHops,
                format!("the request has crossed {}", handover.vms_crossed.join(" > ")),
                "try again; report it if it comes back",
            ));
        }
        Ok(handover)
    }

    /// Rebuilds the resolved request, under the versions of the lists by which the other VM
    /// resolved it.
    async fn restore_request(
        &self,
        handover: Handover,
        body: Bytes,
    ) -> Result<path::Request<Resolved>, Refusal> {
        let book =
            self.wait_for_book_at(handover.plans_version, handover.allowances_version).await?;
        let customer = id::Customer::from(handover.customer);
        let plan = book.plan(&customer).cloned().ok_or_else(|| customer_not_known(&customer))?;
        let allowance =
            book.allowance(&plan.plan).cloned().ok_or_else(|| customer_not_known(&customer))?;
        if !allowance.regions.contains(&self.settings.region) {
            return Err(region_not_permitted(&plan.plan, &self.settings.region));
        }
        let need = handover.need.as_ref().and_then(decode_need).ok_or_else(malformed_handover)?;
        let method: Method = handover.method.parse().map_err(|_| malformed_handover())?;
        let idempotent = method.is_safe() || matches!(need, Need::Model { .. });
        let mut way: Vec<id::Vm> = handover.vms_crossed.into_iter().map(id::Vm::from).collect();
        way.push(self.settings.vm.clone());
        let stage = Resolved {
            plan,
            allowance,
            need,
            target_path: handover.target_path,
            target_headers: handover.headers,
            body,
            idempotency_key: Some(handover.idempotency_key).filter(|key| !key.is_empty()),
            idempotent,
            max_output_tokens: None,
        };
        Ok(path::Request {
            id: id::Request::from(handover.request_id),
            book,
            method,
            path_and_query: handover.path,
            class: if handover.batch { Class::Batch } else { Class::Interactive },
            deadline: self.clock.now() + Duration::from_millis(handover.deadline_ms),
            hops: way,
            handovers_between_regions: handover.region_handovers,
            handovers_within_region: handover.handovers_within_region,
            stage,
        })
    }
}

/// Sends the outcome to the VM that handed the request over. Stops when that VM closes the exchange.
async fn send_outcome(mut exchange: Exchange, outcome: Outcome<TargetResponse>) -> HandoverEnd {
    let mut answer = match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Refused(refusal) => {
            let _ = exchange.send(Body::Abort(refusal_abort(&refusal))).await;
            return HandoverEnd::Refused(refusal.detail);
        }
        Outcome::Unknown(cause) => {
            let detail = cause.detail.clone();
            let _ = exchange.send(Body::Abort(unknown_abort(cause))).await;
            return HandoverEnd::Unknown(detail);
        }
    };
    let mut head = std::mem::take(&mut answer.head);
    head.headers.push(wire::Header {
        name: path::WAY.to_owned(),
        value: answer.hops.join(" > ").into_bytes(),
    });
    if let Err(cause) = exchange.send(Body::ResponseHead(head)).await {
        return HandoverEnd::of_error(&cause);
    }
    loop {
        let part = match select(pin!(answer.next()), pin!(exchange.receive())).await {
            Either::Left((part, _)) => part,
            Either::Right((frame, _)) => return HandoverEnd::of_frame(&frame),
        };
        let (body, broken) = match part {
            BodyPart::Chunk(bytes) => {
                if let Err(cause) = exchange.send(Body::Chunk(Chunk { bytes })).await {
                    return HandoverEnd::of_error(&cause);
                }
                continue;
            }
            BodyPart::End => (Body::End(End {}), None),
            BodyPart::Abort(cause) => {
                (Body::Abort(unknown_abort(cause.clone().into())), Some(cause))
            }
        };
        if let Err(cause) = exchange.send(body).await {
            return HandoverEnd::of_error(&cause);
        }
        let source = answer.hops.join(" > ");
        if let Some(cause) = broken {
            return HandoverEnd::BrokenOff { source, cause };
        }
        // Without this wait, a VM that stops could close its links before the other VM has read the
        // end, and would not say whether it has.
        let end_read = within(END_READ_TIMEOUT, exchange.receive()).await.is_some();
        exchange.finish();
        return HandoverEnd::Answered { source, end_read };
    }
}

async fn send_body(exchange: &mut Exchange, body: &Bytes) -> Result<(), link::Error> {
    for start in (0..body.len()).step_by(BODY_CHUNK_BYTES) {
        let end = (start + BODY_CHUNK_BYTES).min(body.len());
        let chunk = Chunk { bytes: body.slice(start..end) };
        exchange.send(Body::Chunk(chunk)).await?;
    }
    exchange.send(Body::End(End {})).await
}

/// Sends the request's body and waits for the head of the answer.
async fn request_answer(mut exchange: Exchange, body: Bytes) -> Outcome<TargetResponse> {
    match send_body(&mut exchange, &body).await {
        // The other VM needs no more of the body; its next frame says why.
        Ok(()) | Err(link::Error::Cancelled) => {}
        Err(cause) => return Outcome::Unknown(cause.to_string().into()),
    }
    match exchange.receive().await {
        // An older process at the other VM forwards any status.
        Ok(Body::ResponseHead(head)) if !http::is_final_status(head.status) => {
            Outcome::Unknown(http::undefined_status(head.status).into())
        }
        Ok(Body::ResponseHead(head)) => Outcome::Answered(receive_answer(head, exchange)),
        Ok(Body::Abort(abort)) => outcome_of_abort(abort),
        Ok(_) => Outcome::Unknown("the other VM sent no head".into()),
        Err(cause) => Outcome::Unknown(cause.to_string().into()),
    }
}

fn receive_answer(mut head: wire::ResponseHead, exchange: Exchange) -> TargetResponse {
    let index = head.headers.iter().position(|pair| pair.name == path::WAY);
    let way = index.map(|index| head.headers.remove(index).value).unwrap_or_default();
    let (sender, body) = smol::channel::bounded(ANSWER_QUEUE_PARTS);
    smol::spawn(forward_parts(exchange, sender)).detach();
    TargetResponse::new(head, vec![String::from_utf8_lossy(&way).into_owned()], body)
}

/// Sends the parts of an answer from the link to the answer's reader.
async fn forward_parts(mut exchange: Exchange, parts: Sender<BodyPart>) {
    loop {
        let part = match exchange.receive().await {
            Ok(Body::Chunk(chunk)) => BodyPart::Chunk(chunk.bytes),
            Ok(Body::End(_)) => {
                // Closing the exchange tells the other VM that the end was read.
                drop(exchange);
                let _ = parts.send(BodyPart::End).await;
                return;
            }
            Ok(Body::Abort(abort)) => BodyPart::Abort(abort.detail),
            Ok(_) => BodyPart::Abort("unexpected frame".to_owned()),
            Err(cause) => BodyPart::Abort(cause.to_string()),
        };
        let is_last = matches!(part, BodyPart::Abort(_));
        if parts.send(part).await.is_err() || is_last {
            return;
        }
    }
}

fn refusal_abort(refusal: &Refusal) -> Abort {
    let reason = serde_json::to_string(&refusal.reason).unwrap_or_default();
    let retry_after = refusal.retry_after.unwrap_or_default().as_millis();
    Abort {
        did_not_run: true,
        reason,
        detail: refusal.detail.clone(),
        remedy: refusal.remedy.clone(),
        retry_after_ms: u64::try_from(retry_after).unwrap_or(u64::MAX),
        still_running: false,
    }
}

fn unknown_abort(doubt: UnknownOutcome) -> Abort {
    let UnknownOutcome { detail, still_running } = doubt;
    Abort { did_not_run: false, detail, still_running, ..Abort::default() }
}

fn outcome_of_abort(abort: Abort) -> Outcome<TargetResponse> {
    let reason = serde_json::from_str(&abort.reason);
    match (abort.did_not_run, reason) {
        (true, Ok(reason)) => {
            let retry_after = Duration::from_millis(abort.retry_after_ms);
            let refusal = Refusal::new(reason, abort.detail, abort.remedy);
            let retry_after = (!retry_after.is_zero()).then_some(retry_after);
            Outcome::Refused(Refusal { retry_after, ..refusal })
        }
        _ => Outcome::Unknown(UnknownOutcome {
            detail: abort.detail,
            still_running: abort.still_running,
        }),
    }
}

fn encode_need(need: &Need) -> wire::Need {
    let text_or_empty = |text: Option<&str>| text.unwrap_or_default().to_owned();
    match need {
        Need::Model { model, version, adapter } => wire::Need {
            model: model.to_string(),
            version: text_or_empty(version.as_ref().map(id::Version::as_str)),
            adapter: text_or_empty(adapter.as_ref().map(id::Adapter::as_str)),
            service: String::new(),
        },
        Need::Service { service } => {
            wire::Need { service: service.to_string(), ..wire::Need::default() }
        }
    }
}

fn decode_need(need: &wire::Need) -> Option<Need> {
    let non_empty = |text: &str| (!text.is_empty()).then(|| text.to_owned());
    if let Some(service) = non_empty(&need.service) {
        return Some(Need::Service { service: id::Service::from(service) });
    }
    Some(Need::Model {
        model: id::Model::from(non_empty(&need.model)?),
        version: non_empty(&need.version).map(id::Version::from),
        adapter: non_empty(&need.adapter).map(id::Adapter::from),
    })
}

fn incomplete_body() -> Refusal {
    Refusal::new(Reason::Malformed, "the body did not come whole from the other VM", "try again")
}

fn malformed_handover() -> Refusal {
    Refusal::new(
        Reason::Malformed,
        "the other VM sent a hand-over that cannot be read",
        "run the same version on all VMs",
    )
}

fn customer_not_known(customer: &id::Customer) -> Refusal {
    Refusal::new(
        Reason::NotAllowed,
        format!("customer `{customer}` has no plan in the lists of this VM"),
        "try again when the change is in force everywhere",
    )
}

fn region_not_permitted(plan: &id::Plan, region: &id::Region) -> Refusal {
    Refusal::new(
        Reason::WrongRegion,
        format!("plan `{plan}` does not permit region `{region}`"),
        "try again when the change is in force everywhere",
    )
}

fn unreachable_vm(peer: &Peer, cause: &str) -> Refusal {
    Refusal::new(
        Reason::NoTarget,
        format!("VM `{}` cannot be reached: {cause}", peer.vm),
        "try again later",
    )
}
