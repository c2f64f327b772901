use std::{sync::Arc, time::Duration};

use hyper::HeaderMap;

use super::{
    outcome::{Reason, Refusal},
    routed_request::RoutedRequest,
    server::Gateway,
};
use crate::{
    organisation::{Credential, Organisation},
    route::{Route, Table},
};

/// The `Retry-After` of requests that are refused because this VM is not sure which keys are valid.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(600);
const UNKNOWN_KEY: &str = "no organisation has the key; use one that the operators gave out";

impl Gateway {
    /// The organisation whose key a request carries; `None` if it needs no key.
    ///
    /// # Errors
    ///
    /// If the key is missing or unknown, or this VM is not sure which keys are valid.
    pub(super) fn authenticate(
        &self,
        table: &Table,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<Arc<Organisation>>, Refusal> {
        let Some(organisations) = table.organisations.as_ref().filter(|_| !route.is_public) else {
            return Ok(None);
        };
        let (lease, now) = (*self.key_lease(), self.clock.since_boot());
        let organisation = Credential::of(headers).map_err(|cause| cause.to_string());
        let organisation = organisation.and_then(|credential| {
            let organisation = organisations.find_by_key(credential.key());
            organisation.ok_or_else(|| UNKNOWN_KEY.to_owned())
        });
        match organisation {
            Ok(organisation) if lease.is_valid(now) => Ok(Some(Arc::clone(organisation))),
            // Without a recent confirmation the route may be public by now, or the key added.
            Err(cause) if lease.may_reject(now) => {
                Err(Refusal::new(Reason::Unauthenticated, cause, Duration::ZERO))
            }
            _ => Err(unconfirmed_refusal(lease.age(now))),
        }
    }

    /// The refusal of a request whose key may have been withdrawn since it was accepted.
    pub(super) fn key_refusal(&self, request: &RoutedRequest) -> Option<Refusal> {
        let (lease, now) = (*self.key_lease(), self.clock.since_boot());
        // The VM that received the request from its caller has checked the key.
        let is_checked = request.organisation.is_some() && !request.handed_over;
        (is_checked && !lease.is_valid(now)).then(|| unconfirmed_refusal(lease.age(now)))
    }

    /// Whether the VM should ask another replica, as the one that it follows confirms no keys.
    pub(super) fn is_key_confirmation_overdue(&self) -> bool {
        let (lease, now) = (*self.key_lease(), self.clock.since_boot());
        self.needs_key_confirmation()
            && lease.age(now).is_none_or(|age| age > CONFIRMATION_OVERDUE_AFTER)
    }

    /// Whether replicas must confirm the keys that this VM knows.
    pub(super) fn needs_key_confirmation(&self) -> bool {
        let has_keys = |table: Arc<Table>| table.organisations.is_some();
        self.key_lease().is_bounded() && self.route_table().is_none_or(has_keys)
    }
}

/// A replica confirms the keys with each of its answers, which come about once a second.
const CONFIRMATION_OVERDUE_AFTER: Duration = Duration::from_millis(1800);

fn unconfirmed_refusal(age: Option<Duration>) -> Refusal {
    let detail = match age {
        Some(age) => format!("the list of keys was confirmed {} ms ago, too long", age.as_millis()),
        None => "the list of keys has not been confirmed yet".to_owned(),
    };
    Refusal::new(Reason::KeysUnconfirmed, detail, UNCONFIRMED_RETRY_AFTER)
}
