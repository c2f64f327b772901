use std::{pin::pin, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use hyper::{Method, body::Bytes};
use smol::channel::Sender;

use super::{Vm, serve::stopping};
use crate::{
    clock::within,
    id,
    link::Exchange,
    outcome::{Doubt, Outcome, Reason, Refusal},
    path::{self, Admitted, Answer, Class, Part, Resolved},
    settings::Peer,
    target::Need,
    wire::{self, Abort, Body, Chunk, End, Handover},
};

/// Hand-overs between regions that a request may make.
const BETWEEN_REGIONS_LIMIT: u32 = 1;
/// Hand-overs within one region that a request may make.
const WITHIN_REGION_LIMIT: u32 = 1;
const PIECE: usize = 256 * 1024;
const WINDOW: usize = 32;
/// How long the other VM may take to read the end of an answer.
const END: Duration = Duration::from_secs(2);

impl Vm {
    /// Whether the request may still be handed to another region.
    pub(super) fn may_hand_over(&self, request: &path::Request<Admitted>) -> bool {
        request.between_regions < BETWEEN_REGIONS_LIMIT
    }

    /// Hands the request to `peer`, a VM of another permitted region.
    pub(super) async fn hand_over(
        &self,
        request: &path::Request<Admitted>,
        peer: &Peer,
        left: Duration,
    ) -> Outcome<Answer> {
        let message = self.handover(request, left);
        let body = request.stage.resolved.body.clone();
        let exchange = match self.hub.hand_over(peer.links, message).await {
            Ok(exchange) => exchange,
            Err(cause) => return Outcome::Refused(unreachable_vm(peer, &cause.to_string())),
        };
        let answer = within(left, ask(exchange, body)).await;
        answer.unwrap_or_else(|| Outcome::Unknown("no answer before the deadline".into()))
    }

    fn handover(&self, request: &path::Request<Admitted>, left: Duration) -> Handover {
        let resolved = &request.stage.resolved;
        Handover {
            request_id: request.id.to_string(),
            customer: resolved.plan.customer.to_string(),
            method: request.method.to_string(),
            path: request.path.clone(),
            headers: resolved.headers.clone(),
            region_handovers: request.between_regions,
            handovers_within_region: request.within_region,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            vms_crossed: request.way.iter().map(ToString::to_string).collect(),
            plans_version: request.book.plans().version,
            allowances_version: request.book.allowances().version,
            need: Some(encode(&resolved.need)),
            target_path: resolved.target_path.clone(),
            idempotency_key: resolved.key.clone().unwrap_or_default(),
            batch: request.class == Class::Batch,
        }
    }

    /// Serves a request that another VM handed over. The work stops when that VM gives it up.
    pub(super) async fn take_over(
        self: Arc<Self>,
        _from: id::Vm,
        region: id::Region,
        handover: Handover,
        mut exchange: Exchange,
    ) {
        let _busy = self.busy();
        let start = self.clock.now();
        let (request, customer) = (handover.request_id.clone(), handover.customer.clone());
        let limit = self.settings.body_limit;
        let time = Duration::from_millis(handover.deadline_ms);
        let Some(Some(body)) = within(time, exchange.collect(limit)).await else { return };
        let work = pin!(self.run(&region, handover, body));
        let outcome = match select(work, pin!(exchange.receive())).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => return,
        };
        let way = self.taken_over(request.into(), customer.into(), &outcome);
        let whole = answer(exchange, outcome).await;
        self.note_end(way, start, whole);
    }

    async fn run(
        self: &Arc<Self>,
        from: &id::Region,
        handover: Handover,
        body: Bytes,
    ) -> Outcome<Answer> {
        let checked = match self.check(from, handover) {
            Ok(handover) => self.restore(handover, body).await,
            Err(refusal) => Err(refusal),
        };
        let allowed = checked.and_then(path::Request::allow);
        let admitted = match allowed {
            Ok(request) => request.admit(&self.admission).await,
            Err(refusal) => Err(refusal),
        };
        match admitted {
            Ok(request) => self.place(request).await,
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    /// Counts the hand-over that brought the request here, and refuses one too many.
    fn check(&self, from: &id::Region, mut handover: Handover) -> Result<Handover, Refusal> {
        if self.is_stopping() {
            return Err(stopping());
        }
        if *from == self.settings.region {
            handover.handovers_within_region += 1;
        } else {
            handover.region_handovers += 1;
            handover.handovers_within_region = 0;
        }
        let loops = handover.vms_crossed.iter().any(|vm| vm == self.settings.vm.as_str());
        if loops
            || handover.region_handovers > BETWEEN_REGIONS_LIMIT
            || handover.handovers_within_region > WITHIN_REGION_LIMIT
        {
            return Err(Refusal::new(
                Reason::TooManyHops,
                format!("the request has crossed {}", handover.vms_crossed.join(" > ")),
                "try again; report it if it comes back",
            ));
        }
        Ok(handover)
    }

    async fn restore(
        &self,
        handover: Handover,
        body: Bytes,
    ) -> Result<path::Request<Resolved>, Refusal> {
        let book = self.book_at(handover.plans_version, handover.allowances_version).await?;
        let customer = id::Customer::from(handover.customer);
        let plan = book.plan(&customer).cloned().ok_or_else(|| not_known(&customer))?;
        let allowance = book.allowance(&plan.plan).cloned().ok_or_else(|| not_known(&customer))?;
        if !allowance.regions.contains(&self.settings.region) {
            return Err(outside(&plan.plan, &self.settings.region));
        }
        let need = handover.need.as_ref().and_then(decode).ok_or_else(malformed)?;
        let method: Method = handover.method.parse().map_err(|_| malformed())?;
        let idempotent = method.is_safe() || matches!(need, Need::Model { .. });
        let mut way: Vec<id::Vm> = handover.vms_crossed.into_iter().map(id::Vm::from).collect();
        way.push(self.settings.vm.clone());
        let stage = Resolved {
            plan,
            allowance,
            need,
            target_path: handover.target_path,
            headers: handover.headers,
            body,
            key: Some(handover.idempotency_key).filter(|key| !key.is_empty()),
            idempotent,
            answer_tokens: None,
        };
        Ok(path::Request {
            id: id::Request::from(handover.request_id),
            book,
            method,
            path: handover.path,
            class: if handover.batch { Class::Batch } else { Class::Interactive },
            deadline: self.clock.now() + Duration::from_millis(handover.deadline_ms),
            way,
            between_regions: handover.region_handovers,
            within_region: handover.handovers_within_region,
            stage,
        })
    }
}

/// Sends the outcome back, stopping the work when the other VM's caller goes away; gives whether
/// all of it was sent.
async fn answer(mut exchange: Exchange, outcome: Outcome<Answer>) -> bool {
    let mut answer = match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Refused(refusal) => {
            let _ = exchange.send(Body::Abort(abort(&refusal))).await;
            return true;
        }
        Outcome::Unknown(cause) => {
            let _ = exchange.send(Body::Abort(uncertain(cause))).await;
            return true;
        }
    };
    let mut head = std::mem::take(&mut answer.head);
    head.headers.push(wire::Header {
        name: path::WAY.to_owned(),
        value: answer.way.join(" > ").into_bytes(),
    });
    if exchange.send(Body::ResponseHead(head)).await.is_err() {
        return false;
    }
    loop {
        let part = match select(pin!(answer.next()), pin!(exchange.receive())).await {
            Either::Left((part, _)) => part,
            Either::Right(_) => return false,
        };
        let last = !matches!(part, Part::Chunk(_));
        let whole = part == Part::End;
        let body = match part {
            Part::Chunk(bytes) => Body::Chunk(Chunk { bytes }),
            Part::End => Body::End(End {}),
            Part::Abort(cause) => Body::Abort(uncertain(cause.into())),
        };
        if exchange.send(body).await.is_err() {
            return false;
        }
        if last {
            // A VM that stops waits until the other has read the end.
            let _ = within(END, exchange.receive()).await;
            exchange.finish();
            return whole;
        }
    }
}

/// Sends the body and waits for the head of the answer.
async fn ask(mut exchange: Exchange, body: Bytes) -> Outcome<Answer> {
    for start in (0..body.len()).step_by(PIECE) {
        let end = (start + PIECE).min(body.len());
        let chunk = Chunk { bytes: body.slice(start..end) };
        if let Err(cause) = exchange.send(Body::Chunk(chunk)).await {
            return Outcome::Unknown(cause.to_string().into());
        }
    }
    if let Err(cause) = exchange.send(Body::End(End {})).await {
        return Outcome::Unknown(cause.to_string().into());
    }
    match exchange.receive().await {
        Ok(Body::ResponseHead(head)) => Outcome::Answered(receive(head, exchange)),
        Ok(Body::Abort(abort)) => decode_abort(abort),
        Ok(_) => Outcome::Unknown("the other VM sent no head".into()),
        Err(cause) => Outcome::Unknown(cause.to_string().into()),
    }
}

fn receive(mut head: wire::ResponseHead, exchange: Exchange) -> Answer {
    let place = head.headers.iter().position(|pair| pair.name == path::WAY);
    let way = place.map(|place| head.headers.remove(place).value).unwrap_or_default();
    let (sender, body) = smol::channel::bounded(WINDOW);
    smol::spawn(copy(exchange, sender)).detach();
    Answer::new(head, vec![String::from_utf8_lossy(&way).into_owned()], body)
}

async fn copy(mut exchange: Exchange, parts: Sender<Part>) {
    loop {
        let part = match exchange.receive().await {
            Ok(Body::Chunk(chunk)) => Part::Chunk(chunk.bytes),
            Ok(Body::End(_)) => {
                // Dropping the exchange tells the other VM that the end was read.
                drop(exchange);
                let _ = parts.send(Part::End).await;
                return;
            }
            Ok(Body::Abort(abort)) => Part::Abort(abort.detail),
            Ok(_) => Part::Abort("unexpected frame".to_owned()),
            Err(cause) => Part::Abort(cause.to_string()),
        };
        let last = matches!(part, Part::Abort(_));
        if parts.send(part).await.is_err() || last {
            return;
        }
    }
}

fn abort(refusal: &Refusal) -> Abort {
    let reason = serde_json::to_string(&refusal.reason).unwrap_or_default();
    let retry = refusal.retry_after.unwrap_or_default().as_millis();
    Abort {
        did_not_run: true,
        reason,
        detail: refusal.detail.clone(),
        remedy: refusal.remedy.clone(),
        retry_after_ms: u64::try_from(retry).unwrap_or(u64::MAX),
        still_running: false,
    }
}

fn uncertain(doubt: Doubt) -> Abort {
    let Doubt { detail, still_running } = doubt;
    Abort { did_not_run: false, detail, still_running, ..Abort::default() }
}

fn decode_abort(abort: Abort) -> Outcome<Answer> {
    let reason = serde_json::from_str(&abort.reason);
    match (abort.did_not_run, reason) {
        (true, Ok(reason)) => {
            let retry = Duration::from_millis(abort.retry_after_ms);
            let refusal = Refusal::new(reason, abort.detail, abort.remedy);
            let retry_after = (!retry.is_zero()).then_some(retry);
            Outcome::Refused(Refusal { retry_after, ..refusal })
        }
        _ => Outcome::Unknown(Doubt { detail: abort.detail, still_running: abort.still_running }),
    }
}

fn encode(need: &Need) -> wire::Need {
    let text = |text: Option<&str>| text.unwrap_or_default().to_owned();
    match need {
        Need::Model { model, version, adapter } => wire::Need {
            model: model.to_string(),
            version: text(version.as_ref().map(id::Version::as_str)),
            adapter: text(adapter.as_ref().map(id::Adapter::as_str)),
            service: String::new(),
        },
        Need::Service { service } => {
            wire::Need { service: service.to_string(), ..wire::Need::default() }
        }
    }
}

fn decode(need: &wire::Need) -> Option<Need> {
    let some = |text: &str| (!text.is_empty()).then(|| text.to_owned());
    if let Some(service) = some(&need.service) {
        return Some(Need::Service { service: id::Service::from(service) });
    }
    Some(Need::Model {
        model: id::Model::from(some(&need.model)?),
        version: some(&need.version).map(id::Version::from),
        adapter: some(&need.adapter).map(id::Adapter::from),
    })
}

fn malformed() -> Refusal {
    Refusal::new(
        Reason::Malformed,
        "the other VM sent a hand-over that cannot be read",
        "run the same version on all VMs",
    )
}

fn not_known(customer: &id::Customer) -> Refusal {
    Refusal::new(
        Reason::NotAllowed,
        format!("customer `{customer}` has no plan in the lists of this VM"),
        "try again when the change is in force everywhere",
    )
}

fn outside(plan: &id::Plan, region: &id::Region) -> Refusal {
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
