use std::{sync::Arc, time::Duration};

use hyper::{Method, body::Bytes};
use smol::channel::Sender;

use super::Vm;
use crate::{
    id,
    link::Exchange,
    outcome::{Outcome, Reason, Refusal},
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

impl Vm {
    /// Hands the request to a VM of another permitted region; nothing where there is none.
    pub(super) async fn hand_over(
        &self,
        request: &path::Request<Admitted>,
    ) -> Option<Outcome<Answer>> {
        if request.between_regions >= BETWEEN_REGIONS_LIMIT {
            return None;
        }
        let peer = self.elsewhere(request)?;
        let message = self.handover(request);
        let body = request.stage.resolved.body.clone();
        let exchange = match self.hub.hand_over(peer.links, message).await {
            Ok(exchange) => exchange,
            Err(cause) => return Some(Outcome::Refused(unreachable_vm(&peer, &cause.to_string()))),
        };
        Some(ask(exchange, body).await)
    }

    fn elsewhere(&self, request: &path::Request<Admitted>) -> Option<Peer> {
        let resolved = &request.stage.resolved;
        let now = self.clock.now();
        let region = self
            .targets()
            .elsewhere(&resolved.need, now)
            .filter(|(region, _)| resolved.allowance.regions.contains(region))
            .max_by_key(|(_, capacity)| capacity.free)
            .map(|(region, _)| region.clone())?;
        self.peers_in(&[region]).into_iter().next()
    }

    fn handover(&self, request: &path::Request<Admitted>) -> Handover {
        let resolved = &request.stage.resolved;
        let left = request.left(self.clock.now()).as_millis();
        Handover {
            request: request.id.to_string(),
            customer: resolved.plan.customer.to_string(),
            method: request.method.to_string(),
            path: request.path.clone(),
            headers: resolved.headers.clone(),
            between_regions: request.between_regions + 1,
            within_region: 0,
            deadline_ms: u64::try_from(left).unwrap_or(u64::MAX),
            way: request.way.iter().map(ToString::to_string).collect(),
            plans: request.book.plans().version,
            allowances: request.book.allowances().version,
            need: Some(encode(&resolved.need)),
            target_path: resolved.target_path.clone(),
            key: resolved.key.clone().unwrap_or_default(),
            batch: request.class == Class::Batch,
        }
    }

    /// Serves a request that another VM handed over.
    pub(super) async fn take_over(
        self: Arc<Self>,
        _from: id::Vm,
        _region: id::Region,
        handover: Handover,
        mut exchange: Exchange,
    ) {
        let outcome = match read_body(&mut exchange, self.settings.body_limit).await {
            Some(body) => self.run(handover, body).await,
            None => return,
        };
        answer(exchange, outcome).await;
    }

    async fn run(&self, handover: Handover, body: Bytes) -> Outcome<Answer> {
        let allowed = self
            .check(&handover)
            .and_then(|()| self.restore(handover, body))
            .and_then(path::Request::allow)
            .and_then(path::Request::admit);
        match allowed {
            Ok(request) => self.place(request).await,
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    fn check(&self, handover: &Handover) -> Result<(), Refusal> {
        let circles = handover.way.iter().any(|vm| vm == self.settings.vm.as_str());
        if circles
            || handover.between_regions > BETWEEN_REGIONS_LIMIT
            || handover.within_region > WITHIN_REGION_LIMIT
        {
            return Err(Refusal::new(
                Reason::TooManyHops,
                format!("the request has crossed {}", handover.way.join(" > ")),
                "try again; report it if it comes back",
            ));
        }
        Ok(())
    }

    fn restore(&self, handover: Handover, body: Bytes) -> Result<path::Request<Resolved>, Refusal> {
        let book = self.book();
        let customer = id::Customer::from(handover.customer);
        let plan = book.plan(&customer).cloned().ok_or_else(|| not_known(&customer))?;
        let allowance = book.allowance(&plan.plan).cloned().ok_or_else(|| not_known(&customer))?;
        let need = handover.need.as_ref().and_then(decode).ok_or_else(malformed)?;
        let method: Method = handover.method.parse().map_err(|_| malformed())?;
        let idempotent = method.is_safe() || matches!(need, Need::Model { .. });
        let mut way: Vec<id::Vm> = handover.way.into_iter().map(id::Vm::from).collect();
        way.push(self.settings.vm.clone());
        let stage = Resolved {
            plan,
            allowance,
            need,
            target_path: handover.target_path,
            headers: handover.headers,
            body,
            key: Some(handover.key).filter(|key| !key.is_empty()),
            idempotent,
        };
        Ok(path::Request {
            id: id::Request::from(handover.request),
            book,
            method,
            path: handover.path,
            class: if handover.batch { Class::Batch } else { Class::Interactive },
            deadline: self.clock.now() + Duration::from_millis(handover.deadline_ms),
            way,
            between_regions: handover.between_regions,
            within_region: handover.within_region,
            stage,
        })
    }
}

async fn read_body(exchange: &mut Exchange, limit: usize) -> Option<Bytes> {
    let mut body = Vec::new();
    loop {
        match exchange.receive().await.ok()? {
            Body::Chunk(chunk) if body.len() + chunk.bytes.len() <= limit => {
                body.extend_from_slice(&chunk.bytes);
            }
            Body::End(_) => return Some(Bytes::from(body)),
            _ => return None,
        }
    }
}

/// Sends the outcome back, stopping the work when the other VM's caller goes away.
async fn answer(mut exchange: Exchange, outcome: Outcome<Answer>) {
    let answer = match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Refused(refusal) => {
            let _ = exchange.send(Body::Abort(abort(&refusal))).await;
            return;
        }
        Outcome::Unknown(cause) => {
            let _ = exchange.send(Body::Abort(doubt(cause))).await;
            return;
        }
    };
    let mut head = answer.head;
    head.headers.push(wire::Pair {
        name: path::WAY.to_owned(),
        value: answer.way.join(" > ").into_bytes(),
    });
    if exchange.send(Body::Head(head)).await.is_err() {
        return;
    }
    while let Ok(part) = answer.body.recv().await {
        let sent = match part {
            Part::Chunk(bytes) => exchange.send(Body::Chunk(Chunk { bytes })).await,
            Part::End => {
                let _ = exchange.send(Body::End(End {})).await;
                exchange.finish();
                return;
            }
            Part::Abort(cause) => exchange.send(Body::Abort(doubt(cause))).await,
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Sends the body and waits for the head of the answer.
async fn ask(mut exchange: Exchange, body: Bytes) -> Outcome<Answer> {
    for start in (0..body.len()).step_by(PIECE) {
        let end = (start + PIECE).min(body.len());
        let chunk = Chunk { bytes: body.slice(start..end) };
        if let Err(cause) = exchange.send(Body::Chunk(chunk)).await {
            return Outcome::Unknown(cause.to_string());
        }
    }
    if let Err(cause) = exchange.send(Body::End(End {})).await {
        return Outcome::Unknown(cause.to_string());
    }
    match exchange.receive().await {
        Ok(Body::Head(head)) => Outcome::Answered(receive(head, exchange)),
        Ok(Body::Abort(abort)) => decode_abort(abort),
        Ok(_) => Outcome::Unknown("the other VM sent no head".to_owned()),
        Err(cause) => Outcome::Unknown(cause.to_string()),
    }
}

fn receive(mut head: wire::Head, exchange: Exchange) -> Answer {
    let place = head.headers.iter().position(|pair| pair.name == path::WAY);
    let way = place.map(|place| head.headers.remove(place).value).unwrap_or_default();
    let (sender, body) = smol::channel::bounded(WINDOW);
    smol::spawn(copy(exchange, sender)).detach();
    Answer { head, body, way: vec![String::from_utf8_lossy(&way).into_owned()] }
}

async fn copy(mut exchange: Exchange, parts: Sender<Part>) {
    loop {
        let part = match exchange.receive().await {
            Ok(Body::Chunk(chunk)) => Part::Chunk(chunk.bytes),
            Ok(Body::End(_)) => {
                let _ = parts.send(Part::End).await;
                exchange.finish();
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
    }
}

fn doubt(cause: String) -> Abort {
    Abort { did_not_run: false, detail: cause, ..Abort::default() }
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
        _ => Outcome::Unknown(abort.detail),
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

fn unreachable_vm(peer: &Peer, cause: &str) -> Refusal {
    Refusal::new(
        Reason::NoTarget,
        format!("VM `{}` cannot be reached: {cause}", peer.vm),
        "try again later",
    )
}
