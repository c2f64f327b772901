use std::sync::{Mutex, PoisonError};

use smol::channel;

/// Wakes whoever listens; each listener hears the next change once.
#[derive(Debug, Default)]
pub(crate) struct ChangeNotifier {
    listeners: Mutex<Vec<channel::Sender<()>>>,
}

impl ChangeNotifier {
    /// A future that ends at the next change after this call.
    pub fn listen(&self) -> impl Future<Output = ()> + use<> {
        let (wake, woken) = channel::bounded(1);
        let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.retain(|listener| !listener.is_closed());
        listeners.push(wake);
        async move {
            let _ = woken.recv().await;
        }
    }

    /// Wakes every listener.
    pub fn notify(&self) {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}
