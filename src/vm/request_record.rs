//! Records the outcome and the timings of each request.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Request, Response,
    body::{Body as _, Bytes, Frame, Incoming, SizeHint},
    header::{AUTHORIZATION, CONTENT_LENGTH},
};

use super::{Vm, serve::AdmissionWait};
use crate::{
    admin::Way,
    figure::{Outcome, Sample},
    http::{self, Body, IncompleteBody},
    id,
    outcome::{Outcome as RequestOutcome, Reason},
    path::{self, Class},
};

/// Limit on the gaps between frames that are kept for one answer.
const MAX_RECORDED_GAPS: usize = 1_024;

/// The record of one request while its answer is sent to the caller.
struct RequestRecord {
    vm: Arc<Vm>,
    started_at: Instant,
    admission_wait: Duration,
    last_frame_at: Option<Instant>,
    time_to_first_byte: Option<Duration>,
    gaps: Vec<Duration>,
    class: Class,
    way: Way,
}

/// A body that records each of its frames and its end.
struct ObservedBody {
    body: Body,
    record: Option<RequestRecord>,
    /// The bytes still to come, if the length of the body is known.
    remaining_bytes: Option<u64>,
}

impl Vm {
    /// Serves a request of a caller, and records its outcome and timings when its answer ends.
    pub(super) async fn serve_and_record(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Body> {
        let started_at = self.clock.now();
        let customer = self.customer_from_headers(request.headers());
        let class = header_text(request.headers(), path::CLASS);
        let class = Class::from_text(class).unwrap_or_default();
        let is_head_request = request.method() == Method::HEAD;
        let response = Arc::clone(&self).serve(request).await;
        let (head, body) = response.into_parts();
        let outcome = outcome_from_headers(&head.headers);
        let (body, reason) = match outcome {
            Outcome::Refused => read_refusal_reason(body).await,
            _ => (body, None),
        };
        let way = Way {
            vm: self.settings.vm.clone(),
            request: id::Request::from(header_text(&head.headers, path::REQUEST)),
            customer,
            status: head.status.as_u16(),
            outcome,
            reason,
            way: header_text(&head.headers, path::WAY).to_owned(),
            total_ms: 0,
        };
        let admission_wait = head
            .extensions
            .get()
            .map_or(Duration::ZERO, |AdmissionWait(admission_wait)| *admission_wait);
        let record = RequestRecord {
            vm: self,
            started_at,
            admission_wait,
            last_frame_at: None,
            time_to_first_byte: None,
            gaps: vec![],
            class,
            way,
        };
        let remaining_bytes = if is_head_request {
            Some(0)
        } else {
            body.size_hint().exact().or(content_length(&head.headers))
        };
        let observed_body = ObservedBody { body, record: Some(record), remaining_bytes };
        Response::from_parts(head, observed_body.boxed_unsync())
    }

    fn customer_from_headers(&self, headers: &HeaderMap) -> Option<id::Customer> {
        let key = header_text(headers, AUTHORIZATION.as_str()).strip_prefix("Bearer ")?;
        self.fresh_book()?.plan_for_key(key).map(|plan| plan.customer.clone())
    }

    /// The trail entry of a request that another VM handed over, under the identifier from that VM.
    pub(super) fn received_handover_way(
        &self,
        request: id::Request,
        customer: id::Customer,
        outcome: &RequestOutcome<path::TargetResponse>,
    ) -> Way {
        let (status, recorded_outcome, reason, way) = match outcome {
            RequestOutcome::Answered(answer) => {
                let status = u16::try_from(answer.head.status).unwrap_or_default();
                (status, Outcome::Answered, None, answer.hops.join(" > "))
            }
            RequestOutcome::Refused(refusal) => {
                let status = path::refusal_response(&request, refusal).status().as_u16();
                (status, Outcome::Refused, Some(refusal.reason), String::new())
            }
            RequestOutcome::Unknown(doubt) => {
                let status = path::unknown_outcome_response(&request, doubt).status().as_u16();
                (status, Outcome::Unknown, None, String::new())
            }
        };
        let (vm, customer, outcome) = (self.settings.vm.clone(), Some(customer), recorded_outcome);
        Way { vm, request, customer, status, outcome, reason, way, total_ms: 0 }
    }

    /// Adds the trail entry of a request that another VM handed over, after its answer has ended.
    pub(super) fn record_handover_end(&self, mut way: Way, started_at: Instant, complete: bool) {
        if !complete && way.outcome == Outcome::Answered {
            way.outcome = Outcome::Unknown;
        }
        way.total_ms = whole_millis(self.clock.now() - started_at);
        self.trail().push(way);
    }

    fn crossed_regions(&self, way: &str) -> bool {
        way.split(" > ").any(|step| {
            let peer = self.peer(&id::Vm::from(step));
            peer.is_some_and(|peer| peer.region != self.settings.region)
        })
    }
}

impl RequestRecord {
    fn record_frame(&mut self) {
        let now = self.vm.clock.now();
        match self.last_frame_at.replace(now) {
            Some(last) if self.gaps.len() < MAX_RECORDED_GAPS => self.gaps.push(now - last),
            Some(_) => {}
            None => self.time_to_first_byte = Some(now - self.started_at),
        }
    }

    fn finish(mut self, complete: bool) {
        if !complete && self.way.outcome == Outcome::Answered {
            self.way.outcome = Outcome::Unknown;
        }
        let total = self.vm.clock.now() - self.started_at;
        let answered = self.way.outcome == Outcome::Answered;
        self.vm.metrics.record(&Sample {
            customer: self.way.customer.as_ref(),
            class: self.class,
            outcome: self.way.outcome,
            reason: self.way.reason,
            elsewhere: self.vm.crossed_regions(&self.way.way),
            first_byte: self.time_to_first_byte.filter(|_| answered),
            total,
            queue: answered.then_some(self.admission_wait),
            between: if answered { &self.gaps } else { &[] },
            engine: if answered {
                total.saturating_sub(self.admission_wait)
            } else {
                Duration::ZERO
            },
        });
        self.vm.trail().push(Way { total_ms: whole_millis(total), ..self.way });
    }
}

impl ObservedBody {
    fn record_frame(&mut self, frame: &Frame<Bytes>) {
        if let Some(record) = &mut self.record {
            record.record_frame();
        }
        let length = frame.data_ref().map_or(0, |bytes| bytes.len() as u64);
        self.remaining_bytes =
            self.remaining_bytes.map(|remaining_bytes| remaining_bytes.saturating_sub(length));
        if self.is_complete() {
            self.finish(true);
        }
    }

    fn is_complete(&self) -> bool {
        self.remaining_bytes == Some(0) || self.body.is_end_stream()
    }

    fn finish(&mut self, complete: bool) {
        if let Some(record) = self.record.take() {
            record.finish(complete);
        }
    }
}

impl hyper::body::Body for ObservedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(frame))) => self.record_frame(frame),
            Poll::Ready(None) => self.finish(true),
            Poll::Ready(Some(Err(_))) => self.finish(false),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ObservedBody {
    fn drop(&mut self) {
        let complete = self.is_complete();
        self.finish(complete);
    }
}

/// Reads the reason from the body of a refusal; returns the body as well.
async fn read_refusal_reason(body: Body) -> (Body, Option<Reason>) {
    let Ok(complete) = body.collect().await else { return (http::empty(), None) };
    let bytes = complete.to_bytes();
    let problem: Option<serde_json::Value> = serde_json::from_slice(&bytes).ok();
    let reason = problem
        .and_then(|mut problem| serde_json::from_value(problem["error"]["type"].take()).ok());
    (http::full(bytes), reason)
}

fn outcome_from_headers(headers: &HeaderMap) -> Outcome {
    match header_text(headers, path::OUTCOME) {
        "answered" => Outcome::Answered,
        "refused" => Outcome::Refused,
        _ => Outcome::Unknown,
    }
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    header_text(headers, CONTENT_LENGTH.as_str()).parse().ok()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
