use std::{pin::pin, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use hyper::{
    HeaderMap, Method, StatusCode,
    body::Bytes,
    header::{HeaderName, HeaderValue},
};
use smol::Timer;

use super::{
    dispatch::Course,
    outcome::{Answer, AnswerBody, Outcome, Reason, Refusal},
    routed_request::Call,
    server::Gateway,
    streaming_body::{Flow, Source},
};
use crate::{
    clock::within,
    event, id,
    link::Exchange,
    registry::VmInfo,
    wire::{Abort, Body, Chunk, End, Handover, Head, Need, Pair},
};

/// How long a VM that knows older routes than the one that hands over waits for the newer ones.
const CATCH_UP: Duration = Duration::from_millis(800);
const CATCH_UP_PAUSE: Duration = Duration::from_millis(20);
/// How long the other VM may take to read the end of an answer.
const END: Duration = Duration::from_secs(2);
/// The time that a hand-over may take up of what its caller allows.
const WAY: Duration = Duration::from_millis(120);

/// What a VM made of a request that was handed to it.
#[derive(Debug)]
pub(super) enum Passed {
    /// The head of an answer came.
    Head(Head, Exchange),
    /// The VM could not be reached.
    NotSent,
    /// It did not run there.
    Refused(Abort),
    /// It may have run there.
    Unknown(String),
}

impl Gateway {
    /// Hands the request to a VM of another region; gives an outcome where it goes no further.
    pub(super) async fn pass(
        self: &Arc<Self>,
        call: &Arc<Call>,
        vm: &VmInfo,
        course: &mut Course,
    ) -> Option<Outcome> {
        course.vms.push(vm.vm.clone());
        let left = call.left(self.clock.now());
        match self.ask_vm(call, vm, call.last_event, left).await {
            Passed::Head(head, exchange) => {
                course.sent = true;
                course.attempts.record_remote_run();
                let status = u16::try_from(head.status).unwrap_or_default();
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                let body = AnswerBody::Whole(Bytes::new());
                let headers = decode_headers(head.headers);
                let answer = Answer { status, headers, body, target: vm.vm.clone() };
                self.settle_from(call, answer, Source::Link(exchange), course).await
            }
            Passed::NotSent => {
                course.unreached += 1;
                None
            }
            Passed::Refused(abort) => {
                // A target that rejected it there counts it as an arrival.
                course.sent |= abort.reason == Reason::Full.word();
                if abort.reason == Reason::Busy.word() {
                    let region = id::Region::from(vm.region.as_str());
                    self.admission().record_refused_handover(
                        &region,
                        &call.service,
                        self.clock.now(),
                    );
                }
                course.rejections += 1;
                course.refused = Some(abort.detail);
                None
            }
            Passed::Unknown(cause) => {
                course.sent = true;
                course.attempts.record_remote_run();
                self.doubt(call, cause, course)
            }
        }
    }

    /// Hands the request to a VM, to be run after the event `last`, and waits for the head.
    pub(super) async fn ask_vm(
        &self,
        call: &Call,
        vm: &VmInfo,
        last: Option<u64>,
        left: Duration,
    ) -> Passed {
        self.record_passage(call, vm);
        let region = id::Region::from(vm.region.as_str());
        let (tokens, now) = (call.prompt.unshared_tokens(), self.clock.now());
        self.admission().record_handover(&region, &call.service, tokens, now);
        let Some(address) = vm.links_address() else { return Passed::NotSent };
        let handover = self.handover(call, last, left);
        let Ok(mut exchange) = self.hub.hand_over(address, handover).await else {
            self.not_reached(call, vm);
            return Passed::NotSent;
        };
        let asked = within(left, ask(&mut exchange, &call.body)).await;
        match &asked {
            Some(Ok(_)) => self.admission().record_reachable(&vm.vm),
            Some(Err(_)) => self.not_reached(call, vm),
            None => {}
        }
        match asked {
            Some(Ok(Body::Head(head))) => Passed::Head(head, exchange),
            Some(Ok(Body::Abort(abort))) if abort.did_not_run => Passed::Refused(abort),
            Some(Ok(Body::Abort(abort))) => Passed::Unknown(abort.detail),
            Some(Ok(_)) => Passed::Unknown("no head came".to_owned()),
            Some(Err(cause)) => Passed::Unknown(cause),
            None => Passed::Unknown("no answer in time".to_owned()),
        }
    }

    fn not_reached(&self, call: &Call, vm: &VmInfo) {
        self.admission().record_unreachable(&vm.vm, self.clock.now());
        let fields: [event::Field<'_>; 3] =
            [("request", &call.id), ("vm", &vm.vm), ("region", &vm.region)];
        event::placement::UNREACHED.emit(&self.logger, &fields);
    }

    fn handover(&self, call: &Call, last: Option<u64>, left: Duration) -> Handover {
        let left = left.saturating_sub(WAY);
        let mut headers = call.headers.clone();
        if let Some(last) = last {
            headers.insert(self.header_names.last_event_id.clone(), HeaderValue::from(last));
        }
        Handover {
            request: call.id.clone(),
            method: call.method.to_string(),
            path: call.path.clone(),
            headers: encode_headers(&headers),
            between_regions: 1,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            plans: call.version,
            need: Some(Need { service: call.service.to_string(), ..Need::default() }),
            ..Handover::default()
        }
    }

    /// Serves a request that another VM handed over; the work stops when that VM gives it up.
    pub(super) async fn serve_handover(
        self: Arc<Self>,
        from: id::Vm,
        handover: Handover,
        mut exchange: Exchange,
    ) {
        let _busy = self.in_flight_guard();
        let time = Duration::from_millis(handover.deadline_ms);
        let limit = self.route_table().map_or(0, |table| table.limits.body_bytes);
        let Some(Some(body)) = within(time, exchange.collect(limit)).await else { return };
        let request = handover.request.clone();
        let outcome = {
            let work = pin!(self.run_for(handover, body));
            match select(work, pin!(exchange.receive())).await {
                Either::Left((outcome, _)) => outcome,
                Either::Right(_) => return,
            }
        };
        self.record_taken_over(&request, &from, &outcome);
        answer(exchange, outcome).await;
    }

    async fn run_for(self: &Arc<Self>, handover: Handover, body: Bytes) -> Outcome {
        let deadline = self.clock.now() + Duration::from_millis(handover.deadline_ms);
        let caught_up = self.clock.now() + CATCH_UP;
        while self.route_table().is_none_or(|table| table.version < handover.plans) {
            if self.clock.now() >= caught_up {
                return refuse("this VM does not know the newest routes");
            }
            Timer::after(CATCH_UP_PAUSE).await;
        }
        let Some(table) = self.route_table() else { return refuse("this VM knows no routes") };
        let headers = decode_headers(handover.headers);
        let host = host_of(&headers).unwrap_or_default();
        let Some(rule) = table.find(&host, &handover.path).cloned() else {
            return refuse("no route fits any more");
        };
        if !rule.allows(&self.settings.region) {
            return refuse("the route's homes do not hold this region");
        }
        let service = handover.need.map(|need| id::Service::from(need.service));
        let Some(service) = service.filter(|named| rule.split.services().any(|one| one == named))
        else {
            return refuse("the route names another service now");
        };
        let Ok(method) = Method::try_from(handover.method.as_str()) else {
            return refuse("the method cannot be read");
        };
        let prompt = self.prompt(&headers);
        let last_event = self.last_event(&headers);
        let call = Call {
            id: handover.request,
            method,
            path: handover.path,
            headers,
            body,
            rule,
            version: table.version,
            service,
            prompt,
            deadline,
            came: self.clock.now(),
            last_event,
            handed_over: true,
        };
        self.run(Arc::new(call)).await
    }
}

fn refuse(detail: &str) -> Outcome {
    let wait = Duration::from_millis(300);
    Outcome::Refused(Refusal::new(Reason::NoTarget, detail, wait))
}

/// Sends the body and waits for the first frame of the answer.
async fn ask(exchange: &mut Exchange, body: &Bytes) -> Result<Body, String> {
    let sent = async {
        if !body.is_empty() {
            exchange.send(Body::Chunk(Chunk { bytes: body.clone() })).await?;
        }
        exchange.send(Body::End(End {})).await?;
        exchange.receive().await
    };
    sent.await.map_err(|cause| cause.to_string())
}

/// Sends the outcome back, and stops the work when the other VM gives the request up.
async fn answer(mut exchange: Exchange, outcome: Outcome) {
    let answer = match outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Refused(refusal) => {
            let reason = refusal.reason.word().to_owned();
            let abort = Abort { reason, ..abort(true, refusal.detail) };
            let _ = exchange.send(Body::Abort(abort)).await;
            return;
        }
        Outcome::Unknown(cause) => {
            let _ = exchange.send(Body::Abort(abort(false, cause))).await;
            return;
        }
    };
    let head = Head {
        status: u32::from(answer.status.as_u16()),
        headers: encode_headers(&answer.headers),
    };
    if exchange.send(Body::Head(head)).await.is_err() {
        return;
    }
    let last = match answer.body {
        AnswerBody::Whole(bytes) => {
            let sent = exchange.send(Body::Chunk(Chunk { bytes })).await;
            if sent.is_err() {
                return;
            }
            Body::End(End {})
        }
        AnswerBody::Flow(flow) => match forward(&mut exchange, *flow).await {
            Some(last) => last,
            None => return,
        },
    };
    if exchange.send(last).await.is_ok() {
        // A VM that stops waits until the other one has read the end.
        let _ = within(END, exchange.receive()).await;
        exchange.finish();
    }
}

/// Passes pieces on; gives the last frame, or nothing where the other VM gave up.
async fn forward(exchange: &mut Exchange, mut flow: Flow) -> Option<Body> {
    loop {
        let piece = match select(pin!(flow.next()), pin!(exchange.receive())).await {
            Either::Left((piece, _)) => piece,
            Either::Right(_) => return None,
        };
        match piece {
            Some(Ok(bytes)) => exchange.send(Body::Chunk(Chunk { bytes })).await.ok()?,
            Some(Err(broken)) => return Some(Body::Abort(abort(false, broken.to_string()))),
            None => return Some(Body::End(End {})),
        }
    }
}

fn abort(did_not_run: bool, detail: String) -> Abort {
    Abort { did_not_run, detail, ..Abort::default() }
}

fn encode_headers(headers: &HeaderMap) -> Vec<Pair> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| Pair {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(pair).collect()
}

fn decode_headers(pairs: Vec<Pair>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for Pair { name, value } in pairs {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            headers.append(name, value);
        }
    }
    headers
}

/// The host that a request names, without a port.
pub(super) fn host_of(headers: &HeaderMap) -> Option<String> {
    let host = headers.get("host")?.to_str().ok()?;
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}
