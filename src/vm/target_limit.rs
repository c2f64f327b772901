//! Limits that targets name in their responses, and what the VMs of a region tell each other of
//! them.

use std::{sync::Arc, time::Instant};

use hyper::{HeaderMap, StatusCode};

use super::Vm;
use crate::{
    event, id,
    path::{LIMIT, TargetWatch},
    target::{Announcement, Gossip},
    throttle::{Answer, Change, Limit, Notice, Permission},
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

    fn permission(&self) -> Permission {
        let now = self.vm.clock.now();
        self.vm.routing().permission(&self.target.target, self.target.incarnation, now)
    }

    fn record_sent(&self) {
        self.vm.routing().throttle.record_sent(&self.target.target, self.target.incarnation);
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

    fn send_limits(&self) {
        self.send_to_region(&Gossip { limits: self.limit_notices(), ..Gossip::default() });
    }

    fn log_limit_change(&self, target: &id::Target, change: Change, heard_by: &id::Vm) {
        let fields: [event::Field<'_>; 3] =
            [("target", target), ("limit", &change), ("heard_by", heard_by)];
        event::placement::LIMIT_CHANGED.emit(&self.logger, &fields);
    }
}
