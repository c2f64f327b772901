//! The daemon: runs one VM from its settings file.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use futures_util::StreamExt;
use lexopt::{Arg, Parser};
use pomelogate::{
    clock, event,
    settings::{Loaded, Settings},
    vm::Vm,
};

const HELP: &str = "\
Run one VM of pomelogate.

Usage: pomelogated [--check] <settings.json>

Options:
  --check    check the settings and stop
  --help     print this help

Stops gracefully on SIGTERM and SIGINT.
Exit codes: 0 stopped as told, 1 cannot start or run, 2 wrong usage or settings.
";

struct Options {
    check: bool,
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(Some(options)) => options,
        Ok(None) => return print(HELP),
        Err(cause) => return fail(2, &format!("{cause}\n\n{HELP}")),
    };
    let loaded = match Settings::load(&options.settings) {
        Ok(loaded) => loaded,
        Err(error) => return fail(2, &error.report()),
    };
    if options.check {
        return print(&format!("{}the settings are valid\n", loaded.warnings.report()));
    }
    match smol::block_on(run(loaded)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => fail(1, &cause.to_string()),
    }
}

async fn run(loaded: Loaded) -> Result<(), Box<dyn std::error::Error>> {
    let Loaded { settings, warnings } = loaded;
    let logger = event::logger(&settings.vm, settings.log);
    for warning in warnings.problems() {
        let fields: [event::Field<'_>; 2] = [("problem", warning), ("remedy", &warning.remedy)];
        event::product::SETTINGS.emit(&logger, &fields);
    }
    let mut signals =
        async_signal::Signals::new([async_signal::Signal::Term, async_signal::Signal::Int])?;
    let running = Vm::start(settings, Arc::new(clock::System), logger).await?;
    running
        .run_until(async move {
            signals.next().await;
        })
        .await;
    Ok(())
}

fn options() -> Result<Option<Options>, lexopt::Error> {
    let mut check = false;
    let mut settings = None;
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("check") => check = true,
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            Arg::Value(path) if settings.is_none() => settings = Some(PathBuf::from(path)),
            argument => return Err(argument.unexpected()),
        }
    }
    let settings = settings.ok_or("the settings file is missing")?;
    Ok(Some(Options { check, settings }))
}

#[expect(clippy::print_stdout, reason = "the help goes to the terminal")]
fn print(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

#[expect(clippy::print_stderr, reason = "errors before the log exists go to the terminal")]
fn fail(code: u8, text: &str) -> ExitCode {
    eprintln!("pomelogated: {text}");
    ExitCode::from(code)
}
