//! The command-line interface.

mod admin;
mod audit;
mod check;
mod client;
mod dispatch;
pub mod exit;
mod record;
mod serve;
mod submit;
mod trace;

use std::{
    io::{
        self,
        ErrorKind,
        Write, //
    },
    process::ExitCode, //
};

use getopts::{
    Matches,
    Options,
    ParsingStyle, //
};

use self::exit::Exit;
use crate::error::Error;

const HELP: &str = "\
Dispatches bursts of sub-second tasks. A task is started at most once, unless it is declared idempotent.
An answer has the results of all tasks of a burst, or none.

Usage: poplarknot COMMAND [OPTIONS]

Commands:
    serve     Runs an instance
    dispatch  Runs an instance on the platform, by the platform's own settings file
    check     Checks a settings file and lists every fault
    submit    Submits a burst and prints its answer
    record    Submits, amends, withdraws and shows configuration records
    audit     Shows who changed the configuration, when and how
    trace     Shows the history of a job from the logs of 'dispatch'

Options:
    -h, --help       Prints this help, or that of a command
    -V, --version    Prints the version

Exit codes: 0 done, 1 failed at run time, 2 wrong usage, 3 wrong settings;
of submit: 0 complete, 4 failed, 5 not run, 6 unknown;
of record and audit: 5 no instance answered and nothing was changed, 6 a change may be in force or not.
";

/// Runs the command that the arguments name. The program's own name isn't among them.
///
/// Prints an error on standard error.
pub fn run(args: impl IntoIterator<Item = String>) -> ExitCode {
    let args: Vec<String> = args.into_iter().collect();
    let exit = run_command(&args).unwrap_or_else(|error| {
        eprintln!("poplarknot: {error}");
        Exit::from(&error)
    });
    exit.into()
}

fn run_command(args: &[String]) -> Result<Exit, Error> {
    let Some((command, rest)) = args.split_first() else {
        return Err(Error::Usage("no command is given".to_owned()));
    };
    match command.as_str() {
        "-h" | "--help" | "help" => print(HELP),
        "-V" | "--version" => print(concat!("poplarknot ", env!("CARGO_PKG_VERSION"), "\n")),
        "serve" => serve::run(rest),
        "dispatch" => dispatch::run(rest),
        "check" => check::run(rest),
        "submit" => submit::run(rest),
        "record" => record::run(rest),
        "audit" => audit::run(rest),
        "trace" => trace::run(rest),
        other => Err(Error::Usage(format!("unknown command '{other}'"))),
    }
}

/// Prints on standard output. A closed pipe, as in `poplarknot --help | head`, isn't an error.
fn print(text: &str) -> Result<Exit, Error> {
    let mut output = io::stdout().lock();
    let written = output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush());
    match written {
        Err(source) if source.kind() != ErrorKind::BrokenPipe => Err(Error::Write {
            path: "standard output".to_owned(),
            source,
        }),
        _ => Ok(Exit::Success),
    }
}

/// The usage text and the options of one command.
struct Syntax {
    brief: &'static str,
    options: Options,
}

impl Syntax {
    fn new(brief: &'static str) -> Self {
        let mut options = Options::new();
        options.parsing_style(ParsingStyle::FloatingFrees);
        options.optflag("h", "help", "Prints this help");
        Self { brief, options }
    }

    /// Parses the arguments. Prints the help and returns `None` if it's asked for.
    fn parse(&self, args: &[String]) -> Result<Option<Matches>, Error> {
        let matches = self.options.parse(args);
        let matches = matches.map_err(|e| Error::Usage(e.to_string()))?;
        if matches.opt_present("help") {
            print(&self.options.usage(self.brief))?;
            return Ok(None);
        }
        Ok(Some(matches))
    }
}

/// Returns the only positional argument; `what` names it in errors.
fn single_argument(mut free: Vec<String>, what: &str) -> Result<String, Error> {
    match (free.pop(), free.pop()) {
        (Some(argument), None) => Ok(argument),
        (None, _) => Err(Error::Usage(format!("{what} is missing"))),
        (Some(second), Some(_)) => Err(Error::Usage(format!("unexpected argument '{second}'"))),
    }
}
