//! `poplarknot dispatch`: runs an instance on the platform.

use super::{
    exit::Exit,
    Syntax, //
};
use crate::{
    error::Error,
    instance,
    platform::settings, //
};

pub(super) fn run(args: &[String]) -> Result<Exit, Error> {
    let mut syntax = Syntax::new(
        "Usage: poplarknot dispatch [--settings FILE]\n\n\
         Runs an instance on the platform. On SIGTERM it drains and ends. The settings are in the platform's own file, \
         which the variable POPLARKNOT_SETTINGS names.",
    );
    syntax.options.optopt(
        "s",
        "settings",
        "Reads the platform's settings from FILE",
        "FILE",
    );
    let Some(matches) = syntax.parse(args)? else {
        return Ok(Exit::Success);
    };
    if let Some(stray) = matches.free.first() {
        return Err(Error::Usage(format!("unexpected argument '{stray}'")));
    }
    let path = match matches.opt_str("settings") {
        Some(path) => path,
        None => settings::path_from_env().map_err(|fault| Error::Usage(fault.to_string()))?,
    };
    let text = std::fs::read_to_string(&path);
    let text = text.map_err(|source| Error::Read {
        path: path.clone(),
        source,
    })?;
    let settings =
        settings::parse(&text).map_err(|fault| Error::PlatformSettings { path, fault })?;
    instance::run(settings)?;
    Ok(Exit::Success)
}
