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

use super::{Vm, serve::Waited};
use crate::{
    admin::Way,
    figure::{Outcome, Sample},
    http::{self, Body, Broken},
    id,
    outcome::{Outcome as Answered, Reason},
    path::{self, Class},
};

const BETWEEN_LIMIT: usize = 1_024;

/// What is noted of one request while its answer goes to the caller.
struct Note {
    vm: Arc<Vm>,
    start: Instant,
    waited: Duration,
    last: Option<Instant>,
    first_byte: Option<Duration>,
    between: Vec<Duration>,
    class: Class,
    way: Way,
}

/// A body whose end is noted.
struct Noted {
    body: Body,
    note: Option<Note>,
    /// The bytes still to come, where the head says how many there are.
    left: Option<u64>,
}

impl Vm {
    /// Serves a caller's request, and notes what became of it.
    pub(super) async fn observe(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let start = self.clock.now();
        let customer = self.customer(request.headers());
        let class = text(request.headers(), path::CLASS);
        let class = Class::from_text(class).unwrap_or_default();
        let headless = request.method() == Method::HEAD;
        let response = Arc::clone(&self).serve(request).await;
        let (head, body) = response.into_parts();
        let outcome = outcome(&head.headers);
        let (body, reason) = match outcome {
            Outcome::Refused => reason(body).await,
            _ => (body, None),
        };
        let way = Way {
            vm: self.settings.vm.clone(),
            request: id::Request::from(text(&head.headers, path::REQUEST)),
            customer,
            status: head.status.as_u16(),
            outcome,
            reason,
            way: text(&head.headers, path::WAY).to_owned(),
            total_ms: 0,
        };
        let waited = head.extensions.get().map_or(Duration::ZERO, |Waited(waited)| *waited);
        let note = Note {
            vm: self,
            start,
            waited,
            last: None,
            first_byte: None,
            between: vec![],
            class,
            way,
        };
        let left =
            if headless { Some(0) } else { body.size_hint().exact().or(length(&head.headers)) };
        let noted = Noted { body, note: Some(note), left };
        Response::from_parts(head, noted.boxed_unsync())
    }

    fn customer(&self, headers: &HeaderMap) -> Option<id::Customer> {
        let key = text(headers, AUTHORIZATION.as_str()).strip_prefix("Bearer ")?;
        self.book()?.plan_for_key(key).map(|plan| plan.customer.clone())
    }

    /// The way of a request that another VM handed over, under the identifier that it has there.
    pub(super) fn taken_over(
        &self,
        request: id::Request,
        customer: id::Customer,
        outcome: &Answered<path::Answer>,
    ) -> Way {
        let (status, word, reason, way) = match outcome {
            Answered::Answered(answer) => {
                let status = u16::try_from(answer.head.status).unwrap_or_default();
                (status, Outcome::Answered, None, answer.way.join(" > "))
            }
            Answered::Refused(refusal) => {
                let status = path::refusal(&request, refusal).status().as_u16();
                (status, Outcome::Refused, Some(refusal.reason), String::new())
            }
            Answered::Unknown(doubt) => {
                let status = path::unknown(&request, doubt).status().as_u16();
                (status, Outcome::Unknown, None, String::new())
            }
        };
        let (vm, customer, outcome) = (self.settings.vm.clone(), Some(customer), word);
        Way { vm, request, customer, status, outcome, reason, way, total_ms: 0 }
    }

    /// Keeps the way of a request that another VM handed over, once its answer has ended.
    pub(super) fn note_end(&self, mut way: Way, start: Instant, whole: bool) {
        if !whole && way.outcome == Outcome::Answered {
            way.outcome = Outcome::Unknown;
        }
        way.total_ms = millis(self.clock.now() - start);
        self.trail().push(way);
    }

    fn is_elsewhere(&self, way: &str) -> bool {
        way.split(" > ").any(|step| {
            let peer = self.peer(&id::Vm::from(step));
            peer.is_some_and(|peer| peer.region != self.settings.region)
        })
    }
}

impl Note {
    fn piece(&mut self) {
        let now = self.vm.clock.now();
        match self.last.replace(now) {
            Some(last) if self.between.len() < BETWEEN_LIMIT => self.between.push(now - last),
            Some(_) => {}
            None => self.first_byte = Some(now - self.start),
        }
    }

    fn end(mut self, whole: bool) {
        if !whole && self.way.outcome == Outcome::Answered {
            self.way.outcome = Outcome::Unknown;
        }
        let total = self.vm.clock.now() - self.start;
        let answered = self.way.outcome == Outcome::Answered;
        self.vm.board.record(&Sample {
            customer: self.way.customer.as_ref(),
            class: self.class,
            outcome: self.way.outcome,
            reason: self.way.reason,
            elsewhere: self.vm.is_elsewhere(&self.way.way),
            first_byte: self.first_byte.filter(|_| answered),
            total,
            queue: answered.then_some(self.waited),
            between: if answered { &self.between } else { &[] },
            engine: if answered { total.saturating_sub(self.waited) } else { Duration::ZERO },
        });
        self.vm.trail().push(Way { total_ms: millis(total), ..self.way });
    }
}

impl Noted {
    fn piece(&mut self, frame: &Frame<Bytes>) {
        if let Some(note) = &mut self.note {
            note.piece();
        }
        let length = frame.data_ref().map_or(0, |bytes| bytes.len() as u64);
        self.left = self.left.map(|left| left.saturating_sub(length));
        if self.is_whole() {
            self.end(true);
        }
    }

    fn is_whole(&self) -> bool {
        self.left == Some(0) || self.body.is_end_stream()
    }

    fn end(&mut self, whole: bool) {
        if let Some(note) = self.note.take() {
            note.end(whole);
        }
    }
}

impl hyper::body::Body for Noted {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(frame))) => self.piece(frame),
            Poll::Ready(None) => self.end(true),
            Poll::Ready(Some(Err(_))) => self.end(false),
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

impl Drop for Noted {
    fn drop(&mut self) {
        let whole = self.is_whole();
        self.end(whole);
    }
}

/// The reason that the body of a refusal names.
async fn reason(body: Body) -> (Body, Option<Reason>) {
    let Ok(whole) = body.collect().await else { return (http::empty(), None) };
    let bytes = whole.to_bytes();
    let problem: Option<serde_json::Value> = serde_json::from_slice(&bytes).ok();
    let reason = problem
        .and_then(|mut problem| serde_json::from_value(problem["error"]["type"].take()).ok());
    (http::full(bytes), reason)
}

fn outcome(headers: &HeaderMap) -> Outcome {
    match text(headers, path::OUTCOME) {
        "answered" => Outcome::Answered,
        "refused" => Outcome::Refused,
        _ => Outcome::Unknown,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn length(headers: &HeaderMap) -> Option<u64> {
    text(headers, CONTENT_LENGTH.as_str()).parse().ok()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}
