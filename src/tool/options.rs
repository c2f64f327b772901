use std::{ffi::OsString, net::SocketAddr, path::PathBuf};

use lexopt::{Arg, Parser, ValueExt};

use super::{Command, Error, List, nearest};
use crate::{explain::Query, id, stop::Scope};

/// The command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The command.
    pub command: Command,
    /// The VMs to ask, in the order in which they are tried.
    pub vms: Vec<SocketAddr>,
    /// The file that holds the operator's key.
    pub key_file: Option<PathBuf>,
    /// The catalogue of names against which lists are checked.
    pub names: Option<PathBuf>,
    /// The request to explain, as far as options describe it.
    pub request: Query,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether a change is only checked.
    pub dry_run: bool,
    /// Whether to wait until a change is in force everywhere.
    pub wait: bool,
}

impl Options {
    /// Reads the arguments after the program's name.
    ///
    /// ```
    /// use pomelogate::tool::{Command, Options};
    ///
    /// let options = Options::parse(["status", "--vm", "127.0.0.1:7101"]).unwrap();
    /// assert_eq!(options.command, Command::Status);
    /// ```
    ///
    /// # Errors
    ///
    /// Where the command or an option is unknown or lacks something.
    pub fn parse<I>(arguments: I) -> Result<Self, Error>
    where
        I: IntoIterator,
        I::Item: Into<OsString>,
        I::IntoIter: 'static,
    {
        let mut options = Self {
            command: Command::Help,
            vms: Vec::new(),
            key_file: None,
            names: None,
            request: Query::default(),
            json: false,
            dry_run: false,
            wait: false,
        };
        let mut words = Vec::new();
        let mut help = false;
        let mut parser = Parser::from_args(arguments.into_iter().map(Into::into));
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("vm") => options.vms.push(parser.value()?.parse()?),
                Arg::Long("key-file") => options.key_file = Some(parser.value()?.into()),
                Arg::Long("names") => options.names = Some(parser.value()?.into()),
                Arg::Long("host") => options.request.host = parser.value()?.string()?,
                Arg::Long("path") => options.request.path = parser.value()?.string()?,
                Arg::Long("tokens") => options.request.tokens = Some(parser.value()?.string()?),
                Arg::Long("parts") => options.request.parts = Some(parser.value()?.string()?),
                Arg::Long("organisation") => {
                    options.request.organisation = Some(parser.value()?.string()?);
                }
                Arg::Long("json") => options.json = true,
                Arg::Long("dry-run") => options.dry_run = true,
                Arg::Long("wait") => options.wait = true,
                Arg::Short('h') | Arg::Long("help") => help = true,
                Arg::Value(word) => words.push(word.string()?),
                argument => return Err(argument.unexpected().into()),
            }
        }
        if !help {
            options.command = match words.as_slice() {
                [word] if word == "explain" => {
                    let request = &options.request;
                    request.check().map_err(|cause| Error::Usage(cause.to_string()))?;
                    Command::Explain(request.clone())
                }
                words => command(words)?,
            };
        }
        Ok(options)
    }
}

fn command(words: &[String]) -> Result<Command, Error> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["check", path] => Ok(Command::Check(PathBuf::from(path))),
        ["check-lists", plans, allowances] => {
            Ok(Command::CheckLists(PathBuf::from(plans), PathBuf::from(allowances)))
        }
        ["key", "digest"] => Ok(Command::KeyDigest),
        ["status"] => Ok(Command::Status),
        ["figures"] => Ok(Command::Figures),
        ["trace", request, first, rest @ ..] => {
            let logs = std::iter::once(first).chain(rest).map(PathBuf::from).collect();
            Ok(Command::Trace((*request).to_owned(), logs))
        }
        ["way", request] => Ok(Command::Way((*request).to_owned())),
        ["plans", rest @ ..] => list(List::Plans, rest),
        ["allowances", rest @ ..] => list(List::Allowances, rest),
        ["stop", "list"] => Ok(Command::Stops),
        ["stop", "announce", kind, name] => Ok(Command::Announce(scope(kind, name)?)),
        ["stop", "withdraw", kind, name] => Ok(Command::Withdraw(scope(kind, name)?)),
        ["replica", "status"] => Ok(Command::Replicas),
        ["replica", "readmit", vm] => Ok(Command::Readmit(id::Vm::from(*vm))),
        ["replica", "remove", vm] => Ok(Command::Remove(id::Vm::from(*vm))),
        ["claims", "accept-risk", operator, words] => {
            Ok(Command::AcceptRisk((*operator).to_owned(), (*words).to_owned()))
        }
        [] => Err(Error::Usage("there is no command; see `pomelogate --help`".to_owned())),
        [word, ..] => Err(unknown(word)),
    }
}

fn list(list: List, words: &[&str]) -> Result<Command, Error> {
    match words {
        ["get"] => Ok(Command::Get(list)),
        ["diff", path] => Ok(Command::Diff(list, PathBuf::from(path))),
        ["apply", path] => Ok(Command::Apply(list, PathBuf::from(path))),
        _ => Err(Error::Usage(
            "use `get`, `diff <file>` or `apply <file>`; see `pomelogate --help`".to_owned(),
        )),
    }
}

fn scope(kind: &str, name: &str) -> Result<Scope, Error> {
    match kind {
        "target" => Ok(Scope::Target(name.into())),
        "vm" => Ok(Scope::Vm(name.into())),
        "zone" => Ok(Scope::Zone(name.into())),
        "region" => Ok(Scope::Region(name.into())),
        _ => Err(Error::Usage(format!("`{kind}` cannot stop; use target, vm, zone or region"))),
    }
}

fn unknown(word: &str) -> Error {
    Error::Usage(match nearest(word) {
        Some(known) if known == word => {
            format!("`{word}` lacks or has too many arguments; see `pomelogate --help`")
        }
        Some(known) => format!("there is no command `{word}`; did you mean `{known}`?"),
        None => format!("there is no command `{word}`; see `pomelogate --help`"),
    })
}
