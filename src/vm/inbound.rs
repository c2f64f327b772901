use std::sync::Arc;

use smol::channel::Receiver;

use super::Vm;
use crate::{link::Inbound, wire::Topic};

impl Vm {
    /// Handles the messages of other VMs until the links close.
    pub(super) async fn handle_inbound(self: Arc<Self>, inbound: Receiver<Inbound>) {
        while let Ok(message) = inbound.recv().await {
            match message {
                Inbound::Notice { from, topic: Topic::Targets, payload } => {
                    self.receive_targets(&from, payload);
                }
                Inbound::Notice { topic: Topic::Membership, payload, .. } => {
                    self.receive_members(payload);
                }
                Inbound::Call { from, topic: Topic::Targets, payload, reply } => {
                    let _ = reply.try_send(self.receive_targets(&from, payload));
                }
                Inbound::Call { topic: Topic::Membership, payload, reply, .. } => {
                    let _ = reply.try_send(self.receive_members(payload));
                }
                Inbound::Handover { from, region, handover, exchange } => {
                    let vm = Arc::clone(&self);
                    smol::spawn(vm.serve_handover(from, region, *handover, exchange)).detach();
                }
                Inbound::Notice { from, topic: Topic::Consensus, payload } => {
                    self.replica_groups.receive(&from, &payload);
                }
                Inbound::Call { topic: Topic::Proposals, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).answer_forwarded_command(payload, reply))
                        .detach();
                }
                Inbound::Notice { topic: Topic::Lists, payload, .. } => {
                    self.receive_list_versions(payload);
                }
                Inbound::Call { topic: Topic::Lists, payload, reply, .. } => {
                    smol::spawn(Arc::clone(&self).answer_list_query(payload, reply)).detach();
                }
                Inbound::Call { topic: Topic::Crashes, payload, reply, .. } => {
                    let _ = reply.try_send(self.merge_crash_records(payload));
                }
                Inbound::Call { from, topic: Topic::Orders, payload, reply } => {
                    smol::spawn(Arc::clone(&self).answer_grant_request(from, payload, reply))
                        .detach();
                }
                Inbound::Notice { .. } | Inbound::Call { .. } => {}
            }
        }
    }
}
