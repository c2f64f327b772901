//! Limits that targets name in their responses, what the VMs of a region tell each other of them, and
//! pauses that targets ask for.

use std::{sync::Arc, time::Instant};

use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};

use super::Vm;
use crate::{
    event, id,
    path::{LIMIT, TargetWatch},
    target::{Announcement, Gossip},
    throttle::{Answer, Change, Limit, Notice, Pause, PauseNotice, Permission},
};

/// The limit of one target, as the requests to it see it.
#[derive(Debug)]
pub(super) struct TargetLimit {
    vm: Arc<Vm>,
    target: Announcement,
}

impl TargetLimit {
    pub(super) fn watch(vm: &Arc<Vm>, target: &Announcement) -> Arc<dyn TargetWatch> {
        Arc::new(Self { vm: Arc::clone(vm), target: target.clone() })
    }
}

impl TargetWatch for TargetLimit {
    fn record_response(&self, status: StatusCode, headers: &HeaderMap, sent_at: Instant) {
        let Announcement { target, incarnation, .. } = &self.target;
        let (vm, now) = (&self.vm, self.vm.clock.now());
        let pause = headers.get(RETRY_AFTER);
        if let Some(pause) = pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
            self.record_pause(pause, now);
        }
        let limit = match headers.get(LIMIT).map(Limit::try_from).transpose() {
            Ok(limit) => limit,
            Err(cause) => {
                return event::placement::LIMIT_UNREADABLE
                    .emit(&vm.logger, &[("target", target), ("cause", &cause)]);
            }
        };
        let answer = Answer { limit, status, sent_at };
        let change = vm.routing().throttle.record_answer(target, *incarnation, answer, now);
        if let Some(change) = change {
            vm.log_limit_change(target, change, &vm.settings.vm);
            // The others would send what the target no longer takes until the next renewals.
            vm.send_limits();
        }
    }

    fn is_paused(&self) -> bool {
        let Announcement { target, incarnation, .. } = &self.target;
        self.vm.routing().throttle.is_paused(target, *incarnation, self.vm.clock.now())
    }

    fn permission(&self) -> Permission {
        let now = self.vm.clock.now();
        self.vm.routing().permission(&self.target.target, self.target.incarnation, now)
    }

    fn record_sent(&self) {
        self.vm.routing().throttle.record_sent(&self.target.target, self.target.incarnation);
    }
}

impl TargetLimit {
    fn record_pause(&self, asked: &HeaderValue, now: Instant) {
        let Announcement { target, incarnation, .. } = &self.target;
        let pause = Pause::try_from(asked).unwrap_or_else(|cause| {
            event::placement::PAUSE_UNREADABLE
                .emit(&self.vm.logger, &[("target", target), ("cause", &cause)]);
            Pause::UNREADABLE
        });
        if self.vm.routing().throttle.record_pause(target, *incarnation, pause, now) {
            let pause_ms = pause.duration().as_millis();
            event::placement::PAUSED
                .emit(&self.vm.logger, &[("target", target), ("pause_ms", &pause_ms)]);
            let pauses = self.vm.pause_notices();
            self.vm.send_to_region(&Gossip { pauses, ..Gossip::default() });
        }
    }
}

impl Vm {
    /// What this VM heard of the limits of targets.
    pub(super) fn limit_notices(&self) -> Vec<Notice> {
        self.routing().limit_notices(self.clock.now())
    }

    /// Records what the VM `from` says of the limits of targets.
    pub(super) fn receive_limits(&self, from: &id::Vm, notices: &[Notice]) {
        let now = self.clock.now();
        for notice in notices {
            let change = self.routing().throttle.record_notice(notice, now);
            if let Some(change) = change {
                self.log_limit_change(&id::Target::from(notice.target.as_str()), change, from);
            }
        }
    }

    /// The pauses that targets have asked this VM for.
    pub(super) fn pause_notices(&self) -> Vec<PauseNotice> {
        self.routing().throttle.pause_notices(self.clock.now())
    }

    /// Records the pauses that targets asked another VM for.
    pub(super) fn receive_pauses(&self, notices: &[PauseNotice]) {
        let now = self.clock.now();
        for notice in notices {
            self.routing().throttle.record_pause_notice(notice, now);
        }
    }

    fn send_limits(&self) {
        self.send_to_region(&Gossip { limits: self.limit_notices(), ..Gossip::default() });
    }

    fn log_limit_change(&self, target: &id::Target, change: Change, heard_by: &id::Vm) {
        let fields: [event::Field<'_>; 3] =
            [("target", target), ("limit", &change), ("heard_by", heard_by)];
        event::placement::LIMIT_CHANGED.emit(&self.logger, &fields);
    }
}
