use std::sync::Arc;

use smol::channel::Receiver;

use super::Vm;
use crate::{link::Inbound, wire::Topic};

impl Vm {
    /// Takes what other VMs send, until the links close.
    pub(super) async fn receive(self: Arc<Self>, inbound: Receiver<Inbound>) {
        while let Ok(message) = inbound.recv().await {
            match message {
                Inbound::Notice { topic: Topic::Targets, payload, .. } => {
                    if let Ok(announcement) = serde_json::from_slice(&payload) {
                        self.learn(announcement);
                    }
                }
                Inbound::Handover { from, region, handover, exchange } => {
                    let vm = Arc::clone(&self);
                    smol::spawn(vm.take_over(from, region, *handover, exchange)).detach();
                }
                Inbound::Notice { from, topic: Topic::Consensus, payload } => {
                    self.agreement.receive(&from, &payload);
                }
                Inbound::Call { topic: Topic::Proposals, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).forwarded(payload, reply)).detach();
                }
                Inbound::Call { topic: Topic::Lists, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).answer_lists(payload, reply)).detach();
                }
                Inbound::Notice { .. } | Inbound::Call { .. } => {}
            }
        }
    }
}
