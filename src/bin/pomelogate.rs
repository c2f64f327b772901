//! The command-line tool for operators.

use std::process::ExitCode;

use pomelogate::tool::{Error, Options, run};

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    match Options::parse(arguments).and_then(|options| run(&options)) {
        Ok(output) => print(&output.text, output.code),
        Err(error) => fail(&error),
    }
}

#[expect(clippy::print_stdout, reason = "what the tool shows goes to the terminal")]
fn print(text: &str, code: u8) -> ExitCode {
    print!("{text}");
    ExitCode::from(code)
}

#[expect(clippy::print_stderr, reason = "errors go to the terminal")]
fn fail(error: &Error) -> ExitCode {
    eprintln!("pomelogate: {error}");
    ExitCode::from(error.code())
}
