use std::time::Instant;

use hyper::{StatusCode, header::HeaderValue};

use super::{
    attempt::AttemptOutcome,
    balancer::Pick,
    handover::ReceivedHandover,
    outcome::{Outcome, Refusal, ResponseBody, TargetResponse},
    routed_request::RoutedRequest,
    server::Gateway,
};
use crate::{
    event,
    figure::Page,
    http::Delimiter,
    id,
    outcome::HandoverEnd,
    registry::{BlockedRequests, Target, VmInfo},
    throttle::{Answer, Change, Limit, Pause},
};

/// The rate and burst of log lines about routine events, some kilobytes a second. Lines about
/// unusual events are not limited.
pub(super) const ROUTINE_LINES_PER_SEC: u32 = 60;

/// A software version in a log entry.
pub(super) fn software_text(version: Option<&id::SoftwareVersion>) -> &str {
    version.map_or("unknown", id::SoftwareVersion::as_str)
}

impl Gateway {
    /// Logs the target that a request is sent to and its expected delay.
    pub(super) fn record_placement(&self, request: &RoutedRequest, pick: &Pick) {
        if !self.sampler().passes(self.clock.now()) {
            return;
        }
        let expected_ms = (pick.first_event_secs * 1000.0) as u64;
        let cache_source = pick.cache_source.as_ref().map_or("", |target| target.target.as_str());
        event::placement::PLACED.emit(
            &self.logger,
            &[
                ("request", &request.id),
                ("target", &pick.target.target),
                ("software", &software_text(pick.target.software_version.as_ref())),
                ("service", &request.service),
                ("expected_ms", &expected_ms),
                ("load", &pick.in_flight),
                ("keeps", &pick.owns_prefix),
                ("copies_from", &cache_source),
                ("version", &request.routes_version),
            ],
        );
    }

    /// Counts an attempt at a target, and logs it if the target did not respond.
    pub(super) fn record_attempt(
        &self,
        request: &RoutedRequest,
        target: &id::Target,
        attempt_outcome: &AttemptOutcome,
    ) {
        let (label, outcome) = match attempt_outcome {
            AttemptOutcome::Responded(_) => return self.metrics().record_attempt("answered"),
            AttemptOutcome::Rejected(cause) => ("rejected", format!("rejected: {cause}")),
            AttemptOutcome::NotSent(cause) => ("not_sent", format!("not sent: {cause}")),
            AttemptOutcome::Unknown(cause) => ("unknown", format!("unknown: {cause}")),
        };
        self.metrics().record_attempt(label);
        let fields: [event::Field<'_>; 3] =
            [("request", &request.id), ("target", target), ("outcome", &outcome)];
        event::path::NOT_ANSWERED.emit(&self.logger, &fields);
    }

    /// Counts a retry, or logs that the retry budget is exhausted.
    pub(super) fn record_retry_decision(&self, request: &RoutedRequest, allowed: bool) {
        if allowed {
            self.metrics().record_retry();
            return;
        }
        let fields: [event::Field<'_>; 2] =
            [("request", &request.id), ("customer", &request.service)];
        event::placement::RETRIES_SPENT.emit(&self.logger, &fields);
    }

    /// Counts and logs a request that is handed to another VM.
    pub(super) fn record_handover(&self, request: &RoutedRequest, vm: &VmInfo) {
        self.metrics().record_handover();
        if !self.sampler().passes(self.clock.now()) {
            return;
        }
        let fields: [event::Field<'_>; 3] =
            [("request", &request.id), ("to", &vm.vm), ("region", &vm.region)];
        event::placement::SPILLED.emit(&self.logger, &fields);
    }

    /// Counts and logs a request that another VM handed over, at its end.
    pub(super) fn record_handover_end(&self, received: &ReceivedHandover, end: &HandoverEnd) {
        self.metrics().record_received_handover();
        let now = self.clock.now();
        let is_routine = matches!(end, HandoverEnd::Answered { end_read: true, .. });
        if is_routine && !self.sampler().passes(now) {
            return;
        }
        let elapsed = now.saturating_duration_since(received.received_at);
        event::path::TAKEN_OVER.emit(
            &self.logger,
            &[
                ("request", &received.request_id),
                ("from", &received.from),
                ("outcome", end),
                ("stopping", &self.is_stopping()),
                ("took_ms", &elapsed.as_millis()),
            ],
        );
    }

    /// Counts and logs a request that was refused before it was dispatched.
    pub(super) fn record_early_refusal(&self, request_id: &str, refusal: &Refusal) {
        let reason = refusal.reason.as_str();
        self.metrics().record_refusal(reason);
        let fields: [event::Field<'_>; 3] =
            [("request", &request_id), ("reason", &reason), ("detail", &refusal.detail)];
        event::path::TURNED_AWAY.emit(&self.logger, &fields);
    }

    /// Counts and logs the end of a request. A streamed response is logged when its body ends, by
    /// [`Gateway::record_stream_end`].
    pub(super) fn record_end(&self, request: &RoutedRequest, outcome: &Outcome) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(request.received_at);
        let (label, description, detail) = match outcome {
            Outcome::Responded(TargetResponse { body: ResponseBody::Streaming(_), .. }) => {
                return self.metrics().record_first_event(&request.route.name, elapsed);
            }
            Outcome::Responded(response) => {
                let label = if response.status.is_success() { "answered" } else { "failed" };
                if response.status.is_success() {
                    self.record_answer_time(&request.route, elapsed, now);
                }
                (label, response.status.as_str().to_owned(), response.source.clone())
            }
            Outcome::Refused(refusal) => {
                let reason = refusal.reason.as_str();
                self.metrics().record_refusal(reason);
                ("refused", format!("refused {reason}"), refusal.detail.clone())
            }
            Outcome::Unknown(cause) => ("unknown", "unknown".to_owned(), cause.clone()),
        };
        self.metrics().record_end(&request.route.name, label, elapsed);
        if label == "answered" && !self.sampler().passes(now) {
            return;
        }
        event::path::REQUEST.emit(
            &self.logger,
            &[
                ("request", &request.id),
                ("rule", &request.route.name),
                ("version", &request.routes_version),
                ("outcome", &description),
                ("detail", &detail),
                ("took_ms", &elapsed.as_millis()),
            ],
        );
    }

    /// Counts and logs the end of a streamed response.
    pub(super) fn record_stream_end(&self, request: &RoutedRequest, end: &StreamEnd<'_>) {
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(request.received_at);
        let head_ms =
            end.head_received_at.saturating_duration_since(request.received_at).as_millis();
        let (label, description) = match (end.break_cause, end.ended) {
            (Some(cause), _) => ("broken_off", format!("broken off: {cause}")),
            (None, true) => ("answered", end.status.to_string()),
            (None, false) => ("caller_left", "caller left".to_owned()),
        };
        self.metrics().record_end(&request.route.name, label, elapsed);
        if label == "answered" {
            self.record_answer_time(&request.route, elapsed, now);
        }
        if label == "answered" && !self.sampler().passes(now) {
            return;
        }
        let ended_by = end.delimiter.map_or_else(|| "link".to_owned(), |it| it.to_string());
        event::path::REQUEST.emit(
            &self.logger,
            &[
                ("request", &request.id),
                ("rule", &request.route.name),
                ("version", &request.routes_version),
                ("outcome", &description),
                ("from", &end.source),
                ("first_ms", &head_ms),
                ("pieces", &end.chunks_sent),
                ("runs", &end.target_count),
                ("ended_by", &ended_by),
                ("in_event", &end.is_inside_event),
                ("took_ms", &elapsed.as_millis()),
            ],
        );
    }

    /// Records the limit that a target names in its answer, with this status, to a request that was
    /// sent at `sent_at`.
    pub(super) fn record_limit(
        &self,
        target: &Target,
        limit: Option<&HeaderValue>,
        status: StatusCode,
        sent_at: Instant,
    ) {
        let now = self.clock.now();
        match limit.map(Limit::try_from).transpose() {
            Ok(limit) => {
                let change =
                    self.balancer().record_limit(target, Answer { limit, status, sent_at }, now);
                self.record_limit_change(&target.target, change, &self.settings.vm());
            }
            Err(cause) if self.sampler().passes(now) => event::placement::LIMIT_UNREADABLE
                .emit(&self.logger, &[("target", &target.target), ("cause", &cause)]),
            Err(_) => {}
        }
    }

    /// Records that a target asked in its answer for a pause.
    pub(super) fn record_pause(&self, target: &Target, asked: &HeaderValue) {
        let now = self.clock.now();
        let pause = Pause::try_from(asked);
        if let Err(cause) = &pause
            && self.sampler().passes(now)
        {
            event::placement::PAUSE_UNREADABLE
                .emit(&self.logger, &[("target", &target.target), ("cause", cause)]);
        }
        let pause = pause.unwrap_or(Pause::UNREADABLE);
        if self.balancer().record_pause(target, pause, now) {
            let pause_ms = pause.duration().as_millis();
            event::placement::PAUSED
                .emit(&self.logger, &[("target", &target.target), ("pause_ms", &pause_ms)]);
            self.send_pauses();
        }
    }

    /// Logs that the limit of a target has changed, as the VM `heard_by` heard.
    pub(super) fn record_limit_change(
        &self,
        target: &id::Target,
        change: Option<Change>,
        heard_by: &id::Vm,
    ) {
        let Some(change) = change else { return };
        let fields: [event::Field<'_>; 3] =
            [("target", target), ("limit", &change), ("heard_by", heard_by)];
        event::placement::LIMIT_CHANGED.emit(&self.logger, &fields);
    }

    /// Logs the requests and the parts of prompts that all VMs refuse from now on.
    pub(super) fn record_blocks(&self, blocked: &BlockedRequests) {
        let parts = blocked.parts.iter().map(|blocked| part_keys(&blocked.parts));
        let parts = parts.collect::<Vec<_>>().join(" ");
        let fields: [event::Field<'_>; 3] = [
            ("requests", &blocked.requests.len()),
            ("parts", &parts),
            ("suspects", &blocked.suspect_parts.len()),
        ];
        event::placement::CRASHING.emit(&self.logger, &fields);
    }

    /// Logs how many routine lines were dropped since the last call.
    pub(super) fn record_dropped_lines(&self) {
        let dropped_lines = self.sampler().take_left_out();
        if dropped_lines > 0 {
            event::path::LEFT_OUT.emit(&self.logger, &[("lines", &dropped_lines)]);
        }
    }

    /// The metrics of this VM.
    pub fn metrics_page(&self) -> Page {
        let mut page = Page::default();
        self.metrics().write_to(&mut page);
        let age = self.key_lease().age(self.clock.since_boot());
        page.gauge("keys_confirmed_seconds", &[], age.map_or(-1.0, |age| age.as_secs_f64()));
        self.write_quota_metrics(&mut page);
        page.gauge("limited_targets", &[], self.balancer().limited_target_count() as f64);
        let paused = self.balancer().paused_target_count(self.clock.now());
        page.gauge("paused_targets", &[], paused as f64);
        let mirror = self.mirror();
        for (service, targets) in mirror.services() {
            page.gauge("targets", &[("service", service)], targets.len() as f64);
        }
        page.gauge("registry_index", &[], mirror.index() as f64);
        page.gauge("vms", &[], mirror.vms().len() as f64);
        let routes_version = self.route_table().map_or(0, |table| table.version);
        page.gauge("routes_version", &[], routes_version as f64);
        page.gauge("ready", &[], f64::from(u8::from(self.is_ready())));
        page
    }
}

/// The keys of parts of prompts, as they are written to logs and refusals.
pub(super) fn part_keys(parts: &[u64]) -> String {
    parts.iter().map(|key| format!("{key:016x}")).collect::<Vec<_>>().join("+")
}

/// How a streamed response ended.
#[derive(Debug)]
pub(super) struct StreamEnd<'a> {
    /// The target, or the VM that the request was handed to.
    pub(super) source: &'a str,
    pub(super) status: u16,
    pub(super) head_received_at: Instant,
    pub(super) chunks_sent: u32,
    /// The number of targets that ran the request.
    pub(super) target_count: u32,
    /// Whether the body ended; false if the caller left first.
    pub(super) ended: bool,
    /// What marks the end of the body at its source; none if that is a VM.
    pub(super) delimiter: Option<Delimiter>,
    /// Whether the last bytes of a stream are an incomplete event.
    pub(super) is_inside_event: bool,
    /// Why the body ended early.
    pub(super) break_cause: Option<&'a str>,
}
