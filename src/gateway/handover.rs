use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use hyper::{
    HeaderMap, Method,
    body::Bytes,
    header::{HeaderName, HeaderValue},
};
use smol::Timer;

use super::{
    Attempts, VersionBinding,
    dispatch::DispatchState,
    grace::stopping_refusal,
    outcome::{Outcome, Reason, Refusal, ResponseBody, TargetResponse},
    routed_request::{Flight, RoutedRequest},
    server::Gateway,
    streaming_body::{BodySource, StreamingBody},
};
use crate::{
    clock::within,
    event, http, id,
    link::{self, Exchange},
    organisation::Organisation,
    outcome::HandoverEnd,
    registry::VmInfo,
    route::DeliveryMode,
    wire::{Abort, Body, Chunk, End, Handover, Header, Need, ResponseHead},
};

/// How long the receiver of a handover waits for the version of the routes that the sender has.
const ROUTES_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);
const ROUTES_CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the other VM may take to read the end of a response.
const END_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The part of the time until the caller's deadline that is reserved for the transfer between the
/// two VMs. Streams don't need it: what has come of them is with the caller already.
pub(super) const TRANSFER_ALLOWANCE: Duration = Duration::from_millis(120);

/// The result of handing a request to another VM.
#[derive(Debug)]
pub(super) enum HandoverOutcome {
    /// The head of a response arrived; the body follows on the exchange.
    Responded(ResponseHead, Exchange),
    /// The VM could not be reached.
    NotSent,
    /// The request did not run there.
    Refused(Abort),
    /// The request may have run there; the text says what went wrong.
    Unknown(String),
}

/// A request that another VM handed over.
#[derive(Debug)]
pub(super) struct ReceivedHandover {
    pub(super) request_id: String,
    pub(super) from: id::Vm,
    pub(super) received_at: Instant,
}

impl Gateway {
    /// Hands the request to a VM in another region; returns an outcome if no other attempt may
    /// follow.
    pub(super) async fn attempt_handover(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        vm: &VmInfo,
        state: &mut DispatchState,
    ) -> Option<Outcome> {
        state.tried_vms.push(vm.vm.clone());
        let time_left = request.time_left(self.clock.now());
        let is_resumable = self.is_resumable_after(request, &state.attempts);
        let outcome = self
            .send_to_vm(
                request,
                vm,
                request.last_event_id,
                &state.version_binding,
                time_left,
                is_resumable,
            )
            .await;
        match outcome {
            HandoverOutcome::Responded(head, exchange) => {
                state.sent = true;
                state.attempts.record_remote_run();
                // An older process at the other VM forwards any status.
                let Some(status) = http::final_status(head.status) else {
                    let cause = http::undefined_status(head.status);
                    let cause = format!("VM `{}`: {cause}", vm.vm);
                    return self.record_unknown(request, cause, state);
                };
                let body = ResponseBody::Complete(Bytes::new());
                let software_version = software_version(&head);
                let headers = decode_headers(head.headers);
                let source = vm.vm.clone();
                let response = TargetResponse {
                    status,
                    headers,
                    body,
                    source,
                    software_version: software_version.clone(),
                };
                let body_source = BodySource::Link { exchange, software_version };
                self.start_response(request, response, body_source, state).await
            }
            HandoverOutcome::NotSent => {
                state.unsent_attempts += 1;
                None
            }
            HandoverOutcome::Refused(abort) => {
                // A target there received the request and rejected it, so any further attempt is a
                // retry.
                state.sent |= abort.reason == Reason::TargetsFull.as_str();
                let is_limited = abort.reason == Reason::TargetsLimited.as_str();
                if is_limited {
                    state.limited_return = Some(Duration::from_millis(abort.retry_after_ms));
                }
                if is_limited || abort.reason == Reason::WouldBeLate.as_str() {
                    let region = id::Region::from(vm.region.as_str());
                    self.admission().record_refused_handover(
                        &region,
                        &request.service,
                        self.clock.now(),
                    );
                }
                // A VM that stops says nothing about the targets.
                if abort.reason != Reason::Stopping.as_str() {
                    state.rejections += 1;
                    state.rejection_detail = Some(abort.detail);
                }
                None
            }
            HandoverOutcome::Unknown(cause) => {
                state.sent = true;
                state.attempts.record_remote_run();
                self.record_unknown(request, cause, state)
            }
        }
    }

    /// Sends the request to a VM and waits at most `timeout` for the head of the response. A stream
    /// starts after the event `last_event_id`, at a target that `version_binding` allows; `is_resumable`
    /// tells the other VM whether the rest of it could be had elsewhere.
    pub(super) async fn send_to_vm(
        &self,
        request: &RoutedRequest,
        vm: &VmInfo,
        last_event_id: Option<u64>,
        version_binding: &VersionBinding,
        timeout: Duration,
        is_resumable: bool,
    ) -> HandoverOutcome {
        self.record_handover(request, vm);
        let region = id::Region::from(vm.region.as_str());
        let (unshared_tokens, now) = (request.prompt.unshared_tokens(), self.clock.now());
        self.admission().record_handover(&region, &request.service, unshared_tokens, now);
        let Some(address) = vm.links_address() else { return HandoverOutcome::NotSent };
        let handover =
            self.build_handover(request, last_event_id, version_binding, timeout, is_resumable);
        let Ok(mut exchange) = self.hub.hand_over(address, handover).await else {
            self.record_unreachable(request, vm);
            return HandoverOutcome::NotSent;
        };
        let reply = within(timeout, send_body_and_await_reply(&mut exchange, &request.body)).await;
        match &reply {
            Some(Ok(_)) => self.admission().record_reachable(&vm.vm),
            Some(Err(_)) => self.record_unreachable(request, vm),
            None => {}
        }
        match reply {
            Some(Ok(Body::ResponseHead(head))) => HandoverOutcome::Responded(head, exchange),
            Some(Ok(Body::Abort(abort))) if abort.did_not_run => {
                if abort.reason == Reason::Stopping.as_str() {
                    self.admission().record_stopping(&vm.vm, vm.incarnation);
                }
                HandoverOutcome::Refused(abort)
            }
            Some(Ok(Body::Abort(abort))) => HandoverOutcome::Unknown(abort.detail),
            Some(Ok(_)) => HandoverOutcome::Unknown("no head came".to_owned()),
            Some(Err(cause)) => HandoverOutcome::Unknown(cause),
            None => HandoverOutcome::Unknown("no answer in time".to_owned()),
        }
    }

    /// Whether a stream may be resumed once more after the next attempt.
    pub(super) fn is_resumable_after(&self, request: &RoutedRequest, attempts: &Attempts) -> bool {
        let mut attempts = attempts.clone();
        attempts.record_remote_run();
        request.route.delivery_mode == DeliveryMode::Resumable
            && attempts.may_use_new_target()
            && !self.is_stopping()
    }

    fn record_unreachable(&self, request: &RoutedRequest, vm: &VmInfo) {
        self.admission().record_unreachable(&vm.vm, self.clock.now());
        let fields: [event::Field<'_>; 3] =
            [("request", &request.id), ("vm", &vm.vm), ("region", &vm.region)];
        event::placement::UNREACHED.emit(&self.logger, &fields);
    }

    fn build_handover(
        &self,
        request: &RoutedRequest,
        last_event_id: Option<u64>,
        version_binding: &VersionBinding,
        timeout: Duration,
        is_resumable: bool,
    ) -> Handover {
        let timeout = timeout.saturating_sub(TRANSFER_ALLOWANCE);
        let mut headers = request.headers.clone();
        if let Some(last_event_id) = last_event_id {
            headers
                .insert(self.header_names.last_event_id.clone(), HeaderValue::from(last_event_id));
        }
        Handover {
            request_id: request.id.clone(),
            method: request.method.to_string(),
            path: request.path_and_query.clone(),
            customer: request
                .organisation
                .as_ref()
                .map(|organisation| organisation.name.to_string())
                .unwrap_or_default(),
            headers: encode_headers(&headers),
            region_handovers: 1,
            deadline_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
            plans_version: request.routes_version,
            need: Some(Need { service: request.service.to_string(), ..Need::default() }),
            software_version: version_binding
                .version()
                .map(ToString::to_string)
                .unwrap_or_default(),
            is_resumable,
            ..Handover::default()
        }
    }

    /// Serves a request that another VM handed over. The work is cancelled if that VM closes the
    /// exchange.
    pub(super) async fn serve_handover(
        self: Arc<Self>,
        from: id::Vm,
        handover: Handover,
        mut exchange: Exchange,
    ) {
        let received = ReceivedHandover {
            request_id: handover.request_id.clone(),
            from,
            received_at: self.clock.now(),
        };
        // The process may exit at once, as it no longer waits for what begins now.
        let Some(_in_flight) = self.in_flight_guard() else {
            let end = send_outcome(exchange, Outcome::Refused(stopping_refusal())).await;
            return self.record_handover_end(&received, &end);
        };
        let timeout = Duration::from_millis(handover.deadline_ms);
        let max_body_bytes = self.route_table().map_or(0, |table| table.limits.body_bytes);
        let mut body_share = self.account.budget().share();
        let body =
            within(timeout, exchange.collect(max_body_bytes, |bytes| body_share.grow_to(bytes)));
        let body = match self.until_grace_ends(true, body).await {
            Some(Some(Some(body))) => body,
            incomplete => {
                let refusal = match incomplete {
                    Some(_) => incomplete_body_refusal(),
                    None => stopping_refusal(),
                };
                let end = send_outcome(exchange, Outcome::Refused(refusal)).await;
                return self.record_handover_end(&received, &end);
            }
        };
        let outcome = {
            let dispatch = pin!(self.dispatch_handover(&received.from, handover, body));
            match select(dispatch, pin!(exchange.receive())).await {
                Either::Left((outcome, _)) => outcome,
                Either::Right((frame, _)) => {
                    return self.record_handover_end(&received, &HandoverEnd::of_frame(&frame));
                }
            }
        };
        let end = send_outcome(exchange, outcome).await;
        self.record_handover_end(&received, &end);
    }

    async fn dispatch_handover(
        self: &Arc<Self>,
        from: &id::Vm,
        handover: Handover,
        body: Bytes,
    ) -> Outcome {
        let deadline = self.clock.now() + Duration::from_millis(handover.deadline_ms);
        let catch_up_deadline = self.clock.now() + ROUTES_CATCH_UP_TIMEOUT;
        while self.route_table().is_none_or(|table| table.version < handover.plans_version) {
            if self.clock.now() >= catch_up_deadline {
                return refuse_handover("this VM does not know the newest routes");
            }
            let delay = Timer::after(ROUTES_CATCH_UP_POLL_INTERVAL);
            if self.until_grace_ends(true, delay).await.is_none() {
                return Outcome::Refused(stopping_refusal());
            }
        }
        let Some(table) = self.route_table() else {
            return refuse_handover("this VM knows no routes");
        };
        let headers = decode_headers(handover.headers);
        let host = host_without_port(&headers).unwrap_or_default();
        let Some(route) = table.find(&host, &handover.path).cloned() else {
            return refuse_handover("no route fits any more");
        };
        if !route.allows(&self.settings.region) {
            return refuse_handover("the route's homes do not hold this region");
        }
        let organisation = match (&table.organisations, route.is_public) {
            (Some(organisations), false) => {
                let name = id::Organisation::from(handover.customer.as_str());
                let Some(organisation) = organisations.find(&name).cloned() else {
                    return refuse_handover("the request's organisation is not known any more");
                };
                Some(organisation)
            }
            _ => None,
        };
        let is_allowed = |it: &Arc<Organisation>| it.allows(&self.settings.region);
        if !organisation.as_ref().is_none_or(is_allowed) {
            return refuse_handover("the organisation's homes do not hold this region");
        }
        let service = handover.need.map(|need| id::Service::from(need.service));
        let Some(service) =
            service.filter(|service| route.split.services().any(|other| other == service))
        else {
            return refuse_handover("the route names another service now");
        };
        let Ok(method) = Method::try_from(handover.method.as_str()) else {
            return refuse_handover("the method cannot be read");
        };
        let version_binding = if !handover.software_version.is_empty() {
            VersionBinding::Only(id::SoftwareVersion::from(handover.software_version))
        } else if route.delivery_mode.is_stream() && self.continues_stream(&headers) {
            return refuse_handover("the software version of the stream is not known");
        } else {
            VersionBinding::Any
        };
        let prompt = self.parse_prompt(&headers);
        let last_event_id = self.parse_last_event_id(&headers);
        let received_at = self.clock.now();
        let flight = Flight::begin(&self.in_flight_ages, &route, received_at);
        let gives_back_to = handover.is_resumable.then(|| from.clone());
        let request = RoutedRequest {
            id: handover.request_id,
            method,
            path_and_query: handover.path,
            headers,
            body,
            route,
            routes_version: table.version,
            organisation,
            service,
            prompt,
            // The VM that received the request from its caller counts it against quotas.
            declared_tokens: None,
            deadline,
            received_at,
            last_event_id,
            // The VM that received the request from its caller records the stream.
            stream_key: None,
            stream_deadline: deadline,
            version_binding,
            handed_over: true,
            gives_back_to,
            _body_share: None,
            _flight: flight,
        };
        self.dispatch(Arc::new(request)).await
    }
}

/// The software version of the target that responded to the other VM, if that VM told it.
pub(super) fn software_version(head: &ResponseHead) -> Option<id::SoftwareVersion> {
    (!head.software_version.is_empty())
        .then(|| id::SoftwareVersion::from(head.software_version.as_str()))
}

fn refuse_handover(detail: &str) -> Outcome {
    let retry_after = Duration::from_millis(300);
    Outcome::Refused(Refusal::new(Reason::NoTarget, detail, retry_after))
}

fn incomplete_body_refusal() -> Refusal {
    let detail = "the body did not come whole from the other VM";
    Refusal::new(Reason::BodyIncomplete, detail, Duration::ZERO)
}

/// Sends the body of the request and waits for the first frame of the response.
async fn send_body_and_await_reply(exchange: &mut Exchange, body: &Bytes) -> Result<Body, String> {
    let sent = async {
        if !body.is_empty() {
            exchange.send(Body::Chunk(Chunk { bytes: body.clone() })).await?;
        }
        exchange.send(Body::End(End {})).await
    };
    match sent.await {
        // The other VM refused the request before it had the whole body; its frame says why.
        Ok(()) | Err(link::Error::Cancelled) => {}
        Err(cause) => return Err(cause.to_string()),
    }
    exchange.receive().await.map_err(|cause| cause.to_string())
}

/// Sends the outcome to the VM that handed the request over. Cancels the work if that VM closes the
/// exchange.
async fn send_outcome(mut exchange: Exchange, outcome: Outcome) -> HandoverEnd {
    let response = match outcome {
        Outcome::Responded(response) => response,
        Outcome::Refused(refusal) => {
            let reason = refusal.reason.as_str().to_owned();
            let retry_after_ms = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
            let detail = refusal.detail.clone();
            let abort = Abort { reason, retry_after_ms, ..abort_frame(true, refusal.detail) };
            let _ = exchange.send(Body::Abort(abort)).await;
            return HandoverEnd::Refused(detail);
        }
        Outcome::Unknown(cause) => {
            let _ = exchange.send(Body::Abort(abort_frame(false, cause.clone()))).await;
            return HandoverEnd::Unknown(cause);
        }
    };
    let source = response.source;
    let head = ResponseHead {
        status: u32::from(response.status.as_u16()),
        headers: encode_headers(&response.headers),
        software_version: response
            .software_version
            .as_ref()
            .map_or_else(String::new, ToString::to_string),
    };
    if let Err(cause) = exchange.send(Body::ResponseHead(head)).await {
        return HandoverEnd::of_error(&cause);
    }
    let broken = match response.body {
        ResponseBody::Complete(bytes) => {
            if let Err(cause) = exchange.send(Body::Chunk(Chunk { bytes })).await {
                return HandoverEnd::of_error(&cause);
            }
            None
        }
        ResponseBody::Streaming(streaming_body) => {
            match forward_chunks(&mut exchange, *streaming_body).await {
                Ok(broken) => broken,
                Err(end) => return end,
            }
        }
    };
    let last_frame = match &broken {
        Some(cause) => Body::Abort(abort_frame(false, cause.clone())),
        None => Body::End(End {}),
    };
    if let Err(cause) = exchange.send(last_frame).await {
        return HandoverEnd::of_error(&cause);
    }
    // Keeps the exchange open, also during shutdown, until the other VM has read the end.
    let end_read = within(END_READ_TIMEOUT, exchange.receive()).await.is_some();
    exchange.finish();
    match broken {
        Some(cause) => HandoverEnd::BrokenOff { source, cause },
        None => HandoverEnd::Answered { source, end_read },
    }
}

/// Forwards chunks until the body ends. Returns why it broke off, if it did.
///
/// # Errors
///
/// If the other VM closed the exchange, or the link ended.
async fn forward_chunks(
    exchange: &mut Exchange,
    mut streaming_body: StreamingBody,
) -> Result<Option<String>, HandoverEnd> {
    loop {
        let chunk = match select(pin!(streaming_body.next()), pin!(exchange.receive())).await {
            Either::Left((chunk, _)) => chunk,
            Either::Right((frame, _)) => return Err(HandoverEnd::of_frame(&frame)),
        };
        match chunk {
            Some(Ok(bytes)) => {
                let sent = exchange.send(Body::Chunk(Chunk { bytes })).await;
                sent.map_err(|cause| HandoverEnd::of_error(&cause))?;
            }
            Some(Err(broken)) => {
                let cause = streaming_body.break_cause().map(str::to_owned);
                return Ok(Some(cause.unwrap_or_else(|| broken.to_string())));
            }
            None => return Ok(None),
        }
    }
}

fn abort_frame(did_not_run: bool, detail: String) -> Abort {
    Abort { did_not_run, detail, ..Abort::default() }
}

fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let encode = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(encode).collect()
}

/// Decodes headers; leaves out those that are not valid in HTTP.
fn decode_headers(pairs: Vec<Header>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for Header { name, value } in pairs {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            headers.append(name, value);
        }
    }
    headers
}

/// The host that the request names, in lower case and without the port.
pub(super) fn host_without_port(headers: &HeaderMap) -> Option<String> {
    let host = headers.get("host")?.to_str().ok()?;
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}
