use std::{sync::Mutex, time::Duration};

use hyper::{HeaderMap, Method, body::Bytes, header::HOST};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    Prompt, VersionBinding,
    dispatch::{Destination, DispatchState, Policy, TARGET_WAIT_DIVISOR, Trace},
    outcome::{Reason, Refusal},
    routed_request::{Flight, RoutedRequest},
    serve::DEFAULT_TIMEOUT,
    server::Gateway,
};
use crate::{
    control::lock,
    explain::{Answer, Candidate, Explanation, Query, QueryError, Verdict, View},
    id,
    registry::Target,
    route::Table,
};

impl Gateway {
    /// What this VM would do with a request now, and why. Nothing is sent, and no state changes: the
    /// decision is made on copies of the state by the code that dispatches requests.
    ///
    /// The quota of the organisation is not looked at, as only its spending tells what is left of it.
    ///
    /// # Errors
    ///
    /// If the query is not valid or names an organisation that this VM does not know.
    pub fn explain(&self, query: &Query) -> Result<Explanation, QueryError> {
        query.check()?;
        let view = self.view();
        let mut explanation = Explanation {
            view,
            organisation: None,
            route: None,
            service: None,
            priority: None,
            candidates: Vec::new(),
            regions: Vec::new(),
            answer: Answer::Wait { at_most_ms: 0, expected_ms: None, status: 0 },
        };
        let Some(table) = self.route_table() else {
            explanation.answer = refused(Reason::RoutesUnknown, "no routes are known yet");
            return Ok(explanation);
        };
        let mut random =
            StdRng::seed_from_u64(self.incarnation ^ self.clock.since_boot().as_nanos() as u64);
        let request = match self.explained_request(&table, query, &mut random, &mut explanation)? {
            Ok(request) => request,
            Err(answer) => {
                explanation.answer = answer;
                return Ok(explanation);
            }
        };
        explanation.service = Some(request.service.to_string());
        explanation.priority = Some(request.priority());
        let targets = self.mirror().targets(&request.service).to_vec();
        let balancer = Mutex::new(self.balancer().copy_for(&targets, random.random()));
        let admission = Mutex::new(self.admission().clone());
        let policy = Policy {
            balancer: &balancer,
            admission: &admission,
            random: &Mutex::new(random),
            may_be_outdated: explanation.view.may_be_outdated,
        };
        let (mut trace, state) = (Trace::default(), DispatchState::default());
        let destination = self.choose_destination_by(&policy, &request, &state, Some(&mut trace));
        let now = self.clock.now();
        let candidate = |target: &Target| Candidate {
            target: target.target.to_string(),
            zone: target.zone.to_string(),
            slots: target.slots,
            silent: target.silent,
            cold_ms: millis(target.cold_until.saturating_duration_since(now)),
            verdict: trace
                .verdicts
                .iter()
                .find(|(other, _)| *other == target.target)
                .map_or(Verdict::OtherRegion, |(_, verdict)| verdict.clone()),
        };
        explanation.candidates = targets.iter().map(candidate).collect();
        explanation.regions = trace.regions;
        let time_left = request.time_left(now);
        let early_refusal = self
            .crash_refusal(&request)
            .or_else(|| self.stop_refusal(&request.route, time_left, false))
            .or_else(|| self.key_refusal(&request));
        explanation.answer = match early_refusal {
            Some(Refusal { reason, detail, .. }) => refused(reason, &detail),
            None => self.explained_answer(&request, destination),
        };
        Ok(explanation)
    }

    fn view(&self) -> View {
        let now = self.clock.now();
        let mirror = self.mirror();
        let loads_age = mirror.loads_received_at().map(|at| now.saturating_duration_since(at));
        let lease = *self.key_lease();
        let keys_age = lease.is_bounded().then(|| lease.age(self.clock.since_boot())).flatten();
        View {
            vm: self.settings.vm().to_string(),
            region: self.settings.region.to_string(),
            routes_version: self.route_table().map_or(0, |table| table.version),
            registry_index: mirror.index(),
            loads_age_ms: loads_age.map(millis),
            keys_age_ms: keys_age.map(millis),
            may_be_outdated: lock(&self.suspension).is_in_doubt(now),
        }
    }

    /// The request that `query` describes, or the answer that it would get before it is dispatched.
    fn explained_request(
        &self,
        table: &Table,
        query: &Query,
        random: &mut StdRng,
        explanation: &mut Explanation,
    ) -> Result<Result<RoutedRequest, Answer>, QueryError> {
        let organisation = match (&table.organisations, &query.organisation) {
            (_, None) => None,
            (Some(organisations), Some(name)) => {
                let found = organisations.find(&id::Organisation::from(name.as_str()));
                Some(found.ok_or_else(|| QueryError::NoOrganisation(name.clone()))?.clone())
            }
            (None, Some(name)) => return Err(QueryError::NoOrganisation(name.clone())),
        };
        let host = query.host.split_once(':').map_or(query.host.as_str(), |(host, _)| host);
        let host = host.to_ascii_lowercase();
        let Some(route) = table.find(&host, &query.path).cloned() else {
            let detail = format!("no route for {host}{}", query.path);
            return Ok(Err(refused(Reason::NoRoute, &detail)));
        };
        explanation.route = Some(route.name.clone());
        let needs_key = table.organisations.is_some() && !route.is_public;
        let organisation = organisation.filter(|_| needs_key);
        explanation.organisation =
            organisation.as_ref().map(|organisation| organisation.name.to_string());
        if needs_key && organisation.is_none() {
            let detail = "the route asks for the key of an organisation, and none is named";
            return Ok(Err(refused(Reason::Unauthenticated, detail)));
        }
        let Some(service) = route.split.pick(random.random()).cloned() else {
            let detail = "the route has no service with a weight";
            return Ok(Err(refused(Reason::NoTarget, detail)));
        };
        let mut headers = HeaderMap::new();
        if let Ok(host) = host.parse() {
            headers.insert(HOST, host);
        }
        let now = self.clock.now();
        let deadline = now + route.timeout.min(DEFAULT_TIMEOUT);
        Ok(Ok(RoutedRequest {
            _body_share: None,
            id: String::new(),
            method: Method::POST,
            path_and_query: query.path.clone(),
            headers,
            body: Bytes::new(),
            // The VM does not count it as in flight.
            _flight: Flight::begin(&std::sync::Arc::default(), &route, now),
            route,
            routes_version: table.version,
            organisation,
            service,
            prompt: Prompt::parse(query.parts.as_deref(), query.tokens.as_deref()),
            declared_tokens: query.tokens.as_deref().and_then(Prompt::parse_token_sum),
            deadline,
            received_at: now,
            last_event_id: None,
            stream_key: None,
            stream_deadline: deadline,
            version_binding: VersionBinding::Any,
            handed_over: false,
            gives_back_to: None,
        }))
    }

    fn explained_answer(&self, request: &RoutedRequest, destination: Destination) -> Answer {
        let wait = request.route.latency_objective / TARGET_WAIT_DIVISOR;
        let refused_after = |record: &dyn Fn(&mut DispatchState)| {
            let mut state = DispatchState::default();
            record(&mut state);
            let (reason, detail) = self.final_reason(request, &state);
            refused(reason, &detail)
        };
        let wait_for = |expected_ms| Answer::Wait {
            at_most_ms: millis(wait),
            expected_ms,
            status: self.final_reason(request, &DispatchState::default()).0.status().as_u16(),
        };
        match destination {
            Destination::Target(pick) => Answer::Target {
                target: pick.target.target.to_string(),
                first_event_ms: millis_of(pick.first_event_secs),
            },
            Destination::Vm(vm) => Answer::Region { region: vm.region, vm: vm.vm },
            Destination::Wait => wait_for(None),
            Destination::Throttled(delay) if delay < wait => wait_for(Some(millis(delay))),
            Destination::Throttled(delay) => {
                refused_after(&|state| state.limited_return = Some(delay))
            }
            Destination::WouldBeLate(miss) => {
                refused_after(&|state| state.objective_miss = Some(miss))
            }
            Destination::Nowhere => refused_after(&|_| {}),
        }
    }
}

fn refused(reason: Reason, detail: &str) -> Answer {
    let (status, reason) = (reason.status().as_u16(), reason.as_str().to_owned());
    Answer::Refused { status, reason, detail: detail.to_owned() }
}

/// Whole milliseconds, rounded up.
pub(super) fn millis_of(secs: f64) -> u64 {
    (secs.max(0.0) * 1000.0).ceil() as u64
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
