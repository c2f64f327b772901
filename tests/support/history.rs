//! Records concurrent operations and checks what must hold of them.

use std::{
    collections::{HashMap, HashSet},
    sync::Mutex,
};

use todc_utils::{
    Specification, WGLChecker,
    linearizability::history::{Action, History},
};

/// An operation on one list. A call bears no answer; a response that never came bears none either.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    Change { version: u64, content: String, answer: Option<Answer> },
    Read { found: Option<(u64, String)> },
}

/// What a change was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Accepted,
    Conflict,
    Gap,
}

/// A list as a register: the contents of its versions, the newest last.
pub struct Register;

impl Specification for Register {
    type State = Vec<String>;
    type Operation = Operation;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        let Operation::Change { version, content, answer } = operation else {
            let Operation::Read { found } = operation else { return (false, state.clone()) };
            let newest = state.last().map(|content| (state.len() as u64, content.clone()));
            return (*found == newest, state.clone());
        };
        let stands = state.get(*version as usize - 1);
        let next = *version == state.len() as u64 + 1;
        let grown = || state.iter().chain([content]).cloned().collect();
        match answer {
            Some(Answer::Accepted) if next => (true, grown()),
            Some(Answer::Accepted) => (stands == Some(content), state.clone()),
            Some(Answer::Conflict) => (stands.is_some_and(|it| it != content), state.clone()),
            Some(Answer::Gap) => (stands.is_none() && !next, state.clone()),
            None if next => (true, grown()),
            None => (true, state.clone()),
        }
    }
}

/// Records operations of several clients on one list, in the order of their ends.
#[derive(Default)]
pub struct Recorder {
    actions: Mutex<Vec<(usize, Action<Operation>)>>,
}

impl Recorder {
    /// Notes that `client` begins `operation`.
    pub fn call(&self, client: usize, operation: Operation) {
        self.actions.lock().expect("recorder").push((client, Action::Call(operation)));
    }

    /// Notes that `client` has the response to its operation.
    pub fn response(&self, client: usize, operation: Operation) {
        self.actions.lock().expect("recorder").push((client, Action::Response(operation)));
    }

    /// Whether there is one order of the operations that explains every response.
    ///
    /// A change without a response may have taken effect at any time after its call, or never; so
    /// it ends after all others. Its client must call nothing more. A read without one is dropped.
    pub fn linearizable(&self) -> bool {
        let mut actions = self.actions.lock().expect("recorder").clone();
        let mut open: HashMap<usize, usize> = HashMap::new();
        for (at, (client, action)) in actions.iter().enumerate() {
            match action {
                Action::Call(_) => assert!(open.insert(*client, at).is_none(), "client is busy"),
                Action::Response(_) => assert!(open.remove(client).is_some(), "no call"),
            }
        }
        let mut open: Vec<(usize, usize)> = open.into_iter().collect();
        open.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        for (client, at) in open {
            let Action::Call(operation) = actions[at].1.clone() else { continue };
            match operation {
                Operation::Read { .. } => drop(actions.remove(at)),
                change => actions.push((client, Action::Response(change))),
            }
        }
        actions.is_empty()
            || WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
    }
}

/// Something that happened to a call under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A target ran the call for a request; it gave this answer.
    Ran { key: String, request: String, answer: String },
    /// A caller heard that its request did not run.
    Refused { key: String, request: String },
    /// A caller heard an answer to its call.
    Answered { key: String, answer: String },
}

/// What must never be seen in a history of calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    RanTwice { key: String },
    RefusedButRan { request: String },
    AnswerOfAnother { key: String },
}

/// Every violation in a history of calls, in the order of the events that show them.
pub fn violations(events: &[Event]) -> Vec<Violation> {
    let mut ran: HashMap<&str, &str> = HashMap::new();
    let mut requests: HashSet<&str> = HashSet::new();
    let mut found = Vec::new();
    for event in events {
        let Event::Ran { key, request, answer } = event else { continue };
        requests.insert(request);
        if ran.insert(key, answer).is_some() {
            found.push(Violation::RanTwice { key: key.clone() });
        }
    }
    for event in events {
        match event {
            Event::Refused { request, .. } if requests.contains(request.as_str()) => {
                found.push(Violation::RefusedButRan { request: request.clone() });
            }
            Event::Answered { key, answer } if ran.get(key.as_str()) != Some(&answer.as_str()) => {
                found.push(Violation::AnswerOfAnother { key: key.clone() });
            }
            _ => {}
        }
    }
    found
}
