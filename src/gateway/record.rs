use std::time::Instant;

use super::{
    attempt::Tried,
    balancer::Pick,
    outcome::{Answer, AnswerBody, Outcome, Refusal},
    routed_request::Call,
    server::Gateway,
};
use crate::{event, figure::Page, id, registry::VmInfo};

/// Ordinary lines that a VM writes in a second, and as many at once: some kilobytes. What is
/// unusual is written always.
pub(super) const ROUTINE_LINES_PER_SEC: u32 = 60;

impl Gateway {
    /// Records that a request goes to a target, and what was expected of it.
    pub(super) fn record_placed(&self, call: &Call, pick: &Pick) {
        if !self.sampler().passes(self.clock.now()) {
            return;
        }
        let delay_ms = (pick.first_event_secs * 1000.0) as u64;
        let keeper = pick.cache_source.as_ref().map_or("", |keeper| keeper.target.as_str());
        event::placement::PLACED.emit(
            &self.logger,
            &[
                ("request", &call.id),
                ("target", &pick.target.target),
                ("service", &call.service),
                ("expected_ms", &delay_ms),
                ("load", &pick.in_flight),
                ("keeps", &pick.owns_prefix),
                ("copies_from", &keeper),
                ("version", &call.version),
            ],
        );
    }

    /// Records what a try at a target came to.
    pub(super) fn record_try(&self, call: &Call, target: &id::Target, tried: &Tried) {
        let (word, outcome) = match tried {
            Tried::Head(_) => return self.metrics().record_attempt("answered"),
            Tried::Rejected(cause) => ("rejected", format!("rejected: {cause}")),
            Tried::NotSent(cause) => ("not_sent", format!("not sent: {cause}")),
            Tried::Unknown(cause) => ("unknown", format!("unknown: {cause}")),
        };
        self.metrics().record_attempt(word);
        let fields: [event::Field<'_>; 3] =
            [("request", &call.id), ("target", target), ("outcome", &outcome)];
        event::path::NOT_ANSWERED.emit(&self.logger, &fields);
    }

    /// Records whether a request may be sent once more.
    pub(super) fn record_repeat(&self, call: &Call, may: bool) {
        if may {
            self.metrics().record_retry();
            return;
        }
        let fields: [event::Field<'_>; 2] = [("request", &call.id), ("customer", &call.service)];
        event::placement::RETRIES_SPENT.emit(&self.logger, &fields);
    }

    /// Records that a request is handed to another VM.
    pub(super) fn record_passage(&self, call: &Call, vm: &VmInfo) {
        self.metrics().record_handover();
        if !self.sampler().passes(self.clock.now()) {
            return;
        }
        let fields: [event::Field<'_>; 3] =
            [("request", &call.id), ("to", &vm.vm), ("region", &vm.region)];
        event::placement::SPILLED.emit(&self.logger, &fields);
    }

    /// Records what became of a request that another VM handed over.
    pub(super) fn record_taken_over(&self, request: &str, from: &id::Vm, outcome: &Outcome) {
        self.metrics().record_received_handover();
        let word = match outcome {
            Outcome::Answered(_) if !self.sampler().passes(self.clock.now()) => return,
            Outcome::Answered(answer) => format!("answered by {}", answer.target),
            Outcome::Refused(refusal) => format!("refused: {}", refusal.detail),
            Outcome::Unknown(cause) => format!("unknown: {cause}"),
        };
        let fields: [event::Field<'_>; 3] =
            [("request", &request), ("from", from), ("outcome", &word)];
        event::path::TAKEN_OVER.emit(&self.logger, &fields);
    }

    /// Records a request for which no rule was found or whose body did not come.
    pub(super) fn record_turned_away(&self, request: &str, refusal: &Refusal) {
        let reason = refusal.reason.word();
        self.metrics().record_refusal(reason);
        let fields: [event::Field<'_>; 3] =
            [("request", &request), ("reason", &reason), ("detail", &refusal.detail)];
        event::path::TURNED_AWAY.emit(&self.logger, &fields);
    }

    /// Records what became of a request; an answer that comes in pieces is recorded at its end.
    pub(super) fn record_end(&self, call: &Call, outcome: &Outcome) {
        let now = self.clock.now();
        let took = now.saturating_duration_since(call.came);
        let (kind, word, detail) = match outcome {
            Outcome::Answered(Answer { body: AnswerBody::Flow(_), .. }) => {
                return self.metrics().record_first_event(&call.rule.name, took);
            }
            Outcome::Answered(answer) => {
                let kind = if answer.status.is_success() { "answered" } else { "failed" };
                (kind, answer.status.as_str().to_owned(), answer.target.clone())
            }
            Outcome::Refused(refusal) => {
                let reason = refusal.reason.word();
                self.metrics().record_refusal(reason);
                ("refused", format!("refused {reason}"), refusal.detail.clone())
            }
            Outcome::Unknown(cause) => ("unknown", "unknown".to_owned(), cause.clone()),
        };
        self.metrics().record_end(&call.rule.name, kind, took);
        if kind == "answered" && !self.sampler().passes(now) {
            return;
        }
        event::path::REQUEST.emit(
            &self.logger,
            &[
                ("request", &call.id),
                ("rule", &call.rule.name),
                ("version", &call.version),
                ("outcome", &word),
                ("detail", &detail),
                ("took_ms", &took.as_millis()),
            ],
        );
    }

    /// Records the end of an answer that came in pieces.
    pub(super) fn record_flow(&self, call: &Call, end: &FlowEnd<'_>) {
        let now = self.clock.now();
        let took = now.saturating_duration_since(call.came);
        let first = end.began.saturating_duration_since(call.came).as_millis();
        let (kind, word) = match (end.broken, end.whole) {
            (Some(cause), _) => ("broken_off", format!("broken off: {cause}")),
            (None, true) => ("answered", end.status.to_string()),
            (None, false) => ("caller_left", "caller left".to_owned()),
        };
        self.metrics().record_end(&call.rule.name, kind, took);
        if kind == "answered" && !self.sampler().passes(now) {
            return;
        }
        event::path::REQUEST.emit(
            &self.logger,
            &[
                ("request", &call.id),
                ("rule", &call.rule.name),
                ("version", &call.version),
                ("outcome", &word),
                ("from", &end.from),
                ("first_ms", &first),
                ("pieces", &end.pieces),
                ("runs", &end.runs),
                ("took_ms", &took.as_millis()),
            ],
        );
    }

    /// Tells how many ordinary lines were left out since this was last done.
    pub(super) fn record_left_out(&self) {
        let lines = self.sampler().take_left_out();
        if lines > 0 {
            event::path::LEFT_OUT.emit(&self.logger, &[("lines", &lines)]);
        }
    }

    /// The figures as text.
    pub fn metrics_page(&self) -> Page {
        let mut page = Page::default();
        self.metrics().write_to(&mut page);
        let mirror = self.mirror();
        for (service, targets) in mirror.services() {
            page.gauge("targets", &[("service", service)], targets.len() as f64);
        }
        page.gauge("registry_index", &[], mirror.index() as f64);
        page.gauge("vms", &[], mirror.vms().len() as f64);
        let version = self.route_table().map_or(0, |table| table.version);
        page.gauge("routes_version", &[], version as f64);
        page.gauge("ready", &[], f64::from(u8::from(self.is_ready())));
        page
    }
}

/// How an answer that came in pieces ended.
#[derive(Debug)]
pub(super) struct FlowEnd<'a> {
    /// The target, or the VM that it was handed to.
    pub(super) from: &'a str,
    /// The status.
    pub(super) status: u16,
    /// When the head came.
    pub(super) began: Instant,
    /// The pieces that the caller got.
    pub(super) pieces: u32,
    /// The targets on which it ran.
    pub(super) runs: u32,
    /// Whether all of it was given.
    pub(super) whole: bool,
    /// Why it broke off, if it did.
    pub(super) broken: Option<&'a str>,
}
