//! `poplarknot serve`: runs an instance.

use super::{
    exit::Exit,
    Syntax, //
};
use crate::{
    error::Error,
    event,
    serve,
    settings::Settings, //
};

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let mut syntax = Syntax::new(
        "Usage: poplarknot serve --settings FILE\n\nRuns an instance. On SIGTERM it drains and ends.",
    );
    syntax
        .options
        .optopt("s", "settings", "Reads the settings from FILE", "FILE");
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    if let Some(stray) = matches.free.first() {
        return Err(Error::Usage(format!("unexpected argument '{stray}'")));
    }
    let Some(path) = matches.opt_str("settings") else {
        return Err(Error::Usage("--settings FILE is missing".to_owned()));
    };
    let settings = Settings::load(path)?;
    event::init(&settings)?;
    serve::run(settings)?;
    Ok(Exit::Success)
}
