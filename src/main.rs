//! The `poplarknot` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1);
    poplarknot::cli::run(args.map(|arg| arg.to_string_lossy().into_owned()))
}
