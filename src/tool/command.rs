use std::{
    fs,
    io::Read,
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use hyper::Method;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use super::{Client, Error, Options, diff, fleet, lists, print};
use crate::{
    admin::{Applied, Change, Status, Stop, Stops},
    explain::Query,
    figure::Snapshot,
    id,
    list::{self, Allowance, Plan, hash_key},
    settings::Settings,
    stop::Scope,
    trace::Trace,
};

const NOT_EVERYWHERE: u8 = 4;
const DIFFERENT: u8 = 5;
const WAIT_PAUSE: Duration = Duration::from_secs(1);
const WAIT_TRIES: u32 = 60;

/// A command of the tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Check a settings file.
    Check(PathBuf),
    /// Check the plans and allowances, against the names where a catalogue is given.
    CheckLists(PathBuf, PathBuf),
    /// Print the digest of the key on standard input.
    KeyDigest,
    /// Show what a VM knows.
    Status,
    /// Show the figures.
    Figures,
    /// Show what a VM that routes would do with a request now, without sending it.
    Explain(Query),
    /// Show the way of a request.
    Way(String),
    /// Trace a request through log files.
    Trace(String, Vec<PathBuf>),
    /// Print a list.
    Get(List),
    /// Compare a list with a file.
    Diff(List, PathBuf),
    /// Make the list in a file the one in force.
    Apply(List, PathBuf),
    /// Show the planned stops.
    Stops,
    /// Announce a planned stop.
    Announce(Scope),
    /// Withdraw a planned stop.
    Withdraw(Scope),
    /// Show the replicas.
    Replicas,
    /// Readmit a replica that lost its disk.
    Readmit(id::Vm),
    /// Remove a replica.
    Remove(id::Vm),
    /// Accept, as the operator named and in the words given, that calls may run a second time.
    AcceptRisk(String, String),
}

/// One of the two lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// The plans.
    Plans,
    /// The allowances.
    Allowances,
}

impl List {
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Plans => "/plans",
            Self::Allowances => "/allowances",
        }
    }
}

/// What a command prints, and its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The text for standard output.
    pub text: String,
    /// The exit code.
    pub code: u8,
}

impl From<String> for Output {
    fn from(text: String) -> Self {
        Self { text, code: 0 }
    }
}

/// Runs a command.
///
/// # Errors
///
/// Where the command is refused, wrong, or no VM can be reached.
pub fn run(options: &Options) -> Result<Output, Error> {
    match &options.command {
        Command::Help => Ok(super::HELP.to_owned().into()),
        Command::Check(path) => check(path),
        Command::CheckLists(plans, allowances) => {
            lists::check(plans, allowances, options.names.as_deref())
        }
        Command::KeyDigest => key_digest(),
        Command::Trace(request, logs) => trace(request, logs),
        Command::Explain(query) => {
            show(&super::explain::explain(query, options)?, options, ToString::to_string)
        }
        command => ask(command, options),
    }
}

fn ask(command: &Command, options: &Options) -> Result<Output, Error> {
    let client = Client::new(options)?;
    match command {
        Command::Status => show(&client.get::<Status>("/status")?, options, print::status),
        Command::Figures => show(&client.get::<Snapshot>("/figures")?, options, print::figures),
        Command::Way(id) => show(&fleet::ways(&client, id)?, options, |ways| print::ways(ways)),
        Command::Get(List::Plans) => json(&client.get::<list::List<Plan>>("/plans")?),
        Command::Get(List::Allowances) => {
            json(&client.get::<list::List<Allowance>>("/allowances")?)
        }
        Command::Diff(List::Plans, path) => compare::<Plan>(&client, List::Plans, path),
        Command::Diff(list, path) => compare::<Allowance>(&client, *list, path),
        Command::Apply(List::Plans, path) => apply::<Plan>(&client, List::Plans, path, options),
        Command::Apply(list, path) => apply::<Allowance>(&client, *list, path, options),
        Command::Stops => json(&client.get::<Stops>("/stops")?),
        Command::Announce(scope) => stop(&client, &Method::POST, scope, options),
        Command::Withdraw(scope) => stop(&client, &Method::DELETE, scope, options),
        Command::Replicas => json(&fleet::replicas(&client)?),
        Command::Readmit(vm) => json(&fleet::readmit(&client, vm)?),
        Command::Remove(vm) => json(&fleet::remove(&client, vm)?),
        Command::AcceptRisk(operator, words) => json(&fleet::accept(&client, operator, words)?),
        other => Err(Error::Usage(format!("{other:?} asks no VM"))),
    }
}

fn check(path: &Path) -> Result<Output, Error> {
    let loaded = Settings::load(path).map_err(|error| Error::Refused(error.report()))?;
    Ok(format!("{}the settings are valid\n", loaded.warnings.report()).into())
}

fn trace(request: &str, logs: &[PathBuf]) -> Result<Output, Error> {
    let mut trace = Trace::new(request);
    for log in logs {
        let bytes = fs::read(log).map_err(|cause| Error::file(log, &cause))?;
        trace.read(&String::from_utf8_lossy(&bytes));
    }
    if trace.lines().is_empty() {
        return Err(Error::Refused(format!(
            "no line names the request `{request}`; give the logs of all VMs that take callers"
        )));
    }
    Ok(trace.text().into())
}

fn key_digest() -> Result<Output, Error> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .map_err(|cause| Error::Usage(format!("no key on standard input: {cause}")))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Error::Usage("there is no key; write it to standard input".to_owned()));
    }
    Ok(format!("{}\n", hash_key(key)).into())
}

fn compare<T: Serialize + DeserializeOwned>(
    client: &Client,
    list: List,
    path: &Path,
) -> Result<Output, Error> {
    let wanted: list::List<T> = read(path)?;
    let current: list::List<T> = client.get(list.path())?;
    let text = diff(&pretty(&current)?, &pretty(&wanted)?);
    let code = if text.is_empty() { 0 } else { DIFFERENT };
    Ok(Output { text, code })
}

/// Sends the change, and where told to wait sends it again until it is in force everywhere: a
/// change that was accepted is answered as the first time.
fn apply<T: DeserializeOwned>(
    client: &Client,
    list: List,
    path: &Path,
    options: &Options,
) -> Result<Output, Error> {
    read::<list::List<T>>(path)?;
    let text = fs::read_to_string(path).map_err(|cause| Error::file(path, &cause))?;
    let raw: &RawValue = serde_json::from_str(&text).map_err(|cause| Error::file(path, &cause))?;
    let change = Change { list: raw, dry_run: options.dry_run, wait_ms: 0 };
    settle(options, || {
        client.ask(&Method::PUT, list.path(), &change).map_err(|error| error.within(path))
    })
}

fn stop(
    client: &Client,
    method: &Method,
    scope: &Scope,
    options: &Options,
) -> Result<Output, Error> {
    let stop = Stop { scope: scope.clone() };
    settle(options, || client.ask(method, "/stops", &stop))
}

/// Sends a change, and where told to wait sends it again until it is in force everywhere.
fn settle(options: &Options, send: impl Fn() -> Result<Applied, Error>) -> Result<Output, Error> {
    let mut applied = send()?;
    let tries = if options.wait && !options.dry_run { WAIT_TRIES } else { 0 };
    for _ in 0..tries {
        if applied.waiting.is_empty() {
            break;
        }
        thread::sleep(WAIT_PAUSE);
        applied = send()?;
    }
    let code = if applied.committed && !applied.waiting.is_empty() { NOT_EVERYWHERE } else { 0 };
    Ok(Output { text: pretty(&applied)?, code })
}

pub(super) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).map_err(|cause| Error::file(path, &cause))?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut reader).map_err(|cause| Error::file(path, &cause))
}

fn show<T: Serialize>(
    value: &T,
    options: &Options,
    text: impl Fn(&T) -> String,
) -> Result<Output, Error> {
    if options.json { json(value) } else { Ok(text(value).into()) }
}

fn json<T: Serialize>(value: &T) -> Result<Output, Error> {
    Ok(pretty(value)?.into())
}

fn pretty<T: Serialize>(value: &T) -> Result<String, Error> {
    let text = serde_json::to_string_pretty(value);
    text.map(|text| text + "\n").map_err(|cause| Error::Refused(cause.to_string()))
}
