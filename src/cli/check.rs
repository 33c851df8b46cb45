//! `poplarknot check`: lists every fault of a settings file.

use super::{
    exit::Exit,
    print,
    single_argument,
    Syntax, //
};
use crate::{
    error::Error,
    settings::Settings, //
};

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let syntax = Syntax::new(
        "Usage: poplarknot check FILE\n\nChecks a settings file and lists every fault.",
    );
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    let path = single_argument(matches.free, "FILE")?;
    Settings::load(&path)?;
    print(&format!("{path}: no faults\n"))
}
