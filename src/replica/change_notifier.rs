use std::sync::{Mutex, PoisonError};

use smol::channel;

/// Wakes the tasks that wait for a change; each listener is woken once, by the next change.
#[derive(Debug, Default)]
pub(crate) struct ChangeNotifier {
    listeners: Mutex<Vec<channel::Sender<()>>>,
}

impl ChangeNotifier {
    /// Returns a future that completes at the next change after this call.
    pub fn listen(&self) -> impl Future<Output = ()> + use<> {
        let (listener, woken) = channel::bounded(1);
        let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.retain(|listener| !listener.is_closed());
        listeners.push(listener);
        async move {
            let _ = woken.recv().await;
        }
    }

    /// Wakes every listener by dropping its sender.
    pub fn notify(&self) {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}
